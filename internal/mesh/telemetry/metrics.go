package telemetry

import (
	"fmt"
	"io"
	"net/http"
)

// Gauge is a metric of a process's current state.
type Gauge struct {
	Name, Help string
	Value      any
}

// WriteMetrics writes gauges and all counters in the Prometheus text format. Each name starts with prefix.
func WriteMetrics(w http.ResponseWriter, prefix string, gauges []Gauge, counters *Counters) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	for _, gauge := range gauges {
		name := prefix + "_" + gauge.Name
		fmt.Fprintf(w, "# HELP %s %s\n# TYPE %s gauge\n%s %v\n", name, gauge.Help, name, name, gauge.Value)
	}
	total := prefix + "_total"
	fmt.Fprintf(w, "# HELP %s Events since the start, by kind.\n# TYPE %s counter\n", total, total)
	counters.Each(func(kind string, n int64) { writeCounter(w, total, kind, n) })
}

// writeCounter writes the sample of one counter.
func writeCounter(w io.Writer, name, kind string, n int64) {
	fmt.Fprintf(w, "%s{kind=%q} %d\n", name, kind, n)
}
