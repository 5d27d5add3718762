// Package routing is the configuration, the configuration that the mesh agrees on: read, checked, amended, looked up. It does
// no I/O. What it doesn't know in a configuration is kept as it was sent.
package routing

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"time"

	validation "github.com/go-ozzo/ozzo-validation/v4"
	"github.com/zeebo/errs"

	"ottershift/internal/mesh/settings"
)

// Error is the class of faults in a configuration.
var Error = errs.Class("timetable")

const longest = 10 * time.Minute // that a route may hold a request

// Span is a time as configurations write it.
type Span time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (s *Span) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return fmt.Errorf("%s is no time: text with a number and ms or s", raw)
	}
	d, err := settings.Span(text)
	*s = Span(d)
	return err
}

// Class is what may be done with a request.
type Class string

// The classes; another one is treated as once only.
const (
	Repeatable Class = "repeatable"
	OnceOnly   Class = "once_only"
	Streamed   Class = "outbound_freight"
)

// Repeats reports whether a request may run more than once.
func (c Class) Repeats() bool { return c == Repeatable || c == Streamed }

// Part is a service with its share of a route.
type WeightedService struct {
	Service string `json:"Destination"`
	Share   float64
}

// Rule is a route.
type Route struct {
	Name       string
	MailClass  Class
	Target     Span
	Precedence int
	Unstamped  bool
	Sorting    struct{ StreetPrefix string }
	Dispatch   struct {
		Destination   string
		Apportion     []WeightedService
		Deadline      Span
		DeliveryTries int
	}

	Host  string            `json:"-"`
	Parts []WeightedService `json:"-"` // where it goes, always at least one
	raw   json.RawMessage   // as sent
}

// Sender is a tenant.
type Tenant struct {
	Name        string
	ApiKeys     []string
	Precedence  int
	RatePerS    float64
	Surge       float64
	BurstCredit *BurstCredit `json:"Nectar"` // burst credit, nil for none

	raw json.RawMessage
}

// Nectar is a tenant's burst credit.
type BurstCredit struct {
	Earn  float64 // part of what it leaves of its rate that is saved
	Cap   float64 // requests saved at most
	Keep  Span    // for which they are
	Extra float64 // requests a second beyond its rate, at most
}

// check names what is wrong with it.
func (n *BurstCredit) check() error {
	if n == nil {
		return nil
	}
	return validation.ValidateStruct(n,
		validation.Field(&n.Earn, validation.Required, validation.Min(0.0), validation.Max(1.0)),
		validation.Field(&n.Cap, validation.Required, validation.Min(1.0)),
		validation.Field(&n.Keep, validation.Required, validation.Min(Span(time.Second))),
		validation.Field(&n.Extra, validation.Required, validation.Min(1.0)))
}

// Depot is a service.
type Service struct {
	Name                 string
	HealthPath           string
	LineCap              int
	Protocol             string
	Sealed               bool
	BurstCreditPerSecond float64 `json:"NectarPerS"` // the most that all tenants' burst credit adds here, a second; 0 for no bound

	raw json.RawMessage
}

// Partner is another mesh whose exports we use.
type Partner struct {
	Name       string
	Gateway    string // address of its gateway: it gives its table, and takes requests
	Target     Span   // within which an answer is of full worth
	Deadline   Span
	Tries      int
	ReadsStale bool // reads go on when it has been silent beyond its lease
}

// partners reads the meshes beside ours.
func (t *Configuration) partners() error {
	t.Mesh, t.Partners = "", nil
	if raw := t.other["Mesh"]; len(raw) > 0 {
		if err := json.Unmarshal(raw, &t.Mesh); err != nil {
			return Error.New("Mesh: %v", err)
		}
	}
	var faults errs.Group
	seen := map[string]bool{}
	faults.Add(named(t.other["Partners"], "Partners", func(p *Partner, _ json.RawMessage) {
		faults.Add(checked("Partners "+p.Name, validation.ValidateStruct(p,
			validation.Field(&p.Name, validation.Required), validation.Field(&p.Deadline, validation.Required, validation.Max(Span(longest))),
			validation.Field(&p.Tries, validation.Min(0), validation.Max(16)), validation.Field(&p.Gateway, validation.Required, validation.By(func(v any) error {
				_, err := netip.ParseAddrPort(v.(string))
				return err
			})))))
		switch {
		case strings.ContainsAny(p.Name, "@,"):
			faults.Add(Error.New("Partners %q: Name: has an @ or a comma in it", p.Name))
		case seen[p.Name]:
			faults.Add(Error.New("Partners %s: Name: stands twice", p.Name))
		}
		seen[p.Name] = true
		t.Partners = append(t.Partners, p)
	}))
	if len(t.Partners) > 0 && t.Mesh == "" {
		faults.Add(Error.New("Mesh: partners have to know us by a name"))
	}
	return faults.Err()
}

