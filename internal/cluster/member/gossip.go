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

// Call methods between members.
const (
	methodLatestRun uint16 = 1 // returns the newest known run of a name
	methodView      uint16 = 2 // returns the member's view as JSON
)

const (
	epochQueryTimeout       = 500 * time.Millisecond // for the start-up query of this name's latest epoch
	leaveTimeout            = 300 * time.Millisecond // for the leave message to spread
	tickInterval            = 50 * time.Millisecond  // between two ticks of the core, at most
	statusInterval          = time.Second            // between two status broadcasts, at least
	statusIntervalPerMember = 50 * time.Millisecond  // times the number of members: bounds the total rate of statuses in the cluster
	epochFile               = "epoch"
	maxQueue                = 1024 // queued actions, and received packets not yet handled
	statusRetransmits       = 2    // retransmissions of each status, times the logarithm of the cluster size
)

// Transport connects the members. link.Link implements it; tests use one on a virtual clock.
type Transport interface {
	Addr() *net.TCPAddr
	Handle(method uint16, h link.Handler)
	Call(ctx context.Context, name string, method uint16, body []byte) ([]byte, error)
	Send(kind byte, name, address string, payload []byte) error
	Dial(kind byte, name, address string, timeout time.Duration) (net.Conn, error)
	Forget(name string)
}

// Options configure a Gossip.
type Options struct {
	Settings     *config.Settings
	OpsAddress   string // advertised address for operations, "" for none
	Build        string
	Seed         uint64
	Guards       Guards
	FS           disk.FS // stores the epoch; nil for none
	Log          *slog.Logger
	Transport    Transport
	Status       func() Status    // returns the status to broadcast; Sequence, Draining and Final are set by Gossip
	StateChanged func(c Change)   // called in order from one goroutine; may be nil
	WallClock    func() time.Time // nil for time.Now
}

// Gossip is this process's membership in the cluster.
type Gossip struct {
	options   Options
	startedAt time.Time
	cancel    context.CancelFunc
	done      chan struct{}
	ctx       context.Context
	exchanges sync.WaitGroup

	mu           sync.Mutex
	core         *Core
	self         Record
	list         *memberlist.Memberlist
	transport    *libraryTransport
	queue        []func() // actions of the core, to be run without locks
	sequence     uint64
	status       Status
	draining     bool
	final        bool
	renewed      bool
	supersededBy ID // the newer run, once this one is superseded
	statusSentAt time.Time
	broadcasts   memberlist.TransmitLimitedQueue
	wakeup       chan struct{}
}

