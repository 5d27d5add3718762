package proxy

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"ottershift/internal/mesh/apierror"
	"ottershift/internal/mesh/membership"
	"ottershift/internal/mesh/outlier"
	"ottershift/internal/mesh/settings"
)

// checkIn is an upstream's beat.
type checkIn struct {
	Address string
	Notice  struct {
		Destination, Edition, District string
		Capacity                       int
	}
	Status struct {
		Condition  string
		PostmarkNo int64
		Cold_time  string
	}
}

// local upstream is the life of the upstream on this machine, as its beats tell it. This process is the only way to it, so what
// is acknowledged here is kept here: from Drain after an acknowledged closing on nothing passes, whoever sends it.
type localUpstream struct {
	mu      sync.Mutex
	drain   time.Duration
	id      string   // of the present life, "" for none
	ended   []string // the lives before it, the last few
	address string
	up      membership.Upstream
	number  int64
	beat    time.Time
	closing time.Time // when that was acknowledged
	dead    bool      // its address refuses connections
	open    int       // requests at it
	line    []*turn   // those that wait, who is due first in front
	ward    outlier.Detector
	epoch   time.Time
	mute    int // connections to it in a row that nobody answered
	seq     uint64
	changed chan struct{} // closed at the next change
}

func newLocalUpstream(drain time.Duration, app string) *localUpstream {
	return &localUpstream{drain: drain, address: app, changed: make(chan struct{}), epoch: time.Now()}
}

// beatOf takes a beat; what is late changes nothing.
func (b *localUpstream) beatOf(id string, c *checkIn, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if slices.Contains(b.ended, id) || id == b.id && c.Status.PostmarkNo <= b.number {
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
		b.id, b.closing, b.open, b.ward = id, time.Time{}, 0, outlier.Detector{}
	}
	up.Ill = b.ward.Level()
	if up.Closing && b.closing.IsZero() {
		b.closing = now
		if first { // Invariant: the process before this one may have acknowledged it, and Drain counts from then
			b.closing = now.Add(-b.drain)
		}
	}
	same := up
	same.Cold = b.up.Cold
	news := same != b.up || b.dead
	b.up, b.number, b.beat, b.dead, b.mute = up, c.Status.PostmarkNo, now, false, 0
	if c.Address != "" {
		b.address = c.Address
	}
	if news {
		b.tell()
	}
}

