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

// counter is a part that counts the executions of each command, to detect commands that are executed twice.
type counter struct{ Counts map[string]int }

func (c *counter) Apply(_ uint64, cmd *Command) Result {
	c.Counts[fmt.Sprintf("%s/%d/%d", cmd.Member, cmd.Epoch, cmd.Seq)]++
	return Result{Code: CodeOK}
}
func (c *counter) Ended(uint64, string, uint64) {}
func (c *counter) Save() []byte                 { return pack.Pack(c.Counts) }
func (c *counter) Load(data []byte) error {
	c.Counts = map[string]int{}
	return pack.Unpack(data, &c.Counts)
}

// memoryStore is a Store in memory. Saved data survives a crash, unless the simulation injects lost syncs.
type memoryStore struct {
	stored   StoredState
	failing  bool
	previous StoredState
}

var errDisk = errors.New("injected disk error")

func (store *memoryStore) Save(hardState *raftpb.HardState, entries []*raftpb.Entry, _ bool) error {
	if store.failing {
		return errDisk
	}
	store.previous = StoredState{store.stored.HardState, store.stored.Snapshot, slices.Clone(store.stored.Entries)}
	if hardState != nil {
		store.stored.HardState = proto.Clone(hardState).(*raftpb.HardState)
	}
	for _, entry := range entries {
		for i, existing := range store.stored.Entries {
			if existing.GetIndex() >= entry.GetIndex() {
				store.stored.Entries = store.stored.Entries[:i:i]
				break
			}
		}
		store.stored.Entries = append(store.stored.Entries, entry)
	}
	return nil
}

func (store *memoryStore) SaveSnapshot(snapshot *raftpb.Snapshot, compactTo uint64) error {
	if store.failing {
		return errDisk
	}
	store.stored.Snapshot = snapshot
	index := snapshot.GetMetadata().GetIndex()
	if compactTo >= index {
		store.stored.Entries = nil
	}
	store.stored.Entries = slices.DeleteFunc(store.stored.Entries, func(entry *raftpb.Entry) bool { return entry.GetIndex() <= min(compactTo, index) })
	return nil
}

// simNode is a replica with its disk and clock.
type simNode struct {
	id       uint64
	run      uint64
	core     *Core // nil while the node is down
	disk     *memoryStore
	counter  *counter
	nextTick int64 // time of the next tick of its clock
}

// message is a Raft message that has not been delivered yet.
type message struct {
	from, to  uint64
	raft      *raftpb.Message
	senderRun uint64
}

// simClient is a client in the simulation, with one pending command at a time.
type simClient struct {
	name    string
	epoch   uint64
	seq     uint64
	pending *Command
	tokens  map[string]uint64
}

// simulation runs replicas with messages that are lost, delayed, duplicated and reordered, with crashes, partitions
// and failing disks.
type simulation struct {
	t             *testing.T
	rng           *rand.Rand
	now           int64
	nodes         []*simNode
	clients       []*simClient
	inFlight      []message
	partitioned   map[[2]uint64]bool
	applied       map[uint64]string // entries by index; the same on all replicas
	leaders       map[uint64]uint64 // leaders by term
	acked         map[string]bool   // commands whose result a client has received
	highestResult uint64            // highest index of a result that a client has received
	highestTokens map[string]uint64 // highest token received, by duty
	reads         int
	violation     string
	checks        SafetyChecks
	replaceIn     int  // steps until a voter is replaced; 0 for never
	replacements  int  // completed replacements
	staleReads    bool // injected fault: a leader answers reads without a read index
	lostSyncs     bool // injected fault: a crash loses the last sync
}

// fail records the first violation of a guarantee.
func (sim *simulation) fail(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf(format, args...)
	}
}

// start starts a node from its disk.
func (sim *simulation) start(node *simNode) {
	node.run++
	node.counter = &counter{map[string]int{}}
	state := NewState("c", nil, map[byte]Part{1: node.counter}, sim.checks)
	stored := &StoredState{node.disk.stored.HardState, node.disk.stored.Snapshot, slices.Clone(node.disk.stored.Entries)}
	core, err := NewCore(node.id, node.run, stored, state, Lease{time.Second, 0.02}, sim.now)
	if err != nil {
		sim.t.Fatal(err)
	}
	node.core = core
}

