// Package plan reads the configuration of a process: listeners, pools, routes and limits. There are two formats: the platform's
// JSON for a single pool (platform.go) and TOML for any number of pools (pools.go). Both are decoded into a Plan.
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

// Plan is the configuration of a process.
type Plan struct {
	Name       string
	Platform   bool // one pool for all transactions, with the platform's protocol
	Seed       uint64
	Listeners  []Listener
	Pools      []*Pool
	Routes     []routes.Route
	Table      *routes.Table // built from Routes; nil on the platform
	Limits     Limits
	Log        Log
	OpsAddress string           // address for operations; "" for none
	Cluster    *config.Settings // nil if the process is not in a cluster

	platformKeys []string // paths of all keys in the platform's file
}

// Listener is an address where clients connect.
type Listener struct {
	Name, Address string
	InheritedFD   int // inherited descriptor of a socket that already listens there, 0 for none
}

// Limits are the resource limits shared by all pools.
type Limits struct {
	Cores        int
	MemoryBytes  int64 // 0 for no limit
	Descriptors  int
	BodyBytes    int64         // bytes of buffered request and response bodies
	ReturnWithin time.Duration // maximum time until a pool regains its guaranteed share
	RefusalRate  float64       // per second, over all pools; above it, refused connections are paused after the answer
}

// Log holds the level and format of log lines.
type Log struct{ Level, Format string }

// Pool is the configuration of one pool of upstreams.
type Pool struct {
	Name        string
	Settings    *terms.Settings
	Fingerprint string  // equal for equal settings
	Share       float64 // guaranteed fraction of the shared limits; negative if not configured

	MaxTransactions, MaxConnections int64 // 0 for no limit below that of the process
	MaxBodyBytes                    int64

	Upstreams UpstreamSource
}

// UpstreamSource is the source of a pool's list of upstreams: Static, File or Discovery.
type UpstreamSource struct {
	Static       []roster.Entry[string]
	File         string
	PollInterval time.Duration // interval between checks of File
	Discovery    string
	Shared       bool             // one member of the cluster queries discovery for all
	Initial      discovery.Report // list known from a previous run
}

// Defaults for both formats.
const (
	defaultDescriptors  = 1024     // the usual limit of a process
	defaultBodyBytes    = 64 << 20 // without a memory limit
	bodyMemoryFraction  = 4        // with a memory limit, bodies get one part in this many of it
	defaultReturnWithin = time.Second
	defaultRefusalRate  = 4000 // per second
)

// applyDefaults replaces missing limits by defaults.
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

// ClaimRates describes the sustainable rate of claims, in a line for each tariff whose transactions are claimed.
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
			lines = append(lines, fmt.Sprintf(
				"pool %s, tariff %s: a key is remembered for %s, so at most %.0f transactions per second are sustainable if there is no other tariff: keys / ((window + hard_stop) x (1 + drift) + 1s)",
				pool.Name, pool.Settings.TariffName(number), clusterSettings.ClaimRetention(window, hardStop),
				clusterSettings.MaxClaimRate(window, hardStop)))
		}
	}
	slices.Sort(lines)
	return lines
}
