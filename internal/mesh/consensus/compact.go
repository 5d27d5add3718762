package consensus

import (
	"encoding/json"
	"errors"
)

var errLacking = errors.New("the document is not held here")

// Compact is the request without those large documents of its value that the receiver holds. The request itself is returned
// where there is nothing to leave out.
func (a Request) Compact(digestOf func(json.RawMessage) string, held Documents) Request {
	if a.Value == nil || a.Kind != Accept && a.Kind != Learn {
		return a
	}
	slim, digests := a.Value.Split(digestOf, func(digest string) bool { return held[digest] != nil })
	if len(digests) == 0 {
		return a
	}
	a.Value, a.LeftOut = slim, digests
	if a.Kind == Accept {
		a.Kind = AcceptCompact
	} else {
		a.Kind = LearnCompact
	}
	return a
}

// IsCompact reports whether the request's value lacks documents.
func (a Request) IsCompact() bool { return a.Kind == AcceptCompact || a.Kind == LearnCompact }

// Expand puts what a compact request left out back into it, out of what the replica holds; ok says whether it holds that.
func (c *Replica) Expand(a Request, digestOf func(json.RawMessage) string) (whole Request, ok bool) {
	if a.Value == nil {
		return a, false
	}
	held := c.Decided.LargeParts(digestOf)
	if c.Accepted != nil {
		for digest, document := range c.Accepted.Value.LargeParts(digestOf) {
			held[digest] = document
		}
	}
	value, err := a.Value.Join(a.LeftOut, func(digest string) (json.RawMessage, error) {
		if document := held[digest]; document != nil {
			return document, nil
		}
		return nil, errLacking
	})
	if err != nil {
		return a, false
	}
	whole = a
	whole.Kind, whole.Value, whole.LeftOut = Learn, value, nil
	if a.Kind == AcceptCompact {
		whole.Kind = Accept
	}
	return whole, true
}
