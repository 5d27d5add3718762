// Package storage keeps a core process's copy on its disk: goleveldb, each value with the format's version and a checksum,
// each change synced before it counts.
package storage

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"sync"

	"github.com/syndtr/goleveldb/leveldb"
	leveldberrors "github.com/syndtr/goleveldb/leveldb/errors"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"github.com/syndtr/goleveldb/leveldb/storage"
	"github.com/zeebo/errs"

	"ottershift/internal/mesh/consensus"
)

// Error is the class of faults of the disk.
var Error = errs.Class("wax")

const (
	format      = 1
	keyID       = "id"
	keyCopy     = "decided"
	keyPromised = "promised"
	keyAccepted = "accepted"
)

// Wax is one process's disk.
type Store struct {
	mu    sync.Mutex
	stor  storage.Storage
	db    *leveldb.DB
	saved consensus.Replica // as it is on disk
}

// synced is a storage whose current manifest is on disk before it is named. Invariant: goleveldb names a new manifest, at each
// start, once it is written and not yet synced; power lost then takes all that it led to.
type synced struct {
	storage.Storage
	manifest func(storage.FileDesc) error // syncs it
}

func (s synced) SetMeta(fd storage.FileDesc) error {
	if err := s.manifest(fd); err != nil {
		return err
	}
	return s.Storage.SetMeta(fd)
}

// Open opens a directory. A disk without an identity gets the one that first says, which is called then only, and fresh
// says why there was none; an unreadable one is put aside whole and counts as empty.
func Open(dir string, first func() (id string, state *consensus.State)) (w *Store, c *consensus.Replica, fresh error, err error) {
	path := filepath.Join(dir, "wax")
	aside := "unreadable-" + NewIdentity()
	w, c, fresh, err = OpenOn(func() (storage.Storage, error) { return files(dir, path) }, first)
	if err == nil || w == nil {
		return w, c, fresh, err
	}
	why := err
	w.Close()
	if err := os.Rename(path, filepath.Join(dir, aside)); err != nil {
		return nil, nil, nil, Error.Wrap(err)
	}
	w, c, fresh, err = OpenOn(func() (storage.Storage, error) { return files(dir, path) }, first)
	return w, c, errs.Combine(Error.New("put aside as %s: %v", aside, why), fresh), err
}

// files is the storage of a directory whose own name is on disk.
func files(dir, path string) (storage.Storage, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, err
	}
	if err := syncPath(dir); err != nil {
		return nil, err
	}
	stor, err := storage.OpenFile(path, false)
	if err != nil {
		return nil, err
	}
	return synced{stor, func(fd storage.FileDesc) error {
		if err := syncPath(filepath.Join(path, fmt.Sprintf("MANIFEST-%06d", fd.Num))); err != nil {
			return err
		}
		return syncPath(path)
	}}, nil
}

