package shared

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"ottershift/internal/roster"
)

const ms = int64(time.Millisecond)

// simMember is a member with the list as its pool sees it.
type simMember struct {
	core             *Core
	list             map[string]string // status by upstream name
	fence            uint64
	discovering      bool
	discoveringSince int64 // time since which it has watched discovery itself
}

// simulation runs members that share a changing list. The owner may be replaced while its updates are in flight;
// updates are lost, delayed, duplicated and reordered.
type simulation struct {
	rng        *rand.Rand
	now        int64
	status     map[string]string // current status by upstream name, as discovery has it
	members    []*simMember
	owner      int
	token      uint64
	inFlight   []func()
	fenced     bool
	failure    string
	ownerMuted bool // most updates of the owner are lost
}

// entries returns the current entries of upstreams.
func (sim *simulation) entries(names ...string) (entries []roster.Entry[string]) {
	for _, n := range names {
		entries = append(entries, roster.Entry[string]{Name: n, Address: "a", Draining: sim.status[n] == "drains",
			Removed: sim.status[n] == "gone"})
	}
	return entries
}

// listedNames returns the names of all upstreams on the list.
func (sim *simulation) listedNames() (names []string) {
	for n, s := range sim.status {
		if s != "gone" {
			names = append(names, n)
		}
	}
	return names
}

// apply applies entries to the member's list.
func (member *simMember) apply(entries []roster.Entry[string], snapshot bool) {
	if snapshot {
		clear(member.list)
	}
	for _, e := range entries {
		switch {
		case e.Removed:
			delete(member.list, e.Name)
		case e.Draining:
			member.list[e.Name] = "drains"
		default:
			member.list[e.Name] = "serves"
		}
	}
}

// discover passes entries from discovery to a member that watches it.
func (sim *simulation) discover(n int, entries []roster.Entry[string], snapshot bool) {
	member := sim.members[n]
	member.apply(entries, snapshot)
	if member.core.IsOwner() {
		if update, ok := member.core.HandleDiscovery("p", entries, snapshot); ok {
			sim.send(n, update)
		}
	}
}

// send sends an update to all other members, to some of them twice.
func (sim *simulation) send(from int, update Update) {
	for n := range sim.members {
		if n == from || sim.ownerMuted && sim.rng.IntN(8) > 0 {
			continue
		}
		sent := update
		sim.inFlight = append(sim.inFlight, func() { sim.deliver(n, from, &sent) })
		if sim.rng.IntN(10) == 0 {
			sim.inFlight = append(sim.inFlight, func() { sim.deliver(n, from, &sent) })
		}
	}
}

// deliver delivers an update to a member, and checks that no stale one takes effect.
func (sim *simulation) deliver(n, from int, update *Update) {
	member := sim.members[n]
	if update.Token < member.fence && sim.fenced {
		return
	}
	stale := update.Token < member.fence
	member.fence = max(member.fence, update.Token)
	changes, snapshot, fetch := member.core.HandleUpdate(sim.now, update, sim.fenced)
	if before := fmt.Sprint(member.list); len(changes) > 0 || snapshot {
		if member.apply(changes, snapshot); stale && fmt.Sprint(member.list) != before && sim.failure == "" {
			sim.failure = fmt.Sprintf("member %d: an update with token %d took effect after one with token %d", n,
				update.Token, member.fence)
		}
	}
	if fetch {
		sim.inFlight = append(sim.inFlight, func() {
			if update, ok := sim.members[from].core.Snapshot("p"); ok {
				sim.deliver(n, from, &update)
			}
		})
	}
}

// promote makes a member the owner.
func (sim *simulation) promote(n int) {
	sim.token++
	if sim.owner >= 0 && sim.rng.IntN(2) == 0 {
		sim.members[sim.owner].core.SetOwner(sim.now, 0, false) // planned handover; otherwise the former owner has not noticed yet
	}
	sim.owner = n
	member := sim.members[n]
	member.core.SetOwner(sim.now, sim.token, true)
	member.fence, member.discovering, member.discoveringSince = max(member.fence, sim.token), true, sim.now
	sim.discover(n, sim.entries(sim.listedNames()...), true)
}

// step advances the time by up to 30 ms. If stable, neither the list nor the owner changes.
func (sim *simulation) step(stable bool) {
	sim.now += sim.rng.Int64N(30 * ms)
	if !stable && sim.rng.IntN(12) == 0 {
		name := fmt.Sprint("u", sim.rng.IntN(6))
		sim.status[name] = []string{"serves", "drains", "gone"}[sim.rng.IntN(3)]
		for n, member := range sim.members {
			if member.discovering {
				sim.discover(n, sim.entries(name), false)
			}
		}
	}
	if !stable && sim.rng.IntN(60) == 0 {
		sim.promote(sim.rng.IntN(len(sim.members)))
	}
	if !stable && sim.rng.IntN(50) == 0 {
		sim.ownerMuted = !sim.ownerMuted
	}
	for n, member := range sim.members {
		if discovering := member.core.ShouldDiscover(sim.now); discovering != member.discovering {
			if member.discovering = discovering; discovering {
				member.discoveringSince = sim.now
				sim.discover(n, sim.entries(sim.listedNames()...), true)
			}
		}
		if member.core.IsOwner() && sim.rng.IntN(4) == 0 {
			if heartbeat, ok := member.core.Heartbeat("p"); ok {
				sim.send(n, heartbeat)
			}
		}
	}
	for range sim.rng.IntN(10) {
		if len(sim.inFlight) > 0 {
			i := 0
			if sim.rng.IntN(4) == 0 {
				i = sim.rng.IntN(len(sim.inFlight))
			}
			handle := sim.inFlight[i]
			sim.inFlight = append(sim.inFlight[:i:i], sim.inFlight[i+1:]...)
			handle()
		}
	}
}

