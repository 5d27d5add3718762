// Package judge says what became of a run from what was seen from outside: whether the four rules held, and how well it
// served. It has no I/O.
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
	ms      = int64(1e6)
	second  = int64(1e9)
	margin  = 50 * ms   // of each limit: the way there and back
	grace   = 1500 * ms // for new work after a drain was told
	tooLate = 10 * ms   // lag of the lab itself, 99 in 100, that makes a run void
	shown   = 5         // examples of each breach
	spans   = 3         // seconds over which service has to be back
	back    = 0.95      // part of service before that counts as back
	longest = 120 * second
)

// Result is what became of a run.
type Result struct {
	Figures  map[string]float64 // by name, "service:album" for a part
	Examples []string           // of breaches
	Seconds  []Second
	Upstream []Upstream
	Lag99    float64 // of the lab, milliseconds
	Void     string  // why nothing can be concluded, empty if it can
	Broken   string  // why the run ended before its time
}

// Second is what was asked for in one second, and what became of it.
type Second struct {
	Asked, Settled, Late, Deferred, Failed, Lost int
	Service                                      float64
	P50, P95, P99                                float64 // milliseconds
	Pushes, First                                int
}

// Upstream is what reached one.
type Upstream struct {
	Name                         string
	Pushes, Turned, Dropped, Ran int
}

// part sums up what one pool, tariff or customer was worth.
type part struct{ asked, earned float64 }

func (p *part) service() float64 {
	if p.asked == 0 {
		return 1
	}
	return p.earned / p.asked
}

type judge struct {
	e      *spec.Experiment
	r      *record.Run
	out    *Result
	counts [5]int
	ids    map[string]int // tries by id
}

// Judge looks at a run.
func Judge(e *spec.Experiment, r *record.Run) *Result {
	j := &judge{e: e, r: r, out: &Result{Figures: map[string]float64{}}, ids: map[string]int{}}
	for i, t := range r.Requests {
		j.ids[t.ID] = i
	}
	arrived := map[string][]record.Arrival{}
	slices.SortStableFunc(r.Arrived, func(a, b record.Arrival) int { return cmp.Compare(a.At, b.At) })
	for _, a := range r.Arrived {
		arrived[a.ID] = append(arrived[a.ID], a)
	}
	j.answers(arrived)
	j.effects(arrived)
	j.drains()
	for _, o := range r.ColdOverloads {
		j.breach(4, "%s, cold, was sent %.1f times what it can do at %s", e.Upstreams[o.Upstream].Name, o.Multiple, at(o.At))
	}
	j.service(arrived)
	total := 0
	for rule, n := range j.counts {
		if rule > 0 {
			j.out.Figures[fmt.Sprintf("rule%d", rule)] = float64(n)
			total += n
		}
	}
	watched := int64(0)
	for _, a := range j.r.DiscoveryCalls {
		if a.To == 0 {
			a.To = j.e.Length
		}
		watched += max(0, min(a.To, j.e.Length)-max(a.At, 0))
	}
	j.out.Figures["asks"] = float64(len(j.r.DiscoveryCalls)) / (float64(j.e.Length) / float64(second))
	j.out.Figures["watches"] = float64(watched) / float64(j.e.Length)
	j.cluster()
	j.out.Figures["breaches"] = float64(total) + j.out.Figures["cluster"]
	j.lag()
	return j.out
}

func at(t int64) string { return fmt.Sprintf("%.3fs", float64(t)/float64(second)) }

func (j *judge) breach(rule int, text string, values ...any) {
	if j.counts[rule]++; j.counts[rule] <= shown {
		j.out.Examples = append(j.out.Examples, fmt.Sprintf("rule %d: ", rule)+fmt.Sprintf(text, values...))
	}
}

// excused reports whether the experiment itself held up a balancer within a span.
func (j *judge) excused(balancer int, from, to int64) bool {
	return slices.ContainsFunc(j.r.Outages, func(o record.Outage) bool {
		return o.Balancer == balancer && o.From <= to && o.To+margin >= from
	})
}

