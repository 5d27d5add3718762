package controller

import (
	"context"

	"ottershift/internal/mesh/apierror"
	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/routing"
)

// QueuedChanges returns the number of changes that wait in the queue.
func (c *Controller) QueuedChanges() (n int) {
	c.replicator.changes.mu.Lock()
	defer c.replicator.changes.mu.Unlock()
	for _, waiting := range c.replicator.changes.waiting {
		n += len(waiting)
	}
	return n
}

// State returns the newest decided state that a controller knows.
func (c *Controller) State() *consensus.State {
	state, _ := c.replicator.knownState()
	return state
}

// ChangeMembership makes a change with the priority of membership changes.
func (c *Controller) ChangeMembership(ctx context.Context, apply func(*consensus.State) (*consensus.State, error)) error {
	_, err := c.replicator.changeMembership(ctx, c.otherControllers, apply)
	return err
}

// The variants below lack a guard. The history tests must detect that.

// LimitAppliedChanges makes a controller use only the last applied changes up to a limit, and reject updates that
// these do not contain.
func (c *Controller) LimitAppliedChanges(limit int) {
	c.submitUpdate = func(ctx context.Context, update *configurationUpdate) (*consensus.State, error) {
		return c.replicator.change(ctx, c.otherControllers, func(newest *consensus.State) (*consensus.State, error) {
			return update.decideWithoutHistoryGuard(newest, limit)
		})
	}
}

// CompareWithLocalState makes a controller compare the base of an update with its local state, which may be outdated,
// and apply the update to the newest one.
func (c *Controller) CompareWithLocalState() {
	c.submitUpdate = func(ctx context.Context, update *configurationUpdate) (*consensus.State, error) {
		local, _ := c.replicator.knownState()
		if _, err := update.decide(local, nil); err != nil {
			return nil, err
		}
		return c.replicator.change(ctx, c.otherControllers, func(newest *consensus.State) (*consensus.State, error) {
			if newest.AppliedChanges.Contains(update.digest) {
				return nil, nil
			}
			return newest.WithConfiguration(update.edition, update.replacement.Document(), update.digest), nil
		})
	}
}

// decideWithoutHistoryGuard is decide with a shortened list of applied changes and without the check whether the list
// reaches back far enough.
func (u *configurationUpdate) decideWithoutHistoryGuard(newest *consensus.State, limit int) (*consensus.State, error) {
	recorded := newest.AppliedChanges[max(0, len(newest.AppliedChanges)-limit):]
	if !recorded.Contains(u.digest) && newest.Edition != u.base {
		return nil, apierror.New(apierror.VersionConflict, "version %d is current, not %d", newest.Edition, u.base)
	}
	return u.decide(newest, func() (*routing.Configuration, error) { return nil, nil })
}
