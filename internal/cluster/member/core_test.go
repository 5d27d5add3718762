package member

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"ottershift/internal/cluster/config"
	"ottershift/internal/cluster/pack"
)

// process is a simulated process that runs one Core.
type process struct {
	sim          *simulation
	index        int
	name         string
	core         *Core
	self         Record
	running      bool
	paused       bool  // as by SIGSTOP
	renewing     *Core // the core that has requested another epoch
	supersededBy ID
	seenLatest   map[string]ID // newest runs in its core at the last check
	seenStates   map[ID]State
}

// delivery is a pending message or action, which may be executed at any time, several times or never.
type delivery func()

// simulation runs several cores with a random schedule of faults: messages are delayed, duplicated, reordered or lost;
// processes are killed, paused and started twice, with or without their disk; suspicions are often wrong.
type simulation struct {
	t         testing.TB
	rng       *rand.Rand
	now       int64
	processes []*process
	disks     map[string]uint64 // stored epochs, by name; a disk may be lost
	started   map[string][]ID   // all runs ever started, by name
	pending   []delivery
	blocked   map[[2]int]bool
	guards    Guards
	violation string // first violated invariant
}

var testSettings = &config.Settings{Name: "c", ProbeInterval: 100 * time.Millisecond, RejoinInterval: time.Second}

func (s *simulation) fail(text string, values ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(text, values...)
	}
}

// start starts a process with a name. It queries the epoch of the name from a random subset of the reachable processes.
func (s *simulation) start(name string) {
	started := &process{sim: s, index: len(s.processes), name: name, running: true, seenLatest: map[string]ID{}, seenStates: map[ID]State{}}
	var known []uint64
	for _, other := range s.processes {
		if other.running && !other.paused && !s.blocked[[2]int{started.index, other.index}] && s.rng.IntN(3) > 0 {
			if latest, found := other.core.latestRuns[name]; found && s.guards.Epochs {
				known = append(known, latest.Epoch)
			}
		}
	}
	started.startRun(NextEpoch(s.disks[name], 0, known), false)
	s.processes = append(s.processes, started)
}

func (p *process) startRun(epoch uint64, renewed bool) {
	sim := p.sim
	p.self = Record{ID: ID{p.name, epoch, sim.rng.Uint64()}, Address: fmt.Sprint(p.index), MinVersion: 1, MaxVersion: 1}
	sim.disks[p.name] = epoch
	sim.started[p.name] = append(sim.started[p.name], p.self.ID)
	p.core = NewCore(p.self, testSettings, sim.guards, sim.rng.Uint64(), sim.now, renewed, p)
	p.seenLatest, p.seenStates = map[string]ID{}, map[ID]State{}
	p.supersededBy = ID{}
}

func (p *process) StateChanged(c Change) {
	if c.Previous == Left && c.State == Alive || c.Previous == Superseded && c.State == Alive {
		p.sim.fail("%s: %s changed from %s to alive", p.self.ID, c.ID, c.Previous)
	}
}

// ExchangeState schedules a state exchange with the process at an address.
func (p *process) ExchangeState(_, address string) {
	index, _ := strconv.Atoi(address)
	p.sim.pending = append(p.sim.pending, func() { p.sim.exchange(p, p.sim.processes[index]) })
}

func (p *process) NotifySuperseded(old, newer ID, address string) {
	index, _ := strconv.Atoi(address)
	ended := p.core.latestRuns[newer.Name].Ended
	p.sim.pending = append(p.sim.pending, func() {
		if target := p.sim.processes[index]; target.running && !target.paused && !p.sim.blocked[[2]int{p.index, index}] {
			target.core.HandleSuperseded(p.sim.now, old, newer, ended)
		}
	})
}

func (p *process) SelfSuperseded(newer ID) {
	if p.renewing == p.core {
		p.sim.fail("%s is superseded although it has requested another epoch", p.self.ID)
	}
	if p.supersededBy != (ID{}) {
		p.sim.fail("%s is superseded twice", p.self.ID)
	}
	if !newer.Newer(p.self.ID) {
		p.sim.fail("%s is superseded by %s, which is older", p.self.ID, newer)
	}
	p.supersededBy = newer
}

