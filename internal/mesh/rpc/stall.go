package rpc

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"
)

// Errors of CallUntilStalled.
var (
	ErrStalled     = errors.New("no data received within the stall timeout")
	ErrInterrupted = errors.New("call interrupted before a response began")
)

// StallPolicy says when a call is canceled. A call may take as long as data keeps arriving: with a fixed timeout for the
// whole call, a response that takes longer on a slow or busy link would never arrive, however often the call is retried.
type StallPolicy struct {
	Timeout   time.Duration   // time without a received byte after which the call fails
	Interrupt <-chan struct{} // cancels the call if no response has begun yet; nil for never
}

// CallUntilStalled is Call with a policy in place of a deadline.
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

// cancelCause returns the cause of the context's cancellation in place of err, if there is one.
func cancelCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); err != nil && cause != nil {
		return Error.Wrap(cause)
	}
	return err
}

// progressReader calls onProgress after each read that returns data.
type progressReader struct {
	io.Reader
	onProgress func()
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.Reader.Read(b)
	if n > 0 {
		p.onProgress()
	}
	return n, err
}
