package keep

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Hello is what replicas send one another before they vote, and periodically after that.
type Hello struct {
	Group      int     `codec:"g"`
	Name       string  `codec:"n"`
	DiskID     string  `codec:"d"`           // random, drawn when the directory was created
	StartCount uint64  `codec:"r"`           // starts with this disk, including this one
	Nonce      uint64  `codec:"o"`           // random per start; tells apart runs on copies of a disk with the same StartCount
	Voters     []Voter `codec:"s,omitempty"` // voters as this replica knows them; empty before the group is formed
	Parts      string  `codec:"p,omitempty"` // numbers of the parts that its build supports
}

// HelloReply is the answer to a Hello.
type HelloReply struct {
	Hello
	Rejection string `codec:"w,omitempty"` // why the replica must not vote; empty if it may
	Voter     *Voter `codec:"t,omitempty"` // the receiver's own entry in the list of voters, if there is one
}

// Bootstrap decides whether a replica may vote: whether the group has been formed, and whether the disk is the one
// that the group knows and not an older copy of it. It has no I/O and no clock.
type Bootstrap struct {
	Self          Hello                 // sent to the peers
	Voter         *Voter                // of this disk, nil until it has one
	voterNames    []string              // including this replica's
	appliedVoters map[uint64]Voter      // as last applied; empty before
	peers         map[string]peerRecord // by name; a disk that waits for admission is under its name and a space
	accepted      map[string]bool       // peers that accepted this run
	rejection     string                // why a peer rejected this run
}

// peerRecord is the newest known run of a peer and its disk.
type peerRecord struct {
	DiskID     string `codec:"d" json:"disk"`
	StartCount uint64 `codec:"r" json:"runs"`
	Nonce      uint64 `codec:"o" json:"nonce"`
	Ungrouped  bool   `codec:"n" json:"new"` // it did not belong to a group yet
	Parts      string `codec:"p,omitempty" json:"parts,omitempty"`
}

// isStale reports whether a run with a disk is not the newest known one.
func (rec peerRecord) isStale(diskID string, startCount, nonce uint64) bool {
	return rec.DiskID == diskID && (startCount < rec.StartCount || startCount == rec.StartCount && nonce != rec.Nonce)
}

// NewBootstrap makes the Bootstrap of one run of a replica. voter and voters come from its disk; peers is what it has
// saved about the others.
func NewBootstrap(group int, name, diskID string, startCount, nonce uint64, voter *Voter, voters []Voter, voterNames []string, peers map[string]peerRecord) *Bootstrap {
	b := &Bootstrap{
		Self: Hello{Group: group, Name: name, DiskID: diskID, StartCount: startCount, Nonce: nonce, Voters: voters}, Voter: voter, voterNames: slices.Sorted(slices.Values(voterNames)),
		appliedVoters: map[uint64]Voter{}, peers: peers, accepted: map[string]bool{},
	}
	if b.peers == nil {
		b.peers = map[string]peerRecord{}
	}
	return b
}

// UpdateVoters takes the voters as last applied. It reports whether they have changed and have to be saved.
func (b *Bootstrap) UpdateVoters(voters map[uint64]*Voter) (changed bool) {
	var sorted []Voter
	for _, id := range slices.Sorted(maps.Keys(voters)) {
		sorted = append(sorted, *voters[id])
	}
	if slices.Equal(sorted, b.Self.Voters) {
		return false
	}
	b.Self.Voters = sorted
	clear(b.appliedVoters)
	for _, voter := range sorted {
		b.appliedVoters[voter.ID] = voter
		if b.Voter != nil && voter.ID == b.Voter.ID {
			copied := voter
			b.Voter = &copied
		}
	}
	return true
}

// findVoter finds the voter with a name and a disk, and the newest voter with that name. They differ during and after
// a replacement.
func (b *Bootstrap) findVoter(name, diskID string) (exact, newest *Voter) {
	voters := maps.Clone(b.appliedVoters)
	if len(voters) == 0 {
		for _, voter := range b.Self.Voters {
			voters[voter.ID] = voter
		}
	}
	for _, id := range slices.Sorted(maps.Keys(voters)) {
		if voter := voters[id]; voter.Name == name {
			if voter.DiskID == diskID {
				exact = &voter
			}
			newest = &voter
		}
	}
	return exact, newest
}

// HandleHello answers the hello of another replica. If changed is true, the record of the peer must be saved before
// the reply is sent.
func (b *Bootstrap) HandleHello(hello *Hello) (reply HelloReply, changed bool) {
	reply.Hello = b.Self
	if !slices.Contains(b.voterNames, hello.Name) {
		reply.Rejection = fmt.Sprintf("%q is not one of the configured voters %v", hello.Name, b.voterNames)
		return reply, false
	}
	previous := b.peers[hello.Name]
	if exact, newest := b.findVoter(hello.Name, hello.DiskID); newest != nil {
		if exact == nil {
			reply.Rejection = fmt.Sprintf("the group knows %s by another disk (%.8s, this is %.8s): its directory was lost or belongs to another member; run \"ottershift cluster replace %s\" to admit it as a voter",
				hello.Name, newest.DiskID, hello.DiskID, hello.Name)
			current := peerRecord{hello.DiskID, hello.StartCount, hello.Nonce, true, hello.Parts}
			b.peers[hello.Name+" "] = current // waits for admission
			return reply, false
		}
		reply.Voter = exact
	} else if len(b.Self.Voters) > 0 {
		b.peers[hello.Name+" "] = peerRecord{hello.DiskID, hello.StartCount, hello.Nonce, true, hello.Parts}
		reply.Rejection = fmt.Sprintf("%s is not a voter of the group; run \"ottershift cluster replace %s\" to admit it", hello.Name, hello.Name)
		return reply, false
	}
	if previous.isStale(hello.DiskID, hello.StartCount, hello.Nonce) {
		reply.Rejection = fmt.Sprintf("%s is known to have started %d times, but this run says that it is start %d: its directory is an old copy; run \"ottershift cluster replace %s\" to admit it as a voter",
			hello.Name, previous.StartCount, hello.StartCount, hello.Name)
		return reply, false
	}
	current := peerRecord{hello.DiskID, hello.StartCount, hello.Nonce, len(hello.Voters) == 0, hello.Parts}
	b.peers[hello.Name] = current
	return reply, current != previous
}

