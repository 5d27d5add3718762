// Package storage keeps a controller's consensus replica on disk in goleveldb. Each value has a header of its format and
// checksum. Each save is one synced batch, which is atomic.
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

// Error is the class of storage errors.
var Error = errs.Class("storage")

// Keys in the database.
const (
	keyID          = "id"
	keyDecided     = "decided"
	keyPromised    = "promised"
	keyAccepted    = "accepted"
	keyInstance    = "life"      // of the last start
	prefixDocument = "document-" // followed by the document's digest
)

// Names in the data directory. They are the same as in earlier releases.
const (
	storeDirectory   = "wax"
	quarantinePrefix = "unreadable-" // followed by a random ID: a store that could not be read
)

// unreadableError reports that the store's content is damaged. A retry does not help, unlike after an I/O error.
type unreadableError struct{ cause error }

// Error implements error.
func (e *unreadableError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *unreadableError) Unwrap() error { return e.cause }

// InitialReplica returns the disk ID and state of the replica that is written to an empty store.
type InitialReplica func() (id string, state *consensus.State)

// Store holds the replica of one controller on disk. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	files   durableStorage
	options *opt.Options
	db      *leveldb.DB
	saved   consensus.Replica // the replica that is on disk
	// documents holds the digests of the documents that are stored under separate keys.
	documents map[string]bool
	digests   consensus.DigestCache
	// failed reports that the last save failed. It is unknown how much of it is on disk, so the next save reopens the
	// database.
	failed bool
}

// defaultOptions are the goleveldb options of a controller's store.
var defaultOptions = &opt.Options{
	WriteBuffer: 1 << 20, BlockCacheCapacity: 128 << 10, OpenFilesCacheCapacity: 16, Compression: opt.NoCompression,
	Strict: opt.StrictJournalChecksum | opt.StrictBlockChecksum | opt.StrictManifest,
	// By default, goleveldb writes a batch larger than the write buffer in a transaction. A transaction holds the
	// database's lock for ever if the disk returns an error while it begins or commits.
	DisableLargeBatchTransaction: true,
}

// Open opens the store in a directory and reads its replica. If the store is empty, Open writes the replica that initial
// returns and sets initReason to the reason; initial is called only then. An unreadable store is renamed, kept whole,
// and replaced by an empty one. If the disk returns an error, Open fails and leaves the store as it is, and the caller
// can try again.
func Open(dir string, initial InitialReplica) (store *Store, replica *consensus.Replica, initReason error, err error) {
	if err := makeDirectory(dir); err != nil {
		return nil, nil, nil, Error.Wrap(err)
	}
	return OpenOn(osFileSystem(dir), defaultOptions, initial)
}

// OpenOn is Open for a given file system and goleveldb options.
func OpenOn(fileSystem FileSystem, options *opt.Options, initial InitialReplica) (store *Store, replica *consensus.Replica, initReason error, err error) {
	store, replica, initReason, err = openStore(fileSystem, options, initial)
	var unreadable *unreadableError
	if !errors.As(err, &unreadable) {
		return store, replica, initReason, err
	}
	quarantined := quarantinePrefix + NewID()
	if err := fileSystem.Rename(storeDirectory, quarantined); err != nil {
		return nil, nil, nil, Error.Wrap(err)
	}
	store, replica, initReason, err = openStore(fileSystem, options, initial)
	return store, replica, errs.Combine(Error.New("unreadable store put aside as %s: %v", quarantined, unreadable), initReason), err
}

// openStore opens the store without replacing an unreadable one.
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

// load opens the database and reads the replica, or writes the initial one if the database is empty.
func (s *Store) load(initial InitialReplica) (replica *consensus.Replica, initReason error, err error) {
	if err := s.openDatabase(); err != nil {
		return nil, nil, err
	}
	replica, empty, err := s.readReplica()
	if err != nil {
		return nil, nil, err
	}
	if empty {
		initReason = Error.New("empty disk")
		id, state := initial()
		replica = &consensus.Replica{ID: id, Decided: state}
		if err := s.writeReplica(replica, true); err != nil {
			return nil, nil, err
		}
	} else if replica.ID == "" || replica.Decided == nil {
		return nil, nil, &unreadableError{errs.New("replica has no disk ID or no state")}
	}
	if err := s.recordInstance(replica); err != nil {
		return nil, nil, err
	}
	s.saved = *replica
	return replica, initReason, nil
}

