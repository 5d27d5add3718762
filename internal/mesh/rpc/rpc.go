// Package rpc implements calls between the mesh's own processes: JSON over HTTP/1.1 on persistent connections. The
// caller sets the deadline of each call, or a StallPolicy.
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

// Error is the class of errors of failed calls.
var Error = errs.Class("rpc")

// ErrUnknownPath is returned by calls to a process of a previous release that does not have the path.
var ErrUnknownPath = Error.New("the process has no such path")

const (
	maxBodyBytes = 64 << 20
	peerTimeout  = time.Second // after which a peer that acknowledges no data is considered unreachable

	gzipEncoding       = "gzip"  // of long responses to callers that accept it
	minCompressedBytes = 4 << 10 // smallest response that is compressed
)

// Client makes calls to other processes.
type Client struct{ http *http.Client }

// WrapTransport wraps a client's transport. It may be nil. Tests use it to inject faults.
type WrapTransport func(http.RoundTripper) http.RoundTripper

// NewClient returns a client. wrap may be nil.
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

// UserTimeout returns a net.Dialer.Control function that sets TCP_USER_TIMEOUT, which bounds how long a connection waits
// for the peer to acknowledge data. Without it, a connection to an unreachable machine hangs for minutes.
func UserTimeout(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout/time.Millisecond))
		})
	}
}

// Call posts a request to a path of the process at an address and decodes the response.
func (c *Client) Call(ctx context.Context, address, path string, request, response any) error {
	httpResponse, err := c.post(ctx, address, path, request)
	if err != nil {
		return err
	}
	defer httpResponse.Body.Close()
	return readResponse(httpResponse, httpResponse.Body, address+path, response)
}

// post sends a request and returns the response, whose body the caller closes.
func (c *Client) post(ctx context.Context, address, path string, request any) (*http.Response, error) {
	raw, err := json.Marshal(request)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(raw))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	httpRequest.GetBody = nil // prevents the transport from resending the request by itself
	httpRequest.Header["Content-Type"] = []string{"application/json"}
	httpRequest.Header["User-Agent"] = []string{""}
	httpRequest.Header["Accept-Encoding"] = []string{gzipEncoding}
	httpResponse, err := c.http.Do(httpRequest)
	return httpResponse, Error.Wrap(err)
}

// readResponse decodes a response from its body; name stands for the call in errors.
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
	switch httpResponse.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return ErrUnknownPath
	default:
		return Error.New("%s returned status %d: %.200s", name, httpResponse.StatusCode, raw)
	}
	return Error.Wrap(json.Unmarshal(raw, response))
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Handle returns an HTTP handler that decodes a request, calls handler, and encodes its response.
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

// gzipWriters are reused, since a writer is much larger than most responses.
var gzipWriters = sync.Pool{New: func() any {
	w, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed) // can't fail: the level is valid
	return w
}}
