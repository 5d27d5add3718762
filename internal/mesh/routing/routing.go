// Package routing is the configuration that the mesh agrees on: read, checked, amended, looked up. It does
// no I/O. What it doesn't know in a configuration is kept as it was sent.
package routing

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of faults in a configuration.
var Error = errs.Class("configuration")

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
	document       json.RawMessage            // nil of one that a change led to
	digest         string
	routesByHost   map[string]map[string]*Route // by host and prefix
	tenantsByKey   map[string]*Tenant
	servicesByName map[string]*Service
	tenantsByName  map[string]*Tenant
}

// Digest names a call that changes the configuration, so that the same one sent again is known.
func Digest(call string, body []byte) string {
	sum := sha256.Sum256(append([]byte(call+"\x00"), body...))
	return hex.EncodeToString(sum[:16])
}

// Document is the configuration as it is read back.
func (c *Configuration) Document() json.RawMessage { return c.document }

// Find is the route of a request: of its host's, the one with the longest prefix of the path.
func (c *Configuration) Find(host, path string) *Route {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && strings.IndexByte(host[colon:], ']') < 0 {
		host = host[:colon]
	}
	routes := c.routesByHost[host]
	if routes == nil {
		if routes = c.routesByHost[strings.ToLower(host)]; routes == nil {
			return nil
		}
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := routes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Tenant is the tenant that holds a key, nil for none.
func (c *Configuration) Tenant(key string) *Tenant { return c.tenantsByKey[key] }

// TenantByName is the tenant of a name, nil for none.
func (c *Configuration) TenantByName(name string) *Tenant { return c.tenantsByName[name] }

// RequiresKeys reports whether requests must carry a key.
func (c *Configuration) RequiresKeys() bool { return len(c.Tenants) > 0 }

// Service is a service by its name, nil for none.
func (c *Configuration) Service(name string) *Service { return c.servicesByName[name] }
