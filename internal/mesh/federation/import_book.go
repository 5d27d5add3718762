package federation

import (
	"encoding/json"
	"maps"
	"slices"
)

// Import is one partner, as it is agreed.
type Import struct {
	Table  *Table `json:",omitempty"` // its last word, in force as far as nobody holds it
	Digest string // of that word
	No     uint64 // of the last change that narrowed it; 0 for none
	Done   uint64 // of the last narrowing that is done
	Told   int64  // the last edition whose narrowing is done: what the partner is told
	Held   bool   `json:",omitempty"` // an operator has closed it
	Who    string `json:",omitempty"`
	Why    string `json:",omitempty"`
}

// Book is all partners, a part of what the core agrees on.
type ImportBook struct {
	No       uint64 // rises with each change of anything that balancers act on
	Partners map[string]*Import
}

// NewBook makes an empty one.
func NewImportBook() *ImportBook { return &ImportBook{Partners: map[string]*Import{}} }

// Read reads a book as the core keeps it; nothing is an empty one.
func Read(raw json.RawMessage) (*ImportBook, error) {
	b := NewImportBook()
	if len(raw) == 0 {
		return b, nil
	}
	if err := json.Unmarshal(raw, b); err != nil {
		return nil, Error.Wrap(err)
	}
	if b.Partners == nil {
		b.Partners = map[string]*Import{}
	}
	maps.DeleteFunc(b.Partners, func(_ string, i *Import) bool { return i == nil })
	return b, nil
}

// Write lays it out.
func (b *ImportBook) Write() (json.RawMessage, error) { return json.Marshal(b) }

func (b *ImportBook) of(partner string) *Import {
	i := b.Partners[partner]
	if i == nil {
		i = &Import{}
		b.Partners[partner] = i
	}
	return i
}

// Take takes a partner's table; changed says whether there was anything to take. A word that goes back, or says something else
// under the same edition, is refused.
func (b *ImportBook) Take(t *Table, digest string) (changed bool, err error) {
	i := b.of(t.Partner)
	if i.Table != nil {
		switch {
		case t.Edition < i.Table.Edition:
			return false, Error.New("Edition: %d goes back, %d was taken: let it say a higher one, or drop the partner", t.Edition, i.Table.Edition)
		case t.Edition == i.Table.Edition && digest != i.Digest:
			return false, Error.New("Edition: %d says something else than when it was taken", t.Edition)
		case t.Edition == i.Table.Edition:
			return false, nil
		}
	}
	b.No++
	if t.Narrows(i.Table) {
		i.No = b.No
	} else if i.No == i.Done {
		i.Told = t.Edition // nothing is forbidden that was allowed
	}
	i.Table, i.Digest = t, digest
	return true, nil
}

// Close closes a partner by an operator's word, or opens it again.
func (b *ImportBook) Close(partner string, held bool, who, why string) {
	i := b.of(partner)
	if i.Held == held {
		return
	}
	b.No++
	if i.Held, i.Who, i.Why = held, who, why; held {
		i.No = b.No
	}
}

// Drop forgets what a partner said, so that it may begin with any edition again. It is a narrowing: what it was is gone.
func (b *ImportBook) Drop(partner, who, why string) bool {
	i := b.Partners[partner]
	if i == nil || i.Table == nil {
		return false
	}
	b.No++
	i.Table, i.Digest, i.No, i.Who, i.Why = nil, "", b.No, who, why
	return true
}

// Only leaves out partners that the configuration names no more, as a narrowing.
func (b *ImportBook) Only(named []string) (changed bool) {
	for _, partner := range slices.Sorted(maps.Keys(b.Partners)) {
		if !slices.Contains(named, partner) && b.Partners[partner].Table != nil {
			changed = b.Drop(partner, "", "the timetable names it no more") || changed
		}
	}
	return changed
}

// Finish notes that a narrowing is done. Invariant: one that was begun meanwhile is not.
func (b *ImportBook) Finish(partner string, no uint64) bool {
	i := b.Partners[partner]
	if i == nil || i.Done >= no || no > i.No {
		return false
	}
	if i.Done = no; i.Done == i.No && i.Table != nil {
		i.Told = i.Table.Edition
	}
	return true
}

// Taker knows how long ago narrowings were agreed, by the steady clock of who has the duty. It knows nothing of what was before
// its time: what it finds undone counts from when it finds it.
type NarrowingTracker struct {
	since map[string]map[uint64]int64

	early bool // without-leave: a narrowing is done at once
}

// NewTaker makes one for a epoch.
func NewNarrowingTracker() *NarrowingTracker {
	return &NarrowingTracker{since: map[string]map[uint64]int64{}}
}

// Due are the narrowings that are done by now, with the number of each partner's.
func (k *NarrowingTracker) Due(b *ImportBook, now int64) map[string]uint64 {
	due := map[string]uint64{}
	for partner, i := range b.Partners {
		if i.No == i.Done {
			delete(k.since, partner)
			continue
		}
		if k.since[partner] == nil {
			k.since[partner] = map[uint64]int64{}
		}
		if _, is := k.since[partner][i.No]; !is {
			k.since[partner][i.No] = now
		}
		for no, at := range k.since[partner] {
			if no > i.Done && (float64(now-at) >= float64(LeaveFor+Fresh)*(1+Drift) || k.early) {
				due[partner] = max(due[partner], no)
			}
		}
	}
	return due
}
