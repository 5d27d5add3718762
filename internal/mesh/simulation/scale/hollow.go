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

// How a hollow balancer paces itself; a real proxy does the same.
const (
	watchWait   = 600 * time.Millisecond
	avoidFailed = 3 * time.Second
	retryPause  = 20 * time.Millisecond
)

// hollow is a balancer without a data plane: it renews its lease and takes news, as a real proxy does, and serves nobody.
type hollow struct {
	number int
	fleet  *fleet
	caller *rpc.Client

	mu            sync.Mutex
	node          membership.Node
	changed       chan struct{}
	position      membership.Position
	controllers   []membership.ControllerAddress
	coordinatorAt string
	known         []uint64 // by number: the newest Seq told of each hollow node, 0 for none
	stop          context.CancelFunc
	stopped       chan struct{}
}

func hollowName(number int) string { return fmt.Sprintf("hollow-%04d", number) }

func newHollow(f *fleet, number int, zone, service string) *hollow {
	return &hollow{
		number: number, fleet: f, caller: rpc.NewClient(f.meter.wrap), changed: make(chan struct{}), known: make([]uint64, f.size),
		node: membership.Node{
			Name: hollowName(number), Inbound: fmt.Sprintf("10.%d.%d.%d:8109", 100+number>>16, number>>8&255, number&255), Zone: zone,
			Upstream: &membership.Upstream{ID: fmt.Sprintf("i-%08x", number*2654435761&0xffffffff), Service: service, Version: "v1", Capacity: 8},
		},
	}
}

// start begins the watch; a new life knows nothing.
func (h *hollow) start(ctx context.Context, newLife bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if newLife {
		h.node.Incarnation, h.position, h.controllers = storage.NewID(), membership.Position{}, nil
		h.node.Seq = h.fleet.next(h.number)
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

// silence ends the watch without a word, as a crash or a cut does.
func (h *hollow) silence() {
	h.mu.Lock()
	stop, stopped := h.stop, h.stopped
	h.mu.Unlock()
	if stop != nil {
		stop()
		<-stopped
	}
}

// change has the balancer's upstream change, which it tells at once.
func (h *hollow) change() {
	h.mu.Lock()
	defer h.mu.Unlock()
	upstream := *h.node.Upstream
	upstream.OutlierLevel = (upstream.OutlierLevel + 1) % 4
	h.node.Upstream, h.node.Seq = &upstream, h.fleet.next(h.number)
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *hollow) watch(ctx context.Context) {
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
		pause(ctx, retryPause)
	}
}

// request makes one watch request; it is given up for a change of the balancer's own.
func (h *hollow) request(ctx context.Context, controller string) (response *membership.WatchResponse, interrupted bool, err error) {
	h.mu.Lock()
	request := &membership.WatchRequest{Node: h.node, Position: h.position, MaxWait: int64(watchWait), AcceptsPacked: true}
	changed := h.changed
	h.mu.Unlock()
	h.fleet.meter.Requests.Add(1)
	response = &membership.WatchResponse{}
	patience := rpc.StallPolicy{Timeout: proxy.WatchTimeout, Interrupt: changed}
	err = h.caller.CallUntilStalled(ctx, patience, controller, rpc.PathWatch, request, response)
	if err == nil && response.Packed == nil && response.Digest != "" && response.Digest != request.Position.Digest {
		err = h.fetchConfiguration(ctx, controller, request.Position.Digest)
	}
	return response, errors.Is(err, rpc.ErrInterrupted), err
}

// fetchConfiguration takes the bytes of a long configuration, as a real proxy does, and reads nothing of them.
func (h *hollow) fetchConfiguration(ctx context.Context, controller, held string) error {
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

// apply takes news, as a real proxy takes it.
func (h *hollow) apply(n *membership.WatchResponse) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if n.Complete {
		h.fleet.meter.Whole.Add(1)
		if !n.Starting {
			clear(h.known)
		}
	}
	h.fleet.meter.Nodes.Add(int64(len(n.Nodes)))
	for _, record := range n.Nodes {
		h.observe(record, now)
	}
	for _, name := range n.RemovedNodes {
		if number, is := hollowNumber(name, len(h.known)); is {
			h.known[number] = 0
		}
	}
	h.controllers, h.coordinatorAt = n.Controllers, n.Coordinator
	if h.fleet.stableOrder {
		slices.SortFunc(h.controllers, func(a, b membership.ControllerAddress) int { return strings.Compare(a.Address, b.Address) })
	}
	h.position.Controller, h.position.Seq = n.Controller, n.Seq
	if n.Configuration != nil || n.Digest != h.position.Digest {
		h.position.Index, h.position.Edition, h.position.Digest = max(h.position.Index, n.Index), n.Edition, n.Digest
	} else if n.Index > h.position.Index && (n.Edition == h.position.Edition || n.Edition == 0) {
		h.position.Index = n.Index
	}
}

func (h *hollow) observe(record membership.Record, now time.Time) {
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
		h.fleet.heard(number, record.Seq, now)
	}
}

func hollowNumber(name string, size int) (int, bool) {
	var number int
	if n, err := fmt.Sscanf(name, "hollow-%d", &number); n != 1 || err != nil || number < 0 || number >= size {
		return 0, false
	}
	return number, true
}

// complete reports whether all nodes that are there are known as they are.
func (h *hollow) complete(seqs []uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for number, seq := range seqs {
		if seq > 0 && h.known[number] < seq {
			return false
		}
	}
	return true
}

// coordinator is the address of who keeps the token bank, as far as is known.
func (h *hollow) coordinator() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.coordinatorAt
}

func (h *hollow) life() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.node.Incarnation
}

func (h *hollow) edition() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.position.Edition
}

// pickController chooses as a real proxy does: of those that have not failed of late, one of its zone first.
func (h *hollow) pickController(failed map[string]time.Time) string {
	h.mu.Lock()
	controllers := h.controllers
	h.mu.Unlock()
	all := orderControllers(h.node.Name, h.node.Zone, controllers, h.fleet.seeds)
	oldest := all[0]
	for _, at := range all {
		if time.Since(failed[at]) > avoidFailed {
			return at
		}
		if failed[at].Before(failed[oldest]) {
			oldest = at
		}
	}
	return oldest
}

func orderControllers(name, zone string, controllers []membership.ControllerAddress, seeds []string) (all []string) {
	add := func(at string) {
		if !slices.Contains(all, at) {
			all = append(all, at)
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
	for _, at := range seeds {
		add(at)
	}
	rest := all[own:]
	if len(rest) < 2 {
		return all
	}
	by := (len(name) + int(name[len(name)-1])) % len(rest)
	return slices.Concat(all[:own], rest[by:], rest[:by])
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
