package keep

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft-wal/types"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ottershift/internal/cluster/disk"
	"ottershift/internal/cluster/link"
	"ottershift/internal/cluster/pack"
)

// Methods of calls between members, each group's apart from the others'.
const (
	perGroup uint16 = 32 // numbers for each

	methodHello   uint16 = 10
	methodRaft    uint16 = 11
	methodPropose uint16 = 12
	methodRead    uint16 = 13
	methodRenew   uint16 = 14
	methodAdmin   uint16 = 15
	methodChunk   uint16 = 16
)

const (
	hellos     = 200 * time.Millisecond // before it may vote, and each second after
	patience   = 2 * time.Second        // for keepers that don't answer, before it votes without their word
	helloTakes = 500 * time.Millisecond
	chunk      = 512 << 10 // of a snapshot on its way
	chunkTakes = 5 * time.Second
	inbox      = 4096
	batch      = 512 // of what came in, between two looks at the disk
	identity   = "identity"
	seatFile   = "seat"
	seenFile   = "seen"
)

// Way is how a keeper reaches the others: link.Link, or another in tests.
type Way interface {
	Handle(method uint16, h link.Handler)
	Call(ctx context.Context, name string, method uint16, body []byte) ([]byte, error)
	Post(name string, method uint16, body []byte, within time.Duration) error
}

// Options say how a keeper is made.
type Options struct {
	Cluster, Name string
	Voters        []string
	Group         int
	Dir           string
	FS            disk.FS // of the group's directory
	VFS           types.VFS
	Way           Way
	Election      time.Duration
	Lease         Lease
	Parts         map[byte]Part
	Guards        Guards
	Log           *slog.Logger
	Changed       func() // what is agreed has changed; must return at once, may be nil
}

// Keeper runs one keeper of one group.
type Keeper struct {
	o     Options
	start time.Time
	disk  string
	runs  uint64
	nonce uint64
	in    chan func(*Core)
	ctx   context.Context
	stop  context.CancelFunc
	all   sync.WaitGroup
	ready chan struct{} // closed once it may vote

	mu     sync.Mutex
	former *Former
	core   *Core // owned by run; for State only under mu
	why    string
	failed error
	parts  map[string]*assembly // snapshots on their way
}

type assembly struct {
	raw   []byte
	total int
}

// NewKeeper opens a keeper's directory. It votes once it knows that it may.
func NewKeeper(o Options) (*Keeper, error) {
	k := &Keeper{o: o, start: time.Now(), in: make(chan func(*Core), inbox), ready: make(chan struct{}), parts: map[string]*assembly{}}
	k.ctx, k.stop = context.WithCancel(context.Background())
	var own struct {
		Disk string `json:"disk"`
		Runs uint64 `json:"runs"`
	}
	raw, err := o.FS.Read(identity)
	switch {
	case err == nil:
		if err := json.Unmarshal(raw, &own); err != nil {
			return nil, fmt.Errorf("%s: %w", identity, err)
		}
	case errors.Is(err, os.ErrNotExist):
		own.Disk = draw()
	default:
		return nil, err
	}
	own.Runs++
	if raw, err = json.Marshal(own); err == nil {
		err = o.FS.Replace(identity, raw) // danger: a run that the disk doesn't remember may be taken for an older one
	}
	if err != nil {
		return nil, err
	}
	k.disk, k.runs = own.Disk, own.Runs
	var b [8]byte
	rand.Read(b[:])
	k.nonce = binary.BigEndian.Uint64(b[:])
	var seat struct {
		Seat  *Seat  `json:"seat"`
		Seats []Seat `json:"seats"`
	}
	if raw, err := o.FS.Read(seatFile); err == nil {
		if err := json.Unmarshal(raw, &seat); err != nil {
			return nil, fmt.Errorf("%s: %w", seatFile, err)
		}
	}
	seen := map[string]sighting{}
	if raw, err := o.FS.Read(seenFile); err == nil {
		if err := json.Unmarshal(raw, &seen); err != nil {
			return nil, fmt.Errorf("%s: %w", seenFile, err)
		}
	}
	k.former = NewFormer(o.Group, o.Name, k.disk, k.runs, k.nonce, seat.Seat, seat.Seats, o.Voters, seen)
	k.former.Own.Parts = string(slices.Sorted(maps.Keys(o.Parts)))
	for method, h := range map[uint16]link.Handler{
		methodHello: k.hello, methodRaft: k.step, methodPropose: k.propose, methodRead: k.read, methodRenew: k.renew, methodAdmin: k.admin, methodChunk: k.chunk,
	} {
		o.Way.Handle(method+perGroup*uint16(o.Group), h)
	}
	return k, nil
}

