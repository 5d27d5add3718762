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

// claiming has what must not run twice claimed, as the settings in force say.
func (s *Process) claiming() {
	if s.fleet == nil {
		return
	}
	if l := s.fleet.Ledger(); l != nil {
		s.front.SetOwnershipRegistry(&claims{l, s.fleet.Settings()})
	} else {
		s.front.SetOwnershipRegistry(nil)
	}
}

// claims put the front's words into the ledger's.
type claims struct {
	l *ledger.Ledger
	s *config.Settings
}

// Begin implements httpwire.Claims.
func (x *claims) Begin(q httpwire.OwnershipRequest) httpwire.Ownership {
	f := q.Settings
	a := ledger.Request{
		Pool: q.Pool, Customer: q.Customer, Tariff: q.Tariff, IdempotencyKey: q.IdempotencyKey, ID: q.ID, OnceOnly: f.Idempotency == logic.NonIdempotent, ContractTime: time.Duration(f.ContractTime),
		BodyHash: q.BodyHash, IsRetry: q.ClientRetry, GroupScoped: f.Idempotency == logic.Keyed && f.DedupScope != logic.Everywhere,
	}
	window := time.Duration(f.DedupWindow)
	if a.OnceOnly {
		window = max(window, x.s.Ledger.OnceFor)
	}
	a.Retention = x.s.Kept(window, time.Duration(f.HardStop))
	return &held{x.l.NewClaim(a, q.Timeout), f}
}

// held is one transaction's claim.
type held struct {
	*ledger.Claim
	f *logic.Tariff
}

// Check implements httpwire.Claim, as do the methods below.
func (h *held) Check(ctx context.Context) (*desk.Location, httpwire.Admission) {
	w := h.Claim.Check(ctx)
	switch w.Action {
	case ledger.ActionSend:
		if w.Bound {
			return h.bound(w.Group), httpwire.Admit
		}
		return nil, httpwire.Admit
	case ledger.ActionForfeit:
		return nil, httpwire.Forfeit
	case ledger.ActionRefuse:
		return nil, httpwire.Refuse
	}
	return nil, httpwire.Defer
}

// group names the upstreams that know a transaction's repeats, "" where that binds nothing.
func (h *held) group(zone string, cell int) string {
	switch {
	case h.f.Idempotency != logic.Keyed || h.f.DedupScope == logic.Everywhere:
		return ""
	case h.f.DedupScope == logic.SameZone:
		return zone
	}
	return zone + "/" + strconv.Itoa(cell)
}

func (h *held) bound(group string) *desk.Location {
	if h.f.DedupScope == logic.SameZone {
		return &desk.Location{Zone: group}
	}
	i := max(0, strings.LastIndexByte(group, '/'))
	cell, _ := strconv.Atoi(group[min(i+1, len(group)):])
	return &desk.Location{Zone: group[:i], Cell: cell}
}

func (h *held) Acquire(ctx context.Context, to *desk.Attempt, moves bool) error {
	return h.Claim.Acquire(ctx, h.group(to.Zone, to.Cell), ledger.Truncate(to.Name), moves)
}

func (h *held) Release(how httpwire.Completion) {
	h.Claim.Release(map[httpwire.Completion]byte{
		httpwire.NeverRan: ledger.OutcomeNeverRan, httpwire.Answered: ledger.OutcomeAnswered, httpwire.MayHaveRun: ledger.OutcomeUnknown,
	}[how])
}
