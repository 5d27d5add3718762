// Package ledger keeps what must not run twice: where each tagged and once-only transaction may go, claimed at the keepers
// before its first byte leaves. Book is what keepers agree on, Decide what a repeat may do, Core what a member has under way;
// none of them has I/O or a clock. Ledger is the runner.
package ledger

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ottershift/internal/cluster/keep"
	"ottershift/internal/cluster/pack"
)

// Part is the ledger's number among the parts of what is agreed.
const Part byte = 1

// Key is what a transaction is known by: a sum of its pool, customer, tariff and Idempotency-Key, however long that is.
type Key [16]byte

// KeyOf is the key of a transaction.
func KeyOf(parts ...string) (k Key) {
	h := sha256.New()
	var n [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(n[:], uint64(len(p))) // danger: "ab", "c" is not "a", "bc"
		h.Write(n[:])
		h.Write([]byte(p))
	}
	return Key(h.Sum(nil)[:16])
}

func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Kinds of op.
const (
	claim byte = iota + 1
	end
)

// Ends of a claim.
const (
	EndNever    byte = iota + 1 // no push of it ran, provably
	EndAnswered                 // an upstream settled or rejected it
	EndUnknown                  // it may have run
)

// Op is one line for the ledger. Its number tells it apart from all others of its member's run.
type Op struct {
	What     byte   `codec:"w"`
	Key      []byte `codec:"k"`
	Number   uint64 `codec:"n"`
	Group    string `codec:"g,omitempty"` // that the next push goes to, "" where that binds nothing
	To       string `codec:"u,omitempty"` // upstream of that push; those after it go to the same group
	Moves    bool   `codec:"m,omitempty"` // no push of it has run, so it may go to another group
	Once     bool   `codec:"o,omitempty"`
	Pool     string `codec:"p,omitempty"`
	Customer string `codec:"c,omitempty"`
	Tariff   string `codec:"t,omitempty"`
	Keep     int64  `codec:"f,omitempty"` // nanoseconds that it is remembered for
	ID       string `codec:"i,omitempty"`
	Body     uint64 `codec:"b,omitempty"` // sum of its body, 0 where nobody compares
	Label    string `codec:"l,omitempty"` // the key as its client wrote it, or the beginning of it
	How      byte   `codec:"h,omitempty"`
}

// Batch is a command's body.
type Batch struct {
	Ops  []Op   `codec:"o,omitempty"`
	Most int    `codec:"m,omitempty"` // keys that may be remembered in this group
	Pass int64  `codec:"p,omitempty"` // nanoseconds that have passed
	Low  uint64 `codec:"l,omitempty"` // claims under this number that aren't held are none any more
}

// Codes of results.
const (
	Granted byte = iota + 1
	Held         // another has it, and has not said how it ended
	BoundTo      // it may have run in another group
	Ran          // once-only, and may have run
	Differs      // another body came under this key
	Full         // too many keys are remembered
	Stale        // by somebody who doesn't hold it, or had given it up before it came
)

// Res is what became of an op.
type Res struct {
	Code  byte   `codec:"c"`
	Group string `codec:"g,omitempty"`
}

// Results are an answer's body.
type Results struct {
	All []Res `codec:"a"`
}

// holder is one attempt of one member's run.
type holder struct {
	member        uint32 // name by number, 0 for nobody
	epoch, number uint64
}

// record is a key that is remembered.
type record struct {
	key                          Key
	pool, customer, tariff       uint32 // names by number
	group                        uint32
	once, may, answered, counted bool // may: it may have run; counted: until holds
	holder                       holder
	since, until, keep           int64 // by the ledger's own time
	body                         uint64
	id, label, to                string
}

// Guards are what variants leave out.
type Guards struct{ Fence bool }

// Book is the ledger of one group of keepers: the same at each of them.
type Book struct {
	guards Guards
	copy   uint64 // which one this is, by chance; no part of what is agreed
	now    int64  // the ledger's own time: never faster than any real one
	slots  []record
	free   []uint32
	at     map[Key]uint32
	names  []string // by number, from 1 on
	number map[string]uint32
	held   map[holder]Key    // attempts that have not ended
	low    map[holder]uint64 // by run: claims under it come too late
	due    map[int64][]Key   // by the second in which they end
	swept  int64             // second up to which all that ended is gone
	fresh  []Key             // claimed since time passed last
	sum    uint64            // of all records
	marks  [marks]mark       // sums after the last commands
	counts map[string]int64  // of results, for figures
}

