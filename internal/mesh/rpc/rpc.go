// Package rpc is how the mesh's own processes call one another: HTTP/1.1 with JSON on connections that are kept, each
// call with an end of its own.
package rpc

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"
)

// Error is the class of calls that failed.
var Error = errs.Class("rpc")

const (
	mostBytes = 64 << 20
	silent    = time.Second // after which a peer that confirms nothing counts as gone

	compressed   = "gzip"  // how long answers travel to who accepts it
	compressFrom = 4 << 10 // bytes of an answer
)

// Caller calls other processes.
type Caller struct{ client *http.Client }

// WrapTransport puts something between a caller and its connections; nil for nothing. Tests inject faults with it.
type WrapTransport func(http.RoundTripper) http.RoundTripper

// NewCaller makes a caller.
func NewCaller(wrap WrapTransport) *Caller {
	dialer := &net.Dialer{Timeout: 400 * time.Millisecond, KeepAlive: -1, Control: UserTimeout(silent)}
	var transport http.RoundTripper = &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second,
		DisableCompression: true,
	}
	if wrap != nil {
		transport = wrap(transport)
	}
	return &Caller{&http.Client{Transport: transport}}
}

// UserTimeout bounds how long a connection waits for a peer that confirms nothing. Invariant: without it one to a machine
// that is cut off hangs for minutes.
func UserTimeout(after time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(after/time.Millisecond))
		})
	}
}

// Call posts a message to a path of the process at an address and takes its answer.
func (c *Caller) Call(ctx context.Context, at, path string, message, answer any) error {
	w, err := c.post(ctx, at, path, message)
	if err != nil {
		return err
	}
	defer w.Body.Close()
	return readAnswer(w, w.Body, at+path, answer)
}

func (c *Caller) post(ctx context.Context, at, path string, message any) (*http.Response, error) {
	raw, err := json.Marshal(message)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at+path, bytes.NewReader(raw))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	r.GetBody = nil // never a second time by itself
	r.Header["Content-Type"] = []string{"application/json"}
	r.Header["User-Agent"] = []string{""}
	r.Header["Accept-Encoding"] = []string{compressed}
	w, err := c.client.Do(r)
	return w, Error.Wrap(err)
}

func readAnswer(w *http.Response, from io.Reader, name string, answer any) error {
	if w.Header.Get("Content-Encoding") == compressed {
		unpacked, err := gzip.NewReader(from)
		if err != nil {
			return Error.Wrap(err)
		}
		from = unpacked
	}
	body, err := io.ReadAll(io.LimitReader(from, mostBytes))
	if err != nil {
		return Error.Wrap(err)
	}
	if w.StatusCode != http.StatusOK {
		return Error.New("%s answers %d: %.200s", name, w.StatusCode, body)
	}
	return Error.Wrap(json.Unmarshal(body, answer))
}

// Close closes what is kept.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Handle serves one kind of call.
func Handle[In, Out any](f func(ctx context.Context, in *In) (*Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		in := new(In)
		body, err := io.ReadAll(io.LimitReader(r.Body, mostBytes))
		if err == nil {
			err = json.Unmarshal(body, in)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		out, err := f(r.Context(), in)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		raw, err := json.Marshal(out)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header()["Content-Type"] = []string{"application/json"}
		if len(raw) < compressFrom || r.Header.Get("Accept-Encoding") != compressed {
			w.Write(raw)
			return
		}
		w.Header()["Content-Encoding"] = []string{compressed}
		packed := compressors.Get().(*gzip.Writer)
		defer compressors.Put(packed)
		packed.Reset(w)
		packed.Write(raw)
		packed.Close()
	}
}

// compressors are kept: one is much larger than most answers.
var compressors = sync.Pool{New: func() any {
	w, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed) // the level is known
	return w
}}
