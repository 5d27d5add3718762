// Package process puts a plan to work: it makes the front, its listeners, the pools and the sources of their lists, and
// changes all of them in service when another plan comes.
package process

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"time"

	"ottershift/internal/desk"
	"ottershift/internal/discovery"
	"ottershift/internal/figures"
	"ottershift/internal/httpwire"
	"ottershift/internal/listfile"
	"ottershift/internal/listfixed"
	"ottershift/internal/lists"
	"ottershift/internal/logs"
	"ottershift/internal/ops"
	"ottershift/internal/peers"
	"ottershift/internal/plan"
	"ottershift/internal/relay"
	"ottershift/internal/roster"
)

// Process is what runs.
type Process struct {
	log, own *slog.Logger
	level    *slog.LevelVar
	seed     uint64
	counts   figures.Process
	ops      *ops.Server
	seat     *relay.Seat // among the processes of this balancer, nil where it is replaced by nobody
	beside   int         // processes that are this balancer, this one included
	end      context.CancelFunc
	front    *httpwire.Front
	plan     *plan.Plan
	ended    chan error
	fleet    *fleet // nil without [cluster]

	mu        sync.Mutex
	pools     map[string]*pool
	listeners map[string]*httpwire.Listener // by address
	links     map[string]*peers.Socket      // to other balancers, by the address here
	retiring  sync.WaitGroup
}

// pool is a pool of the plan that is in force.
type pool struct {
	*httpwire.Pool
	told  *plan.Pool
	watch *discovery.Watch   // if it follows discovery
	stop  context.CancelFunc // ends the source of its list
	link  *peers.Socket      // to the others, if they tell one another what they hold
	route *peers.PeerSet
	among []string      // members that count as its balancers, where the cluster says
	heard chan struct{} // closed once its source has told something
	once  sync.Once
}

const mostUnheard = 1500 * time.Millisecond // that a list is waited for before clients are taken

// Start puts a plan to work. Nothing of it is left if that fails.
func Start(p *plan.Plan, log *slog.Logger, level *slog.LevelVar) (*Process, error) {
	return StartWith(p, log, level, desk.NewBalancer)
}

// StartWith does so with another module, for the lab.
func StartWith(p *plan.Plan, log *slog.Logger, level *slog.LevelVar, module desk.EngineFactory) (*Process, error) {
	s := &Process{
		log: log, own: logs.WithoutPool(log), level: level, seed: p.Seed, front: httpwire.New(log, module), plan: &plan.Plan{},
		ended: make(chan error, 1), pools: map[string]*pool{}, listeners: map[string]*httpwire.Listener{}, links: map[string]*peers.Socket{},
	}
	if s.seed == 0 {
		s.seed = rand.Uint64()
	}
	s.beside = 1
	ctx, end := context.WithCancel(context.Background())
	s.end = end
	if slices.ContainsFunc(p.Listeners, func(l plan.Listener) bool { return l.Inherited > 0 }) {
		var err error
		if s.seat, err = relay.Take(os.TempDir(), p.Name); err != nil {
			s.own.Warn("relay", "step", "alone", "fault", err)
		} else {
			s.beside = s.seat.Count()
		}
	}
	if p.Ops != "" {
		var err error
		if s.ops, err = ops.Open(p.Ops, s); err != nil {
			s.finish()
			return nil, fmt.Errorf("ops: %w", err)
		}
	}
	if err := s.joinCluster(p); err != nil {
		s.finish()
		return nil, err
	}
	if err := s.change(p); err != nil {
		s.finish()
		return nil, err
	}
	if s.seat != nil {
		go s.seat.Watch(ctx, s.share)
	}
	return s, nil
}

// finish ends what is there besides pools and listeners.
func (s *Process) finish() {
	s.end()
	if s.ops != nil {
		s.ops.Close()
	}
	if s.fleet != nil {
		s.fleet.close()
	}
	if s.seat != nil {
		s.seat.Leave()
	}
}

// share has the process keep to its part of what all processes of this balancer may hold together.
func (s *Process) share(beside int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own.Info("relay", "step", "counted", "processes", beside)
	s.beside = beside
	s.limit(s.plan)
	for _, p := range s.pools {
		p.Beside(beside)
	}
	if s.plan.Platform {
		s.front.Alone(s.plan.Limits.Bodies / int64(beside))
	}
}

// Health implements ops.Balancer, as do the methods below.
func (s *Process) Health() error { return s.front.Takes() }

