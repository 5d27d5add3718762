package comb

import (
	"context"
	"sync"
	"time"

	"ottershift/internal/hive/pollen"
	"ottershift/internal/hive/sting"
	"ottershift/internal/hive/swarm"
)

const (
	crownAfter = 600 * time.Millisecond // of a process's life before it takes duties over
	// regency is how long a new queen waits before its first grant. The one before it grants only while a majority has
	// confirmed its copy within fresh of being asked, and that majority has since agreed on another queen.
	regency = fresh + 250*time.Millisecond
)

// Regency is the same for pages and checks.
const Regency = regency

// bank is the quotas' bank, while this process has the duty.
type bank struct {
	sync.Mutex
	is    *pollen.Bank
	reign uint64
	index uint64 // whose limits are in force
	from  int64
}

// reign takes the duties over, if this is the first process in the agreed order and another has them.
func (c *Comb) reign(ctx context.Context, s *swarm.State) {
	if !c.keeper.current() || s.Queen.Life == c.life {
		return
	}
	c.mu.Lock()
	first := c.rank(s) == 0 && c.now() > int64(crownAfter)
	c.mu.Unlock()
	if !first {
		return
	}
	within, end := context.WithTimeout(ctx, 2*time.Second)
	defer end()
	q := swarm.Queen{ID: c.keeper.id(), Life: c.life, At: c.box.Inner()}
	_, err := c.keeper.change(within, c.others, func(newest *swarm.State) (*swarm.State, error) {
		if newest.Reign != s.Reign { // somebody else has
			return nil, nil
		}
		return newest.Crown(q), nil
	})
	c.log.Info("queen", "before", s.Queen.At, "err", err)
}

// drawn gives tokens of tenants' quotas, if this process has the duty and a majority says that it still has.
func (c *Comb) drawn(_ context.Context, d *pollen.Draw) (*map[string]pollen.Given, error) {
	s, _ := c.keeper.state()
	b := &c.bank
	b.Lock()
	defer b.Unlock()
	if s.Queen.Life != c.life || !c.keeper.current() {
		return nil, sting.New(sting.Unclear, "the duty is another's")
	}
	now := c.now()
	if b.is == nil || b.reign != s.Reign {
		b.is, b.reign, b.index, b.from = pollen.NewBank(now), s.Reign, 0, now+int64(regency)
	}
	if b.index != s.Index {
		t, err := c.table(s)
		if err != nil || t == nil {
			return nil, sting.New(sting.Unclear, "no configuration: %v", err)
		}
		b.is.Set(pollen.LimitsOf(t, &c.box.Bounds), s.Members, now)
		b.index = s.Index
	}
	if now < b.from {
		return nil, sting.New(sting.Unclear, "the duty is new")
	}
	c.counts.Add("draws")
	given := b.is.Draw(d, now)
	return &given, nil
}
