// Package ledger is a replicated ledger of idempotency keys. It records where each request that must not run twice may
// be sent: a member claims the key at a consensus group before the first byte of the request leaves. StateMachine is
// the replicated state, Decide rules on retries, and Batcher tracks the operations of one member; none of them does I/O
// or reads a clock. Ledger runs them.
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

// StateMachineID identifies the ledger among the state machines of a consensus group.
const StateMachineID byte = 1

// Key identifies a request: a hash over its pool, customer, tariff and Idempotency-Key. Its size does not depend on the
// length of the Idempotency-Key.
type Key [16]byte

// KeyOf hashes the fields that identify a request. Each field is preceded by its length, so that ("ab", "c") and
// ("a", "bc") have different keys.
func KeyOf(fields ...string) (key Key) {
	hash := sha256.New()
	var length [8]byte
	for _, field := range fields {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		hash.Write(length[:])
		hash.Write([]byte(field))
	}
	return Key(hash.Sum(nil)[:16])
}

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Kinds of operations.
const (
	opClaim byte = iota + 1
	opRelease
)

// Outcomes of a claimed request.
const (
	OutcomeNeverRan byte = iota + 1 // provably, no attempt ran
	OutcomeAnswered                 // an upstream completed or rejected it
	OutcomeUnknown                  // an attempt may have run
)

// Op is one operation on the ledger: a claim or a release. Its attempt number is unique within the session of its
// member.
type Op struct {
	Kind      byte   `codec:"w"`
	Key       []byte `codec:"k"`
	Attempt   uint64 `codec:"n"`
	Group     string `codec:"g,omitempty"` // upstream group of the next attempt; "" if the request is not bound to a group
	Upstream  string `codec:"u,omitempty"` // upstream of that attempt; later attempts stay in the group
	Movable   bool   `codec:"m,omitempty"` // no attempt has run, so another group is allowed
	OnceOnly  bool   `codec:"o,omitempty"`
	Pool      string `codec:"p,omitempty"`
	Customer  string `codec:"c,omitempty"`
	Tariff    string `codec:"t,omitempty"`
	Retention int64  `codec:"f,omitempty"` // how long the key is kept, in nanoseconds
	RequestID string `codec:"i,omitempty"`
	BodyHash  uint64 `codec:"b,omitempty"` // 0 if bodies are not compared
	ClientKey string `codec:"l,omitempty"` // prefix of the key as the client sent it, for display
	Outcome   byte   `codec:"h,omitempty"`
}

// Batch is the body of a command.
type Batch struct {
	Ops          []Op   `codec:"o,omitempty"`
	MaxKeys      int    `codec:"m,omitempty"` // limit of keys in this consensus group; 0 for no limit
	Elapsed      int64  `codec:"p,omitempty"` // nanoseconds since the previous clock command
	LowWatermark uint64 `codec:"l,omitempty"` // claims below this attempt number that are not held were abandoned
}

// Result codes.
const (
	CodeGranted      byte = iota + 1
	CodeHeld              // another attempt holds the key and has not released it
	CodeBound             // the request may have run in another upstream group
	CodeMayHaveRun        // the request is once-only and may have run
	CodeBodyMismatch      // the key was used with another body
	CodeFull              // the limit of keys is reached
	CodeStale             // the sender does not hold the key, or abandoned the claim before it arrived
)

// Result is the result of one operation.
type Result struct {
	Code  byte   `codec:"c"`
	Group string `codec:"g,omitempty"`
}

// BatchResult is the body of an answer: one result for each operation of the batch.
type BatchResult struct {
	Results []Result `codec:"a"`
}

// attempt identifies one attempt of one member session. With number 0 it identifies the session.
type attempt struct {
	member        uint32 // name ID, 0 for none
	epoch, number uint64
}

// record is the state of one key.
type record struct {
	key                                       Key
	pool, customer, tariff                    uint32 // name IDs
	group                                     uint32
	onceOnly, mayHaveRun, answered, expirySet bool // expirySet: expiresAt is valid
	holder                                    attempt
	claimedAt, expiresAt, retention           int64 // logical time, in nanoseconds
	bodyHash                                  uint64
	requestID, clientKey, upstream            string
}

