package ledger

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"ottershift/internal/cluster/keep"
	"ottershift/internal/cluster/pack"
)

const (
	ms              = int64(time.Millisecond)
	dedupWindow     = 2000 * ms // for which an upstream group recognizes a retry
	requestLifetime = 600 * ms  // after which a request is given up
	claimTimeout    = 50 * ms
	onceOnlyWindow  = 20000 * ms // for which a once-only request must not run again
)

// injectedFaults are faults that a schedule may inject, to show that it detects them.
type injectedFaults struct {
	noFence          bool // Guards.Fence is off
	freeLostClaims   bool // the claims of an ended session are removed as if nothing had been sent
	acceptLateClaims bool // abandoned claims that arrive late are granted
	fastClock        bool // elapsed time is counted three times
}

// simulation runs members against the state machine of one consensus group. Commands are lost, delayed and duplicated,
// sessions end and new ones open, and upstreams run requests whose responses are lost.
type simulation struct {
	rng             *rand.Rand
	now             int64
	clockReportedAt int64
	state           *keep.State
	sm              *StateMachine
	index           uint64
	members         []*simMember
	inFlight        []*simMessage
	effects         map[string][]effect // by key
	windowStart     map[string]int64    // start of the current deduplication window, by key and group
	keys            int                 // number of idempotency keys that clients choose from
	granted         int
	executed        int
	failure         string
	faults          injectedFaults
}

// effect is one execution of a request by an upstream group.
type effect struct {
	at    int64
	group string
}

// simMember is a member with its current session.
type simMember struct {
	name         string
	epoch        uint64
	open         bool // the member believes that its session is open
	batcher      *Batcher
	seq          uint64
	unanswered   map[uint64]bool
	stalledUntil int64 // the process is stopped until then
	requests     []*simRequest
	deferred     []func() // callbacks to run when the process continues
}

// simRequest is a request that a member handles.
type simRequest struct {
	member       *simMember
	details      Request
	deadline     int64
	epoch        uint64
	attempt      uint64
	group        string
	claim        *PendingClaim
	waitingSince int64
	mayHaveRun   bool // an attempt may have run
	inFlight     int
	answered     bool
	finished     bool
	nextStep     int64
	decision     *Decision
	refusal      *Entry
}

// simMessage is a command in flight.
type simMessage struct {
	member    *simMember
	epoch     uint64
	command   keep.Command
	batch     *InFlightBatch
	heldUntil int64 // not delivered before
	timeoutAt int64 // when the sender gives up
	answered  bool
}

// fail records the first failure.
func (sim *simulation) fail(format string, args ...any) {
	if sim.failure == "" {
		sim.failure = fmt.Sprintf(format, args...)
	}
}

func (sim *simulation) apply(command *keep.Command) keep.Result {
	sim.index++
	_, answer := sim.state.Apply(sim.index, pack.Pack(command))
	return answer
}

// startMember opens a new session for a member, which loses its previous state.
func (sim *simulation) startMember(member *simMember) {
	member.epoch++
	member.batcher, member.seq, member.unanswered, member.requests, member.deferred, member.stalledUntil =
		NewBatcher(time.Duration(claimTimeout), 5*time.Millisecond, 1000), 0, map[uint64]bool{}, nil, nil, 0
	answer := sim.apply(&keep.Command{Kind: keep.OpenSession, Member: member.name, Epoch: member.epoch, Run: member.epoch})
	member.open = answer.Code == keep.CodeOK
}

