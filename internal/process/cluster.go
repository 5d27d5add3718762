package process

import (
	"errors"
	"io"
	"maps"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"ottershift/internal/cluster"
	"ottershift/internal/cluster/member"
	"ottershift/internal/plan"
	"ottershift/internal/terms"
)

// membership is the participation of a process in its cluster. A process whose configuration has no [cluster] table has
// no membership, and runs no goroutine, opens no socket and writes no file for it.
type membership struct {
	*cluster.Cluster
	process        *Process
	membersChanged chan struct{}
	stop           chan struct{}
	done           chan struct{}
	closeOnce      sync.Once

	announcedPools []string
	lastEndedCount int64
	lastStatusAt   time.Time
}

const (
	// memberChangeDelay is the time from the first change of the member list until the pools are updated. Further
	// changes within it are applied together.
	memberChangeDelay = 200 * time.Millisecond
	// leaveTimeout limits how long a process that exits waits for its departure from the cluster.
	leaveTimeout = 500 * time.Millisecond
	// deadMemberRetention is how long a member that is considered dead still counts as a balancer. It may be alive
	// behind a broken link, and the load that all balancers together send to cold upstreams has to stay limited.
	deadMemberRetention = 10 * time.Minute
)

// joinCluster joins the cluster of a configuration, if it has one.
func (proc *Process) joinCluster(p *plan.Plan) error {
	if p.Cluster == nil {
		return nil
	}
	lab, err := cluster.ReadLab()
	if err != nil {
		return err
	}
	m := &membership{
		process: proc, membersChanged: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}),
		lastStatusAt: time.Now(),
	}
	m.Cluster, err = cluster.Open(cluster.Options{
		Settings: p.Cluster, OpsAddress: p.OpsAddress, Build: buildVersion(), Seed: proc.seed, Log: proc.eventLog, Lab: lab,
		Status: m.status, MembersChanged: m.notifyMembersChanged,
	})
	if err != nil {
		return err
	}
	proc.mu.Lock()
	proc.membership = m
	proc.mu.Unlock()
	go m.run()
	return nil
}

// buildVersion returns the version of this build that is sent to the other members: the first 12 digits of the revision
// if it is known, else the module version.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value[:min(12, len(setting.Value))]
		}
	}
	return info.Main.Version
}

// close announces the departure to the cluster and leaves it. Later calls do nothing.
func (m *membership) close() {
	m.closeOnce.Do(func() {
		close(m.stop)
		<-m.done
		m.Cluster.Close()
	})
}

// closeWithTimeout calls close and waits for it no longer than leaveTimeout, since a process that is told to exit must
// not wait for voters that it cannot reach.
func (m *membership) closeWithTimeout() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.close()
	}()
	select {
	case <-done:
	case <-time.After(leaveTimeout):
	}
}

// announceLeaving tells the cluster whether this process wants its clients to go elsewhere. It does nothing if err is
// set, and returns err.
func (proc *Process) announceLeaving(leaving bool, err error) error {
	if m := proc.clusterMembership(); err == nil && m != nil {
		m.SetDraining(leaving)
	}
	return err
}

// notifyMembersChanged has the pools updated after memberChangeDelay. It does not block.
func (m *membership) notifyMembersChanged() {
	select {
	case m.membersChanged <- struct{}{}:
	default:
	}
}

// run updates the pools whenever the members change, and announces the pools of this process when they change.
func (m *membership) run() {
	defer close(m.done)
	ticker := time.NewTicker(deadMemberRetention / 10) // dead members stop counting without an event
	defer ticker.Stop()
	for {
		select {
		case <-m.membersChanged:
		case <-ticker.C:
		case <-m.stop:
			return
		}
		select {
		case <-time.After(memberChangeDelay):
		case <-m.stop:
			return
		}
		m.process.updateBalancerCounts()
		if m.poolsChanged() {
			m.BroadcastStatus()
		}
	}
}

// poolsChanged reports whether the pools of this process differ from those at the previous call.
func (m *membership) poolsChanged() bool {
	m.process.mu.Lock()
	defer m.process.mu.Unlock()
	names := slices.Sorted(maps.Keys(m.process.pools))
	defer func() { m.announcedPools = names }()
	return !slices.Equal(names, m.announcedPools)
}

// status returns the state of this process that is sent to the other members.
func (m *membership) status() member.Status {
	process := m.process
	process.mu.Lock()
	defer process.mu.Unlock()
	var status member.Status
	ended := int64(0)
	for name, p := range process.pools {
		view := p.View()
		status.OpenTransactions += view.Counters.InFlight.Load()
		for _, n := range view.Counters.EndingTotals() {
			ended += n
		}
		if len(status.Pools) < member.MaxPools {
			status.Pools = append(status.Pools, name)
		}
		status.ShardsPerPool = p.Shards()
	}
	slices.Sort(status.Pools)
	if elapsed := time.Since(m.lastStatusAt).Seconds(); elapsed > 0 && m.lastEndedCount <= ended {
		status.Rate = float64(ended-m.lastEndedCount) / elapsed
	}
	m.lastEndedCount, m.lastStatusAt = ended, time.Now()
	return status
}

