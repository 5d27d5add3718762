package flight

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"ottershift/internal/hive/box"
	"ottershift/internal/hive/sting"
	"ottershift/internal/hive/waggle"
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

// brood is the life of the upstream on this machine, as its beats tell it. This process is the only way to it, so what
// is acknowledged here is kept here: from Drain after an acknowledged closing on nothing passes, whoever sends it.
type brood struct {
	mu      sync.Mutex
	drain   time.Duration
	id      string // of the present life, "" for none
	ended   string // the life before it
	address string
	up      waggle.Upstream
	number  int64
	beat    time.Time
	closing time.Time // when that was acknowledged
	dead    bool      // its address refuses connections
	open    int       // requests at it
	seq     uint64
	changed chan struct{} // has room for one
}

func newBrood(drain time.Duration, app string) *brood {
	return &brood{drain: drain, address: app, changed: make(chan struct{}, 1)}
}

// beatOf takes a beat; what is late changes nothing.
func (b *brood) beatOf(id string, c *checkIn, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if id == b.ended || id == b.id && c.Status.PostmarkNo <= b.number {
		return
	}
	cold, _ := box.Span(c.Status.Cold_time)
	up := waggle.Upstream{
		ID: id, Service: c.Notice.Destination, Edition: c.Notice.Edition, Capacity: c.Notice.Capacity,
		Closing: c.Status.Condition == "closing", Cold: int64(cold),
	}
	if id != b.id {
		b.ended, b.id, b.closing, b.open = b.id, id, time.Time{}, 0
	}
	if up.Closing && b.closing.IsZero() {
		b.closing = now
	}
	same := up
	same.Cold = b.up.Cold
	news := same != b.up || b.dead
	b.up, b.number, b.beat, b.dead = up, c.Status.PostmarkNo, now, false
	if c.Address != "" {
		b.address = c.Address
	}
	if news {
		b.tell()
	}
}

// signOff ends a life.
func (b *brood) signOff(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if id == b.id {
		b.ended, b.id, b.up = id, "", waggle.Upstream{}
		b.tell()
	}
}

// refused notes that nobody listens at the upstream's address.
func (b *brood) refused(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if id == b.id && !b.dead {
		b.dead = true
		b.tell()
	}
}

// quiet notes that beats have stopped for so long that its address may be refused without a try.
func (b *brood) quiet(now time.Time, after time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.id != "" && !b.dead && now.Sub(b.beat) > after {
		b.dead = true
		b.tell()
	}
}

func (b *brood) tell() {
	b.seq++
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// nest is what the core is told.
func (b *brood) nest() (up *waggle.Upstream, seq uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.id == "" || b.dead {
		return nil, b.seq
	}
	copied := b.up
	if past := int64(time.Since(b.beat)); copied.Cold > 0 {
		copied.Cold = max(0, copied.Cold-past)
	}
	return &copied, b.seq
}

// admit lets a request through to the life that it is meant for, or says why not; leave ends what was let through.
func (b *brood) admit(id string, now time.Time) (address string, kind sting.Kind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.id != "" && id != b.id:
		return "", sting.NotHere
	case b.id == "" && id == b.ended:
		return "", sting.NotHere
	case !b.closing.IsZero() && now.Sub(b.closing) > b.drain*3/4: // the rest is for what is under way
		return "", sting.NotHere
	case b.dead:
		return "", sting.NoRoom
	case b.id != "" && b.up.Capacity > 0 && b.open >= b.most():
		return "", sting.NoRoom
	}
	b.open++
	return b.address, sting.None
}

// most is how many requests may be at the upstream: those that it works on, and a few that it need not wait for.
func (b *brood) most() int { return b.up.Capacity + b.up.Capacity/2 + 1 }

func (b *brood) leave(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if id == b.id || b.id == "" {
		b.open = max(0, b.open-1)
	}
}

// control takes the calls of the upstream on this machine.
func (f *Forager) control(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	id := q.Get("of")
	if r.Method != http.MethodPost || r.URL.Path != "/-/rpc" || id == "" {
		sting.Write(w, sting.NoCall, 0, "")
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
			sting.Write(w, sting.Unreadable, 0, err.Error())
			return
		}
		f.counts.Add("beats")
		f.brood.beatOf(id, c, time.Now())
	case "servers.sign_off":
		f.brood.signOff(id)
	default:
		sting.Write(w, sting.NoCall, 0, "")
		return
	}
	w.Header()["Content-Type"] = []string{"application/json"}
	w.Write([]byte("{}"))
}