// New prepares the membership and registers its handlers with the transport. Start joins the cluster.
func New(options Options) (*Gossip, error) {
	g := &Gossip{options: options, startedAt: time.Now(), done: make(chan struct{}), wakeup: make(chan struct{}, 1)}
	if options.WallClock == nil {
		g.options.WallClock = time.Now
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.broadcasts = memberlist.TransmitLimitedQueue{RetransmitMult: statusRetransmits, NumNodes: g.aliveCount}
	options.Transport.Handle(methodLatestRun, g.handleLatestRun)
	options.Transport.Handle(methodView, g.handleView)
	return g, nil
}

// Start joins the cluster, once the transport is serving. The run gets an epoch above those that the disk and other members
// know for its name. Peers are contacted in the background: a member that reaches nobody runs alone until it does.
func (g *Gossip) Start() error {
	if err := g.startRun(NextEpoch(g.readEpoch(), g.options.WallClock().Unix(), g.queryEpochs())); err != nil {
		g.cancel()
		return err
	}
	go g.loop()
	return nil
}

// readEpoch returns the epoch of the last run that is stored on this disk, or 0.
func (g *Gossip) readEpoch() uint64 {
	if g.options.FS == nil {
		return 0
	}
	raw, err := g.options.FS.Read(epochFile)
	if err != nil {
		return 0 // no file yet, or an unreadable disk: other members are asked as well
	}
	n, err := strconv.ParseUint(strings.TrimSpace(string(raw)), 10, 64)
	if err != nil {
		g.options.Log.Warn("cluster", "step", "directory", "fault", fmt.Sprintf("%s does not contain a number: %.40q", epochFile, raw))
	}
	return n
}

// queryEpochs asks the configured join addresses for the latest epoch of this member's name.
func (g *Gossip) queryEpochs() (known []uint64) {
	ctx, cancel := context.WithTimeout(g.ctx, epochQueryTimeout)
	defer cancel()
	var mu sync.Mutex
	var queries sync.WaitGroup
	for _, address := range g.options.Settings.Join {
		if address == g.options.Settings.Address {
			continue
		}
		queries.Go(func() {
			defer g.options.Transport.Forget(link.AtAddress(address))
			body, err := g.options.Transport.Call(ctx, link.AtAddress(address), methodLatestRun, []byte(g.options.Settings.Self))
			var latest wireLatestRun
			if err != nil || pack.Unpack(body, &latest) != nil {
				return
			}
			if id, ok := ParseID(latest.ID); ok {
				mu.Lock()
				defer mu.Unlock()
				known = append(known, id.Epoch)
			}
		})
	}
	queries.Wait()
	return known
}

// startRun starts a run with an epoch.
func (g *Gossip) startRun(epoch uint64) error {
	if g.options.FS != nil {
		if err := g.options.FS.Replace(epochFile, fmt.Appendf(nil, "%d\n", epoch)); err != nil {
			// Not fatal: other members remember the epoch, and the wall clock is a lower bound for the next one.
			g.options.Log.Warn("cluster", "step", "directory", "fault", err)
		}
	}
	settings := g.options.Settings
	g.mu.Lock()
	g.self = Record{
		ID: ID{settings.Self, epoch, rand.Uint64() ^ g.options.Seed}, Zone: settings.Zone, Address: g.options.Transport.Addr().String(), OpsAddress: g.options.OpsAddress, Build: g.options.Build,
		MinVersion: link.MinVersion, MaxVersion: link.MaxVersion,
	}
	g.core = NewCore(g.self, settings, g.options.Guards, g.options.Seed, 0, g.renewed, (*coreActions)(g))
	g.transport = &libraryTransport{gossip: g, packets: make(chan *memberlist.Packet, maxQueue), streams: make(chan net.Conn), done: make(chan struct{})}
	g.sequence, g.statusSentAt = 0, time.Time{}
	transport, self, callbacks := g.transport, g.self, &delegate{g, g.core, g.self}
	g.mu.Unlock()

	conf := memberlist.DefaultLANConfig()
	conf.Name, conf.Transport, conf.Delegate, conf.Events, conf.Alive, conf.Ping = self.ID.String(), transport, callbacks, callbacks, callbacks, callbacks
	bound := g.options.Transport.Addr()
	conf.AdvertiseAddr, conf.AdvertisePort, conf.BindAddr, conf.BindPort = bound.IP.String(), bound.Port, bound.IP.String(), bound.Port
	conf.ProbeInterval, conf.ProbeTimeout, conf.TCPTimeout = settings.ProbeInterval, settings.ProbeInterval/2, config.ExchangeTimeout
	conf.SuspicionMult, conf.SuspicionMaxTimeoutMult, conf.AwarenessMaxMultiplier = config.SuspicionMultiplier, config.SuspicionMaxFactor, config.MaxProbeSlowdown
	conf.IndirectChecks, conf.RetransmitMult = config.IndirectProbes, config.RetransmitMultiplier
	conf.GossipInterval, conf.GossipNodes, conf.GossipToTheDeadTime = settings.ProbeInterval/config.GossipRoundsPerProbe, config.GossipFanout, time.Minute
	conf.PushPullInterval = config.ExchangeProbes * settings.ProbeInterval
	conf.EnableCompression = false
	conf.LogOutput, conf.Logger = nil, log.New(libraryLog{g.options.Log}, "", 0)
	list, err := memberlist.Create(conf)
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.list = list
	g.mu.Unlock()
	g.options.Log.Info("cluster", "step", "begun", "cluster", settings.Name, "member", self.ID, "address", self.Address, "join", len(settings.Join))
	return nil
}

// libraryLog writes the library's log lines at debug level; important events are logged as state changes.
type libraryLog struct{ log *slog.Logger }

func (l libraryLog) Write(line []byte) (int, error) {
	l.log.Debug("cluster", "step", "library", "text", string(bytes.TrimSpace(line)))
	return len(line), nil
}

func (g *Gossip) now() int64 { return int64(time.Since(g.startedAt)) }

func (g *Gossip) aliveCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.AliveCount()
}

