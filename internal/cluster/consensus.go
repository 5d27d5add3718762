package cluster

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"ottershift/internal/cluster/disk"
	"ottershift/internal/cluster/keep"
	"ottershift/internal/cluster/link"
	"ottershift/internal/cluster/member"
	"ottershift/internal/cluster/owner"
	"ottershift/internal/cluster/pack"
	"ottershift/internal/cluster/shared"
	"ottershift/internal/lists"
)

// Method numbers of RPCs between members.
const (
	methodListUpdate   uint16 = 20 // update sent by the owner of a shared upstream list
	methodListSnapshot uint16 = 21 // request for a member's complete shared list
)

const (
	commandTimeout         = 2 * time.Second        // timeout of one command to the voters
	sessionCheckInterval   = 100 * time.Millisecond // interval between checks of the local session state
	sessionConfirmInterval = time.Second            // interval between checks of the session against the replicated state
	sessionEndInterval     = 250 * time.Millisecond // interval between scans for sessions of departed members
	listUpdateTimeout      = 300 * time.Millisecond // timeout of one list update to one member
)

// consensus is this process's part in the replicated state: a replica of each group if the process is a voter, its
// session, and the duties it may own.
type consensus struct {
	cluster     *Cluster
	replicas    []*keep.Replica // by group; empty if this process is not a voter
	clients     []*keep.Client  // by group
	firstClient *keep.Client    // client of group 0, which stores sessions and duties
	owners      *owner.Manager
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup
	wake        chan struct{}

	mu            sync.Mutex
	lists         map[string]*shared.List // by pool name
	draining      bool
	endToken      uint64                     // fencing token of the session-ending duty, 0 if this member does not own it
	endedSessions int64                      // number of sessions that this member has ended
	heldDuties    map[string]owner.DutyState // last known owners of all duties
}

// openConsensus creates the local replicas and clients and registers the RPC handlers. It must run before the link
// starts serving.
func openConsensus(cluster *Cluster) (*consensus, error) {
	settings := cluster.options.Settings
	cs := &consensus{
		cluster: cluster, lists: map[string]*shared.List{}, heldDuties: map[string]owner.DutyState{}, wake: make(chan struct{}, 1),
	}
	cs.ctx, cs.cancel = context.WithCancel(context.Background())
	fenced, once := true, true
	if lab := cluster.options.Lab; lab != nil {
		fenced, once = !lab.disables("fence"), !lab.disables("once")
	}
	for group := range settings.Groups {
		if slices.Contains(settings.Voters, settings.Self) {
			dir := keep.GroupDir(settings.Directory, group)
			replica, err := keep.NewReplica(keep.Options{
				Cluster: settings.Name, Name: settings.Self, Voters: settings.Voters, Group: group, Dir: dir,
				FS: cluster.directory(dir), Transport: localTransport{cluster.link, settings.Self}, ElectionTimeout: settings.ElectionTimeout,
				Lease:  keep.Lease{Duration: settings.Lease, MaxDrift: settings.ClockDrift},
				Checks: keep.SafetyChecks{Fencing: fenced, Deduplication: once}, Log: cluster.options.Log,
				Parts: cluster.ledgerParts(),
			})
			if err != nil {
				return nil, fmt.Errorf("cluster: open replica: %w", err)
			}
			cs.replicas = append(cs.replicas, replica)
		}
		client := keep.NewClient(localTransport{cluster.link, settings.Self}, settings.Self, settings.Voters, group)
		client.StaleReads = cluster.options.Lab != nil && cluster.options.Lab.disables("reads")
		cs.clients = append(cs.clients, client)
	}
	cs.firstClient = cs.clients[0]
	cluster.link.Handle(methodListUpdate, cs.handleListUpdate)
	cluster.link.Handle(methodListSnapshot, cs.handleListSnapshot)
	return cs, nil
}

