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
	Every    time.Duration // what a row of Rows stands for
	From, To time.Duration // since the first line; To 0 for the end
}

// Row is one step of time over all balancers.
type Row struct {
	At      float64            `json:"at_s"`    // since the first line
	Alive   int                `json:"alive"`   // balancers between their first line and their last
	Behind  int                `json:"behind"`  // balancers whose list is older than the newest told in their tier
	Aside   int                `json:"aside"`   // pairs of a balancer and an upstream that it has set aside
	Events  map[string]int     `json:"events"`  // by kind
	Nodes   map[string]int     `json:"nodes"`   // balancers of which these were, by kind
	Losses  map[string]float64 `json:"losses"`  // of this step
	Figures map[string]float64 `json:"figures"` // of tallies, spread evenly over the time that they cover
}

// Herd is the step in which the most balancers did the same.
type Herd struct {
	Kind  string  `json:"kind"`
	At    float64 `json:"at_s"`
	Nodes int     `json:"balancers"`
	Alive int     `json:"alive"`
	All   int     `json:"events"` // of this kind, ever
}

// Belief is how long the fleet held something of an upstream.
type Belief struct {
	Upstream   string         `json:"upstream"`
	Nodes      int            `json:"balancers"` // that set it aside
	Most       int            `json:"most_at_once"`
	MostAt     float64        `json:"most_at_s"`
	Seconds    float64        `json:"balancer_seconds"`
	Longest    float64        `json:"longest_s"`
	Times      int            `json:"times"`
	Why        map[string]int `json:"why"`
	Cold       int            `json:"back_as_cold"`
	Unreturned int            `json:"not_back"`
}

// Version is one version of the list in one tier.
type Version struct {
	Tier  string  `json:"tier"`
	Index int64   `json:"index"`
	First float64 `json:"first_at_s"`
	Half  float64 `json:"half_after_s"`
	All   float64 `json:"last_after_s"`
	Nodes int     `json:"balancers"`
	Never int     `json:"never"` // balancers that were alive then and went on without it or a later one
}

// Member is one process.
type Member struct {
	File      string             `json:"file"`
	Name      string             `json:"name"`
	Tier      string             `json:"tier"`
	Arrived   float64            `json:"arrived"`
	Lost      float64            `json:"lost"` // deferred and forfeited by the module, and deferred before it
	Reasons   map[string]float64 `json:"reasons"`
	Backwards int                `json:"list_went_back"`
}

// Count is what a fleet did together.
type Count struct {
	Start    time.Time          `json:"start"`
	Length   float64            `json:"length_s"`
	Every    float64            `json:"every_s"`
	Nodes    int                `json:"balancers"`
	Lines    int                `json:"lines"`
	Wrong    int                `json:"unread_lines"`
	Others   int                `json:"library_lines"` // "Unsolicited response", by http.Transport itself
	Faults   []Fault            `json:"faults"`
	Losses   map[string]float64 `json:"losses"`
	Figures  map[string]float64 `json:"figures"`
	Events   map[string]int     `json:"events"`
	Rows     []*Row             `json:"rows"`
	Herds    []Herd             `json:"herds"`
	Beliefs  []*Belief          `json:"upstreams"`
	Versions []*Version         `json:"versions"`
	Members  []*Member          `json:"members"`
	Late     []float64          `json:"list_late_s"` // of upstreams that the list told as new, sorted
}

// stay is one time that one balancer had an upstream set aside.
type stay struct {
	from, to int64
}

const mostRows = 20_000

// Count counts. Steps are made longer where there would be too many of them.
func (l *Logs) Count(o Options) (*Count, error) {
	first, last := int64(math.MaxInt64), int64(0)
	for _, n := range l.nodes {
		if n.lines > 0 {
			first, last = min(first, n.first), max(last, n.last)
		}
	}
	first -= first % int64(time.Second)
	from, to := first+int64(o.From), last
	if o.To > 0 {
		to = min(to, first+int64(o.To))
	}
	if from > to {
		return nil, fmt.Errorf("nothing was logged after %v: the logs cover %v", o.From, time.Duration(last-first).Round(time.Second))
	}
	every := int64(max(o.Every, time.Second))
	for (to-from)/every >= mostRows {
		every *= 2
	}
	c := &Count{
		Start: time.Unix(0, from).UTC(), Length: float64(to-from) / 1e9, Every: float64(every) / 1e9, Losses: map[string]float64{},
		Figures: map[string]float64{}, Events: map[string]int{},
	}
	for n := range (to-from)/every + 1 {
		c.Rows = append(c.Rows, &Row{
			At: float64(n*every) / 1e9, Events: map[string]int{}, Nodes: map[string]int{}, Losses: map[string]float64{}, Figures: map[string]float64{},
		})
	}
	w := &counting{Count: c, from: from, to: to, every: every, beliefs: map[string]*Belief{}, stays: map[string][]stay{}}
	for _, n := range l.nodes {
		w.member(n)
	}
	w.herds()
	w.upstreams()
	w.versions(l.nodes)
	slices.Sort(c.Late)
	slices.SortStableFunc(c.Members, func(a, b *Member) int { return cmp.Compare(b.Lost, a.Lost) })
	return c, nil
}

