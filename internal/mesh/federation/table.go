// Package federation is what partners let in: their route tables, taken into what the core agrees on, and the doors at which each
// request toward a partner is decided. What a partner keeps to itself is closed: nothing is sent there that its table does not
// name. It does no I/O and reads no clock.
//
// A narrowing goes in two steps. First it is agreed (Book.Take): whoever hears of it sends nothing more that it forbids. A
// balancer sends to partners only under a leave, which each word from a process of the core that a majority confirms renews for
// LeaveFor of the balancer's own steady clock (Door). So LeaveFor and Fresh after the agreement, by the taker's clock and its
// drift, nobody acts on what was before, in reach or not: then it is done (Taker), and the partner is told.
//
//	from the agreement until the partner is told  <=  (LeaveFor + Fresh)·(1 + Drift) + 3·Every, and two agreed changes
package federation

import (
	"encoding/json"
	"fmt"
	"net/http"
	"path"
	"slices"
	"strings"
	"time"

	validation "github.com/go-ozzo/ozzo-validation/v4"
	"github.com/zeebo/errs"

	"ottershift/internal/mesh/strictjson"
)

// Error is the class of faults in partners' tables.
var Error = errs.Class("partner")

const (
	s  = int64(1e9)
	ms = int64(1e6)

	// LeaveFor is how long a balancer may send to partners after it has asked somebody who is current.
	LeaveFor = 2 * s
	// Fresh is how long a process of the core counts as current after a majority has said that nothing later is decided.
	Fresh = 600 * ms
	// Drift is by how much one steady clock may run faster than another.
	Drift = 0.01
	// Every is the pace at which the taker looks whether a narrowing is done.
	Every = 250 * ms

	mostExports = 10000
	mostBytes   = 4 << 20
	leastLease  = s
	mostLease   = 24 * 3600 * s
)

// Export is a service that a partner lets us use: a host and a prefix, with the methods that are let in. A method that is no
// read needs to be named; nothing is let in by being left out.
type Export struct {
	Service      string
	Town         string
	StreetPrefix string
	Methods      []string
	To           []string `json:",omitempty"` // meshes that it is for, none for all of its partners
	PerS         float64  `json:",omitempty"` // requests a second, 0 for no bound
}

// Table is a partner's word.
type Table struct {
	Partner string
	Edition int64
	Lease   Span     // for which it holds without another word
	Via     []string `json:",omitempty"` // through whom it came, the partner itself last
	Exports []Export
}

// Span is a time as tables write it: a number with ms or s.
type Span int64

// UnmarshalJSON implements json.Unmarshaler.
func (d *Span) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return fmt.Errorf("%.40s is no time: text with a number and ms or s", raw)
	}
	v, err := time.ParseDuration(text)
	if err != nil || v < 0 {
		return fmt.Errorf("%.40q is no time: a number with ms or s", text)
	}
	*d = Span(v)
	return nil
}

// MarshalJSON implements json.Marshaler.
func (d Span) MarshalJSON() ([]byte, error) {
	return json.Marshal(fmt.Sprintf("%dms", int64(d)/ms))
}

// Reads reports whether a method has no effect.
func Reads(method string) bool { return method == http.MethodGet || method == http.MethodHead }