// RenewEpoch schedules the restart with another epoch. As in Gossip, the old core still gets messages until then.
func (p *process) RenewEpoch(above uint64) {
	core := p.core
	p.renewing = core
	p.sim.pending = append(p.sim.pending, func() {
		if p.running && p.core == core {
			p.startRun(above+1, true)
		}
	})
}

// exchange exchanges the full states of two processes in both directions, if they can reach each other.
func (s *simulation) exchange(p, q *process) {
	if p == q || !p.running || !q.running || p.paused || q.paused || s.blocked[[2]int{p.index, q.index}] || s.blocked[[2]int{q.index, p.index}] {
		return
	}
	send := func(from, to *process) {
		latest, self, superseded := from.core.LatestRuns(), from.self, from.core.Superseded()
		var alive []Record
		for _, member := range from.core.View() {
			if member.State == Alive {
				alive = append(alive, member.Record)
			}
		}
		to.core.MergeLatestRuns(s.now, latest)
		if !superseded {
			to.core.ObserveAlive(s.now, self)
		}
		for _, record := range alive {
			to.core.ObserveAlive(s.now, record)
		}
	}
	send(p, q)
	send(q, p)
}

// step executes one random event and checks the invariants.
func (s *simulation) step() {
	s.now += s.rng.Int64N(int64(200 * time.Millisecond))
	p := s.processes[s.rng.IntN(len(s.processes))]
	q := s.processes[s.rng.IntN(len(s.processes))]
	switch s.rng.IntN(16) {
	case 0, 1, 2: // p sends an alive message to q
		record, from := p.self, p.index
		if p.running && !p.paused && !p.core.Superseded() {
			s.pending = append(s.pending, func() {
				if q.running && !q.paused && !s.blocked[[2]int{from, q.index}] {
					q.core.ObserveAlive(s.now, record)
				}
			})
		}
	case 3, 4, 5, 6, 7: // a pending message is delivered, and perhaps kept for another delivery
		if len(s.pending) > 0 {
			next := s.rng.IntN(len(s.pending))
			deliver := s.pending[next]
			if s.rng.IntN(4) > 0 {
				s.pending[next] = s.pending[len(s.pending)-1]
				s.pending = s.pending[:len(s.pending)-1]
			}
			deliver()
		}
	case 8: // p receives a true or false report that q has ended
		if p.running && !p.paused {
			p.core.ObserveEnd(s.now, q.self.ID)
		}
	case 9: // p gets a status of q, perhaps its final one
		if p.running && !p.paused {
			id, status := q.self.ID, Status{Sequence: uint64(s.now), Final: !q.running && s.rng.IntN(4) == 0}
			if !status.Final || !q.running {
				p.core.UpdateStatus(s.now, id, status)
			}
		}
	case 10:
		s.exchange(p, q)
	case 11: // the link from p to q fails or recovers
		if a, b := p.index, q.index; a != b {
			s.blocked[[2]int{a, b}] = !s.blocked[[2]int{a, b}]
		}
	case 12: // p is paused, resumed or killed
		if p.paused = !p.paused && p.running; !p.paused && p.running && s.rng.IntN(4) == 0 {
			p.running = false // killed
		}
	case 13: // a second process with the name of p is started, perhaps without its disk
		if len(s.processes) < 12 && s.rng.IntN(5) == 0 {
			if s.rng.IntN(3) == 0 {
				delete(s.disks, p.name)
			}
			s.start(p.name) // p may still be running
		}
	default:
		if p.running && !p.paused {
			p.core.Tick(s.now)
		}
	}
	s.checkInvariants()
}

