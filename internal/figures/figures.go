// Package figures counts what becomes of transactions and pushes, each once and where it is decided. The tally in the
// log and the second address read the same counts, without a lock that a transaction waits for.
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

const (
	Settled Ending = iota
	Deferred
	Forfeited
	Rejected    // an upstream found the transaction itself at fault; its reply goes on
	EndingCount = iota
)

// TariffCounter counts the endings of one tariff.
type TariffCounter struct {
	name  string
	ended [EndingCount]atomic.Int64
}

// Count counts an ending.
func (counter *TariffCounter) Count(ending Ending) { counter.ended[ending].Add(1) }

// Pool counts for one pool. A tariff that is dropped keeps its counts.
type Pool struct {
	InFlight     atomic.Int64 // transactions taken and not ended
	AttemptsSent atomic.Int64 // pushes whose last byte was written

	mu      sync.Mutex
	tariffs []*TariffCounter // in the order in which they came
}

// Tariff is where the endings of a tariff are counted; it is shown from now on.
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

// EndingTotals sums the endings of all tariffs.
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

// Process counts what concerns no pool.
type Process struct {
	ConfigsLoaded   atomic.Int64 // files taken at SIGHUP
	ConfigsRejected atomic.Int64 // and turned down
}

// PoolView is a pool as it is shown.
type PoolView struct {
	Name              string // "" where there is one pool, which needs none
	Counters          *Pool
	Listed, Unhealthy int
}

// Write writes all figures, a line each.
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
				fmt.Fprintf(out, "proxy_transactions{%sgroup=\"%s\",state=\"%s\"} %d\n", poolLabel(view.Name, ","), escape.Replace(counter.name), sample.state, sample.n)
			}
		}
		labels := poolLabel(view.Name, "")
		if labels != "" {
			labels = "{" + labels + "}"
		}
		fmt.Fprintf(out, "proxy_sends%s %d\nproxy_current%s %d\nproxy_cluster_size%s %d\nproxy_cluster_unhealthy%s %d\n",
			labels, view.Counters.AttemptsSent.Load(), labels, view.Counters.InFlight.Load(), labels, view.Listed, labels, view.Unhealthy)
	}
	fmt.Fprintf(out, "proxy_conf_loaded %d\nproxy_conf_invalid %d\n", process.ConfigsLoaded.Load(), process.ConfigsRejected.Load())
	return out.Flush()
}

// escape keeps a name inside its quotes and its line.
var escape = strings.NewReplacer("\\", "\\\\", "\"", "\\\"", "\n", "\\n")

func poolLabel(pool, suffix string) string {
	if pool == "" {
		return ""
	}
	return `pool="` + escape.Replace(pool) + `"` + suffix
}
