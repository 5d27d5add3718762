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

// Files of a group's directory. The log is the library's; the rest are whole files that are replaced.
const (
	hardFile     = "hard"     // term and vote
	snapshotFile = "snapshot" // the state at an entry
	segmentsFile = "segments" // which files the log consists of
)

var segmentSize = 16 << 20 // bytes of a file of the log; less in tests

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrTorn is a record whose sum is wrong.
var ErrTorn = errors.New("a record's sum is wrong")

// sealed is a record with its sum before it.
func sealed(b []byte) []byte {
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(b)), crc32.Checksum(b, castagnoli)), b...)
}

func unsealed(b []byte) ([]byte, error) {
	if len(b) < 4 || crc32.Checksum(b[4:], castagnoli) != binary.BigEndian.Uint32(b) {
		return nil, ErrTorn
	}
	return b[4:], nil
}

// Log is a store on a disk: the write-ahead log of github.com/hashicorp/raft-wal, one sync for all that is saved at once, and
// a sum on every record beside the library's own. Records have numbers of their own, and one of an entry takes the place of all
// before it from that entry on. Danger: the library (0.4.0) can cut off the end of its log, but then can't be opened again
// ("sealed segment has no index block"); so nothing is ever cut off there.
type Log struct {
	fs     disk.FS
	wal    *wal.WAL
	hard   *raftpb.HardState
	next   uint64            // number of the next record
	at     map[uint64]uint64 // records of the entries that count, by entry
	last   uint64            // entry
	broken error             // what failed once is believed no more
}

// OpenLog opens a directory and reads all that it holds; every record is checked. vfs is nil for the real one.
func OpenLog(dir string, fs disk.FS, vfs types.VFS) (*Log, *Disk, error) {
	if vfs == nil {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return nil, nil, err
		}
		vfs = walfs.New()
	}
	l := &Log{fs: fs, next: 1, at: map[uint64]uint64{}}
	var err error
	l.wal, err = wal.Open(dir, wal.WithLogger(hclog.NewNullLogger()), wal.WithSegmentSize(segmentSize), wal.WithMetaStore(segments{fs}),
		wal.WithSegmentFiler(segment.NewFiler(dir, vfs)))
	if err != nil {
		return nil, nil, fmt.Errorf("the log: %w", err)
	}
	d, err := l.read()
	if err != nil {
		l.wal.Close()
		return nil, nil, err
	}
	return l, d, nil
}

func (l *Log) read() (*Disk, error) {
	d := &Disk{}
	raw, err := l.fs.Read(hardFile)
	if err == nil {
		if raw, err = unsealed(raw); err != nil {
			return nil, fmt.Errorf("%s: %w", hardFile, err)
		}
		d.Hard = &raftpb.HardState{}
		if err := proto.Unmarshal(raw, d.Hard); err != nil {
			return nil, fmt.Errorf("%s: %w", hardFile, err)
		}
		l.hard = d.Hard
	} else if !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	from := uint64(0)
	if raw, err = l.fs.Read(snapshotFile); err == nil {
		if raw, err = unsealed(raw); err != nil {
			return nil, fmt.Errorf("%s: %w", snapshotFile, err)
		}
		d.Snapshot = &raftpb.Snapshot{}
		if err := proto.Unmarshal(raw, d.Snapshot); err != nil {
			return nil, fmt.Errorf("%s: %w", snapshotFile, err)
		}
		from = d.Snapshot.GetMetadata().GetIndex()
	} else if !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	first, err := l.wal.FirstIndex()
	if err != nil {
		return nil, err
	}
	last, err := l.wal.LastIndex()
	if err != nil {
		return nil, err
	}
	var all []*raftpb.Entry
	for n := first; last != 0 && n <= last; n++ {
		e, err := l.record(n)
		if err != nil {
			return nil, fmt.Errorf("record %d: %w", n, err)
		}
		if k := len(all); k > 0 && e.GetIndex() <= all[k-1].GetIndex() { // another leader's
			at := e.GetIndex() - min(e.GetIndex(), all[0].GetIndex())
			all = all[:at:at]
		} else if k > 0 && e.GetIndex() != all[k-1].GetIndex()+1 {
			all = nil // behind a leader's snapshot that took the place of all before
		}
		all = append(all, e)
		l.note(e.GetIndex(), n)
	}
	l.next = max(last, first) + 1
	if len(all) == 0 {
		return d, nil
	}
	if begin := all[0].GetIndex(); begin > from+1 {
		return nil, fmt.Errorf("the log begins at entry %d, the snapshot holds up to %d: entries between are missing", begin, from)
	} else if begin <= from {
		// Danger: a crash between a leader's snapshot and the end of the log that it replaced leaves entries of another branch.
		if from-begin >= uint64(len(all)) || all[from-begin].GetTerm() != d.Snapshot.GetMetadata().GetTerm() {
			clear(l.at)
			return d, nil
		}
		all = all[from-begin+1:]
	}
	d.Entries = all
	return d, nil
}

