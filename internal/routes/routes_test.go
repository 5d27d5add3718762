package routes

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestHost checks normalized hosts; "!" marks those that must be refused.
func TestHost(t *testing.T) {
	for host, want := range map[string]string{
		"": "", "album.example.org": "album.example.org", "Album.EXAMPLE.org.": "album.example.org",
		"album.example.org:8000": "album.example.org", "album.example.org.:80": "album.example.org", "a:": "a",
		"[::1]:80": "[::1]", "[::1]": "[::1]", "127.0.0.1:8000": "127.0.0.1",
		".": "!", "..": "!", "a..b": "!", ".a": "!", "a:b": "!", "a:80:90": "!", "a:123456": "!", "[::1": "!", "[::1]x": "!",
		"a/b": "!", "a@b": "!", "a b": "!", ":80": "!", "a%2eb": "!",
	} {
		if got, ok := NormalizeHost(host); ok != (want != "!") || ok && got != want {
			t.Errorf("%q is %q, %t", host, got, ok)
		}
	}
}

// TestPath checks normalized paths; "!" marks those that must be refused.
func TestPath(t *testing.T) {
	for path, want := range map[string]string{
		"": "/", "/": "/", "/album": "/album", "/album/": "/album/", "/album/../opslag": "/opslag", "/album/..": "/",
		"//": "/", "//album//x": "/album/x", "/a/./b": "/a/b", "/a/.": "/a/", "/a/b/..": "/a/", "/a/b/../": "/a/",
		"/%61lbum": "/album", "/album/%2e%2e/opslag": "/opslag", "/%2E/a": "/a", "/a%2Fb": "/a%2Fb", "/a%2fb": "/a%2Fb",
		"/a%2f..%2fb": "/a%2F..%2Fb", "/a%5cb": "/a%5Cb", "/a;b=1/c": "/a;b=1/c", "/...": "/...", "/.a": "/.a", "/%7euser": "/~user",
		"/%c3%a9": "/%C3%A9", "/a%252e": "/a%252e",
		"/..": "!", "/../a": "!", "/a/../..": "!", "/%2e%2e/a": "!", "/%00": "!", "/%": "!", "/%2": "!", "/%zz": "!", "album": "!", "*": "!",
	} {
		got, ok := NormalizePath(path)
		if ok != (want != "!") || ok && got != want {
			t.Errorf("%q is %q, %t", path, got, ok)
		}
	}
}

// FuzzPath checks that normalization is idempotent and that no normal form contains anything ambiguous.
func FuzzPath(f *testing.F) {
	for _, s := range []string{"/a/../b", "/%2e%2E//x/.", "/a%2F..", "//..//", "/.%2e/%2e."} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, path string) {
		plain, ok := NormalizePath(path)
		if !ok {
			return
		}
		if again, ok := NormalizePath(plain); !ok || again != plain {
			t.Errorf("%q is %q, and that is %q", path, plain, again)
		}
		for _, s := range strings.Split(strings.TrimSuffix(plain[1:], "/"), "/") {
			if s == "." || s == ".." || s == "" && plain != "/" || strings.Contains(strings.ToLower(s), "%2e") {
				t.Errorf("%q is %q", path, plain)
			}
		}
	})
}

// hasPrecedence is the precedence as defined in docs/routes.md, for entries of two routes that both match.
func hasPrecedence(a, b entry) bool {
	rank := func(e entry) []int {
		host := 1 << 20
		if suffix, wildcard := strings.CutPrefix(e.host, "*."); wildcard {
			host = len(suffix)
		} else if e.host == "*" {
			host = 0
		}
		path := 1 << 20
		if e.prefix {
			path = strings.Count(e.path, "/")
		}
		fewerFirst := func(n int) int {
			if n == 0 {
				return -1 << 20
			}
			return -n
		}
		return []int{host, path, fewerFirst(len(e.methods)), len(e.headers), fewerFirst(len(e.listeners)), -countWildcards(e.headers)}
	}
	return slices.Compare(rank(a), rank(b)) > 0
}

