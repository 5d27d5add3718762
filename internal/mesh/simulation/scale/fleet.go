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
	minDelayMicros    = 1
	maxDelayMicros    = 60_000_000
	significantDigits = 3
)

// fleet is all hollow proxies of the run at one size.
type fleet struct {
	size    int
	seeds   []string
	zones   int
	meter   *Meter
	proxies []*hollowProxy

	stableOrder bool // see Plan.StableOrder

	seqs      []atomic.Uint64 // by proxy number: current Seq, 0 while the proxy is disconnected
	lastSeqs  []atomic.Uint64 // by proxy number: last Seq assigned
	changedAt []atomic.Int64  // by proxy number: time of the last change, in Unix nanoseconds

	mu    sync.Mutex
	delay *hdrhistogram.Histogram // from a change until another proxy receives it
}

func newFleet(size int, seeds, zones []string, services int) *fleet {
	f := &fleet{size: size, seeds: seeds, zones: len(zones), meter: &Meter{}, seqs: make([]atomic.Uint64, size), lastSeqs: make([]atomic.Uint64, size),
		changedAt: make([]atomic.Int64, size), delay: hdrhistogram.New(minDelayMicros, maxDelayMicros, significantDigits)}
	for number := range size {
		f.proxies = append(f.proxies, newHollowProxy(f, number, zones[number%len(zones)], serviceName(number/len(zones)%services)))
	}
	return f
}

func serviceName(number int) string { return fmt.Sprintf("service-%02d", number) }

// nextSeq assigns the next Seq to the node of a proxy.
func (f *fleet) nextSeq(number int) uint64 {
	seq := f.lastSeqs[number].Add(1)
	f.changedAt[number].Store(time.Now().UnixNano())
	f.seqs[number].Store(seq)
	return seq
}

// recordDelivery records the delay with which a proxy received a change. Changes that have been superseded are left out.
func (f *fleet) recordDelivery(number int, seq uint64, now time.Time) {
	if f.seqs[number].Load() != seq {
		return
	}
	micros := (now.UnixNano() - f.changedAt[number].Load()) / int64(time.Microsecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay.RecordValue(min(max(micros, minDelayMicros), maxDelayMicros))
}

// takeDelays returns the delays recorded since the last call.
func (f *fleet) takeDelays() *hdrhistogram.Histogram {
	f.mu.Lock()
	defer f.mu.Unlock()
	taken := f.delay
	f.delay = hdrhistogram.New(minDelayMicros, maxDelayMicros, significantDigits)
	return taken
}

// start starts proxies, all at once.
func (f *fleet) start(ctx context.Context, proxies []*hollowProxy, newIncarnation bool) {
	for _, h := range proxies {
		if !newIncarnation {
			f.seqs[h.number].Store(f.lastSeqs[h.number].Load())
		}
		h.start(ctx, newIncarnation)
	}
}

// disconnect stops the watch loops of proxies.
func (f *fleet) disconnect(proxies []*hollowProxy) {
	var wait sync.WaitGroup
	for _, h := range proxies {
		wait.Go(func() {
			h.disconnect()
			f.seqs[h.number].Store(0)
		})
	}
	wait.Wait()
}

// inZones returns the proxies in the selected zones.
func (f *fleet) inZones(selected func(zone int) bool) (proxies []*hollowProxy) {
	for _, h := range f.proxies {
		if selected(h.number % f.zones) {
			proxies = append(proxies, h)
		}
	}
	return proxies
}

// changeUpstreams changes the upstreams of random proxies at a rate until ctx ends.
func (f *fleet) changeUpstreams(ctx context.Context, perSecond float64) {
	for sleep(ctx, time.Duration(float64(time.Second)/perSecond)) == nil {
		f.proxies[rand.IntN(f.size)].changeUpstream()
	}
}

// waitComplete waits until each proxy knows all others. It returns how long that took, and false on a timeout.
func (f *fleet) waitComplete(ctx context.Context, timeout time.Duration) (time.Duration, bool) {
	seqs := make([]uint64, f.size)
	for n := range seqs {
		seqs[n] = f.seqs[n].Load()
	}
	return waitAll(ctx, timeout, f.proxies, func(h *hollowProxy) bool { return h.complete(seqs) })
}

// waitEdition waits until each proxy has a version of the configuration.
func (f *fleet) waitEdition(ctx context.Context, timeout time.Duration, edition int64) (time.Duration, bool) {
	return waitAll(ctx, timeout, f.proxies, func(h *hollowProxy) bool { return h.edition() >= edition })
}

func waitAll(ctx context.Context, timeout time.Duration, proxies []*hollowProxy, done func(*hollowProxy) bool) (time.Duration, bool) {
	startedAt := time.Now()
	for n := 0; n < len(proxies); {
		if done(proxies[n]) {
			n++
			continue
		}
		if time.Since(startedAt) > timeout || sleep(ctx, 10*time.Millisecond) != nil {
			return time.Since(startedAt), false
		}
	}
	return time.Since(startedAt), true
}
