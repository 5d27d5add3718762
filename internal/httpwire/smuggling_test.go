package httpwire

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ottershift/internal/roster"
	"ottershift/logic"
)

// strictUpstream returns an upstream that counts the requests it reads, malformed ones and those marked as hidden.
func strictUpstream(t testing.TB) (listener net.Listener, parsed, malformed, hidden *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	parsed, malformed, hidden = &atomic.Int64{}, &atomic.Int64{}, &atomic.Int64{}
	go serveManually(listener, func(c net.Conn, in *bufio.Reader) bool {
		r, err := http.ReadRequest(in)
		if err == nil {
			_, err = io.Copy(io.Discard, r.Body)
		}
		if err != nil {
			if err != io.EOF && err != io.ErrUnexpectedEOF && !strings.Contains(err.Error(), "reset") {
				malformed.Add(1)
			}
			return false
		}
		parsed.Add(1)
		if r.Header.Get("X-Txn") == "hidden" {
			hidden.Add(1)
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	return listener, parsed, malformed, hidden
}

// FuzzRequestSmuggling checks that for any bytes of a client, the upstream reads as many requests as were answered
// with success. If two sides disagree on where a request ends, the rest is read as another request.
func FuzzRequestSmuggling(f *testing.F) {
	const head = "POST /view HTTP/1.1\r\nHost: a\r\nX-Txn: %d\r\n"
	const inner = "GET /view HTTP/1.1\r\nHost: a\r\nX-Txn: hidden\r\n\r\n"
	for n, more := range []string{
		"Content-Length: 3\r\n\r\nabc", "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nT: 1\r\n\r\n",
		"Content-Length: 60\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner,
		"Transfer-Encoding: chunked\r\ncontent-length: 60\r\n\r\n0\r\n\r\n" + inner,
		"Transfer-Encoding: chunked\r\nContent-Length : 60\r\n\r\n0\r\n\r\n" + inner,
		"Transfer-Encoding: chunked\r\nA: b\r\n Content-Length: 60\r\n\r\n0\r\n\r\n" + inner,
		"Transfer-Encoding: xchunked\r\nContent-Length: 60\r\n\r\n0\r\n\r\n" + inner,
		"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + inner, "Transfer-Encoding:\vchunked\r\n\r\n0\r\n\r\n" + inner,
		"Content-Length: 0\r\nContent-Length: 60\r\n\r\n" + inner, "Content-Length: 0,60\r\n\r\n" + inner,
		"Content-Length: +0\r\n\r\n" + inner, "Transfer-Encoding: chunked\r\n\r\n0x0\r\n\r\n" + inner,
		"Transfer-Encoding: chunked\r\n\r\n0\n\r\n" + inner, "Transfer-Encoding: chunked\n\r\n0\r\n\r\n" + inner,
		"Transfer-Encoding: chunked\r\n\r\n-1\r\n\r\n" + inner, "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff0\r\n\r\n" + inner,
		"Expect: 100-continue\r\nContent-Length: 3\r\n\r\nabc", "Content-Length: 3\r\n\r\nab",
	} {
		f.Add(fmt.Sprintf(head, n) + more)
		f.Add(fmt.Sprintf(head, n) + "Content-Length: 0\r\n\r\n" + fmt.Sprintf(head, 100+n) + more)
	}
	front, sh := newTestFrontEnd(f)
	upstream, parsed, malformed, hidden := strictUpstream(f)
	sh.desk.List([]roster.Entry[string]{
		{Name: "u", Zone: "a", Address: upstream.Addr().String(), Upstream: logic.Upstream{Weight: 1}},
	}, true)
	listener, err := front.Listen("main", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	go front.Serve(listener)
	f.Cleanup(func() { listener.Close() })
	f.Fuzz(func(t *testing.T, text string) {
		before, malformedBefore := parsed.Load(), malformed.Load()
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Skip()
		}
		defer conn.Close()
		go io.WriteString(conn, text)
		settled, answered := int64(0), 0
		for answers := bufio.NewReader(conn); ; answered++ {
			conn.SetReadDeadline(time.Now().Add([]time.Duration{200, 30}[min(answered, 1)] * time.Millisecond))
			resp, err := http.ReadResponse(answers, nil)
			if err != nil {
				break
			}
			io.Copy(io.Discard, resp.Body)
			if resp.StatusCode == http.StatusOK {
				settled++
			}
		}
		if n := parsed.Load() - before; n != settled || malformed.Load() != malformedBefore {
			t.Errorf("%d requests arrived, %d were settled, %d were malformed: %q",
				n, settled, malformed.Load()-malformedBefore, text)
		}
		outer, _, _ := strings.Cut(strings.ToLower(text), "hidden")
		if hidden.Swap(0) > 0 && strings.Contains(outer, "content-length") && strings.Contains(outer, "transfer-encoding") {
			t.Errorf("a smuggled request was forwarded: %q", text)
		}
	})
}