// Begin runs it.
func (k *Keeper) Begin() { k.all.Go(k.run) }

// Close ends it. What it has acknowledged is on its disk.
func (k *Keeper) Close() {
	k.stop()
	k.all.Wait()
}

func (k *Keeper) method(n uint16) uint16 { return n + perGroup*uint16(k.o.Group) }

func (k *Keeper) now() int64 { return int64(time.Since(k.start)) }

func (k *Keeper) others() (names []string) {
	return slices.DeleteFunc(slices.Clone(k.o.Voters), func(n string) bool { return n == k.o.Name })
}

// keepSeen keeps what is remembered of others; with the lock.
func (k *Keeper) keepSeen() error {
	raw, err := json.Marshal(k.former.Seen())
	if err != nil {
		return err
	}
	return k.o.FS.Replace(seenFile, raw)
}

// keepSeat keeps this disk's seat, and all seats as last agreed on; with the lock.
func (k *Keeper) keepSeat() error {
	raw, err := json.Marshal(map[string]any{"seat": k.former.Seat, "seats": k.former.Own.Seats})
	if err != nil {
		return err
	}
	return k.o.FS.Replace(seatFile, raw)
}

// greet tells the others who this is, and takes what they say.
func (k *Keeper) greet() {
	k.mu.Lock()
	h := pack.Pack(&k.former.Own)
	k.mu.Unlock()
	ctx, end := context.WithTimeout(k.ctx, helloTakes)
	defer end()
	var all sync.WaitGroup
	for _, name := range k.others() {
		all.Go(func() {
			raw, err := k.o.Way.Call(ctx, name, k.method(methodHello), h)
			var r Reply
			if err != nil || pack.Unpack(raw, &r) != nil {
				return
			}
			k.mu.Lock()
			defer k.mu.Unlock()
			k.former.Answered(&r)
		})
	}
	all.Wait()
}

func (k *Keeper) hello(_ context.Context, _ string, body []byte) ([]byte, error) {
	var h Hello
	if err := pack.Unpack(body, &h); err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	r, changed := k.former.Heard(&h)
	if changed {
		if err := k.keepSeen(); err != nil {
			return nil, err
		}
	}
	return pack.Pack(&r), nil
}

// run is the keeper's life: it finds out whether it may vote, and then drives its core.
func (k *Keeper) run() {
	defer func() {
		if r := recover(); r != nil { // the library found what it was told against what it holds: nobody may build on it
			k.fail(fmt.Errorf("a log that contradicts the group: %v", r))
		}
	}()
	store, d, err := OpenLog(k.o.Dir, k.o.FS, k.o.VFS)
	if err != nil {
		k.fail(err)
		return
	}
	defer store.Close()
	if !k.form(store, d) {
		return
	}
	k.mu.Lock()
	id := k.former.Seat.ID
	state := NewState(k.o.Cluster, nil, k.o.Parts, k.o.Guards)
	core, err := NewCore(id, k.runs, d, state, k.o.Lease, k.now())
	k.core = core
	k.mu.Unlock()
	if err != nil {
		k.fail(err)
		return
	}
	k.o.Log.Info("keeper", "step", "begun", "group", k.o.Group, "seat", id, "run", k.runs, "entries", len(d.Entries))
	close(k.ready)
	k.all.Go(k.greetings)
	tick := time.NewTicker(k.o.Election / electionTicks)
	defer tick.Stop()
	led, leader, index := false, uint64(0), uint64(0)
	for {
		select {
		case <-tick.C:
			k.with(func() { core.Tick(k.now()) })
		case f := <-k.in:
			k.with(func() { f(core) })
		case <-k.ctx.Done():
			return
		}
		for range batch { // what came meanwhile shares one sync
			select {
			case f := <-k.in:
				k.with(func() { f(core) })
				continue
			default:
			}
			break
		}
		var err error
		changed := false
		k.with(func() {
			if err = core.Work(k.now(), store, k.send); err == nil && core.State.Index != index {
				index = core.State.Index
				changed = true
				if k.former.Agreed(core.State.Seats) {
					err = k.keepSeat()
				}
			}
		})
		if err != nil {
			k.fail(err)
			return
		}
		if core.Leads() != led || core.Leader() != leader {
			led, leader = core.Leads(), core.Leader()
			k.o.Log.Info("keeper", "step", "leader", "group", k.o.Group, "leads", led, "leader", k.nameOf(leader))
			changed = true
		}
		if changed && k.o.Changed != nil {
			k.o.Changed()
		}
	}
}

