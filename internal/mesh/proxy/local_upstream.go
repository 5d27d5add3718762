package proxy

import (
	"sync"
	"time"

	"ottershift/internal/mesh/apierror"
	"ottershift/internal/mesh/membership"
	"ottershift/internal/mesh/outlier"
	"ottershift/internal/mesh/priority"
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
	id            string // of the present instance, "" for none
	instances     instanceHistory
	learning      bool            // the departures before this process are not known yet
	held          []heldHeartbeat // heartbeats that arrived meanwhile
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

// maxHeldHeartbeats is the number of heartbeats that are kept until the departures are known. The oldest is dropped.
const maxHeldHeartbeats = 16

// heldHeartbeat is a heartbeat that is applied once the departures are known.
type heldHeartbeat struct {
	id        string
	message   *heartbeatMessage
	arrivedAt time.Time
}

// newLocalUpstream returns the state of an upstream that has sent no heartbeat yet.
func newLocalUpstream(drain time.Duration, app string) *localUpstream {
	return &localUpstream{drain: drain, address: app, changed: make(chan struct{}), epoch: time.Now()}
}

// holdHeartbeats keeps heartbeats and refuses requests until applyDepartures.
func (u *localUpstream) holdHeartbeats() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.learning = true
}

// applyDepartures records the instances that departed before this process started, then applies the held heartbeats as of
// their arrival.
func (u *localUpstream) applyDepartures(departed []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, id := range departed {
		u.instances.end(id)
		u.instances.record(id)
	}
	u.learning = false
	for _, heartbeat := range u.held {
		u.applyHeartbeat(heartbeat.id, heartbeat.message, heartbeat.arrivedAt)
	}
	u.held = nil
}

// isRecorded reports whether the core has agreed that an instance has departed.
func (u *localUpstream) isRecorded(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.instances.isRecorded(id)
}

// setRecorded notes that the core has agreed that an instance has departed.
func (u *localUpstream) setRecorded(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.instances.record(id)
}

// heartbeat applies a heartbeat of the upstream. One that is out of order or belongs to an ended instance is ignored.
func (u *localUpstream) heartbeat(id string, message *heartbeatMessage, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.learning {
		u.held = append(u.held, heldHeartbeat{id, message, now})
		u.held = u.held[max(0, len(u.held)-maxHeldHeartbeats):]
		return
	}
	u.applyHeartbeat(id, message, now)
}

// applyHeartbeat is heartbeat with mu held.
func (u *localUpstream) applyHeartbeat(id string, message *heartbeatMessage, now time.Time) {
	closing := message.isClosing()
	switch {
	case id == u.id && message.Status.PostmarkNo <= u.revision:
		if closing { // a closing is final, in whatever order it arrives
			u.startClosing(now)
		}
		return
	case id != u.id && closing && u.id != "": // a late message: the present instance has replaced it
		u.instances.end(id)
		return
	case !u.instances.accept(id, message.Status.PostmarkNo, u.id):
		return
	}
	first := id != u.id
	if first {
		u.instances.supersede(u.id, u.revision)
		u.id, u.reported = id, membership.Upstream{}
		u.closingAt, u.active, u.detector = time.Time{}, 0, outlier.Detector{}
	}
	if closing && u.closingAt.IsZero() {
		u.closingAt = now
		if first { // a previous proxy process may have acknowledged the closing, and Drain counts from then
			u.closingAt = now.Add(-u.drain)
		}
	}
	reported := message.upstream(id)
	reported.Draining = !u.closingAt.IsZero()
	reported.OutlierLevel = u.detector.Level()
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

// startClosing marks the present instance as closing. The caller holds mu.
func (u *localUpstream) startClosing(now time.Time) {
	if u.closingAt.IsZero() {
		u.closingAt, u.reported.Draining = now, true
		u.notify()
	}
}

// signOff ends an instance, also one that has sent no heartbeat to this process.
func (u *localUpstream) signOff(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.instances.end(id)
	if id == u.id {
		u.clearInstance()
		u.notify()
	}
}

// clearInstance leaves no present instance. The caller holds mu.
func (u *localUpstream) clearInstance() { u.id, u.reported = "", membership.Upstream{} }

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
	case u.learning:
		return "", apierror.NoCapacity
	case u.id != "" && id != u.id:
		return "", apierror.Misdirected
	case u.id == "" && u.instances.isPrevious(id):
		return "", apierror.Misdirected
	case !u.closingAt.IsZero() && now.Sub(u.closingAt) > u.drain*3/4: // the last quarter of Drain is for requests under way
		return "", apierror.Misdirected
	case u.unreachable:
		return "", apierror.NoCapacity
	}
	return u.address, apierror.None
}
