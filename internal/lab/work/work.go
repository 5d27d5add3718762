// Package work models an upstream server: cores that process jobs, a bounded queue, a warm-up after a cold start, and a
// slowdown under overload. The model has no I/O and no clock. The caller passes the time, so real sockets and a
// simulated clock use the same model.
package work

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Terms describes the capacity of one upstream. Times are in nanoseconds.
type Terms struct {
	Cores     int
	Speed     float64 // 1 means that a core does one nanosecond of work per nanosecond
	Queue     int     // maximum queue length; jobs that arrive at a full queue are rejected
	ColdShare float64 // fraction of Speed right after a cold start
	Ramp      int64   // duration of the warm-up
	JamAt     float64 // jobs per core at which the overload slowdown begins; 0 disables it
	JamSlow   float64 // slowdown factor under overload
	JamEnds   float64 // jobs per core at which the slowdown ends
	Multiple  float64 // a cold server is overloaded by more than this multiple of its capacity
	Span      int64   // window over which that multiple is measured; 0 disables the check
}

// Job is a unit of work for a server.
type Job struct {
	Tag       any // opaque to the server
	Work      float64
	remaining float64
	active    bool
}

const (
	warmupSteps     = 20 // of the warm-up ramp
	minOverloadJobs = 8  // jobs in the window below which overload is not reported
	minWork         = 1  // smallest amount of work, in nanoseconds; less than half of it counts as done
)

// Server is the state of one upstream.
type Server struct {
	terms           Terms
	slowdown        float64 // slowdown factor of a fault
	cores           int     // cores available under a fault
	startedAt       int64   // time of the cold start; 0 if the server started warm
	overloaded      bool
	last            int64
	running         []*Job
	queue           []*Job
	coldArrivals    []coldArrival // arrivals within the last Span while cold
	MaxColdOverload float64       // largest multiple of its capacity that it was sent while cold, if above Multiple
}

type coldArrival struct {
	at   int64
	work float64
}

// New returns a warm server.
func New(t Terms, now int64) *Server {
	return &Server{terms: t, slowdown: 1, cores: t.Cores, last: now}
}

// Start restarts the server cold and returns the jobs that were lost.
func (s *Server) Start(now int64) (lost []*Job) {
	lost = s.Stop(now)
	s.startedAt, s.overloaded, s.coldArrivals = max(now, 1), false, nil
	return lost
}

// Stop removes all jobs from the server and returns them.
func (s *Server) Stop(now int64) (lost []*Job) {
	lost = slices.Concat(s.running, s.queue)
	for _, j := range lost {
		j.active = false
	}
	s.running, s.queue, s.last = nil, nil, now
	return lost
}

// ApplyFault applies a fault: a slowdown factor and the number of cores left. Work done so far is kept.
func (s *Server) ApplyFault(slow float64, cores int) {
	s.slowdown, s.cores = max(slow, 1e-3), max(cores, 0)
}

// WarmupFactor returns the fraction of Speed that the server has reached.
func (s *Server) WarmupFactor(now int64) float64 {
	age := now - s.startedAt
	if s.startedAt == 0 || s.terms.Ramp == 0 || age >= s.terms.Ramp {
		return 1
	}
	step := age * warmupSteps / s.terms.Ramp
	return s.terms.ColdShare + (1-s.terms.ColdShare)*float64(step)/warmupSteps
}

// Capacity returns the work that the server can do per nanosecond without faults or overload.
func (s *Server) Capacity(now int64) float64 {
	return float64(s.terms.Cores) * s.terms.Speed * s.WarmupFactor(now)
}

// InFlight returns the number of running and queued jobs.
func (s *Server) InFlight() int { return len(s.running) + len(s.queue) }

// Arrive accepts a job and returns true, or returns false if the queue is full. The caller first calls Advance with the
// same time.
func (s *Server) Arrive(j *Job, now int64) bool {
	if len(s.running) >= s.cores && len(s.queue) >= s.terms.Queue {
		return false
	}
	j.remaining, j.active = max(j.Work, minWork), true
	s.queue = append(s.queue, j)
	s.recordColdArrival(j.Work, now)
	s.startQueued()
	return true
}

// recordColdArrival records an arrival while the server is cold, and updates MaxColdOverload.
func (s *Server) recordColdArrival(work float64, now int64) {
	if s.terms.Span == 0 || s.WarmupFactor(now) == 1 {
		s.coldArrivals = nil
		return
	}
	s.coldArrivals = append(s.coldArrivals, coldArrival{now, work})
	first, total := 0, 0.0
	for i, f := range s.coldArrivals {
		if f.at <= now-s.terms.Span {
			first = i + 1
		} else {
			total += f.work
		}
	}
	s.coldArrivals = s.coldArrivals[first:]
	if of := total / (s.Capacity(now) * float64(s.terms.Span)); len(s.coldArrivals) >= minOverloadJobs && of > s.terms.Multiple {
		s.MaxColdOverload = max(s.MaxColdOverload, of)
	}
}

