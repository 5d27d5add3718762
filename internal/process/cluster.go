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

// fleet is the process's part in its cluster. Without [cluster] there is none: no goroutine, socket or file.
type fleet struct {
	*cluster.Cluster
	s    *Process
	kick chan struct{}
	end  chan struct{}
	done chan struct{}
	once sync.Once

	offered   []string
	lastEnded int64
	lastAt    time.Time
}

const (
	settles = 200 * time.Millisecond // that members change before pools are told
	leaves  = 500 * time.Millisecond // at the end of a process
	// countedFor is how long a member that is held dead counts as a balancer still: it may live behind a link that is cut,
	// and what all send cold upstreams has to stay within bounds.
	countedFor = 10 * time.Minute
)

// joinCluster takes part in the cluster of a plan, if it names one.
func (s *Process) joinCluster(p *plan.Plan) error {
	if p.Cluster == nil {
		return nil
	}
	lab, err := cluster.InLab()
	if err != nil {
		return err
	}
	f := &fleet{s: s, kick: make(chan struct{}, 1), end: make(chan struct{}), done: make(chan struct{}), lastAt: time.Now()}
	f.Cluster, err = cluster.Open(cluster.Options{
		Settings: p.Cluster, Ops: p.Ops, Build: build(), Seed: s.seed, Log: s.own, Lab: lab, Status: f.status, Changed: f.changed,
	})
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.fleet = f
	s.mu.Unlock()
	go f.run()
	return nil
}

// build is which one this is, as others are told.
func build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, v := range info.Settings {
		if v.Key == "vcs.revision" {
			return v.Value[:min(12, len(v.Value))]
		}
	}
	return info.Main.Version
}

// close leaves the cluster by intent, once.
func (f *fleet) close() {
	f.once.Do(func() {
		close(f.end)
		<-f.done
		f.Cluster.Close()
	})
}

// leave does so within a time: a process that was told to end doesn't wait for keepers that it can't reach.
func (f *fleet) leave() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.close()
	}()
	select {
	case <-done:
	case <-time.After(leaves):
	}
}

// leaving passes on whether clients are to go elsewhere, if that was done.
func (s *Process) leaving(yes bool, err error) error {
	if f := s.inFleet(); err == nil && f != nil {
		f.Leaving(yes)
	}
	return err
}

// changed has pools told of other members soon.
func (f *fleet) changed() {
	select {
	case f.kick <- struct{}{}:
	default:
	}
}

func (f *fleet) run() {
	defer close(f.done)
	tick := time.NewTicker(countedFor / 10) // who is held dead counts for some time only
	defer tick.Stop()
	for {
		select {
		case <-f.kick:
		case <-tick.C:
		case <-f.end:
			return
		}
		select {
		case <-time.After(settles):
		case <-f.end:
			return
		}
		f.s.recount()
		if f.offers() {
			f.Tell()
		}
	}
}

// offers reports whether this process offers other pools than it told last.
func (f *fleet) offers() bool {
	f.s.mu.Lock()
	defer f.s.mu.Unlock()
	now := slices.Sorted(maps.Keys(f.s.pools))
	defer func() { f.offered = now }()
	return !slices.Equal(now, f.offered)
}

// status is what others are told of this process.
func (f *fleet) status() member.Status {
	s := f.s
	s.mu.Lock()
	defer s.mu.Unlock()
	var st member.Status
	ended := int64(0)
	for name, p := range s.pools {
		v := p.View()
		st.OpenTransactions += v.Counters.InFlight.Load()
		for _, n := range v.Counters.EndingTotals() {
			ended += n
		}
		if len(st.Pools) < member.MaxPools {
			st.Pools = append(st.Pools, name)
		}
		st.ShardsPerPool = p.Shards()
	}
	slices.Sort(st.Pools)
	if span := time.Since(f.lastAt).Seconds(); span > 0 && f.lastEnded <= ended {
		st.Rate = float64(ended-f.lastEnded) / span
	}
	f.lastEnded, f.lastAt = ended, time.Now()
	return st
}

// among is a pool's book with the members that count at present, and their names.
func (s *Process) among(told *plan.Pool) (b *terms.Book, names []string, own int) {
	if !told.Book.Fleet || s.fleet == nil {
		return told.Book, nil, 0
	}
	names, own = s.fleet.Counted(told.Name, countedFor)
	if own < 0 { // it has not said yet what it offers
		names = append(names, s.fleet.Settings().Self)
		slices.Sort(names)
		own = slices.Index(names, s.fleet.Settings().Self)
	}
	return told.Book.Among(max(told.Book.Terms.Balancers, len(names)), own), names, own
}

// recount tells pools whose balancers are the cluster's how many there are now. It keeps what they have learnt.
func (s *Process) recount() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		if p.told.Book.Fleet {
			s.recountPool(p)
		}
	}
}

func (s *Process) recountPool(p *pool) {
	b, names, own := s.among(p.told)
	was := p.Book().Terms
	if slices.Equal(names, p.among) && was.Balancers == b.Terms.Balancers && was.Index == b.Terms.Index {
		return
	}
	if err := p.Retune(b); err != nil {
		s.own.Error("cluster", "step", "counted", "pool", p.Name, "fault", err) // a fault of ours: it was checked
		return
	}
	p.among = names
	p.Speak(s.fleet.Follow(p.Name, names, own, p.Shards(), p.Pool))
	s.own.Info("cluster", "step", "counted", "pool", p.Name, "balancers", b.Terms.Balancers, "members", len(names), "index", own)
}

// Members implements ops.Balancer.
func (s *Process) Members(to io.Writer, all bool) error {
	f := s.inFleet()
	if f == nil {
		return errors.New("this process is in no cluster: its configuration has no [cluster]")
	}
	return f.Members(to, all)
}

// Cluster implements ops.Balancer.
func (s *Process) Cluster(to io.Writer, words []string) error {
	f := s.inFleet()
	if f == nil {
		return errors.New("this process is in no cluster: its configuration has no [cluster]")
	}
	return f.Staff(to, words)
}

// inFleet is this process's part in its cluster, nil if it has none, or not yet.
func (s *Process) inFleet() *fleet {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet
}

// reloadCluster takes over what may change of a cluster in service, and names what may not.
func (s *Process) reloadCluster(before, now *plan.Plan, later func(key string, changed bool)) {
	a, b := before.Cluster, now.Cluster
	if a == nil || b == nil {
		later("cluster", (a == nil) != (b == nil))
		return
	}
	s.fleet.Divert(b)
	later("name", a.Self != b.Self)
	later("cluster.name", a.Name != b.Name)
	later("cluster.address", a.Address != b.Address)
	later("cluster.directory", a.Directory != b.Directory)
	later("cluster.zone", a.Zone != b.Zone)
	later("cluster.voters", !slices.Equal(a.Voters, b.Voters))
	later("cluster.probe_every", a.Probe != b.Probe)
	later("cluster.rejoin_every", a.Rejoin != b.Rejoin)
	later("cluster.election", a.Election != b.Election)
	later("cluster.groups", a.Groups != b.Groups)
	later("cluster.ledger", (a.Ledger == nil) != (b.Ledger == nil))
	if a.Ledger != nil && b.Ledger != nil {
		later("cluster.ledger.policy", a.Ledger.Policy != b.Ledger.Policy && (a.Ledger.Policy == "local" || b.Ledger.Policy == "local"))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claiming()
	later("cluster.lease", a.Lease != b.Lease || a.Drift != b.Drift)
}
