// Package ledger keeps what must not run twice: where each tagged and once-only transaction may go, claimed at the keepers
// before its first byte leaves. Book is what keepers agree on, Decide what a repeat may do, Core what a member has under way;
// none of them has I/O or a clock. Ledger is the runner.
package ledger

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ottershift/internal/cluster/keep"
	"ottershift/internal/cluster/pack"
)

// StateMachineID is the ledger's number among the parts of what is agreed.
const StateMachineID byte = 1

// Key is what a transaction is known by: a sum of its pool, customer, tariff and Idempotency-Key, however long that is.
type Key [16]byte

// KeyOf is the key of a transaction.
func KeyOf(fields ...string) (key Key) {
	hash := sha256.New()
	var length [8]byte
	for _, field := range fields {
		binary.BigEndian.PutUint64(length[:], uint64(len(field))) // danger: "ab", "c" is not "a", "bc"
		hash.Write(length[:])
		hash.Write([]byte(field))
	}
	return Key(hash.Sum(nil)[:16])
}

func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Kinds of op.
const (
	opClaim byte = iota + 1
	opRelease
)

// Ends of a claim.
const (
	OutcomeNeverRan byte = iota + 1 // no push of it ran, provably
	OutcomeAnswered                 // an upstream settled or rejected it
	OutcomeUnknown                  // it may have run
)

// Op is one line for the ledger. Its number tells it apart from all others of its member's run.
type Op struct {
	Kind      byte   `codec:"w"`
	Key       []byte `codec:"k"`
	Attempt   uint64 `codec:"n"`
	Group     string `codec:"g,omitempty"` // that the next push goes to, "" where that binds nothing
	Upstream  string `codec:"u,omitempty"` // upstream of that push; those after it go to the same group
	Movable   bool   `codec:"m,omitempty"` // no push of it has run, so it may go to another group
	OnceOnly  bool   `codec:"o,omitempty"`
	Pool      string `codec:"p,omitempty"`
	Customer  string `codec:"c,omitempty"`
	Tariff    string `codec:"t,omitempty"`
	Retention int64  `codec:"f,omitempty"` // nanoseconds that it is remembered for
	RequestID string `codec:"i,omitempty"`
	BodyHash  uint64 `codec:"b,omitempty"` // sum of its body, 0 where nobody compares
	ClientKey string `codec:"l,omitempty"` // the key as its client wrote it, or the beginning of it
	Outcome   byte   `codec:"h,omitempty"`
}

// Batch is a command's body.
type Batch struct {
	Ops          []Op   `codec:"o,omitempty"`
	MaxKeys      int    `codec:"m,omitempty"` // keys that may be remembered in this group
	Elapsed      int64  `codec:"p,omitempty"` // nanoseconds that have passed
	LowWatermark uint64 `codec:"l,omitempty"` // claims under this number that aren't held are none any more
}

// Codes of results.
const (
	CodeGranted      byte = iota + 1
	CodeHeld              // another has it, and has not said how it ended
	CodeBound             // it may have run in another group
	CodeMayHaveRun        // once-only, and may have run
	CodeBodyMismatch      // another body came under this key
	CodeFull              // too many keys are remembered
	CodeStale             // by somebody who doesn't hold it, or had given it up before it came
)

// Result is what became of an op.
type Result struct {
	Code  byte   `codec:"c"`
	Group string `codec:"g,omitempty"`
}

// BatchResult are an answer's body.
type BatchResult struct {
	Results []Result `codec:"a"`
}

// attempt is one attempt of one member's run.
type attempt struct {
	member        uint32 // name by number, 0 for nobody
	epoch, number uint64
}

// record is a key that is remembered.
type record struct {
	key                                       Key
	pool, customer, tariff                    uint32 // names by number
	group                                     uint32
	onceOnly, mayHaveRun, answered, expirySet bool // may: it may have run; counted: until holds
	holder                                    attempt
	claimedAt, expiresAt, retention           int64 // by the ledger's own time
	bodyHash                                  uint64
	requestID, clientKey, upstream            string
}

// Guards are what variants leave out.
type Guards struct{ Fence bool }

