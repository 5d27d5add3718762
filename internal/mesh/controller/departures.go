package controller

import (
	"context"
	"sync"

	"ottershift/internal/mesh/apierror"
	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/membership"
)

// departureRecorder has the core agree on departures of upstream instances. Requests that arrive during a change are
// answered by the next one together.
type departureRecorder struct {
	mu      sync.Mutex
	pending []pendingDeparture
	running bool
}

// pendingDeparture is a request that waits for a change. Its result is nil if the change failed.
type pendingDeparture struct {
	request *membership.DepartureRequest
	result  chan *consensus.State // buffered for one value
}

// handleDeparture records a departure and returns all departures of the node. The response reflects everything that had
// been decided when the request arrived.
func (c *Controller) handleDeparture(ctx context.Context, request *membership.DepartureRequest) (*membership.DepartureResponse, error) {
	if request.Node == "" {
		return nil, apierror.New(apierror.UnreadableBody, "Node is required")
	}
	c.counts.Increment("departure_requests")
	own := pendingDeparture{request, make(chan *consensus.State, 1)}
	recorder := &c.departures
	recorder.mu.Lock()
	recorder.pending = append(recorder.pending, own)
	if !recorder.running {
		recorder.running = true
		go c.recordDepartures()
	}
	recorder.mu.Unlock()
	select {
	case state := <-own.result:
		if state == nil {
			return nil, errNoMajority
		}
		return &membership.DepartureResponse{Departed: state.DepartedInstances(request.Node)}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// recordDepartures runs changes until no request is pending.
func (c *Controller) recordDepartures() {
	for {
		batch := c.departures.take()
		if len(batch) == 0 {
			return
		}
		state, err := c.agreeOnDepartures(batch)
		if err != nil {
			c.counts.Increment("departures_undecided")
			state = nil
		}
		for _, pending := range batch {
			pending.result <- state
		}
	}
}

// take returns the pending requests. If there are none, the recorder stops running.
func (r *departureRecorder) take() []pendingDeparture {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := r.pending
	r.pending, r.running = nil, len(batch) > 0
	return batch
}

// agreeOnDepartures has the core agree on the departures of a batch and returns the resulting state.
func (c *Controller) agreeOnDepartures(batch []pendingDeparture) (*consensus.State, error) {
	var departures []consensus.Departure
	for _, pending := range batch {
		if pending.request.Instance != "" {
			departures = append(departures, consensus.Departure{Node: pending.request.Node, Instance: pending.request.Instance})
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	return c.replicator.changeIdempotent(ctx, c.otherControllers, func(newest *consensus.State) (*consensus.State, error) {
		return newest.WithDepartures(departures), nil
	})
}
