package federation

import (
	"math"
	"slices"
	"strings"
)

// Verdict is the decision whether a request may be sent to a partner.
type Verdict uint8

// Verdicts of an ExportPolicy.
const (
	Open          Verdict = iota // the request may be sent
	NoRoute                      // no partner exports the host and path
	Withheld                     // exported, but suspended or not with this method
	Unconfirmed                  // exported, but the authorization or the partner's lease has expired; retry later
	LimitExceeded                // the rate limit of the export is reached
)

// String returns the name of the verdict in metrics and logs.
func (v Verdict) String() string {
	return [...]string{"open", "no_route", "kept", "no_leave", "full"}[v]
}

// Partner is the configuration of a partner mesh.
type Partner struct {
	Name       string
	Gateway    string // address
	ReadsStale bool   // read-only requests continue after its lease has expired
}

// Exporter is a partner to which a request may be sent, with the matching export.
type Exporter struct {
	Partner *Partner
	Export  *Export
	Edition int64
}

// partnerState is the policy's state of one partner.
type partnerState struct {
	Partner
	table       *Table
	suspended   bool
	confirmedAt int64              // when the partner last confirmed its table, by the proxy's clock
	exports     map[string]*Export // by host and path prefix
	buckets     map[*Export]*tokenBucket
}

// tokenBucket limits the rate of one export.
type tokenBucket struct {
	tokens    float64
	updatedAt int64
}

// ExportPolicy is one proxy's view of the partners' exports and its authorization to use them. It initially denies
// everything.
type ExportPolicy struct {
	ownRoute        func(host, path string) bool // a route of this mesh matches
	partners        []*partnerState              // in configured order of preference
	revision        uint64
	authorizedUntil int64 // nanoseconds, by the proxy's clock
	balancerCount   int

	openByDefault, ignoreAuthorization bool // disabled guards
}

// NewExportPolicy returns an empty policy. ownRoute reports whether a route of this mesh matches a request; such
// requests are never sent to partners.
func NewExportPolicy(ownRoute func(host, path string) bool) *ExportPolicy {
	return &ExportPolicy{ownRoute: ownRoute, balancerCount: 1}
}

// Names of guards that tests and simulations disable to verify that the checks detect their absence.
const (
	WithoutAuthorization = "without-leave"
	SinglePolicyCheck    = "one-door"
	OpenByDefault        = "open-by-default"
	RetryAfterNarrowing  = "retry-after-narrowing"
)

// DisableGuard disables one guard; an empty name enables all of them.
func (ep *ExportPolicy) DisableGuard(guard string) {
	ep.ignoreAuthorization, ep.openByDefault = guard == WithoutAuthorization, guard == OpenByDefault
}

// DisableGuard disables one guard; an empty name enables all of them.
func (t *NarrowingTracker) DisableGuard(guard string) {
	t.completeAtOnce = guard == WithoutAuthorization
}

// Update applies a registry and the configured partners in their order. confirmationAges tells how long ago each
// partner confirmed its table, in nanoseconds. A registry older than the current one is ignored.
func (ep *ExportPolicy) Update(registry *ImportRegistry, configured []Partner, confirmationAges map[string]int64,
	balancerCount int, now int64) {
	if registry.Revision < ep.revision {
		return
	}
	previous := map[string]*partnerState{}
	for _, state := range ep.partners {
		previous[state.Name] = state
	}
	ep.revision, ep.balancerCount, ep.partners = registry.Revision, max(balancerCount, 1), nil
	for _, partner := range configured {
		imported := registry.Partners[partner.Name]
		if imported == nil || imported.Table == nil {
			continue
		}
		state := &partnerState{Partner: partner, table: imported.Table, suspended: imported.Suspended,
			confirmedAt: now - confirmationAges[partner.Name], exports: map[string]*Export{}, buckets: map[*Export]*tokenBucket{}}
		for i := range imported.Table.Exports {
			export := &imported.Table.Exports[i]
			state.exports[export.Host+export.PathPrefix] = export
			// Keep the bucket, so that an update does not refill it.
			if before := previous[partner.Name]; before != nil && export.RatePerSecond > 0 {
				if oldExport := before.exports[export.Host+export.PathPrefix]; oldExport != nil && before.buckets[oldExport] != nil {
					state.buckets[export] = before.buckets[oldExport]
				}
			}
		}
		ep.partners = append(ep.partners, state)
	}
}

// Confirm records that a partner confirmed its table age nanoseconds ago.
func (ep *ExportPolicy) Confirm(partner string, age, now int64) {
	for _, state := range ep.partners {
		if state.Name == partner {
			state.confirmedAt = max(state.confirmedAt, now-age)
		}
	}
}

// Authorize records that a current controller confirmed a revision. requestedAt is when the confirmation was requested.
// A confirmation of another revision than the one in use does not count.
func (ep *ExportPolicy) Authorize(revision uint64, requestedAt int64) {
	if revision == ep.revision {
		ep.authorizedUntil = max(ep.authorizedUntil, requestedAt+AuthorizationTTL)
	}
}

// Revision returns the revision of the registry in use.
func (ep *ExportPolicy) Revision() uint64 { return ep.revision }

