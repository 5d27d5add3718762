package httpwire

import (
	"errors"
	"sync"
	"time"
)

const (
	noticeTime     = 300 * time.Millisecond  // new clients may still arrive this long after LEAVE
	closeIdleAfter = 1700 * time.Millisecond // then idle connections are closed
	deferAfter     = 1900 * time.Millisecond // requests that are complete later are deferred
	closeAllAfter  = 3400 * time.Millisecond // then all connections without a transaction are closed
	sweepInterval  = 50 * time.Millisecond
)

type lifecycle uint8

const (
	serving  lifecycle = iota
	leaving            // after LEAVE; JOIN returns to serving
	stopping           // after SIGTERM
)

// Availability is whether a balancer accepts clients. The health checks of both addresses, SIGTERM, the commands
// of the admin address and the closing of connections all use it.
type Availability struct {
	mu          sync.Mutex
	state       lifecycle
	stateSince  time.Time // when the state began
	closeFrom   time.Time // connections close with their answers from then on; zero for never
	deferFrom   time.Time // requests are deferred from then on; zero for never
	handedOver  bool      // stopping, while another process continues to accept clients
	transitions int       // number of state changes, to recognise an outdated one
}

// transition changes between leaving and serving. It returns whether the state changed, and the number of the
// change.
func (avail *Availability) transition(to lifecycle, now time.Time) (changed bool, transitions int, err error) {
	avail.mu.Lock()
	defer avail.mu.Unlock()
	if avail.state == stopping {
		return false, 0, errors.New("stopping")
	}
	if avail.state == to {
		return false, 0, nil
	}
	avail.state, avail.stateSince, avail.closeFrom, avail.deferFrom = to, now, time.Time{}, time.Time{}
	if to == leaving {
		avail.closeFrom, avail.deferFrom = now.Add(noticeTime), now.Add(deferAfter)
	}
	avail.transitions++
	return true, avail.transitions, nil
}

// stop enters the final state. Connections close with their answers from closeFrom on, or at once if the
// balancer is leaving already.
func (avail *Availability) stop(now, closeFrom time.Time, handedOver bool) {
	avail.mu.Lock()
	defer avail.mu.Unlock()
	if avail.state == leaving {
		closeFrom, handedOver = now, false
	}
	avail.state, avail.stateSince, avail.closeFrom, avail.deferFrom, avail.handedOver =
		stopping, now, closeFrom, time.Time{}, handedOver
}

// isServing reports whether this process accepts clients.
func (avail *Availability) isServing() bool {
	avail.mu.Lock()
	defer avail.mu.Unlock()
	return avail.state == serving
}

// acceptsClients reports whether clients may connect to the balancer, which may consist of several processes. If
// another process accepts clients at the same address, a failed health check here would keep them from both.
func (avail *Availability) acceptsClients() bool {
	avail.mu.Lock()
	defer avail.mu.Unlock()
	return avail.state == serving || avail.state == stopping && avail.handedOver
}

// closesConnections reports whether connections close with their answers.
func (avail *Availability) closesConnections(now time.Time) bool {
	avail.mu.Lock()
	defer avail.mu.Unlock()
	return !avail.closeFrom.IsZero() && !now.Before(avail.closeFrom)
}

// tooLate reports whether a request that is complete now is deferred.
func (avail *Availability) tooLate(now time.Time) bool {
	avail.mu.Lock()
	defer avail.mu.Unlock()
	return !avail.deferFrom.IsZero() && !now.Before(avail.deferFrom)
}

// leavingFor returns the time since the last state change, and whether the given transition to leaving is still in
// effect.
func (avail *Availability) leavingFor(transitions int, now time.Time) (time.Duration, bool) {
	avail.mu.Lock()
	defer avail.mu.Unlock()
	return now.Sub(avail.stateSince), avail.state == leaving && avail.transitions == transitions
}

// Ready returns nil if this process accepts clients, otherwise the reason.
func (front *FrontEnd) Ready() error {
	switch {
	case !front.availability.isServing():
		return errors.New("leaving or stopping")
	case !front.routing.Load().hasList():
		return errors.New("no list of upstreams")
	case !front.accepting.Load():
		return errors.New("not accepting yet")
	}
	return nil
}

// Leave makes clients use other balancers: health checks fail, connections close with their answers, and those
// without a transaction close as late as the protocol allows. The process keeps running.
func (front *FrontEnd) Leave() error {
	changed, transitions, err := front.availability.transition(leaving, time.Now())
	if !changed {
		return err
	}
	front.log.Info("leave", "step", "begin", "clients", front.tracker.clients.Load())
	go func() {
		for {
			time.Sleep(sweepInterval)
			now := time.Now()
			elapsed, leaving := front.availability.leavingFor(transitions, now)
			if !leaving {
				return
			}
			if elapsed >= closeIdleAfter {
				front.tracker.closeIdleClients(now, elapsed >= closeAllAfter)
			}
		}
	}()
	return nil
}

// Join makes the process accept clients again.
func (front *FrontEnd) Join() error {
	changed, _, err := front.availability.transition(serving, time.Now())
	if changed {
		front.log.Info("leave", "step", "end", "clients", front.tracker.clients.Load())
	}
	return err
}