// signOff ends a life.
func (b *localUpstream) signOff(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if id == b.id {
		b.end()
		b.tell()
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

// saw takes what came of a request at the upstream.
func (b *localUpstream) observe(id string, failed bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if id != b.id || id == "" {
		return
	}
	b.mute = 0
	b.heed(b.ward.Observe(failed, int64(now.Sub(b.epoch))))
}

// heed has others told of a level that has changed. Under mu.
func (b *localUpstream) heed(changed bool) {
	if changed && b.up.Ill != b.ward.Level() {
		b.up.Ill = b.ward.Level()
		b.tell()
	}
}

// silent notes that a connection to the upstream was not answered: an upstream that is dark refuses nothing.
func (b *localUpstream) silent(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if id != b.id || b.dead {
		return
	}
	if b.mute++; b.mute >= muteMost {
		b.dead = true // until its next beat
		b.tell()
	}
}

const muteMost = 2

// refused notes that nobody listens at the upstream's address.
func (b *localUpstream) refused(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if id == b.id && !b.dead {
		b.dead = true
		b.tell()
	}
}

// quiet notes that beats have stopped for so long that its address may be refused without a try.
func (b *localUpstream) quiet(now time.Time, after time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.id != "" && !b.dead && now.Sub(b.beat) > after {
		b.dead = true
		b.tell()
	}
	b.heed(b.ward.Refresh(int64(now.Sub(b.epoch))))
}

func (b *localUpstream) tell() {
	b.seq++
	close(b.changed)
	b.changed = make(chan struct{})
}

// poke has the core told again.
func (b *localUpstream) wakeWatchers() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tell()
}

// node is what the core is told, and ends changed once there is more to tell.
func (b *localUpstream) snapshot() (up *membership.Upstream, seq uint64, changed <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.id == "" || b.dead {
		return nil, b.seq, b.changed
	}
	copied := b.up
	if past := int64(time.Since(b.beat)); copied.Cold > 0 {
		copied.Cold = max(0, copied.Cold-past)
	}
	return &copied, b.seq, b.changed
}

// turn is a request that waits for a slot.
type turn struct {
	id    string
	due   time.Time // when it is of full worth no more: whoever is due first goes first
	leave chan bool // has room for one: whether it has the slot
}

// admit lets a request through to the life that it is meant for, or says why not; leave ends what was let through. Where
// all slots are taken it waits for a quarter of its aim, behind those that are due sooner. Invariant: first come, first served,
// the short calls of work that is under way elsewhere stand behind long ones, and fail all that they are a part of.
func (b *localUpstream) admit(ctx context.Context, s *upstreamRequest, now time.Time) (address string, kind apierror.Kind) {
	b.mu.Lock()
	if address, kind = b.addressOf(s.to, now); kind != apierror.None {
		b.mu.Unlock()
		return address, kind
	}
	if b.id == "" || b.up.Capacity <= 0 || b.open < b.slots() {
		b.open++
		b.mu.Unlock()
		return address, apierror.None
	}
	due := now.Add(s.aim)
	at, _ := slices.BinarySearchFunc(b.line, due, func(t *turn, due time.Time) int { return t.due.Compare(due) })
	if at >= 2*b.up.Capacity {
		b.mu.Unlock()
		return "", apierror.NoRoom
	}
	t := &turn{s.to, due, make(chan bool, 1)}
	b.line = slices.Insert(b.line, at, t)
	b.mu.Unlock()
	late := time.NewTimer(min(s.aim/4, time.Until(s.until)/4))
	defer late.Stop()
	select {
	case ok := <-t.leave:
		if ok {
			return address, apierror.None
		}
		return "", apierror.NoRoom
	case <-late.C:
	case <-ctx.Done():
	}
	b.mu.Lock()
	at = slices.Index(b.line, t)
	if at >= 0 {
		b.line = slices.Delete(b.line, at, at+1)
	}
	b.mu.Unlock()
	if at < 0 && <-t.leave { // it was its turn meanwhile
		if ctx.Err() != nil {
			b.leave(s.to)
			return "", apierror.NoRoom
		}
		return address, apierror.None
	}
	return "", apierror.NoRoom
}

// way is where a request would go, whether there is room or not. Under mu.
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

// slots is how many requests may be at the upstream: those that it works on, and few that it need not wait for.
func (b *localUpstream) slots() int { return b.up.Capacity + b.up.Capacity/8 + 1 }

// leave ends a request at the upstream; the first that waits has its slot.
func (b *localUpstream) leave(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if id != b.id && b.id != "" {
		return // of a life that has ended
	}
	b.open = max(0, b.open-1)
	for len(b.line) > 0 && b.open < b.slots() {
		t := b.line[0]
		b.line = slices.Delete(b.line, 0, 1)
		_, kind := b.addressOf(t.id, time.Now())
		if t.leave <- kind == apierror.None; kind == apierror.None {
			b.open++
		}
	}
}

// control takes the calls of the upstream on this machine.
func (f *Proxy) control(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	id := q.Get("of")
	if r.Method != http.MethodPost || r.URL.Path != "/-/rpc" || id == "" {
		apierror.Write(w, apierror.NoCall, 0, "")
		return
	}
	switch q.Get("call") {
	case "servers.check_in":
		c := &checkIn{}
		raw, err := io.ReadAll(io.LimitReader(r.Body, 64<<10))
		if err == nil {
			err = json.Unmarshal(raw, c)
		}
		if err != nil {
			apierror.Write(w, apierror.Unreadable, 0, err.Error())
			return
		}
		f.counts.Add("beats")
		f.local.beatOf(id, c, time.Now())
	case "servers.sign_off":
		f.local.signOff(id)
	default:
		apierror.Write(w, apierror.NoCall, 0, "")
		return
	}
	w.Header()["Content-Type"] = []string{"application/json"}
	w.Write([]byte("{}"))
}
