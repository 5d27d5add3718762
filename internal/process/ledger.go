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
	a := ledger.Ask{
		Pool: q.Pool, Customer: q.Customer, Tariff: q.Tariff, Tag: q.IdempotencyKey, ID: q.ID, Once: f.Idempotency == logic.NonIdempotent, Contract: time.Duration(f.ContractTime),
		Body: q.BodyHash, Again: q.ClientRetry, Binds: f.Idempotency == logic.Keyed && f.DedupScope != logic.Everywhere,
	}
	window := time.Duration(f.DedupWindow)
	if a.Once {
		window = max(window, x.s.Ledger.OnceFor)
	}
	a.Keep = x.s.Kept(window, time.Duration(f.HardStop))
	return &held{x.l.Begin(a, q.Timeout), f}
}

// held is one transaction's claim.
type held struct {
	*ledger.Claim
	f *logic.Tariff
}

// Check implements httpwire.Claim, as do the methods below.
func (h *held) Check(ctx context.Context) (*desk.Location, httpwire.Admission) {
	w := h.Claim.Open(ctx)
	switch w.Fate {
	case ledger.Go:
		if w.Bound {
			return h.bound(w.Group), httpwire.Admit
		}
		return nil, httpwire.Admit
	case ledger.Forfeit:
		return nil, httpwire.Forfeit
	case ledger.Refuse:
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
	return h.Claim.Take(ctx, h.group(to.Zone, to.Cell), ledger.Clip(to.Name), moves)
}

func (h *held) Release(how httpwire.Completion) {
	h.Claim.End(map[httpwire.Completion]byte{
		httpwire.NeverRan: ledger.EndNever, httpwire.Answered: ledger.EndAnswered, httpwire.MayHaveRun: ledger.EndUnknown,
	}[how])
}
