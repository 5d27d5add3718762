package link

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"
)

// Errors of calls without a response. After ErrNotSent no byte of the request left this process; after ErrOutcomeUnknown
// the peer may have executed it.
var (
	ErrOverloaded     = errors.New("too many pending calls or connections")
	ErrNotSent        = errors.New("request not sent")
	ErrOutcomeUnknown = errors.New("outcome unknown: connection lost or timed out after the request was sent")
	ErrRefused        = errors.New("request refused by the peer before it was started")
	ErrHandlerFailed  = errors.New("request failed at the peer")
)

// Limits of one Caller.
const (
	MaxQueued          = 256     // calls not yet sent
	MaxInFlight        = 64      // calls sent and not yet answered
	MaxInFlightBytes   = 1 << 20 // total body size of the calls in flight
	returnMarginMillis = 2       // part of the deadline reserved for the response's way back
	minBackoff         = int64(50 * time.Millisecond)
	maxBackoff         = int64(2 * time.Second)
	silenceTimeout     = int64(5 * time.Second) // without received frames while calls are in flight; then the connection is closed
)

// Caller is the client side of the calls from one member to another, over a connection that may be lost and reopened.
// It is a state machine without I/O or clock; times are nanoseconds on the clock of the program that drives it.
type Caller struct {
	rng    *rand.Rand
	lastID uint64

	connected bool
	dialing   bool
	nextDial  int64 // earliest time of the next dial
	backoff   int64
	lastHeard int64 // last response on this connection, the time it was opened, or the time calls went in flight again

	queue         []*PendingCall
	inFlight      map[uint64]*PendingCall
	inFlightBytes int // total body size of inFlight
}

// PendingCall is a call that has not completed.
type PendingCall struct {
	ID       uint64
	Method   uint16
	Body     []byte
	Deadline int64
	Done     func(body []byte, err error) // called exactly once; nil for one-way calls
}

// NewCaller returns a Caller without a connection. The seed drives the jitter of the reconnect backoff.
func NewCaller(seed uint64) *Caller {
	return &Caller{rng: rand.New(rand.NewPCG(seed, 0x11)), inFlight: map[uint64]*PendingCall{}, backoff: minBackoff}
}

// Enqueue queues a call, or returns an error at once; done is not called in that case.
func (c *Caller) Enqueue(now int64, method uint16, body []byte, deadline int64, done func([]byte, error)) error {
	switch {
	case len(body) > MaxFrameBody:
		return ErrTooLong
	case deadline <= now:
		return ErrNotSent
	case len(c.queue) >= MaxQueued:
		return ErrOverloaded
	}
	c.lastID++
	c.queue = append(c.queue, &PendingCall{ID: c.lastID, Method: method, Body: body, Deadline: deadline, Done: done})
	return nil
}

// ShouldDial reports whether a connection is to be opened now. If so, the driver must dial and report the result with
// Connected or Disconnected.
func (c *Caller) ShouldDial(now int64) bool {
	if c.connected || c.dialing || len(c.queue) == 0 || now < c.nextDial {
		return false
	}
	c.dialing = true
	return true
}

// Connected records that the connection was established.
func (c *Caller) Connected(now int64) { c.connected, c.dialing, c.lastHeard = true, false, now }

// Disconnected records that the connection was lost or could not be established. Calls in flight complete with
// ErrOutcomeUnknown, as the peer may have executed them.
func (c *Caller) Disconnected(now int64) {
	if c.connected {
		c.backoff = minBackoff
	}
	c.connected, c.dialing = false, false
	c.nextDial = now + c.backoff/2 + c.rng.Int64N(c.backoff)
	c.backoff = min(2*c.backoff, maxBackoff)
	for _, callID := range sortedIDs(c.inFlight) {
		c.finish(c.inFlight[callID], nil, ErrOutcomeUnknown)
	}
}