// Parse reads a table whole, and names every fault with its place. A table with a fault changes nothing.
func Parse(raw []byte, partner, own string) (*Table, error) {
	if len(raw) > mostBytes {
		return nil, Error.New("%d bytes; %d are taken", len(raw), mostBytes)
	}
	t := &Table{}
	if err := strictjson.DecodeSingle(raw, t); err != nil {
		return nil, Error.New("can't be read whole: %v", err)
	}
	if err := strictjson.Check(raw); err != nil {
		return nil, Error.Wrap(err)
	}
	var faults errs.Group
	check := func(key string, v any, rules ...validation.Rule) {
		if err := validation.Validate(v, rules...); err != nil {
			faults.Add(Error.New("%s: %v", key, err))
		}
	}
	check("Edition", t.Edition, validation.Required, validation.Min(int64(1)))
	check("Lease", int64(t.Lease), validation.Required, validation.Min(leastLease), validation.Max(mostLease))
	if t.Partner != partner {
		faults.Add(Error.New("Partner: %.60q, of %q", t.Partner, partner))
	}
	if slices.Contains(t.Via, own) {
		faults.Add(Error.New("Via: it came through ourselves (%s): a loop", own))
	}
	if len(t.Exports) > mostExports {
		faults.Add(Error.New("Exports: %d; %d are taken", len(t.Exports), mostExports))
		return nil, faults.Err()
	}
	seen := map[string]int{}
	for n := range t.Exports {
		e := &t.Exports[n]
		at := func(key string, format string, args ...any) {
			faults.Add(Error.New("Exports[%d].%s: %s", n, key, fmt.Sprintf(format, args...)))
		}
		if e.Service == "" {
			at("Service", "cannot be blank")
		}
		if fault := normalHost(e.Town); fault != "" {
			at("Town", "%.80q %s", e.Town, fault)
		}
		if fault := normalPrefix(e.StreetPrefix); fault != "" {
			at("StreetPrefix", "%.80q %s", e.StreetPrefix, fault)
		}
		if len(e.Methods) == 0 {
			at("Methods", "names none: nothing is let in by being left out")
		}
		for _, m := range e.Methods {
			if m == "" || strings.ToUpper(m) != m || strings.ContainsAny(m, " \t,*") {
				at("Methods", "%.40q is no method", m)
			}
		}
		if !(e.PerS >= 0 && e.PerS < 1e9) {
			at("PerS", "is no rate")
		}
		key := e.Town + e.StreetPrefix
		if first, twice := seen[key]; twice {
			at("StreetPrefix", "%.80q stands in Exports[%d] already", key, first)
		}
		seen[key] = n
		if len(faults) > 20 {
			faults.Add(Error.New("and more"))
			break
		}
	}
	if err := faults.Err(); err != nil {
		return nil, err
	}
	t.Exports = slices.DeleteFunc(t.Exports, func(e Export) bool { return len(e.To) > 0 && !slices.Contains(e.To, own) })
	slices.SortFunc(t.Exports, func(a, b Export) int { return strings.Compare(a.Town+a.StreetPrefix, b.Town+b.StreetPrefix) })
	for n := range t.Exports {
		slices.Sort(t.Exports[n].Methods)
		t.Exports[n].Methods = slices.Compact(t.Exports[n].Methods)
	}
	return t, nil
}

// plainTown says what is wrong with a host. Invariant: one that is written in two ways is decided in one and sent in the other.
func normalHost(town string) string {
	switch {
	case town == "":
		return "cannot be blank"
	case town != strings.ToLower(town):
		return "is not in small letters"
	case strings.ContainsAny(town, " \t/\\?#@%:*") || strings.HasSuffix(town, "."):
		return "is no plain host"
	}
	return ""
}

// plainPrefix says what is wrong with a prefix.
func normalPrefix(p string) string {
	switch {
	case !strings.HasPrefix(p, "/") || !strings.HasSuffix(p, "/"):
		return "must begin and end with a slash"
	case !Plain(p):
		return "is not plain: no percent signs, dot segments, empty segments, backslashes or spaces"
	}
	return ""
}

// Plain reports whether a path means the same to all who read it. Only such paths go to partners.
func Plain(p string) bool {
	if strings.ContainsAny(p, "%\\ \t\x00;?#") || strings.Contains(p, "//") || !strings.HasPrefix(p, "/") {
		return false
	}
	clean := path.Clean(p)
	if strings.HasSuffix(p, "/") && clean != "/" {
		clean += "/"
	}
	return clean == p
}

func (t *Table) find(town, prefix string) *Export {
	key := town + prefix
	n, is := slices.BinarySearchFunc(t.Exports, key, func(e Export, key string) int { return strings.Compare(e.Town+e.StreetPrefix, key) })
	if !is {
		return nil
	}
	return &t.Exports[n]
}

// Narrows reports whether a table forbids something that another allows.
func (t *Table) Narrows(from *Table) bool {
	if from == nil {
		return false
	}
	for n := range from.Exports {
		was := &from.Exports[n]
		is := t.find(was.Town, was.StreetPrefix)
		if is == nil || is.Service != was.Service || is.PerS > 0 && (was.PerS == 0 || is.PerS < was.PerS) {
			return true
		}
		for _, m := range was.Methods {
			if !slices.Contains(is.Methods, m) {
				return true
			}
		}
	}
	for n := range t.Exports { // a longer prefix takes paths from a shorter one
		is := &t.Exports[n]
		if from.find(is.Town, is.StreetPrefix) != nil {
			continue
		}
		for k := range from.Exports {
			was := &from.Exports[k]
			if was.Town == is.Town && strings.HasPrefix(is.StreetPrefix, was.StreetPrefix) {
				for _, m := range was.Methods {
					if !slices.Contains(is.Methods, m) {
						return true
					}
				}
			}
		}
	}
	return false
}
