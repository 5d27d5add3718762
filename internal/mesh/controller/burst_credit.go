package controller

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"ottershift/internal/mesh/apierror"
	"ottershift/internal/mesh/burstcredit"
	"ottershift/internal/mesh/consensus"
)

const (
	creditBatchWindow     = 50 * time.Millisecond // reports that arrive within it are settled in one change
	creditAccrualInterval = 10 * time.Second      // how often credit accrues while no proxy reports
)

// creditSettler collects the credit reports of proxies until they are settled, while this controller is the
// coordinator.
type creditSettler struct {
	sync.Mutex
	pending      []pendingReport
	scheduled    bool // a settlement is scheduled or running
	epoch        uint64
	settlesFrom  int64 // earliest time at which this epoch may settle reports
	settledUntil int64 // the time up to which credit has accrued in the ledger
	unusedTokens map[string]float64
}

type pendingReport struct {
	report *burstcredit.Report
	reply  chan *burstcredit.Grant
}

// handleCreditReport accepts a proxy's report and answers it once the core has agreed on its settlement.
func (c *Controller) handleCreditReport(ctx context.Context, report *burstcredit.Report) (*burstcredit.Grant, error) {
	state, _ := c.replicator.knownState()
	if state.Coordinator.Incarnation != c.incarnation || !c.replicator.isCurrent(state) {
		return nil, apierror.New(apierror.OutcomeUnknown, "another controller is the coordinator")
	}
	settler := &c.credit
	settler.Lock()
	c.resetCreditEpoch(state)
	if c.now() < settler.settlesFrom {
		settler.Unlock()
		return nil, apierror.New(apierror.OutcomeUnknown, "the grace period of the new coordinator has not ended")
	}
	own := pendingReport{report, make(chan *burstcredit.Grant, 1)}
	settler.pending = append(settler.pending, own)
	if !settler.scheduled {
		settler.scheduled = true
		time.AfterFunc(creditBatchWindow, c.settleCreditReports)
	}
	settler.Unlock()
	c.counts.Increment("credit_reports")
	select {
	case grant := <-own.reply:
		if grant != nil {
			return grant, nil
		}
		return nil, apierror.New(apierror.OutcomeUnknown, "the credit report was not settled: send it again")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// resetCreditEpoch resets the settler when a new epoch has begun. The settler's lock must be held.
func (c *Controller) resetCreditEpoch(state *consensus.State) {
	if settler := &c.credit; settler.epoch != state.Epoch {
		settler.epoch, settler.settlesFrom, settler.settledUntil, settler.unusedTokens = state.Epoch,
			c.now()+int64(gracePeriod), c.now(), map[string]float64{}
	}
}

// accrueCredit credits tenants with the unused part of their rates at intervals while no report does so.
func (c *Controller) accrueCredit(state *consensus.State) {
	if state.Coordinator.Incarnation != c.incarnation {
		return
	}
	configuration, err := c.parsedConfiguration(state)
	if err != nil || configuration == nil || len(burstcredit.TenantTerms(configuration)) == 0 {
		return
	}
	settler := &c.credit
	settler.Lock()
	defer settler.Unlock()
	c.resetCreditEpoch(state)
	if c.now() > settler.settlesFrom && c.now()-settler.settledUntil > int64(creditAccrualInterval) && !settler.scheduled {
		settler.scheduled = true
		go c.settleCreditReports()
	}
}

// settleCreditReports applies all pending reports to the ledger in one agreed change. A report may be repeated because
// its response was lost or its outcome is unknown; the ledger then returns the same grant as the first time. Unused
// tokens, however, are taken from the token bank once and never submitted again.
func (c *Controller) settleCreditReports() {
	settler := &c.credit
	settler.Lock()
	batch, epoch, now := settler.pending, settler.epoch, c.now()
	elapsed, unusedTokens := now-settler.settledUntil, settler.unusedTokens
	settler.pending, settler.settledUntil, settler.unusedTokens = nil, now, map[string]float64{}
	settler.Unlock()
	c.tokenGranter.Lock()
	if c.tokenGranter.active != nil && c.tokenGranter.bankEpoch == epoch {
		for tenant, n := range c.tokenGranter.active.TakeUnused() {
			unusedTokens[tenant] += n
		}
	}
	c.tokenGranter.Unlock()
	reports := make([]*burstcredit.Report, len(batch))
	for n := range batch {
		reports[n] = batch[n].report
	}
	var grants []*burstcredit.Grant
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	_, err := c.replicator.change(ctx, c.otherControllers, func(newest *consensus.State) (*consensus.State, error) {
		grants = nil
		if newest.Epoch != epoch || newest.Coordinator.Incarnation != c.incarnation { // a former coordinator must not settle
			return nil, apierror.New(apierror.OutcomeUnknown, "another controller is the coordinator")
		}
		configuration, err := c.parsedConfiguration(newest)
		if err != nil || configuration == nil {
			return nil, apierror.New(apierror.OutcomeUnknown, "no configuration is available: %v", err)
		}
		terms := burstcredit.TenantTerms(configuration)
		return updateLedger(newest, func(ledger *burstcredit.Ledger) {
			ledger.Advance(elapsed, terms)
			ledger.Earn(unusedTokens, terms)
			grants = ledger.ProcessReports(reports, terms)
		})
	})
	if err != nil {
		grants = nil
		c.counts.Increment("credit_unsettled")
	}
	for n := range batch {
		var grant *burstcredit.Grant
		if grants != nil {
			grant = grants[n]
		}
		batch[n].reply <- grant
	}
	settler.Lock()
	defer settler.Unlock()
	if settler.scheduled = len(settler.pending) > 0; settler.scheduled {
		time.AfterFunc(creditBatchWindow, c.settleCreditReports)
	}
}

// updateLedger returns a copy of the state with an update applied to its credit ledger.
func updateLedger(state *consensus.State, update func(*burstcredit.Ledger)) (*consensus.State, error) {
	ledger, err := burstcredit.DecodeLedger(state.Credit)
	if err != nil {
		return nil, apierror.New(apierror.OutcomeUnknown, "the credit ledger cannot be decoded: %v", err)
	}
	update(ledger)
	raw, err := ledger.Encode()
	if err != nil {
		return nil, apierror.New(apierror.OutcomeUnknown, "the credit ledger cannot be encoded: %v", err)
	}
	return state.WithCredit(raw), nil
}

// Order is an operator's command on a tenant's credit account: a grant of tokens, or a freeze or unfreeze.
type Order struct {
	Tenant, Who, Why string
	Tokens           float64
	Freeze, Thaw     bool
}

// handleCreditOrder has the core agree on an operator's command and returns the resulting account.
func (c *Controller) handleCreditOrder(ctx context.Context, order *Order) (*burstcredit.AccountStatus, error) {
	if order.Tenant == "" || order.Who == "" || order.Why == "" {
		return nil, apierror.New(apierror.InvalidConfiguration, "Tenant, Who and Why are required")
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	state, err := c.replicator.change(ctx, c.otherControllers, func(newest *consensus.State) (*consensus.State, error) {
		return updateLedger(newest, func(ledger *burstcredit.Ledger) {
			switch {
			case order.Freeze || order.Thaw:
				ledger.SetFrozen(order.Tenant, order.Freeze, order.Who, order.Why)
			default:
				ledger.GrantTokens(order.Tenant, order.Tokens, order.Who, order.Why)
			}
		})
	})
	if err != nil {
		return nil, err
	}
	c.log.Info("credit", "tenant", order.Tenant, "tokens", order.Tokens, "freeze", order.Freeze, "thaw", order.Thaw,
		"who", order.Who, "why", order.Why)
	return FindAccount(state.Credit, order.Tenant)
}

// FindAccount returns a tenant's account from an encoded credit ledger, or an empty account if it has none.
func FindAccount(raw json.RawMessage, tenant string) (*burstcredit.AccountStatus, error) {
	ledger, err := burstcredit.DecodeLedger(raw)
	if err != nil {
		return nil, err
	}
	for _, account := range ledger.Status() {
		if account.Tenant == tenant {
			return &account, nil
		}
	}
	return &burstcredit.AccountStatus{Tenant: tenant}, nil
}
