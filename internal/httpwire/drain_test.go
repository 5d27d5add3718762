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

// A drain that comes while the head of a message is on its way answers that message, and ends its connection after it.
func TestRequestReadDuringDrainIsAnswered(t *testing.T) {
	f, _ := newTestFrontEnd(t)
	l, err := f.Listen("main", "127.0.0.1:0")
	must.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- f.Serve(l) }()
	client, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	defer client.Close()
	client.SetDeadline(time.Now().Add(10 * time.Second))
	in := bufio.NewReader(client)
	answer := func(what string) *http.Response {
		r, err := http.ReadResponse(in, nil)
		must.NoError(t, err, must.Sprint(what))
		io.Copy(io.Discard, r.Body)
		return r
	}
	io.WriteString(client, "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
	must.False(t, answer("before the drain").Close)

	// A part of a head every 0.1 s: the drain looks between two of them.
	const head = "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n"
	drained := make(chan struct{})
	go func() { defer close(drained); f.Drain() }()
	for at := range head {
		io.WriteString(client, head[at:at+1])
		time.Sleep(50 * time.Millisecond)
	}
	must.True(t, answer("what crossed the drain").Close)
	<-drained
	must.NoError(t, <-served)
	_, err = net.Dial("tcp", l.Addr().String())
	must.Error(t, err)
	_, err = in.ReadByte()
	must.ErrorIs(t, err, io.EOF)
}

// Connections that lie idle hold no drain up.
func TestDrainClosesIdleConnections(t *testing.T) {
	f, _ := newTestFrontEnd(t)
	l, err := f.Listen("main", "127.0.0.1:0")
	must.NoError(t, err)
	go f.Serve(l)
	client, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	defer client.Close()
	io.WriteString(client, "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
	in := bufio.NewReader(client)
	r, err := http.ReadResponse(in, nil)
	must.NoError(t, err)
	io.Copy(io.Discard, r.Body)
	began := time.Now()
	f.Drain()
	must.Less(t, time.Second, time.Since(began))
	_, err = in.ReadByte()
	must.ErrorIs(t, err, io.EOF)
}
