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
	a := ledger.Ask{
		Pool: q.Pool, Customer: q.Customer, Tariff: q.Tariff, Tag: q.Tag, ID: q.ID, Once: f.Idempotency == logic.NonIdempotent, Contract: time.Duration(f.ContractTime),
		Body: q.Body, Again: q.Again, Binds: f.Idempotency == logic.Keyed && f.DedupScope != logic.Everywhere,
	}
	window := time.Duration(f.DedupWindow)
	if a.Once {
		window = max(window, x.s.Ledger.OnceOnlyRetention)
	}
	a.Keep = x.s.ClaimRetention(window, time.Duration(f.HardStop))
	return &held{x.l.Begin(a, q.Left), f}
}

// held is one transaction's claim.
type held struct {
	*ledger.Claim
	f *logic.Tariff
}

// Open implements httpwire.Claim, as do the methods below.
func (h *held) Open(ctx context.Context) (*desk.Location, httpwire.Fate) {
	w := h.Claim.Open(ctx)
	switch w.Fate {
	case ledger.Go:
		if w.Bound {
			return h.bound(w.Group), httpwire.Goes
		}
		return nil, httpwire.Goes
	case ledger.Forfeit:
		return nil, httpwire.Forfeits
	case ledger.Refuse:
		return nil, httpwire.Refuses
	}
	return nil, httpwire.Defers
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

func (h *held) Take(ctx context.Context, to *desk.Attempt, moves bool) error {
	return h.Claim.Take(ctx, h.group(to.Zone, to.Cell), ledger.Clip(to.Name), moves)
}

func (h *held) End(how httpwire.End) {
	h.Claim.End(map[httpwire.End]byte{
		httpwire.NeverRan: ledger.EndNever, httpwire.Answered: ledger.EndAnswered, httpwire.MayHaveRun: ledger.EndUnknown,
	}[how])
}