// Guards selects safety checks. Tests switch them off to show that the resulting faults are detected.
type Guards struct {
	Fence bool // refuse operations of attempts that no longer hold the key
}

// StateMachine is the ledger of one consensus group, replicated on each of its members.
type StateMachine struct {
	guards        Guards
	copyID        uint64 // random identifier of this copy, not part of the replicated state
	now           int64  // logical time in nanoseconds; never runs faster than any real clock
	records       []record
	freeSlots     []uint32
	slotByKey     map[Key]uint32
	names         []string // by name ID, from 1 on
	nameIDs       map[string]uint32
	openClaims    map[attempt]Key                 // claims that have not been released
	lowWatermarks map[attempt]uint64              // by session: claims below it arrive too late
	expiryBuckets map[int64][]Key                 // keys by the second in which they expire
	sweptUntil    int64                           // second before which all expired keys are removed
	unscheduled   []Key                           // claimed since the clock was last advanced
	checksum      uint64                          // XOR of the hashes of all records
	checksumLog   [checksumLogSize]loggedChecksum // checksums after the last commands, by log index
	resultCounts  map[string]int64                // by name of the result code, for metrics
}

// checksumLogSize is the number of last commands whose checksums are kept, for comparison between replicas.
const checksumLogSize = 1024

// loggedChecksum is the checksum after the command at a log index.
type loggedChecksum struct{ index, checksum uint64 }

const second = int64(1e9) // in nanoseconds

// clockGranularity is the minimum interval between two clock commands, in nanoseconds.
const clockGranularity = second / 2

// NewStateMachine returns an empty state machine. copyID is a random number that tells this copy from all others.
func NewStateMachine(guards Guards, copyID uint64) *StateMachine {
	sm := &StateMachine{guards: guards, copyID: copyID}
	sm.reset()
	return sm
}

// reset empties the state machine.
func (sm *StateMachine) reset() {
	sm.lowWatermarks = map[attempt]uint64{}
	sm.now, sm.sweptUntil, sm.records, sm.freeSlots, sm.unscheduled, sm.checksum, sm.checksumLog =
		0, 0, nil, nil, nil, 0, [checksumLogSize]loggedChecksum{}
	sm.slotByKey, sm.names, sm.nameIDs, sm.openClaims, sm.expiryBuckets, sm.resultCounts =
		map[Key]uint32{}, []string{""}, map[string]uint32{"": 0}, map[attempt]Key{}, map[int64][]Key{}, map[string]int64{}
}

// intern returns the ID of a name, assigning the next one to a new name.
func (sm *StateMachine) intern(text string) uint32 {
	id, found := sm.nameIDs[text]
	if !found {
		id = uint32(len(sm.names))
		sm.names, sm.nameIDs[text] = append(sm.names, text), id
	}
	return id
}

