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

// maxUnanswered is how many connections in a row nobody answers at an upstream that is held for dark.
const maxUnanswered = 2

// localUpstream is the life of the upstream on this machine, as its heartbeats tell it. This process is the only way to it, so what
// is acknowledged here is kept here: from Drain after an acknowledged closing on nothing passes, whoever sends it.
type localUpstream struct {
	mu            sync.Mutex
	drain         time.Duration
	id            string   // of the present life, "" for none
	endedIDs      []string // the lives before it, the last few
	address       string
	reported      membership.Upstream
	revision      int64
	lastHeartbeat time.Time
	closingAt     time.Time                      // when that was acknowledged
	unreachable   bool                           // its address refuses connections
	active        int                            // requests at it
	queue         priority.Queue[waitingRequest] // of those for whom there is no slot yet
	detector      outlier.Detector
	epoch         time.Time
	unanswered    int // connections to it in a row that nobody answered
	seq           uint64
	changed       chan struct{} // closed at the next change
}

func newLocalUpstream(drain time.Duration, app string) *localUpstream {
	return &localUpstream{drain: drain, address: app, changed: make(chan struct{}), epoch: time.Now()}
}

// heartbeat takes an upstream's word about itself; what is late changes nothing.
func (u *localUpstream) heartbeat(id string, message *heartbeatMessage, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if slices.Contains(u.endedIDs, id) || id == u.id && message.Status.PostmarkNo <= u.revision {
		return
	}
	cold, _ := settings.Span(message.Status.Cold_time)
	reported := membership.Upstream{
		ID: id, Service: message.Notice.Destination, Edition: message.Notice.Edition, Capacity: message.Notice.Capacity,
		Closing: message.Status.Condition == "closing", Cold: int64(cold),
	}
	first := id != u.id
	if first {
		u.endCurrent()
		u.id, u.closingAt, u.active, u.detector = id, time.Time{}, 0, outlier.Detector{}
	}
	reported.Ill = u.detector.Level()
	if reported.Closing && u.closingAt.IsZero() {
		u.closingAt = now
		if first { // Invariant: the process before this one may have acknowledged it, and Drain counts from then
			u.closingAt = now.Add(-u.drain)
		}
	}
	normalized := reported
	normalized.Cold = u.reported.Cold
	altered := normalized != u.reported || u.unreachable
	u.reported, u.revision, u.lastHeartbeat, u.unreachable, u.unanswered = reported, message.Status.PostmarkNo, now, false, 0
	if message.Address != "" {
		u.address = message.Address
	}
	if altered {
		u.notify()
	}
}

// signOff ends a life.
func (u *localUpstream) signOff(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if id == u.id {
		u.endCurrent()
		u.notify()
	}
}

// endCurrent notes that the present life is over: what comes of it later is late. Under mu.
func (u *localUpstream) endCurrent() {
	if u.id != "" {
		u.endedIDs = append(u.endedIDs, u.id)
		u.endedIDs = u.endedIDs[max(0, len(u.endedIDs)-8):]
	}
	u.id, u.reported = "", membership.Upstream{}
}

// observe takes what came of a request at the upstream.
func (u *localUpstream) observe(id string, failed bool, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if id != u.id || id == "" {
		return
	}
	u.unanswered = 0
	u.publishLevel(u.detector.Observe(failed, int64(now.Sub(u.epoch))))
}

// publishLevel has others told of a level that has changed. Under mu.
func (u *localUpstream) publishLevel(changed bool) {
	if changed && u.reported.Ill != u.detector.Level() {
		u.reported.Ill = u.detector.Level()
		u.notify()
	}
}

// recordNoAnswer notes that a connection to the upstream was not answered: an upstream that is dark refuses nothing.
func (u *localUpstream) recordNoAnswer(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if id != u.id || u.unreachable {
		return
	}
	if u.unanswered++; u.unanswered >= maxUnanswered {
		u.unreachable = true // until its next heartbeat
		u.notify()
	}
}

// recordRefused notes that nobody listens at the upstream's address.
func (u *localUpstream) recordRefused(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if id == u.id && !u.unreachable {
		u.unreachable = true
		u.notify()
	}
}

// checkHeartbeat notes that heartbeats have stopped for so long that its address may be refused without a try.
func (u *localUpstream) checkHeartbeat(now time.Time, timeout time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.id != "" && !u.unreachable && now.Sub(u.lastHeartbeat) > timeout {
		u.unreachable = true
		u.notify()
	}
	u.publishLevel(u.detector.Refresh(int64(now.Sub(u.epoch))))
}

// notify wakes who waits for a change of what the core is told. Under mu.
func (u *localUpstream) notify() {
	u.seq++
	close(u.changed)
	u.changed = make(chan struct{})
}

// wakeWatchers has the core told again.
func (u *localUpstream) wakeWatchers() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.notify()
}

// snapshot is what the core is told, and a channel that ends once there is more to tell.
func (u *localUpstream) snapshot() (reported *membership.Upstream, seq uint64, changed <-chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.id == "" || u.unreachable {
		return nil, u.seq, u.changed
	}
	copied := u.reported
	if elapsed := int64(time.Since(u.lastHeartbeat)); copied.Cold > 0 {
		copied.Cold = max(0, copied.Cold-elapsed)
	}
	return &copied, u.seq, u.changed
}

// addressOf is where a request would go, whether there is room or not. Under mu.
func (u *localUpstream) addressOf(id string, now time.Time) (address string, kind apierror.Kind) {
	switch {
	case u.id != "" && id != u.id:
		return "", apierror.NotHere
	case u.id == "" && slices.Contains(u.endedIDs, id):
		return "", apierror.NotHere
	case !u.closingAt.IsZero() && now.Sub(u.closingAt) > u.drain*3/4: // the rest is for what is under way
		return "", apierror.NotHere
	case u.unreachable:
		return "", apierror.NoRoom
	}
	return u.address, apierror.None
}