// enqueue queues f to be run by loop, in order and without locks. It drops f if the queue is full. The caller holds g.mu.
func (g *Gossip) enqueue(f func()) {
	if len(g.queue) < maxQueue {
		g.queue = append(g.queue, f)
	}
	select {
	case g.wakeup <- struct{}{}:
	default:
	}
}

// loop ticks the core, runs its queued actions and broadcasts the status.
func (g *Gossip) loop() {
	defer close(g.done)
	tick := time.NewTicker(min(tickInterval, g.options.Settings.ProbeInterval/4))
	defer tick.Stop()
	for {
		g.mu.Lock()
		g.core.Tick(g.now())
		queued := g.queue
		g.queue = nil
		g.mu.Unlock()
		for _, f := range queued {
			f()
		}
		g.broadcastStatus(false)
		select {
		case <-tick.C:
		case <-g.wakeup:
		case <-g.ctx.Done():
			return
		}
	}
}

// broadcastStatus broadcasts the status of this process, if it is due or immediately is set.
func (g *Gossip) broadcastStatus(immediately bool) {
	g.mu.Lock()
	interval := max(statusInterval, time.Duration(g.core.AliveCount())*statusIntervalPerMember)
	if g.core.Superseded() || !immediately && time.Since(g.statusSentAt) < interval {
		g.mu.Unlock()
		return
	}
	g.statusSentAt = time.Now()
	g.mu.Unlock()
	status := g.options.Status()
	g.mu.Lock()
	g.sequence++
	status.Sequence, status.Draining, status.Final = g.sequence, g.draining, g.final
	g.status = status
	id := g.self.ID
	g.mu.Unlock()
	wire := newWireStatus(id, status)
	raw := pack.Pack(&wire)
	g.broadcasts.QueueBroadcast(statusBroadcast{id.String(), raw})
	if immediately { // gossip takes several rounds, so the status is also sent to each member directly
		g.mu.Lock()
		list := g.list
		g.mu.Unlock()
		for _, node := range list.Members() {
			if node.Name != id.String() {
				list.SendBestEffort(node, raw)
			}
		}
	}
}

// statusBroadcast is a queued status; a newer one replaces an older one of the same run.
type statusBroadcast struct {
	id  string
	raw []byte
}

func (b statusBroadcast) Name() string    { return b.id }
func (b statusBroadcast) Message() []byte { return b.raw }
func (b statusBroadcast) Finished()       {}
func (b statusBroadcast) Invalidates(other memberlist.Broadcast) bool {
	o, ok := other.(statusBroadcast)
	return ok && o.id == b.id
}

// SetDraining sets whether this process is draining, that is, accepts no new clients, and broadcasts it immediately.
func (g *Gossip) SetDraining(draining bool) {
	g.mu.Lock()
	g.draining = draining
	g.mu.Unlock()
	g.broadcastStatus(true)
}

// BroadcastStatus broadcasts the status of this process immediately.
func (g *Gossip) BroadcastStatus() { g.broadcastStatus(true) }

// Leave leaves the cluster and closes g. The other members are informed, so they do not treat it as a failure.
func (g *Gossip) Leave() {
	g.mu.Lock()
	list := g.list
	g.draining, g.final = true, true
	g.mu.Unlock()
	g.broadcastStatus(true)
	list.Leave(leaveTimeout)
	g.Close()
}

// Close stops the membership without informing the other members.
func (g *Gossip) Close() {
	g.cancel()
	<-g.done
	g.exchanges.Wait()
	g.mu.Lock()
	list := g.list
	g.mu.Unlock()
	list.Shutdown()
}

