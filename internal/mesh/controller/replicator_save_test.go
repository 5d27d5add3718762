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

// unreliableDisk records the last saved replica, as it would be found after a power loss. Saves are delayed and
// sometimes refused.
type unreliableDisk struct {
	mu         sync.Mutex
	random     *rand.Rand
	last       consensus.Replica
	losesSaves bool // some saves report success without saving
}

var errDiskRefused = errors.New("refused")

func (d *unreliableDisk) Save(replica *consensus.Replica) error {
	d.mu.Lock()
	kind := d.random.IntN(10)
	d.mu.Unlock()
	time.Sleep(time.Duration(kind*20) * time.Microsecond)
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case kind == 0:
		return errDiskRefused
	case kind == 1 && d.losesSaves:
		return nil
	}
	d.last = *replica
	return nil
}

// fulfills reports whether the disk contents are sufficient for what a response has promised.
func (d *unreliableDisk) fulfills(request consensus.Request, response *consensus.Response) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	decided := d.last.Decided.Index
	switch {
	case !response.OK:
		return true
	case request.Kind == consensus.Learn:
		return decided >= request.Value.Index
	case decided >= request.Slot:
		return true
	case decided+1 != request.Slot:
		return false
	case request.Kind == consensus.Accept:
		return d.last.Accepted != nil && !d.last.Accepted.Ballot.Below(request.Ballot) && !d.last.Promised.Below(request.Ballot)
	}
	return !d.last.Promised.Below(request.Ballot)
}

// countBrokenResponses sends concurrent prepare, accept and learn requests to one replica, and counts the granted
// responses and those that would not survive a power loss right after them.
func countBrokenResponses(seed uint64, losesSaves bool) (granted, broken int) {
	first := consensus.Replica{ID: "one", Decided: &consensus.State{Index: 1}}
	disk := &unreliableDisk{random: rand.New(rand.NewPCG(seed, 0)), last: first, losesSaves: losesSaves}
	r := newReplicator(&first, disk, nil, telemetry.NewCounters(), "here", "life")
	var mu sync.Mutex
	var all sync.WaitGroup
	for worker := range 6 {
		all.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(worker+1)))
			for range 40 {
				request := randomRequest(r, random)
				if request.Kind == consensus.Learn && random.IntN(4) == 0 {
					r.learn(request.Value) // as the replica does with decisions of its own proposals
					continue
				}
				response, err := r.handle(context.Background(), &request)
				if err != nil {
					continue
				}
				mu.Lock()
				if response.OK {
					granted++
				}
				if !disk.fulfills(request, response) {
					broken++
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return granted, broken
}

// randomRequest returns a request for the slot after the newest decision or the one after it. All decisions for a
// slot are the same.
func randomRequest(r *replicator, random *rand.Rand) consensus.Request {
	state, _ := r.knownState()
	slot := state.Index + 1 + uint64(random.IntN(6)/5)
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

// A replica's grants must be on disk when it sends them. No promise or vote for a slot may be sent before the
// preceding decision is saved. A confirmed decision must be saved, also if it was confirmed before or if a save has
// failed.
func TestGrantsAreOnDiskBeforeTheyAreSent(t *testing.T) {
	granted := 0
	for seed := range uint64(40) {
		some, broken := countBrokenResponses(seed, false)
		must.Zero(t, broken, must.Sprint("seed", seed))
		granted += some
	}
	t.Logf("%d grants, all of them durable", granted)
	must.Greater(t, 1000, granted)
}

// The check must detect a disk that loses saves.
func TestLostSavesAreDetected(t *testing.T) {
	broken := 0
	for seed := range uint64(10) {
		_, some := countBrokenResponses(seed, true)
		broken += some
	}
	t.Logf("%d grants were not durable", broken)
	must.Positive(t, broken)
}

// While the disk hangs, decisions are learned and reads are answered, but votes wait.
func TestHangingDiskDelaysOnlyVotes(t *testing.T) {
	first := consensus.Replica{ID: "one", Decided: &consensus.State{Index: 1}}
	disk := &hangingDisk{release: make(chan struct{})}
	r := newReplicator(&first, disk, nil, telemetry.NewCounters(), "here", "life")
	ctx := context.Background()
	learned := make(chan struct{})
	go func() {
		defer close(learned)
		r.handle(ctx, &consensus.Request{Kind: consensus.Learn, Value: &consensus.State{Index: 2}})
	}()
	r.learn(&consensus.State{Index: 3}) // returns at once
	state, _ := r.knownState()
	must.Eq(t, 3, state.Index)
	response, err := r.handle(ctx, &consensus.Request{Kind: consensus.ReadState, Slot: 3})
	must.NoError(t, err)
	must.True(t, response.OK)
	promised := make(chan *consensus.Response, 1)
	go func() {
		response, _ := r.handle(ctx, &consensus.Request{Kind: consensus.Prepare, Slot: 4,
			Ballot: consensus.Ballot{Round: 1, Proposer: "a"}})
		promised <- response
	}()
	select {
	case <-promised:
		t.Fatal("a promise was sent before it was saved")
	case <-learned:
		t.Fatal("a decision was confirmed before it was saved")
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
