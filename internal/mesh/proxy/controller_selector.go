package proxy

import "time"

const (
	initialAvoidance = 3 * time.Second  // for which a controller is not asked after it failed once
	maxAvoidance     = 12 * time.Second // and after it failed again and again
)

// controllerSelector says which controller is asked next: the first in the order of preference that has not failed of late. One that
// goes on failing is asked less and less often, so that any number of them in front of a sound one does not keep it from being asked.
type controllerSelector struct {
	byController map[string]controllerFailures
	maxAvoidance time.Duration
}

type controllerFailures struct {
	consecutive int
	lastAt      int64
}

func newControllerSelector() *controllerSelector {
	return &controllerSelector{byController: map[string]controllerFailures{}, maxAvoidance: maxAvoidance}
}

// pick is the controller to ask, "" where none is known. Where all have failed of late, it is the one whose turn comes first.
func (s *controllerSelector) pick(controllers []string, now int64) (controller string) {
	for _, candidate := range controllers {
		if s.retryAt(candidate) <= now {
			return candidate
		}
	}
	for _, candidate := range controllers {
		if controller == "" || s.byController[candidate].lastAt < s.byController[controller].lastAt {
			controller = candidate
		}
	}
	return controller
}

func (s *controllerSelector) retryAt(controller string) int64 {
	failures, failed := s.byController[controller]
	if !failed {
		return 0
	}
	avoidance := min(initialAvoidance<<min(failures.consecutive-1, 8), s.maxAvoidance)
	return failures.lastAt + int64(avoidance)
}

// failed notes that a controller did not answer in time. One that was asked before its turn, since there was nobody else, is not
// avoided for longer by that.
func (s *controllerSelector) failed(controller string, now int64) {
	consecutive := s.byController[controller].consecutive
	if now >= s.retryAt(controller) {
		consecutive++
	}
	s.byController[controller] = controllerFailures{consecutive, now}
}

// notCurrent notes that a controller answered that it is not current. To hear that takes no time, so it is asked again soon.
func (s *controllerSelector) notCurrent(controller string, now int64) {
	s.byController[controller] = controllerFailures{1, now}
}

func (s *controllerSelector) succeeded(controller string) { delete(s.byController, controller) }