const marks = 1024

type mark struct{ index, sum uint64 }

const second = int64(1e9)

// granule is how often time is told, at the least.
const granule = second / 2

// NewBook makes an empty one; copy is a number that no other copy has, as far as chance goes.
func NewBook(g Guards, copy uint64) *Book {
	b := &Book{guards: g, copy: copy}
	b.clear()
	return b
}

func (b *Book) clear() {
	b.low = map[holder]uint64{}
	b.now, b.swept, b.slots, b.free, b.fresh, b.sum, b.marks = 0, 0, nil, nil, nil, 0, [marks]mark{}
	b.at, b.names, b.number, b.held, b.due, b.counts = map[Key]uint32{}, []string{""}, map[string]uint32{"": 0}, map[holder]Key{}, map[int64][]Key{}, map[string]int64{}
}

func (b *Book) name(text string) uint32 {
	n, some := b.number[text]
	if !some {
		n = uint32(len(b.names))
		b.names, b.number[text] = append(b.names, text), n
	}
	return n
}

// Apply implements keep.Part.
func (b *Book) Apply(index uint64, c *keep.Command) keep.Result {
	var x Batch
	if pack.Unpack(c.Body, &x) != nil {
		return keep.Result{Code: keep.CodeNotFound}
	}
	defer func() { b.marks[index%marks] = mark{index, b.sum} }()
	if c.Member == "" { // a keeper's own
		b.pass(x.Pass)
		return keep.Result{Code: keep.CodeOK}
	}
	r := Results{All: make([]Res, len(x.Ops))}
	run := holder{member: b.name(c.Member), epoch: c.Epoch}
	b.low[run] = max(b.low[run], x.Low)
	for i := range x.Ops {
		if o := &x.Ops[i]; len(o.Key) == len(Key{}) {
			r.All[i] = b.do(c, o, x.Most)
			b.counts[names[r.All[i].Code]]++
		}
	}
	return keep.Result{Code: keep.CodeOK, Body: pack.Pack(&r)}
}

var names = [...]string{"none", "granted", "held", "bound", "ran", "differs", "full", "stale"}

func (b *Book) do(c *keep.Command, o *Op, most int) Res {
	by := holder{b.name(c.Member), c.Epoch, o.Number}
	n, some := b.at[Key(o.Key)]
	if o.What == end {
		if !some || b.slots[n].holder != by && (b.guards.Fence || b.slots[n].holder.member == 0 && !b.slots[n].may) {
			return Res{Code: Stale} // danger: an old holder's "never ran" would free what a newer one has sent
		}
		b.ended(n, o.How)
		return Res{Code: Granted}
	}
	if o.What != claim {
		return Res{}
	}
	if o.Number < b.low[holder{member: by.member, epoch: by.epoch}] && (!some || b.slots[n].holder != by) && b.guards.Fence {
		return Res{Code: Stale} // danger: its member has given it up; nobody would ever end it
	}
	if !some {
		if len(b.at) >= most && most > 0 {
			return Res{Code: Full}
		}
		b.take(b.slot(Key(o.Key)), by, o)
		return Res{Code: Granted, Group: o.Group}
	}
	r := &b.slots[n]
	group := b.names[r.group]
	switch {
	case r.holder == by && (o.Group == group || o.Moves && !r.may):
		b.take(n, by, o)
	case !b.guards.Fence && o.Moves: // danger: who held it once moves it on, whatever came after
		b.take(n, by, o)
	case r.holder == by:
		return Res{Code: BoundTo, Group: group}
	case r.holder.member != 0:
		return Res{Code: Held, Group: group}
	case r.body != 0 && o.Body != 0 && r.body != o.Body:
		return Res{Code: Differs}
	case r.once:
		return Res{Code: Ran}
	case group != o.Group:
		return Res{Code: BoundTo, Group: group}
	default:
		b.take(n, by, o)
	}
	return Res{Code: Granted, Group: o.Group}
}

