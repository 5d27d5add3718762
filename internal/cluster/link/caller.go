package link

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"
)

// What became of a call that has no answer. Never sent: not a byte of it left. Unknown: it may have been done.
var (
	ErrFull      = errors.New("refused: too many calls wait for this member")
	ErrNeverSent = errors.New("never sent")
	ErrUnknown   = errors.New("unknown: the link broke or was silent after it was sent")
	ErrRefused   = errors.New("refused by the member called, not begun")
	ErrFailed    = errors.New("failed at the member called")
)

// Bounds of one caller.
const (
	MostWaiting = 256     // calls not yet written
	MostOut     = 64      // calls written and not answered
	MostBytes   = 1 << 20 // of those written and not answered
	spare       = 2       // milliseconds kept for the way back
	firstPause  = int64(50 * time.Millisecond)
	mostPause   = int64(2 * time.Second)
	silence     = int64(5 * time.Second) // with calls out and nothing heard, until a connection counts as dead
)

// Caller is one member's calls to another, on a connection that comes and goes: a core without I/O and clock.
// Times are nanoseconds on the caller's own clock.
type Caller struct {
	chance *rand.Rand
	next   uint64

	open     bool
	dialling bool
	again    int64 // when to dial again
	pause    int64
	heard    int64 // last sign of life on this connection, or when it was opened

	waiting []*Out
	out     map[uint64]*Out
	bytes   int // of out
}

// Out is a call on its way.
type Out struct {
	ID       uint64
	Method   uint16
	Body     []byte
	Deadline int64
	Done     func(body []byte, err error) // called once; nil for what wants no answer
}

// NewCaller makes one whose chance comes from a seed.
func NewCaller(seed uint64) *Caller {
	return &Caller{chance: rand.New(rand.NewPCG(seed, 0x11)), out: map[uint64]*Out{}, pause: firstPause}
}

// Call takes a call, or refuses it at once.
func (c *Caller) Call(now int64, method uint16, body []byte, deadline int64, done func([]byte, error)) error {
	switch {
	case len(body) > MostFrame:
		return ErrLong
	case deadline <= now:
		return ErrNeverSent
	case len(c.waiting) >= MostWaiting:
		return ErrFull
	}
	c.next++
	c.waiting = append(c.waiting, &Out{ID: c.next, Method: method, Body: body, Deadline: deadline, Done: done})
	return nil
}

// Dial reports whether a connection is to be opened now; whoever asks then does so and says Opened or Broken.
func (c *Caller) Dial(now int64) bool {
	if c.open || c.dialling || len(c.waiting) == 0 || now < c.again {
		return false
	}
	c.dialling = true
	return true
}

// Opened says that a connection stands.
func (c *Caller) Opened(now int64) { c.open, c.dialling, c.heard = true, false, now }

// Broken says that it is gone, or could not be had. What was sent on it may have been done.
func (c *Caller) Broken(now int64) {
	if c.open {
		c.pause = firstPause
	}
	c.open, c.dialling = false, false
	c.again = now + c.pause/2 + c.chance.Int64N(c.pause)
	c.pause = min(2*c.pause, mostPause)
	for _, id := range sortedIDs(c.out) {
		c.end(c.out[id], nil, ErrUnknown)
	}
}

func sortedIDs(m map[uint64]*Out) (ids []uint64) {
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *Caller) end(o *Out, body []byte, err error) {
	if c.out[o.ID] == o {
		delete(c.out, o.ID)
		c.bytes -= len(o.Body)
	}
	o.finish(body, err)
}

func (o *Out) finish(body []byte, err error) {
	if o.Done != nil {
		o.Done(body, err)
	}
}

// Frames gives what is to be written now, within what the other has not yet answered.
func (c *Caller) Frames(now int64, write func(*Frame)) {
	if !c.open {
		return
	}
	for len(c.waiting) > 0 && len(c.out) < MostOut {
		o := c.waiting[0]
		if len(c.out) > 0 && c.bytes+len(o.Body) > MostBytes {
			return
		}
		c.waiting = c.waiting[1:]
		left := (o.Deadline-now)/int64(time.Millisecond) - spare
		if left <= 0 {
			o.finish(nil, ErrNeverSent)
			continue
		}
		if o.Done == nil {
			write(&Frame{Type: post, Method: o.Method, ID: o.ID, Left: uint32(min(left, 1<<31)), Body: o.Body})
			continue
		}
		if len(c.out) == 0 {
			c.heard = now // silence counts from when there is something to say
		}
		c.out[o.ID] = o
		c.bytes += len(o.Body)
		write(&Frame{Type: request, Method: o.Method, ID: o.ID, Left: uint32(min(left, 1<<31)), Body: o.Body})
	}
}

// Take takes an answer. One that nobody waits for any more is passed over.
func (c *Caller) Take(now int64, f *Frame) {
	c.heard = now
	o := c.out[f.ID]
	if o == nil {
		return
	}
	c.pause = firstPause
	switch f.Type {
	case answer:
		c.end(o, f.Body, nil)
	case refusal:
		c.end(o, nil, ErrRefused)
	default:
		c.end(o, nil, errors.Join(ErrFailed, errors.New(string(f.Body))))
	}
}

// Tick ends what is past its time. It reports whether the connection is to be given up: a peer that takes calls and
// says nothing must not hold them for good.
func (c *Caller) Tick(now int64) (giveUp bool) {
	kept := c.waiting[:0]
	var late []*Out
	for _, o := range c.waiting {
		if o.Deadline <= now {
			late = append(late, o)
		} else {
			kept = append(kept, o)
		}
	}
	clear(c.waiting[len(kept):])
	c.waiting = kept
	for _, o := range late {
		o.finish(nil, ErrNeverSent)
	}
	// Danger: forgetting a call whose time is over would free its place while a silent member still has it to do; the
	// connection goes with silence, and its places with it.
	giveUp = c.open && len(c.out) > 0 && now-c.heard > silence
	for _, id := range sortedIDs(c.out) {
		if o := c.out[id]; o.Deadline <= now {
			c.end(o, nil, ErrUnknown)
		}
	}
	return giveUp
}

// Next is when Tick or Dial has something to do, -1 for never.
func (c *Caller) Next() int64 {
	next := int64(-1)
	sooner := func(t int64) {
		if next < 0 || t < next {
			next = t
		}
	}
	for _, o := range c.waiting {
		sooner(o.Deadline)
	}
	for _, o := range c.out {
		sooner(o.Deadline)
	}
	if len(c.out) > 0 {
		sooner(c.heard + silence + 1)
	}
	if !c.open && !c.dialling && len(c.waiting) > 0 {
		sooner(c.again)
	}
	return next
}

// Waiting and Outstanding are figures.
func (c *Caller) Waiting() int     { return len(c.waiting) }
func (c *Caller) Outstanding() int { return len(c.out) }
