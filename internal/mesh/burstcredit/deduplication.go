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
func (l *Ledger) known(m ClaimID) bool {
	if l.index == nil {
		l.index = map[uint64]bool{}
		for _, part := range l.Seen {
			for at := 0; at+8 <= len(part.IDs); at += 8 {
				l.index[binary.LittleEndian.Uint64(part.IDs[at:])] = true
			}
		}
	}
	return l.index[m.key()]
}

func (l *Ledger) learn(m ClaimID) {
	if l.known(m) {
		return
	}
	if n := len(l.Seen); n == 0 || l.Now >= l.Seen[n-1].From+Window/slots {
		l.Seen = append(l.Seen, slot{From: l.Now})
	}
	last := &l.Seen[len(l.Seen)-1]
	last.IDs = binary.LittleEndian.AppendUint64(last.IDs, m.key())
	l.index[m.key()] = true
}

func (m ClaimID) key() uint64 { return Identity(m.Tenant) ^ m.ID }
