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

// mostUnanswered is how many connections in a row nobody answers at an upstream that is held for dark.
const mostUnanswered = 2

// localUpstream is the life of the upstream on this machine, as its heartbeats tell it. This process is the only way to it, so what
// is acknowledged here is kept here: from Drain after an acknowledged closing on nothing passes, whoever sends it.
type localUpstream struct {
	mu            sync.Mutex
	drain         time.Duration
	id            string   // of the present life, "" for none
	ended         []string // the lives before it, the last few
	address       string
	up            membership.Upstream
	revision      int64
	lastHeartbeat time.Time
	closing       time.Time                      // when that was acknowledged
	dead          bool                           // its address refuses connections
	open          int                            // requests at it
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
func (u *localUpstream) heartbeat(id string, c *checkIn, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if slices.Contains(u.ended, id) || id == u.id && c.Status.PostmarkNo <= u.revision {
		return
	}
	cold, _ := settings.Span(c.Status.Cold_time)
	up := membership.Upstream{
		ID: id, Service: c.Notice.Destination, Version: c.Notice.Edition, Capacity: c.Notice.Capacity,
		Draining: c.Status.Condition == "closing", WarmupRemaining: int64(cold),
	}
	first := id != u.id
	if first {
		u.end()
		u.id, u.closing, u.open, u.detector = id, time.Time{}, 0, outlier.Detector{}
	}
	up.OutlierLevel = u.detector.Level()
	if up.Draining && u.closing.IsZero() {
		u.closing = now
		if first { // Invariant: the process before this one may have acknowledged it, and Drain counts from then
			u.closing = now.Add(-u.drain)
		}
	}
	same := up
	same.WarmupRemaining = u.up.WarmupRemaining
	news := same != u.up || u.dead
	u.up, u.revision, u.lastHeartbeat, u.dead, u.unanswered = up, c.Status.PostmarkNo, now, false, 0
	if c.Address != "" {
		u.address = c.Address
	}
	if news {
		u.notify()
	}
}

// signOff ends a life.
func (u *localUpstream) signOff(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if id == u.id {
		u.end()
		u.notify()
	}
}

// end notes that the present life is over: what comes of it later is late. Under mu.
func (u *localUpstream) end() {
	if u.id != "" {
		u.ended = append(u.ended, u.id)
		u.ended = u.ended[max(0, len(u.ended)-8):]
	}
	u.id, u.up = "", membership.Upstream{}
}

// observe takes what came of a request at the upstream.
func (u *localUpstream) observe(id string, failed bool, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if id != u.id || id == "" {
		return
	}
	u.unanswered = 0
	u.reportLevel(u.detector.Observe(failed, int64(now.Sub(u.epoch))))
}

// reportLevel has others told of a level that has changed. Under mu.
func (u *localUpstream) reportLevel(changed bool) {
	if changed && u.up.OutlierLevel != u.detector.Level() {
		u.up.OutlierLevel = u.detector.Level()
		u.notify()
	}
}

// silent notes that a connection to the upstream was not answered: an upstream that is dark refuses nothing.
func (u *localUpstream) silent(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if id != u.id || u.dead {
		return
	}
	if u.unanswered++; u.unanswered >= mostUnanswered {
		u.dead = true // until its next heartbeat
		u.notify()
	}
}

// refused notes that nobody listens at the upstream's address.
func (u *localUpstream) refused(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if id == u.id && !u.dead {
		u.dead = true
		u.notify()
	}
}

// checkHeartbeat notes that heartbeats have stopped for so long that its address may be refused without a try.
func (u *localUpstream) checkHeartbeat(now time.Time, after time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.id != "" && !u.dead && now.Sub(u.lastHeartbeat) > after {
		u.dead = true
		u.notify()
	}
	u.reportLevel(u.detector.Refresh(int64(now.Sub(u.epoch))))
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
func (u *localUpstream) snapshot() (up *membership.Upstream, seq uint64, changed <-chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.id == "" || u.dead {
		return nil, u.seq, u.changed
	}
	copied := u.up
	if past := int64(time.Since(u.lastHeartbeat)); copied.WarmupRemaining > 0 {
		copied.WarmupRemaining = max(0, copied.WarmupRemaining-past)
	}
	return &copied, u.seq, u.changed
}

// addressOf is where a request would go, whether there is room or not. Under mu.
func (u *localUpstream) addressOf(id string, now time.Time) (address string, kind apierror.Kind) {
	switch {
	case u.id != "" && id != u.id:
		return "", apierror.NotHere
	case u.id == "" && slices.Contains(u.ended, id):
		return "", apierror.NotHere
	case !u.closing.IsZero() && now.Sub(u.closing) > u.drain*3/4: // the rest is for what is under way
		return "", apierror.NotHere
	case u.dead:
		return "", apierror.NoRoom
	}
	return u.address, apierror.None
}
