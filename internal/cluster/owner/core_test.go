package owner

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"
)

// storedDuty is a duty in the lease store. The store is a single place here; its replication has tests of its own.
type storedDuty struct {
	DutyState
	renewedAt    int64 // by the clock of the store
	sessionEnded bool  // the owner cannot renew any more; nobody can acquire the duty before the lease expires
}

// simMember is a member with its own clock.
type simMember struct {
	sim     *simulation
	id      int
	core    *Core
	clock   int64
	speed   float64 // of its clock, 1 for exact
	stopped bool
	epoch   uint64
	acting  map[string]uint64 // tokens by duty, as far as the member knows
	inbox   []func()          // messages to process
}

// simulation runs members that compete for duties. Responses are delayed or lost, clocks run at different speeds,
// members are stopped and continue, and their sessions end and are opened again.
type simulation struct {
	rng       *rand.Rand
	now       int64
	timing    Timing
	drift     float64 // maximum deviation of a clock, as a fraction
	members   []*simMember
	duties    map[string]*storedDuty
	names     []string
	lastToken uint64
	fences    map[string]uint64 // highest token seen by the receivers of actions
	fenced    bool
	lossless  bool // no message is lost
	failure   string
	acts      int
	refused   int
}

// fail records the first failure.
func (sim *simulation) fail(format string, args ...any) {
	if sim.failure == "" {
		sim.failure = fmt.Sprintf(format, args...)
	}
}

// enqueue delivers a message, unless it is lost. The member processes it when it is not stopped.
func (member *simMember) enqueue(f func()) {
	if member.sim.lossless || member.sim.rng.IntN(10) > 0 {
		member.inbox = append(member.inbox, f)
	}
}

// Acquire implements Actions, as do the methods below.
func (member *simMember) Acquire(duty string) {
	requestedAt, epoch := member.clock, member.epoch
	member.enqueue(func() { // in the store
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
			if d := member.sim.duties[duty]; !d.sessionEnded && d.Token == token && d.Epoch == epoch &&
				d.Owner == fmt.Sprint("m", member.id) {
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
		d := member.sim.duties[duty]
		if d.Token != token || d.Owner == "" {
			return
		}
		d.DutyState = DutyState{Token: token}
		if target := member.sim.memberNamed(to); target != nil { // the store assigns it, as keep.TransferDuty does
			member.sim.lastToken++
			d.DutyState = DutyState{member.sim.lastToken, to, target.epoch}
			d.renewedAt, d.sessionEnded = member.sim.now, false
		}
	})
}

// memberNamed returns a member, or nil for "".
func (sim *simulation) memberNamed(name string) *simMember {
	for _, member := range sim.members {
		if fmt.Sprint("m", member.id) == name {
			return member
		}
	}
	return nil
}

func (member *simMember) BeginWork(lease Lease) { member.acting[lease.Duty] = lease.Token }
func (member *simMember) EndWork(lease Lease)   { delete(member.acting, lease.Duty) }

// step advances the time by up to 30 ms and lets a random event happen to one member.
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
	case p < 38: // the store ends its session; the member opens another once it learns of that
		if sim.rng.IntN(4) == 0 {
			for _, d := range sim.duties {
				if d.Owner == fmt.Sprint("m", member.id) && d.Epoch == member.epoch {
					d.sessionEnded = true
				}
			}
			epoch := member.epoch + 1
			member.inbox = append(member.inbox, func() {
				member.epoch = max(member.epoch, epoch)
				member.core.SetSession(member.epoch)
			})
		}
	default:
		var members []Member
		for n := range sim.members {
			members = append(members, Member{Name: fmt.Sprint("m", n)})
		}
		member.core.SetMembers(members, sim.rng.IntN(6) > 0)
	}
	// The store ends leases that were not renewed in time, by its own clock.
	for _, d := range sim.duties {
		if d.Owner != "" && sim.now-d.renewedAt > int64(float64(sim.timing.Lease)/(1-sim.drift)*(1+sim.drift)) {
			d.DutyState = DutyState{Token: d.Token}
		}
	}
	sim.check()
}

// act lets a member act on a duty: it checks that it may, is possibly delayed, and then acts with its token.
func (sim *simulation) act(member *simMember) {
	name := sim.names[sim.rng.IntN(len(sim.names))]
	token, ok := member.core.MayAct(member.clock, name)
	if !ok {
		return
	}
	perform := func() {
		sim.acts++
		if token < sim.fences[name] && sim.fenced {
			sim.refused++
			return
		}
		if token < sim.fences[name] {
			sim.fail("m%d acted on %s with token %d after token %d", member.id, name, token, sim.fences[name])
		}
		sim.fences[name] = max(sim.fences[name], token)
	}
	if sim.rng.IntN(4) == 0 {
		member.inbox = append(member.inbox, perform) // delayed between check and action
		return
	}
	perform()
}

