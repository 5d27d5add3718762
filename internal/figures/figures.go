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
	Rejected // an upstream found the transaction itself at fault; its reply goes on
	Endings  = iota
)

// Class counts the endings of one tariff.
type Class struct {
	name  string
	ended [Endings]atomic.Int64
}

// End counts an ending.
func (c *Class) End(e Ending) { c.ended[e].Add(1) }

// Pool counts for one pool. A tariff that is dropped keeps its counts.
type Pool struct {
	Open  atomic.Int64 // transactions taken and not ended
	Sends atomic.Int64 // pushes whose last byte was written

	mu      sync.Mutex
	classes []*Class // in the order in which they came
}

// Class is where the endings of a tariff are counted; it is shown from now on.
func (p *Pool) Class(name string) *Class {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.classes {
		if c.name == name {
			return c
		}
	}
	c := &Class{name: name}
	p.classes = append(p.classes, c)
	return c
}

// Ended sums the endings of all tariffs.
func (p *Pool) Ended() (all [Endings]int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.classes {
		for e := range c.ended {
			all[e] += c.ended[e].Load()
		}
	}
	return all
}

// Process counts what concerns no pool.
type Process struct {
	Loaded  atomic.Int64 // files taken at SIGHUP
	Invalid atomic.Int64 // and turned down
}

// View is a pool as it is shown.
type View struct {
	Name              string // "" where there is one pool, which needs none
	Counts            *Pool
	Listed, Unhealthy int
}

// Write writes all figures, a line each.
func Write(to io.Writer, p *Process, pools []View) error {
	out := bufio.NewWriter(to)
	for _, v := range pools {
		v.Counts.mu.Lock()
		classes := v.Counts.classes
		v.Counts.mu.Unlock()
		for _, c := range classes {
			answered, errored := c.ended[Settled].Load(), c.ended[Forfeited].Load()+c.ended[Rejected].Load()
			for _, s := range []struct {
				state string
				n     int64
			}{{"answered", answered}, {"deferred", c.ended[Deferred].Load()}, {"errored", errored}} {
				fmt.Fprintf(out, "proxy_transactions{%sgroup=\"%s\",state=\"%s\"} %d\n", label(v.Name, ","), escape.Replace(c.name), s.state, s.n)
			}
		}
		of := label(v.Name, "")
		if of != "" {
			of = "{" + of + "}"
		}
		fmt.Fprintf(out, "proxy_sends%s %d\nproxy_current%s %d\nproxy_cluster_size%s %d\nproxy_cluster_unhealthy%s %d\n",
			of, v.Counts.Sends.Load(), of, v.Counts.Open.Load(), of, v.Listed, of, v.Unhealthy)
	}
	fmt.Fprintf(out, "proxy_conf_loaded %d\nproxy_conf_invalid %d\n", p.Loaded.Load(), p.Invalid.Load())
	return out.Flush()
}

// escape keeps a name inside its quotes and its line.
var escape = strings.NewReplacer("\\", "\\\\", "\"", "\\\"", "\n", "\\n")

func label(pool, behind string) string {
	if pool == "" {
		return ""
	}
	return `pool="` + escape.Replace(pool) + `"` + behind
}