// Find must return the matching route with the highest precedence, whatever the order of the routes.
func TestFindReturnsHighestPrecedence(t *testing.T) {
	hosts := []string{"a.x.org", "b.x.org", "*.x.org", "*.org", "*", "x.org"}
	paths := []string{"/", "/p", "/p/q", "/p/q/r", "/p/qq"}
	list := func(from []string, most int) *rapid.Generator[[]string] {
		return rapid.SliceOfNDistinct(rapid.SampledFrom(from), 0, most, rapid.ID)
	}
	rapid.Check(t, func(t *rapid.T) {
		var given []Route
		for n := range rapid.IntRange(1, 12).Draw(t, "routes") {
			r := Route{
				Name: fmt.Sprint(n), Hosts: list(hosts, 3).Draw(t, "hosts"), Paths: list(paths, 2).Draw(t, "paths"),
				Prefixes: list(paths, 2).Draw(t, "prefixes"), Methods: list([]string{"GET", "POST", "PUT"}, 2).Draw(t, "methods"),
				Listeners: list([]string{"l", "m"}, 1).Draw(t, "listeners"),
			}
			for _, name := range list([]string{"X-A", "X-B"}, 2).Draw(t, "headers") {
				r.Headers = append(r.Headers, Header{name, rapid.SampledFrom([]string{"1", "*"}).Draw(t, "value")})
			}
			given = append(given, r)
		}
		table, faults := New(given)
		shuffled := slices.Clone(given)
		rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 0)).Shuffle(len(given), func(i, j int) {
			shuffled[i], shuffled[j] = shuffled[j], shuffled[i]
		})
		shuffledTable, _ := New(shuffled)
		if table == nil || shuffledTable == nil {
			if (table == nil) != (shuffledTable == nil) {
				t.Fatalf("a fault in one order only: %v", faults)
			}
			return
		}
		headers := http.Header{}
		for _, name := range []string{"X-A", "X-B"} {
			if v := rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, name); v != "" {
				headers.Set(name, v)
			}
		}
		request := &Request{
			Host:   rapid.SampledFrom([]string{"a.x.org", "b.x.org", "c.x.org", "d.c.x.org", "x.org", "y.org", "z", ""}).Draw(t, "host"),
			Path:   rapid.SampledFrom([]string{"/", "/p", "/p/", "/p/q", "/p/q/", "/p/q/r/s", "/pp", "/p/qq"}).Draw(t, "path"),
			Method: rapid.SampledFrom([]string{"GET", "POST", "DELETE"}).Draw(t, "method"), Listener: "l",
			Header: func(name string) (string, bool) { return headers.Get(name), headers.Get(name) != "" },
		}
		var best *entry
		for _, h := range table.hosts {
			for _, byPath := range []map[string][]*entry{h.exact, h.prefix} {
				for _, list := range byPath {
					for _, e := range list {
						suffix, wild := strings.CutPrefix(e.host, "*.")
						host := e.host == "*" || e.host == request.Host && request.Host != "" || wild && strings.HasSuffix(request.Host, "."+suffix)
						path := e.path == request.Path
						if e.prefix {
							path = request.Path == e.path || strings.HasPrefix(request.Path, e.path+"/")
						}
						if host && path && e.matches(request) && (best == nil || hasPrecedence(*e, *best)) {
							best = e
						}
					}
				}
			}
		}
		got, foundShuffled := table.Find(request), shuffledTable.Find(request)
		if (got == nil) != (best == nil) || got != nil && got.Name != best.Name && hasPrecedence(*best, findEntry(table, got, request)) {
			t.Fatalf("%+v found %+v, best is %+v", request, got, best)
		}
		if (got == nil) != (foundShuffled == nil) || got != nil && got.Name != foundShuffled.Name {
			t.Fatalf("%+v found %+v in one order and %+v in another", request, got, foundShuffled)
		}
		selected := 0
		for _, m := range table.Explain(request) {
			if m.Reason == "" {
				selected++
				if m.Route != got {
					t.Fatalf("Explain selects %q, Find %q", m.Route.Name, got.Name)
				}
			}
		}
		if selected > 1 || (selected == 1) != (got != nil) {
			t.Fatalf("Explain selects %d routes", selected)
		}
	})
}

// findEntry returns the first entry of the route that matches the request.
func findEntry(t *Table, r *Route, request *Request) (found entry) {
	t.walk(request, func(e *entry) bool {
		if e.Route == r && e.matches(request) {
			found = *e
		}
		return found.Route == nil
	})
	return found
}

// Indistinguishable routes and invalid conditions are faults, overlapping routes are warnings.
func TestFaultsAndWarnings(t *testing.T) {
	for name, c := range map[string]struct {
		a, b Route
		want string
	}{
		"same":       {Route{Hosts: []string{"a"}}, Route{Hosts: []string{"b", "a"}, Prefixes: []string{"/"}}, "cannot be told"},
		"methods":    {Route{Methods: []string{"GET", "PUT"}}, Route{Methods: []string{"PUT", "GET", "GET"}}, "cannot be told"},
		"overlap":    {Route{Methods: []string{"GET"}}, Route{}, "overlaps"},
		"headers":    {Route{Headers: []Header{{"A", "1"}}}, Route{Headers: []Header{{"B", "1"}}}, "overlaps"},
		"within":     {Route{Prefixes: []string{"/a"}}, Route{Prefixes: []string{"/a/b/c"}}, "lies within"},
		"apart":      {Route{Headers: []Header{{"A", "1"}}}, Route{Headers: []Header{{"A", "2"}}}, ""},
		"methods ok": {Route{Methods: []string{"GET"}}, Route{Methods: []string{"PUT"}}, ""},
		"segments":   {Route{Prefixes: []string{"/a"}}, Route{Prefixes: []string{"/ab"}}, ""},
		"host":       {Route{Hosts: []string{"a"}}, Route{Hosts: []string{"A:80"}}, "is no host"},
		"path":       {Route{}, Route{Paths: []string{"/a/../b"}}, `the normal form is "/b"`},
		"method":     {Route{}, Route{Methods: []string{"get"}}, "capitals"},
	} {
		c.a.Name, c.b.Name = "one", "two"
		_, faults := New([]Route{c.a, c.b})
		if (len(faults) > 0) != (c.want != "") || c.want != "" && !strings.Contains(faults[0].Text, c.want) {
			t.Errorf("%s: %+v", name, faults)
		}
	}
}

// BenchmarkFind measures a lookup with different numbers of routes.
func BenchmarkFind(b *testing.B) {
	for _, n := range []int{10, 1000, 100_000} {
		var given []Route
		for i := range n {
			given = append(given, Route{
				Name: fmt.Sprint(i), Hosts: []string{fmt.Sprintf("h%d.example.org", i/10)}, Prefixes: []string{fmt.Sprintf("/part/%d", i%10)},
			})
		}
		table, faults := New(given)
		if table == nil {
			b.Fatal(faults)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			var queries []Request
			for i := range 1000 {
				k := i * 7919 % n
				queries = append(queries, Request{
					Host: fmt.Sprintf("h%d.example.org", k/10), Path: fmt.Sprintf("/part/%d/photos/%d", k%10, i), Method: "GET",
				})
			}
			for i := 0; b.Loop(); i++ {
				if table.Find(&queries[i%len(queries)]) == nil {
					b.Fatal("not found")
				}
			}
		})
	}
}