// answers: each transaction taken has one final answer before its hard stop, and nothing goes out after it.
func (j *judge) answers(arrived map[string][]record.Arrival) {
	for _, t := range j.r.Requests {
		if t.Extra {
			j.breach(1, "more than one answer, or another's, for %s at balancer %d", t.ID, t.Balancer+1)
		}
		if t.Sent == 0 || t.Group < 0 {
			continue
		}
		stop := t.Sent + t.Timeout + margin
		if j.excused(t.Balancer, t.Sent, stop) {
			continue
		}
		switch {
		case t.Status == 0 && t.Closed:
			j.breach(1, "%s, sent at %s, had its connection closed without an answer", t.ID, at(t.Sent))
		case t.Status == 0:
			j.breach(1, "%s, sent at %s to balancer %d with %.0f ms left, had no answer by its hard stop", t.ID, at(t.Sent), t.Balancer+1, float64(t.Timeout)/float64(ms))
		case t.Answered > stop:
			j.breach(1, "%s, sent at %s to balancer %d with %.0f ms left, was answered %d %.0f ms after its hard stop", t.ID, at(t.Sent), t.Balancer+1,
				float64(t.Timeout)/float64(ms), t.Status, float64(t.Answered-stop+margin)/float64(ms))
		}
		end := t.Answered
		if end == 0 {
			end = stop
		}
		for _, a := range arrived[t.ID] {
			if a.At > end+margin {
				j.breach(1, "%s was sent to %s at %s, %.0f ms after its answer by balancer %d", t.ID, j.e.Upstreams[a.Upstream].Name, at(a.At), float64(a.At-end)/float64(ms), t.Balancer+1)
			}
		}
	}
}

// effects: none happens twice, and a deferral is harmless to repeat.
func (j *judge) effects(arrived map[string][]record.Arrival) {
	ran := map[uint64]int{} // of once-only roots, over all tries
	for _, t := range j.r.Requests {
		if t.Group < 0 {
			continue
		}
		f := j.e.Tariffs[t.Tariff]
		if f.Idempotency == logic.Idempotent {
			continue
		}
		runs, effects, first := 0, 0, int64(0)
		for _, a := range arrived[t.ID] {
			if a.Executed {
				if runs++; runs == 1 {
					first = a.At
				}
			}
			if a.Effect != 0 && !a.Deduplicated && (effects == 0 || a.At < first+f.DedupWindow) {
				effects++
			}
		}
		switch {
		case f.Idempotency == logic.NonIdempotent && runs > 1:
			j.breach(2, "%s, once-only, may have run %d times", t.ID, runs)
		case f.Idempotency == logic.Keyed && effects > 1:
			j.breach(2, "%s, tagged, took effect %d times", t.ID, effects)
		case (t.Status == 503 || t.Status == 429) && runs > 0 && !(f.Idempotency == logic.Keyed && f.DedupScope == logic.Everywhere):
			j.breach(2, "%s was answered %d, harmless to repeat, and may have run", t.ID, t.Status)
		}
		if f.Idempotency == logic.NonIdempotent && t.Group < len(j.e.Clients) {
			if before := ran[t.Root]; before > 0 && runs > 0 {
				j.breach(2, "%016x, once-only, ran again after its client was told that it may ask again", t.Root)
			}
			ran[t.Root] += runs
		}
	}
}