// recordInstance increments the number of starts from this disk and gives the present incarnation a new token.
func (s *Store) recordInstance(replica *consensus.Replica) error {
	var last consensus.DiskIncarnation
	if raw, err := s.get(keyInstance); err == nil {
		if err := decode(raw, &last); err != nil {
			return &unreadableError{errs.New("%s: %v", keyInstance, err)}
		}
	} else if err != leveldb.ErrNotFound {
		return err
	}
	replica.Incarnation = consensus.DiskIncarnation{ID: replica.ID, Number: last.Number + 1, Token: NewID()}
	raw, err := encode(formatInline, replica.Incarnation)
	if err != nil {
		return err
	}
	return s.db.Put([]byte(keyInstance), raw, &opt.WriteOptions{Sync: true})
}

// openDatabase opens the goleveldb database. After a crash, the manifest may end in a torn record, or not be named by
// CURRENT yet at the first start. The database is then recovered from its tables and journals, which are complete and
// ordered. If these are damaged, the database is not recovered: recovery could leave out the last saves, and a consensus
// member would forget promises.
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

// readReplica reads the replica. It reports empty if the database holds no part of it.
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

// get returns the value of a key.
func (s *Store) get(key string) ([]byte, error) {
	raw, err := s.db.Get([]byte(key), nil)
	if leveldberrors.IsCorrupted(err) {
		return nil, &unreadableError{err}
	}
	return raw, err
}

// loadDocument returns the document with a digest.
func (s *Store) loadDocument(digest string) (json.RawMessage, error) {
	raw, err := s.get(prefixDocument + digest)
	if err == leveldb.ErrNotFound {
		return nil, &unreadableError{errs.New("document %s is missing", digest)}
	}
	if err != nil {
		return nil, err
	}
	body, err := stripHeader(raw)
	if err == nil && consensus.DigestOf(body) != digest {
		err = errs.New("digest mismatch")
	}
	if err != nil {
		return nil, &unreadableError{errs.New("document %s: %v", digest, err)}
	}
	return body, nil
}

// listDocuments reads the digests of the stored documents.
func (s *Store) listDocuments() error {
	s.documents = map[string]bool{}
	documents := s.db.NewIterator(util.BytesPrefix([]byte(prefixDocument)), nil)
	defer documents.Release()
	for documents.Next() {
		s.documents[string(documents.Key()[len(prefixDocument):])] = true
	}
	return documents.Error()
}

// NewID returns a new random ID, for disks and for incarnations.
func NewID() string {
	var raw [12]byte
	rand.Read(raw[:])
	return "disk-" + hex.EncodeToString(raw[:])
}

// Save writes the changed parts of a replica and syncs them. After a failed save, it writes all parts.
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

// reopen opens the database again after a failed save. goleveldb's journal rejects all writes after a failed one, so
// that without a reopen a single disk error would make all later saves fail until the process restarts.
func (s *Store) reopen() error {
	if s.db != nil {
		s.db.Close() // returns the error of the failed write again
		s.db = nil
	}
	if err := s.openDatabase(); err != nil {
		return err
	}
	return s.listDocuments()
}

// writeReplica writes the parts that have changed since the last save, or all of them, in one synced batch.
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

// split returns a state without its large documents, and adds these to documents under their digests.
func (s *Store) split(state *consensus.State, documents consensus.Documents) *storedState {
	if state == nil {
		return &storedState{}
	}
	for digest, document := range state.LargeDocuments(s.digests.Digest) {
		documents[digest] = document
	}
	slim, digests := state.Split(s.digests.Digest, func(string) bool { return true })
	return &storedState{State: slim, Parts: digests}
}

// Close closes the database and releases the lock on its files.
func (s *Store) Close() (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.db != nil {
		err = s.db.Close()
	}
	return errs.Combine(err, s.files.Close())
}
