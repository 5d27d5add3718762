package proxy

import "slices"

const (
	maxEndedInstances      = 64 // whose heartbeats are ignored
	maxSupersededInstances = 8
	// revivingHeartbeats is the number of heartbeats that show that a superseded instance is still running, unless the
	// present one has sent one meanwhile. A single one may only have been late.
	revivingHeartbeats = 2
)

// instanceHistory tells which instances of the local upstream were there before the present one. Heartbeats may arrive
// seconds late, so a heartbeat of another instance does not prove that it is the newer one.
type instanceHistory struct {
	ended      []string // have closed or signed off, the latest ones
	recorded   []string // of these, the core has agreed on the end, the latest ones
	superseded []supersededInstance
}

// supersededInstance is an instance that another one has replaced without a sign-off.
type supersededInstance struct {
	id         string
	revision   int64 // of its last heartbeat
	heartbeats int   // since the last heartbeat of the present instance
}

// end marks an instance as ended for good.
func (h *instanceHistory) end(id string) {
	h.ended = appendBounded(h.ended, id)
	h.superseded = slices.DeleteFunc(h.superseded, func(s supersededInstance) bool { return s.id == id })
}

// hasEnded reports whether an instance has ended for good.
func (h *instanceHistory) hasEnded(id string) bool { return slices.Contains(h.ended, id) }

// isPrevious reports whether an instance has ended or has been replaced.
func (h *instanceHistory) isPrevious(id string) bool {
	return h.hasEnded(id) || slices.ContainsFunc(h.superseded, func(s supersededInstance) bool { return s.id == id })
}

// record notes that the core has agreed on the end of an instance.
func (h *instanceHistory) record(id string) { h.recorded = appendBounded(h.recorded, id) }

// isRecorded reports whether the core has agreed on the end of an instance.
func (h *instanceHistory) isRecorded(id string) bool { return slices.Contains(h.recorded, id) }

// supersede notes that another instance has replaced one whose last heartbeat had the given revision.
func (h *instanceHistory) supersede(id string, revision int64) {
	if id == "" {
		return
	}
	h.superseded = append(h.superseded, supersededInstance{id: id, revision: revision})
	h.superseded = h.superseded[max(0, len(h.superseded)-maxSupersededInstances):]
}

// accept reports whether a heartbeat may be applied, so that its instance is the present one.
func (h *instanceHistory) accept(id string, revision int64, present string) bool {
	if h.hasEnded(id) {
		return false
	}
	if id == present {
		for n := range h.superseded {
			h.superseded[n].heartbeats = 0
		}
		return true
	}
	position := slices.IndexFunc(h.superseded, func(s supersededInstance) bool { return s.id == id })
	if position < 0 {
		return true
	}
	superseded := &h.superseded[position]
	if revision <= superseded.revision {
		return false
	}
	superseded.revision = revision
	superseded.heartbeats++
	if superseded.heartbeats < revivingHeartbeats {
		return false
	}
	h.superseded = slices.Delete(h.superseded, position, position+1)
	return true
}

// appendBounded appends an ID that the list does not have yet and drops the oldest ones beyond maxEndedInstances.
func appendBounded(ids []string, id string) []string {
	if slices.Contains(ids, id) {
		return ids
	}
	ids = append(ids, id)
	return ids[max(0, len(ids)-maxEndedInstances):]
}