type counting struct {
	*Count
	from, to, every int64
	beliefs         map[string]*Belief
	stays           map[string][]stay
}

func (w *counting) at(t int64) float64  { return float64(t-w.from) / 1e9 }
func (w *counting) within(t int64) bool { return t >= w.from && t <= w.to }
func (w *counting) row(t int64) int {
	return int(min(max(t-w.from, 0)/w.every, int64(len(w.Rows)-1)))
}

// member counts what one process tells.
func (w *counting) member(n *node) {
	w.Nodes, w.Lines, w.Wrong, w.Others = w.Nodes+1, w.Lines+n.lines, w.Wrong+n.wrong, w.Others+n.others
	w.Faults = append(w.Faults, n.faults...)
	m := &Member{File: n.file, Name: n.name, Tier: n.tier, Reasons: map[string]float64{}}
	w.Members = append(w.Members, m)
	if n.lines == 0 || n.first > w.to || n.last < w.from {
		return
	}
	for k := w.row(n.first); k <= w.row(n.last); k++ {
		w.Rows[k].Alive++
	}
	did := map[string]int{} // kind: 1 + the row in which it was counted last
	aside := map[string]int64{}
	whys := map[string]string{}
	index := int64(math.MinInt64)
	for _, e := range n.events {
		switch e.kind {
		case "aside":
			if _, out := aside[e.upstream]; !out {
				aside[e.upstream], whys[e.upstream] = e.at, e.why
			}
		case "back":
			if since, out := aside[e.upstream]; out {
				w.stayed(e.upstream, whys[e.upstream], since, e.at, true, e.why == "cold")
				delete(aside, e.upstream)
			}
		case "list_told":
			if e.index < index {
				m.Backwards++
			}
			index = e.index
		case "list_changed":
			if e.number > 0 && w.within(e.at) {
				w.Late = append(w.Late, e.number)
			}
		}
		if !w.within(e.at) {
			continue
		}
		k := w.row(e.at)
		w.Events[e.kind]++
		w.Rows[k].Events[e.kind]++
		if did[e.kind] != k+1 {
			did[e.kind] = k + 1
			w.Rows[k].Nodes[e.kind]++
		}
	}
	for upstream, since := range aside { // what leaves the list never comes back
		w.stayed(upstream, whys[upstream], since, n.last, false, false)
	}
	for _, s := range n.losses {
		if !w.within(s.at) {
			continue
		}
		w.Rows[w.row(s.at-1)].Losses[s.name] += s.n
		w.Losses[s.name] += s.n
		if strings.HasPrefix(s.name, "deferred_") || strings.HasPrefix(s.name, "forfeited_") || s.name == "at_edge" {
			m.Lost += s.n
			m.Reasons[s.name] += s.n
		}
	}
	for _, s := range n.tallies {
		w.spread(s)
		if s.name == "arrived" && w.within(s.at) {
			m.Arrived += s.n
		}
	}
}

// spread deals a figure of a tally out over the time that it covers.
func (w *counting) spread(s sample) {
	since, whole := s.since, float64(max(s.at-s.since, 1))
	for since < s.at {
		until := min(s.at, since+w.every-max(since-w.from, 0)%w.every)
		if since < w.from {
			until = min(s.at, w.from)
		} else if since <= w.to {
			part := s.n * float64(until-since) / whole
			w.Rows[w.row(since)].Figures[s.name] += part
			w.Figures[s.name] += part
		}
		since = until
	}
}

