// Package member says who is there. Core decides, without I/O and clock, what is held of each member from what was heard;
// Gossip is the runner, over a membership library. All of it is hearsay: nothing here may guard a rule alone.
package member

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"ottershift/internal/cluster/config"
)

// ID is one run of one member.
type ID struct {
	Name  string
	Epoch uint64 // grows with each run
	Run   uint64 // drawn by chance: tells two runs apart that took the same epoch
}

func (i ID) String() string { return fmt.Sprintf("%s/%d.%x", i.Name, i.Epoch, i.Run) }

// ParseID reads what String wrote.
func ParseID(text string) (i ID, ok bool) {
	name, rest, some := strings.Cut(text, "/")
	epoch, run, both := strings.Cut(rest, ".")
	if !some || !both || name == "" {
		return i, false
	}
	e, err1 := strconv.ParseUint(epoch, 10, 64)
	r, err2 := strconv.ParseUint(run, 16, 64)
	return ID{name, e, r}, err1 == nil && err2 == nil
}

// Newer reports whether a run of the same name came after another.
func (i ID) Newer(than ID) bool {
	if i.Epoch != than.Epoch {
		return i.Epoch > than.Epoch
	}
	return i.Run > than.Run
}

// Epoch is the one for a new run: beyond what its own disk and other members know of its name, and not under the wall
// clock, which helps where nobody remembers and is believed in nothing else.
func Epoch(disk uint64, wall int64, known []uint64) uint64 {
	next := max(disk+1, 1, uint64(max(wall, 0)))
	for _, k := range known {
		next = max(next, k+1)
	}
	return next
}

// Record is what a run tells of itself for good.
type Record struct {
	ID
	Zone      string
	Address   string // of the fleet's traffic
	Ops       string // second address, "" if it has none
	Build     string
	Low, High byte // versions of the frames
}

// Status is what it tells again and again; the highest count is the newest.
type Status struct {
	Count   uint64
	Leaving bool     // by intent: it takes no new clients
	Gone    bool     // by intent: its last word
	Open    int64    // transactions in hand
	Rate    float64  // transactions a second lately
	Offers  []string // pools
	Parts   int      // modules of each pool
}

// State is what is held of a run.
type State byte

const (
	Alive State = iota + 1
	Dead        // by suspicion: it may be back
	Left        // by intent, for good
	Over        // a newer run of its name is known
)

func (s State) String() string { return [...]string{"", "alive", "dead", "left", "over"}[s] }

// Mark is what is remembered of a name beyond its run: that no older one may come again.
type Mark struct {
	ID
	Ended bool
}

// Member is one run as it is held here.
type Member struct {
	Record
	Status
	State State
	Since int64 // of the state
	Heard int64 // last word from it or of it
}

// Change is told when what is held of a run changes.
type Change struct {
	Member
	Was State // 0 if it is new
}

// Guards are what variants of an experiment leave out.
type Guards struct{ Refutation, Epochs bool }

// Writer takes what the core decides.
type Writer interface {
	Changed(c Change)
	Try(name, address string)         // exchange states with who is there
	TellOver(old, newer ID, a string) // tell an old run that it is over
	OverNow(newer ID)                 // this run is over itself
	Renew(beyond uint64)              // this run took too low an epoch before it met anybody: it takes one beyond this
}

const (
	second     = int64(1e9)
	forgetDead = 3600 * second
	forgetLeft = 60 * second
	mostMarks  = 4096
	settles    = 2 * second  // among others, until what is known of its own name has come to it
	fresh      = 10 * second // after a start, in which a run of too low an epoch takes another
	tellsOver  = second      // between two words to the same old run
	stoppedFor = 4           // probes without a tick that count as having been held up
	seldom     = 8           // tries of rejoin between two looks at an address that is answered
)

// Core holds what is known.
type Core struct {
	self   Record
	over   bool
	met    int64 // when anybody was first met, -1 for not yet
	second bool  // it has taken another epoch once
	spent  bool  // it is to take another epoch
	begun  int64
	guards Guards
	s      *config.Settings
	chance *rand.Rand
	w      Writer

	runs  map[ID]*Member
	marks map[string]Mark
	told  map[ID]int64 // old runs, when they were last told
	again int64        // next round of tries
	last  int64        // time of the last Tick
	turn  int
	round int
}

// NewCore makes one for a run of this process, which began at some time; again says that the run took another epoch before.
func NewCore(self Record, s *config.Settings, g Guards, seed uint64, begun int64, again bool, w Writer) *Core {
	c := &Core{
		self: self, s: s, guards: g, w: w, begun: begun, met: -1, second: again, chance: rand.New(rand.NewPCG(seed, 0x22)),
		runs: map[ID]*Member{}, marks: map[string]Mark{}, told: map[ID]int64{},
	}
	c.marks[self.Name] = Mark{ID: self.ID}
	return c
}

