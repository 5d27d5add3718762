package keep

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"sync"
	"testing"

	"github.com/hashicorp/raft-wal/types"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// What becomes of what was written and not synced when the machine is lost.
const (
	lost = iota
	kept
	torn // each write to the half of it, in the middle of a sector too
	fates
)

var errCrash = errors.New("the machine is lost")

// machine is a disk in memory that is lost at one of its operations.
type machine struct {
	mu    sync.Mutex
	ops   int
	last  int // operation after which it is lost, -1 for never
	down  bool
	fate  int
	files map[string]*content // of the log
	whole map[string][]byte   // replaced ones
	maybe map[string][]byte   // renamed, and the directory not synced
}

type content struct {
	synced  []byte
	exists  bool // its directory has been synced since it was made
	pending []write
}

type write struct {
	at  int64
	raw []byte
}

// op counts an operation; an error once the machine is lost.
func (m *machine) op() error {
	if m.down {
		return errCrash
	}
	if m.ops++; m.last >= 0 && m.ops > m.last {
		m.down = true
		return errCrash
	}
	return nil
}

func (c *content) write(b []byte, w write) []byte {
	if need := int(w.at) + len(w.raw); need > len(b) {
		b = append(b, make([]byte, need-len(b))...)
	}
	copy(b[w.at:], w.raw)
	return b
}

// after is what a machine finds when it starts again.
func (m *machine) after() *machine {
	n := &machine{last: -1, files: map[string]*content{}, whole: maps.Clone(m.whole)}
	if m.fate == kept {
		maps.Copy(n.whole, m.maybe)
	}
	for name, f := range m.files {
		if !f.exists && m.fate != kept {
			continue
		}
		b := slices.Clone(f.synced)
		for _, w := range f.pending {
			switch m.fate {
			case kept:
				b = f.write(b, w)
			case torn:
				b = f.write(b, write{w.at, w.raw[:len(w.raw)/2]})
			}
		}
		n.files[name] = &content{synced: b, exists: true}
	}
	return n
}

func (m *machine) Read(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if b, some := m.whole[name]; some {
		return b, nil
	}
	return nil, os.ErrNotExist
}

// Replace is a write, a sync, a rename and a sync of the directory, at each of which the machine may be lost.
func (m *machine) Replace(name string, b []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for range 2 {
		if err := m.op(); err != nil {
			return err
		}
	}
	if err := m.op(); err != nil {
		return err
	}
	m.maybe = map[string][]byte{name: slices.Clone(b)}
	if err := m.op(); err != nil {
		return err
	}
	m.whole[name], m.maybe = slices.Clone(b), nil
	return nil
}

func (m *machine) ListDir(string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.files)), nil
}

func (m *machine) Create(_, name string, size uint64) (types.WritableFile, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.op(); err != nil {
		return nil, err
	}
	if m.files[name] != nil {
		return nil, os.ErrExist
	}
	m.files[name] = &content{synced: make([]byte, size)}
	return &handle{m, name}, nil
}

func (m *machine) Delete(_, name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.op(); err != nil {
		return err
	}
	delete(m.files, name)
	return nil
}

func (m *machine) OpenReader(_, name string) (types.ReadableFile, error) {
	return m.OpenWriter("", name)
}

func (m *machine) OpenWriter(_, name string) (types.WritableFile, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.files[name] == nil {
		return nil, os.ErrNotExist
	}
	return &handle{m, name}, nil
}

type handle struct {
	m    *machine
	name string
}

