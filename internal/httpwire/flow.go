package httpwire

import (
	"io"
	"net/http"
	"sync"
	"time"

	"ottershift/internal/desk"
)

const (
	streamChunk  = 16 << 10              // of an answer that flows
	streamBuffer = 32 << 10              // of it that is read and not written yet, at most
	bufferTime   = 50 * time.Millisecond // from its head on; an answer of no stated length that takes longer flows
	stallTimeout = 15 * time.Second      // that either side of an answer may stand still
)

// stream is an answer on its way from its upstream to its client. Its push reads it, and holds it until it is whole, too
// long, or too long in coming; then it is the client's, and what has been read waits for the client.
type stream struct {
	mu        sync.Mutex
	changed   *sync.Cond
	buffered  []byte
	started   bool // it is the client's
	readDone  bool // all has been read that will be
	truncated bool // and that was not all of it
	abandoned bool // nobody writes it any more
	delivered bool // its client has all of it
}

func newStream() *stream {
	f := &stream{}
	f.changed = sync.NewCond(&f.mu)
	return f
}

// write takes what was read, once there is room for it, and tells whether to go on.
func (str *stream) write(b []byte) bool {
	str.mu.Lock()
	defer str.mu.Unlock()
	for str.started && len(str.buffered) >= streamBuffer && !str.abandoned {
		str.changed.Wait()
	}
	str.buffered = append(str.buffered, b...)
	str.changed.Broadcast()
	return !str.abandoned
}

// finish says that nothing more comes, and waits until the client has all of it, where it is the client's; whole tells that
// it does.
func (str *stream) finish(truncated bool) (delivered bool) {
	str.mu.Lock()
	defer str.mu.Unlock()
	str.readDone, str.truncated = true, truncated
	str.changed.Broadcast()
	for str.started && !str.abandoned {
		str.changed.Wait()
	}
	return str.delivered
}

// read takes what waits to be written; none is left once last.
func (str *stream) read(into []byte) (b []byte, last, truncated bool) {
	str.mu.Lock()
	defer str.mu.Unlock()
	for len(str.buffered) == 0 && !str.readDone {
		str.changed.Wait()
	}
	n := min(len(str.buffered), cap(into))
	b = append(into[:0], str.buffered[:n]...)
	str.buffered = str.buffered[:copy(str.buffered, str.buffered[n:])]
	str.changed.Broadcast()
	return b, str.readDone && len(str.buffered) == 0, str.truncated
}

// close says that nobody writes it any more, and whether its client has all of it; the first word counts.
func (str *stream) close(delivered bool) {
	str.mu.Lock()
	defer str.mu.Unlock()
	if !str.abandoned {
		str.abandoned, str.delivered = true, delivered
		str.changed.Broadcast()
	}
}

// readResponse reads an answer. It is whole then, or it flows: won tells that it was the client's, and the desk has been told how
// it went.
func (sh *shard) readResponse(handle *desk.Handle, attempt *desk.Attempt, resp *http.Response, stored *upstreamResponse, res *reservation) (body []byte, streamed bool, err error) {
	str := newStream()
	var once sync.Once
	accepted := false
	begin := func() {
		once.Do(func() {
			str.mu.Lock()
			str.started = true
			str.mu.Unlock()
			sh.storeResponse(stored, resp, nil)
			stored.stream = str
			sh.front.streams.Add(1)
			res.force(streamBuffer)
			if accepted = sh.desk.StreamStarted(handle, attempt); !accepted {
				sh.front.streams.Add(-1)
				str.close(false)
			}
		})
	}
	startTimer := time.AfterFunc(bufferTime, begin)
	if resp.ContentLength >= 0 {
		startTimer.Stop() // Danger: what is said to be short and doesn't come is broken, and may be had elsewhere
	}
	if resp.ContentLength > maxReservedBody {
		begin()
	}
	stallTimer := time.AfterFunc(stallTimeout, func() { resp.Body.Close() })
	defer stallTimer.Stop()
	buffer := make([]byte, streamChunk)
	for total := 0; ; {
		var n int
		n, err = resp.Body.Read(buffer)
		total += n
		if n > 0 {
			if total > maxReservedBody {
				begin()
			}
			if total > maxBody {
				err = errBodyTooLong
				break
			}
			stallTimer.Stop() // Danger: while it waits for a slow client the upstream does not stand still
			if !str.write(buffer[:n]) {
				err = io.ErrClosedPipe
			}
			stallTimer.Reset(stallTimeout)
		}
		if err != nil {
			break
		}
	}
	startTimer.Stop()
	once.Do(func() {}) // from here on it can't begin any more, or it has
	str.mu.Lock()
	begun := str.started
	str.mu.Unlock()
	if !begun {
		if err == io.EOF {
			err = nil
		}
		res.force(int64(len(str.buffered)))
		return str.buffered, false, err
	}
	delivered := str.finish(err != io.EOF)
	if accepted {
		sh.desk.StreamEnded(handle, attempt, delivered && err == io.EOF)
		sh.front.streams.Add(-1)
	}
	return nil, accepted, io.ErrClosedPipe
}

// writeStream writes an answer that flows, at its client's pace. What breaks off is broken off visibly. Danger: ended as if it
// were whole, it would pass for an answer.
func (front *FrontEnd) writeStream(w http.ResponseWriter, resp *upstreamResponse) {
	delivered := false
	defer func() { resp.stream.close(delivered) }()
	control := http.NewResponseController(w)
	if resp.length != nil {
		w.Header()["Content-Length"] = resp.length
	}
	front.closeIfLeaving(w)
	w.WriteHeader(resp.status)
	buffer := make([]byte, 0, streamChunk)
	for {
		chunk, last, truncated := resp.stream.read(buffer)
		control.SetWriteDeadline(time.Now().Add(stallTimeout))
		_, err := w.Write(chunk)
		if flushed := control.Flush(); err != nil || flushed != nil || last && truncated {
			panic(http.ErrAbortHandler)
		}
		if last {
			delivered = true
			control.SetWriteDeadline(time.Time{})
			return
		}
	}
}