// AllSupport reports whether the builds of all voters support a part. A replica whose build does not support the part
// would skip its entries, and would hold a different state after an upgrade.
func (b *Bootstrap) AllSupport(part byte) bool {
	for _, name := range b.voterNames {
		if parts := b.peers[name].Parts; name != b.Self.Name && strings.IndexByte(parts, part) < 0 {
			return false
		}
	}
	return strings.IndexByte(b.Self.Parts, part) >= 0
}

// PendingDisk returns the ID of the disk with which a replica of that name waits for admission, or "".
func (b *Bootstrap) PendingDisk(name string) string { return b.peers[name+" "].DiskID }

// KnownPeers returns the peer records to save.
func (b *Bootstrap) KnownPeers() map[string]peerRecord {
	known := map[string]peerRecord{}
	for name, rec := range b.peers {
		if name[len(name)-1] != ' ' {
			known[name] = rec
		}
	}
	return known
}

// HandleReply handles a peer's reply to this replica's hello.
func (b *Bootstrap) HandleReply(reply *HelloReply) {
	if reply.Group != b.Self.Group || !slices.Contains(b.voterNames, reply.Name) || reply.Name == b.Self.Name {
		return
	}
	if reply.Rejection != "" {
		b.rejection = reply.Name + " rejected this replica: " + reply.Rejection
		delete(b.accepted, reply.Name)
		return
	}
	b.accepted[reply.Name] = true
	if previous := b.peers[reply.Name]; !previous.isStale(reply.DiskID, reply.StartCount, reply.Nonce) {
		b.peers[reply.Name] = peerRecord{reply.DiskID, reply.StartCount, reply.Nonce, len(reply.Voters) == 0, reply.Parts}
	}
	if reply.Voter != nil && reply.Voter.DiskID == b.Self.DiskID && (b.Voter == nil || b.Voter.ID != reply.Voter.ID) {
		copied := *reply.Voter
		b.Voter, b.rejection = &copied, "" // it was admitted
	}
	if len(b.Self.Voters) == 0 && len(reply.Voters) > 0 {
		b.adoptVoters(reply.Voters)
	}
}

// adoptVoters takes over the voters with which others formed the group, if this disk is among them.
func (b *Bootstrap) adoptVoters(voters []Voter) {
	for _, voter := range voters {
		if voter.Name == b.Self.Name && voter.DiskID == b.Self.DiskID {
			copied := voter
			b.Voter, b.Self.Voters = &copied, voters
		}
	}
}

// FormGroup forms a new group once each voter has reported that it belongs to none. It waits for all of them, as
// a voter that has not answered may belong to a group that already exists.
func (b *Bootstrap) FormGroup() bool {
	if b.Voter != nil || b.rejection != "" {
		return false
	}
	var voters []Voter
	for i, name := range b.voterNames {
		rec := peerRecord{b.Self.DiskID, b.Self.StartCount, b.Self.Nonce, true, b.Self.Parts}
		if name != b.Self.Name {
			if rec = b.peers[name]; !b.accepted[name] || !rec.Ungrouped {
				return false
			}
		}
		voters = append(voters, Voter{ID: uint64(i + 1), Name: name, DiskID: rec.DiskID})
	}
	b.adoptVoters(voters)
	return true
}

// IsFounder reports whether this disk is one of the founding voters, which may start from the initial snapshot. A
// replica that replaced another gets the whole committed state from the leader instead.
func (b *Bootstrap) IsFounder() bool {
	included := false
	for i, voter := range b.Self.Voters {
		if voter.ID != uint64(i+1) {
			return false
		}
		included = included || voter.DiskID == b.Self.DiskID
	}
	return included && len(b.Self.Voters) == len(b.voterNames)
}

// MayVote reports whether this run may vote: it is a voter, and a quorum, counting itself, knows no later run of its
// disk. timedOut says that all peers had enough time to answer.
func (b *Bootstrap) MayVote(timedOut bool) (ok bool, reason string) {
	if b.rejection != "" {
		return false, b.rejection
	}
	others := len(b.voterNames) - 1
	needed := len(b.voterNames) / 2
	switch {
	case b.Voter == nil:
		return false, "the group is not formed yet: each voter has to report once that it is new"
	case len(b.accepted) < needed:
		return false, fmt.Sprintf("reached %d of %d other voters, need %d", len(b.accepted), others, needed)
	case len(b.accepted) < others && !timedOut:
		return false, "waiting for the other voters"
	}
	return true, ""
}

// ClearRejection clears the last rejection, so that the peers are asked again: a replacement may have been committed
// meanwhile.
func (b *Bootstrap) ClearRejection() { b.rejection = "" }

// String returns the voter's name and ID.
func (v Voter) String() string { return fmt.Sprintf("%s/%d", v.Name, v.ID) }
