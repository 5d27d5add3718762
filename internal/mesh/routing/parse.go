package routing

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"strings"
	"time"

	validation "github.com/go-ozzo/ozzo-validation/v4"
	"github.com/zeebo/errs"

	"ottershift/internal/mesh/strictjson"
)

const longest = 10 * time.Minute // that a route may hold a request

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
func (t *Configuration) parts(top map[string]json.RawMessage, known map[routeText]*Route) error {
	var faults errs.Group
	if raw := top["SizeLimits"]; len(raw) > 0 {
		if err := json.Unmarshal(raw, &t.Limits); err != nil {
			faults.Add(Error.New("SizeLimits: %v", err))
		}
	}
	faults.Add(named(top["Senders"], "Senders", func(s *Tenant, raw json.RawMessage) {
		s.item = newItem(raw)
		t.Tenants = append(t.Tenants, s)
	}))
	faults.Add(named(top["Depots"], "Depots", func(d *Service, raw json.RawMessage) {
		d.item = newItem(raw)
		t.Services = append(t.Services, d)
	}))
	faults.Add(named(top["PostOffices"], "PostOffices", func(o *rawHostRoutes, _ json.RawMessage) {
		at := &hostRoutes{Host: o.Town}
		t.hosts = append(t.hosts, at)
		for n, item := range o.Regulations {
			is := newItem(item)
			if r := known[routeText{o.Town, is.sum}]; r != nil {
				at.Routes = append(at.Routes, r)
				continue
			}
			r := &Route{Host: o.Town, item: is}
			if err := json.Unmarshal(item, r); err != nil {
				faults.Add(Error.New("PostOffices %q Regulations[%d]: %v", o.Town, n, err))
				continue
			}
			at.Routes = append(at.Routes, r)
		}
	}))
	return faults.Err()
}

// routeText is a route by its host and what its text says.
type routeText struct {
	host string
	sum  itemSum
}

func routesByText(t *Configuration) map[routeText]*Route {
	if t == nil {
		return nil
	}
	known := make(map[routeText]*Route, len(t.Routes))
	for _, r := range t.Routes {
		known[routeText{r.Host, r.sum}] = r
	}
	return known
}

// Parse reads a whole configuration and refuses what is invalid, or would mean two things.
func Parse(body []byte) (*Configuration, error) {
	t, err := read(body, nil)
	if err != nil {
		return nil, err
	}
	if err := strictjson.Check(body); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := t.findAmbiguities(); err != nil {
		return nil, err
	}
	return t, nil
}

// Load reads a configuration that has been agreed on. One that a version before this took although it means two things goes on in
// force, with the meaning that it had there; Ambiguous says what that is. The next change has to mend that.
func Load(document []byte) (*Configuration, error) { return read(document, nil) }

// LoadAfter is Load for a version that follows another one: items that say the same are shared with it, and cost next to nothing.
func LoadAfter(before *Configuration, document []byte) (*Configuration, error) {
	return read(document, before)
}

// Ambiguous says by what a configuration that was loaded means two things, nil for nothing.
func (t *Configuration) Ambiguous() error {
	var faults errs.Group
	if len(t.document) > 0 {
		faults.Add(strictjson.Check(t.document))
	}
	faults.Add(t.findAmbiguities())
	return faults.Err()
}

func read(body []byte, before *Configuration) (*Configuration, error) {
	var compact bytes.Buffer
	if err := json.Compact(&compact, body); err != nil {
		return nil, Error.New("can't be read whole: %v", err)
	}
	// Invariant: what is told on by way of json.Marshal comes out byte for byte, so all processes have the same digest of it.
	var document bytes.Buffer
	json.HTMLEscape(&document, compact.Bytes())
	t := &Configuration{other: map[string]json.RawMessage{}, document: document.Bytes()}
	var top map[string]json.RawMessage
	if err := strictjson.DecodeSingle(t.document, &top); err != nil {
		return nil, Error.New("can't be read whole: %v", err)
	}
	if err := json.Unmarshal(top["Edition"], &t.Edition); err != nil {
		return nil, Error.New("Edition: is no whole number")
	}
	if err := t.parts(top, routesByText(before)); err != nil {
		return nil, err
	}
	for name, raw := range top {
		switch name {
		case "Edition", "Senders", "Depots", "PostOffices":
		default:
			t.other[name] = raw
		}
	}
	if err := t.settle(); err != nil {
		return nil, err
	}
	return t, nil
}

// settle indexes a configuration and names all that makes it invalid.
func (t *Configuration) settle() error {
	var faults errs.Group
	t.routesByHost, t.tenantsByKey, t.servicesByName = map[string]map[string]*Route{}, map[string]*Tenant{}, map[string]*Service{}
	t.tenantsByName = map[string]*Tenant{}
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
		t.tenantsByName[s.Name] = s
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
	t.digest = t.computeDigest()
	return faults.Err()
}

func checked(where string, err error) error {
	if err == nil {
		return nil
	}
	return Error.New("%s: %v", where, err)
}

// checkRoute checks a route and finds where it goes. One that another version has checked is shared with it, and only read.
func (t *Configuration) checkRoute(r *Route) error {
	if r.checked {
		return t.checkServices(r)
	}
	where := "route " + r.Name
	d := &r.Dispatch
	r.Parts = d.Apportion
	if len(r.Parts) == 0 {
		r.Parts = []WeightedService{{d.Destination, 1}}
	}
	var faults errs.Group
	total := 0.0
	faults.Add(t.checkServices(r))
	for _, p := range r.Parts {
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
	r.checked = len(faults) == 0
	return faults.Err()
}

func (t *Configuration) checkServices(r *Route) error {
	var faults errs.Group
	for _, p := range r.Parts {
		if t.servicesByName[p.Service] == nil {
			faults.Add(Error.New("route %s: Destination: no service is named %q", r.Name, p.Service))
		}
	}
	return faults.Err()
}
