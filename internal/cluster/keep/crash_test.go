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
	unsyncedLost = iota
	unsyncedKept
	unsyncedTorn // each write to the half of it, in the middle of a sector too
	unsyncedOutcomes
)

var errCrashed = errors.New("the machine is lost")

// crashDisk is a disk in memory that is lost at one of its operations.
type crashDisk struct {
	mu             sync.Mutex
	operations     int
	crashAfter     int // operation after which it is lost, -1 for never
	crashed        bool
	outcome        int
	logFiles       map[string]*logFile // of the log
	replaced       map[string][]byte   // replaced ones
	unsyncedRename map[string][]byte   // renamed, and the directory not synced
}

type logFile struct {
	synced    []byte
	dirSynced bool // its directory has been synced since it was made
	pending   []pendingWrite
}

type pendingWrite struct {
	offset int64
	data   []byte
}

// countOperation counts an operation; an error once the machine is lost.
func (disk *crashDisk) countOperation() error {
	if disk.crashed {
		return errCrashed
	}
	if disk.operations++; disk.crashAfter >= 0 && disk.operations > disk.crashAfter {
		disk.crashed = true
		return errCrashed
	}
	return nil
}

func (file *logFile) overlay(data []byte, write pendingWrite) []byte {
	if need := int(write.offset) + len(write.data); need > len(data) {
		data = append(data, make([]byte, need-len(data))...)
	}
	copy(data[write.offset:], write.data)
	return data
}

// afterRestart is what a machine finds when it starts again.
func (disk *crashDisk) afterRestart() *crashDisk {
	restarted := &crashDisk{crashAfter: -1, logFiles: map[string]*logFile{}, replaced: maps.Clone(disk.replaced)}
	if disk.outcome == unsyncedKept {
		maps.Copy(restarted.replaced, disk.unsyncedRename)
	}
	for name, file := range disk.logFiles {
		if !file.dirSynced && disk.outcome != unsyncedKept {
			continue
		}
		data := slices.Clone(file.synced)
		for _, write := range file.pending {
			switch disk.outcome {
			case unsyncedKept:
				data = file.overlay(data, write)
			case unsyncedTorn:
				data = file.overlay(data, pendingWrite{write.offset, write.data[:len(write.data)/2]})
			}
		}
		restarted.logFiles[name] = &logFile{synced: data, dirSynced: true}
	}
	return restarted
}

func (disk *crashDisk) Read(name string) ([]byte, error) {
	disk.mu.Lock()
	defer disk.mu.Unlock()
	if b, some := disk.replaced[name]; some {
		return b, nil
	}
	return nil, os.ErrNotExist
}

// Replace is a write, a sync, a rename and a sync of the directory, at each of which the machine may be lost.
func (disk *crashDisk) Replace(name string, data []byte) error {
	disk.mu.Lock()
	defer disk.mu.Unlock()
	for range 2 {
		if err := disk.countOperation(); err != nil {
			return err
		}
	}
	if err := disk.countOperation(); err != nil {
		return err
	}
	disk.unsyncedRename = map[string][]byte{name: slices.Clone(data)}
	if err := disk.countOperation(); err != nil {
		return err
	}
	disk.replaced[name], disk.unsyncedRename = slices.Clone(data), nil
	return nil
}

func (disk *crashDisk) ListDir(string) ([]string, error) {
	disk.mu.Lock()
	defer disk.mu.Unlock()
	return slices.Sorted(maps.Keys(disk.logFiles)), nil
}

func (disk *crashDisk) Create(_, name string, size uint64) (types.WritableFile, error) {
	disk.mu.Lock()
	defer disk.mu.Unlock()
	if err := disk.countOperation(); err != nil {
		return nil, err
	}
	if disk.logFiles[name] != nil {
		return nil, os.ErrExist
	}
	disk.logFiles[name] = &logFile{synced: make([]byte, size)}
	return &fileHandle{disk, name}, nil
}

func (disk *crashDisk) Delete(_, name string) error {
	disk.mu.Lock()
	defer disk.mu.Unlock()
	if err := disk.countOperation(); err != nil {
		return err
	}
	delete(disk.logFiles, name)
	return nil
}

func (disk *crashDisk) OpenReader(_, name string) (types.ReadableFile, error) {
	return disk.OpenWriter("", name)
}

