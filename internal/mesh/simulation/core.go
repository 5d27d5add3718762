package simulation

import (
	"fmt"
	"math/rand/v2"

	"ottershift/internal/mesh/consensus"
)

// CoreScenario is a simulated run of the core: controllers with disks, links between them, operators who update one
// configuration, and faults. Times are virtual, in nanoseconds.
type CoreScenario struct {
	Controllers  int   // controllers at the start
	Founders     int   // how many of them are members from the start
	Tolerate     int   // disks that may be lost at the same time
	Length       int64 // of the run; faults end at 7/10 of it
	CatchUp      int64 // how long a machine still counts as lost after its return
	Grace        int64 // from SIGTERM to SIGKILL
	RepairWithin int64 // how soon after the end of the faults the core has to decide again
	Delay        int64 // of a link, one way
	Jitter       int64
	Sync         int64 // of one disk write
	Handling     int64 // of a message on a slowed machine, multiplied by its slowdown
	Loss         float64

	Updates           int     // updates that operators send
	ConcurrentUpdates int     // how many of them are sent concurrently on the same version
	Reads             int     // reads by operators
	Readers           int     // proxies, each of which knows a single controller
	LostResponses     float64 // share of the responses to operators that are lost
	LateResponses     float64 // share that arrives after the operator has moved on to another controller
	Resends           float64 // share of the acknowledged updates that are sent again later
	RememberedChanges int     // applied changes by which a controller recognizes an update; 0 for as many as consensus keeps

	FaultCounts
	Faults []Fault // injected instead of the random faults of FaultCounts, unless nil

	DisabledGuards
}

// FaultCounts is how many random faults of each kind a run has.
type FaultCounts struct {
	Kills       int `toml:"kills"`
	KillAlls    int `toml:"kill_alls"`
	PowerLosses int `toml:"power_losses"`
	PowerAlls   int `toml:"power_alls"`
	SendPowers  int `toml:"send_powers"` // all machines, right after an update was sent
	Wipes       int `toml:"wipes"`
	AckWipes    int `toml:"ack_wipes"` // of the controller that acknowledged an update, see AckWipe
	Cuts        int `toml:"cuts"`
	LinkCuts    int `toml:"link_cuts"` // one direction of one link
	LongCuts    int `toml:"long_cuts"` // for 20 s
	Refusals    int `toml:"refusals"`
	Freezes     int `toml:"freezes"`
	Slows       int `toml:"slows"`
	Stalls      int `toml:"stalls"`
	SlowDisks   int `toml:"slow_disks"`
	ClockSteps  int `toml:"clock_steps"`
	Terms       int `toml:"terms"`         // SIGTERM; the machine returns with its disk
	Replaces    int `toml:"replaces"`      // planned: a new machine joins, then the old one gets SIGTERM
	ReplaceWipe int `toml:"replace_wipes"` // see ReplaceWipe
	MachineLoss int `toml:"machine_losses"`
}

// DisabledGuards selects guards to leave out, to show that the checks detect the faults that they prevent.
type DisabledGuards struct {
	FixedPause      bool `toml:"fixed_pause"`      // competing proposers wait 1 to 40 ms, regardless of how long attempts take
	UnsyncedAck     bool `toml:"unsynced_ack"`     // replicas respond before the write is synced
	StrangerVotes   bool `toml:"stranger_votes"`   // a wiped disk keeps its old identity and vote
	NoEpoch         bool `toml:"no_epoch"`         // promises are not kept
	OldRead         bool `toml:"old_read"`         // reads do not ask a majority
	LocalAnswers    bool `toml:"local_answers"`    // a controller without contact to a majority responds from its local state
	RefuseForgotten bool `toml:"refuse_forgotten"` // rejects updates that may have been applied and forgotten
	EarlyMembership bool `toml:"early_membership"` // a membership change is done before the new member holds the state
	LeaveFirst      bool `toml:"leave_first"`      // a leaving member ends before its successor holds the state
	LateLease       bool `toml:"late_lease"`       // a majority confirmation is dated from its responses
}

