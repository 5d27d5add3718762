// Package plan reads what a process is told: listeners, pools, routes and limits. There are two formats, the platform's
// JSON for one pool (platform.go) and TOML for any number (pools.go); both end in a Plan.
package plan

import (
	"fmt"
	"slices"
	"time"

	"ottershift/internal/cluster/config"
	"ottershift/internal/discovery"
	"ottershift/internal/roster"
	"ottershift/internal/routes"
	"ottershift/internal/terms"
	"ottershift/logic"
)

// Plan is all that a process is told.
type Plan struct {
	Name      string
	Platform  bool // one pool for all that comes, by the platform's protocol
	Seed      uint64
	Listeners []Listener
	Pools     []*Pool
	Routes    []routes.Route
	Table     *routes.Table // of Routes; nil on the platform
	Limits    Limits
	Log       Log
	Ops       string           // the second address, for staff; "" for none
	Cluster   *config.Settings // nil where it is in none

	keys []string // of the platform's file
}

// Listener is an address where clients connect.
type Listener struct {
	Name, Address string
	Inherited     int // the descriptor that listens there already, 0 for none
}

// Limits are what all pools have in common.
type Limits struct {
	Cores       int
	Memory      int64 // bytes, 0 for no bound
	Descriptors int
	Bodies      int64         // bytes of bodies in hand
	Within      time.Duration // until a pool has what is guaranteed to it back
	Refusals    float64       // a second, over all pools, before refused connections rest
}

// Log says how lines are logged.
type Log struct{ Level, Format string }

// Pool is one service.
type Pool struct {
	Name  string
	Book  *terms.Book
	Print string  // two books of one print say the same
	Share float64 // of what is common, guaranteed; below zero if not stated

	Open, Connections int64 // most that it may hold; 0 for all there is
	Bodies            int64

	List List
}

// List is where a pool's list of upstreams comes from: one of the three.
type List struct {
	Fixed     []roster.Entry[string]
	File      string
	Every     time.Duration // between two looks at File
	Discovery string
	Shared    bool             // one member of the cluster asks for all
	Known     discovery.Report // from before
}

// Defaults, for both formats.
const (
	descriptors  = 1024 // that a process has by custom
	bodies       = 64 << 20
	bodiesOf     = 4 // part of the memory, where that is stated
	returnWithin = time.Second
	refusals     = 4000
)

// limits fills in what isn't said.
func (l *Limits) complete() {
	if l.Cores <= 0 {
		l.Cores = 1
	}
	if l.Descriptors <= 0 {
		l.Descriptors = descriptors
	}
	if l.Bodies <= 0 {
		if l.Bodies = bodies; l.Memory > 0 {
			l.Bodies = l.Memory / bodiesOf
		}
	}
	if l.Within <= 0 {
		l.Within = returnWithin
	}
	if l.Refusals <= 0 {
		l.Refusals = refusals
	}
}

// Rates are the bounds on what the ledger remembers, a line for each tariff that it is for.
func (p *Plan) Rates() (lines []string) {
	s := p.Cluster
	if s == nil || !s.Ledger.Claims() {
		return nil
	}
	for _, pool := range p.Pools {
		for n, f := range pool.Book.Terms.Tariffs {
			if f.Idempotency == logic.Idempotent {
				continue
			}
			window := time.Duration(f.DedupWindow)
			if f.Idempotency == logic.NonIdempotent {
				window = max(window, s.Ledger.OnceFor)
			}
			stop := time.Duration(f.HardStop)
			lines = append(lines, fmt.Sprintf("pool %s, tariff %s: a key is remembered for %s, so %.0f a second for long if it were alone: keys / ((window + hard_stop) x (1 + drift) + 1s)",
				pool.Name, pool.Book.Name(n), s.Kept(window, stop), s.Rate(window, stop)))
		}
	}
	slices.Sort(lines)
	return lines
}
