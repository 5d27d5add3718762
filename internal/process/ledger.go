package process

import (
	"context"
	"strconv"
	"strings"
	"time"

	"ottershift/internal/cluster/config"
	"ottershift/internal/cluster/ledger"
	"ottershift/internal/desk"
	"ottershift/internal/httpwire"
	"ottershift/logic"
)

// configureClaims turns claims of transactions that must not run twice on or off, according to the current settings.
func (proc *Process) configureClaims() {
	if proc.membership == nil {
		return
	}
	if ledger := proc.membership.Ledger(); ledger != nil {
		proc.front.SetOwnershipRegistry(&ledgerClaims{ledger, proc.membership.Settings()})
	} else {
		proc.front.SetOwnershipRegistry(nil)
	}
}

// ledgerClaims translates the claims of the HTTP front end to those of the ledger.
type ledgerClaims struct {
	ledger   *ledger.Ledger
	settings *config.Settings
}

// Begin creates the claim of a transaction. It implements httpwire.OwnershipRegistry.
func (c *ledgerClaims) Begin(request httpwire.OwnershipRequest) httpwire.Ownership {
	tariff := request.Settings
	ask := ledger.Request{
		Pool: request.Pool, Customer: request.Customer, Tariff: request.Tariff, IdempotencyKey: request.IdempotencyKey, ID: request.ID,
		OnceOnly: tariff.Idempotency == logic.NonIdempotent, ContractTime: time.Duration(tariff.ContractTime),
		BodyHash: request.BodyHash, IsRetry: request.ClientRetry, GroupScoped: tariff.Idempotency == logic.Keyed && tariff.DedupScope != logic.Everywhere,
	}
	window := time.Duration(tariff.DedupWindow)
	if ask.OnceOnly {
		window = max(window, c.settings.Ledger.OnceOnlyRetention)
	}
	ask.Retention = c.settings.ClaimRetention(window, time.Duration(tariff.HardStop))
	return &transactionClaim{c.ledger.NewClaim(ask, request.Timeout), tariff}
}

// transactionClaim is the claim of one transaction. It implements httpwire.Ownership.
type transactionClaim struct {
	*ledger.Claim
	tariff *logic.Tariff
}

// Check asks the ledger whether the transaction may run, and returns the location that it is bound to, or nil if it may
// run anywhere.
func (c *transactionClaim) Check(ctx context.Context) (*desk.Location, httpwire.Admission) {
	permit := c.Claim.Check(ctx)
	switch permit.Action {
	case ledger.ActionSend:
		if permit.Bound {
			return c.groupLocation(permit.Group), httpwire.Admit
		}
		return nil, httpwire.Admit
	case ledger.ActionForfeit:
		return nil, httpwire.Forfeit
	case ledger.ActionRefuse:
		return nil, httpwire.Refuse
	}
	return nil, httpwire.Defer
}

// groupName returns the name of the group of upstreams that recognise repeats of the transaction, or "" if a repeat may
// go to any upstream.
func (c *transactionClaim) groupName(zone string, cell int) string {
	switch {
	case c.tariff.Idempotency != logic.Keyed || c.tariff.DedupScope == logic.Everywhere:
		return ""
	case c.tariff.DedupScope == logic.SameZone:
		return zone
	}
	return zone + "/" + strconv.Itoa(cell)
}

// groupLocation is the inverse of groupName.
func (c *transactionClaim) groupLocation(group string) *desk.Location {
	if c.tariff.DedupScope == logic.SameZone {
		return &desk.Location{Zone: group}
	}
	separator := max(0, strings.LastIndexByte(group, '/'))
	cell, _ := strconv.Atoi(group[min(separator+1, len(group)):])
	return &desk.Location{Zone: group[:separator], Cell: cell}
}

// Acquire claims the transaction for an attempt.
func (c *transactionClaim) Acquire(ctx context.Context, to *desk.Attempt, moved bool) error {
	return c.Claim.Acquire(ctx, c.groupName(to.Zone, to.Cell), ledger.Truncate(to.Name), moved)
}

// Release reports the outcome of the transaction to the ledger.
func (c *transactionClaim) Release(outcome httpwire.Completion) {
	c.Claim.Release(map[httpwire.Completion]byte{
		httpwire.NeverRan: ledger.OutcomeNeverRan, httpwire.Answered: ledger.OutcomeAnswered, httpwire.MayHaveRun: ledger.OutcomeUnknown,
	}[outcome])
}
