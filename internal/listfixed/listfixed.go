// Package listfixed is a list of upstreams that stands in the configuration.
package listfixed

import (
	"context"

	"ottershift/internal/lists"
	"ottershift/internal/roster"
)

// List tells its entries once, and again when it is asked for.
type List struct {
	Entries []roster.Entry[string]
	Sink    lists.Sink
}

// Run implements lists.Source.
func (l *List) Run(ctx context.Context) {
	for {
		l.Sink.List(l.Entries, true)
		select {
		case <-ctx.Done():
			return
		case <-l.Sink.Follow():
		}
	}
}
