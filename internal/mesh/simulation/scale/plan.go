// Package scale measures how the cost of the control plane grows with the number of proxies. Hollow proxies, all in one
// process, use the real watch protocol with real controller processes, while a few real proxies serve requests. Each size
// runs through the same phases, and the figures of a phase are fitted over the sizes.
package scale

import (
	"errors"
	"fmt"
	"strings"
	"time"

	validation "github.com/go-ozzo/ozzo-validation/v4"
	"github.com/pelletier/go-toml/v2"
	"github.com/zeebo/errs"
)

// Error is the class of errors in plans and of runs that could not be carried out.
var Error = errs.Class("scale")

// Limits of a plan, so that a run does not exhaust the machine.
const (
	maxSize        = 4000
	maxProxies     = 40
	maxControllers = 9
	maxRate        = 20000.0
	maxPhase       = 5 * time.Minute
)

// Duration is a duration in a plan, such as "1.5s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err == nil && parsed < 0 {
		err = fmt.Errorf("%q is below 0", text)
	}
	*d = Duration(parsed)
	return err
}

// Plan describes a scale run. It is read from a TOML file.
type Plan struct {
	Title       string
	Sizes       []int // numbers of hollow proxies, each measured in turn
	Controllers int
	Proxies     int // real proxies, each with an upstream of its own service
	Services    int // of the hollow proxies
	Zones       int
	Regions     int
	Routes      int // of the configuration, spread over the services

	Window  Duration // length of the measurement of a steady phase
	Storm   Duration // length of the measurement after a start, restart or reconnection
	Silence Duration // time for which a zone or region is disconnected

	ChangesPerSecond float64 `toml:"changes_per_second"` // changes of upstreams in the changes phase
	Configurations   int     // changes of the configuration, one per second
	Phases           []Phase // phases to run, all by default

	// StableOrder makes hollow proxies sort the received list of controllers before they choose one. Without it they choose
	// as current proxies do, from a list that begins with the controller that sent the response.
	StableOrder bool `toml:"stable_order"`

	Serve ServePlan
	Quota QuotaPlan
}

// QuotaPlan is the limited tenants and the requests for which hollow proxies take tokens.
type QuotaPlan struct {
	Tenants int
	Calls   float64 // requests per second at each proxy
}

// ServePlan is the client traffic through the real proxies.
type ServePlan struct {
	Rates []float64 // requests per second of all clients together, one phase each
	Base  float64   // request rate during the phases that follow
	Work  Duration  // processing time of an upstream for each request
	Bytes int       // size of a response body
}

func defaultPlan() *Plan {
	return &Plan{
		Controllers: 4, Proxies: 4, Services: 23, Zones: 6, Regions: 2, Routes: 100,
		Window: Duration(8 * time.Second), Storm: Duration(6 * time.Second), Silence: Duration(17 * time.Second),
		ChangesPerSecond: 5, Configurations: 5, Phases: Phases,
		Quota: QuotaPlan{Tenants: 75, Calls: 65},
		Serve: ServePlan{Rates: []float64{100, 400, 800}, Base: 100, Work: Duration(time.Millisecond), Bytes: 1000},
	}
}

// ReadPlan reads and validates a plan.
func ReadPlan(text []byte) (*Plan, error) {
	plan := defaultPlan()
	decoder := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields()
	if err := decoder.Decode(plan); err != nil {
		return nil, decodeError(err)
	}
	return plan, plan.Validate()
}

func decodeError(err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		return Error.New("unknown keys:\n%s", unknown.String())
	}
	var at *toml.DecodeError
	if errors.As(err, &at) {
		row, column := at.Position()
		return Error.New("line %d, column %d: %v", row, column, at)
	}
	return Error.Wrap(err)
}

// Validate returns all errors of a plan.
func (p *Plan) Validate() error {
	var faults errs.Group
	check := func(key string, value any, rules ...validation.Rule) {
		if err := validation.Validate(value, rules...); err != nil {
			faults.Add(Error.New("%s: %v", key, err))
		}
	}
	span := func(key string, value Duration, least time.Duration) {
		check(key, time.Duration(value), validation.Min(least), validation.Max(maxPhase))
	}
	check("sizes", p.Sizes, validation.Required, validation.Length(1, 8), validation.Each(validation.Required, validation.Min(1), validation.Max(maxSize)))
	check("controllers", p.Controllers, validation.Required, validation.Min(1), validation.Max(maxControllers))
	check("proxies", p.Proxies, validation.Min(0), validation.Max(maxProxies))
	check("services", p.Services, validation.Required, validation.Min(1), validation.Max(1000))
	check("zones", p.Zones, validation.Required, validation.Min(1), validation.Max(64))
	check("regions", p.Regions, validation.Required, validation.Min(1), validation.Max(p.Zones))
	check("routes", p.Routes, validation.Required, validation.Min(p.Services), validation.Max(20000))
	span("window", p.Window, time.Second)
	span("storm", p.Storm, time.Second)
	span("silence", p.Silence, time.Second)
	check("changes_per_second", p.ChangesPerSecond, validation.Min(0.1), validation.Max(200.0))
	check("configurations", p.Configurations, validation.Min(1), validation.Max(100))
	for _, phase := range p.Phases {
		check("phases", phase, validation.In(anyPhases()...))
	}
	check("serve.rates", p.Serve.Rates, validation.Each(validation.Min(1.0), validation.Max(maxRate)))
	check("serve.base", p.Serve.Base, validation.Min(0.0), validation.Max(maxRate))
	check("serve.work", time.Duration(p.Serve.Work), validation.Min(time.Duration(0)), validation.Max(time.Second))
	check("serve.bytes", p.Serve.Bytes, validation.Min(0), validation.Max(1<<20))
	check("quota.tenants", p.Quota.Tenants, validation.Required, validation.Min(1), validation.Max(1000))
	check("quota.calls", p.Quota.Calls, validation.Required, validation.Min(0.1), validation.Max(1000.0))
	return faults.Err()
}

func (p *Plan) zoneNames() (all []string) {
	for n := range p.Zones {
		all = append(all, fmt.Sprintf("zone-%d", n))
	}
	return all
}

func (p *Plan) plays(phase Phase) bool {
	for _, wanted := range p.Phases {
		if wanted == phase {
			return true
		}
	}
	return false
}
