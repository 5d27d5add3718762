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
	Name       string
	Platform   bool // one pool for all that comes, by the platform's protocol
	Seed       uint64
	Listeners  []Listener
	Pools      []*Pool
	Routes     []routes.Route
	Table      *routes.Table // of Routes; nil on the platform
	Limits     Limits
	Log        Log
	OpsAddress string           // the second address, for staff; "" for none
	Cluster    *config.Settings // nil where it is in none

	platformKeys []string // of the platform's file
}

// Listener is an address where clients connect.
type Listener struct {
	Name, Address string
	InheritedFD   int // the descriptor that listens there already, 0 for none
}

// Limits are what all pools have in common.
type Limits struct {
	Cores        int
	MemoryBytes  int64 // bytes, 0 for no bound
	Descriptors  int
	BodyBytes    int64         // bytes of bodies in hand
	ReturnWithin time.Duration // until a pool has what is guaranteed to it back
	RefusalRate  float64       // a second, over all pools, before refused connections rest
}

// Log says how lines are logged.
type Log struct{ Level, Format string }

// Pool is one service.
type Pool struct {
	Name        string
	Settings    *terms.Settings
	Fingerprint string  // two books of one print say the same
	Share       float64 // of what is common, guaranteed; below zero if not stated

	MaxTransactions, MaxConnections int64 // most that it may hold; 0 for all there is
	MaxBodyBytes                    int64

	Upstreams UpstreamSource
}

// UpstreamSource is where a pool's list of upstreams comes from: one of the three.
type UpstreamSource struct {
	Static       []roster.Entry[string]
	File         string
	PollInterval time.Duration // between two looks at File
	Discovery    string
	Shared       bool             // one member of the cluster asks for all
	Initial      discovery.Report // from before
}

// Defaults, for both formats.
const (
	defaultDescriptors  = 1024 // that a process has by custom
	defaultBodyBytes    = 64 << 20
	bodyMemoryFraction  = 4 // part of the memory, where that is stated
	defaultReturnWithin = time.Second
	defaultRefusalRate  = 4000
)

// limits fills in what isn't said.
func (l *Limits) applyDefaults() {
	if l.Cores <= 0 {
		l.Cores = 1
	}
	if l.Descriptors <= 0 {
		l.Descriptors = defaultDescriptors
	}
	if l.BodyBytes <= 0 {
		if l.BodyBytes = defaultBodyBytes; l.MemoryBytes > 0 {
			l.BodyBytes = l.MemoryBytes / bodyMemoryFraction
		}
	}
	if l.ReturnWithin <= 0 {
		l.ReturnWithin = defaultReturnWithin
	}
	if l.RefusalRate <= 0 {
		l.RefusalRate = defaultRefusalRate
	}
}

// ClaimRates are the bounds on what the ledger remembers, a line for each tariff that it is for.
func (p *Plan) ClaimRates() (lines []string) {
	clusterSettings := p.Cluster
	if clusterSettings == nil || !clusterSettings.Ledger.Enabled() {
		return nil
	}
	for _, pool := range p.Pools {
		for number, tariff := range pool.Settings.Engine.Tariffs {
			if tariff.Idempotency == logic.Idempotent {
				continue
			}
			window := time.Duration(tariff.DedupWindow)
			if tariff.Idempotency == logic.NonIdempotent {
				window = max(window, clusterSettings.Ledger.OnceOnlyRetention)
			}
			hardStop := time.Duration(tariff.HardStop)
			lines = append(lines, fmt.Sprintf("pool %s, tariff %s: a key is remembered for %s, so %.0f a second for long if it were alone: keys / ((window + hard_stop) x (1 + drift) + 1s)",
				pool.Name, pool.Settings.TariffName(number), clusterSettings.ClaimRetention(window, hardStop), clusterSettings.MaxClaimRate(window, hardStop)))
		}
	}
	slices.Sort(lines)
	return lines
}
