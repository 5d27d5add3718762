package member

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"ottershift/internal/cluster/config"
	"ottershift/internal/cluster/disk"
	"ottershift/internal/cluster/link"
	"ottershift/internal/cluster/pack"
)

// Methods of calls between members.
const (
	methodMarks uint16 = 1 // what is remembered of a name
	methodView  uint16 = 2 // what a member holds of all
)

const (
	asks       = 500 * time.Millisecond // for what others remember of this name, at the start
	leaves     = 300 * time.Millisecond // for the word that this one leaves
	ticks      = 50 * time.Millisecond
	says       = time.Second           // between two statuses, at least
	saysEach   = 50 * time.Millisecond // times the members: what all say together stays bounded
	epochFile  = "epoch"
	mostQueue  = 1024
	retransmit = 2 // rounds for each status
)

// Way is how members reach one another: link.Link, or another in tests on a virtual clock.
type Way interface {
	Addr() *net.TCPAddr
	Handle(method uint16, h link.Handler)
	Call(ctx context.Context, name string, method uint16, body []byte) ([]byte, error)
	Send(kind byte, name, address string, payload []byte) error
	Dial(kind byte, name, address string, within time.Duration) (net.Conn, error)
	Forget(name string)
}

// Options say how a member is made.
type Options struct {
	Settings *config.Settings
	Ops      string
	Build    string
	Seed     uint64
	Guards   Guards
	FS       disk.FS // nil for a directory that isn't there
	Log      *slog.Logger
	Link     Way
	Status   func() Status    // what is said of this process; its count is set here
	Changed  func(c Change)   // told in order, from one goroutine; may be nil
	Wall     func() time.Time // nil for the real one
}

// Gossip is one member among the others.
type Gossip struct {
	o     Options
	start time.Time
	end   context.CancelFunc
	done  chan struct{}
	ctx   context.Context
	tries sync.WaitGroup

	mu      sync.Mutex
	core    *Core
	self    Record
	list    *memberlist.Memberlist
	way     *transport
	queue   []func() // what the core decided, for the goroutine to do
	count   uint64
	status  Status
	leaving bool
	gone    bool
	renewed bool
	over    ID // the newer run, once this one is over
	saidAt  time.Time
	words   memberlist.TransmitLimitedQueue
	kick    chan struct{}
}

// Join becomes a member: it takes an epoch beyond what its disk and others know of its name, and is there from then on.
// Others are tried in the background, so a member that can reach nobody is one alone.
func Join(o Options) (*Gossip, error) {
	g := &Gossip{o: o, start: time.Now(), done: make(chan struct{}), kick: make(chan struct{}, 1)}
	if o.Wall == nil {
		g.o.Wall = time.Now
	}
	g.ctx, g.end = context.WithCancel(context.Background())
	g.words = memberlist.TransmitLimitedQueue{RetransmitMult: retransmit, NumNodes: g.alive}
	o.Link.Handle(methodMarks, g.tellMarks)
	o.Link.Handle(methodView, g.tellView)
	return g, nil
}

// Begin takes part, once the link serves.
func (g *Gossip) Begin() error {
	if err := g.begin(Epoch(g.read(), g.o.Wall().Unix(), g.ask())); err != nil {
		g.end()
		return err
	}
	go g.run()
	return nil
}

// read is the epoch of the last run that this disk knows.
func (g *Gossip) read() uint64 {
	if g.o.FS == nil {
		return 0
	}
	raw, err := g.o.FS.Read(epochFile)
	if err != nil {
		return 0 // none yet, or a disk that can't be read: others are asked as well
	}
	n, err := strconv.ParseUint(strings.TrimSpace(string(raw)), 10, 64)
	if err != nil {
		g.o.Log.Warn("cluster", "step", "directory", "fault", fmt.Sprintf("%s holds no number: %.40q", epochFile, raw))
	}
	return n
}

