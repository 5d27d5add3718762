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
	maxBodyBytes = 64 << 20
	peerTimeout  = time.Second // after which a peer that confirms nothing counts as gone

	gzipEncoding       = "gzip"  // how long answers travel to who accepts it
	minCompressedBytes = 4 << 10 // bytes of an answer
)

// Client calls other processes.
type Client struct{ http *http.Client }

// WrapTransport puts something between a caller and its connections; nil for nothing. Tests inject faults with it.
type WrapTransport func(http.RoundTripper) http.RoundTripper

// NewClient makes a caller.
func NewClient(wrap WrapTransport) *Client {
	dialer := &net.Dialer{Timeout: 400 * time.Millisecond, KeepAlive: -1, Control: UserTimeout(peerTimeout)}
	var transport http.RoundTripper = &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second,
		DisableCompression: true,
	}
	if wrap != nil {
		transport = wrap(transport)
	}
	return &Client{&http.Client{Transport: transport}}
}

// UserTimeout bounds how long a connection waits for a peer that confirms nothing. Invariant: without it one to a machine
// that is cut off hangs for minutes.
func UserTimeout(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout/time.Millisecond))
		})
	}
}

// Call posts a message to a path of the process at an address and takes its answer.
func (c *Client) Call(ctx context.Context, address, path string, request, response any) error {
	httpResponse, err := c.post(ctx, address, path, request)
	if err != nil {
		return err
	}
	defer httpResponse.Body.Close()
	return readResponse(httpResponse, httpResponse.Body, address+path, response)
}

func (c *Client) post(ctx context.Context, address, path string, request any) (*http.Response, error) {
	raw, err := json.Marshal(request)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(raw))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	httpRequest.GetBody = nil // never a second time by itself
	httpRequest.Header["Content-Type"] = []string{"application/json"}
	httpRequest.Header["User-Agent"] = []string{""}
	httpRequest.Header["Accept-Encoding"] = []string{gzipEncoding}
	httpResponse, err := c.http.Do(httpRequest)
	return httpResponse, Error.Wrap(err)
}

func readResponse(httpResponse *http.Response, body io.Reader, name string, response any) error {
	if httpResponse.Header.Get("Content-Encoding") == gzipEncoding {
		unpacked, err := gzip.NewReader(body)
		if err != nil {
			return Error.Wrap(err)
		}
		body = unpacked
	}
	raw, err := io.ReadAll(io.LimitReader(body, maxBodyBytes))
	if err != nil {
		return Error.Wrap(err)
	}
	if httpResponse.StatusCode != http.StatusOK {
		return Error.New("%s answers %d: %.200s", name, httpResponse.StatusCode, raw)
	}
	return Error.Wrap(json.Unmarshal(raw, response))
}

// Close closes what is kept.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Handle serves one kind of call.
func Handle[In, Out any](handler func(ctx context.Context, in *In) (*Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		in := new(In)
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
		if err == nil {
			err = json.Unmarshal(body, in)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		out, err := handler(r.Context(), in)
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
		if len(raw) < minCompressedBytes || r.Header.Get("Accept-Encoding") != gzipEncoding {
			w.Write(raw)
			return
		}
		w.Header()["Content-Encoding"] = []string{gzipEncoding}
		writer := gzipWriters.Get().(*gzip.Writer)
		defer gzipWriters.Put(writer)
		writer.Reset(w)
		writer.Write(raw)
		writer.Close()
	}
}

// gzipWriters are kept: one is much larger than most answers.
var gzipWriters = sync.Pool{New: func() any {
	w, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed) // the level is known
	return w
}}
