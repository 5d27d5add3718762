package rpc

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"
)

// Errors of a call that was made with patience.
var (
	ErrSilent      = errors.New("nothing has come for too long")
	ErrInterrupted = errors.New("the call was given up for another one")
)

// Patience says how long a call is waited for: as long as bytes come. Invariant: with a fixed time for all of it, an answer that takes
// longer on a narrow or busy line never arrives, however often it is asked for.
type Patience struct {
	Silence   time.Duration   // without a byte, after which the call has failed
	Interrupt <-chan struct{} // ends the call for as long as no answer has begun; nil for never
}

// CallPatiently is Call, given up for want of progress alone.
func (c *Caller) CallPatiently(ctx context.Context, p Patience, at, path string, message, answer any) error {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	silence := time.AfterFunc(p.Silence, func() { end(ErrSilent) })
	defer silence.Stop()
	var begun atomic.Bool
	go func() {
		select {
		case <-p.Interrupt:
			if !begun.Load() {
				end(ErrInterrupted)
			}
		case <-ctx.Done():
		}
	}()
	w, err := c.post(ctx, at, path, message)
	if err != nil {
		return causeOf(ctx, err)
	}
	begun.Store(true)
	defer w.Body.Close()
	body := &progress{w.Body, func() { silence.Reset(p.Silence) }}
	return causeOf(ctx, readAnswer(w, body, at+path, answer))
}

// causeOf is why a call ended, where that was its patience.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); err != nil && cause != nil {
		return Error.Wrap(cause)
	}
	return err
}

// progress tells of each part that is read.
type progress struct {
	io.Reader
	tell func()
}

func (r *progress) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.tell()
	}
	return n, err
}
