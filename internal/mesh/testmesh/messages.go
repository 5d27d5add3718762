package testmesh

import (
	"bytes"
	"io"
	"net/http"
)

// TransportForKind is Transport for consensus messages of one kind alone (consensus.Accept and the like): all others pass.
func (l *Links) TransportForKind(from, kind string) func(http.RoundTripper) http.RoundTripper {
	return func(next http.RoundTripper) http.RoundTripper {
		return &kindTransport{prefix: []byte(`{"Kind":"` + kind + `"`), faulty: l.Transport(from)(next), next: next}
	}
}

// kindTransport tells messages by how their JSON begins.
type kindTransport struct {
	prefix       []byte
	faulty, next http.RoundTripper
}

// CloseIdleConnections closes what the wrapped transport keeps.
func (t *kindTransport) CloseIdleConnections() {
	if closer, is := t.next.(interface{ CloseIdleConnections() }); is {
		closer.CloseIdleConnections()
	}
}

// RoundTrip sends a message, over the faulty links if it is of the kind.
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
