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
	keptLong  = 20 * time.Second // idle, to a peer of the mesh, which closes later
	keptShort = 3 * time.Second  // idle, to an upstream that does not say how long
	peerGone  = 2500 * time.Millisecond
)

// connectionPool holds the kept connections of one process to the hosts that it sends to.
type connectionPool struct {
	dialer               net.Dialer
	mu                   sync.Mutex
	idle                 map[string][]*connection
	belongs              answerRule
	dials, failed, stale *atomic.Int64
	foreign              *atomic.Int64 // answers that belonged to no request in hand
}

func newConnectionPool(dial time.Duration, counts *telemetry.Counters, name string) *connectionPool {
	return &connectionPool{
		dials:   counts.Of(name + "_dials"),
		failed:  counts.Of(name + "_dials_failed"),
		stale:   counts.Of(name + "_stale"),
		foreign: counts.Of(name + "_foreign_answers"),
		belongs: bearsAttempt,
		dialer:  net.Dialer{Timeout: dial, KeepAlive: -1, Control: rpc.UserTimeout(peerGone)},
		idle:    map[string][]*connection{},
	}
}

// destination is where a connection goes: a host is the identity behind an address, which may get a new owner.
type destination struct {
	host, address string
	kept          *atomic.Int32 // counts the connections that are kept to the host, nil for no count
}

// take returns a kept connection that may carry the attempt, or nil if there is none.
func (p *connectionPool) take(to destination, attempt string) *connection {
	if attempt == "" {
		return nil // no answer could be matched to it on a connection with a past
	}
	for {
		c := p.pop(to.host, attempt)
		if c == nil {
			return nil
		}
		c.countKept(-1)
		unread, ended := rawconn.Peek(c.raw)
		if !unread && !ended && time.Now().Before(c.keptUntil) {
			c.reused = true
			return c
		}
		p.stale.Add(1)
		c.Close()
	}
}

// pop removes the connection that was kept last, of those that have not refused the attempt before.
func (p *connectionPool) pop(host, attempt string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.idle[host]
	for at := len(all) - 1; at >= 0; at-- {
		c := all[at]
		if c.hasRefused(attempt) {
			continue
		}
		p.idle[host] = append(all[:at], all[at+1:]...)
		return c
	}
	return nil
}

// dial opens a connection.
func (p *connectionPool) dial(ctx context.Context, to destination) (*connection, error) {
	p.dials.Add(1)
	dialed, err := p.dialer.DialContext(ctx, "tcp4", to.address)
	if err != nil {
		p.failed.Add(1)
		return nil, err
	}
	c, err := newConnection(dialed.(*net.TCPConn), p, to)
	if err != nil {
		dialed.Close()
	}
	return c, err
}

// put keeps a connection whose answer has been read whole, or closes it if nothing more may be sent over it.
func (p *connectionPool) put(c *connection, answer *http.Response, longest time.Duration) {
	if !c.reusableAfter(answer) {
		c.Close()
		return
	}
	c.keptUntil = time.Now().Add(keepAlive(answer, longest))
	c.countKept(1)
	p.mu.Lock()
	p.idle[c.to.host] = append(p.idle[c.to.host], c)
	p.mu.Unlock()
}

// keepAlive is how long a connection may stay idle: a part of what its peer grants, since a request that is sent while the peer
// closes may have run.
func keepAlive(answer *http.Response, longest time.Duration) time.Duration {
	keep := longest
	for _, part := range strings.Split(answer.Header.Get("Keep-Alive"), ",") {
		text, is := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !is {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil {
			keep = min(keep, time.Duration(seconds)*time.Second*3/4)
		}
	}
	return keep
}

// sweep closes what has been idle for long.
func (p *connectionPool) sweep(now time.Time) {
	var old []*connection
	p.mu.Lock()
	for host, all := range p.idle {
		kept := all[:0]
		for _, c := range all {
			if now.After(c.keptUntil) {
				old = append(old, c)
			} else {
				kept = append(kept, c)
			}
		}
		if p.idle[host] = kept; len(kept) == 0 {
			delete(p.idle, host)
		}
	}
	p.mu.Unlock()
	closeKept(old)
}

// closeHost closes what is kept to a host that is gone.
func (p *connectionPool) closeHost(host string) {
	p.mu.Lock()
	all := p.idle[host]
	delete(p.idle, host)
	p.mu.Unlock()
	closeKept(all)
}

func closeKept(all []*connection) {
	for _, c := range all {
		c.countKept(-1)
		c.Close()
	}
}
