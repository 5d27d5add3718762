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
	localGroup   = 64                     // single-member group of policy "local"; above all replicated group numbers
	flushTimeout = 200 * time.Millisecond // limit for flushing buffered completions at shutdown
)

// ledgerAccess is this process's access to the ledger of claims. Under policy "local" it includes a replication group of
// its own, whose only replica is on this machine's disk.
type ledgerAccess struct {
	cluster      *Cluster
	groups       []*keep.Client // by group
	localReplica *keep.Replica  // nil unless the policy is "local"
	ctx          context.Context
	cancel       context.CancelFunc
	wg           sync.WaitGroup

	mu       sync.Mutex
	ledger   *ledger.Ledger // nil until Cluster.Ledger first finds claims enabled
	settings *config.Ledger // settings in force
}

// ledgerParts returns the state machines that replicas run beside sessions and duties. A replica runs them whether or not
// its own process uses the ledger.
func (c *Cluster) ledgerParts() map[byte]keep.Part {
	fenced := c.options.Lab == nil || !c.options.Lab.disables("fence")
	return map[byte]keep.Part{ledger.StateMachineID: ledger.NewStateMachine(ledger.Guards{Fence: fenced}, rand.Uint64())}
}

// openLedger opens the access to the ledger if the settings have one.
func (c *Cluster) openLedger() error {
	settings := c.options.Settings
	if settings.Ledger == nil {
		return nil
	}
	access := &ledgerAccess{cluster: c, settings: settings.Ledger}
	access.ctx, access.cancel = context.WithCancel(context.Background())
	if settings.Ledger.Policy != "local" {
		if c.consensus == nil {
			return nil // the policy must be "off", and without voters it cannot be turned on later
		}
		access.groups = c.consensus.clients
		c.ledger = access
		return nil
	}
	dir := keep.GroupDir(settings.Directory, localGroup)
	transport, voters := localTransport{c.link, settings.Self}, []string{settings.Self}
	var err error
	access.localReplica, err = keep.NewReplica(keep.Options{
		Cluster: settings.Name, Name: settings.Self, Voters: voters, Group: localGroup, Dir: dir,
		FS: c.directory(dir), Transport: transport, ElectionTimeout: settings.ElectionTimeout,
		Lease:  keep.Lease{Duration: settings.Lease, MaxDrift: settings.ClockDrift},
		Checks: keep.SafetyChecks{Fencing: true, Deduplication: true}, Parts: c.ledgerParts(), Log: c.options.Log,
	})
	if err != nil {
		return fmt.Errorf("cluster: ledger: %w", err)
	}
	access.groups = []*keep.Client{keep.NewClient(transport, settings.Self, voters, localGroup)}
	access.localReplica.Start()
	access.wg.Go(access.openSession)
	c.ledger = access
	return nil
}

// openSession opens a session for this run in the local group, retrying until it succeeds.
func (access *ledgerAccess) openSession() {
	epoch := access.cluster.gossip.Self().Epoch
	for {
		ctx, cancel := context.WithTimeout(access.ctx, commandTimeout)
		current, err := access.groups[0].Open(ctx, epoch, access.cluster.gossip.Self().Run)
		cancel()
		if err == nil {
			return
		}
		if errors.Is(err, keep.ErrSessionEnded) {
			epoch = current + 1
		}
		select {
		case <-time.After(sessionCheckInterval):
		case <-access.ctx.Done():
			return
		}
	}
}

// close flushes buffered completions and releases all resources.
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

// writeMetrics writes the metrics of the ledger, if it is in use.
func (access *ledgerAccess) writeMetrics(to io.Writer) {
	access.mu.Lock()
	current := access.ledger
	access.mu.Unlock()
	if current != nil {
		current.WriteMetrics(to)
	}
}

// Ledger returns the ledger under the settings in force, or nil if claims are disabled. Its sequence numbers continue
// across changes of settings, so a process has one ledger as long as it runs.
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
	rules := ledger.Rules{WaitForHolder: settings.WaitForFirst, RequireSameBody: settings.RequireSameBody}
	if access.ledger == nil {
		var groups []ledger.GroupClient
		for _, g := range access.groups {
			groups = append(groups, g)
		}
		access.ledger = ledger.Start(ledger.Options{
			Groups: groups, Timeout: settings.ClaimTimeout, ReleaseDelay: settings.BatchDelay, MaxKeys: settings.MaxKeys, Rules: rules,
			Log: c.options.Log,
		})
	} else {
		access.ledger.Reconfigure(settings.ClaimTimeout, settings.BatchDelay, settings.MaxKeys, rules)
	}
	return access.ledger
}

// query reads a page from the ledger of one group. voter selects the local copy of that voter; "" reads the agreed state.
func (access *ledgerAccess) query(
	ctx context.Context, voter string, group int, query *ledger.Query,
) (page ledger.Page, err error) {
	var raw []byte
	if voter == "" {
		raw, err = access.groups[group].ReadPart(ctx, ledger.StateMachineID, pack.Pack(query), false)
	} else {
		raw, err = access.groups[group].ReadPartAt(ctx, voter, ledger.StateMachineID, pack.Pack(query))
	}
	if err == nil {
		err = pack.Unpack(raw, &page)
	}
	return page, err
}

// find calls emit for each entry of one group that matches the query.
func (access *ledgerAccess) find(
	ctx context.Context, voter string, group int, q ledger.Query, emit func(ledger.Entry) error,
) error {
	return ledger.ForEach(q, func(q *ledger.Query) (ledger.Page, error) { return access.query(ctx, voter, group, q) }, emit)
}

// verify compares the replicas of each group: their checksums after the same log entry and, where these differ, the
// records.
func (access *ledgerAccess) verify(ctx context.Context, emit func(result Verification) error) error {
	for group := range access.groups {
		result := Verification{Group: group}
		sums := map[uint64]map[string]uint64{}
		voters := access.cluster.options.Settings.Voters
		for _, voter := range voters {
			page, err := access.query(ctx, voter, group, &ledger.Query{Kind: "marks"})
			if err != nil {
				result.Missing = append(result.Missing, voter)
				continue
			}
			for i, index := range page.Indexes {
				if sums[index] == nil {
					sums[index] = map[string]uint64{}
				}
				sums[index][voter] = page.Checksums[i]
			}
		}
		for index, byVoter := range sums {
			if len(byVoter) != len(voters)-len(result.Missing) || len(byVoter) < 2 {
				continue
			}
			result.Compared++
			result.Entry = max(result.Entry, index)
			firstSum, same := uint64(0), true
			for _, voter := range voters {
				if sum, found := byVoter[voter]; found {
					same = same && (firstSum == 0 || sum == firstSum)
					firstSum = sum
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
				access.find(ctx, voter, group, ledger.Query{Kind: "find"}, func(e ledger.Entry) error {
					copies[voter] = append(copies[voter], e)
					return nil
				})
			}
			result.Differences = ledger.DiffCopies(copies)
		}
		if err := emit(result); err != nil {
			return err
		}
	}
	return nil
}

// Verification is the result of comparing the replicas of one group.
type Verification struct {
	Group       int      `json:"group"`
	Compared    int      `json:"compared"`          // log entries after which all reachable replicas were compared
	Entry       uint64   `json:"entry"`             // index of the last of these entries
	Mismatches  int      `json:"wrong"`             // number of these entries after which the checksums differed
	Missing     []string `json:"missing,omitempty"` // voters that did not answer
	Differences []string `json:"differ,omitempty"`  // descriptions of the differing records
}