// start starts the replicas and the background loops. The link must already be serving and gossip must be started.
func (cs *consensus) start() {
	settings := cs.cluster.options.Settings
	for _, replica := range cs.replicas {
		replica.Start()
	}
	fenced := cs.cluster.options.Lab == nil || !cs.cluster.options.Lab.disables("fence")
	lease := keep.Lease{Duration: settings.Lease, MaxDrift: settings.ClockDrift}.OwnerDuration()
	cs.owners = owner.Start(owner.Options{
		Self: settings.Self, Timing: owner.TimingFor(lease), Seed: cs.cluster.options.Seed, Store: dutyStore{cs},
		Members: cs.eligibleOwners, Fenced: fenced, Log: cs.cluster.options.Log,
	})
	cs.owners.AddDuty(keep.SessionsDuty, (*sessionEnder)(cs))
	cs.wg.Go(cs.maintainSessions)
	cs.wg.Go(cs.endSessions)
}

// stop releases the duties of this process, ends its sessions and closes the replicas.
func (cs *consensus) stop() {
	cs.owners.Close() // hands duties over while the session is still open
	ctx, cancel := context.WithTimeout(cs.ctx, commandTimeout/4)
	for _, client := range cs.clients {
		if epoch, ok := client.Session(); ok {
			client.Do(ctx, keep.Command{Kind: keep.EndSession, Target: cs.cluster.options.Settings.Self, Number: epoch})
		}
	}
	cancel()
	cs.cancel()
	cs.wg.Wait()
	for _, replica := range cs.replicas {
		replica.Close()
	}
}

// localTransport is a link whose calls to this process itself run the handler directly, without the network.
type localTransport struct {
	*link.Link
	self string
}

// Call calls a method of the named member.
func (t localTransport) Call(ctx context.Context, name string, method uint16, body []byte) ([]byte, error) {
	if name == t.self {
		return t.Link.CallLocal(ctx, method, body)
	}
	return t.Link.Call(ctx, name, method, body)
}

// maintainSessions keeps a session open for this run in every group, under the epoch from gossip.
func (cs *consensus) maintainSessions() {
	confirmedAt := make([]time.Time, len(cs.clients))
	for {
		for group, client := range cs.clients {
			cs.checkSession(group, client, &confirmedAt[group])
		}
		select {
		case <-time.After(sessionCheckInterval):
		case <-cs.ctx.Done():
			return
		}
	}
}

// checkSession opens a session in the group if this run has none. Otherwise it verifies every sessionConfirmInterval that
// the session is still open.
func (cs *consensus) checkSession(group int, client *keep.Client, confirmedAt *time.Time) {
	self := cs.cluster.gossip.Self()
	epoch, ok := client.Session()
	ctx, cancel := context.WithTimeout(cs.ctx, commandTimeout)
	defer cancel()
	if superseded := cs.cluster.gossip.Superseded(); !superseded && (!ok || epoch != self.Epoch) {
		known, err := client.Open(ctx, self.Epoch, self.Run)
		switch {
		case err == nil:
			cs.cluster.options.Log.Info("cluster", "step", "session", "epoch", known, "group", group)
		case errors.Is(err, keep.ErrSessionEnded) && known == self.Epoch:
			// The session was ended because this member was taken for dead. The process continues under a new epoch, as
			// another run, and does not own the duties of the previous one.
			cs.cluster.gossip.RenewEpoch(known)
		case errors.Is(err, keep.ErrSessionEnded):
			cs.cluster.gossip.ObserveNewerSelf(member.ID{Name: self.Name, Epoch: known, Run: 1<<64 - 1}, true)
		}
	} else if ok && time.Since(*confirmedAt) > sessionConfirmInterval {
		*confirmedAt = time.Now()
		if state, err := client.Read(ctx, false); err == nil {
			for _, s := range state.Sessions {
				if s.Member == self.Name && (s.Epoch > epoch || s.Epoch == epoch && !s.Open) {
					client.MarkSessionEnded()
				}
			}
		}
	}
}

