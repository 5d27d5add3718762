package ledger

import "time"

// Request is a transaction that must not run twice, or only where its repeats are known.
type Request struct {
	Pool, Customer, Tariff string
	IdempotencyKey, ID     string // Idempotency-Key, "" for none; X-Txn
	OnceOnly               bool
	GroupScoped            bool          // it is known within a group of upstreams only
	Retention              time.Duration // that it is remembered for
	ContractTime           time.Duration // within which an answer earns all
	BodyHash               uint64
	IsRetry                bool // its client says that it has asked before
}

// Key is what it is known by. A once-only transaction without a key is known by its id.
func (req *Request) Key() Key {
	if req.IdempotencyKey == "" {
		return KeyOf("id", req.Pool, req.Customer, req.Tariff, req.ID)
	}
	return KeyOf("tag", req.Pool, req.Customer, req.Tariff, req.IdempotencyKey)
}

// Fates of a transaction.
const (
	ActionSend    byte = iota + 1 // it may be sent; to its group, if it has one
	ActionWait                    // for another try of it to end
	ActionDefer                   // trying again is harmless
	ActionForfeit                 // it may have run, and must not run again
	ActionRefuse                  // its key stands for another body
)

// Decision is what a transaction may do.
type Decision struct {
	Action byte
	Group  string // Go: where another try of it may have run; "" for anywhere
	Bound  bool
	Delay  time.Duration // Wait: until the next look
}

// Rules are what decides beside what the ledger holds.
type Rules struct {
	WaitForHolder   bool // a repeat waits for the first try's end; else it is deferred
	RequireSameBody bool // a key stands for one body
}

const (
	initialPollDelay = 4 * time.Millisecond // at a try that is out; then twice as long each time
	maxPollDelay     = 128 * time.Millisecond
	waitDivisor      = 3 // part of its contract time, or of what is left of that, for which a repeat waits
)

// Decide says what a transaction may do, by what the ledger holds of its key; nil for nothing. It waited for so long already.
func Decide(req *Request, entry *Entry, rules Rules, waited, remaining time.Duration) Decision {
	switch {
	case entry == nil:
		return Decision{Action: ActionSend}
	case entry.State == codeNames[CodeFull]:
		return Decision{Action: ActionDefer}
	case entry.State == codeNames[CodeBodyMismatch] || rules.RequireSameBody && req.BodyHash != 0 && entry.BodyHash != 0 && req.BodyHash != entry.BodyHash:
		return Decision{Action: ActionRefuse}
	case entry.State == StateOpen && req.OnceOnly && entry.MayHaveRun:
		return Decision{Action: ActionForfeit}
	case entry.State == StateOpen:
		// Danger: in two hands it would run where neither knows the other. What waits longer would be answered late, while a
		// deferral costs its client one more try.
		delay := min(max(initialPollDelay, waited), maxPollDelay)
		if !rules.WaitForHolder || waited+delay > min(req.ContractTime, remaining)/waitDivisor {
			return Decision{Action: ActionDefer}
		}
		return Decision{Action: ActionWait, Delay: delay}
	case req.OnceOnly:
		return Decision{Action: ActionForfeit}
	case !req.GroupScoped:
		return Decision{Action: ActionSend}
	}
	return Decision{Action: ActionSend, Group: entry.Group, Bound: true}
}

// AsEntry is what a claim's result says of its key, as far as Decide asks.
func (res Result) AsEntry() *Entry {
	switch res.Code {
	case CodeHeld:
		return &Entry{State: StateOpen, Group: res.Group}
	case CodeBound, CodeMayHaveRun:
		return &Entry{State: StateUnknown, Group: res.Group}
	case CodeBodyMismatch, CodeFull:
		return &Entry{State: codeNames[res.Code]}
	}
	return nil
}
