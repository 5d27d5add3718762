package consensus

import (
	"encoding/json"
	"errors"
)

var errDocumentMissing = errors.New("the replica does not hold an omitted document")

// Compact returns the request without the large documents of its value that the receiver holds. It returns the request
// unchanged if there are no documents to omit.
func (r Request) Compact(digestOf func(json.RawMessage) string, held Documents) Request {
	if r.Value == nil || r.Kind != Accept && r.Kind != Learn {
		return r
	}
	stripped, digests := r.Value.Split(digestOf, func(digest string) bool { return held[digest] != nil })
	if len(digests) == 0 {
		return r
	}
	r.Value, r.Omitted = stripped, digests
	if r.Kind == Accept {
		r.Kind = AcceptCompact
	} else {
		r.Kind = LearnCompact
	}
	return r
}

// IsCompact reports whether documents are omitted from the value of the request.
func (r Request) IsCompact() bool { return r.Kind == AcceptCompact || r.Kind == LearnCompact }

// Expand returns a compact request with its omitted documents restored from the decided and accepted states of the
// replica. The result ok is false if the replica does not hold all of them.
func (r *Replica) Expand(request Request, digestOf func(json.RawMessage) string) (expanded Request, ok bool) {
	if request.Value == nil {
		return request, false
	}
	held := r.Decided.LargeDocuments(digestOf)
	if r.Accepted != nil {
		for digest, document := range r.Accepted.Value.LargeDocuments(digestOf) {
			held[digest] = document
		}
	}
	value, err := request.Value.Join(request.Omitted, func(digest string) (json.RawMessage, error) {
		if document := held[digest]; document != nil {
			return document, nil
		}
		return nil, errDocumentMissing
	})
	if err != nil {
		return request, false
	}
	expanded = request
	expanded.Kind, expanded.Value, expanded.Omitted = Learn, value, nil
	if request.Kind == AcceptCompact {
		expanded.Kind = Accept
	}
	return expanded, true
}
