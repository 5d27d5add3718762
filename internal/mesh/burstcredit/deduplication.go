package burstcredit

import (
	"encoding/binary"
)

// chargedSlot holds the identities charged in one slot of DedupWindow.
type chargedSlot struct {
	From int64  // start of the slot, ledger time in nanoseconds
	IDs  []byte // hashes, eight bytes each
}

// isCharged reports whether an identity was charged within DedupWindow.
func (l *Ledger) isCharged(id ClaimID) bool {
	if l.chargedIndex == nil {
		l.chargedIndex = map[uint64]bool{}
		for _, slot := range l.Charged {
			for offset := 0; offset+8 <= len(slot.IDs); offset += 8 {
				l.chargedIndex[binary.LittleEndian.Uint64(slot.IDs[offset:])] = true
			}
		}
	}
	return l.chargedIndex[id.hash()]
}

// markCharged records an identity as charged.
func (l *Ledger) markCharged(id ClaimID) {
	if l.isCharged(id) {
		return
	}
	if n := len(l.Charged); n == 0 || l.Now >= l.Charged[n-1].From+DedupWindow/dedupSlots {
		l.Charged = append(l.Charged, chargedSlot{From: l.Now})
	}
	last := &l.Charged[len(l.Charged)-1]
	last.IDs = binary.LittleEndian.AppendUint64(last.IDs, id.hash())
	l.chargedIndex[id.hash()] = true
}

// hash combines the tenant and the request ID into the key that is kept for deduplication.
func (id ClaimID) hash() uint64 { return RequestID(id.Tenant) ^ id.ID }
