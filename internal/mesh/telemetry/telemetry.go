// Package telemetry is what the mesh's processes say: counters, on an interval where they changed, and a line for each
// change of state.
package telemetry

import (
	"io"
	"log/slog"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
)

// New makes a logger that writes logfmt lines.
func New(w io.Writer, node string) *slog.Logger {
	l := log.NewWithOptions(w, log.Options{
		Formatter: log.LogfmtFormatter, ReportTimestamp: true, TimeFormat: "15:04:05.000",
	})
	return slog.New(l).With("node", node)
}

// Counters are named counts since the start.
type Counters struct {
	mu    sync.Mutex
	names []string
	by    map[string]*atomic.Int64
	said  map[string]int64
}

// NewCounters makes an empty set.
func NewCounters() *Counters {
	return &Counters{by: map[string]*atomic.Int64{}, said: map[string]int64{}}
}

// Of is a counter; whoever counts often keeps it.
func (c *Counters) Of(name string) *atomic.Int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.by[name]
	if n == nil {
		n = &atomic.Int64{}
		c.by[name] = n
		c.names = append(c.names, name)
		slices.Sort(c.names)
	}
	return n
}

// Add counts one.
func (c *Counters) Add(name string) { c.Of(name).Add(1) }

// Each shows all counts in order of name.
func (c *Counters) Each(take func(name string, n int64)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range c.names {
		take(name, c.by[name].Load())
	}
}

// Changed is what has moved since it was asked last, as arguments of a line.
func (c *Counters) Changed() (args []any) {
	c.Each(func(name string, n int64) {
		if d := n - c.said[name]; d != 0 {
			args = append(args, name, d)
			c.said[name] = n
		}
	})
	return args
}

// Say writes counters that moved on an interval until it is told to end.
func (c *Counters) Say(l *slog.Logger, every time.Duration, end <-chan struct{}) {
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if args := c.Changed(); len(args) > 0 {
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				l.Info("counts", append(args, "heap_kb", m.HeapInuse>>10, "sys_kb", m.Sys>>10, "goroutines", runtime.NumGoroutine())...)
			}
		case <-end:
			return
		}
	}
}
