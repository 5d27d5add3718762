package proxy

import "time"

const (
	avoidFirst = 3 * time.Second  // for which a controller is not asked after it failed once
	avoidMost  = 12 * time.Second // and after it failed again and again
)

// controllerChoice says which controller is asked next: the first in the order of preference that has not failed of late. One that
// goes on failing is asked less and less often, so that any number of them in front of a sound one does not keep it from being asked.
type controllerChoice struct {
	failures  map[string]controllerFailures
	avoidMost time.Duration
}

type controllerFailures struct {
	inARow int
	last   int64
}

func newControllerChoice() *controllerChoice {
	return &controllerChoice{failures: map[string]controllerFailures{}, avoidMost: avoidMost}
}

// pick is the controller to ask, "" where none is known. Where all have failed of late, it is the one whose turn comes first.
func (c *controllerChoice) pick(known []string, now int64) (at string) {
	for _, candidate := range known {
		if c.askAgainAt(candidate) <= now {
			return candidate
		}
	}
	for _, candidate := range known {
		if at == "" || c.failures[candidate].last < c.failures[at].last {
			at = candidate
		}
	}
	return at
}

func (c *controllerChoice) askAgainAt(at string) int64 {
	f, failed := c.failures[at]
	if !failed {
		return 0
	}
	avoid := min(avoidFirst<<min(f.inARow-1, 8), c.avoidMost)
	return f.last + int64(avoid)
}

// failed notes that a controller did not answer in time. One that was asked before its turn, since there was nobody else, is not
// avoided for longer by that.
func (c *controllerChoice) failed(at string, now int64) {
	inARow := c.failures[at].inARow
	if now >= c.askAgainAt(at) {
		inARow++
	}
	c.failures[at] = controllerFailures{inARow, now}
}

// notCurrent notes that a controller answered that it is not current. To hear that takes no time, so it is asked again soon.
func (c *controllerChoice) notCurrent(at string, now int64) {
	c.failures[at] = controllerFailures{1, now}
}

func (c *controllerChoice) succeeded(at string) { delete(c.failures, at) }
