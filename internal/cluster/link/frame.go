// Package link is the transport between cluster members: calls and streams over TCP and datagrams over UDP, at one
// address. Caller and the frame codec are state machines without I/O; Link drives them over sockets.
package link

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"hash/fnv"
	"io"
)

// Range of protocol versions that this build supports. Two members use the highest version that both support.
const (
	MinVersion = 1
	MaxVersion = 1
)

const (
	// MaxFrameBody is the maximum size, in bytes, of a request or response body.
	MaxFrameBody = 1 << 20
	// MaxDatagramPayload is the maximum size, in bytes, of a datagram payload.
	MaxDatagramPayload = 60 << 10

	magic             = 0x4f54   // "OT"
	helloFixedSize    = 8        // bytes of a hello message before the names
	frameHeaderSize   = 24       // bytes of a frame before the body
	maxRetainedBuffer = 64 << 10 // bytes; larger empty buffers are released

	datagramHeaderSize = 12 // bytes of a datagram before the payload
)

// Kinds of connections and datagrams.
const (
	KindGossip byte = 1 // traffic of the membership library
	KindCalls  byte = 2 // requests and responses
	KindPeers  byte = 3 // messages between pool shards of different members
	KindNotice byte = 4 // notice that a run is superseded
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Errors for invalid input. Each of them closes the connection or discards the datagram, and is counted.
var (
	ErrCorrupt         = errors.New("spoilt")
	ErrTooLong         = errors.New("message too long")
	ErrClusterMismatch = errors.New("cluster name mismatch")
	ErrVersionMismatch = errors.New("protocol version mismatch")
)

// hashName returns a 32-bit hash of a name. Datagrams carry that of the cluster name.
func hashName(name string) uint32 {
	hash := fnv.New32a()
	io.WriteString(hash, name)
	return hash.Sum32()
}

// Hello is the first message on a connection; the dialing member sends it.
type Hello struct {
	MinVersion, MaxVersion byte
	Kind                   byte
	Cluster                string
	From                   string
}

// Append appends the encoded message to b and returns the extended slice.
func (h *Hello) Append(b []byte) []byte {
	b = binary.BigEndian.AppendUint16(b, magic)
	b = append(b, h.MinVersion, h.MaxVersion, h.Kind, byte(len(h.Cluster)), byte(len(h.From)), 0)
	b = append(append(b, h.Cluster...), h.From...)
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b[len(b)-len(h.Cluster)-len(h.From)-helloFixedSize:], crcTable))
}

// ReadHello reads a Hello. It verifies the checksum before it uses any field but the two name lengths.
func ReadHello(reader io.Reader) (*Hello, error) {
	header := make([]byte, helloFixedSize, helloFixedSize+512+4)
	if _, err := io.ReadFull(reader, header); err != nil {
		return nil, err
	}
	if binary.BigEndian.Uint16(header) != magic {
		return nil, ErrCorrupt
	}
	namesSize := int(header[5]) + int(header[6])
	raw := header[:helloFixedSize+namesSize+4]
	if _, err := io.ReadFull(reader, raw[helloFixedSize:]); err != nil {
		return nil, err
	}
	if crc32.Checksum(raw[:helloFixedSize+namesSize], crcTable) != binary.BigEndian.Uint32(raw[helloFixedSize+namesSize:]) {
		return nil, ErrCorrupt
	}
	return &Hello{
		MinVersion: raw[2], MaxVersion: raw[3], Kind: raw[4],
		Cluster: string(raw[helloFixedSize : helloFixedSize+int(raw[5])]), From: string(raw[helloFixedSize+int(raw[5]) : helloFixedSize+namesSize]),
	}, nil
}

// NegotiateVersion returns the highest version that both ranges contain, or 0 if they do not overlap.
func NegotiateVersion(low, high, theirLow, theirHigh byte) byte {
	version := min(high, theirHigh)
	if version < low || version < theirLow {
		return 0
	}
	return version
}

// Frame types.
const (
	frameRequest byte = iota + 1
	frameResponse
	frameRefusal // the request was not started; the body holds the reason
	frameError   // the handler failed; the body holds the error text
	frameOneWay  // a request without a response
)

