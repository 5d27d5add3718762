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
	File    string
	Line    int // 0 if it isn't known
	Key     string
	Text    string
	Warning bool
}

func (f Fault) Error() string {
	message := f.File
	if f.Line > 0 {
		message += fmt.Sprintf(":%d", f.Line)
	}
	if f.Key != "" {
		message += ": " + f.Key
	}
	return message + ": " + f.Text
}

// Finish reports whether anything is wrong, and leaves all that was noted in the order of its lines.
func (f *File) Finish() bool {
	slices.SortStableFunc(f.Faults, func(a, b Fault) int { return a.Line - b.Line })
	// Danger: a fault that is found twice, by a value and by what hangs on it, hides the others.
	f.Faults = slices.Compact(f.Faults)
	return slices.ContainsFunc(f.Faults, func(x Fault) bool { return !x.Warning })
}

// Table is one table of a file. Each key is read once, by what its value must be; end names those never asked for.
type Table struct {
	File      *File
	Path      string
	values    map[string]any
	requested []string // asked for
}

// Parse reads a text; a text that is no TOML has its one fault in the file.
func Parse(name string, text []byte, getenv func(string) (string, bool)) (*File, *Table) {
	f := &File{Name: name, lines: map[string]int{}, getenv: getenv}
	root := &Table{File: f, values: map[string]any{}}
	if err := toml.Unmarshal(text, &root.values); err != nil {
		line := 0
		var at *toml.DecodeError
		if errors.As(err, &at) {
			line, _ = at.Position()
		}
		f.Faults = append(f.Faults, Fault{File: name, Line: line, Text: strings.TrimPrefix(err.Error(), "toml: ")})
		return f, nil
	}
	f.recordLines(text)
	root.expand(root.values, "")
	return f, root
}

// recordLines notes the line of each key.
func (f *File) recordLines(text []byte) {
	var p unstable.Parser
	p.Reset(text)
	counts := map[string]int{} // of arrays of tables
	tablePath := ""
	record := func(base string, key unstable.Iterator) string {
		for key.Next() {
			n := key.Node()
			base = JoinPath(base, string(n.Data))
			if _, known := f.lines[base]; !known {
				f.lines[base] = p.Shape(n.Raw).Start.Line
			}
			if n := counts[base]; n > 0 && !key.IsLast() {
				base = fmt.Sprintf("%s[%d]", base, n-1)
			}
		}
		return base
	}
	var recordValue func(base string, n *unstable.Node)
	recordValue = func(base string, n *unstable.Node) {
		switch n.Kind {
		case unstable.KeyValue:
			recordValue(record(base, n.Key()), n.Value())
		case unstable.InlineTable:
			for c := n.Children(); c.Next(); {
				recordValue(base, c.Node())
			}
		case unstable.Array:
			i := 0
			for c := n.Children(); c.Next(); {
				if c.Node().Kind != unstable.Comment {
					recordValue(fmt.Sprintf("%s[%d]", base, i), c.Node())
					i++
				}
			}
		}
	}
	for p.NextExpression() {
		n := p.Expression()
		switch n.Kind {
		case unstable.Table:
			tablePath = record("", n.Key())
		case unstable.ArrayTable:
			tablePath = record("", n.Key())
			counts[tablePath]++
			tablePath = fmt.Sprintf("%s[%d]", tablePath, counts[tablePath]-1)
			for key := n.Key(); key.Next(); {
				f.lines[tablePath] = p.Shape(key.Node().Raw).Start.Line
			}
		case unstable.KeyValue:
			recordValue(tablePath, n)
		}
	}
}

