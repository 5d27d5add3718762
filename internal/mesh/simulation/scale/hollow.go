package scale

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"ottershift/internal/mesh/membership"
	"ottershift/internal/mesh/proxy"
	"ottershift/internal/mesh/rpc"
	"ottershift/internal/mesh/storage"
)

// Intervals of a hollow proxy, the same as those of a real proxy.
const (
	watchWait   = 600 * time.Millisecond
	avoidFailed = 3 * time.Second
	retryPause  = 20 * time.Millisecond
)

// hollowProxy is a proxy without a data plane. It renews its lease and receives updates like a real proxy, but
// serves no requests.
type hollowProxy struct {
	number int
	fleet  *fleet
	caller *rpc.Client

	mu                 sync.Mutex
	node               membership.Node
	changed            chan struct{}
	position           membership.Position
	controllers        []membership.ControllerAddress
	coordinatorAddress string
	known              []uint64 // by proxy number: newest Seq received for each hollow proxy, 0 for none
	stop               context.CancelFunc
	stopped            chan struct{}
}

func hollowName(number int) string { return fmt.Sprintf("hollow-%04d", number) }

func newHollowProxy(f *fleet, number int, zone, service string) *hollowProxy {
	return &hollowProxy{
		number: number, fleet: f, caller: rpc.NewClient(f.meter.wrap), changed: make(chan struct{}), known: make([]uint64, f.size),
		node: membership.Node{
			Name: hollowName(number), Inbound: fmt.Sprintf("10.%d.%d.%d:8109", 100+number>>16, number>>8&255, number&255), Zone: zone,
			Upstream: &membership.Upstream{ID: fmt.Sprintf("i-%08x", number*2654435761&0xffffffff), Service: service, Version: "v1", Capacity: 8},
		},
	}
}

// start begins the watch. A new incarnation starts without any state.
func (h *hollowProxy) start(ctx context.Context, newIncarnation bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if newIncarnation {
		h.node.Incarnation, h.position, h.controllers = storage.NewID(), membership.Position{}, nil
		h.node.Seq = h.fleet.nextSeq(h.number)
		clear(h.known)
	}
	ctx, h.stop = context.WithCancel(ctx)
	h.stopped = make(chan struct{})
	go func() {
		defer close(h.stopped)
		h.watch(ctx)
		h.caller.Close()
	}()
}

// disconnect stops the watch without notice, as a crash or a partition does.
func (h *hollowProxy) disconnect() {
	h.mu.Lock()
	stop, stopped := h.stop, h.stopped
	h.mu.Unlock()
	if stop != nil {
		stop()
		<-stopped
	}
}

// changeUpstream changes the state of the upstream and has the proxy send it at once.
func (h *hollowProxy) changeUpstream() {
	h.mu.Lock()
	defer h.mu.Unlock()
	upstream := *h.node.Upstream
	upstream.OutlierLevel = (upstream.OutlierLevel + 1) % 4
	h.node.Upstream, h.node.Seq = &upstream, h.fleet.nextSeq(h.number)
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *hollowProxy) watch(ctx context.Context) {
	failed := map[string]time.Time{}
	for ctx.Err() == nil {
		controller := h.pickController(failed)
		response, interrupted, err := h.request(ctx, controller)
		switch {
		case ctx.Err() != nil:
			return
		case interrupted:
			h.fleet.meter.Interrupted.Add(1)
		case err != nil:
			h.fleet.meter.Failed.Add(1)
			failed[controller] = time.Now()
		default:
			h.apply(response)
			if response.Current {
				continue
			}
			h.fleet.meter.NotCurrent.Add(1)
			failed[controller] = time.Now()
		}
		sleep(ctx, retryPause)
	}
}

// request makes one watch request. A change of the proxy's own node interrupts it.
func (h *hollowProxy) request(ctx context.Context, controller string) (response *membership.WatchResponse, interrupted bool, err error) {
	h.mu.Lock()
	request := &membership.WatchRequest{Node: h.node, Position: h.position, MaxWait: int64(watchWait), AcceptsPacked: true}
	changed := h.changed
	h.mu.Unlock()
	h.fleet.meter.Requests.Add(1)
	response = &membership.WatchResponse{}
	stallPolicy := rpc.StallPolicy{Timeout: proxy.WatchTimeout, Interrupt: changed}
	err = h.caller.CallUntilStalled(ctx, stallPolicy, controller, rpc.PathWatch, request, response)
	if err == nil && response.Packed == nil && response.Digest != "" && response.Digest != request.Position.Digest {
		err = h.fetchConfiguration(ctx, controller, request.Position.Digest)
	}
	return response, errors.Is(err, rpc.ErrInterrupted), err
}

