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

// simMember is a member with what it has told its pool.
type simMember struct {
	core             *Core
	list             map[string]string // status by name, as the pool has it
	fence            uint64
	discovering      bool
	discoveringSince int64 // that its own watch has been open
}

// simulation has a list that changes, an owner that passes it on and may be replaced while words are under way, and followers that
// hear late, twice, out of order or nothing.
type simulation struct {
	rng        *rand.Rand
	now        int64
	status     map[string]string
	members    []*simMember
	owner      int
	token      uint64
	inFlight   []func()
	fenced     bool
	failure    string
	ownerMuted bool // the owner's words are lost
}

func (sim *simulation) entries(names ...string) (all []roster.Entry[string]) {
	for _, n := range names {
		all = append(all, roster.Entry[string]{Name: n, Address: "a", Ends: sim.status[n] == "drains", Gone: sim.status[n] == "gone"})
	}
	return all
}

func (sim *simulation) listed() (names []string) {
	for n, s := range sim.status {
		if s != "gone" {
			names = append(names, n)
		}
	}
	return names
}

func (member *simMember) apply(entries []roster.Entry[string], snapshot bool) {
	if snapshot {
		clear(member.list)
	}
	for _, e := range entries {
		switch {
		case e.Gone:
			delete(member.list, e.Name)
		case e.Ends:
			member.list[e.Name] = "drains"
		default:
			member.list[e.Name] = "serves"
		}
	}
}

// discover is discovery's word to one member that watches.
func (sim *simulation) discover(n int, entries []roster.Entry[string], snapshot bool) {
	member := sim.members[n]
	member.apply(entries, snapshot)
	if member.core.IsOwner() {
		if update, ok := member.core.HandleDiscovery("p", entries, snapshot); ok {
			sim.send(n, update)
		}
	}
}

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
			sim.failure = fmt.Sprintf("member %d: a word under token %d took effect after one under %d", n, update.Token, member.fence)
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

func (sim *simulation) makeOwner(n int) {
	sim.token++
	if sim.owner >= 0 && sim.rng.IntN(2) == 0 {
		sim.members[sim.owner].core.SetOwner(sim.now, 0, false) // by intent; else the old one hasn't noticed yet
	}
	sim.owner = n
	member := sim.members[n]
	member.core.SetOwner(sim.now, sim.token, true)
	member.fence, member.discovering, member.discoveringSince = max(member.fence, sim.token), true, sim.now
	sim.discover(n, sim.entries(sim.listed()...), true)
}

func (sim *simulation) step(stable bool) {
	sim.now += sim.rng.Int64N(30 * ms)
	if !stable && sim.rng.IntN(12) == 0 {
		name := fmt.Sprint("u", sim.rng.IntN(6))
		sim.status[name] = []string{"serves", "drains", "gone"}[sim.rng.IntN(3)]
		for n, f := range sim.members {
			if f.discovering {
				sim.discover(n, sim.entries(name), false)
			}
		}
	}
	if !stable && sim.rng.IntN(60) == 0 {
		sim.makeOwner(sim.rng.IntN(len(sim.members)))
	}
	if !stable && sim.rng.IntN(50) == 0 {
		sim.ownerMuted = !sim.ownerMuted
	}
	for n, f := range sim.members {
		if discovering := f.core.ShouldDiscover(sim.now); discovering != f.discovering {
			if f.discovering = discovering; discovering {
				f.discoveringSince = sim.now
				sim.discover(n, sim.entries(sim.listed()...), true)
			}
		}
		if f.core.IsOwner() && sim.rng.IntN(4) == 0 {
			if heartbeat, ok := f.core.Heartbeat("p"); ok {
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
			f := sim.inFlight[i]
			sim.inFlight = append(sim.inFlight[:i:i], sim.inFlight[i+1:]...)
			f()
		}
	}
}

// runSchedule: after changes end, every pool has the list as it is within the stated time, whether by the owner or by its own ask.
func runSchedule(seed uint64, fenced bool) string {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 9)), status: map[string]string{}, owner: -1, fenced: fenced}
	for n := range 6 {
		sim.status[fmt.Sprint("u", n)] = "serves"
	}
	for range 2 + sim.rng.IntN(4) {
		sim.members = append(sim.members, &simMember{core: NewCore(Timing{int64(silenceTimeout), int64(steadyPeriod), int64(silenceJitter)}, sim.rng.Float64(), 0), list: map[string]string{}})
	}
	sim.makeOwner(0)
	for range 100 + sim.rng.IntN(300) {
		sim.step(false)
	}
	// Changes end. The present owner may be mute for good; old ones notice within a lease.
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
			return fmt.Sprintf("member %d has %v at the end, and the list is %v (it asks itself: %v, owner %d)", n, member.list, want, member.discovering, sim.owner)
		}
	}
	return ""
}

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

func TestSchedulesDetectMissingFence(t *testing.T) {
	found := 0
	for seed := range uint64(300) {
		if runSchedule(seed, false) != "" {
			found++
		}
	}
	t.Logf("without fence: %d of 300 schedules are convicted", found)
	if found < 5 {
		t.Error("a missing fence is hardly ever found")
	}
}

// An owner that discovery tells nothing says nothing either: the others ask for themselves, until it is told again.
func TestOwnerWithoutDiscovery(t *testing.T) {
	sim := &simulation{rng: rand.New(rand.NewPCG(1, 1)), status: map[string]string{"u0": "serves"}, owner: -1, fenced: true}
	for range 3 {
		sim.members = append(sim.members, &simMember{core: NewCore(Timing{int64(silenceTimeout), int64(steadyPeriod), int64(silenceJitter)}, 0.5, 0), list: map[string]string{}})
	}
	sim.makeOwner(0)
	run := func(d time.Duration) {
		for end := sim.now + int64(d); sim.now < end; {
			sim.step(true)
		}
	}
	run(time.Second)
	if sim.members[1].discovering {
		t.Error("it asks while the owner speaks")
	}
	sim.members[0].core.HandleDiscoveryLost()
	sim.status["u0"] = "drains" // the owner isn't told
	run(time.Second)
	if !sim.members[1].discovering || sim.members[1].list["u0"] != "drains" || sim.members[2].list["u0"] != "drains" {
		t.Errorf("the owner is deaf, and another asks: %v, holds %v", sim.members[1].discovering, sim.members[1].list)
	}
	sim.discover(0, sim.entries("u0"), true)
	run(5 * time.Second)
	if sim.members[1].discovering || sim.members[2].list["u0"] != "drains" {
		t.Errorf("the owner is told again, and another asks: %v", sim.members[1].discovering)
	}
}
