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

// Methods of calls between members.
const (
	methodWord  uint16 = 20 // of a shared list's owner
	methodWhole uint16 = 21
)

const (
	asks      = 2 * time.Second        // for a command
	sessions  = 100 * time.Millisecond // between two looks at whether this run's session stands
	confirms  = time.Second            // between two confirmed looks at it
	closes    = 250 * time.Millisecond // between two looks for sessions to end
	wordTakes = 300 * time.Millisecond
)

// agreed is this process's part in what is agreed: a keeper where it is a voter, its session, and the duties it may own.
type agreed struct {
	c       *Cluster
	keepers []*keep.Replica // of each group; none where it is no keeper
	clients []*keep.Client  // of each group
	client  *keep.Client    // of the first, which holds sessions and duties
	owners  *owner.Manager
	ctx     context.Context
	end     context.CancelFunc
	all     sync.WaitGroup
	kick    chan struct{}

	mu      sync.Mutex
	lists   map[string]*shared.List // by pool
	leaving bool
	closing uint64 // token under which this member ends sessions, 0 if it doesn't
	ended   int64  // sessions it has ended
	held    map[string]owner.DutyState
}

// openAgreed takes part; before the link serves.
func openAgreed(c *Cluster) (*agreed, error) {
	s := c.o.Settings
	a := &agreed{c: c, lists: map[string]*shared.List{}, held: map[string]owner.DutyState{}, kick: make(chan struct{}, 1)}
	a.ctx, a.end = context.WithCancel(context.Background())
	fenced, once := true, true
	if l := c.o.Lab; l != nil {
		fenced, once = !l.without("fence"), !l.without("once")
	}
	for n := range s.Groups {
		if slices.Contains(s.Voters, s.Self) {
			dir := keep.GroupDir(s.Directory, n)
			k, err := keep.NewReplica(keep.Options{
				Cluster: s.Name, Name: s.Self, Voters: s.Voters, Group: n, Dir: dir, FS: c.directory(dir), Transport: local{c.link, s.Self}, ElectionTimeout: s.Election,
				Lease: keep.Lease{Duration: s.Lease, MaxDrift: s.Drift}, Checks: keep.SafetyChecks{Fencing: fenced, Deduplication: once}, Log: c.o.Log,
				Parts: c.parts(),
			})
			if err != nil {
				return nil, fmt.Errorf("cluster: keeper: %w", err)
			}
			a.keepers = append(a.keepers, k)
		}
		client := keep.NewClient(local{c.link, s.Self}, s.Self, s.Voters, n)
		client.StaleReads = c.o.Lab != nil && c.o.Lab.without("reads")
		a.clients = append(a.clients, client)
	}
	a.client = a.clients[0]
	c.link.Handle(methodWord, a.word)
	c.link.Handle(methodWhole, a.whole)
	return a, nil
}

// begin runs it, once the link serves and the member is there.
func (a *agreed) begin() {
	s := a.c.o.Settings
	for _, k := range a.keepers {
		k.Start()
	}
	fenced := a.c.o.Lab == nil || !a.c.o.Lab.without("fence")
	lease := keep.Lease{Duration: s.Lease, MaxDrift: s.Drift}.OwnerDuration()
	a.owners = owner.Start(owner.Options{
		Self: s.Self, Timing: owner.TimingFor(lease), Seed: a.c.o.Seed, Store: keepers{a}, Members: a.members, Fenced: fenced, Log: a.c.o.Log,
	})
	a.owners.AddDuty(keep.SessionsDuty, (*closer)(a))
	a.all.Go(a.session)
	a.all.Go(a.close)
}

func (a *agreed) stop() {
	a.owners.Close() // duties are handed over before the session ends
	ctx, end := context.WithTimeout(a.ctx, asks/4)
	for _, client := range a.clients {
		if epoch, ok := client.Session(); ok {
			client.Do(ctx, keep.Command{Kind: keep.EndSession, Target: a.c.o.Settings.Self, Number: epoch})
		}
	}
	end()
	a.end()
	a.all.Wait()
	for _, k := range a.keepers {
		k.Close()
	}
}

// local calls this process's own handlers without the link.
type local struct {
	*link.Link
	self string
}

func (l local) Call(ctx context.Context, name string, method uint16, body []byte) ([]byte, error) {
	if name == l.self {
		return l.Link.CallLocal(ctx, method, body)
	}
	return l.Link.Call(ctx, name, method, body)
}

