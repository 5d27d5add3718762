package proxy

import (
	"slices"
	"sync"
	"time"

	"ottershift/internal/mesh/apierror"
	"ottershift/internal/mesh/membership"
	"ottershift/internal/mesh/outlier"
	"ottershift/internal/mesh/priority"
	"ottershift/internal/mesh/settings"
)

// maxUnanswered is the number of consecutive connection attempts without an answer after which the upstream counts as
// unreachable.
const maxUnanswered = 2

// localUpstream tracks the upstream on this machine from its heartbeats. An instance is one run of the upstream
// process. All requests to the upstream pass through this proxy, so an acknowledged closing is enforced here: once
// Drain has passed since then, no request gets through, whoever sends it.
type localUpstream struct {
	mu            sync.Mutex
	drain         time.Duration
	id            string   // of the present instance, "" for none
	endedIDs      []string // of previous instances, the last 8
	address       string
	reported      membership.Upstream
	revision      int64
	lastHeartbeat time.Time
	closingAt     time.Time                      // when the closing was acknowledged
	unreachable   bool                           // connections to its address are refused or not answered, or heartbeats are missing
	active        int                            // requests at the upstream
	queue         priority.Queue[waitingRequest] // requests that wait for a slot
	detector      outlier.Detector
	epoch         time.Time
	unanswered    int // consecutive connection attempts without an answer
	seq           uint64
	changed       chan struct{} // closed at the next change
}

// newLocalUpstream returns the state of an upstream that has sent no heartbeat yet.
func newLocalUpstream(drain time.Duration, app string) *localUpstream {
	return &localUpstream{drain: drain, address: app, changed: make(chan struct{}), epoch: time.Now()}
}

// heartbeat applies a heartbeat of the upstream. One that is out of order or belongs to an ended instance is ignored.
func (u *localUpstream) heartbeat(id string, message *heartbeatMessage, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if slices.Contains(u.endedIDs, id) || id == u.id && message.Status.PostmarkNo <= u.revision {
		return
	}
	cold, _ := settings.ParseDuration(message.Status.Cold_time)
	reported := membership.Upstream{
		ID: id, Service: message.Notice.Destination, Version: message.Notice.Edition, Capacity: message.Notice.Capacity,
		Draining: message.Status.Condition == "closing", WarmupRemaining: int64(cold),
	}
	first := id != u.id
	if first {
		u.endCurrent()
		u.id, u.closingAt, u.active, u.detector = id, time.Time{}, 0, outlier.Detector{}
	}
	reported.OutlierLevel = u.detector.Level()
	if reported.Draining && u.closingAt.IsZero() {
		u.closingAt = now
		if first { // a previous proxy process may have acknowledged the closing, and Drain counts from then
			u.closingAt = now.Add(-u.drain)
		}
	}
	normalized := reported
	normalized.WarmupRemaining = u.reported.WarmupRemaining
	altered := normalized != u.reported || u.unreachable
	u.reported, u.revision, u.lastHeartbeat, u.unreachable, u.unanswered = reported, message.Status.PostmarkNo, now, false, 0
	if message.Address != "" {
		u.address = message.Address
	}
	if altered {
		u.notify()
	}
}

// signOff ends an instance.
func (u *localUpstream) signOff(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if id == u.id {
		u.endCurrent()
		u.notify()
	}
}

// endCurrent marks the present instance as ended, so that later messages about it are ignored. The caller holds mu.
func (u *localUpstream) endCurrent() {
	if u.id != "" {
		u.endedIDs = append(u.endedIDs, u.id)
		u.endedIDs = u.endedIDs[max(0, len(u.endedIDs)-8):]
	}
	u.id, u.reported = "", membership.Upstream{}
}

// observe records the outcome of a request at the upstream for outlier detection.
func (u *localUpstream) observe(id string, failed bool, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if id != u.id || id == "" {
		return
	}
	u.unanswered = 0
	u.publishLevel(u.detector.Observe(failed, int64(now.Sub(u.epoch))))
}

// publishLevel notifies watchers if the outlier level has changed. The caller holds mu.
func (u *localUpstream) publishLevel(changed bool) {
	if changed && u.reported.OutlierLevel != u.detector.Level() {
		u.reported.OutlierLevel = u.detector.Level()
		u.notify()
	}
}

// recordNoAnswer records that a connection attempt to the upstream timed out. A host that is down does not refuse
// connections.
func (u *localUpstream) recordNoAnswer(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if id != u.id || u.unreachable {
		return
	}
	if u.unanswered++; u.unanswered >= maxUnanswered {
		u.unreachable = true // until the next heartbeat
		u.notify()
	}
}

// recordRefused records that the upstream's address refused a connection.
func (u *localUpstream) recordRefused(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if id == u.id && !u.unreachable {
		u.unreachable = true
		u.notify()
	}
}

// checkHeartbeat marks the upstream as unreachable if its last heartbeat is older than timeout, and refreshes the
// outlier level.
func (u *localUpstream) checkHeartbeat(now time.Time, timeout time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.id != "" && !u.unreachable && now.Sub(u.lastHeartbeat) > timeout {
		u.unreachable = true
		u.notify()
	}
	u.publishLevel(u.detector.Refresh(int64(now.Sub(u.epoch))))
}

// notify wakes the goroutines that wait for a change of the reported state. The caller holds mu.
func (u *localUpstream) notify() {
	u.seq++
	close(u.changed)
	u.changed = make(chan struct{})
}

// wakeWatchers makes the watch report the node's state again.
func (u *localUpstream) wakeWatchers() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.notify()
}

// snapshot returns the state that is reported to the controllers, nil if the upstream is not available, and a channel
// that is closed at the next change.
func (u *localUpstream) snapshot() (reported *membership.Upstream, seq uint64, changed <-chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.id == "" || u.unreachable {
		return nil, u.seq, u.changed
	}
	copied := u.reported
	if elapsed := int64(time.Since(u.lastHeartbeat)); copied.WarmupRemaining > 0 {
		copied.WarmupRemaining = max(0, copied.WarmupRemaining-elapsed)
	}
	return &copied, u.seq, u.changed
}

// addressOf returns the address for a request to an instance, regardless of free slots. The caller holds mu.
func (u *localUpstream) addressOf(id string, now time.Time) (address string, kind apierror.Kind) {
	switch {
	case u.id != "" && id != u.id:
		return "", apierror.Misdirected
	case u.id == "" && slices.Contains(u.endedIDs, id):
		return "", apierror.Misdirected
	case !u.closingAt.IsZero() && now.Sub(u.closingAt) > u.drain*3/4: // the last quarter of Drain is for requests under way
		return "", apierror.Misdirected
	case u.unreachable:
		return "", apierror.NoCapacity
	}
	return u.address, apierror.None
}