// View is the cluster membership as one member sees it.
type View struct {
	Cluster      string       `json:"cluster"`
	Self         string       `json:"self"`
	Name         string       `json:"name"`
	SupersededBy string       `json:"over,omitempty"` // the newer run of this name, if this one is superseded
	Members      []MemberView `json:"members"`
	Error        string       `json:"fault,omitempty"` // why the member returned no view
}

// MemberView is one run in a view. Its ages are in milliseconds on the clock of the member that has the view.
type MemberView struct {
	Name             string   `json:"name"`
	Epoch            uint64   `json:"epoch"`
	Run              string   `json:"run"`
	State            string   `json:"state"`
	Self             bool     `json:"self,omitempty"`
	Draining         bool     `json:"leaving,omitempty"`
	Zone             string   `json:"zone,omitempty"`
	Address          string   `json:"address"`
	OpsAddress       string   `json:"ops,omitempty"`
	Build            string   `json:"build,omitempty"`
	StateMillis      int64    `json:"for_ms"` // time in this state
	LastHeardMillis  int64    `json:"age_ms"` // time since the last message from or about the run
	OpenTransactions int64    `json:"open"`
	Rate             float64  `json:"rate"`
	Pools            []string `json:"offers,omitempty"`
}

func (g *Gossip) memberView(m Member, now int64) MemberView {
	const ms = int64(time.Millisecond)
	return MemberView{
		Name: m.Name, Epoch: m.Epoch, Run: strconv.FormatUint(m.Run, 16), State: m.State.String(), Draining: m.Draining, Zone: m.Zone, Address: m.Address,
		OpsAddress: m.OpsAddress, Build: m.Build, StateMillis: (now - m.StateSince) / ms, LastHeardMillis: (now - m.LastHeard) / ms, OpenTransactions: m.OpenTransactions, Rate: m.Rate, Pools: m.Pools,
	}
}

// View returns the membership as this member sees it.
func (g *Gossip) View() View {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	v := View{Cluster: g.options.Settings.Name, Self: g.self.ID.String(), Name: g.self.Name}
	own := g.memberView(Member{Record: g.self, Status: g.status, State: Alive, LastHeard: now}, now)
	own.Self = true
	if g.core.Superseded() {
		v.SupersededBy, own.State = g.supersededBy.String(), Superseded.String()
	}
	v.Members = append(v.Members, own)
	for _, m := range g.core.View() {
		v.Members = append(v.Members, g.memberView(m, now))
	}
	slices.SortStableFunc(v.Members, func(a, b MemberView) int { return strings.Compare(a.Name, b.Name) })
	return v
}

// Resolve returns the address of the newest known run of a member.
func (g *Gossip) Resolve(name string) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.core == nil {
		return "", false
	}
	m, known := g.core.Current(name)
	return m.Address, known
}

// MembersServing returns the members that serve a pool, sorted by name: this one, those alive, and those dead for less than
// deadFor. It returns only this member once its run is superseded.
func (g *Gossip) MembersServing(pool string, deadFor time.Duration) (all []Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	all = append(all, Member{Record: g.self, Status: g.status, State: Alive})
	if g.core.Superseded() {
		return all
	}
	now := g.now()
	for _, m := range g.core.View() {
		counts := m.State == Alive || m.State == Dead && now-m.StateSince < int64(deadFor)
		if counts && m.Name != g.self.Name && slices.Contains(m.Pools, pool) {
			all = append(all, m)
		}
	}
	slices.SortStableFunc(all, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// AliveMembers returns the other live members.
func (g *Gossip) AliveMembers() (all []Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.core.View() {
		if m.State == Alive {
			all = append(all, m)
		}
	}
	return all
}

// RunEnded reports whether a member's run has ended as far as this member knows: it left, was superseded, or has been dead for
// longer than deadFor. An unknown run has ended once this member has run for twice deadFor and for the failure detection bound.
func (g *Gossip) RunEnded(name string, epoch uint64, deadFor time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for _, m := range g.core.runsOf(name) {
		if m.Epoch == epoch {
			return m.State == Left || m.State == Superseded || m.State == Dead && now-m.StateSince > int64(deadFor)
		}
	}
	return now > int64(2*deadFor) && now > int64(g.options.Settings.DeathBound(g.core.AliveCount()))
}

// Superseded reports whether a newer run of this name has superseded this one.
func (g *Gossip) Superseded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Superseded()
}

// RenewEpoch restarts this process's membership as a new run with an epoch above the given one, if its epoch is not already.
func (g *Gossip) RenewEpoch(above uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.self.Epoch <= above {
		(*coreActions)(g).RenewEpoch(above)
	}
}

// ObserveNewerSelf handles the information, agreed by the cluster, that a newer run of this name exists.
func (g *Gossip) ObserveNewerSelf(newer ID, ended bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.HandleSuperseded(g.now(), g.self.ID, newer, ended)
}

// UpdateSettings applies the settings that can change at run time: the join addresses and the address overrides.
func (g *Gossip) UpdateSettings(settings *config.Settings) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.options.Settings.Join, g.options.Settings.AddressOverrides = settings.Join, settings.AddressOverrides
}

