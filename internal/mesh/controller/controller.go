// Package controller is the control plane: a process of the core. It keeps a copy of what is agreed (consensus, storage), knows by
// gossip who is there (membership), answers the operator, and gives balancers their news.
package controller

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/membership"
	"ottershift/internal/mesh/routing"
	"ottershift/internal/mesh/rpc"
	"ottershift/internal/mesh/settings"
	"ottershift/internal/mesh/storage"
	"ottershift/internal/mesh/telemetry"
)

const (
	gossipInterval  = 250 * time.Millisecond
	peerTimeout     = time.Duration(consensus.AwayAfter)
	maxDiskAttempts = 100                    // at a disk that refuses, before the process gives up
	diskRetryPause  = 200 * time.Millisecond // between two of them
	settleAfter     = 150 * time.Millisecond // for which something may stand accepted and undecided
)

// Hello is how processes of the core know one another.
type PeerInfo struct {
	ID, At, Zone string
	Index        uint64
}

// Controller is one process of the core.
type Controller struct {
	settings   *settings.Settings
	log        *slog.Logger
	counts     *telemetry.Counters
	caller     *rpc.Caller
	replicator *replicator
	store      *storage.Store
	life       string
	epoch      time.Time

	mu        sync.Mutex
	seeds     []string
	registry  *membership.Registry
	changed   chan struct{}       // closed at each change of the registry
	peers     map[string]PeerInfo // by address
	lastHeard map[string]int64    // when, by address
	sent      map[string]uint64
	pending   int64 // since when something stands undecided, 0 for nothing
	core      string

	parsed struct {
		sync.Mutex
		table *routing.Configuration
	}
	wake    chan struct{}
	bank    bank
	ledger  creditLedger
	gateway federationGateway

	acting atomic.Bool // on what the core's first process has to do
}

// Open opens the disk and makes the process; it serves nobody yet.
func Open(b *settings.Settings, log *slog.Logger) (*Controller, error) {
	c := &Controller{
		settings: b, log: log, counts: telemetry.NewCounters(), caller: rpc.NewCaller(), life: storage.NewIdentity(), epoch: time.Now(),
		registry: membership.NewRegistry(), changed: make(chan struct{}), peers: map[string]PeerInfo{}, lastHeard: map[string]int64{},
		gateway: federationGateway{asking: map[string]bool{}, heard: map[string]int64{}, faults: map[string]string{}, told: map[string]int64{}, doors: map[string]uint64{}},
		sent:    map[string]uint64{}, wake: make(chan struct{}, 1),
	}
	self := b.Inner()
	c.seeds = inner(b, b.Seeds)
	dir := b.DataDir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "controller"); err != nil { // no disk: a copy that lives as long as the process
			return nil, err
		}
	}
	first := func() (string, *consensus.State) {
		founders := slices.Clone(c.seeds)
		slices.Sort(founders)
		if b.FirstStart && slices.Contains(founders, self) {
			return consensus.FounderID(self), consensus.Founders(founders, func(string) string { return "" }, b.Tolerate.Machines)
		}
		return storage.NewIdentity(), &consensus.State{} // a stranger: no core that it knows of, so nothing that it could decide
	}
	w, copied, fresh, err := storage.Open(dir, first)
	for n := 0; err != nil && n < maxDiskAttempts; n++ { // a disk in trouble refuses for seconds
		if n == 0 {
			log.Warn("disk", "err", err)
		}
		time.Sleep(diskRetryPause)
		w, copied, fresh, err = storage.Open(dir, first)
	}
	if err != nil {
		return nil, err
	}
	log.Info("disk", "id", copied.ID, "fresh", fresh, "index", copied.Decided.Index, "edition", copied.Decided.Edition, "first", b.FirstStart)
	c.store = w
	c.replicator = newReplicator(copied, w, c.caller, c.counts, self, c.life)
	return c, nil
}

// inner turns addresses of seeds into those of the mesh's own port.
func inner(b *settings.Settings, seeds []string) (all []string) {
	for _, at := range seeds {
		all = append(all, settings.InnerOf(settings.Host(at), b.InnerFirst))
	}
	return all
}

func (c *Controller) now() int64 { return int64(time.Since(c.epoch)) }

// Reseed takes other seeds, as the settings name them now.
func (c *Controller) Reseed(b *settings.Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = inner(c.settings, b.Seeds)
}

