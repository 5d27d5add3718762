package load

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"
)

// A balancer that reads a request on a reused connection and then exits may have forwarded it. The client must report
// the request as closed without an answer, not as refused.
func TestClosedConnectionIsNotRefusal(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		in := bufio.NewReader(c)
		http.ReadRequest(in)
		c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		http.ReadRequest(in)
		l.Close()
		c.Close()
	}()
	target := NewTarget(l.Addr().String(), true)
	defer target.Close()
	request := FormatRequest("comment", "album.lab", "1", "", "", 1, time.Second, false, true, 0)
	if a := target.Do(request, time.Now().Add(time.Second)); a.Status != 200 {
		t.Fatalf("first request: %+v", a)
	}
	if a := target.Do(request, time.Now().Add(time.Second)); a.Refused || !a.Closed || a.Sent.IsZero() {
		t.Errorf("request read before the balancer exited: %+v", a)
	}
	if a := target.Do(request, time.Now().Add(time.Second)); !a.Refused {
		t.Errorf("request without a listener: %+v", a)
	}
}
