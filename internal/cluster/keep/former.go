package keep

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Hello is what keepers tell one another before they vote, and again and again after.
type Hello struct {
	Group int    `codec:"g"`
	Name  string `codec:"n"`
	Disk  string `codec:"d"`           // drawn when its directory was made
	Runs  uint64 `codec:"r"`           // starts of this disk, this one included
	Nonce uint64 `codec:"o"`           // drawn at this start: an older copy counts its starts from where it was copied
	Seats []Seat `codec:"s,omitempty"` // the group's first ones, once it has them
	Parts string `codec:"p,omitempty"` // that its build knows
}

// Reply is what is said to it.
type Reply struct {
	Hello
	Why  string `codec:"w,omitempty"` // it must not vote, and why
	Seat *Seat  `codec:"t,omitempty"` // its own, where a replacement has been agreed on
}

// Former decides whether a keeper may vote: whether the group is there yet, and whether its disk is the one that the group
// knows and no older copy of it. It has no I/O and no clock.
type Former struct {
	Own    Hello
	Seat   *Seat           // of this disk, nil until it has one
	voters []string        // by name, this one included
	agreed map[uint64]Seat // as last applied, empty before
	seen   map[string]sighting
	ok     map[string]bool // others that found nothing wrong with this run
	why    string
}

// sighting is the newest that was heard of a keeper's disk.
type sighting struct {
	Disk  string `codec:"d" json:"disk"`
	Runs  uint64 `codec:"r" json:"runs"`
	Nonce uint64 `codec:"o" json:"nonce"`
	New   bool   `codec:"n" json:"new"` // it had no group yet
	Parts string `codec:"p,omitempty" json:"parts,omitempty"`
}

// older reports whether a start of a disk is not the newest that is known of it.
func (s sighting) older(disk string, runs, nonce uint64) bool {
	return s.Disk == disk && (runs < s.Runs || runs == s.Runs && nonce != s.Nonce)
}

// NewFormer makes one for a run of a keeper. seat and first are from its disk, seen is what it remembers of others.
func NewFormer(group int, name, disk string, runs, nonce uint64, seat *Seat, first []Seat, voters []string, seen map[string]sighting) *Former {
	f := &Former{
		Own: Hello{Group: group, Name: name, Disk: disk, Runs: runs, Nonce: nonce, Seats: first}, Seat: seat, voters: slices.Sorted(slices.Values(voters)),
		agreed: map[uint64]Seat{}, seen: seen, ok: map[string]bool{},
	}
	if f.seen == nil {
		f.seen = map[string]sighting{}
	}
	return f
}

// Agreed takes the seats as they were last agreed on; it reports whether others sit there now, so that it is to be kept.
func (f *Former) Agreed(seats map[uint64]*Seat) (changed bool) {
	var all []Seat
	for _, id := range slices.Sorted(maps.Keys(seats)) {
		all = append(all, *seats[id])
	}
	if slices.Equal(all, f.Own.Seats) {
		return false
	}
	f.Own.Seats = all
	clear(f.agreed)
	for _, s := range all {
		f.agreed[s.ID] = s
		if f.Seat != nil && s.ID == f.Seat.ID {
			own := s
			f.Seat = &own
		}
	}
	return true
}

// seatOf is the seat of a name, the newest where a replacement is under way.
func (f *Former) seatOf(name, disk string) (of, newest *Seat) {
	from := maps.Clone(f.agreed)
	if len(from) == 0 {
		for _, s := range f.Own.Seats {
			from[s.ID] = s
		}
	}
	for _, id := range slices.Sorted(maps.Keys(from)) {
		if s := from[id]; s.Name == name {
			if s.Disk == disk {
				of = &s
			}
			newest = &s
		}
	}
	return of, newest
}

// Heard answers another keeper's hello. changed says that what is remembered of it is to be kept on disk before the answer
// leaves.
func (f *Former) Heard(h *Hello) (r Reply, changed bool) {
	r.Hello = f.Own
	if !slices.Contains(f.voters, h.Name) {
		r.Why = fmt.Sprintf("%q is none of the voters here: %v", h.Name, f.voters)
		return r, false
	}
	was := f.seen[h.Name]
	if of, newest := f.seatOf(h.Name, h.Disk); newest != nil {
		if of == nil {
			r.Why = fmt.Sprintf("the group knows %s by another disk (%.8s, this is %.8s): its directory was lost or is another's; \"ottershift cluster replace %s\" makes it a keeper",
				h.Name, newest.Disk, h.Disk, h.Name)
			now := sighting{h.Disk, h.Runs, h.Nonce, true, h.Parts}
			f.seen[h.Name+" "] = now // who asks to be let in
			return r, false
		}
		r.Seat = of
	} else if len(f.Own.Seats) > 0 {
		f.seen[h.Name+" "] = sighting{h.Disk, h.Runs, h.Nonce, true, h.Parts}
		r.Why = fmt.Sprintf("%s has no seat in the group; \"ottershift cluster replace %s\" makes it a keeper", h.Name, h.Name)
		return r, false
	}
	if was.older(h.Disk, h.Runs, h.Nonce) {
		r.Why = fmt.Sprintf("%s has run %d times by what is known here, and this start calls itself run %d: its directory is an old copy; \"ottershift cluster replace %s\" makes it a keeper",
			h.Name, was.Runs, h.Runs, h.Name)
		return r, false
	}
	now := sighting{h.Disk, h.Runs, h.Nonce, len(h.Seats) == 0, h.Parts}
	f.seen[h.Name] = now
	return r, now != was
}

