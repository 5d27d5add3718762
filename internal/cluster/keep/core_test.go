package keep

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"testing/cryptotest"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ottershift/internal/cluster/pack"
)

// counter is a part that counts how often each command ran, so that one that runs twice is seen.
type counter struct{ Counts map[string]int }

func (c *counter) Apply(_ uint64, x *Command) Result {
	c.Counts[fmt.Sprintf("%s/%d/%d", x.Member, x.Epoch, x.Seq)]++
	return Result{Code: CodeOK}
}
func (c *counter) Ended(uint64, string, uint64) {}
func (c *counter) Save() []byte                 { return pack.Pack(c.Counts) }
func (c *counter) Load(raw []byte) error {
	c.Counts = map[string]int{}
	return pack.Unpack(raw, &c.Counts)
}

// memoryStore is a disk of a schedule. What was saved is there after a crash, but where the fault is planted that loses it.
type memoryStore struct {
	state    StoredState
	failing  bool
	previous StoredState
}

var errDisk = errors.New("the disk fails")

func (store *memoryStore) Save(hard *raftpb.HardState, entries []*raftpb.Entry, _ bool) error {
	if store.failing {
		return errDisk
	}
	store.previous = StoredState{store.state.HardState, store.state.Snapshot, slices.Clone(store.state.Entries)}
	if hard != nil {
		store.state.HardState = proto.Clone(hard).(*raftpb.HardState)
	}
	for _, e := range entries {
		for i, had := range store.state.Entries {
			if had.GetIndex() >= e.GetIndex() {
				store.state.Entries = store.state.Entries[:i:i]
				break
			}
		}
		store.state.Entries = append(store.state.Entries, e)
	}
	return nil
}

func (store *memoryStore) SaveSnapshot(snap *raftpb.Snapshot, keep uint64) error {
	if store.failing {
		return errDisk
	}
	store.state.Snapshot = snap
	at := snap.GetMetadata().GetIndex()
	if keep >= at {
		store.state.Entries = nil
	}
	store.state.Entries = slices.DeleteFunc(store.state.Entries, func(e *raftpb.Entry) bool { return e.GetIndex() <= min(keep, at) })
	return nil
}

type simNode struct {
	id       uint64
	run      uint64
	core     *Core // nil while it is down
	disk     *memoryStore
	counter  *counter
	nextTick int64 // when its clock ticks next
}

type message struct {
	from, to  uint64
	raft      *raftpb.Message
	senderRun uint64 // of the sender
}

// simClient is a client of the schedule, with one command out at a time.
type simClient struct {
	name    string
	epoch   uint64
	seq     uint64
	pending *Command
	tokens  map[string]uint64
}

// simulation plays keepers against lost, late, doubled and reordered messages, crashes, cuts and failing disks.
type simulation struct {
	t             *testing.T
	rng           *rand.Rand
	now           int64
	nodes         []*simNode
	clients       []*simClient
	inFlight      []message
	partitioned   map[[2]uint64]bool
	applied       map[uint64]string // entries by index: the same at all
	leaders       map[uint64]uint64 // leaders by term
	acked         map[string]bool   // commands whose answer a member has
	highestResult uint64            // entry up to which a member has an answer
	highestTokens map[string]uint64 // highest that was answered
	reads         int
	violation     string
	checks        SafetyChecks
	replaceIn     int  // steps until a keeper is put in another's place; 0 for never
	replacements  int  // changes of keepers that came to their end
	staleReads    bool // planted: a leader answers reads by its own belief
	lostSyncs     bool // planted: a crash loses the last thing that was synced
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf(format, args...)
	}
}

func (sim *simulation) start(node *simNode) {
	node.run++
	node.counter = &counter{map[string]int{}}
	state := NewState("c", nil, map[byte]Part{1: node.counter}, sim.checks)
	stored := &StoredState{node.disk.state.HardState, node.disk.state.Snapshot, slices.Clone(node.disk.state.Entries)}
	core, err := NewCore(node.id, node.run, stored, state, Lease{time.Second, 0.02}, sim.now)
	if err != nil {
		sim.t.Fatal(err)
	}
	node.core = core
}

func (sim *simulation) crash(node *simNode) {
	node.core = nil
	if sim.lostSyncs && node.disk.previous.Snapshot != nil && sim.rng.IntN(2) == 0 {
		node.disk.state = node.disk.previous
	}
	node.disk.failing = false
}

