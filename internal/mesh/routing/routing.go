// Package routing implements the agreed configuration of the mesh: its decoding, validation, amendment and lookup of
// routes. It does no I/O. Fields of a configuration that it does not know are preserved unchanged.
package routing

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of errors in a configuration.
var Error = errs.Class("configuration")

// hostRoutes is a host with its routes in the order of the configuration.
type hostRoutes struct {
	Host   string   `json:"Town"`
	Routes []*Route `json:"Rules"`

	raw    json.RawMessage            // as received, nil for the result of Amend or Apply
	fields map[string]json.RawMessage // of the result of Amend: fields other than the name and the routes
}

// Configuration is one version of the configuration of the mesh.
type Configuration struct {
	Edition  int64
	Limits   Limits
	Tenants  []*Tenant  `json:"Senders"`
	Services []*Service `json:"Depots"`
	Routes   []*Route   `json:"Rules"`

	Mesh     string     // name of this mesh, as its partners know it
	Partners []*Partner // in the order in which they are tried

	hosts          []*hostRoutes
	other          map[string]json.RawMessage // top-level fields other than Edition and lists, kept as raw JSON
	document       json.RawMessage            // nil for the result of Apply
	digest         string
	routesByHost   map[string]map[string]*Route // by lower-case host and path prefix
	tenantsByKey   map[string]*Tenant
	servicesByName map[string]*Service
	tenantsByName  map[string]*Tenant
}

// Digest returns the digest of a request that changes the configuration, by which a repeated request is recognized.
func Digest(call string, body []byte) string {
	sum := sha256.Sum256(append([]byte(call+"\x00"), body...))
	return hex.EncodeToString(sum[:16])
}

// Document returns the encoded configuration, or nil if it is the result of Apply.
func (c *Configuration) Document() json.RawMessage { return c.document }

// Find returns the route of the host with the longest path prefix that matches the path, or nil. A port in the host is
// ignored.
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

// Tenant returns the tenant with an API key, or nil.
func (c *Configuration) Tenant(key string) *Tenant { return c.tenantsByKey[key] }

// TenantByName returns the tenant with a name, or nil.
func (c *Configuration) TenantByName(name string) *Tenant { return c.tenantsByName[name] }

// RequiresKeys reports whether requests must have an API key, which is the case if there are tenants.
func (c *Configuration) RequiresKeys() bool { return len(c.Tenants) > 0 }

// Service returns the service with a name, or nil.
func (c *Configuration) Service(name string) *Service { return c.servicesByName[name] }