func (disk *crashDisk) OpenWriter(_, name string) (types.WritableFile, error) {
	disk.mu.Lock()
	defer disk.mu.Unlock()
	if disk.logFiles[name] == nil {
		return nil, os.ErrNotExist
	}
	return &fileHandle{disk, name}, nil
}

type fileHandle struct {
	disk *crashDisk
	name string
}

func (h *fileHandle) ReadAt(b []byte, at int64) (int, error) {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	file := h.disk.logFiles[h.name]
	if file == nil {
		return 0, os.ErrNotExist
	}
	all := slices.Clone(file.synced)
	for _, write := range file.pending {
		all = file.overlay(all, write)
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

func (h *fileHandle) WriteAt(b []byte, at int64) (int, error) {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	file := h.disk.logFiles[h.name]
	if file == nil {
		return 0, os.ErrNotExist
	}
	file.pending = append(file.pending, pendingWrite{at, slices.Clone(b)}) // under way when the machine is lost
	if err := h.disk.countOperation(); err != nil {
		return 0, err
	}
	return len(b), nil
}

func (h *fileHandle) Sync() error {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if err := h.disk.countOperation(); err != nil {
		return err
	}
	if file := h.disk.logFiles[h.name]; file != nil {
		for _, write := range file.pending {
			file.synced = file.overlay(file.synced, write)
		}
		file.pending, file.dirSynced = nil, true
	}
	return nil
}

func (h *fileHandle) Close() error { return nil }

func newEntry(index, term uint64) *raftpb.Entry {
	return &raftpb.Entry{Index: proto.Uint64(index), Term: proto.Uint64(term), Data: fmt.Appendf(nil, "entry %d of term %d", index, term)}
}

// runWorkload is what a keeper's disk goes through: entries, another leader's in their place, votes, snapshots with entries let go, a
// leader's snapshot in the place of all. It returns what was acknowledged: term, and the last entry with its term, up to
// which all must be there.
func runWorkload(store *DiskStore) (hard uint64, last, term, snap uint64, err error) {
	save := func(newTerm uint64, from, to, entryTerm uint64) {
		if err != nil {
			return
		}
		var entries []*raftpb.Entry
		for i := from; i <= to; i++ {
			entries = append(entries, newEntry(i, entryTerm))
		}
		var hardState *raftpb.HardState
		if newTerm > 0 {
			hardState = &raftpb.HardState{Term: proto.Uint64(newTerm), Vote: proto.Uint64(1), Commit: proto.Uint64(1)}
		}
		if err = store.Save(hardState, entries, true); err == nil {
			if hard = max(hard, newTerm); len(entries) > 0 {
				last, term = to, entryTerm
			}
		}
	}
	saveSnapshot := func(at, entryTerm, keep uint64) {
		if err != nil {
			return
		}
		snapshot := &raftpb.Snapshot{Data: fmt.Appendf(nil, "state at %d", at), Metadata: &raftpb.SnapshotMetadata{
			Index: proto.Uint64(at), Term: proto.Uint64(entryTerm), ConfState: &raftpb.ConfState{Voters: []uint64{1}},
		}}
		if err = store.SaveSnapshot(snapshot, keep); err == nil {
			if snap = at; keep >= at {
				last, term = at, entryTerm
			}
		}
	}
	saveSnapshot(1, 1, 0)
	save(1, 2, 4, 1)
	save(0, 5, 9, 1)
	save(2, 7, 8, 2) // another leader's
	save(3, 9, 12, 3)
	saveSnapshot(10, 3, 6)
	save(0, 13, 14, 3)
	saveSnapshot(40, 5, 40) // a leader's
	save(6, 41, 45, 6)
	saveSnapshot(44, 6, 42)
	save(0, 46, 46, 6)
	return
}

// At every operation of the disk, with what wasn't synced lost, kept and torn: the directory opens again, and all that was
// acknowledged is there.
func TestCrashPoints(t *testing.T) {
	segmentBytes = 64 << 10
	crashPoints := 0
	for crashAfter := 0; ; crashAfter++ {
		done := false
		for outcome := range unsyncedOutcomes {
			disk := &crashDisk{crashAfter: crashAfter, outcome: outcome, logFiles: map[string]*logFile{}, replaced: map[string][]byte{}}
			store, _, err := OpenDiskStore("x", disk, disk)
			var ackedTerm, ackedIndex, ackedEntryTerm, ackedSnapshot uint64
			if err == nil {
				ackedTerm, ackedIndex, ackedEntryTerm, ackedSnapshot, err = runWorkload(store)
				store.Close()
			}
			if err == nil && !disk.crashed {
				done = true
				break
			}
			crashPoints++
			restarted := disk.afterRestart()
			store, stored, err := OpenDiskStore("x", restarted, restarted)
			if err != nil {
				t.Fatalf("lost at operation %d, fate %d: %v (acknowledged up to %d)", crashAfter, outcome, err, ackedIndex)
			}
			if stored.HardState.GetTerm() < ackedTerm {
				t.Fatalf("lost at operation %d, fate %d: term %d, %d was acknowledged", crashAfter, outcome, stored.HardState.GetTerm(), ackedTerm)
			}
			index, indexTerm := stored.Snapshot.GetMetadata().GetIndex(), stored.Snapshot.GetMetadata().GetTerm()
			if index < ackedSnapshot {
				t.Fatalf("lost at operation %d, fate %d: a snapshot of %d, %d was acknowledged", crashAfter, outcome, index, ackedSnapshot)
			}
			for _, entry := range stored.Entries {
				if entry.GetIndex() != index+1 {
					t.Fatalf("lost at operation %d, fate %d: entry %d after %d", crashAfter, outcome, entry.GetIndex(), index)
				}
				index, indexTerm = entry.GetIndex(), entry.GetTerm()
			}
			// What was not acknowledged may be there or not; it replaces entries from where it begins.
			if index < ackedIndex && indexTerm <= ackedEntryTerm {
				t.Fatalf("lost at operation %d, fate %d: up to entry %d of term %d, up to %d of %d was acknowledged", crashAfter, outcome, index, indexTerm, ackedIndex, ackedEntryTerm)
			}
			// It goes on.
			if err := store.Save(&raftpb.HardState{Term: proto.Uint64(9), Vote: proto.Uint64(1), Commit: proto.Uint64(1)}, []*raftpb.Entry{newEntry(index+1, 9)}, true); err != nil {
				t.Fatalf("lost at operation %d, fate %d: it can't go on: %v", crashAfter, outcome, err)
			}
			store.Close()
		}
		if done {
			t.Logf("%d crash points", crashPoints)
			return
		}
	}
}

// A disk that fails once is believed no more, and a byte that changed is found.
func TestFailedSyncAndCorruption(t *testing.T) {
	segmentBytes = 64 << 10
	disk := &crashDisk{crashAfter: -1, logFiles: map[string]*logFile{}, replaced: map[string][]byte{}}
	store, _, err := OpenDiskStore("x", disk, disk)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, _, _, err := runWorkload(store); err != nil {
		t.Fatal(err)
	}
	disk.mu.Lock()
	disk.crashAfter = disk.operations // the next fails
	disk.mu.Unlock()
	if store.Save(nil, []*raftpb.Entry{newEntry(47, 6)}, true) == nil {
		t.Error("a failed sync is no error")
	}
	disk.mu.Lock()
	disk.crashAfter, disk.crashed = -1, false // and the disk is well again
	disk.mu.Unlock()
	if store.Save(nil, []*raftpb.Entry{newEntry(47, 6)}, true) == nil {
		t.Error("it goes on after a failed sync")
	}
	store.Close()
	detected := 0
	for name, file := range disk.logFiles {
		for at := 0; at < len(file.synced) && at < 4096; at += 7 {
			restarted := disk.afterRestart()
			if restarted.logFiles[name].synced[at] == 0 {
				continue
			}
			restarted.logFiles[name].synced[at] ^= 0x10
			store, stored, err := OpenDiskStore("x", restarted, restarted)
			if err != nil {
				detected++
				continue
			}
			store.Close()
			for _, entry := range stored.Entries {
				if want := newEntry(entry.GetIndex(), entry.GetTerm()); string(want.GetData()) != string(entry.GetData()) {
					t.Fatalf("byte %d of %s changed, and entry %d is believed", at, name, entry.GetIndex())
				}
			}
		}
	}
	if detected == 0 {
		t.Error("no changed byte is found")
	}
	for name := range disk.replaced {
		restarted := disk.afterRestart()
		restarted.replaced[name] = slices.Clone(restarted.replaced[name])
		restarted.replaced[name][len(restarted.replaced[name])/2] ^= 1
		if store, _, err := OpenDiskStore("x", restarted, restarted); err == nil {
			store.Close()
			t.Errorf("a changed byte of %s is believed", name)
		}
	}
}
