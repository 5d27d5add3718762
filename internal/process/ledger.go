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
		proc.front.Claim(&ledgerClaims{ledger, proc.membership.Settings()})
	} else {
		proc.front.Claim(nil)
	}
}

// ledgerClaims translates the claims of the HTTP front end to those of the ledger.
type ledgerClaims struct {
	ledger   *ledger.Ledger
	settings *config.Settings
}

// Begin creates the claim of a transaction. It implements httpwire.Claims.
func (c *ledgerClaims) Begin(request httpwire.Claimed) httpwire.Claim {
	tariff := request.Kind
	ask := ledger.Ask{
		Pool: request.Pool, Customer: request.Customer, Tariff: request.Tariff, Tag: request.Tag, ID: request.ID,
		Once: tariff.Idempotency == logic.NonIdempotent, Contract: time.Duration(tariff.ContractTime),
		Body: request.Body, Again: request.Again, Binds: tariff.Idempotency == logic.Keyed && tariff.DedupScope != logic.Everywhere,
	}
	window := time.Duration(tariff.DedupWindow)
	if ask.Once {
		window = max(window, c.settings.Ledger.OnceFor)
	}
	ask.Keep = c.settings.Kept(window, time.Duration(tariff.HardStop))
	return &transactionClaim{c.ledger.Begin(ask, request.Left), tariff}
}

// transactionClaim is the claim of one transaction. It implements httpwire.Claim.
type transactionClaim struct {
	*ledger.Claim
	tariff *logic.Tariff
}

// Open asks the ledger whether the transaction may run, and returns the location that it is bound to, or nil if it may
// run anywhere.
func (c *transactionClaim) Open(ctx context.Context) (*desk.Location, httpwire.Fate) {
	permit := c.Claim.Open(ctx)
	switch permit.Fate {
	case ledger.Go:
		if permit.Bound {
			return c.groupLocation(permit.Group), httpwire.Goes
		}
		return nil, httpwire.Goes
	case ledger.Forfeit:
		return nil, httpwire.Forfeits
	case ledger.Refuse:
		return nil, httpwire.Refuses
	}
	return nil, httpwire.Defers
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

// Take claims the transaction for an attempt.
func (c *transactionClaim) Take(ctx context.Context, to *desk.Attempt, moved bool) error {
	return c.Claim.Take(ctx, c.groupName(to.Zone, to.Cell), ledger.Clip(to.Name), moved)
}

// End reports the outcome of the transaction to the ledger.
func (c *transactionClaim) End(outcome httpwire.End) {
	c.Claim.End(map[httpwire.End]byte{
		httpwire.NeverRan: ledger.EndNever, httpwire.Answered: ledger.EndAnswered, httpwire.MayHaveRun: ledger.EndUnknown,
	}[outcome])
}
