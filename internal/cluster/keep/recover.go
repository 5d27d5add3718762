package keep

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ottershift/internal/cluster/disk"
)

// Found is what a keeper's directory holds, as recover finds it.
type Found struct {
	Name  string
	Disk  string
	Last  uint64 // entry
	Term  uint64
	Seats []Seat
	State *State // with every entry that is there, agreed on or not
}

// Look reads a directory that no process uses.
func Look(dir string, parts map[byte]Part) (*Found, error) {
	fs := disk.Dir(dir)
	raw, err := fs.Read(identity)
	if err != nil {
		return nil, fmt.Errorf("%s is no keeper's directory: %w", dir, err)
	}
	f := &Found{}
	var own struct {
		Disk string `json:"disk"`
	}
	if err := json.Unmarshal(raw, &own); err != nil {
		return nil, fmt.Errorf("%s: %w", identity, err)
	}
	var seat struct {
		Seat *Seat `json:"seat"`
	}
	if raw, err = fs.Read(seatFile); err != nil {
		return nil, fmt.Errorf("%s has no seat in a group: %w", dir, err)
	}
	if err := json.Unmarshal(raw, &seat); err != nil || seat.Seat == nil {
		return nil, fmt.Errorf("%s: it has no seat (%v)", seatFile, err)
	}
	f.Name, f.Disk = seat.Seat.Name, own.Disk
	l, d, err := OpenLog(dir, fs, nil)
	if err != nil {
		return nil, err
	}
	defer l.Close()
	f.State = NewState("", nil, parts, Guards{true, true})
	if d.Snapshot == nil {
		return nil, errors.New("it holds no state yet")
	}
	if err := f.State.Load(d.Snapshot.GetData()); err != nil {
		return nil, err
	}
	f.Last, f.Term = d.Snapshot.GetMetadata().GetIndex(), d.Snapshot.GetMetadata().GetTerm()
	for _, e := range d.Entries {
		if f.Last, f.Term = e.GetIndex(), e.GetTerm(); e.GetType() == raftpb.EntryNormal {
			_, cmd := open(e.GetData())
			f.State.Apply(e.GetIndex(), cmd)
		}
	}
	if d.Hard != nil {
		f.Term = max(f.Term, d.Hard.GetTerm())
	}
	for _, s := range f.State.Seats {
		f.Seats = append(f.Seats, *s)
	}
	slices.SortFunc(f.Seats, func(a, b Seat) int { return int(a.ID) - int(b.ID) })
	return f, nil
}

// Loses says what may be lost if a group goes on from this directory alone.
func (f *Found) Loses() []string {
	var others []string
	for _, s := range f.Seats {
		if s.Disk != f.Disk {
			others = append(others, s.String())
		}
	}
	return []string{
		fmt.Sprintf("what other keepers (%v) agreed on beyond entry %d, which is the last one here", others, f.Last),
		"the answers that members were given for it: commands that count as done may be undone, tokens may be given again",
		"what was under way here and had not been agreed on counts as agreed from now on",
	}
}

// Recover makes a group of this one keeper out of its directory, on the day on which the majority is lost. It is marked for good.
// Danger: should one of the lost disks be started after all, it knows this one under its old identity and seat; it gets another.
func Recover(dir string, f *Found, why string) error {
	return rebuild(dir, f.Name, draw(), f.State, f.Last+1, f.Term+1, fmt.Sprintf("recovered from %s at entry %d: %s", f.Name, f.Last, why))
}

// Restore makes a new directory of a group of one keeper out of a snapshot.
func Restore(dir, name string, raw []byte, parts map[byte]Part) error {
	if _, err := os.Stat(dir); !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%s is there already; a snapshot is restored into a new directory", dir)
	}
	s := NewState("", nil, parts, Guards{true, true})
	if err := s.Load(raw); err != nil {
		return err
	}
	return rebuild(dir, name, draw(), s, s.Index+1, 2, fmt.Sprintf("restored from a snapshot at entry %d", s.Index))
}

// draw is the identity of a new disk.
func draw() string {
	var b [16]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// rebuild writes a directory whose only keeper this is.
func rebuild(dir, name, id string, s *State, index, term uint64, mark string) error {
	fs := disk.Dir(dir)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	// Sessions and duties are of processes that know another group: their runs open anew, above every token there was.
	seat := Seat{ID: s.NextSeat, Name: name, Disk: id}
	s.Seats, s.NextSeat = map[uint64]*Seat{seat.ID: &seat}, seat.ID+1
	for _, d := range s.Duties {
		d.Owner, d.Epoch, d.Token = "", 0, d.Token+1<<20
	}
	s.Index = index
	s.Recovered = append(s.Recovered, time.Now().UTC().Format(time.RFC3339)+" "+mark)
	l, _, err := OpenLog(dir, fs, nil)
	if err != nil {
		return err
	}
	defer l.Close()
	snap := &raftpb.Snapshot{Data: s.Save(), Metadata: &raftpb.SnapshotMetadata{
		ConfState: &raftpb.ConfState{Voters: []uint64{seat.ID}}, Index: proto.Uint64(index), Term: proto.Uint64(term),
	}}
	if err := l.Save(&raftpb.HardState{Term: proto.Uint64(term), Vote: proto.Uint64(0), Commit: proto.Uint64(index)}, nil, true); err != nil {
		return err
	}
	if err := l.SaveSnapshot(snap, index); err != nil {
		return err
	}
	raw, err := json.Marshal(map[string]any{"seat": seat, "seats": []Seat{seat}})
	if err != nil {
		return err
	}
	who, err := json.Marshal(map[string]any{"disk": id, "runs": 1 << 20}) // beyond every start that others may remember
	if err != nil {
		return err
	}
	return errors.Join(fs.Replace(identity, who), fs.Replace(seatFile, raw), fs.Replace(seenFile, []byte("{}")))
}