// crash stops a node.
func (sim *simulation) crash(node *simNode) {
	node.core = nil
	if sim.lostSyncs && node.disk.previous.Snapshot != nil && sim.rng.IntN(2) == 0 {
		node.disk.stored = node.disk.previous
	}
	node.disk.failing = false
}

// process runs the pending work of a node. A disk error stops the node, as it stops a real process.
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
			sim.fail("replica %d: %v", node.id, err)
		}
		sim.crash(node)
		return
	}
	if status := node.core.raft.BasicStatus(); node.core.IsLeader() {
		if other, ok := sim.leaders[status.HardState.GetTerm()]; ok && other != node.id {
			sim.fail("replicas %d and %d both lead in term %d", other, node.id, status.HardState.GetTerm())
		}
		sim.leaders[status.HardState.GetTerm()] = node.id
	}
	for _, entry := range recentEntries(node.core) {
		text := fmt.Sprintf("%d %x", entry.GetTerm(), entry.GetData())
		if previous, ok := sim.applied[entry.GetIndex()]; ok && previous != text {
			sim.fail("entry %d was committed as %q and as %q", entry.GetIndex(), previous, text)
		}
		sim.applied[entry.GetIndex()] = text
	}
	for command, count := range node.counter.Counts {
		if count > 1 {
			sim.fail("%s was executed %d times on replica %d", command, count, node.id)
		}
	}
}

// recentEntries returns the last few entries that a core has applied and still holds.
func recentEntries(core *Core) []*raftpb.Entry {
	first, _ := core.storage.FirstIndex()
	if core.appliedIndex < first {
		return nil
	}
	entries, _ := core.storage.Entries(max(first, core.appliedIndex-min(core.appliedIndex, 8)), core.appliedIndex+1, 1<<30)
	return entries
}

// sendCommand sends a client's command to a random node. A command without a result is sent again.
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
				sim.fail("token %d of %s was issued after %d", result.Token, cmd.Duty, sim.highestTokens[cmd.Duty])
			}
			sim.highestTokens[cmd.Duty], client.tokens[cmd.Duty] = result.Token, result.Token
		case cmd.Kind == ReleaseDuty && result.Code == CodeOK && cmd.Token < sim.highestTokens[cmd.Duty] && result.Index > sim.highestTokens[cmd.Duty]:
			// A token is the index of the entry that issued it.
			sim.fail("stale token %d of %s released the duty after %d was issued", cmd.Token, cmd.Duty, sim.highestTokens[cmd.Duty])
		case cmd.Kind == PartCommand && result.Code == CodeOK:
			sim.acked[fmt.Sprintf("%s/%d/%d", cmd.Member, cmd.Epoch, cmd.Seq)] = true
		}
	})
	sim.process(node)
}

// read checks that a read on a node includes all results that were received before it.
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
			sim.fail("stale read: replica %d answered as of entry %d, after a result of entry %d", node.id, node.core.State.Index, before)
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

// faultyStep advances the time by a few milliseconds: clocks of different speeds tick, messages arrive, most of them
// soon and in order, clients send commands and reads, and sometimes a fault is injected.
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

// advanceReplacement replaces the second voter by a new disk as soon as a leader accepts it. Until the replacement is
// complete, it sometimes crashes the nodes that take part.
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

// currentNodes returns the nodes of the voters in the newest state.
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

// healAndCheck ends all faults. After that there must be a leader, all replicas must hold the same state, and
// everything that was acknowledged must be in it.
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
		// The request may be lost with its leader; an operator would repeat it. A replacement must not be left
		// incomplete.
		if len(nodes) != 3 || nodes[2].id != 3 && nodes[1].id != 3 {
			sim.fail("a membership change did not complete: %d voters", len(nodes))
			return
		}
		if nodes[2].id == 4 {
			sim.replacements++
		}
	}
	for _, node := range nodes {
		if node.core.State.Index < sim.highestResult {
			sim.fail("replica %d holds entries up to %d, but entry %d was acknowledged", node.id, node.core.State.Index, sim.highestResult)
		}
		for command := range sim.acked {
			if node.counter.Counts[command] == 0 {
				sim.fail("%s was acknowledged, but replica %d has never executed it", command, node.id)
			}
		}
	}
	if a, b := nodes[0].core.State, nodes[len(nodes)-1].core.State; a.Index == b.Index && string(a.Save()) != string(b.Save()) {
		sim.fail("two replicas hold different states at entry %d", a.Index)
	}
}

