package simulation

// call is an operator's call: to one process, and after silence, a refused connection or an unclear answer to the next,
// with the same words. Answers that come late count all the same.
type call struct {
	w        *coreWorld
	first    int
	calls    int // so many at most
	made     int
	over     bool
	handle   func(b *coreProcess, respond func(answer))
	answered func(answer) // each clear answer
	ended    func()       // with a clear answer or without
}

// next calls the next process.
func (c *call) next() {
	if c.over {
		return
	}
	if c.made == c.calls {
		c.over = true
		c.ended()
		return
	}
	listed := c.w.listed()
	b := listed[(c.first+c.made)%len(listed)]
	c.made++
	left := false
	leave := func() {
		if !left {
			left = true
			c.w.After(callPause, c.next)
		}
	}
	c.w.After(callTimeout, leave)
	c.w.After(c.w.Delay, func() {
		c.w.arrive(message{to: b, deliver: func() { c.arrived(b, leave) }, refused: leave})
	})
}

// listLag is how late operators' list of processes is.
const listLag = 3 * S

// listed are the processes that operators know of.
func (w *coreWorld) listed() []*coreProcess {
	all := make([]*coreProcess, 0, len(w.processes))
	for _, b := range w.processes {
		if !b.retired || w.Now-b.retiredAt < listLag {
			all = append(all, b)
		}
	}
	return all
}

// arrived is the call at a process; its answer may get lost or come late.
func (c *call) arrived(b *coreProcess, leave func()) {
	came := c.w.Now
	c.handle(b, func(a answer) {
		if a.verdict != unclear {
			c.w.observeAnswer(b, came, a.String())
		}
		later := c.w.Delay
		switch chance := c.w.net.Float64(); {
		case chance < c.w.AnswersLost:
			return
		case chance < c.w.AnswersLost+c.w.AnswersLate:
			later += answersLateBy + int64(c.w.net.Float64()*float64(answersLateMost-answersLateBy))
		}
		c.w.After(later, func() { c.receive(a, leave) })
	})
}

func (c *call) receive(a answer, leave func()) {
	if a.verdict == unclear {
		leave()
		return
	}
	c.answered(a)
	if !c.over {
		c.over = true
		c.ended()
	}
}

// String is what a process did to the call.
func (v verdict) String() string {
	return [...]string{unclear: "left open", accepted: "confirmed", refused: "refused"}[v]
}
