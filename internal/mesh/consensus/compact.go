package consensus

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

// CompactFrom is the size from which a configuration is left out of requests to replicas that hold it.
const CompactFrom = 16 << 10

// ConfigurationDigest identifies a configuration by its content. It is the same before and after a state has been sent as
// JSON, which escapes some characters.
func ConfigurationDigest(configuration json.RawMessage) string {
	var escaped bytes.Buffer
	escaped.Grow(len(configuration))
	json.HTMLEscape(&escaped, configuration)
	sum := sha256.Sum256(escaped.Bytes())
	return hex.EncodeToString(sum[:])
}

// Compact is the request without its value's configuration; digest is that configuration's. The request itself is
// returned where there is nothing to leave out.
func (a Request) Compact(digest string) Request {
	switch a.Kind {
	case Accept:
		a.Kind = AcceptCompact
	case Learn:
		a.Kind = LearnCompact
	default:
		return a
	}
	slim := *a.Value
	slim.Configuration = nil
	a.Value, a.ConfigurationDigest = &slim, digest
	return a
}

// IsCompact reports whether the request's value lacks its configuration.
func (a Request) IsCompact() bool { return a.Kind == AcceptCompact || a.Kind == LearnCompact }

// Expand puts the configuration back into a compact request, out of what the replica holds; ok says whether it holds it.
func (c *Replica) Expand(a Request, digestOf func(json.RawMessage) string) (whole Request, ok bool) {
	if a.Value == nil {
		return a, false
	}
	configuration, ok := c.findConfiguration(a.ConfigurationDigest, digestOf)
	if !ok {
		return a, false
	}
	full := *a.Value
	full.Configuration = configuration
	whole = a
	whole.Value, whole.ConfigurationDigest = &full, ""
	whole.Kind = Learn
	if a.Kind == AcceptCompact {
		whole.Kind = Accept
	}
	return whole, true
}

func (c *Replica) findConfiguration(digest string, digestOf func(json.RawMessage) string) (json.RawMessage, bool) {
	if digestOf(c.Decided.Configuration) == digest {
		return c.Decided.Configuration, true
	}
	if c.Accepted != nil && digestOf(c.Accepted.Value.Configuration) == digest {
		return c.Accepted.Value.Configuration, true
	}
	return nil, false
}

// DigestCache remembers the digests of the last configurations: one stays the same through most changes. It is not safe for
// concurrent use.
type DigestCache struct {
	documents [4]json.RawMessage
	digests   [4]string
	next      int
}

// Of is a configuration's digest.
func (c *DigestCache) Of(document json.RawMessage) string {
	for n, known := range c.documents {
		if len(known) == len(document) && len(known) > 0 && &known[0] == &document[0] {
			return c.digests[n]
		}
	}
	digest := ConfigurationDigest(document)
	c.documents[c.next], c.digests[c.next] = document, digest
	c.next = (c.next + 1) % len(c.documents)
	return digest
}
