package controller

import (
	"context"

	"ottershift/internal/mesh/apierror"
	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/routing"
)

// ChangesWaiting is how many changes wait in a controller's queue.
func (c *Controller) ChangesWaiting() (n int) {
	c.replicator.changes.mu.Lock()
	defer c.replicator.changes.mu.Unlock()
	for _, waiting := range c.replicator.changes.waiting {
		n += len(waiting)
	}
	return n
}

// State is what is decided as far as a controller knows.
func (c *Controller) State() *consensus.State {
	s, _ := c.replicator.state()
	return s
}

// ChangeMembership makes a change with the priority of a repair of the core.
func (c *Controller) ChangeMembership(ctx context.Context, what func(*consensus.State) (*consensus.State, error)) error {
	_, err := c.replicator.changeMembership(ctx, c.otherControllers, what)
	return err
}

// Variants without a guard, which the histories have to convict.

// ForgetApplied remembers so few applied changes, and refuses what it has forgotten.
func (c *Controller) ForgetApplied(limit int) {
	c.submitOrder = func(ctx context.Context, o *configurationOrder) (*consensus.State, error) {
		return c.replicator.change(ctx, c.otherControllers, func(newest *consensus.State) (*consensus.State, error) {
			return o.decideForgetting(newest, limit)
		})
	}
}

// CompareWithOwnCopy compares an order's base with this process's copy, which may be old, and sets on top of the newest.
func (c *Controller) CompareWithOwnCopy() {
	c.submitOrder = func(ctx context.Context, o *configurationOrder) (*consensus.State, error) {
		own, _ := c.replicator.state()
		if _, err := o.decide(own, nil); err != nil {
			return nil, err
		}
		return c.replicator.change(ctx, c.otherControllers, func(newest *consensus.State) (*consensus.State, error) {
			if newest.AppliedChanges.Contains(o.digest) {
				return nil, nil
			}
			return newest.WithConfiguration(o.edition, o.whole.Document(), o.digest), nil
		})
	}
}

// decideForgetting is decide with the last few applied changes, and without the guard for what is forgotten.
func (o *configurationOrder) decideForgetting(newest *consensus.State, limit int) (*consensus.State, error) {
	remembered := newest.AppliedChanges[max(0, len(newest.AppliedChanges)-limit):]
	if !remembered.Contains(o.digest) && newest.Edition != o.base {
		return nil, apierror.New(apierror.VersionConflict, "version %d is current, not %d", newest.Edition, o.base)
	}
	return o.decide(newest, func() (*routing.Configuration, error) { return nil, nil })
}