// with does something with the core, which others read under the same lock.
func (k *Keeper) with(f func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f()
}

// fail ends a keeper whose disk or log can't be believed. Danger: going on would acknowledge what isn't there.
func (k *Keeper) fail(err error) {
	k.mu.Lock()
	k.failed = err
	k.mu.Unlock()
	k.o.Log.Error("keeper", "step", "failed", "group", k.o.Group, "fault", err)
	k.stop()
}

// form waits until this run may vote; what it learns on the way is kept on the disk before it counts.
func (k *Keeper) form(store *Log, d *Disk) bool {
	begun := time.Now()
	said := ""
	for {
		k.mu.Lock()
		k.former.Forgive()
		k.mu.Unlock()
		k.greet()
		k.mu.Lock()
		formed := k.former.Form()
		yes, why := k.former.May(time.Since(begun) > patience)
		k.why = why
		var err error
		if yes {
			err = errors.Join(k.keepSeen(), k.keepSeat())
		}
		first, begins := k.former.Own.Seats, k.former.First()
		k.mu.Unlock()
		if err == nil && yes && d.Snapshot == nil && len(d.Entries) == 0 && begins {
			d.Snapshot = First(NewState(k.o.Cluster, first, k.o.Parts, k.o.Guards))
			err = store.SaveSnapshot(d.Snapshot, 0)
		}
		if err != nil {
			k.fail(err)
			return false
		}
		if yes {
			return true
		}
		if why != said && !formed {
			said = why
			level := slog.LevelInfo
			if strings.Contains(why, "replace") {
				level = slog.LevelError
			}
			k.o.Log.Log(k.ctx, level, "keeper", "step", "waits", "group", k.o.Group, "why", why)
		}
		select {
		case <-time.After(hellos):
		case <-k.ctx.Done():
			return false
		}
	}
}

// greetings keep the others knowing which run this is.
func (k *Keeper) greetings() {
	for {
		select {
		case <-time.After(time.Second):
			k.greet()
		case <-k.ctx.Done():
			return
		}
	}
}

func (k *Keeper) nameOf(id uint64) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.nameLocked(id)
}

func (k *Keeper) nameLocked(id uint64) string {
	if k.core != nil {
		if s := k.core.State.Seats[id]; s != nil {
			return s.Name
		}
	}
	for _, s := range k.former.Own.Seats {
		if s.ID == id {
			return s.Name
		}
	}
	return ""
}

// envelope is a message of Raft on its way, under the disk and run that it comes from.
type envelope struct {
	Group int    `codec:"g"`
	Name  string `codec:"n"`
	Disk  string `codec:"d"`
	Runs  uint64 `codec:"r"`
	Nonce uint64 `codec:"o"`
	Raw   []byte `codec:"m"`
	Total int    `codec:"t,omitempty"` // bytes of a snapshot that comes in pieces
	At    int    `codec:"a,omitempty"`
	Key   string `codec:"k,omitempty"`
}

// send posts a message; with the lock. A snapshot goes in pieces, by itself.
func (k *Keeper) send(to uint64, m *raftpb.Message) {
	raw, err := proto.Marshal(m)
	name := k.nameLocked(to)
	if err != nil || name == "" {
		return
	}
	e := envelope{Group: k.o.Group, Name: k.o.Name, Disk: k.disk, Runs: k.runs, Nonce: k.nonce, Raw: raw}
	if m.GetType() == raftpb.MsgSnap {
		e.Key = fmt.Sprintf("%s %d %d", k.disk, m.GetTerm(), m.GetSnapshot().GetMetadata().GetIndex())
		k.all.Go(func() { k.pieces(to, name, e) })
		return
	}
	if k.o.Way.Post(name, k.method(methodRaft), pack.Pack(&e), k.o.Election) != nil {
		k.core.raft.ReportUnreachable(to)
	}
}

func (k *Keeper) pieces(to uint64, name string, e envelope) {
	raw := e.Raw
	e.Total = len(raw)
	status := raft.SnapshotFinish
	for e.At = 0; e.At < e.Total; e.At += chunk {
		e.Raw = raw[e.At:min(e.At+chunk, e.Total)]
		ctx, end := context.WithTimeout(k.ctx, chunkTakes)
		_, err := k.o.Way.Call(ctx, name, k.method(methodChunk), pack.Pack(&e))
		end()
		if err != nil {
			status = raft.SnapshotFailure
			break
		}
	}
	k.put(func(c *Core) { c.raft.ReportSnapshot(to, status) })
}