// process drives a core to rest; a disk that fails ends it, as it ends the process.
func (sim *simulation) process(node *simNode) {
	if node.core == nil {
		return
	}
	err := node.core.ProcessReady(sim.now, node.disk, func(to uint64, msg *raftpb.Message) {
		if len(sim.inFlight) < 500 {
			sim.inFlight = append(sim.inFlight, message{node.id, to, proto.Clone(msg).(*raftpb.Message), node.run})
		}
		if msg.GetType() == raftpb.MsgSnap {
			node.core.raft.ReportSnapshot(to, 1)
		}
	})
	if err != nil {
		if !errors.Is(err, errDisk) {
			sim.fail("keeper %d: %v", node.id, err)
		}
		sim.crash(node)
		return
	}
	if status := node.core.raft.BasicStatus(); node.core.IsLeader() {
		if other, ok := sim.leaders[status.HardState.GetTerm()]; ok && other != node.id {
			sim.fail("%d and %d lead in term %d", other, node.id, status.HardState.GetTerm())
		}
		sim.leaders[status.HardState.GetTerm()] = node.id
	}
	for _, entry := range recentEntries(node.core) {
		text := fmt.Sprintf("%d %x", entry.GetTerm(), entry.GetData())
		if was, ok := sim.applied[entry.GetIndex()]; ok && was != text {
			sim.fail("entry %d was agreed on as %q and as %q", entry.GetIndex(), was, text)
		}
		sim.applied[entry.GetIndex()] = text
	}
	for what, times := range node.counter.Counts {
		if times > 1 {
			sim.fail("%s ran %d times at keeper %d", what, times, node.id)
		}
	}
}

// recentEntries are the entries that a core has applied and still holds.
func recentEntries(core *Core) []*raftpb.Entry {
	first, _ := core.storage.FirstIndex()
	if core.appliedIndex < first {
		return nil
	}
	entries, _ := core.storage.Entries(max(first, core.appliedIndex-min(core.appliedIndex, 8)), core.appliedIndex+1, 1<<30)
	return entries
}

// sendCommand has a member send its command, the same again while it has no answer, to any keeper.
func (sim *simulation) sendCommand(client *simClient) {
	node := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	if node.core == nil {
		return
	}
	if client.pending == nil {
		client.seq++
		cmd := &Command{Member: client.name, Epoch: client.epoch, Seq: client.seq, LowestPending: client.seq}
		switch duty := string(rune('p' + sim.rng.IntN(2))); sim.rng.IntN(5) {
		case 0:
			cmd.Kind, cmd.Duty = AcquireDuty, duty
		case 1:
			cmd.Kind, cmd.Duty, cmd.Token = ReleaseDuty, duty, client.tokens[duty]
		case 2:
			cmd.Kind, cmd.Token, cmd.Target, cmd.Number = EndSession, client.tokens["p"], "nobody", 1
		default:
			cmd.Kind, cmd.Part = PartCommand, 1
		}
		client.pending = cmd
	}
	cmd := client.pending
	node.core.Propose(cmd, func(result Result, err error) {
		if err != nil || client.pending != cmd {
			return
		}
		client.pending = nil
		sim.highestResult = max(sim.highestResult, result.Index)
		switch {
		case result.Code == CodeSessionEnded:
			client.epoch++
			client.seq, client.pending = 0, &Command{Kind: OpenSession, Member: client.name, Epoch: client.epoch, Run: client.epoch}
		case cmd.Kind == AcquireDuty && result.Code == CodeOK:
			if result.Token <= sim.highestTokens[cmd.Duty] {
				sim.fail("token %d of %s was given after %d", result.Token, cmd.Duty, sim.highestTokens[cmd.Duty])
			}
			sim.highestTokens[cmd.Duty], client.tokens[cmd.Duty] = result.Token, result.Token
		case cmd.Kind == ReleaseDuty && result.Code == CodeOK && cmd.Token < sim.highestTokens[cmd.Duty] && result.Index > sim.highestTokens[cmd.Duty]: // a token is the entry that gave it
			sim.fail("token %d of %s let go after %d was given", cmd.Token, cmd.Duty, sim.highestTokens[cmd.Duty])
		case cmd.Kind == PartCommand && result.Code == CodeOK:
			sim.acked[fmt.Sprintf("%s/%d/%d", cmd.Member, cmd.Epoch, cmd.Seq)] = true
		}
	})
	sim.process(node)
}

func (sim *simulation) read(node *simNode) {
	if node.core == nil {
		return
	}
	before := sim.highestResult
	check := func(_ int64, err error) {
		if err != nil {
			return
		}
		sim.reads++
		if node.core.State.Index < before {
			sim.fail("keeper %d read up to entry %d, and %d had been answered before", node.id, node.core.State.Index, before)
		}
	}
	if sim.staleReads {
		if node.core.IsLeader() {
			check(0, nil)
		}
		return
	}
	node.core.Read(sim.now, check)
	sim.process(node)
}

