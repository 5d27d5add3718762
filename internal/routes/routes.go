// Package routes decides which route takes a transaction. It has no I/O: a Table is made once from all routes and only
// read from then on. How it decides is in docs/routes.md.
package routes

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Route says what it takes and where that goes. Several hosts and paths stand for one entry each.
type Route struct {
	Name      string
	Hosts     []string // "album.example.org", "*.example.org" or "*"; none: any
	Paths     []string // exact ones
	Prefixes  []string // by whole segments; neither paths nor prefixes: any path
	Methods   []string // none: any
	Headers   []Header // all must hold
	Listeners []string // by name; none: any
	Pool      string
	Tariff    string // none: the transaction names it
}

// Header is a condition: the header's one value, or any if Value is "*".
type Header struct{ Name, Value string }

// Query is what a transaction says of itself. Host and Path are as Host and Path return them.
type Query struct {
	Listener, Host, Path, Method string
	Header                       func(name string) (value string, said bool)
}

// entry is a route at one host and one path.
type entry struct {
	*Route
	rank    int    // its place among the routes as they were given, for the words of check only
	host    string // "*." before a suffix, "*" for any
	path    string
	prefix  bool
	methods []string // sorted, each once
	headers []Header // sorted
	lists   []string // of listeners, sorted
}

// host is all that is routed under one host.
type host struct {
	exact  map[string][]*entry
	prefix map[string][]*entry
	deep   int // segments of the longest prefix
}

// Table finds routes.
type Table struct {
	hosts map[string]*host // exact names, "*.suffix" and "*"
	deep  int              // labels of the longest suffix
}

// Fault is a route that can't be used, or something to know of a route that can.
type Fault struct {
	Route  int // its place as given
	Key    string
	Text   string
	Remark bool
}

// New makes a table of routes. Faults that are no remarks make it nil.
func New(all []Route) (*Table, []Fault) {
	t := &Table{hosts: map[string]*host{}}
	var faults []Fault
	for rank := range all {
		r := &all[rank]
		e := entry{Route: r, rank: rank}
		for _, m := range r.Methods {
			if m == "" || m != strings.ToUpper(m) || strings.Trim(m, "ABCDEFGHIJKLMNOPQRSTUVWXYZ-") != "" {
				faults = append(faults, Fault{rank, "methods", fmt.Sprintf("%q is no method; they are written in capitals", m), false})
			}
		}
		for _, h := range r.Headers {
			if h.Name == "" || h.Value == "" {
				faults = append(faults, Fault{rank, "headers", "a header has a name and a value; \"*\" stands for any value", false})
			}
		}
		e.methods, e.lists = sorted(r.Methods, cmp.Compare), sorted(r.Listeners, cmp.Compare)
		e.headers = sorted(r.Headers, func(a, b Header) int {
			return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Value, b.Value))
		})
		hosts := r.Hosts
		if len(hosts) == 0 {
			hosts = []string{"*"}
		}
		prefixes := r.Prefixes
		if len(r.Paths)+len(prefixes) == 0 {
			prefixes = []string{"/"}
		}
		for _, name := range hosts {
			if e.host = name; name != "*" {
				suffix, wild := strings.CutPrefix(name, "*.")
				plain, ok := Host(suffix)
				if !ok || plain == "" || plain != strings.ToLower(suffix) || strings.Contains(plain, "*") {
					faults = append(faults, Fault{rank, "hosts", fmt.Sprintf(
						"%q is no host: a name, \"*.\" and a name, or \"*\"; without port and final dot", name), false})
					continue
				}
				if e.host = plain; wild {
					e.host = "*." + plain
				}
			}
			for _, p := range r.Paths {
				faults = t.add(e, p, false, faults)
			}
			for _, p := range prefixes {
				faults = t.add(e, p, true, faults)
			}
		}
	}
	faults = t.sort(faults)
	if slices.ContainsFunc(faults, func(f Fault) bool { return !f.Remark }) {
		return nil, faults
	}
	return t, faults
}

func sorted[T comparable](list []T, by func(a, b T) int) []T {
	list = slices.Clone(list)
	slices.SortFunc(list, by)
	return slices.Compact(list)
}

