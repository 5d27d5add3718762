package federation

import (
	"math"
	"slices"
	"strings"
)

// Verdict is why a request goes to a partner, or not.
type Verdict uint8

// The verdicts.
const (
	Open    Verdict = iota
	NoRoute         // no partner exports this
	Kept            // a partner does, and keeps this method to itself
	NoLeave         // it may be allowed, but nobody current has said so of late: come back
	Full            // the partner's limit
)

func (v Verdict) String() string {
	return [...]string{"open", "no_route", "kept", "no_leave", "full"}[v]
}

// Partner is what the configuration says of one.
type Partner struct {
	Name       string
	Gateway    string // address
	ReadsStale bool   // reads go on when it has been silent beyond its lease; effects never do
}

// Exporter is a partner that lets a request in, with the export that does.
type Exporter struct {
	Partner *Partner
	Export  *Export
	Edition int64
}

type known struct {
	Partner
	table *Table
	held  bool
	heard int64 // when the partner's word was last confirmed, by this balancer's clock
	names map[string]*Export
	rates map[*Export]*rate
}

type rate struct {
	has float64
	at  int64
}

// Door is one balancer's knowledge of what partners let in, and its leave to act on it. It begins closed.
type ExportPolicy struct {
	own     func(town, path string) bool // a route of ours takes it
	order   []*known                     // as the configuration names them: the first goes first
	no      uint64
	leave   int64
	members int

	openByDefault, noLeave bool // guards left out
}

// NewDoor makes one; own tells whether a route of ours takes a request: those go nowhere else.
func NewExportPolicy(own func(town, path string) bool) *ExportPolicy {
	return &ExportPolicy{own: own, members: 1}
}

// Names of guards that may be left out.
const (
	WithoutLeave  = "without-leave"
	OneDoor       = "one-door"
	OpenByDefault = "open-by-default"
	RetryAfter    = "retry-after-narrowing"
)

// Without leaves a guard out.
func (d *ExportPolicy) Without(guard string) {
	d.noLeave, d.openByDefault = guard == WithoutLeave, guard == OpenByDefault
}

// Without leaves a guard out.
func (k *NarrowingTracker) Without(guard string) { k.early = guard == WithoutLeave }

// Hear takes what is agreed: partners as the configuration orders them, and their words. ages are how long ago each partner
// confirmed its word. An older number than was heard changes nothing.
func (d *ExportPolicy) Hear(b *ImportBook, partners []Partner, ages map[string]int64, members int, now int64) {
	if b.No < d.no {
		return
	}
	old := map[string]*known{}
	for _, k := range d.order {
		old[k.Name] = k
	}
	d.no, d.members, d.order = b.No, max(members, 1), nil
	for _, p := range partners {
		i := b.Partners[p.Name]
		if i == nil || i.Table == nil {
			continue
		}
		k := &known{Partner: p, table: i.Table, held: i.Held, heard: now - ages[p.Name], names: map[string]*Export{}, rates: map[*Export]*rate{}}
		for n := range i.Table.Exports {
			e := &i.Table.Exports[n]
			k.names[e.Town+e.StreetPrefix] = e
			if was := old[p.Name]; was != nil && e.PerS > 0 { // what was spent stays spent
				if f := was.names[e.Town+e.StreetPrefix]; f != nil && was.rates[f] != nil {
					k.rates[e] = was.rates[f]
				}
			}
		}
		d.order = append(d.order, k)
	}
}

// Fresher notes that a partner has confirmed its word some time ago.
func (d *ExportPolicy) Fresher(partner string, age, now int64) {
	for _, k := range d.order {
		if k.Name == partner {
			k.heard = max(k.heard, now-age)
		}
	}
}

// Renew takes the word of somebody current that number no is what is agreed; asked is when it was asked for.
func (d *ExportPolicy) Renew(no uint64, asked int64) {
	if no == d.no {
		d.leave = max(d.leave, asked+LeaveFor)
	}
}

// No is the number that is acted on.
func (d *ExportPolicy) No() uint64 { return d.no }

