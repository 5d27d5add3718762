package proxy

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ottershift/internal/mesh/rpc"
	"ottershift/internal/mesh/telemetry"
	"ottershift/internal/rawconn"
)

const (
	peerIdleTimeout     = 20 * time.Second        // idle, to another proxy, which closes later
	upstreamIdleTimeout = 3 * time.Second         // idle, to an upstream that does not announce its keep-alive time
	tcpUserTimeout      = 2500 * time.Millisecond // without TCP acknowledgement, after which the peer counts as gone
)

// connectionPool holds the idle connections of this process to a set of hosts.
type connectionPool struct {
	dialer               net.Dialer
	mu                   sync.Mutex
	idle                 map[string][]*connection
	matches              responseMatcher
	dials, failed, stale *atomic.Int64
	foreign              *atomic.Int64 // responses that belong to no open request
}

// newConnectionPool creates a pool whose counters start with name.
func newConnectionPool(dialTimeout time.Duration, counters *telemetry.Counters, name string) *connectionPool {
	return &connectionPool{
		dials:   counters.Counter(name + "_dials"),
		failed:  counters.Counter(name + "_dials_failed"),
		stale:   counters.Counter(name + "_stale"),
		foreign: counters.Counter(name + "_foreign_answers"),
		matches: matchesRequestID,
		dialer:  net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: rpc.UserTimeout(tcpUserTimeout)},
		idle:    map[string][]*connection{},
	}
}

// destination is the endpoint of a connection. The host identifies the process behind an address, which may pass to
// another process.
type destination struct {
	host, address string
	idleCount     *atomic.Int32 // counts the idle connections to the host, nil for no count
}

// get returns an idle connection that may carry the request, or nil if there is none.
func (p *connectionPool) get(to destination, requestID string) *connection {
	if requestID == "" {
		return nil // on a reused connection, no response could be matched to it
	}
	for {
		c := p.popIdle(to.host, requestID)
		if c == nil {
			return nil
		}
		c.addIdleCount(-1)
		unread, ended := rawconn.Peek(c.raw)
		if !unread && !ended && time.Now().Before(c.idleUntil) {
			c.reused = true
			return c
		}
		p.stale.Add(1)
		c.Close()
	}
}

// popIdle removes the most recently used idle connection that has not refused the request before.
func (p *connectionPool) popIdle(host, requestID string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	connections := p.idle[host]
	for i := len(connections) - 1; i >= 0; i-- {
		c := connections[i]
		if c.hasRefused(requestID) {
			continue
		}
		p.idle[host] = append(connections[:i], connections[i+1:]...)
		return c
	}
	return nil
}

// dial opens a connection.
func (p *connectionPool) dial(ctx context.Context, to destination) (*connection, error) {
	p.dials.Add(1)
	conn, err := p.dialer.DialContext(ctx, "tcp4", to.address)
	if err != nil {
		p.failed.Add(1)
		return nil, err
	}
	c, err := newConnection(conn.(*net.TCPConn), p, to)
	if err != nil {
		conn.Close()
	}
	return c, err
}

// put returns a connection whose response has been read completely to the pool, or closes it if it can't be reused.
func (p *connectionPool) put(c *connection, response *http.Response, maxIdle time.Duration) {
	if !c.reusableAfter(response) {
		c.Close()
		return
	}
	c.idleUntil = time.Now().Add(idleLimit(response, maxIdle))
	c.addIdleCount(1)
	p.mu.Lock()
	p.idle[c.to.host] = append(p.idle[c.to.host], c)
	p.mu.Unlock()
}

// idleLimit returns how long a connection may stay idle: three quarters of the time that the peer announces, since a
// request sent while the peer closes the connection may have run.
func idleLimit(response *http.Response, maxIdle time.Duration) time.Duration {
	limit := maxIdle
	for _, part := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil {
			limit = min(limit, time.Duration(seconds)*time.Second*3/4)
		}
	}
	return limit
}

// closeExpired closes connections that have reached their idle limit.
func (p *connectionPool) closeExpired(now time.Time) {
	var expired []*connection
	p.mu.Lock()
	for host, connections := range p.idle {
		remaining := connections[:0]
		for _, c := range connections {
			if now.After(c.idleUntil) {
				expired = append(expired, c)
			} else {
				remaining = append(remaining, c)
			}
		}
		if p.idle[host] = remaining; len(remaining) == 0 {
			delete(p.idle, host)
		}
	}
	p.mu.Unlock()
	closeIdle(expired)
}

// closeHost closes the idle connections to a host that is gone.
func (p *connectionPool) closeHost(host string) {
	p.mu.Lock()
	connections := p.idle[host]
	delete(p.idle, host)
	p.mu.Unlock()
	closeIdle(connections)
}

// closeIdle closes connections that were removed from the pool.
func closeIdle(connections []*connection) {
	for _, c := range connections {
		c.addIdleCount(-1)
		c.Close()
	}
}
