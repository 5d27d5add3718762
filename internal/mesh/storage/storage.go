// Package storage keeps a controller's replica on its disk: goleveldb, each value with its format and a checksum, each save
// one synced batch that is there whole or not at all.
package storage

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"sync"

	"github.com/syndtr/goleveldb/leveldb"
	leveldberrors "github.com/syndtr/goleveldb/leveldb/errors"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"github.com/syndtr/goleveldb/leveldb/storage"
	"github.com/syndtr/goleveldb/leveldb/util"
	"github.com/zeebo/errs"

	"ottershift/internal/mesh/consensus"
)

// Error is the class of faults of the disk.
var Error = errs.Class("storage")

// Keys of the values.
const (
	keyID          = "id"
	keyDecided     = "decided"
	keyPromised    = "promised"
	keyAccepted    = "accepted"
	keyInstance    = "life"      // the last start's
	prefixDocument = "document-" // and the document's digest
)

// Names in the process's folder. Disks of the versions before this one have them, too.
const (
	storeDirectory   = "wax"
	quarantinePrefix = "unreadable-" // and a random part: a store that could not be read
)

// unreadableError says that what the disk holds can't be read, and won't be by waiting.
type unreadableError struct{ cause error }

func (e *unreadableError) Error() string { return e.cause.Error() }
func (e *unreadableError) Unwrap() error { return e.cause }

// InitialReplica makes the replica of an empty disk.
type InitialReplica func() (id string, state *consensus.State)

// Store is one process's disk.
type Store struct {
	mu      sync.Mutex
	files   durableStorage
	options *opt.Options
	db      *leveldb.DB
	saved   consensus.Replica // as it is on disk
	// documents on disk under keys of their own, by digest
	documents map[string]bool
	digests   consensus.DigestCache
	// failed says that a save failed, so that nobody knows what of it is on disk: the next one opens the database again
	failed bool
}

var defaultOptions = &opt.Options{
	WriteBuffer: 1 << 20, BlockCacheCapacity: 128 << 10, OpenFilesCacheCapacity: 16, Compression: opt.NoCompression,
	Strict: opt.StrictJournalChecksum | opt.StrictBlockChecksum | opt.StrictManifest,
	// Invariant: goleveldb's transactions, which a batch larger than the write buffer goes through by default, keep the
	// database's lock for ever when the disk refuses while one begins or commits.
	DisableLargeBatchTransaction: true,
}

// Open opens a directory. A disk without an identity gets the one that first says, which is called then only, and fresh
// says why there was none; an unreadable one is put aside whole and counts as empty. A disk that refuses is an error, and
// stays as it is: the caller tries again.
func Open(dir string, initial InitialReplica) (store *Store, replica *consensus.Replica, initReason error, err error) {
	if err := makeDirectory(dir); err != nil {
		return nil, nil, nil, Error.Wrap(err)
	}
	return OpenOn(osFileSystem(dir), defaultOptions, initial)
}

// OpenOn opens a store in a file system.
func OpenOn(fileSystem FileSystem, options *opt.Options, initial InitialReplica) (store *Store, replica *consensus.Replica, initReason error, err error) {
	store, replica, initReason, err = openStore(fileSystem, options, initial)
	var unreadable *unreadableError
	if !errors.As(err, &unreadable) {
		return store, replica, initReason, err
	}
	quarantined := quarantinePrefix + NewDiskID()
	if err := fileSystem.Rename(storeDirectory, quarantined); err != nil {
		return nil, nil, nil, Error.Wrap(err)
	}
	store, replica, initReason, err = openStore(fileSystem, options, initial)
	return store, replica, errs.Combine(Error.New("put aside as %s: %v", quarantined, unreadable), initReason), err
}

func openStore(fileSystem FileSystem, options *opt.Options, initial InitialReplica) (store *Store, replica *consensus.Replica, initReason error, err error) {
	if err := fileSystem.MakeDirectory(storeDirectory); err != nil {
		return nil, nil, nil, Error.Wrap(err)
	}
	if err := fileSystem.SyncDirectory(""); err != nil {
		return nil, nil, nil, Error.Wrap(err)
	}
	files, err := fileSystem.OpenStorage(storeDirectory)
	if err != nil {
		return nil, nil, nil, Error.Wrap(err)
	}
	store = &Store{files: durableStorage{files, fileSystem, storeDirectory}, options: options}
	replica, initReason, err = store.load(initial)
	if err != nil {
		return nil, nil, nil, errs.Combine(Error.Wrap(err), store.Close())
	}
	return store, replica, initReason, nil
}