// StateMachine is the ledger of one group of keepers: the same at each of them.
type StateMachine struct {
	guards        Guards
	copyID        uint64 // which one this is, by chance; no part of what is agreed
	now           int64  // the ledger's own time: never faster than any real one
	records       []record
	freeSlots     []uint32
	slotByKey     map[Key]uint32
	names         []string // by number, from 1 on
	nameIDs       map[string]uint32
	openClaims    map[attempt]Key                 // attempts that have not ended
	lowWatermarks map[attempt]uint64              // by run: claims under it come too late
	expiryBuckets map[int64][]Key                 // by the second in which they end
	sweptUntil    int64                           // second up to which all that ended is gone
	unscheduled   []Key                           // claimed since time passed last
	checksum      uint64                          // of all records
	checksumLog   [checksumLogSize]loggedChecksum // sums after the last commands
	resultCounts  map[string]int64                // of results, for figures
}

const checksumLogSize = 1024

type loggedChecksum struct{ index, checksum uint64 }

const second = int64(1e9)

// clockGranularity is how often time is told, at the least.
const clockGranularity = second / 2

// NewStateMachine makes an empty one; copy is a number that no other copy has, as far as chance goes.
func NewStateMachine(guards Guards, copyID uint64) *StateMachine {
	sm := &StateMachine{guards: guards, copyID: copyID}
	sm.reset()
	return sm
}

func (sm *StateMachine) reset() {
	sm.lowWatermarks = map[attempt]uint64{}
	sm.now, sm.sweptUntil, sm.records, sm.freeSlots, sm.unscheduled, sm.checksum, sm.checksumLog = 0, 0, nil, nil, nil, 0, [checksumLogSize]loggedChecksum{}
	sm.slotByKey, sm.names, sm.nameIDs, sm.openClaims, sm.expiryBuckets, sm.resultCounts = map[Key]uint32{}, []string{""}, map[string]uint32{"": 0}, map[attempt]Key{}, map[int64][]Key{}, map[string]int64{}
}

func (sm *StateMachine) intern(text string) uint32 {
	id, found := sm.nameIDs[text]
	if !found {
		id = uint32(len(sm.names))
		sm.names, sm.nameIDs[text] = append(sm.names, text), id
	}
	return id
}

// Apply implements keep.Part.
func (sm *StateMachine) Apply(index uint64, command *keep.Command) keep.Answer {
	var batch Batch
	if pack.Unpack(command.Body, &batch) != nil {
		return keep.Answer{Code: keep.ErrNone}
	}
	defer func() { sm.checksumLog[index%checksumLogSize] = loggedChecksum{index, sm.checksum} }()
	if command.Member == "" { // a keeper's own
		sm.advanceClock(batch.Elapsed)
		return keep.Answer{Code: keep.OK}
	}
	results := BatchResult{Results: make([]Result, len(batch.Ops))}
	session := attempt{member: sm.intern(command.Member), epoch: command.Epoch}
	sm.lowWatermarks[session] = max(sm.lowWatermarks[session], batch.LowWatermark)
	for i := range batch.Ops {
		if op := &batch.Ops[i]; len(op.Key) == len(Key{}) {
			results.Results[i] = sm.applyOp(command, op, batch.MaxKeys)
			sm.resultCounts[codeNames[results.Results[i].Code]]++
		}
	}
	return keep.Answer{Code: keep.OK, Body: pack.Pack(&results)}
}

var codeNames = [...]string{"none", "granted", "held", "bound", "ran", "differs", "full", "stale"}

