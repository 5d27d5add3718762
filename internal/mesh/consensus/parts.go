package consensus

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

// LargeDocumentSize is the size in bytes from which a document of a state is stored and sent separately under its
// digest.
const LargeDocumentSize = 16 << 10

// DocumentDigests maps the names of documents that were removed from a state to their digests.
type DocumentDigests map[string]string

// Documents maps digests to documents.
type Documents map[string]json.RawMessage

// documentFields lists the documents of a state that may be large. Most changes of the state do not modify them.
var documentFields = []struct {
	name string
	get  func(*State) *json.RawMessage
}{
	{"configuration", func(s *State) *json.RawMessage { return &s.Configuration }},
	{"credit", func(s *State) *json.RawMessage { return &s.Credit }},
	{"imports", func(s *State) *json.RawMessage { return &s.Imports }},
}

// DigestOf returns the digest of a document's content. The digest is the same before and after the document is sent as
// JSON, because it is computed from the escaped form that json.Marshal produces.
func DigestOf(document json.RawMessage) string {
	var escaped bytes.Buffer
	escaped.Grow(len(document))
	json.HTMLEscape(&escaped, document)
	sum := sha256.Sum256(escaped.Bytes())
	return hex.EncodeToString(sum[:])
}

// LargeDocuments returns the large documents of a state by their digests.
func (s *State) LargeDocuments(digestOf func(json.RawMessage) string) Documents {
	documents := Documents{}
	for _, field := range documentFields {
		if document := *field.get(s); len(document) >= LargeDocumentSize {
			documents[digestOf(document)] = document
		}
	}
	return documents
}

// Split returns a copy of the state without the large documents for whose digests omit returns true, and the digests of
// these documents.
func (s *State) Split(digestOf func(json.RawMessage) string, omit func(digest string) bool) (*State, DocumentDigests) {
	stripped, digests := *s, DocumentDigests{}
	for _, field := range documentFields {
		document := field.get(&stripped)
		if len(*document) < LargeDocumentSize {
			continue
		}
		if digest := digestOf(*document); omit(digest) {
			*document, digests[field.name] = nil, digest
		}
	}
	return &stripped, digests
}

// Join returns a copy of a state that was split, with its documents restored.
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
		*field.get(&joined) = document
	}
	return &joined, nil
}

// DigestCache caches the digests of recently used documents, since most changes of the state leave them unmodified. It
// is not safe for concurrent use.
type DigestCache struct {
	documents [12]json.RawMessage // three documents each of a decided state, an accepted one and two in transit
	digests   [12]string
	next      int
}

// Digest returns the digest of a document.
func (c *DigestCache) Digest(document json.RawMessage) string {
	for i, known := range c.documents {
		if len(known) == len(document) && len(known) > 0 && &known[0] == &document[0] {
			return c.digests[i]
		}
	}
	digest := DigestOf(document)
	c.documents[c.next], c.digests[c.next] = document, digest
	c.next = (c.next + 1) % len(c.documents)
	return digest
}
