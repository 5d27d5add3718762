package scale

// Phase is a part of the pass of one size.
type Phase string

// The phases, in the order in which they are played.
const (
	PhaseStart         Phase = "start"         // all balancers start at once
	PhaseRest          Phase = "rest"          // nothing changes
	PhaseChanges       Phase = "changes"       // upstreams change, one after another
	PhaseServe         Phase = "serve"         // real proxies carry calls at given rates
	PhaseConfiguration Phase = "configuration" // the configuration changes once a second
	PhaseQuota         Phase = "quota"         // balancers draw tokens for calls of limited tenants
	PhaseZone          Phase = "zone"          // a zone dies and all of it starts at once
	PhaseRegion        Phase = "region"        // a region is cut off and returns
	PhaseController    Phase = "controller"    // a controller is killed, and is away while this is measured
	PhaseRestart       Phase = "restart"       // all balancers are restarted at once
)

// Phases are all of them.
var Phases = []Phase{PhaseStart, PhaseRest, PhaseChanges, PhaseServe, PhaseConfiguration, PhaseQuota, PhaseZone, PhaseRegion, PhaseController, PhaseRestart}

func anyPhases() (all []any) {
	for _, phase := range Phases {
		all = append(all, phase)
	}
	return all
}
