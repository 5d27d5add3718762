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

// vouchingCore is a state of three members, and a replica of one of them in a life of its disk.
func vouchingCore() *consensus.State {
	return &consensus.State{Index: 4, ToleratedLosses: 1, Core: []consensus.Member{{ID: "a", Address: "a:1"}, {ID: "b", Address: "b:1"}, {ID: "c", Address: "c:1"}}}
}

func replicaInLife(id string, life consensus.DiskIncarnation) *replicator {
	replica := &consensus.Replica{ID: id, Decided: vouchingCore(), Incarnation: life}
	return newReplicator(replica, &hangingDisk{release: closedChannel()}, nil, telemetry.NewCounters(), id+":1", "life-"+id)
}

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// read has one replica ask another where it stands.
func read(t *testing.T, from, to *replicator) *consensus.Response {
	life := from.replica.Incarnation
	out, err := to.handle(context.Background(), &consensus.Request{Kind: consensus.ReadState, Slot: 4, Incarnation: &life})
	must.NoError(t, err)
	from.noteVouched(life, out)
	return out
}

func prepareOf(k *replicator, round uint64) *consensus.Response {
	out, _ := k.handle(context.Background(), &consensus.Request{Kind: consensus.Prepare, Slot: 5, Ballot: consensus.Ballot{Round: round, Proposer: "p"}})
	return out
}

func TestADiskInUseBeforeVotesOnceAMajorityKnowsOfNoLaterLife(t *testing.T) {
	b := replicaInLife("b", consensus.DiskIncarnation{ID: "b", Number: 2, Token: "second"})
	c := replicaInLife("c", consensus.DiskIncarnation{ID: "c", Number: 2, Token: "other"})
	out := prepareOf(b, 1)
	must.False(t, out.OK)
	must.Eq(t, 4, out.Index) // it says where it stands all the same
	must.False(t, read(t, c, b).OK)
	must.False(t, read(t, b, c).Superseded)
	must.True(t, prepareOf(b, 1).OK)
	must.True(t, read(t, c, b).OK)
}

// The copy of a disk's first life comes back after its second one has promised something.
func TestAnOldCopyOfADiskBecomesAStranger(t *testing.T) {
	second := consensus.DiskIncarnation{ID: "b", Number: 2, Token: "second"}
	c := replicaInLife("c", consensus.DiskIncarnation{ID: "c", Number: 1, Token: "other"})
	b := replicaInLife("b", second)
	read(t, b, c)
	must.True(t, prepareOf(b, 9).OK)

	copied := second
	copied.Token = "copied" // the copy counts its start by the same number
	old := replicaInLife("b", copied)
	must.True(t, read(t, old, c).Superseded)
	must.False(t, prepareOf(old, 1).OK)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return strings.HasPrefix(old.identity(), "disk-") }),
		wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
	must.False(t, read(t, old, c).Superseded)
	must.NotEq(t, "b", prepareOf(old, 1).ID) // a stranger's word, which counts for nobody
}

// The variant without the guard counts each start as a first one: it promises below what its identity has promised before.
func TestWithoutVouchingAnOldCopyBreaksAPromise(t *testing.T) {
	first := consensus.DiskIncarnation{ID: "b", Number: 1, Token: "second"}
	b := replicaInLife("b", first)
	must.True(t, prepareOf(b, 9).OK)
	old := replicaInLife("b", consensus.DiskIncarnation{ID: "b", Number: 1, Token: "copied"})
	out := prepareOf(old, 1)
	must.True(t, out.OK)
	must.Eq(t, "b", out.ID)
}
