package simulation

import (
	"fmt"
	"math/rand/v2"

	"ottershift/internal/mesh/consensus"
)

// Core is a day of a core: processes with disks, links between them, operators who change one configuration, and what
// goes wrong.
type Core struct {
	Controllers int   // processes
	Founders    int   // of them, members from the beginning
	Tolerate    int   // disks that may be lost at once
	Length      int64 // of the day; what is wrong ends at 7/10 of it
	CatchUp     int64 // after its return, a wiped machine still counts as lost
	Delay       int64 // of a link, one way
	Jitter      int64
	Sync        int64 // of a disk
	Loss        float64
	Puts        int // changes that operators try
	Reads       int

	Kills, KillAlls, Wipes, Cuts, Freezes, Stalls int // how many of each
	AckWipes                                      int // of acknowledgements, after which whoever gave it loses its disk and all others power

	Faults []Fault // these, in place of so many by chance

	// Guards left out, to show that what they guard against is seen without them.
	UnsyncedAck, StrangerVotes, NoEpoch, OldRead bool
}

// CoreDay is what came of one.
type CoreDay struct {
	Broken   []string // rules, in the order in which they were seen to break
	Acked    int
	Stale    int
	Unclear  int
	Read     int
	Took     []int64 // of changes that were acknowledged
	Decided  uint64  // slots
	Adopted  int
	History  []Op
	Excluded int // faults that Tolerate did not allow at their time
	Fewest   int // disks that ever held the newest acknowledged version, 0 where none was lost
}

// Op is a call of an operator and what it was told, for those who check histories.
type Op struct {
	Client     int
	Read       bool
	On, Put    int64 // a change from one version to another
	Got        int64 // what a read returned
	OK, Stale  bool  // neither: nobody knows
	Call, Back int64
}

type coreWorld struct {
	*World
	Core
	day       CoreDay
	net       *rand.Rand
	processes []*coreProcess
	cut       map[[2]int]int64 // until then
	decided   map[uint64]string
	taken     map[int64]bool // versions that were acknowledged
	newest    int64
	drawn     int
	founded   *consensus.State
	strike    func(*coreProcess) // right after an acknowledgement
}

// Play plays one day.
func (c Core) Play(seed uint64) *CoreDay {
	w := &coreWorld{World: NewWorld(seed), Core: c, cut: map[[2]int]int64{}, decided: map[uint64]string{}, taken: map[int64]bool{}}
	w.net = w.Chance("net")
	var founders []string
	for n := range c.Founders {
		founders = append(founders, address(n))
	}
	state := consensus.Founders(founders, func(at string) string { return at }, c.Tolerate)
	w.founded = state
	for n := range c.Controllers {
		b := &coreProcess{name: n, at: address(n), up: true, heard: map[string]consensus.PeerStatus{}, when: map[string]int64{}, looked: map[string]bool{}}
		if n < c.Founders {
			b.disk = &consensus.Replica{ID: consensus.FounderID(b.at), Decided: state}
		} else {
			b.disk = &consensus.Replica{ID: fmt.Sprintf("disk-%d-first", n), Decided: &consensus.State{}}
		}
		w.processes = append(w.processes, b)
		w.start(b)
	}
	w.trouble()
	w.operators()
	w.Run(c.Length)
	w.final()
	w.day.Decided = uint64(len(w.decided))
	return &w.day
}

func address(n int) string { return fmt.Sprintf("10.0.0.%d:1", n) }

func (w *coreWorld) fault(format string, args ...any) {
	w.day.Broken = append(w.day.Broken, fmt.Sprintf("%.3fs ", float64(w.Now)/1e9)+fmt.Sprintf(format, args...))
}

// lead is how long nothing goes wrong at first: a core that is to bear the loss of two grows from its three founders.
const lead = 4 * S
