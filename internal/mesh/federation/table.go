// Package federation imports the exports of partner meshes: it validates partners' tables, keeps them in the
// controllers' replicated state, and decides at each proxy whether a request may be sent to a partner. Nothing is sent
// to a partner that its table does not name. The package does no I/O and reads no clock.
//
// A table change that removes permissions (a narrowing) takes effect in two steps. First it is committed
// (ImportRegistry.ApplyTable): a proxy that learns of it sends nothing more that it forbids. A proxy sends to partners
// only while it is authorized. Each confirmation by a controller with a fresh quorum extends the authorization to
// AuthorizationTTL after the confirmation was requested, by the proxy's monotonic clock (ExportPolicy). So after
// AuthorizationTTL + QuorumFreshness, plus clock drift, no proxy acts on the old table, even an unreachable one. Then
// the narrowing is complete (NarrowingTracker), and the new edition is announced to the partner.
//
//	from the commit to the announcement  <=  (AuthorizationTTL + QuorumFreshness)·(1 + MaxClockDrift) + 3·CheckInterval,
//	                                         and two commits
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

// Error is the class of errors in partners' tables.
var Error = errs.Class("partner")

const (
	second      = int64(1e9)
	millisecond = int64(1e6)

	// AuthorizationTTL is how long a proxy may send to partners after it requested a confirmation, in nanoseconds.
	AuthorizationTTL = 2 * second
	// QuorumFreshness is how long a controller counts as current after a quorum confirmed its revision, in nanoseconds.
	QuorumFreshness = 600 * millisecond
	// MaxClockDrift is the largest relative difference in speed of two monotonic clocks.
	MaxClockDrift = 0.01
	// CheckInterval is the interval at which the coordinator checks whether a narrowing is complete, in nanoseconds.
	CheckInterval = 250 * millisecond

	maxExports    = 10000
	maxTableBytes = 4 << 20
	minLease      = second // nanoseconds
	maxLease      = 24 * 3600 * second
)

// Export is a service that a partner exports: a host and a path prefix with the allowed methods. Methods that are not
// listed are denied.
type Export struct {
	Service       string
	Host          string `json:"Town"`
	PathPrefix    string `json:"StreetPrefix"`
	Methods       []string
	To            []string `json:",omitempty"`     // meshes that may use it; empty for all partners
	RatePerSecond float64  `json:"PerS,omitempty"` // limit in requests per second; 0 for none
}

// Table is a partner's published table of exports.
type Table struct {
	Partner string
	Edition int64
	Lease   Duration // how long it is valid without confirmation
	Via     []string `json:",omitempty"` // meshes that passed it on, the partner last
	Exports []Export
}

