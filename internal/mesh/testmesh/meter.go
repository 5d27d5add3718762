package testmesh

import (
	"io"
	"net/http"
	"sync/atomic"
)

// Meter counts what a process's calls send and receive.
type Meter struct {
	sent, received, calls atomic.Int64
}

// Transport wraps a process's transport, so that its calls are counted.
func (m *Meter) Transport(next http.RoundTripper) http.RoundTripper {
	return &meteredTransport{m, next}
}

// Sent is how many bytes of bodies were sent.
func (m *Meter) Sent() int64 { return m.sent.Load() }

// Received is how many bytes of bodies were received.
func (m *Meter) Received() int64 { return m.received.Load() }

// Calls is how many calls were made.
func (m *Meter) Calls() int64 { return m.calls.Load() }

type meteredTransport struct {
	meter *Meter
	next  http.RoundTripper
}

// CloseIdleConnections closes what the wrapped transport keeps.
func (t *meteredTransport) CloseIdleConnections() {
	if closer, is := t.next.(interface{ CloseIdleConnections() }); is {
		closer.CloseIdleConnections()
	}
}

// RoundTrip counts one call.
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
