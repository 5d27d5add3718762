package consensus

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

// LargeDocumentSize is the size from which a document of a state is kept and sent apart from it, under its digest.
const LargeDocumentSize = 16 << 10

// DocumentDigests are the digests of documents that were taken out of a state, by the document's name.
type DocumentDigests map[string]string

// Documents are documents by their digests.
type Documents map[string]json.RawMessage

// documentFields are the documents of a state that may be large. Most changes leave them as they are.
var documentFields = []struct {
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

// LargeDocuments are the large documents of a state, by their digests.
func (s *State) LargeDocuments(digestOf func(json.RawMessage) string) Documents {
	documents := Documents{}
	for _, field := range documentFields {
		if document := *field.of(s); len(document) >= LargeDocumentSize {
			documents[digestOf(document)] = document
		}
	}
	return documents
}

// Split takes those large documents out of a state that leave accepts; the state itself stays as it is.
func (s *State) Split(digestOf func(json.RawMessage) string, omit func(digest string) bool) (*State, DocumentDigests) {
	stripped, digests := *s, DocumentDigests{}
	for _, field := range documentFields {
		document := field.of(&stripped)
		if len(*document) < LargeDocumentSize {
			continue
		}
		if digest := digestOf(*document); omit(digest) {
			*document, digests[field.name] = nil, digest
		}
	}
	return &stripped, digests
}

// Join puts documents back into a state that was split.
func (s *State) Join(digests DocumentDigests, find func(digest string) (json.RawMessage, error)) (*State, error) {
	joined := *s
	for _, field := range documentFields {
		digest, omitted := digests[field.name]
		if !omitted {
			continue
		}
		document, err := find(digest)
		if err != nil {
			return nil, err
		}
		*field.of(&joined) = document
	}
	return &joined, nil
}

// DigestCache remembers the digests of the last documents: most stay the same through most changes. It is not safe for
// concurrent use.
type DigestCache struct {
	documents [12]json.RawMessage // three parts of a decided state, an accepted one and two on their way
	digests   [12]string
	next      int
}

// Digest is a document's digest.
func (c *DigestCache) Digest(document json.RawMessage) string {
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
