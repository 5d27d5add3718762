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
	gather    = 50 * time.Millisecond // for which reports of balancers are taken together into one change
	earnEvery = 10 * time.Second      // where nobody reports
)

// till is where balancers' reports wait to be settled, while this process has the duty.
type creditLedger struct {
	sync.Mutex
	waiting []slip
	acting  bool
	reign   uint64
	from    int64 // when this epoch may settle first
	passed  int64 // until when time has gone by in the book
	unused  map[string]float64
}

type slip struct {
	report *burstcredit.Report
	back   chan *burstcredit.Grant
}

// credited takes a balancer's report and answers it once what it settles is agreed.
func (c *Controller) handleCreditReport(ctx context.Context, r *burstcredit.Report) (*burstcredit.Grant, error) {
	s, _ := c.replicator.state()
	if s.Coordinator.Life != c.life || !c.replicator.confirms(s) {
		return nil, apierror.New(apierror.OutcomeUnknown, "the duty is another's")
	}
	t := &c.ledger
	t.Lock()
	c.recordCredit(s)
	if c.now() < t.from {
		t.Unlock()
		return nil, apierror.New(apierror.OutcomeUnknown, "the duty is new")
	}
	mine := slip{r, make(chan *burstcredit.Grant, 1)}
	t.waiting = append(t.waiting, mine)
	if !t.acting {
		t.acting = true
		time.AfterFunc(gather, c.settle)
	}
	t.Unlock()
	c.counts.Increment("credit_reports")
	select {
	case g := <-mine.back:
		if g != nil {
			return g, nil
		}
		return nil, apierror.New(apierror.OutcomeUnknown, "not settled: report it again")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// enter notes a new epoch. Under the till's lock.
func (c *Controller) recordCredit(s *consensus.State) {
	if t := &c.ledger; t.reign != s.Epoch {
		t.reign, t.from, t.passed, t.unused = s.Epoch, c.now()+int64(gracePeriod), c.now(), map[string]float64{}
	}
}

// accrueCredit has what tenants left of their rates saved, now and then, where no report does.
func (c *Controller) accrueCredit(s *consensus.State) {
	if s.Coordinator.Life != c.life {
		return
	}
	table, err := c.parsedConfiguration(s)
	if err != nil || table == nil || len(burstcredit.TermsOf(table)) == 0 {
		return
	}
	t := &c.ledger
	t.Lock()
	defer t.Unlock()
	c.recordCredit(s)
	if c.now() > t.from && c.now()-t.passed > int64(earnEvery) && !t.acting {
		t.acting = true
		go c.settle()
	}
}

// settle carries what has come in into the book, as one agreed change. Invariant: what is asked for a second time, since its answer
// was lost or nobody knows whether it was agreed, is answered by the book as it was; what was left of rates is never told twice.
func (c *Controller) settle() {
	t := &c.ledger
	t.Lock()
	slips, reign, now := t.waiting, t.reign, c.now()
	elapsed, unused := now-t.passed, t.unused
	t.waiting, t.passed, t.unused = nil, now, map[string]float64{}
	t.Unlock()
	c.bank.Lock()
	if c.bank.is != nil && c.bank.epoch == reign {
		for tenant, n := range c.bank.is.Unused() {
			unused[tenant] += n
		}
	}
	c.bank.Unlock()
	reports := make([]*burstcredit.Report, len(slips))
	for n := range slips {
		reports[n] = slips[n].report
	}
	var grants []*burstcredit.Grant
	ctx, end := context.WithTimeout(context.Background(), answerTimeout)
	defer end()
	_, err := c.replicator.change(ctx, c.otherControllers, func(newest *consensus.State) (*consensus.State, error) {
		grants = nil
		if newest.Epoch != reign || newest.Coordinator.Life != c.life { // a late doer does nothing
			return nil, apierror.New(apierror.OutcomeUnknown, "the duty is another's")
		}
		table, err := c.parsedConfiguration(newest)
		if err != nil || table == nil {
			return nil, apierror.New(apierror.OutcomeUnknown, "no configuration: %v", err)
		}
		terms := burstcredit.TermsOf(table)
		return credit(newest, func(b *burstcredit.Ledger) {
			b.Pass(elapsed, terms)
			b.Earn(unused, terms)
			grants = b.Take(reports, terms)
		})
	})
	if err != nil {
		grants = nil
		c.counts.Increment("credit_unsettled")
	}
	for n := range slips {
		var g *burstcredit.Grant
		if grants != nil {
			g = grants[n]
		}
		slips[n].back <- g
	}
	t.Lock()
	defer t.Unlock()
	if t.acting = len(t.waiting) > 0; t.acting {
		time.AfterFunc(gather, c.settle)
	}
}

// credit is the state after something has been done to the book.
func credit(s *consensus.State, do func(*burstcredit.Ledger)) (*consensus.State, error) {
	b, err := burstcredit.Read(s.Credit)
	if err != nil {
		return nil, apierror.New(apierror.OutcomeUnknown, "the accounts can't be read: %v", err)
	}
	do(b)
	raw, err := b.Write()
	if err != nil {
		return nil, apierror.New(apierror.OutcomeUnknown, "the accounts can't be written: %v", err)
	}
	return s.WithCredit(raw), nil
}

// Order is an operator's word on an account: what is granted, or whether it is frozen.
type Order struct {
	Tenant, Who, Why string
	Tokens           float64
	Freeze, Thaw     bool
}

// ordered carries it out, by agreement.
func (c *Controller) handleCreditOrder(ctx context.Context, o *Order) (*burstcredit.AccountStatus, error) {
	if o.Tenant == "" || o.Who == "" || o.Why == "" {
		return nil, apierror.New(apierror.InvalidConfiguration, "a tenant, who orders it and why have to be said")
	}
	ctx, end := context.WithTimeout(ctx, answerTimeout)
	defer end()
	s, err := c.replicator.change(ctx, c.otherControllers, func(newest *consensus.State) (*consensus.State, error) {
		return credit(newest, func(b *burstcredit.Ledger) {
			switch {
			case o.Freeze || o.Thaw:
				b.Freeze(o.Tenant, o.Freeze, o.Who, o.Why)
			default:
				b.Grant(o.Tenant, o.Tokens, o.Who, o.Why)
			}
		})
	})
	if err != nil {
		return nil, err
	}
	c.log.Info("credit", "tenant", o.Tenant, "tokens", o.Tokens, "freeze", o.Freeze, "thaw", o.Thaw, "who", o.Who, "why", o.Why)
	return Account(s.Credit, o.Tenant)
}

// Account is a tenant's account as a book has it.
func Account(raw json.RawMessage, tenant string) (*burstcredit.AccountStatus, error) {
	b, err := burstcredit.Read(raw)
	if err != nil {
		return nil, err
	}
	for _, a := range b.Status() {
		if a.Tenant == tenant {
			return &a, nil
		}
	}
	return &burstcredit.AccountStatus{Tenant: tenant}, nil
}
