package fleet

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Options selects what Summarize covers.
type Options struct {
	Step     time.Duration // length of a row, at least one second
	From, To time.Duration // since the first line; a To of 0 is the end of the logs
}

// Row summarizes one step of time over all balancers.
type Row struct {
	AtSeconds     float64            `json:"at_s"`    // since Summary.Start
	Alive         int                `json:"alive"`   // balancers between their first and last line
	OutdatedLists int                `json:"behind"`  // balancers with a list older than the newest in their tier
	Ejected       int                `json:"aside"`   // pairs of a balancer and an upstream that it has ejected
	Events        map[string]int     `json:"events"`  // number of events by kind
	Balancers     map[string]int     `json:"nodes"`   // number of balancers with an event of that kind
	Losses        map[string]float64 `json:"losses"`  // from the log lines of each second
	Figures       map[string]float64 `json:"figures"` // from tallies, distributed evenly over the time that they cover
}

// Peak is the step in which the most balancers had an event of one kind.
type Peak struct {
	Kind      string  `json:"kind"`
	AtSeconds float64 `json:"at_s"`
	Balancers int     `json:"balancers"`
	Alive     int     `json:"alive"`
	Events    int     `json:"events"` // of this kind over the whole time
}

// Ejections summarizes the ejections of one upstream by all balancers.
type Ejections struct {
	Upstream        string         `json:"upstream"`
	Balancers       int            `json:"balancers"` // balancers that ejected it
	MaxAtOnce       int            `json:"most_at_once"`
	MaxAtSeconds    float64        `json:"most_at_s"`
	BalancerSeconds float64        `json:"balancer_seconds"`
	LongestSeconds  float64        `json:"longest_s"`
	Count           int            `json:"times"`
	Reasons         map[string]int `json:"why"`
	ReinstatedCold  int            `json:"back_as_cold"`
	NotReinstated   int            `json:"not_back"`
}

// ListVersion describes how one version of the list spread over the balancers of a tier. Delays are in seconds.
type ListVersion struct {
	Tier          string  `json:"tier"`
	Index         int64   `json:"index"`
	FirstSeconds  float64 `json:"first_at_s"`
	MedianDelay   float64 `json:"half_after_s"`
	MaxDelay      float64 `json:"last_after_s"`
	Balancers     int     `json:"balancers"`
	NeverReceived int     `json:"never"` // running balancers that received neither this version nor a later one
}

// Process summarizes the log of one process.
type Process struct {
	File            string             `json:"file"`
	Name            string             `json:"name"`
	Tier            string             `json:"tier"`
	Arrived         float64            `json:"arrived"`
	Lost            float64            `json:"lost"` // deferred or forfeited by the decision engine, or deferred before it
	Reasons         map[string]float64 `json:"reasons"`
	ListRegressions int                `json:"list_went_back"`
}

// Summary summarizes the logs of a fleet.
type Summary struct {
	Start         time.Time          `json:"start"`
	LengthSeconds float64            `json:"length_s"`
	StepSeconds   float64            `json:"every_s"`
	Balancers     int                `json:"balancers"`
	Lines         int                `json:"lines"`
	UnreadLines   int                `json:"unread_lines"`
	LibraryLines  int                `json:"library_lines"` // "Unsolicited response" lines of http.Transport
	ParseErrors   []ParseError       `json:"faults"`
	Losses        map[string]float64 `json:"losses"`
	Figures       map[string]float64 `json:"figures"`
	Events        map[string]int     `json:"events"`
	Rows          []*Row             `json:"rows"`
	Peaks         []Peak             `json:"herds"`
	Ejections     []*Ejections       `json:"upstreams"`
	Versions      []*ListVersion     `json:"versions"`
	Processes     []*Process         `json:"members"`
	ListDelays    []float64          `json:"list_late_s"` // delays until new upstreams were listed, sorted
}

// interval is the time of one ejection, in Unix nanoseconds.
type interval struct {
	from, to int64
}

// maxRows limits the number of rows of a Summary.
const maxRows = 20_000

// Summarize summarizes the logs. It doubles the step as long as there would be more than maxRows rows.
func (l *Logs) Summarize(options Options) (*Summary, error) {
	first, last := int64(math.MaxInt64), int64(0)
	for _, log := range l.processes {
		if log.lines > 0 {
			first, last = min(first, log.first), max(last, log.last)
		}
	}
	first -= first % int64(time.Second)
	from, to := first+int64(options.From), last
	if options.To > 0 {
		to = min(to, first+int64(options.To))
	}
	if from > to {
		return nil, fmt.Errorf("nothing was logged after %v: the logs cover %v",
			options.From, time.Duration(last-first).Round(time.Second))
	}
	step := int64(max(options.Step, time.Second))
	for (to-from)/step >= maxRows {
		step *= 2
	}
	summary := &Summary{
		Start: time.Unix(0, from).UTC(), LengthSeconds: float64(to-from) / 1e9, StepSeconds: float64(step) / 1e9,
		Losses: map[string]float64{}, Figures: map[string]float64{}, Events: map[string]int{},
	}
	for n := range (to-from)/step + 1 {
		summary.Rows = append(summary.Rows, &Row{
			AtSeconds: float64(n*step) / 1e9, Events: map[string]int{}, Balancers: map[string]int{},
			Losses: map[string]float64{}, Figures: map[string]float64{},
		})
	}
	builder := &summaryBuilder{
		Summary: summary, from: from, to: to, step: step, ejections: map[string]*Ejections{}, intervals: map[string][]interval{},
	}
	for _, log := range l.processes {
		builder.addProcess(log)
	}
	builder.findPeaks()
	builder.addEjections()
	builder.addListVersions(l.processes)
	slices.Sort(summary.ListDelays)
	slices.SortStableFunc(summary.Processes, func(a, b *Process) int { return cmp.Compare(b.Lost, a.Lost) })
	return summary, nil
}

