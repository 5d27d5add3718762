package testmesh

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
)

// errDropped is the error of a dropped call.
var errDropped = errors.New("injected fault: call dropped")

// Filter drops calls of one process by their destination, path and body. Tests use it to lose a message, or to act
// between two steps of a protocol. The zero value drops nothing.
type Filter struct {
	mu   sync.Mutex
	drop func(to, path string, body []byte) bool
}

// SetDrop sets the function that selects the calls to drop; nil drops none. Concurrent calls may run the function
// concurrently.
func (f *Filter) SetDrop(drop func(to, path string, body []byte) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drop = drop
}

// Transport wraps the transport of a process.
func (f *Filter) Transport(next http.RoundTripper) http.RoundTripper {
	return &filterTransport{f, next}
}

type filterTransport struct {
	filter *Filter
	next   http.RoundTripper
}

// RoundTrip sends a request, unless it is dropped.
func (t *filterTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.filter.mu.Lock()
	drop := t.filter.drop
	t.filter.mu.Unlock()
	if drop == nil || r.Body == nil {
		return t.next.RoundTrip(r)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	if drop(r.URL.Hostname(), r.URL.Path, body) {
		return nil, errDropped
	}
	r = r.Clone(r.Context())
	r.Body = io.NopCloser(bytes.NewReader(body))
	return t.next.RoundTrip(r)
}