// faultyStep passes a few milliseconds: clocks of different speeds tick, messages come, most of them soon and in order, members and
// readers ask, and now and then something breaks.
func (sim *simulation) faultyStep() {
	sim.now += sim.rng.Int64N(int64(8 * time.Millisecond))
	for _, node := range sim.nodes {
		if node.core != nil && sim.now >= node.nextTick {
			node.nextTick = sim.now + int64(8*time.Millisecond) + sim.rng.Int64N(int64(6*time.Millisecond))
			node.core.Tick(sim.now)
			sim.process(node)
		}
	}
	for range sim.rng.IntN(8) {
		if len(sim.inFlight) == 0 {
			break
		}
		i := 0
		if sim.rng.IntN(6) == 0 {
			i = sim.rng.IntN(len(sim.inFlight))
		}
		msg := sim.inFlight[i]
		if sim.rng.IntN(20) > 0 {
			sim.inFlight = slices.Delete(sim.inFlight, i, i+1)
		}
		to := sim.nodes[msg.to-1]
		if sim.partitioned[[2]uint64{msg.from, msg.to}] || to.core == nil || sim.rng.IntN(40) == 0 {
			continue
		}
		to.core.Step(sim.now, proto.Clone(msg.raft).(*raftpb.Message))
		sim.process(to)
	}
	if sim.replaceIn > 0 {
		sim.advanceReplacement()
	}
	node := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	switch p := sim.rng.IntN(200); {
	case p < 100:
		sim.sendCommand(sim.clients[sim.rng.IntN(len(sim.clients))])
	case p < 140:
		sim.read(node)
	case p < 145:
		if node.core != nil {
			node.core.Snapshot(node.disk)
		}
	case p < 148:
		if node.core != nil && sim.rng.IntN(3) == 0 {
			sim.crash(node)
		}
	case p < 156:
		if node.core == nil {
			sim.start(node)
			sim.process(node)
		}
	case p < 157:
		node.disk.failing = node.core != nil && sim.rng.IntN(3) == 0
	case p < 160:
		other := sim.nodes[sim.rng.IntN(len(sim.nodes))].id
		sim.partitioned[[2]uint64{node.id, other}] = true
	case p < 168:
		clear(sim.partitioned)
	}
}

// advanceReplacement has a new disk take the place of the second keeper, whenever somebody leads who can; then who is at it is killed soon, one
// after the other.
func (sim *simulation) advanceReplacement() {
	if sim.replaceIn--; sim.replaceIn > 0 {
		return
	}
	sim.replaceIn = 1
	if len(sim.nodes) == 3 {
		for _, node := range sim.nodes {
			if node.core != nil && node.core.IsLeader() && node.core.ReplaceVoter("k2", "d4") == nil {
				newNode := &simNode{id: 4, disk: &memoryStore{}}
				sim.nodes = append(sim.nodes, newNode)
				sim.start(newNode)
				sim.process(node)
				return
			}
		}
		return
	}
	if sim.rng.IntN(12) > 0 {
		return
	}
	for _, node := range sim.nodes {
		if node.core != nil && node.core.changePending && sim.rng.IntN(3) == 0 {
			sim.crash(node)
			return
		}
	}
	if node := sim.nodes[3]; node.core != nil && sim.rng.IntN(6) == 0 {
		sim.crash(node)
	}
}

