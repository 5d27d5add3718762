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

const maxDeadline = 10 * time.Minute // that a route may hold a request

// decodePartners reads the meshes beside ours.
func (c *Configuration) decodePartners() error {
	c.Mesh, c.Partners = "", nil
	if raw := c.other["Mesh"]; len(raw) > 0 {
		if err := json.Unmarshal(raw, &c.Mesh); err != nil {
			return Error.New("Mesh: %v", err)
		}
	}
	var faults errs.Group
	seen := map[string]bool{}
	faults.Add(decodeItems(c.other["Partners"], "Partners", func(partner *Partner, _ json.RawMessage) {
		faults.Add(prefixError("Partners "+partner.Name, validation.ValidateStruct(partner,
			validation.Field(&partner.Name, validation.Required), validation.Field(&partner.Deadline, validation.Required, validation.Max(Duration(maxDeadline))),
			validation.Field(&partner.MaxAttempts, validation.Min(0), validation.Max(16)), validation.Field(&partner.Gateway, validation.Required, validation.By(func(v any) error {
				_, err := netip.ParseAddrPort(v.(string))
				return err
			})))))
		switch {
		case strings.ContainsAny(partner.Name, "@,"):
			faults.Add(Error.New("Partners %q: Name: has an @ or a comma in it", partner.Name))
		case seen[partner.Name]:
			faults.Add(Error.New("Partners %s: Name: stands twice", partner.Name))
		}
		seen[partner.Name] = true
		c.Partners = append(c.Partners, partner)
	}))
	if len(c.Partners) > 0 && c.Mesh == "" {
		faults.Add(Error.New("Mesh: partners have to know us by a name"))
	}
	return faults.Err()
}

// decodeItems decodes a list of items, each kept raw.
func decodeItems[T any](raw json.RawMessage, list string, take func(*T, json.RawMessage)) error {
	if len(raw) == 0 || string(raw) == "null" {
		return nil
	}
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		return Error.New("%s: %v", list, err)
	}
	for n, item := range items {
		v := new(T)
		if err := json.Unmarshal(item, v); err != nil {
			return Error.New("%s[%d]: %v", list, n, err)
		}
		take(v, item)
	}
	return nil
}

type rawHostRoutes struct {
	Host   string            `json:"Town"`
	Routes []json.RawMessage `json:"Regulations"`
}

// decodeLists reads the lists that a whole configuration and an amendment have in common.
func (c *Configuration) decodeLists(top map[string]json.RawMessage, known map[routeKey]*Route) error {
	var faults errs.Group
	if raw := top["SizeLimits"]; len(raw) > 0 {
		if err := json.Unmarshal(raw, &c.Limits); err != nil {
			faults.Add(Error.New("SizeLimits: %v", err))
		}
	}
	faults.Add(decodeItems(top["Senders"], "Senders", func(tenant *Tenant, raw json.RawMessage) {
		tenant.item = newItem(raw)
		c.Tenants = append(c.Tenants, tenant)
	}))
	faults.Add(decodeItems(top["Depots"], "Depots", func(service *Service, raw json.RawMessage) {
		service.item = newItem(raw)
		c.Services = append(c.Services, service)
	}))
	faults.Add(decodeItems(top["PostOffices"], "PostOffices", func(entry *rawHostRoutes, _ json.RawMessage) {
		host := &hostRoutes{Host: entry.Host}
		c.hosts = append(c.hosts, host)
		for n, item := range entry.Routes {
			decoded := newItem(item)
			if route := known[routeKey{entry.Host, decoded.sum}]; route != nil {
				host.Routes = append(host.Routes, route)
				continue
			}
			route := &Route{Host: entry.Host, item: decoded}
			if err := json.Unmarshal(item, route); err != nil {
				faults.Add(Error.New("PostOffices %q Regulations[%d]: %v", entry.Host, n, err))
				continue
			}
			host.Routes = append(host.Routes, route)
		}
	}))
	return faults.Err()
}

// routeKey is a route by its host and what its text says.
type routeKey struct {
	host string
	sum  itemSum
}

func routesByKey(configuration *Configuration) map[routeKey]*Route {
	if configuration == nil {
		return nil
	}
	known := make(map[routeKey]*Route, len(configuration.Routes))
	for _, r := range configuration.Routes {
		known[routeKey{r.Host, r.sum}] = r
	}
	return known
}

// Parse reads a whole configuration and refuses what is invalid, or would mean two things.
func Parse(body []byte) (*Configuration, error) {
	configuration, err := decode(body, nil)
	if err != nil {
		return nil, err
	}
	if err := strictjson.Check(body); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := configuration.findAmbiguities(); err != nil {
		return nil, err
	}
	return configuration, nil
}

// Load reads a configuration that has been agreed on. One that a version before this took although it means two things goes on in
// force, with the meaning that it had there; Ambiguous says what that is. The next change has to mend that.
func Load(document []byte) (*Configuration, error) { return decode(document, nil) }

// LoadAfter is Load for a version that follows another one: items that say the same are shared with it, and cost next to nothing.
func LoadAfter(before *Configuration, document []byte) (*Configuration, error) {
	return decode(document, before)
}

// Ambiguities says by what a configuration that was loaded means two things, nil for nothing.
func (c *Configuration) Ambiguities() error {
	var faults errs.Group
	if len(c.document) > 0 {
		faults.Add(strictjson.Check(c.document))
	}
	faults.Add(c.findAmbiguities())
	return faults.Err()
}

