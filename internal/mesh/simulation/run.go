package simulation

import (
	"time"

	validation "github.com/go-ozzo/ozzo-validation/v4"
	"github.com/zeebo/errs"

	"ottershift/internal/mesh/simulation/processes"
)

// runSettings is the [run] table of a question: a mesh of real processes on loopback.
type runSettings struct {
	Controllers, Proxies, Size int
	Routes                     int // configured in addition to the routes that the clients use
	Zones, Services            []string
	Length, Short, Work        duration // Short replaces Length in the short form; 0 keeps Length
	Rate                       float64
	Credit, Extra              float64  // of the only tenant: initial tokens, 0 for none; the most it may spend a second above its rate
	TenantRate                 float64  `toml:"tenant_rate"`
	Partner                    duration // interval between two announcements of the partner, 0 for no partner
	Versions                   duration // interval between two configuration versions whose propagation is measured, 0 for none
	Soak                       bool     // faults are drawn from the seed, upstreams come and go, and amendments concern several hosts
	Faults                     []Fault
}

func defaultRun() runSettings {
	return runSettings{Controllers: 3, Proxies: 6, Size: 2000, Zones: []string{"east", "west"}, Services: []string{"album", "album", "archive"},
		Length: duration(20 * Second), Work: duration(20 * Millisecond), Rate: 150}
}

// validate reports each invalid setting through check, and returns the errors of the fault list.
func (settings *runSettings) validate(check func(key string, v any, rules ...validation.Rule)) error {
	check("run.controllers", settings.Controllers, validation.Required, validation.Min(1), validation.Max(9))
	check("run.proxies", settings.Proxies, validation.Required, validation.Min(1), validation.Max(60))
	check("run.routes", settings.Routes, validation.Min(0), validation.Max(20000))
	if settings.Credit > 0 {
		check("run.extra", settings.Extra, validation.Required, validation.Min(1.0))
		check("run.tenant_rate", settings.TenantRate, validation.Required, validation.Min(1.0))
	}
	check("run.zones", settings.Zones, validation.Required)
	check("run.services", settings.Services, validation.Required)
	check("run.length", int64(settings.Length), validation.Min(3*Second), validation.Max(600*Second))
	if settings.Versions != 0 {
		check("run.versions", int64(settings.Versions), validation.Min(10*Millisecond))
	}
	if settings.Soak {
		check("run.length", int64(settings.Length), validation.Min(int64(processes.MinSoakLength)))
	}
	check("run.rate", settings.Rate, validation.Required, validation.Min(1.0), validation.Max(5000.0))
	check("run.size", settings.Size, validation.Min(0), validation.Max(8<<20))
	return validateFaults("run", settings.Faults, processes.Kinds, settings.Length)
}

// Resize changes the numbers of controllers and proxies of the mesh of real processes. Zero keeps a number.
func (question *Question) Resize(controllers, proxies int) error {
	if controllers != 0 {
		question.Run.Controllers = controllers
	}
	if proxies != 0 {
		question.Run.Proxies = proxies
	}
	var faults errs.Group
	faults.Add(question.Run.validate(func(key string, v any, rules ...validation.Rule) {
		if err := validation.Validate(v, rules...); err != nil {
			faults.Add(Error.New("%s: %v", key, err))
		}
	}))
	return faults.Err()
}

// ProcessMesh returns the mesh of real processes that the question describes. short selects its short form.
func (question *Question) ProcessMesh(programs, logs string, short bool) processes.Mesh {
	settings := question.Run
	mesh := processes.Mesh{Programs: programs, Logs: logs, Controllers: settings.Controllers, Proxies: settings.Proxies, Zones: settings.Zones, Services: settings.Services,
		Length: time.Duration(settings.Length), Rate: settings.Rate, ProcessingTime: time.Duration(settings.Work), ResponseBytes: settings.Size, IdleRoutes: settings.Routes, Credit: settings.Credit, ExtraRate: settings.Extra, TenantRate: settings.TenantRate, Seed: question.Seed, PartnerInterval: time.Duration(settings.Partner), VersionInterval: time.Duration(settings.Versions), Soak: settings.Soak}
	if short && settings.Short > 0 {
		mesh.Length = time.Duration(settings.Short)
	}
	for _, f := range settings.Faults {
		if time.Duration(f.At) < mesh.Length {
			mesh.Faults = append(mesh.Faults, processes.Fault{Kind: f.Kind, At: time.Duration(f.At), For: time.Duration(f.For), Who: f.Who})
		}
	}
	return mesh
}

// Demo returns the question that `meshsim demo` plays. It kills one controller and one proxy during the run.
func Demo() *Question {
	question := &Question{Title: "Three controllers and six proxies; one of each is killed during the run", Seed: 1, Run: defaultRun()}
	question.Run.Faults = []Fault{
		{Kind: processes.KillController, At: duration(5 * Second), For: duration(4 * Second), Who: 1},
		{Kind: processes.KillProxy, At: duration(8 * Second), For: duration(3 * Second), Who: 2},
	}
	return question
}
