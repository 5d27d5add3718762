package ledger

import (
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"ottershift/internal/cluster/pack"
)

// Query asks a book.
type Query struct {
	What     string `codec:"w" json:"what,omitempty"`          // "look": one key; "find": by the words below; "marks": sums; "stand"
	Key      []byte `codec:"k,omitempty" json:"key,omitempty"` // of "look"
	ID       string `codec:"i,omitempty" json:"id,omitempty"`
	Pool     string `codec:"p,omitempty" json:"pool,omitempty"`
	Customer string `codec:"c,omitempty" json:"customer,omitempty"`
	Tariff   string `codec:"t,omitempty" json:"tariff,omitempty"`
	Group    string `codec:"g,omitempty" json:"group,omitempty"`
	Upstream string `codec:"u,omitempty" json:"upstream,omitempty"`
	Member   string `codec:"m,omitempty" json:"member,omitempty"`
	State    string `codec:"s,omitempty" json:"state,omitempty"`
	Label    string `codec:"l,omitempty" json:"label,omitempty"`
	Younger  int64  `codec:"y,omitempty" json:"younger,omitempty"` // remembered for less than this, nanoseconds
	Older    int64  `codec:"o,omitempty" json:"older,omitempty"`
	Most     int    `codec:"n,omitempty" json:"most,omitempty"`
	From     int    `codec:"f,omitempty" json:"-"` // of "find": where the page before ended
	Of       uint64 `codec:"e,omitempty" json:"-"` // and in whose copy; that is another's after a change of leader
}

// States of a record, as they are shown.
const (
	Open     = "open"     // claimed, its end is not known yet
	Answered = "answered" // an upstream answered
	Unknown  = "unknown"  // it may have run
)

// Entry is a record as it is shown.
type Entry struct {
	Key      string `codec:"k" json:"key"`
	State    string `codec:"s" json:"state"`
	Pool     string `codec:"p" json:"pool"`
	Customer string `codec:"c,omitempty" json:"customer,omitempty"`
	Tariff   string `codec:"t" json:"tariff"`
	Once     bool   `codec:"o,omitempty" json:"once_only,omitempty"`
	Group    string `codec:"g,omitempty" json:"group,omitempty"`    // of upstreams that it is bound to
	Upstream string `codec:"u,omitempty" json:"upstream,omitempty"` // that it was sent to first
	Member   string `codec:"m,omitempty" json:"member,omitempty"`
	Epoch    uint64 `codec:"e,omitempty" json:"epoch,omitempty"`
	Number   uint64 `codec:"n,omitempty" json:"number,omitempty"`
	For      int64  `codec:"f" json:"remembered_ms"`           // so far
	Left     int64  `codec:"l,omitempty" json:"left_ms"`       // until it is forgotten
	Mays     bool   `codec:"y,omitempty" json:"may,omitempty"` // an earlier attempt may have run
	Body     uint64 `codec:"b,omitempty" json:"body,omitempty"`
	ID       string `codec:"i,omitempty" json:"id,omitempty"`
	Label    string `codec:"x,omitempty" json:"label,omitempty"`
}

// Page is what a query tells.
type Page struct {
	Entries []Entry          `codec:"e,omitempty"`
	Next    int              `codec:"m,omitempty"` // where the next page begins; 0 for no more
	Of      uint64           `codec:"f,omitempty"` // the copy that was read
	Indexes []uint64         `codec:"i,omitempty"` // of sums
	Sums    []uint64         `codec:"s,omitempty"`
	Keys    int              `codec:"k,omitempty"`
	Open    int              `codec:"o,omitempty"`
	Results map[string]int64 `codec:"r,omitempty"`
}

const (
	mostPage   = 2000
	mostLooked = 20000
)

// Read implements keep.Reader.
func (b *Book) Read(body []byte) []byte {
	var q Query
	if pack.Unpack(body, &q) != nil {
		return nil
	}
	p := b.Ask(&q)
	return pack.Pack(&p)
}