func syncPath(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// OpenOn opens a storage. An error with a Wax says that what is there can't be read.
func OpenOn(on func() (storage.Storage, error), first func() (id string, state *consensus.State)) (w *Store, c *consensus.Replica, fresh error, err error) {
	stor, err := on()
	if err != nil {
		return nil, nil, nil, Error.Wrap(err)
	}
	w = &Store{stor: stor}
	if w.db, err = leveldb.Open(stor, options); leveldberrors.IsCorrupted(err) {
		// Its manifest is not what it was; tables and journals bear checksums of their own, and an order.
		w.db, err = leveldb.Recover(stor, options)
	}
	if err != nil {
		return w, nil, nil, Error.Wrap(err)
	}
	c = &consensus.Replica{}
	empty := true
	for key, to := range map[string]any{keyID: &c.ID, keyCopy: &c.Decided, keyPromised: &c.Promised, keyAccepted: &c.Accepted} {
		raw, err := w.db.Get([]byte(key), nil)
		if err == leveldb.ErrNotFound {
			continue
		}
		empty = false
		if err == nil {
			err = decode(raw, to)
		}
		if err != nil {
			return w, nil, nil, Error.New("%s: %v", key, err)
		}
	}
	switch {
	case empty:
		fresh = Error.New("an empty disk")
		id, state := first()
		c = &consensus.Replica{ID: id, Decided: state}
		if err := w.save(c, true); err != nil {
			return w, nil, nil, err
		}
	case c.ID == "" || c.Decided == nil:
		return w, nil, nil, Error.New("a copy without an identity or a state")
	}
	w.saved = *c
	return w, c, fresh, nil
}

var options = &opt.Options{
	WriteBuffer: 1 << 20, BlockCacheCapacity: 128 << 10, OpenFilesCacheCapacity: 16, Compression: opt.NoCompression,
	Strict: opt.StrictJournalChecksum | opt.StrictBlockChecksum | opt.StrictManifest,
}

// Draw makes an identity that no other disk has.
func NewIdentity() string {
	var raw [12]byte
	rand.Read(raw[:])
	return "disk-" + hex.EncodeToString(raw[:])
}

// Keep syncs a copy. What has not changed is not written again.
func (w *Store) Save(c *consensus.Replica) error { return w.save(c, false) }

func (w *Store) save(c *consensus.Replica, all bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := &leveldb.Batch{}
	put := func(key string, changed bool, v any) error {
		if !changed && !all {
			return nil
		}
		raw, err := encode(v)
		b.Put([]byte(key), raw)
		return err
	}
	err := errs.Combine(
		put(keyID, w.saved.ID != c.ID, c.ID), put(keyCopy, w.saved.Decided != c.Decided, c.Decided),
		put(keyPromised, w.saved.Promised != c.Promised, c.Promised), put(keyAccepted, w.saved.Accepted != c.Accepted, c.Accepted))
	if err != nil {
		return Error.Wrap(err)
	}
	if err := w.db.Write(b, &opt.WriteOptions{Sync: true}); err != nil {
		return Error.Wrap(err)
	}
	w.saved = *c
	return nil
}

// Close lets the disk go.
func (w *Store) Close() (err error) {
	if w.db != nil {
		err = w.db.Close()
	}
	return errs.Combine(err, w.stor.Close())
}

// seal puts the format's version and a checksum before a value.
func encode(v any) ([]byte, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	out := append(make([]byte, 5, 5+len(raw)), raw...)
	out[0] = format
	binary.BigEndian.PutUint32(out[1:], crc32.ChecksumIEEE(raw))
	return out, nil
}

func decode(raw []byte, to any) error {
	switch {
	case len(raw) < 5:
		return errs.New("a value is cut short")
	case raw[0] != format:
		return errs.New("format %d is not known here", raw[0])
	case binary.BigEndian.Uint32(raw[1:]) != crc32.ChecksumIEEE(raw[5:]):
		return errs.New("a checksum is wrong")
	}
	return json.Unmarshal(raw[5:], to)
}

// Backup is an agreed state out of a core, to begin another one with.
type Backup struct {
	Format int
	State  *consensus.State
	Sum    uint32 // of the state
}

// Seal makes a backup of a state.
func EncodeBackup(s *consensus.State) ([]byte, error) {
	raw, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	return json.MarshalIndent(&Backup{format, s, crc32.ChecksumIEEE(raw)}, "", " ")
}

// Unseal reads a backup; one that is not whole is refused.
func DecodeBackup(raw []byte) (*consensus.State, error) {
	b := &Backup{}
	if err := json.Unmarshal(raw, b); err != nil {
		return nil, Error.New("the backup can't be read: %v", err)
	}
	if b.Format != format || b.State == nil {
		return nil, Error.New("format %d is not known here", b.Format)
	}
	again, err := json.Marshal(b.State)
	if err != nil || crc32.ChecksumIEEE(again) != b.Sum {
		return nil, Error.New("the backup's checksum is wrong")
	}
	return b.State, nil
}

// Restore lays a state on an empty disk, as that of a core of one, whose identity is new: no disk of the core that was
// counts there any more. Others join it as strangers do.
func Restore(dir string, s *consensus.State, at, zone string) (id string, err error) {
	if _, err := os.Stat(filepath.Join(dir, "wax")); err == nil {
		return "", Error.New("%s holds a copy already: restore lays one on an empty disk only", dir)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", Error.Wrap(err)
	}
	id = NewIdentity()
	next := *s
	next.Index += 1 << 20 // beyond whatever the lost core may have decided
	next.Core, next.Coordinator = []consensus.Member{{ID: id, At: at, Zone: zone}}, consensus.Coordinator{}
	w, _, fresh, err := Open(dir, func() (string, *consensus.State) { return id, &next })
	if err != nil {
		return "", err
	}
	if fresh == nil {
		w.Close()
		return "", Error.New("%s was not empty", dir)
	}
	return id, w.Close()
}

// Peek reads the copy of a disk that no process uses.
func Peek(dir string) (*consensus.Replica, error) {
	if _, err := os.Stat(filepath.Join(dir, "wax")); err != nil {
		return nil, Error.Wrap(err)
	}
	w, c, fresh, err := Open(dir, func() (string, *consensus.State) { return "", nil })
	if err != nil {
		return nil, err
	}
	defer w.Close()
	return c, fresh
}
