package simulation

import (
	"time"

	validation "github.com/go-ozzo/ozzo-validation/v4"

	"ottershift/internal/mesh/simulation/processes"
)

// runSettings is a mesh of real processes on loopback.
type runSettings struct {
	Controllers, Proxies, Size int
	Routes                     int // beside those that are asked for
	Zones, Services            []string
	Length, Short, Work        duration // Short: its length in the short form, 0 for as it is
	Rate                       float64
	Credit, Extra              float64  // burst credit of the one tenant of all clients, 0 for none; the most a second over its rate
	TenantRate                 float64  `toml:"tenant_rate"`
	Partner                    duration // between two words of a partner, 0 for no partner
	Versions                   duration // between two versions of the configuration that are probed for, 0 for none
	Faults                     []Fault
}

func defaultRun() runSettings {
	return runSettings{Controllers: 3, Proxies: 6, Size: 2000, Zones: []string{"east", "west"}, Services: []string{"album", "album", "archive"},
		Length: duration(20 * S), Work: duration(20 * Ms), Rate: 150}
}

// validate names what is wrong with it.
func (r *runSettings) validate(fault func(key string, v any, rules ...validation.Rule)) error {
	fault("run.controllers", r.Controllers, validation.Required, validation.Min(1), validation.Max(9))
	fault("run.proxies", r.Proxies, validation.Required, validation.Min(1), validation.Max(60))
	fault("run.routes", r.Routes, validation.Min(0), validation.Max(20000))
	if r.Credit > 0 {
		fault("run.extra", r.Extra, validation.Required, validation.Min(1.0))
		fault("run.tenant_rate", r.TenantRate, validation.Required, validation.Min(1.0))
	}
	fault("run.zones", r.Zones, validation.Required)
	fault("run.services", r.Services, validation.Required)
	fault("run.length", int64(r.Length), validation.Min(3*S), validation.Max(600*S))
	if r.Versions != 0 {
		fault("run.versions", int64(r.Versions), validation.Min(10*Ms))
	}
	fault("run.rate", r.Rate, validation.Required, validation.Min(1.0), validation.Max(5000.0))
	fault("run.size", r.Size, validation.Min(0), validation.Max(8<<20))
	return validateFaults("run", r.Faults, processes.Kinds, r.Length)
}

// ProcessMesh is the mesh of real processes that a question asks for.
func (question *Question) ProcessMesh(programs, logs string, short bool) processes.Mesh {
	r := question.Run
	m := processes.Mesh{Programs: programs, Logs: logs, Controllers: r.Controllers, Proxies: r.Proxies, Zones: r.Zones, Services: r.Services,
		Length: time.Duration(r.Length), Rate: r.Rate, Work: time.Duration(r.Work), Size: r.Size, Routes: r.Routes, Credit: r.Credit, Extra: r.Extra, TenantRate: r.TenantRate, Seed: question.Seed, Partner: time.Duration(r.Partner), Versions: time.Duration(r.Versions)}
	if short && r.Short > 0 {
		m.Length = time.Duration(r.Short)
	}
	for _, f := range r.Faults {
		if time.Duration(f.At) < m.Length {
			m.Faults = append(m.Faults, processes.Fault{Kind: f.Kind, At: time.Duration(f.At), For: time.Duration(f.For), Who: f.Who})
		}
	}
	return m
}

// Demo is what `meshsim demo` plays: one process of each plane is killed on the way.
func Demo() *Question {
	q := &Question{Title: "Three controllers and six proxies; one of each is killed on the way", Seed: 1, Run: defaultRun()}
	q.Run.Faults = []Fault{
		{Kind: processes.KillController, At: duration(5 * S), For: duration(4 * S), Who: 1},
		{Kind: processes.KillProxy, At: duration(8 * S), For: duration(3 * S), Who: 2},
	}
	return q
}
