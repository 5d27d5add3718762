// Package routes selects the route of a transaction. It does no I/O: a Table is built once from all routes and is read-only
// afterwards. The precedence rules are in docs/routes.md.
package routes

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Route is a set of conditions and the pool that handles the matching transactions. Each combination of host and path makes
// one entry of the table.
type Route struct {
	Name      string
	Hosts     []string // "album.example.org", "*.example.org" or "*"; none: any
	Paths     []string // exact paths
	Prefixes  []string // matched by whole segments; without paths and prefixes: any path
	Methods   []string // none: any
	Headers   []Header // all must match
	Listeners []string // names; none: any
	Pool      string
	Tariff    string // "" if the transaction names its tariff
}

// Header is a condition on a header: the value that it must have, or "*" for any value.
type Header struct{ Name, Value string }

// Request holds the properties of a transaction that decide its route. Host and Path are normalized by NormalizeHost and
// NormalizePath.
type Request struct {
	Listener, Host, Path, Method string
	Header                       func(name string) (value string, present bool)
}

// entry is a route for one host and one path.
type entry struct {
	*Route
	routeIndex int    // index in the list given to New; used only in faults
	host       string // "*." before a suffix, "*" for any
	path       string
	prefix     bool     // path is a prefix
	methods    []string // sorted, without duplicates
	headers    []Header // sorted, without duplicates
	listeners  []string // names, sorted, without duplicates
}

// hostEntries holds all entries for one host.
type hostEntries struct {
	exact       map[string][]*entry // by path
	prefix      map[string][]*entry // by prefix without final "/"
	maxSegments int                 // number of segments of the longest prefix
}

// Table finds the route of a transaction.
type Table struct {
	hosts           map[string]*hostEntries // by exact name, "*.suffix" or "*"
	maxSuffixLabels int                     // number of labels of the longest suffix
}

// Fault is an error in a route, or a warning about a valid one.
type Fault struct {
	RouteIndex int    // index in the list given to New
	Key        string // key of the route that is wrong; "" for the route as a whole
	Text       string
	Warning    bool
}

// New builds a table of routes. The table is nil if any fault is not a warning.
func New(given []Route) (*Table, []Fault) {
	t := &Table{hosts: map[string]*hostEntries{}}
	var faults []Fault
	for index := range given {
		route := &given[index]
		e := entry{Route: route, routeIndex: index}
		for _, m := range route.Methods {
			if m == "" || m != strings.ToUpper(m) || strings.Trim(m, "ABCDEFGHIJKLMNOPQRSTUVWXYZ-") != "" {
				faults = append(faults, Fault{index, "methods", fmt.Sprintf("%q is not a method; methods are written in capitals", m), false})
			}
		}
		for _, h := range route.Headers {
			if h.Name == "" || h.Value == "" {
				faults = append(faults, Fault{index, "headers", "a header condition needs a name and a value; \"*\" stands for any value", false})
			}
		}
		e.methods, e.listeners = sortedUnique(route.Methods, cmp.Compare), sortedUnique(route.Listeners, cmp.Compare)
		e.headers = sortedUnique(route.Headers, func(a, b Header) int {
			return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Value, b.Value))
		})
		hosts := route.Hosts
		if len(hosts) == 0 {
			hosts = []string{"*"}
		}
		prefixes := route.Prefixes
		if len(route.Paths)+len(prefixes) == 0 {
			prefixes = []string{"/"}
		}
		for _, name := range hosts {
			if e.host = name; name != "*" {
				suffix, wildcard := strings.CutPrefix(name, "*.")
				normalized, ok := NormalizeHost(suffix)
				if !ok || normalized == "" || normalized != strings.ToLower(suffix) || strings.Contains(normalized, "*") {
					faults = append(faults, Fault{index, "hosts", fmt.Sprintf(
						"%q is no host; write a name, \"*.\" and a name, or \"*\", without port and final dot", name), false})
					continue
				}
				if e.host = normalized; wildcard {
					e.host = "*." + normalized
				}
			}
			for _, p := range route.Paths {
				faults = t.add(e, p, false, faults)
			}
			for _, p := range prefixes {
				faults = t.add(e, p, true, faults)
			}
		}
	}
	faults = t.sortEntries(faults)
	if slices.ContainsFunc(faults, func(f Fault) bool { return !f.Warning }) {
		return nil, faults
	}
	return t, faults
}

// sortedUnique returns a sorted copy of the list without duplicates.
func sortedUnique[T comparable](list []T, by func(a, b T) int) []T {
	list = slices.Clone(list)
	slices.SortFunc(list, by)
	return slices.Compact(list)
}

