// Package work is the model of an upstream: cores that work on what was sent, a queue with a bound, a cold start, a jam
// when far too much waits. It has no I/O and no clock; who drives it tells the time, so that real sockets and a clock that
// jumps use the same model.
package work

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Terms is what one upstream can do. Times are nanoseconds.
type Terms struct {
	Cores     int
	Speed     float64 // 1: work takes as long as it says
	Queue     int     // waiting at most; what finds it full is turned away
	ColdShare float64 // of its speed right after a start
	Ramp      int64   // until it is warm
	JamAt     float64 // in hand for each core from which on it is slow; 0 for never
	JamSlow   float64 // so many times
	JamEnds   float64 // until so many are in hand for each core
	Multiple  float64 // cold, it falls over when sent this multiple of what it can do
	Span      int64   // for so long; 0 for never
}

// Job is a piece of work in the hands of a server.
type Job struct {
	Mark any // the caller's own
	Work float64
	left float64
	in   bool
}

const (
	steps    = 20 // of a cold ramp
	fewest   = 8  // jobs that can overfeed
	instants = 1  // nanoseconds that count as none
)

// Server is one upstream at work.
type Server struct {
	terms   Terms
	slow    float64 // a fault: so many times slower
	cores   int     // left by a fault
	born    int64   // of a cold start; 0 for long ago
	jammed  bool
	last    int64
	running []*Job
	queue   []*Job
	fed     []feed // within the last span, while cold
	Overfed float64
}

type feed struct {
	at   int64
	work float64
}

// New starts a server that is warm.
func New(t Terms, now int64) *Server {
	return &Server{terms: t, slow: 1, cores: t.Cores, last: now}
}

// Start starts it anew and cold; what it had is gone.
func (s *Server) Start(now int64) (lost []*Job) {
	lost = s.Stop(now)
	s.born, s.jammed, s.fed = max(now, 1), false, nil
	return lost
}

// Stop takes all that it has from it.
func (s *Server) Stop(now int64) (lost []*Job) {
	lost = slices.Concat(s.running, s.queue)
	for _, j := range lost {
		j.in = false
	}
	s.running, s.queue, s.last = nil, nil, now
	return lost
}

// Hamper sets what a fault does to it: so many times slower, so many cores left. What was done until now stays done.
func (s *Server) Hamper(slow float64, cores int) { s.slow, s.cores = max(slow, 1e-3), max(cores, 0) }

// Warmth is the part of its speed that it has by now.
func (s *Server) Warmth(now int64) float64 {
	age := now - s.born
	if s.born == 0 || s.terms.Ramp == 0 || age >= s.terms.Ramp {
		return 1
	}
	step := age * steps / s.terms.Ramp
	return s.terms.ColdShare + (1-s.terms.ColdShare)*float64(step)/steps
}

// Strength is the work that it can do in a nanosecond.
func (s *Server) Strength(now int64) float64 {
	return float64(s.terms.Cores) * s.terms.Speed * s.Warmth(now)
}

// InHand is what runs and what waits.
func (s *Server) InHand() int { return len(s.running) + len(s.queue) }

// Arrive takes a job, unless the queue is full. Advance comes before it.
func (s *Server) Arrive(j *Job, now int64) bool {
	if len(s.running) >= s.cores && len(s.queue) >= s.terms.Queue {
		return false
	}
	j.left, j.in = max(j.Work, instants), true
	s.queue = append(s.queue, j)
	s.feed(j.Work, now)
	s.fill()
	return true
}

// feed counts what is sent to it while it is cold.
func (s *Server) feed(work float64, now int64) {
	if s.terms.Span == 0 || s.Warmth(now) == 1 {
		s.fed = nil
		return
	}
	s.fed = append(s.fed, feed{now, work})
	first, total := 0, 0.0
	for i, f := range s.fed {
		if f.at <= now-s.terms.Span {
			first = i + 1
		} else {
			total += f.work
		}
	}
	s.fed = s.fed[first:]
	if of := total / (s.Strength(now) * float64(s.terms.Span)); len(s.fed) >= fewest && of > s.terms.Multiple {
		s.Overfed = max(s.Overfed, of)
	}
}