// Run serves until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	control, err := net.Listen("tcp4", c.settings.Control)
	if err != nil {
		return err
	}
	mesh, err := net.Listen("tcp4", c.settings.Inner())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc(rpc.PathConsensus, rpc.Handle(c.replicator.handle))
	mux.HandleFunc(rpc.PathGossip, rpc.Handle(c.handleGossip))
	mux.HandleFunc(rpc.PathWatch, rpc.Handle(c.handleWatch))
	mux.HandleFunc(rpc.PathTokens, rpc.Handle(c.handleTokenRequest))
	mux.HandleFunc(rpc.PathPartner, rpc.Handle(c.handlePartnerOrder))
	mux.HandleFunc(rpc.PathCredit, rpc.Handle(c.handleCreditReport))
	mux.HandleFunc(rpc.PathCreditOrder, rpc.Handle(c.handleCreditOrder))
	mux.HandleFunc(rpc.PathStatus, rpc.Handle(c.status))
	mux.HandleFunc(rpc.PathFigures, c.figures)
	servers := []*http.Server{
		{Handler: http.HandlerFunc(c.serveControl), ReadHeaderTimeout: 5 * time.Second, ErrorLog: slog.NewLogLogger(c.log.Handler(), slog.LevelDebug)},
		{Handler: mux, ErrorLog: slog.NewLogLogger(c.log.Handler(), slog.LevelDebug)},
	}
	go servers[0].Serve(control)
	go servers[1].Serve(mesh)
	go c.counts.Say(c.log, 5*time.Second, ctx.Done())
	c.runLoop(ctx)
	stop, end := context.WithTimeout(context.Background(), time.Second)
	defer end()
	for _, s := range servers {
		s.Shutdown(stop)
	}
	c.replicator.written.Lock() // nothing is written any more
	return c.store.Close()
}

// tend is the loop that keeps what is as it is wanted: copies current, the registry swept, the core whole.
func (c *Controller) runLoop(ctx context.Context) {
	t := time.NewTicker(gossipInterval)
	defer t.Stop()
	for {
		go c.maintain(ctx)
		select {
		case <-t.C:
		case <-c.wake:
		case <-ctx.Done():
			return
		}
	}
}

// others are the addresses of all processes of the core that are known of.
func (c *Controller) otherControllers() (all []string) {
	s, _ := c.replicator.state()
	c.mu.Lock()
	defer c.mu.Unlock()
	add := func(at string) {
		if at != c.settings.Inner() && !slices.Contains(all, at) {
			all = append(all, at)
		}
	}
	for _, m := range s.Core {
		add(m.At)
	}
	for _, at := range c.seeds {
		add(at)
	}
	for at := range c.peers {
		add(at)
	}
	slices.Sort(all)
	return all
}

func (c *Controller) maintain(ctx context.Context) {
	now := c.now()
	c.mu.Lock()
	if c.registry.Expire(now) {
		c.notifyWatchers()
	}
	c.mu.Unlock()
	for _, at := range c.otherControllers() {
		go c.gossip(ctx, at)
	}
	s, _ := c.replicator.state()
	if len(s.Core) == 0 {
		return
	}
	_, _, pending := c.replicator.readMajority(ctx)
	c.mu.Lock()
	core := coreText(s)
	if core != c.core {
		c.core = core
		c.log.Info("core", "index", s.Index, "members", core)
	}
	switch {
	case !pending:
		c.pending = 0
	case c.pending == 0:
		c.pending = now
	}
	mend := c.pending != 0 && now-c.pending > int64(settleAfter)*int64(1+c.rank(s))
	c.mu.Unlock()
	if mend {
		c.counts.Add("settled_for_others")
		within, end := context.WithTimeout(ctx, 2*time.Second)
		defer end()
		c.replicator.change(within, c.otherControllers, func(*consensus.State) (*consensus.State, error) { return nil, nil })
	}
	if c.acting.CompareAndSwap(false, true) { // one change at a time from here
		defer c.acting.Store(false)
		s, _ = c.replicator.state()
		c.maintainMembership(ctx, s)
		c.updateMemberCount(ctx, s)
		c.takeCoordinator(ctx, s)
		c.accrueCredit(s)
		c.partners(ctx, s)
	}
}

