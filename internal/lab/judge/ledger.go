package judge

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"ottershift/internal/lab/record"
	"ottershift/internal/lab/spec"
	"ottershift/logic"
)

// ledger: a key that its client sends again and again, to whatever balancer, takes effect once within its window; once-only work
// runs once; and at the end the ledger denies nothing that ran, and knows of all that was answered. By what clients sent and
// upstreams ran: no balancer's word counts but the ledger's own, which is what is judged.
func (f *fleet) ledger() {
	type work struct {
		clients, tariff int
		label           string
		runs            []record.Arrival
		acked, first    int64 // last and first answer that settled it
		tries           int
	}
	roots := map[uint64]*work{}
	for _, t := range f.r.Requests {
		if t.Group < 0 || t.Group >= len(f.e.Clients) || !f.e.Clients[t.Group].Repeats {
			continue
		}
		w := roots[t.Root]
		if w == nil {
			w = &work{clients: t.Group, tariff: t.Tariff, label: fmt.Sprintf("%016x", t.Root)}
			roots[t.Root] = w
		}
		if w.tries++; t.Status == 200 {
			w.acked = max(w.acked, t.Answered)
			if w.first == 0 || t.Answered < w.first {
				w.first = t.Answered
			}
		}
	}
	if len(roots) == 0 {
		return
	}
	for _, a := range f.r.Arrived { // in order of time
		// What a tagged transaction's upstream didn't do to its end it forgets as well; once-only work counts from its first step.
		if w := roots[a.Root]; w != nil && a.Executed && !a.Deduplicated && (a.Effect != 0 || f.e.Tariffs[w.tariff].Idempotency == logic.NonIdempotent) {
			w.runs = append(w.runs, a)
		}
	}
	written := map[string]record.Entry{}
	for _, e := range f.r.LedgerEntries {
		written[e.Tariff+"/"+e.ClientKey] = e
	}
	counts := map[string]int{}
	claims := f.r.HasLedger && f.r.LedgerReadAt != 0
	for _, root := range slices.Sorted(maps.Keys(roots)) {
		w := roots[root]
		tariff := f.e.Tariffs[w.tariff]
		counts["repeats"] += w.tries - 1
		window := tariff.DedupWindow
		if tariff.Idempotency == logic.NonIdempotent {
			window = int64(time.Hour)
		}
		for i, a := range w.runs {
			if i > 0 && a.At < w.runs[0].At+window {
				rule := "twice"
				if tariff.Idempotency == logic.NonIdempotent {
					rule = "once_twice"
				}
				counts[rule]++
				f.breach("ledger", "%s %s took effect at %s at %s, and at %s at %s", tariff.Name, w.label, f.e.Upstreams[w.runs[0].Upstream].Name, at(w.runs[0].At),
					f.e.Upstreams[a.Upstream].Name, at(a.At))
				break
			}
		}
		if !claims {
			continue
		}
		_, some := written[tariff.Name+"/"+w.label]
		young := func(t int64) bool {
			return t != 0 && (tariff.Idempotency == logic.NonIdempotent || f.r.LedgerReadAt < t+window)
		}
		if n := len(w.runs); n > 0 && young(w.runs[n-1].At) && !some {
			counts["denied"]++
			f.breach("ledger", "%s %s ran at %s at %s, and the ledger holds nothing of it", tariff.Name, w.label, f.e.Upstreams[w.runs[n-1].Upstream].Name, at(w.runs[n-1].At))
		}
		if w.acked != 0 && young(w.acked-tariff.HardStop) && !some {
			counts["unheard"]++
			f.breach("ledger", "%s %s was answered at %s, and the ledger holds nothing of it", tariff.Name, w.label, at(w.acked))
		}
	}
	for _, l := range f.r.LedgerReads {
		w := roots[l.Root]
		if w == nil {
			continue
		}
		counts["looks"]++
		window := f.e.Tariffs[w.tariff].DedupWindow
		if f.e.Tariffs[w.tariff].Idempotency == logic.NonIdempotent {
			window = int64(time.Hour)
		}
		// Whoever has its answer before it asks reads of it, at whatever member.
		if !l.Found && w.first != 0 && l.From > w.first && l.To < w.first+window {
			counts["blind"]++
			f.breach("ledger", "%s, asked at %s, knew nothing of %s %s, which had been answered at %s", spec.Name(l.Member), at(l.From), f.e.Tariffs[w.tariff].Name,
				w.label, at(w.first))
		}
	}
	if f.r.LedgerReadAt == 0 && f.r.HasLedger {
		f.breach("ledger", "the ledger could not be read at the end")
	}
	for _, name := range []string{"twice", "once_twice", "denied", "unheard", "repeats", "looks", "blind"} {
		f.j.out.Figures[name] = float64(counts[name])
	}
	f.outside()
}

// outside is what was earned of what was asked for while no claim may be deferred: not within the stated time after anything went
// wrong between members, nor without a majority of keepers. By tariff.
func (f *fleet) outside() {
	bound := int64(f.e.Cluster.Settings.ClaimOutageBound())
	var spans []record.Span
	for _, o := range f.r.Outages {
		spans = append(spans, record.Span{From: o.From, To: o.From + bound})
	}
	for _, t := range f.r.LinkFaults {
		spans = append(spans, record.Span{From: t.Span.From, To: t.Span.From + bound})
	}
	for at, lost := int64(0), int64(-1); at <= f.e.Length; at += steps { // without a majority, and until it is back
		if !f.majority(at) {
			if lost < 0 {
				lost = at
			}
		} else if lost >= 0 {
			spans, lost = append(spans, record.Span{From: lost, To: at + bound}), -1
		}
	}
	parts := map[string]*part{}
	done := map[uint64]record.ClientRequest{}
	for _, t := range f.r.Requests {
		if t.Group < 0 || t.Group >= len(f.e.Clients) {
			continue
		}
		if was, some := done[t.Root]; !some || was.Status != 200 {
			done[t.Root] = t
		}
	}
	for _, t := range done {
		if t.Due < f.e.Settle || slices.ContainsFunc(spans, func(s record.Span) bool { return t.Due >= s.From-second/5 && t.Due <= s.To }) {
			continue
		}
		tariff := f.e.Tariffs[t.Tariff]
		for _, name := range []string{"", ":" + tariff.Name} {
			p := parts[name]
			if p == nil {
				p = &part{}
				parts[name] = p
			}
			p.asked += tariff.Earnings
			if t.Status == 200 {
				if t.Answered-t.Due > tariff.ContractTime+margin/10 {
					p.earned += tariff.Earnings * tariff.LateEarnings
				} else {
					p.earned += tariff.Earnings
				}
			}
		}
	}
	for name, p := range parts {
		f.j.out.Figures["outside"+name] = p.service()
	}
}
