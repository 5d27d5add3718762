package controller

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/telemetry"
)

// savedDisk remembers what it took last, as a loss of power would leave it. It waits and refuses now and then.
type savedDisk struct {
	mu     sync.Mutex
	random *rand.Rand
	last   consensus.Replica
	lies   bool // it says of some saves that it has them, and has not
}

var errSavedDisk = errors.New("refused")

func (d *savedDisk) Save(replica *consensus.Replica) error {
	d.mu.Lock()
	kind := d.random.IntN(10)
	d.mu.Unlock()
	time.Sleep(time.Duration(kind*20) * time.Microsecond)
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case kind == 0:
		return errSavedDisk
	case kind == 1 && d.lies:
		return nil
	}
	d.last = *replica
	return nil
}

// holds reports whether what a disk has keeps the word that a response has given.
func (d *savedDisk) holds(a consensus.Request, out *consensus.Response) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	decided := d.last.Decided.Index
	switch {
	case !out.OK:
		return true
	case a.Kind == consensus.Learn:
		return decided >= a.Value.Index
	case decided >= a.Slot:
		return true
	case decided+1 != a.Slot:
		return false
	case a.Kind == consensus.Accept:
		return d.last.Accepted != nil && !d.last.Accepted.Ballot.Below(a.Ballot) && !d.last.Promised.Below(a.Ballot)
	}
	return !d.last.Promised.Below(a.Ballot)
}

// brokenWords has several processes ask one replica for promises, votes and decisions, and counts the responses that a loss of
// power just after them would break.
func brokenWords(seed uint64, lies bool) (words, broken int) {
	first := consensus.Replica{ID: "one", Decided: &consensus.State{Index: 1}}
	disk := &savedDisk{random: rand.New(rand.NewPCG(seed, 0)), last: first, lies: lies}
	k := newReplicator(&first, disk, nil, telemetry.NewCounters(), "here", "life")
	var mu sync.Mutex
	var all sync.WaitGroup
	for worker := range 6 {
		all.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(worker+1)))
			for range 40 {
				request := randomRequest(k, random)
				if request.Kind == consensus.Learn && random.IntN(4) == 0 {
					k.learn(request.Value) // the replica's own
					continue
				}
				out, err := k.handle(context.Background(), &request)
				if err != nil {
					continue
				}
				mu.Lock()
				if out.OK {
					words++
				}
				if !disk.holds(request, out) {
					broken++
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return words, broken
}

// randomRequest is one about the slot after the newest decision, or near it. Of a slot there is one decision.
func randomRequest(k *replicator, random *rand.Rand) consensus.Request {
	s, _ := k.state()
	slot := s.Index + 1 + uint64(random.IntN(6)/5)
	ballot := consensus.Ballot{Round: uint64(random.IntN(50)), Proposer: "a"}
	value := &consensus.State{Index: slot, BalancerCount: int(slot)}
	switch random.IntN(5) {
	case 0, 1:
		return consensus.Request{Kind: consensus.Prepare, Slot: slot, Ballot: ballot}
	case 2, 3:
		return consensus.Request{Kind: consensus.Accept, Slot: slot, Ballot: ballot, Value: value}
	}
	return consensus.Request{Kind: consensus.Learn, Value: value}
}

// Whatever a replica has answered for is on its disk by then: no vote or promise for a slot leaves before the decision
// under it is saved, and a decision that is confirmed is saved, also the second time and after a refusal.
func TestEveryWordIsOnDiskBeforeItIsGiven(t *testing.T) {
	words := 0
	for seed := range uint64(40) {
		given, broken := brokenWords(seed, false)
		must.Zero(t, broken, must.Sprint("seed", seed))
		words += given
	}
	t.Logf("%d words, none broken", words)
	must.Greater(t, 1000, words)
}

// The judge convicts a disk that says what is not so.
func TestALyingDiskBreaksWords(t *testing.T) {
	broken := 0
	for seed := range uint64(10) {
		_, some := brokenWords(seed, true)
		broken += some
	}
	t.Logf("%d words broken", broken)
	must.Positive(t, broken)
}

// While the disk hangs, decisions are known and reads are answered; votes wait.
func TestADiskThatHangsHoldsUpVotesOnly(t *testing.T) {
	first := consensus.Replica{ID: "one", Decided: &consensus.State{Index: 1}}
	disk := &hangingDisk{release: make(chan struct{})}
	k := newReplicator(&first, disk, nil, telemetry.NewCounters(), "here", "life")
	ctx := context.Background()
	learned := make(chan struct{})
	go func() {
		defer close(learned)
		k.handle(ctx, &consensus.Request{Kind: consensus.Learn, Value: &consensus.State{Index: 2}})
	}()
	k.learn(&consensus.State{Index: 3}) // returns at once
	s, _ := k.state()
	must.Eq(t, 3, s.Index)
	out, err := k.handle(ctx, &consensus.Request{Kind: consensus.ReadState, Slot: 3})
	must.NoError(t, err)
	must.True(t, out.OK)
	promised := make(chan *consensus.Response, 1)
	go func() {
		out, _ := k.handle(ctx, &consensus.Request{Kind: consensus.Prepare, Slot: 4, Ballot: consensus.Ballot{Round: 1, Proposer: "a"}})
		promised <- out
	}()
	select {
	case <-promised:
		t.Fatal("a promise has left before its save")
	case <-learned:
		t.Fatal("a decision was confirmed before its save")
	case <-time.After(50 * time.Millisecond):
	}
	close(disk.release)
	must.True(t, (<-promised).OK)
	<-learned
}

type hangingDisk struct{ release chan struct{} }

func (d *hangingDisk) Save(*consensus.Replica) error {
	<-d.release
	return nil
}
