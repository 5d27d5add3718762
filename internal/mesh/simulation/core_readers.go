package simulation

import "ottershift/internal/mesh/federation"

const watchInterval = 500 * Ms

// reader is a balancer that knows one process only. It takes a configuration where the process says that it is current.
type reader struct {
	w       *coreWorld
	process *coreProcess
}

// scheduleReaders deals the balancers out to the processes of the first start.
func (w *coreWorld) scheduleReaders() {
	for n := range w.Readers {
		r := &reader{w, w.processes[n%len(w.processes)]}
		w.After(int64(n)*watchInterval/int64(w.Readers), r.watch)
	}
}

// watch asks again and again, to the end of the day.
func (r *reader) watch() {
	w := r.w
	if w.Now > w.Length*9/10 {
		return
	}
	w.After(w.Delay, func() { w.arrive(message{to: r.process, deliver: r.answer}) })
	w.After(watchInterval, r.watch)
}

// answer is the process's: it is current as long as a majority's word is fresh, counted from before that was asked for.
func (r *reader) answer() {
	w, b := r.w, r.process
	if w.Now-b.confirmedAt >= federation.QuorumFreshness {
		return
	}
	w.day.Watched++
	floor := w.judge.newestAt(w.Now - federation.QuorumFreshness)
	if edition := b.memory.Decided.Edition; edition < floor {
		w.broke("old while current: process %d says that version %d is current, %d was acknowledged", b.number, edition, floor)
	}
}