// check fails if two members may act on one duty at the same time.
func (sim *simulation) check() {
	for _, name := range sim.names {
		acting := -1
		for _, member := range sim.members {
			if _, ok := member.core.MayAct(member.clock, name); ok {
				if acting >= 0 {
					sim.fail("m%d and m%d may both act on %s", acting, member.id, name)
				}
				acting = member.id
			}
		}
	}
}

// runSchedule runs the schedule of a seed: random faults, then a stable phase at whose end every duty must have an
// owner.
func runSchedule(seed uint64, fenced bool) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 8)), timing: TimingFor(time.Second), drift: 0.05,
		duties: map[string]*storedDuty{}, fences: map[string]uint64{}, fenced: fenced,
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
	// Stable phase: each duty must soon have an owner that may act.
	sim.lossless = true
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
				if _, ok := member.core.MayAct(member.clock, name); ok {
					lastOwned[name] = sim.now
				}
			}
		}
	}
	for _, name := range sim.names { // a duty has no owner for a moment while it is handed over
		if sim.now-lastOwned[name] > int64(time.Second) {
			sim.fail("%s has no owner at the end", name)
		}
	}
	return sim
}

// scheduleCount returns the number of schedules to run; OTTERSHIFT_SCHEDULES overrides the standard number.
func scheduleCount(standard int) int {
	if n, err := strconv.Atoi(os.Getenv("OTTERSHIFT_SCHEDULES")); err == nil {
		return n
	}
	return standard / raceDivisor
}

// TestSchedules guards against two members that may act on one duty at the same time, actions of former owners that
// take effect, and duties that stay without an owner.
func TestSchedules(t *testing.T) {
	acts, refused := 0, 0
	for seed := range uint64(scheduleCount(500)) {
		sim := runSchedule(seed, true)
		if sim.failure != "" {
			t.Fatalf("seed %d: %s", seed, sim.failure)
		}
		acts, refused = acts+sim.acts, refused+sim.refused
	}
	t.Logf("%d actions, %d of former owners refused", acts, refused)
	if refused == 0 && raceDivisor == 1 {
		t.Error("no former owner ever acted: the fence is not tested")
	}
}

// TestSchedulesDetectMissingFence checks that the schedules fail without lease expiry and fence.
func TestSchedulesDetectMissingFence(t *testing.T) {
	found := 0
	for seed := range uint64(200 / raceDivisor) {
		if runSchedule(seed, false).failure != "" {
			found++
		}
	}
	t.Logf("without lease expiry and fence: fault detected in %d of 200 schedules", found)
	if found < 20/raceDivisor {
		t.Error("a missing fence is hardly ever detected")
	}
}

// recordedActions records what a Core requests.
type recordedActions struct {
	renewed  []map[string]uint64
	released []uint64
	acting   uint64 // token of the duty in progress, 0 for none
}

func (actions *recordedActions) Acquire(string) {}
func (actions *recordedActions) Renew(tokens map[string]uint64) {
	actions.renewed = append(actions.renewed, tokens)
}
func (actions *recordedActions) Release(_ string, t uint64, _ string) {
	actions.released = append(actions.released, t)
}
func (actions *recordedActions) BeginWork(lease Lease) { actions.acting = lease.Token }
func (actions *recordedActions) EndWork(Lease)         { actions.acting = 0 }

