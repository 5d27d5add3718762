// Package scale measures how the cost of a mesh grows with the number of its balancers. Hollow balancers, all in one process,
// speak the real watch protocol to real controller processes; a few real proxies serve calls beside them. Each size is played
// through the same phases, and the figures of a phase are fitted over the sizes.
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

// Error is the class of faults in plans and of runs that could not be made.
var Error = errs.Class("scale")

// Bounds of a plan, so that a run stays within the machine.
const (
	maxSize        = 4000
	maxProxies     = 40
	maxControllers = 9
	maxRate        = 20000.0
	maxPhase       = 5 * time.Minute
)

// Duration is a time in a plan, such as "1.5s".
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

// Plan is a scale run as its file describes it.
type Plan struct {
	Title       string
	Sizes       []int // hollow balancers, one pass each
	Controllers int
	Proxies     int // real ones, each with an upstream of its own service
	Services    int // of the hollow balancers
	Zones       int
	Regions     int
	Routes      int // of the configuration, dealt out to the services

	Window  Duration // that a steady phase is measured for
	Storm   Duration // that is measured after a start, a restart or a return
	Silence Duration // that a zone or region is away

	ChangesPerSecond float64 `toml:"changes_per_second"` // upstreams that change while changes are measured
	Configurations   int     // changes of the configuration, one a second
	Phases           []Phase // those to play, all where left out

	// StableOrder has hollow balancers order the controllers they are told of before each chooses its own. Without it they
	// choose as proxies of this version do: by a list that names the controller that answered first.
	StableOrder bool `toml:"stable_order"`

	Serve ServePlan
	Quota QuotaPlan
}

// QuotaPlan is the limited tenants, and the calls for which hollow balancers take tokens.
type QuotaPlan struct {
	Tenants int
	Calls   float64 // a second at each balancer
}

// ServePlan is the traffic of the real proxies.
type ServePlan struct {
	Rates []float64 // calls a second of all clients together, a phase each
	Base  float64   // the rate during the phases after them
	Work  Duration  // of an upstream for each call
	Bytes int       // of an answer
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

// ReadPlan reads a plan and names all that is wrong with it.
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

// Validate names all that is wrong with a plan.
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
