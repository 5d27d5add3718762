package fleet

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Options are what to count.
type Options struct {
	Step     time.Duration // what a row of Rows stands for
	From, To time.Duration // since the first line; To 0 for the end
}

// Row is one step of time over all balancers.
type Row struct {
	AtSeconds     float64            `json:"at_s"`    // since the first line
	Alive         int                `json:"alive"`   // balancers between their first line and their last
	OutdatedLists int                `json:"behind"`  // balancers whose list is older than the newest told in their tier
	Ejected       int                `json:"aside"`   // pairs of a balancer and an upstream that it has set aside
	Events        map[string]int     `json:"events"`  // by kind
	Balancers     map[string]int     `json:"nodes"`   // balancers of which these were, by kind
	Losses        map[string]float64 `json:"losses"`  // of this step
	Figures       map[string]float64 `json:"figures"` // of tallies, spread evenly over the time that they cover
}

// Peak is the step in which the most balancers did the same.
type Peak struct {
	Kind      string  `json:"kind"`
	AtSeconds float64 `json:"at_s"`
	Balancers int     `json:"balancers"`
	Alive     int     `json:"alive"`
	Events    int     `json:"events"` // of this kind, ever
}

// Ejections is how long the fleet held something of an upstream.
type Ejections struct {
	Upstream        string         `json:"upstream"`
	Balancers       int            `json:"balancers"` // that set it aside
	MaxAtOnce       int            `json:"most_at_once"`
	MaxAtSeconds    float64        `json:"most_at_s"`
	BalancerSeconds float64        `json:"balancer_seconds"`
	LongestSeconds  float64        `json:"longest_s"`
	Count           int            `json:"times"`
	Reasons         map[string]int `json:"why"`
	ReinstatedCold  int            `json:"back_as_cold"`
	NotReinstated   int            `json:"not_back"`
}

// ListVersion is one version of the list in one tier.
type ListVersion struct {
	Tier          string  `json:"tier"`
	Index         int64   `json:"index"`
	FirstSeconds  float64 `json:"first_at_s"`
	MedianDelay   float64 `json:"half_after_s"`
	MaxDelay      float64 `json:"last_after_s"`
	Balancers     int     `json:"balancers"`
	NeverReceived int     `json:"never"` // balancers that were alive then and went on without it or a later one
}

// Process is one process.
type Process struct {
	File            string             `json:"file"`
	Name            string             `json:"name"`
	Tier            string             `json:"tier"`
	Arrived         float64            `json:"arrived"`
	Lost            float64            `json:"lost"` // deferred and forfeited by the module, and deferred before it
	Reasons         map[string]float64 `json:"reasons"`
	ListRegressions int                `json:"list_went_back"`
}

// Summary is what a fleet did together.
type Summary struct {
	Start         time.Time          `json:"start"`
	LengthSeconds float64            `json:"length_s"`
	StepSeconds   float64            `json:"every_s"`
	Balancers     int                `json:"balancers"`
	Lines         int                `json:"lines"`
	UnreadLines   int                `json:"unread_lines"`
	LibraryLines  int                `json:"library_lines"` // "Unsolicited response", by http.Transport itself
	ParseErrors   []ParseError       `json:"faults"`
	Losses        map[string]float64 `json:"losses"`
	Figures       map[string]float64 `json:"figures"`
	Events        map[string]int     `json:"events"`
	Rows          []*Row             `json:"rows"`
	Peaks         []Peak             `json:"herds"`
	Ejections     []*Ejections       `json:"upstreams"`
	Versions      []*ListVersion     `json:"versions"`
	Processes     []*Process         `json:"members"`
	ListDelays    []float64          `json:"list_late_s"` // of upstreams that the list told as new, sorted
}

// interval is one time that one balancer had an upstream set aside.
type interval struct {
	from, to int64
}

const maxRows = 20_000

// Summarize counts. Steps are made longer where there would be too many of them.
func (l *Logs) Summarize(options Options) (*Summary, error) {
	first, last := int64(math.MaxInt64), int64(0)
	for _, n := range l.processes {
		if n.lines > 0 {
			first, last = min(first, n.first), max(last, n.last)
		}
	}
	first -= first % int64(time.Second)
	from, to := first+int64(options.From), last
	if options.To > 0 {
		to = min(to, first+int64(options.To))
	}
	if from > to {
		return nil, fmt.Errorf("nothing was logged after %v: the logs cover %v", options.From, time.Duration(last-first).Round(time.Second))
	}
	step := int64(max(options.Step, time.Second))
	for (to-from)/step >= maxRows {
		step *= 2
	}
	summary := &Summary{
		Start: time.Unix(0, from).UTC(), LengthSeconds: float64(to-from) / 1e9, StepSeconds: float64(step) / 1e9, Losses: map[string]float64{},
		Figures: map[string]float64{}, Events: map[string]int{},
	}
	for n := range (to-from)/step + 1 {
		summary.Rows = append(summary.Rows, &Row{
			AtSeconds: float64(n*step) / 1e9, Events: map[string]int{}, Balancers: map[string]int{}, Losses: map[string]float64{}, Figures: map[string]float64{},
		})
	}
	builder := &summaryBuilder{Summary: summary, from: from, to: to, step: step, ejections: map[string]*Ejections{}, intervals: map[string][]interval{}}
	for _, n := range l.processes {
		builder.addProcess(n)
	}
	builder.findPeaks()
	builder.addEjections()
	builder.addListVersions(l.processes)
	slices.Sort(summary.ListDelays)
	slices.SortStableFunc(summary.Processes, func(a, b *Process) int { return cmp.Compare(b.Lost, a.Lost) })
	return summary, nil
}