// Frame is one request or response on a connection.
type Frame struct {
	Type          byte
	Method        uint16
	ID            uint64
	TimeoutMillis uint32 // time that the caller will still wait
	Body          []byte
}

// Append appends the encoded frame to b and returns the extended slice.
func (f *Frame) Append(b []byte) []byte {
	start := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(len(f.Body)))
	b = append(b, f.Type, 0)
	b = binary.BigEndian.AppendUint16(b, f.Method)
	b = binary.BigEndian.AppendUint64(b, f.ID)
	b = binary.BigEndian.AppendUint32(b, f.TimeoutMillis)
	// The header has a checksum of its own, so that the length can be trusted before the body arrives.
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(b[start:], crcTable))
	b = append(b, f.Body...)
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(f.Body, crcTable))
}

// Decoder turns a byte stream into frames. It never allocates from a length prefix: the buffer grows only with the bytes
// received, so a peer cannot make it reserve memory with a forged length.
type Decoder struct{ buffered []byte }

// Write adds data to the stream and passes each completed frame to handle. After an error the connection is unusable.
func (d *Decoder) Write(data []byte, handle func(*Frame)) error {
	d.buffered = append(d.buffered, data...)
	rest := d.buffered
	for len(rest) >= frameHeaderSize {
		if crc32.Checksum(rest[:frameHeaderSize-4], crcTable) != binary.BigEndian.Uint32(rest[frameHeaderSize-4:]) {
			return ErrCorrupt
		}
		bodySize := int(binary.BigEndian.Uint32(rest))
		if bodySize > MaxFrameBody {
			return fmt.Errorf("frame body of %d bytes: %w", bodySize, ErrTooLong)
		}
		if len(rest) < frameHeaderSize+bodySize+4 {
			break
		}
		body := rest[frameHeaderSize : frameHeaderSize+bodySize]
		if crc32.Checksum(body, crcTable) != binary.BigEndian.Uint32(rest[frameHeaderSize+bodySize:]) {
			return ErrCorrupt
		}
		handle(&Frame{
			Type: rest[4], Method: binary.BigEndian.Uint16(rest[6:]), ID: binary.BigEndian.Uint64(rest[8:]),
			TimeoutMillis: binary.BigEndian.Uint32(rest[16:]), Body: append([]byte(nil), body...),
		})
		rest = rest[frameHeaderSize+bodySize+4:]
	}
	d.buffered = append(d.buffered[:0], rest...)
	if len(d.buffered) == 0 && cap(d.buffered) > maxRetainedBuffer {
		d.buffered = nil
	}
	return nil
}

// EncodeDatagram wraps a payload in a datagram of a cluster. Datagrams have no handshake to negotiate a version, so the
// sender passes the lowest version that it supports: members of an older build can then read it during a rolling upgrade.
func EncodeDatagram(version, kind byte, cluster string, payload []byte) []byte {
	b := make([]byte, 0, datagramHeaderSize+len(payload))
	b = binary.BigEndian.AppendUint16(b, magic)
	b = append(b, version, kind)
	b = binary.BigEndian.AppendUint32(b, hashName(cluster))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(payload, crcTable))
	return append(b, payload...)
}

// DecodeDatagram verifies a datagram and returns its kind and payload.
func DecodeDatagram(minVersion, maxVersion byte, cluster string, raw []byte) (kind byte, payload []byte, err error) {
	if len(raw) < datagramHeaderSize || binary.BigEndian.Uint16(raw) != magic {
		return 0, nil, ErrCorrupt
	}
	if version := raw[2]; version < minVersion || version > maxVersion {
		return 0, nil, ErrVersionMismatch
	}
	if binary.BigEndian.Uint32(raw[4:]) != hashName(cluster) {
		return 0, nil, ErrClusterMismatch
	}
	if payload = raw[datagramHeaderSize:]; crc32.Checksum(payload, crcTable) != binary.BigEndian.Uint32(raw[8:]) {
		return 0, nil, ErrCorrupt
	}
	return raw[3], payload, nil
}
