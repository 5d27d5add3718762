package simulation

import (
	"errors"
	"fmt"

	"ottershift/internal/mesh/consensus"
)

var errStale = errors.New("stale")

// operators call one process after the other: changes on top of what they last saw, the same one again after silence, and
// reads.
func (w *coreWorld) operators() {
	chance := w.Chance("operators")
	last := int64(0) // the version that was last seen by anybody
	for n := range w.Puts {
		at := int64(chance.Float64() * float64(w.Length*8/10))
		w.After(at, func() {
			base := last
			version := base + int64(1+chance.IntN(3))
			digest := fmt.Sprint("put-", n)
			op := Op{Client: n, On: base, Put: version, Call: w.Now}
			w.call(chance.IntN(len(w.processes)), 0, func(b *coreProcess, done func(bool)) {
				w.change(b, w.Now+900*Ms, 0, func(s *consensus.State) (*consensus.State, error) {
					if s.HasApplied(version, digest) {
						return nil, nil
					}
					if s.Edition != base {
						return nil, errStale
					}
					return s.WithConfiguration(version, nil, digest), nil
				}, func(s *consensus.State, err error, ok bool) {
					if ok {
						op.OK, op.Stale = err == nil, err != nil
					}
					if done(ok); op.OK {
						w.strike(b)
					}
				})
			}, func(ok bool) {
				op.Back = w.Now
				w.day.History = append(w.day.History, op)
				switch {
				case op.OK:
					w.day.Acked++
					w.day.Took = append(w.day.Took, op.Back-op.Call)
					if w.taken[version] {
						w.fault("version %d acknowledged to two", version)
					}
					w.taken[version] = true
					w.newest = max(w.newest, version)
					last = max(last, version)
				case op.Stale:
					w.day.Stale++
				default:
					w.day.Unclear++
				}
			})
		})
	}
	for n := range w.Reads {
		at := int64(chance.Float64() * float64(w.Length*9/10))
		w.After(at, func() {
			op := Op{Client: w.Puts + n, Read: true, Call: w.Now}
			floor := w.newest
			w.call(chance.IntN(len(w.processes)), 0, func(b *coreProcess, done func(bool)) {
				w.read(b, func(s *consensus.State, ok bool) {
					if ok {
						op.OK, op.Got = true, s.Edition
					}
					done(ok)
				})
			}, func(ok bool) {
				op.Back = w.Now
				if ok {
					w.day.Read++
					if op.Got < floor {
						w.fault("old read: version %d was acknowledged before it was called, %d is read", floor, op.Got)
					}
					last = max(last, op.Got)
					w.day.History = append(w.day.History, op)
				}
			})
		})
	}
}

// read asks for the newest state beyond doubt.
func (w *coreWorld) read(b *coreProcess, done func(*consensus.State, bool)) {
	s := b.mem.Decided
	if w.OldRead {
		done(s, s.Edition > 0)
		return
	}
	settle := func() {
		w.change(b, w.Now+900*Ms, 0, func(*consensus.State) (*consensus.State, error) { return nil, nil },
			func(s *consensus.State, _ error, ok bool) { done(s, ok) })
	}
	r, ask := consensus.NewMajorityRead(s)
	w.ask(b, s, ask, 400*Ms, func(a consensus.Response) bool {
		if !r.HandleResponse(a) {
			return false
		}
		if r.Newest() {
			done(s, true)
		} else {
			if ahead := r.Ahead(); ahead != nil {
				w.handle(b, consensus.Request{Kind: consensus.Learn, Value: ahead}, func(consensus.Response) {})
			}
			settle()
		}
		return true
	}, settle)
}

// call has an operator call a process, and after a second of silence or an unclear answer the next, with the same words.
func (w *coreWorld) call(first, tries int, do func(b *coreProcess, done func(bool)), end func(ok bool)) {
	if tries == 4 {
		end(false)
		return
	}
	b := w.processes[(first+tries)%len(w.processes)]
	over := false
	next := func() {
		if !over {
			over = true
			w.After(50*Ms, func() { w.call(first, tries+1, do, end) })
		}
	}
	w.After(S, next)
	w.After(w.Delay, func() {
		w.arrive(b, func() {
			do(b, func(ok bool) {
				w.After(w.Delay, func() {
					if over {
						return
					}
					if !ok {
						next()
						return
					}
					over = true
					end(true)
				})
			})
		})
	})
}
