// Package lists defines the interfaces between the sources of a pool's list of upstreams and its receiver. The sources
// are in the packages listfixed, listfile and discovery.
package lists

import (
	"context"

	"ottershift/internal/roster"
)

// Source sends a list of upstreams to a Sink.
type Source interface {
	// Run sends the list and all changes to it until the context ends.
	Run(ctx context.Context)
}

// Sink receives a list of upstreams.
type Sink interface {
	// Update receives the full list or the changes to it.
	Update(entries []roster.Entry[string], full bool)
	// SourceLost reports that the list could not be fetched, or that the watch on it has ended.
	SourceLost()
	// Requested returns a channel that delivers the requests for the list, for sources that send it on demand.
	Requested() <-chan struct{}
}
