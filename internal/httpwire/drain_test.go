package httpwire

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A request whose header is being received when a drain begins must be answered, and its connection closed after
// it. Shutdown of net/http would drop such a request.
func TestRequestReadDuringDrainIsAnswered(t *testing.T) {
	front, _ := newTestFrontEnd(t)
	listener, err := front.Listen("main", "127.0.0.1:0")
	must.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- front.Serve(listener) }()
	client, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	defer client.Close()
	client.SetDeadline(time.Now().Add(10 * time.Second))
	reader := bufio.NewReader(client)
	readResponse := func(which string) *http.Response {
		r, err := http.ReadResponse(reader, nil)
		must.NoError(t, err, must.Sprint(which))
		io.Copy(io.Discard, r.Body)
		return r
	}
	io.WriteString(client, "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
	must.False(t, readResponse("before the drain").Close)

	// One byte of the header every 50 ms, so that the drain checks the connection between two bytes.
	const head = "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n"
	drained := make(chan struct{})
	go func() { defer close(drained); front.Drain() }()
	for offset := range head {
		io.WriteString(client, head[offset:offset+1])
		time.Sleep(50 * time.Millisecond)
	}
	must.True(t, readResponse("during the drain").Close)
	<-drained
	must.NoError(t, <-served)
	_, err = net.Dial("tcp", listener.Addr().String())
	must.Error(t, err)
	_, err = reader.ReadByte()
	must.ErrorIs(t, err, io.EOF)
}

// Idle connections must not delay a drain.
func TestDrainClosesIdleConnections(t *testing.T) {
	front, _ := newTestFrontEnd(t)
	listener, err := front.Listen("main", "127.0.0.1:0")
	must.NoError(t, err)
	go front.Serve(listener)
	client, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	defer client.Close()
	io.WriteString(client, "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
	reader := bufio.NewReader(client)
	r, err := http.ReadResponse(reader, nil)
	must.NoError(t, err)
	io.Copy(io.Discard, r.Body)
	started := time.Now()
	front.Drain()
	must.Less(t, time.Second, time.Since(started))
	_, err = reader.ReadByte()
	must.ErrorIs(t, err, io.EOF)
}