// Figures writes what has become of transactions and pushes so far.
func (s *Process) Figures(to io.Writer) error {
	s.mu.Lock()
	platform := s.plan.Platform
	pools := slices.Collect(maps.Values(s.pools))
	s.mu.Unlock()
	var views []figures.PoolView
	for _, p := range pools {
		v := p.View()
		if platform {
			v.Name = ""
		}
		views = append(views, v)
	}
	slices.SortFunc(views, func(a, b figures.PoolView) int { return cmp.Compare(a.Name, b.Name) })
	if err := figures.Write(to, &s.counts, views); err != nil {
		return err
	}
	if f := s.inFleet(); f != nil {
		f.Figures(to)
	}
	return nil
}

// Leave has clients go elsewhere, until Join.
func (s *Process) Leave() error { return s.leaving(true, s.front.Leave()) }

// Join takes clients again.
func (s *Process) Join() error { return s.leaving(false, s.front.Join()) }

// Ended tells why a listener ended by itself.
func (s *Process) Ended() <-chan error { return s.ended }

// Drain serves to the end what has been taken. The process is to exit after it.
func (s *Process) Drain() {
	var relayed []*httpwire.Listener
	if s.seat != nil && s.seat.Count() > 1 {
		s.mu.Lock()
		relayed = slices.Collect(maps.Values(s.listeners))
		s.mu.Unlock()
	}
	s.leaving(true, nil)
	s.front.Drain(relayed...)
	if f := s.inFleet(); f != nil {
		f.leave()
	}
}

// Close gives back all that is left after a drain, for those that go on.
func (s *Process) Close() {
	s.mu.Lock()
	pools := s.pools
	s.pools = nil
	s.mu.Unlock()
	for _, p := range pools {
		s.retire(p)
	}
	s.retiring.Wait()
	for _, l := range s.links {
		l.Close()
	}
	s.finish()
}

// Reload puts another plan in force, all of it or nothing; a plan that could not be read is counted by Refused.
func (s *Process) Reload(p *plan.Plan) error {
	start, before, cores := time.Now(), s.plan, p.Limits.Cores
	change := s.change
	if p.Platform {
		change = s.retune
	}
	if err := change(p); err != nil {
		return err
	}
	s.counts.ConfigsLoaded.Add(1)
	s.own.Info("reload", "step", "taken", "pools", len(p.Pools), "routes", len(p.Routes), "listeners", len(p.Listeners),
		"pools_before", len(before.Pools), "took", time.Since(start).Round(time.Microsecond))
	later := func(key string, changed bool) {
		if changed {
			s.own.Warn("reload", "step", "later", "key", key, "fault", "takes effect at the next start")
		}
	}
	later("log.format", p.Log.Format != before.Log.Format)
	later("ops", p.Ops != before.Ops)
	s.reloadCluster(before, p, later)
	if p.Platform {
		later("listen", p.Listeners[0].Address != before.Listeners[0].Address)
		later("limits.cores", cores != before.Limits.Cores)
		later("name", p.Name != before.Name)
	}
	return nil
}

// Refused counts a file that made no sense.
func (s *Process) Refused() { s.counts.ConfigsRejected.Add(1) }

// retune goes from one plan of the platform's to another: its pool stays, and with it all that it has learnt. What was
// said at the start of listeners, cores and the second address stays.
func (s *Process) retune(p *plan.Plan) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if key := p.Lacks(s.plan); key != "" {
		return fmt.Errorf("%s is missing", key)
	}
	now, told := s.pools[p.Pools[0].Name], p.Pools[0]
	if now.told.Print != told.Print {
		if err := now.Retune(told.Book); err != nil {
			return err
		}
		s.own.Info("reload", "step", "terms", "tariffs", len(told.Book.Tariffs), "attempts", told.Book.Terms.MaxAttempts)
	}
	to := told.List.Discovery
	s.own.Info("reload", "step", "list", "discovery", to, "moved", now.watch.SetAddress(to))
	now.told = told
	p.Limits.Cores = s.plan.Limits.Cores
	s.plan = p
	s.limit(s.plan)
	s.front.Alone(s.plan.Limits.Bodies / int64(s.beside))
	return nil
}

