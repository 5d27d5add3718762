package processes

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"ottershift/internal/mesh/burstcredit"
)

// judge compares the responses that clients received with the requests that upstreams ran.
func (h *harness) judge() {
	runs := map[string]int{}
	for n, upstream := range h.upstreams {
		for id, count := range upstream.RunsByAttempt() {
			runs[id] += count
			h.outcome.ByProxy[n].Runs += count
		}
	}
	for _, life := range h.lives {
		if life.upstream == h.upstreams[life.proxy] {
			continue
		}
		for id, count := range life.upstream.RunsByAttempt() {
			runs[id] += count
			h.outcome.ByProxy[life.proxy].Runs += count
		}
	}
	if h.partner != nil {
		ran, effects := h.partner.Runs()
		for id, count := range ran {
			runs[id] += count
		}
		h.outcome.PartnerEffects = effects
		for _, what := range h.partner.ForbiddenWrites() {
			h.reportViolation("KEPT: %s ran after its narrowing was reported complete", what)
		}
	}
	if h.Credit > 0 {
		h.judgeCredit(runs)
	}
	for id, count := range runs {
		attempt := h.attempts[id]
		switch {
		case attempt == nil:
			h.reportViolation("UNASKED: %s ran, but no client sent it", id)
		case attempt.onceOnly && count > 1:
			h.reportViolation("TWICE: %s ran %d times", id, count)
		case attempt.onceOnly && (attempt.status == http.StatusServiceUnavailable || attempt.status == http.StatusTooManyRequests || attempt.status == http.StatusForbidden):
			h.reportViolation("REFUSED: %s was refused, but ran", id)
		}
	}
	for id, attempt := range h.attempts {
		switch {
		case attempt.probe:
		case attempt.status == mismatchedResponse:
			h.reportViolation("MIXED: %s got a response that no upstream sent", id)
		case attempt.status == http.StatusOK && runs[id] == 0:
			h.reportViolation("MIXED: %s was served, but never ran", id)
		case !attempt.toPartner && attempt.status >= 300 && attempt.status < 500 && attempt.status != http.StatusTooManyRequests:
			h.reportViolation("DENIED: %s got %d", id, attempt.status)
		}
	}
	if h.afterFaults[0] > 0 && float64(h.afterFaults[1]) < 0.9*float64(h.afterFaults[0]) {
		h.reportViolation("RECOVER: %d of %d requests were served after the end of all faults", h.afterFaults[1], h.afterFaults[0])
	}
	slices.Sort(h.outcome.Violations)
}

// judgeCredit compares the tokens charged with the requests served. Each idempotency key is due at most one charge,
// and requests that may have had an effect count as due.
func (h *harness) judgeCredit(runs map[string]int) {
	due := map[string]bool{}
	for id, attempt := range h.attempts {
		if key, _, _ := strings.Cut(id, "/"); attempt.status == http.StatusOK || attempt.onceOnly && runs[id] > 0 || attempt.status == 0 {
			due[key] = true
		}
	}
	h.outcome.MaxCharges = len(due)
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	var account *burstcredit.AccountStatus
	for last := -1.0; ; { // until the proxies have reported all charges
		current, err := h.fetchAccount(ctx)
		if err != nil && ctx.Err() != nil {
			h.reportViolation("CREDIT: no controller returned the account: %v", err)
			return
		}
		if err == nil {
			if account = current; account.Spent == last {
				break
			}
			last = account.Spent
		}
		if sleep(ctx, time.Second) != nil {
			break
		}
	}
	h.outcome.Charged = account.Spent
	if account.Spent > float64(len(due))+1e-6 {
		h.reportViolation("CREDIT: %.0f tokens charged, but at most %d requests were due a charge", account.Spent, len(due))
	}
	if account.Gap > 1e-6 || account.Gap < -1e-6 {
		h.reportViolation("CREDIT: the account does not balance: difference %g", account.Gap)
	}
	if account.Spent > h.Credit+account.Earned {
		h.reportViolation("CREDIT: %.0f tokens charged, but the credit is %.0f", account.Spent, h.Credit+account.Earned)
	}
}

// Print writes the result. The last line is the verdict.
func (o *Outcome) Print(out io.Writer) {
	table := tabwriter.NewWriter(out, 2, 8, 2, ' ', 0)
	fmt.Fprintln(table, "proxy\trequests\tserved\trefused\tfailed\tno response\trun by its upstream\t")
	for _, s := range o.ByProxy {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t\n", s.Node, s.Requests, s.OK, s.Refused, s.Failed, s.NoResponse, s.Runs)
	}
	table.Flush()
	for _, violation := range o.Violations[:min(len(o.Violations), 10)] {
		fmt.Fprintln(out, violation)
	}
	if n := len(o.AckDelays); n > 0 {
		slices.Sort(o.AckDelays)
		fmt.Fprintf(out, "changes of a configuration of %d bytes: acknowledged after %v (median), %v (maximum)\n", o.Bytes, o.AckDelays[n/2].Round(100*time.Microsecond), o.AckDelays[n-1].Round(time.Millisecond))
	}
	if n := len(o.InForceDelays); n > 0 {
		fmt.Fprintf(out, "versions: %d probes, in force after %v (median), %v (maximum); served on added routes %v, on the first routes %v\n", o.Probes,
			o.InForceDelays[n/2].Round(time.Millisecond), o.InForceDelays[n-1].Round(time.Millisecond), o.AddedRoutes, o.FirstRoutes)
	}
	if o.Charged > 0 {
		fmt.Fprintf(out, "credit: %.0f tokens charged; at most %d requests were due a charge\n", o.Charged, o.MaxCharges)
	}
	if len(o.NarrowingDelays) > 0 {
		fmt.Fprintf(out, "partner: %d writes ran, %d narrowings complete, after at most %v\n", o.PartnerEffects, len(o.NarrowingDelays), slices.Max(o.NarrowingDelays).Round(time.Millisecond))
	}
	if o.Departures > 0 {
		slices.Sort(o.DepartureDelays)
		acknowledged := "none acknowledged"
		if n := len(o.DepartureDelays); n > 0 {
			acknowledged = fmt.Sprintf("%d acknowledged, after %v (median), %v (maximum)", n, o.DepartureDelays[n/2].Round(100*time.Microsecond), o.DepartureDelays[n-1].Round(time.Millisecond))
		}
		fmt.Fprintf(out, "upstreams: %d departures, %s; %d crashes; %d probes of routes; %d requests on kept connections\n", o.Departures, acknowledged, o.Crashes, o.RouteProbes, o.KeptRequests)
	}
	verdict := "held"
	if len(o.Violations) > 0 {
		verdict = "broken"
	}
	fmt.Fprintf(out, "verdict=%s served=%.4f late=%d restarts=%d changes=%d broken=%d\n", verdict, float64(o.OK)/float64(max(o.Requests, 1)), o.Late, o.Restarts, o.Changes, len(o.Violations))
}
