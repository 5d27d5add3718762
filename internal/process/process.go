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
	log, eventLog  *slog.Logger
	logLevel       *slog.LevelVar
	seed           uint64
	counters       figures.Process
	ops            *ops.Server
	relaySeat      *relay.Seat // among the processes of this balancer, nil where it is replaced by nobody
	processCount   int         // processes that are this balancer, this one included
	cancel         context.CancelFunc
	front          *httpwire.Front
	plan           *plan.Plan
	listenerErrors chan error
	membership     *membership // nil without [cluster]

	mu        sync.Mutex
	pools     map[string]*pool
	listeners map[string]*httpwire.Listener // by address
	peerLinks map[string]*peers.Link        // to other balancers, by the address here
	retiring  sync.WaitGroup
}

// pool is a pool of the plan that is in force.
type pool struct {
	*httpwire.Pool
	settings     *plan.Pool
	subscription *discovery.Watch   // if it follows discovery
	stopList     context.CancelFunc // ends the source of its list
	peerLink     *peers.Link        // to the others, if they tell one another what they hold
	peerRoute    *peers.Route
	memberNames  []string      // members that count as its balancers, where the cluster says
	listReceived chan struct{} // closed once its source has told something
	receivedOnce sync.Once
}

const maxListWait = 1500 * time.Millisecond // that a list is waited for before clients are taken

// Start puts a plan to work. Nothing of it is left if that fails.
func Start(p *plan.Plan, log *slog.Logger, level *slog.LevelVar) (*Process, error) {
	return StartWithEngine(p, log, level, desk.NewBalancer)
}

// StartWithEngine does so with another module, for the lab.
func StartWithEngine(p *plan.Plan, log *slog.Logger, level *slog.LevelVar, newEngine desk.EngineFactory) (*Process, error) {
	proc := &Process{
		log: log, eventLog: logs.Own(log), logLevel: level, seed: p.Seed, front: httpwire.New(log, newEngine), plan: &plan.Plan{},
		listenerErrors: make(chan error, 1), pools: map[string]*pool{}, listeners: map[string]*httpwire.Listener{}, peerLinks: map[string]*peers.Link{},
	}
	if proc.seed == 0 {
		proc.seed = rand.Uint64()
	}
	proc.processCount = 1
	ctx, cancel := context.WithCancel(context.Background())
	proc.cancel = cancel
	if slices.ContainsFunc(p.Listeners, func(l plan.Listener) bool { return l.Inherited > 0 }) {
		var err error
		if proc.relaySeat, err = relay.Take(os.TempDir(), p.Name); err != nil {
			proc.eventLog.Warn("relay", "step", "alone", "fault", err)
		} else {
			proc.processCount = proc.relaySeat.Count()
		}
	}
	if p.Ops != "" {
		var err error
		if proc.ops, err = ops.Open(p.Ops, proc); err != nil {
			proc.stopServices()
			return nil, fmt.Errorf("ops: %w", err)
		}
	}
	if err := proc.joinCluster(p); err != nil {
		proc.stopServices()
		return nil, err
	}
	if err := proc.apply(p); err != nil {
		proc.stopServices()
		return nil, err
	}
	if proc.relaySeat != nil {
		go proc.relaySeat.Watch(ctx, proc.setProcessCount)
	}
	return proc, nil
}

// stopServices ends what is there besides pools and listeners.
func (proc *Process) stopServices() {
	proc.cancel()
	if proc.ops != nil {
		proc.ops.Close()
	}
	if proc.membership != nil {
		proc.membership.close()
	}
	if proc.relaySeat != nil {
		proc.relaySeat.Leave()
	}
}

// setProcessCount has the process keep to its part of what all processes of this balancer may hold together.
func (proc *Process) setProcessCount(count int) {
	proc.mu.Lock()
	defer proc.mu.Unlock()
	proc.eventLog.Info("relay", "step", "counted", "processes", count)
	proc.processCount = count
	proc.applyLimits(proc.plan)
	for _, p := range proc.pools {
		p.Beside(count)
	}
	if proc.plan.Platform {
		proc.front.Alone(proc.plan.Limits.Bodies / int64(count))
	}
}

// Health implements ops.Balancer, as do the methods below.
func (proc *Process) Health() error { return proc.front.Takes() }

// WriteFigures writes what has become of transactions and pushes so far.
func (proc *Process) WriteFigures(to io.Writer) error {
	proc.mu.Lock()
	platform := proc.plan.Platform
	pools := slices.Collect(maps.Values(proc.pools))
	proc.mu.Unlock()
	var views []figures.View
	for _, p := range pools {
		view := p.View()
		if platform {
			view.Name = ""
		}
		views = append(views, view)
	}
	slices.SortFunc(views, func(a, b figures.View) int { return cmp.Compare(a.Name, b.Name) })
	if err := figures.Write(to, &proc.counters, views); err != nil {
		return err
	}
	if m := proc.clusterMembership(); m != nil {
		m.Figures(to)
	}
	return nil
}

