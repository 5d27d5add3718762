package proxy

import "time"

const (
	initialAvoidance = 3 * time.Second  // how long a controller is skipped after its first failure
	maxAvoidance     = 12 * time.Second // how long it is skipped at most after repeated failures
)

// controllerSelector selects the controller to ask next: the first in the order of preference that has not failed
// recently. The wait doubles with repeated failures, so that any number of failing controllers does not keep a healthy
// one further down from being asked.
type controllerSelector struct {
	byController map[string]controllerFailures
	maxAvoidance time.Duration
}

// controllerFailures counts the consecutive failures of a controller.
type controllerFailures struct {
	consecutive int
	lastAt      int64
}

// newControllerSelector returns a selector without recorded failures.
func newControllerSelector() *controllerSelector {
	return &controllerSelector{byController: map[string]controllerFailures{}, maxAvoidance: maxAvoidance}
}

// pick returns the controller to ask, or "" if none is known. If all have failed recently, it returns the one whose
// last failure is the oldest.
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

// retryAt returns the time from which a controller is asked again.
func (s *controllerSelector) retryAt(controller string) int64 {
	failures, failed := s.byController[controller]
	if !failed {
		return 0
	}
	avoidance := min(initialAvoidance<<min(failures.consecutive-1, 8), s.maxAvoidance)
	return failures.lastAt + int64(avoidance)
}

// failed records that a controller did not respond in time. The wait does not grow if the controller was asked before
// retryAt for lack of an alternative.
func (s *controllerSelector) failed(controller string, now int64) {
	consecutive := s.byController[controller].consecutive
	if now >= s.retryAt(controller) {
		consecutive++
	}
	s.byController[controller] = controllerFailures{consecutive, now}
}

// notCurrent records that a controller responded that it is not current. Such a response costs little time, so the
// controller is asked again soon.
func (s *controllerSelector) notCurrent(controller string, now int64) {
	s.byController[controller] = controllerFailures{1, now}
}

// succeeded clears the failures of a controller.
func (s *controllerSelector) succeeded(controller string) { delete(s.byController, controller) }
