package logic

// Why says what a transaction that its caller could not have settled ended by.
type Why uint8

const (
	NoRoom     Why = iota // waited in line as long as it may
	LineFull              // the line was longer than the wait that it may have
	NoUpstream            // there was nobody to send it to
	GivenUp               // its contract time or its hard stop came with a push out, or with none possible
	Failed                // its last push failed, and no further one was allowed, paid for or had an upstream
	Whys       = iota
)

func (w Why) String() string {
	return [Whys]string{"no_room", "line_full", "no_upstream", "given_up", "failed"}[w]
}

// Held is what kept a copy or a retry back.
type Held uint8

const (
	CopyGated   Held = iota // outcomes are bad
	CopyUnpaid              // the bucket is empty
	CopyLoop                // copies seldom won
	RetryUnpaid             // the bucket is empty
	Helds       = iota
)

func (h Held) String() string {
	return [Helds]string{"copy_gated", "copy_unpaid", "copy_loop", "retry_unpaid"}[h]
}

// Turn is an upstream that was set aside or taken back. Nothing is decided by it.
type Turn struct {
	Upstream int
	Back     bool
	Why      Result // the last evidence, where it was set aside
	Cold     bool   // taken back as one that may have started anew
}

// Seen is what a balancer makes of things, for those who watch it. Nothing is decided by it.
type Seen struct {
	Held [Helds]int // since it was asked last

	Room, InHand, Mean float64 // transactions: the bound (0 before the first), counted now, and their mean
	Line               int     // transactions that wait
	Slow, Base         float64 // shares of contract time that a transaction takes now, and at best
	Strength, Best     float64 // weight in service, and the most ends a second for each unit of it
	Own, Aside, Cold   int     // upstreams of its part, and how many of them are set aside and cold
	Trigger            int64   // the live quantile, 0 for none
	Bucket             float64 // pushes
}

// Seen tells how things stand.
func (b *Balancer) Seen() Seen {
	v := Seen{Held: b.held}
	b.held = [Helds]int{}
	v.Room, v.InHand, v.Mean, v.Line, v.Base = b.room, b.counted(), b.mean, len(b.line), b.base
	if b.rate > 0 {
		v.Slow = b.load / b.rate
	}
	v.Strength, v.Best, v.Trigger, v.Bucket = b.strength, b.best*float64(s), b.trigger, b.bucket-float64(b.losers)
	v.Own = len(b.own)
	for _, i := range b.own {
		if b.aside[i] != 0 {
			v.Aside++
		}
		if b.warmth(i) < 1 {
			v.Cold++
		}
	}
	return v
}

// Add adds another's; of the shares and the quantile the larger stays.
func (v *Seen) Add(o Seen) {
	for h, n := range o.Held {
		v.Held[h] += n
	}
	v.Room, v.InHand, v.Mean, v.Line = v.Room+o.Room, v.InHand+o.InHand, v.Mean+o.Mean, v.Line+o.Line
	v.Slow, v.Base, v.Trigger = max(v.Slow, o.Slow), max(v.Base, o.Base), max(v.Trigger, o.Trigger)
	v.Strength, v.Best, v.Bucket = v.Strength+o.Strength, max(v.Best, o.Best), v.Bucket+o.Bucket
	v.Own, v.Aside, v.Cold = v.Own+o.Own, v.Aside+o.Aside, v.Cold+o.Cold
}

// Turns takes what was set aside and taken back since the last call.
func (b *Balancer) Turns(take func(Turn)) {
	for _, t := range b.turns {
		take(t)
	}
	b.turns = b.turns[:0]
}

// turned keeps a turn for who watches. Danger: nobody may, and memory would grow.
func (b *Balancer) turned(t Turn) {
	if len(b.turns) < 64 {
		b.turns = append(b.turns, t)
	}
}

// pass counts what keeps a copy or a retry back, and hands on whether nothing does.
func (b *Balancer) pass(by Held, free bool) bool {
	if !free {
		b.held[by]++
	}
	return free
}
