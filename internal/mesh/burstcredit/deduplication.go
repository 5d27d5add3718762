package burstcredit

import (
	"encoding/binary"
)

// slot is the identities that were settled in one part of the window, eight bytes each.
type slot struct {
	From int64
	IDs  []byte
}

// known reports whether an identity has been charged within the window.
func (b *Ledger) known(m ClaimID) bool {
	if b.index == nil {
		b.index = map[uint64]bool{}
		for _, part := range b.Seen {
			for at := 0; at+8 <= len(part.IDs); at += 8 {
				b.index[binary.LittleEndian.Uint64(part.IDs[at:])] = true
			}
		}
	}
	return b.index[m.key()]
}

func (b *Ledger) learn(m ClaimID) {
	if b.known(m) {
		return
	}
	if n := len(b.Seen); n == 0 || b.Now >= b.Seen[n-1].From+Window/slots {
		b.Seen = append(b.Seen, slot{From: b.Now})
	}
	last := &b.Seen[len(b.Seen)-1]
	last.IDs = binary.LittleEndian.AppendUint64(last.IDs, m.key())
	b.index[m.key()] = true
}

func (m ClaimID) key() uint64 { return Identity(m.Tenant) ^ m.ID }
