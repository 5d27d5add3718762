// Package work models an upstream server: cores that process jobs, a bounded queue, a warm-up after a cold start, and a
// slowdown under overload. The model has no I/O and no clock. The caller passes the time, so real sockets and a
// simulated clock use the same model.
package work

import (
	"math"
	"math/rand/v2"
	"slices"
)

// ServerConfig describes the capacity of one upstream. Times are in nanoseconds.
type ServerConfig struct {
	Cores              int
	Speed              float64 // 1 means that a core does one nanosecond of work per nanosecond
	Queue              int     // maximum queue length; jobs that arrive at a full queue are rejected
	ColdShare          float64 // fraction of Speed right after a cold start
	WarmUp             int64   // duration of the warm-up
	OverloadAt         float64 // jobs per core at which the overload slowdown begins; 0 disables it
	OverloadSlowdown   float64 // slowdown factor under overload
	OverloadEnds       float64 // jobs per core at which the slowdown ends
	ColdOverloadFactor float64 // a cold server is overloaded by more than this multiple of its capacity
	ColdOverloadSpan   int64   // window over which that multiple is measured; 0 disables the check
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
	config          ServerConfig
	slowdown        float64 // slowdown factor of a fault
	cores           int     // cores available under a fault
	startedAt       int64   // time of the cold start; 0 if the server started warm
	overloaded      bool
	last            int64
	running         []*Job
	queue           []*Job
	coldArrivals    []coldArrival // arrivals within the last ColdOverloadSpan while cold
	MaxColdOverload float64       // largest multiple of its capacity sent while cold; 0 if never above ColdOverloadFactor
}

type coldArrival struct {
	at   int64
	work float64
}

// New returns a warm server.
func New(config ServerConfig, now int64) *Server {
	return &Server{config: config, slowdown: 1, cores: config.Cores, last: now}
}

// Start restarts the server cold and returns the jobs that were lost.
func (srv *Server) Start(now int64) (lost []*Job) {
	lost = srv.Stop(now)
	srv.startedAt, srv.overloaded, srv.coldArrivals = max(now, 1), false, nil
	return lost
}

// Stop removes all jobs from the server and returns them.
func (srv *Server) Stop(now int64) (lost []*Job) {
	lost = slices.Concat(srv.running, srv.queue)
	for _, j := range lost {
		j.active = false
	}
	srv.running, srv.queue, srv.last = nil, nil, now
	return lost
}

// ApplyFault applies a fault: a slowdown factor and the number of cores left. Work done so far is kept.
func (srv *Server) ApplyFault(slow float64, cores int) {
	srv.slowdown, srv.cores = max(slow, 1e-3), max(cores, 0)
}

// WarmupFactor returns the fraction of Speed that the server has reached.
func (srv *Server) WarmupFactor(now int64) float64 {
	age := now - srv.startedAt
	if srv.startedAt == 0 || srv.config.WarmUp == 0 || age >= srv.config.WarmUp {
		return 1
	}
	step := age * warmupSteps / srv.config.WarmUp
	return srv.config.ColdShare + (1-srv.config.ColdShare)*float64(step)/warmupSteps
}

// Capacity returns the work that the server can do per nanosecond without faults or overload.
func (srv *Server) Capacity(now int64) float64 {
	return float64(srv.config.Cores) * srv.config.Speed * srv.WarmupFactor(now)
}

// InFlight returns the number of running and queued jobs.
func (srv *Server) InFlight() int { return len(srv.running) + len(srv.queue) }

// Arrive accepts a job and returns true, or returns false if the queue is full. The caller first calls Advance with the
// same time.
func (srv *Server) Arrive(job *Job, now int64) bool {
	if len(srv.running) >= srv.cores && len(srv.queue) >= srv.config.Queue {
		return false
	}
	job.remaining, job.active = max(job.Work, minWork), true
	srv.queue = append(srv.queue, job)
	srv.recordColdArrival(job.Work, now)
	srv.startQueued()
	return true
}

// recordColdArrival records an arrival while the server is cold, and updates MaxColdOverload.
func (srv *Server) recordColdArrival(work float64, now int64) {
	if srv.config.ColdOverloadSpan == 0 || srv.WarmupFactor(now) == 1 {
		srv.coldArrivals = nil
		return
	}
	srv.coldArrivals = append(srv.coldArrivals, coldArrival{now, work})
	first, total := 0, 0.0
	for i, f := range srv.coldArrivals {
		if f.at <= now-srv.config.ColdOverloadSpan {
			first = i + 1
		} else {
			total += f.work
		}
	}
	srv.coldArrivals = srv.coldArrivals[first:]
	if multiple := total / (srv.Capacity(now) * float64(srv.config.ColdOverloadSpan)); len(srv.coldArrivals) >= minOverloadJobs &&
		multiple > srv.config.ColdOverloadFactor {
		srv.MaxColdOverload = max(srv.MaxColdOverload, multiple)
	}
}

