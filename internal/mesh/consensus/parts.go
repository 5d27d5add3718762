package consensus

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

// LargePart is the size from which a document of a state is kept and sent apart from it, under its digest.
const LargePart = 16 << 10

// PartDigests are the digests of documents that were taken out of a state, by the document's name.
type PartDigests map[string]string

// Documents are documents by their digests.
type Documents map[string]json.RawMessage

// parts are the documents of a state that may be large. Most changes leave them as they are.
var parts = []struct {
	name string
	of   func(*State) *json.RawMessage
}{
	{"configuration", func(s *State) *json.RawMessage { return &s.Configuration }},
	{"credit", func(s *State) *json.RawMessage { return &s.Credit }},
	{"imports", func(s *State) *json.RawMessage { return &s.Imports }},
}

// DigestOf identifies a document by its content. It is the same before and after the document has been sent as JSON, which
// escapes some characters.
func DigestOf(document json.RawMessage) string {
	var escaped bytes.Buffer
	escaped.Grow(len(document))
	json.HTMLEscape(&escaped, document)
	sum := sha256.Sum256(escaped.Bytes())
	return hex.EncodeToString(sum[:])
}

// LargeParts are the large documents of a state, by their digests.
func (s *State) LargeParts(digestOf func(json.RawMessage) string) Documents {
	all := Documents{}
	for _, part := range parts {
		if document := *part.of(s); len(document) >= LargePart {
			all[digestOf(document)] = document
		}
	}
	return all
}

// Split takes those large documents out of a state that leave accepts; the state itself stays as it is.
func (s *State) Split(digestOf func(json.RawMessage) string, leave func(digest string) bool) (*State, PartDigests) {
	slim, digests := *s, PartDigests{}
	for _, part := range parts {
		document := part.of(&slim)
		if len(*document) < LargePart {
			continue
		}
		if digest := digestOf(*document); leave(digest) {
			*document, digests[part.name] = nil, digest
		}
	}
	return &slim, digests
}

// Join puts documents back into a state that was split.
func (s *State) Join(digests PartDigests, find func(digest string) (json.RawMessage, error)) (*State, error) {
	whole := *s
	for _, part := range parts {
		digest, out := digests[part.name]
		if !out {
			continue
		}
		document, err := find(digest)
		if err != nil {
			return nil, err
		}
		*part.of(&whole) = document
	}
	return &whole, nil
}

// DigestCache remembers the digests of the last documents: most stay the same through most changes. It is not safe for
// concurrent use.
type DigestCache struct {
	documents [12]json.RawMessage // three parts of a decided state, an accepted one and two on their way
	digests   [12]string
	next      int
}

// Of is a document's digest.
func (c *DigestCache) Of(document json.RawMessage) string {
	for n, known := range c.documents {
		if len(known) == len(document) && len(known) > 0 && &known[0] == &document[0] {
			return c.digests[n]
		}
	}
	digest := DigestOf(document)
	c.documents[c.next], c.digests[c.next] = document, digest
	c.next = (c.next + 1) % len(c.documents)
	return digest
}
