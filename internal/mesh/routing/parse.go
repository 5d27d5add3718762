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

const maxDeadline = 10 * time.Minute // longest deadline of a route or partner

// decodePartners decodes and checks the name of this mesh and the partner meshes.
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
			faults.Add(Error.New("Partners %q: Name: must not contain @ or a comma", partner.Name))
		case seen[partner.Name]:
			faults.Add(Error.New("Partners %s: Name: duplicate name", partner.Name))
		}
		seen[partner.Name] = true
		c.Partners = append(c.Partners, partner)
	}))
	if len(c.Partners) > 0 && c.Mesh == "" {
		faults.Add(Error.New("Mesh: a name is required if there are partners"))
	}
	return faults.Err()
}

// decodeItems decodes a list and passes each item with its raw JSON to take.
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

// rawHostRoutes is a host with its routes as they are encoded in a configuration.
type rawHostRoutes struct {
	Host   string            `json:"Town"`
	Routes []json.RawMessage `json:"Regulations"`
}

// decodeLists decodes the lists and limits that a whole configuration and an amendment have in common. Routes in known
// are reused.
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
	faults.Add(decodeItems(top["PostOffices"], "PostOffices", func(entry *rawHostRoutes, raw json.RawMessage) {
		host := &hostRoutes{Host: entry.Host, raw: raw}
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

// routeKey identifies a route by its host and the sum of its raw JSON.
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

// Parse decodes a whole configuration. It rejects invalid and ambiguous ones.
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

// Load decodes a configuration that has been agreed on. An ambiguous configuration that an earlier release accepted
// stays in effect with the meaning that it had there. Ambiguities reports the conflicts, which the next change has to
// resolve.
func Load(document []byte) (*Configuration, error) { return decode(document, nil) }

// LoadAfter is Load for the successor of another configuration. It is cheaper because it shares routes with the same
// content.
func LoadAfter(before *Configuration, document []byte) (*Configuration, error) {
	return decode(document, before)
}

// Ambiguities returns an error that lists everything ambiguous in a loaded configuration, or nil.
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
		return nil, Error.New("invalid JSON: %v", err)
	}
	// The document is stored as json.Marshal would encode it. It therefore stays the same byte for byte when it is
	// forwarded, and all processes compute the same digest.
	var document bytes.Buffer
	json.HTMLEscape(&document, compact.Bytes())
	configuration := &Configuration{other: map[string]json.RawMessage{}, document: document.Bytes()}
	var top map[string]json.RawMessage
	if err := strictjson.DecodeSingle(configuration.document, &top); err != nil {
		return nil, Error.New("invalid JSON: %v", err)
	}
	if err := json.Unmarshal(top["Edition"], &configuration.Edition); err != nil {
		return nil, Error.New("Edition: must be an integer")
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

// indexAndValidate builds the indexes of a configuration and returns an error that lists everything invalid in it.
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
			faults.Add(Error.New("Depots %s: NectarPerS: must not be negative", service.Name))
		}
		c.servicesByName[service.Name] = service
	}
	for _, tenant := range c.Tenants {
		faults.Add(prefixError("Senders "+tenant.Name, validation.ValidateStruct(tenant,
			validation.Field(&tenant.Name, validation.Required),
			validation.Field(&tenant.RatePerSecond, validation.Min(0.0)), validation.Field(&tenant.Burst, validation.Min(0.0)))))
		faults.Add(prefixError("Senders "+tenant.Name+": Nectar", tenant.BurstCredit.check()))
		if tenant.BurstCredit != nil && tenant.RatePerSecond <= 0 {
			faults.Add(Error.New("Senders %s: Nectar: requires a positive RatePerS", tenant.Name))
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

// prefixError adds a prefix to an error. It returns nil for nil.
func prefixError(prefix string, err error) error {
	if err == nil {
		return nil
	}
	return Error.New("%s: %v", prefix, err)
}

// checkRoute checks a route and sets its services. A route that was validated before may be shared with another
// configuration and is only read.
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
	for _, weighted := range r.Services {
		if weighted.Weight < 0 {
			faults.Add(Error.New("%s: Share: must not be negative", prefix))
		}
		total += weighted.Weight
	}
	if total <= 0 {
		faults.Add(Error.New("%s: Apportion: the sum of the shares must be positive", prefix))
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
	for _, weighted := range r.Services {
		if c.servicesByName[weighted.Service] == nil {
			faults.Add(Error.New("route %s: Destination: unknown service %q", r.Name, weighted.Service))
		}
	}
	return faults.Err()
}
