package httpwire

import (
	"io"
	"net/http"
	"sync"
	"time"

	"ottershift/internal/desk"
)

const (
	piece     = 16 << 10              // of an answer that flows
	inFlow    = 32 << 10              // of it that is read and not written yet, at most
	holdUntil = 50 * time.Millisecond // from its head on; an answer of no stated length that takes longer flows
	mostStill = 15 * time.Second      // that either side of an answer may stand still
)

// flow is an answer on its way from its upstream to its client. Its push reads it, and holds it until it is whole, too
// long, or too long in coming; then it is the client's, and what has been read waits for the client.
type flow struct {
	mu     sync.Mutex
	change *sync.Cond
	held   []byte
	begun  bool // it is the client's
	ended  bool // all has been read that will be
	cut    bool // and that was not all of it
	gone   bool // nobody writes it any more
	all    bool // its client has all of it
}

func newFlow() *flow {
	f := &flow{}
	f.change = sync.NewCond(&f.mu)
	return f
}

// add takes what was read, once there is room for it, and tells whether to go on.
func (f *flow) add(b []byte) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.begun && len(f.held) >= inFlow && !f.gone {
		f.change.Wait()
	}
	f.held = append(f.held, b...)
	f.change.Broadcast()
	return !f.gone
}

// end says that nothing more comes, and waits until the client has all of it, where it is the client's; whole tells that
// it does.
func (f *flow) end(cut bool) (whole bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended, f.cut = true, cut
	f.change.Broadcast()
	for f.begun && !f.gone {
		f.change.Wait()
	}
	return f.all
}

// take takes what waits to be written; none is left once last.
func (f *flow) take(into []byte) (b []byte, last, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.held) == 0 && !f.ended {
		f.change.Wait()
	}
	n := min(len(f.held), cap(into))
	b = append(into[:0], f.held[:n]...)
	f.held = f.held[:copy(f.held, f.held[n:])]
	f.change.Broadcast()
	return b, f.ended && len(f.held) == 0, f.cut
}

// leave says that nobody writes it any more, and whether its client has all of it; the first word counts.
func (f *flow) leave(all bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.gone {
		f.gone, f.all = true, all
		f.change.Broadcast()
	}
}

// hold reads an answer. It is whole then, or it flows: won tells that it was the client's, and the desk has been told how
// it went.
func (p *shard) hold(c *desk.Handle, o *desk.Attempt, answer *http.Response, into *reply, hand *inHand) (body []byte, flowed bool, err error) {
	f := newFlow()
	var once sync.Once
	won := false
	begin := func() {
		once.Do(func() {
			f.mu.Lock()
			f.begun = true
			f.mu.Unlock()
			p.into(into, answer, nil)
			into.flow = f
			p.front.flows.Add(1)
			hand.grow(inFlow)
			if won = p.desk.StreamStarted(c, o); !won {
				p.front.flows.Add(-1)
				f.leave(false)
			}
		})
	}
	soon := time.AfterFunc(holdUntil, begin)
	if answer.ContentLength >= 0 {
		soon.Stop() // Danger: what is said to be short and doesn't come is broken, and may be had elsewhere
	}
	if answer.ContentLength > mostBody {
		begin()
	}
	still := time.AfterFunc(mostStill, func() { answer.Body.Close() })
	defer still.Stop()
	buffer := make([]byte, piece)
	for all := 0; ; {
		var n int
		n, err = answer.Body.Read(buffer)
		all += n
		if n > 0 {
			if all > mostBody {
				begin()
			}
			if all > mostFull {
				err = errLong
				break
			}
			still.Stop() // Danger: while it waits for a slow client the upstream does not stand still
			if !f.add(buffer[:n]) {
				err = io.ErrClosedPipe
			}
			still.Reset(mostStill)
		}
		if err != nil {
			break
		}
	}
	soon.Stop()
	once.Do(func() {}) // from here on it can't begin any more, or it has
	f.mu.Lock()
	begun := f.begun
	f.mu.Unlock()
	if !begun {
		if err == io.EOF {
			err = nil
		}
		hand.grow(int64(len(f.held)))
		return f.held, false, err
	}
	whole := f.end(err != io.EOF)
	if won {
		p.desk.StreamEnded(c, o, whole && err == io.EOF)
		p.front.flows.Add(-1)
	}
	return nil, won, io.ErrClosedPipe
}

// pour writes an answer that flows, at its client's pace. What breaks off is broken off visibly. Danger: ended as if it
// were whole, it would pass for an answer.
func (f *Front) pour(w http.ResponseWriter, from *reply) {
	all := false
	defer func() { from.flow.leave(all) }()
	out := http.NewResponseController(w)
	if from.length != nil {
		w.Header()["Content-Length"] = from.length
	}
	f.part(w)
	w.WriteHeader(from.status)
	buffer := make([]byte, 0, piece)
	for {
		b, last, cut := from.flow.take(buffer)
		out.SetWriteDeadline(time.Now().Add(mostStill))
		_, err := w.Write(b)
		if flushed := out.Flush(); err != nil || flushed != nil || last && cut {
			panic(http.ErrAbortHandler)
		}
		if last {
			all = true
			out.SetWriteDeadline(time.Time{})
			return
		}
	}
}
