package ledger

import "time"

// Ask is a transaction that must not run twice, or only where its repeats are known.
type Ask struct {
	Pool, Customer, Tariff string
	Tag, ID                string // Idempotency-Key, "" for none; X-Txn
	Once                   bool
	Binds                  bool          // it is known within a group of upstreams only
	Keep                   time.Duration // that it is remembered for
	Contract               time.Duration // within which an answer earns all
	Body                   uint64
	Again                  bool // its client says that it has asked before
}

// Key is what it is known by. A once-only transaction without a key is known by its id.
func (a *Ask) Key() Key {
	if a.Tag == "" {
		return KeyOf("id", a.Pool, a.Customer, a.Tariff, a.ID)
	}
	return KeyOf("tag", a.Pool, a.Customer, a.Tariff, a.Tag)
}

// Fates of a transaction.
const (
	Go      byte = iota + 1 // it may be sent; to its group, if it has one
	Wait                    // for another try of it to end
	Defer                   // trying again is harmless
	Forfeit                 // it may have run, and must not run again
	Refuse                  // its key stands for another body
)

// Word is what a transaction may do.
type Word struct {
	Fate  byte
	Group string // Go: where another try of it may have run; "" for anywhere
	Bound bool
	Pause time.Duration // Wait: until the next look
}

// Rules are what decides beside what the ledger holds.
type Rules struct {
	Waits    bool // a repeat waits for the first try's end; else it is deferred
	SameBody bool // a key stands for one body
}

const (
	firstLook = 4 * time.Millisecond // at a try that is out; then twice as long each time
	lastLook  = 128 * time.Millisecond
	patience  = 3 // part of its contract time, or of what is left of that, for which a repeat waits
)

// Decide says what a transaction may do, by what the ledger holds of its key; nil for nothing. It waited for so long already.
func Decide(a *Ask, e *Entry, r Rules, waited, left time.Duration) Word {
	switch {
	case e == nil:
		return Word{Fate: Go}
	case e.State == names[Full]:
		return Word{Fate: Defer}
	case e.State == names[Differs] || r.SameBody && a.Body != 0 && e.Body != 0 && a.Body != e.Body:
		return Word{Fate: Refuse}
	case e.State == Open && a.Once && e.Mays:
		return Word{Fate: Forfeit}
	case e.State == Open:
		// Danger: in two hands it would run where neither knows the other. What waits longer would be answered late, while a
		// deferral costs its client one more try.
		pause := min(max(firstLook, waited), lastLook)
		if !r.Waits || waited+pause > min(a.Contract, left)/patience {
			return Word{Fate: Defer}
		}
		return Word{Fate: Wait, Pause: pause}
	case a.Once:
		return Word{Fate: Forfeit}
	case !a.Binds:
		return Word{Fate: Go}
	}
	return Word{Fate: Go, Group: e.Group, Bound: true}
}

// Of is what a claim's result says of its key, as far as Decide asks.
func (r Res) Of() *Entry {
	switch r.Code {
	case Held:
		return &Entry{State: Open, Group: r.Group}
	case BoundTo, Ran:
		return &Entry{State: Unknown, Group: r.Group}
	case Differs, Full:
		return &Entry{State: names[r.Code]}
	}
	return nil
}
