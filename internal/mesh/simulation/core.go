package simulation

import (
	"fmt"
	"math/rand/v2"

	"ottershift/internal/mesh/consensus"
)

// CoreScenario is a day of a core: processes with disks, links between them, operators who change one configuration, and what
// goes wrong.
type CoreScenario struct {
	Controllers  int   // processes at first
	Founders     int   // of them, members from the beginning
	Tolerate     int   // disks that may be lost at once
	Length       int64 // of the day; what is wrong ends at 7/10 of it
	CatchUp      int64 // after its return, a machine still counts as lost
	Grace        int64 // from SIGTERM to SIGKILL
	RepairWithin int64 // after the end of trouble, the core has to decide again
	Delay        int64 // of a link, one way
	Jitter       int64
	Sync         int64 // of a disk
	Handling     int64 // of a message, on a machine that is slowed, for each time that it is slower
	Loss         float64

	Puts        int     // orders that operators give
	AtOnce      int     // of them, so many at a time on one version
	Reads       int     // of operators
	Readers     int     // balancers, each of which knows one process only
	AnswersLost float64 // share of the answers to operators
	AnswersLate float64 // share that comes after the operator has gone on to another process
	Resends     float64 // share of the confirmed orders that are sent again later
	Remembered  int     // applied changes; 0 for as many as consensus keeps

	FaultCounts
	Faults []Fault // these, in place of so many by chance

	DisabledGuards
}

// FaultCounts are how many faults of each kind a day has.
type FaultCounts struct {
	Kills       int `toml:"kills"`
	KillAlls    int `toml:"kill_alls"`
	PowerLosses int `toml:"power_losses"`
	PowerAlls   int `toml:"power_alls"`
	SendPowers  int `toml:"send_powers"` // of all machines, right after an order was sent
	Wipes       int `toml:"wipes"`
	AckWipes    int `toml:"ack_wipes"` // of whoever gave an acknowledgement, right after it, while all others lose power
	Cuts        int `toml:"cuts"`
	LinkCuts    int `toml:"link_cuts"` // of one direction of one link
	LongCuts    int `toml:"long_cuts"` // of 20 s
	Refusals    int `toml:"refusals"`
	Freezes     int `toml:"freezes"`
	Slows       int `toml:"slows"`
	Stalls      int `toml:"stalls"`
	SlowDisks   int `toml:"slow_disks"`
	ClockSteps  int `toml:"clock_steps"`
	Terms       int `toml:"terms"`         // SIGTERM; the machine returns with its disk
	Replaces    int `toml:"replaces"`      // planned: a new machine, then SIGTERM to the old one
	ReplaceWipe int `toml:"replace_wipes"` // the same; as it has ended, another loses its disk and all others power
	MachineLoss int `toml:"machine_losses"`
}

// DisabledGuards are guards left out, to show that what they guard against is seen without them.
type DisabledGuards struct {
	FixedPause      bool `toml:"fixed_pause"`      // proposers that overtake one another wait 1 to 40 ms, however long attempts take
	UnsyncedAck     bool `toml:"unsynced_ack"`     // answers before the sync
	StrangerVotes   bool `toml:"stranger_votes"`   // a wiped disk under its old identity
	NoEpoch         bool `toml:"no_epoch"`         // promises are not kept
	OldRead         bool `toml:"old_read"`         // reads without a majority
	LocalAnswers    bool `toml:"local_answers"`    // without contact to a majority, answers from what is known here
	RefuseForgotten bool `toml:"refuse_forgotten"` // refuses orders that reach back beyond what is remembered
	EarlyMembership bool `toml:"early_membership"` // a change of members is done before the new member holds the state
	LeaveFirst      bool `toml:"leave_first"`      // a member that leaves ends first, and others copy after
	LateLease       bool `toml:"late_lease"`       // how old a majority's word is counts from its answers
}

// CoreResult is what came of one.
type CoreResult struct {
	Broken   []string // rules, in the order in which they were seen to break
	Acked    int
	Stale    int
	Unclear  int
	Read     int
	Resent   int     // confirmed orders that were sent again and confirmed again
	Forgot   int     // of them, left without a clear answer
	Watched  int     // answers to balancers that were told to be current
	Took     []int64 // of changes that were acknowledged
	Repairs  []int64 // from the end of trouble to the next decision
	CatchUps []int64 // from the start of a process to the newest state of then on its disk
	Decided  uint64  // slots
	Adopted  int
	HandOver int // planned leaves with the state handed over
	History  []Op
	Excluded int  // faults that Tolerate did not allow at their time
	Unjudged bool // its history could not be held against a register in time
	Fewest   int  // disks that ever held the newest acknowledged version, 0 where none was lost
}

// Op is a call of an operator and what it was told, for those who check histories. An order that is sent again is the same
// call.
type Op struct {
	Client     int
	Read       bool
	On, Put    int64 // a change from one version to another
	Got        int64 // what a read returned
	OK, Stale  bool  // neither: nobody knows
	Call, Back int64
}

// coreSimulation is a day as it is played.
type coreSimulation struct {
	*Simulator
	CoreScenario
	result          CoreResult
	networkRand     *rand.Rand
	diskRand        *rand.Rand
	processes       []*coreProcess
	byAddress       map[string]*coreProcess
	linkCuts        map[link]int64 // until then
	initialState    *consensus.State
	disksCreated    int // identities of disks
	oracle          oracle
	triggeredFaults triggeredFaults

	faultsUntil int64
}

// faultFreeStart is how long nothing goes wrong at first: a core that is to bear the loss of two grows from its three founders.
const faultFreeStart = 4 * S

// Simulate plays one day.
func (scenario CoreScenario) Simulate(seed uint64) *CoreResult {
	sim := newCoreWorld(scenario, seed)
	sim.startInitialProcesses()
	sim.scheduleFaults()
	sim.scheduleOperators()
	sim.scheduleReaders()
	sim.RunUntil(scenario.Length)
	sim.checkEnd()
	sim.result.Decided = sim.oracle.newestIndex
	return &sim.result
}

func newCoreWorld(c CoreScenario, seed uint64) *coreSimulation {
	sim := &coreSimulation{Simulator: NewSimulator(seed), CoreScenario: c, byAddress: map[string]*coreProcess{}, linkCuts: map[link]int64{}, oracle: newOracle()}
	sim.networkRand, sim.diskRand = sim.Rand("net"), sim.Rand("disks")
	return sim
}

// startInitialProcesses makes the processes of the first start.
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

// newEmptyDisk is a disk that has nothing on it, under an identity of its own.
func (sim *coreSimulation) newEmptyDisk(machine int) *consensus.Replica {
	sim.disksCreated++
	return &consensus.Replica{ID: fmt.Sprintf("disk-%d-%d", machine, sim.disksCreated), Decided: &consensus.State{}}
}

func address(n int) string { return fmt.Sprintf("10.0.0.%d:1", n) }

// reportViolation notes a broken rule.
func (sim *coreSimulation) reportViolation(format string, args ...any) {
	sim.result.Broken = append(sim.result.Broken, fmt.Sprintf("%.3fs ", float64(sim.Now)/1e9)+fmt.Sprintf(format, args...))
}