// CoreResult is the result of a run of a CoreScenario. Times are in nanoseconds.
type CoreResult struct {
	Broken   []string // violations, in the order in which they were detected
	Acked    int
	Stale    int
	Unclear  int
	Read     int
	Resent   int     // acknowledged updates that were sent again and acknowledged again
	Forgot   int     // acknowledged updates that were sent again and got no clear response
	Watched  int     // responses to proxies that declared their configuration current
	Took     []int64 // from call to acknowledgement, for each acknowledged update
	Repairs  []int64 // from the end of the faults to the next decision
	CatchUps []int64 // from the start of a process until its disk holds the state that was newest at that time
	Decided  uint64  // slots
	Adopted  int
	HandOver int // planned departures with a completed handover
	History  []Op
	Excluded int  // faults that were skipped, as Tolerate did not allow them at that time
	Unjudged bool // checking the history for linearizability timed out
	Fewest   int  // fewest disks that held the newest acknowledged version, 0 if not measured
}

// Op is a call of an operator and its result, for history checkers. An update that is sent again is the same call.
type Op struct {
	Client     int
	Read       bool
	On, Put    int64 // a change from version On to version Put
	Got        int64 // the version that a read returned
	OK, Stale  bool  // neither: the result is unknown
	Call, Back int64
}

// coreSimulation is the state of a run.
type coreSimulation struct {
	*Simulator
	CoreScenario
	result          CoreResult
	networkRand     *rand.Rand
	diskRand        *rand.Rand
	processes       []*coreProcess
	byAddress       map[string]*coreProcess
	linkCuts        map[link]int64 // end of the cut of each link
	initialState    *consensus.State
	disksCreated    int // counts disk identities
	oracle          oracle
	triggeredFaults triggeredFaults

	faultsUntil int64
}

// faultFreeStart is how long a run has no faults at first. A core that has to tolerate the loss of two disks grows from
// its three initial members in that time.
const faultFreeStart = 4 * Second

// Simulate runs the scenario once.
func (scenario CoreScenario) Simulate(seed uint64) *CoreResult {
	sim := newCoreSimulation(scenario, seed)
	sim.startInitialProcesses()
	sim.scheduleFaults()
	sim.scheduleOperators()
	sim.scheduleReaders()
	sim.RunUntil(scenario.Length)
	sim.checkEnd()
	sim.result.Decided = sim.oracle.newestIndex
	return &sim.result
}

func newCoreSimulation(c CoreScenario, seed uint64) *coreSimulation {
	sim := &coreSimulation{Simulator: NewSimulator(seed), CoreScenario: c, byAddress: map[string]*coreProcess{}, linkCuts: map[link]int64{}, oracle: newOracle()}
	sim.networkRand, sim.diskRand = sim.Rand("net"), sim.Rand("disks")
	return sim
}

// startInitialProcesses starts the controllers, the initial members with the initial state on their disks.
func (sim *coreSimulation) startInitialProcesses() {
	var founders []string
	for n := range sim.Founders {
		founders = append(founders, address(n))
	}
	sim.initialState = consensus.InitialState(founders, func(at string) string { return at }, sim.Tolerate)
	for n := range sim.Controllers {
		if n < sim.Founders {
			sim.addProcess(&consensus.Replica{ID: consensus.InitialMemberID(address(n)), Decided: sim.initialState})
		} else {
			sim.addProcess(sim.newEmptyDisk(n))
		}
	}
}

// newEmptyDisk returns an empty disk with a new identity.
func (sim *coreSimulation) newEmptyDisk(machine int) *consensus.Replica {
	sim.disksCreated++
	return &consensus.Replica{ID: fmt.Sprintf("disk-%d-%d", machine, sim.disksCreated), Decided: &consensus.State{}}
}

func address(n int) string { return fmt.Sprintf("10.0.0.%d:1", n) }

// reportViolation records a violated rule.
func (sim *coreSimulation) reportViolation(format string, args ...any) {
	sim.result.Broken = append(sim.result.Broken, fmt.Sprintf("%.3fs ", float64(sim.Now)/1e9)+fmt.Sprintf(format, args...))
}
