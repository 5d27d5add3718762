package owner

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"
)

// storedDuty is what the keepers hold of one duty; they are one place here, their own schedules are tested there.
type storedDuty struct {
	DutyState
	renewedAt    int64 // by the keepers' clock
	sessionEnded bool  // its owner's session is over: it can't renew, and nobody else has it before the lease is over
}

// simMember is a member with a clock of its own.
type simMember struct {
	sim     *simulation
	id      int
	core    *Core
	clock   int64
	speed   float64 // of its clock
	stopped bool
	epoch   uint64
	acting  map[string]uint64 // tokens, by its own belief
	inbox   []func()
}

// simulation plays members against each other: answers come late or never, clocks run at different speeds, members are stopped and
// go on, are ended by the keepers and come back.
type simulation struct {
	rng       *rand.Rand
	now       int64
	timing    Timing
	drift     float64
	members   []*simMember
	duties    map[string]*storedDuty
	names     []string
	lastToken uint64
	fences    map[string]uint64 // at whoever is acted on
	fenced    bool
	calm      bool // no answer is lost any more
	failure   string
	acts      int
	refused   int
}

func (sim *simulation) fail(text string, values ...any) {
	if sim.failure == "" {
		sim.failure = fmt.Sprintf(text, values...)
	}
}

// enqueue has an answer come to a member that is not stopped then, most often.
func (member *simMember) enqueue(f func()) {
	if member.sim.calm || member.sim.rng.IntN(10) > 0 {
		member.inbox = append(member.inbox, f)
	}
}

func (member *simMember) Acquire(duty string) {
	requestedAt, epoch := member.clock, member.epoch
	member.enqueue(func() { // at the keepers
		d := member.sim.duties[duty]
		if d.Owner != "" || epoch != member.epoch {
			return
		}
		member.sim.lastToken++
		d.DutyState = DutyState{member.sim.lastToken, fmt.Sprint("m", member.id), epoch}
		d.renewedAt, d.sessionEnded = member.sim.now, false
		token := member.sim.lastToken
		member.enqueue(func() {
			if epoch == member.epoch {
				member.core.HandleAcquired(requestedAt, member.clock, duty, token)
			}
		})
	})
}

func (member *simMember) Renew(tokens map[string]uint64) {
	requestedAt, epoch := member.clock, member.epoch
	member.enqueue(func() {
		renewed := map[string]uint64{}
		for duty, token := range tokens {
			if d := member.sim.duties[duty]; !d.sessionEnded && d.Token == token && d.Epoch == epoch && d.Owner == fmt.Sprint("m", member.id) {
				d.renewedAt, renewed[duty] = member.sim.now, token
			}
		}
		member.enqueue(func() {
			if epoch == member.epoch {
				member.core.HandleRenewed(requestedAt, member.clock, renewed)
			}
		})
	})
}

func (member *simMember) Release(duty string, token uint64, to string) {
	member.enqueue(func() {
		if d := member.sim.duties[duty]; d.Token == token && d.Owner != "" {
			d.DutyState = DutyState{Token: token}
		}
	})
}

func (member *simMember) BeginWork(lease Lease) { member.acting[lease.Duty] = lease.Token }
func (member *simMember) EndWork(lease Lease)   { delete(member.acting, lease.Duty) }

