// Package settings reads TOML files: each key by what its value must be, with all that is wrong at once, each fault with
// its line, its key and what would be right.
package settings

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// File is a TOML file as it is read: its values, where they stand, and what is wrong with it so far. The library's
// own decoding into a struct ends at the first value of a wrong type; here all faults are found at once.
type File struct {
	Name   string
	Faults []Fault
	lines  map[string]int // by key
	getenv func(string) (string, bool)
}

// Fault is something wrong with a file, or something to know that is no fault.
type Fault struct {
	File   string
	Line   int // 0 if it isn't known
	Key    string
	Text   string
	Remark bool
}

func (f Fault) Error() string {
	what := f.File
	if f.Line > 0 {
		what += fmt.Sprintf(":%d", f.Line)
	}
	if f.Key != "" {
		what += ": " + f.Key
	}
	return what + ": " + f.Text
}

// Failed reports whether anything is wrong, and leaves all that was noted in the order of its lines.
func (f *File) Failed() bool {
	slices.SortStableFunc(f.Faults, func(a, b Fault) int { return a.Line - b.Line })
	// Danger: a fault that is found twice, by a value and by what hangs on it, hides the others.
	f.Faults = slices.Compact(f.Faults)
	return slices.ContainsFunc(f.Faults, func(x Fault) bool { return !x.Remark })
}

// Table is one table of a file. Each key is read once, by what its value must be; end names those never asked for.
type Table struct {
	F    *File
	Path string
	m    map[string]any
	keys []string // asked for
}

// Parse reads a text; a text that is no TOML has its one fault in the file.
func Parse(name string, text []byte, getenv func(string) (string, bool)) (*File, *Table) {
	f := &File{Name: name, lines: map[string]int{}, getenv: getenv}
	root := &Table{F: f, m: map[string]any{}}
	if err := toml.Unmarshal(text, &root.m); err != nil {
		line := 0
		var at *toml.DecodeError
		if errors.As(err, &at) {
			line, _ = at.Position()
		}
		f.Faults = append(f.Faults, Fault{File: name, Line: line, Text: strings.TrimPrefix(err.Error(), "toml: ")})
		return f, nil
	}
	f.locate(text)
	root.expand(root.m, "")
	return f, root
}

// locate notes the line of each key.
func (f *File) locate(text []byte) {
	var p unstable.Parser
	p.Reset(text)
	counts := map[string]int{} // of arrays of tables
	at := ""
	note := func(base string, key unstable.Iterator) string {
		for key.Next() {
			n := key.Node()
			base = Join(base, string(n.Data))
			if _, known := f.lines[base]; !known {
				f.lines[base] = p.Shape(n.Raw).Start.Line
			}
			if n := counts[base]; n > 0 && !key.IsLast() {
				base = fmt.Sprintf("%s[%d]", base, n-1)
			}
		}
		return base
	}
	var inside func(base string, n *unstable.Node)
	inside = func(base string, n *unstable.Node) {
		switch n.Kind {
		case unstable.KeyValue:
			inside(note(base, n.Key()), n.Value())
		case unstable.InlineTable:
			for c := n.Children(); c.Next(); {
				inside(base, c.Node())
			}
		case unstable.Array:
			i := 0
			for c := n.Children(); c.Next(); {
				if c.Node().Kind != unstable.Comment {
					inside(fmt.Sprintf("%s[%d]", base, i), c.Node())
					i++
				}
			}
		}
	}
	for p.NextExpression() {
		n := p.Expression()
		switch n.Kind {
		case unstable.Table:
			at = note("", n.Key())
		case unstable.ArrayTable:
			at = note("", n.Key())
			counts[at]++
			at = fmt.Sprintf("%s[%d]", at, counts[at]-1)
			for key := n.Key(); key.Next(); {
				f.lines[at] = p.Shape(key.Node().Raw).Start.Line
			}
		case unstable.KeyValue:
			inside(at, n)
		}
	}
}