// checkInvariants checks what must hold after every step.
func (s *simulation) checkInvariants() {
	for _, p := range s.processes {
		if !p.running {
			continue
		}
		alive := map[string]ID{}
		for _, m := range p.core.View() {
			previous := p.seenStates[m.ID]
			p.seenStates[m.ID] = m.State
			if (previous == Left || previous == Superseded) && m.State == Alive {
				s.fail("%s: %s returned to alive from %s", p.self.ID, m.ID, previous)
			}
			if m.State != Alive {
				continue
			}
			if other, exists := alive[m.Name]; exists {
				s.fail("%s sees two live runs of one name: %s and %s", p.self.ID, other, m.ID)
			}
			alive[m.Name] = m.ID
			if latest := p.core.latestRuns[m.Name]; latest.Newer(m.ID) {
				s.fail("%s sees %s alive although it knows the newer %s", p.self.ID, m.ID, latest.ID)
			}
			if m.Name == p.name && !p.core.Superseded() {
				s.fail("%s sees %s, a run of its own name, alive and is not superseded", p.self.ID, m.ID)
			}
		}
		for name, latest := range p.core.latestRuns {
			if previous, exists := p.seenLatest[name]; exists && previous.Newer(latest.ID) {
				s.fail("%s replaced latest run %s by the older %s", p.self.ID, previous, latest.ID)
			}
			p.seenLatest[name] = latest.ID
			started := false
			for _, id := range s.started[name] {
				started = started || id == latest.ID
			}
			if !started {
				s.fail("%s knows %s, which was never started", p.self.ID, latest.ID)
			}
		}
		if p.core.Superseded() != (p.supersededBy != ID{}) {
			s.fail("%s: Superseded and SelfSuperseded disagree", p.self.ID)
		}
	}
}

// healAndCheck ends all faults and lets every process exchange state with every other. All views must then match the
// processes that are really running.
func (s *simulation) healAndCheck() {
	clear(s.blocked)
	for _, p := range s.processes {
		p.paused = false
	}
	for round := range 12 {
		s.now += int64(3 * time.Second)
		for _, p := range s.processes {
			for _, name := range slices.Sorted(maps.Keys(s.started)) {
				for _, id := range s.started[name] {
					if p.running && !s.isCurrent(id) {
						p.core.ObserveEnd(s.now, id)
					}
				}
			}
		}
		for _, p := range s.processes {
			if p.running {
				p.core.Tick(s.now)
			}
			for _, q := range s.processes {
				s.exchange(p, q)
			}
		}
		late := s.pending
		if s.pending = nil; round < 2 {
			for _, deliver := range late { // the last delayed messages
				deliver()
			}
		}
		s.checkInvariants()
	}
	want := map[string]ID{}
	for _, p := range s.processes {
		if p.running && !p.core.Superseded() {
			if other, exists := want[p.name]; exists {
				s.fail("two runs of one name continue: %s and %s", other, p.self.ID)
			}
			want[p.name] = p.self.ID
		}
	}
	for _, p := range s.processes {
		newest := p.self.ID
		for _, id := range s.started[p.name] {
			if id.Newer(newest) {
				newest = id
			}
		}
		if p.running && p.self.ID == newest && p.core.Superseded() {
			s.fail("%s is the newest run of its name and is superseded by %s", p.self.ID, p.supersededBy)
		}
		if !p.running || p.core.Superseded() {
			continue
		}
		seen := map[string]ID{p.name: p.self.ID}
		for _, m := range p.core.View() {
			if m.State == Alive {
				seen[m.Name] = m.ID
			}
		}
		if fmt.Sprint(seen) != fmt.Sprint(want) {
			s.fail("%s: final view %v, want %v", p.self.ID, seen, want)
		}
	}
}

// isCurrent reports whether id is the present run of a running process.
func (s *simulation) isCurrent(id ID) bool {
	return slices.ContainsFunc(s.processes, func(p *process) bool { return p.running && p.self.ID == id })
}