// Over reports whether a newer run of this name is known.
func (c *Core) Over() bool { return c.over }

// Admit says whether a run may count as there. What is refused here never comes into the view.
func (c *Core) Admit(now int64, r Record) error {
	if r.Name == "" || len(r.Name) > 64 {
		return fmt.Errorf("a name of %d bytes", len(r.Name))
	}
	if r.High < c.self.Low || r.Low > c.self.High {
		return fmt.Errorf("%s speaks frames %d to %d, this one %d to %d", r.ID, r.Low, r.High, c.self.Low, c.self.High)
	}
	if !c.guards.Epochs {
		return nil
	}
	if m, known := c.marks[r.Name]; known && m.Newer(r.ID) {
		c.tellOver(now, r.ID, m.ID, r.Address)
		return fmt.Errorf("%s is over: %s came after it", r.ID, m.ID)
	}
	return nil
}

// tellOver has an old run told, not too often.
func (c *Core) tellOver(now int64, old, newer ID, address string) {
	if last, told := c.told[old]; told && now-last < tellsOver {
		return
	}
	if len(c.told) > mostMarks {
		clear(c.told)
	}
	c.told[old] = now
	c.w.TellOver(old, newer, address)
}

// mark remembers the newest run of a name; it reports whether this one isn't older.
func (c *Core) mark(id ID, ended bool) bool {
	m, known := c.marks[id.Name]
	switch {
	case !known && len(c.marks) >= mostMarks:
		return true // told by nobody's hearsay alone: memory is bounded
	case !known || id.Newer(m.ID):
		c.marks[id.Name] = Mark{id, ended}
	case id == m.ID:
		c.marks[id.Name] = Mark{id, ended}
	default:
		return false
	}
	return true
}

// set puts a run into a state and tells the change.
func (c *Core) set(now int64, m *Member, s State) {
	was := m.State
	if was == s {
		return
	}
	m.State, m.Since = s, now
	c.w.Changed(Change{*m, was})
}

// Heard takes word that a run is there, its own or another's.
func (c *Core) Heard(now int64, r Record) {
	if r.ID == c.self.ID || c.Admit(now, r) != nil {
		return
	}
	if r.Name == c.self.Name && c.guards.Epochs {
		c.selfOver(now, r.ID, false)
		if c.over {
			c.hold(now, r)
		}
		return
	}
	if c.met < 0 {
		c.met = now
	}
	c.hold(now, r)
}

// hold keeps a run as alive, and any older one of its name as over.
func (c *Core) hold(now int64, r Record) {
	if c.guards.Epochs {
		if !c.mark(r.ID, false) {
			return
		}
		for _, old := range c.named(r.Name) {
			if old.ID != r.ID && old.State != Over {
				if old.State == Alive {
					c.tellOver(now, old.ID, r.ID, old.Address)
				}
				c.set(now, old, Over)
			}
		}
	}
	m := c.runs[r.ID]
	if m == nil {
		m = &Member{Record: r}
		c.runs[r.ID] = m
	}
	if m.State == Left || m.State == Over || m.State == Dead && !c.guards.Refutation {
		return // an end by intent is for good: late word of before it changes nothing
	}
	m.Record, m.Heard = r, now
	c.set(now, m, Alive)
}

func (c *Core) named(name string) (all []*Member) {
	for _, m := range c.runs {
		if m.Name == name {
			all = append(all, m)
		}
	}
	slices.SortFunc(all, func(a, b *Member) int { return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Run, b.Run)) })
	return all
}

// selfOver takes word of a newer run of this very name.
func (c *Core) selfOver(now int64, newer ID, ended bool) {
	if c.over || c.spent || !newer.Newer(c.self.ID) {
		return
	}
	// Danger: a run that could ask nobody at its start may have taken too low an epoch. Once it has been among others, a
	// newer one is truly newer; before that, one that has ended, or is met right after the start, only tells how low its own is.
	settled := c.second || c.met >= 0 && now-c.met > settles
	if !settled && (ended || now-c.begun < fresh) {
		c.spent = true // danger: what comes until it has taken the other epoch would call it over
		c.w.Renew(newer.Epoch)
		return
	}
	c.over = true
	c.marks[newer.Name] = Mark{newer, ended}
	c.w.OverNow(newer)
}

// Told takes a notice that this run is over.
func (c *Core) Told(now int64, old, newer ID, ended bool) {
	if old == c.self.ID && c.guards.Epochs {
		c.selfOver(now, newer, ended)
	}
}

