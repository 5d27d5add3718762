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
	formatInline = 1 // a value with all that belongs to it
	formatSplit  = 2 // a value whose large documents stand under keys of their own
)

const headerBytes = 5 // the format and a checksum

// encode puts the format and a checksum before a value.
func encode(format byte, value any) ([]byte, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	return addHeader(format, raw), nil
}

func addHeader(format byte, raw []byte) []byte {
	encoded := append(make([]byte, headerBytes, headerBytes+len(raw)), raw...)
	encoded[0] = format
	binary.BigEndian.PutUint32(encoded[1:], crc32.ChecksumIEEE(raw))
	return encoded
}

// stripHeader checks a value's header and returns what stands behind it.
func stripHeader(raw []byte) (body []byte, err error) {
	switch {
	case len(raw) < headerBytes:
		return nil, errs.New("a value is cut short")
	case raw[0] != formatInline && raw[0] != formatSplit:
		return nil, errs.New("format %d is not known here", raw[0])
	case binary.BigEndian.Uint32(raw[1:]) != crc32.ChecksumIEEE(raw[headerBytes:]):
		return nil, errs.New("a checksum is wrong")
	}
	return raw[headerBytes:], nil
}

func decode(raw []byte, target any) error {
	body, err := stripHeader(raw)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, target)
}

// storedState is a state whose large documents stand under their digests. A state without any is stored as the version before
// this one does it.
type storedState struct {
	*consensus.State
	Parts consensus.PartDigests `json:",omitempty"`
}

// storedAccepted is an accepted value with a stored state.
type storedAccepted struct {
	Ballot consensus.Ballot
	Value  *storedState
}

func (s *storedState) format() byte {
	if len(s.Parts) == 0 {
		return formatInline
	}
	return formatSplit
}

func (s *storedAccepted) format() byte {
	if s == nil {
		return formatInline
	}
	return s.Value.format()
}

// join puts a state's documents back into it.
func (s *storedState) join(find func(digest string) (json.RawMessage, error)) (*consensus.State, error) {
	if s == nil || s.State == nil {
		return nil, nil
	}
	return s.State.Join(s.Parts, find)
}