// census has the number of balancers agreed, by which what all may spend is shared out: more at once, fewer once leases
// have run out for long.
func (c *Controller) updateMemberCount(ctx context.Context, s *consensus.State) {
	if !c.replicator.current() {
		return
	}
	c.mu.Lock()
	n := c.registry.Known()
	first := c.rank(s) == 0
	young := c.now() < membership.Remembered
	c.mu.Unlock()
	if !first || n == s.Members || n < s.Members && young || n == 0 {
		return
	}
	within, end := context.WithTimeout(ctx, 2*time.Second)
	defer end()
	c.replicator.change(within, c.otherControllers, func(newest *consensus.State) (*consensus.State, error) {
		if newest.Members == n {
			return nil, nil
		}
		return newest.WithMembers(n), nil
	})
}

func coreText(s *consensus.State) string {
	var all []string
	for _, m := range s.Core {
		all = append(all, m.At+"="+m.ID)
	}
	return strings.Join(all, " ")
}

// heardOf is the other processes of the core as they are heard of. Under mu.
func (c *Controller) peerStatuses() (all []consensus.PeerStatus) {
	for at, h := range c.peers {
		heard := consensus.PeerStatus{Member: consensus.Member{ID: h.ID, At: at, Zone: h.Zone}, SilentFor: -1}
		if last, is := c.lastHeard[at]; is {
			heard.SilentFor = c.now() - last
		}
		all = append(all, heard)
	}
	return all
}

// rank is this process's place in the agreed order of those that are there. Under mu.
func (c *Controller) rank(s *consensus.State) int {
	return s.Rank(c.replicator.identity(), c.peerStatuses())
}

// adopt keeps the core whole. It is decided by agreement with the core as it is, so who does it twice or late does no
// harm.
func (c *Controller) maintainMembership(ctx context.Context, s *consensus.State) {
	if !c.replicator.current() {
		return
	}
	c.mu.Lock()
	self := consensus.Member{ID: c.replicator.identity(), At: c.settings.Inner(), Zone: c.settings.District}
	a, wanted := s.PlanMembership(self, c.peerStatuses(), c.now())
	first := c.rank(s) == 0
	c.mu.Unlock()
	if !wanted || !first {
		return
	}
	within, end := context.WithTimeout(ctx, 2*time.Second)
	defer end()
	_, err := c.replicator.change(within, c.otherControllers, func(newest *consensus.State) (*consensus.State, error) { return newest.ApplyMembership(a), nil })
	c.log.Info("adopt", "out", a.Remove, "in", a.Add.ID, "at", a.Add.At, "err", err)
}

// stir wakes who waits for news of the registry. Under mu.
func (c *Controller) notifyWatchers() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Mingle is what processes of the core tell one another.
type GossipMessage struct {
	Peer       PeerInfo             `json:"Hello"`
	Renewals   []membership.Renewal `json:"Beats"`
	Nodes      []membership.Record  `json:"Nests,omitempty"`
	Seq        uint64               // of the teller's registry, that Nodes bring the hearer to
	Controller string               `json:"Comb"`
	Ages       map[string]int64     `json:",omitempty"` // since partners confirmed their words
}

// Mingled is what comes back.
type GossipReply struct {
	Peer  PeerInfo   `json:"Hello"`
	More  bool       // a beat was of a node not known as told
	Peers []PeerInfo `json:"Known"`
}

func (c *Controller) peerInfo() PeerInfo {
	s, _ := c.replicator.state()
	return PeerInfo{c.replicator.identity(), c.settings.Inner(), c.settings.District, s.Index}
}

