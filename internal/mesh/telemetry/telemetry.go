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

// NewLogger makes a logger that writes logfmt lines.
func NewLogger(w io.Writer, node string) *slog.Logger {
	logger := log.NewWithOptions(w, log.Options{
		Formatter: log.LogfmtFormatter, ReportTimestamp: true, TimeFormat: "15:04:05.000",
	})
	return slog.New(logger).With("node", node)
}

// Counters are named counts since the start.
type Counters struct {
	mu       sync.Mutex
	names    []string
	values   map[string]*atomic.Int64
	reported map[string]int64
}

// NewCounters makes an empty set.
func NewCounters() *Counters {
	return &Counters{values: map[string]*atomic.Int64{}, reported: map[string]int64{}}
}

// Counter is a counter; whoever counts often keeps it.
func (c *Counters) Counter(name string) *atomic.Int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	counter := c.values[name]
	if counter == nil {
		counter = &atomic.Int64{}
		c.values[name] = counter
		c.names = append(c.names, name)
		slices.Sort(c.names)
	}
	return counter
}

// Increment counts one.
func (c *Counters) Increment(name string) { c.Counter(name).Add(1) }

// Each shows all counts in order of name.
func (c *Counters) Each(visit func(name string, n int64)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range c.names {
		visit(name, c.values[name].Load())
	}
}

// TakeDeltas is what has moved since it was asked last, as arguments of a line.
func (c *Counters) TakeDeltas() (args []any) {
	c.Each(func(name string, n int64) {
		if d := n - c.reported[name]; d != 0 {
			args = append(args, name, d)
			c.reported[name] = n
		}
	})
	return args
}

// LogPeriodically writes counters that moved on an interval until it is told to end.
func (c *Counters) LogPeriodically(logger *slog.Logger, interval time.Duration, stop <-chan struct{}) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if args := c.TakeDeltas(); len(args) > 0 {
				var memory runtime.MemStats
				runtime.ReadMemStats(&memory)
				logger.Info("counts", append(args, "heap_kb", memory.HeapInuse>>10, "sys_kb", memory.Sys>>10, "goroutines", runtime.NumGoroutine())...)
			}
		case <-stop:
			return
		}
	}
}