// Limits bound what a client may send.
type Limits struct {
	EnvelopeBytes, ContentsBytes int64
	Envelope, Idle               Span
}

type hostRoutes struct {
	Host   string   `json:"Town"`
	Routes []*Route `json:"Rules"`
}

// Configuration is one version of the configuration.
type Configuration struct {
	Edition  int64
	Limits   Limits
	Tenants  []*Tenant  `json:"Senders"`
	Services []*Service `json:"Depots"`
	Routes   []*Route   `json:"Rules"`

	Mesh     string     // our own name, as partners know us
	Partners []*Partner // in the order in which they are turned to

	hosts          []*hostRoutes
	other          map[string]json.RawMessage // top-level fields kept as they are
	document       json.RawMessage
	routesByHost   map[string]map[string]*Route // by host and prefix
	tenantsByKey   map[string]*Tenant
	servicesByName map[string]*Service
}

// Digest names a call that changes the configuration, so that the same one sent again is known.
func Digest(call string, body []byte) string {
	sum := sha256.Sum256(append([]byte(call+"\x00"), body...))
	return hex.EncodeToString(sum[:16])
}

// whole decodes one JSON value with nothing behind it.
func whole(body []byte, to any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	if err := d.Decode(to); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return errs.New("something stands behind the configuration")
	}
	return nil
}

// named decodes a list of items, each kept raw.
func named[T any](raw json.RawMessage, what string, take func(*T, json.RawMessage)) error {
	if len(raw) == 0 || string(raw) == "null" {
		return nil
	}
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		return Error.New("%s: %v", what, err)
	}
	for n, item := range items {
		v := new(T)
		if err := json.Unmarshal(item, v); err != nil {
			return Error.New("%s[%d]: %v", what, n, err)
		}
		take(v, item)
	}
	return nil
}

type rawHostRoutes struct {
	Town        string
	Regulations []json.RawMessage
}

// parts reads the lists that a whole configuration and an amendment have in common.
func (t *Configuration) parts(top map[string]json.RawMessage) error {
	var faults errs.Group
	if raw := top["SizeLimits"]; len(raw) > 0 {
		if err := json.Unmarshal(raw, &t.Limits); err != nil {
			faults.Add(Error.New("SizeLimits: %v", err))
		}
	}
	faults.Add(named(top["Senders"], "Senders", func(s *Tenant, raw json.RawMessage) {
		s.raw = raw
		t.Tenants = append(t.Tenants, s)
	}))
	faults.Add(named(top["Depots"], "Depots", func(d *Service, raw json.RawMessage) {
		d.raw = raw
		t.Services = append(t.Services, d)
	}))
	faults.Add(named(top["PostOffices"], "PostOffices", func(o *rawHostRoutes, _ json.RawMessage) {
		at := &hostRoutes{Host: o.Town}
		t.hosts = append(t.hosts, at)
		for n, item := range o.Regulations {
			r := &Route{Host: o.Town, raw: item}
			if err := json.Unmarshal(item, r); err != nil {
				faults.Add(Error.New("PostOffices %q Regulations[%d]: %v", o.Town, n, err))
				continue
			}
			at.Routes = append(at.Routes, r)
		}
	}))
	return faults.Err()
}

// Parse reads a whole configuration and checks it.
func Parse(body []byte) (*Configuration, error) {
	var top map[string]json.RawMessage
	if err := whole(body, &top); err != nil {
		return nil, Error.New("can't be read whole: %v", err)
	}
	t := &Configuration{other: map[string]json.RawMessage{}}
	if err := json.Unmarshal(top["Edition"], &t.Edition); err != nil {
		return nil, Error.New("Edition: is no whole number")
	}
	if err := t.parts(top); err != nil {
		return nil, err
	}
	for name, raw := range top {
		switch name {
		case "Edition", "Senders", "Depots", "PostOffices":
		default:
			t.other[name] = raw
		}
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, body); err != nil {
		return nil, Error.Wrap(err)
	}
	t.document = compact.Bytes()
	return t, t.settle()
}