// mingle tells one other process what it has not been told yet.
func (c *Controller) gossip(ctx context.Context, at string) {
	m := &GossipMessage{Peer: c.peerInfo(), Controller: c.life, Ages: c.confirmationAges()}
	c.mu.Lock()
	now := c.now()
	seq := c.sent[at]
	if seq < c.registry.Seq() {
		nests, _, _ := c.registry.ChangesSince(seq, now)
		for _, n := range nests {
			if !n.Lost {
				m.Nodes = append(m.Nodes, n)
			}
		}
	}
	m.Seq, m.Renewals = c.registry.Seq(), c.registry.OwnRenewals(now)
	c.mu.Unlock()
	ctx, end := context.WithTimeout(ctx, readTimeout)
	defer end()
	back := &GossipReply{}
	if err := c.caller.Call(ctx, at, rpc.PathGossip, m, back); err != nil {
		return
	}
	if s, _ := c.replicator.state(); back.Peer.Index > s.Index {
		if told := c.replicator.send(ctx, at, consensus.Request{Kind: consensus.ReadState, Slot: s.Index}); told != nil && told.Decided != nil {
			c.counts.Add("copies_mended")
			c.replicator.learn(told.Decided)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sent[at] = m.Seq; back.More {
		c.sent[at] = 0
	}
	c.recordPeer(back.Peer)
	for _, h := range back.Peers {
		if _, is := c.peers[h.At]; !is && h.At != c.settings.Inner() {
			c.peers[h.At] = h
		}
	}
}

// meet notes that a process of the core was heard of. Under mu.
func (c *Controller) recordPeer(h PeerInfo) {
	if h.At == c.settings.Inner() || h.At == "" {
		return
	}
	c.peers[h.At], c.lastHeard[h.At] = h, c.now()
}

// mingled takes what another process of the core tells.
func (c *Controller) handleGossip(_ context.Context, m *GossipMessage) (*GossipReply, error) {
	c.mergeConfirmationAges(m.Ages)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.recordPeer(m.Peer)
	news := false
	for _, n := range m.Nodes {
		news = c.registry.Observe(n.Node, n.Age, now, false) || news
	}
	renewed, more := c.registry.Renew(m.Renewals, now)
	if news || renewed {
		c.notifyWatchers()
	}
	back := &GossipReply{Peer: c.peerInfo(), More: more}
	for at, h := range c.peers {
		if now-c.lastHeard[at] < int64(5*time.Second) {
			back.Peers = append(back.Peers, h)
		}
	}
	return back, nil
}

// asked renews a balancer's lease and answers once there is news, or when its wait is over.
func (c *Controller) handleWatch(ctx context.Context, a *membership.WatchRequest) (*membership.WatchResponse, error) {
	c.counts.Add("asks")
	c.mu.Lock()
	news := c.registry.Observe(a.Node, 0, c.now(), true)
	if news {
		c.notifyWatchers()
	}
	c.mu.Unlock()
	if news {
		select {
		case c.wake <- struct{}{}: // others hear of it now, not at the next turn
		default:
		}
	}
	until := time.NewTimer(time.Duration(a.MaxWait))
	defer until.Stop()
	for {
		s, decided := c.replicator.state()
		c.mu.Lock()
		told := c.changed
		there := a.Position.Controller == c.life && a.Position.Seq == c.registry.Seq()
		c.mu.Unlock()
		if !there || s.Index > a.Position.Index || !c.replicator.current() {
			return c.watchResponse(a, s), nil
		}
		select {
		case <-decided:
		case <-told:
			select { // what changes together is told together
			case <-time.After(15 * time.Millisecond):
			case <-ctx.Done():
			}
		case <-until.C:
			return c.watchResponse(a, s), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// tidings is what a balancer has not got yet.
func (c *Controller) watchResponse(a *membership.WatchRequest, s *consensus.State) *membership.WatchResponse {
	out := &membership.WatchResponse{Position: membership.Position{Controller: c.life, Index: s.Index, Edition: s.Edition}, Current: c.replicator.current(), Members: s.Members}
	if imports := c.imports(s); imports.No > 0 {
		c.recordImportsInUse(a.Node.Name, a.Position.Imports)
		out.ImportsNo, out.Ages, out.Calm = imports.No, c.confirmationAges(), c.replicator.calm()
		if a.Position.Imports != imports.No {
			out.Imports = s.Imports
		}
	}
	out.Starting, out.Coordinator, out.Epoch = c.now() < membership.Lease, s.Coordinator.At, s.Epoch
	if s.Index > a.Position.Index && s.Edition != a.Position.Edition {
		out.Configuration = s.Configuration
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	seq := a.Position.Seq
	if a.Position.Controller != c.life {
		seq = 0
	}
	out.Nodes, out.Gone, out.Whole = c.registry.ChangesSince(seq, c.now())
	out.Seq = c.registry.Seq()
	out.Controllers = []membership.ControllerAddress{{At: c.settings.Inner(), Zone: c.settings.District}}
	for at, h := range c.peers {
		if c.now()-c.lastHeard[at] < int64(peerTimeout) && c.lastHeard[at] > 0 {
			out.Controllers = append(out.Controllers, membership.ControllerAddress{At: at, Zone: h.Zone})
		}
	}
	slices.SortFunc(out.Controllers[1:], func(a, b membership.ControllerAddress) int { return strings.Compare(a.At, b.At) })
	return out
}