func (sim *simulation) step() {
	elapsed := sim.rng.Int64N(int64(30 * time.Millisecond))
	sim.now += elapsed
	for _, member := range sim.members {
		member.clock += int64(float64(elapsed) * member.speed)
	}
	member := sim.members[sim.rng.IntN(len(sim.members))]
	switch p := sim.rng.IntN(40); {
	case p < 14:
		if !member.stopped {
			member.core.Tick(member.clock)
		}
	case p < 26:
		if len(member.inbox) > 0 && !member.stopped {
			i := 0
			if sim.rng.IntN(5) == 0 {
				i = sim.rng.IntN(len(member.inbox))
			}
			f := member.inbox[i]
			member.inbox = append(member.inbox[:i:i], member.inbox[i+1:]...)
			f()
		}
	case p < 30:
		states, epoch := map[string]DutyState{}, member.epoch
		for name, d := range sim.duties {
			states[name] = d.DutyState
		}
		member.enqueue(func() {
			if epoch == member.epoch {
				member.core.ObserveStates(member.clock, states)
			}
		})
	case p < 36:
		sim.act(member)
	case p < 37:
		member.stopped = !member.stopped
	case p < 38: // the keepers end its session, and it opens another when it hears of that
		if sim.rng.IntN(4) == 0 {
			for _, d := range sim.duties {
				if d.Owner == fmt.Sprint("m", member.id) && d.Epoch == member.epoch {
					d.sessionEnded = true
				}
			}
			epoch := member.epoch + 1
			member.inbox = append(member.inbox, func() { member.epoch = max(member.epoch, epoch); member.core.SetSession(member.epoch) })
		}
	default:
		var members []Member
		for n := range sim.members {
			members = append(members, Member{Name: fmt.Sprint("m", n)})
		}
		member.core.SetMembers(members, sim.rng.IntN(6) > 0)
	}
	// The keepers end what was not renewed for a lease, by their own clock.
	for _, d := range sim.duties {
		if d.Owner != "" && sim.now-d.renewedAt > int64(float64(sim.timing.Lease)/(1-sim.drift)*(1+sim.drift)) {
			d.DutyState = DutyState{Token: d.Token}
		}
	}
	sim.check()
}

// act is one member's act on a duty: it asks whether it may, is perhaps held up, and acts under its token.
func (sim *simulation) act(member *simMember) {
	name := sim.names[sim.rng.IntN(len(sim.names))]
	token, may := member.core.MayAct(member.clock, name)
	if !may {
		return
	}
	perform := func() {
		sim.acts++
		if token < sim.fences[name] && sim.fenced {
			sim.refused++
			return
		}
		if token < sim.fences[name] {
			sim.fail("m%d acted on %s by token %d after %d", member.id, name, token, sim.fences[name])
		}
		sim.fences[name] = max(sim.fences[name], token)
	}
	if sim.rng.IntN(4) == 0 {
		member.inbox = append(member.inbox, perform) // in the middle of the act it is held up
		return
	}
	perform()
}

// check: no two members may act on one duty by what they know at one instant.
func (sim *simulation) check() {
	for _, name := range sim.names {
		acting := -1
		for _, member := range sim.members {
			if _, may := member.core.MayAct(member.clock, name); may {
				if acting >= 0 {
					sim.fail("m%d and m%d may both act on %s", acting, member.id, name)
				}
				acting = member.id
			}
		}
	}
}

func runSchedule(seed uint64, fenced bool) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 8)), timing: TimingFor(time.Second), drift: 0.05, duties: map[string]*storedDuty{}, fences: map[string]uint64{}, fenced: fenced,
	}
	for n := range 1 + sim.rng.IntN(4) {
		name := fmt.Sprint("d", n)
		sim.names = append(sim.names, name)
		sim.duties[name] = &storedDuty{}
	}
	var members []Member
	for n := range 2 + sim.rng.IntN(4) {
		member := &simMember{sim: sim, id: n, epoch: 1, acting: map[string]uint64{}, speed: 1 + (sim.rng.Float64()*2-1)*sim.drift}
		member.core = NewCore(fmt.Sprint("m", n), sim.timing, seed+uint64(n), member)
		member.core.EnforceExpiry = fenced
		for _, name := range sim.names {
			member.core.AddDuty(name)
		}
		member.core.SetSession(1)
		sim.members = append(sim.members, member)
		members = append(members, Member{Name: fmt.Sprint("m", n)})
	}
	for _, member := range sim.members {
		member.core.SetMembers(members, true)
	}
	for range 400 {
		if sim.step(); sim.failure != "" {
			return sim
		}
	}
	// All is well again: soon each duty has an owner that acts.
	sim.calm = true
	lastOwned := map[string]int64{}
	for range 600 {
		sim.now += int64(25 * time.Millisecond)
		for _, member := range sim.members {
			member.stopped = false
			member.clock += int64(float64(25*time.Millisecond) * member.speed)
			member.core.SetMembers(members, true)
			states := map[string]DutyState{}
			for name, d := range sim.duties {
				states[name] = d.DutyState
			}
			member.core.ObserveStates(member.clock, states)
			member.core.Tick(member.clock)
			inbox := member.inbox
			member.inbox = nil
			for _, f := range inbox {
				f()
			}
		}
		for _, d := range sim.duties {
			if d.Owner != "" && sim.now-d.renewedAt > int64(float64(sim.timing.Lease)/(1-sim.drift)*(1+sim.drift)) {
				d.DutyState = DutyState{Token: d.Token}
			}
		}
		if sim.check(); sim.failure != "" {
			return sim
		}
		for _, name := range sim.names {
			for _, member := range sim.members {
				if _, may := member.core.MayAct(member.clock, name); may {
					lastOwned[name] = sim.now
				}
			}
		}
	}
	for _, name := range sim.names { // one that is handed over has none for a moment
		if sim.now-lastOwned[name] > int64(time.Second) {
			sim.fail("%s has no owner at the end", name)
		}
	}
	return sim
}