// slot makes room for a key.
func (b *Book) slot(k Key) (n uint32) {
	if len(b.free) > 0 {
		n = b.free[len(b.free)-1]
		b.free = b.free[:len(b.free)-1]
	} else {
		n = uint32(len(b.slots))
		b.slots = append(b.slots, record{})
	}
	b.slots[n] = record{key: k}
	b.at[k] = n
	return n
}

// change has a record changed, with the sum over all.
func (b *Book) change(n uint32, f func(r *record)) {
	r := &b.slots[n]
	if !r.empty() {
		b.sum ^= b.hash(r)
	}
	f(r)
	if !r.empty() {
		b.sum ^= b.hash(r)
	}
}

func (r *record) empty() bool { return r.keep == 0 }

func (b *Book) hash(r *record) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.Write(r.key[:])
	for _, text := range []string{b.names[r.pool], b.names[r.customer], b.names[r.tariff], b.names[r.group], b.names[r.holder.member], r.id, r.label, r.to} {
		d.WriteString(text)
		d.Write([]byte{0})
	}
	var raw [72]byte
	for i, v := range []uint64{r.holder.epoch, r.holder.number, uint64(r.since), uint64(r.until), uint64(r.keep), r.body, bits(r.once, r.may, r.answered, r.counted)} {
		binary.BigEndian.PutUint64(raw[8*i:], v)
	}
	d.Write(raw[:])
	return d.Sum64()
}

func bits(all ...bool) (n uint64) {
	for i, x := range all {
		if x {
			n |= 1 << i
		}
	}
	return n
}

// take has an attempt hold a record. Its time runs anew: a push of this one may be the first that runs.
func (b *Book) take(n uint32, by holder, o *Op) {
	b.change(n, func(r *record) {
		if r.holder != by {
			delete(b.held, r.holder)
		}
		b.held[by] = r.key
		first := r.empty()
		r.holder, r.group, r.keep, r.id, r.to = by, b.name(o.Group), max(o.Keep, 1, r.keep), o.ID, o.To
		if first {
			r.pool, r.customer, r.tariff, r.once, r.body, r.label = b.name(o.Pool), b.name(o.Customer), b.name(o.Tariff), o.Once, o.Body, o.Label
		}
		if first || r.counted {
			r.counted = false
			b.fresh = append(b.fresh, r.key)
		}
	})
}

// ended lets go of a record.
func (b *Book) ended(n uint32, how byte) {
	delete(b.held, b.slots[n].holder)
	if how == EndNever && !b.slots[n].may {
		b.forget(n)
		return
	}
	b.change(n, func(r *record) {
		r.holder = holder{}
		r.may, r.answered = r.may || how != EndNever, r.answered || how == EndAnswered
	})
}

func (b *Book) forget(n uint32) {
	r := &b.slots[n]
	b.sum ^= b.hash(r)
	delete(b.at, r.key)
	delete(b.held, r.holder)
	*r = record{}
	b.free = append(b.free, n)
}

// Ended implements keep.Part: what a lost run held was sent to its group, and nobody knows the answer.
func (b *Book) Ended(index uint64, member string, epoch uint64) {
	who := b.number[member]
	for h, k := range b.held { // in any order: none touches another
		if h.member == who && h.epoch == epoch {
			b.ended(b.at[k], EndUnknown)
		}
	}
	delete(b.low, holder{member: who, epoch: epoch})
	b.marks[index%marks] = mark{index, b.sum}
}

// Due implements keep.Clocked.
func (b *Book) Due(passed int64) []byte {
	if len(b.at) == 0 || passed < granule {
		return nil
	}
	return pack.Pack(&Batch{Pass: passed})
}

// pass passes time. What was claimed since it was told last counts from now on: the time told includes some from before it.
func (b *Book) pass(by int64) {
	b.now += max(by, 0)
	for _, k := range b.fresh {
		if n, some := b.at[k]; some && !b.slots[n].counted {
			b.change(n, func(r *record) {
				if r.since == 0 {
					r.since = b.now
				}
				r.until, r.counted = b.now+r.keep, true
			})
			b.later(&b.slots[n])
		}
	}
	b.fresh = b.fresh[:0]
	for ; b.swept < b.now/second; b.swept++ {
		if len(b.due) == 0 {
			b.swept = b.now / second
			break
		}
		all := b.due[b.swept]
		delete(b.due, b.swept)
		for _, k := range all {
			n, some := b.at[k]
			if r := &b.slots[n]; !some || !r.counted || r.until/second != b.swept {
				continue // it was claimed anew, or is another's by now
			} else if r.holder.member != 0 { // danger: it is out yet
				b.change(n, func(r *record) { r.until = b.now + second })
				b.later(r)
				continue
			}
			b.forget(n)
		}
	}
}

