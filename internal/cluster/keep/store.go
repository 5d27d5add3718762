package keep

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"

	hraft "github.com/hashicorp/raft"
	wal "github.com/hashicorp/raft-wal"
	walfs "github.com/hashicorp/raft-wal/fs"
	"github.com/hashicorp/raft-wal/segment"
	"github.com/hashicorp/raft-wal/types"

	"github.com/hashicorp/go-hclog"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ottershift/internal/cluster/disk"
)

// Files in the directory of a group. The log segments belong to the write-ahead log library; the other files are
// replaced as a whole.
const (
	hardStateFile = "hard"     // term and vote
	snapshotFile  = "snapshot" // the state as of one log entry
	segmentsFile  = "segments" // metadata of the log segments
)

var segmentBytes = 16 << 20 // size of a log segment; smaller in tests

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrChecksum reports a record with a wrong checksum.
var ErrChecksum = errors.New("record checksum mismatch")

// addChecksum returns data with its checksum in front.
func addChecksum(data []byte) []byte {
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(data)), crc32.Checksum(data, castagnoli)), data...)
}

// verifyChecksum returns the data of a record without its checksum.
func verifyChecksum(data []byte) ([]byte, error) {
	if len(data) < 4 || crc32.Checksum(data[4:], castagnoli) != binary.BigEndian.Uint32(data) {
		return nil, ErrChecksum
	}
	return data[4:], nil
}

// DiskStore is a Store on disk: the write-ahead log of github.com/hashicorp/raft-wal, with one sync for everything
// that is saved together, and a checksum on every record in addition to the library's own. Records have numbers of
// their own. A record for an entry supersedes all earlier records of this entry and of later ones. The log is never
// truncated at its end: the library (0.4.0) supports that, but cannot open the log again afterwards ("sealed segment
// has no index block").
type DiskStore struct {
	fs         disk.FS
	wal        *wal.WAL
	hardState  *raftpb.HardState
	nextRecord uint64
	records    map[uint64]uint64 // current record of each entry, by index
	lastEntry  uint64            // index of the last entry
	failure    error             // first error; after it the store is not trusted any more
}

// OpenDiskStore opens a directory, reads everything it holds and verifies every record. vfs is nil for the operating
// system's files.
func OpenDiskStore(dir string, fs disk.FS, vfs types.VFS) (*DiskStore, *StoredState, error) {
	if vfs == nil {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return nil, nil, err
		}
		vfs = walfs.New()
	}
	store := &DiskStore{fs: fs, nextRecord: 1, records: map[uint64]uint64{}}
	var err error
	store.wal, err = wal.Open(dir, wal.WithLogger(hclog.NewNullLogger()), wal.WithSegmentSize(segmentBytes), wal.WithMetaStore(segmentMeta{fs}),
		wal.WithSegmentFiler(segment.NewFiler(dir, vfs)))
	if err != nil {
		return nil, nil, fmt.Errorf("open write-ahead log: %w", err)
	}
	stored, err := store.load()
	if err != nil {
		store.wal.Close()
		return nil, nil, err
	}
	return store, stored, nil
}

// load reads the whole directory, and maps each entry to its current record.
func (store *DiskStore) load() (*StoredState, error) {
	stored := &StoredState{}
	raw, err := store.fs.Read(hardStateFile)
	if err == nil {
		if raw, err = verifyChecksum(raw); err != nil {
			return nil, fmt.Errorf("%s: %w", hardStateFile, err)
		}
		stored.HardState = &raftpb.HardState{}
		if err := proto.Unmarshal(raw, stored.HardState); err != nil {
			return nil, fmt.Errorf("%s: %w", hardStateFile, err)
		}
		store.hardState = stored.HardState
	} else if !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	snapshotIndex := uint64(0)
	if raw, err = store.fs.Read(snapshotFile); err == nil {
		if raw, err = verifyChecksum(raw); err != nil {
			return nil, fmt.Errorf("%s: %w", snapshotFile, err)
		}
		stored.Snapshot = &raftpb.Snapshot{}
		if err := proto.Unmarshal(raw, stored.Snapshot); err != nil {
			return nil, fmt.Errorf("%s: %w", snapshotFile, err)
		}
		snapshotIndex = stored.Snapshot.GetMetadata().GetIndex()
	} else if !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	first, err := store.wal.FirstIndex()
	if err != nil {
		return nil, err
	}
	last, err := store.wal.LastIndex()
	if err != nil {
		return nil, err
	}
	var entries []*raftpb.Entry
	for number := first; last != 0 && number <= last; number++ {
		entry, err := store.readRecord(number)
		if err != nil {
			return nil, fmt.Errorf("record %d: %w", number, err)
		}
		// An index that is not higher than the last one begins the entries of another leader, which replace earlier ones.
		if count := len(entries); count > 0 && entry.GetIndex() <= entries[count-1].GetIndex() {
			kept := entry.GetIndex() - min(entry.GetIndex(), entries[0].GetIndex())
			entries = entries[:kept:kept]
		} else if count > 0 && entry.GetIndex() != entries[count-1].GetIndex()+1 {
			entries = nil // the entries before were replaced by a leader's snapshot
		}
		entries = append(entries, entry)
		store.mapEntry(entry.GetIndex(), number)
	}
	store.nextRecord = max(last, first) + 1
	if len(entries) == 0 {
		return stored, nil
	}
	if firstEntry := entries[0].GetIndex(); firstEntry > snapshotIndex+1 {
		return nil, fmt.Errorf("entries missing: the log begins at entry %d, the snapshot ends at entry %d", firstEntry, snapshotIndex)
	} else if firstEntry <= snapshotIndex {
		// A crash after saving a leader's snapshot and before deleting the log that it replaces leaves entries of
		// another history.
		if snapshotIndex-firstEntry >= uint64(len(entries)) || entries[snapshotIndex-firstEntry].GetTerm() != stored.Snapshot.GetMetadata().GetTerm() {
			clear(store.records)
			return stored, nil
		}
		entries = entries[snapshotIndex-firstEntry+1:]
	}
	stored.Entries = entries
	return stored, nil
}

