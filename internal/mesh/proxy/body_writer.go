package proxy

import (
	"io"
	"time"
)

// maxInlineWrite is the size up to which a request is written before its answer is read. Both sides' buffers hold that much, so an
// answer that comes early does not wait behind it.
const maxInlineWrite = 16 << 10

const writerGracePeriod = 5 * time.Millisecond

// pastDeadline is a deadline that ends reads and writes at once.
var pastDeadline = time.Unix(1, 0)

// bodyWriter writes a request while its answer is waited for. It ends when all is written, when a write fails, or with its
// source: a source that stands still, as a slow client's body does, holds up nobody but the writer.
type bodyWriter struct {
	firstDone chan struct{} // closed after the first write
	allDone   chan struct{} // closed at the end

	firstSent int // valid after firstDone
	sourceErr error
	writeErr  error // both valid after allDone
}

// startBodyWriter writes first and then rest, which may be nil. Invariant: where the source fails, the answer is waited for no
// longer: the upstream would wait for the rest of the body.
func startBodyWriter(c *connection, first []byte, rest io.Reader) *bodyWriter {
	w := &bodyWriter{firstDone: make(chan struct{}), allDone: make(chan struct{})}
	go func() {
		defer close(w.allDone)
		w.firstSent, w.writeErr = c.Write(first)
		close(w.firstDone)
		if w.writeErr != nil || rest == nil {
			return
		}
		w.copy(c, rest)
		if w.sourceErr != nil {
			c.SetReadDeadline(pastDeadline)
		}
	}()
	return w
}

func (w *bodyWriter) copy(to io.Writer, from io.Reader) {
	buffer := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(buffer)
	for {
		n, err := from.Read(*buffer)
		if n > 0 {
			if _, w.writeErr = to.Write((*buffer)[:n]); w.writeErr != nil {
				return
			}
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			w.sourceErr = err
			return
		}
	}
}

// succeeded reports whether all has been written. The answer to a whole request may be here before the writer has seen its
// source's end, so that is waited for a moment.
func (w *bodyWriter) succeeded() bool {
	grace := time.NewTimer(writerGracePeriod)
	defer grace.Stop()
	select {
	case <-w.allDone:
		return w.writeErr == nil && w.sourceErr == nil
	case <-grace.C:
		return false
	}
}

// started reports whether some of the request has gone out. It waits for the first write, which the caller has put an end to.
func (w *bodyWriter) started() bool {
	<-w.firstDone
	return w.firstSent > 0
}

// cause is the source's error, if that ended the exchange, or else the one given.
func (w *bodyWriter) cause(err error) error {
	select {
	case <-w.allDone:
		if w.sourceErr != nil {
			return w.sourceErr
		}
	default:
	}
	return err
}
