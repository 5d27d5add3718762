// Package pressure decides what a balancer does while it is itself the slow part. It has no I/O and no clock.
package pressure

// halves is the time in which what is known of a delay counts half. Danger: after a stop of the process all that was out
// looks as old as the stop; answers that came meanwhile are read within some milliseconds, and until then nobody is late.
const halves = 50e6

// Gauge is how late the process is.
type Gauge struct {
	own, at int64
}

// Tell takes a measurement: how late something was heeded.
func (g *Gauge) Tell(lag, now int64) { g.own, g.at = max(lag, g.Own(now)), now }

// Own is how late it is at present, in nanoseconds: the latest delay, less with time.
func (g *Gauge) Own(now int64) int64 {
	since := max(0, now-g.at)
	own := g.own
	for ; since >= halves && own > 0; since -= halves {
		own /= 2
	}
	return own - int64(float64(own)/2*float64(since)/halves)
}

const (
	look   = int64(20e6) // between two looks of a valve
	steady = 5           // looks in a row, before it closes further
	more   = 0.05        // it closes by at a look
	less   = 0.01        // and opens by
	most   = 0.98        // of what comes is turned away
	forget = 0.9         // of what came before, at a look
)

// Valve turns new work away while the process is later than a bound, the cheapest first, so that what it takes is answered
// in time.
type Valve struct {
	bound  int64
	worth  []float64 // by kind
	came   []float64 // lately, by kind
	shut   float64   // part of what comes that is turned away
	late   int       // looks in a row
	next   int64
	Turned int64
}

// NewValve makes one for kinds of work of some worth.
func NewValve(bound int64, worth []float64) *Valve {
	return &Valve{bound: bound, worth: worth, came: make([]float64, len(worth))}
}

// Admit says whether a piece of work may be taken; chance is drawn evenly from [0, 1).
func (v *Valve) Admit(kind int, own, now int64, chance float64) bool {
	if now >= v.next {
		v.look(own, now)
	}
	v.came[kind]++
	if v.shut == 0 {
		return true
	}
	// What earns less goes first; only of the kind on the edge some go and some stay.
	all, cheaper := 0.0, 0.0
	for k, n := range v.came {
		all += n
		if v.worth[k] < v.worth[kind] {
			cheaper += n
		}
	}
	same := 0.0
	for k, n := range v.came {
		if v.worth[k] == v.worth[kind] {
			same += n
		}
	}
	if (v.shut*all-cheaper)/same > chance {
		v.Turned++
		return false
	}
	return true
}

func (v *Valve) look(own, now int64) {
	// Danger: one stop of the process is over when it is noticed; turning work away for it would help nobody.
	if own > v.bound {
		if v.late++; v.late >= steady {
			v.shut = min(most, v.shut+more)
		}
	} else {
		v.late = 0
		v.shut = max(0, v.shut-less)
	}
	for k := range v.came {
		v.came[k] *= forget
	}
	v.next = now + look
}