// Self returns the record of this run.
func (g *Gossip) Self() Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self
}

func (g *Gossip) handleLatestRun(_ context.Context, _ string, body []byte) ([]byte, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.core == nil {
		return nil, errors.New("membership not started")
	}
	latest, known := g.core.latestRuns[string(body)]
	if !known {
		return pack.Pack(&wireLatestRun{}), nil
	}
	return pack.Pack(&wireLatestRun{latest.String(), latest.Ended}), nil
}

// HandlePacket passes a gossip datagram to the library. It takes ownership of payload.
func (g *Gossip) HandlePacket(payload []byte, from net.Addr) {
	g.mu.Lock()
	transport := g.transport
	g.mu.Unlock()
	if transport == nil {
		return
	}
	select {
	case transport.packets <- &memberlist.Packet{Buf: payload, From: from, Timestamp: time.Now()}:
	default: // queue full: dropped, as any datagram may be
	}
}

// HandleStream passes an accepted gossip connection to the library, which closes it.
func (g *Gossip) HandleStream(conn net.Conn) {
	g.mu.Lock()
	transport := g.transport
	g.mu.Unlock()
	if transport == nil {
		conn.Close()
		return
	}
	select {
	case transport.streams <- conn:
	case <-transport.done:
		conn.Close()
	}
}

// HandleNotice handles the notice that a run is superseded.
func (g *Gossip) HandleNotice(payload []byte) {
	var notice wireNotice
	if pack.Unpack(payload, &notice) != nil {
		return
	}
	old, ok1 := ParseID(notice.Old)
	newer, ok2 := ParseID(notice.Newer)
	if !ok1 || !ok2 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.core != nil {
		g.core.HandleSuperseded(g.now(), old, newer, notice.Ended)
	}
}

// coreActions implements Actions. The core calls it with Gossip.mu held.
type coreActions Gossip

func (a *coreActions) StateChanged(change Change) {
	g := (*Gossip)(a)
	g.enqueue(func() {
		g.options.Log.Info("cluster", "step", "member", "member", change.ID, "state", change.State, "was", change.Previous, "zone", change.Zone, "address", change.Address)
		if change.State == Left || change.State == Superseded || change.State == Dead {
			g.options.Transport.Forget(change.Name)
		}
		if g.options.StateChanged != nil {
			g.options.StateChanged(change)
		}
	})
}

func (a *coreActions) ExchangeState(name, address string) {
	g := (*Gossip)(a)
	list := g.list
	g.enqueue(func() {
		if list == nil {
			return
		}
		g.exchanges.Go(func() { // in the background: an exchange that hangs must not delay the others
			resolved, err := net.ResolveTCPAddr("tcp", address)
			if err != nil || g.ctx.Err() != nil {
				return
			}
			if name != "" {
				list.Join([]string{name + "/" + resolved.String()})
			} else {
				list.Join([]string{resolved.String()})
			}
		})
	})
}

func (a *coreActions) NotifySuperseded(old, newer ID, address string) {
	g := (*Gossip)(a)
	ended := g.core.latestRuns[newer.Name].Ended
	g.enqueue(func() {
		g.options.Transport.Send(link.KindNotice, old.Name, address, pack.Pack(&wireNotice{old.String(), newer.String(), ended}))
	})
}

