// Package process runs a balancer according to a configuration. It creates the HTTP front end, its listeners, the pools
// and the sources of their upstream lists, and changes all of them in service when the configuration is reloaded.
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

// Process is a running balancer process.
type Process struct {
	log, eventLog  *slog.Logger
	logLevel       *slog.LevelVar
	seed           uint64
	counters       figures.Process
	ops            *ops.Server
	relaySeat      *relay.Slot // registration among the processes of this balancer, nil without an inherited listener
	processCount   int         // processes that act as this balancer, this one included
	cancel         context.CancelFunc
	front          *httpwire.FrontEnd
	plan           *plan.Plan
	listenerErrors chan error
	membership     *membership // nil if the configuration has no [cluster]

	mu        sync.Mutex
	pools     map[string]*pool
	listeners map[string]*httpwire.Listener // by address
	peerLinks map[string]*peers.Socket      // links to other balancers, by local address
	retiring  sync.WaitGroup
}

// pool is a pool of the current configuration.
type pool struct {
	*httpwire.Pool
	settings     *plan.Pool
	subscription *discovery.Watch   // set if the list comes from discovery
	stopList     context.CancelFunc // stops the source of the upstream list
	peerLink     *peers.Socket      // link to the other balancers, if they exchange load reports
	peerRoute    *peers.PeerSet
	memberNames  []string      // cluster members that count as balancers of the pool
	listReceived chan struct{} // closed after the first update from the list source
	receivedOnce sync.Once
}

// maxListWait limits how long a process waits for a list before it accepts clients.
const maxListWait = 1500 * time.Millisecond

// Start runs a configuration. If it fails, everything that it has started is stopped.
func Start(p *plan.Plan, log *slog.Logger, level *slog.LevelVar) (*Process, error) {
	return StartWithEngine(p, log, level, desk.NewBalancer)
}

