package httpwire

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ottershift/internal/roster"
	"ottershift/internal/terms"
)

// Counters of connections to upstreams: why they were opened, failed or were closed.
const (
	dialFirst      = iota // the first connection to this upstream
	dialReconnect         // all earlier connections have closed
	dialBusy              // all connections were in use
	dialProbe             // for a probe
	dialFailed            // could not connect
	dialRefused           // not tried, for lack of descriptors or beyond the pool's limit
	closeCancelled        // by an attempt that was cancelled or timed out
	closeByUpstream
	closeIdle    // by the balancer, after the idle timeout
	closeRemoved // the upstream was removed from the list
	connCounterCount
)

var connCounterNames = [connCounterCount]string{
	"dial_first", "dial_again", "dial_busy", "dial_probe", "dial_failed", "dial_short", "close_called_off",
	"close_by_upstream", "close_idle", "close_left",
}

// connCounters counts events of connections to upstreams.
type connCounters [connCounterCount]atomic.Int64

// upstreamConns holds a pool's connections to its upstreams.
type upstreamConns struct {
	tracker   *connTracker
	counters  connCounters
	limits    *poolLimits
	transport *http.Transport

	mu         sync.Mutex
	byHost     map[string]map[*upstreamConn]struct{}
	dialing    map[string]*pendingDials
	knownHosts map[string]struct{} // hosts to which there has been a connection
	closed     bool                // the pool is retired; no connection is kept
}

// pendingDials tracks the connections to one host that are being opened. The host may be removed meanwhile, and
// such a connection would otherwise stay open until the idle timeout.
type pendingDials struct {
	count   int
	removed bool
}

type targetKey struct{}

// target is the destination and deadline of a connection attempt.
type target struct {
	roster.Endpoint
	deadline time.Time
	probe    bool
}

// withTarget returns a context that carries the address for a dial. The connection pool of http.Transport is keyed
// by host.
func withTarget(ctx context.Context, place roster.Endpoint, deadline time.Time, probe bool) context.Context {
	return context.WithValue(ctx, targetKey{}, target{place, deadline, probe})
}

func newUpstreamConns(tracker *connTracker, limits *poolLimits, settings *terms.Settings) *upstreamConns {
	conns := &upstreamConns{tracker: tracker, limits: limits, byHost: map[string]map[*upstreamConn]struct{}{},
		dialing: map[string]*pendingDials{}, knownHosts: map[string]struct{}{}}
	dialer := net.Dialer{Timeout: settings.DialTimeout}
	conns.transport = &http.Transport{
		DisableCompression:     true, // bodies are passed on unchanged
		MaxResponseHeaderBytes: maxHeaderBytes,
		MaxIdleConns:           int(tracker.limit.Load() / 3), MaxIdleConnsPerHost: int(tracker.limit.Load() / 3),
		// A request written to a connection that its upstream has closed may have run, so idle connections are
		// closed here first.
		IdleConnTimeout: settings.IdleTimeout * 9 / 10,
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			dest := ctx.Value(targetKey{}).(target)
			if err := conns.reserve(dest.deadline); err != nil {
				conns.counters[dialRefused].Add(1)
				return nil, err
			}
			finishDial := conns.startDial(dest)
			tcpConn, err := dialer.DialContext(ctx, network, dest.Address)
			if err != nil {
				finishDial()
				conns.release()
				conns.counters[dialFailed].Add(1)
				if errors.Is(err, syscall.EMFILE) {
					err = errNoDescriptor
				}
				return nil, err
			}
			conn, err := newUpstreamConn(tcpConn.(*net.TCPConn), conns, dest.Endpoint)
			removed := finishDial()
			if err != nil {
				conns.release()
				tcpConn.Close()
				return nil, err
			}
			conns.mu.Lock()
			defer conns.mu.Unlock()
			if conns.byHost[dest.Host] == nil {
				conns.byHost[dest.Host] = map[*upstreamConn]struct{}{}
			}
			conns.byHost[dest.Host][conn] = struct{}{}
			conn.removed = removed || conns.closed
			return conn, nil
		},
	}
	return conns
}

// startDial records that a connection is being opened. finish ends that and reports whether the host was removed
// meanwhile.
func (conns *upstreamConns) startDial(dest target) (finish func() bool) {
	conns.mu.Lock()
	defer conns.mu.Unlock()
	host := dest.Host
	pending := conns.dialing[host]
	_, known := conns.knownHosts[host]
	switch conns.knownHosts[host] = struct{}{}; {
	case dest.probe:
		conns.counters[dialProbe].Add(1)
	case pending != nil || len(conns.byHost[host]) > 0:
		conns.counters[dialBusy].Add(1)
	case known:
		conns.counters[dialReconnect].Add(1)
	default:
		conns.counters[dialFirst].Add(1)
	}
	if pending == nil {
		pending = &pendingDials{}
		conns.dialing[host] = pending
	}
	pending.count++
	return func() bool {
		conns.mu.Lock()
		defer conns.mu.Unlock()
		if pending.count--; pending.count == 0 {
			delete(conns.dialing, host)
		}
		return pending.removed
	}
}

// reserve takes a descriptor for a connection. Many dials run concurrently, so each is counted before it starts.
func (conns *upstreamConns) reserve(deadline time.Time) error {
	tracker := conns.tracker
	if tracker.upstreams.Add(1)+tracker.clients.Load() > tracker.limit.Load()-tracker.reserve() {
		tracker.upstreams.Add(-1)
		return errNoDescriptor
	}
	ok, over := conns.limits.reserveConn(tracker.limit.Load()-tracker.reserve()-tracker.clients.Load(), deadline)
	if !ok {
		tracker.upstreams.Add(-1)
		tracker.closeIdleOf(over)
		return errNoDescriptor
	}
	return nil
}

func (conns *upstreamConns) release() {
	conns.tracker.upstreams.Add(-1)
	conns.limits.releaseConn()
}

// remove removes a closed connection.
func (conns *upstreamConns) remove(conn *upstreamConn) {
	conns.mu.Lock()
	defer conns.mu.Unlock()
	if delete(conns.byHost[conn.host], conn); len(conns.byHost[conn.host]) == 0 {
		delete(conns.byHost, conn.host)
	}
}

// removeHosts closes the connections to hosts that were removed from the list, at once or after their current
// exchange.
func (conns *upstreamConns) removeHosts(hosts []string) {
	var all []*upstreamConn
	conns.mu.Lock()
	for _, host := range hosts {
		delete(conns.knownHosts, host)
		if pending := conns.dialing[host]; pending != nil {
			pending.removed = true
		}
		for conn := range conns.byHost[host] {
			all = append(all, conn)
		}
	}
	conns.mu.Unlock()
	for _, conn := range all {
		conn.remove()
	}
}

// close closes idle connections at once and the others after their current exchange, when the pool is retired.
func (conns *upstreamConns) close() {
	conns.mu.Lock()
	conns.closed = true
	var hosts []string
	for host := range conns.byHost {
		hosts = append(hosts, host)
	}
	conns.mu.Unlock()
	conns.removeHosts(hosts)
	conns.transport.CloseIdleConnections()
}