// Cancel removes a job that is running or queued; otherwise it does nothing.
func (srv *Server) Cancel(job *Job) {
	if !job.active {
		return
	}
	job.active = false
	is := func(o *Job) bool { return o == job }
	srv.running, srv.queue = slices.DeleteFunc(srv.running, is), slices.DeleteFunc(srv.queue, is)
	srv.startQueued()
}

func (srv *Server) startQueued() {
	for len(srv.running) < srv.cores && len(srv.queue) > 0 {
		srv.running = append(srv.running, srv.queue[0])
		srv.queue = srv.queue[1:]
	}
	if srv.config.OverloadAt > 0 {
		load := float64(srv.InFlight()) / float64(max(srv.config.Cores, 1))
		if load >= srv.config.OverloadAt {
			srv.overloaded = true
		} else if load <= srv.config.OverloadEnds {
			srv.overloaded = false
		}
	}
}

// rate returns the current work per nanosecond of one core.
func (srv *Server) rate(now int64) float64 {
	r := srv.config.Speed * srv.WarmupFactor(now) / srv.slowdown
	if srv.overloaded {
		r /= max(srv.config.OverloadSlowdown, 1)
	}
	return r
}

// nextWarmupStep returns the time of the next warm-up step; MaxInt64 if the server is warm.
func (srv *Server) nextWarmupStep(now int64) int64 {
	if srv.WarmupFactor(now) == 1 {
		return math.MaxInt64
	}
	step := (now-srv.startedAt)*warmupSteps/srv.config.WarmUp + 1
	return srv.startedAt + (step*srv.config.WarmUp+warmupSteps-1)/warmupSteps
}

// Advance moves the model to now and returns the completed jobs in order of completion.
func (srv *Server) Advance(now int64) (done []*Job) {
	for srv.last < now {
		at := min(now, srv.nextWarmupStep(srv.last))
		rate := srv.rate(srv.last)
		for _, job := range srv.running {
			at = min(at, srv.last+int64(math.Ceil(job.remaining/rate)))
		}
		at = max(at, srv.last+1)
		for _, job := range srv.running {
			job.remaining -= rate * float64(at-srv.last)
		}
		srv.last = at
		for _, job := range srv.running {
			if job.remaining < minWork/2. {
				job.active = false
				done = append(done, job)
			}
		}
		srv.running = slices.DeleteFunc(srv.running, func(job *Job) bool { return !job.active })
		srv.startQueued()
	}
	return done
}

// Next returns the time of the next completion or warm-up step, if no job arrives before; MaxInt64 if no job runs.
func (srv *Server) Next() int64 {
	next := int64(math.MaxInt64)
	rate := srv.rate(srv.last)
	for _, j := range srv.running {
		next = min(next, srv.last+max(1, int64(math.Ceil(j.remaining/rate))))
	}
	if next != math.MaxInt64 {
		next = min(next, srv.nextWarmupStep(srv.last))
	}
	return next
}

// Distribution is the distribution of the work per transaction.
type Distribution struct {
	Kind        string    // "fixed", "exponential", "lognormal", "pareto" or "values"
	Mean        float64   // in nanoseconds
	Sigma       float64   // of the logarithm, for a lognormal distribution
	Alpha       float64   // shape of a bounded Pareto distribution
	MaxMultiple float64   // its upper bound, as a multiple of the mean
	Values      []float64 // drawn from uniformly
}

// Draw returns a random amount of work.
func (dist *Distribution) Draw(rng *rand.Rand) float64 {
	switch dist.Kind {
	case "exponential":
		return dist.Mean * rng.ExpFloat64()
	case "lognormal":
		return dist.Mean * math.Exp(dist.Sigma*rng.NormFloat64()-dist.Sigma*dist.Sigma/2)
	case "pareto":
		// Inverse transform sampling between the bounds; the lower bound is chosen so that the mean is sizes.Mean.
		a, most := dist.Alpha, dist.Mean*dist.MaxMultiple
		least := dist.paretoLowerBound(a, most)
		u := rng.Float64()
		return least / math.Pow(1-u*(1-math.Pow(least/most, a)), 1/a)
	case "values":
		return dist.Values[rng.IntN(len(dist.Values))]
	}
	return dist.Mean
}

// paretoLowerBound returns the lower bound of a bounded Pareto distribution with shape a, upper bound most
// and the configured mean, found by bisection.
func (dist *Distribution) paretoLowerBound(a, most float64) float64 {
	low, high := 0.0, dist.Mean
	for range 60 {
		l := (low + high) / 2
		ratio := math.Pow(l/most, a)
		mean := math.Log(most/l) * l / (1 - ratio)
		if a != 1 {
			mean = a * l / (a - 1) * (1 - math.Pow(l/most, a-1)) / (1 - ratio)
		}
		if mean < dist.Mean {
			low = l
		} else {
			high = l
		}
	}
	return max((low+high)/2, 1)
}