func (a *coreActions) SelfSuperseded(newer ID) {
	g := (*Gossip)(a)
	g.supersededBy = newer
	g.enqueue(func() {
		g.options.Log.Error("cluster", "step", "over", "member", g.self.ID, "newer", newer,
			"fault", "a newer run of this name exists; this run has left the cluster and serves by its local state only")
		g.mu.Lock()
		list := g.list
		g.mu.Unlock()
		list.Leave(leaveTimeout)
		if g.options.StateChanged != nil {
			g.options.StateChanged(Change{Member: Member{Record: g.Self(), State: Superseded}, Previous: Alive})
		}
	})
}

func (a *coreActions) RenewEpoch(above uint64) {
	g := (*Gossip)(a)
	g.enqueue(func() {
		g.mu.Lock()
		list, stale := g.list, g.self.Epoch > above
		g.renewed = true
		g.mu.Unlock()
		if stale { // already renewed by an earlier request
			return
		}
		g.options.Log.Info("cluster", "step", "renewed", "epoch", above+1, "why", "other members know a later run of this name")
		list.Shutdown()
		if err := g.startRun(above + 1); err != nil {
			g.options.Log.Error("cluster", "step", "renewed", "fault", err)
		}
	})
}

// delegate receives the library's callbacks for one run. The library calls it with its own locks held, so its methods must
// not call the library. Callbacks may also arrive for a run whose epoch has since been renewed; they go to that run's core.
type delegate struct {
	gossip *Gossip
	core   *Core
	self   Record
}

// withCore calls f with the run's core and the current time, under the lock.
func (d *delegate) withCore(f func(c *Core, now int64)) {
	d.gossip.mu.Lock()
	defer d.gossip.mu.Unlock()
	f(d.core, d.gossip.now())
}

// nodeRecord decodes the record in a node's metadata and checks it against the node's name.
func nodeRecord(node *memberlist.Node) (Record, error) {
	record, err := decodeRecord(node.Meta)
	if err == nil && record.ID.String() != node.Name {
		err = fmt.Errorf("node name does not match its record %s", record.ID)
	}
	return record, err
}

// NodeMeta returns the encoded record. If it exceeds limit, the build is omitted and the zone shortened.
func (d *delegate) NodeMeta(limit int) []byte {
	raw := d.self.encode()
	if len(raw) > limit {
		short := d.self
		short.Build, short.Zone = "", short.Zone[:min(len(short.Zone), 64)]
		raw = short.encode()
	}
	return raw
}

func (d *delegate) NotifyAlive(node *memberlist.Node) (err error) {
	record, err := nodeRecord(node)
	if err != nil {
		return err
	}
	d.withCore(func(c *Core, now int64) { err = c.Admit(now, record) })
	return err
}

func (d *delegate) NotifyJoin(node *memberlist.Node) {
	if record, err := nodeRecord(node); err == nil {
		d.withCore(func(c *Core, now int64) { c.ObserveAlive(now, record) })
	}
}

func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.NotifyJoin(n) }

func (d *delegate) NotifyLeave(node *memberlist.Node) {
	if record, err := nodeRecord(node); err == nil {
		d.withCore(func(c *Core, now int64) { c.ObserveEnd(now, record.ID) })
	}
}

func (d *delegate) AckPayload() []byte { return nil }

func (d *delegate) NotifyPingComplete(node *memberlist.Node, _ time.Duration, _ []byte) {
	if id, ok := ParseID(node.Name); ok {
		d.withCore(func(c *Core, now int64) { c.ObserveContact(now, id) })
	}
}

func (d *delegate) NotifyMsg(raw []byte) {
	var wire wireStatus
	if pack.Unpack(raw, &wire) != nil {
		return
	}
	id, status, ok := wire.decode()
	if !ok {
		return
	}
	isNew := false
	d.withCore(func(c *Core, now int64) { isNew = c.UpdateStatus(now, id, status) })
	if isNew { // forwarded, so that it reaches all members
		d.gossip.broadcasts.QueueBroadcast(statusBroadcast{wire.ID, append([]byte(nil), raw...)})
	}
}

