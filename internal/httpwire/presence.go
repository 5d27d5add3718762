package httpwire

import (
	"errors"
	"sync"
	"time"
)

const (
	noticeTime     = 300 * time.Millisecond  // after LEAVE new clients may still come
	closeIdleAfter = 1700 * time.Millisecond // then what lies idle is closed
	deferAfter     = 1900 * time.Millisecond // what has its last byte later is deferred
	closeAllAfter  = 3400 * time.Millisecond // then whatever has no transaction is closed
	sweepInterval  = 50 * time.Millisecond
)

type lifecycle uint8

const (
	serving  lifecycle = iota
	leaving            // LEAVE came; JOIN leads back
	stopping           // SIGTERM came
)

// Availability is whether a balancer takes clients. Health at both addresses, what SIGTERM and the second address ask for, and
// the closing of connections all go by it.
type Availability struct {
	mu          sync.Mutex
	state       lifecycle
	stateSince  time.Time // when that began
	closeFrom   time.Time // from then on connections end with their answers; zero for never
	deferFrom   time.Time // from then on what comes is deferred; zero for never
	handedOver  bool      // stopping, and another process goes on taking clients
	transitions int       // how often it turned
}

// transition goes to leaving or back to serving, and tells whether that is news, and the how manieth time it is.
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

// stop ends it, for good. Connections end with their answers from a moment on, or from one that was set before.
func (avail *Availability) stop(now, closeFrom time.Time, handedOver bool) {
	avail.mu.Lock()
	defer avail.mu.Unlock()
	if avail.state == leaving {
		closeFrom, handedOver = now, false
	}
	avail.state, avail.stateSince, avail.closeFrom, avail.deferFrom, avail.handedOver = stopping, now, closeFrom, time.Time{}, handedOver
}

// isServing reports whether this process takes clients.
func (avail *Availability) isServing() bool {
	avail.mu.Lock()
	defer avail.mu.Unlock()
	return avail.state == serving
}

// acceptsClients reports whether clients may come to the balancer that this process is, or is one of. Danger: where another
// process takes them under the same address, a no from this one would keep them from both.
func (avail *Availability) acceptsClients() bool {
	avail.mu.Lock()
	defer avail.mu.Unlock()
	return avail.state == serving || avail.state == stopping && avail.handedOver
}

// closesConnections reports whether connections end with their answers.
func (avail *Availability) closesConnections(now time.Time) bool {
	avail.mu.Lock()
	defer avail.mu.Unlock()
	return !avail.closeFrom.IsZero() && !now.Before(avail.closeFrom)
}

// tooLate reports whether a transaction that is whole now has come too late to be taken.
func (avail *Availability) tooLate(now time.Time) bool {
	avail.mu.Lock()
	defer avail.mu.Unlock()
	return !avail.deferFrom.IsZero() && !now.Before(avail.deferFrom)
}

// leavingFor tells how long ago a round of leaving began, and whether it still goes on.
func (avail *Availability) leavingFor(transitions int, now time.Time) (time.Duration, bool) {
	avail.mu.Lock()
	defer avail.mu.Unlock()
	return now.Sub(avail.stateSince), avail.state == leaving && avail.transitions == transitions
}

// Ready is nil if clients may come to this process, else why not.
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

// Leave has clients go elsewhere: health says no, connections end with their answers, and those without a transaction
// are closed as late as allowed. Nothing else changes, and the process stays.
func (front *FrontEnd) Leave() error {
	changed, transitions, err := front.availability.transition(leaving, time.Now())
	if !changed {
		return err
	}
	front.log.Info("leave", "step", "begin", "clients", front.conns.clients.Load())
	go func() {
		for {
			time.Sleep(sweepInterval)
			now := time.Now()
			elapsed, leaving := front.availability.leavingFor(transitions, now)
			if !leaving {
				return
			}
			if elapsed >= closeIdleAfter {
				front.conns.closeIdleClients(now, elapsed >= closeAllAfter)
			}
		}
	}()
	return nil
}

// Join takes clients again.
func (front *FrontEnd) Join() error {
	changed, _, err := front.availability.transition(serving, time.Now())
	if changed {
		front.log.Info("leave", "step", "end", "clients", front.conns.clients.Load())
	}
	return err
}