// change goes from the plan in force to another. First comes all that may fail, and is undone if anything does.
func (s *Process) change(p *plan.Plan) (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit(p)
	var opened []*httpwire.Listener
	made := map[string]*pool{}
	links := map[string]*peers.Socket{}
	defer func() {
		if err == nil {
			return
		}
		s.limit(s.plan)
		for _, l := range opened {
			s.front.Close(l)
		}
		for _, n := range made {
			s.retire(n)
		}
		for at, l := range links {
			if l != s.links[at] {
				l.Close()
			}
		}
	}()
	wanted := map[string]*httpwire.Listener{}
	for _, l := range p.Listeners {
		wanted[l.Address] = s.listeners[l.Address]
		if wanted[l.Address] == nil {
			var n *httpwire.Listener
			if l.Inherited > 0 {
				if n, err = s.front.Inherit(l.Name, l.Address, l.Inherited); err != nil {
					return fmt.Errorf("PROXY_LISTEN_FD: %w", err)
				}
			} else if n, err = s.front.Listen(l.Name, l.Address); err != nil {
				return err
			}
			opened, wanted[l.Address] = append(opened, n), n
		}
	}
	pools, retuned := map[string]*pool{}, map[string]bool{}
	for _, told := range p.Pools {
		if at := here(told); at != "" {
			if links[at] = s.links[at]; links[at] == nil {
				if links[at], err = peers.Open(at); err != nil {
					delete(links, at)
					return fmt.Errorf("pool %s: %w", told.Name, err)
				}
			}
		}
		if now := s.pools[told.Name]; now != nil && now.told.Print == told.Print && now.Shards() == p.Limits.Cores {
			pools[told.Name] = now
			continue
		}
		// Danger: made anew it would know nothing of its upstreams, and feed cold ones beside its predecessor.
		if now := s.pools[told.Name]; now != nil && now.Shards() == p.Limits.Cores && now.told.Book.Fits(told.Book) {
			if err := told.Book.Terms.Validate(); err != nil {
				return fmt.Errorf("pool %s: %w", told.Name, err)
			}
			pools[told.Name], retuned[told.Name] = now, true
			continue
		}
		n, err := s.make(told)
		if err != nil {
			return fmt.Errorf("pool %s: %w", told.Name, err)
		}
		made[told.Name], pools[told.Name] = n, n
		if n.link = links[here(told)]; n.link != nil {
			if n.route, err = peers.NewPeerSet(told.Name, told.Book.Peers, n.Shards(), n.Pool); err != nil {
				return fmt.Errorf("pool %s: %w", told.Name, err)
			}
		}
	}

	// From here on nothing fails. Danger: a pool that is shown before it has a list would refuse all that comes.
	for name, n := range made {
		first := n.told.List.Fixed
		if n.told.List.File != "" {
			first, _ = listfile.ReadFile(n.told.List.File) // its source says what is wrong with it
		}
		if n.told.List.Discovery != "" {
			if first = n.told.List.Known.Entries; s.pools[name] != nil {
				first = s.pools[name].Entries()
			}
		}
		if len(first) > 0 {
			n.Pool.Update(first, true)
		}
	}
	for _, told := range p.Pools {
		if retuned[told.Name] {
			book, _, _ := s.among(told)
			if err := pools[told.Name].Retune(book); err != nil {
				s.own.Error("reload", "step", "terms", "pool", told.Name, "fault", err) // a fault of ours: it was checked
			}
		}
	}
	board := &httpwire.Board{Table: p.Table, Pools: map[string]*httpwire.Pool{}}
	parts := map[*httpwire.Pool]httpwire.Share{}
	for _, told := range p.Pools {
		n := pools[told.Name]
		board.Pools[told.Name] = n.Pool
		parts[n.Pool] = httpwire.Share{Part: told.Share, Open: told.Open, Connections: told.Connections, Bodies: told.Bodies}
		if p.Platform {
			board.Only = n.Pool
		}
	}
	if p.Platform {
		s.front.Alone(p.Limits.Bodies / int64(s.beside))
	} else {
		s.front.Deal(p.Limits.Bodies, p.Limits.Within, p.Limits.Refusals, parts)
	}
	s.front.Show(board)
	for _, told := range p.Pools {
		n, kept := pools[told.Name], made[told.Name] == nil
		if !kept || !same(n.told.List, told.List) {
			s.follow(n, told.List, kept)
		}
		n.told = told
	}
	for _, n := range made {
		if n.link != nil {
			n.link.SetPeers(n.route)
			n.Speak(n.link)
		}
	}
	for address, old := range s.links {
		if links[address] != old {
			old.Close()
		}
	}
	s.links = links
	for name, old := range s.pools {
		if pools[name] != old {
			old.Speak(nil) // Danger: its successor speaks under the same number
			s.retire(old)
		}
	}
	for _, l := range p.Listeners {
		n := wanted[l.Address]
		n.Rename(l.Name)
		if s.listeners[l.Address] == nil {
			heard := make(chan struct{})
			if close(heard); l.Inherited > 0 && s.beside > 1 {
				heard = pools[p.Pools[0].Name].heard
			}
			go func() {
				// Danger: the process before has newer news of the list than what is known from before.
				select {
				case <-heard:
				case <-time.After(mostUnheard):
				}
				if err := s.front.Serve(n); err != nil {
					s.ended <- err
				}
			}()
		}
	}
	for address, old := range s.listeners {
		if wanted[address] == nil {
			s.front.Close(old)
		}
	}
	s.pools, s.listeners, s.plan = pools, wanted, p
	s.claiming()
	if s.fleet != nil {
		s.fleet.changed()
	}
	return nil
}