// Knows reports whether all keepers run builds that know a part. Danger: one that doesn't would pass its entries over, and hold
// another state once it knows them.
func (f *Former) Knows(part byte) bool {
	for _, name := range f.voters {
		if parts := f.seen[name].Parts; name != f.Own.Name && strings.IndexByte(parts, part) < 0 {
			return false
		}
	}
	return strings.IndexByte(f.Own.Parts, part) >= 0
}

// Stranger is the disk of a name that asked to be let in, "" if none did.
func (f *Former) Stranger(name string) string { return f.seen[name+" "].Disk }

// Seen is what is remembered of others, for the disk.
func (f *Former) Seen() map[string]sighting {
	out := map[string]sighting{}
	for name, s := range f.seen {
		if name[len(name)-1] != ' ' {
			out[name] = s
		}
	}
	return out
}

// Answered takes what another keeper said to this one's hello.
func (f *Former) Answered(r *Reply) {
	if r.Group != f.Own.Group || !slices.Contains(f.voters, r.Name) || r.Name == f.Own.Name {
		return
	}
	if r.Why != "" {
		f.why = r.Name + " says: " + r.Why
		delete(f.ok, r.Name)
		return
	}
	f.ok[r.Name] = true
	if was := f.seen[r.Name]; !was.older(r.Disk, r.Runs, r.Nonce) {
		f.seen[r.Name] = sighting{r.Disk, r.Runs, r.Nonce, len(r.Seats) == 0, r.Parts}
	}
	if r.Seat != nil && r.Seat.Disk == f.Own.Disk && (f.Seat == nil || f.Seat.ID != r.Seat.ID) {
		own := *r.Seat
		f.Seat, f.why = &own, "" // it was made a keeper
	}
	if len(f.Own.Seats) == 0 && len(r.Seats) > 0 {
		f.adopt(r.Seats)
	}
}

// adopt takes the seats that others formed the group with.
func (f *Former) adopt(seats []Seat) {
	for _, s := range seats {
		if s.Name == f.Own.Name && s.Disk == f.Own.Disk {
			own := s
			f.Seat, f.Own.Seats = &own, seats
		}
	}
}

// Form makes a new group once each voter has said that it has none. Danger: with one that hasn't spoken there might be a
// group already, whose disks are elsewhere.
func (f *Former) Form() bool {
	if f.Seat != nil || f.why != "" {
		return false
	}
	var seats []Seat
	for i, name := range f.voters {
		s := sighting{f.Own.Disk, f.Own.Runs, f.Own.Nonce, true, f.Own.Parts}
		if name != f.Own.Name {
			if s = f.seen[name]; !f.ok[name] || !s.New {
				return false
			}
		}
		seats = append(seats, Seat{ID: uint64(i + 1), Name: name, Disk: s.Disk})
	}
	f.adopt(seats)
	return true
}

// First reports whether this disk sits among the group's first seats, so that it may begin with what the group began with.
// Danger: one that took another's place gets all that was agreed on before from the leader.
func (f *Former) First() bool {
	mine := false
	for i, s := range f.Own.Seats {
		if s.ID != uint64(i+1) {
			return false
		}
		mine = mine || s.Disk == f.Own.Disk
	}
	return mine && len(f.Own.Seats) == len(f.voters)
}

// May says whether this run may vote: it has a seat, and enough others know no later run of its disk, so that with itself
// they are a majority. patient says that all others were given time to speak.
func (f *Former) May(patient bool) (yes bool, why string) {
	if f.why != "" {
		return false, f.why
	}
	others := len(f.voters) - 1
	need := len(f.voters) / 2
	switch {
	case f.Seat == nil:
		return false, "the group isn't formed yet: each voter has to say once that it is new"
	case len(f.ok) < need:
		return false, fmt.Sprintf("%d of %d other keepers have been reached, %d are needed", len(f.ok), others, need)
	case len(f.ok) < others && !patient:
		return false, "waiting for the other keepers"
	}
	return true, ""
}

// Forgive has what was said against it forgotten, so that it is asked anew: a replacement may have been agreed on.
func (f *Former) Forgive() { f.why = "" }

func (s Seat) String() string { return fmt.Sprintf("%s/%d", s.Name, s.ID) }