// Leave has clients go elsewhere, until Join.
func (proc *Process) Leave() error { return proc.announceLeaving(true, proc.front.Leave()) }

// Join takes clients again.
func (proc *Process) Join() error { return proc.announceLeaving(false, proc.front.Join()) }

// ListenerErrors tells why a listener ended by itself.
func (proc *Process) ListenerErrors() <-chan error { return proc.listenerErrors }

// Drain serves to the end what has been taken. The process is to exit after it.
func (proc *Process) Drain() {
	var relayed []*httpwire.Listener
	if proc.relaySeat != nil && proc.relaySeat.Count() > 1 {
		proc.mu.Lock()
		relayed = slices.Collect(maps.Values(proc.listeners))
		proc.mu.Unlock()
	}
	proc.announceLeaving(true, nil)
	proc.front.Drain(relayed...)
	if m := proc.clusterMembership(); m != nil {
		m.closeWithTimeout()
	}
}

// Close gives back all that is left after a drain, for those that go on.
func (proc *Process) Close() {
	proc.mu.Lock()
	pools := proc.pools
	proc.pools = nil
	proc.mu.Unlock()
	for _, p := range pools {
		proc.retire(p)
	}
	proc.retiring.Wait()
	for _, l := range proc.peerLinks {
		l.Close()
	}
	proc.stopServices()
}

// Reload puts another plan in force, all of it or nothing; a plan that could not be read is counted by Refused.
func (proc *Process) Reload(p *plan.Plan) error {
	start, before, cores := time.Now(), proc.plan, p.Limits.Cores
	apply := proc.apply
	if p.Platform {
		apply = proc.applyToPlatformPool
	}
	if err := apply(p); err != nil {
		return err
	}
	proc.counters.Loaded.Add(1)
	proc.eventLog.Info("reload", "step", "taken", "pools", len(p.Pools), "routes", len(p.Routes), "listeners", len(p.Listeners),
		"pools_before", len(before.Pools), "took", time.Since(start).Round(time.Microsecond))
	warnIfChanged := func(key string, changed bool) {
		if changed {
			proc.eventLog.Warn("reload", "step", "later", "key", key, "fault", "takes effect at the next start")
		}
	}
	warnIfChanged("log.format", p.Log.Format != before.Log.Format)
	warnIfChanged("ops", p.Ops != before.Ops)
	proc.reloadCluster(before, p, warnIfChanged)
	if p.Platform {
		warnIfChanged("listen", p.Listeners[0].Address != before.Listeners[0].Address)
		warnIfChanged("limits.cores", cores != before.Limits.Cores)
		warnIfChanged("name", p.Name != before.Name)
	}
	return nil
}

// CountInvalidConfig counts a file that made no sense.
func (proc *Process) CountInvalidConfig() { proc.counters.Invalid.Add(1) }

// applyToPlatformPool goes from one plan of the platform's to another: its pool stays, and with it all that it has learnt. What was
// said at the start of listeners, cores and the second address stays.
func (proc *Process) applyToPlatformPool(p *plan.Plan) error {
	proc.mu.Lock()
	defer proc.mu.Unlock()
	if key := p.Lacks(proc.plan); key != "" {
		return fmt.Errorf("%s is missing", key)
	}
	current, settings := proc.pools[p.Pools[0].Name], p.Pools[0]
	if current.settings.Print != settings.Print {
		if err := current.Retune(settings.Book); err != nil {
			return err
		}
		proc.eventLog.Info("reload", "step", "terms", "tariffs", len(settings.Book.Tariffs), "attempts", settings.Book.Terms.MaxAttempts)
	}
	address := settings.List.Discovery
	proc.eventLog.Info("reload", "step", "list", "discovery", address, "moved", current.subscription.Move(address))
	current.settings = settings
	p.Limits.Cores = proc.plan.Limits.Cores
	proc.plan = p
	proc.applyLimits(proc.plan)
	proc.front.Alone(proc.plan.Limits.Bodies / int64(proc.processCount))
	return nil
}