func (k *Keeper) chunk(_ context.Context, _ string, body []byte) ([]byte, error) {
	var e envelope
	if err := pack.Unpack(body, &e); err != nil {
		return nil, err
	}
	if e.Total > pack.MaxSize || e.At < 0 {
		return nil, pack.ErrTooLong
	}
	k.mu.Lock()
	a := k.parts[e.Name]
	if e.At == 0 {
		a = &assembly{total: e.Total}
		k.parts[e.Name] = a
	}
	if a == nil || len(a.raw) != e.At {
		k.mu.Unlock()
		return nil, errors.New("a piece is missing")
	}
	a.raw = append(a.raw, e.Raw...)
	whole := len(a.raw) >= a.total
	if whole {
		delete(k.parts, e.Name)
		e.Raw = a.raw
	}
	k.mu.Unlock()
	if whole {
		return nil, k.take(&e)
	}
	return nil, nil
}

func (k *Keeper) step(_ context.Context, _ string, body []byte) ([]byte, error) {
	var e envelope
	if err := pack.Unpack(body, &e); err != nil {
		return nil, err
	}
	return nil, k.take(&e)
}

// take listens to another keeper's word, if it comes from the disk and run that are known by its name.
func (k *Keeper) take(e *envelope) error {
	m := &raftpb.Message{}
	if err := proto.Unmarshal(e.Raw, m); err != nil {
		return err
	}
	k.mu.Lock()
	core := k.core
	strange := ""
	if core != nil {
		if s := core.State.Seats[m.GetFrom()]; s != nil && (s.Disk != e.Disk || s.Name != e.Name) {
			strange = "its seat is another disk's"
		} else if s == nil && len(core.State.Seats) > 0 && m.GetTerm() <= core.term {
			strange = "it has no seat"
		}
		if k.former.seen[e.Name].older(e.Disk, e.Runs, e.Nonce) {
			strange = "it is an old copy"
		}
	}
	k.mu.Unlock()
	if core == nil || m.GetTo() != core.ID || e.Group != k.o.Group {
		return nil
	}
	if strange != "" {
		return errors.New(strange)
	}
	k.put(func(c *Core) { c.Step(k.now(), m) })
	return nil
}

// put has something done with the core; what finds no room is lost.
func (k *Keeper) put(f func(*Core)) bool {
	select {
	case <-k.ready:
	default:
		return false
	}
	select {
	case k.in <- f:
		return true
	case <-k.ctx.Done():
		return false
	default:
		return false
	}
}

// reply is what a member is told of its command or read.
type reply struct {
	Answer Answer `codec:"a"`
	Fault  string `codec:"f,omitempty"` // it was not agreed on
	Lost   bool   `codec:"l,omitempty"` // or may have been
	Hint   string `codec:"h,omitempty"` // who leads
	Body   []byte `codec:"b,omitempty"`
}

// outcome waits for a reply; one that is lost with the keeper is unknown.
func (k *Keeper) outcome(ctx context.Context, ask func(c *Core, done func(reply))) ([]byte, error) {
	got := make(chan reply, 1)
	if !k.put(func(c *Core) { ask(c, func(r reply) { got <- r }) }) {
		k.mu.Lock()
		why := k.why
		if k.failed != nil {
			why = k.failed.Error()
		}
		k.mu.Unlock()
		return pack.Pack(&reply{Fault: "this keeper takes nothing now: " + why}), nil
	}
	select {
	case r := <-got:
		return pack.Pack(&r), nil
	case <-ctx.Done():
	case <-k.ctx.Done():
	}
	return pack.Pack(&reply{Fault: "no majority in time", Lost: true}), nil
}

func (k *Keeper) fault(err error) reply {
	return reply{Fault: err.Error(), Lost: errors.Is(err, ErrLost), Hint: k.nameLocked(k.core.Leader())}
}

func (k *Keeper) propose(ctx context.Context, _ string, body []byte) ([]byte, error) {
	c := &Command{}
	if err := pack.Unpack(body, c); err != nil {
		return nil, err
	}
	return k.outcome(ctx, func(core *Core, done func(reply)) {
		if c.Kind == Custom && !k.former.Knows(c.Part) {
			done(k.fault(fmt.Errorf("not all keepers run a build that knows part %d", c.Part)))
			return
		}
		core.Propose(c, func(a Answer, err error) {
			if err != nil {
				done(k.fault(err))
				return
			}
			done(reply{Answer: a})
		})
	})
}