// runSchedule runs the schedule of a seed and returns the first violated invariant, or "".
func runSchedule(t testing.TB, seed uint64, guards Guards) string {
	sim := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), disks: map[string]uint64{}, started: map[string][]ID{}, blocked: map[[2]int]bool{}, guards: guards,
	}
	for n := range 2 + sim.rng.IntN(4) {
		sim.start(string(rune('a' + n)))
	}
	for range 50 + sim.rng.IntN(250) {
		if sim.step(); sim.violation != "" {
			return sim.violation
		}
	}
	sim.healAndCheck()
	return sim.violation
}

// regressionSeeds are seeds that have failed before; they run first. Each names the fault that it found.
var regressionSeeds = []uint64{}

// scheduleCount returns the number of schedules to run: OTTERSHIFT_SCHEDULES if it is set, else byDefault.
func scheduleCount(byDefault int) int {
	if n, err := strconv.Atoi(os.Getenv("OTTERSHIFT_SCHEDULES")); err == nil {
		return n
	}
	return byDefault
}

// TestSchedules checks the invariants of Core under random schedules of faults.
func TestSchedules(t *testing.T) {
	for _, seed := range regressionSeeds {
		if violation := runSchedule(t, seed, Guards{true, true}); violation != "" {
			t.Fatalf("regression seed %d: %s", seed, violation)
		}
	}
	var workers sync.WaitGroup
	const parts = 8
	for part := range uint64(parts) {
		workers.Go(func() {
			for seed := part; seed < uint64(scheduleCount(500)) && !t.Failed(); seed += parts {
				if violation := runSchedule(t, seed, Guards{true, true}); violation != "" {
					t.Errorf("seed %d: %s", seed, violation)
				}
			}
		})
	}
	workers.Wait()
}

// TestSchedulesDetectMissingGuards checks that the invariants of TestSchedules fail when a safety mechanism is disabled.
func TestSchedulesDetectMissingGuards(t *testing.T) {
	for _, test := range []struct {
		name   string
		guards Guards
	}{{"refutation", Guards{false, true}}, {"epochs", Guards{true, false}}} {
		failing := 0
		for seed := range uint64(200) {
			if runSchedule(t, seed, test.guards) != "" {
				failing++
			}
		}
		t.Logf("without %s: %d of 200 schedules fail", test.name, failing)
		if failing < 20 {
			t.Errorf("without %s: only %d of 200 schedules fail, want at least 20", test.name, failing)
		}
	}
}

// TestEncodingsOfOtherBuilds checks that members of different builds can read each other's messages: unknown keys are ignored,
// missing keys decode to zero values, and corrupted input does not cause a panic.
func TestEncodingsOfOtherBuilds(t *testing.T) {
	newerBuild := pack.Pack(map[string]any{"n": "b1", "e": 7, "r": 9, "a": "127.0.0.1:1", "l": 1, "h": 3, "new": []string{"x"}, "more": map[string]int{"y": 1}})
	record, err := decodeRecord(newerBuild)
	if err != nil || record.Name != "b1" || record.Epoch != 7 || record.MaxVersion != 3 || record.Zone != "" {
		t.Errorf("record of a newer build: %+v, %v", record, err)
	}
	var status wireStatus
	if err := pack.Unpack(pack.Pack(map[string]any{"i": "b1/7.9", "c": 4, "later": 1.5}), &status); err != nil || status.Sequence != 4 || status.Pools != nil {
		t.Errorf("status of a newer build: %+v, %v", status, err)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 20000 {
		raw := append([]byte(nil), newerBuild...)
		for range 1 + rng.IntN(4) {
			raw[rng.IntN(len(raw))] = byte(rng.Uint32())
		}
		decodeRecord(raw[:rng.IntN(len(raw)+1)])
	}
	if core := NewCore(Record{ID: ID{"a", 1, 1}, MinVersion: 1, MaxVersion: 1}, testSettings, Guards{true, true}, 1, 0, false, nil); core.Admit(0, Record{ID: ID{"b", 1, 1}, MinVersion: 2, MaxVersion: 3}) == nil {
		t.Error("a member without a common protocol version was admitted")
	}
}
