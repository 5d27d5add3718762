package ledger

import "time"

// Request is a request that must not run twice, or only where its retries are recognized.
type Request struct {
	Pool, Customer, Tariff string
	IdempotencyKey, ID     string // Idempotency-Key header, "" for none; X-Txn header
	OnceOnly               bool
	GroupScoped            bool          // retries are recognized only within one upstream group
	Retention              time.Duration // how long its key is kept
	ContractTime           time.Duration // response time for which the full price is paid
	BodyHash               uint64
	IsRetry                bool // the client marks it as a retry
}

// Key returns the key of the request. A once-only request without an Idempotency-Key is identified by its ID.
func (req *Request) Key() Key {
	if req.IdempotencyKey == "" {
		return KeyOf("id", req.Pool, req.Customer, req.Tariff, req.ID)
	}
	return KeyOf("tag", req.Pool, req.Customer, req.Tariff, req.IdempotencyKey)
}

// Actions that Decide may choose for a request.
const (
	ActionSend    byte = iota + 1 // send it, within Decision.Group if the decision is bound
	ActionWait                    // wait until another attempt ends, then decide again
	ActionDefer                   // the client may safely retry later
	ActionForfeit                 // give it up: it may have run and must not run again
	ActionRefuse                  // refuse it: its key was used with another body
)

// Decision says what to do with a request.
type Decision struct {
	Action byte
	Group  string // for ActionSend if Bound: the group in which an earlier attempt may have run
	Bound  bool
	Delay  time.Duration // for ActionWait: time until the next lookup
}

// Rules are the settings that Decide follows.
type Rules struct {
	WaitForHolder   bool // a retry waits until the first attempt ends; otherwise it is deferred
	RequireSameBody bool // a key may be used with one body only
}

const (
	initialPollDelay = 4 * time.Millisecond // before the first lookup of an open claim; later delays equal the time waited so far
	maxPollDelay     = 128 * time.Millisecond
	waitDivisor      = 3 // a retry waits for at most this fraction (1/3) of its contract time or of its remaining time
)

// Decide decides what to do with a request. entry is what the ledger holds for its key, nil for nothing; waited is how
// long the request has waited already, remaining the time left for it.
func Decide(req *Request, entry *Entry, rules Rules, waited, remaining time.Duration) Decision {
	switch {
	case entry == nil:
		return Decision{Action: ActionSend}
	case entry.State == codeNames[CodeFull]:
		return Decision{Action: ActionDefer}
	case entry.State == codeNames[CodeBodyMismatch] || rules.RequireSameBody && req.BodyHash != 0 &&
		entry.BodyHash != 0 && req.BodyHash != entry.BodyHash:
		return Decision{Action: ActionRefuse}
	case entry.State == StateOpen && req.OnceOnly && entry.MayHaveRun:
		return Decision{Action: ActionForfeit}
	case entry.State == StateOpen:
		// While another attempt is open, sending the request could run it in two places that do not know of each other.
		// A longer wait would make the response late, while a deferral costs the client only one more retry.
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

// AsEntry returns what the result of a refused claim says about its key, as far as Decide needs it; nil for nothing.
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
