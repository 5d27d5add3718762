package scale

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Meter counts the bytes on the connections of the hollow proxies, headers included, and the results of their requests.
type Meter struct {
	Received, Sent     atomic.Int64 // bytes
	Dialed             atomic.Int64 // connections
	Open               atomic.Int64 // connections currently open
	Requests, Failed   atomic.Int64 // watch requests
	NotCurrent, Whole  atomic.Int64 // responses of controllers that are not current, and responses with all nodes
	Interrupted, Nodes atomic.Int64 // requests interrupted by a change of the proxy's own node, and records received

	QuotaCalls, QuotaWaited atomic.Int64 // requests of limited tenants, and those that had to wait for tokens
	Draws, DrawsFailed      atomic.Int64 // token requests
}

// Reading is a snapshot of a Meter.
type Reading struct {
	Received, Sent, Dialed, Open                            int64
	Requests, Failed, NotCurrent, Whole, Interrupted, Nodes int64
	QuotaCalls, QuotaWaited, Draws, DrawsFailed             int64
}

// Read returns the current counts.
func (m *Meter) Read() Reading {
	return Reading{
		Received: m.Received.Load(), Sent: m.Sent.Load(), Dialed: m.Dialed.Load(), Open: m.Open.Load(), Requests: m.Requests.Load(),
		Failed: m.Failed.Load(), NotCurrent: m.NotCurrent.Load(), Whole: m.Whole.Load(), Interrupted: m.Interrupted.Load(), Nodes: m.Nodes.Load(),
		QuotaCalls: m.QuotaCalls.Load(), QuotaWaited: m.QuotaWaited.Load(), Draws: m.Draws.Load(), DrawsFailed: m.DrawsFailed.Load(),
	}
}

// Since returns the counts since an earlier reading. Open is not a difference but the current value.
func (r Reading) Since(before Reading) Reading {
	return Reading{
		Received: r.Received - before.Received, Sent: r.Sent - before.Sent, Dialed: r.Dialed - before.Dialed, Open: r.Open,
		Requests: r.Requests - before.Requests, Failed: r.Failed - before.Failed, NotCurrent: r.NotCurrent - before.NotCurrent,
		Whole: r.Whole - before.Whole, Interrupted: r.Interrupted - before.Interrupted, Nodes: r.Nodes - before.Nodes,
		QuotaCalls: r.QuotaCalls - before.QuotaCalls, QuotaWaited: r.QuotaWaited - before.QuotaWaited,
		Draws: r.Draws - before.Draws, DrawsFailed: r.DrawsFailed - before.DrawsFailed,
	}
}

// wrap makes a client's transport dial metered connections.
func (m *Meter) wrap(next http.RoundTripper) http.RoundTripper {
	transport, is := next.(*http.Transport)
	if !is {
		return next
	}
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		m.Dialed.Add(1)
		m.Open.Add(1)
		return &meteredConn{Conn: conn, meter: m}, nil
	}
	return transport
}

type meteredConn struct {
	net.Conn
	meter  *Meter
	closed atomic.Bool
}

func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.Received.Add(int64(n))
	return n, err
}

func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.Sent.Add(int64(n))
	return n, err
}

func (c *meteredConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.meter.Open.Add(-1)
	}
	return c.Conn.Close()
}