type summaryBuilder struct {
	*Summary
	from, to, step int64
	ejections      map[string]*Ejections
	intervals      map[string][]interval
}

func (b *summaryBuilder) seconds(t int64) float64 { return float64(t-b.from) / 1e9 }
func (b *summaryBuilder) within(t int64) bool     { return t >= b.from && t <= b.to }
func (b *summaryBuilder) row(t int64) int {
	return int(min(max(t-b.from, 0)/b.step, int64(len(b.Rows)-1)))
}

// addProcess counts what one process tells.
func (b *summaryBuilder) addProcess(log *processLog) {
	b.Balancers, b.Lines, b.UnreadLines, b.LibraryLines = b.Balancers+1, b.Lines+log.lines, b.UnreadLines+log.unreadLines, b.LibraryLines+log.libraryLines
	b.ParseErrors = append(b.ParseErrors, log.parseErrors...)
	process := &Process{File: log.file, Name: log.name, Tier: log.tier, Reasons: map[string]float64{}}
	b.Processes = append(b.Processes, process)
	if log.lines == 0 || log.first > b.to || log.last < b.from {
		return
	}
	for row := b.row(log.first); row <= b.row(log.last); row++ {
		b.Rows[row].Alive++
	}
	lastRow := map[string]int{} // kind: 1 + the row in which it was counted last
	ejectedAt := map[string]int64{}
	reasons := map[string]string{}
	index := int64(math.MinInt64)
	for _, event := range log.events {
		switch event.kind {
		case "aside":
			if _, ejected := ejectedAt[event.upstream]; !ejected {
				ejectedAt[event.upstream], reasons[event.upstream] = event.at, event.why
			}
		case "back":
			if since, ejected := ejectedAt[event.upstream]; ejected {
				b.addEjection(event.upstream, reasons[event.upstream], since, event.at, true, event.why == "cold")
				delete(ejectedAt, event.upstream)
			}
		case "list_told":
			if event.index < index {
				process.ListRegressions++
			}
			index = event.index
		case "list_changed":
			if event.value > 0 && b.within(event.at) {
				b.ListDelays = append(b.ListDelays, event.value)
			}
		}
		if !b.within(event.at) {
			continue
		}
		row := b.row(event.at)
		b.Events[event.kind]++
		b.Rows[row].Events[event.kind]++
		if lastRow[event.kind] != row+1 {
			lastRow[event.kind] = row + 1
			b.Rows[row].Balancers[event.kind]++
		}
	}
	for upstream, since := range ejectedAt { // what leaves the list never comes back
		b.addEjection(upstream, reasons[upstream], since, log.last, false, false)
	}
	for _, sample := range log.losses {
		if !b.within(sample.at) {
			continue
		}
		b.Rows[b.row(sample.at-1)].Losses[sample.name] += sample.value
		b.Losses[sample.name] += sample.value
		if strings.HasPrefix(sample.name, "deferred_") || strings.HasPrefix(sample.name, "forfeited_") || sample.name == "at_edge" {
			process.Lost += sample.value
			process.Reasons[sample.name] += sample.value
		}
	}
	for _, sample := range log.tallies {
		b.distribute(sample)
		if sample.name == "arrived" && b.within(sample.at) {
			process.Arrived += sample.value
		}
	}
}

// distribute deals a figure of a tally out over the time that it covers.
func (b *summaryBuilder) distribute(s sample) {
	since, span := s.since, float64(max(s.at-s.since, 1))
	for since < s.at {
		until := min(s.at, since+b.step-max(since-b.from, 0)%b.step)
		if since < b.from {
			until = min(s.at, b.from)
		} else if since <= b.to {
			part := s.value * float64(until-since) / span
			b.Rows[b.row(since)].Figures[s.name] += part
			b.Figures[s.name] += part
		}
		since = until
	}
}