// send sends the next batch of a member, as Ledger does.
func (sim *simulation) send(member *simMember) {
	sent, _ := member.batcher.NextBatch(sim.now)
	if sent == nil {
		return
	}
	member.seq++
	member.unanswered[member.seq] = true
	lowSeq := member.seq
	for q := range member.unanswered {
		lowSeq = min(lowSeq, q)
	}
	batch := sent.Batch
	if sim.faults.acceptLateClaims {
		batch.LowWatermark = 0
	}
	command := keep.Command{Kind: keep.PartCommand, Part: StateMachineID, Member: member.name, Epoch: member.epoch,
		Seq: member.seq, LowestPending: lowSeq, Body: pack.Pack(&batch)}
	if sim.faults.acceptLateClaims {
		command.LowestPending = 0
	}
	message := &simMessage{member: member, epoch: member.epoch, command: command, batch: sent,
		timeoutAt: sim.now + 2*claimTimeout, heldUntil: sim.now}
	if sim.rng.IntN(8) == 0 {
		message.heldUntil += sim.rng.Int64N(600 * ms)
	}
	sim.inFlight = append(sim.inFlight, message)
}

// deliver applies commands in any order, some of them twice and some never.
func (sim *simulation) deliver() {
	for i := 0; i < len(sim.inFlight); i++ {
		message := sim.inFlight[i]
		current := message.member.epoch == message.epoch && message.member.batcher != nil
		drop := false
		switch d := sim.rng.IntN(100); {
		case sim.now < message.heldUntil:
		case d < 30:
			answer := sim.apply(&message.command)
			if sim.rng.IntN(6) > 0 && current && !message.answered { // else the response is lost
				message.answered = true
				sim.receive(message, answer, nil)
			}
			drop = sim.rng.IntN(4) > 0
		case d < 33:
			drop = true
		}
		if current && !message.answered && sim.now >= message.timeoutAt {
			message.answered = true
			sim.receive(message, keep.Result{}, keep.ErrOutcomeUnknown)
		}
		if drop && (message.answered || !current) || sim.now > message.timeoutAt+3000*ms {
			sim.inFlight = append(sim.inFlight[:i:i], sim.inFlight[i+1:]...)
			i--
		}
	}
}

// receive passes the response to a command to its sender.
func (sim *simulation) receive(message *simMessage, answer keep.Result, err error) {
	member := message.member
	handle := func() {
		if member.epoch != message.epoch || member.batcher == nil {
			return
		}
		var results BatchResult
		sessionEnded := err == nil && answer.Code == keep.CodeSessionEnded
		if sessionEnded {
			err = keep.ErrSessionEnded
			member.open = false
		} else if err == nil {
			if pack.Unpack(answer.Body, &results) != nil {
				err = errResultCount
			}
		}
		delete(member.unanswered, message.command.Seq)
		member.batcher.HandleResponse(message.batch, &results, err, sessionEnded, sim.now)
	}
	if sim.now < member.stalledUntil {
		member.deferred = append(member.deferred, handle)
		return
	}
	handle()
}

// addRequest lets a request arrive at a member.
func (sim *simulation) addRequest(member *simMember) {
	onceOnly := sim.rng.IntN(4) == 0
	key := fmt.Sprint("k", sim.rng.IntN(sim.keys))
	if onceOnly {
		key = fmt.Sprint("o", sim.rng.IntN(40))
	}
	retention := dedupWindow + requestLifetime
	if onceOnly {
		retention = onceOnlyWindow + requestLifetime
	}
	request := &simRequest{member: member, deadline: sim.now + requestLifetime, details: Request{
		Pool: "p", Tariff: "t", IdempotencyKey: key, ID: key, OnceOnly: onceOnly, GroupScoped: !onceOnly,
		Retention: time.Duration(retention) * 102 / 100, ContractTime: time.Duration(requestLifetime),
		IsRetry: sim.rng.IntN(2) == 0,
	}}
	member.requests = append(member.requests, request)
}

