package meshctl

import (
	"fmt"
	"time"

	"ottershift/internal/mesh/burstcredit"
	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/controller"
	"ottershift/internal/mesh/federation"
	"ottershift/internal/mesh/membership"
	"ottershift/internal/mesh/proxy"
	"ottershift/internal/mesh/ratelimit"
	"ottershift/internal/mesh/settings"
)

type nodeRecord = membership.Record

// Bounds are the promises that follow from settings, each with its formula.
func Bounds(b *settings.Settings) (lines []string) {
	say := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	say("%s in %s: settings read", b.Node, b.District)
	n := 2*b.Tolerate.Machines + 1
	s := consensus.State{Core: make([]consensus.Member, n), ToleratedLosses: b.Tolerate.Machines}
	say("core: %d members bear the loss of %d disks; a change is synced on max(majority, Tolerate+1) = %d before it is acknowledged", n, b.Tolerate.Machines, s.Quorum())
	say("repair: the place of a member that is gone is a spare's, and its disk holds the state, within ReplaceAfter + 2·turn + step timeout + 4·(sync + round trip) = %v + 4·(sync + round trip), of CatchUp %v: up to %v for a sync and a round trip", controller.RepairBound(0), b.Bounds.CatchUp, controller.LongestRepairStep(b.Bounds.CatchUp))
	ask := proxy.WatchTimeout
	say("news: a silent core process is left after %v; two in a row %v, of Config %v", ask, 2*ask, b.Bounds.Config)
	say("closing: nothing passes to an upstream later than 3/4 of Drain = %v after its acknowledgement, of Drain %v", b.Bounds.Drain*3/4, b.Bounds.Drain)
	say("duties: another process has them after %v of silence, and acts after %v more", time.Duration(consensus.DutyTimeout), controller.GracePeriod)
	l := ratelimit.Limit{Rate: 100, Burst: 100, Window: int64(b.Bounds.QuotaWindow), OverRatio: b.Bounds.QuotaOver, Slack: b.Bounds.QuotaSlack}
	say("quota, for 100 a second and a surge of 100: R·W + Reserve = %.0f in %v, allowed (R·W + S)·(1 + over) + slack = %.0f", l.Rate*b.Bounds.QuotaWindow.Seconds()+l.Reserve(), b.Bounds.QuotaWindow, l.MaxPerWindow())
	n2 := burstcredit.Terms{ExtraRate: 100}
	spent, stranded, known := n2.Bounds(int64(b.Bounds.QuotaWindow))
	say("burst credit, for 100 a second beyond the rate: Extra·W + Extra·Ahead = %.0f in %v; stranded by balancers cut off Extra·Ahead = %.0f, for %v at most; identities kept Extra·Window = %.0f", spent, b.Bounds.QuotaWindow, stranded, time.Duration(burstcredit.EscrowTimeout), known)
	say("partners: a narrowing is done (LeaveFor + Fresh)·(1 + Drift) + 3·Every = %v after it was agreed, and two agreed changes", (time.Duration(float64(federation.AuthorizationTTL+federation.QuorumFreshness)*(1+federation.MaxClockDrift)) + 3*time.Duration(federation.CheckInterval)).Round(time.Millisecond))
	say("repeats: of n balancers each sends %.3g of its first sends and %.3g/n beyond them in %v; allowed %.3g and %.3g over all", b.Bounds.RetryRatio/2, b.Bounds.RetrySlack/2, b.Bounds.RetryWindow, b.Bounds.RetryRatio, b.Bounds.RetrySlack)
	return lines
}
