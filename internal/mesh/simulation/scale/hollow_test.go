package scale

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ottershift/internal/mesh/membership"
	"ottershift/internal/mesh/rpc"
)

// registry is a controller that uses the real membership registry and responds after a short delay.
type registry struct {
	*membership.Registry
	slot     chan struct{}
	refuse   atomic.Bool
	requests atomic.Int64
}

func newRegistry(t *testing.T) (*registry, string) {
	r := &registry{Registry: membership.NewRegistry(), slot: make(chan struct{}, 1)}
	mux := http.NewServeMux()
	mux.HandleFunc(rpc.PathWatch, rpc.Handle(r.handle))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return r, strings.TrimPrefix(server.URL, "http://")
}

func (r *registry) handle(_ context.Context, request *membership.WatchRequest) (*membership.WatchResponse, error) {
	if r.requests.Add(1); r.refuse.Load() {
		return nil, Error.New("refused")
	}
	time.Sleep(5 * time.Millisecond)
	r.slot <- struct{}{}
	defer func() { <-r.slot }()
	now := time.Now().UnixNano()
	r.Observe(request.Node, 0, now, true)
	response := &membership.WatchResponse{Position: membership.Position{Controller: "life", Seq: r.Seq()}, Current: true}
	response.Nodes, response.RemovedNodes, response.Complete = r.ChangesSince(request.Position.Seq, now)
	return response, nil
}

func TestHollowProxiesLearnOfOneAnother(t *testing.T) {
	_, at := newRegistry(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := newFleet(6, []string{at}, []string{"x", "y"}, 2)
	f.start(ctx, f.proxies, true)
	defer f.disconnect(f.proxies)
	_, done := f.waitComplete(ctx, 5*time.Second)
	must.True(t, done)
	must.Positive(t, f.meter.Read().Received)
	must.Positive(t, f.meter.Read().Dialed)

	f.takeDelays()
	f.proxies[3].changeUpstream()
	_, done = f.waitComplete(ctx, 5*time.Second)
	must.True(t, done)
	must.Eq(t, 6, f.takeDelays().TotalCount())

	zoneProxies := f.inZones(func(zone int) bool { return zone == 1 })
	must.SliceLen(t, 3, zoneProxies)
	f.disconnect(zoneProxies)
	before := f.proxies[1].node.Incarnation
	f.start(ctx, zoneProxies, true)
	must.NotEq(t, before, f.proxies[1].node.Incarnation)
	_, done = f.waitComplete(ctx, 5*time.Second)
	must.True(t, done)
}

func TestHollowProxyAvoidsFailedController(t *testing.T) {
	bad, badAt := newRegistry(t)
	bad.refuse.Store(true)
	good, goodAt := newRegistry(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := newFleet(2, []string{badAt, goodAt}, []string{"x"}, 1)
	f.start(ctx, f.proxies, true)
	defer f.disconnect(f.proxies)
	_, done := f.waitComplete(ctx, 5*time.Second)
	must.True(t, done)
	must.Positive(t, good.requests.Load())
	must.LessEq(t, 2, bad.requests.Load()) // each proxy sends it at most one request within avoidFailed
}

func TestLostAndRemovedNodesAreNotKnown(t *testing.T) {
	f := newFleet(2, []string{"127.0.0.1:1"}, []string{"x"}, 1)
	h := f.proxies[0]
	node := membership.Record{Node: membership.Node{Name: hollowName(1), Seq: 4}}
	h.apply(&membership.WatchResponse{Nodes: []membership.Record{node}})
	must.True(t, h.complete([]uint64{0, 4}))
	must.False(t, h.complete([]uint64{0, 5}))
	node.Lost = true
	h.apply(&membership.WatchResponse{Nodes: []membership.Record{node}})
	must.False(t, h.complete([]uint64{0, 4}))
	node.Lost = false
	h.apply(&membership.WatchResponse{Nodes: []membership.Record{node}})
	h.apply(&membership.WatchResponse{RemovedNodes: []string{hollowName(1)}})
	must.False(t, h.complete([]uint64{0, 4}))
}