// ask asks the addresses to join what they remember of this name.
func (g *Gossip) ask() (known []uint64) {
	ctx, stop := context.WithTimeout(g.ctx, asks)
	defer stop()
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, a := range g.o.Settings.Join {
		if a == g.o.Settings.Address {
			continue
		}
		all.Go(func() {
			defer g.o.Link.Forget(link.At(a))
			body, err := g.o.Link.Call(ctx, link.At(a), methodMarks, []byte(g.o.Settings.Self))
			var m wireMark
			if err != nil || pack.Unpack(body, &m) != nil {
				return
			}
			if id, ok := ParseID(m.ID); ok {
				mu.Lock()
				defer mu.Unlock()
				known = append(known, id.Epoch)
			}
		})
	}
	all.Wait()
	return known
}

// begin starts a run under an epoch.
func (g *Gossip) begin(epoch uint64) error {
	if g.o.FS != nil {
		if err := g.o.FS.Replace(epochFile, fmt.Appendf(nil, "%d\n", epoch)); err != nil {
			// No promise rests on it: others remember, and the wall clock helps.
			g.o.Log.Warn("cluster", "step", "directory", "fault", err)
		}
	}
	s := g.o.Settings
	g.mu.Lock()
	g.self = Record{
		ID: ID{s.Self, epoch, rand.Uint64() ^ g.o.Seed}, Zone: s.Zone, Address: g.o.Link.Addr().String(), Ops: g.o.Ops, Build: g.o.Build,
		Low: link.Low, High: link.High,
	}
	g.core = NewCore(g.self, s, g.o.Guards, g.o.Seed, 0, g.renewed, (*writer)(g))
	g.way = &transport{g: g, packets: make(chan *memberlist.Packet, mostQueue), streams: make(chan net.Conn), end: make(chan struct{})}
	g.count, g.saidAt = 0, time.Time{}
	way, self, d := g.way, g.self, &delegate{g, g.core, g.self}
	g.mu.Unlock()

	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.Delegate, c.Events, c.Alive, c.Ping = self.ID.String(), way, d, d, d, d
	at := g.o.Link.Addr()
	c.AdvertiseAddr, c.AdvertisePort, c.BindAddr, c.BindPort = at.IP.String(), at.Port, at.IP.String(), at.Port
	c.ProbeInterval, c.ProbeTimeout, c.TCPTimeout = s.Probe, s.Probe/2, config.Exchange
	c.SuspicionMult, c.SuspicionMaxTimeoutMult, c.AwarenessMaxMultiplier = config.Suspicion, config.Suspected, config.Slower
	c.IndirectChecks, c.RetransmitMult = config.Indirect, config.Retransmit
	c.GossipInterval, c.GossipNodes, c.GossipToTheDeadTime = s.Probe/config.GossipPart, config.GossipTo, time.Minute
	c.PushPullInterval = config.ExchangeEach * s.Probe
	c.EnableCompression = false
	c.LogOutput, c.Logger = nil, log.New(libraryLog{g.o.Log}, "", 0)
	list, err := memberlist.Create(c)
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.list = list
	g.mu.Unlock()
	g.o.Log.Info("cluster", "step", "begun", "cluster", s.Name, "member", self.ID, "address", self.Address, "join", len(s.Join))
	return nil
}

// libraryLog takes the library's lines; what matters of them is told by changes.
type libraryLog struct{ log *slog.Logger }

func (l libraryLog) Write(line []byte) (int, error) {
	l.log.Debug("cluster", "step", "library", "text", string(bytes.TrimSpace(line)))
	return len(line), nil
}

func (g *Gossip) now() int64 { return int64(time.Since(g.start)) }

func (g *Gossip) alive() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Alive()
}

// do has something done outside of all locks, in order. With the lock.
func (g *Gossip) do(f func()) {
	if len(g.queue) < mostQueue {
		g.queue = append(g.queue, f)
	}
	select {
	case g.kick <- struct{}{}:
	default:
	}
}

// run drives the core.
func (g *Gossip) run() {
	defer close(g.done)
	tick := time.NewTicker(min(ticks, g.o.Settings.Probe/4))
	defer tick.Stop()
	for {
		g.mu.Lock()
		g.core.Tick(g.now())
		todo := g.queue
		g.queue = nil
		g.mu.Unlock()
		for _, f := range todo {
			f()
		}
		g.say(false)
		select {
		case <-tick.C:
		case <-g.kick:
		case <-g.ctx.Done():
			return
		}
	}
}