// step does the next step of a request: wait, claim, send or finish.
func (sim *simulation) step(request *simRequest) {
	member := request.member
	if request.finished || sim.now < request.nextStep {
		return
	}
	if request.claim != nil {
		if !request.claim.settled && sim.now > request.waitingSince+claimTimeout {
			member.batcher.Abandon(request.claim)
			request.claim = nil
			sim.finish(request)
		}
		return
	}
	if request.inFlight > 0 {
		return
	}
	if request.answered || sim.now > request.deadline || !member.open || member.batcher.Unreachable(sim.now) ||
		request.mayHaveRun && sim.rng.IntN(2) == 0 || sim.rng.IntN(30) == 0 {
		sim.finish(request)
		return
	}
	if request.epoch == 0 && request.decision == nil {
		entry := request.refusal
		request.refusal = nil
		if entry == nil && request.details.IsRetry {
			if slot, found := sim.sm.slotByKey[request.details.Key()]; found {
				x := sim.sm.entry(&sim.sm.records[slot])
				entry = &x
			}
		}
		decision := Decide(&request.details, entry, Rules{WaitForHolder: true},
			time.Duration(sim.now-request.waitingSince), time.Duration(request.deadline-sim.now))
		switch decision.Action {
		case ActionSend:
			request.decision = &decision
		case ActionWait:
			request.nextStep, request.details.IsRetry = sim.now+int64(decision.Delay), true
			return
		default:
			sim.finish(request)
			return
		}
	}
	group := fmt.Sprint("g", sim.rng.IntN(3))
	if request.decision != nil && request.decision.Bound {
		group = request.decision.Group
	}
	if request.mayHaveRun {
		group = request.group
	}
	if request.details.OnceOnly {
		if request.mayHaveRun {
			sim.finish(request)
			return
		}
		group = ""
	}
	if request.epoch != 0 && request.group == group {
		sim.sendAttempt(request)
		return
	}
	request.waitingSince = sim.now
	request.claim = &PendingClaim{Op: Op{
		Kind: opClaim, Key: func() []byte { k := request.details.Key(); return k[:] }(), Attempt: request.attempt,
		Group: group, Movable: !request.mayHaveRun, OnceOnly: request.details.OnceOnly, Pool: "p",
		Tariff: "t", Retention: int64(request.details.Retention), RequestID: request.details.ID,
	}}
	pending := request.claim
	pending.Done = func(r Result, err error) {
		request.claim = nil
		switch {
		case err != nil:
			sim.finish(request)
		case r.Code == CodeGranted:
			request.epoch, request.attempt, request.group = member.epoch, pending.Op.Attempt, group
			sim.granted++
			sim.sendAttempt(request)
		default:
			request.decision, request.refusal = nil, r.AsEntry()
			if request.refusal == nil || request.epoch != 0 {
				sim.finish(request)
			}
		}
	}
	member.batcher.AddClaim(pending)
}

// sendAttempt sends an attempt to the claimed group before the deadline. It arrives and ends some time later.
func (sim *simulation) sendAttempt(request *simRequest) {
	if sim.now > request.deadline {
		sim.finish(request)
		return
	}
	request.inFlight++
	arriveAt := sim.now + sim.rng.Int64N(20*ms)
	endAt := arriveAt + sim.rng.Int64N(30*ms)
	runs := sim.rng.IntN(100) < 70
	responseLost := sim.rng.IntN(4) == 0
	sim.schedule(arriveAt, func() {
		if runs {
			sim.execute(request)
		}
	})
	sim.schedule(endAt, func() {
		finish := func() {
			request.inFlight--
			request.mayHaveRun = request.mayHaveRun || runs
			request.answered = request.answered || runs && !responseLost
		}
		if sim.now < request.member.stalledUntil {
			request.member.deferred = append(request.member.deferred, finish)
		} else {
			finish()
		}
	})
}

// timers are the events scheduled for a later time.
var timers []struct {
	at int64
	f  func()
}

func (sim *simulation) schedule(at int64, f func()) {
	timers = append(timers, struct {
		at int64
		f  func()
	}{at, f})
}