// Apply implements keep.Part: it applies the command at a log index.
func (sm *StateMachine) Apply(index uint64, command *keep.Command) keep.Result {
	var batch Batch
	if pack.Unpack(command.Body, &batch) != nil {
		return keep.Result{Code: keep.CodeNotFound}
	}
	defer func() { sm.checksumLog[index%checksumLogSize] = loggedChecksum{index, sm.checksum} }()
	if command.Member == "" { // a clock command of the consensus group itself
		sm.advanceClock(batch.Elapsed)
		return keep.Result{Code: keep.CodeOK}
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
	return keep.Result{Code: keep.CodeOK, Body: pack.Pack(&results)}
}

// codeNames are the names of the result codes in metrics and messages.
var codeNames = [...]string{"none", "granted", "held", "bound", "ran", "differs", "full", "stale"}

// applyOp applies one operation of a member's batch.
func (sm *StateMachine) applyOp(command *keep.Command, op *Op, maxKeys int) Result {
	claimant := attempt{sm.intern(command.Member), command.Epoch, op.Attempt}
	slot, found := sm.slotByKey[Key(op.Key)]
	if op.Kind == opRelease {
		if !found || sm.records[slot].holder != claimant &&
			(sm.guards.Fence || sm.records[slot].holder.member == 0 && !sm.records[slot].mayHaveRun) {
			// A former holder's "never ran" would free a key under which a newer holder has sent its request.
			return Result{Code: CodeStale}
		}
		sm.release(slot, op.Outcome)
		return Result{Code: CodeGranted}
	}
	if op.Kind != opClaim {
		return Result{}
	}
	if op.Attempt < sm.lowWatermarks[attempt{member: claimant.member, epoch: claimant.epoch}] &&
		(!found || sm.records[slot].holder != claimant) && sm.guards.Fence {
		return Result{Code: CodeStale} // its member abandoned this claim, so it would never be released
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
	case !sm.guards.Fence && op.Movable: // without the guard, any former holder may move the claim
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

// addRecord adds an empty record for a key and returns its slot.
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

// update changes a record and keeps the checksum in step.
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

// empty reports whether the slot is free or its record has not been claimed yet.
func (rec *record) empty() bool { return rec.retention == 0 }

// hash returns the hash of a record. It covers names instead of name IDs.
func (sm *StateMachine) hash(rec *record) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	digest.Write(rec.key[:])
	for _, text := range []string{sm.names[rec.pool], sm.names[rec.customer], sm.names[rec.tariff], sm.names[rec.group],
		sm.names[rec.holder.member], rec.requestID, rec.clientKey, rec.upstream} {
		digest.WriteString(text)
		digest.Write([]byte{0})
	}
	var raw [72]byte
	for i, value := range []uint64{rec.holder.epoch, rec.holder.number, uint64(rec.claimedAt), uint64(rec.expiresAt),
		uint64(rec.retention), rec.bodyHash, packFlags(rec.onceOnly, rec.mayHaveRun, rec.answered, rec.expirySet)} {
		binary.BigEndian.PutUint64(raw[8*i:], value)
	}
	digest.Write(raw[:])
	return digest.Sum64()
}

// packFlags packs flags into an integer, the first one into the lowest bit.
func packFlags(flags ...bool) (packed uint64) {
	for i, set := range flags {
		if set {
			packed |= 1 << i
		}
	}
	return packed
}

// grant makes an attempt the holder of a record. The retention starts anew, because this attempt may be the first one
// that runs.
func (sm *StateMachine) grant(slot uint32, claimant attempt, op *Op) {
	sm.update(slot, func(rec *record) {
		if rec.holder != claimant {
			delete(sm.openClaims, rec.holder)
		}
		sm.openClaims[claimant] = rec.key
		isNew := rec.empty()
		rec.holder, rec.group, rec.retention, rec.requestID, rec.upstream =
			claimant, sm.intern(op.Group), max(op.Retention, 1, rec.retention), op.RequestID, op.Upstream
		if isNew {
			rec.pool, rec.customer, rec.tariff, rec.onceOnly, rec.bodyHash, rec.clientKey =
				sm.intern(op.Pool), sm.intern(op.Customer), sm.intern(op.Tariff), op.OnceOnly, op.BodyHash, op.ClientKey
		}
		if isNew || rec.expirySet {
			rec.expirySet = false
			sm.unscheduled = append(sm.unscheduled, rec.key)
		}
	})
}

// release records the outcome of a claim. It removes the record if no attempt ever ran.
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

// remove removes a record and frees its slot.
func (sm *StateMachine) remove(slot uint32) {
	rec := &sm.records[slot]
	sm.checksum ^= sm.hash(rec)
	delete(sm.slotByKey, rec.key)
	delete(sm.openClaims, rec.holder)
	*rec = record{}
	sm.freeSlots = append(sm.freeSlots, slot)
}

// Ended implements keep.Part: it releases the claims of an ended session with an unknown outcome, since their requests
// may have been sent to their groups.
func (sm *StateMachine) Ended(index uint64, member string, epoch uint64) {
	memberID := sm.nameIDs[member]
	for holder, key := range sm.openClaims { // the order is irrelevant: the records are independent
		if holder.member == memberID && holder.epoch == epoch {
			sm.release(sm.slotByKey[key], OutcomeUnknown)
		}
	}
	delete(sm.lowWatermarks, attempt{member: memberID, epoch: epoch})
	sm.checksumLog[index%checksumLogSize] = loggedChecksum{index, sm.checksum}
}

// Due implements keep.TimedPart: it returns the clock command that is due after the elapsed nanoseconds, or nil.
func (sm *StateMachine) Due(elapsed int64) []byte {
	if len(sm.slotByKey) == 0 || elapsed < clockGranularity {
		return nil
	}
	return pack.Pack(&Batch{Elapsed: elapsed})
}

// advanceClock advances the logical time and removes expired records. The retention of keys that were claimed since the
// last advance starts now, because the elapsed time includes time from before their claim.
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
				continue // claimed again since, or the key has a new record
			} else if rec.holder.member != 0 { // still held: keep it, an attempt may be in flight
				sm.update(slot, func(rec *record) { rec.expiresAt = sm.now + second })
				sm.scheduleExpiry(rec)
				continue
			}
			sm.remove(slot)
		}
	}
}