// TestTransferredDutyIsTakenUp guards against a duty that the store has assigned to the next owner and that nobody
// performs until that lease has expired (experiments/late-owner.toml, refused 0). The next owner acts once a renewal has
// confirmed the lease, and never under a token that it has released, which an outdated read may still show.
func TestTransferredDutyIsTakenUp(t *testing.T) {
	actions := &recordedActions{}
	core := NewCore("m1", TimingFor(time.Second), 1, actions)
	core.AddDuty("d")
	core.SetSession(3)
	members := []Member{{"m0"}, {"m1"}}
	core.SetMembers(members, true)
	now := int64(time.Second)
	core.ObserveStates(now, map[string]DutyState{"d": {Token: 4, Owner: "m0", Epoch: 3}})
	core.ObserveStates(now, map[string]DutyState{"d": {Token: 7, Owner: "m1", Epoch: 2}}) // of an earlier session
	core.Tick(now)
	if len(actions.renewed) != 0 {
		t.Fatalf("renewed %v, which it does not own", actions.renewed)
	}
	core.ObserveStates(now, map[string]DutyState{"d": {Token: 8, Owner: "m1", Epoch: 3}})
	if _, ok := core.MayAct(now, "d"); ok {
		t.Fatal("it may act before a renewal has confirmed the lease")
	}
	core.Tick(now)
	if len(actions.renewed) != 1 || actions.renewed[0]["d"] != 8 {
		t.Fatalf("renewed %v, want token 8 at once", actions.renewed)
	}
	core.HandleRenewed(now, now, actions.renewed[0])
	if token, ok := core.MayAct(now, "d"); !ok || token != 8 || actions.acting != 8 {
		t.Fatalf("may act under %d: %v, acting under %d; want 8", token, ok, actions.acting)
	}
	core.SetMembers(members, false) // draining
	core.Tick(now)
	core.ObserveStates(now, map[string]DutyState{"d": {Token: 8, Owner: "m1", Epoch: 3}}) // before the release took effect
	core.RemoveDuty("d")
	core.AddDuty("d")
	core.SetMembers(members, true)
	core.ObserveStates(now, map[string]DutyState{"d": {Token: 8, Owner: "m1", Epoch: 3}})
	core.HandleAcquired(now, now, "d", 8) // a late response to an earlier request
	core.Tick(now + int64(time.Second))
	if _, ok := core.MayAct(now, "d"); ok || actions.acting != 0 || len(actions.renewed) != 1 || len(actions.released) != 1 {
		t.Fatalf("acts under a released token: may %v, acting %d, renewed %v, released %v", ok, actions.acting, actions.renewed, actions.released)
	}
}

// TestTransferLeavesNoGap guards against duties without an owner while the members that hold them pass them on.
func TestTransferLeavesNoGap(t *testing.T) {
	sim := &simulation{rng: rand.New(rand.NewPCG(1, 1)), timing: TimingFor(time.Second), names: []string{"d"},
		duties: map[string]*storedDuty{"d": {}}, fences: map[string]uint64{}, fenced: true, lossless: true}
	var members []Member
	for n := range 3 {
		member := &simMember{sim: sim, id: n, epoch: 1, acting: map[string]uint64{}, speed: 1}
		member.core = NewCore(fmt.Sprint("m", n), sim.timing, uint64(n), member)
		member.core.AddDuty("d")
		member.core.SetSession(1)
		sim.members, members = append(sim.members, member), append(members, Member{Name: fmt.Sprint("m", n)})
	}
	longest, since := int64(0), int64(-1)
	for step := range int64(1000) { // 25 ms each; every 5 s the owner starts or stops draining
		sim.now += int64(25 * time.Millisecond)
		owned := false
		for _, member := range sim.members {
			member.clock = sim.now
			member.core.SetMembers(members, int64(member.id) != step/200%3)
			member.core.ObserveStates(member.clock, map[string]DutyState{"d": sim.duties["d"].DutyState})
			member.core.Tick(member.clock)
			inbox := member.inbox
			member.inbox = nil
			for _, f := range inbox {
				f()
			}
			_, ok := member.core.MayAct(member.clock, "d")
			owned = owned || ok
		}
		if d := sim.duties["d"]; d.Owner != "" && sim.now-d.renewedAt > int64(sim.timing.Lease) {
			d.DutyState = DutyState{Token: d.Token}
		}
		switch {
		case owned:
			since = sim.now
		case since >= 0:
			longest = max(longest, sim.now-since)
		}
		sim.check()
	}
	if sim.failure != "" {
		t.Fatal(sim.failure)
	}
	if limit := int64(sim.timing.RenewInterval); longest > limit {
		t.Errorf("no owner for %v while the duty was handed over, want at most %v", time.Duration(longest), time.Duration(limit))
	}
}

// TestManyDuties checks that a thousand duties spread evenly over five members and keep their owners while nothing
// changes. It guards against members that take all duties, and against duties that move back and forth.
func TestManyDuties(t *testing.T) {
	sim := &simulation{rng: rand.New(rand.NewPCG(1, 1)), timing: TimingFor(time.Second), drift: 0.01,
		duties: map[string]*storedDuty{}, fences: map[string]uint64{}, fenced: true}
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
	sim.lossless = true
	before := sim.lastToken
	runFor(3)
	for _, member := range sim.members {
		if n := len(member.acting); n < 150 || n > 250 {
			t.Errorf("m%d owns %d of 1,000 duties", member.id, n)
		}
	}
	if moved := sim.lastToken - before; moved > 20 {
		t.Errorf("%d duties changed their owner while nothing changed", moved)
	}
}