// StartWithEngine is like Start with another decision engine, for simulations.
func StartWithEngine(p *plan.Plan, log *slog.Logger, level *slog.LevelVar, newEngine desk.EngineFactory) (*Process, error) {
	proc := &Process{
		log: log, eventLog: logs.WithoutPool(log), logLevel: level, seed: p.Seed, front: httpwire.New(log, newEngine), plan: &plan.Plan{},
		listenerErrors: make(chan error, 1), pools: map[string]*pool{}, listeners: map[string]*httpwire.Listener{},
		peerLinks: map[string]*peers.Socket{},
	}
	if proc.seed == 0 {
		proc.seed = rand.Uint64()
	}
	proc.processCount = 1
	ctx, cancel := context.WithCancel(context.Background())
	proc.cancel = cancel
	if slices.ContainsFunc(p.Listeners, func(l plan.Listener) bool { return l.InheritedFD > 0 }) {
		var err error
		if proc.relaySeat, err = relay.Acquire(os.TempDir(), p.Name); err != nil {
			proc.eventLog.Warn("relay", "step", "alone", "fault", err)
		} else {
			proc.processCount = proc.relaySeat.Count()
		}
	}
	if p.OpsAddress != "" {
		var err error
		if proc.ops, err = ops.Open(p.OpsAddress, proc); err != nil {
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

// stopServices stops everything other than pools and listeners.
func (proc *Process) stopServices() {
	proc.cancel()
	if proc.ops != nil {
		proc.ops.Close()
	}
	if proc.membership != nil {
		proc.membership.close()
	}
	if proc.relaySeat != nil {
		proc.relaySeat.Release()
	}
}

// setProcessCount sets how many processes act as this balancer, and limits this process to its share of the balancer's
// resources.
func (proc *Process) setProcessCount(count int) {
	proc.mu.Lock()
	defer proc.mu.Unlock()
	proc.eventLog.Info("relay", "step", "counted", "processes", count)
	proc.processCount = count
	proc.applyLimits(proc.plan)
	for _, p := range proc.pools {
		p.SetProcesses(count)
	}
	if proc.plan.Platform {
		proc.front.SetUnlimited(proc.plan.Limits.BodyBytes / int64(count))
	}
}

// Health returns nil if the process accepts clients, else the reason why it does not. It implements ops.Balancer.
func (proc *Process) Health() error { return proc.front.Ready() }

// WriteFigures writes the metrics of the process. It implements ops.Balancer.
func (proc *Process) WriteFigures(to io.Writer) error {
	proc.mu.Lock()
	platform := proc.plan.Platform
	pools := slices.Collect(maps.Values(proc.pools))
	proc.mu.Unlock()
	var views []figures.PoolView
	for _, p := range pools {
		view := p.View()
		if platform {
			view.Name = ""
		}
		views = append(views, view)
	}
	slices.SortFunc(views, func(a, b figures.PoolView) int { return cmp.Compare(a.Name, b.Name) })
	if err := figures.Write(to, &proc.counters, views); err != nil {
		return err
	}
	if m := proc.clusterMembership(); m != nil {
		m.WriteMetrics(to)
	}
	return nil
}

// Leave makes health checks fail and ends client connections until Join, so that clients go elsewhere. It implements
// ops.Balancer.
func (proc *Process) Leave() error { return proc.announceLeaving(true, proc.front.Leave()) }

// Join reverts Leave. It implements ops.Balancer.
func (proc *Process) Join() error { return proc.announceLeaving(false, proc.front.Join()) }

// ListenerErrors returns the channel that receives the error of a listener that failed.
func (proc *Process) ListenerErrors() <-chan error { return proc.listenerErrors }

// Drain stops accepting clients and waits for the open transactions to finish. The process has to exit afterwards.
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

// Close releases what is left after Drain. Only callers that continue to run without exiting need it.
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

// Reload switches to another configuration, completely or not at all. Configurations that cannot be parsed are counted
// with CountInvalidConfig instead.
func (proc *Process) Reload(p *plan.Plan) error {
	start, before, cores := time.Now(), proc.plan, p.Limits.Cores
	apply := proc.apply
	if p.Platform {
		apply = proc.applyToPlatformPool
	}
	if err := apply(p); err != nil {
		return err
	}
	proc.counters.ConfigsLoaded.Add(1)
	proc.eventLog.Info("reload", "step", "taken", "pools", len(p.Pools), "routes", len(p.Routes), "listeners", len(p.Listeners),
		"pools_before", len(before.Pools), "took", time.Since(start).Round(time.Microsecond))
	warnIfChanged := func(key string, changed bool) {
		if changed {
			proc.eventLog.Warn("reload", "step", "later", "key", key, "fault", "takes effect at the next start")
		}
	}
	warnIfChanged("log.format", p.Log.Format != before.Log.Format)
	warnIfChanged("ops", p.OpsAddress != before.OpsAddress)
	proc.reloadCluster(before, p, warnIfChanged)
	if p.Platform {
		warnIfChanged("listen", p.Listeners[0].Address != before.Listeners[0].Address)
		warnIfChanged("limits.cores", cores != before.Limits.Cores)
		warnIfChanged("name", p.Name != before.Name)
	}
	return nil
}

// CountInvalidConfig counts a configuration file that could not be parsed.
func (proc *Process) CountInvalidConfig() { proc.counters.ConfigsRejected.Add(1) }

// applyToPlatformPool switches to another configuration in the platform's format. The pool is kept with its learned
// state. Listeners, the number of cores and the administrative address stay as they were at the start.
func (proc *Process) applyToPlatformPool(p *plan.Plan) error {
	proc.mu.Lock()
	defer proc.mu.Unlock()
	if key := p.MissingKey(proc.plan); key != "" {
		return fmt.Errorf("%s is missing", key)
	}
	current, settings := proc.pools[p.Pools[0].Name], p.Pools[0]
	if current.settings.Fingerprint != settings.Fingerprint {
		if err := current.Reconfigure(settings.Settings); err != nil {
			return err
		}
		proc.eventLog.Info("reload", "step", "terms", "tariffs", len(settings.Settings.Tariffs),
			"attempts", settings.Settings.Engine.MaxAttempts)
	}
	address := settings.Upstreams.Discovery
	proc.eventLog.Info("reload", "step", "list", "discovery", address, "moved", current.subscription.SetAddress(address))
	current.settings = settings
	p.Limits.Cores = proc.plan.Limits.Cores
	proc.plan = p
	proc.applyLimits(proc.plan)
	proc.front.SetUnlimited(proc.plan.Limits.BodyBytes / int64(proc.processCount))
	return nil
}

// apply switches from the current configuration to another. All steps that can fail come first, and are undone if one
// fails.
func (proc *Process) apply(p *plan.Plan) (err error) {
	proc.mu.Lock()
	defer proc.mu.Unlock()
	proc.applyLimits(p)
	var opened []*httpwire.Listener
	created := map[string]*pool{}
	links := map[string]*peers.Socket{}
	defer func() {
		if err == nil {
			return
		}
		proc.applyLimits(proc.plan)
		for _, l := range opened {
			proc.front.CloseListener(l)
		}
		for _, target := range created {
			proc.retire(target)
		}
		for address, l := range links {
			if l != proc.peerLinks[address] {
				l.Close()
			}
		}
	}()
	listeners := map[string]*httpwire.Listener{}
	for _, l := range p.Listeners {
		listeners[l.Address] = proc.listeners[l.Address]
		if listeners[l.Address] == nil {
			var listener *httpwire.Listener
			if l.InheritedFD > 0 {
				if listener, err = proc.front.Inherit(l.Name, l.Address, l.InheritedFD); err != nil {
					return fmt.Errorf("PROXY_LISTEN_FD: %w", err)
				}
			} else if listener, err = proc.front.Listen(l.Name, l.Address); err != nil {
				return err
			}
			opened, listeners[l.Address] = append(opened, listener), listener
		}
	}
	pools, reconfigured := map[string]*pool{}, map[string]bool{}
	for _, settings := range p.Pools {
		if address := ownPeerAddress(settings); address != "" {
			if links[address] = proc.peerLinks[address]; links[address] == nil {
				if links[address], err = peers.Open(address); err != nil {
					delete(links, address)
					return fmt.Errorf("pool %s: %w", settings.Name, err)
				}
			}
		}
		if current := proc.pools[settings.Name]; current != nil && current.settings.Fingerprint == settings.Fingerprint &&
			current.Shards() == p.Limits.Cores {
			pools[settings.Name] = current
			continue
		}
		// A new pool would know nothing about its upstreams, and would send load to cold ones in addition to the old
		// pool. Hence the existing one is reconfigured where that is possible.
		if current := proc.pools[settings.Name]; current != nil && current.Shards() == p.Limits.Cores &&
			current.settings.Settings.CanSwitchTo(settings.Settings) {
			if err := settings.Settings.Engine.Validate(); err != nil {
				return fmt.Errorf("pool %s: %w", settings.Name, err)
			}
			pools[settings.Name], reconfigured[settings.Name] = current, true
			continue
		}
		target, err := proc.newPool(settings)
		if err != nil {
			return fmt.Errorf("pool %s: %w", settings.Name, err)
		}
		created[settings.Name], pools[settings.Name] = target, target
		if target.peerLink = links[ownPeerAddress(settings)]; target.peerLink != nil {
			if target.peerRoute, err = peers.NewPeerSet(settings.Name, settings.Settings.PeerAddresses, target.Shards(), target.Pool); err != nil {
				return fmt.Errorf("pool %s: %w", settings.Name, err)
			}
		}
	}

	// No step below can fail. New pools get a list before requests are routed to them, since a pool without one rejects
	// all.
	for name, target := range created {
		initial := target.settings.Upstreams.Static
		if target.settings.Upstreams.File != "" {
			initial, _ = listfile.ReadFile(target.settings.Upstreams.File) // errors are reported by the list source
		}
		if target.settings.Upstreams.Discovery != "" {
			if initial = target.settings.Upstreams.Initial.Entries; proc.pools[name] != nil {
				initial = proc.pools[name].Entries()
			}
		}
		if len(initial) > 0 {
			target.Pool.Update(initial, true)
		}
	}
	for _, settings := range p.Pools {
		if reconfigured[settings.Name] {
			book, _, _ := proc.effectiveBook(settings)
			if err := pools[settings.Name].Reconfigure(book); err != nil {
				// This is a bug, since the settings were validated above.
				proc.eventLog.Error("reload", "step", "terms", "pool", settings.Name, "fault", err)
			}
		}
	}
	board := &httpwire.Routing{Table: p.Table, Pools: map[string]*httpwire.Pool{}}
	shares := map[*httpwire.Pool]httpwire.Share{}
	for _, settings := range p.Pools {
		target := pools[settings.Name]
		board.Pools[settings.Name] = target.Pool
		shares[target.Pool] = httpwire.Share{
			Guarantee: settings.Share, Transactions: settings.MaxTransactions, Connections: settings.MaxConnections, Bodies: settings.MaxBodyBytes,
		}
		if p.Platform {
			board.SinglePool = target.Pool
		}
	}
	if p.Platform {
		proc.front.SetUnlimited(p.Limits.BodyBytes / int64(proc.processCount))
	} else {
		proc.front.SetShares(p.Limits.BodyBytes, p.Limits.ReturnWithin, p.Limits.RefusalRate, shares)
	}
	proc.front.SetRouting(board)
	for _, settings := range p.Pools {
		target, kept := pools[settings.Name], created[settings.Name] == nil
		if !kept || !sameList(target.settings.Upstreams, settings.Upstreams) {
			proc.followList(target, settings.Upstreams, kept)
		}
		target.settings = settings
	}
	for _, target := range created {
		if target.peerLink != nil {
			target.peerLink.SetPeers(target.peerRoute)
			target.SetReportSender(target.peerLink)
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
			old.SetReportSender(nil) // its successor sends load reports under the same balancer index
			proc.retire(old)
		}
	}
	for _, l := range p.Listeners {
		listener := listeners[l.Address]
		listener.Rename(l.Name)
		if proc.listeners[l.Address] == nil {
			ready := make(chan struct{})
			if close(ready); l.InheritedFD > 0 && proc.processCount > 1 {
				ready = pools[p.Pools[0].Name].listReceived
			}
			go func() {
				// The process that serves at present knows a newer list than the one that this process was started
				// with.
				select {
				case <-ready:
				case <-time.After(maxListWait):
				}
				if err := proc.front.Serve(listener); err != nil {
					proc.listenerErrors <- err
				}
			}()
		}
	}
	for address, old := range proc.listeners {
		if listeners[address] == nil {
			proc.front.CloseListener(old)
		}
	}
	proc.pools, proc.listeners, proc.plan = pools, listeners, p
	proc.configureClaims()
	if proc.membership != nil {
		proc.membership.notifyMembersChanged()
	}
	return nil
}

// applyLimits sets the limits of the process: cores, memory, descriptors and the log level.
func (proc *Process) applyLimits(p *plan.Plan) {
	if p.Limits.Descriptors == 0 {
		return // the initial, empty configuration
	}
	runtime.GOMAXPROCS(p.Limits.Cores)
	if p.Limits.MemoryBytes > 0 {
		// The limit is enforced by killing, and applies to all processes of a balancer together.
		debug.SetMemoryLimit(p.Limits.MemoryBytes * 6 / 10 / int64(proc.processCount))
	}
	descriptors := p.Limits.Descriptors
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil && limit.Cur < uint64(descriptors) && !p.Platform {
		proc.eventLog.Warn("limit", "key", "limits.descriptors", "asked", descriptors, "has", limit.Cur)
		descriptors = int(limit.Cur)
	}
	proc.front.SetLimits(descriptors/proc.processCount, p.Limits.Cores)
	proc.logLevel.Set(logs.ParseLevel(p.Log.Level))
}

// ownPeerAddress returns the address at which the other balancers of a pool reach this one, or "" if the pool has no
// peers.
func ownPeerAddress(settings *plan.Pool) string {
	if len(settings.Settings.PeerAddresses) == 0 {
		return ""
	}
	return settings.Settings.PeerAddresses[settings.Settings.Engine.Index]
}

// newPool creates a pool. The source of its upstream list is started later, by followList.
func (proc *Process) newPool(settings *plan.Pool) (*pool, error) {
	if settings.Settings.Engine.Seed == 0 { // with the same seed, all pools would draw the same random numbers
		hash := fnv.New64a()
		hash.Write([]byte(settings.Name))
		settings.Settings.Engine.Seed = proc.seed ^ hash.Sum64()
	}
	book, _, _ := proc.effectiveBook(settings)
	created, err := proc.front.NewPool(settings.Name, book)
	if err != nil {
		return nil, err
	}
	created.SetProcesses(proc.processCount)
	return &pool{Pool: created, settings: settings, stopList: func() {}, listReceived: make(chan struct{})}, nil
}

// Update implements lists.Sink for the list source. A process that replaces another one waits for the first call before
// it accepts clients.
func (p *pool) Update(entries []roster.Entry[string], complete bool) {
	p.Pool.Update(entries, complete)
	p.receivedOnce.Do(func() { close(p.listReceived) })
}

// followList starts the source of a pool's upstream list and stops the previous one. replaced means that the pool had
// another source before.
func (proc *Process) followList(target *pool, list plan.UpstreamSource, replaced bool) {
	target.stopList()
	target.subscription = nil
	var source lists.Source
	switch {
	case list.Discovery != "":
		index := list.Initial.Version
		if replaced {
			index = discovery.UnknownVersion // versions of one source are meaningless to another
		}
		if list.Shared && proc.membership != nil {
			source = proc.membership.List(target.Name, target, func(to lists.Sink) lists.Source {
				return discovery.New(to, target.Log(), list.Discovery, false, discovery.UnknownVersion, target.Settings().DialTimeout)
			})
			break
		}
		target.subscription = discovery.New(
			target, target.Log(), list.Discovery, target.Settings().Engine.FollowList, index, target.Settings().DialTimeout)
		source = target.subscription
	case list.File != "":
		source = &listfile.File{Path: list.File, Interval: list.PollInterval, Sink: target, Log: target.Log()}
	default:
		source = &listfixed.Source{Entries: list.Static, Sink: target}
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		source.Run(ctx)
	}()
	target.stopList = func() {
		stop()
		<-ended // otherwise late updates of the old source could arrive after the first one of the new source
	}
}

// retire closes a pool in the background, once its open transactions have ended. Its list is followed until then, since
// upstreams may start to drain meanwhile.
func (proc *Process) retire(p *pool) {
	proc.retiring.Add(1)
	go func() {
		defer proc.retiring.Done()
		p.Retire()
		p.stopList()
	}()
}

// sameList reports whether two list settings name the same source.
func sameList(a, b plan.UpstreamSource) bool {
	return a.File == b.File && a.PollInterval == b.PollInterval && a.Discovery == b.Discovery && a.Shared == b.Shared &&
		slices.Equal(a.Static, b.Static)
}