// session keeps this run known to the keepers, by the epoch that it has among members.
func (a *agreed) session() {
	looked := make([]time.Time, len(a.clients))
	for {
		for n, client := range a.clients {
			a.look(n, client, &looked[n])
		}
		select {
		case <-time.After(sessions):
		case <-a.ctx.Done():
			return
		}
	}
}

// look opens a session in a group where there is none of this run, and now and then whether it stands.
func (a *agreed) look(group int, client *keep.Client, looked *time.Time) {
	self := a.c.gossip.Self()
	epoch, ok := client.Session()
	ctx, end := context.WithTimeout(a.ctx, asks)
	defer end()
	if over := a.c.gossip.Superseded(); !over && (!ok || epoch != self.Epoch) {
		known, err := client.Open(ctx, self.Epoch, self.Run)
		switch {
		case err == nil:
			a.c.o.Log.Info("cluster", "step", "session", "epoch", known, "group", group)
		case errors.Is(err, keep.ErrSessionEnded) && known == self.Epoch:
			// It was ended, as of a member that is gone: this process goes on as another run. What the old one held is not its own.
			a.c.gossip.RenewEpoch(known)
		case errors.Is(err, keep.ErrSessionEnded):
			a.c.gossip.ObserveNewerSelf(member.ID{Name: self.Name, Epoch: known, Run: 1<<64 - 1}, true)
		}
	} else if ok && time.Since(*looked) > confirms {
		*looked = time.Now()
		if got, err := client.Read(ctx, false); err == nil {
			for _, s := range got.Sessions {
				if s.Member == self.Name && (s.Epoch > epoch || s.Epoch == epoch && !s.Open) {
					client.MarkSessionEnded()
				}
			}
		}
	}
}

