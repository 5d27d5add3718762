package proxy

import "slices"

// maxEndedInstances is the number of ended instances whose heartbeats are ignored.
const maxEndedInstances = 64

// instanceHistory tells which instances of the local upstream were there before the present one.
type instanceHistory struct {
	ended    []string // the latest ones
	recorded []string // of these, the core has agreed on the end, the latest ones
}

// end marks an instance as ended for good.
func (h *instanceHistory) end(id string) { h.ended = appendBounded(h.ended, id) }

// hasEnded reports whether an instance has ended for good.
func (h *instanceHistory) hasEnded(id string) bool { return slices.Contains(h.ended, id) }

// record notes that the core has agreed on the end of an instance.
func (h *instanceHistory) record(id string) { h.recorded = appendBounded(h.recorded, id) }

// isRecorded reports whether the core has agreed on the end of an instance.
func (h *instanceHistory) isRecorded(id string) bool { return slices.Contains(h.recorded, id) }

// appendBounded appends an ID that the list does not have yet and drops the oldest ones beyond maxEndedInstances.
func appendBounded(ids []string, id string) []string {
	if slices.Contains(ids, id) {
		return ids
	}
	ids = append(ids, id)
	return ids[max(0, len(ids)-maxEndedInstances):]
}