// load opens the database and reads the replica, or lays the first one on an empty disk.
func (s *Store) load(initial InitialReplica) (replica *consensus.Replica, initReason error, err error) {
	if err := s.openDatabase(); err != nil {
		return nil, nil, err
	}
	replica, empty, err := s.readReplica()
	if err != nil {
		return nil, nil, err
	}
	if empty {
		initReason = Error.New("an empty disk")
		id, state := initial()
		replica = &consensus.Replica{ID: id, Decided: state}
		if err := s.writeReplica(replica, true); err != nil {
			return nil, nil, err
		}
	} else if replica.ID == "" || replica.Decided == nil {
		return nil, nil, &unreadableError{errs.New("a replica without an identity or a state")}
	}
	if err := s.recordInstance(replica); err != nil {
		return nil, nil, err
	}
	s.saved = *replica
	return replica, initReason, nil
}

// recordInstance numbers this start of the disk.
func (s *Store) recordInstance(replica *consensus.Replica) error {
	var last consensus.DiskLife
	if raw, err := s.get(keyInstance); err == nil {
		if err := decode(raw, &last); err != nil {
			return &unreadableError{errs.New("%s: %v", keyInstance, err)}
		}
	} else if err != leveldb.ErrNotFound {
		return err
	}
	replica.Life = consensus.DiskLife{ID: replica.ID, Number: last.Number + 1, Token: NewDiskID()}
	raw, err := encode(formatInline, replica.Life)
	if err != nil {
		return err
	}
	return s.db.Put([]byte(keyInstance), raw, &opt.WriteOptions{Sync: true})
}

// openDatabase opens goleveldb's database. A manifest may end in a torn record, or, at the first start, not be named yet; the
// tables and journals, each whole and in their own order, then say what it would have. Invariant: where these themselves
// are damaged nothing is put together again, which might leave out the last saves: a member would forget promises.
func (s *Store) openDatabase() error {
	db, err := leveldb.Open(s.files, s.options)
	var damage *leveldberrors.ErrCorrupted
	if errors.As(err, &damage) && damage.Fd.Type == storage.TypeManifest {
		db, err = leveldb.Recover(s.files, s.options)
	}
	if leveldberrors.IsCorrupted(err) {
		return &unreadableError{err}
	}
	if err != nil {
		return err
	}
	s.db = db
	return nil
}

// readReplica reads the replica; empty says that nothing of it is there.
func (s *Store) readReplica() (replica *consensus.Replica, empty bool, err error) {
	replica, empty = &consensus.Replica{}, true
	decided, accepted := &storedState{}, (*storedAccepted)(nil)
	for key, target := range map[string]any{keyID: &replica.ID, keyDecided: &decided, keyPromised: &replica.Promised, keyAccepted: &accepted} {
		raw, err := s.get(key)
		if err == leveldb.ErrNotFound {
			continue
		}
		if err != nil {
			return nil, false, err
		}
		empty = false
		if err := decode(raw, target); err != nil {
			return nil, false, &unreadableError{errs.New("%s: %v", key, err)}
		}
	}
	if err := s.listDocuments(); err != nil {
		return nil, false, err
	}
	if replica.Decided, err = decided.join(s.loadDocument); err != nil {
		return nil, false, err
	}
	if accepted == nil {
		return replica, empty, nil
	}
	value, err := accepted.Value.join(s.loadDocument)
	if err != nil {
		return nil, false, err
	}
	replica.Accepted = &consensus.AcceptedValue{Ballot: accepted.Ballot, Value: value}
	return replica, empty, nil
}

func (s *Store) get(key string) ([]byte, error) {
	raw, err := s.db.Get([]byte(key), nil)
	if leveldberrors.IsCorrupted(err) {
		return nil, &unreadableError{err}
	}
	return raw, err
}

