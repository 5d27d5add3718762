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

// checkLedger checks the ledger's guarantees. A key that its client repeats at any balancer takes effect once within its
// window, and a once-only transaction runs once. At the end the ledger has an entry for every transaction that ran or was
// answered. The check relies on what clients sent and upstreams ran; of the balancers' own reports only the ledger's content
// counts, because it is under test.
func (cc *clusterChecker) checkLedger() {
	type work struct {
		clients, tariff int
		label           string
		runs            []record.Arrival
		acked, first    int64 // last and first successful answer
		tries           int
	}
	transactions := map[uint64]*work{}
	for _, t := range cc.run.Requests {
		if t.Group < 0 || t.Group >= len(cc.experiment.Clients) || !cc.experiment.Clients[t.Group].RepeatsByKey {
			continue
		}
		transaction := transactions[t.Root]
		if transaction == nil {
			transaction = &work{clients: t.Group, tariff: t.Tariff, label: fmt.Sprintf("%016x", t.Root)}
			transactions[t.Root] = transaction
		}
		if transaction.tries++; t.Status == 200 {
			transaction.acked = max(transaction.acked, t.Answered)
			if transaction.first == 0 || t.Answered < transaction.first {
				transaction.first = t.Answered
			}
		}
	}
	if len(transactions) == 0 {
		return
	}
	for _, a := range cc.run.Arrived { // sorted by time
		// An upstream forgets a tagged transaction that it did not complete. A once-only transaction counts from its start.
		if transaction := transactions[a.Root]; transaction != nil && a.Executed && !a.Deduplicated &&
			(a.Effect != 0 || cc.experiment.Tariffs[transaction.tariff].Idempotency == logic.NonIdempotent) {
			transaction.runs = append(transaction.runs, a)
		}
	}
	ledgerEntries := map[string]record.Entry{}
	for _, e := range cc.run.LedgerEntries {
		ledgerEntries[e.Tariff+"/"+e.ClientKey] = e
	}
	counts := map[string]int{}
	entriesRead := cc.run.HasLedger && cc.run.LedgerReadAt != 0
	for _, root := range slices.Sorted(maps.Keys(transactions)) {
		transaction := transactions[root]
		tariff := cc.experiment.Tariffs[transaction.tariff]
		counts["repeats"] += transaction.tries - 1
		window := tariff.DedupWindow
		if tariff.Idempotency == logic.NonIdempotent {
			window = int64(time.Hour)
		}
		for i, a := range transaction.runs {
			if i > 0 && a.At < transaction.runs[0].At+window {
				rule := "twice"
				if tariff.Idempotency == logic.NonIdempotent {
					rule = "once_twice"
				}
				counts[rule]++
				cc.recordBreach("ledger", "%s %s took effect at %s at %s and again at %s at %s", tariff.Name,
					transaction.label, cc.experiment.Upstreams[transaction.runs[0].Upstream].Name,
					formatTime(transaction.runs[0].At),
					cc.experiment.Upstreams[a.Upstream].Name, formatTime(a.At))
				break
			}
		}
		if !entriesRead {
			continue
		}
		_, found := ledgerEntries[tariff.Name+"/"+transaction.label]
		inWindow := func(t int64) bool {
			return t != 0 && (tariff.Idempotency == logic.NonIdempotent || cc.run.LedgerReadAt < t+window)
		}
		if n := len(transaction.runs); n > 0 && inWindow(transaction.runs[n-1].At) && !found {
			counts["denied"]++
			cc.recordBreach("ledger", "%s %s ran at %s at %s, but the ledger has no entry for it", tariff.Name,
				transaction.label, cc.experiment.Upstreams[transaction.runs[n-1].Upstream].Name,
				formatTime(transaction.runs[n-1].At))
		}
		if transaction.acked != 0 && inWindow(transaction.acked-tariff.HardStop) && !found {
			counts["unheard"]++
			cc.recordBreach("ledger", "%s %s was answered at %s, but the ledger has no entry for it", tariff.Name,
				transaction.label, formatTime(transaction.acked))
		}
	}
	for _, l := range cc.run.LedgerReads {
		transaction := transactions[l.Root]
		if transaction == nil {
			continue
		}
		counts["looks"]++
		window := cc.experiment.Tariffs[transaction.tariff].DedupWindow
		if cc.experiment.Tariffs[transaction.tariff].Idempotency == logic.NonIdempotent {
			window = int64(time.Hour)
		}
		// Reads are linearizable: a read that starts after the answer finds the entry at any member.
		if !l.Found && transaction.first != 0 && l.From > transaction.first && l.To < transaction.first+window {
			counts["blind"]++
			cc.recordBreach("ledger", "%s, read at %s, had no entry for %s %s, which had been answered at %s",
				spec.MemberName(l.Member), formatTime(l.From), cc.experiment.Tariffs[transaction.tariff].Name,
				transaction.label, formatTime(transaction.first))
		}
	}
	if cc.run.LedgerReadAt == 0 && cc.run.HasLedger {
		cc.recordBreach("ledger", "the ledger could not be read at the end of the run")
	}
	for _, name := range []string{"twice", "once_twice", "denied", "unheard", "repeats", "looks", "blind"} {
		cc.evaluator.result.Figures[name] = float64(counts[name])
	}
	cc.computeServiceOutsideOutages()
}

// computeServiceOutsideOutages computes service, in total and by tariff, for the time when no claim may be deferred. It leaves
// out the stated bound after each outage or link fault, and the time without a majority of voters.
func (cc *clusterChecker) computeServiceOutsideOutages() {
	bound := int64(cc.experiment.Cluster.Settings.ClaimOutageBound())
	var excluded []record.Span
	for _, o := range cc.run.Outages {
		excluded = append(excluded, record.Span{From: o.From, To: o.From + bound})
	}
	for _, t := range cc.run.LinkFaults {
		excluded = append(excluded, record.Span{From: t.Span.From, To: t.Span.From + bound})
	}
	// Exclude the time without a majority, and the bound after it.
	for now, lostAt := int64(0), int64(-1); now <= cc.experiment.Length; now += majorityCheckInterval {
		if !cc.hasMajority(now) {
			if lostAt < 0 {
				lostAt = now
			}
		} else if lostAt >= 0 {
			excluded, lostAt = append(excluded, record.Span{From: lostAt, To: now + bound}), -1
		}
	}
	earningsByLabel := map[string]*earnings{}
	outcomes := map[uint64]record.ClientRequest{}
	for _, t := range cc.run.Requests {
		if t.Group < 0 || t.Group >= len(cc.experiment.Clients) {
			continue
		}
		if was, some := outcomes[t.Root]; !some || was.Status != 200 {
			outcomes[t.Root] = t
		}
	}
	for _, t := range outcomes {
		if t.Due < cc.experiment.Settle || slices.ContainsFunc(excluded,
			func(s record.Span) bool { return t.Due >= s.From-second/5 && t.Due <= s.To }) {
			continue
		}
		tariff := cc.experiment.Tariffs[t.Tariff]
		for _, name := range []string{"", ":" + tariff.Name} {
			sum := earningsByLabel[name]
			if sum == nil {
				sum = &earnings{}
				earningsByLabel[name] = sum
			}
			sum.offered += tariff.Earnings
			if t.Status == 200 {
				if t.Answered-t.Due > tariff.ContractTime+limitMargin/10 {
					sum.earned += tariff.Earnings * tariff.LateEarnings
				} else {
					sum.earned += tariff.Earnings
				}
			}
		}
	}
	for name, sum := range earningsByLabel {
		cc.evaluator.result.Figures["outside"+name] = sum.ratio()
	}
}