// drains: new work to an upstream that drains or is gone only within the grace.
func (j *judge) drains() {
	type key struct{ balancer, upstream int }
	told := map[key][]record.DiscoveryUpdate{}
	for _, t := range j.r.DiscoveryUpdates {
		told[key{t.Balancer, t.Upstream}] = append(told[key{t.Balancer, t.Upstream}], t)
	}
	for _, a := range j.r.Arrived {
		i, known := j.ids[a.ID]
		if !known {
			continue
		}
		since := int64(-1) // told that it doesn't serve, and nothing else since
		for _, t := range told[key{j.r.Requests[i].Balancer, a.Upstream}] {
			if t.At > a.At {
				break
			}
			if t.Serving {
				since = -1
			} else if since < 0 {
				since = t.At
			}
		}
		if since >= 0 && a.At > since+grace+margin && !j.excused(j.r.Requests[i].Balancer, since, a.At) {
			j.breach(3, "%s was sent %s %.2f s after it was told to drain", j.e.Upstreams[a.Upstream].Name, a.ID, float64(a.At-since)/float64(second))
		}
	}
}

// ending is how one piece of work ended for its client.
type ending struct {
	due      int64
	clients  int
	status   int
	answered int64
	deferred bool
	lost     bool
}

// service adds up what was earned of what was asked for.
func (j *judge) service(arrived map[string][]record.Arrival) {
	roots := map[uint64]*ending{}
	for _, t := range j.r.Requests {
		if t.Group < 0 || t.Group >= len(j.e.Clients) {
			continue
		}
		x := roots[t.Root]
		if x == nil {
			x = &ending{due: t.Due, clients: t.Group}
			roots[t.Root] = x
		}
		if x.status == 200 {
			continue
		}
		x.status, x.answered = t.Status, t.Answered
		x.deferred, x.lost = t.Status == 503 || t.Status == 429, t.Status == 0
	}
	// What was never sent, because a run was broken off, is asked for all the same.
	for _, c := range j.e.Load() {
		if roots[c.Root] == nil {
			roots[c.Root] = &ending{due: c.Due, clients: c.Clients, lost: true}
		}
	}
	j.out.Seconds = make([]Second, (j.e.Length+second-1)/second)
	took := make([]*hdrhistogram.Histogram, len(j.out.Seconds))
	for i := range took {
		took[i] = hdrhistogram.New(1, int64(longest/1000), 3)
	}
	whole := hdrhistogram.New(1, int64(longest/1000), 3)
	parts := map[string]*part{}
	secs := make([]part, len(j.out.Seconds))
	var settled, deferred, failed, lost, all int
	for _, root := range slices.Sorted(maps.Keys(roots)) {
		x := roots[root]
		n := int(min(x.due/second, int64(len(secs)-1)))
		c := j.e.Clients[x.clients]
		f := j.e.Tariffs[c.Tariff]
		s, earned, status := &j.out.Seconds[n], 0.0, x.status
		s.Asked++
		late := false
		switch {
		case status == 200:
			earned = f.Earnings
			if late = x.answered-x.due > f.ContractTime+margin/10; late {
				earned *= f.LateEarnings
				s.Late++
			}
			s.Settled++
			us := max(1, min((x.answered-x.due)/1000, longest/1000))
			took[n].RecordValue(us)
			if x.due >= j.e.Settle {
				whole.RecordValue(us)
			}
		case x.deferred:
			s.Deferred++
		case x.lost:
			s.Lost++
		default:
			s.Failed++
		}
		secs[n].asked, secs[n].earned = secs[n].asked+f.Earnings, secs[n].earned+earned
		if x.due < j.e.Settle {
			continue
		}
		all++
		switch {
		case status == 200:
			settled++
		case x.deferred:
			deferred++
		case x.lost:
			lost++
		default:
			failed++
		}
		for _, name := range []string{"", ":" + j.e.Pools[c.Pool], ":" + f.Name, ":" + c.Customer} {
			if name == ":" {
				continue
			}
			p := parts[name]
			if p == nil {
				p = &part{}
				parts[name] = p
			}
			p.asked, p.earned = p.asked+f.Earnings, p.earned+earned
		}
	}
	fig := j.out.Figures
	for name, p := range parts {
		fig["service"+name] = p.service()
	}
	of := float64(max(all, 1))
	fig["asked"], fig["settled"], fig["deferred"] = float64(all), float64(settled)/of, float64(deferred)/of
	fig["failed"], fig["lost"] = float64(failed)/of, float64(lost)/of
	for name, q := range map[string]float64{"p50": 50, "p99": 99, "p999": 99.9} {
		fig[name] = float64(whole.ValueAtQuantile(q)) / 1000
	}
	for i := range secs {
		s := &j.out.Seconds[i]
		s.Service = secs[i].service()
		s.P50, s.P95, s.P99 = float64(took[i].ValueAtQuantile(50))/1000, float64(took[i].ValueAtQuantile(95))/1000, float64(took[i].ValueAtQuantile(99))/1000
	}
	j.pushes(arrived)
	j.recovery(secs)
}