// summaryBuilder holds the state of Summarize. Times are in Unix nanoseconds.
type summaryBuilder struct {
	*Summary
	from, to, step int64
	ejections      map[string]*Ejections
	intervals      map[string][]interval
}

// seconds converts a time to seconds since the start of the summary.
func (b *summaryBuilder) seconds(t int64) float64 { return float64(t-b.from) / 1e9 }

// within reports whether a time is covered by the summary.
func (b *summaryBuilder) within(t int64) bool { return t >= b.from && t <= b.to }

// row returns the index of the row of a time, or of the nearest row.
func (b *summaryBuilder) row(t int64) int {
	return int(min(max(t-b.from, 0)/b.step, int64(len(b.Rows)-1)))
}

// addProcess adds the log of one process.
func (b *summaryBuilder) addProcess(log *processLog) {
	b.Balancers, b.Lines, b.UnreadLines, b.LibraryLines =
		b.Balancers+1, b.Lines+log.lines, b.UnreadLines+log.unreadLines, b.LibraryLines+log.libraryLines
	b.ParseErrors = append(b.ParseErrors, log.parseErrors...)
	process := &Process{File: log.file, Name: log.name, Tier: log.tier, Reasons: map[string]float64{}}
	b.Processes = append(b.Processes, process)
	if log.lines == 0 || log.first > b.to || log.last < b.from {
		return
	}
	for row := b.row(log.first); row <= b.row(log.last); row++ {
		b.Rows[row].Alive++
	}
	lastRow := map[string]int{} // by kind: 1 + index of the row in which it was last counted
	ejectedAt := map[string]int64{}
	reasons := map[string]string{}
	index := int64(math.MinInt64)
	for _, event := range log.events {
		switch event.kind {
		case "aside":
			if _, ejected := ejectedAt[event.upstream]; !ejected {
				ejectedAt[event.upstream], reasons[event.upstream] = event.at, event.detail
			}
		case "back":
			if since, ejected := ejectedAt[event.upstream]; ejected {
				b.addEjection(event.upstream, reasons[event.upstream], since, event.at, true, event.detail == "cold")
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
	for upstream, since := range ejectedAt { // upstreams that are removed from the list are never reinstated
		b.addEjection(upstream, reasons[upstream], since, log.last, false, false)
	}
	for _, sample := range log.losses {
		if !b.within(sample.at) {
			continue
		}
		b.Rows[b.row(sample.at-1)].Losses[sample.name] += sample.value
		b.Losses[sample.name] += sample.value
		if strings.HasPrefix(sample.name, "deferred_") || strings.HasPrefix(sample.name, "forfeited_") ||
			sample.name == "at_edge" {
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

// distribute divides a figure of a tally among the rows of the time that it covers.
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

// addEjection adds one ejection of an upstream by a balancer.
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

// findPeaks finds, for each kind of event, the step in which the most balancers had one.
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

// addEjections adds the ejections of all upstreams, with the largest number of balancers that ejected each one at the
// same time.
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
		slices.SortFunc(edges, func(a, b edge) int { return cmp.Or(cmp.Compare(a.at, b.at), b.step-a.step) })
		open := 0
		for _, e := range edges {
			if open += e.step; open > ejections.MaxAtOnce {
				ejections.MaxAtOnce, ejections.MaxAtSeconds = open, b.seconds(e.at)
			}
		}
		b.Ejections = append(b.Ejections, ejections)
	}
	slices.SortStableFunc(b.Ejections, func(a, b *Ejections) int { return cmp.Compare(b.BalancerSeconds, a.BalancerSeconds) })
}

// addListVersions determines how each version of a tier's list spread. Discovery may restart its numbering, so a lower
// version than before counts as a regression, and a balancer is not considered outdated relative to a lower version
// that came later.
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
			for _, received := range updates {
				if received.at < end {
					current = received.index
				}
			}
			for published, at := range first {
				// A newer version has one second for its delivery.
				if published.tier == log.tier && published.index > current && at > first[key{log.tier, current}] &&
					at+int64(time.Second) < end {
					b.Rows[k].OutdatedLists++
					break
				}
			}
		}
	}
	for published, at := range first {
		if !b.within(at) {
			continue
		}
		version := &ListVersion{Tier: published.tier, Index: published.index, FirstSeconds: b.seconds(at)}
		var delays []float64
		for _, log := range logs {
			if log.tier != published.tier || log.first > at || log.last <= at {
				continue
			}
			delay, followsList := math.Inf(1), false
			for _, e := range log.events {
				if e.kind == "list_told" {
					if followsList = true; e.index >= published.index && e.at >= at {
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

// sortedKeys returns the keys of a map in order.
func sortedKeys[V any](m map[string]V) (all []string) {
	for name := range m {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}
