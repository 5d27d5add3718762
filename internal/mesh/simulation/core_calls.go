package simulation

// call is an operator's call: to one process, and after silence, a refused connection or an unclear answer to the next,
// with the same words. Answers that come late count all the same.
type call struct {
	sim         *coreSimulation
	first       int
	maxAttempts int // so many at most
	attempts    int
	done        bool
	handle      func(b *coreProcess, respond func(callResponse))
	onResponse  func(callResponse) // each clear answer
	onEnd       func()             // with a clear answer or without
}

// tryNext calls the next process.
func (call *call) tryNext() {
	if call.done {
		return
	}
	if call.attempts == call.maxAttempts {
		call.done = true
		call.onEnd()
		return
	}
	listed := call.sim.listedProcesses()
	proc := listed[(call.first+call.attempts)%len(listed)]
	call.attempts++
	left := false
	leave := func() {
		if !left {
			left = true
			call.sim.After(callPause, call.tryNext)
		}
	}
	call.sim.After(callTimeout, leave)
	call.sim.After(call.sim.Delay, func() {
		call.sim.arrive(message{to: proc, deliver: func() { call.deliver(proc, leave) }, refused: leave})
	})
}

// processListDelay is how late operators' list of processes is.
const processListDelay = 3 * S

// listedProcesses are the processes that operators know of.
func (sim *coreSimulation) listedProcesses() []*coreProcess {
	all := make([]*coreProcess, 0, len(sim.processes))
	for _, proc := range sim.processes {
		if !proc.retired || sim.Now-proc.retiredAt < processListDelay {
			all = append(all, proc)
		}
	}
	return all
}

// deliver is the call at a process; its answer may get lost or come late.
func (call *call) deliver(proc *coreProcess, leave func()) {
	came := call.sim.Now
	call.handle(proc, func(a callResponse) {
		if a.responseStatus != statusUnknown {
			call.sim.observeResponse(proc, came, a.String())
		}
		later := call.sim.Delay
		switch chance := call.sim.networkRand.Float64(); {
		case chance < call.sim.AnswersLost:
			return
		case chance < call.sim.AnswersLost+call.sim.AnswersLate:
			later += minLateResponse + int64(call.sim.networkRand.Float64()*float64(maxLateResponse-minLateResponse))
		}
		call.sim.After(later, func() { call.receive(a, leave) })
	})
}

func (call *call) receive(a callResponse, leave func()) {
	if a.responseStatus == statusUnknown {
		leave()
		return
	}
	call.onResponse(a)
	if !call.done {
		call.done = true
		call.onEnd()
	}
}

// String is what a process did to the call.
func (status responseStatus) String() string {
	return [...]string{statusUnknown: "left open", statusAccepted: "confirmed", statusRejected: "refused"}[status]
}