// pushes counts what reached upstreams.
func (j *judge) pushes(arrived map[string][]record.Arrival) {
	j.out.Upstream = make([]Upstream, len(j.e.Upstreams))
	for i, u := range j.e.Upstreams {
		j.out.Upstream[i].Name = u.Name
	}
	pushes, first := 0, 0
	for _, all := range arrived {
		for n, a := range all {
			u, s := &j.out.Upstream[a.Upstream], &j.out.Seconds[max(0, min(a.At/second, int64(len(j.out.Seconds)-1)))]
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
		if all[0].At >= j.e.Settle {
			first++
			pushes += len(all)
		}
	}
	j.out.Figures["attempts"] = float64(pushes) / float64(max(first, 1))
}

// recovery is how long after the last fault's end service was back for good, and how low it went over some seconds.
func (j *judge) recovery(secs []part) {
	begin, end := int64(math.MaxInt64), int64(0)
	for _, f := range j.e.Faults {
		begin, end = min(begin, f.At), max(end, f.At+f.For)
	}
	for _, c := range j.e.Clients { // a wave is trouble as well
		for _, s := range c.Steps {
			begin, end = min(begin, s.At), max(end, s.At)
		}
	}
	over := func(from, to int) float64 {
		var p part
		for i := max(0, from); i < min(to, len(secs)); i++ {
			p.asked, p.earned = p.asked+secs[i].asked, p.earned+secs[i].earned
		}
		return p.service()
	}
	worst, settle := 1.0, int(j.e.Settle/second)
	for i := settle; i+spans <= len(secs); i++ {
		worst = min(worst, over(i, i+spans))
	}
	j.out.Figures["worst"] = worst
	if end == 0 || end >= j.e.Length {
		return
	}
	usual := over(settle, int(begin/second))
	j.out.Figures["recover"] = float64(j.e.Length-end) / float64(second)
	for i := int(end / second); i < len(secs); i++ {
		if over(i, i+spans) >= back*usual {
			j.out.Figures["recover"] = max(0, float64(int64(i)*second-end)/float64(second))
			return
		}
	}
}

// lag sees whether the lab kept its own time.
func (j *judge) lag() {
	j.out.Broken = j.r.AbortReason
	if len(j.r.Lag) == 0 {
		return
	}
	all := slices.Sorted(slices.Values(j.r.Lag))
	late := all[len(all)*99/100]
	j.out.Lag99 = float64(late) / float64(ms)
	if late > tooLate {
		j.out.Void = fmt.Sprintf("the lab itself was %.1f ms late, 99 in 100 (%d at most): its machine is too small or busy for this", j.out.Lag99, tooLate/ms)
	}
}

// Holds says whether a condition holds, over the results of all variants.
func Holds(c spec.Condition, all map[string]*Result) (ok bool, left, right float64) {
	value := func(f spec.Figure) float64 {
		if f.Variant == "" {
			return f.Number
		}
		if r := all[f.Variant]; r != nil {
			if v, some := r.Figures[f.Name]; some {
				return v
			}
		}
		return math.NaN()
	}
	left, right = value(c.Left), value(c.Right)+c.Plus
	switch c.Op {
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
