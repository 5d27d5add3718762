// Package keep is what the fleet has agreed on: kept by Raft among the voters, each entry on a majority's disks before it
// counts. State, Core and Former decide without I/O and clock; Keeper is the runner, Client every member's way to it.
package keep

import (
	"fmt"
	"maps"
	"slices"

	"ottershift/internal/cluster/pack"
)

// Kinds of command.
const (
	Open   byte = iota + 1 // a member's run begins
	End                    // the owner of Sessions ends a member's run
	Take                   // a duty that nobody owns
	Drop                   // its owner lets go
	Give                   // its owner hands it to another
	Expire                 // the leader ends a tenure that was not renewed
	Custom                 // of another part
	Close                  // the owner of Sessions ends a member's run in a group that holds no owners
)

// Sessions is the duty whose owner ends the runs of members that are gone.
const Sessions = "sessions"

// Command is one entry. A member's commands carry their sequence, so that one that is sent twice takes effect once.
type Command struct {
	Kind   byte   `codec:"k"`
	Member string `codec:"m,omitempty"`
	Epoch  uint64 `codec:"e,omitempty"`
	Seq    uint64 `codec:"s,omitempty"`
	Low    uint64 `codec:"l,omitempty"` // all below it have been answered
	Run    uint64 `codec:"r,omitempty"` // of Open: which run this is
	Duty   string `codec:"d,omitempty"`
	Token  uint64 `codec:"t,omitempty"` // that is shown
	Other  string `codec:"o,omitempty"` // member concerned
	Number uint64 `codec:"n,omitempty"` // its epoch, or a count
	Part   byte   `codec:"p,omitempty"`
	Body   []byte `codec:"b,omitempty"`
}

// Codes of answers.
const (
	OK       byte = iota + 1
	ErrOver       // this run is over: a newer one is open, or it was ended
	ErrFence      // the token that was shown is not the present one
	ErrOwned      // somebody owns it
	ErrNone       // there is none
	ErrOld        // a sequence that was answered long ago
)

// Answer is what became of a command.
type Answer struct {
	Code  byte   `codec:"c"`
	Index uint64 `codec:"i"` // of its entry
	Token uint64 `codec:"t,omitempty"`
	Owner string `codec:"o,omitempty"`
	Epoch uint64 `codec:"e,omitempty"`
	Body  []byte `codec:"b,omitempty"`
}

// Session is a member's newest run.
type Session struct {
	Member  string            `codec:"m"`
	Epoch   uint64            `codec:"e"`
	Run     uint64            `codec:"r"`
	Open    bool              `codec:"o"`
	Index   uint64            `codec:"i"` // of the entry that opened or ended it
	Low     uint64            `codec:"l"`
	Answers map[uint64][]byte `codec:"a,omitempty"` // by sequence, from Low on
}

// Duty is work that has one owner at a time.
type Duty struct {
	Name  string `codec:"n"`
	Token uint64 `codec:"t"` // of the last tenure; grows with each
	Owner string `codec:"o,omitempty"`
	Epoch uint64 `codec:"e,omitempty"`
	Index uint64 `codec:"i"` // since
}

// Seat is a keeper: a name with the disk that it votes by.
type Seat struct {
	ID      uint64 `codec:"i" json:"id"`
	Name    string `codec:"n" json:"name"`
	Disk    string `codec:"d" json:"disk"`
	Learner bool   `codec:"l,omitempty" json:"learner,omitempty"`
}

// Part is another piece's share of what is agreed. It must do the same at every keeper: no clock, no chance, no order of
// maps.
type Part interface {
	Apply(index uint64, c *Command) Answer
	Ended(index uint64, member string, epoch uint64) // a member's run is over
	Save() []byte
	Load(raw []byte) error
}

// Clocked is a part that is told how time passes: by its leader's monotonic clock, agreed on, and so never faster than time
// does. Due is what is to be agreed on once so many nanoseconds have passed that nobody told of; nil for nothing yet.
type Clocked interface {
	Due(passed int64) []byte
}

// State is what is agreed.
type State struct {
	Index     uint64              `codec:"i"`
	Cluster   string              `codec:"c"`
	Sessions  map[string]*Session `codec:"s"`
	Duties    map[string]*Duty    `codec:"d"`
	Seats     map[uint64]*Seat    `codec:"k"`
	NextSeat  uint64              `codec:"n"`
	Recovered []string            `codec:"r,omitempty"` // losses that were accepted, for good
	Saved     map[byte][]byte     `codec:"p,omitempty"` // parts, in a snapshot only

	parts  map[byte]Part
	guards Guards
}