func decode(body []byte, before *Configuration) (*Configuration, error) {
	var compact bytes.Buffer
	if err := json.Compact(&compact, body); err != nil {
		return nil, Error.New("can't be read whole: %v", err)
	}
	// Invariant: what is told on by way of json.Marshal comes out byte for byte, so all processes have the same digest of it.
	var document bytes.Buffer
	json.HTMLEscape(&document, compact.Bytes())
	configuration := &Configuration{other: map[string]json.RawMessage{}, document: document.Bytes()}
	var top map[string]json.RawMessage
	if err := strictjson.DecodeWhole(configuration.document, &top); err != nil {
		return nil, Error.New("can't be read whole: %v", err)
	}
	if err := json.Unmarshal(top["Edition"], &configuration.Edition); err != nil {
		return nil, Error.New("Edition: is no whole number")
	}
	if err := configuration.decodeLists(top, routesByKey(before)); err != nil {
		return nil, err
	}
	for name, raw := range top {
		switch name {
		case "Edition", "Senders", "Depots", "PostOffices":
		default:
			configuration.other[name] = raw
		}
	}
	if err := configuration.indexAndValidate(); err != nil {
		return nil, err
	}
	return configuration, nil
}

// indexAndValidate indexes a configuration and names all that makes it invalid.
func (c *Configuration) indexAndValidate() error {
	var faults errs.Group
	c.routesByHost, c.tenantsByKey, c.servicesByName = map[string]map[string]*Route{}, map[string]*Tenant{}, map[string]*Service{}
	c.tenantsByName = map[string]*Tenant{}
	c.Routes = c.Routes[:0]
	faults.Add(c.decodePartners())
	if err := validation.Validate(c.Edition, validation.Required, validation.Min(int64(1))); err != nil {
		faults.Add(Error.New("Edition: %v", err))
	}
	for _, service := range c.Services {
		if err := validation.Validate(service.Name, validation.Required); err != nil {
			faults.Add(Error.New("Depots: Name: %v", err))
		}
		if service.MaxBurstCreditPerSecond < 0 {
			faults.Add(Error.New("Depots %s: NectarPerS: is below 0", service.Name))
		}
		c.servicesByName[service.Name] = service
	}
	for _, tenant := range c.Tenants {
		faults.Add(prefixError("Senders "+tenant.Name, validation.ValidateStruct(tenant,
			validation.Field(&tenant.Name, validation.Required),
			validation.Field(&tenant.RatePerSecond, validation.Min(0.0)), validation.Field(&tenant.Burst, validation.Min(0.0)))))
		faults.Add(prefixError("Senders "+tenant.Name+": Nectar", tenant.BurstCredit.check()))
		if tenant.BurstCredit != nil && tenant.RatePerSecond <= 0 {
			faults.Add(Error.New("Senders %s: Nectar: without RatePerS nothing is left to save", tenant.Name))
		}
		c.tenantsByName[tenant.Name] = tenant
		for _, key := range tenant.APIKeys {
			c.tenantsByKey[key] = tenant
		}
	}
	for _, entry := range c.hosts {
		if err := validation.Validate(strings.TrimSpace(entry.Host), validation.Required); err != nil {
			faults.Add(Error.New("PostOffices: Town: %v", err))
		}
		host := strings.ToLower(entry.Host)
		if c.routesByHost[host] == nil {
			c.routesByHost[host] = map[string]*Route{}
		}
		for _, r := range entry.Routes {
			faults.Add(c.checkRoute(r))
			c.routesByHost[host][r.Match.PathPrefix] = r
			c.Routes = append(c.Routes, r)
		}
	}
	c.digest = c.computeDigest()
	return faults.Err()
}

func prefixError(prefix string, err error) error {
	if err == nil {
		return nil
	}
	return Error.New("%s: %v", prefix, err)
}

// checkRoute checks a route and finds where it goes. One that another version has checked is shared with it, and only read.
func (c *Configuration) checkRoute(r *Route) error {
	if r.validated {
		return c.checkServices(r)
	}
	prefix := "route " + r.Name
	forwarding := &r.Forwarding
	r.Services = forwarding.WeightedServices
	if len(r.Services) == 0 {
		r.Services = []WeightedService{{forwarding.Service, 1}}
	}
	var faults errs.Group
	total := 0.0
	faults.Add(c.checkServices(r))
	for _, p := range r.Services {
		if p.Weight < 0 {
			faults.Add(Error.New("%s: Share: is below 0", prefix))
		}
		total += p.Weight
	}
	if total <= 0 {
		faults.Add(Error.New("%s: Apportion: the shares add up to 0", prefix))
	}
	faults.Add(prefixError(prefix+": Sorting", validation.ValidateStruct(&r.Match, validation.Field(&r.Match.PathPrefix,
		validation.Required, validation.By(func(v any) error {
			if s := v.(string); !strings.HasPrefix(s, "/") || !strings.HasSuffix(s, "/") {
				return errs.New("must begin and end with a slash")
			}
			return nil
		})))))
	faults.Add(prefixError(prefix+": Dispatch", validation.ValidateStruct(forwarding,
		validation.Field(&forwarding.Deadline, validation.Required, validation.Max(Duration(maxDeadline))),
		validation.Field(&forwarding.MaxAttempts, validation.Required, validation.Min(1)))))
	r.validated = len(faults) == 0
	return faults.Err()
}

func (c *Configuration) checkServices(r *Route) error {
	var faults errs.Group
	for _, p := range r.Services {
		if c.servicesByName[p.Service] == nil {
			faults.Add(Error.New("route %s: Destination: no service is named %q", r.Name, p.Service))
		}
	}
	return faults.Err()
}
