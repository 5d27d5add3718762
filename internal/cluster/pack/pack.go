// Package pack puts what goes over links and to disks into bytes, as msgpack maps with short keys: a key that a build
// doesn't know is passed over, one that isn't there is empty, so members of two builds understand each other.
package pack

import (
	"bytes"
	"errors"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// Most is the longest that is taken apart.
const Most = 256 << 20

// maxInitialLength bounds what is allocated on the word of a length that was read.
const maxInitialLength = 1024

var handle = newHandle()

func newHandle() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{WriteExt: true}
	h.MaxInitLen = maxInitialLength
	h.Canonical = true
	return h
}

// Faults of what came in.
var (
	ErrLong   = errors.New("longer than is believed")
	ErrSpoilt = errors.New("spoilt")
)

// Pack never fails for types of ours.
func Pack(v any) []byte {
	var b bytes.Buffer
	if err := codec.NewEncoder(&b, handle).Encode(v); err != nil {
		panic(err)
	}
	return b.Bytes()
}

// Unpack never panics, whatever comes.
func Unpack(raw []byte, v any) (err error) {
	if len(raw) > Most {
		return ErrLong
	}
	defer func() {
		if recover() != nil {
			err = ErrSpoilt
		}
	}()
	return codec.NewDecoderBytes(raw, handle).Decode(v)
}
