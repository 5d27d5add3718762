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

// clusterRules are the rules that balancers must keep together as a cluster.
var clusterRules = []struct {
	name  string
	check func(*clusterChecker)
}{
	{"views", (*clusterChecker).checkViews},
	{"deaths", (*clusterChecker).checkDeaths},
	{"owners", (*clusterChecker).checkOwners},
	{"ledger", (*clusterChecker).checkLedger},
}

// observationSlack is how long the lab takes to observe a change: two sampling intervals and the answer.
const observationSlack = 300 * ms

// clusterChecker compares what members reported with what the lab did to them.
type clusterChecker struct {
	evaluator                            *evaluator
	experiment                           *spec.Experiment
	run                                  *record.Run
	deathBound, convergenceBound         int64 // stated bounds, with observationSlack
	slowestDetection, slowestConvergence int64
	longestWithoutOwner                  int64
	breaches                             int
}

// checkCluster checks the cluster rules.
func (ev *evaluator) checkCluster() {
	if ev.experiment.Cluster == nil || len(ev.run.Processes) == 0 {
		return
	}
	balancers := ev.experiment.Balancers
	settings := ev.experiment.Cluster.Settings
	checker := &clusterChecker{evaluator: ev, experiment: ev.experiment, run: ev.run,
		deathBound:       int64(settings.DeathBound(balancers)) + observationSlack,
		convergenceBound: int64(settings.ConvergenceBound(balancers)) + observationSlack}
	slices.SortStableFunc(ev.run.Views, func(a, b record.View) int { return int(max(-1, min(1, a.At-b.At))) })
	for _, rule := range clusterRules {
		before := checker.breaches
		rule.check(checker)
		ev.result.Figures["cluster_"+rule.name] = float64(checker.breaches - before)
	}
	figures := ev.result.Figures
	figures["cluster"] = float64(checker.breaches)
	figures["death_seen"], figures["death_bound"] = float64(checker.slowestDetection)/float64(second),
		float64(checker.deathBound)/float64(second)
	if ev.experiment.Cluster.Voters > 0 {
		figures["no_owner"], figures["no_owner_bound"] = float64(checker.longestWithoutOwner)/float64(second),
			float64(int64(settings.NoOwnerBound(balancers))+observationSlack)/float64(second)
		figures["refused"] = float64(ev.run.Refused)
	}
	figures["views_back"], figures["views_bound"] = float64(checker.slowestConvergence)/float64(second),
		float64(checker.convergenceBound)/float64(second)
}

func (cc *clusterChecker) recordBreach(rule, text string, values ...any) {
	cc.breaches++
	if cc.breaches <= maxExamples {
		cc.evaluator.result.Examples = append(cc.evaluator.result.Examples, "cluster, "+rule+": "+fmt.Sprintf(text, values...))
	}
}

func (cc *clusterChecker) runName(p int) string {
	x := cc.run.Processes[p]
	if len(x.IDs) == 0 {
		return spec.MemberName(x.Member)
	}
	return x.IDs[len(x.IDs)-1].ID
}

func overlaps(s record.Span, from, to int64) bool { return s.From <= to && (s.To == 0 || s.To >= from) }

// stopped reports whether a process was stopped within a span.
func (cc *clusterChecker) stopped(p int, from, to int64) bool {
	return slices.ContainsFunc(cc.run.Processes[p].Stops, func(s record.Span) bool { return overlaps(s, from, to) })
}

// lastDisturbance returns when the last disturbance before a time ended, and whether one is still in progress.
func (cc *clusterChecker) lastDisturbance(at int64) (last int64, still bool) {
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
	for _, l := range cc.run.LinkFaults {
		note(l.Span)
	}
	for _, p := range cc.run.Processes {
		for _, s := range p.Stops {
			note(s)
		}
		note(record.Span{From: p.From, To: max(p.From, 1)})
		if p.To != 0 {
			note(record.Span{From: p.To, To: p.To})
		}
		for _, l := range p.IDs { // the process continues under a new incarnation
			note(record.Span{From: max(1, l.At), To: max(1, l.At)})
		}
	}
	for _, a := range cc.run.Actions { // a reset has no duration
		if strings.HasPrefix(a.What, "reset") {
			note(record.Span{From: a.At, To: a.At})
		}
	}
	return last, still
}

