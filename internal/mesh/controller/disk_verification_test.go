package controller

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/telemetry"
)

// coreOfThree returns the state of a core of three members.
func coreOfThree() *consensus.State {
	return &consensus.State{Index: 4, ToleratedLosses: 1,
		Core: []consensus.Member{{ID: "a", Address: "a:1"}, {ID: "b", Address: "b:1"}, {ID: "c", Address: "c:1"}}}
}

func replicaWithDisk(id string, diskLife consensus.DiskIncarnation) *replicator {
	replica := &consensus.Replica{ID: id, Decided: coreOfThree(), Incarnation: diskLife}
	return newReplicator(replica, &hangingDisk{release: closedChannel()}, nil, telemetry.NewCounters(), id+":1", "life-"+id)
}

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// readFrom sends a read with the incarnation of from's disk to another replica and records the response.
func readFrom(t *testing.T, from, to *replicator) *consensus.Response {
	diskLife := from.replica.Incarnation
	response, err := to.handle(context.Background(), &consensus.Request{Kind: consensus.ReadState, Slot: 4, Incarnation: &diskLife})
	must.NoError(t, err)
	from.recordVerification(diskLife, response)
	return response
}

func prepare(r *replicator, round uint64) *consensus.Response {
	response, _ := r.handle(context.Background(), &consensus.Request{
		Kind: consensus.Prepare, Slot: 5, Ballot: consensus.Ballot{Round: round, Proposer: "p"}})
	return response
}

func TestReusedDiskVotesAfterVerificationByAMajority(t *testing.T) {
	b := replicaWithDisk("b", consensus.DiskIncarnation{ID: "b", Number: 2, Token: "second"})
	c := replicaWithDisk("c", consensus.DiskIncarnation{ID: "c", Number: 2, Token: "other"})
	response := prepare(b, 1)
	must.False(t, response.OK)
	must.Eq(t, 4, response.Index) // the refusal still reports its position
	must.False(t, readFrom(t, c, b).OK)
	must.False(t, readFrom(t, b, c).Superseded)
	must.True(t, prepare(b, 1).OK)
	must.True(t, readFrom(t, c, b).OK)
}

// A copy of a disk's first incarnation is started after the second incarnation has made a promise.
func TestOldDiskCopyGetsANewIdentity(t *testing.T) {
	second := consensus.DiskIncarnation{ID: "b", Number: 2, Token: "second"}
	c := replicaWithDisk("c", consensus.DiskIncarnation{ID: "c", Number: 1, Token: "other"})
	b := replicaWithDisk("b", second)
	readFrom(t, b, c)
	must.True(t, prepare(b, 9).OK)

	copied := second
	copied.Token = "copied" // the copy gives its start the same number
	old := replicaWithDisk("b", copied)
	must.True(t, readFrom(t, old, c).Superseded)
	must.False(t, prepare(old, 1).OK)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return strings.HasPrefix(old.identity(), "disk-") }),
		wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
	must.False(t, readFrom(t, old, c).Superseded)
	must.NotEq(t, "b", prepare(old, 1).ID) // a new identity, whose votes do not count
}

// With each start numbered as the first one, the guard is ineffective: an old copy promises a lower ballot than its
// identity has already promised.
func TestOldDiskCopyBreaksAPromiseWithoutVerification(t *testing.T) {
	first := consensus.DiskIncarnation{ID: "b", Number: 1, Token: "second"}
	b := replicaWithDisk("b", first)
	must.True(t, prepare(b, 9).OK)
	old := replicaWithDisk("b", consensus.DiskIncarnation{ID: "b", Number: 1, Token: "copied"})
	response := prepare(old, 1)
	must.True(t, response.OK)
	must.Eq(t, "b", response.ID)
}