// add puts an entry at its path.
func (t *Table) add(e entry, path string, prefix bool, faults []Fault) []Fault {
	key := "paths"
	if prefix {
		key = "prefixes"
	}
	plain, ok := Path(path)
	if !ok || !strings.HasPrefix(path, "/") || plain != path {
		text := fmt.Sprintf("%q is no path in its normal form", path)
		if ok && strings.HasPrefix(path, "/") {
			text += fmt.Sprintf("; that is %q", plain)
		}
		return append(faults, Fault{e.rank, key, text, false})
	}
	if prefix {
		path = strings.TrimSuffix(path, "/") // "/album/" and "/album" are the same prefix
	}
	e.path, e.prefix = path, prefix
	h := t.hosts[e.host]
	if h == nil {
		h = &host{exact: map[string][]*entry{}, prefix: map[string][]*entry{}}
		t.hosts[e.host] = h
	}
	if prefix {
		h.prefix[path] = append(h.prefix[path], &e)
		h.deep = max(h.deep, strings.Count(path, "/"))
	} else {
		h.exact[path] = append(h.exact[path], &e)
	}
	if suffix, wild := strings.CutPrefix(e.host, "*."); wild {
		t.deep = max(t.deep, strings.Count(suffix, ".")+1)
	}
	return faults
}

// before is the order of entries at one host and path: the narrower one first. It is total, and hangs on what the
// routes say, never on where they stand.
func before(a, b *entry) int {
	return cmp.Or(
		fewer(len(a.methods), len(b.methods)),
		cmp.Compare(len(b.headers), len(a.headers)),
		fewer(len(a.lists), len(b.lists)),
		cmp.Compare(anyValues(a.headers), anyValues(b.headers)),
		slices.Compare(a.methods, b.methods),
		slices.CompareFunc(a.headers, b.headers, func(x, y Header) int {
			return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.Value, y.Value))
		}),
		slices.Compare(a.lists, b.lists),
	)
}

// fewer puts the shorter list first, but none, which stands for all, last.
func fewer(a, b int) int {
	if (a == 0) != (b == 0) {
		return cmp.Compare(b, a)
	}
	return cmp.Compare(a, b)
}

func anyValues(headers []Header) (n int) {
	for _, h := range headers {
		if h.Value == "*" {
			n++
		}
	}
	return n
}

const mostRemarks = 100 // of one table: what nobody reads helps nobody

// sort puts all entries in order, and finds those that can't be told apart and those that overlap.
func (t *Table) sort(faults []Fault) []Fault {
	var names []string
	for name := range t.hosts {
		names = append(names, name)
	}
	slices.Sort(names)
	remarks := 0
	for _, name := range names {
		h := t.hosts[name]
		for _, at := range []map[string][]*entry{h.exact, h.prefix} {
			var paths []string
			for p := range at {
				paths = append(paths, p)
			}
			slices.Sort(paths)
			for _, p := range paths {
				list := at[p]
				slices.SortStableFunc(list, before)
				for i, e := range list {
					if i > 0 && before(list[i-1], e) == 0 {
						faults = append(faults, Fault{e.rank, "", fmt.Sprintf(
							"can't be told from route %q: the same at %s", list[i-1].Name, e.where()), false})
						continue
					}
					for _, o := range list[:i] {
						if remarks < mostRemarks && e.overlaps(o) {
							remarks++
							faults = append(faults, Fault{e.rank, "", fmt.Sprintf(
								"overlaps route %q at %s, which goes first: %s", o.Name, e.where(), why(o, e)), true})
						}
					}
				}
				if outer := t.around(h, list[0]); outer != nil && outer.Route != list[0].Route && remarks < mostRemarks {
					remarks++
					faults = append(faults, Fault{list[0].rank, "", fmt.Sprintf("lies within route %q, and goes first: %s",
						outer.Name, why(list[0], outer)), true})
				}
			}
		}
	}
	return faults
}

// around is the next wider entry at the same host that some of the same transactions match.
func (t *Table) around(h *host, e *entry) *entry {
	path := e.path
	if e.prefix {
		if path == "" {
			return nil
		}
		path = path[:strings.LastIndexByte(path, '/')]
	}
	for {
		for _, o := range h.prefix[path] {
			if e.overlaps(o) {
				return o
			}
		}
		if path == "" {
			return nil
		}
		path = path[:strings.LastIndexByte(path, '/')]
	}
}

func (e *entry) where() string {
	what := e.host + e.path
	if e.prefix {
		what += "/..."
	}
	return what
}