// stayed counts one time that a balancer had an upstream set aside.
func (w *counting) stayed(upstream, why string, from, to int64, back, cold bool) {
	if to < w.from || from > w.to {
		return
	}
	b := w.beliefs[upstream]
	if b == nil {
		b = &Belief{Upstream: upstream, Why: map[string]int{}}
		w.beliefs[upstream] = b
	}
	b.Times++
	b.Why[why]++
	if cold {
		b.Cold++
	}
	if !back {
		b.Unreturned++
	}
	b.Seconds += float64(to-from) / 1e9
	b.Longest = max(b.Longest, float64(to-from)/1e9)
	w.stays[upstream] = append(w.stays[upstream], stay{from, to})
	for k := w.row(from); k <= w.row(to); k++ {
		w.Rows[k].Aside++
	}
}

// herds finds for each kind the step in which the most did it.
func (w *counting) herds() {
	for _, kind := range keys(w.Events) {
		h := Herd{Kind: kind, All: w.Events[kind]}
		for _, r := range w.Rows {
			if r.Nodes[kind] > h.Nodes {
				h.At, h.Nodes, h.Alive = r.At, r.Nodes[kind], r.Alive
			}
		}
		w.Herds = append(w.Herds, h)
	}
}

// upstreams finds how many balancers had each set aside at once.
func (w *counting) upstreams() {
	for _, name := range keys(w.beliefs) {
		b := w.beliefs[name]
		type edge struct {
			at   int64
			step int
		}
		var edges []edge
		for _, s := range w.stays[name] {
			edges = append(edges, edge{s.from, 1}, edge{s.to, -1})
		}
		slices.SortFunc(edges, func(a, b edge) int { return cmp.Or(cmp.Compare(a.at, b.at), b.step-a.step) })
		now := 0
		for _, e := range edges {
			if now += e.step; now > b.Most {
				b.Most, b.MostAt = now, w.at(e.at)
			}
		}
		w.Beliefs = append(w.Beliefs, b)
	}
	slices.SortStableFunc(w.Beliefs, func(a, b *Belief) int { return cmp.Compare(b.Seconds, a.Seconds) })
}

// versions follows how each version of a tier's list spread. Danger: discovery may start its versions anew, so what is
// lower than what a balancer had is told as gone back, and nobody is held to be behind a version that came later and
// is lower.
func (w *counting) versions(nodes []*node) {
	type told struct {
		at    int64
		index int64
	}
	type key struct {
		tier  string
		index int64
	}
	var all []*Version
	first := map[key]int64{}
	for _, n := range nodes {
		for _, e := range n.events {
			if k := (key{n.tier, e.index}); e.kind == "list_told" {
				if at, known := first[k]; !known || e.at < at {
					first[k] = e.at
				}
			}
		}
	}
	for _, n := range nodes {
		var mine []told
		for _, e := range n.events {
			if e.kind == "list_told" {
				mine = append(mine, told{e.at, e.index})
			}
		}
		if len(mine) == 0 {
			continue
		}
		for k := range w.Rows {
			end := w.from + int64(k+1)*w.every
			if end <= mine[0].at || end-w.every > n.last {
				continue
			}
			has := mine[0].index
			for _, t := range mine {
				if t.at < end {
					has = t.index
				}
			}
			for v, at := range first {
				if v.tier == n.tier && v.index > has && at > first[key{n.tier, has}] && at+int64(time.Second) < end { // a second for the way
					w.Rows[k].Behind++
					break
				}
			}
		}
	}
	for v, at := range first {
		if !w.within(at) {
			continue
		}
		x := &Version{Tier: v.tier, Index: v.index, First: w.at(at)}
		var after []float64
		for _, n := range nodes {
			if n.tier != v.tier || n.first > at || n.last <= at {
				continue
			}
			heard, listens := math.Inf(1), false
			for _, e := range n.events {
				if e.kind == "list_told" {
					if listens = true; e.index >= v.index && e.at >= at {
						heard = math.Min(heard, float64(e.at-at)/1e9)
					}
				}
			}
			switch {
			case !math.IsInf(heard, 1):
				after = append(after, heard)
			case listens:
				x.Never++
			}
		}
		if x.Nodes = len(after); x.Nodes > 0 {
			slices.Sort(after)
			x.Half, x.All = after[len(after)/2], after[len(after)-1]
		}
		all = append(all, x)
	}
	slices.SortFunc(all, func(a, b *Version) int {
		return cmp.Or(cmp.Compare(a.First, b.First), cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Index, b.Index))
	})
	w.Versions = all
}

func keys[V any](of map[string]V) (all []string) {
	for name := range of {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}