// apply goes from the plan in force to another. First comes all that may fail, and is undone if anything does.
func (proc *Process) apply(p *plan.Plan) (err error) {
	proc.mu.Lock()
	defer proc.mu.Unlock()
	proc.applyLimits(p)
	var opened []*httpwire.Listener
	created := map[string]*pool{}
	links := map[string]*peers.Link{}
	defer func() {
		if err == nil {
			return
		}
		proc.applyLimits(proc.plan)
		for _, l := range opened {
			proc.front.Close(l)
		}
		for _, n := range created {
			proc.retire(n)
		}
		for at, l := range links {
			if l != proc.peerLinks[at] {
				l.Close()
			}
		}
	}()
	listeners := map[string]*httpwire.Listener{}
	for _, l := range p.Listeners {
		listeners[l.Address] = proc.listeners[l.Address]
		if listeners[l.Address] == nil {
			var n *httpwire.Listener
			if l.Inherited > 0 {
				if n, err = proc.front.Inherit(l.Name, l.Address, l.Inherited); err != nil {
					return fmt.Errorf("PROXY_LISTEN_FD: %w", err)
				}
			} else if n, err = proc.front.Listen(l.Name, l.Address); err != nil {
				return err
			}
			opened, listeners[l.Address] = append(opened, n), n
		}
	}
	pools, reconfigured := map[string]*pool{}, map[string]bool{}
	for _, settings := range p.Pools {
		if at := ownPeerAddress(settings); at != "" {
			if links[at] = proc.peerLinks[at]; links[at] == nil {
				if links[at], err = peers.Open(at); err != nil {
					delete(links, at)
					return fmt.Errorf("pool %s: %w", settings.Name, err)
				}
			}
		}
		if current := proc.pools[settings.Name]; current != nil && current.settings.Print == settings.Print && current.Shards() == p.Limits.Cores {
			pools[settings.Name] = current
			continue
		}
		// Danger: made anew it would know nothing of its upstreams, and feed cold ones beside its predecessor.
		if current := proc.pools[settings.Name]; current != nil && current.Shards() == p.Limits.Cores && current.settings.Book.Fits(settings.Book) {
			if err := settings.Book.Terms.Validate(); err != nil {
				return fmt.Errorf("pool %s: %w", settings.Name, err)
			}
			pools[settings.Name], reconfigured[settings.Name] = current, true
			continue
		}
		n, err := proc.newPool(settings)
		if err != nil {
			return fmt.Errorf("pool %s: %w", settings.Name, err)
		}
		created[settings.Name], pools[settings.Name] = n, n
		if n.peerLink = links[ownPeerAddress(settings)]; n.peerLink != nil {
			if n.peerRoute, err = peers.NewRoute(settings.Name, settings.Book.Peers, n.Shards(), n.Pool); err != nil {
				return fmt.Errorf("pool %s: %w", settings.Name, err)
			}
		}
	}

	// From here on nothing fails. Danger: a pool that is shown before it has a list would refuse all that comes.
	for name, n := range created {
		initial := n.settings.List.Fixed
		if n.settings.List.File != "" {
			initial, _ = listfile.Read(n.settings.List.File) // its source says what is wrong with it
		}
		if n.settings.List.Discovery != "" {
			if initial = n.settings.List.Known.Entries; proc.pools[name] != nil {
				initial = proc.pools[name].Entries()
			}
		}
		if len(initial) > 0 {
			n.Pool.List(initial, true)
		}
	}
	for _, settings := range p.Pools {
		if reconfigured[settings.Name] {
			book, _, _ := proc.effectiveBook(settings)
			if err := pools[settings.Name].Retune(book); err != nil {
				proc.eventLog.Error("reload", "step", "terms", "pool", settings.Name, "fault", err) // a fault of ours: it was checked
			}
		}
	}
	board := &httpwire.Board{Table: p.Table, Pools: map[string]*httpwire.Pool{}}
	shares := map[*httpwire.Pool]httpwire.Share{}
	for _, settings := range p.Pools {
		n := pools[settings.Name]
		board.Pools[settings.Name] = n.Pool
		shares[n.Pool] = httpwire.Share{Part: settings.Share, Open: settings.Open, Connections: settings.Connections, Bodies: settings.Bodies}
		if p.Platform {
			board.Only = n.Pool
		}
	}
	if p.Platform {
		proc.front.Alone(p.Limits.Bodies / int64(proc.processCount))
	} else {
		proc.front.Deal(p.Limits.Bodies, p.Limits.Within, p.Limits.Refusals, shares)
	}
	proc.front.Show(board)
	for _, settings := range p.Pools {
		n, kept := pools[settings.Name], created[settings.Name] == nil
		if !kept || !sameList(n.settings.List, settings.List) {
			proc.followList(n, settings.List, kept)
		}
		n.settings = settings
	}
	for _, n := range created {
		if n.peerLink != nil {
			n.peerLink.Follow(n.peerRoute)
			n.Speak(n.peerLink)
		}
	}
	for address, old := range proc.peerLinks {
		if links[address] != old {
			old.Close()
		}
	}
	proc.peerLinks = links
	for name, old := range proc.pools {
		if pools[name] != old {
			old.Speak(nil) // Danger: its successor speaks under the same number
			proc.retire(old)
		}
	}
	for _, l := range p.Listeners {
		n := listeners[l.Address]
		n.Rename(l.Name)
		if proc.listeners[l.Address] == nil {
			ready := make(chan struct{})
			if close(ready); l.Inherited > 0 && proc.processCount > 1 {
				ready = pools[p.Pools[0].Name].listReceived
			}
			go func() {
				// Danger: the process before has newer news of the list than what is known from before.
				select {
				case <-ready:
				case <-time.After(maxListWait):
				}
				if err := proc.front.Serve(n); err != nil {
					proc.listenerErrors <- err
				}
			}()
		}
	}
	for address, old := range proc.listeners {
		if listeners[address] == nil {
			proc.front.Close(old)
		}
	}
	proc.pools, proc.listeners, proc.plan = pools, listeners, p
	proc.configureClaims()
	if proc.membership != nil {
		proc.membership.notifyMembersChanged()
	}
	return nil
}

