package testmesh

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
)

// errDropped is what the caller of a dropped call gets.
var errDropped = errors.New("the call is dropped")

// Filter drops calls of one process by what they say, for tests that need a process to die, or a message to be lost, between
// two steps. The zero value drops nothing.
type Filter struct {
	mu   sync.Mutex
	drop func(to, path string, body []byte) bool
}

// SetDrop has calls fail for which a function says so; nil ends it. The function may be called by several calls at once.
func (f *Filter) SetDrop(drop func(to, path string, body []byte) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drop = drop
}

// Transport wraps the transport of the process.
func (f *Filter) Transport(next http.RoundTripper) http.RoundTripper {
	return &filterTransport{f, next}
}

type filterTransport struct {
	filter *Filter
	next   http.RoundTripper
}

// RoundTrip sends a request that is not dropped.
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