// Cancel removes a job that is running or queued; otherwise it does nothing.
func (s *Server) Cancel(j *Job) {
	if !j.active {
		return
	}
	j.active = false
	is := func(o *Job) bool { return o == j }
	s.running, s.queue = slices.DeleteFunc(s.running, is), slices.DeleteFunc(s.queue, is)
	s.startQueued()
}

func (s *Server) startQueued() {
	for len(s.running) < s.cores && len(s.queue) > 0 {
		s.running = append(s.running, s.queue[0])
		s.queue = s.queue[1:]
	}
	if s.terms.JamAt > 0 {
		load := float64(s.InFlight()) / float64(max(s.terms.Cores, 1))
		if load >= s.terms.JamAt {
			s.overloaded = true
		} else if load <= s.terms.JamEnds {
			s.overloaded = false
		}
	}
}

// rate returns the current work per nanosecond of one core.
func (s *Server) rate(now int64) float64 {
	r := s.terms.Speed * s.WarmupFactor(now) / s.slowdown
	if s.overloaded {
		r /= max(s.terms.JamSlow, 1)
	}
	return r
}

// nextWarmupStep returns the time of the next warm-up step; MaxInt64 if the server is warm.
func (s *Server) nextWarmupStep(now int64) int64 {
	if s.WarmupFactor(now) == 1 {
		return math.MaxInt64
	}
	step := (now-s.startedAt)*warmupSteps/s.terms.Ramp + 1
	return s.startedAt + (step*s.terms.Ramp+warmupSteps-1)/warmupSteps
}

// Advance moves the model to now and returns the completed jobs in order of completion.
func (s *Server) Advance(now int64) (done []*Job) {
	for s.last < now {
		at := min(now, s.nextWarmupStep(s.last))
		r := s.rate(s.last)
		for _, j := range s.running {
			at = min(at, s.last+int64(math.Ceil(j.remaining/r)))
		}
		at = max(at, s.last+1)
		for _, j := range s.running {
			j.remaining -= r * float64(at-s.last)
		}
		s.last = at
		for _, j := range s.running {
			if j.remaining < minWork/2. {
				j.active = false
				done = append(done, j)
			}
		}
		s.running = slices.DeleteFunc(s.running, func(j *Job) bool { return !j.active })
		s.startQueued()
	}
	return done
}

// Next returns the time of the next completion or warm-up step, if no job arrives before; MaxInt64 if no job runs.
func (s *Server) Next() int64 {
	next := int64(math.MaxInt64)
	r := s.rate(s.last)
	for _, j := range s.running {
		next = min(next, s.last+max(1, int64(math.Ceil(j.remaining/r))))
	}
	if next != math.MaxInt64 {
		next = min(next, s.nextWarmupStep(s.last))
	}
	return next
}

// Sizes is the distribution of the work per transaction.
type Sizes struct {
	Kind   string    // "fixed", "exponential", "lognormal", "pareto" or "values"
	Mean   float64   // in nanoseconds
	Sigma  float64   // of the logarithm, for a lognormal distribution
	Alpha  float64   // shape of a bounded Pareto distribution
	Most   float64   // its upper bound, as a multiple of the mean
	Values []float64 // drawn from uniformly
}

// Draw returns a random amount of work.
func (sizes *Sizes) Draw(rng *rand.Rand) float64 {
	switch sizes.Kind {
	case "exponential":
		return sizes.Mean * rng.ExpFloat64()
	case "lognormal":
		return sizes.Mean * math.Exp(sizes.Sigma*rng.NormFloat64()-sizes.Sigma*sizes.Sigma/2)
	case "pareto":
		// Inverse transform sampling between the bounds; the lower bound is chosen so that the mean is sizes.Mean.
		a, most := sizes.Alpha, sizes.Mean*sizes.Most
		least := sizes.paretoLowerBound(a, most)
		u := rng.Float64()
		return least / math.Pow(1-u*(1-math.Pow(least/most, a)), 1/a)
	case "values":
		return sizes.Values[rng.IntN(len(sizes.Values))]
	}
	return sizes.Mean
}

// paretoLowerBound returns the lower bound of a bounded Pareto distribution with shape a, upper bound most
// and the configured mean, found by bisection.
func (sizes *Sizes) paretoLowerBound(a, most float64) float64 {
	low, high := 0.0, sizes.Mean
	for range 60 {
		l := (low + high) / 2
		ratio := math.Pow(l/most, a)
		mean := math.Log(most/l) * l / (1 - ratio)
		if a != 1 {
			mean = a * l / (a - 1) * (1 - math.Pow(l/most, a-1)) / (1 - ratio)
		}
		if mean < sizes.Mean {
			low = l
		} else {
			high = l
		}
	}
	return max((low+high)/2, 1)
}