// eligibleOwners returns the members that may own duties, which are alive and not draining, and whether this process is
// willing to own duties.
func (cs *consensus) eligibleOwners() (owners []owner.Member, willing bool) {
	for _, m := range cs.cluster.gossip.AliveMembers() {
		if !m.Draining {
			owners = append(owners, owner.Member{Name: m.Name})
		}
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return owners, !cs.draining && !cs.cluster.gossip.Superseded()
}

// dutyStore adapts the client of the first group to the interface that the duty owners use.
type dutyStore struct{ cs *consensus }

// Session returns the epoch of the open session, if there is one.
func (store dutyStore) Session() (uint64, bool) { return store.cs.firstClient.Session() }

// Held returns the owners of all duties and remembers them.
func (store dutyStore) Held(ctx context.Context) (map[string]owner.DutyState, error) {
	state, err := store.cs.firstClient.Read(ctx, false)
	if err != nil {
		return nil, err
	}
	duties := map[string]owner.DutyState{}
	for _, d := range state.Duties {
		duties[d.Name] = owner.DutyState{Token: d.Token, Owner: d.Owner, Epoch: d.Epoch}
	}
	store.cs.mu.Lock()
	defer store.cs.mu.Unlock()
	store.cs.heldDuties = duties
	return duties, nil
}

// Take requests a duty for this process and returns its fencing token if the request succeeds.
func (store dutyStore) Take(ctx context.Context, duty string) (uint64, bool, error) {
	answer, err := store.cs.firstClient.Do(ctx, keep.Command{Kind: keep.AcquireDuty, Duty: duty})
	return answer.Token, answer.Code == keep.CodeOK, err
}

// Give hands a duty over to another member, or releases it if the name is "".
func (store dutyStore) Give(ctx context.Context, duty string, token uint64, to string) error {
	kind := keep.ReleaseDuty
	if to != "" {
		kind = keep.TransferDuty
	}
	_, err := store.cs.firstClient.Do(ctx, keep.Command{Kind: kind, Duty: duty, Token: token, Target: to})
	return err
}

// Renew renews the leases of the duties with these fencing tokens.
func (store dutyStore) Renew(ctx context.Context, tokens map[string]uint64) (map[string]uint64, error) {
	return store.cs.firstClient.Renew(ctx, tokens)
}

// sessionEnder implements the duty of ending the sessions of departed members.
type sessionEnder consensus

// Begin starts ending sessions under the fencing token of the tenure.
func (ender *sessionEnder) Begin(tenure owner.Lease) { (*consensus)(ender).setEndToken(tenure.Token) }

// End stops ending sessions.
func (ender *sessionEnder) End(owner.Lease) { (*consensus)(ender).setEndToken(0) }

// setEndToken sets the fencing token under which endSessions works; 0 stops it.
func (cs *consensus) setEndToken(token uint64) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.endToken = token
}

// endSessions ends the sessions of departed members while this process owns the duty. Gossip reports which members are
// gone. Correctness does not depend on that report: a live member whose session is ended opens another one.
func (cs *consensus) endSessions() {
	for {
		select {
		case <-time.After(sessionEndInterval):
		case <-cs.ctx.Done():
			return
		}
		cs.mu.Lock()
		token := cs.endToken
		cs.mu.Unlock()
		if token == 0 {
			continue
		}
		ctx, cancel := context.WithTimeout(cs.ctx, commandTimeout)
		state, err := cs.firstClient.Read(ctx, false)
		for _, s := range state.Sessions {
			if err != nil || !s.Open || s.Member == cs.cluster.options.Settings.Self ||
				!cs.cluster.gossip.RunEnded(s.Member, s.Epoch, cs.cluster.options.Settings.Lease) {
				continue
			}
			if current, owned := cs.owners.MayAct(keep.SessionsDuty); !owned || current != token {
				break
			}
			answer, err := cs.firstClient.Do(ctx, keep.Command{Kind: keep.EndSession, Target: s.Member, Number: s.Epoch, Token: token})
			if err == nil && answer.Code == keep.CodeOK {
				cs.cluster.options.Log.Info("cluster", "step", "ended", "member", s.Member, "epoch", s.Epoch, "token", token)
				cs.mu.Lock()
				cs.endedSessions++
				cs.mu.Unlock()
			}
		}
		if err == nil {
			cs.endInOtherGroups(ctx, state.Sessions, token)
		}
		cancel()
	}
}

