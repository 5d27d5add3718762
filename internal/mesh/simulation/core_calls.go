package simulation

// call is an operator's call. It goes to one controller; after a timeout, a refused connection or an unclear response
// it goes to the next one with the same content. Late responses count as well.
type call struct {
	sim         *coreSimulation
	first       int
	maxAttempts int // on controllers
	attempts    int
	done        bool
	handle      func(proc *coreProcess, respond func(callResponse))
	onResponse  func(callResponse) // called with each clear response
	onEnd       func()             // called once, with or without a clear response
}

// tryNext calls the next controller.
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
	movedOn := false
	moveOn := func() {
		if !movedOn {
			movedOn = true
			call.sim.After(callPause, call.tryNext)
		}
	}
	call.sim.After(callTimeout, moveOn)
	call.sim.After(call.sim.Delay, func() {
		call.sim.arrive(message{to: proc, deliver: func() { call.deliver(proc, moveOn) }, refused: moveOn})
	})
}

// processListDelay is how long operators still list a controller that is gone.
const processListDelay = 3 * Second

// listedProcesses returns the controllers that operators know.
func (sim *coreSimulation) listedProcesses() []*coreProcess {
	all := make([]*coreProcess, 0, len(sim.processes))
	for _, proc := range sim.processes {
		if !proc.retired || sim.Now-proc.retiredAt < processListDelay {
			all = append(all, proc)
		}
	}
	return all
}

// deliver runs the call at a controller. The response may be lost or late.
func (call *call) deliver(proc *coreProcess, moveOn func()) {
	arrivedAt := call.sim.Now
	call.handle(proc, func(response callResponse) {
		if response.responseStatus != statusUnknown {
			call.sim.observeResponse(proc, arrivedAt, response.String())
		}
		delay := call.sim.Delay
		switch draw := call.sim.networkRand.Float64(); {
		case draw < call.sim.LostResponses:
			return
		case draw < call.sim.LostResponses+call.sim.LateResponses:
			delay += minLateResponse + int64(call.sim.networkRand.Float64()*float64(maxLateResponse-minLateResponse))
		}
		call.sim.After(delay, func() { call.receive(response, moveOn) })
	})
}

func (call *call) receive(response callResponse, moveOn func()) {
	if response.responseStatus == statusUnknown {
		moveOn()
		return
	}
	call.onResponse(response)
	if !call.done {
		call.done = true
		call.onEnd()
	}
}

// String returns what a controller did with the call, as a verb for violation messages.
func (status responseStatus) String() string {
	return [...]string{statusUnknown: "left open", statusAccepted: "confirmed", statusRejected: "refused"}[status]
}
