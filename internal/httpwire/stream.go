package httpwire

import (
	"io"
	"net/http"
	"sync"
	"time"

	"ottershift/internal/desk"
)

const (
	streamChunk  = 16 << 10              // bytes read or written at a time
	streamBuffer = 32 << 10              // maximum number of bytes that are read and not yet written
	bufferTime   = 50 * time.Millisecond // after the header; a response of unknown length that takes longer is streamed
	stallTimeout = 15 * time.Second      // maximum pause of the client or the upstream during a response
)

// stream is a response on its way from its upstream to the client. Its attempt reads and buffers it until it is
// complete, too long or too slow. In the latter two cases it is streamed: buffered bytes then wait for the client.
type stream struct {
	mu        sync.Mutex
	changed   *sync.Cond
	buffered  []byte
	started   bool // the response is streamed to the client
	readDone  bool // nothing more will be read
	truncated bool // the response ended early
	abandoned bool // nothing more is written to the client
	delivered bool // the client has the whole response
}

func newStream() *stream {
	st := &stream{}
	st.changed = sync.NewCond(&st.mu)
	return st
}

// write appends bytes that were read, once there is room for them, and reports whether to continue.
func (st *stream) write(b []byte) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	for st.started && len(st.buffered) >= streamBuffer && !st.abandoned {
		st.changed.Wait()
	}
	st.buffered = append(st.buffered, b...)
	st.changed.Broadcast()
	return !st.abandoned
}

// finish records that all bytes were read. If the response is streamed, it waits until the client has received it
// and reports whether it has all of it.
func (st *stream) finish(truncated bool) (delivered bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.readDone, st.truncated = true, truncated
	st.changed.Broadcast()
	for st.started && !st.abandoned {
		st.changed.Wait()
	}
	return st.delivered
}

// read returns the next bytes for the client; last reports that none follow.
func (st *stream) read(into []byte) (b []byte, last, truncated bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for len(st.buffered) == 0 && !st.readDone {
		st.changed.Wait()
	}
	n := min(len(st.buffered), cap(into))
	b = append(into[:0], st.buffered[:n]...)
	st.buffered = st.buffered[:copy(st.buffered, st.buffered[n:])]
	st.changed.Broadcast()
	return b, st.readDone && len(st.buffered) == 0, st.truncated
}

// close records that nothing more is written, and whether the client has the whole response. The first call
// counts.
func (st *stream) close(delivered bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if !st.abandoned {
		st.abandoned, st.delivered = true, delivered
		st.changed.Broadcast()
	}
}

// readResponse reads a response, either to its end or as a stream. streamed reports that it was sent to the client
// as a stream and that its outcome has been reported to the dispatcher.
func (sh *shard) readResponse(
	handle *desk.Handle, attempt *desk.Attempt, resp *http.Response, stored *upstreamResponse, held *reservation,
) (body []byte, streamed bool, err error) {
	st := newStream()
	var once sync.Once
	accepted := false
	begin := func() {
		once.Do(func() {
			st.mu.Lock()
			st.started = true
			st.mu.Unlock()
			sh.storeResponse(stored, resp, nil)
			stored.stream = st
			sh.front.streams.Add(1)
			held.force(streamBuffer)
			if accepted = sh.desk.StreamStarted(handle, attempt); !accepted {
				sh.front.streams.Add(-1)
				st.close(false)
			}
		})
	}
	streamTimer := time.AfterFunc(bufferTime, begin)
	if resp.ContentLength >= 0 {
		streamTimer.Stop() // a short response that stalls is broken, and a retry may succeed
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
			stallTimer.Stop() // the upstream is not stalled while a slow client is waited for
			if !st.write(buffer[:n]) {
				err = io.ErrClosedPipe
			}
			stallTimer.Reset(stallTimeout)
		}
		if err != nil {
			break
		}
	}
	streamTimer.Stop()
	once.Do(func() {}) // streaming has started by now or never will
	st.mu.Lock()
	started := st.started
	st.mu.Unlock()
	if !started {
		if err == io.EOF {
			err = nil
		}
		held.force(int64(len(st.buffered)))
		return st.buffered, false, err
	}
	delivered := st.finish(err != io.EOF)
	if accepted {
		sh.desk.StreamEnded(handle, attempt, delivered && err == io.EOF)
		sh.front.streams.Add(-1)
	}
	return nil, accepted, io.ErrClosedPipe
}

// writeStream writes a streamed response at the client's pace. If it breaks off, the connection is aborted,
// because a normal end would make a truncated response look complete.
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