// readRecord reads and verifies a record of the log.
func (store *DiskStore) readRecord(number uint64) (*raftpb.Entry, error) {
	var record hraft.Log
	if err := store.wal.GetLog(number, &record); err != nil {
		return nil, err
	}
	data, err := verifyChecksum(record.Data)
	if err != nil {
		return nil, err
	}
	entry := &raftpb.Entry{}
	if err := proto.Unmarshal(data, entry); err != nil || entry.GetIndex() == 0 {
		return nil, ErrChecksum
	}
	return entry, nil
}

// mapEntry sets the current record of an entry. Records of later entries no longer count.
func (store *DiskStore) mapEntry(entry, record uint64) {
	for i := entry + 1; i <= store.lastEntry; i++ {
		delete(store.records, i)
	}
	store.records[entry], store.lastEntry = record, entry
}

// Save implements Store.
func (store *DiskStore) Save(hardState *raftpb.HardState, entries []*raftpb.Entry, _ bool) error {
	if store.failure != nil {
		return store.failure
	}
	err := store.save(hardState, entries)
	if err != nil {
		store.failure = fmt.Errorf("store disabled until restart after an earlier error: %w", err)
	}
	return err
}

// save writes the hard state if term or vote changed, and appends the entries to the log.
func (store *DiskStore) save(hardState *raftpb.HardState, entries []*raftpb.Entry) error {
	// The commit index need not be saved by itself: Raft determines it again.
	if hardState != nil && (store.hardState == nil || hardState.GetTerm() != store.hardState.GetTerm() || hardState.GetVote() != store.hardState.GetVote()) {
		data, err := proto.Marshal(hardState)
		if err != nil {
			return err
		}
		if err := store.fs.Replace(hardStateFile, addChecksum(data)); err != nil {
			return err
		}
		store.hardState = hardState
	}
	if len(entries) == 0 {
		return nil
	}
	batch := make([]*hraft.Log, len(entries))
	for i, entry := range entries {
		data, err := proto.Marshal(entry)
		if err != nil {
			return err
		}
		batch[i] = &hraft.Log{Index: store.nextRecord + uint64(i), Term: entry.GetTerm(), Data: addChecksum(data)}
	}
	if err := store.wal.StoreLogs(batch); err != nil {
		return err
	}
	for _, entry := range entries {
		store.mapEntry(entry.GetIndex(), store.nextRecord)
		store.nextRecord++
	}
	return nil
}

// SaveSnapshot implements Store. It deletes entries only after the snapshot is completely on disk.
func (store *DiskStore) SaveSnapshot(snapshot *raftpb.Snapshot, compactTo uint64) error {
	if store.failure != nil {
		return store.failure
	}
	data, err := proto.Marshal(snapshot)
	if err == nil {
		err = store.fs.Replace(snapshotFile, addChecksum(data))
	}
	if err == nil && compactTo > 0 {
		err = store.discard(compactTo, compactTo >= snapshot.GetMetadata().GetIndex())
	}
	if err != nil {
		store.failure = fmt.Errorf("store disabled until restart after an earlier error: %w", err)
	}
	return err
}

// discard deletes the entries up to an index, or all of them if a leader's snapshot replaces them. It deletes all
// records before the first one that still counts.
func (store *DiskStore) discard(compactTo uint64, all bool) error {
	first, err := store.wal.FirstIndex()
	if err != nil {
		return err
	}
	until := store.nextRecord
	for entry, record := range store.records {
		if all || entry <= compactTo {
			delete(store.records, entry)
		} else {
			until = min(until, record)
		}
	}
	if all {
		store.lastEntry = 0
	}
	if first == 0 || until <= first {
		return nil
	}
	return store.wal.DeleteRange(first, until-1)
}

// Close closes the write-ahead log.
func (store *DiskStore) Close() error { return store.wal.Close() }

// segmentMeta stores the library's metadata of its log segments.
type segmentMeta struct{ fs disk.FS }

func (s segmentMeta) Load(string) (state types.PersistentState, err error) {
	raw, err := s.fs.Read(segmentsFile)
	if errors.Is(err, os.ErrNotExist) {
		return state, nil
	}
	if err == nil {
		if raw, err = verifyChecksum(raw); err == nil {
			err = json.Unmarshal(raw, &state)
		}
	}
	if err != nil {
		err = fmt.Errorf("%s: %w", segmentsFile, err)
	}
	return state, err
}

func (s segmentMeta) CommitState(state types.PersistentState) error {
	raw, err := json.Marshal(state)
	if err != nil {
		return err
	}
	return s.fs.Replace(segmentsFile, addChecksum(raw))
}

func (s segmentMeta) GetStable([]byte) ([]byte, error) { return nil, nil }
func (s segmentMeta) SetStable(_, _ []byte) error {
	return errors.New("not supported: the hard state has a file of its own")
}
func (s segmentMeta) Close() error { return nil }

// GroupDir returns the directory of a group within the data directory of a member.
func GroupDir(dir string, group int) string {
	return filepath.Join(dir, fmt.Sprintf("group-%d", group))
}