// Ended takes word that a run is gone. It has left by intent if that was its last word; else it is held dead.
func (c *Core) Ended(now int64, id ID) {
	if id == c.self.ID {
		return
	}
	m := c.runs[id]
	if m == nil || m.State == Left || m.State == Over {
		return
	}
	if c.guards.Epochs {
		c.mark(id, true)
	}
	if m.Heard = now; m.Gone {
		c.set(now, m, Left)
	} else {
		c.set(now, m, Dead)
	}
}

// Says takes a run's status; an older one than is known is passed over, as is one of a run that isn't known.
func (c *Core) Says(now int64, id ID, s Status) bool {
	m := c.runs[id]
	if m == nil || s.Count <= m.Count || len(s.Offers) > MostOffers {
		return false
	}
	m.Status, m.Heard = s, now
	if s.Gone && m.State == Dead { // its last word came behind the word that it is gone
		c.set(now, m, Left)
	}
	return true
}

// MostOffers bounds what a status may name.
const MostOffers = 64

// Seen notes a direct sign of life.
func (c *Core) Seen(now int64, id ID) {
	if m := c.runs[id]; m != nil && m.State == Alive {
		m.Heard = now
	}
}

// Marks are given to others in an exchange.
func (c *Core) Marks() (all []Mark) {
	for _, m := range c.marks {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b Mark) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Marked takes another's marks.
func (c *Core) Marked(now int64, all []Mark) {
	if !c.guards.Epochs {
		return
	}
	for _, m := range all[:min(len(all), mostMarks)] {
		if m.Name == c.self.Name {
			c.selfOver(now, m.ID, m.Ended)
			continue
		}
		if had, known := c.marks[m.Name]; known && !m.Newer(had.ID) {
			continue
		}
		c.mark(m.ID, m.Ended)
		for _, old := range c.named(m.Name) {
			if m.ID.Newer(old.ID) && old.State != Over {
				c.set(now, old, Over)
			}
		}
	}
}

// Tick has who is held dead tried again, and the addresses that were given at the start, some at a time; and forgets.
func (c *Core) Tick(now int64) {
	for _, m := range c.sorted() {
		if m.State == Dead && now-m.Since > forgetDead || (m.State == Left || m.State == Over) && now-m.Since > forgetLeft {
			delete(c.runs, m.ID)
		}
	}
	gap := now - c.last
	stopped := c.last != 0 && gap > stoppedFor*int64(c.s.Probe)
	c.last = now
	if c.over {
		return
	}
	if stopped { // Danger: a run that was held up may have been replaced meanwhile; it asks before it is asked
		all := c.sorted()
		c.chance.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		n := 0
		for _, m := range all {
			if m.State == Alive && n < config.AtOnce {
				c.w.Try(m.Name, m.Address)
				n++
			}
		}
	}
	if now < c.again {
		return
	}
	every := int64(c.s.Rejoin)
	c.again = now + every*3/4 + c.chance.Int64N(max(1, every/2))
	type target struct{ name, address string }
	var all []target
	alive := map[string]bool{c.s.Address: true, c.self.Address: true}
	for _, m := range c.sorted() {
		if m.State == Alive {
			alive[m.Address] = true
			alive[c.s.Through[m.Name]] = true
		}
	}
	for _, m := range c.sorted() {
		if m.State == Dead && !alive[m.Address] {
			all = append(all, target{m.Name, m.Address})
		}
	}
	c.round++
	for _, a := range c.s.Join {
		// An address that a living member has is looked at now and then: half of a fleet that was cut in two may be
		// known to nobody here.
		if !alive[a] || c.round%seldom == 0 && a != c.s.Address && a != c.self.Address {
			all = append(all, target{"", a})
		}
	}
	for n := range min(config.AtOnce, len(all)) {
		t := all[(c.turn+n)%len(all)]
		c.w.Try(t.name, t.address)
	}
	if c.turn += config.AtOnce; len(all) > 0 {
		c.turn %= len(all)
	}
}

func (c *Core) sorted() []*Member {
	all := make([]*Member, 0, len(c.runs))
	for _, m := range c.runs {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *Member) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Run, b.Run))
	})
	return all
}

// View is all that is held, by name and epoch, without this run itself.
func (c *Core) View() (all []Member) {
	for _, m := range c.sorted() {
		all = append(all, *m)
	}
	return all
}

// Now is the run of a name that counts at present: the newest that is known.
func (c *Core) Now(name string) (m Member, known bool) {
	all := c.named(name)
	if len(all) == 0 {
		return m, false
	}
	return *all[len(all)-1], true
}

// Alive counts who lives, this run included.
func (c *Core) Alive() (n int) {
	n = 1
	for _, m := range c.runs {
		if m.State == Alive {
			n++
		}
	}
	return n
}
