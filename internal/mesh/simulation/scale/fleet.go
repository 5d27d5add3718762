package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms, in microseconds.
const (
	leastDelay = 1
	mostDelay  = 60_000_000
	digits     = 3
)

// fleet is all hollow balancers of one pass.
type fleet struct {
	size  int
	seeds []string
	zones int
	meter *Meter
	all   []*hollow

	stableOrder bool // of controllers, as Plan says

	seqs  []atomic.Uint64 // by number, 0 while a balancer is away
	last  []atomic.Uint64 // by number, the last Seq given out
	since []atomic.Int64  // when, in Unix nanoseconds

	mu    sync.Mutex
	delay *hdrhistogram.Histogram // from a change until a balancer has heard of it
}

func newFleet(size int, seeds, zones []string, services int) *fleet {
	f := &fleet{size: size, seeds: seeds, zones: len(zones), meter: &Meter{}, seqs: make([]atomic.Uint64, size), last: make([]atomic.Uint64, size),
		since: make([]atomic.Int64, size), delay: hdrhistogram.New(leastDelay, mostDelay, digits)}
	for number := range size {
		f.all = append(f.all, newHollow(f, number, zones[number%len(zones)], serviceName(number/len(zones)%services)))
	}
	return f
}

func serviceName(number int) string { return fmt.Sprintf("service-%02d", number) }

// next gives a balancer's node its next number of changes.
func (f *fleet) next(number int) uint64 {
	seq := f.last[number].Add(1)
	f.since[number].Store(time.Now().UnixNano())
	f.seqs[number].Store(seq)
	return seq
}

// heard notes that a balancer has heard of a change; old changes are left out.
func (f *fleet) heard(number int, seq uint64, now time.Time) {
	if f.seqs[number].Load() != seq {
		return
	}
	micros := (now.UnixNano() - f.since[number].Load()) / int64(time.Microsecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay.RecordValue(min(max(micros, leastDelay), mostDelay))
}

// takeDelays gives what was noted since the last call.
func (f *fleet) takeDelays() *hdrhistogram.Histogram {
	f.mu.Lock()
	defer f.mu.Unlock()
	taken := f.delay
	f.delay = hdrhistogram.New(leastDelay, mostDelay, digits)
	return taken
}

// start starts balancers, all at once.
func (f *fleet) start(ctx context.Context, some []*hollow, newLife bool) {
	for _, h := range some {
		if !newLife {
			f.seqs[h.number].Store(f.last[h.number].Load())
		}
		h.start(ctx, newLife)
	}
}

// silence ends the watch of balancers.
func (f *fleet) silence(some []*hollow) {
	var wait sync.WaitGroup
	for _, h := range some {
		wait.Go(func() {
			h.silence()
			f.seqs[h.number].Store(0)
		})
	}
	wait.Wait()
}

// ofZones are the balancers of the zones that a test holds for.
func (f *fleet) ofZones(is func(zone int) bool) (some []*hollow) {
	for _, h := range f.all {
		if is(h.number % f.zones) {
			some = append(some, h)
		}
	}
	return some
}

// changes has balancers' upstreams change at a rate until the context ends.
func (f *fleet) changes(ctx context.Context, perSecond float64) {
	for pause(ctx, time.Duration(float64(time.Second)/perSecond)) == nil {
		f.all[rand.IntN(f.size)].change()
	}
}

// waitComplete waits until each balancer knows all others; it reports how long that took, or that it did not come.
func (f *fleet) waitComplete(ctx context.Context, patience time.Duration) (time.Duration, bool) {
	seqs := make([]uint64, f.size)
	for n := range seqs {
		seqs[n] = f.seqs[n].Load()
	}
	return waitAll(ctx, patience, f.all, func(h *hollow) bool { return h.complete(seqs) })
}

// waitEdition waits until each balancer has a version of the configuration.
func (f *fleet) waitEdition(ctx context.Context, patience time.Duration, edition int64) (time.Duration, bool) {
	return waitAll(ctx, patience, f.all, func(h *hollow) bool { return h.edition() >= edition })
}

func waitAll(ctx context.Context, patience time.Duration, all []*hollow, done func(*hollow) bool) (time.Duration, bool) {
	began := time.Now()
	for n := 0; n < len(all); {
		if done(all[n]) {
			n++
			continue
		}
		if time.Since(began) > patience || pause(ctx, 10*time.Millisecond) != nil {
			return time.Since(began), false
		}
	}
	return time.Since(began), true
}
