// Package comb is the control plane: a process of the core. It keeps a copy of what is agreed (swarm, wax), knows by
// hearsay who is there (waggle), answers the operator, and gives balancers their news.
package comb

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

	"ottershift/internal/hive/box"
	"ottershift/internal/hive/buzz"
	"ottershift/internal/hive/dance"
	"ottershift/internal/hive/hum"
	"ottershift/internal/hive/swarm"
	"ottershift/internal/hive/waggle"
	"ottershift/internal/hive/wax"
)

const (
	mingleEvery = 250 * time.Millisecond
	away        = time.Duration(swarm.AwayAfter)
	diskTries   = 100                    // at a disk that refuses, before the process gives up
	diskPause   = 200 * time.Millisecond // between two of them
	mendAfter   = 150 * time.Millisecond // for which something may stand accepted and undecided
)

// Hello is how processes of the core know one another.
type Hello struct {
	ID, At, Zone string
	Index        uint64
}

// Comb is one process of the core.
type Comb struct {
	box    *box.Box
	log    *slog.Logger
	counts *hum.Counters
	caller *buzz.Caller
	keeper *keeper
	wax    *wax.Wax
	life   string
	epoch  time.Time

	mu      sync.Mutex
	seeds   []string
	cell    *waggle.Cell
	news    chan struct{}    // closed at each change of the cell
	known   map[string]Hello // by address
	heard   map[string]int64 // when, by address
	sent    map[string]uint64
	pending int64 // since when something stands undecided, 0 for nothing
	core    string

	parsed struct {
		sync.Mutex
		table *dance.Timetable
	}
	prod   chan struct{}
	bank   bank
	till   till
	border border

	acting atomic.Bool // on what the core's first process has to do
}

// Open opens the disk and makes the process; it serves nobody yet.
func Open(b *box.Box, log *slog.Logger) (*Comb, error) {
	c := &Comb{
		box: b, log: log, counts: hum.NewCounters(), caller: buzz.NewCaller(), life: wax.Draw(), epoch: time.Now(),
		cell: waggle.NewCell(), news: make(chan struct{}), known: map[string]Hello{}, heard: map[string]int64{},
		border: border{asking: map[string]bool{}, heard: map[string]int64{}, faults: map[string]string{}, told: map[string]int64{}, doors: map[string]uint64{}},
		sent:   map[string]uint64{}, prod: make(chan struct{}, 1),
	}
	self := b.Inner()
	c.seeds = inner(b, b.Seeds)
	dir := b.DataDir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "comb"); err != nil { // no disk: a copy that lives as long as the process
			return nil, err
		}
	}
	first := func() (string, *swarm.State) {
		founders := slices.Clone(c.seeds)
		slices.Sort(founders)
		if b.FirstStart && slices.Contains(founders, self) {
			return swarm.FounderID(self), swarm.Founders(founders, func(string) string { return "" }, b.Tolerate.Machines)
		}
		return wax.Draw(), &swarm.State{} // a stranger: no core that it knows of, so nothing that it could decide
	}
	w, copied, fresh, err := wax.Open(dir, first)
	for n := 0; err != nil && n < diskTries; n++ { // a disk in trouble refuses for seconds
		if n == 0 {
			log.Warn("disk", "err", err)
		}
		time.Sleep(diskPause)
		w, copied, fresh, err = wax.Open(dir, first)
	}
	if err != nil {
		return nil, err
	}
	log.Info("disk", "id", copied.ID, "fresh", fresh, "index", copied.Decided.Index, "edition", copied.Decided.Edition, "first", b.FirstStart)
	c.wax = w
	c.keeper = newKeeper(copied, w, c.caller, c.counts, self, c.life)
	return c, nil
}

// inner turns addresses of seeds into those of the mesh's own port.
func inner(b *box.Box, seeds []string) (all []string) {
	for _, at := range seeds {
		all = append(all, box.InnerOf(box.Host(at), b.InnerFirst))
	}
	return all
}

func (c *Comb) now() int64 { return int64(time.Since(c.epoch)) }

