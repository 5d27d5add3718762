package judge

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"ottershift/internal/cluster/member"
	"ottershift/internal/lab/record"
	"ottershift/internal/lab/spec"
)

// clusterRules are what must hold of the balancers as one fleet; each piece of it adds its own.
var clusterRules = []struct {
	name string
	look func(*fleet)
}{
	{"views", (*fleet).views},
	{"deaths", (*fleet).deaths},
	{"owners", (*fleet).owners},
	{"ledger", (*fleet).ledger},
}

// slack is what the lab itself takes to see a change: two samples and the answer.
const slack = 300 * ms

// fleet is what was seen of members, held against what the lab did.
type fleet struct {
	j              *judge
	e              *spec.Experiment
	r              *record.Run
	death, back    int64 // bounds
	worst, slowest int64
	without        int64
	count          int
}

// cluster judges the fleet's own rules.
func (j *judge) cluster() {
	if j.e.Cluster == nil || len(j.r.Processes) == 0 {
		return
	}
	n := j.e.Balancers
	s := j.e.Cluster.Settings
	f := &fleet{j: j, e: j.e, r: j.r, death: int64(s.DeathBound(n)) + slack, back: int64(s.ConvergenceBound(n)) + slack}
	slices.SortStableFunc(j.r.Views, func(a, b record.View) int { return int(max(-1, min(1, a.At-b.At))) })
	for _, rule := range clusterRules {
		before := f.count
		rule.look(f)
		j.out.Figures["cluster_"+rule.name] = float64(f.count - before)
	}
	fig := j.out.Figures
	fig["cluster"] = float64(f.count)
	fig["death_seen"], fig["death_bound"] = float64(f.worst)/float64(second), float64(f.death)/float64(second)
	if j.e.Cluster.Voters > 0 {
		fig["no_owner"], fig["no_owner_bound"] = float64(f.without)/float64(second), float64(int64(s.NoOwnerBound(n))+slack)/float64(second)
		fig["refused"] = float64(j.r.Refused)
	}
	fig["views_back"], fig["views_bound"] = float64(f.slowest)/float64(second), float64(f.back)/float64(second)
}

func (f *fleet) breach(rule, text string, values ...any) {
	f.count++
	if f.count <= shown {
		f.j.out.Examples = append(f.j.out.Examples, "cluster, "+rule+": "+fmt.Sprintf(text, values...))
	}
}

func (f *fleet) who(p int) string {
	x := f.r.Processes[p]
	if len(x.IDs) == 0 {
		return spec.Name(x.Member)
	}
	return x.IDs[len(x.IDs)-1].ID
}

func overlaps(s record.Span, from, to int64) bool { return s.From <= to && (s.To == 0 || s.To >= from) }

// stopped reports whether a process was stopped within a span.
func (f *fleet) stopped(p int, from, to int64) bool {
	return slices.ContainsFunc(f.r.Processes[p].Stops, func(s record.Span) bool { return overlaps(s, from, to) })
}

// disturbed is the end of the last thing that was wrong before a time, and whether anything still is.
func (f *fleet) disturbed(at int64) (last int64, still bool) {
	note := func(s record.Span) {
		if s.From > at {
			return
		}
		if s.To == 0 || s.To > at {
			still = true
			return
		}
		last = max(last, s.To)
	}
	for _, l := range f.r.LinkFaults {
		note(l.Span)
	}
	for _, p := range f.r.Processes {
		for _, s := range p.Stops {
			note(s)
		}
		note(record.Span{From: p.From, To: max(p.From, 1)})
		if p.To != 0 {
			note(record.Span{From: p.To, To: p.To})
		}
		for _, l := range p.IDs { // it goes on as another run
			note(record.Span{From: max(1, l.At), To: max(1, l.At)})
		}
	}
	for _, a := range f.r.Actions { // a reset is over at once
		if strings.HasPrefix(a.What, "reset") {
			note(record.Span{From: a.At, To: a.At})
		}
	}
	return last, still
}

// truth is which processes should be held alive at a time: the newest of each member that runs.
func (f *fleet) truth(at int64) (runs []string, known bool) {
	for i, p := range f.r.Processes {
		if p.From > at || p.To != 0 && p.To <= at || f.superseded(i, at) {
			continue
		}
		if len(p.IDs) == 0 {
			return nil, false
		}
		runs = append(runs, p.ID(at))
	}
	slices.Sort(runs)
	return runs, true
}

// superseded reports whether a newer run of the same member has begun by then.
func (f *fleet) superseded(i int, at int64) bool {
	p := f.r.Processes[i]
	for k, q := range f.r.Processes {
		if k != i && q.Member == p.Member && q.From <= at && (q.From > p.From || q.From == p.From && k > i) {
			return true
		}
	}
	return false
}

