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
	orderTimeout = time.Second
	orderPause   = 50 * time.Millisecond
)

// operator puts configurations and changes them.
type operator struct {
	controls []string // addresses of controllers
	edition  int64
	client   http.Client
}

type limits struct {
	EnvelopeBytes, ContentsBytes int
	Envelope, Idle               string
}

type sorting struct{ StreetPrefix string }

type dispatch struct {
	Destination   string
	Deadline      string
	DeliveryTries int
}

type regulation struct {
	Name, MailClass, Target string
	Precedence              int
	Sorting                 sorting
	Dispatch                dispatch
}

type postOffice struct {
	Town        string
	Regulations []regulation
}

type depot struct {
	Name, HealthPath string
	LineCap          int
	Protocol         string
}

type sender struct {
	Name            string
	ApiKeys         []string
	RatePerS, Surge float64
}

type timetable struct {
	Edition     int64
	SizeLimits  limits
	PostOffices []postOffice `json:",omitempty"`
	Depots      []depot      `json:",omitempty"`
	Senders     []sender     `json:",omitempty"`
}

func sizeLimits(edition int64) limits {
	const idle = 15000
	return limits{EnvelopeBytes: 16384, ContentsBytes: 64 << 20, Envelope: "3000ms", Idle: fmt.Sprintf("%dms", idle+edition)}
}

// firstTimetable has a route for each served service, and the others dealt out to the services of hollow balancers.
func firstTimetable(p *Plan) *timetable {
	t := &timetable{Edition: 1, SizeLimits: sizeLimits(1), PostOffices: []postOffice{{Town: callHost}}}
	office := &t.PostOffices[0]
	route := func(name, service string) {
		office.Regulations = append(office.Regulations, regulation{Name: name, MailClass: "repeatable", Target: "300ms", Precedence: 1,
			Sorting: sorting{StreetPrefix: "/" + name + "/"}, Dispatch: dispatch{Destination: service, Deadline: "2000ms", DeliveryTries: 3}})
	}
	service := func(name string) {
		t.Depots = append(t.Depots, depot{Name: name, HealthPath: "/health", LineCap: 130, Protocol: "h1"})
	}
	for n := range p.Proxies {
		service(servedName(n))
		route(servedName(n), servedName(n))
	}
	for n := range p.Services {
		service(serviceName(n))
	}
	for n := range p.Routes {
		route(fmt.Sprintf("route-%04d", n), serviceName(n%p.Services))
	}
	return t
}

// The tenant of the calls that real proxies carry; it has no quota, so that none is refused for one.
const (
	clientTenant = "clients"
	clientKey    = "key-of-clients"
)

// withTenants is a timetable with limited tenants beside it, and the one of the calls of real proxies.
func (t *timetable) withTenants(p *Plan, balancers int) *timetable {
	t.Senders = append(t.Senders, sender{Name: clientTenant, ApiKeys: []string{clientKey}})
	for n := range p.Quota.Tenants {
		name, rate := tenantName(n), p.Quota.rate(balancers)
		t.Senders = append(t.Senders, sender{Name: name, ApiKeys: []string{"key-of-" + name}, RatePerS: rate, Surge: rate})
	}
	return t
}

// put brings a whole configuration, and sends it until it is taken.
func (o *operator) put(ctx context.Context, t *timetable) (bytes int, err error) {
	return o.order(ctx, "timetable.replace", t)
}

// amend changes the configuration's limits.
func (o *operator) amend(ctx context.Context) error {
	_, err := o.order(ctx, "timetable.amend", &timetable{Edition: o.edition + 1, SizeLimits: sizeLimits(o.edition + 1)})
	return err
}

func (o *operator) order(ctx context.Context, call string, t *timetable) (bytes int, err error) {
	body, err := json.Marshal(t)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	for n := 0; ; n++ {
		status, err := o.send(ctx, o.controls[n%len(o.controls)], call, string(body))
		if err == nil && status == http.StatusOK {
			o.edition = t.Edition
			return len(body), nil
		}
		if pause(ctx, orderPause) != nil {
			return 0, Error.New("nobody takes %s: status %d, %v", call, status, err)
		}
	}
}

func (o *operator) send(ctx context.Context, at, call, body string) (status int, err error) {
	ctx, end := context.WithTimeout(ctx, orderTimeout)
	defer end()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at+"/-/rpc?call="+call, strings.NewReader(body))
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
