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

// DirContents describes the directory of a replica, as recovery finds it.
type DirContents struct {
	Name      string
	DiskID    string
	LastIndex uint64 // last log entry
	Term      uint64
	Voters    []Voter
	State     *State // with all entries applied, committed or not
}

// InspectDir reads a directory that no process uses.
func InspectDir(dir string, parts map[byte]Part) (*DirContents, error) {
	fs := disk.Dir(dir)
	raw, err := fs.Read(identityFile)
	if err != nil {
		return nil, fmt.Errorf("%s is not the directory of a voter: %w", dir, err)
	}
	contents := &DirContents{}
	var identity struct {
		DiskID string `json:"disk"`
	}
	if err := json.Unmarshal(raw, &identity); err != nil {
		return nil, fmt.Errorf("%s: %w", identityFile, err)
	}
	var saved struct {
		Voter *Voter `json:"seat"`
	}
	if raw, err = fs.Read(votersFile); err != nil {
		return nil, fmt.Errorf("%s does not belong to a group: %w", dir, err)
	}
	if err := json.Unmarshal(raw, &saved); err != nil || saved.Voter == nil {
		return nil, fmt.Errorf("%s: the replica is not a voter of a group (%v)", votersFile, err)
	}
	contents.Name, contents.DiskID = saved.Voter.Name, identity.DiskID
	store, stored, err := OpenDiskStore(dir, fs, nil)
	if err != nil {
		return nil, err
	}
	defer store.Close()
	contents.State = NewState("", nil, parts, SafetyChecks{true, true})
	if stored.Snapshot == nil {
		return nil, errors.New("the directory holds no state yet")
	}
	if err := contents.State.Load(stored.Snapshot.GetData()); err != nil {
		return nil, err
	}
	contents.LastIndex, contents.Term = stored.Snapshot.GetMetadata().GetIndex(), stored.Snapshot.GetMetadata().GetTerm()
	for _, entry := range stored.Entries {
		if contents.LastIndex, contents.Term = entry.GetIndex(), entry.GetTerm(); entry.GetType() == raftpb.EntryNormal {
			_, command := decodeEntry(entry.GetData())
			contents.State.Apply(entry.GetIndex(), command)
		}
	}
	if stored.HardState != nil {
		contents.Term = max(contents.Term, stored.HardState.GetTerm())
	}
	for _, voter := range contents.State.Voters {
		contents.Voters = append(contents.Voters, *voter)
	}
	slices.SortFunc(contents.Voters, func(a, b Voter) int { return int(a.ID) - int(b.ID) })
	return contents, nil
}

// PotentialLosses lists what may be lost if a group continues from this directory alone.
func (contents *DirContents) PotentialLosses() []string {
	var others []string
	for _, voter := range contents.Voters {
		if voter.DiskID != contents.DiskID {
			others = append(others, voter.String())
		}
	}
	return []string{
		fmt.Sprintf("entries that other replicas (%v) committed after entry %d, the last one here", others, contents.LastIndex),
		"the results that members received for them: acknowledged commands may be undone, tokens may be issued again",
		"uncommitted entries here count as committed from now on",
	}
}

// Recover turns the directory of one replica into a group of its own, after the majority was lost. The state records
// the recovery permanently. The replica gets a new disk ID and a new voter ID: a lost disk that is started after all
// knows it only under the old ones.
func Recover(dir string, contents *DirContents, reason string) error {
	return writeSingleVoterDir(dir, contents.Name, newDiskID(), contents.State, contents.LastIndex+1, contents.Term+1, fmt.Sprintf("recovered from %s at entry %d: %s", contents.Name, contents.LastIndex, reason))
}

// Restore creates a directory for a new group of one voter from a snapshot.
func Restore(dir, name string, snapshot []byte, parts map[byte]Part) error {
	if _, err := os.Stat(dir); !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%s already exists; a snapshot can be restored only into a new directory", dir)
	}
	state := NewState("", nil, parts, SafetyChecks{true, true})
	if err := state.Load(snapshot); err != nil {
		return err
	}
	return writeSingleVoterDir(dir, name, newDiskID(), state, state.Index+1, 2, fmt.Sprintf("restored from a snapshot at entry %d", state.Index))
}

// newDiskID draws the ID of a new disk.
func newDiskID() string {
	var b [16]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// writeSingleVoterDir writes a directory in which this replica is the only voter.
func writeSingleVoterDir(dir, name, diskID string, state *State, index, term uint64, note string) error {
	fs := disk.Dir(dir)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	// Sessions and duties belong to processes that know the former group. Their runs open new sessions, and new
	// tokens are higher than all earlier ones.
	voter := Voter{ID: state.NextVoterID, Name: name, DiskID: diskID}
	state.Voters, state.NextVoterID = map[uint64]*Voter{voter.ID: &voter}, voter.ID+1
	for _, duty := range state.Duties {
		duty.Owner, duty.Epoch, duty.Token = "", 0, duty.Token+1<<20
	}
	state.Index = index
	state.Recovered = append(state.Recovered, time.Now().UTC().Format(time.RFC3339)+" "+note)
	store, _, err := OpenDiskStore(dir, fs, nil)
	if err != nil {
		return err
	}
	defer store.Close()
	snapshot := &raftpb.Snapshot{Data: state.Save(), Metadata: &raftpb.SnapshotMetadata{
		ConfState: &raftpb.ConfState{Voters: []uint64{voter.ID}}, Index: proto.Uint64(index), Term: proto.Uint64(term),
	}}
	if err := store.Save(&raftpb.HardState{Term: proto.Uint64(term), Vote: proto.Uint64(0), Commit: proto.Uint64(index)}, nil, true); err != nil {
		return err
	}
	if err := store.SaveSnapshot(snapshot, index); err != nil {
		return err
	}
	votersJSON, err := json.Marshal(map[string]any{"seat": voter, "seats": []Voter{voter}})
	if err != nil {
		return err
	}
	// The start count is higher than any that peers may remember.
	identityJSON, err := json.Marshal(map[string]any{"disk": diskID, "runs": 1 << 20})
	if err != nil {
		return err
	}
	return errors.Join(fs.Replace(identityFile, identityJSON), fs.Replace(votersFile, votersJSON), fs.Replace(peersFile, []byte("{}")))
}