// endInOtherGroups ends in the other groups the sessions that have ended in the first group, which stores the duty. The
// other groups remember the highest fencing token seen and refuse lower ones.
func (cs *consensus) endInOtherGroups(ctx context.Context, first []keep.Session, token uint64) {
	for _, client := range cs.clients[1:] {
		state, err := client.Read(ctx, false)
		if err != nil {
			continue
		}
		for _, s := range state.Sessions {
			i := slices.IndexFunc(first, func(session keep.Session) bool { return session.Member == s.Member })
			if !s.Open || i < 0 || first[i].Epoch < s.Epoch || first[i].Epoch == s.Epoch && first[i].Open {
				continue
			}
			if current, owned := cs.owners.MayAct(keep.SessionsDuty); !owned || current != token {
				return
			}
			client.Do(ctx, keep.Command{Kind: keep.CloseSession, Target: s.Member, Number: s.Epoch, Token: token})
		}
	}
}

// List returns a source of the pool's upstream list that one member fetches for the whole cluster. newSource makes the
// source that queries discovery; it is used directly in a cluster without voters.
func (c *Cluster) List(pool string, sink lists.Sink, newSource func(lists.Sink) lists.Source) lists.Source {
	if c.consensus == nil {
		return newSource(sink)
	}
	cs := c.consensus
	fenced := c.options.Lab == nil || !c.options.Lab.disables("fence")
	list := shared.New(pool, sink, newSource, listTransport{cs}, cs.owners, fenced, c.options.Log)
	return listSource{cs, pool, list}
}

// listSource is a shared list that is registered with the cluster while it runs.
type listSource struct {
	cs   *consensus
	pool string
	list *shared.List
}

// Run implements lists.Source.
func (s listSource) Run(ctx context.Context) {
	s.cs.mu.Lock()
	s.cs.lists[s.pool] = s.list
	s.cs.mu.Unlock()
	defer func() {
		s.cs.mu.Lock()
		defer s.cs.mu.Unlock()
		if s.cs.lists[s.pool] == s.list {
			delete(s.cs.lists, s.pool)
		}
	}()
	s.list.Run(ctx)
}

// listTransport carries the updates of shared lists between members.
type listTransport struct{ cs *consensus }

// Post sends an update to a member; it is lost if that fails.
func (t listTransport) Post(name string, raw []byte) {
	t.cs.cluster.link.Post(name, methodListUpdate, raw, listUpdateTimeout)
}

// Whole returns the complete list of a pool from a member.
func (t listTransport) Whole(ctx context.Context, name, pool string) ([]byte, error) {
	return t.cs.cluster.link.Call(ctx, name, methodListSnapshot, []byte(pool))
}

// Offering returns the names of the other members that serve the pool.
func (t listTransport) Offering(pool string) (others []string) {
	for _, m := range t.cs.cluster.gossip.MembersServing(pool, 0) {
		if m.Name != t.cs.cluster.options.Settings.Self {
			others = append(others, m.Name)
		}
	}
	return others
}

// Owner returns the last known owner of a duty.
func (t listTransport) Owner(duty string) string {
	t.cs.mu.Lock()
	defer t.cs.mu.Unlock()
	return t.cs.heldDuties[duty].Owner
}

// sharedList returns the shared list of a pool, or nil if this process does not run it.
func (cs *consensus) sharedList(pool string) *shared.List {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.lists[pool]
}

// handleListUpdate handles an update of a shared list.
func (cs *consensus) handleListUpdate(_ context.Context, from string, body []byte) ([]byte, error) {
	var update shared.Update
	if err := pack.Unpack(body, &update); err != nil {
		return nil, err
	}
	if list := cs.sharedList(update.Pool); list != nil {
		list.HandleUpdate(from, &update)
	}
	return nil, nil
}

// handleListSnapshot handles a request for a complete shared list.
func (cs *consensus) handleListSnapshot(_ context.Context, _ string, body []byte) ([]byte, error) {
	if list := cs.sharedList(string(body)); list != nil {
		return list.Snapshot(), nil
	}
	return nil, errors.New("this member does not follow the requested list")
}

// directory returns a member's directory, with injected write faults if the test harness has configured them.
func (c *Cluster) directory(path string) disk.FS {
	if c.options.Lab != nil && c.options.Lab.DiskFaultFile != "" {
		return disk.Faulty{Dir: disk.Dir(path), FaultFile: c.options.Lab.DiskFaultFile}
	}
	return disk.Dir(path)
}