func (h *handle) ReadAt(b []byte, at int64) (int, error) {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	f := h.m.files[h.name]
	if f == nil {
		return 0, os.ErrNotExist
	}
	all := slices.Clone(f.synced)
	for _, w := range f.pending {
		all = f.write(all, w)
	}
	if at >= int64(len(all)) {
		return 0, io.EOF
	}
	n := copy(b, all[at:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (h *handle) WriteAt(b []byte, at int64) (int, error) {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	f := h.m.files[h.name]
	if f == nil {
		return 0, os.ErrNotExist
	}
	f.pending = append(f.pending, write{at, slices.Clone(b)}) // under way when the machine is lost
	if err := h.m.op(); err != nil {
		return 0, err
	}
	return len(b), nil
}

func (h *handle) Sync() error {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	if err := h.m.op(); err != nil {
		return err
	}
	if f := h.m.files[h.name]; f != nil {
		for _, w := range f.pending {
			f.synced = f.write(f.synced, w)
		}
		f.pending, f.exists = nil, true
	}
	return nil
}

func (h *handle) Close() error { return nil }

func ent(index, term uint64) *raftpb.Entry {
	return &raftpb.Entry{Index: proto.Uint64(index), Term: proto.Uint64(term), Data: fmt.Appendf(nil, "entry %d of term %d", index, term)}
}

// work is what a keeper's disk goes through: entries, another leader's in their place, votes, snapshots with entries let go, a
// leader's snapshot in the place of all. It returns what was acknowledged: term, and the last entry with its term, up to
// which all must be there.
func work(l *Log) (hard uint64, last, term, snap uint64, err error) {
	save := func(h uint64, from, to, t uint64) {
		if err != nil {
			return
		}
		var all []*raftpb.Entry
		for i := from; i <= to; i++ {
			all = append(all, ent(i, t))
		}
		var hs *raftpb.HardState
		if h > 0 {
			hs = &raftpb.HardState{Term: proto.Uint64(h), Vote: proto.Uint64(1), Commit: proto.Uint64(1)}
		}
		if err = l.Save(hs, all, true); err == nil {
			if hard = max(hard, h); len(all) > 0 {
				last, term = to, t
			}
		}
	}
	shot := func(at, t, keep uint64) {
		if err != nil {
			return
		}
		s := &raftpb.Snapshot{Data: fmt.Appendf(nil, "state at %d", at), Metadata: &raftpb.SnapshotMetadata{
			Index: proto.Uint64(at), Term: proto.Uint64(t), ConfState: &raftpb.ConfState{Voters: []uint64{1}},
		}}
		if err = l.SaveSnapshot(s, keep); err == nil {
			if snap = at; keep >= at {
				last, term = at, t
			}
		}
	}
	shot(1, 1, 0)
	save(1, 2, 4, 1)
	save(0, 5, 9, 1)
	save(2, 7, 8, 2) // another leader's
	save(3, 9, 12, 3)
	shot(10, 3, 6)
	save(0, 13, 14, 3)
	shot(40, 5, 40) // a leader's
	save(6, 41, 45, 6)
	shot(44, 6, 42)
	save(0, 46, 46, 6)
	return
}

// At every operation of the disk, with what wasn't synced lost, kept and torn: the directory opens again, and all that was
// acknowledged is there.
func TestCrashPoints(t *testing.T) {
	segmentSize = 64 << 10
	total := 0
	for last := 0; ; last++ {
		done := false
		for fate := range fates {
			m := &machine{last: last, fate: fate, files: map[string]*content{}, whole: map[string][]byte{}}
			l, _, err := OpenLog("x", m, m)
			var hard, at, term, snap uint64
			if err == nil {
				hard, at, term, snap, err = work(l)
				l.Close()
			}
			if err == nil && !m.down {
				done = true
				break
			}
			total++
			again := m.after()
			l, d, err := OpenLog("x", again, again)
			if err != nil {
				t.Fatalf("lost at operation %d, fate %d: %v (acknowledged up to %d)", last, fate, err, at)
			}
			if d.Hard.GetTerm() < hard {
				t.Fatalf("lost at operation %d, fate %d: term %d, %d was acknowledged", last, fate, d.Hard.GetTerm(), hard)
			}
			got, gotTerm := d.Snapshot.GetMetadata().GetIndex(), d.Snapshot.GetMetadata().GetTerm()
			if got < snap {
				t.Fatalf("lost at operation %d, fate %d: a snapshot of %d, %d was acknowledged", last, fate, got, snap)
			}
			for _, e := range d.Entries {
				if e.GetIndex() != got+1 {
					t.Fatalf("lost at operation %d, fate %d: entry %d after %d", last, fate, e.GetIndex(), got)
				}
				got, gotTerm = e.GetIndex(), e.GetTerm()
			}
			// What was not acknowledged may be there or not; it replaces entries from where it begins.
			if got < at && gotTerm <= term {
				t.Fatalf("lost at operation %d, fate %d: up to entry %d of term %d, up to %d of %d was acknowledged", last, fate, got, gotTerm, at, term)
			}
			// It goes on.
			if err := l.Save(&raftpb.HardState{Term: proto.Uint64(9), Vote: proto.Uint64(1), Commit: proto.Uint64(1)}, []*raftpb.Entry{ent(got+1, 9)}, true); err != nil {
				t.Fatalf("lost at operation %d, fate %d: it can't go on: %v", last, fate, err)
			}
			l.Close()
		}
		if done {
			t.Logf("%d crash points", total)
			return
		}
	}
}

// A disk that fails once is believed no more, and a byte that changed is found.
func TestFailedSyncAndRot(t *testing.T) {
	segmentSize = 64 << 10
	m := &machine{last: -1, files: map[string]*content{}, whole: map[string][]byte{}}
	l, _, err := OpenLog("x", m, m)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, _, _, err := work(l); err != nil {
		t.Fatal(err)
	}
	m.mu.Lock()
	m.last = m.ops // the next fails
	m.mu.Unlock()
	if l.Save(nil, []*raftpb.Entry{ent(47, 6)}, true) == nil {
		t.Error("a failed sync is no error")
	}
	m.mu.Lock()
	m.last, m.down = -1, false // and the disk is well again
	m.mu.Unlock()
	if l.Save(nil, []*raftpb.Entry{ent(47, 6)}, true) == nil {
		t.Error("it goes on after a failed sync")
	}
	l.Close()
	rotten := 0
	for name, f := range m.files {
		for at := 0; at < len(f.synced) && at < 4096; at += 7 {
			again := m.after()
			if again.files[name].synced[at] == 0 {
				continue
			}
			again.files[name].synced[at] ^= 0x10
			l, d, err := OpenLog("x", again, again)
			if err != nil {
				rotten++
				continue
			}
			l.Close()
			for _, e := range d.Entries {
				if want := ent(e.GetIndex(), e.GetTerm()); string(want.GetData()) != string(e.GetData()) {
					t.Fatalf("byte %d of %s changed, and entry %d is believed", at, name, e.GetIndex())
				}
			}
		}
	}
	if rotten == 0 {
		t.Error("no changed byte is found")
	}
	for name := range m.whole {
		again := m.after()
		again.whole[name] = slices.Clone(again.whole[name])
		again.whole[name][len(again.whole[name])/2] ^= 1
		if l, _, err := OpenLog("x", again, again); err == nil {
			l.Close()
			t.Errorf("a changed byte of %s is believed", name)
		}
	}
}