// say tells others how this process is, when it is time or at once.
func (g *Gossip) say(atOnce bool) {
	g.mu.Lock()
	every := max(says, time.Duration(g.core.Alive())*saysEach)
	if g.core.Over() || !atOnce && time.Since(g.saidAt) < every {
		g.mu.Unlock()
		return
	}
	g.saidAt = time.Now()
	g.mu.Unlock()
	s := g.o.Status()
	g.mu.Lock()
	g.count++
	s.Count, s.Leaving, s.Gone = g.count, g.leaving, g.gone
	g.status = s
	id := g.self.ID
	g.mu.Unlock()
	w := wireStatusOf(id, s)
	raw := pack.Pack(&w)
	g.words.QueueBroadcast(word{id.String(), raw})
	if atOnce { // gossip may take its time; this is sent to each as well
		g.mu.Lock()
		list := g.list
		g.mu.Unlock()
		for _, n := range list.Members() {
			if n.Name != id.String() {
				list.SendBestEffort(n, raw)
			}
		}
	}
}

// word is a status on its way; a newer one takes the place of an older one of the same run.
type word struct {
	id  string
	raw []byte
}

func (w word) Name() string    { return w.id }
func (w word) Message() []byte { return w.raw }
func (w word) Finished()       {}
func (w word) Invalidates(other memberlist.Broadcast) bool {
	o, ok := other.(word)
	return ok && o.id == w.id
}

// Leaving tells others whether this process takes no new clients, by intent.
func (g *Gossip) Leaving(yes bool) {
	g.mu.Lock()
	g.leaving = yes
	g.mu.Unlock()
	g.say(true)
}

// Tell tells others at once how this process is.
func (g *Gossip) Tell() { g.say(true) }

// Leave ends it by intent: others are told, so it is no failure.
func (g *Gossip) Leave() {
	g.mu.Lock()
	list := g.list
	g.leaving, g.gone = true, true
	g.mu.Unlock()
	g.say(true)
	list.Leave(leaves)
	g.Close()
}

// Close ends it without a word.
func (g *Gossip) Close() {
	g.end()
	<-g.done
	g.tries.Wait()
	g.mu.Lock()
	list := g.list
	g.mu.Unlock()
	list.Shutdown()
}

// View is what this member holds of all.
type View struct {
	Cluster string   `json:"cluster"`
	Self    string   `json:"self"`
	Name    string   `json:"name"`
	Over    string   `json:"over,omitempty"` // the newer run of this name, if this one is over
	Members []Viewed `json:"members"`
	Fault   string   `json:"fault,omitempty"` // why it did not tell
}

// Viewed is one run in a view; ages are milliseconds on the clock of who holds the view.
type Viewed struct {
	Name    string   `json:"name"`
	Epoch   uint64   `json:"epoch"`
	Run     string   `json:"run"`
	State   string   `json:"state"`
	Self    bool     `json:"self,omitempty"`
	Leaving bool     `json:"leaving,omitempty"`
	Zone    string   `json:"zone,omitempty"`
	Address string   `json:"address"`
	Ops     string   `json:"ops,omitempty"`
	Build   string   `json:"build,omitempty"`
	For     int64    `json:"for_ms"` // in this state
	Age     int64    `json:"age_ms"` // of the last word
	Open    int64    `json:"open"`
	Rate    float64  `json:"rate"`
	Offers  []string `json:"offers,omitempty"`
}

func (g *Gossip) viewed(m Member, now int64) Viewed {
	const ms = int64(time.Millisecond)
	return Viewed{
		Name: m.Name, Epoch: m.Epoch, Run: strconv.FormatUint(m.Run, 16), State: m.State.String(), Leaving: m.Leaving, Zone: m.Zone, Address: m.Address,
		Ops: m.Ops, Build: m.Build, For: (now - m.Since) / ms, Age: (now - m.Heard) / ms, Open: m.Open, Rate: m.Rate, Offers: m.Offers,
	}
}