// faultlessStep advances the time by a millisecond, and delivers all messages in order.
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

// runSchedule runs the schedule of a seed. It returns the first violation of a guarantee, or "".
func runSchedule(t *testing.T, seed uint64, checks SafetyChecks, staleReads, lostSyncs bool) (violation string) {
	cryptotest.SetGlobalRandom(t, seed) // the Raft library draws its election timeouts from it
	sim := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 6)), partitioned: map[[2]uint64]bool{}, applied: map[uint64]string{}, leaders: map[uint64]uint64{},
		acked: map[string]bool{}, highestTokens: map[string]uint64{}, checks: checks, staleReads: staleReads, lostSyncs: lostSyncs,
	}
	lastSimulation = sim
	defer func() {
		if recovered := recover(); recovered != nil { // assertions of the Raft library
			violation = fmt.Sprint("panic: ", recovered)
		}
	}()
	var voters []Voter
	for id := range uint64(3) {
		voters = append(voters, Voter{ID: id + 1, Name: fmt.Sprint("k", id+1), DiskID: fmt.Sprint("d", id+1)})
	}
	for _, voter := range voters {
		snapshot := InitialSnapshot(NewState("c", voters, map[byte]Part{1: &counter{map[string]int{}}}, checks))
		node := &simNode{id: voter.ID, disk: &memoryStore{stored: StoredState{Snapshot: snapshot}}}
		sim.nodes = append(sim.nodes, node)
		sim.start(node)
	}
	for i := range 3 {
		client := &simClient{name: string(rune('a' + i)), epoch: 1, tokens: map[string]uint64{}}
		client.pending = &Command{Kind: OpenSession, Member: client.name, Epoch: 1, Run: 1}
		sim.clients = append(sim.clients, client)
	}
	for range 100 {
		sim.faultlessStep() // so that most schedules begin with a leader
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

// scheduleCount returns the number of schedules to run.
func scheduleCount(standard int) int {
	if n, err := strconv.Atoi(os.Getenv("OTTERSHIFT_SCHEDULES")); err == nil {
		return n
	}
	return standard / scheduleDivisor
}

var allChecks = SafetyChecks{true, true}

// TestSchedules runs random schedules of faults and checks the guarantees of the group after each step.
// OTTERSHIFT_SCHEDULES sets the number of schedules, OTTERSHIFT_FROM the first seed. The Raft library's randomness is
// global, so only several processes can run schedules in parallel.
func TestSchedules(t *testing.T) {
	from, _ := strconv.Atoi(os.Getenv("OTTERSHIFT_FROM"))
	acknowledged, reads, replacements, n := uint64(0), 0, 0, scheduleCount(150)
	for seed := range uint64(n) {
		seed += uint64(from)
		if violation := runSchedule(t, seed, allChecks, false, false); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
		acknowledged, reads, replacements = acknowledged+lastSimulation.highestResult, reads+lastSimulation.reads, replacements+lastSimulation.replacements
	}
	t.Logf("%d schedules: %d entries acknowledged and %d reads on average, %d replacements", n, acknowledged/uint64(n), reads/n, replacements)
	if replacements == 0 {
		t.Error("no voter was ever replaced")
	}
	if acknowledged/uint64(n) < 20 || reads/n < 3 {
		t.Errorf("the schedules commit or read too little to be meaningful")
	}
}

var lastSimulation *simulation // set by runSchedule

// TestSchedulesDetectFaults checks that the schedules detect injected faults.
func TestSchedulesDetectFaults(t *testing.T) {
	for _, test := range []struct {
		name        string
		checks      SafetyChecks
		stale, lost bool
	}{{"stale reads", allChecks, true, false}, {"lost syncs", allChecks, false, true}, {"duplicate executions", SafetyChecks{true, false}, false, false}} {
		found, first, violationText := 0, -1, ""
		for seed := range uint64(150 / scheduleDivisor) {
			if violation := runSchedule(t, seed, test.checks, test.stale, test.lost); violation != "" {
				if found++; first < 0 {
					first, violationText = int(seed), violation
				}
			}
		}
		t.Logf("%s: detected in %d of %d schedules, first by seed %d: %s", test.name, found, 150/scheduleDivisor, first, violationText)
		if found == 0 && scheduleDivisor == 1 {
			t.Errorf("%s: never detected", test.name)
		}
	}
}