func schedules(usual int) int {
	if n, err := strconv.Atoi(os.Getenv("OTTERSHIFT_SCHEDULES")); err == nil {
		return n
	}
	return usual / raceDivisor
}

func TestSchedules(t *testing.T) {
	acts, refused := 0, 0
	for seed := range uint64(schedules(500)) {
		sim := runSchedule(seed, true)
		if sim.failure != "" {
			t.Fatalf("seed %d: %s", seed, sim.failure)
		}
		acts, refused = acts+sim.acts, refused+sim.refused
	}
	t.Logf("%d acts, %d of old owners refused", acts, refused)
	if refused == 0 && raceDivisor == 1 {
		t.Error("no old owner ever acted: the fence is not tested")
	}
}

func TestSchedulesDetectMissingFence(t *testing.T) {
	found := 0
	for seed := range uint64(200 / raceDivisor) {
		if runSchedule(seed, false).failure != "" {
			found++
		}
	}
	t.Logf("without leases and fence: %d of 200 schedules are convicted", found)
	if found < 20/raceDivisor {
		t.Error("a missing fence is hardly ever found")
	}
}

// A thousand duties spread over five members, and stay where they are while nothing changes.
func TestManyDuties(t *testing.T) {
	sim := &simulation{rng: rand.New(rand.NewPCG(1, 1)), timing: TimingFor(time.Second), drift: 0.01, duties: map[string]*storedDuty{}, fences: map[string]uint64{}, fenced: true}
	for n := range 1000 {
		sim.names = append(sim.names, fmt.Sprint("d", n))
		sim.duties[sim.names[n]] = &storedDuty{}
	}
	var members []Member
	for n := range 5 {
		member := &simMember{sim: sim, id: n, epoch: 1, acting: map[string]uint64{}, speed: 1}
		member.core = NewCore(fmt.Sprint("m", n), sim.timing, uint64(n), member)
		for _, name := range sim.names {
			member.core.AddDuty(name)
		}
		member.core.SetSession(1)
		sim.members, members = append(sim.members, member), append(members, Member{Name: fmt.Sprint("m", n)})
	}
	runFor := func(seconds int) {
		for range seconds * 20 {
			sim.now += int64(50 * time.Millisecond)
			for _, member := range sim.members {
				member.clock = sim.now
				member.core.SetMembers(members, true)
				states := map[string]DutyState{}
				for name, d := range sim.duties {
					states[name] = d.DutyState
				}
				member.core.ObserveStates(member.clock, states)
				member.core.Tick(member.clock)
				for range 2 {
					inbox := member.inbox
					member.inbox = nil
					for _, f := range inbox {
						f()
					}
				}
			}
		}
	}
	runFor(10)
	sim.calm = true
	before := sim.lastToken
	runFor(3)
	for _, member := range sim.members {
		if n := len(member.acting); n < 150 || n > 250 {
			t.Errorf("m%d has %d of 1,000 duties", member.id, n)
		}
	}
	if moved := sim.lastToken - before; moved > 20 {
		t.Errorf("%d duties changed hands while nothing changed", moved)
	}
}