// execute runs an attempt at an upstream of the claimed group, and checks that no other group ran the request.
func (sim *simulation) execute(request *simRequest) {
	key := request.details.IdempotencyKey
	if start, found := sim.windowStart[key+"/"+request.group]; found && !request.details.OnceOnly && sim.now < start+dedupWindow {
		return // recognized as a retry, not run again
	}
	sim.windowStart[key+"/"+request.group] = sim.now
	sim.executed++
	for _, earlier := range sim.effects[key] {
		if request.details.OnceOnly && sim.now < earlier.at+onceOnlyWindow ||
			!request.details.OnceOnly && sim.now < earlier.at+dedupWindow {
			sim.fail("%s took effect in %q at %d ms and in %q at %d ms", key, earlier.group, earlier.at/ms, request.group, sim.now/ms)
		}
	}
	sim.effects[key] = append(sim.effects[key], effect{sim.now, request.group})
	if _, found := sim.sm.slotByKey[request.details.Key()]; !found {
		sim.fail("%s runs in %q but the ledger has no entry for it", key, request.group)
	}
}

// finish ends a request and releases its claim.
func (sim *simulation) finish(request *simRequest) {
	if request.finished || request.inFlight > 0 {
		return
	}
	request.finished = true
	outcome := OutcomeNeverRan
	if request.answered {
		outcome = OutcomeAnswered
	} else if request.mayHaveRun {
		outcome = OutcomeUnknown
	}
	if request.epoch != 0 && request.member.open && request.member.epoch == request.epoch {
		request.member.batcher.AddRelease(Op{Kind: opRelease,
			Key: func() []byte { k := request.details.Key(); return k[:] }(), Attempt: request.attempt, Outcome: outcome}, sim.now)
	}
}

// advance advances the time by up to 4 ms. If stable, no further faults and requests are added.
func (sim *simulation) advance(stable bool) {
	sim.now += sim.rng.Int64N(4 * ms)
	for i := 0; i < len(timers); i++ {
		if timers[i].at <= sim.now {
			f := timers[i].f
			timers = append(timers[:i:i], timers[i+1:]...)
			i--
			f()
		}
	}
	if body := sim.sm.Due(sim.now - sim.clockReportedAt); body != nil {
		sim.clockReportedAt = sim.now
		sim.apply(&keep.Command{Kind: keep.PartCommand, Part: StateMachineID, Body: body})
		if sim.faults.fastClock {
			sim.apply(&keep.Command{Kind: keep.PartCommand, Part: StateMachineID, Body: body})
			sim.apply(&keep.Command{Kind: keep.PartCommand, Part: StateMachineID, Body: body})
		}
	}
	sim.deliver()
	for _, member := range sim.members {
		if sim.now < member.stalledUntil {
			continue
		}
		for len(member.deferred) > 0 {
			f := member.deferred[0]
			member.deferred = member.deferred[1:]
			f()
		}
		for _, request := range member.requests {
			sim.step(request)
		}
		if member.batcher.BeginProbe(sim.now) {
			member.batcher.EndProbe(sim.rng.IntN(3) > 0 || stable)
		}
		sim.send(member)
		if !member.open {
			sim.startMember(member) // a new session; the requests of the old one are lost
		}
	}
	if stable {
		return
	}
	member := sim.members[sim.rng.IntN(len(sim.members))]
	switch d := sim.rng.IntN(400); {
	case d < 60 && sim.now >= member.stalledUntil && len(member.requests) < 500:
		sim.addRequest(member)
	case d < 62:
		sim.startMember(member) // crash and restart: the new session ends the old one
	case d < 65:
		member.stalledUntil = sim.now + sim.rng.Int64N(500*ms)
	case d < 70:
		if sim.faults.freeLostClaims {
			for holder, key := range sim.sm.openClaims {
				if sim.sm.names[holder.member] == member.name && holder.epoch == member.epoch {
					sim.sm.release(sim.sm.slotByKey[key], OutcomeNeverRan)
				}
			}
		}
		sim.state.Apply(sim.index+1, pack.Pack(&keep.Command{Kind: keep.EndSession, Target: member.name, Number: member.epoch,
			Token: sim.state.Duties[keep.SessionsDuty].Token, Member: "owner"}))
		sim.index++
	case d < 72:
		sim.clockReportedAt = sim.now // a new leader counts elapsed time from now on
	case d < 74:
		raw, checksum := sim.sm.Save(), sim.sm.checksum
		if err := sim.sm.Load(raw); err != nil || sim.sm.checksum != checksum || string(sim.sm.Save()) != string(raw) {
			sim.fail("loaded snapshot differs from the saved state: %v", err)
		}
	}
}