// limit sets what the whole process may have.
func (s *Process) limit(p *plan.Plan) {
	if p.Limits.Descriptors == 0 {
		return // none in force yet
	}
	runtime.GOMAXPROCS(p.Limits.Cores)
	if p.Limits.Memory > 0 {
		// Danger: over the limit the process is killed, and all processes of a balancer count as one.
		debug.SetMemoryLimit(p.Limits.Memory * 6 / 10 / int64(s.beside))
	}
	descriptors := p.Limits.Descriptors
	var has syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &has) == nil && has.Cur < uint64(descriptors) && !p.Platform {
		s.own.Warn("limit", "key", "limits.descriptors", "asked", descriptors, "has", has.Cur)
		descriptors = int(has.Cur)
	}
	s.front.Limit(descriptors/s.beside, p.Limits.Cores)
	s.level.Set(logs.ParseLevel(p.Log.Level))
}

// here is the address at which the other balancers of a pool reach this one, "" if they don't.
func here(told *plan.Pool) string {
	if len(told.Book.Peers) == 0 {
		return ""
	}
	return told.Book.Peers[told.Book.Terms.Index]
}

// make makes a pool, without the source of its list.
func (s *Process) make(told *plan.Pool) (*pool, error) {
	if told.Book.Terms.Seed == 0 { // Danger: pools of one seed would all draw the same chances
		number := fnv.New64a()
		number.Write([]byte(told.Name))
		told.Book.Terms.Seed = s.seed ^ number.Sum64()
	}
	book, _, _ := s.among(told)
	n, err := s.front.NewPool(told.Name, book)
	if err != nil {
		return nil, err
	}
	n.Beside(s.beside)
	return &pool{Pool: n, told: told, stop: func() {}, heard: make(chan struct{})}, nil
}

// Update implements lists.Sink for sources, whose first word is waited for where another process serves meanwhile.
func (n *pool) Update(entries []roster.Entry[string], whole bool) {
	n.Pool.Update(entries, whole)
	n.once.Do(func() { close(n.heard) })
}

// follow has a pool's list told by a source from now on; again says that it was told by another before.
func (s *Process) follow(n *pool, l plan.List, again bool) {
	n.stop()
	n.watch = nil
	var from lists.Source
	switch {
	case l.Discovery != "":
		index := l.Known.Version
		if again {
			index = discovery.UnknownVersion // Danger: versions of one source mean nothing to another
		}
		if l.Shared && s.fleet != nil {
			from = s.fleet.List(n.Name, n, func(to lists.Sink) lists.Source {
				return discovery.New(to, n.Log(), l.Discovery, false, discovery.UnknownVersion, n.Book().DialTimeout)
			})
			break
		}
		n.watch = discovery.New(n, n.Log(), l.Discovery, n.Book().Terms.FollowList, index, n.Book().DialTimeout)
		from = n.watch
	case l.File != "":
		from = &listfile.File{Path: l.File, Interval: l.Every, Sink: n, Log: n.Log()}
	default:
		from = &listfixed.Source{Entries: l.Fixed, Sink: n}
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		from.Run(ctx)
	}()
	n.stop = func() {
		stop()
		<-ended // Danger: what the old source still had to tell would come after the new one's first word
	}
}

// retire ends a pool in its own time. Danger: upstreams may be told to drain meanwhile, so its list is followed until
// the end.
func (s *Process) retire(old *pool) {
	s.retiring.Add(1)
	go func() {
		defer s.retiring.Done()
		old.Retire()
		old.stop()
	}()
}

func same(a, b plan.List) bool {
	return a.File == b.File && a.Every == b.Every && a.Discovery == b.Discovery && a.Shared == b.Shared && slices.Equal(a.Fixed, b.Fixed)
}