// Join is the name of a key in a table.
func Join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// line is where a key stands, or what it stands in.
func (f *File) line(path string) int {
	for path != "" {
		if n := f.lines[path]; n > 0 {
			return n
		}
		path = path[:max(strings.LastIndexByte(path, '.'), strings.LastIndexByte(path, '['), 0)]
	}
	return 0
}

// Fault notes what is wrong with a key.
func (f *File) Fault(path, text string, values ...any) {
	f.Faults = append(f.Faults, Fault{f.Name, f.line(path), path, fmt.Sprintf(text, values...), false})
}

// Remark notes what is no fault.
func (f *File) Remark(path, text string, values ...any) {
	f.Faults = append(f.Faults, Fault{f.Name, f.line(path), path, fmt.Sprintf(text, values...), true})
}

// filled is a text that a variable was put into: such a one may stand for a number or a yes or no.
type filled string

// expand puts the environment's variables into texts: ${NAME}, or ${NAME:-what else}.
func (t *Table) expand(v any, path string) any {
	switch v := v.(type) {
	case map[string]any:
		for k := range v {
			v[k] = t.expand(v[k], Join(path, k))
		}
	case []any:
		for i := range v {
			v[i] = t.expand(v[i], fmt.Sprintf("%s[%d]", path, i))
		}
	case string:
		if !strings.Contains(v, "${") {
			return v
		}
		var out strings.Builder
		for rest := v; ; {
			before, after, some := strings.Cut(rest, "${")
			out.WriteString(before)
			if !some {
				return filled(out.String())
			}
			inner, behind, closed := strings.Cut(after, "}")
			name, other, has := strings.Cut(inner, ":-")
			value, set := t.F.getenv(name)
			switch {
			case !closed:
				t.F.Fault(path, "a \"${\" without its \"}\"")
				return filled("")
			case set && value != "":
				out.WriteString(value)
			case has:
				out.WriteString(other)
			default:
				t.F.Fault(path, "the environment has no %s; set it, or write ${%s:-some default}", name, name)
			}
			rest = behind
		}
	}
	return v
}

// take returns a key's value, nil if it isn't there.
func (t *Table) take(key string) (value any, path string) {
	t.keys = append(t.keys, key)
	if f, some := t.m[key].(filled); some {
		return string(f), Join(t.Path, key)
	}
	return t.m[key], Join(t.Path, key)
}

// Has reports whether a key is there.
func (t *Table) Has(key string) bool { return t.m[key] != nil }

// Text reads a string.
func (t *Table) Text(key, unsaid string) string {
	v, path := t.take(key)
	switch v := v.(type) {
	case nil:
		return unsaid
	case string:
		return v
	}
	t.F.Fault(path, "%v is no text; write it in quotes", v)
	return unsaid
}

// Must reads a string that has to be there.
func (t *Table) Must(key, what string) string {
	text := t.Text(key, "")
	if text == "" && !t.F.faulty(Join(t.Path, key)) {
		t.F.Fault(Join(t.Path, key), "is missing: %s", what)
	}
	return text
}

func (f *File) faulty(path string) bool {
	return slices.ContainsFunc(f.Faults, func(x Fault) bool { return !x.Remark && x.Key == path })
}

// One reads one of some words.
func (t *Table) One(key, unsaid string, words ...string) string {
	text := t.Text(key, unsaid)
	if !slices.Contains(words, text) {
		t.F.Fault(Join(t.Path, key), "%q is none of %s", text, strings.Join(words, ", "))
		return unsaid
	}
	return text
}

// Flag reads a yes or no.
func (t *Table) Flag(key string, unsaid bool) bool {
	v, path := t.take(key)
	switch v := v.(type) {
	case nil:
		return unsaid
	case bool:
		return v
	case string:
		if b, err := strconv.ParseBool(v); err == nil && t.filled(key) {
			return b
		}
	}
	t.F.Fault(path, "%s is neither true nor false", show(v))
	return unsaid
}

func (t *Table) filled(key string) bool {
	_, some := t.m[key].(filled)
	return some
}

