// Package settings reads TOML files. Each key is read as the type that its value must have. All faults of a file are reported
// at once, each with its line, its key and a valid alternative.
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

// File is a TOML file that is being read: the lines of its keys and the faults found so far. The library's own decoding into
// a struct stops at the first value of a wrong type, so it cannot report all faults at once.
type File struct {
	Name   string
	Faults []Fault
	lines  map[string]int // line numbers by key
	getenv func(string) (string, bool)
}

// Fault is an error in a file, or a warning about valid content.
type Fault struct {
	File    string
	Line    int // 0 if unknown
	Key     string
	Text    string
	Warning bool
}

// Error returns the message with file, line and key.
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

// Finish sorts the faults by line, removes duplicates and reports whether any of them is an error.
func (f *File) Finish() bool {
	slices.SortStableFunc(f.Faults, func(a, b Fault) int { return a.Line - b.Line })
	// A fault may be found twice, in a value and in a check that depends on it; repetitions would hide the other faults.
	f.Faults = slices.Compact(f.Faults)
	return slices.ContainsFunc(f.Faults, func(x Fault) bool { return !x.Warning })
}

// Table is one table of a file. Each key is read as the type that its value must have. ReportUnknownKeys reports the keys that
// were never read.
type Table struct {
	File      *File
	Path      string
	values    map[string]any
	requested []string // keys that were read
}

// Parse parses a text. If it is not valid TOML, the table is nil and the file has one fault. getenv looks up environment
// variables.
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

// recordLines records the line of each key.
func (f *File) recordLines(text []byte) {
	var p unstable.Parser
	p.Reset(text)
	counts := map[string]int{} // number of elements seen of each array of tables
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

// JoinPath returns the full path of a key in a table.
func JoinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// line returns the line of a key, or of the closest enclosing key whose line is known.
func (f *File) line(path string) int {
	for path != "" {
		if n := f.lines[path]; n > 0 {
			return n
		}
		path = path[:max(strings.LastIndexByte(path, '.'), strings.LastIndexByte(path, '['), 0)]
	}
	return 0
}

// Fault records an error in the value of a key.
func (f *File) Fault(path, text string, values ...any) {
	f.Faults = append(f.Faults, Fault{f.Name, f.line(path), path, fmt.Sprintf(text, values...), false})
}

// Warn records a warning about the value of a key.
func (f *File) Warn(path, text string, values ...any) {
	f.Faults = append(f.Faults, Fault{f.Name, f.line(path), path, fmt.Sprintf(text, values...), true})
}

// expandedText is a string in which a variable was expanded. Unlike other strings it may represent a number or a boolean.
type expandedText string

// expand replaces environment variables in strings: ${NAME}, or ${NAME:-default}.
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
				t.File.Fault(path, "\"${\" without a closing \"}\"")
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

// value returns the value of a key, or nil if it is absent, and marks the key as read.
func (t *Table) value(key string) (value any, path string) {
	t.requested = append(t.requested, key)
	if text, ok := t.values[key].(expandedText); ok {
		return string(text), JoinPath(t.Path, key)
	}
	return t.values[key], JoinPath(t.Path, key)
}

// Has reports whether a key is present.
func (t *Table) Has(key string) bool { return t.values[key] != nil }

// Text reads a string. The fallback is returned if the key is absent or its value invalid, as in the methods below.
func (t *Table) Text(key, fallback string) string {
	v, path := t.value(key)
	switch v := v.(type) {
	case nil:
		return fallback
	case string:
		return v
	}
	t.File.Fault(path, "%v is not a string; write it in quotes", v)
	return fallback
}

// RequiredText reads a string that must be present and not empty.
func (t *Table) RequiredText(key, description string) string {
	text := t.Text(key, "")
	if text == "" && !t.File.hasFault(JoinPath(t.Path, key)) {
		t.File.Fault(JoinPath(t.Path, key), "is missing: %s", description)
	}
	return text
}

// hasFault reports whether an error is recorded for a key.
func (f *File) hasFault(path string) bool {
	return slices.ContainsFunc(f.Faults, func(x Fault) bool { return !x.Warning && x.Key == path })
}

// Choice reads a string that must be one of the choices.
func (t *Table) Choice(key, fallback string, choices ...string) string {
	text := t.Text(key, fallback)
	if !slices.Contains(choices, text) {
		t.File.Fault(JoinPath(t.Path, key), "%q is none of %s", text, strings.Join(choices, ", "))
		return fallback
	}
	return text
}

// Bool reads a boolean.
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

// isExpanded reports whether a variable was expanded in the value of a key.
func (t *Table) isExpanded(key string) bool {
	_, ok := t.values[key].(expandedText)
	return ok
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
		t.File.Fault(path, "%s is not a number", formatValue(v))
	case n < minimum || n > maximum:
		t.File.Fault(path, "%v lies outside %v to %v", n, minimum, maximum)
	default:
		return n
	}
	return fallback
}

// Int reads an integer within bounds.
func (t *Table) Int(key string, fallback, minimum, maximum int) int {
	n := t.Number(key, float64(fallback), float64(minimum), float64(maximum))
	if n != math.Trunc(n) {
		t.File.Fault(JoinPath(t.Path, key), "%v is not a whole number", n)
		return fallback
	}
	return int(n)
}