// Query is a read.
type Query struct {
	What  string `codec:"w"` // "duties", "sessions", "status", "snapshot"
	Stale bool   `codec:"s,omitempty"`
	Part  byte   `codec:"p,omitempty"`
	Body  []byte `codec:"b,omitempty"`
}

// Reader is a part that can be asked.
type Reader interface {
	Read(body []byte) []byte
}

func (k *Keeper) read(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var q Query
	if err := pack.Unpack(body, &q); err != nil {
		return nil, err
	}
	return k.outcome(ctx, func(core *Core, done func(reply)) {
		if q.Stale {
			done(reply{Body: k.look(core, &q)})
			return
		}
		core.Read(k.now(), func(_ int64, err error) {
			if err != nil {
				done(k.fault(err))
				return
			}
			done(reply{Body: k.look(core, &q)})
		})
	})
}

// Agreed is what a read of duties and sessions tells.
type Agreed struct {
	Index    uint64    `codec:"i"`
	Age      int64     `codec:"a"` // nanoseconds that it may be old by
	Duties   []Duty    `codec:"d,omitempty"`
	Sessions []Session `codec:"s,omitempty"`
}

func (k *Keeper) look(core *Core, q *Query) []byte {
	switch q.What {
	case "status":
		raw, _ := json.Marshal(core.Status(k.now()))
		return raw
	case "part":
		if p, some := k.o.Parts[q.Part].(Reader); some {
			return p.Read(q.Body)
		}
		return nil
	}
	a := Agreed{Index: core.State.Index, Age: int64(core.Age(k.now()))}
	for _, d := range core.State.Duties {
		a.Duties = append(a.Duties, *d)
	}
	slices.SortFunc(a.Duties, func(x, y Duty) int { return strings.Compare(x.Name, y.Name) })
	for _, s := range core.State.Sessions {
		own := *s
		own.Answers = nil
		a.Sessions = append(a.Sessions, own)
	}
	slices.SortFunc(a.Sessions, func(x, y Session) int { return strings.Compare(x.Member, y.Member) })
	return pack.Pack(&a)
}

// Renewal is an owner's word that it is there.
type Renewal struct {
	Member string            `codec:"m"`
	Epoch  uint64            `codec:"e"`
	Tokens map[string]uint64 `codec:"t"` // by duty
}

// renew confirms tenures once a majority has confirmed the lead, counting from when the owner's word came.
func (k *Keeper) renew(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var r Renewal
	if err := pack.Unpack(body, &r); err != nil {
		return nil, err
	}
	return k.outcome(ctx, func(core *Core, done func(reply)) {
		core.Read(k.now(), func(asked int64, err error) {
			if err != nil {
				done(k.fault(err))
				return
			}
			ok := map[string]uint64{}
			for duty, token := range r.Tokens {
				if a := core.Renew(asked, duty, token, r.Member, r.Epoch); a.Code == OK {
					ok[duty] = token
				}
			}
			done(reply{Body: pack.Pack(&Renewal{r.Member, r.Epoch, ok})})
		})
	})
}

// Order is what staff asks of a group.
type Order struct {
	What string `codec:"w"` // "replace", "transfer", "snapshot"
	Name string `codec:"n,omitempty"`
}

func (k *Keeper) admin(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var o Order
	if err := pack.Unpack(body, &o); err != nil {
		return nil, err
	}
	return k.outcome(ctx, func(core *Core, done func(reply)) {
		if !core.Leads() {
			done(k.fault(ErrNotLeader))
			return
		}
		var err error
		switch o.What {
		case "replace":
			disk := k.former.Stranger(o.Name)
			if disk == "" {
				err = fmt.Errorf("no new directory of %q has asked to be let in; start it first", o.Name)
				break
			}
			err = core.Seat(o.Name, disk)
		case "transfer":
			err = fmt.Errorf("no keeper is called %q", o.Name)
			for _, s := range core.State.Seats {
				if s.Name == o.Name {
					err = core.Transfer(s.ID)
				}
			}
		case "snapshot":
			done(reply{Body: core.State.Save()})
			return
		default:
			err = fmt.Errorf("no order %q", o.What)
		}
		if err != nil {
			done(reply{Fault: err.Error()})
			return
		}
		done(reply{Answer: Answer{Code: OK}})
	})
}

// Stand is how this keeper stands, for figures and staff: why it doesn't vote, or its status.
func (k *Keeper) Stand() (s Status, why string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.failed != nil {
		return s, "failed: " + k.failed.Error()
	}
	if k.core == nil {
		return s, k.why
	}
	return k.core.Status(k.now()), ""
}
