package scale

// Phase is a part of the run at one size.
type Phase string

// The phases, in the order in which they run.
const (
	PhaseStart         Phase = "start"         // all proxies start at once
	PhaseRest          Phase = "rest"          // nothing changes
	PhaseChanges       Phase = "changes"       // upstreams change at a steady rate
	PhaseServe         Phase = "serve"         // real proxies serve requests at given rates
	PhaseConfiguration Phase = "configuration" // the configuration changes once a second
	PhaseQuota         Phase = "quota"         // proxies request tokens for limited tenants
	PhaseZone          Phase = "zone"          // a zone fails, and all its proxies start at once
	PhaseRegion        Phase = "region"        // a region is partitioned off and returns
	PhaseController    Phase = "controller"    // a controller is killed and stays down during the measurement
	PhaseRestart       Phase = "restart"       // all proxies restart at once
)

// Phases lists all phases.
var Phases = []Phase{PhaseStart, PhaseRest, PhaseChanges, PhaseServe, PhaseConfiguration, PhaseQuota, PhaseZone, PhaseRegion, PhaseController, PhaseRestart}

func anyPhases() (all []any) {
	for _, phase := range Phases {
		all = append(all, phase)
	}
	return all
}
