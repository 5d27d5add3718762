// Package pack encodes messages and stored records as msgpack maps with short keys. Unknown keys are ignored and missing
// keys decode to zero values, so members running different builds can read each other's data.
package pack

import (
	"bytes"
	"errors"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// MaxSize is the largest encoded value, in bytes, that Unpack accepts.
const MaxSize = 256 << 20

// maxInitialAllocation bounds the number of elements allocated from a length prefix before the elements have been read.
const maxInitialAllocation = 1024

var msgpackHandle = newHandle()

func newHandle() *codec.MsgpackHandle {
	handle := &codec.MsgpackHandle{WriteExt: true}
	handle.MaxInitLen = maxInitialAllocation
	handle.Canonical = true
	return handle
}

// Errors returned by Unpack.
var (
	ErrTooLong = errors.New("encoded value too long")
	ErrCorrupt = errors.New("spoilt")
)

// Pack encodes value. It panics if value has a type that cannot be encoded, which no type of this module has.
func Pack(value any) []byte {
	var buffer bytes.Buffer
	if err := codec.NewEncoder(&buffer, msgpackHandle).Encode(value); err != nil {
		panic(err)
	}
	return buffer.Bytes()
}

// Unpack decodes encoded into value. It returns an error for any malformed input and never panics.
func Unpack(encoded []byte, value any) (err error) {
	if len(encoded) > MaxSize {
		return ErrTooLong
	}
	defer func() {
		if recover() != nil {
			err = ErrCorrupt
		}
	}()
	return codec.NewDecoderBytes(encoded, msgpackHandle).Decode(value)
}