// runSchedule runs the schedule of a seed: random faults, then a stable phase in which all claims must end and all keys
// expire.
func runSchedule(seed uint64, faults injectedFaults) *simulation {
	timers = nil
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 41)), effects: map[string][]effect{},
		windowStart: map[string]int64{}, faults: faults}
	sim.keys = 3 + sim.rng.IntN(60)
	sim.sm = NewStateMachine(Guards{Fence: !faults.noFence}, 1)
	sim.state = keep.NewState("c", nil, map[byte]keep.Part{StateMachineID: sim.sm}, keep.SafetyChecks{Fencing: !faults.noFence, Deduplication: true})
	sim.state.Duties[keep.SessionsDuty] = &keep.Duty{Name: keep.SessionsDuty, Token: 1, Owner: "owner", Epoch: 1}
	for i := range 3 {
		member := &simMember{name: fmt.Sprint("m", i)}
		sim.members = append(sim.members, member)
		sim.startMember(member)
	}
	for range 600 + sim.rng.IntN(600) {
		if sim.advance(false); sim.failure != "" {
			return sim
		}
	}
	// Stable phase: all claims must end and all keys must expire.
	for range 900 {
		if sim.advance(true); sim.failure != "" {
			return sim
		}
	}
	for holder, key := range sim.sm.openClaims {
		sim.fail("%s is still held by %s, epoch %d, attempt %d", key, sim.sm.names[holder.member], holder.epoch, holder.number)
	}
	for i := 0; i < 60; i++ {
		sim.apply(&keep.Command{Kind: keep.PartCommand, Part: StateMachineID, Body: pack.Pack(&Batch{Elapsed: second})})
	}
	if len(sim.sm.slotByKey) > 0 || sim.sm.checksum != 0 || len(sim.sm.expiryBuckets) > 1 {
		sim.fail("%d keys never expire, checksum %x", len(sim.sm.slotByKey), sim.sm.checksum)
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

// TestSchedules guards against requests that run in two groups, once-only requests that run twice, executions without a
// ledger entry and claims that stay open, while commands are lost, delayed or duplicated and members stop, restart or
// lose their sessions.
func TestSchedules(t *testing.T) {
	granted, executed, n := 0, 0, scheduleCount(400)
	for seed := range uint64(n) {
		sim := runSchedule(seed, injectedFaults{})
		if sim.failure != "" {
			t.Fatalf("seed %d: %s", seed, sim.failure)
		}
		granted, executed = granted+sim.granted, executed+sim.executed
	}
	t.Logf("%d schedules: %d claims granted and %d effects in each", n, granted/n, executed/n)
	if granted/n < 15 || executed/n < 8 {
		t.Error("schedules grant too few claims or cause too few effects to be meaningful")
	}
}

// TestSchedulesDetectInjectedFaults checks that the schedules detect each injected fault.
func TestSchedulesDetectInjectedFaults(t *testing.T) {
	for _, variant := range []struct {
		name   string
		faults injectedFaults
	}{
		{"no fence", injectedFaults{noFence: true}}, {"claims of an ended session removed", injectedFaults{freeLostClaims: true}},
		{"late claims granted", injectedFaults{acceptLateClaims: true}}, {"clock too fast", injectedFaults{fastClock: true}},
	} {
		found, first, failure := 0, -1, ""
		for seed := range uint64(200 / raceDivisor) {
			if sim := runSchedule(seed, variant.faults); sim.failure != "" {
				if found++; first < 0 {
					first, failure = int(seed), sim.failure
				}
			}
		}
		t.Logf("%s: detected in %d of %d schedules, first with seed %d: %s", variant.name, found, 200/raceDivisor, first, failure)
		if found == 0 && raceDivisor == 1 {
			t.Errorf("%s is never detected", variant.name)
		}
	}
}