func (s *Store) loadDocument(digest string) (json.RawMessage, error) {
	raw, err := s.get(prefixDocument + digest)
	if err == leveldb.ErrNotFound {
		return nil, &unreadableError{errs.New("the document %s is missing", digest)}
	}
	if err != nil {
		return nil, err
	}
	body, err := stripHeader(raw)
	if err == nil && consensus.DigestOf(body) != digest {
		err = errs.New("it has another digest")
	}
	if err != nil {
		return nil, &unreadableError{errs.New("the document %s: %v", digest, err)}
	}
	return body, nil
}

func (s *Store) listDocuments() error {
	s.documents = map[string]bool{}
	documents := s.db.NewIterator(util.BytesPrefix([]byte(prefixDocument)), nil)
	defer documents.Release()
	for documents.Next() {
		s.documents[string(documents.Key()[len(prefixDocument):])] = true
	}
	return documents.Error()
}

// NewDiskID makes an identity that no other disk has.
func NewDiskID() string {
	var raw [12]byte
	rand.Read(raw[:])
	return "disk-" + hex.EncodeToString(raw[:])
}

// Save syncs a replica. What has not changed is not written again.
func (s *Store) Save(replica *consensus.Replica) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed {
		if err := s.reopen(); err != nil {
			return Error.Wrap(err)
		}
	}
	if err := s.writeReplica(replica, s.failed); err != nil {
		s.failed = true
		return Error.Wrap(err)
	}
	s.failed = false
	return nil
}

// reopen opens the database again after a save failed. Invariant: goleveldb's journal takes nothing more after a failed
// write, so that a disk that refused once would refuse until the process ends.
func (s *Store) reopen() error {
	if s.db != nil {
		s.db.Close() // it says again what has failed
		s.db = nil
	}
	if err := s.openDatabase(); err != nil {
		return err
	}
	return s.listDocuments()
}

// writeReplica puts what has changed since the last save, or all, into one synced batch.
func (s *Store) writeReplica(replica *consensus.Replica, all bool) error {
	batch := &leveldb.Batch{}
	var failed errs.Group
	put := func(key string, changed bool, format byte, value any) {
		if changed || all {
			raw, err := encode(format, value)
			batch.Put([]byte(key), raw)
			failed.Add(err)
		}
	}
	put(keyID, s.saved.ID != replica.ID, formatInline, replica.ID)
	put(keyPromised, s.saved.Promised != replica.Promised, formatInline, replica.Promised)
	documents := consensus.Documents{}
	decided := s.split(replica.Decided, documents)
	put(keyDecided, s.saved.Decided != replica.Decided, decided.format(), decided)
	var accepted *storedAccepted
	if replica.Accepted != nil {
		accepted = &storedAccepted{replica.Accepted.Ballot, s.split(replica.Accepted.Value, documents)}
	}
	put(keyAccepted, s.saved.Accepted != replica.Accepted, accepted.format(), accepted)
	for digest, document := range documents {
		if !s.documents[digest] || all {
			batch.Put([]byte(prefixDocument+digest), addHeader(formatInline, document))
		}
	}
	for digest := range s.documents {
		if documents[digest] == nil {
			batch.Delete([]byte(prefixDocument + digest))
		}
	}
	if err := failed.Err(); err != nil {
		return err
	}
	if err := s.db.Write(batch, &opt.WriteOptions{Sync: true}); err != nil {
		return err
	}
	s.saved, s.documents = *replica, map[string]bool{}
	for digest := range documents {
		s.documents[digest] = true
	}
	return nil
}

// split takes the large documents out of a state and notes them under their digests.
func (s *Store) split(state *consensus.State, documents consensus.Documents) *storedState {
	if state == nil {
		return &storedState{}
	}
	for digest, document := range state.LargeParts(s.digests.Of) {
		documents[digest] = document
	}
	slim, digests := state.Split(s.digests.Of, func(string) bool { return true })
	return &storedState{State: slim, Parts: digests}
}

// Close lets the disk go.
func (s *Store) Close() (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.db != nil {
		err = s.db.Close()
	}
	return errs.Combine(err, s.files.Close())
}
