// Package link carries what members say to one another: calls and streams over TCP, datagrams over UDP, at one address.
// Caller and the frames decide without I/O; Link is the runner with sockets.
package link

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"hash/fnv"
	"io"
)

// Versions of the frames that this build speaks. Members agree on the highest that both know.
const (
	Low  = 1
	High = 1
)

const (
	// MostFrame is the longest body of a call or an answer.
	MostFrame = 1 << 20
	// MostDatagram is the longest payload of a datagram.
	MostDatagram = 60 << 10

	magic    = 0x4f54 // "OT"
	greeting = 8      // bytes of a greeting before its names
	head     = 24     // bytes of a frame before its body
	small    = 64 << 10

	datagramHead = 12
)

// Kinds of connection and of datagram.
const (
	Gossip byte = 1
	Calls  byte = 2
	Peers  byte = 3
	Notice byte = 4
)

var table = crc32.MakeTable(crc32.Castagnoli)

// Faults of what came in. Each ends its connection, or loses its datagram, and is counted.
var (
	ErrSpoilt  = errors.New("spoilt")
	ErrLong    = errors.New("longer than is believed")
	ErrCluster = errors.New("of another cluster")
	ErrVersion = errors.New("of another version")
)

// number is a cluster's name in a datagram.
func number(cluster string) uint32 {
	h := fnv.New32a()
	io.WriteString(h, cluster)
	return h.Sum32()
}

// Hello is the first that goes over a connection.
type Hello struct {
	Low, High byte
	Kind      byte
	Cluster   string
	From      string
}

// Append writes it behind b.
func (h *Hello) Append(b []byte) []byte {
	b = binary.BigEndian.AppendUint16(b, magic)
	b = append(b, h.Low, h.High, h.Kind, byte(len(h.Cluster)), byte(len(h.From)), 0)
	b = append(append(b, h.Cluster...), h.From...)
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b[len(b)-len(h.Cluster)-len(h.From)-greeting:], table))
}

// ReadHello reads one; nothing is believed before its sum is right.
func ReadHello(from io.Reader) (*Hello, error) {
	fixed := make([]byte, greeting, greeting+512+4)
	if _, err := io.ReadFull(from, fixed); err != nil {
		return nil, err
	}
	if binary.BigEndian.Uint16(fixed) != magic {
		return nil, ErrSpoilt
	}
	names := int(fixed[5]) + int(fixed[6])
	raw := fixed[:greeting+names+4]
	if _, err := io.ReadFull(from, raw[greeting:]); err != nil {
		return nil, err
	}
	if crc32.Checksum(raw[:greeting+names], table) != binary.BigEndian.Uint32(raw[greeting+names:]) {
		return nil, ErrSpoilt
	}
	return &Hello{
		Low: raw[2], High: raw[3], Kind: raw[4],
		Cluster: string(raw[greeting : greeting+int(raw[5])]), From: string(raw[greeting+int(raw[5]) : greeting+names]),
	}, nil
}

// Agree is the version that two ranges have in common, 0 if there is none.
func Agree(low, high, theirLow, theirHigh byte) byte {
	v := min(high, theirHigh)
	if v < low || v < theirLow {
		return 0
	}
	return v
}

// Types of frame.
const (
	request byte = iota + 1
	answer
	refusal // with its reason as body: it was not begun
	fault   // with its reason: it was begun
	post    // a call that wants no answer
)

// Frame is one call or answer on a connection.
type Frame struct {
	Type   byte
	Method uint16
	ID     uint64
	Left   uint32 // milliseconds that the asker still waits
	Body   []byte
}

// Append writes it behind b.
func (f *Frame) Append(b []byte) []byte {
	at := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(len(f.Body)))
	b = append(b, f.Type, 0)
	b = binary.BigEndian.AppendUint16(b, f.Method)
	b = binary.BigEndian.AppendUint64(b, f.ID)
	b = binary.BigEndian.AppendUint32(b, f.Left)
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(b[at:], table)) // of the head, so that a length is believed at once
	b = append(b, f.Body...)
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(f.Body, table))
}

// Decoder takes bytes as they come and gives frames. Danger: a length is no reason to make room; room grows with what came.
type Decoder struct{ held []byte }

// Write takes bytes; what they make whole is given to do. An error ends the connection.
func (d *Decoder) Write(b []byte, do func(*Frame)) error {
	d.held = append(d.held, b...)
	rest := d.held
	for len(rest) >= head {
		if crc32.Checksum(rest[:head-4], table) != binary.BigEndian.Uint32(rest[head-4:]) {
			return ErrSpoilt
		}
		n := int(binary.BigEndian.Uint32(rest))
		if n > MostFrame {
			return fmt.Errorf("a frame of %d bytes: %w", n, ErrLong)
		}
		if len(rest) < head+n+4 {
			break
		}
		body := rest[head : head+n]
		if crc32.Checksum(body, table) != binary.BigEndian.Uint32(rest[head+n:]) {
			return ErrSpoilt
		}
		do(&Frame{
			Type: rest[4], Method: binary.BigEndian.Uint16(rest[6:]), ID: binary.BigEndian.Uint64(rest[8:]),
			Left: binary.BigEndian.Uint32(rest[16:]), Body: append([]byte(nil), body...),
		})
		rest = rest[head+n+4:]
	}
	d.held = append(d.held[:0], rest...)
	if len(d.held) == 0 && cap(d.held) > small {
		d.held = nil
	}
	return nil
}

// Datagram puts a payload into a datagram of a cluster. Nobody agrees on its version before it is sent, so it goes by the
// lowest that its sender speaks: members of an older build understand it while a fleet is upgraded.
func Datagram(low, kind byte, cluster string, payload []byte) []byte {
	b := make([]byte, 0, datagramHead+len(payload))
	b = binary.BigEndian.AppendUint16(b, magic)
	b = append(b, low, kind)
	b = binary.BigEndian.AppendUint32(b, number(cluster))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(payload, table))
	return append(b, payload...)
}

// Open takes a payload out again.
func Open(low, high byte, cluster string, raw []byte) (kind byte, payload []byte, err error) {
	if len(raw) < datagramHead || binary.BigEndian.Uint16(raw) != magic {
		return 0, nil, ErrSpoilt
	}
	if v := raw[2]; v < low || v > high {
		return 0, nil, ErrVersion
	}
	if binary.BigEndian.Uint32(raw[4:]) != number(cluster) {
		return 0, nil, ErrCluster
	}
	if payload = raw[datagramHead:]; crc32.Checksum(payload, table) != binary.BigEndian.Uint32(raw[8:]) {
		return 0, nil, ErrSpoilt
	}
	return raw[3], payload, nil
}
