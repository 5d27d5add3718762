package storage

import (
	"encoding/binary"
	"encoding/json"
	"hash/crc32"

	"github.com/zeebo/errs"

	"ottershift/internal/mesh/consensus"
)

// Formats of a value.
const (
	formatInline = 1 // a value that contains all its documents
	formatSplit  = 2 // a value whose large documents are stored under separate keys
)

const headerBytes = 5 // the format (1 byte) and a CRC-32 checksum (4 bytes)

// encode returns the JSON encoding of a value behind a header.
func encode(format byte, value any) ([]byte, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	return addHeader(format, raw), nil
}

// addHeader returns raw behind a header of its format and checksum.
func addHeader(format byte, raw []byte) []byte {
	encoded := append(make([]byte, headerBytes, headerBytes+len(raw)), raw...)
	encoded[0] = format
	binary.BigEndian.PutUint32(encoded[1:], crc32.ChecksumIEEE(raw))
	return encoded
}

// stripHeader checks a value's header and returns the bytes that follow it.
func stripHeader(raw []byte) (body []byte, err error) {
	switch {
	case len(raw) < headerBytes:
		return nil, errs.New("value truncated: shorter than its header")
	case raw[0] != formatInline && raw[0] != formatSplit:
		return nil, errs.New("unsupported format %d", raw[0])
	case binary.BigEndian.Uint32(raw[1:]) != crc32.ChecksumIEEE(raw[headerBytes:]):
		return nil, errs.New("checksum mismatch")
	}
	return raw[headerBytes:], nil
}

// decode checks a value's header and decodes the JSON that follows it.
func decode(raw []byte, target any) error {
	body, err := stripHeader(raw)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, target)
}

// storedState is a state whose large documents are stored under their digests. A state without large documents is
// stored as the previous release stores it.
type storedState struct {
	*consensus.State
	Parts consensus.DocumentDigests `json:",omitempty"`
}

// storedAccepted is an accepted value whose state is a storedState.
type storedAccepted struct {
	Ballot consensus.Ballot
	Value  *storedState
}

// format returns the format in which the state is stored.
func (s *storedState) format() byte {
	if len(s.Parts) == 0 {
		return formatInline
	}
	return formatSplit
}

// format returns the format in which the accepted value is stored.
func (s *storedAccepted) format() byte {
	if s == nil {
		return formatInline
	}
	return s.Value.format()
}

// join returns the state with its documents, which find looks up by digest.
func (s *storedState) join(find func(digest string) (json.RawMessage, error)) (*consensus.State, error) {
	if s == nil || s.State == nil {
		return nil, nil
	}
	return s.State.Join(s.Parts, find)
}