// Cancel takes a job from it, if it still has it.
func (s *Server) Cancel(j *Job) {
	if !j.in {
		return
	}
	j.in = false
	is := func(o *Job) bool { return o == j }
	s.running, s.queue = slices.DeleteFunc(s.running, is), slices.DeleteFunc(s.queue, is)
	s.fill()
}

func (s *Server) fill() {
	for len(s.running) < s.cores && len(s.queue) > 0 {
		s.running = append(s.running, s.queue[0])
		s.queue = s.queue[1:]
	}
	if s.terms.JamAt > 0 {
		load := float64(s.InHand()) / float64(max(s.terms.Cores, 1))
		if load >= s.terms.JamAt {
			s.jammed = true
		} else if load <= s.terms.JamEnds {
			s.jammed = false
		}
	}
}

// rate is what one core does in a nanosecond, as long as nothing changes.
func (s *Server) rate(now int64) float64 {
	r := s.terms.Speed * s.Warmth(now) / s.slow
	if s.jammed {
		r /= max(s.terms.JamSlow, 1)
	}
	return r
}

// change is when its warmth changes next.
func (s *Server) change(now int64) int64 {
	if s.Warmth(now) == 1 {
		return math.MaxInt64
	}
	step := (now-s.born)*steps/s.terms.Ramp + 1
	return s.born + (step*s.terms.Ramp+steps-1)/steps
}

// Advance lets time pass, and returns what was done by now, in order.
func (s *Server) Advance(now int64) (done []*Job) {
	for s.last < now {
		at := min(now, s.change(s.last))
		r := s.rate(s.last)
		for _, j := range s.running {
			at = min(at, s.last+int64(math.Ceil(j.left/r)))
		}
		at = max(at, s.last+1)
		for _, j := range s.running {
			j.left -= r * float64(at-s.last)
		}
		s.last = at
		for _, j := range s.running {
			if j.left < instants/2. {
				j.in = false
				done = append(done, j)
			}
		}
		s.running = slices.DeleteFunc(s.running, func(j *Job) bool { return !j.in })
		s.fill()
	}
	return done
}

// Next is when something is done next, if nothing comes in; MaxInt64 for never.
func (s *Server) Next() int64 {
	next := int64(math.MaxInt64)
	r := s.rate(s.last)
	for _, j := range s.running {
		next = min(next, s.last+max(1, int64(math.Ceil(j.left/r))))
	}
	if next != math.MaxInt64 {
		next = min(next, s.change(s.last))
	}
	return next
}

// Sizes is how much work transactions of one kind are.
type Sizes struct {
	Kind   string    // "fixed", "exponential", "lognormal", "pareto" or "values"
	Mean   float64   // nanoseconds
	Sigma  float64   // of a lognormal one
	Alpha  float64   // of a bounded Pareto
	Most   float64   // and its bound, as a multiple of the mean
	Values []float64 // drawn from evenly
}

// Draw draws one.
func (z *Sizes) Draw(chance *rand.Rand) float64 {
	switch z.Kind {
	case "exponential":
		return z.Mean * chance.ExpFloat64()
	case "lognormal":
		return z.Mean * math.Exp(z.Sigma*chance.NormFloat64()-z.Sigma*z.Sigma/2)
	case "pareto":
		// Between least and most, with the mean that is asked for.
		a, most := z.Alpha, z.Mean*z.Most
		least := z.least(a, most)
		u := chance.Float64()
		return least / math.Pow(1-u*(1-math.Pow(least/most, a)), 1/a)
	case "values":
		return z.Values[chance.IntN(len(z.Values))]
	}
	return z.Mean
}

// least is the lower bound of a Pareto of some mean and upper bound, found by halving.
func (z *Sizes) least(a, most float64) float64 {
	low, high := 0.0, z.Mean
	for range 60 {
		l := (low + high) / 2
		ratio := math.Pow(l/most, a)
		mean := math.Log(most/l) * l / (1 - ratio)
		if a != 1 {
			mean = a * l / (a - 1) * (1 - math.Pow(l/most, a-1)) / (1 - ratio)
		}
		if mean < z.Mean {
			low = l
		} else {
			high = l
		}
	}
	return max((low+high)/2, 1)
}
