package federation

import (
	"encoding/json"
	"maps"
	"slices"
)

// Import is the replicated state of one partner.
type Import struct {
	Table             *Table `json:",omitempty"` // last applied table; in force unless suspended
	Digest            string // of the table
	NarrowingRevision uint64 `json:"No"`             // revision of the last narrowing; 0 for none
	CompletedRevision uint64 `json:"Done"`           // revision of the last completed narrowing
	AnnouncedEdition  int64  `json:"Told"`           // last edition whose narrowing is complete, as announced to the partner
	Suspended         bool   `json:"Held,omitempty"` // by an operator
	Who               string `json:",omitempty"`
	Why               string `json:",omitempty"`
}

// ImportRegistry holds the imports of all partners. It is part of the controllers' replicated state.
type ImportRegistry struct {
	Revision uint64 `json:"No"` // increases with each change that proxies act on
	Partners map[string]*Import
}

// NewImportRegistry returns an empty registry.
func NewImportRegistry() *ImportRegistry { return &ImportRegistry{Partners: map[string]*Import{}} }

// DecodeImportRegistry decodes a registry from the replicated state. Empty input is an empty registry.
func DecodeImportRegistry(raw json.RawMessage) (*ImportRegistry, error) {
	registry := NewImportRegistry()
	if len(raw) == 0 {
		return registry, nil
	}
	if err := json.Unmarshal(raw, registry); err != nil {
		return nil, Error.Wrap(err)
	}
	if registry.Partners == nil {
		registry.Partners = map[string]*Import{}
	}
	maps.DeleteFunc(registry.Partners, func(_ string, imported *Import) bool { return imported == nil })
	return registry, nil
}

// Encode encodes the registry for the replicated state.
func (r *ImportRegistry) Encode() (json.RawMessage, error) { return json.Marshal(r) }

// getOrCreate returns a partner's import, which it adds if necessary.
func (r *ImportRegistry) getOrCreate(partner string) *Import {
	imported := r.Partners[partner]
	if imported == nil {
		imported = &Import{}
		r.Partners[partner] = imported
	}
	return imported
}

// ApplyTable applies a partner's table and reports whether it changed anything. It rejects a table with a lower
// edition, and one with the same edition and different content.
func (r *ImportRegistry) ApplyTable(table *Table, digest string) (changed bool, err error) {
	imported := r.getOrCreate(table.Partner)
	if imported.Table != nil {
		switch {
		case table.Edition < imported.Table.Edition:
			return false, Error.New("Edition: %d is lower than the applied edition %d; publish a higher one, or drop the partner",
				table.Edition, imported.Table.Edition)
		case table.Edition == imported.Table.Edition && digest != imported.Digest:
			return false, Error.New("Edition: %d was already applied with different content", table.Edition)
		case table.Edition == imported.Table.Edition:
			return false, nil
		}
	}
	r.Revision++
	if table.Narrows(imported.Table) {
		imported.NarrowingRevision = r.Revision
	} else if imported.NarrowingRevision == imported.CompletedRevision {
		imported.AnnouncedEdition = table.Edition // no narrowing is pending, so the edition can be announced at once
	}
	imported.Table, imported.Digest = table, digest
	return true, nil
}

// SetSuspended suspends or resumes a partner on behalf of an operator. Suspending is a narrowing.
func (r *ImportRegistry) SetSuspended(partner string, suspended bool, who, why string) {
	imported := r.getOrCreate(partner)
	if imported.Suspended == suspended {
		return
	}
	r.Revision++
	if imported.Suspended, imported.Who, imported.Why = suspended, who, why; suspended {
		imported.NarrowingRevision = r.Revision
	}
}

// Drop removes a partner's table, so that the partner may start again with any edition. It is a narrowing. It reports
// whether there was a table.
func (r *ImportRegistry) Drop(partner, who, why string) bool {
	imported := r.Partners[partner]
	if imported == nil || imported.Table == nil {
		return false
	}
	r.Revision++
	imported.Table, imported.Digest, imported.NarrowingRevision, imported.Who, imported.Why = nil, "", r.Revision, who, why
	return true
}

// RetainOnly drops partners that are no longer configured and reports whether there were any.
func (r *ImportRegistry) RetainOnly(configured []string) (changed bool) {
	for _, partner := range slices.Sorted(maps.Keys(r.Partners)) {
		if !slices.Contains(configured, partner) && r.Partners[partner].Table != nil {
			changed = r.Drop(partner, "", "the timetable names it no more") || changed
		}
	}
	return changed
}

// CompleteNarrowing records that the narrowing of a revision is complete. A narrowing of a later revision stays
// pending. It reports whether this changed anything.
func (r *ImportRegistry) CompleteNarrowing(partner string, revision uint64) bool {
	imported := r.Partners[partner]
	if imported == nil || imported.CompletedRevision >= revision || revision > imported.NarrowingRevision {
		return false
	}
	if imported.CompletedRevision = revision; imported.CompletedRevision == imported.NarrowingRevision && imported.Table != nil {
		imported.AnnouncedEdition = imported.Table.Edition
	}
	return true
}

// NarrowingTracker measures, by the coordinator's monotonic clock, how long ago narrowings were committed. A new
// coordinator does not know that of earlier narrowings, so it counts the pending ones from when it first sees them.
type NarrowingTracker struct {
	firstSeen map[string]map[uint64]int64 // by partner and revision, in nanoseconds

	completeAtOnce bool // disabled guard: narrowings are complete at once
}

// NewNarrowingTracker returns a tracker for one epoch of a coordinator.
func NewNarrowingTracker() *NarrowingTracker {
	return &NarrowingTracker{firstSeen: map[string]map[uint64]int64{}}
}

// Due returns, by partner, the revision of the latest narrowing that is complete by now.
func (t *NarrowingTracker) Due(registry *ImportRegistry, now int64) map[string]uint64 {
	due := map[string]uint64{}
	for partner, imported := range registry.Partners {
		if imported.NarrowingRevision == imported.CompletedRevision {
			delete(t.firstSeen, partner)
			continue
		}
		if t.firstSeen[partner] == nil {
			t.firstSeen[partner] = map[uint64]int64{}
		}
		if _, found := t.firstSeen[partner][imported.NarrowingRevision]; !found {
			t.firstSeen[partner][imported.NarrowingRevision] = now
		}
		for revision, seenAt := range t.firstSeen[partner] {
			if revision > imported.CompletedRevision &&
				(float64(now-seenAt) >= float64(AuthorizationTTL+QuorumFreshness)*(1+MaxClockDrift) || t.completeAtOnce) {
				due[partner] = max(due[partner], revision)
			}
		}
	}
	return due
}