// Ask answers a query.
func (b *Book) Ask(q *Query) (p Page) {
	switch q.What {
	case "look":
		if len(q.Key) == len(Key{}) {
			if n, some := b.at[Key(q.Key)]; some {
				p.Entries = append(p.Entries, b.entry(&b.slots[n]))
			}
		}
	case "stand":
		p.Keys, p.Open, p.Results = len(b.at), len(b.held), b.counts
	case "marks":
		for _, m := range b.marks {
			if m.index != 0 {
				p.Indexes, p.Sums = append(p.Indexes, m.index), append(p.Sums, m.sum)
			}
		}
	case "find":
		// Danger: a keeper answers nobody while it looks, so a page looks at so many records and no more.
		p.Of = b.copy
		from := q.From
		if q.Of != b.copy {
			from = 0
		}
		to := min(from+mostLooked, len(b.slots))
		for ; from < to && len(p.Entries) < mostPage; from++ {
			if r := &b.slots[from]; !r.empty() && b.fits(r, q) {
				p.Entries = append(p.Entries, b.entry(r))
			}
		}
		if from < len(b.slots) {
			p.Next = from
		}
	}
	return p
}

// Each tells all that fits, once, page by page. What is claimed or forgotten meanwhile may be among them or not.
func Each(q Query, ask func(*Query) (Page, error), take func(Entry) error) error {
	told, n := map[string]bool{}, 0
	for {
		p, err := ask(&q)
		if err != nil {
			return err
		}
		for _, e := range p.Entries {
			if told[e.Key] {
				continue // another copy is read from its beginning
			}
			told[e.Key] = true
			if n++; q.Most > 0 && n > q.Most {
				return nil
			}
			if err := take(e); err != nil {
				return err
			}
		}
		if p.Next == 0 || q.What != "find" {
			return nil
		}
		q.From, q.Of = p.Next, p.Of
	}
}

func (b *Book) fits(r *record, q *Query) bool {
	e := b.entry(r)
	age := e.For * int64(time.Millisecond)
	return (q.ID == "" || q.ID == e.ID) && (q.Pool == "" || q.Pool == e.Pool) && (q.Customer == "" || q.Customer == e.Customer) &&
		(q.Tariff == "" || q.Tariff == e.Tariff) && (q.Group == "" || q.Group == e.Group) && (q.Upstream == "" || q.Upstream == e.Upstream) && (q.Member == "" || q.Member == e.Member) &&
		(q.State == "" || q.State == e.State) && (q.Label == "" || strings.HasPrefix(e.Label, q.Label)) &&
		(q.Younger == 0 || age < q.Younger) && (q.Older == 0 || age >= q.Older)
}

func (b *Book) entry(r *record) Entry {
	e := Entry{
		Key: r.key.String(), Pool: b.names[r.pool], Customer: b.names[r.customer], Tariff: b.names[r.tariff], Once: r.once, Group: b.names[r.group],
		Mays: r.may, Body: r.body, ID: r.id, Label: r.label, Upstream: r.to,
	}
	const ms = int64(time.Millisecond)
	if r.since != 0 {
		e.For = (b.now - r.since) / ms
	}
	if e.Left = r.keep / ms; r.counted {
		e.Left = max(0, r.until-b.now) / ms
	}
	switch {
	case r.holder.member != 0:
		e.State, e.Member, e.Epoch, e.Number = Open, b.names[r.holder.member], r.holder.epoch, r.holder.number
	case r.answered:
		e.State = Answered
	default:
		e.State = Unknown
	}
	return e
}

// Differ compares the copies that keepers hold, by name, and names what differs.
func Differ(copies map[string][]Entry) (lines []string) {
	all := map[string]map[string]Entry{}
	var names []string
	for name, entries := range copies {
		names = append(names, name)
		for _, e := range entries {
			if all[e.Key] == nil {
				all[e.Key] = map[string]Entry{}
			}
			e.For, e.Left = 0, 0 // by the moment at which each was asked
			all[e.Key][name] = e
		}
	}
	slices.Sort(names)
	for key, has := range all {
		var first *Entry
		for _, name := range names {
			e, some := has[name]
			switch {
			case !some:
				lines = append(lines, key+" is not at "+name)
			case first == nil:
				first = &e
			case *first != e:
				lines = append(lines, key+" differs at "+name+": "+e.State+" "+e.Group+", elsewhere "+first.State+" "+first.Group)
			}
		}
	}
	slices.Sort(lines)
	return lines
}

// ParseKey reads a key as it is shown.
func ParseKey(text string) (k Key, ok bool) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(k) {
		return k, false
	}
	return Key(raw), true
}
