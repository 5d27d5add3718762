package comb

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"ottershift/internal/hive/nectar"
	"ottershift/internal/hive/sting"
	"ottershift/internal/hive/swarm"
)

const (
	gather    = 50 * time.Millisecond // for which reports of balancers are taken together into one change
	earnEvery = 10 * time.Second      // where nobody reports
)

// till is where balancers' reports wait to be settled, while this process has the duty.
type till struct {
	sync.Mutex
	waiting []slip
	acting  bool
	reign   uint64
	from    int64 // when this reign may settle first
	passed  int64 // until when time has gone by in the book
	unused  map[string]float64
}

type slip struct {
	report *nectar.Report
	back   chan *nectar.Grant
}

// credited takes a balancer's report and answers it once what it settles is agreed.
func (c *Comb) credited(ctx context.Context, r *nectar.Report) (*nectar.Grant, error) {
	s, _ := c.keeper.state()
	if s.Queen.Life != c.life || !c.keeper.current() {
		return nil, sting.New(sting.Unclear, "the duty is another's")
	}
	t := &c.till
	t.Lock()
	c.enter(s)
	if c.now() < t.from {
		t.Unlock()
		return nil, sting.New(sting.Unclear, "the duty is new")
	}
	mine := slip{r, make(chan *nectar.Grant, 1)}
	t.waiting = append(t.waiting, mine)
	if !t.acting {
		t.acting = true
		time.AfterFunc(gather, c.settle)
	}
	t.Unlock()
	c.counts.Add("credit_reports")
	select {
	case g := <-mine.back:
		if g != nil {
			return g, nil
		}
		return nil, sting.New(sting.Unclear, "not settled: report it again")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// enter notes a new reign. Under the till's lock.
func (c *Comb) enter(s *swarm.State) {
	if t := &c.till; t.reign != s.Reign {
		t.reign, t.from, t.passed, t.unused = s.Reign, c.now()+int64(regency), c.now(), map[string]float64{}
	}
}

// earn has what tenants left of their rates saved, now and then, where no report does.
func (c *Comb) earn(s *swarm.State) {
	table, err := c.table(s)
	if err != nil || table == nil || s.Queen.Life != c.life || len(nectar.TermsOf(table)) == 0 {
		return
	}
	t := &c.till
	t.Lock()
	defer t.Unlock()
	c.enter(s)
	if c.now() > t.from && c.now()-t.passed > int64(earnEvery) && !t.acting {
		t.acting = true
		go c.settle()
	}
}

// settle carries what has come in into the book, as one agreed change. Danger: what is asked for a second time, since its answer
// was lost or nobody knows whether it was agreed, is answered by the book as it was; what was left of rates is never told twice.
func (c *Comb) settle() {
	t := &c.till
	t.Lock()
	slips, reign, now := t.waiting, t.reign, c.now()
	elapsed, unused := now-t.passed, t.unused
	t.waiting, t.passed, t.unused = nil, now, map[string]float64{}
	t.Unlock()
	c.bank.Lock()
	if c.bank.is != nil && c.bank.reign == reign {
		for tenant, n := range c.bank.is.Unused() {
			unused[tenant] += n
		}
	}
	c.bank.Unlock()
	reports := make([]*nectar.Report, len(slips))
	for n := range slips {
		reports[n] = slips[n].report
	}
	var grants []*nectar.Grant
	ctx, end := context.WithTimeout(context.Background(), answerWithin)
	defer end()
	_, err := c.keeper.change(ctx, c.others, func(newest *swarm.State) (*swarm.State, error) {
		grants = nil
		if newest.Reign != reign || newest.Queen.Life != c.life { // a late doer does nothing
			return nil, sting.New(sting.Unclear, "the duty is another's")
		}
		table, err := c.table(newest)
		if err != nil || table == nil {
			return nil, sting.New(sting.Unclear, "no configuration: %v", err)
		}
		terms := nectar.TermsOf(table)
		return credit(newest, func(b *nectar.Book) {
			b.Pass(elapsed, terms)
			b.Earn(unused, terms)
			grants = b.Take(reports, terms)
		})
	})
	if err != nil {
		grants = nil
		c.counts.Add("credit_unsettled")
	}
	for n := range slips {
		var g *nectar.Grant
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
func credit(s *swarm.State, do func(*nectar.Book)) (*swarm.State, error) {
	b, err := nectar.Read(s.Credit)
	if err != nil {
		return nil, sting.New(sting.Unclear, "the accounts can't be read: %v", err)
	}
	do(b)
	raw, err := b.Write()
	if err != nil {
		return nil, sting.New(sting.Unclear, "the accounts can't be written: %v", err)
	}
	return s.Save(raw), nil
}

// Order is an operator's word on an account: what is granted, or whether it is frozen.
type Order struct {
	Tenant, Who, Why string
	Tokens           float64
	Freeze, Thaw     bool
}

// ordered carries it out, by agreement.
func (c *Comb) ordered(ctx context.Context, o *Order) (*nectar.Stand, error) {
	if o.Tenant == "" || o.Who == "" || o.Why == "" {
		return nil, sting.New(sting.Invalid, "a tenant, who orders it and why have to be said")
	}
	ctx, end := context.WithTimeout(ctx, answerWithin)
	defer end()
	s, err := c.keeper.change(ctx, c.others, func(newest *swarm.State) (*swarm.State, error) {
		return credit(newest, func(b *nectar.Book) {
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
func Account(raw json.RawMessage, tenant string) (*nectar.Stand, error) {
	b, err := nectar.Read(raw)
	if err != nil {
		return nil, err
	}
	for _, a := range b.Stands() {
		if a.Tenant == tenant {
			return &a, nil
		}
	}
	return &nectar.Stand{Tenant: tenant}, nil
}