// Guards are what variants leave out.
type Guards struct{ Fence, Once bool }

// NewState is what a group begins with.
func NewState(cluster string, seats []Seat, parts map[byte]Part, g Guards) *State {
	s := &State{
		Cluster: cluster, Sessions: map[string]*Session{}, Duties: map[string]*Duty{}, Seats: map[uint64]*Seat{}, parts: parts, guards: g,
	}
	for _, x := range seats {
		own := x
		s.Seats[x.ID] = &own
		s.NextSeat = max(s.NextSeat, x.ID+1)
	}
	return s
}

// Save is a snapshot; Load reads one.
func (s *State) Save() []byte {
	s.Saved = map[byte][]byte{}
	for n, p := range s.parts {
		s.Saved[n] = p.Save()
	}
	defer func() { s.Saved = nil }()
	return pack.Pack(s)
}

func (s *State) Load(raw []byte) error {
	fresh := NewState("", nil, s.parts, s.guards)
	if err := pack.Unpack(raw, fresh); err != nil {
		return fmt.Errorf("a snapshot: %w", err)
	}
	for n, p := range s.parts {
		if err := p.Load(fresh.Saved[n]); err != nil {
			return fmt.Errorf("a snapshot's part %d: %w", n, err)
		}
	}
	fresh.Saved = nil
	for _, m := range fresh.Sessions {
		if m.Answers == nil {
			m.Answers = map[uint64][]byte{}
		}
	}
	*s = *fresh
	return nil
}

const mostAnswers = 1024 // that are kept for one run; a client has no more commands out

// Apply does what an entry says. It is the same at every keeper.
func (s *State) Apply(index uint64, raw []byte) (c *Command, a Answer) {
	s.Index = index
	c = &Command{}
	if len(raw) == 0 || pack.Unpack(raw, c) != nil {
		return c, Answer{Code: ErrNone, Index: index}
	}
	if c.Seq == 0 { // of a keeper itself, or one that is harmless to repeat
		a = s.do(index, c)
		a.Index = index
		return c, a
	}
	m := s.Sessions[c.Member]
	if m == nil || m.Epoch != c.Epoch || !m.Open {
		if !s.guards.Fence && c.Kind == Custom { // danger: a run that was ended, and whose claims were given up, goes on
			a = s.do(index, c)
			a.Index = index
			return c, a
		}
		return c, Answer{Code: ErrOver, Index: index}
	}
	if before := m.Answers[c.Seq]; before != nil && s.guards.Once {
		pack.Unpack(before, &a)
		return c, a
	}
	if c.Seq < m.Low && s.guards.Once {
		return c, Answer{Code: ErrOld, Index: index}
	}
	a = s.do(index, c)
	a.Index = index
	for m.Low < c.Low && len(m.Answers) > 0 && m.Low < c.Seq {
		delete(m.Answers, m.Low)
		m.Low++
	}
	m.Low = max(m.Low, min(c.Low, c.Seq))
	if len(m.Answers) >= mostAnswers { // a client that says nothing of what it knows: the oldest goes
		least := slices.Min(slices.Collect(maps.Keys(m.Answers)))
		delete(m.Answers, least)
		m.Low = max(m.Low, least+1)
	}
	m.Answers[c.Seq] = pack.Pack(&a)
	return c, a
}