// overlaps reports whether some transaction could match the conditions of both.
func (e *entry) overlaps(o *entry) bool {
	return meet(e.methods, o.methods) && meet(e.lists, o.lists) &&
		!slices.ContainsFunc(e.headers, func(h Header) bool {
			return slices.ContainsFunc(o.headers, func(g Header) bool {
				return h.Name == g.Name && h.Value != g.Value && h.Value != "*" && g.Value != "*"
			})
		})
}

func meet(a, b []string) bool {
	return len(a) == 0 || len(b) == 0 || slices.ContainsFunc(a, func(x string) bool { return slices.Contains(b, x) })
}

// takes reports whether an entry's conditions hold.
func (e *entry) takes(q *Query) bool { return e.misses(q) == "" }

// misses is the condition that doesn't hold.
func (e *entry) misses(q *Query) string {
	if len(e.methods) > 0 && !slices.Contains(e.methods, q.Method) {
		return "its method is another"
	}
	if len(e.lists) > 0 && !slices.Contains(e.lists, q.Listener) {
		return "its listener is another"
	}
	for _, h := range e.headers {
		if value, said := q.Header(h.Name); !said || h.Value != "*" && value != h.Value {
			return "its header " + h.Name + " is another"
		}
	}
	return ""
}

// Find is the route that takes a transaction, nil for none. It looks under the exact host, then under ever shorter
// suffixes, then under any host; there at the exact path, then at ever shorter prefixes. Its cost hangs on the labels
// and segments of what is asked, not on the number of routes.
func (t *Table) Find(q *Query) (found *Route) {
	t.walk(q, func(e *entry) bool {
		if e.takes(q) {
			found = e.Route
		}
		return found == nil
	})
	return found
}

// walk shows all entries whose host and path match, the first to go first, until told to stop.
func (t *Table) walk(q *Query, show func(e *entry) bool) {
	if q.Host != "" {
		if h := t.hosts[q.Host]; h != nil && !h.walk(q.Path, show) {
			return
		}
		if t.deep > 0 {
			// A suffix stands for at least one label more.
			rest, labels := q.Host, strings.Count(q.Host, ".")
			for ; labels > 0; labels-- {
				rest = rest[strings.IndexByte(rest, '.')+1:]
				if labels > t.deep {
					continue
				}
				if h := t.hosts["*."+rest]; h != nil && !h.walk(q.Path, show) {
					return
				}
			}
		}
	}
	if h := t.hosts["*"]; h != nil {
		h.walk(q.Path, show)
	}
}

func (h *host) walk(path string, show func(e *entry) bool) bool {
	for _, e := range h.exact[path] {
		if !show(e) {
			return false
		}
	}
	if len(h.prefix) == 0 {
		return true
	}
	path = strings.TrimSuffix(path, "/")
	for extra := strings.Count(path, "/") - h.deep; extra > 0; extra-- {
		path = path[:strings.LastIndexByte(path, '/')]
	}
	for {
		for _, e := range h.prefix[path] {
			if !show(e) {
				return false
			}
		}
		if path == "" {
			return true
		}
		path = path[:strings.LastIndexByte(path, '/')]
	}
}

// Match is a route that a transaction's host and path fit, and why it doesn't take it; empty if it does.
type Match struct {
	Route *Route
	Where string
	Lost  string
}

// Explain shows all routes whose host and path fit, the one that takes the transaction (if any) without a reason.
func (t *Table) Explain(q *Query) (all []Match) {
	var first *entry
	t.walk(q, func(e *entry) bool {
		m := Match{e.Route, e.where(), e.misses(q)}
		switch {
		case m.Lost != "":
		case first == nil:
			first = e
		default:
			m.Lost = "after " + first.Name + ": " + why(first, e)
		}
		all = append(all, m)
		return true
	})
	return all
}

// why names what puts a before b.
func why(a, b *entry) string {
	switch {
	case a.host != b.host && b.host == "*":
		return "a named host goes before any host"
	case a.host != b.host && strings.HasPrefix(a.host, "*."):
		return "a longer suffix of the host goes first"
	case a.host != b.host:
		return "an exact host goes before a suffix"
	case a.prefix != b.prefix:
		return "an exact path goes before a prefix"
	case a.path != b.path:
		return "a longer prefix goes first"
	case len(a.methods) != len(b.methods):
		return "fewer methods go first"
	case len(a.headers) != len(b.headers):
		return "more headers go first"
	case len(a.lists) != len(b.lists):
		return "fewer listeners go first"
	case anyValues(a.headers) != anyValues(b.headers):
		return "a header's named value goes before any value"
	}
	return "methods, headers, listeners in the order of the alphabet"
}