// maxDuration is the longest duration that Duration accepts.
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
		t.File.Fault(path, "%s is not a duration; write it as \"250ms\", \"1.5s\" or \"2m\"", formatValue(v))
	case d < minimum || d > maxDuration:
		t.File.Fault(path, "%s lies outside %s to %s", d, minimum, maxDuration)
	default:
		return d
	}
	return fallback
}

// sizeUnits are the suffixes that Size accepts; a suffix of another one must follow it.
var sizeUnits = []struct {
	name  string
	bytes float64
}{
	{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"kB", 1e3}, {"KB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"B", 1},
}

// Size reads a number of bytes: "64KiB", "8MiB", "1.5GB", or a plain number.
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
			if rest, ok := strings.CutSuffix(v, u.name); ok {
				number, unit = strings.TrimSpace(rest), u.bytes
				break
			}
		}
		f, err := strconv.ParseFloat(number, 64)
		n, ok = f*unit, err == nil && !math.IsInf(f, 0) && !math.IsNaN(f)
	}
	switch {
	case !ok:
		t.File.Fault(path, "%s is not a size; write it as \"64KiB\" or \"8MiB\"", formatValue(v))
	case n < float64(minimum) || n > 1<<50:
		t.File.Fault(path, "%s is too small or too large; the minimum is %d bytes", formatValue(v), minimum)
	default:
		return int64(n)
	}
	return fallback
}

// Strings reads a list of strings, or a single string as a list of one.
func (t *Table) Strings(key string) (texts []string) {
	v, path := t.value(key)
	switch v := v.(type) {
	case nil:
	case string:
		return []string{v}
	case []any:
		for i, element := range v {
			switch element := element.(type) {
			case string:
				texts = append(texts, element)
			case expandedText:
				texts = append(texts, string(element))
			default:
				t.File.Fault(fmt.Sprintf("%s[%d]", path, i), "%s is not a string; write it in quotes", formatValue(element))
			}
		}
	default:
		t.File.Fault(path, "%s is not a list; write it as [\"a\", \"b\"]", formatValue(v))
	}
	return texts
}

// Address reads a host and a port. The description is shown if the address is missing; "" makes the address optional.
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

// AddressProblem describes what is wrong with an address with port, or returns "" if it is valid.
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

// Map reads a table of strings.
func (t *Table) Map(key string) map[string]string {
	table := t.Table(key)
	m := map[string]string{}
	for _, name := range table.Keys() {
		m[name] = table.Text(name, "")
	}
	return m
}

// Table reads a table; an absent one is empty.
func (t *Table) Table(key string) *Table {
	v, path := t.value(key)
	m, ok := v.(map[string]any)
	if !ok && v != nil {
		t.File.Fault(path, "is not a table; write it as [%s]", path)
	}
	return &Table{File: t.File, Path: path, values: m}
}

// NamedTables reads a table of tables, sorted by name.
func (t *Table) NamedTables(key string) (names []string, tables []*Table) {
	table := t.Table(key)
	for _, name := range table.Keys() {
		if name == "" || strings.Trim(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_") != "" {
			t.File.Fault(JoinPath(table.Path, name), "%q is not a valid name; use letters, digits, \"-\" and \"_\"", name)
		}
		names, tables = append(names, name), append(tables, table.Table(name))
	}
	return names, tables
}

// Keys returns the keys of a table in alphabetical order.
func (t *Table) Keys() []string { return slices.Sorted(maps.Keys(t.values)) }

// Tables reads an array of tables.
func (t *Table) Tables(key string) (tables []*Table) {
	v, path := t.value(key)
	list, ok := v.([]any)
	if !ok && v != nil {
		t.File.Fault(path, "is not a list of tables; write each as [[%s]]", path)
	}
	for i, element := range list {
		elementPath := fmt.Sprintf("%s[%d]", path, i)
		m, ok := element.(map[string]any)
		if !ok {
			t.File.Fault(elementPath, "is not a table")
			continue
		}
		tables = append(tables, &Table{File: t.File, Path: elementPath, values: m})
	}
	return tables
}

// ReportUnknownKeys records a fault for each key that was not read.
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

// closestKey returns the known key that was probably meant, or "" if none is similar.
func closestKey(unknown string, known []string) (best string) {
	maxDistance := 1 + len(unknown)/3
	for _, candidate := range slices.Sorted(slices.Values(known)) {
		if d := editDistance(unknown, candidate); d <= maxDistance {
			best, maxDistance = candidate, d-1
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of two strings: the insertions, deletions and changes of bytes.
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

// formatValue formats a value for a message.
func formatValue(v any) string {
	if text, ok := v.(string); ok {
		return strconv.Quote(text)
	}
	return fmt.Sprint(v)
}

// Timestamp reads a point in time as Unix nanoseconds; 0 if it is absent.
func (t *Table) Timestamp(key string) int64 {
	v, path := t.value(key)
	switch v := v.(type) {
	case nil:
		return 0
	case time.Time:
		return v.UnixNano()
	}
	t.File.Fault(path, "%s is not a point in time with a time zone; write it as 2026-12-01T13:00:00Z", formatValue(v))
	return 0
}

// Raw returns the value of a key without checks, for other decoders; variables in it are expanded.
func (t *Table) Raw(key string) any {
	v, _ := t.value(key)
	return unwrapExpanded(v)
}

// unwrapExpanded returns a copy of the value in which each expandedText is a string.
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
		list := make([]any, len(v))
		for i := range v {
			list[i] = unwrapExpanded(v[i])
		}
		return list
	}
	return v
}