func (s *State) do(index uint64, c *Command) Answer {
	switch c.Kind {
	case Open:
		return s.open(index, c)
	case End:
		own := c.Other == c.Member && c.Number == c.Epoch // one's own end needs nobody's leave
		if d := s.Duties[Sessions]; s.guards.Fence && !own && (d == nil || d.Token != c.Token || d.Owner != c.Member) {
			return s.fenced(d)
		}
		return s.finish(index, c.Other, c.Number, own)
	case Close:
		d := s.Duties[Sessions]
		if d == nil {
			d = &Duty{Name: Sessions}
			s.Duties[Sessions] = d
		}
		if d.Owner != "" || s.guards.Fence && c.Token < d.Token {
			return s.fenced(d)
		}
		d.Token = max(d.Token, c.Token) // the highest that was seen
		return s.finish(index, c.Other, c.Number, false)
	case Take:
		d := s.Duties[c.Duty]
		if d == nil {
			d = &Duty{Name: c.Duty}
			s.Duties[c.Duty] = d
		}
		if d.Owner != "" {
			return Answer{Code: ErrOwned, Token: d.Token, Owner: d.Owner, Epoch: d.Epoch}
		}
		return s.own(index, d, c.Member, c.Epoch)
	case Drop, Give:
		d := s.Duties[c.Duty]
		if d == nil || d.Token != c.Token || d.Owner != c.Member {
			return s.fenced(d)
		}
		if to := s.Sessions[c.Other]; c.Kind == Give && to != nil && to.Open {
			return s.own(index, d, to.Member, to.Epoch)
		}
		d.Owner, d.Epoch, d.Index = "", 0, index
		return Answer{Code: OK, Token: d.Token}
	case Expire:
		d := s.Duties[c.Duty]
		if d == nil || d.Token != c.Token || d.Owner == "" {
			return s.fenced(d)
		}
		d.Owner, d.Epoch, d.Index = "", 0, index
		return Answer{Code: OK, Token: d.Token}
	case Custom:
		if p := s.parts[c.Part]; p != nil {
			return p.Apply(index, c)
		}
	}
	return Answer{Code: ErrNone}
}

// open begins a member's run. Whatever an older one of its name held is let go.
func (s *State) open(index uint64, c *Command) Answer {
	m := s.Sessions[c.Member]
	switch {
	case m != nil && m.Epoch == c.Epoch && m.Run == c.Run && m.Open:
		return Answer{Code: OK, Epoch: m.Epoch} // the same, sent twice
	case m != nil && m.Epoch >= c.Epoch:
		return Answer{Code: ErrOver, Epoch: m.Epoch}
	}
	if m != nil && m.Open {
		s.over(index, m.Member, m.Epoch, false)
	}
	s.Sessions[c.Member] = &Session{Member: c.Member, Epoch: c.Epoch, Run: c.Run, Open: true, Index: index, Low: 1, Answers: map[uint64][]byte{}}
	return Answer{Code: OK, Epoch: c.Epoch}
}

// finish ends a run that is open.
func (s *State) finish(index uint64, member string, epoch uint64, own bool) Answer {
	m := s.Sessions[member]
	if m == nil || m.Epoch != epoch || !m.Open {
		return Answer{Code: ErrNone}
	}
	m.Open, m.Index, m.Answers = false, index, map[uint64][]byte{}
	s.over(index, member, epoch, own)
	return Answer{Code: OK}
}

// over lets go of what a run held. Danger: one that was ended by others may act on a duty until its lease is over; nobody else
// has it before. It can't renew it any more.
func (s *State) over(index uint64, member string, epoch uint64, own bool) {
	for _, name := range slices.Sorted(maps.Keys(s.Duties)) {
		if d := s.Duties[name]; own && d.Owner == member && d.Epoch == epoch {
			d.Owner, d.Epoch, d.Index = "", 0, index
		}
	}
	for _, n := range slices.Sorted(maps.Keys(s.parts)) {
		s.parts[n].Ended(index, member, epoch)
	}
}

// own gives a duty to a member's run, under a token of its own. Danger: it must be above every one that there ever was.
func (s *State) own(index uint64, d *Duty, member string, epoch uint64) Answer {
	d.Token = max(d.Token+1, index)
	d.Owner, d.Epoch, d.Index = member, epoch, index
	return Answer{Code: OK, Token: d.Token, Owner: member, Epoch: epoch}
}

func (s *State) fenced(d *Duty) Answer {
	if d == nil {
		return Answer{Code: ErrNone}
	}
	return Answer{Code: ErrFence, Token: d.Token, Owner: d.Owner, Epoch: d.Epoch}
}

// Text names a code.
func (a *Answer) Text() string {
	switch a.Code {
	case OK:
		return "ok"
	case ErrOver:
		return fmt.Sprintf("this run is over (epoch %d is known)", a.Epoch)
	case ErrFence:
		return fmt.Sprintf("the present token is %d, of %q", a.Token, a.Owner)
	case ErrOwned:
		return fmt.Sprintf("%q owns it, by token %d", a.Owner, a.Token)
	case ErrOld:
		return "answered long ago"
	}
	return "there is none"
}