// View says who is there, as seen from here.
func (g *Gossip) View() View {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	v := View{Cluster: g.o.Settings.Name, Self: g.self.ID.String(), Name: g.self.Name}
	own := g.viewed(Member{Record: g.self, Status: g.status, State: Alive, Heard: now}, now)
	own.Self = true
	if g.core.Over() {
		v.Over, own.State = g.over.String(), Over.String()
	}
	v.Members = append(v.Members, own)
	for _, m := range g.core.View() {
		v.Members = append(v.Members, g.viewed(m, now))
	}
	slices.SortStableFunc(v.Members, func(a, b Viewed) int { return strings.Compare(a.Name, b.Name) })
	return v
}

// Resolve is where the present run of a member is reached.
func (g *Gossip) Resolve(name string) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.core == nil {
		return "", false
	}
	m, known := g.core.Now(name)
	return m.Address, known
}

// Offering are the members that offer a pool, this one included, by name: the living, and those held dead for less than
// a time. There is this one alone once its run is over.
func (g *Gossip) Offering(pool string, dead time.Duration) (all []Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	all = append(all, Member{Record: g.self, Status: g.status, State: Alive})
	if g.core.Over() {
		return all
	}
	now := g.now()
	for _, m := range g.core.View() {
		lives := m.State == Alive || m.State == Dead && now-m.Since < int64(dead)
		if lives && m.Name != g.self.Name && slices.Contains(m.Offers, pool) {
			all = append(all, m)
		}
	}
	slices.SortStableFunc(all, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Alive are the other living members.
func (g *Gossip) Alive() (all []Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.core.View() {
		if m.State == Alive {
			all = append(all, m)
		}
	}
	return all
}

// Gone reports whether a member's run is gone, by what is held here: it left, a newer one came, or it has been held dead for
// some time. One that isn't known at all is gone once that time has passed since this member began.
func (g *Gossip) Gone(name string, epoch uint64, dead time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for _, m := range g.core.named(name) {
		if m.Epoch == epoch {
			return m.State == Left || m.State == Over || m.State == Dead && now-m.Since > int64(dead)
		}
	}
	return now > int64(2*dead) && now > int64(g.o.Settings.Death(g.core.Alive()))
}

// Over reports whether this run is over.
func (g *Gossip) Over() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Over()
}

// Renew has this process go on as another run, of an epoch beyond one that is known.
func (g *Gossip) Renew(beyond uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.self.Epoch <= beyond {
		(*writer)(g).Renew(beyond)
	}
}

// Told takes agreed word of a newer run of this name.
func (g *Gossip) Told(newer ID, ended bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Told(g.now(), g.self.ID, newer, ended)
}

// Divert takes over settings that change in service: where to join, and through what.
func (g *Gossip) Divert(s *config.Settings) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.o.Settings.Join, g.o.Settings.Through = s.Join, s.Through
}

// Self is this run.
func (g *Gossip) Self() Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self
}

func (g *Gossip) tellMarks(_ context.Context, _ string, body []byte) ([]byte, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.core == nil {
		return nil, errors.New("not begun")
	}
	m, known := g.core.marks[string(body)]
	if !known {
		return pack.Pack(&wireMark{}), nil
	}
	return pack.Pack(&wireMark{m.String(), m.Ended}), nil
}

// Packet takes a datagram of gossip; Stream a connection; Notice the word that this run is over.
func (g *Gossip) Packet(payload []byte, from net.Addr) {
	g.mu.Lock()
	way := g.way
	g.mu.Unlock()
	if way == nil {
		return
	}
	select {
	case way.packets <- &memberlist.Packet{Buf: payload, From: from, Timestamp: time.Now()}:
	default: // lost, as any datagram may be
	}
}

func (g *Gossip) Stream(c net.Conn) {
	g.mu.Lock()
	way := g.way
	g.mu.Unlock()
	if way == nil {
		c.Close()
		return
	}
	select {
	case way.streams <- c:
	case <-way.end:
		c.Close()
	}
}

func (g *Gossip) Notice(payload []byte) {
	var n wireNotice
	if pack.Unpack(payload, &n) != nil {
		return
	}
	old, ok1 := ParseID(n.Old)
	newer, ok2 := ParseID(n.Newer)
	if !ok1 || !ok2 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.core != nil {
		g.core.Told(g.now(), old, newer, n.Ended)
	}
}

