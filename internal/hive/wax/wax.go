// Package wax keeps a core process's copy on its disk: goleveldb, each value with the format's version and a checksum,
// each change synced before it counts.
package wax

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"hash/crc32"
	"os"
	"path/filepath"
	"sync"

	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"github.com/zeebo/errs"

	"ottershift/internal/hive/swarm"
)

// Error is the class of faults of the disk.
var Error = errs.Class("wax")

const (
	format   = 1
	keyID    = "id"
	keyCopy  = "decided"
	keyVow   = "promised"
	keyVoted = "accepted"
)

// Wax is one process's disk.
type Wax struct {
	mu  sync.Mutex
	db  *leveldb.DB
	was swarm.Copy // as it is on disk
}

// Open opens a directory. A disk without an identity gets the one that first says, which is called then only; an
// unreadable one is put aside whole and counts as empty.
func Open(dir string, first func() (id string, state *swarm.State)) (w *Wax, c *swarm.Copy, fresh bool, err error) {
	path := filepath.Join(dir, "wax")
	w, c, err = open(path)
	if err != nil && !errors.Is(err, leveldb.ErrNotFound) && !os.IsPermission(err) {
		if w != nil {
			w.db.Close()
		}
		for n := 1; ; n++ { // Danger: taken for whole, a torn copy would vote with half a memory
			aside := path + ".unreadable-" + hex.EncodeToString([]byte{byte(n)})
			if _, missing := os.Stat(aside); os.IsNotExist(missing) {
				if err := os.Rename(path, aside); err != nil && !os.IsNotExist(err) {
					return nil, nil, false, Error.Wrap(err)
				}
				break
			}
		}
		w, c, err = open(path)
	}
	if err == nil {
		return w, c, false, nil
	}
	if w == nil || !errors.Is(err, leveldb.ErrNotFound) {
		return nil, nil, false, Error.Wrap(err)
	}
	id, state := first()
	c = &swarm.Copy{ID: id, Decided: state}
	if err := w.keep(c, true); err != nil {
		w.db.Close()
		return nil, nil, false, err
	}
	return w, c, true, nil
}

// Draw makes an identity that no other disk has.
func Draw() string {
	var raw [12]byte
	rand.Read(raw[:])
	return "disk-" + hex.EncodeToString(raw[:])
}

func open(path string) (*Wax, *swarm.Copy, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, nil, err
	}
	db, err := leveldb.OpenFile(path, &opt.Options{
		WriteBuffer: 1 << 20, BlockCacheCapacity: 128 << 10, OpenFilesCacheCapacity: 16, Compression: opt.NoCompression,
		Strict: opt.StrictJournalChecksum | opt.StrictBlockChecksum,
	})
	if err != nil {
		return nil, nil, err
	}
	w, c := &Wax{db: db}, &swarm.Copy{}
	for key, to := range map[string]any{keyID: &c.ID, keyCopy: &c.Decided, keyVow: &c.Promised, keyVoted: &c.Accepted} {
		raw, err := db.Get([]byte(key), nil)
		if err == leveldb.ErrNotFound && key != keyID {
			continue
		}
		if err == nil {
			err = unseal(raw, to)
		}
		if err != nil {
			return w, nil, err
		}
	}
	if c.Decided == nil {
		return w, nil, errs.New("an identity without a state")
	}
	w.was = *c
	return w, c, nil
}

// Keep syncs a copy. What has not changed is not written again.
func (w *Wax) Keep(c *swarm.Copy) error { return w.keep(c, false) }

func (w *Wax) keep(c *swarm.Copy, all bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := &leveldb.Batch{}
	put := func(key string, changed bool, v any) error {
		if !changed && !all {
			return nil
		}
		raw, err := seal(v)
		b.Put([]byte(key), raw)
		return err
	}
	err := errs.Combine(
		put(keyID, w.was.ID != c.ID, c.ID), put(keyCopy, w.was.Decided != c.Decided, c.Decided),
		put(keyVow, w.was.Promised != c.Promised, c.Promised), put(keyVoted, w.was.Accepted != c.Accepted, c.Accepted))
	if err != nil {
		return Error.Wrap(err)
	}
	if err := w.db.Write(b, &opt.WriteOptions{Sync: true}); err != nil {
		return Error.Wrap(err)
	}
	w.was = *c
	return nil
}

// Close lets the disk go.
func (w *Wax) Close() error { return w.db.Close() }

// seal puts the format's version and a checksum before a value.
func seal(v any) ([]byte, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	out := append(make([]byte, 5, 5+len(raw)), raw...)
	out[0] = format
	binary.BigEndian.PutUint32(out[1:], crc32.ChecksumIEEE(raw))
	return out, nil
}

func unseal(raw []byte, to any) error {
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
