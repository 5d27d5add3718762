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

// nodeRecord is a proxy in the controllers' registry.
type nodeRecord = membership.Record

// DescribeBounds returns lines with the bounds that the mesh keeps under given settings, each with its formula.
func DescribeBounds(meshSettings *settings.Settings) (lines []string) {
	add := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	add("%s in %s: settings read", meshSettings.Node, meshSettings.Zone)
	coreSize := 2*meshSettings.Tolerate.Machines + 1
	state := consensus.State{Core: make([]consensus.Member, coreSize), ToleratedLosses: meshSettings.Tolerate.Machines}
	add("core: %d members tolerate the loss of %d disks; a change is synced on max(majority, Tolerate+1) = %d before it is acknowledged", coreSize, meshSettings.Tolerate.Machines, state.Quorum())
	add("repair: a spare replaces a lost member, and its disk holds the state, within ReplaceAfter + 2·turn + step timeout + 4·(sync + round trip) = %v + 4·(sync + round trip), of CatchUp %v: up to %v for a sync and a round trip", controller.RepairBound(0), meshSettings.Bounds.CatchUp, controller.LongestRepairStep(meshSettings.Bounds.CatchUp))
	watchTimeout := proxy.WatchTimeout
	add("configuration: a proxy leaves an unresponsive core process after %v, two in a row after %v, of Config %v", watchTimeout, 2*watchTimeout, meshSettings.Bounds.Config)
	add("closing: no request passes to an upstream later than 3/4 of Drain = %v after its acknowledgement, of Drain %v", meshSettings.Bounds.Drain*3/4, meshSettings.Bounds.Drain)
	add("duties: another process takes them over after %v without a sign of life, and acts after %v more", time.Duration(consensus.DutyTimeout), controller.GracePeriod)
	limit := ratelimit.Limit{Rate: 100, Burst: 100, Window: int64(meshSettings.Bounds.QuotaWindow), OverRatio: meshSettings.Bounds.QuotaOver, Slack: meshSettings.Bounds.QuotaSlack}
	add("quota, for 100 a second and a surge of 100: R·W + Reserve = %.0f in %v, allowed (R·W + S)·(1 + over) + slack = %.0f", limit.Rate*meshSettings.Bounds.QuotaWindow.Seconds()+limit.Reserve(), meshSettings.Bounds.QuotaWindow, limit.MaxPerWindow())
	credit := burstcredit.Terms{ExtraRate: 100}
	spent, stranded, known := credit.Bounds(int64(meshSettings.Bounds.QuotaWindow))
	add("burst credit, for 100 a second beyond the rate: Extra·W + Extra·Ahead = %.0f in %v; stranded at unreachable balancers Extra·Ahead = %.0f, for at most %v; identities kept Extra·Window = %.0f", spent, meshSettings.Bounds.QuotaWindow, stranded, time.Duration(burstcredit.EscrowTimeout), known)
	add("partners: a restriction is in force (LeaveFor + Fresh)·(1 + Drift) + 3·Every = %v after it was agreed on, plus two agreed changes", (time.Duration(float64(federation.AuthorizationTTL+federation.QuorumFreshness)*(1+federation.MaxClockDrift)) + 3*time.Duration(federation.CheckInterval)).Round(time.Millisecond))
	add("retries: each of n balancers sends %.3g of its first attempts and %.3g/n beyond them in %v; allowed %.3g and %.3g over all", meshSettings.Bounds.RetryRatio/2, meshSettings.Bounds.RetrySlack/2, meshSettings.Bounds.RetryWindow, meshSettings.Bounds.RetryRatio, meshSettings.Bounds.RetrySlack)
	return lines
}
