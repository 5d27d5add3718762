// Package judge evaluates a run of an experiment from external observations only. It checks the four rules and, for
// clusters, the cluster rules, and computes service figures. It does no I/O.
package judge

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ottershift/internal/lab/record"
	"ottershift/internal/lab/spec"
	"ottershift/logic"
)

const (
	ms             = int64(1e6)
	second         = int64(1e9)
	limitMargin    = 50 * ms      // tolerance on each limit for the network round trip
	drainGrace     = 1500 * ms    // during which new work may still arrive after a drain was announced
	maxLabLag      = 10 * ms      // a 99th percentile of the lab's own lag beyond this makes a run void
	maxExamples    = 5            // for each kind of breach
	serviceWindow  = 3            // seconds over which service is averaged to detect recovery
	recoveredShare = 0.95         // of the service before the faults; from this on it counts as recovered
	maxLatency     = 120 * second // of the latency histograms
)

// Result is the evaluation of one run. It is stored as JSON under its field names.
type Result struct {
	Figures  map[string]float64 // by name; "service:album" is the figure of one pool, tariff or customer
	Examples []string           // of breaches
	Seconds  []Second
	Upstream []Upstream
	Lag99    float64 // 99th percentile of the lab's own lag, milliseconds
	Void     string  // why the run allows no conclusion; empty if it does
	Broken   string  // why the run ended early; empty if it did not
}

// Second counts the transactions that were due in one second of a run, by outcome.
type Second struct {
	Asked, Settled, Late, Deferred, Failed, Lost int
	Service                                      float64
	P50, P95, P99                                float64 // milliseconds
	Pushes, First                                int
}

// Upstream counts the attempts that reached one upstream.
type Upstream struct {
	Name                         string
	Pushes, Turned, Dropped, Ran int
}

// earnings sums the offered and earned value of the transactions of one pool, tariff, customer or second.
type earnings struct{ offered, earned float64 }

func (p *earnings) ratio() float64 {
	if p.offered == 0 {
		return 1
	}
	return p.earned / p.offered
}

type evaluator struct {
	experiment   *spec.Experiment
	run          *record.Run
	result       *Result
	ruleBreaches [5]int
	requestByID  map[string]int // index into Run.Tries by request ID
}

// Judge evaluates a run of an experiment.
func Judge(experiment *spec.Experiment, run *record.Run) *Result {
	ev := &evaluator{experiment: experiment, run: run, result: &Result{Figures: map[string]float64{}},
		requestByID: map[string]int{}}
	for i, t := range run.Requests {
		ev.requestByID[t.ID] = i
	}
	arrived := map[string][]record.Arrival{}
	slices.SortStableFunc(run.Arrived, func(a, b record.Arrival) int { return cmp.Compare(a.At, b.At) })
	for _, a := range run.Arrived {
		arrived[a.ID] = append(arrived[a.ID], a)
	}
	ev.checkAnswers(arrived)
	ev.checkEffects(arrived)
	ev.checkDrains()
	for _, o := range run.ColdOverloads {
		ev.recordBreach(4, "%s was sent %.1f times its capacity while cold, at %s",
			experiment.Upstreams[o.Upstream].Name, o.Multiple, formatTime(o.At))
	}
	ev.computeService(arrived)
	total := 0
	for rule, n := range ev.ruleBreaches {
		if rule > 0 {
			ev.result.Figures[fmt.Sprintf("rule%d", rule)] = float64(n)
			total += n
		}
	}
	watched := int64(0)
	for _, a := range ev.run.DiscoveryCalls {
		if a.To == 0 {
			a.To = ev.experiment.Length
		}
		watched += max(0, min(a.To, ev.experiment.Length)-max(a.At, 0))
	}
	ev.result.Figures["asks"] = float64(len(ev.run.DiscoveryCalls)) / (float64(ev.experiment.Length) / float64(second))
	ev.result.Figures["watches"] = float64(watched) / float64(ev.experiment.Length)
	ev.checkCluster()
	ev.result.Figures["breaches"] = float64(total) + ev.result.Figures["cluster"]
	ev.checkLag()
	return ev.result
}

func formatTime(t int64) string { return fmt.Sprintf("%.3fs", float64(t)/float64(second)) }

func (ev *evaluator) recordBreach(rule int, text string, values ...any) {
	if ev.ruleBreaches[rule]++; ev.ruleBreaches[rule] <= maxExamples {
		ev.result.Examples = append(ev.result.Examples, fmt.Sprintf("rule %d: ", rule)+fmt.Sprintf(text, values...))
	}
}

