package testmesh

import (
	"bytes"
	"io"
	"net/http"
)

// TransportForKind is like Transport, but only consensus messages of one kind, such as consensus.Accept, are subject to
// faults.
func (l *Links) TransportForKind(from, kind string) func(http.RoundTripper) http.RoundTripper {
	return func(next http.RoundTripper) http.RoundTripper {
		return &kindTransport{prefix: []byte(`{"Kind":"` + kind + `"`), faulty: l.Transport(from)(next), next: next}
	}
}

// kindTransport recognizes the kind of a message by the start of its JSON text.
type kindTransport struct {
	prefix       []byte
	faulty, next http.RoundTripper
}

// CloseIdleConnections closes the idle connections of the wrapped transport.
func (t *kindTransport) CloseIdleConnections() {
	if closer, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// RoundTrip sends a message, over the faulty links if it is of the selected kind.
func (t *kindTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	r = r.Clone(r.Context())
	r.Body = io.NopCloser(bytes.NewReader(body))
	if bytes.HasPrefix(body, t.prefix) {
		return t.faulty.RoundTrip(r)
	}
	return t.next.RoundTrip(r)
}
