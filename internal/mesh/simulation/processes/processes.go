// Package processes plays a mesh as real processes on loopback, with stand-in upstreams, clients and operators of its own, and judges
// it by what those saw alone. It is the part of meshsim that has a real clock.
package processes

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"ottershift/internal/mesh/settings"
	"ottershift/internal/mesh/testmesh"
)

// Error is the class of plays that could not be played.
var Error = errs.Class("processes")

// Mesh is what is played.
type Mesh struct {
	Programs             string // folder of controller and proxy
	Beside               string // folder of another version's: every second process is started from it, "" for none
	Controllers, Proxies int
	Zones, Services      []string
	Length               time.Duration
	Rate                 float64 // requests a second, of all clients together
	Work                 time.Duration
	Size                 int // bytes of an answer
	Routes               int // beside those that are asked for
	Faults               []Fault
	Seed                 uint64
	Credit               float64       // tokens of burst credit of the one tenant that all clients are of, 0 for none
	TenantRate           float64       // its rate then, a second
	Extra                float64       // and the most over it
	Partner              time.Duration // between two words of a partner that narrows and widens what it exports, 0 for no partner
	Versions             time.Duration // between two versions of the configuration that are probed for, 0 for a version each three seconds and no probes
	Logs                 string        // folder for what the processes write, "" for nowhere
}

// Served is what came of the requests that began at one proxy.
type Served struct {
	Node                                 string
	Asked, OK, Refused, Failed, NoAnswer int
	Ran                                  int // at the upstream beside it
}

// Outcome is what was seen.
type Outcome struct {
	By        []Served
	Broken    []string
	Asked, OK int
	Late      int // answered after their aim
	Restarts  int
	Changes   int
	Acks      []time.Duration // from the first call of a change until it was acknowledged
	Bytes     int             // of the configuration
	Settle    time.Duration   // from the start until a request was served
	Spent     float64         // tokens that were charged
	DueMost   int             // requests that were served, or whose effect may have been
	Effects   int             // that ran at the partner
	Done      []time.Duration // from the partner's words that narrowed until it was told that nothing comes any more
	Probes    int             // for versions
	InForce   []time.Duration // from the acknowledgement of each version until it was seen in force at each balancer
	Added     share           // of the probes of routes that versions added
	First     share           // of the probes of those of the first
}

type process struct {
	name, program string
	settings      *settings.Settings
	settingsFile  string
	mu            sync.Mutex
	cmd           *exec.Cmd
	down          bool // by a fault, until it starts it again
}

type world struct {
	Mesh
	dir  string
	plan *testmesh.Mesh
	all  []*process
	apps []*testmesh.Upstream
	side *testmesh.Partner // nil for none

	mu    sync.Mutex
	out   Outcome
	sent  map[string]*try
	began time.Time

	versioned versioned

	tail  [2]int // asked and served once all that was wrong is over
	stops sync.WaitGroup
}

type try struct {
	once    bool
	status  int
	outside bool // toward the partner
	probe   bool // for a version: what its status means is judged apart
}

const aim = 300 * time.Millisecond

// Play plays it; tell is told what happens.
func Play(ctx context.Context, m Mesh, tell func(format string, args ...any)) (*Outcome, error) {
	dir, err := os.MkdirTemp("", "meshsim")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer os.RemoveAll(dir)
	w := &world{Mesh: m, dir: dir, sent: map[string]*try{}}
	if w.plan, err = testmesh.Plan(m.Controllers, m.Proxies, m.Zones, m.Services, dir); err != nil {
		return nil, Error.Wrap(err)
	}
	defer w.stop()
	if m.Partner > 0 {
		if w.side, err = testmesh.NewPartner("zuid", settings.Host(w.plan.Controllers[0].ControlAddress)+":0"); err != nil {
			return nil, Error.Wrap(err)
		}
		defer w.side.Stop()
	}
	began := time.Now()
	if err := w.start(); err != nil {
		return nil, err
	}
	if err := w.first(ctx); err != nil {
		return nil, err
	}
	w.out.Settle = time.Since(began)
	tell("%d controllers and %d proxies serve after %v", m.Controllers, m.Proxies, w.out.Settle.Round(time.Millisecond))
	ctx, end := context.WithTimeout(ctx, m.Length)
	defer end()
	var parts sync.WaitGroup
	calm := time.Duration(0)
	for _, f := range m.Faults {
		calm = max(calm, f.At+f.For)
		parts.Go(func() { w.befall(ctx, f, tell) })
	}
	w.began = time.Now()
	if m.Versions > 0 {
		w.versioned.sent(firstEdition, 0, 0)
		w.versioned.acknowledged(firstEdition, 1)
		parts.Go(func() { w.changeVersions(ctx, tell) })
		for n := range w.plan.Proxies {
			parts.Go(func() { w.probeVersions(ctx, n) })
		}
	} else {
		parts.Go(func() { w.operate(ctx, tell) })
	}
	if w.side != nil {
		parts.Go(func() { w.narrow(ctx, tell) })
	}
	w.clients(ctx, time.Now().Add(calm+4*time.Second))
	parts.Wait()
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil, Error.New("stopped")
	}
	w.judge()
	if m.Versions > 0 {
		w.judgeVersions()
	}
	return &w.out, nil
}

func (w *world) breaks(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.out.Broken = append(w.out.Broken, fmt.Sprintf(format, args...))
}
