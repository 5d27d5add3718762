package cluster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"ottershift/internal/cluster/config"
	"ottershift/internal/cluster/keep"
	"ottershift/internal/cluster/ledger"
	"ottershift/internal/cluster/pack"
)

const (
	localGroup = 64                     // number of the group that a machine is in by itself; above every agreed one
	lastEnds   = 200 * time.Millisecond // for ends that wait, when a process ends
)

// claims is this process's way to the ledger, and its own group of keepers where that is kept on its disk alone.
type claims struct {
	c      *Cluster
	groups []*keep.Client
	own    *keep.Replica // policy "local"
	ctx    context.Context
	end    context.CancelFunc
	all    sync.WaitGroup

	mu   sync.Mutex
	l    *ledger.Ledger // nil until anything is claimed
	told *config.Ledger // in force
}

// parts are what keepers agree on beside runs and duties. A keeper holds them whatever its own process uses.
func (c *Cluster) parts() map[byte]keep.Part {
	fenced := c.o.Lab == nil || !c.o.Lab.without("fence")
	return map[byte]keep.Part{ledger.StateMachineID: ledger.NewStateMachine(ledger.Guards{Fence: fenced}, rand.Uint64())}
}

// openClaims takes part in the ledger, where the settings name one.
func (c *Cluster) openClaims() error {
	s := c.o.Settings
	if s.Ledger == nil {
		return nil
	}
	x := &claims{c: c, told: s.Ledger}
	x.ctx, x.end = context.WithCancel(context.Background())
	if s.Ledger.Policy != "local" {
		if c.agreed == nil {
			return nil // it is off, and there are no keepers that it could be turned on with
		}
		x.groups = c.agreed.clients
		c.claims = x
		return nil
	}
	dir := keep.GroupDir(s.Directory, localGroup)
	way, voters := local{c.link, s.Self}, []string{s.Self}
	var err error
	x.own, err = keep.NewReplica(keep.Options{
		Cluster: s.Name, Name: s.Self, Voters: voters, Group: localGroup, Dir: dir, FS: c.directory(dir), Transport: way, ElectionTimeout: s.Election,
		Lease: keep.Lease{Duration: s.Lease, MaxDrift: s.Drift}, Checks: keep.SafetyChecks{Fencing: true, Deduplication: true}, Parts: c.parts(), Log: c.o.Log,
	})
	if err != nil {
		return fmt.Errorf("cluster: ledger: %w", err)
	}
	x.groups = []*keep.Client{keep.NewClient(way, s.Self, voters, localGroup)}
	x.own.Start()
	x.all.Go(x.session)
	c.claims = x
	return nil
}

// session opens this run at the machine's own group.
func (x *claims) session() {
	epoch := x.c.gossip.Self().Epoch
	for {
		ctx, end := context.WithTimeout(x.ctx, asks)
		known, err := x.groups[0].Open(ctx, epoch, x.c.gossip.Self().Run)
		end()
		if err == nil {
			return
		}
		if errors.Is(err, keep.ErrSessionEnded) {
			epoch = known + 1
		}
		select {
		case <-time.After(sessions):
		case <-x.ctx.Done():
			return
		}
	}
}

func (x *claims) close() {
	x.mu.Lock()
	l := x.l
	x.mu.Unlock()
	if l != nil {
		l.Flush(lastEnds)
		l.Close()
	}
	x.end()
	x.all.Wait()
	if x.own != nil {
		x.own.Close()
	}
}

func (x *claims) figures(to io.Writer) {
	x.mu.Lock()
	l := x.l
	x.mu.Unlock()
	if l != nil {
		l.WriteMetrics(to)
	}
}

// Ledger is the way to claim by the settings in force; nil where nothing is claimed. Its numbers go on over changes, so there is
// one for the life of a process.
func (c *Cluster) Ledger() *ledger.Ledger {
	x := c.claims
	if x == nil {
		return nil
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.told
	if !s.Claims() {
		return nil
	}
	rules := ledger.Rules{WaitForHolder: s.Waits, RequireSameBody: s.SameBody}
	if x.l == nil {
		var groups []ledger.GroupClient
		for _, g := range x.groups {
			groups = append(groups, g)
		}
		x.l = ledger.Start(ledger.Options{Groups: groups, Timeout: s.Within, ReleaseDelay: s.Lag, MaxKeys: s.Keys, Rules: rules, Log: c.o.Log})
	} else {
		x.l.Reconfigure(s.Within, s.Lag, s.Keys, rules)
	}
	return x.l
}

// Ask asks the ledger of each group, in turn; at names a keeper whose own copy is meant, "" for what is agreed.
func (x *claims) ask(ctx context.Context, at string, group int, q *ledger.Query) (p ledger.Page, err error) {
	var raw []byte
	if at == "" {
		raw, err = x.groups[group].ReadPart(ctx, ledger.StateMachineID, pack.Pack(q), false)
	} else {
		raw, err = x.groups[group].ReadPartAt(ctx, at, ledger.StateMachineID, pack.Pack(q))
	}
	if err == nil {
		err = pack.Unpack(raw, &p)
	}
	return p, err
}

// find tells what fits, of one group.
func (x *claims) find(ctx context.Context, at string, group int, q ledger.Query, take func(ledger.Entry) error) error {
	return ledger.ForEach(q, func(q *ledger.Query) (ledger.Page, error) { return x.ask(ctx, at, group, q) }, take)
}

// verify holds the keepers' copies of each group against one another: their sums after the same entry, and where these differ
// the records.
func (x *claims) verify(ctx context.Context, say func(v Verified) error) error {
	for group := range x.groups {
		v := Verified{Group: group}
		sums := map[uint64]map[string]uint64{}
		voters := x.c.o.Settings.Voters
		for _, at := range voters {
			p, err := x.ask(ctx, at, group, &ledger.Query{Kind: "marks"})
			if err != nil {
				v.Missing = append(v.Missing, at)
				continue
			}
			for i, index := range p.Indexes {
				if sums[index] == nil {
					sums[index] = map[string]uint64{}
				}
				sums[index][at] = p.Checksums[i]
			}
		}
		for index, all := range sums {
			if len(all) != len(voters)-len(v.Missing) || len(all) < 2 {
				continue
			}
			v.Compared++
			v.Entry = max(v.Entry, index)
			first, same := uint64(0), true
			for _, at := range voters {
				if sum, some := all[at]; some {
					same = same && (first == 0 || sum == first)
					first = sum
				}
			}
			if !same {
				v.Wrong++
			}
		}
		if v.Wrong > 0 {
			copies := map[string][]ledger.Entry{}
			for _, at := range voters {
				if slices.Contains(v.Missing, at) {
					continue
				}
				copies[at] = []ledger.Entry{}
				x.find(ctx, at, group, ledger.Query{Kind: "find"}, func(e ledger.Entry) error { copies[at] = append(copies[at], e); return nil })
			}
			v.Differ = ledger.DiffCopies(copies)
		}
		if err := say(v); err != nil {
			return err
		}
	}
	return nil
}

// Verified is what comparing a group's copies found.
type Verified struct {
	Group    int      `json:"group"`
	Compared int      `json:"compared"` // entries after which all copies were compared
	Entry    uint64   `json:"entry"`    // the last of them
	Wrong    int      `json:"wrong"`    // after which they differed
	Missing  []string `json:"missing,omitempty"`
	Differ   []string `json:"differ,omitempty"`
}