// settle indexes a configuration and names all that makes it invalid.
func (t *Configuration) settle() error {
	var faults errs.Group
	t.routesByHost, t.tenantsByKey, t.servicesByName = map[string]map[string]*Route{}, map[string]*Tenant{}, map[string]*Service{}
	t.Routes = t.Routes[:0]
	faults.Add(t.partners())
	if err := validation.Validate(t.Edition, validation.Required, validation.Min(int64(1))); err != nil {
		faults.Add(Error.New("Edition: %v", err))
	}
	for _, d := range t.Services {
		if err := validation.Validate(d.Name, validation.Required); err != nil {
			faults.Add(Error.New("Depots: Name: %v", err))
		}
		if d.BurstCreditPerSecond < 0 {
			faults.Add(Error.New("Depots %s: NectarPerS: is below 0", d.Name))
		}
		t.servicesByName[d.Name] = d
	}
	for _, s := range t.Tenants {
		faults.Add(checked("Senders "+s.Name, validation.ValidateStruct(s,
			validation.Field(&s.Name, validation.Required),
			validation.Field(&s.RatePerS, validation.Min(0.0)), validation.Field(&s.Surge, validation.Min(0.0)))))
		faults.Add(checked("Senders "+s.Name+": Nectar", s.BurstCredit.check()))
		if s.BurstCredit != nil && s.RatePerS <= 0 {
			faults.Add(Error.New("Senders %s: Nectar: without RatePerS nothing is left to save", s.Name))
		}
		for _, key := range s.ApiKeys {
			t.tenantsByKey[key] = s
		}
	}
	for _, o := range t.hosts {
		if err := validation.Validate(strings.TrimSpace(o.Host), validation.Required); err != nil {
			faults.Add(Error.New("PostOffices: Town: %v", err))
		}
		host := strings.ToLower(o.Host)
		if t.routesByHost[host] == nil {
			t.routesByHost[host] = map[string]*Route{}
		}
		for _, r := range o.Routes {
			faults.Add(t.checkRoute(r))
			t.routesByHost[host][r.Sorting.StreetPrefix] = r
			t.Routes = append(t.Routes, r)
		}
	}
	return faults.Err()
}

func checked(where string, err error) error {
	if err == nil {
		return nil
	}
	return Error.New("%s: %v", where, err)
}

// rule checks a route and finds where it goes.
func (t *Configuration) checkRoute(r *Route) error {
	where := "route " + r.Name
	d := &r.Dispatch
	r.Parts = d.Apportion
	if len(r.Parts) == 0 {
		r.Parts = []WeightedService{{d.Destination, 1}}
	}
	var faults errs.Group
	total := 0.0
	for _, p := range r.Parts {
		if t.servicesByName[p.Service] == nil {
			faults.Add(Error.New("%s: Destination: no service is named %q", where, p.Service))
		}
		if p.Share < 0 {
			faults.Add(Error.New("%s: Share: is below 0", where))
		}
		total += p.Share
	}
	if total <= 0 {
		faults.Add(Error.New("%s: Apportion: the shares add up to 0", where))
	}
	faults.Add(checked(where+": Sorting", validation.ValidateStruct(&r.Sorting, validation.Field(&r.Sorting.StreetPrefix,
		validation.Required, validation.By(func(v any) error {
			if s := v.(string); !strings.HasPrefix(s, "/") || !strings.HasSuffix(s, "/") {
				return errs.New("must begin and end with a slash")
			}
			return nil
		})))))
	faults.Add(checked(where+": Dispatch", validation.ValidateStruct(d,
		validation.Field(&d.Deadline, validation.Required, validation.Max(Span(longest))),
		validation.Field(&d.DeliveryTries, validation.Required, validation.Min(1)))))
	return faults.Err()
}

// Doc is the configuration as it is read back.
func (t *Configuration) Document() json.RawMessage { return t.document }

// amendment is a call that alters items by name.
type amendment struct {
	Edition    int64
	SizeLimits json.RawMessage
	Deliver    map[string]json.RawMessage
	Withdraw   map[string][]string
}