func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.gossip.broadcasts.GetBroadcasts(overhead, limit)
}

func (d *delegate) LocalState(bool) []byte {
	var state wireState
	g := d.gossip
	g.mu.Lock()
	defer g.mu.Unlock()
	if d.core.guards.Epochs {
		for _, m := range d.core.LatestRuns() {
			state.LatestRuns = append(state.LatestRuns, wireLatestRun{m.String(), m.Ended})
		}
	}
	if g.status.Sequence > 0 && g.core == d.core {
		state.Statuses = append(state.Statuses, newWireStatus(d.self.ID, g.status))
	}
	for _, m := range d.core.View() {
		if (m.State == Alive || m.State == Left) && m.Sequence > 0 {
			state.Statuses = append(state.Statuses, newWireStatus(m.ID, m.Status))
		}
	}
	return pack.Pack(&state)
}

func (d *delegate) MergeRemoteState(raw []byte, _ bool) {
	var state wireState
	if pack.Unpack(raw, &state) != nil {
		return
	}
	var latest []LatestRun
	for _, m := range state.LatestRuns {
		if id, ok := ParseID(m.ID); ok {
			latest = append(latest, LatestRun{id, m.Ended})
		}
	}
	d.withCore(func(c *Core, now int64) {
		c.MergeLatestRuns(now, latest)
		for _, wire := range state.Statuses {
			if id, status, ok := wire.decode(); ok {
				c.UpdateStatus(now, id, status)
			}
		}
	})
}

// libraryTransport carries the library's traffic over the Transport, for one run.
type libraryTransport struct {
	gossip       *Gossip
	packets      chan *memberlist.Packet
	streams      chan net.Conn
	done         chan struct{}
	shutdownOnce sync.Once
}

func (t *libraryTransport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	bound := t.gossip.options.Transport.Addr()
	return bound.IP, bound.Port, nil
}

// memberName returns the member name in the text form of an ID.
func memberName(run string) string {
	name, _, _ := strings.Cut(run, "/")
	return name
}

func (t *libraryTransport) WriteTo(packet []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(packet, memberlist.Address{Addr: addr})
}

func (t *libraryTransport) WriteToAddress(packet []byte, address memberlist.Address) (time.Time, error) {
	return time.Now(), t.gossip.options.Transport.Send(link.KindGossip, memberName(address.Name), address.Addr, packet)
}

func (t *libraryTransport) PacketCh() <-chan *memberlist.Packet { return t.packets }

func (t *libraryTransport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

func (t *libraryTransport) DialAddressTimeout(address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.gossip.options.Transport.Dial(link.KindGossip, memberName(address.Name), address.Addr, timeout)
}

func (t *libraryTransport) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown ends this run's traffic. The underlying Transport stays open.
func (t *libraryTransport) Shutdown() error {
	t.shutdownOnce.Do(func() { close(t.done) })
	return nil
}

var _ memberlist.NodeAwareTransport = (*libraryTransport)(nil)
var _ io.Writer = libraryLog{}

func (g *Gossip) handleView(context.Context, string, []byte) ([]byte, error) {
	return json.Marshal(g.View())
}

// CollectViews asks each other live member for its view. If one does not answer in time, its view has only a name and an error.
func (g *Gossip) CollectViews(timeout time.Duration) []View {
	ctx, cancel := context.WithTimeout(g.ctx, timeout)
	defer cancel()
	var names []string
	for _, m := range g.View().Members {
		if m.State == Alive.String() && !m.Self {
			names = append(names, m.Name)
		}
	}
	views := make([]View, len(names))
	var queries sync.WaitGroup
	for i, name := range names {
		queries.Go(func() {
			body, err := g.options.Transport.Call(ctx, name, methodView, nil)
			if err == nil {
				err = json.Unmarshal(body, &views[i])
			}
			if err != nil {
				views[i] = View{Cluster: g.options.Settings.Name, Name: name, Error: err.Error()}
			}
		})
	}
	queries.Wait()
	return views
}
