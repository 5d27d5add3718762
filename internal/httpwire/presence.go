package httpwire

import (
	"errors"
	"sync"
	"time"
)

const (
	untilNoticed = 300 * time.Millisecond  // after LEAVE new clients may still come
	idleUntil    = 1700 * time.Millisecond // then what lies idle is closed
	lateFrom     = 1900 * time.Millisecond // what has its last byte later is deferred
	sparedUntil  = 3400 * time.Millisecond // then whatever has no transaction is closed
	sweepEvery   = 50 * time.Millisecond
)

type step uint8

const (
	serving  step = iota
	leaving       // LEAVE came; JOIN leads back
	stopping      // SIGTERM came
)

// Presence is whether a balancer takes clients. Health at both addresses, what SIGTERM and the second address ask for, and
// the closing of connections all go by it.
type Presence struct {
	mu      sync.Mutex
	step    step
	at      time.Time // when that began
	parting time.Time // from then on connections end with their answers; zero for never
	late    time.Time // from then on what comes is deferred; zero for never
	relayed bool      // stopping, and another process goes on taking clients
	round   int       // how often it turned
}

// turn goes to leaving or back to serving, and tells whether that is news, and the how manieth time it is.
func (p *Presence) turn(to step, now time.Time) (news bool, round int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.step == stopping {
		return false, 0, errors.New("stopping")
	}
	if p.step == to {
		return false, 0, nil
	}
	p.step, p.at, p.parting, p.late = to, now, time.Time{}, time.Time{}
	if to == leaving {
		p.parting, p.late = now.Add(untilNoticed), now.Add(lateFrom)
	}
	p.round++
	return true, p.round, nil
}

// stop ends it, for good. Connections end with their answers from a moment on, or from one that was set before.
func (p *Presence) stop(now, parting time.Time, relayed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.step == leaving {
		parting, relayed = now, false
	}
	p.step, p.at, p.parting, p.late, p.relayed = stopping, now, parting, time.Time{}, relayed
}

// serves reports whether this process takes clients.
func (p *Presence) serves() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.step == serving
}

// takes reports whether clients may come to the balancer that this process is, or is one of. Danger: where another
// process takes them under the same address, a no from this one would keep them from both.
func (p *Presence) takes() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.step == serving || p.step == stopping && p.relayed
}

// parts reports whether connections end with their answers.
func (p *Presence) parts(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.parting.IsZero() && !now.Before(p.parting)
}

// tooLate reports whether a transaction that is whole now has come too late to be taken.
func (p *Presence) tooLate(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.late.IsZero() && !now.Before(p.late)
}

// since tells how long ago a round of leaving began, and whether it still goes on.
func (p *Presence) since(round int, now time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.at), p.step == leaving && p.round == round
}

// Takes is nil if clients may come to this process, else why not.
func (f *Front) Takes() error {
	switch {
	case !f.presence.serves():
		return errors.New("leaving or stopping")
	case !f.board.Load().stands():
		return errors.New("no list of upstreams")
	case !f.accepts.Load():
		return errors.New("not accepting yet")
	}
	return nil
}

// Leave has clients go elsewhere: health says no, connections end with their answers, and those without a transaction
// are closed as late as allowed. Nothing else changes, and the process stays.
func (f *Front) Leave() error {
	news, round, err := f.presence.turn(leaving, time.Now())
	if !news {
		return err
	}
	f.log.Info("leave", "step", "begin", "clients", f.sockets.in.Load())
	go func() {
		for {
			time.Sleep(sweepEvery)
			now := time.Now()
			past, on := f.presence.since(round, now)
			if !on {
				return
			}
			if past >= idleUntil {
				f.sockets.sweep(now, past >= sparedUntil)
			}
		}
	}()
	return nil
}

// Join takes clients again.
func (f *Front) Join() error {
	news, _, err := f.presence.turn(serving, time.Now())
	if news {
		f.log.Info("leave", "step", "end", "clients", f.sockets.in.Load())
	}
	return err
}