// excused reports whether the experiment had killed or stopped a balancer at some point of a time span.
func (ev *evaluator) excused(balancer int, from, to int64) bool {
	return slices.ContainsFunc(ev.run.Outages, func(o record.Outage) bool {
		return o.Balancer == balancer && o.From <= to && o.To+limitMargin >= from
	})
}

// checkAnswers checks rule 1: each accepted transaction gets exactly one final answer before its hard stop, and no
// attempt is sent after that answer.
func (ev *evaluator) checkAnswers(arrived map[string][]record.Arrival) {
	for _, request := range ev.run.Requests {
		if request.Extra {
			ev.recordBreach(1, "%s got more than one answer, or the answer to another request, from balancer %d",
				request.ID, request.Balancer+1)
		}
		if request.Sent == 0 || request.Group < 0 {
			continue
		}
		stop := request.Sent + request.Timeout + limitMargin
		if ev.excused(request.Balancer, request.Sent, stop) {
			continue
		}
		switch {
		case request.Status == 0 && request.Closed:
			ev.recordBreach(1, "%s, sent at %s: connection closed without an answer", request.ID, formatTime(request.Sent))
		case request.Status == 0:
			ev.recordBreach(1, "%s, sent at %s to balancer %d with %.0f ms left, got no answer by its hard stop",
				request.ID, formatTime(request.Sent), request.Balancer+1, float64(request.Timeout)/float64(ms))
		case request.Answered > stop:
			ev.recordBreach(1, "%s, sent at %s to balancer %d with %.0f ms left, was answered with status %d, %.0f ms after its hard stop",
				request.ID, formatTime(request.Sent), request.Balancer+1,
				float64(request.Timeout)/float64(ms), request.Status, float64(request.Answered-stop+limitMargin)/float64(ms))
		}
		end := request.Answered
		if end == 0 {
			end = stop
		}
		for _, arrival := range arrived[request.ID] {
			if arrival.At > end+limitMargin {
				ev.recordBreach(1, "attempt of %s reached %s at %s, %.0f ms after balancer %d had answered",
					request.ID, ev.experiment.Upstreams[arrival.Upstream].Name, formatTime(arrival.At),
					float64(arrival.At-end)/float64(ms), request.Balancer+1)
			}
		}
	}
}

// checkEffects checks rule 2: no transaction takes effect twice, and a deferred transaction is safe to repeat.
func (ev *evaluator) checkEffects(arrived map[string][]record.Arrival) {
	runsByRoot := map[uint64]int{} // for once-only transactions, over all requests of their clients
	for _, request := range ev.run.Requests {
		if request.Group < 0 {
			continue
		}
		tariff := ev.experiment.Tariffs[request.Tariff]
		if tariff.Idempotency == logic.Idempotent {
			continue
		}
		runs, effects, first := 0, 0, int64(0)
		for _, arrival := range arrived[request.ID] {
			if arrival.Executed {
				if runs++; runs == 1 {
					first = arrival.At
				}
			}
			if arrival.Effect != 0 && !arrival.Deduplicated && (effects == 0 || arrival.At < first+tariff.DedupWindow) {
				effects++
			}
		}
		switch {
		case tariff.Idempotency == logic.NonIdempotent && runs > 1:
			ev.recordBreach(2, "once-only %s may have run %d times", request.ID, runs)
		case tariff.Idempotency == logic.Keyed && effects > 1:
			ev.recordBreach(2, "tagged %s took effect %d times within its deduplication window", request.ID, effects)
		case (request.Status == 503 || request.Status == 429) && runs > 0 &&
			!(tariff.Idempotency == logic.Keyed && tariff.DedupScope == logic.Everywhere):
			ev.recordBreach(2, "%s was answered with status %d, which says that a repeat is safe, but may have run",
				request.ID, request.Status)
		}
		if tariff.Idempotency == logic.NonIdempotent && request.Group < len(ev.experiment.Clients) {
			if before := runsByRoot[request.Root]; before > 0 && runs > 0 {
				ev.recordBreach(2, "once-only %016x ran again after its client was told that a retry is safe", request.Root)
			}
			runsByRoot[request.Root] += runs
		}
	}
}

// checkDrains checks rule 3: a draining or removed upstream gets new work only within the grace period.
func (ev *evaluator) checkDrains() {
	type key struct{ balancer, upstream int }
	reports := map[key][]record.DiscoveryUpdate{}
	for _, t := range ev.run.DiscoveryUpdates {
		reports[key{t.Balancer, t.Upstream}] = append(reports[key{t.Balancer, t.Upstream}], t)
	}
	for _, arrival := range ev.run.Arrived {
		i, known := ev.requestByID[arrival.ID]
		if !known {
			continue
		}
		notServingSince := int64(-1) // when the balancer was first told so; -1 while it holds the upstream to be serving
		for _, t := range reports[key{ev.run.Requests[i].Balancer, arrival.Upstream}] {
			if t.At > arrival.At {
				break
			}
			if t.Serving {
				notServingSince = -1
			} else if notServingSince < 0 {
				notServingSince = t.At
			}
		}
		if notServingSince >= 0 && arrival.At > notServingSince+drainGrace+limitMargin &&
			!ev.excused(ev.run.Requests[i].Balancer, notServingSince, arrival.At) {
			ev.recordBreach(3, "%s got %s %.2f s after the balancer was told that it drains",
				ev.experiment.Upstreams[arrival.Upstream].Name, arrival.ID, float64(arrival.At-notServingSince)/float64(second))
		}
	}
}

