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
	localGroup   = 64                     // number of the group that a machine is in by itself; above every agreed one
	flushTimeout = 200 * time.Millisecond // for ends that wait, when a process ends
)

// ledgerAccess is this process's way to the ledger, and its own group of keepers where that is kept on its disk alone.
type ledgerAccess struct {
	cluster      *Cluster
	groups       []*keep.Client
	localReplica *keep.Keeper // policy "local"
	ctx          context.Context
	cancel       context.CancelFunc
	wg           sync.WaitGroup

	mu       sync.Mutex
	ledger   *ledger.Ledger // nil until anything is claimed
	settings *config.Ledger // in force
}

// ledgerParts are what keepers agree on beside runs and duties. A keeper holds them whatever its own process uses.
func (c *Cluster) ledgerParts() map[byte]keep.Part {
	fenced := c.options.Lab == nil || !c.options.Lab.disables("fence")
	return map[byte]keep.Part{ledger.Part: ledger.NewBook(ledger.Guards{Fence: fenced}, rand.Uint64())}
}

// openLedger takes part in the ledger, where the settings name one.
func (c *Cluster) openLedger() error {
	settings := c.options.Settings
	if settings.Ledger == nil {
		return nil
	}
	access := &ledgerAccess{cluster: c, settings: settings.Ledger}
	access.ctx, access.cancel = context.WithCancel(context.Background())
	if settings.Ledger.Policy != "local" {
		if c.consensus == nil {
			return nil // it is off, and there are no keepers that it could be turned on with
		}
		access.groups = c.consensus.clients
		c.ledger = access
		return nil
	}
	dir := keep.Group(settings.Directory, localGroup)
	transport, voters := localTransport{c.link, settings.Self}, []string{settings.Self}
	var err error
	access.localReplica, err = keep.NewKeeper(keep.Options{
		Cluster: settings.Name, Name: settings.Self, Voters: voters, Group: localGroup, Dir: dir, FS: c.directory(dir), Way: transport, Election: settings.ElectionTimeout,
		Lease: keep.Lease{For: settings.Lease, Drift: settings.ClockDrift}, Guards: keep.Guards{Fence: true, Once: true}, Parts: c.ledgerParts(), Log: c.options.Log,
	})
	if err != nil {
		return fmt.Errorf("cluster: ledger: %w", err)
	}
	access.groups = []*keep.Client{keep.NewClient(transport, settings.Self, voters, localGroup)}
	access.localReplica.Begin()
	access.wg.Go(access.openSession)
	c.ledger = access
	return nil
}

// openSession opens this run at the machine's own group.
func (access *ledgerAccess) openSession() {
	epoch := access.cluster.gossip.Self().Epoch
	for {
		ctx, cancel := context.WithTimeout(access.ctx, commandTimeout)
		current, err := access.groups[0].Open(ctx, epoch, access.cluster.gossip.Self().Run)
		cancel()
		if err == nil {
			return
		}
		if errors.Is(err, keep.ErrMemberOver) {
			epoch = current + 1
		}
		select {
		case <-time.After(sessionCheckInterval):
		case <-access.ctx.Done():
			return
		}
	}
}

func (access *ledgerAccess) close() {
	access.mu.Lock()
	current := access.ledger
	access.mu.Unlock()
	if current != nil {
		current.Flush(flushTimeout)
		current.Close()
	}
	access.cancel()
	access.wg.Wait()
	if access.localReplica != nil {
		access.localReplica.Close()
	}
}

func (access *ledgerAccess) writeMetrics(to io.Writer) {
	access.mu.Lock()
	current := access.ledger
	access.mu.Unlock()
	if current != nil {
		current.Figures(to)
	}
}