func (sm *StateMachine) applyOp(command *keep.Command, op *Op, maxKeys int) Result {
	claimant := attempt{sm.intern(command.Member), command.Epoch, op.Attempt}
	slot, found := sm.slotByKey[Key(op.Key)]
	if op.Kind == opRelease {
		if !found || sm.records[slot].holder != claimant && (sm.guards.Fence || sm.records[slot].holder.member == 0 && !sm.records[slot].mayHaveRun) {
			return Result{Code: CodeStale} // danger: an old holder's "never ran" would free what a newer one has sent
		}
		sm.release(slot, op.Outcome)
		return Result{Code: CodeGranted}
	}
	if op.Kind != opClaim {
		return Result{}
	}
	if op.Attempt < sm.lowWatermarks[attempt{member: claimant.member, epoch: claimant.epoch}] && (!found || sm.records[slot].holder != claimant) && sm.guards.Fence {
		return Result{Code: CodeStale} // danger: its member has given it up; nobody would ever end it
	}
	if !found {
		if len(sm.slotByKey) >= maxKeys && maxKeys > 0 {
			return Result{Code: CodeFull}
		}
		sm.grant(sm.addRecord(Key(op.Key)), claimant, op)
		return Result{Code: CodeGranted, Group: op.Group}
	}
	rec := &sm.records[slot]
	group := sm.names[rec.group]
	switch {
	case rec.holder == claimant && (op.Group == group || op.Movable && !rec.mayHaveRun):
		sm.grant(slot, claimant, op)
	case !sm.guards.Fence && op.Movable: // danger: who held it once moves it on, whatever came after
		sm.grant(slot, claimant, op)
	case rec.holder == claimant:
		return Result{Code: CodeBound, Group: group}
	case rec.holder.member != 0:
		return Result{Code: CodeHeld, Group: group}
	case rec.bodyHash != 0 && op.BodyHash != 0 && rec.bodyHash != op.BodyHash:
		return Result{Code: CodeBodyMismatch}
	case rec.onceOnly:
		return Result{Code: CodeMayHaveRun}
	case group != op.Group:
		return Result{Code: CodeBound, Group: group}
	default:
		sm.grant(slot, claimant, op)
	}
	return Result{Code: CodeGranted, Group: op.Group}
}

// addRecord makes room for a key.
func (sm *StateMachine) addRecord(key Key) (slot uint32) {
	if len(sm.freeSlots) > 0 {
		slot = sm.freeSlots[len(sm.freeSlots)-1]
		sm.freeSlots = sm.freeSlots[:len(sm.freeSlots)-1]
	} else {
		slot = uint32(len(sm.records))
		sm.records = append(sm.records, record{})
	}
	sm.records[slot] = record{key: key}
	sm.slotByKey[key] = slot
	return slot
}

// update has a record changed, with the sum over all.
func (sm *StateMachine) update(slot uint32, mutate func(rec *record)) {
	rec := &sm.records[slot]
	if !rec.empty() {
		sm.checksum ^= sm.hash(rec)
	}
	mutate(rec)
	if !rec.empty() {
		sm.checksum ^= sm.hash(rec)
	}
}

func (rec *record) empty() bool { return rec.retention == 0 }

func (sm *StateMachine) hash(rec *record) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	digest.Write(rec.key[:])
	for _, text := range []string{sm.names[rec.pool], sm.names[rec.customer], sm.names[rec.tariff], sm.names[rec.group], sm.names[rec.holder.member], rec.requestID, rec.clientKey, rec.upstream} {
		digest.WriteString(text)
		digest.Write([]byte{0})
	}
	var raw [72]byte
	for i, value := range []uint64{rec.holder.epoch, rec.holder.number, uint64(rec.claimedAt), uint64(rec.expiresAt), uint64(rec.retention), rec.bodyHash, packFlags(rec.onceOnly, rec.mayHaveRun, rec.answered, rec.expirySet)} {
		binary.BigEndian.PutUint64(raw[8*i:], value)
	}
	digest.Write(raw[:])
	return digest.Sum64()
}

func packFlags(flags ...bool) (packed uint64) {
	for i, set := range flags {
		if set {
			packed |= 1 << i
		}
	}
	return packed
}

// grant has an attempt hold a record. Its time runs anew: a push of this one may be the first that runs.
func (sm *StateMachine) grant(slot uint32, claimant attempt, op *Op) {
	sm.update(slot, func(rec *record) {
		if rec.holder != claimant {
			delete(sm.openClaims, rec.holder)
		}
		sm.openClaims[claimant] = rec.key
		isNew := rec.empty()
		rec.holder, rec.group, rec.retention, rec.requestID, rec.upstream = claimant, sm.intern(op.Group), max(op.Retention, 1, rec.retention), op.RequestID, op.Upstream
		if isNew {
			rec.pool, rec.customer, rec.tariff, rec.onceOnly, rec.bodyHash, rec.clientKey = sm.intern(op.Pool), sm.intern(op.Customer), sm.intern(op.Tariff), op.OnceOnly, op.BodyHash, op.ClientKey
		}
		if isNew || rec.expirySet {
			rec.expirySet = false
			sm.unscheduled = append(sm.unscheduled, rec.key)
		}
	})
}