// writer is how the core has things done.
type writer Gossip

func (w *writer) Changed(c Change) {
	g := (*Gossip)(w)
	g.do(func() {
		g.o.Log.Info("cluster", "step", "member", "member", c.ID, "state", c.State, "was", c.Was, "zone", c.Zone, "address", c.Address)
		if c.State == Left || c.State == Over || c.State == Dead {
			g.o.Link.Forget(c.Name)
		}
		if g.o.Changed != nil {
			g.o.Changed(c)
		}
	})
}

func (w *writer) Try(name, address string) {
	g := (*Gossip)(w)
	list := g.list
	g.do(func() {
		if list == nil {
			return
		}
		g.tries.Go(func() { // danger: one that hangs must not hold up the others
			to, err := net.ResolveTCPAddr("tcp", address)
			if err != nil || g.ctx.Err() != nil {
				return
			}
			if name != "" {
				list.Join([]string{name + "/" + to.String()})
			} else {
				list.Join([]string{to.String()})
			}
		})
	})
}

func (w *writer) TellOver(old, newer ID, address string) {
	g := (*Gossip)(w)
	ended := g.core.marks[newer.Name].Ended
	g.do(func() {
		g.o.Link.Send(link.Notice, old.Name, address, pack.Pack(&wireNotice{old.String(), newer.String(), ended}))
	})
}

func (w *writer) OverNow(newer ID) {
	g := (*Gossip)(w)
	g.over = newer
	g.do(func() {
		g.o.Log.Error("cluster", "step", "over", "member", g.self.ID, "newer", newer,
			"fault", "a newer run of this name is there; this one takes no part in the cluster any more and serves by its own eyes")
		g.mu.Lock()
		list := g.list
		g.mu.Unlock()
		list.Leave(leaves)
		if g.o.Changed != nil {
			g.o.Changed(Change{Member: Member{Record: g.Self(), State: Over}, Was: Alive})
		}
	})
}

func (w *writer) Renew(beyond uint64) {
	g := (*Gossip)(w)
	g.do(func() {
		g.mu.Lock()
		list, stale := g.list, g.self.Epoch > beyond
		g.renewed = true
		g.mu.Unlock()
		if stale { // asked for twice
			return
		}
		g.o.Log.Info("cluster", "step", "renewed", "epoch", beyond+1, "why", "others remember a later run of this name")
		list.Shutdown()
		if err := g.begin(beyond + 1); err != nil {
			g.o.Log.Error("cluster", "step", "renewed", "fault", err)
		}
	})
}

// delegate is how the library tells what it heard, for one run. Danger: it calls with its own locks held, so nothing here
// calls it; and it may call for a run that has taken another epoch since.
type delegate struct {
	g    *Gossip
	core *Core
	self Record
}

func (d *delegate) with(f func(c *Core, now int64)) {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	f(d.core, d.g.now())
}

func record(n *memberlist.Node) (Record, error) {
	r, err := unpackRecord(n.Meta)
	if err == nil && r.ID.String() != n.Name {
		err = fmt.Errorf("it calls itself %s", r.ID)
	}
	return r, err
}

func (d *delegate) NodeMeta(limit int) []byte {
	raw := d.self.pack()
	if len(raw) > limit {
		short := d.self
		short.Build, short.Zone = "", short.Zone[:min(len(short.Zone), 64)]
		raw = short.pack()
	}
	return raw
}

func (d *delegate) NotifyAlive(n *memberlist.Node) (err error) {
	r, err := record(n)
	if err != nil {
		return err
	}
	d.with(func(c *Core, now int64) { err = c.Admit(now, r) })
	return err
}

func (d *delegate) NotifyJoin(n *memberlist.Node) {
	if r, err := record(n); err == nil {
		d.with(func(c *Core, now int64) { c.Heard(now, r) })
	}
}

func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.NotifyJoin(n) }

func (d *delegate) NotifyLeave(n *memberlist.Node) {
	if r, err := record(n); err == nil {
		d.with(func(c *Core, now int64) { c.Ended(now, r.ID) })
	}
}