// Ledger is the way to claim by the settings in force; nil where nothing is claimed. Its numbers go on over changes, so there is
// one for the life of a process.
func (c *Cluster) Ledger() *ledger.Ledger {
	access := c.ledger
	if access == nil {
		return nil
	}
	access.mu.Lock()
	defer access.mu.Unlock()
	settings := access.settings
	if !settings.Enabled() {
		return nil
	}
	rules := ledger.Rules{Waits: settings.WaitForFirst, SameBody: settings.RequireSameBody}
	if access.ledger == nil {
		var groups []ledger.Keepers
		for _, g := range access.groups {
			groups = append(groups, g)
		}
		access.ledger = ledger.Begin(ledger.Options{Groups: groups, Within: settings.ClaimTimeout, Lag: settings.BatchDelay, Keys: settings.MaxKeys, Rules: rules, Log: c.options.Log})
	} else {
		access.ledger.Change(settings.ClaimTimeout, settings.BatchDelay, settings.MaxKeys, rules)
	}
	return access.ledger
}

// Ask asks the ledger of each group, in turn; at names a keeper whose own copy is meant, "" for what is agreed.
func (access *ledgerAccess) query(ctx context.Context, voter string, group int, query *ledger.Query) (page ledger.Page, err error) {
	var raw []byte
	if voter == "" {
		raw, err = access.groups[group].ReadPart(ctx, ledger.Part, pack.Pack(query), false)
	} else {
		raw, err = access.groups[group].ReadPartAt(ctx, voter, ledger.Part, pack.Pack(query))
	}
	if err == nil {
		err = pack.Unpack(raw, &page)
	}
	return page, err
}

// find tells what fits, of one group.
func (access *ledgerAccess) find(ctx context.Context, voter string, group int, q ledger.Query, emit func(ledger.Entry) error) error {
	return ledger.Each(q, func(q *ledger.Query) (ledger.Page, error) { return access.query(ctx, voter, group, q) }, emit)
}

// verify holds the keepers' copies of each group against one another: their sums after the same entry, and where these differ
// the records.
func (access *ledgerAccess) verify(ctx context.Context, emit func(result Verification) error) error {
	for group := range access.groups {
		result := Verification{Group: group}
		sums := map[uint64]map[string]uint64{}
		voters := access.cluster.options.Settings.Voters
		for _, voter := range voters {
			page, err := access.query(ctx, voter, group, &ledger.Query{What: "marks"})
			if err != nil {
				result.Missing = append(result.Missing, voter)
				continue
			}
			for i, index := range page.Indexes {
				if sums[index] == nil {
					sums[index] = map[string]uint64{}
				}
				sums[index][voter] = page.Sums[i]
			}
		}
		for index, byVoter := range sums {
			if len(byVoter) != len(voters)-len(result.Missing) || len(byVoter) < 2 {
				continue
			}
			result.Compared++
			result.Entry = max(result.Entry, index)
			first, same := uint64(0), true
			for _, voter := range voters {
				if sum, found := byVoter[voter]; found {
					same = same && (first == 0 || sum == first)
					first = sum
				}
			}
			if !same {
				result.Mismatches++
			}
		}
		if result.Mismatches > 0 {
			copies := map[string][]ledger.Entry{}
			for _, voter := range voters {
				if slices.Contains(result.Missing, voter) {
					continue
				}
				copies[voter] = []ledger.Entry{}
				access.find(ctx, voter, group, ledger.Query{What: "find"}, func(e ledger.Entry) error { copies[voter] = append(copies[voter], e); return nil })
			}
			result.Differences = ledger.Differ(copies)
		}
		if err := emit(result); err != nil {
			return err
		}
	}
	return nil
}

// Verification is what comparing a group's copies found.
type Verification struct {
	Group       int      `json:"group"`
	Compared    int      `json:"compared"` // entries after which all copies were compared
	Entry       uint64   `json:"entry"`    // the last of them
	Mismatches  int      `json:"wrong"`    // after which they differed
	Missing     []string `json:"missing,omitempty"`
	Differences []string `json:"differ,omitempty"`
}