// effectiveBook returns the settings of a pool. If its balancers are the members of the cluster, the settings are
// adapted to the members that count at present, whose names are returned together with the index of this process.
func (proc *Process) effectiveBook(settings *plan.Pool) (book *terms.Settings, names []string, own int) {
	if !settings.Settings.ClusterPeers || proc.membership == nil {
		return settings.Settings, nil, 0
	}
	names, own = proc.membership.PoolBalancers(settings.Name, deadMemberRetention)
	if own < 0 { // this process has not announced its pools yet
		names = append(names, proc.membership.Settings().Self)
		slices.Sort(names)
		own = slices.Index(names, proc.membership.Settings().Self)
	}
	return settings.Settings.ForBalancer(max(settings.Settings.Engine.Balancers, len(names)), own), names, own
}

// updateBalancerCounts updates the number of balancers of all pools whose balancers are the members of the cluster. The
// pools keep their learned state.
func (proc *Process) updateBalancerCounts() {
	proc.mu.Lock()
	defer proc.mu.Unlock()
	for _, p := range proc.pools {
		if p.settings.Settings.ClusterPeers {
			proc.updateBalancerCount(p)
		}
	}
}

// updateBalancerCount updates the number of balancers of one pool and its route to them, if they have changed.
func (proc *Process) updateBalancerCount(p *pool) {
	book, names, own := proc.effectiveBook(p.settings)
	before := p.Settings().Engine
	if slices.Equal(names, p.memberNames) && before.Balancers == book.Engine.Balancers && before.Index == book.Engine.Index {
		return
	}
	if err := p.Reconfigure(book); err != nil {
		// This is a bug, since the settings were validated before.
		proc.eventLog.Error("cluster", "step", "counted", "pool", p.Name, "fault", err)
		return
	}
	p.memberNames = names
	p.SetReportSender(proc.membership.OpenPeerRoute(p.Name, names, own, p.Shards(), p.Pool))
	proc.eventLog.Info("cluster", "step", "counted", "pool", p.Name, "balancers", book.Engine.Balancers,
		"members", len(names), "index", own)
}

// WriteMembers writes the known members of the cluster. It implements ops.Balancer.
func (proc *Process) WriteMembers(to io.Writer, all bool) error {
	m := proc.clusterMembership()
	if m == nil {
		return errors.New("this process is in no cluster: its configuration has no [cluster]")
	}
	return m.WriteMembers(to, all)
}

// ClusterCommand runs an operator's command on the cluster. It implements ops.Balancer.
func (proc *Process) ClusterCommand(to io.Writer, words []string) error {
	m := proc.clusterMembership()
	if m == nil {
		return errors.New("this process is in no cluster: its configuration has no [cluster]")
	}
	return m.RunCommand(to, words)
}

// clusterMembership returns the membership of this process, or nil if it has not joined a cluster.
func (proc *Process) clusterMembership() *membership {
	proc.mu.Lock()
	defer proc.mu.Unlock()
	return proc.membership
}

// reloadCluster applies the cluster settings that can change in service, and warns about those that need a restart.
func (proc *Process) reloadCluster(oldPlan, newPlan *plan.Plan, warnIfChanged func(key string, changed bool)) {
	before, after := oldPlan.Cluster, newPlan.Cluster
	if before == nil || after == nil {
		warnIfChanged("cluster", (before == nil) != (after == nil))
		return
	}
	proc.membership.UpdateSettings(after)
	warnIfChanged("name", before.Self != after.Self)
	warnIfChanged("cluster.name", before.Name != after.Name)
	warnIfChanged("cluster.address", before.Address != after.Address)
	warnIfChanged("cluster.directory", before.Directory != after.Directory)
	warnIfChanged("cluster.zone", before.Zone != after.Zone)
	warnIfChanged("cluster.voters", !slices.Equal(before.Voters, after.Voters))
	warnIfChanged("cluster.probe_every", before.ProbeInterval != after.ProbeInterval)
	warnIfChanged("cluster.rejoin_every", before.RejoinInterval != after.RejoinInterval)
	warnIfChanged("cluster.election", before.ElectionTimeout != after.ElectionTimeout)
	warnIfChanged("cluster.groups", before.Groups != after.Groups)
	warnIfChanged("cluster.ledger", (before.Ledger == nil) != (after.Ledger == nil))
	if before.Ledger != nil && after.Ledger != nil {
		warnIfChanged("cluster.ledger.policy",
			before.Ledger.Policy != after.Ledger.Policy && (before.Ledger.Policy == "local" || after.Ledger.Policy == "local"))
	}
	proc.mu.Lock()
	defer proc.mu.Unlock()
	proc.configureClaims()
	warnIfChanged("cluster.lease", before.Lease != after.Lease || before.ClockDrift != after.ClockDrift)
}