func (d *delegate) AckPayload() []byte { return nil }

func (d *delegate) NotifyPingComplete(n *memberlist.Node, _ time.Duration, _ []byte) {
	if id, ok := ParseID(n.Name); ok {
		d.with(func(c *Core, now int64) { c.Seen(now, id) })
	}
}

func (d *delegate) NotifyMsg(raw []byte) {
	var w wireStatus
	if pack.Unpack(raw, &w) != nil {
		return
	}
	id, s, ok := w.open()
	if !ok {
		return
	}
	news := false
	d.with(func(c *Core, now int64) { news = c.Says(now, id, s) })
	if news { // passed on, so that it comes to all
		d.g.words.QueueBroadcast(word{w.ID, append([]byte(nil), raw...)})
	}
}

func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.g.words.GetBroadcasts(overhead, limit)
}

func (d *delegate) LocalState(bool) []byte {
	var s wireState
	g := d.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if d.core.guards.Epochs {
		for _, m := range d.core.Marks() {
			s.Marks = append(s.Marks, wireMark{m.String(), m.Ended})
		}
	}
	if g.status.Count > 0 && g.core == d.core {
		s.Statuses = append(s.Statuses, wireStatusOf(d.self.ID, g.status))
	}
	for _, m := range d.core.View() {
		if (m.State == Alive || m.State == Left) && m.Count > 0 {
			s.Statuses = append(s.Statuses, wireStatusOf(m.ID, m.Status))
		}
	}
	return pack.Pack(&s)
}

func (d *delegate) MergeRemoteState(raw []byte, _ bool) {
	var s wireState
	if pack.Unpack(raw, &s) != nil {
		return
	}
	var marks []Mark
	for _, m := range s.Marks {
		if id, ok := ParseID(m.ID); ok {
			marks = append(marks, Mark{id, m.Ended})
		}
	}
	d.with(func(c *Core, now int64) {
		c.Marked(now, marks)
		for _, w := range s.Statuses {
			if id, status, ok := w.open(); ok {
				c.Says(now, id, status)
			}
		}
	})
}

// transport leads the library's traffic over the link.
type transport struct {
	g       *Gossip
	packets chan *memberlist.Packet
	streams chan net.Conn
	end     chan struct{}
	once    sync.Once
}

func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	at := t.g.o.Link.Addr()
	return at.IP, at.Port, nil
}

// named is the member's name in a run's.
func named(run string) string {
	name, _, _ := strings.Cut(run, "/")
	return name
}

func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return time.Now(), t.g.o.Link.Send(link.Gossip, named(a.Name), a.Addr, b)
}

func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

func (t *transport) DialTimeout(addr string, within time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, within)
}

func (t *transport) DialAddressTimeout(a memberlist.Address, within time.Duration) (net.Conn, error) {
	return t.g.o.Link.Dial(link.Gossip, named(a.Name), a.Addr, within)
}

func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown ends this run's traffic; the link is not its own.
func (t *transport) Shutdown() error {
	t.once.Do(func() { close(t.end) })
	return nil
}

var _ memberlist.NodeAwareTransport = (*transport)(nil)
var _ io.Writer = libraryLog{}

func (g *Gossip) tellView(context.Context, string, []byte) ([]byte, error) {
	return json.Marshal(g.View())
}

// Views asks each living member for its view; one that doesn't answer in time is left out with its name.
func (g *Gossip) Views(within time.Duration) []View {
	ctx, stop := context.WithTimeout(g.ctx, within)
	defer stop()
	var names []string
	for _, m := range g.View().Members {
		if m.State == Alive.String() && !m.Self {
			names = append(names, m.Name)
		}
	}
	all := make([]View, len(names))
	var asked sync.WaitGroup
	for i, name := range names {
		asked.Go(func() {
			body, err := g.o.Link.Call(ctx, name, methodView, nil)
			if err == nil {
				err = json.Unmarshal(body, &all[i])
			}
			if err != nil {
				all[i] = View{Cluster: g.o.Settings.Name, Name: name, Fault: err.Error()}
			}
		})
	}
	asked.Wait()
	return all
}