// members are who else may own duties: alive, not leaving.
func (a *agreed) members() (all []owner.Member, willing bool) {
	for _, m := range a.c.gossip.AliveMembers() {
		if !m.Draining {
			all = append(all, owner.Member{Name: m.Name})
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return all, !a.leaving && !a.c.gossip.Superseded()
}

// keepers is the client as the owners use it.
type keepers struct{ a *agreed }

func (k keepers) Session() (uint64, bool) { return k.a.client.Session() }

func (k keepers) Held(ctx context.Context) (map[string]owner.DutyState, error) {
	got, err := k.a.client.Read(ctx, false)
	if err != nil {
		return nil, err
	}
	all := map[string]owner.DutyState{}
	for _, d := range got.Duties {
		all[d.Name] = owner.DutyState{Token: d.Token, Owner: d.Owner, Epoch: d.Epoch}
	}
	k.a.mu.Lock()
	defer k.a.mu.Unlock()
	k.a.held = all
	return all, nil
}

func (k keepers) Take(ctx context.Context, duty string) (uint64, bool, error) {
	x, err := k.a.client.Do(ctx, keep.Command{Kind: keep.AcquireDuty, Duty: duty})
	return x.Token, x.Code == keep.CodeOK, err
}

func (k keepers) Give(ctx context.Context, duty string, token uint64, to string) error {
	kind := keep.ReleaseDuty
	if to != "" {
		kind = keep.TransferDuty
	}
	_, err := k.a.client.Do(ctx, keep.Command{Kind: kind, Duty: duty, Token: token, Target: to})
	return err
}

func (k keepers) Renew(ctx context.Context, tokens map[string]uint64) (map[string]uint64, error) {
	return k.a.client.Renew(ctx, tokens)
}

// closer is the duty of ending the sessions of members that are gone.
type closer agreed

func (c *closer) Begin(t owner.Lease) { (*agreed)(c).closes(t.Token) }
func (c *closer) End(owner.Lease)     { (*agreed)(c).closes(0) }

func (a *agreed) closes(token uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closing = token
}

// close ends sessions under its token while it owns that. Hearsay says who is gone; that ends a session, and no rule rests on
// its being right: a member that lives takes another.
func (a *agreed) close() {
	for {
		select {
		case <-time.After(closes):
		case <-a.ctx.Done():
			return
		}
		a.mu.Lock()
		token := a.closing
		a.mu.Unlock()
		if token == 0 {
			continue
		}
		ctx, end := context.WithTimeout(a.ctx, asks)
		got, err := a.client.Read(ctx, false)
		for _, s := range got.Sessions {
			if err != nil || !s.Open || s.Member == a.c.o.Settings.Self || !a.c.gossip.RunEnded(s.Member, s.Epoch, a.c.o.Settings.Lease) {
				continue
			}
			if now, may := a.owners.MayAct(keep.SessionsDuty); !may || now != token {
				break
			}
			x, err := a.client.Do(ctx, keep.Command{Kind: keep.EndSession, Target: s.Member, Number: s.Epoch, Token: token})
			if err == nil && x.Code == keep.CodeOK {
				a.c.o.Log.Info("cluster", "step", "ended", "member", s.Member, "epoch", s.Epoch, "token", token)
				a.mu.Lock()
				a.ended++
				a.mu.Unlock()
			}
		}
		if err == nil {
			a.closeOthers(ctx, got.Sessions, token)
		}
		end()
	}
}

// closeOthers ends in the other groups what has ended in the first, which holds the duty of it. They keep the highest token seen.
func (a *agreed) closeOthers(ctx context.Context, first []keep.Session, token uint64) {
	for _, client := range a.clients[1:] {
		got, err := client.Read(ctx, false)
		if err != nil {
			continue
		}
		for _, s := range got.Sessions {
			i := slices.IndexFunc(first, func(x keep.Session) bool { return x.Member == s.Member })
			if !s.Open || i < 0 || first[i].Epoch < s.Epoch || first[i].Epoch == s.Epoch && first[i].Open {
				continue
			}
			if now, may := a.owners.MayAct(keep.SessionsDuty); !may || now != token {
				return
			}
			client.Do(ctx, keep.Command{Kind: keep.CloseSession, Target: s.Member, Number: s.Epoch, Token: token})
		}
	}
}

// List is a pool's list by way of one member that asks for all; own makes the source that asks discovery.
func (c *Cluster) List(pool string, sink lists.Sink, own func(lists.Sink) lists.Source) lists.Source {
	if c.agreed == nil {
		return own(sink)
	}
	a := c.agreed
	fenced := c.o.Lab == nil || !c.o.Lab.without("fence")
	l := shared.New(pool, sink, own, way{a}, a.owners, fenced, c.o.Log)
	return source{a, pool, l}
}

// source is known to the cluster while it runs.
type source struct {
	a    *agreed
	pool string
	l    *shared.List
}

func (s source) Run(ctx context.Context) {
	s.a.mu.Lock()
	s.a.lists[s.pool] = s.l
	s.a.mu.Unlock()
	defer func() {
		s.a.mu.Lock()
		defer s.a.mu.Unlock()
		if s.a.lists[s.pool] == s.l {
			delete(s.a.lists, s.pool)
		}
	}()
	s.l.Run(ctx)
}

// way is how words of a list go.
type way struct{ a *agreed }

func (w way) Post(name string, raw []byte) {
	w.a.c.link.Post(name, methodWord, raw, wordTakes)
}

func (w way) Whole(ctx context.Context, name, pool string) ([]byte, error) {
	return w.a.c.link.Call(ctx, name, methodWhole, []byte(pool))
}

func (w way) Offering(pool string) (others []string) {
	for _, m := range w.a.c.gossip.MembersServing(pool, 0) {
		if m.Name != w.a.c.o.Settings.Self {
			others = append(others, m.Name)
		}
	}
	return others
}

func (w way) Owner(duty string) string {
	w.a.mu.Lock()
	defer w.a.mu.Unlock()
	return w.a.held[duty].Owner
}

func (a *agreed) listOf(pool string) *shared.List {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lists[pool]
}

func (a *agreed) word(_ context.Context, from string, body []byte) ([]byte, error) {
	var w shared.Update
	if err := pack.Unpack(body, &w); err != nil {
		return nil, err
	}
	if l := a.listOf(w.Pool); l != nil {
		l.HandleUpdate(from, &w)
	}
	return nil, nil
}

func (a *agreed) whole(_ context.Context, _ string, body []byte) ([]byte, error) {
	if l := a.listOf(string(body)); l != nil {
		return l.Snapshot(), nil
	}
	return nil, errors.New("no such list here")
}

// directory is a member's directory, with the lab's faults where it has put them.
func (c *Cluster) directory(path string) disk.FS {
	if c.o.Lab != nil && c.o.Lab.Disk != "" {
		return disk.Faulty{Dir: disk.Dir(path), Says: c.o.Lab.Disk}
	}
	return disk.Dir(path)
}