// scheduleExpiry enters a record into the bucket of the second in which it expires.
func (sm *StateMachine) scheduleExpiry(rec *record) {
	sm.expiryBuckets[rec.expiresAt/second] = append(sm.expiryBuckets[rec.expiresAt/second], rec.key)
}

// snapshot is the encoded form of a StateMachine. Its fields are encoded under their own names.
type snapshot struct {
	Now     int64
	Swept   int64
	Names   []string
	Records []snapshotRecord
	Low     []snapshotWatermark
}

// snapshotWatermark is the low watermark of a session in a snapshot, encoded as an array.
type snapshotWatermark struct {
	//lint:ignore U1000 read by the codec: records are arrays
	_struct bool `codec:",toarray"`
	Member  uint32
	Epoch   uint64
	Low     uint64
}

// snapshotRecord is a record in a snapshot. It is encoded as an array, so the order of the fields is the format.
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

// Save implements keep.Part: it returns a snapshot.
func (sm *StateMachine) Save() []byte {
	snap := snapshot{Now: sm.now, Swept: sm.sweptUntil, Names: sm.names}
	snap.Records = make([]snapshotRecord, 0, len(sm.slotByKey))
	for i := range sm.records {
		if rec := &sm.records[i]; !rec.empty() {
			snap.Records = append(snap.Records, snapshotRecord{
				Key: rec.key[:], Pool: rec.pool, Customer: rec.customer, Tariff: rec.tariff, Group: rec.group,
				Flags:  packFlags(rec.onceOnly, rec.mayHaveRun, rec.answered, rec.expirySet),
				Member: rec.holder.member, Epoch: rec.holder.epoch, Attempt: rec.holder.number,
				ClaimedAt: rec.claimedAt, ExpiresAt: rec.expiresAt, Retention: rec.retention, BodyHash: rec.bodyHash,
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

// Load implements keep.Part: it replaces the state by that of a snapshot.
func (sm *StateMachine) Load(raw []byte) error {
	counts := sm.resultCounts
	sm.reset()
	sm.resultCounts, sm.copyID = counts, sm.copyID+1 // the slots of the records change
	if len(raw) == 0 {                               // written by a version without a ledger
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
			return fmt.Errorf("ledger snapshot is corrupt: a record has an invalid key or name ID")
		}
		slot := sm.addRecord(Key(saved.Key))
		sm.update(slot, func(rec *record) {
			*rec = record{
				key: Key(saved.Key), pool: saved.Pool, customer: saved.Customer, tariff: saved.Tariff,
				group: saved.Group, holder: attempt{saved.Member, saved.Epoch, saved.Attempt},
				onceOnly: saved.Flags&1 != 0, mayHaveRun: saved.Flags&2 != 0, answered: saved.Flags&4 != 0,
				expirySet: saved.Flags&8 != 0,
				claimedAt: saved.ClaimedAt, expiresAt: saved.ExpiresAt, retention: max(saved.Retention, 1),
				bodyHash: saved.BodyHash, requestID: saved.RequestID, clientKey: saved.ClientKey, upstream: saved.Upstream,
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