// add adds an entry for a path to the table and appends a fault if the path is invalid.
func (t *Table) add(e entry, path string, prefix bool, faults []Fault) []Fault {
	key := "paths"
	if prefix {
		key = "prefixes"
	}
	normalized, ok := NormalizePath(path)
	if !ok || !strings.HasPrefix(path, "/") || normalized != path {
		text := fmt.Sprintf("%q is not a path in its normal form", path)
		if ok && strings.HasPrefix(path, "/") {
			text += fmt.Sprintf("; the normal form is %q", normalized)
		}
		return append(faults, Fault{e.routeIndex, key, text, false})
	}
	if prefix {
		path = strings.TrimSuffix(path, "/") // "/album/" and "/album" are the same prefix
	}
	e.path, e.prefix = path, prefix
	entries := t.hosts[e.host]
	if entries == nil {
		entries = &hostEntries{exact: map[string][]*entry{}, prefix: map[string][]*entry{}}
		t.hosts[e.host] = entries
	}
	if prefix {
		entries.prefix[path] = append(entries.prefix[path], &e)
		entries.maxSegments = max(entries.maxSegments, strings.Count(path, "/"))
	} else {
		entries.exact[path] = append(entries.exact[path], &e)
	}
	if suffix, wildcard := strings.CutPrefix(e.host, "*."); wildcard {
		t.maxSuffixLabels = max(t.maxSuffixLabels, strings.Count(suffix, ".")+1)
	}
	return faults
}

// compareEntries orders the entries for one host and path, more specific ones first. The order is total and depends only on
// the conditions of the routes, never on their position in the file.
func compareEntries(a, b *entry) int {
	return cmp.Or(
		compareCounts(len(a.methods), len(b.methods)),
		cmp.Compare(len(b.headers), len(a.headers)),
		compareCounts(len(a.listeners), len(b.listeners)),
		cmp.Compare(countWildcards(a.headers), countWildcards(b.headers)),
		slices.Compare(a.methods, b.methods),
		slices.CompareFunc(a.headers, b.headers, func(x, y Header) int {
			return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.Value, y.Value))
		}),
		slices.Compare(a.listeners, b.listeners),
	)
}

// compareCounts orders shorter lists first, but an empty one, which matches anything, last.
func compareCounts(a, b int) int {
	if (a == 0) != (b == 0) {
		return cmp.Compare(b, a)
	}
	return cmp.Compare(a, b)
}

// countWildcards returns the number of headers that may have any value.
func countWildcards(headers []Header) (n int) {
	for _, h := range headers {
		if h.Value == "*" {
			n++
		}
	}
	return n
}

const maxWarnings = 100 // per table; longer lists of warnings are not read

// sortEntries sorts all entries and reports those that are indistinguishable as faults and those that overlap as warnings.
func (t *Table) sortEntries(faults []Fault) []Fault {
	var names []string
	for name := range t.hosts {
		names = append(names, name)
	}
	slices.Sort(names)
	warnings := 0
	for _, name := range names {
		entries := t.hosts[name]
		for _, byPath := range []map[string][]*entry{entries.exact, entries.prefix} {
			var paths []string
			for path := range byPath {
				paths = append(paths, path)
			}
			slices.Sort(paths)
			for _, path := range paths {
				list := byPath[path]
				slices.SortStableFunc(list, compareEntries)
				for i, e := range list {
					if i > 0 && compareEntries(list[i-1], e) == 0 {
						faults = append(faults, Fault{e.routeIndex, "", fmt.Sprintf(
							"cannot be told from route %q: both have the same conditions at %s", list[i-1].Name, e.location()), false})
						continue
					}
					for _, preceding := range list[:i] {
						if warnings < maxWarnings && e.overlaps(preceding) {
							warnings++
							faults = append(faults, Fault{e.routeIndex, "", fmt.Sprintf(
								"overlaps route %q at %s, which takes precedence: %s", preceding.Name, e.location(), precedenceReason(preceding, e)), true})
						}
					}
				}
				if outer := t.enclosing(entries, list[0]); outer != nil && outer.Route != list[0].Route && warnings < maxWarnings {
					warnings++
					faults = append(faults, Fault{list[0].routeIndex, "", fmt.Sprintf("lies within route %q and takes precedence: %s",
						outer.Name, precedenceReason(list[0], outer)), true})
				}
			}
		}
	}
	return faults
}

// enclosing returns the next less specific entry for the same host that can match some of the same transactions.
func (t *Table) enclosing(entries *hostEntries, e *entry) *entry {
	path := e.path
	if e.prefix {
		if path == "" {
			return nil
		}
		path = path[:strings.LastIndexByte(path, '/')]
	}
	for {
		for _, candidate := range entries.prefix[path] {
			if e.overlaps(candidate) {
				return candidate
			}
		}
		if path == "" {
			return nil
		}
		path = path[:strings.LastIndexByte(path, '/')]
	}
}

