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
		s.front.Claim(&claims{l, s.fleet.Settings()})
	} else {
		s.front.Claim(nil)
	}
}

// claims put the front's words into the ledger's.
type claims struct {
	l *ledger.Ledger
	s *config.Settings
}

// Begin implements httpwire.Claims.
func (x *claims) Begin(q httpwire.Claimed) httpwire.Claim {
	f := q.Kind
	a := ledger.Request{
		Pool: q.Pool, Customer: q.Customer, Tariff: q.Tariff, IdempotencyKey: q.Tag, ID: q.ID, OnceOnly: f.Repeat == logic.OnceOnly, ContractTime: time.Duration(f.ContractTime),
		BodyHash: q.Body, IsRetry: q.Again, GroupScoped: f.Repeat == logic.Tagged && f.Group != logic.Everywhere,
	}
	window := time.Duration(f.Remembered)
	if a.OnceOnly {
		window = max(window, x.s.Ledger.OnceFor)
	}
	a.Retention = x.s.Kept(window, time.Duration(f.HardStop))
	return &held{x.l.NewClaim(a, q.Left), f}
}

// held is one transaction's claim.
type held struct {
	*ledger.Claim
	f *logic.Tariff
}

// Open implements httpwire.Claim, as do the methods below.
func (h *held) Open(ctx context.Context) (*desk.Bound, httpwire.Fate) {
	w := h.Claim.Check(ctx)
	switch w.Action {
	case ledger.ActionSend:
		if w.Bound {
			return h.bound(w.Group), httpwire.Goes
		}
		return nil, httpwire.Goes
	case ledger.ActionForfeit:
		return nil, httpwire.Forfeits
	case ledger.ActionRefuse:
		return nil, httpwire.Refuses
	}
	return nil, httpwire.Defers
}

// group names the upstreams that know a transaction's repeats, "" where that binds nothing.
func (h *held) group(zone string, cell int) string {
	switch {
	case h.f.Repeat != logic.Tagged || h.f.Group == logic.Everywhere:
		return ""
	case h.f.Group == logic.SameZone:
		return zone
	}
	return zone + "/" + strconv.Itoa(cell)
}

func (h *held) bound(group string) *desk.Bound {
	if h.f.Group == logic.SameZone {
		return &desk.Bound{Zone: group}
	}
	i := max(0, strings.LastIndexByte(group, '/'))
	cell, _ := strconv.Atoi(group[min(i+1, len(group)):])
	return &desk.Bound{Zone: group[:i], Cell: cell}
}

func (h *held) Take(ctx context.Context, to *desk.Push, moves bool) error {
	return h.Claim.Acquire(ctx, h.group(to.Zone, to.Cell), ledger.Truncate(to.Name), moves)
}

func (h *held) End(how httpwire.End) {
	h.Claim.Release(map[httpwire.End]byte{
		httpwire.NeverRan: ledger.OutcomeNeverRan, httpwire.Answered: ledger.OutcomeAnswered, httpwire.MayHaveRun: ledger.OutcomeUnknown,
	}[how])
}
