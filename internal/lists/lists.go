// Package lists says what a pool's list of upstreams comes from and goes to. Each kind of source is a package of its
// own: listfixed, listfile, discovery.
package lists

import (
	"context"

	"ottershift/internal/roster"
)

// Source tells a list.
type Source interface {
	// Run tells the list and all that changes of it, until the context ends.
	Run(ctx context.Context)
}

// Sink is told a list.
type Sink interface {
	// Update takes a report: the whole list, or what has changed of it.
	Update(entries []roster.Entry[string], whole bool)
	// SourceLost says that the list could not be had, or that following it has ended.
	SourceLost()
	// Requested tells when the list is asked for, where it must be.
	Requested() <-chan struct{}
}
