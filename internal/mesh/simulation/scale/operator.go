package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	changeTimeout = time.Second
	retryInterval = 50 * time.Millisecond
)

// operator installs and changes the configuration.
type operator struct {
	addresses []string // addresses of controllers
	edition   int64
	client    http.Client
}

type limits struct {
	EnvelopeBytes, ContentsBytes int
	Envelope, Idle               string
}

type routeMatch struct{ StreetPrefix string }

type routeTarget struct {
	Destination   string
	Deadline      string
	DeliveryTries int
}

type routeEntry struct {
	Name, MailClass, Target string
	Precedence              int
	Sorting                 routeMatch
	Dispatch                routeTarget
}

type hostEntry struct {
	Town        string
	Regulations []routeEntry
}

type serviceEntry struct {
	Name, HealthPath string
	LineCap          int
	Protocol         string
}

type tenantEntry struct {
	Name            string
	ApiKeys         []string
	RatePerS, Surge float64
}

type configuration struct {
	Edition     int64
	SizeLimits  limits
	PostOffices []hostEntry    `json:",omitempty"`
	Depots      []serviceEntry `json:",omitempty"`
	Senders     []tenantEntry  `json:",omitempty"`
}

func sizeLimits(edition int64) limits {
	const idle = 15000
	return limits{EnvelopeBytes: 16384, ContentsBytes: 64 << 20, Envelope: "3000ms", Idle: fmt.Sprintf("%dms", idle+edition)}
}

// initialConfiguration returns a configuration with a route for the service of each real proxy. The other routes are spread
// over the services of the hollow proxies.
func initialConfiguration(p *Plan) *configuration {
	c := &configuration{Edition: 1, SizeLimits: sizeLimits(1), PostOffices: []hostEntry{{Town: requestHost}}}
	host := &c.PostOffices[0]
	addRoute := func(name, addService string) {
		host.Regulations = append(host.Regulations, routeEntry{Name: name, MailClass: "repeatable", Target: "300ms", Precedence: 1,
			Sorting: routeMatch{StreetPrefix: "/" + name + "/"}, Dispatch: routeTarget{Destination: addService, Deadline: "2000ms", DeliveryTries: 3}})
	}
	addService := func(name string) {
		c.Depots = append(c.Depots, serviceEntry{Name: name, HealthPath: "/health", LineCap: 130, Protocol: "h1"})
	}
	for n := range p.Proxies {
		addService(servedName(n))
		addRoute(servedName(n), servedName(n))
	}
	for n := range p.Services {
		addService(serviceName(n))
	}
	for n := range p.Routes {
		addRoute(fmt.Sprintf("route-%04d", n), serviceName(n%p.Services))
	}
	return c
}

// The tenant of the requests through real proxies. It has no quota, so that no request is refused for it.
const (
	clientTenant = "clients"
	clientKey    = "key-of-clients"
)

// withTenants adds the limited tenants, and the tenant of the requests through real proxies.
func (c *configuration) withTenants(p *Plan, proxies int) *configuration {
	c.Senders = append(c.Senders, tenantEntry{Name: clientTenant, ApiKeys: []string{clientKey}})
	for n := range p.Quota.Tenants {
		name, rate := tenantName(n), p.Quota.rate(proxies)
		c.Senders = append(c.Senders, tenantEntry{Name: name, ApiKeys: []string{"key-of-" + name}, RatePerS: rate, Surge: rate})
	}
	return c
}

// replace installs a complete configuration. It retries until a controller accepts it.
func (o *operator) replace(ctx context.Context, c *configuration) (bytes int, err error) {
	return o.apply(ctx, "timetable.replace", c)
}

// amend changes the size limits of the configuration.
func (o *operator) amend(ctx context.Context) error {
	_, err := o.apply(ctx, "timetable.amend", &configuration{Edition: o.edition + 1, SizeLimits: sizeLimits(o.edition + 1)})
	return err
}

func (o *operator) apply(ctx context.Context, call string, c *configuration) (bytes int, err error) {
	body, err := json.Marshal(c)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	for n := 0; ; n++ {
		status, err := o.send(ctx, o.addresses[n%len(o.addresses)], call, string(body))
		if err == nil && status == http.StatusOK {
			o.edition = c.Edition
			return len(body), nil
		}
		if sleep(ctx, retryInterval) != nil {
			return 0, Error.New("no controller accepted %s: status %d, %v", call, status, err)
		}
	}
}

func (o *operator) send(ctx context.Context, address, call, body string) (status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/-/rpc?call="+call, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("If-Match", fmt.Sprint(o.edition))
	response, err := o.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