// views: after all is well again for the stated time, every view is the truth, and an old run knows that it is over.
func (f *fleet) views() {
	wrong := map[int64]int64{} // by the end of what was wrong: when the last wrong view of it was seen
	for _, v := range f.r.Views {
		last, still := f.disturbed(v.At)
		p := f.r.Processes[v.Process]
		if still || p.To != 0 && v.At >= p.To {
			continue
		}
		want, known := f.truth(v.At)
		if !known {
			continue
		}
		old := f.superseded(v.Process, v.At)
		ok := v.Superseded == old && (old || slices.Equal(v.Alive, want))
		if ok {
			continue
		}
		wrong[last] = max(wrong[last], v.At-last)
		if v.At-last > f.back {
			what := fmt.Sprintf("holds %s alive, and there are %s", short(v.Alive), short(want))
			if v.Superseded != old {
				what = "goes on, though a newer run of its name is there"
				if v.Superseded {
					what = "says that it is over, and is the newest of its name"
				}
			}
			f.breach("views", "%s at %s, %.1f s after all was well again (%.1f at most): %s", f.who(v.Process), at(v.At),
				float64(v.At-last)/float64(second), float64(f.back)/float64(second), what)
		}
	}
	for _, t := range wrong {
		f.slowest = max(f.slowest, t)
	}
}

func short(runs []string) string {
	var all []string
	for _, r := range runs {
		id, _ := member.ParseID(r)
		all = append(all, fmt.Sprintf("%s/%d", id.Name, id.Epoch))
	}
	return "[" + strings.Join(all, " ") + "]"
}

// deaths: a process that was killed is held alive by nobody for longer than the stated time, where links are well.
func (f *fleet) deaths() {
	for _, p := range f.r.Processes {
		id := p.ID(p.To)
		if p.To == 0 || id == "" {
			continue
		}
		told := false
		for _, v := range f.r.Views {
			if v.At < p.To || !slices.Contains(v.Alive, id) || v.Superseded {
				continue
			}
			q := f.r.Processes[v.Process]
			if q.ID(v.At) == id || f.troubled(p.To, v.At) || f.stopped(v.Process, p.To, v.At) || q.To != 0 && v.At > q.To || q.From > p.To {
				continue
			}
			f.worst = max(f.worst, v.At-p.To)
			if v.At-p.To > f.death && !told {
				told = true
				f.breach("deaths", "%s holds %s alive %.1f s after its death (%.1f at most)", f.who(v.Process), id, float64(v.At-p.To)/float64(second),
					float64(f.death)/float64(second))
			}
		}
	}
}

// troubled reports whether any link was unwell within a span.
func (f *fleet) troubled(from, to int64) bool {
	return slices.ContainsFunc(f.r.LinkFaults, func(t record.LinkFault) bool { return overlaps(t.Span, from, to) })
}

// owners: nobody would act on a duty under a token once another would under a higher one; and there is an owner within the
// stated time while a majority of keepers runs and is reached.
func (f *fleet) owners() {
	type claimed struct {
		token   uint64
		process int
		at      int64
	}
	highest, last := map[string]claimed{}, map[string]int64{}
	told := map[string]bool{}
	claims := slices.Clone(f.r.Claims)
	slices.SortStableFunc(claims, func(a, b record.Claim) int { return cmp.Compare(a.At, b.At) })
	for _, c := range claims {
		h := highest[c.Duty]
		switch {
		case c.Token > h.token:
			highest[c.Duty] = claimed{c.Token, c.Process, c.At}
		case c.Token < h.token && c.At > h.at+slack/3 && !told[fmt.Sprint(c.Duty, c.Process, c.Token)]:
			told[fmt.Sprint(c.Duty, c.Process, c.Token)] = true
			f.breach("owners", "%s would act on %s by token %d at %s, and %s by token %d since %s", f.who(c.Process), c.Duty, c.Token, at(c.At), f.who(h.process),
				h.token, at(h.at))
		}
		if before, some := last[c.Duty]; some {
			before = max(before, f.apart(before, c.At))
			f.without = max(f.without, c.At-before)
			if limit := int64(f.e.Cluster.Settings.NoOwnerBound(f.e.Balancers)) + slack; c.At-before > limit {
				f.breach("owners", "%s had no owner from %s to %s (%.1f s at most)", c.Duty, at(before), at(c.At), float64(limit)/float64(second))
			}
		}
		last[c.Duty] = c.At
	}
}
