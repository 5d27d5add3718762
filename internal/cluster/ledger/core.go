package ledger

import "time"

// Flow is what one member has under way at one group of keepers: claims that wait for their word, ends that are told when it
// suits. It has no I/O; time is nanoseconds on this member's monotonic clock.
type Flow struct {
	Within time.Duration // a batch without an answer for so long says that the keepers are not reached
	Lag    time.Duration // that an end waits at most for company
	Most   int           // keys in this group

	claims []*Asked
	ends   []Op
	since  int64 // that the oldest end waits
	out    map[int]*Sent
	next   int
	number uint64 // of the last new claim
	down   bool
	asked  int64 // that keepers were asked last whether they are there
}

// Asked is a claim on its way.
type Asked struct {
	Op   Op
	Done func(Res, error) // once, unless it is abandoned
	gone bool             // it was told, or nobody waits for it any more
}

// Sent is a batch on its way.
type Sent struct {
	ID     int
	Batch  Batch
	claims []*Asked // the first so many ops
	at     int64
}

const (
	mostBatches = 4   // on their way
	mostOps     = 256 // in a batch
	probes      = 100 * time.Millisecond
)

// NewFlow makes one.
func NewFlow(within, lag time.Duration, most int) *Flow {
	return &Flow{Within: within, Lag: lag, Most: most, out: map[int]*Sent{}}
}

// Claim takes a claim to send. One that isn't granted yet under a number of its own gets the next.
func (f *Flow) Claim(a *Asked) {
	if a.Op.Number == 0 {
		f.number++
		a.Op.Number = f.number
	}
	f.claims = append(f.claims, a)
}

// low is the number under which nothing is undecided any more.
func (f *Flow) low() uint64 {
	n := f.number + 1
	for _, a := range f.claims {
		n = min(n, a.Op.Number)
	}
	for _, s := range f.out {
		for _, a := range s.claims {
			n = min(n, a.Op.Number)
		}
	}
	return n
}

// Abandon says that nobody waits for a claim any more: it is not sent, or what it comes to is let go.
func (f *Flow) Abandon(a *Asked) {
	if a.gone {
		return
	}
	a.gone = true
	for i, b := range f.claims {
		if b == a {
			f.claims = append(f.claims[:i:i], f.claims[i+1:]...)
			return
		}
	} // else it is on its way. Danger: an end that overtakes it would leave it open for good; so that waits for its batch
}

// End takes an end to tell.
func (f *Flow) End(o Op, now int64) {
	if len(f.ends) == 0 {
		f.since = now
	}
	f.ends = append(f.ends, o)
}

// Next is a batch that is to go now, nil for none; at is when there may be one, 0 if that hangs on what comes.
func (f *Flow) Next(now int64) (s *Sent, at int64) {
	due := len(f.ends) > 0 && now >= f.since+int64(f.Lag)
	if len(f.claims) == 0 && !due || len(f.out) >= mostBatches {
		if len(f.ends) > 0 && len(f.out) < mostBatches {
			at = f.since + int64(f.Lag)
		}
		return nil, at
	}
	f.next++
	s = &Sent{ID: f.next, at: now, Batch: Batch{Most: f.Most, Low: f.low()}}
	n := min(len(f.claims), mostOps)
	s.claims, f.claims = f.claims[:n:n], f.claims[n:]
	for _, a := range s.claims {
		s.Batch.Ops = append(s.Batch.Ops, a.Op)
	}
	n = min(len(f.ends), mostOps)
	s.Batch.Ops, f.ends = append(s.Batch.Ops, f.ends[:n]...), f.ends[n:]
	f.since = now
	f.out[s.ID] = s
	return s, 0
}

// Answered takes what became of a batch. Over says that the run was ended: what it held is known to be unknown.
func (f *Flow) Answered(s *Sent, r *Results, err error, over bool, now int64) {
	delete(f.out, s.ID)
	if err == nil && len(r.All) != len(s.Batch.Ops) {
		err = errShort
	}
	f.down = err != nil
	if f.down {
		f.asked = now
	}
	for i, a := range s.claims {
		var res Res
		if err == nil {
			res = r.All[i]
		}
		if err != nil || a.gone && res.Code == Granted {
			// Danger: it may have been granted: without its end others would wait for it for good.
			f.End(Op{What: end, Key: a.Op.Key, Number: a.Op.Number, How: EndNever}, now)
		}
		if !a.gone {
			a.gone = true
			a.Done(res, err)
		}
	}
	switch {
	case over:
		f.ends = nil
	case err != nil:
		f.ends = append(append([]Op(nil), s.Batch.Ops[len(s.claims):]...), f.ends...)
		f.since = now
	}
}

// Down reports whether the keepers are not reached as far as is known: a batch failed, or has waited for too long.
func (f *Flow) Down(now int64) bool {
	if f.down {
		return true
	}
	for _, s := range f.out {
		if now-s.at > int64(f.Within) {
			return true
		}
	}
	return false
}

// Probe reports whether keepers are to be asked whether they are there; Probed takes the answer.
func (f *Flow) Probe(now int64) bool {
	if !f.down || now-f.asked < int64(probes) {
		return false
	}
	f.asked = now
	return true
}

// Probed implements that.
func (f *Flow) Probed(ok bool) { f.down = f.down && !ok }

// Open is what waits and what is out.
func (f *Flow) Open() (claims, ends, batches int) { return len(f.claims), len(f.ends), len(f.out) }