// release lets go of a record.
func (sm *StateMachine) release(slot uint32, outcome byte) {
	delete(sm.openClaims, sm.records[slot].holder)
	if outcome == OutcomeNeverRan && !sm.records[slot].mayHaveRun {
		sm.remove(slot)
		return
	}
	sm.update(slot, func(rec *record) {
		rec.holder = attempt{}
		rec.mayHaveRun, rec.answered = rec.mayHaveRun || outcome != OutcomeNeverRan, rec.answered || outcome == OutcomeAnswered
	})
}

func (sm *StateMachine) remove(slot uint32) {
	rec := &sm.records[slot]
	sm.checksum ^= sm.hash(rec)
	delete(sm.slotByKey, rec.key)
	delete(sm.openClaims, rec.holder)
	*rec = record{}
	sm.freeSlots = append(sm.freeSlots, slot)
}

// Ended implements keep.Part: what a lost run held was sent to its group, and nobody knows the answer.
func (sm *StateMachine) Ended(index uint64, member string, epoch uint64) {
	memberID := sm.nameIDs[member]
	for holder, key := range sm.openClaims { // in any order: none touches another
		if holder.member == memberID && holder.epoch == epoch {
			sm.release(sm.slotByKey[key], OutcomeUnknown)
		}
	}
	delete(sm.lowWatermarks, attempt{member: memberID, epoch: epoch})
	sm.checksumLog[index%checksumLogSize] = loggedChecksum{index, sm.checksum}
}

// Due implements keep.Clocked.
func (sm *StateMachine) Due(elapsed int64) []byte {
	if len(sm.slotByKey) == 0 || elapsed < clockGranularity {
		return nil
	}
	return pack.Pack(&Batch{Elapsed: elapsed})
}

// advanceClock passes time. What was claimed since it was told last counts from now on: the time told includes some from before it.
func (sm *StateMachine) advanceClock(elapsed int64) {
	sm.now += max(elapsed, 0)
	for _, key := range sm.unscheduled {
		if slot, found := sm.slotByKey[key]; found && !sm.records[slot].expirySet {
			sm.update(slot, func(rec *record) {
				if rec.claimedAt == 0 {
					rec.claimedAt = sm.now
				}
				rec.expiresAt, rec.expirySet = sm.now+rec.retention, true
			})
			sm.scheduleExpiry(&sm.records[slot])
		}
	}
	sm.unscheduled = sm.unscheduled[:0]
	for ; sm.sweptUntil < sm.now/second; sm.sweptUntil++ {
		if len(sm.expiryBuckets) == 0 {
			sm.sweptUntil = sm.now / second
			break
		}
		keys := sm.expiryBuckets[sm.sweptUntil]
		delete(sm.expiryBuckets, sm.sweptUntil)
		for _, key := range keys {
			slot, found := sm.slotByKey[key]
			if rec := &sm.records[slot]; !found || !rec.expirySet || rec.expiresAt/second != sm.sweptUntil {
				continue // it was claimed anew, or is another's by now
			} else if rec.holder.member != 0 { // danger: it is out yet
				sm.update(slot, func(rec *record) { rec.expiresAt = sm.now + second })
				sm.scheduleExpiry(rec)
				continue
			}
			sm.remove(slot)
		}
	}
}

func (sm *StateMachine) scheduleExpiry(rec *record) {
	sm.expiryBuckets[rec.expiresAt/second] = append(sm.expiryBuckets[rec.expiresAt/second], rec.key)
}

// snapshot is a snapshot's.
type snapshot struct {
	Now     int64
	Swept   int64
	Names   []string
	Records []snapshotRecord
	Low     []snapshotWatermark
}

type snapshotWatermark struct {
	//lint:ignore U1000 read by the codec: records are arrays
	_struct bool `codec:",toarray"`
	Member  uint32
	Epoch   uint64
	Low     uint64
}

