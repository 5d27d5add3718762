// Package figures counts transactions by how they end, and attempts. Each is counted once, where its end is decided. The
// statistics in the log and the metrics endpoint read the same counters, without a lock that transactions wait for.
package figures

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
)

// Ending is how a transaction ended.
type Ending uint8

// The endings of a transaction.
const (
	Settled     Ending = iota // answered with the response of an upstream
	Deferred                  // the client can safely retry
	Forfeited                 // it is unknown whether it ran
	Rejected                  // an upstream found the request invalid; the client gets that response
	EndingCount = iota        // number of endings
)

// TariffCounter counts the transactions of one tariff by ending.
type TariffCounter struct {
	name  string
	ended [EndingCount]atomic.Int64
}

// Count adds one transaction with the given ending.
func (counter *TariffCounter) Count(ending Ending) { counter.ended[ending].Add(1) }

// Pool holds the counters of one pool. A tariff that is removed from the configuration keeps its counters.
type Pool struct {
	InFlight     atomic.Int64 // transactions accepted and not ended
	AttemptsSent atomic.Int64 // attempts whose last byte was written

	mu      sync.Mutex
	tariffs []*TariffCounter // in the order of their first use
}

// Tariff returns the counter of a tariff. It adds the counter at the first call, and Write shows it from then on.
func (pool *Pool) Tariff(name string) *TariffCounter {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, counter := range pool.tariffs {
		if counter.name == name {
			return counter
		}
	}
	counter := &TariffCounter{name: name}
	pool.tariffs = append(pool.tariffs, counter)
	return counter
}

// EndingTotals returns the endings summed over all tariffs.
func (pool *Pool) EndingTotals() (totals [EndingCount]int64) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, counter := range pool.tariffs {
		for ending := range counter.ended {
			totals[ending] += counter.ended[ending].Load()
		}
	}
	return totals
}

// Process holds the counters that belong to no pool.
type Process struct {
	ConfigsLoaded   atomic.Int64 // configurations applied at SIGHUP
	ConfigsRejected atomic.Int64 // configurations rejected at SIGHUP
}

// PoolView is what Write shows of a pool.
type PoolView struct {
	Name              string // "" for a single pool, which gets no label
	Counters          *Pool
	Listed, Unhealthy int
}

// Write writes all counters in the text format of the metrics endpoint, one a line.
func Write(to io.Writer, process *Process, pools []PoolView) error {
	out := bufio.NewWriter(to)
	for _, view := range pools {
		view.Counters.mu.Lock()
		tariffs := view.Counters.tariffs
		view.Counters.mu.Unlock()
		for _, counter := range tariffs {
			answered, errored := counter.ended[Settled].Load(), counter.ended[Forfeited].Load()+counter.ended[Rejected].Load()
			for _, sample := range []struct {
				state string
				n     int64
			}{{"answered", answered}, {"deferred", counter.ended[Deferred].Load()}, {"errored", errored}} {
				fmt.Fprintf(out, "proxy_transactions{%sgroup=\"%s\",state=\"%s\"} %d\n",
					poolLabel(view.Name, ","), escape.Replace(counter.name), sample.state, sample.n)
			}
		}
		labels := poolLabel(view.Name, "")
		if labels != "" {
			labels = "{" + labels + "}"
		}
		fmt.Fprintf(out, "proxy_sends%s %d\nproxy_current%s %d\nproxy_cluster_size%s %d\nproxy_cluster_unhealthy%s %d\n",
			labels, view.Counters.AttemptsSent.Load(), labels, view.Counters.InFlight.Load(),
			labels, view.Listed, labels, view.Unhealthy)
	}
	fmt.Fprintf(out, "proxy_conf_loaded %d\nproxy_conf_invalid %d\n",
		process.ConfigsLoaded.Load(), process.ConfigsRejected.Load())
	return out.Flush()
}

// escape escapes a label value.
var escape = strings.NewReplacer("\\", "\\\\", "\"", "\\\"", "\n", "\\n")

// poolLabel returns the pool label followed by suffix, or "" for a pool without a name.
func poolLabel(pool, suffix string) string {
	if pool == "" {
		return ""
	}
	return `pool="` + escape.Replace(pool) + `"` + suffix
}