func sortedIDs(calls map[uint64]*PendingCall) (ids []uint64) {
	for id := range calls {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *Caller) finish(call *PendingCall, body []byte, err error) {
	if c.inFlight[call.ID] == call {
		delete(c.inFlight, call.ID)
		c.inFlightBytes -= len(call.Body)
	}
	call.complete(body, err)
}

func (call *PendingCall) complete(body []byte, err error) {
	if call.Done != nil {
		call.Done(body, err)
	}
}

// NextFrames passes the frames to send now to write, within the limits on calls and bytes in flight.
func (c *Caller) NextFrames(now int64, write func(*Frame)) {
	if !c.connected {
		return
	}
	for len(c.queue) > 0 && len(c.inFlight) < MaxInFlight {
		call := c.queue[0]
		if len(c.inFlight) > 0 && c.inFlightBytes+len(call.Body) > MaxInFlightBytes {
			return
		}
		c.queue = c.queue[1:]
		timeoutMillis := (call.Deadline-now)/int64(time.Millisecond) - returnMarginMillis
		if timeoutMillis <= 0 {
			call.complete(nil, ErrNotSent)
			continue
		}
		if call.Done == nil {
			write(&Frame{Type: frameOneWay, Method: call.Method, ID: call.ID, TimeoutMillis: uint32(min(timeoutMillis, 1<<31)), Body: call.Body})
			continue
		}
		if len(c.inFlight) == 0 {
			c.lastHeard = now // the silence timeout runs only while calls are in flight
		}
		c.inFlight[call.ID] = call
		c.inFlightBytes += len(call.Body)
		write(&Frame{Type: frameRequest, Method: call.Method, ID: call.ID, TimeoutMillis: uint32(min(timeoutMillis, 1<<31)), Body: call.Body})
	}
}

// HandleResponse completes the call that a response belongs to. It ignores responses to calls that have already completed.
func (c *Caller) HandleResponse(now int64, frame *Frame) {
	c.lastHeard = now
	call := c.inFlight[frame.ID]
	if call == nil {
		return
	}
	c.backoff = minBackoff
	switch frame.Type {
	case frameResponse:
		c.finish(call, frame.Body, nil)
	case frameRefusal:
		c.finish(call, nil, ErrRefused)
	default:
		c.finish(call, nil, errors.Join(ErrHandlerFailed, errors.New(string(frame.Body))))
	}
}

// Tick completes the calls whose deadline has passed. It reports whether the connection must be closed because the peer
// has not responded within the silence timeout.
func (c *Caller) Tick(now int64) (giveUp bool) {
	remaining := c.queue[:0]
	var expired []*PendingCall
	for _, call := range c.queue {
		if call.Deadline <= now {
			expired = append(expired, call)
		} else {
			remaining = append(remaining, call)
		}
	}
	clear(c.queue[len(remaining):])
	c.queue = remaining
	for _, call := range expired {
		call.complete(nil, ErrNotSent)
	}
	// A timed-out call frees its in-flight slot although a silent peer may still have to execute it. Therefore the silence
	// check comes first: it closes the connection and with it everything that the peer still holds.
	giveUp = c.connected && len(c.inFlight) > 0 && now-c.lastHeard > silenceTimeout
	for _, id := range sortedIDs(c.inFlight) {
		if call := c.inFlight[id]; call.Deadline <= now {
			c.finish(call, nil, ErrOutcomeUnknown)
		}
	}
	return giveUp
}

// NextWakeup returns the time at which Tick or ShouldDial has something to do next, or -1 if there is none.
func (c *Caller) NextWakeup() int64 {
	next := int64(-1)
	consider := func(t int64) {
		if next < 0 || t < next {
			next = t
		}
	}
	for _, call := range c.queue {
		consider(call.Deadline)
	}
	for _, call := range c.inFlight {
		consider(call.Deadline)
	}
	if len(c.inFlight) > 0 {
		consider(c.lastHeard + silenceTimeout + 1)
	}
	if !c.connected && !c.dialing && len(c.queue) > 0 {
		consider(c.nextDial)
	}
	return next
}

// Queued returns the number of calls that have not been sent.
func (c *Caller) Queued() int { return len(c.queue) }

// InFlight returns the number of calls that have been sent and not completed.
func (c *Caller) InFlight() int { return len(c.inFlight) }
