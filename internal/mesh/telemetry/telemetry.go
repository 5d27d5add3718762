// Package telemetry provides the logger and the counters of the mesh's processes. Changed counters are logged at an
// interval.
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

// NewLogger returns a logger that writes lines in the logfmt format.
func NewLogger(w io.Writer, node string) *slog.Logger {
	logger := log.NewWithOptions(w, log.Options{
		Formatter: log.LogfmtFormatter, ReportTimestamp: true, TimeFormat: "15:04:05.000",
	})
	return slog.New(logger).With("node", node)
}

// Counters is a set of named counters of events since the process started. It is safe for concurrent use.
type Counters struct {
	mu       sync.Mutex
	names    []string
	values   map[string]*atomic.Int64
	reported map[string]int64 // values at the last TakeDeltas
}

// NewCounters returns an empty set.
func NewCounters() *Counters {
	return &Counters{values: map[string]*atomic.Int64{}, reported: map[string]int64{}}
}

// Counter returns the counter of a name, and creates it at first use. Frequent users should keep the result.
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

// Increment adds 1 to the counter of a name.
func (c *Counters) Increment(name string) { c.Counter(name).Add(1) }

// Each calls visit for all counters in order of their names.
func (c *Counters) Each(visit func(name string, n int64)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range c.names {
		visit(name, c.values[name].Load())
	}
}

// TakeDeltas returns the changes of the counters since its last call, as arguments of a log line.
func (c *Counters) TakeDeltas() (args []any) {
	c.Each(func(name string, n int64) {
		if d := n - c.reported[name]; d != 0 {
			args = append(args, name, d)
			c.reported[name] = n
		}
	})
	return args
}

// LogPeriodically logs the changed counters at an interval until stop is closed.
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