// JoinPath is the name of a key in a table.
func JoinPath(path, key string) string {
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

// Warn notes what is no fault.
func (f *File) Warn(path, text string, values ...any) {
	f.Faults = append(f.Faults, Fault{f.Name, f.line(path), path, fmt.Sprintf(text, values...), true})
}

// expandedText is a text that a variable was put into: such a one may stand for a number or a yes or no.
type expandedText string

// expand puts the environment's variables into texts: ${NAME}, or ${NAME:-what else}.
func (t *Table) expand(v any, path string) any {
	switch v := v.(type) {
	case map[string]any:
		for k := range v {
			v[k] = t.expand(v[k], JoinPath(path, k))
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
			before, after, found := strings.Cut(rest, "${")
			out.WriteString(before)
			if !found {
				return expandedText(out.String())
			}
			reference, remainder, closed := strings.Cut(after, "}")
			name, defaultValue, hasDefault := strings.Cut(reference, ":-")
			value, set := t.File.getenv(name)
			switch {
			case !closed:
				t.File.Fault(path, "a \"${\" without its \"}\"")
				return expandedText("")
			case set && value != "":
				out.WriteString(value)
			case hasDefault:
				out.WriteString(defaultValue)
			default:
				t.File.Fault(path, "the environment has no %s; set it, or write ${%s:-some default}", name, name)
			}
			rest = remainder
		}
	}
	return v
}

// value returns a key's value, nil if it isn't there.
func (t *Table) value(key string) (value any, path string) {
	t.requested = append(t.requested, key)
	if f, some := t.values[key].(expandedText); some {
		return string(f), JoinPath(t.Path, key)
	}
	return t.values[key], JoinPath(t.Path, key)
}

// Has reports whether a key is there.
func (t *Table) Has(key string) bool { return t.values[key] != nil }

// Text reads a string.
func (t *Table) Text(key, fallback string) string {
	v, path := t.value(key)
	switch v := v.(type) {
	case nil:
		return fallback
	case string:
		return v
	}
	t.File.Fault(path, "%v is no text; write it in quotes", v)
	return fallback
}

// RequiredText reads a string that has to be there.
func (t *Table) RequiredText(key, description string) string {
	text := t.Text(key, "")
	if text == "" && !t.File.hasFault(JoinPath(t.Path, key)) {
		t.File.Fault(JoinPath(t.Path, key), "is missing: %s", description)
	}
	return text
}

func (f *File) hasFault(path string) bool {
	return slices.ContainsFunc(f.Faults, func(x Fault) bool { return !x.Warning && x.Key == path })
}

// Choice reads one of some words.
func (t *Table) Choice(key, fallback string, choices ...string) string {
	text := t.Text(key, fallback)
	if !slices.Contains(choices, text) {
		t.File.Fault(JoinPath(t.Path, key), "%q is none of %s", text, strings.Join(choices, ", "))
		return fallback
	}
	return text
}

// Bool reads a yes or no.
func (t *Table) Bool(key string, fallback bool) bool {
	v, path := t.value(key)
	switch v := v.(type) {
	case nil:
		return fallback
	case bool:
		return v
	case string:
		if b, err := strconv.ParseBool(v); err == nil && t.isExpanded(key) {
			return b
		}
	}
	t.File.Fault(path, "%s is neither true nor false", formatValue(v))
	return fallback
}

func (t *Table) isExpanded(key string) bool {
	_, some := t.values[key].(expandedText)
	return some
}

// Number reads a number within bounds.
func (t *Table) Number(key string, fallback, minimum, maximum float64) float64 {
	v, path := t.value(key)
	n := math.NaN()
	switch v := v.(type) {
	case nil:
		return fallback
	case int64:
		n = float64(v)
	case float64:
		n = v
	case string:
		if f, err := strconv.ParseFloat(v, 64); err == nil && t.isExpanded(key) {
			n = f
		}
	}
	switch {
	case math.IsNaN(n) || math.IsInf(n, 0):
		t.File.Fault(path, "%s is no number", formatValue(v))
	case n < minimum || n > maximum:
		t.File.Fault(path, "%v lies outside %v to %v", n, minimum, maximum)
	default:
		return n
	}
	return fallback
}

// Int reads a whole number within bounds.
func (t *Table) Int(key string, fallback, minimum, maximum int) int {
	n := t.Number(key, float64(fallback), float64(minimum), float64(maximum))
	if n != math.Trunc(n) {
		t.File.Fault(JoinPath(t.Path, key), "%v is no whole number", n)
		return fallback
	}
	return int(n)
}

const maxDuration = 24 * time.Hour

// Duration reads a duration: "250ms", "1.5s", "2m".
func (t *Table) Duration(key string, fallback, minimum time.Duration) time.Duration {
	v, path := t.value(key)
	if v == nil {
		return fallback
	}
	text, _ := v.(string)
	d, err := time.ParseDuration(text)
	switch {
	case err != nil:
		t.File.Fault(path, "%s is no time; write it as \"250ms\", \"1.5s\" or \"2m\"", formatValue(v))
	case d < minimum || d > maxDuration:
		t.File.Fault(path, "%s lies outside %s to %s", d, minimum, maxDuration)
	default:
		return d
	}
	return fallback
}

var sizeUnits = []struct {
	name  string
	bytes float64
}{
	{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"kB", 1e3}, {"KB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"B", 1},
}

// Size reads an amount of bytes: "64KiB", "8MiB", "1.5GB", or a plain number.
func (t *Table) Size(key string, fallback, minimum int64) int64 {
	v, path := t.value(key)
	n, ok := 0.0, false
	switch v := v.(type) {
	case nil:
		return fallback
	case int64:
		n, ok = float64(v), true
	case string:
		number, unit := v, 1.0
		for _, u := range sizeUnits {
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
		t.File.Fault(path, "%s is no size; write it as \"64KiB\" or \"8MiB\"", formatValue(v))
	case n < float64(minimum) || n > 1<<50:
		t.File.Fault(path, "%s is too small or too large; the least is %d bytes", formatValue(v), minimum)
	default:
		return int64(n)
	}
	return fallback
}

// Strings reads a list of strings, or one alone.
func (t *Table) Strings(key string) (all []string) {
	v, path := t.value(key)
	switch v := v.(type) {
	case nil:
	case string:
		return []string{v}
	case []any:
		for i, e := range v {
			switch e := e.(type) {
			case string:
				all = append(all, e)
			case expandedText:
				all = append(all, string(e))
			default:
				t.File.Fault(fmt.Sprintf("%s[%d]", path, i), "%s is no text; write it in quotes", formatValue(e))
			}
		}
	default:
		t.File.Fault(path, "%s is no list; write it as [\"a\", \"b\"]", formatValue(v))
	}
	return all
}

// Address reads a host and a port; what says what to write where one must be there, "" where none must.
func (t *Table) Address(key, description string) string {
	text := t.Text(key, "")
	if text == "" && description != "" {
		text = t.RequiredText(key, description)
	}
	if text == "" {
		return ""
	}
	if problem := AddressProblem(text); problem != "" {
		t.File.Fault(JoinPath(t.Path, key), "%q %s", text, problem)
	}
	return text
}

// AddressProblem says what is wrong with an address.
func AddressProblem(address string) string {
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
	table := t.Table(key)
	m := map[string]string{}
	for _, name := range table.Keys() {
		m[name] = table.Text(name, "")
	}
	return m
}

// Table reads a table; one that isn't there is empty.
func (t *Table) Table(key string) *Table {
	v, path := t.value(key)
	m, ok := v.(map[string]any)
	if !ok && v != nil {
		t.File.Fault(path, "is no table; write it as [%s]", path)
	}
	return &Table{File: t.File, Path: path, values: m}
}

// NamedTables reads a table of tables, in the order of their names.
func (t *Table) NamedTables(key string) (names []string, all []*Table) {
	table := t.Table(key)
	for _, name := range table.Keys() {
		if name == "" || strings.Trim(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_") != "" {
			t.File.Fault(JoinPath(table.Path, name), "%q is no name; letters, digits, \"-\" and \"_\" make one", name)
		}
		names, all = append(names, name), append(all, table.Table(name))
	}
	return names, all
}

// Keys are the keys of a table.
func (t *Table) Keys() []string { return slices.Sorted(maps.Keys(t.values)) }

// Tables reads an array of tables.
func (t *Table) Tables(key string) (all []*Table) {
	v, path := t.value(key)
	list, ok := v.([]any)
	if !ok && v != nil {
		t.File.Fault(path, "is no list of tables; write each as [[%s]]", path)
	}
	for i, e := range list {
		at := fmt.Sprintf("%s[%d]", path, i)
		m, ok := e.(map[string]any)
		if !ok {
			t.File.Fault(at, "is no table")
			continue
		}
		all = append(all, &Table{File: t.File, Path: at, values: m})
	}
	return all
}

// ReportUnknownKeys names the keys that nobody asked for.
func (t *Table) ReportUnknownKeys() {
	for _, key := range t.Keys() {
		if slices.Contains(t.requested, key) {
			continue
		}
		text := "is no key here"
		if closest := closestKey(key, t.requested); closest != "" {
			text += "; " + closest + " is"
		} else if len(t.requested) < 40 {
			text += "; there are " + strings.Join(slices.Sorted(slices.Values(t.requested)), ", ")
		}
		t.File.Fault(JoinPath(t.Path, key), "%s", text)
	}
}

// closestKey is the word that was probably meant.
func closestKey(unknown string, known []string) (best string) {
	maxDistance := 1 + len(unknown)/3
	for _, candidate := range slices.Sorted(slices.Values(known)) {
		if d := editDistance(unknown, candidate); d <= maxDistance {
			best, maxDistance = candidate, d-1
		}
	}
	return best
}

// editDistance is how many letters are to be put in, taken out or changed.
func editDistance(a, b string) int {
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

func formatValue(v any) string {
	if text, ok := v.(string); ok {
		return strconv.Quote(text)
	}
	return fmt.Sprint(v)
}

// Timestamp reads a point in time, in Unix nanoseconds, 0 if there is none.
func (t *Table) Timestamp(key string) int64 {
	v, path := t.value(key)
	switch v := v.(type) {
	case nil:
		return 0
	case time.Time:
		return v.UnixNano()
	}
	t.File.Fault(path, "%s is no point in time with its zone; write it as 2026-12-01T13:00:00Z", formatValue(v))
	return 0
}

// Raw is a key's value as it stands, for what another reader understands; variables in it are filled in.
func (t *Table) Raw(key string) any {
	v, _ := t.value(key)
	return unwrapExpanded(v)
}

func unwrapExpanded(v any) any {
	switch v := v.(type) {
	case expandedText:
		return string(v)
	case map[string]any:
		m := map[string]any{}
		for k := range v {
			m[k] = unwrapExpanded(v[k])
		}
		return m
	case []any:
		all := make([]any, len(v))
		for i := range v {
			all[i] = unwrapExpanded(v[i])
		}
		return all
	}
	return v
}