// transactionOutcome is the result of one transaction for its client, over all its requests.
type transactionOutcome struct {
	due      int64
	clients  int
	status   int
	answered int64
	deferred bool
	lost     bool
}

// computeService sums the value of all offered transactions and what was earned of it.
func (ev *evaluator) computeService(arrived map[string][]record.Arrival) {
	roots := map[uint64]*transactionOutcome{}
	for _, t := range ev.run.Requests {
		if t.Group < 0 || t.Group >= len(ev.experiment.Clients) {
			continue
		}
		outcome := roots[t.Root]
		if outcome == nil {
			outcome = &transactionOutcome{due: t.Due, clients: t.Group}
			roots[t.Root] = outcome
		}
		if outcome.status == 200 {
			continue
		}
		outcome.status, outcome.answered = t.Status, t.Answered
		outcome.deferred, outcome.lost = t.Status == 503 || t.Status == 429, t.Status == 0
	}
	// Transactions that were never sent, because the run ended early, count as offered and lost.
	for _, c := range ev.experiment.Load() {
		if roots[c.Root] == nil {
			roots[c.Root] = &transactionOutcome{due: c.Due, clients: c.Clients, lost: true}
		}
	}
	ev.result.Seconds = make([]Second, (ev.experiment.Length+second-1)/second)
	latencies := make([]*hdrhistogram.Histogram, len(ev.result.Seconds))
	for i := range latencies {
		latencies[i] = hdrhistogram.New(1, int64(maxLatency/1000), 3)
	}
	totalLatency := hdrhistogram.New(1, int64(maxLatency/1000), 3)
	earningsByLabel := map[string]*earnings{}
	perSecond := make([]earnings, len(ev.result.Seconds))
	var settled, deferred, failed, lost, total int
	for _, root := range slices.Sorted(maps.Keys(roots)) {
		outcome := roots[root]
		n := int(min(outcome.due/second, int64(len(perSecond)-1)))
		c := ev.experiment.Clients[outcome.clients]
		tariff := ev.experiment.Tariffs[c.Tariff]
		bucket, earned, status := &ev.result.Seconds[n], 0.0, outcome.status
		bucket.Asked++
		late := false
		switch {
		case status == 200:
			earned = tariff.Earnings
			if late = outcome.answered-outcome.due > tariff.ContractTime+limitMargin/10; late {
				earned *= tariff.LateEarnings
				bucket.Late++
			}
			bucket.Settled++
			us := max(1, min((outcome.answered-outcome.due)/1000, maxLatency/1000))
			latencies[n].RecordValue(us)
			if outcome.due >= ev.experiment.Settle {
				totalLatency.RecordValue(us)
			}
		case outcome.deferred:
			bucket.Deferred++
		case outcome.lost:
			bucket.Lost++
		default:
			bucket.Failed++
		}
		perSecond[n].offered, perSecond[n].earned = perSecond[n].offered+tariff.Earnings, perSecond[n].earned+earned
		if outcome.due < ev.experiment.Settle {
			continue
		}
		total++
		switch {
		case status == 200:
			settled++
		case outcome.deferred:
			deferred++
		case outcome.lost:
			lost++
		default:
			failed++
		}
		for _, name := range []string{"", ":" + ev.experiment.Pools[c.Pool], ":" + tariff.Name, ":" + c.Customer} {
			if name == ":" {
				continue
			}
			sum := earningsByLabel[name]
			if sum == nil {
				sum = &earnings{}
				earningsByLabel[name] = sum
			}
			sum.offered, sum.earned = sum.offered+tariff.Earnings, sum.earned+earned
		}
	}
	figures := ev.result.Figures
	for name, sum := range earningsByLabel {
		figures["service"+name] = sum.ratio()
	}
	divisor := float64(max(total, 1))
	figures["asked"], figures["settled"], figures["deferred"] = float64(total), float64(settled)/divisor,
		float64(deferred)/divisor
	figures["failed"], figures["lost"] = float64(failed)/divisor, float64(lost)/divisor
	for name, q := range map[string]float64{"p50": 50, "p99": 99, "p999": 99.9} {
		figures[name] = float64(totalLatency.ValueAtQuantile(q)) / 1000
	}
	for i := range perSecond {
		bucket := &ev.result.Seconds[i]
		bucket.Service = perSecond[i].ratio()
		bucket.P50, bucket.P95, bucket.P99 = float64(latencies[i].ValueAtQuantile(50))/1000,
			float64(latencies[i].ValueAtQuantile(95))/1000, float64(latencies[i].ValueAtQuantile(99))/1000
	}
	ev.countAttempts(arrived)
	ev.computeRecovery(perSecond)
}

