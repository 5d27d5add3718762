package testmesh

import (
	"io"
	"net/http"
	"sync/atomic"
)

// Meter counts the calls of a process and the bytes that they send and receive.
type Meter struct {
	sent, received, calls atomic.Int64
}

// Transport wraps the transport of a process, so that its calls are counted.
func (m *Meter) Transport(next http.RoundTripper) http.RoundTripper {
	return &meteredTransport{m, next}
}

// Sent returns the number of request body bytes sent.
func (m *Meter) Sent() int64 { return m.sent.Load() }

// Received returns the number of response body bytes received.
func (m *Meter) Received() int64 { return m.received.Load() }

// Calls returns the number of calls made.
func (m *Meter) Calls() int64 { return m.calls.Load() }

type meteredTransport struct {
	meter *Meter
	next  http.RoundTripper
}

// CloseIdleConnections closes the idle connections of the wrapped transport.
func (t *meteredTransport) CloseIdleConnections() {
	if closer, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// RoundTrip sends a request and counts it.
func (t *meteredTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.meter.calls.Add(1)
	t.meter.sent.Add(max(0, r.ContentLength))
	response, err := t.next.RoundTrip(r)
	if err == nil {
		response.Body = &meteredBody{response.Body, t.meter}
	}
	return response, err
}

type meteredBody struct {
	io.ReadCloser
	meter *Meter
}

func (b *meteredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.meter.received.Add(int64(n))
	return n, err
}
