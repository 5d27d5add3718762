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

// judge holds what clients were told against what upstreams ran.
func (w *world) judge() {
	runs := map[string]int{}
	for n, a := range w.apps {
		for id, k := range a.RunsByAttempt() {
			runs[id] += k
			w.out.By[n].Ran += k
		}
	}
	if w.side != nil {
		ran, effects := w.side.Runs()
		for id, k := range ran {
			runs[id] += k
		}
		w.out.Effects = effects
		for _, what := range w.side.ForbiddenWrites() {
			w.breaks("KEPT: %s, after that narrowing was reported done", what)
		}
	}
	if w.Credit > 0 {
		w.judgeCredit(runs)
	}
	for id, k := range runs {
		t := w.sent[id]
		switch {
		case t == nil:
			w.breaks("UNASKED: %s ran and was sent by nobody", id)
		case t.once && k > 1:
			w.breaks("TWICE: %s ran %d times", id, k)
		case t.once && (t.status == http.StatusServiceUnavailable || t.status == http.StatusTooManyRequests || t.status == http.StatusForbidden):
			w.breaks("REFUSED: %s was promised not to run, and ran", id)
		}
	}
	for id, t := range w.sent {
		switch {
		case t.probe:
		case t.status == -1:
			w.breaks("MIXED: %s got an answer that is no upstream's", id)
		case t.status == http.StatusOK && runs[id] == 0:
			w.breaks("MIXED: %s was answered and never ran", id)
		case !t.outside && t.status >= 300 && t.status < 500 && t.status != http.StatusTooManyRequests:
			w.breaks("DENIED: %s got %d", id, t.status)
		}
	}
	if w.tail[0] > 0 && float64(w.tail[1]) < 0.9*float64(w.tail[0]) {
		w.breaks("RECOVER: %d of %d requests were served once all was mended", w.tail[1], w.tail[0])
	}
	slices.Sort(w.out.Broken)
}

// judgeCredit holds what was charged against what was served: each key once, effects that may have run among them.
func (w *world) judgeCredit(runs map[string]int) {
	due := map[string]bool{}
	for id, t := range w.sent {
		if key, _, _ := strings.Cut(id, "/"); t.status == http.StatusOK || t.once && runs[id] > 0 || t.status == 0 {
			due[key] = true
		}
	}
	w.out.DueMost = len(due)
	ctx, end := context.WithTimeout(context.Background(), 8*time.Second)
	defer end()
	var a *burstcredit.AccountStatus
	for last := -1.0; ; { // until all has been told
		now, err := w.account(ctx)
		if err != nil && ctx.Err() != nil {
			w.breaks("CREDIT: nobody gives the account: %v", err)
			return
		}
		if err == nil {
			if a = now; a.Spent == last {
				break
			}
			last = a.Spent
		}
		if nap(ctx, time.Second) != nil {
			break
		}
	}
	w.out.Spent = a.Spent
	if a.Spent > float64(len(due))+1e-6 {
		w.breaks("CREDIT: %.0f charges, and %d requests that were due one at most", a.Spent, len(due))
	}
	if a.Gap > 1e-6 || a.Gap < -1e-6 {
		w.breaks("CREDIT: the account is out by %g", a.Gap)
	}
	if a.Spent > w.Credit+a.Earned {
		w.breaks("CREDIT: %.0f charged of a credit of %.0f", a.Spent, w.Credit+a.Earned)
	}
}

// Print writes what was seen; the last line is the verdict.
func (o *Outcome) Print(out io.Writer) {
	t := tabwriter.NewWriter(out, 2, 8, 2, ' ', 0)
	fmt.Fprintln(t, "proxy\tasked\tserved\trefused\tfailed\tno answer\tran beside it\t")
	for _, s := range o.By {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t\n", s.Node, s.Asked, s.OK, s.Refused, s.Failed, s.NoAnswer, s.Ran)
	}
	t.Flush()
	for _, b := range o.Broken[:min(len(o.Broken), 10)] {
		fmt.Fprintln(out, b)
	}
	if n := len(o.Acks); n > 0 {
		slices.Sort(o.Acks)
		fmt.Fprintf(out, "changes of a configuration of %d bytes: acknowledged after %v in the median, %v at most\n", o.Bytes, o.Acks[n/2].Round(100*time.Microsecond), o.Acks[n-1].Round(time.Millisecond))
	}
	if n := len(o.InForce); n > 0 {
		fmt.Fprintf(out, "versions: %d probes, in force after %v in the median, %v at most; served on added routes %v, on the first %v\n", o.Probes,
			o.InForce[n/2].Round(time.Millisecond), o.InForce[n-1].Round(time.Millisecond), o.Added, o.First)
	}
	if o.Spent > 0 {
		fmt.Fprintf(out, "credit: %.0f charged; %d requests were due a charge at most\n", o.Spent, o.DueMost)
	}
	if len(o.Done) > 0 {
		fmt.Fprintf(out, "partner: %d effects ran, %d narrowings done, after %v at most\n", o.Effects, len(o.Done), slices.Max(o.Done).Round(time.Millisecond))
	}
	verdict := "held"
	if len(o.Broken) > 0 {
		verdict = "broken"
	}
	fmt.Fprintf(out, "verdict=%s served=%.4f late=%d restarts=%d changes=%d broken=%d\n", verdict, float64(o.OK)/float64(max(o.Asked, 1)), o.Late, o.Restarts, o.Changes, len(o.Broken))
}