// expectedAlive returns the runs that views should show as alive at a time: the newest of each running member.
// It returns false if the ID of one of them is unknown.
func (cc *clusterChecker) expectedAlive(at int64) (runs []string, known bool) {
	for i, p := range cc.run.Processes {
		if p.From > at || p.To != 0 && p.To <= at || cc.superseded(i, at) {
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

// superseded reports whether a newer run of the same member had started by a time.
func (cc *clusterChecker) superseded(i int, at int64) bool {
	p := cc.run.Processes[i]
	for k, q := range cc.run.Processes {
		if k != i && q.Member == p.Member && q.From <= at && (q.From > p.From || q.From == p.From && k > i) {
			return true
		}
	}
	return false
}

// checkViews checks that, from the stated bound after the last disturbance on, every view shows exactly the running members
// and a superseded run knows that it is superseded.
func (cc *clusterChecker) checkViews() {
	lastWrongView := map[int64]int64{} // by the end of the disturbance: how long after it a wrong view was last seen
	for _, view := range cc.run.Views {
		last, still := cc.lastDisturbance(view.At)
		process := cc.run.Processes[view.Process]
		if still || process.To != 0 && view.At >= process.To {
			continue
		}
		want, known := cc.expectedAlive(view.At)
		if !known {
			continue
		}
		old := cc.superseded(view.Process, view.At)
		ok := view.Superseded == old && (old || slices.Equal(view.Alive, want))
		if ok {
			continue
		}
		lastWrongView[last] = max(lastWrongView[last], view.At-last)
		if view.At-last > cc.convergenceBound {
			what := fmt.Sprintf("it shows %s as alive, but %s are running", formatRuns(view.Alive), formatRuns(want))
			if view.Superseded != old {
				what = "it does not know that a newer run supersedes it"
				if view.Superseded {
					what = "it reports being superseded, but is the newest run of its member"
				}
			}
			cc.recordBreach("views", "view of %s at %s, %.1f s after the last disturbance (limit %.1f s): %s",
				cc.runName(view.Process), formatTime(view.At),
				float64(view.At-last)/float64(second), float64(cc.convergenceBound)/float64(second), what)
		}
	}
	for _, t := range lastWrongView {
		cc.slowestConvergence = max(cc.slowestConvergence, t)
	}
}

func formatRuns(runs []string) string {
	var all []string
	for _, r := range runs {
		id, _ := member.ParseID(r)
		all = append(all, fmt.Sprintf("%s/%d", id.Name, id.Epoch))
	}
	return "[" + strings.Join(all, " ") + "]"
}

// checkDeaths checks that no view shows a killed process as alive for longer than the stated bound while all links work.
func (cc *clusterChecker) checkDeaths() {
	for _, process := range cc.run.Processes {
		id := process.ID(process.To)
		if process.To == 0 || id == "" {
			continue
		}
		reported := false
		for _, view := range cc.run.Views {
			if view.At < process.To || !slices.Contains(view.Alive, id) || view.Superseded {
				continue
			}
			observer := cc.run.Processes[view.Process]
			if observer.ID(view.At) == id || cc.anyLinkFaulty(process.To, view.At) ||
				cc.stopped(view.Process, process.To, view.At) || observer.To != 0 && view.At > observer.To ||
				observer.From > process.To {
				continue
			}
			cc.slowestDetection = max(cc.slowestDetection, view.At-process.To)
			if view.At-process.To > cc.deathBound && !reported {
				reported = true
				cc.recordBreach("deaths", "view of %s shows %s as alive %.1f s after its death (limit %.1f s)",
					cc.runName(view.Process), id, float64(view.At-process.To)/float64(second),
					float64(cc.deathBound)/float64(second))
			}
		}
	}
}

// anyLinkFaulty reports whether any link had a fault at some point of a time span.
func (cc *clusterChecker) anyLinkFaulty(from, to int64) bool {
	return slices.ContainsFunc(cc.run.LinkFaults, func(t record.LinkFault) bool { return overlaps(t.Span, from, to) })
}

// checkOwners checks that no process still claims to act on a duty under a fencing token once another process claims it under
// a higher one, and that a duty has an owner within the stated bound while a majority of voters runs and is connected.
func (cc *clusterChecker) checkOwners() {
	type claimed struct {
		token   uint64
		process int
		at      int64
	}
	highest, lastClaim := map[string]claimed{}, map[string]int64{}
	reported := map[string]bool{}
	claims := slices.Clone(cc.run.Claims)
	slices.SortStableFunc(claims, func(a, b record.Claim) int { return cmp.Compare(a.At, b.At) })
	for _, claim := range claims {
		highestClaim := highest[claim.Duty]
		switch {
		case claim.Token > highestClaim.token:
			highest[claim.Duty] = claimed{claim.Token, claim.Process, claim.At}
		case claim.Token < highestClaim.token && claim.At > highestClaim.at+observationSlack/3 &&
			!reported[fmt.Sprint(claim.Duty, claim.Process, claim.Token)]:
			reported[fmt.Sprint(claim.Duty, claim.Process, claim.Token)] = true
			cc.recordBreach("owners", "%s may act on %s under token %d at %s, but %s has claimed it under token %d since %s",
				cc.runName(claim.Process), claim.Duty, claim.Token, formatTime(claim.At), cc.runName(highestClaim.process),
				highestClaim.token, formatTime(highestClaim.at))
		}
		if before, some := lastClaim[claim.Duty]; some {
			before = max(before, cc.lastWithoutMajority(before, claim.At))
			cc.longestWithoutOwner = max(cc.longestWithoutOwner, claim.At-before)
			if limit := int64(cc.experiment.Cluster.Settings.NoOwnerBound(cc.experiment.Balancers)) + observationSlack; claim.At-before > limit {
				cc.recordBreach("owners", "duty %s had no owner from %s to %s (limit %.1f s)", claim.Duty,
					formatTime(before), formatTime(claim.At), float64(limit)/float64(second))
			}
		}
		lastClaim[claim.Duty] = claim.At
	}
}
