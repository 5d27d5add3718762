package proxy

import (
	"io"
	"time"
)

// maxInlineWrite is the size in bytes up to which a request is written completely before its response is read. The
// socket buffers of both sides hold that much, so an early response does not block the write.
const maxInlineWrite = 16 << 10

// writerGracePeriod is how long a complete response waits for the writer to see the end of its source.
const writerGracePeriod = 5 * time.Millisecond

// pastDeadline is a deadline that ends pending reads and writes at once.
var pastDeadline = time.Unix(1, 0)

// bodyWriter writes a request while its response is awaited. It ends when everything is written, when a write fails or
// when its source ends. A source that stalls, such as a slow client's body, blocks only the writer.
type bodyWriter struct {
	firstDone chan struct{} // closed after the first write
	allDone   chan struct{} // closed when the writer ends

	firstSent int // valid after firstDone
	sourceErr error
	writeErr  error // sourceErr and writeErr are valid after allDone
}

// startBodyWriter writes first and then rest, which may be nil. If the source fails, it also ends the wait for the
// response: the upstream would wait for the rest of the body and not respond.
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

// copy writes the source to the connection and records which of the two failed.
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

// succeeded reports whether the whole request has been written. The response to a complete request may arrive before
// the writer has seen the end of its source, so succeeded waits for writerGracePeriod.
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

// started reports whether any byte of the request was sent. It waits for the first write, which the caller must have
// ended with a write deadline.
func (w *bodyWriter) started() bool {
	<-w.firstDone
	return w.firstSent > 0
}

// cause returns the error of the source if that ended the exchange, and otherwise err.
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