// location returns the host and path of the entry for messages.
func (e *entry) location() string {
	location := e.host + e.path
	if e.prefix {
		location += "/..."
	}
	return location
}

// overlaps reports whether a transaction could match the conditions of both entries.
func (e *entry) overlaps(other *entry) bool {
	return intersect(e.methods, other.methods) && intersect(e.listeners, other.listeners) &&
		!slices.ContainsFunc(e.headers, func(h Header) bool {
			return slices.ContainsFunc(other.headers, func(otherHeader Header) bool {
				return h.Name == otherHeader.Name && h.Value != otherHeader.Value && h.Value != "*" && otherHeader.Value != "*"
			})
		})
}

// intersect reports whether two lists of allowed values share one; an empty list allows any value.
func intersect(a, b []string) bool {
	return len(a) == 0 || len(b) == 0 || slices.ContainsFunc(a, func(x string) bool { return slices.Contains(b, x) })
}

// matches reports whether the request meets the conditions of the entry.
func (e *entry) matches(request *Request) bool { return e.mismatch(request) == "" }

// mismatch describes the first condition that the request does not meet; it returns "" if it meets all.
func (e *entry) mismatch(request *Request) string {
	if len(e.methods) > 0 && !slices.Contains(e.methods, request.Method) {
		return "the method differs"
	}
	if len(e.listeners) > 0 && !slices.Contains(e.listeners, request.Listener) {
		return "the listener differs"
	}
	for _, h := range e.headers {
		if value, present := request.Header(h.Name); !present || h.Value != "*" && value != h.Value {
			return "the header " + h.Name + " differs"
		}
	}
	return ""
}

// Find returns the route of a transaction, or nil if there is none. It looks up the exact host, then shorter and shorter
// suffixes, then any host; for each of them the exact path, then shorter and shorter prefixes. The cost depends on the
// number of labels and segments in the request, not on the number of routes.
func (t *Table) Find(request *Request) (found *Route) {
	t.walk(request, func(e *entry) bool {
		if e.matches(request) {
			found = e.Route
		}
		return found == nil
	})
	return found
}

// walk calls visit for all entries whose host and path match, in order of precedence, until visit returns false.
func (t *Table) walk(request *Request, visit func(e *entry) bool) {
	if request.Host != "" {
		if entries := t.hosts[request.Host]; entries != nil && !entries.walk(request.Path, visit) {
			return
		}
		if t.maxSuffixLabels > 0 {
			// A suffix matches only hosts with at least one more label.
			rest, labels := request.Host, strings.Count(request.Host, ".")
			for ; labels > 0; labels-- {
				rest = rest[strings.IndexByte(rest, '.')+1:]
				if labels > t.maxSuffixLabels {
					continue
				}
				if entries := t.hosts["*."+rest]; entries != nil && !entries.walk(request.Path, visit) {
					return
				}
			}
		}
	}
	if entries := t.hosts["*"]; entries != nil {
		entries.walk(request.Path, visit)
	}
}

// walk calls visit for the entries of one host whose path matches. It returns false if visit did.
func (h *hostEntries) walk(path string, visit func(e *entry) bool) bool {
	for _, e := range h.exact[path] {
		if !visit(e) {
			return false
		}
	}
	if len(h.prefix) == 0 {
		return true
	}
	path = strings.TrimSuffix(path, "/")
	for extra := strings.Count(path, "/") - h.maxSegments; extra > 0; extra-- {
		path = path[:strings.LastIndexByte(path, '/')]
	}
	for {
		for _, e := range h.prefix[path] {
			if !visit(e) {
				return false
			}
		}
		if path == "" {
			return true
		}
		path = path[:strings.LastIndexByte(path, '/')]
	}
}

// Match is a route whose host and path match a transaction, and the reason why it is not the selected one; "" if it is.
type Match struct {
	Route    *Route
	Location string
	Reason   string
}

// Explain returns all routes whose host and path match, in order of precedence. The selected one, if any, has no reason.
func (t *Table) Explain(request *Request) (matches []Match) {
	var first *entry
	t.walk(request, func(e *entry) bool {
		m := Match{e.Route, e.location(), e.mismatch(request)}
		switch {
		case m.Reason != "":
		case first == nil:
			first = e
		default:
			m.Reason = "after " + first.Name + ": " + precedenceReason(first, e)
		}
		matches = append(matches, m)
		return true
	})
	return matches
}

// precedenceReason describes why a takes precedence over b.
func precedenceReason(a, b *entry) string {
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
	case len(a.listeners) != len(b.listeners):
		return "fewer listeners go first"
	case countWildcards(a.headers) != countWildcards(b.headers):
		return "a header's named value goes before any value"
	}
	return "methods, headers and listeners in alphabetical order"
}