// currentNodes are the keepers that the newest state knows.
func (sim *simulation) currentNodes() (nodes []*simNode) {
	var newest *State
	for _, node := range sim.nodes {
		if node.core != nil && (newest == nil || node.core.State.Index > newest.Index) {
			newest = node.core.State
		}
	}
	for _, node := range sim.nodes {
		if newest.Voters[node.id] != nil {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// healAndCheck ends all faults; then there must be a leader, all keepers hold the same, and whatever was answered is there.
func (sim *simulation) healAndCheck() {
	clear(sim.partitioned)
	for _, node := range sim.nodes {
		node.disk.failing = false
		if node.core == nil {
			sim.start(node)
		}
	}
	for range 4000 {
		if sim.faultlessStep(); sim.violation != "" {
			return
		}
	}
	nodes := sim.currentNodes()
	if len(sim.nodes) == 4 {
		// The order may have been lost with its leader; staff give it again. Half of it must not be left.
		if len(nodes) != 3 || nodes[2].id != 3 && nodes[1].id != 3 {
			sim.fail("a change of keepers came to no end: %d seats", len(nodes))
			return
		}
		if nodes[2].id == 4 {
			sim.replacements++
		}
	}
	for _, node := range nodes {
		if node.core.State.Index < sim.highestResult {
			sim.fail("keeper %d holds up to entry %d, and %d was answered", node.id, node.core.State.Index, sim.highestResult)
		}
		for what := range sim.acked {
			if node.counter.Counts[what] == 0 {
				sim.fail("%s was answered, and keeper %d has never run it", what, node.id)
			}
		}
	}
	if a, b := nodes[0].core.State, nodes[len(nodes)-1].core.State; a.Index == b.Index && string(a.Save()) != string(b.Save()) {
		sim.fail("two keepers hold different states at entry %d", a.Index)
	}
}

// faultlessStep passes time and messages in order, with nothing wrong.
func (sim *simulation) faultlessStep() {
	sim.now += int64(time.Millisecond)
	if sim.now/int64(time.Millisecond)%10 == 0 {
		for _, node := range sim.nodes {
			node.core.Tick(sim.now)
			sim.process(node)
		}
	}
	inFlight := sim.inFlight
	sim.inFlight = nil
	for _, msg := range inFlight {
		if to := sim.nodes[msg.to-1]; to.core != nil {
			to.core.Step(sim.now, msg.raft)
			sim.process(to)
		}
	}
}

func runSchedule(t *testing.T, seed uint64, checks SafetyChecks, staleReads, lostSyncs bool) (violation string) {
	cryptotest.SetGlobalRandom(t, seed) // the library draws its election times there
	sim := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 6)), partitioned: map[[2]uint64]bool{}, applied: map[uint64]string{}, leaders: map[uint64]uint64{},
		acked: map[string]bool{}, highestTokens: map[string]uint64{}, checks: checks, staleReads: staleReads, lostSyncs: lostSyncs,
	}
	lastSimulation = sim
	defer func() {
		if r := recover(); r != nil { // the library's own assertions
			violation = fmt.Sprint("panic: ", r)
		}
	}()
	var voters []Voter
	for id := range uint64(3) {
		voters = append(voters, Voter{ID: id + 1, Name: fmt.Sprint("k", id+1), DiskID: fmt.Sprint("d", id+1)})
	}
	for _, voter := range voters {
		first := InitialSnapshot(NewState("c", voters, map[byte]Part{1: &counter{map[string]int{}}}, checks))
		node := &simNode{id: voter.ID, disk: &memoryStore{state: StoredState{Snapshot: first}}}
		sim.nodes = append(sim.nodes, node)
		sim.start(node)
	}
	for i := range 3 {
		client := &simClient{name: string(rune('a' + i)), epoch: 1, tokens: map[string]uint64{}}
		client.pending = &Command{Kind: OpenSession, Member: client.name, Epoch: 1, Run: 1}
		sim.clients = append(sim.clients, client)
	}
	for range 100 {
		sim.faultlessStep() // so that most schedules have a leader to lose
	}
	if seed%2 == 1 {
		sim.replaceIn = 1 + sim.rng.IntN(200)
	}
	for range 300 + sim.rng.IntN(500) {
		if sim.faultyStep(); sim.violation != "" {
			return sim.violation
		}
	}
	sim.healAndCheck()
	return sim.violation
}

func scheduleCount(usual int) int {
	if n, err := strconv.Atoi(os.Getenv("OTTERSHIFT_SCHEDULES")); err == nil {
		return n
	}
	return usual / scheduleDivisor
}

var allChecks = SafetyChecks{true, true}

// OTTERSHIFT_SCHEDULES plays more, OTTERSHIFT_FROM from another seed on: the library's chance is the process's, so several
// processes play side by side.
func TestSchedules(t *testing.T) {
	from, _ := strconv.Atoi(os.Getenv("OTTERSHIFT_FROM"))
	answered, reads, replacements, n := uint64(0), 0, 0, scheduleCount(150)
	for seed := range uint64(n) {
		seed += uint64(from)
		if violation := runSchedule(t, seed, allChecks, false, false); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
		answered, reads, replacements = answered+lastSimulation.highestResult, reads+lastSimulation.reads, replacements+lastSimulation.replacements
	}
	t.Logf("%d schedules: %d entries answered in each, %d reads, %d changes of keepers", n, answered/uint64(n), reads/n, replacements)
	if replacements == 0 {
		t.Error("no keeper was ever replaced")
	}
	if answered/uint64(n) < 20 || reads/n < 3 {
		t.Errorf("the schedules agree on too little to prove anything")
	}
}

var lastSimulation *simulation // last

// What is planted is found, or the schedules prove nothing.
func TestSchedulesDetectFaults(t *testing.T) {
	for _, c := range []struct {
		name        string
		g           SafetyChecks
		stale, lost bool
	}{{"a stale read", allChecks, true, false}, {"a lost sync", allChecks, false, true}, {"commands that run again", SafetyChecks{true, false}, false, false}} {
		found, first, what := 0, -1, ""
		for seed := range uint64(150 / scheduleDivisor) {
			if violation := runSchedule(t, seed, c.g, c.stale, c.lost); violation != "" {
				if found++; first < 0 {
					first, what = int(seed), violation
				}
			}
		}
		t.Logf("%s: found in %d of %d schedules, first in %d: %s", c.name, found, 150/scheduleDivisor, first, what)
		if found == 0 && scheduleDivisor == 1 {
			t.Errorf("%s is never found", c.name)
		}
	}
}
