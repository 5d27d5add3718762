// Package listfixed is a list of upstreams that stands in the configuration.
package listfixed

import (
	"context"

	"ottershift/internal/lists"
	"ottershift/internal/roster"
)

// Source tells its entries once, and again when it is asked for.
type Source struct {
	Entries []roster.Entry[string]
	Sink    lists.Sink
}

// Run implements lists.Source.
func (source *Source) Run(ctx context.Context) {
	for {
		source.Sink.Update(source.Entries, true)
		select {
		case <-ctx.Done():
			return
		case <-source.Sink.Requested():
		}
	}
}
