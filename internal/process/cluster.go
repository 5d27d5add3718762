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

// membership is the process's part in its cluster. Without [cluster] there is none: no goroutine, socket or file.
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
	memberChangeDelay = 200 * time.Millisecond // that members change before pools are told
	leaveTimeout      = 500 * time.Millisecond // at the end of a process
	// deadMemberRetention is how long a member that is held dead counts as a balancer still: it may live behind a link that is cut,
	// and what all send cold upstreams has to stay within bounds.
	deadMemberRetention = 10 * time.Minute
)

// joinCluster takes part in the cluster of a plan, if it names one.
func (proc *Process) joinCluster(p *plan.Plan) error {
	if p.Cluster == nil {
		return nil
	}
	lab, err := cluster.InLab()
	if err != nil {
		return err
	}
	m := &membership{process: proc, membersChanged: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}), lastStatusAt: time.Now()}
	m.Cluster, err = cluster.Open(cluster.Options{
		Settings: p.Cluster, Ops: p.Ops, Build: buildVersion(), Seed: proc.seed, Log: proc.eventLog, Lab: lab, Status: m.status, Changed: m.notifyMembersChanged,
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

// buildVersion is which one this is, as others are told.
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

// close leaves the cluster by intent, once.
func (m *membership) close() {
	m.closeOnce.Do(func() {
		close(m.stop)
		<-m.done
		m.Cluster.Close()
	})
}

// closeWithTimeout does so within a time: a process that was told to end doesn't wait for keepers that it can't reach.
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

// announceLeaving passes on whether clients are to go elsewhere, if that was done.
func (proc *Process) announceLeaving(leaving bool, err error) error {
	if m := proc.clusterMembership(); err == nil && m != nil {
		m.Leaving(leaving)
	}
	return err
}

// notifyMembersChanged has pools told of other members soon.
func (m *membership) notifyMembersChanged() {
	select {
	case m.membersChanged <- struct{}{}:
	default:
	}
}

func (m *membership) run() {
	defer close(m.done)
	ticker := time.NewTicker(deadMemberRetention / 10) // who is held dead counts for some time only
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
			m.Tell()
		}
	}
}

// poolsChanged reports whether this process offers other pools than it told last.
func (m *membership) poolsChanged() bool {
	m.process.mu.Lock()
	defer m.process.mu.Unlock()
	names := slices.Sorted(maps.Keys(m.process.pools))
	defer func() { m.announcedPools = names }()
	return !slices.Equal(names, m.announcedPools)
}

// status is what others are told of this process.
func (m *membership) status() member.Status {
	process := m.process
	process.mu.Lock()
	defer process.mu.Unlock()
	var status member.Status
	ended := int64(0)
	for name, p := range process.pools {
		view := p.View()
		status.Open += view.Counts.Open.Load()
		for _, n := range view.Counts.Ended() {
			ended += n
		}
		if len(status.Offers) < member.MostOffers {
			status.Offers = append(status.Offers, name)
		}
		status.Parts = p.Shards()
	}
	slices.Sort(status.Offers)
	if elapsed := time.Since(m.lastStatusAt).Seconds(); elapsed > 0 && m.lastEndedCount <= ended {
		status.Rate = float64(ended-m.lastEndedCount) / elapsed
	}
	m.lastEndedCount, m.lastStatusAt = ended, time.Now()
	return status
}

// effectiveBook is a pool's book with the members that count at present, and their names.
func (proc *Process) effectiveBook(settings *plan.Pool) (book *terms.Book, names []string, own int) {
	if !settings.Book.Fleet || proc.membership == nil {
		return settings.Book, nil, 0
	}
	names, own = proc.membership.Counted(settings.Name, deadMemberRetention)
	if own < 0 { // it has not said yet what it offers
		names = append(names, proc.membership.Settings().Self)
		slices.Sort(names)
		own = slices.Index(names, proc.membership.Settings().Self)
	}
	return settings.Book.Among(max(settings.Book.Terms.Balancers, len(names)), own), names, own
}

// updateBalancerCounts tells pools whose balancers are the cluster's how many there are now. It keeps what they have learnt.
func (proc *Process) updateBalancerCounts() {
	proc.mu.Lock()
	defer proc.mu.Unlock()
	for _, p := range proc.pools {
		if p.settings.Book.Fleet {
			proc.updateBalancerCount(p)
		}
	}
}

func (proc *Process) updateBalancerCount(p *pool) {
	book, names, own := proc.effectiveBook(p.settings)
	before := p.Book().Terms
	if slices.Equal(names, p.memberNames) && before.Balancers == book.Terms.Balancers && before.Index == book.Terms.Index {
		return
	}
	if err := p.Retune(book); err != nil {
		proc.eventLog.Error("cluster", "step", "counted", "pool", p.Name, "fault", err) // a fault of ours: it was checked
		return
	}
	p.memberNames = names
	p.Speak(proc.membership.Follow(p.Name, names, own, p.Shards(), p.Pool))
	proc.eventLog.Info("cluster", "step", "counted", "pool", p.Name, "balancers", book.Terms.Balancers, "members", len(names), "index", own)
}

// WriteMembers implements ops.Balancer.
func (proc *Process) WriteMembers(to io.Writer, all bool) error {
	m := proc.clusterMembership()
	if m == nil {
		return errors.New("this process is in no cluster: its configuration has no [cluster]")
	}
	return m.Members(to, all)
}

// ClusterCommand implements ops.Balancer.
func (proc *Process) ClusterCommand(to io.Writer, words []string) error {
	m := proc.clusterMembership()
	if m == nil {
		return errors.New("this process is in no cluster: its configuration has no [cluster]")
	}
	return m.Staff(to, words)
}

// clusterMembership is this process's part in its cluster, nil if it has none, or not yet.
func (proc *Process) clusterMembership() *membership {
	proc.mu.Lock()
	defer proc.mu.Unlock()
	return proc.membership
}

// reloadCluster takes over what may change of a cluster in service, and names what may not.
func (proc *Process) reloadCluster(oldPlan, newPlan *plan.Plan, warnIfChanged func(key string, changed bool)) {
	before, after := oldPlan.Cluster, newPlan.Cluster
	if before == nil || after == nil {
		warnIfChanged("cluster", (before == nil) != (after == nil))
		return
	}
	proc.membership.Divert(after)
	warnIfChanged("name", before.Self != after.Self)
	warnIfChanged("cluster.name", before.Name != after.Name)
	warnIfChanged("cluster.address", before.Address != after.Address)
	warnIfChanged("cluster.directory", before.Directory != after.Directory)
	warnIfChanged("cluster.zone", before.Zone != after.Zone)
	warnIfChanged("cluster.voters", !slices.Equal(before.Voters, after.Voters))
	warnIfChanged("cluster.probe_every", before.Probe != after.Probe)
	warnIfChanged("cluster.rejoin_every", before.Rejoin != after.Rejoin)
	warnIfChanged("cluster.election", before.Election != after.Election)
	warnIfChanged("cluster.groups", before.Groups != after.Groups)
	warnIfChanged("cluster.ledger", (before.Ledger == nil) != (after.Ledger == nil))
	if before.Ledger != nil && after.Ledger != nil {
		warnIfChanged("cluster.ledger.policy", before.Ledger.Policy != after.Ledger.Policy && (before.Ledger.Policy == "local" || after.Ledger.Policy == "local"))
	}
	proc.mu.Lock()
	defer proc.mu.Unlock()
	proc.configureClaims()
	warnIfChanged("cluster.lease", before.Lease != after.Lease || before.Drift != after.Drift)
}
