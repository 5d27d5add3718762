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
func (b *localUpstream) heartbeat(id string, c *checkIn, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if slices.Contains(b.ended, id) || id == b.id && c.Status.PostmarkNo <= b.revision {
		return
	}
	cold, _ := settings.Span(c.Status.Cold_time)
	up := membership.Upstream{
		ID: id, Service: c.Notice.Destination, Edition: c.Notice.Edition, Capacity: c.Notice.Capacity,
		Closing: c.Status.Condition == "closing", Cold: int64(cold),
	}
	first := id != b.id
	if first {
		b.end()
		b.id, b.closing, b.open, b.detector = id, time.Time{}, 0, outlier.Detector{}
	}
	up.Ill = b.detector.Level()
	if up.Closing && b.closing.IsZero() {
		b.closing = now
		if first { // Invariant: the process before this one may have acknowledged it, and Drain counts from then
			b.closing = now.Add(-b.drain)
		}
	}
	same := up
	same.Cold = b.up.Cold
	news := same != b.up || b.dead
	b.up, b.revision, b.lastHeartbeat, b.dead, b.unanswered = up, c.Status.PostmarkNo, now, false, 0
	if c.Address != "" {
		b.address = c.Address
	}
	if news {
		b.notify()
	}
}

// signOff ends a life.
func (b *localUpstream) signOff(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if id == b.id {
		b.end()
		b.notify()
	}
}

// end notes that the present life is over: what comes of it later is late. Under mu.
func (b *localUpstream) end() {
	if b.id != "" {
		b.ended = append(b.ended, b.id)
		b.ended = b.ended[max(0, len(b.ended)-8):]
	}
	b.id, b.up = "", membership.Upstream{}
}

// observe takes what came of a request at the upstream.
func (b *localUpstream) observe(id string, failed bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if id != b.id || id == "" {
		return
	}
	b.unanswered = 0
	b.reportLevel(b.detector.Observe(failed, int64(now.Sub(b.epoch))))
}

// reportLevel has others told of a level that has changed. Under mu.
func (b *localUpstream) reportLevel(changed bool) {
	if changed && b.up.Ill != b.detector.Level() {
		b.up.Ill = b.detector.Level()
		b.notify()
	}
}

// silent notes that a connection to the upstream was not answered: an upstream that is dark refuses nothing.
func (b *localUpstream) silent(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if id != b.id || b.dead {
		return
	}
	if b.unanswered++; b.unanswered >= mostUnanswered {
		b.dead = true // until its next heartbeat
		b.notify()
	}
}

// refused notes that nobody listens at the upstream's address.
func (b *localUpstream) refused(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if id == b.id && !b.dead {
		b.dead = true
		b.notify()
	}
}

// checkHeartbeat notes that heartbeats have stopped for so long that its address may be refused without a try.
func (b *localUpstream) checkHeartbeat(now time.Time, after time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.id != "" && !b.dead && now.Sub(b.lastHeartbeat) > after {
		b.dead = true
		b.notify()
	}
	b.reportLevel(b.detector.Refresh(int64(now.Sub(b.epoch))))
}

// notify wakes who waits for a change of what the core is told. Under mu.
func (b *localUpstream) notify() {
	b.seq++
	close(b.changed)
	b.changed = make(chan struct{})
}

// wakeWatchers has the core told again.
func (b *localUpstream) wakeWatchers() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notify()
}

// snapshot is what the core is told, and a channel that ends once there is more to tell.
func (b *localUpstream) snapshot() (up *membership.Upstream, seq uint64, changed <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.id == "" || b.dead {
		return nil, b.seq, b.changed
	}
	copied := b.up
	if past := int64(time.Since(b.lastHeartbeat)); copied.Cold > 0 {
		copied.Cold = max(0, copied.Cold-past)
	}
	return &copied, b.seq, b.changed
}

// addressOf is where a request would go, whether there is room or not. Under mu.
func (b *localUpstream) addressOf(id string, now time.Time) (address string, kind apierror.Kind) {
	switch {
	case b.id != "" && id != b.id:
		return "", apierror.NotHere
	case b.id == "" && slices.Contains(b.ended, id):
		return "", apierror.NotHere
	case !b.closing.IsZero() && now.Sub(b.closing) > b.drain*3/4: // the rest is for what is under way
		return "", apierror.NotHere
	case b.dead:
		return "", apierror.NoRoom
	}
	return b.address, apierror.None
}
