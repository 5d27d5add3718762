// Package owner gives duties one owner at a time. Core decides without I/O and clock which to ask for, when to renew and
// when to stop acting; Fence is what is kept by whoever is acted on; Owners is the runner over the keepers.
package owner

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Tenure is one owner's time with a duty. Whoever acts shows its token; whoever is acted on refuses a lower one than it
// has seen.
type Tenure struct {
	Duty  string
	Token uint64
	Until int64 // on the owner's own clock; it acts no longer unless renewed
}

// Held is what the keepers last said of a duty.
type Held struct {
	Token uint64
	Owner string // "" for nobody
	Epoch uint64
}

// Member is another that may own duties.
type Member struct{ Name string }

// Does are what the core wants done.
type Does interface {
	Take(duty string)
	Renew(tokens map[string]uint64) // all that is owned, at once
	Give(duty string, token uint64, to string)
	Begin(t Tenure) // it may act from now on
	End(t Tenure)   // and no more
}

// Terms say how long things take.
type Terms struct {
	Lease   time.Duration // an owner's, from when it asked
	Renew   time.Duration // between two renewals
	Step    time.Duration // that a less preferred member waits longer before it takes a free duty
	Balance time.Duration // between two duties that are given away because others own fewer
}

// TermsOf are the usual ones for a lease.
func TermsOf(lease time.Duration) Terms {
	return Terms{Lease: lease, Renew: lease / 4, Step: lease / 10, Balance: 2 * lease}
}

type duty struct {
	name   string
	held   Held
	known  bool
	free   int64 // since when it has been seen without an owner, 0 while it has one
	asked  int64 // when it was last asked for
	own    bool
	token  uint64
	until  int64
	acting bool
}

// Core is one member's view of duties.
type Core struct {
	self    string
	epoch   uint64
	t       Terms
	d       Does
	chance  *rand.Rand
	duties  map[string]*duty
	names   []string
	members []Member
	willing bool
	renewed int64
	given   int64
	Fenced  bool // false only where a variant leaves the guard out
}

// NewCore makes one for a run of a member.
func NewCore(self string, t Terms, seed uint64, d Does) *Core {
	return &Core{self: self, t: t, d: d, chance: rand.New(rand.NewPCG(seed, 0x44)), duties: map[string]*duty{}, Fenced: true}
}

// Want adds a duty that this member would do.
func (c *Core) Want(name string) {
	if c.duties[name] == nil {
		c.duties[name] = &duty{name: name}
		c.names = append(c.names, name)
		slices.Sort(c.names)
	}
}

// Unwant takes one away; if it is owned it is let go.
func (c *Core) Unwant(name string) {
	x := c.duties[name]
	if x == nil {
		return
	}
	c.stop(x)
	if x.own {
		c.d.Give(name, x.token, "")
	}
	delete(c.duties, name)
	c.names = slices.DeleteFunc(c.names, func(n string) bool { return n == name })
}

// Session says under which epoch this run is known to the keepers; whatever was owned under another is over.
func (c *Core) Session(epoch uint64) {
	if epoch == c.epoch {
		return
	}
	c.epoch = epoch
	for _, name := range c.names {
		c.lose(c.duties[name])
	}
}

// Members says who else may own duties, and whether this one still wants to.
func (c *Core) Members(all []Member, willing bool) { c.members, c.willing = all, willing }

// Held takes what the keepers say of all duties, by a confirmed read that was asked for at some time.
func (c *Core) Held(now int64, all map[string]Held) {
	for _, name := range c.names {
		x := c.duties[name]
		h := all[name]
		if x.known && h.Token < x.held.Token {
			continue // an older answer
		}
		x.held, x.known = h, true
		if h.Owner != "" {
			x.free = 0
		} else if x.free == 0 {
			x.free = now
		}
		if x.own && (h.Owner != c.self || h.Epoch != c.epoch || h.Token != x.token) {
			c.lose(x)
		}
	}
}

// Taken takes the keepers' answer: the duty is this run's by a token, counted from when it was asked for.
func (c *Core) Taken(asked, now int64, name string, token uint64) {
	x := c.duties[name]
	if x == nil {
		c.d.Give(name, token, "")
		return
	}
	x.held, x.known, x.free = Held{token, c.self, c.epoch}, true, 0
	x.own, x.token, x.until = true, token, asked+int64(c.t.Lease)
	c.act(now, x)
}

// Renewed takes the keepers' answer to a renewal that was asked for at some time: tokens that stand.
func (c *Core) Renewed(asked, now int64, tokens map[string]uint64) {
	for _, name := range c.names {
		x := c.duties[name]
		if !x.own {
			continue
		}
		if tokens[name] == x.token {
			x.until = max(x.until, asked+int64(c.t.Lease))
			c.act(now, x)
		}
	}
}

func (c *Core) act(now int64, x *duty) {
	if !x.acting && now < x.until {
		x.acting = true
		c.d.Begin(Tenure{x.name, x.token, x.until})
	}
}