// countAttempts counts the attempts that reached upstreams, and computes how many each transaction took.
func (ev *evaluator) countAttempts(arrived map[string][]record.Arrival) {
	ev.result.Upstream = make([]Upstream, len(ev.experiment.Upstreams))
	for i, u := range ev.experiment.Upstreams {
		ev.result.Upstream[i].Name = u.Name
	}
	attempts, first := 0, 0
	for _, arrivals := range arrived {
		for n, a := range arrivals {
			u, s := &ev.result.Upstream[a.Upstream],
				&ev.result.Seconds[max(0, min(a.At/second, int64(len(ev.result.Seconds)-1)))]
			u.Pushes++
			s.Pushes++
			if n == 0 {
				s.First++
			}
			if a.Rejected {
				u.Turned++
			}
			if a.Deduplicated {
				u.Dropped++
			}
			if a.Executed {
				u.Ran++
			}
		}
		if arrivals[0].At >= ev.experiment.Settle {
			first++
			attempts += len(arrivals)
		}
	}
	ev.result.Figures["attempts"] = float64(attempts) / float64(max(first, 1))
}

// computeRecovery computes how long after the end of the last fault service had recovered, and the worst service over any
// window of serviceWindow seconds.
func (ev *evaluator) computeRecovery(perSecond []earnings) {
	begin, end := int64(math.MaxInt64), int64(0)
	for _, f := range ev.experiment.Faults {
		begin, end = min(begin, f.At), max(end, f.At+f.For)
	}
	for _, c := range ev.experiment.Clients { // a step of the load counts as a fault
		for _, s := range c.Steps {
			begin, end = min(begin, s.At), max(end, s.At)
		}
	}
	serviceBetween := func(from, to int) float64 {
		var p earnings
		for i := max(0, from); i < min(to, len(perSecond)); i++ {
			p.offered, p.earned = p.offered+perSecond[i].offered, p.earned+perSecond[i].earned
		}
		return p.ratio()
	}
	worst, settle := 1.0, int(ev.experiment.Settle/second)
	for i := settle; i+serviceWindow <= len(perSecond); i++ {
		worst = min(worst, serviceBetween(i, i+serviceWindow))
	}
	ev.result.Figures["worst"] = worst
	if end == 0 || end >= ev.experiment.Length {
		return
	}
	baseline := serviceBetween(settle, int(begin/second))
	ev.result.Figures["recover"] = float64(ev.experiment.Length-end) / float64(second)
	for i := int(end / second); i < len(perSecond); i++ {
		if serviceBetween(i, i+serviceWindow) >= recoveredShare*baseline {
			ev.result.Figures["recover"] = max(0, float64(int64(i)*second-end)/float64(second))
			return
		}
	}
}

// checkLag declares the run void if the lab itself ran late.
func (ev *evaluator) checkLag() {
	ev.result.Broken = ev.run.AbortReason
	if len(ev.run.Lag) == 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(ev.run.Lag))
	lag99 := sorted[len(sorted)*99/100]
	ev.result.Lag99 = float64(lag99) / float64(ms)
	if lag99 > maxLabLag {
		ev.result.Void = fmt.Sprintf("the lab itself was %.1f ms late at the 99th percentile (limit %d ms): its machine is too small or too busy for this experiment", ev.result.Lag99, maxLabLag/ms)
	}
}

// Holds reports whether a condition holds over the results of all variants, and the values of both sides.
func Holds(condition spec.Condition, results map[string]*Result) (ok bool, left, right float64) {
	value := func(f spec.Figure) float64 {
		if f.Variant == "" {
			return f.Number
		}
		if r := results[f.Variant]; r != nil {
			if v, some := r.Figures[f.Name]; some {
				return v
			}
		}
		return math.NaN()
	}
	left, right = value(condition.Left), value(condition.Right)+condition.Offset
	switch condition.Op {
	case "<":
		ok = left < right
	case "<=":
		ok = left <= right
	case ">":
		ok = left > right
	case ">=":
		ok = left >= right
	case "==":
		ok = left == right
	}
	return ok, left, right
}