// applyLimits sets what the whole process may have.
func (proc *Process) applyLimits(p *plan.Plan) {
	if p.Limits.Descriptors == 0 {
		return // none in force yet
	}
	runtime.GOMAXPROCS(p.Limits.Cores)
	if p.Limits.Memory > 0 {
		// Danger: over the limit the process is killed, and all processes of a balancer count as one.
		debug.SetMemoryLimit(p.Limits.Memory * 6 / 10 / int64(proc.processCount))
	}
	descriptors := p.Limits.Descriptors
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil && limit.Cur < uint64(descriptors) && !p.Platform {
		proc.eventLog.Warn("limit", "key", "limits.descriptors", "asked", descriptors, "has", limit.Cur)
		descriptors = int(limit.Cur)
	}
	proc.front.Limit(descriptors/proc.processCount, p.Limits.Cores)
	proc.logLevel.Set(logs.Level(p.Log.Level))
}

// ownPeerAddress is the address at which the other balancers of a pool reach this one, "" if they don't.
func ownPeerAddress(settings *plan.Pool) string {
	if len(settings.Book.Peers) == 0 {
		return ""
	}
	return settings.Book.Peers[settings.Book.Terms.Index]
}

// newPool makes a pool, without the source of its list.
func (proc *Process) newPool(settings *plan.Pool) (*pool, error) {
	if settings.Book.Terms.Seed == 0 { // Danger: pools of one seed would all draw the same chances
		hash := fnv.New64a()
		hash.Write([]byte(settings.Name))
		settings.Book.Terms.Seed = proc.seed ^ hash.Sum64()
	}
	book, _, _ := proc.effectiveBook(settings)
	created, err := proc.front.NewPool(settings.Name, book)
	if err != nil {
		return nil, err
	}
	created.Beside(proc.processCount)
	return &pool{Pool: created, settings: settings, stopList: func() {}, listReceived: make(chan struct{})}, nil
}

// List implements lists.Sink for sources, whose first word is waited for where another process serves meanwhile.
func (p *pool) List(entries []roster.Entry[string], complete bool) {
	p.Pool.List(entries, complete)
	p.receivedOnce.Do(func() { close(p.listReceived) })
}

// followList has a pool's list told by a source from now on; again says that it was told by another before.
func (proc *Process) followList(target *pool, list plan.List, replaced bool) {
	target.stopList()
	target.subscription = nil
	var source lists.Source
	switch {
	case list.Discovery != "":
		index := list.Known.Index
		if replaced {
			index = discovery.Unknown // Danger: versions of one source mean nothing to another
		}
		if list.Shared && proc.membership != nil {
			source = proc.membership.List(target.Name, target, func(to lists.Sink) lists.Source {
				return discovery.New(to, target.Log(), list.Discovery, false, discovery.Unknown, target.Book().DialTimeout)
			})
			break
		}
		target.subscription = discovery.New(target, target.Log(), list.Discovery, target.Book().Terms.FollowList, index, target.Book().DialTimeout)
		source = target.subscription
	case list.File != "":
		source = &listfile.File{Path: list.File, Every: list.Every, Sink: target, Log: target.Log()}
	default:
		source = &listfixed.List{Entries: list.Fixed, Sink: target}
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		source.Run(ctx)
	}()
	target.stopList = func() {
		stop()
		<-ended // Danger: what the old source still had to tell would come after the new one's first word
	}
}

// retire ends a pool in its own time. Danger: upstreams may be told to drain meanwhile, so its list is followed until
// the end.
func (proc *Process) retire(p *pool) {
	proc.retiring.Add(1)
	go func() {
		defer proc.retiring.Done()
		p.Retire()
		p.stopList()
	}()
}

func sameList(a, b plan.List) bool {
	return a.File == b.File && a.Every == b.Every && a.Discovery == b.Discovery && a.Shared == b.Shared && slices.Equal(a.Fixed, b.Fixed)
}