func (b *Book) later(r *record) { b.due[r.until/second] = append(b.due[r.until/second], r.key) }

// saved is a snapshot's.
type saved struct {
	Now     int64
	Swept   int64
	Names   []string
	Records []line
	Low     []lowLine
}

type lowLine struct {
	//lint:ignore U1000 read by the codec: records are arrays
	_struct bool `codec:",toarray"`
	Member  uint32
	Epoch   uint64
	Low     uint64
}

// line is a record in a snapshot, as an array.
type line struct {
	//lint:ignore U1000 read by the codec: records are arrays
	_struct                bool `codec:",toarray"`
	Key                    []byte
	Pool, Customer, Tariff uint32
	Group                  uint32
	Flags                  uint64
	Member                 uint32
	Epoch, Number          uint64
	Since, Until, Keep     int64
	Body                   uint64
	ID, Label, To          string
}

// Save implements keep.Part.
func (b *Book) Save() []byte {
	s := saved{Now: b.now, Swept: b.swept, Names: b.names}
	s.Records = make([]line, 0, len(b.at))
	for i := range b.slots {
		if r := &b.slots[i]; !r.empty() {
			s.Records = append(s.Records, line{
				Key: r.key[:], Pool: r.pool, Customer: r.customer, Tariff: r.tariff, Group: r.group, Flags: bits(r.once, r.may, r.answered, r.counted),
				Member: r.holder.member, Epoch: r.holder.epoch, Number: r.holder.number, Since: r.since, Until: r.until, Keep: r.keep, Body: r.body,
				ID: r.id, Label: r.label, To: r.to,
			})
		}
	}
	for run, low := range b.low {
		s.Low = append(s.Low, lowLine{Member: run.member, Epoch: run.epoch, Low: low})
	}
	slices.SortFunc(s.Low, func(x, y lowLine) int { return cmp.Or(cmp.Compare(x.Member, y.Member), cmp.Compare(x.Epoch, y.Epoch)) })
	return pack.Pack(&s)
}

// Load implements keep.Part.
func (b *Book) Load(raw []byte) error {
	counts := b.counts
	b.clear()
	b.counts, b.copy = counts, b.copy+1 // records stand elsewhere now
	if len(raw) == 0 {                  // of a build that knew no ledger
		return nil
	}
	var s saved
	if err := pack.Unpack(raw, &s); err != nil {
		return err
	}
	b.now, b.swept = s.Now, s.Swept
	for _, text := range s.Names[min(1, len(s.Names)):] {
		b.name(text)
	}
	for _, x := range s.Low {
		b.low[holder{member: x.Member, epoch: x.Epoch}] = x.Low
	}
	known := func(all ...uint32) bool { return int(slices.Max(all)) < len(b.names) }
	for _, l := range s.Records {
		if len(l.Key) != len(Key{}) || !known(l.Pool, l.Customer, l.Tariff, l.Group, l.Member) {
			return fmt.Errorf("a record of the ledger is spoilt")
		}
		n := b.slot(Key(l.Key))
		b.change(n, func(r *record) {
			*r = record{
				key: Key(l.Key), pool: l.Pool, customer: l.Customer, tariff: l.Tariff, group: l.Group, holder: holder{l.Member, l.Epoch, l.Number},
				once: l.Flags&1 != 0, may: l.Flags&2 != 0, answered: l.Flags&4 != 0, counted: l.Flags&8 != 0,
				since: l.Since, until: l.Until, keep: max(l.Keep, 1), body: l.Body, id: l.ID, label: l.Label, to: l.To,
			}
		})
		r := &b.slots[n]
		if r.holder.member != 0 {
			b.held[r.holder] = r.key
		}
		if r.counted {
			b.later(r)
		} else {
			b.fresh = append(b.fresh, r.key)
		}
	}
	return nil
}