// export is the longest prefix of a partner's that takes a path.
func (k *known) export(town, p string) *Export {
	for end := strings.LastIndexByte(p, '/'); end >= 0; end = strings.LastIndexByte(p[:end], '/') {
		if e := k.names[town+p[:end+1]]; e != nil {
			return e
		}
	}
	return nil
}

// may decides about one partner.
func (d *ExportPolicy) may(k *known, method, town, p string, now int64) (*Export, Verdict) {
	e := k.export(town, p)
	switch {
	case e == nil:
		return nil, NoRoute
	case k.held:
		return e, Kept
	case !slices.Contains(e.Methods, method) && !d.openByDefault:
		return e, Kept
	case now >= d.leave && !d.noLeave:
		return e, NoLeave
	case now-k.heard > int64(k.table.Lease) && !(Reads(method) && k.ReadsStale):
		return e, NoLeave // silent beyond its lease
	}
	return e, Open
}

// Decide says who lets a request in, in the order of the configuration, or why nobody does. Ours go before all: what a route of
// ours takes is never a partner's.
func (d *ExportPolicy) Decide(method, town, p string, now int64) (all []Exporter, why Verdict) {
	why = NoRoute
	town = strings.ToLower(town)
	if len(d.order) == 0 || !Plain(p) || d.own != nil && d.own(town, p) {
		return nil, NoRoute
	}
	for _, k := range d.order {
		e, v := d.may(k, method, town, p, now)
		if v == Open {
			all, why = append(all, Exporter{&k.Partner, e, k.table.Edition}), Open
		} else if why != Open && v != NoRoute && (why == NoRoute || v == NoLeave) {
			why = v
		}
	}
	return all, why
}

// Look says whether a request may go to one partner now, and spends nothing of its limit: the look before each try.
func (d *ExportPolicy) Look(partner, method, town, p string, now int64) Verdict {
	if !Plain(p) || d.own != nil && d.own(strings.ToLower(town), p) {
		return NoRoute
	}
	for _, k := range d.order {
		if k.Name == partner {
			_, v := d.may(k, method, strings.ToLower(town), p, now)
			return v
		}
	}
	return NoRoute
}

// May says whether a request may leave for one partner now: the second look, and that before each further try and copy.
func (d *ExportPolicy) May(partner, method, town, p string, now int64) (edition int64, why Verdict) {
	if !Plain(p) || d.own != nil && d.own(strings.ToLower(town), p) {
		return 0, NoRoute
	}
	for _, k := range d.order {
		if k.Name == partner {
			e, v := d.may(k, method, strings.ToLower(town), p, now)
			if v == Open && !k.spend(e, d.members, now) {
				v = Full
			}
			return k.table.Edition, v
		}
	}
	return 0, NoRoute
}

// spend takes one from this balancer's part of an export's limit.
func (k *known) spend(e *Export, members int, now int64) bool {
	if e.PerS <= 0 {
		return true
	}
	r := k.rates[e]
	part := e.PerS / float64(members)
	if r == nil {
		r = &rate{has: math.Max(1, part/4), at: now}
		k.rates[e] = r
	}
	r.has = math.Min(math.Max(1, part/4), r.has+part*float64(max(0, now-r.at))/float64(s))
	if r.at = now; r.has < 1 {
		return false
	}
	r.has--
	return true
}

// Shadow names exports that nobody is sent to by this order: a route of ours takes their prefix, or an earlier partner has the same.
func Shadow(b *ImportBook, partners []Partner, own func(town, path string) bool) (told []string) {
	first := map[string]string{}
	for _, p := range partners {
		i := b.Partners[p.Name]
		if i == nil || i.Table == nil {
			continue
		}
		for _, e := range i.Table.Exports {
			key := e.Town + e.StreetPrefix
			switch earlier, is := first[key]; {
			case own != nil && own(e.Town, e.StreetPrefix):
				told = append(told, p.Name+": "+key+": a route of ours takes it")
			case is:
				told = append(told, p.Name+": "+key+": after "+earlier+", which exports the same")
			default:
				first[key] = p.Name
			}
		}
	}
	return told
}
