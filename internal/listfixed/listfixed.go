// Package listfixed is the source of a list of upstreams that is part of the configuration.
package listfixed

import (
	"context"

	"ottershift/internal/lists"
	"ottershift/internal/roster"
)

// Source is a lists.Source that sends its entries once and again on each request.
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
