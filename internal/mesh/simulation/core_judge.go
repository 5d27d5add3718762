package simulation

import (
	"slices"

	"ottershift/internal/mesh/consensus"
)

// keeps notes how many disks hold the newest version that was acknowledged: the fewest that ever did is how near a day came
// to a loss.
func (w *coreWorld) keeps() {
	if w.newest == 0 {
		return
	}
	n := 0
	for _, b := range w.processes {
		if b.disk.Decided.Edition >= w.newest || b.disk.Accepted != nil && b.disk.Accepted.Value.Edition >= w.newest {
			n++
		}
	}
	if w.day.Fewest == 0 || n < w.day.Fewest {
		w.day.Fewest = max(n, 1)
	}
}

// final reads once more, with everything mended: what was acknowledged is there, and the core answers.
func (w *coreWorld) final() {
	answered := false
	for n := 0; n < 8 && !answered; n++ {
		b := w.processes[n%len(w.processes)]
		w.read(b, func(s *consensus.State, ok bool) {
			if !ok || answered {
				return
			}
			answered = true
			if s.Edition < w.newest {
				w.fault("lost: version %d was acknowledged, %d is read", w.newest, s.Edition)
			}
			for version := range w.taken {
				if !slices.ContainsFunc(s.AppliedChanges, func(t consensus.AppliedChange) bool { return t.Edition == version }) {
					w.fault("lost: version %d was acknowledged and is not among those taken", version)
				}
			}
		})
		w.Run(w.Now + 2*S)
	}
	if !answered {
		w.fault("no answer: a core that has all it needs does not read")
	}
}