// fetchConfiguration downloads a long configuration in pieces, as a real proxy does, and discards it.
func (h *hollowProxy) fetchConfiguration(ctx context.Context, controller, held string) error {
	request := &membership.ConfigurationRequest{HeldDigest: held}
	for {
		piece := &membership.ConfigurationResponse{}
		err := h.caller.CallUntilStalled(ctx, rpc.StallPolicy{Timeout: proxy.WatchTimeout}, controller, rpc.PathConfiguration, request, piece)
		if err != nil {
			return err
		}
		request.Result, request.Base, request.Offset = piece.Packed.Result, piece.Packed.Base, piece.Offset+len(piece.Packed.Data)
		if request.Offset >= piece.Total || len(piece.Packed.Data) == 0 {
			return nil
		}
	}
}

// apply applies a watch response, as a real proxy does.
func (h *hollowProxy) apply(response *membership.WatchResponse) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if response.Complete {
		h.fleet.meter.Whole.Add(1)
		if !response.Starting {
			clear(h.known)
		}
	}
	h.fleet.meter.Nodes.Add(int64(len(response.Nodes)))
	for _, record := range response.Nodes {
		h.observe(record, now)
	}
	for _, name := range response.RemovedNodes {
		if number, is := hollowNumber(name, len(h.known)); is {
			h.known[number] = 0
		}
	}
	h.controllers, h.coordinatorAddress = response.Controllers, response.Coordinator
	if h.fleet.stableOrder {
		slices.SortFunc(h.controllers, func(a, b membership.ControllerAddress) int { return strings.Compare(a.Address, b.Address) })
	}
	h.position.Controller, h.position.Seq = response.Controller, response.Seq
	if response.Configuration != nil || response.Digest != h.position.Digest {
		h.position.Index, h.position.Edition, h.position.Digest = max(h.position.Index, response.Index), response.Edition, response.Digest
	} else if response.Index > h.position.Index && (response.Edition == h.position.Edition || response.Edition == 0) {
		h.position.Index = response.Index
	}
}

func (h *hollowProxy) observe(record membership.Record, now time.Time) {
	number, is := hollowNumber(record.Name, len(h.known))
	if !is {
		return
	}
	if record.Lost {
		h.known[number] = 0
		return
	}
	if record.Seq > h.known[number] {
		h.known[number] = record.Seq
		h.fleet.recordDelivery(number, record.Seq, now)
	}
}

func hollowNumber(name string, size int) (int, bool) {
	var number int
	if n, err := fmt.Sscanf(name, "hollow-%d", &number); n != 1 || err != nil || number < 0 || number >= size {
		return 0, false
	}
	return number, true
}

// complete reports whether the current state of all connected nodes is known.
func (h *hollowProxy) complete(seqs []uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for number, seq := range seqs {
		if seq > 0 && h.known[number] < seq {
			return false
		}
	}
	return true
}

// coordinator returns the last known address of the coordinator, which holds the token bank.
func (h *hollowProxy) coordinator() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.coordinatorAddress
}

func (h *hollowProxy) incarnation() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.node.Incarnation
}

func (h *hollowProxy) edition() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.position.Edition
}

// pickController chooses a controller as a real proxy does: one that has not failed recently, preferably of its own zone.
func (h *hollowProxy) pickController(failed map[string]time.Time) string {
	h.mu.Lock()
	controllers := h.controllers
	h.mu.Unlock()
	all := orderControllers(h.node.Name, h.node.Zone, controllers, h.fleet.seeds)
	oldest := all[0]
	for _, address := range all {
		if time.Since(failed[address]) > avoidFailed {
			return address
		}
		if failed[address].Before(failed[oldest]) {
			oldest = address
		}
	}
	return oldest
}

func orderControllers(name, zone string, controllers []membership.ControllerAddress, seeds []string) (all []string) {
	add := func(address string) {
		if !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	for _, c := range controllers {
		if c.Zone == zone {
			add(c.Address)
		}
	}
	own := len(all)
	for _, c := range controllers {
		add(c.Address)
	}
	for _, address := range seeds {
		add(address)
	}
	rest := all[own:]
	if len(rest) < 2 {
		return all
	}
	offset := (len(name) + int(name[len(name)-1])) % len(rest)
	return slices.Concat(all[:own], rest[offset:], rest[:offset])
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