func (l *Log) record(n uint64) (*raftpb.Entry, error) {
	var rec hraft.Log
	if err := l.wal.GetLog(n, &rec); err != nil {
		return nil, err
	}
	raw, err := unsealed(rec.Data)
	if err != nil {
		return nil, err
	}
	e := &raftpb.Entry{}
	if err := proto.Unmarshal(raw, e); err != nil || e.GetIndex() == 0 {
		return nil, ErrTorn
	}
	return e, nil
}

// note says that a record is the one of an entry from now on; those of later entries count no more.
func (l *Log) note(entry, record uint64) {
	for i := entry + 1; i <= l.last; i++ {
		delete(l.at, i)
	}
	l.at[entry], l.last = record, entry
}

// Save implements Store.
func (l *Log) Save(hard *raftpb.HardState, entries []*raftpb.Entry, _ bool) error {
	if l.broken != nil {
		return l.broken
	}
	err := l.save(hard, entries)
	if err != nil {
		l.broken = fmt.Errorf("the directory failed before, and nothing of it is believed until the next start: %w", err)
	}
	return err
}

func (l *Log) save(hard *raftpb.HardState, entries []*raftpb.Entry) error {
	// The commit index alone needn't be kept: it is found again.
	if hard != nil && (l.hard == nil || hard.GetTerm() != l.hard.GetTerm() || hard.GetVote() != l.hard.GetVote()) {
		raw, err := proto.Marshal(hard)
		if err != nil {
			return err
		}
		if err := l.fs.Replace(hardFile, sealed(raw)); err != nil {
			return err
		}
		l.hard = hard
	}
	if len(entries) == 0 {
		return nil
	}
	batch := make([]*hraft.Log, len(entries))
	for i, e := range entries {
		raw, err := proto.Marshal(e)
		if err != nil {
			return err
		}
		batch[i] = &hraft.Log{Index: l.next + uint64(i), Term: e.GetTerm(), Data: sealed(raw)}
	}
	if err := l.wal.StoreLogs(batch); err != nil {
		return err
	}
	for _, e := range entries {
		l.note(e.GetIndex(), l.next)
		l.next++
	}
	return nil
}

// SaveSnapshot implements Store. Danger: entries go only once the snapshot is there whole.
func (l *Log) SaveSnapshot(snap *raftpb.Snapshot, keep uint64) error {
	if l.broken != nil {
		return l.broken
	}
	raw, err := proto.Marshal(snap)
	if err == nil {
		err = l.fs.Replace(snapshotFile, sealed(raw))
	}
	if err == nil && keep > 0 {
		err = l.forget(keep, keep >= snap.GetMetadata().GetIndex())
	}
	if err != nil {
		l.broken = fmt.Errorf("the directory failed before, and nothing of it is believed until the next start: %w", err)
	}
	return err
}

// forget lets entries go up to one, or all of them where a leader's snapshot takes their place: all records before the first
// that still counts.
func (l *Log) forget(keep uint64, all bool) error {
	first, err := l.wal.FirstIndex()
	if err != nil {
		return err
	}
	until := l.next
	for entry, record := range l.at {
		if all || entry <= keep {
			delete(l.at, entry)
		} else {
			until = min(until, record)
		}
	}
	if all {
		l.last = 0
	}
	if first == 0 || until <= first {
		return nil
	}
	return l.wal.DeleteRange(first, until-1)
}

// Close ends it.
func (l *Log) Close() error { return l.wal.Close() }

// segments is where the library keeps which files its log consists of.
type segments struct{ fs disk.FS }

func (s segments) Load(string) (p types.PersistentState, err error) {
	raw, err := s.fs.Read(segmentsFile)
	if errors.Is(err, os.ErrNotExist) {
		return p, nil
	}
	if err == nil {
		if raw, err = unsealed(raw); err == nil {
			err = json.Unmarshal(raw, &p)
		}
	}
	if err != nil {
		err = fmt.Errorf("%s: %w", segmentsFile, err)
	}
	return p, err
}

func (s segments) CommitState(p types.PersistentState) error {
	raw, err := json.Marshal(p)
	if err != nil {
		return err
	}
	return s.fs.Replace(segmentsFile, sealed(raw))
}

func (s segments) GetStable([]byte) ([]byte, error) { return nil, nil }
func (s segments) SetStable(_, _ []byte) error      { return errors.New("kept elsewhere") }
func (s segments) Close() error                     { return nil }

// Group is the directory of one group below a member's.
func Group(dir string, n int) string { return filepath.Join(dir, fmt.Sprintf("group-%d", n)) }