// runSchedule runs the schedule of a seed. Within 4 s after the last change, every member must have the current list,
// from the owner or by its own query. It returns the failure, if any.
func runSchedule(seed uint64, fenced bool) string {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 9)), status: map[string]string{}, owner: -1, fenced: fenced}
	for n := range 6 {
		sim.status[fmt.Sprint("u", n)] = "serves"
	}
	for range 2 + sim.rng.IntN(4) {
		sim.members = append(sim.members, &simMember{
			core: NewCore(Timing{int64(silenceTimeout), int64(steadyPeriod), int64(silenceJitter)}, sim.rng.Float64(), 0),
			list: map[string]string{},
		})
	}
	sim.promote(0)
	for range 100 + sim.rng.IntN(300) {
		sim.step(false)
	}
	// Changes end. The updates of the current owner may stay lost; former owners notice their loss within a lease.
	last := sim.now
	for n, member := range sim.members {
		if n != sim.owner && member.core.IsOwner() {
			member.core.SetOwner(sim.now, 0, false)
		}
	}
	for sim.now < last+int64(4*time.Second) {
		sim.step(true)
	}
	for n, member := range sim.members {
		if sim.failure != "" {
			return sim.failure
		}
		want := map[string]string{}
		for name, s := range sim.status {
			if s != "gone" {
				want[name] = s
			}
		}
		if fmt.Sprint(want) != fmt.Sprint(member.list) {
			return fmt.Sprintf("member %d ends with list %v, want %v (queries discovery itself: %v, owner %d)", n,
				member.list, want, member.discovering, sim.owner)
		}
	}
	return ""
}

// TestSchedules guards against lists that stay outdated and against updates of former owners that take effect.
func TestSchedules(t *testing.T) {
	count := 1000 / raceDivisor
	if n, err := strconv.Atoi(os.Getenv("OTTERSHIFT_SCHEDULES")); err == nil {
		count = n
	}
	for seed := range uint64(count) {
		if failure := runSchedule(seed, true); failure != "" {
			t.Fatalf("seed %d: %s", seed, failure)
		}
	}
}

// TestSchedulesDetectMissingFence checks that the schedules fail without the fence.
func TestSchedulesDetectMissingFence(t *testing.T) {
	found := 0
	for seed := range uint64(300) {
		if runSchedule(seed, false) != "" {
			found++
		}
	}
	t.Logf("without fence: fault detected in %d of 300 schedules", found)
	if found < 5 {
		t.Error("a missing fence is hardly ever detected")
	}
}

// TestOwnerWithoutDiscovery guards against members that miss changes because their owner is cut off from discovery: the
// owner must stop its heartbeats, and the others must query discovery themselves until the owner is connected again.
func TestOwnerWithoutDiscovery(t *testing.T) {
	sim := &simulation{rng: rand.New(rand.NewPCG(1, 1)), status: map[string]string{"u0": "serves"}, owner: -1, fenced: true}
	for range 3 {
		sim.members = append(sim.members, &simMember{
			core: NewCore(Timing{int64(silenceTimeout), int64(steadyPeriod), int64(silenceJitter)}, 0.5, 0),
			list: map[string]string{},
		})
	}
	sim.promote(0)
	run := func(d time.Duration) {
		for end := sim.now + int64(d); sim.now < end; {
			sim.step(true)
		}
	}
	run(time.Second)
	if sim.members[1].discovering {
		t.Error("a member queries discovery while the owner sends updates")
	}
	sim.members[0].core.HandleDiscoveryLost()
	sim.status["u0"] = "drains" // the owner does not receive this change
	run(time.Second)
	if !sim.members[1].discovering || sim.members[1].list["u0"] != "drains" || sim.members[2].list["u0"] != "drains" {
		t.Errorf("owner without discovery: another member queries discovery: %v, its list: %v",
			sim.members[1].discovering, sim.members[1].list)
	}
	sim.discover(0, sim.entries("u0"), true)
	run(5 * time.Second)
	if sim.members[1].discovering || sim.members[2].list["u0"] != "drains" {
		t.Errorf("owner with discovery again: another member still queries discovery: %v", sim.members[1].discovering)
	}
}