// Reseed takes other seeds, as the settings name them now.
func (c *Comb) Reseed(b *box.Box) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = inner(c.box, b.Seeds)
}

// Run serves until the context ends.
func (c *Comb) Run(ctx context.Context) error {
	control, err := net.Listen("tcp4", c.box.Control)
	if err != nil {
		return err
	}
	mesh, err := net.Listen("tcp4", c.box.Inner())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/hive/swarm", buzz.Take(c.keeper.handle))
	mux.HandleFunc("/hive/mingle", buzz.Take(c.mingled))
	mux.HandleFunc("/hive/ask", buzz.Take(c.asked))
	mux.HandleFunc("/hive/draw", buzz.Take(c.drawn))
	mux.HandleFunc("/hive/partner", buzz.Take(c.partnered))
	mux.HandleFunc("/hive/nectar", buzz.Take(c.credited))
	mux.HandleFunc("/hive/credit", buzz.Take(c.ordered))
	mux.HandleFunc("/hive/status", buzz.Take(c.status))
	mux.HandleFunc("/hive/figures", c.figures)
	servers := []*http.Server{
		{Handler: http.HandlerFunc(c.office), ReadHeaderTimeout: 5 * time.Second, ErrorLog: slog.NewLogLogger(c.log.Handler(), slog.LevelDebug)},
		{Handler: mux, ErrorLog: slog.NewLogLogger(c.log.Handler(), slog.LevelDebug)},
	}
	go servers[0].Serve(control)
	go servers[1].Serve(mesh)
	go c.counts.Say(c.log, 5*time.Second, ctx.Done())
	c.tend(ctx)
	stop, end := context.WithTimeout(context.Background(), time.Second)
	defer end()
	for _, s := range servers {
		s.Shutdown(stop)
	}
	c.keeper.written.Lock() // nothing is written any more
	return c.wax.Close()
}

// tend is the loop that keeps what is as it is wanted: copies current, the cell swept, the core whole.
func (c *Comb) tend(ctx context.Context) {
	t := time.NewTicker(mingleEvery)
	defer t.Stop()
	for {
		go c.step(ctx)
		select {
		case <-t.C:
		case <-c.prod:
		case <-ctx.Done():
			return
		}
	}
}

// others are the addresses of all processes of the core that are known of.
func (c *Comb) others() (all []string) {
	s, _ := c.keeper.state()
	c.mu.Lock()
	defer c.mu.Unlock()
	add := func(at string) {
		if at != c.box.Inner() && !slices.Contains(all, at) {
			all = append(all, at)
		}
	}
	for _, m := range s.Core {
		add(m.At)
	}
	for _, at := range c.seeds {
		add(at)
	}
	for at := range c.known {
		add(at)
	}
	slices.Sort(all)
	return all
}

func (c *Comb) step(ctx context.Context) {
	now := c.now()
	c.mu.Lock()
	if c.cell.Sweep(now) {
		c.stir()
	}
	c.mu.Unlock()
	for _, at := range c.others() {
		go c.mingle(ctx, at)
	}
	s, _ := c.keeper.state()
	if len(s.Core) == 0 {
		return
	}
	_, _, pending := c.keeper.look(ctx)
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
	mend := c.pending != 0 && now-c.pending > int64(mendAfter)*int64(1+c.rank(s))
	c.mu.Unlock()
	if mend {
		c.counts.Add("settled_for_others")
		within, end := context.WithTimeout(ctx, 2*time.Second)
		defer end()
		c.keeper.change(within, c.others, func(*swarm.State) (*swarm.State, error) { return nil, nil })
	}
	if c.acting.CompareAndSwap(false, true) { // one change at a time from here
		defer c.acting.Store(false)
		s, _ = c.keeper.state()
		c.adopt(ctx, s)
		c.census(ctx, s)
		c.reign(ctx, s)
		c.earn(s)
		c.partners(ctx, s)
	}
}