// Amend makes the version that an amendment asks for.
func (t *Configuration) Amend(body []byte) (*Configuration, error) {
	var a amendment
	if err := whole(body, &a); err != nil {
		return nil, Error.New("can't be read whole: %v", err)
	}
	next := &Configuration{Edition: a.Edition, Limits: t.Limits, other: map[string]json.RawMessage{}}
	for name, raw := range t.other {
		next.other[name] = raw
	}
	gone := func(lists ...string) map[string]bool {
		out := map[string]bool{}
		for _, list := range lists {
			for _, name := range a.Withdraw[list] {
				out[name] = true
			}
		}
		return out
	}
	add := &Configuration{}
	if err := add.parts(a.Deliver); err != nil {
		return nil, err
	}
	for _, raw := range []json.RawMessage{a.SizeLimits, a.Deliver["SizeLimits"]} {
		if len(raw) > 0 && string(raw) != "null" {
			if err := json.Unmarshal(raw, &next.Limits); err != nil {
				return nil, Error.New("SizeLimits: %v", err)
			}
			next.other["SizeLimits"] = raw
		}
	}
	for _, name := range []string{"Mesh", "Partners"} { // whole
		if raw := a.Deliver[name]; len(raw) > 0 {
			next.other[name] = raw
		}
	}
	next.Tenants = merge(t.Tenants, add.Tenants, gone("Senders"), func(s *Tenant) string { return s.Name })
	next.Services = merge(t.Services, add.Services, gone("Depots", "Destinations"), func(d *Service) string { return d.Name })

	// Routes are replaced where they stand; one that comes to another town leaves its own.
	routes, towns := gone("Routes", "Regulations"), gone("PostOffices", "Towns")
	fresh, placed := map[string]*Route{}, map[*Route]bool{}
	for _, o := range add.hosts {
		for _, r := range o.Routes {
			fresh[r.Name] = r
		}
	}
	at := map[string]*hostRoutes{}
	for _, o := range t.hosts {
		if towns[o.Host] {
			continue
		}
		to := &hostRoutes{Host: o.Host}
		for _, r := range o.Routes {
			if by := fresh[r.Name]; by != nil && by.Host == o.Host && !placed[by] {
				to.Routes, placed[by] = append(to.Routes, by), true
			} else if by == nil && !routes[r.Name] {
				copied := *r
				to.Routes = append(to.Routes, &copied)
			}
		}
		at[o.Host] = to
		next.hosts = append(next.hosts, to)
	}
	for _, o := range add.hosts {
		if at[o.Host] == nil {
			at[o.Host] = &hostRoutes{Host: o.Host}
			next.hosts = append(next.hosts, at[o.Host])
		}
		for _, r := range o.Routes {
			if !placed[r] && fresh[r.Name] == r {
				at[o.Host].Routes = append(at[o.Host].Routes, r)
			}
		}
	}
	kept := next.hosts[:0]
	for _, o := range next.hosts {
		if len(o.Routes) > 0 || o.Host == "" {
			kept = append(kept, o)
		}
	}
	next.hosts = kept
	if err := next.settle(); err != nil {
		return nil, err
	}
	return next, next.write()
}

// merge replaces items by name, adds what is new and leaves out what is withdrawn.
func merge[T any](old, add []*T, gone map[string]bool, name func(*T) string) (out []*T) {
	fresh, placed := map[string]*T{}, map[string]bool{}
	for _, v := range add {
		fresh[name(v)] = v
	}
	for _, v := range old {
		switch by := fresh[name(v)]; {
		case by != nil && !placed[name(v)]:
			out, placed[name(v)] = append(out, by), true
		case by == nil && !gone[name(v)]:
			out = append(out, v)
		}
	}
	for _, v := range add {
		if !placed[name(v)] {
			out, placed[name(v)] = append(out, fresh[name(v)]), true
		}
	}
	return out
}

// write lays an amended configuration out as whole ones are put.
func (t *Configuration) write() error {
	top := map[string]any{"Edition": t.Edition}
	for name, raw := range t.other {
		top[name] = raw
	}
	if len(t.Tenants) > 0 {
		top["Senders"] = raws(t.Tenants, func(s *Tenant) json.RawMessage { return s.raw })
	}
	top["Depots"] = raws(t.Services, func(d *Service) json.RawMessage { return d.raw })
	type town struct {
		Town        string
		Regulations []json.RawMessage
	}
	offices := []town{}
	for _, o := range t.hosts {
		offices = append(offices, town{o.Host, raws(o.Routes, func(r *Route) json.RawMessage { return r.raw })})
	}
	top["PostOffices"] = offices
	var err error
	t.document, err = json.Marshal(top)
	return err
}

func raws[T any](all []*T, raw func(*T) json.RawMessage) []json.RawMessage {
	out := []json.RawMessage{}
	for _, v := range all {
		out = append(out, raw(v))
	}
	return out
}

// Find is the route of a request: of its host's, the one with the longest prefix of the path.
func (t *Configuration) Find(host, path string) *Route {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && strings.IndexByte(host[at:], ']') < 0 {
		host = host[:at]
	}
	rules := t.routesByHost[host]
	if rules == nil {
		if rules = t.routesByHost[strings.ToLower(host)]; rules == nil {
			return nil
		}
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := rules[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Owner is the tenant that holds a key, nil for none.
func (t *Configuration) Tenant(key string) *Tenant { return t.tenantsByKey[key] }

// Stamped reports whether requests must carry a key.
func (t *Configuration) RequiresKeys() bool { return len(t.Tenants) > 0 }

// Depot is a service by its name.
func (t *Configuration) Service(name string) *Service { return t.servicesByName[name] }