func (c *Core) stop(x *duty) {
	if x.acting {
		x.acting = false
		c.d.End(Tenure{x.name, x.token, x.until})
	}
}

func (c *Core) lose(x *duty) {
	c.stop(x)
	x.own = false
}

// May reports whether this run may act on a duty now, and by which token. Danger: between the answer and the act the
// process may be held up; the token is what makes that harmless.
func (c *Core) May(now int64, name string) (token uint64, yes bool) {
	x := c.duties[name]
	if x == nil || !x.own {
		return 0, false
	}
	return x.token, now < x.until || !c.Fenced
}

// Owned are the duties that this run owns, by name.
func (c *Core) Owned() (all []Tenure) {
	for _, name := range c.names {
		if x := c.duties[name]; x.own {
			all = append(all, Tenure{name, x.token, x.until})
		}
	}
	return all
}

// Tick does what is due.
func (c *Core) Tick(now int64) {
	tokens := map[string]uint64{}
	for _, name := range c.names {
		x := c.duties[name]
		if x.acting && now >= x.until && c.Fenced {
			c.stop(x) // not renewed in time: others may own it
		}
		if x.own {
			tokens[name] = x.token
		}
	}
	if len(tokens) > 0 && now-c.renewed >= int64(c.t.Renew) {
		c.renewed = now
		c.d.Renew(tokens)
	}
	if !c.willing {
		for _, name := range c.names { // by intent: handed over at once, nobody waits for a lease
			if x := c.duties[name]; x.own {
				token := x.token
				c.lose(x)
				c.d.Give(name, token, c.heir(name))
			}
		}
		return
	}
	for _, name := range c.names {
		x := c.duties[name]
		if !x.known || x.held.Owner != "" || x.own || x.free == 0 {
			continue
		}
		wait := int64(c.rank(name)) * int64(c.t.Step)
		if now-x.free >= wait && (x.asked == 0 || now-x.asked >= int64(c.t.Renew)) {
			x.asked = now
			c.d.Take(name)
		}
	}
	c.balance(now, len(tokens))
}

// rank is how many others should have a duty rather than this member: they own fewer, or stand first by chance that all
// draw alike.
func (c *Core) rank(name string) (n int) {
	own := c.counts()
	mine := c.place(name, c.self, own[c.self])
	for _, m := range c.members {
		if m.Name != c.self && less(c.place(name, m.Name, own[m.Name]), mine) {
			n++
		}
	}
	return n
}

// place orders members for a duty: who owns more than an even part comes last, then by chance that is the same at all of them.
// Danger: by counts alone whoever looks first would take all.
type place struct {
	over int
	draw uint64
}

func less(a, b place) bool {
	return cmp.Or(cmp.Compare(a.over, b.over), cmp.Compare(a.draw, b.draw)) < 0
}

func (c *Core) place(duty, name string, owned int) place {
	return place{draw: xxhash.Sum64String(duty + "\x00" + name), over: max(0, owned-c.even()*5/4-1)} // chance alone deals some more than others
}

// even is an even part of all duties.
func (c *Core) even() int {
	n := len(c.members)
	return (len(c.names) + max(n, 1) - 1) / max(n, 1)
}

// counts is how many duties each member owns.
func (c *Core) counts() map[string]int {
	n := map[string]int{}
	for _, name := range c.names {
		if h := c.duties[name].held; h.Owner != "" {
			n[h.Owner]++
		}
	}
	return n
}

// heir is who should have a duty if not this one, "" for nobody.
func (c *Core) heir(name string) string {
	own := c.counts()
	best, who := place{}, ""
	for _, m := range c.members {
		if m.Name == c.self {
			continue
		}
		if p := c.place(name, m.Name, own[m.Name]); who == "" || less(p, best) {
			best, who = p, m.Name
		}
	}
	return who
}

// balance gives one duty away where another owns two fewer or less, now and then: so they spread, and don't swing.
func (c *Core) balance(now int64, owned int) {
	if owned <= c.even() || now-c.given < int64(c.t.Balance) {
		return
	}
	own := c.counts()
	for _, name := range c.names {
		x := c.duties[name]
		if !x.own {
			continue
		}
		if to := c.heir(name); to != "" && own[to]+2 <= owned {
			c.given = now + c.chance.Int64N(int64(c.t.Balance))
			token := x.token
			c.lose(x)
			c.d.Give(name, token, to)
			return
		}
	}
}

// Fence is kept by whoever is acted on: the highest token seen of each duty.
type Fence struct {
	highest map[string]uint64
	Refused int64
	Open    bool // refuses nothing: a variant without the guard
}

// Pass reports whether an act under a token may be done.
func (f *Fence) Pass(duty string, token uint64) bool {
	if f.highest == nil {
		f.highest = map[string]uint64{}
	}
	if token < f.highest[duty] {
		f.Refused++
		return f.Open
	}
	f.highest[duty] = token
	return true
}

// Highest is the highest token seen of a duty.
func (f *Fence) Highest(duty string) uint64 { return f.highest[duty] }