// Duration is a duration in nanoseconds, encoded as a string with a unit, such as "20s" or "500ms".
type Duration int64

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return fmt.Errorf("%.40s is not a duration: must be a string with a number and ms or s", raw)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil || parsed < 0 {
		return fmt.Errorf("%.40q is not a duration: must be a number with ms or s", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(fmt.Sprintf("%dms", int64(d)/millisecond))
}

// IsReadOnly reports whether a method is read-only.
func IsReadOnly(method string) bool { return method == http.MethodGet || method == http.MethodHead }

// Parse decodes and validates the table of a partner, and normalizes its exports to ownMesh. The error lists the faults
// with their fields; after more than 20 it is cut off.
func Parse(raw []byte, partner, ownMesh string) (*Table, error) {
	if len(raw) > maxTableBytes {
		return nil, Error.New("table has %d bytes, the limit is %d", len(raw), maxTableBytes)
	}
	table := &Table{}
	if err := strictjson.DecodeSingle(raw, table); err != nil {
		return nil, Error.New("cannot decode table: %v", err)
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
	check("Edition", table.Edition, validation.Required, validation.Min(int64(1)))
	check("Lease", int64(table.Lease), validation.Required, validation.Min(minLease), validation.Max(maxLease))
	if table.Partner != partner {
		faults.Add(Error.New("Partner: is %.60q, must be %q", table.Partner, partner))
	}
	if slices.Contains(table.Via, ownMesh) {
		faults.Add(Error.New("Via: contains this mesh (%s): import loop", ownMesh))
	}
	if len(table.Exports) > maxExports {
		faults.Add(Error.New("Exports: has %d entries, the limit is %d", len(table.Exports), maxExports))
		return nil, faults.Err()
	}
	firstIndex := map[string]int{}
	for i := range table.Exports {
		export := &table.Exports[i]
		addFault := func(key string, format string, args ...any) {
			faults.Add(Error.New("Exports[%d].%s: %s", i, key, fmt.Sprintf(format, args...)))
		}
		if export.Service == "" {
			addFault("Service", "cannot be blank")
		}
		if fault := checkHost(export.Host); fault != "" {
			addFault("Town", "%.80q %s", export.Host, fault)
		}
		if fault := checkPrefix(export.PathPrefix); fault != "" {
			addFault("StreetPrefix", "%.80q %s", export.PathPrefix, fault)
		}
		if len(export.Methods) == 0 {
			addFault("Methods", "cannot be empty: methods that are not listed are denied")
		}
		for _, method := range export.Methods {
			if method == "" || strings.ToUpper(method) != method || strings.ContainsAny(method, " \t,*") {
				addFault("Methods", "%.40q is not a method", method)
			}
		}
		if !(export.RatePerSecond >= 0 && export.RatePerSecond < 1e9) {
			addFault("PerS", "is not a valid rate")
		}
		key := export.Host + export.PathPrefix
		if first, duplicate := firstIndex[key]; duplicate {
			addFault("StreetPrefix", "%.80q is already used by Exports[%d]", key, first)
		}
		firstIndex[key] = i
		if len(faults) > 20 {
			faults.Add(Error.New("further faults omitted"))
			break
		}
	}
	if err := faults.Err(); err != nil {
		return nil, err
	}
	table.Exports = slices.DeleteFunc(table.Exports, func(export Export) bool {
		return len(export.To) > 0 && !slices.Contains(export.To, ownMesh)
	})
	slices.SortFunc(table.Exports, func(a, b Export) int { return strings.Compare(a.Host+a.PathPrefix, b.Host+b.PathPrefix) })
	for i := range table.Exports {
		slices.Sort(table.Exports[i].Methods)
		table.Exports[i].Methods = slices.Compact(table.Exports[i].Methods)
	}
	return table, nil
}

// checkHost returns what is wrong with a host, or "". A host must be normalized: otherwise a request could be decided
// for one spelling and sent with another.
func checkHost(host string) string {
	switch {
	case host == "":
		return "cannot be blank"
	case host != strings.ToLower(host):
		return "is not lower-case"
	case strings.ContainsAny(host, " \t/\\?#@%:*") || strings.HasSuffix(host, "."):
		return "is not a plain host name"
	}
	return ""
}

// checkPrefix returns what is wrong with a path prefix, or "".
func checkPrefix(prefix string) string {
	switch {
	case !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/"):
		return "must begin and end with a slash"
	case !IsCanonicalPath(prefix):
		return "is not canonical: percent signs, dot segments, empty segments, backslashes and spaces are not allowed"
	}
	return ""
}

// IsCanonicalPath reports whether a path is canonical, so that all servers interpret it alike. Only such paths are sent
// to partners.
func IsCanonicalPath(urlPath string) bool {
	if strings.ContainsAny(urlPath, "%\\ \t\x00;?#") || strings.Contains(urlPath, "//") || !strings.HasPrefix(urlPath, "/") {
		return false
	}
	clean := path.Clean(urlPath)
	if strings.HasSuffix(urlPath, "/") && clean != "/" {
		clean += "/"
	}
	return clean == urlPath
}

// find returns the export with a host and prefix, or nil.
func (t *Table) find(host, prefix string) *Export {
	key := host + prefix
	index, found := slices.BinarySearchFunc(t.Exports, key, func(export Export, key string) int {
		return strings.Compare(export.Host+export.PathPrefix, key)
	})
	if !found {
		return nil
	}
	return &t.Exports[index]
}

// Narrows reports whether the table forbids something that the old one allows.
func (t *Table) Narrows(old *Table) bool {
	if old == nil {
		return false
	}
	for i := range old.Exports {
		oldExport := &old.Exports[i]
		newExport := t.find(oldExport.Host, oldExport.PathPrefix)
		if newExport == nil || newExport.Service != oldExport.Service ||
			newExport.RatePerSecond > 0 && (oldExport.RatePerSecond == 0 || newExport.RatePerSecond < oldExport.RatePerSecond) {
			return true
		}
		for _, method := range oldExport.Methods {
			if !slices.Contains(newExport.Methods, method) {
				return true
			}
		}
	}
	for i := range t.Exports { // a longer prefix overrides a shorter one for its paths
		newExport := &t.Exports[i]
		if old.find(newExport.Host, newExport.PathPrefix) != nil {
			continue
		}
		for j := range old.Exports {
			oldExport := &old.Exports[j]
			if oldExport.Host == newExport.Host && strings.HasPrefix(newExport.PathPrefix, oldExport.PathPrefix) {
				for _, method := range oldExport.Methods {
					if !slices.Contains(newExport.Methods, method) {
						return true
					}
				}
			}
		}
	}
	return false
}