// census has the number of balancers agreed, by which what all may spend is shared out: more at once, fewer once leases
// have run out for long.
func (c *Comb) census(ctx context.Context, s *swarm.State) {
	if !c.keeper.current() {
		return
	}
	c.mu.Lock()
	n := c.cell.Known()
	first := c.rank(s) == 0
	young := c.now() < waggle.Remembered
	c.mu.Unlock()
	if !first || n == s.Members || n < s.Members && young || n == 0 {
		return
	}
	within, end := context.WithTimeout(ctx, 2*time.Second)
	defer end()
	c.keeper.change(within, c.others, func(newest *swarm.State) (*swarm.State, error) {
		if newest.Members == n {
			return nil, nil
		}
		return newest.Count(n), nil
	})
}

func coreText(s *swarm.State) string {
	var all []string
	for _, m := range s.Core {
		all = append(all, m.At+"="+m.ID)
	}
	return strings.Join(all, " ")
}

// heardOf is the other processes of the core as they are heard of. Under mu.
func (c *Comb) heardOf() (all []swarm.Heard) {
	for at, h := range c.known {
		heard := swarm.Heard{Member: swarm.Member{ID: h.ID, At: at, Zone: h.Zone}, Quiet: -1}
		if last, is := c.heard[at]; is {
			heard.Quiet = c.now() - last
		}
		all = append(all, heard)
	}
	return all
}

// rank is this process's place in the agreed order of those that are there. Under mu.
func (c *Comb) rank(s *swarm.State) int { return s.Rank(c.keeper.id(), c.heardOf()) }

// adopt keeps the core whole. It is decided by agreement with the core as it is, so who does it twice or late does no
// harm.
func (c *Comb) adopt(ctx context.Context, s *swarm.State) {
	if !c.keeper.current() {
		return
	}
	c.mu.Lock()
	self := swarm.Member{ID: c.keeper.id(), At: c.box.Inner(), Zone: c.box.District}
	a, wanted := s.Adopt(self, c.heardOf(), c.now())
	first := c.rank(s) == 0
	c.mu.Unlock()
	if !wanted || !first {
		return
	}
	within, end := context.WithTimeout(ctx, 2*time.Second)
	defer end()
	_, err := c.keeper.change(within, c.others, func(newest *swarm.State) (*swarm.State, error) { return newest.Adopted(a), nil })
	c.log.Info("adopt", "out", a.Out, "in", a.In.ID, "at", a.In.At, "err", err)
}

// stir wakes who waits for news of the cell. Under mu.
func (c *Comb) stir() {
	close(c.news)
	c.news = make(chan struct{})
}

// Mingle is what processes of the core tell one another.
type Mingle struct {
	Hello Hello
	Beats []waggle.Beat
	Nests []waggle.Told `json:",omitempty"`
	Seq   uint64        // of the teller's cell, that Nests bring the hearer to
	Comb  string
	Ages  map[string]int64 `json:",omitempty"` // since partners confirmed their words
}

// Mingled is what comes back.
type Mingled struct {
	Hello Hello
	More  bool // a beat was of a nest not known as told
	Known []Hello
}

func (c *Comb) hello() Hello {
	s, _ := c.keeper.state()
	return Hello{c.keeper.id(), c.box.Inner(), c.box.District, s.Index}
}