// snapshotRecord is a record in a snapshot, as an array.
type snapshotRecord struct {
	//lint:ignore U1000 read by the codec: records are arrays
	_struct                         bool `codec:",toarray"`
	Key                             []byte
	Pool, Customer, Tariff          uint32
	Group                           uint32
	Flags                           uint64
	Member                          uint32
	Epoch, Attempt                  uint64
	ClaimedAt, ExpiresAt, Retention int64
	BodyHash                        uint64
	RequestID, ClientKey, Upstream  string
}

// Save implements keep.Part.
func (sm *StateMachine) Save() []byte {
	snap := snapshot{Now: sm.now, Swept: sm.sweptUntil, Names: sm.names}
	snap.Records = make([]snapshotRecord, 0, len(sm.slotByKey))
	for i := range sm.records {
		if rec := &sm.records[i]; !rec.empty() {
			snap.Records = append(snap.Records, snapshotRecord{
				Key: rec.key[:], Pool: rec.pool, Customer: rec.customer, Tariff: rec.tariff, Group: rec.group, Flags: packFlags(rec.onceOnly, rec.mayHaveRun, rec.answered, rec.expirySet),
				Member: rec.holder.member, Epoch: rec.holder.epoch, Attempt: rec.holder.number, ClaimedAt: rec.claimedAt, ExpiresAt: rec.expiresAt, Retention: rec.retention, BodyHash: rec.bodyHash,
				RequestID: rec.requestID, ClientKey: rec.clientKey, Upstream: rec.upstream,
			})
		}
	}
	for session, watermark := range sm.lowWatermarks {
		snap.Low = append(snap.Low, snapshotWatermark{Member: session.member, Epoch: session.epoch, Low: watermark})
	}
	slices.SortFunc(snap.Low, func(x, y snapshotWatermark) int {
		return cmp.Or(cmp.Compare(x.Member, y.Member), cmp.Compare(x.Epoch, y.Epoch))
	})
	return pack.Pack(&snap)
}

// Load implements keep.Part.
func (sm *StateMachine) Load(raw []byte) error {
	counts := sm.resultCounts
	sm.reset()
	sm.resultCounts, sm.copyID = counts, sm.copyID+1 // records stand elsewhere now
	if len(raw) == 0 {                               // of a build that knew no ledger
		return nil
	}
	var snap snapshot
	if err := pack.Unpack(raw, &snap); err != nil {
		return err
	}
	sm.now, sm.sweptUntil = snap.Now, snap.Swept
	for _, text := range snap.Names[min(1, len(snap.Names)):] {
		sm.intern(text)
	}
	for _, saved := range snap.Low {
		sm.lowWatermarks[attempt{member: saved.Member, epoch: saved.Epoch}] = saved.Low
	}
	valid := func(nameIDs ...uint32) bool { return int(slices.Max(nameIDs)) < len(sm.names) }
	for _, saved := range snap.Records {
		if len(saved.Key) != len(Key{}) || !valid(saved.Pool, saved.Customer, saved.Tariff, saved.Group, saved.Member) {
			return fmt.Errorf("a record of the ledger is spoilt")
		}
		slot := sm.addRecord(Key(saved.Key))
		sm.update(slot, func(rec *record) {
			*rec = record{
				key: Key(saved.Key), pool: saved.Pool, customer: saved.Customer, tariff: saved.Tariff, group: saved.Group, holder: attempt{saved.Member, saved.Epoch, saved.Attempt},
				onceOnly: saved.Flags&1 != 0, mayHaveRun: saved.Flags&2 != 0, answered: saved.Flags&4 != 0, expirySet: saved.Flags&8 != 0,
				claimedAt: saved.ClaimedAt, expiresAt: saved.ExpiresAt, retention: max(saved.Retention, 1), bodyHash: saved.BodyHash, requestID: saved.RequestID, clientKey: saved.ClientKey, upstream: saved.Upstream,
			}
		})
		rec := &sm.records[slot]
		if rec.holder.member != 0 {
			sm.openClaims[rec.holder] = rec.key
		}
		if rec.expirySet {
			sm.scheduleExpiry(rec)
		} else {
			sm.unscheduled = append(sm.unscheduled, rec.key)
		}
	}
	return nil
}
