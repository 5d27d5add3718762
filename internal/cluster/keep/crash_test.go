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

// Outcomes of unsynced writes after a crash.
const (
	unsyncedLost = iota
	unsyncedKept
	unsyncedTorn // the first half of each write survives, cut also within a sector
	unsyncedOutcomes
)

var errCrashed = errors.New("injected crash")

// crashDisk is a disk in memory that crashes at a chosen operation.
type crashDisk struct {
	mu             sync.Mutex
	operations     int
	crashAfter     int // number of operations that succeed before the crash, -1 for no crash
	crashed        bool
	outcome        int
	logFiles       map[string]*logFile // files of the write-ahead log
	replaced       map[string][]byte   // files written with Replace
	unsyncedRename map[string][]byte   // file that was renamed, with the directory not synced yet
}

type logFile struct {
	synced    []byte
	dirSynced bool // the directory has been synced since the file was created
	pending   []pendingWrite
}

type pendingWrite struct {
	offset int64
	data   []byte
}

// countOperation counts an operation. It returns an error from the crash on.
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

// overlay returns the data with a write applied to it.
func (file *logFile) overlay(data []byte, write pendingWrite) []byte {
	if need := int(write.offset) + len(write.data); need > len(data) {
		data = append(data, make([]byte, need-len(data))...)
	}
	copy(data[write.offset:], write.data)
	return data
}

// afterRestart returns the disk as a process finds it after the crash.
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
	if data, ok := disk.replaced[name]; ok {
		return data, nil
	}
	return nil, os.ErrNotExist
}

// Replace counts a write, a sync, a rename and a sync of the directory. The disk may crash at each of them.
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
	data := slices.Clone(file.synced)
	for _, write := range file.pending {
		data = file.overlay(data, write)
	}
	if at >= int64(len(data)) {
		return 0, io.EOF
	}
	n := copy(b, data[at:])
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
	file.pending = append(file.pending, pendingWrite{at, slices.Clone(b)}) // in progress if the disk crashes now
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

// runWorkload writes what a replica's store receives: entries, entries of another leader that supersede them, votes,
// snapshots with compaction, and a leader's snapshot that replaces the whole log. It returns what was acknowledged:
// the term of the hard state, index and term of the last entry, and the index of the last snapshot.
func runWorkload(store *DiskStore) (hardTerm uint64, lastIndex, lastTerm, snapshotIndex uint64, err error) {
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
			if hardTerm = max(hardTerm, newTerm); len(entries) > 0 {
				lastIndex, lastTerm = to, entryTerm
			}
		}
	}
	saveSnapshot := func(index, entryTerm, compactTo uint64) {
		if err != nil {
			return
		}
		snapshot := &raftpb.Snapshot{Data: fmt.Appendf(nil, "state at %d", index), Metadata: &raftpb.SnapshotMetadata{
			Index: proto.Uint64(index), Term: proto.Uint64(entryTerm), ConfState: &raftpb.ConfState{Voters: []uint64{1}},
		}}
		if err = store.SaveSnapshot(snapshot, compactTo); err == nil {
			if snapshotIndex = index; compactTo >= index {
				lastIndex, lastTerm = index, entryTerm
			}
		}
	}
	saveSnapshot(1, 1, 0)
	save(1, 2, 4, 1)
	save(0, 5, 9, 1)
	save(2, 7, 8, 2) // of another leader
	save(3, 9, 12, 3)
	saveSnapshot(10, 3, 6)
	save(0, 13, 14, 3)
	saveSnapshot(40, 5, 40) // of a leader
	save(6, 41, 45, 6)
	saveSnapshot(44, 6, 42)
	save(0, 46, 46, 6)
	return
}

// For a crash at every disk operation, with unsynced writes lost, kept or torn: the directory opens again, and
// everything that was acknowledged is there.
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
				t.Fatalf("crash at operation %d, outcome %d: %v (entries up to %d were acknowledged)", crashAfter, outcome, err, ackedIndex)
			}
			if stored.HardState.GetTerm() < ackedTerm {
				t.Fatalf("crash at operation %d, outcome %d: term %d, but term %d was acknowledged", crashAfter, outcome, stored.HardState.GetTerm(), ackedTerm)
			}
			index, indexTerm := stored.Snapshot.GetMetadata().GetIndex(), stored.Snapshot.GetMetadata().GetTerm()
			if index < ackedSnapshot {
				t.Fatalf("crash at operation %d, outcome %d: snapshot at entry %d, but one at %d was acknowledged", crashAfter, outcome, index, ackedSnapshot)
			}
			for _, entry := range stored.Entries {
				if entry.GetIndex() != index+1 {
					t.Fatalf("crash at operation %d, outcome %d: entry %d follows entry %d", crashAfter, outcome, entry.GetIndex(), index)
				}
				index, indexTerm = entry.GetIndex(), entry.GetTerm()
			}
			// Unacknowledged entries may be there or not. If they are, they supersede the entries from their first
			// index on.
			if index < ackedIndex && indexTerm <= ackedEntryTerm {
				t.Fatalf("crash at operation %d, outcome %d: last entry %d of term %d, but entry %d of term %d was acknowledged", crashAfter, outcome, index, indexTerm, ackedIndex, ackedEntryTerm)
			}
			// The store accepts new entries.
			if err := store.Save(&raftpb.HardState{Term: proto.Uint64(9), Vote: proto.Uint64(1), Commit: proto.Uint64(1)}, []*raftpb.Entry{newEntry(index+1, 9)}, true); err != nil {
				t.Fatalf("crash at operation %d, outcome %d: cannot save after the restart: %v", crashAfter, outcome, err)
			}
			store.Close()
		}
		if done {
			t.Logf("%d crash points", crashPoints)
			return
		}
	}
}

// A store that failed once refuses further writes, and a corrupted byte is detected when the directory is opened.
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
	disk.crashAfter = disk.operations // the next operation fails
	disk.mu.Unlock()
	if store.Save(nil, []*raftpb.Entry{newEntry(47, 6)}, true) == nil {
		t.Error("no error from a failed sync")
	}
	disk.mu.Lock()
	disk.crashAfter, disk.crashed = -1, false // the disk works again
	disk.mu.Unlock()
	if store.Save(nil, []*raftpb.Entry{newEntry(47, 6)}, true) == nil {
		t.Error("the store accepts entries after a failed sync")
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
					t.Fatalf("byte %d of %s was corrupted, but entry %d was accepted", at, name, entry.GetIndex())
				}
			}
		}
	}
	if detected == 0 {
		t.Error("no corrupted byte was detected")
	}
	for name := range disk.replaced {
		restarted := disk.afterRestart()
		restarted.replaced[name] = slices.Clone(restarted.replaced[name])
		restarted.replaced[name][len(restarted.replaced[name])/2] ^= 1
		if store, _, err := OpenDiskStore("x", restarted, restarted); err == nil {
			store.Close()
			t.Errorf("a corrupted byte of %s was accepted", name)
		}
	}
}