// mingle tells one other process what it has not been told yet.
func (c *Comb) mingle(ctx context.Context, at string) {
	m := &Mingle{Hello: c.hello(), Comb: c.life, Ages: c.ages()}
	c.mu.Lock()
	now := c.now()
	seq := c.sent[at]
	if seq < c.cell.Seq() {
		nests, _, _ := c.cell.Since(seq, now)
		for _, n := range nests {
			if !n.Lost {
				m.Nests = append(m.Nests, n)
			}
		}
	}
	m.Seq, m.Beats = c.cell.Seq(), c.cell.Mine(now)
	c.mu.Unlock()
	ctx, end := context.WithTimeout(ctx, lookWithin)
	defer end()
	back := &Mingled{}
	if err := c.caller.Call(ctx, at, "/hive/mingle", m, back); err != nil {
		return
	}
	if s, _ := c.keeper.state(); back.Hello.Index > s.Index {
		if told := c.keeper.one(ctx, at, swarm.Ask{Kind: swarm.Look, Slot: s.Index}); told != nil && told.Decided != nil {
			c.counts.Add("copies_mended")
			c.keeper.learn(told.Decided)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sent[at] = m.Seq; back.More {
		c.sent[at] = 0
	}
	c.meet(back.Hello)
	for _, h := range back.Known {
		if _, is := c.known[h.At]; !is && h.At != c.box.Inner() {
			c.known[h.At] = h
		}
	}
}

// meet notes that a process of the core was heard of. Under mu.
func (c *Comb) meet(h Hello) {
	if h.At == c.box.Inner() || h.At == "" {
		return
	}
	c.known[h.At], c.heard[h.At] = h, c.now()
}

// mingled takes what another process of the core tells.
func (c *Comb) mingled(_ context.Context, m *Mingle) (*Mingled, error) {
	c.aged(m.Ages)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.meet(m.Hello)
	news := false
	for _, n := range m.Nests {
		news = c.cell.Hear(n.Nest, n.Age, now, false) || news
	}
	renewed, more := c.cell.Renew(m.Beats, now)
	if news || renewed {
		c.stir()
	}
	back := &Mingled{Hello: c.hello(), More: more}
	for at, h := range c.known {
		if now-c.heard[at] < int64(5*time.Second) {
			back.Known = append(back.Known, h)
		}
	}
	return back, nil
}

// asked renews a balancer's lease and answers once there is news, or when its wait is over.
func (c *Comb) asked(ctx context.Context, a *waggle.Ask) (*waggle.News, error) {
	c.counts.Add("asks")
	c.mu.Lock()
	news := c.cell.Hear(a.Nest, 0, c.now(), true)
	if news {
		c.stir()
	}
	c.mu.Unlock()
	if news {
		select {
		case c.prod <- struct{}{}: // others hear of it now, not at the next turn
		default:
		}
	}
	until := time.NewTimer(time.Duration(a.Wait))
	defer until.Stop()
	for {
		s, decided := c.keeper.state()
		c.mu.Lock()
		told := c.news
		there := a.Have.Comb == c.life && a.Have.Seq == c.cell.Seq()
		c.mu.Unlock()
		if !there || s.Index > a.Have.Index || !c.keeper.current() {
			return c.tidings(a, s), nil
		}
		select {
		case <-decided:
		case <-told:
			select { // what changes together is told together
			case <-time.After(15 * time.Millisecond):
			case <-ctx.Done():
			}
		case <-until.C:
			return c.tidings(a, s), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// tidings is what a balancer has not got yet.
func (c *Comb) tidings(a *waggle.Ask, s *swarm.State) *waggle.News {
	out := &waggle.News{Have: waggle.Have{Comb: c.life, Index: s.Index, Edition: s.Edition}, Current: c.keeper.current(), Members: s.Members}
	if imports := c.imports(s); imports.No > 0 {
		c.acts(a.Nest.Node, a.Have.Imports)
		out.ImportsNo, out.Ages, out.Calm = imports.No, c.ages(), c.keeper.calm()
		if a.Have.Imports != imports.No {
			out.Imports = s.Imports
		}
	}
	out.Young, out.Queen, out.Reign = c.now() < waggle.Lease, s.Queen.At, s.Reign
	if s.Index > a.Have.Index && s.Edition != a.Have.Edition {
		out.Timetable = s.Timetable
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	seq := a.Have.Seq
	if a.Have.Comb != c.life {
		seq = 0
	}
	out.Nests, out.Gone, out.Whole = c.cell.Since(seq, c.now())
	out.Seq = c.cell.Seq()
	out.Combs = []waggle.Post{{At: c.box.Inner(), Zone: c.box.District}}
	for at, h := range c.known {
		if c.now()-c.heard[at] < int64(away) && c.heard[at] > 0 {
			out.Combs = append(out.Combs, waggle.Post{At: at, Zone: h.Zone})
		}
	}
	slices.SortFunc(out.Combs[1:], func(a, b waggle.Post) int { return strings.Compare(a.At, b.At) })
	return out
}