// Number reads a number within bounds.
func (t *Table) Number(key string, unsaid, least, most float64) float64 {
	v, path := t.take(key)
	n := math.NaN()
	switch v := v.(type) {
	case nil:
		return unsaid
	case int64:
		n = float64(v)
	case float64:
		n = v
	case string:
		if f, err := strconv.ParseFloat(v, 64); err == nil && t.filled(key) {
			n = f
		}
	}
	switch {
	case math.IsNaN(n) || math.IsInf(n, 0):
		t.F.Fault(path, "%s is no number", show(v))
	case n < least || n > most:
		t.F.Fault(path, "%v lies outside %v to %v", n, least, most)
	default:
		return n
	}
	return unsaid
}

// Whole reads a whole number within bounds.
func (t *Table) Whole(key string, unsaid, least, most int) int {
	n := t.Number(key, float64(unsaid), float64(least), float64(most))
	if n != math.Trunc(n) {
		t.F.Fault(Join(t.Path, key), "%v is no whole number", n)
		return unsaid
	}
	return int(n)
}

const longest = 24 * time.Hour

// Time reads a duration: "250ms", "1.5s", "2m".
func (t *Table) Time(key string, unsaid, least time.Duration) time.Duration {
	v, path := t.take(key)
	if v == nil {
		return unsaid
	}
	text, _ := v.(string)
	d, err := time.ParseDuration(text)
	switch {
	case err != nil:
		t.F.Fault(path, "%s is no time; write it as \"250ms\", \"1.5s\" or \"2m\"", show(v))
	case d < least || d > longest:
		t.F.Fault(path, "%s lies outside %s to %s", d, least, longest)
	default:
		return d
	}
	return unsaid
}

var units = []struct {
	name  string
	bytes float64
}{
	{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"kB", 1e3}, {"KB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"B", 1},
}

// Size reads an amount of bytes: "64KiB", "8MiB", "1.5GB", or a plain number.
func (t *Table) Size(key string, unsaid, least int64) int64 {
	v, path := t.take(key)
	n, ok := 0.0, false
	switch v := v.(type) {
	case nil:
		return unsaid
	case int64:
		n, ok = float64(v), true
	case string:
		number, unit := v, 1.0
		for _, u := range units {
			if rest, some := strings.CutSuffix(v, u.name); some {
				number, unit = strings.TrimSpace(rest), u.bytes
				break
			}
		}
		f, err := strconv.ParseFloat(number, 64)
		n, ok = f*unit, err == nil && !math.IsInf(f, 0) && !math.IsNaN(f)
	}
	switch {
	case !ok:
		t.F.Fault(path, "%s is no size; write it as \"64KiB\" or \"8MiB\"", show(v))
	case n < float64(least) || n > 1<<50:
		t.F.Fault(path, "%s is too small or too large; the least is %d bytes", show(v), least)
	default:
		return int64(n)
	}
	return unsaid
}

// Texts reads a list of strings, or one alone.
func (t *Table) Texts(key string) (all []string) {
	v, path := t.take(key)
	switch v := v.(type) {
	case nil:
	case string:
		return []string{v}
	case []any:
		for i, e := range v {
			switch e := e.(type) {
			case string:
				all = append(all, e)
			case filled:
				all = append(all, string(e))
			default:
				t.F.Fault(fmt.Sprintf("%s[%d]", path, i), "%s is no text; write it in quotes", show(e))
			}
		}
	default:
		t.F.Fault(path, "%s is no list; write it as [\"a\", \"b\"]", show(v))
	}
	return all
}

// Address reads a host and a port; what says what to write where one must be there, "" where none must.
func (t *Table) Address(key, what string) string {
	text := t.Text(key, "")
	if text == "" && what != "" {
		text = t.Must(key, what)
	}
	if text == "" {
		return ""
	}
	if err := Reachable(text); err != "" {
		t.F.Fault(Join(t.Path, key), "%q %s", text, err)
	}
	return text
}

// Reachable says what is wrong with an address.
func Reachable(address string) string {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return "is no address; write it as \"127.0.0.1:8000\" or \"[::1]:8000\""
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return "has no port from 1 to 65535"
	}
	return ""
}

