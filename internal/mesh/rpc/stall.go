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
	ErrStalled     = errors.New("nothing has come for too long")
	ErrInterrupted = errors.New("the call was given up for another one")
)

// StallPolicy says how long a call is waited for: as long as bytes come. Invariant: with a fixed time for all of it, an answer that takes
// longer on a narrow or busy line never arrives, however often it is asked for.
type StallPolicy struct {
	Timeout   time.Duration   // without a byte, after which the call has failed
	Interrupt <-chan struct{} // ends the call for as long as no answer has begun; nil for never
}

// CallUntilStalled is Call, given up for want of progress alone.
func (c *Client) CallUntilStalled(ctx context.Context, policy StallPolicy, address, path string, request, response any) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stallTimer := time.AfterFunc(policy.Timeout, func() { cancel(ErrStalled) })
	defer stallTimer.Stop()
	var responseStarted atomic.Bool
	go func() {
		select {
		case <-policy.Interrupt:
			if !responseStarted.Load() {
				cancel(ErrInterrupted)
			}
		case <-ctx.Done():
		}
	}()
	httpResponse, err := c.post(ctx, address, path, request)
	if err != nil {
		return cancelCause(ctx, err)
	}
	responseStarted.Store(true)
	defer httpResponse.Body.Close()
	body := &progressReader{httpResponse.Body, func() { stallTimer.Reset(policy.Timeout) }}
	return cancelCause(ctx, readResponse(httpResponse, body, address+path, response))
}

// cancelCause is why a call ended, where that was its patience.
func cancelCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); err != nil && cause != nil {
		return Error.Wrap(cause)
	}
	return err
}

// progressReader tells of each part that is read.
type progressReader struct {
	io.Reader
	onProgress func()
}

func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.Reader.Read(b)
	if n > 0 {
		p.onProgress()
	}
	return n, err
}