// addEjection counts one time that a balancer had an upstream set aside.
func (b *summaryBuilder) addEjection(upstream, reason string, from, to int64, reinstated, cold bool) {
	if to < b.from || from > b.to {
		return
	}
	ejections := b.ejections[upstream]
	if ejections == nil {
		ejections = &Ejections{Upstream: upstream, Reasons: map[string]int{}}
		b.ejections[upstream] = ejections
	}
	ejections.Count++
	ejections.Reasons[reason]++
	if cold {
		ejections.ReinstatedCold++
	}
	if !reinstated {
		ejections.NotReinstated++
	}
	ejections.BalancerSeconds += float64(to-from) / 1e9
	ejections.LongestSeconds = max(ejections.LongestSeconds, float64(to-from)/1e9)
	b.intervals[upstream] = append(b.intervals[upstream], interval{from, to})
	for k := b.row(from); k <= b.row(to); k++ {
		b.Rows[k].Ejected++
	}
}

// findPeaks finds for each kind the step in which the most did it.
func (b *summaryBuilder) findPeaks() {
	for _, kind := range sortedKeys(b.Events) {
		peak := Peak{Kind: kind, Events: b.Events[kind]}
		for _, r := range b.Rows {
			if r.Balancers[kind] > peak.Balancers {
				peak.AtSeconds, peak.Balancers, peak.Alive = r.AtSeconds, r.Balancers[kind], r.Alive
			}
		}
		b.Peaks = append(b.Peaks, peak)
	}
}

// addEjections finds how many balancers had each set aside at once.
func (b *summaryBuilder) addEjections() {
	for _, name := range sortedKeys(b.ejections) {
		ejections := b.ejections[name]
		type edge struct {
			at   int64
			step int
		}
		var edges []edge
		for _, s := range b.intervals[name] {
			edges = append(edges, edge{s.from, 1}, edge{s.to, -1})
		}
		slices.SortFunc(edges, func(a, ejections edge) int { return cmp.Or(cmp.Compare(a.at, ejections.at), ejections.step-a.step) })
		open := 0
		for _, e := range edges {
			if open += e.step; open > ejections.MaxAtOnce {
				ejections.MaxAtOnce, ejections.MaxAtSeconds = open, b.seconds(e.at)
			}
		}
		b.Ejections = append(b.Ejections, ejections)
	}
	slices.SortStableFunc(b.Ejections, func(a, ejections *Ejections) int { return cmp.Compare(ejections.BalancerSeconds, a.BalancerSeconds) })
}

// addListVersions follows how each version of a tier's list spread. Danger: discovery may start its versions anew, so what is
// lower than what a balancer had is told as gone back, and nobody is held to be behind a version that came later and
// is lower.
func (b *summaryBuilder) addListVersions(logs []*processLog) {
	type update struct {
		at    int64
		index int64
	}
	type key struct {
		tier  string
		index int64
	}
	var all []*ListVersion
	first := map[key]int64{}
	for _, log := range logs {
		for _, e := range log.events {
			if k := (key{log.tier, e.index}); e.kind == "list_told" {
				if at, known := first[k]; !known || e.at < at {
					first[k] = e.at
				}
			}
		}
	}
	for _, log := range logs {
		var updates []update
		for _, e := range log.events {
			if e.kind == "list_told" {
				updates = append(updates, update{e.at, e.index})
			}
		}
		if len(updates) == 0 {
			continue
		}
		for k := range b.Rows {
			end := b.from + int64(k+1)*b.step
			if end <= updates[0].at || end-b.step > log.last {
				continue
			}
			current := updates[0].index
			for _, t := range updates {
				if t.at < end {
					current = t.index
				}
			}
			for v, at := range first {
				if v.tier == log.tier && v.index > current && at > first[key{log.tier, current}] && at+int64(time.Second) < end { // a second for the way
					b.Rows[k].OutdatedLists++
					break
				}
			}
		}
	}
	for v, at := range first {
		if !b.within(at) {
			continue
		}
		version := &ListVersion{Tier: v.tier, Index: v.index, FirstSeconds: b.seconds(at)}
		var delays []float64
		for _, log := range logs {
			if log.tier != v.tier || log.first > at || log.last <= at {
				continue
			}
			delay, followsList := math.Inf(1), false
			for _, e := range log.events {
				if e.kind == "list_told" {
					if followsList = true; e.index >= v.index && e.at >= at {
						delay = math.Min(delay, float64(e.at-at)/1e9)
					}
				}
			}
			switch {
			case !math.IsInf(delay, 1):
				delays = append(delays, delay)
			case followsList:
				version.NeverReceived++
			}
		}
		if version.Balancers = len(delays); version.Balancers > 0 {
			slices.Sort(delays)
			version.MedianDelay, version.MaxDelay = delays[len(delays)/2], delays[len(delays)-1]
		}
		all = append(all, version)
	}
	slices.SortFunc(all, func(a, b *ListVersion) int {
		return cmp.Or(cmp.Compare(a.FirstSeconds, b.FirstSeconds), cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Index, b.Index))
	})
	b.Versions = all
}

func sortedKeys[V any](of map[string]V) (all []string) {
	for name := range of {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}