// Map reads a table of texts.
func (t *Table) Map(key string) map[string]string {
	in := t.Table(key)
	m := map[string]string{}
	for _, name := range in.Names() {
		m[name] = in.Text(name, "")
	}
	return m
}

// Table reads a table; one that isn't there is empty.
func (t *Table) Table(key string) *Table {
	v, path := t.take(key)
	m, ok := v.(map[string]any)
	if !ok && v != nil {
		t.F.Fault(path, "is no table; write it as [%s]", path)
	}
	return &Table{F: t.F, Path: path, m: m}
}

// Named reads a table of tables, in the order of their names.
func (t *Table) Named(key string) (names []string, all []*Table) {
	in := t.Table(key)
	for _, name := range in.Names() {
		if name == "" || strings.Trim(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_") != "" {
			t.F.Fault(Join(in.Path, name), "%q is no name; letters, digits, \"-\" and \"_\" make one", name)
		}
		names, all = append(names, name), append(all, in.Table(name))
	}
	return names, all
}

// Names are the keys of a table.
func (t *Table) Names() []string { return slices.Sorted(maps.Keys(t.m)) }

// Tables reads an array of tables.
func (t *Table) Tables(key string) (all []*Table) {
	v, path := t.take(key)
	list, ok := v.([]any)
	if !ok && v != nil {
		t.F.Fault(path, "is no list of tables; write each as [[%s]]", path)
	}
	for i, e := range list {
		at := fmt.Sprintf("%s[%d]", path, i)
		m, ok := e.(map[string]any)
		if !ok {
			t.F.Fault(at, "is no table")
			continue
		}
		all = append(all, &Table{F: t.F, Path: at, m: m})
	}
	return all
}

// End names the keys that nobody asked for.
func (t *Table) End() {
	for _, key := range t.Names() {
		if slices.Contains(t.keys, key) {
			continue
		}
		text := "is no key here"
		if like := nearest(key, t.keys); like != "" {
			text += "; " + like + " is"
		} else if len(t.keys) < 40 {
			text += "; there are " + strings.Join(slices.Sorted(slices.Values(t.keys)), ", ")
		}
		t.F.Fault(Join(t.Path, key), "%s", text)
	}
}

// nearest is the word that was probably meant.
func nearest(word string, words []string) (best string) {
	least := 1 + len(word)/3
	for _, w := range slices.Sorted(slices.Values(words)) {
		if d := distance(word, w); d <= least {
			best, least = w, d-1
		}
	}
	return best
}

// distance is how many letters are to be put in, taken out or changed.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		corner := row[0]
		row[0] = i + 1
		for j := range len(b) {
			change := corner
			if a[i] != b[j] {
				change++
			}
			corner = row[j+1]
			row[j+1] = min(change, row[j+1]+1, row[j]+1)
		}
	}
	return row[len(b)]
}

func show(v any) string {
	if text, ok := v.(string); ok {
		return strconv.Quote(text)
	}
	return fmt.Sprint(v)
}

// Moment reads a point in time, in Unix nanoseconds, 0 if there is none.
func (t *Table) Moment(key string) int64 {
	v, path := t.take(key)
	switch v := v.(type) {
	case nil:
		return 0
	case time.Time:
		return v.UnixNano()
	}
	t.F.Fault(path, "%s is no point in time with its zone; write it as 2026-12-01T13:00:00Z", show(v))
	return 0
}

// Raw is a key's value as it stands, for what another reader understands; variables in it are filled in.
func (t *Table) Raw(key string) any {
	v, _ := t.take(key)
	return plain(v)
}

func plain(v any) any {
	switch v := v.(type) {
	case filled:
		return string(v)
	case map[string]any:
		m := map[string]any{}
		for k := range v {
			m[k] = plain(v[k])
		}
		return m
	case []any:
		all := make([]any, len(v))
		for i := range v {
			all[i] = plain(v[i])
		}
		return all
	}
	return v
}