// findExport returns the export with the longest prefix that matches a path, or nil.
func (ps *partnerState) findExport(host, path string) *Export {
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if export := ps.exports[host+path[:end+1]]; export != nil {
			return export
		}
	}
	return nil
}

// evaluate decides for one partner, apart from the rate limit.
func (ep *ExportPolicy) evaluate(state *partnerState, method, host, path string, now int64) (*Export, Verdict) {
	export := state.findExport(host, path)
	switch {
	case export == nil:
		return nil, NoRoute
	case state.suspended:
		return export, Withheld
	case !slices.Contains(export.Methods, method) && !ep.openByDefault:
		return export, Withheld
	case now >= ep.authorizedUntil && !ep.ignoreAuthorization:
		return export, Unconfirmed
	case now-state.confirmedAt > int64(state.table.Lease) && !(IsReadOnly(method) && state.ReadsStale):
		return export, Unconfirmed // the partner's lease has expired
	}
	return export, Open
}

// Decide returns the partners to which a request may be sent, in configured order, or the reason why there is none.
// Routes of this mesh take precedence over all partners.
func (ep *ExportPolicy) Decide(method, host, path string, now int64) (exporters []Exporter, verdict Verdict) {
	verdict = NoRoute
	host = strings.ToLower(host)
	if len(ep.partners) == 0 || !IsCanonicalPath(path) || ep.ownRoute != nil && ep.ownRoute(host, path) {
		return nil, NoRoute
	}
	for _, state := range ep.partners {
		export, partnerVerdict := ep.evaluate(state, method, host, path, now)
		if partnerVerdict == Open {
			exporters, verdict = append(exporters, Exporter{&state.Partner, export, state.table.Edition}), Open
		} else if verdict != Open && partnerVerdict != NoRoute && (verdict == NoRoute || partnerVerdict == Unconfirmed) {
			verdict = partnerVerdict
		}
	}
	return exporters, verdict
}

// Check decides whether a request may be sent to one partner, without taking from its rate limit. It is called before
// each attempt, including retries and hedges.
func (ep *ExportPolicy) Check(partner, method, host, path string, now int64) Verdict {
	if !IsCanonicalPath(path) || ep.ownRoute != nil && ep.ownRoute(strings.ToLower(host), path) {
		return NoRoute
	}
	for _, state := range ep.partners {
		if state.Name == partner {
			_, verdict := ep.evaluate(state, method, strings.ToLower(host), path, now)
			return verdict
		}
	}
	return NoRoute
}

// Admit decides whether a request may be sent to one partner and takes from its rate limit. It is called immediately
// before an attempt is sent, as the table may have changed since Decide or Check.
func (ep *ExportPolicy) Admit(partner, method, host, path string, now int64) (edition int64, verdict Verdict) {
	if !IsCanonicalPath(path) || ep.ownRoute != nil && ep.ownRoute(strings.ToLower(host), path) {
		return 0, NoRoute
	}
	for _, state := range ep.partners {
		if state.Name == partner {
			export, partnerVerdict := ep.evaluate(state, method, strings.ToLower(host), path, now)
			if partnerVerdict == Open && !state.takeToken(export, ep.balancerCount, now) {
				partnerVerdict = LimitExceeded
			}
			return state.table.Edition, partnerVerdict
		}
	}
	return 0, NoRoute
}

// takeToken takes a token from this proxy's share of an export's rate limit, if there is one.
func (ps *partnerState) takeToken(export *Export, balancerCount int, now int64) bool {
	if export.RatePerSecond <= 0 {
		return true
	}
	bucket := ps.buckets[export]
	share := export.RatePerSecond / float64(balancerCount)
	if bucket == nil {
		bucket = &tokenBucket{tokens: math.Max(1, share/4), updatedAt: now}
		ps.buckets[export] = bucket
	}
	bucket.tokens = math.Min(math.Max(1, share/4), bucket.tokens+share*float64(max(0, now-bucket.updatedAt))/float64(second))
	if bucket.updatedAt = now; bucket.tokens < 1 {
		return false
	}
	bucket.tokens--
	return true
}

// ShadowedExports lists exports that are never used: a route of this mesh matches their prefix, or an earlier partner
// exports the same prefix.
func ShadowedExports(registry *ImportRegistry, partners []Partner, ownRoute func(host, path string) bool) (warnings []string) {
	exportedBy := map[string]string{}
	for _, partner := range partners {
		imported := registry.Partners[partner.Name]
		if imported == nil || imported.Table == nil {
			continue
		}
		for _, export := range imported.Table.Exports {
			key := export.Host + export.PathPrefix
			switch earlier, duplicate := exportedBy[key]; {
			case ownRoute != nil && ownRoute(export.Host, export.PathPrefix):
				warnings = append(warnings, partner.Name+": "+key+": shadowed by a route of this mesh")
			case duplicate:
				warnings = append(warnings, partner.Name+": "+key+": shadowed by "+earlier+", which exports the same prefix")
			default:
				exportedBy[key] = partner.Name
			}
		}
	}
	return warnings
}
