package simulation

// link is one direction between two processes, by their numbers.
type link struct{ from, to int }

// message is what travels on a link. Deliver runs at the receiver, in whatever life it has by then; refused, where it is not
// nil, at the sender if nothing listens at the receiver's port.
type message struct {
	from, to *coreProcess
	deliver  func()
	refused  func()
}

// oneInTwenty messages is carried twice.
const oneInTwenty = 20

// send carries a message, unless it is lost.
func (w *coreWorld) send(m message) {
	for copies := 1 + w.net.IntN(oneInTwenty)/(oneInTwenty-1); copies > 0; copies-- {
		if m.from == m.to {
			w.After(0, func() { w.arrive(m) })
			continue
		}
		if w.net.Float64() < w.Loss || w.severed(m.from, m.to) {
			continue
		}
		w.After(w.latency(), func() { w.arrive(m) })
	}
}

func (w *coreWorld) latency() int64 { return w.Delay + int64(w.net.Float64()*float64(w.Jitter)) }

// severed reports whether nothing gets from one process to another.
func (w *coreWorld) severed(from, to *coreProcess) bool {
	return w.Now < from.mutedUntil || w.Now < to.deafUntil || w.Now < w.linkCuts[link{from.number, to.number}]
}

// arrive hands a message to its receiver, or has its port refuse it. A machine without power says nothing.
func (w *coreWorld) arrive(m message) {
	to := m.to
	switch {
	case !to.powered:
	case !to.up, w.Now < to.refusesUntil && m.from != to:
		w.refuse(m)
	case w.Now < to.frozenUntil:
		w.After(to.frozenUntil-w.Now, func() { w.arrive(m) })
	default:
		w.process(to, m.deliver)
	}
}

func (w *coreWorld) refuse(m message) {
	if m.refused == nil || m.from != nil && w.severed(m.to, m.from) {
		return
	}
	w.After(w.Delay, m.refused)
}

// process has a machine handle what has arrived; a slowed machine takes its time, one message after the other.
func (w *coreWorld) process(b *coreProcess, do func()) {
	slower := b.slowMachine.at(w.Now)
	if slower == 1 && b.machineFree <= w.Now {
		do()
		return
	}
	b.machineFree = max(b.machineFree, w.Now) + w.Handling*slower
	w.after(b, b.machineFree-w.Now, do)
}
