package proxy

import (
	"context"
	"errors"
	"time"

	"ottershift/internal/mesh/rpc"
)

var errNoController = errors.New("no controller is known")

// callOutcome is the result of one call.
type callOutcome[T any] struct {
	response T
	err      error
}

// callAny makes the same call to one address after the other until one has succeeded: to the next one when a call has
// failed, and to one more whenever hedgeDelay has passed. If all calls fail, the error is the last one that is not
// rpc.ErrUnknownPath, if there is any.
func callAny[T any](ctx context.Context, addresses []string, hedgeDelay time.Duration, call func(ctx context.Context, address string) (T, error)) (*T, error) {
	if len(addresses) == 0 {
		return nil, errNoController
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan callOutcome[T], len(addresses))
	started := 0
	startNext := func() {
		if started == len(addresses) {
			return
		}
		address := addresses[started]
		started++
		go func() {
			response, err := call(ctx, address)
			outcomes <- callOutcome[T]{response, err}
		}()
	}
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	startNext()
	var failure error
	for failed := 0; failed < len(addresses); {
		select {
		case outcome := <-outcomes:
			if outcome.err == nil {
				return &outcome.response, nil
			}
			if failure == nil || !errors.Is(outcome.err, rpc.ErrUnknownPath) {
				failure = outcome.err
			}
			failed++
			startNext()
		case <-hedge.C:
			startNext()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return nil, failure
}
