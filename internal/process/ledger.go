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

// configureClaims has what must not run twice claimed, as the settings in force say.
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

// ledgerClaims put the front's words into the ledger's.
type ledgerClaims struct {
	ledger   *ledger.Ledger
	settings *config.Settings
}

// Begin implements httpwire.Claims.
func (c *ledgerClaims) Begin(request httpwire.Claimed) httpwire.Claim {
	tariff := request.Kind
	ask := ledger.Ask{
		Pool: request.Pool, Customer: request.Customer, Tariff: request.Tariff, Tag: request.Tag, ID: request.ID, Once: tariff.Idempotency == logic.NonIdempotent, Contract: time.Duration(tariff.ContractTime),
		Body: request.Body, Again: request.Again, Binds: tariff.Idempotency == logic.Keyed && tariff.DedupScope != logic.Everywhere,
	}
	window := time.Duration(tariff.DedupWindow)
	if ask.Once {
		window = max(window, c.settings.Ledger.OnceFor)
	}
	ask.Keep = c.settings.Kept(window, time.Duration(tariff.HardStop))
	return &transactionClaim{c.ledger.Begin(ask, request.Left), tariff}
}

// transactionClaim is one transaction's claim.
type transactionClaim struct {
	*ledger.Claim
	tariff *logic.Tariff
}

// Open implements httpwire.Claim, as do the methods below.
func (c *transactionClaim) Open(ctx context.Context) (*desk.Location, httpwire.Fate) {
	result := c.Claim.Open(ctx)
	switch result.Fate {
	case ledger.Go:
		if result.Bound {
			return c.groupLocation(result.Group), httpwire.Goes
		}
		return nil, httpwire.Goes
	case ledger.Forfeit:
		return nil, httpwire.Forfeits
	case ledger.Refuse:
		return nil, httpwire.Refuses
	}
	return nil, httpwire.Defers
}

// groupName names the upstreams that know a transaction's repeats, "" where that binds nothing.
func (c *transactionClaim) groupName(zone string, cell int) string {
	switch {
	case c.tariff.Idempotency != logic.Keyed || c.tariff.DedupScope == logic.Everywhere:
		return ""
	case c.tariff.DedupScope == logic.SameZone:
		return zone
	}
	return zone + "/" + strconv.Itoa(cell)
}

func (c *transactionClaim) groupLocation(group string) *desk.Location {
	if c.tariff.DedupScope == logic.SameZone {
		return &desk.Location{Zone: group}
	}
	separator := max(0, strings.LastIndexByte(group, '/'))
	cell, _ := strconv.Atoi(group[min(separator+1, len(group)):])
	return &desk.Location{Zone: group[:separator], Cell: cell}
}

func (c *transactionClaim) Take(ctx context.Context, to *desk.Attempt, moved bool) error {
	return c.Claim.Take(ctx, c.groupName(to.Zone, to.Cell), ledger.Clip(to.Name), moved)
}

func (c *transactionClaim) End(outcome httpwire.End) {
	c.Claim.End(map[httpwire.End]byte{
		httpwire.NeverRan: ledger.EndNever, httpwire.Answered: ledger.EndAnswered, httpwire.MayHaveRun: ledger.EndUnknown,
	}[outcome])
}
