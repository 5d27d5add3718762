package httpserver

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"ottershift/internal/mesh/telemetry"
)

const responseBody = "whole"

func startServer(t *testing.T, options Options) *Server {
	options.Name, options.Counters, options.Log = "test", telemetry.NewCounters(), slog.New(slog.DiscardHandler)
	server, err := Listen("127.0.0.1:0", options)
	must.NoError(t, err)
	go server.Serve()
	t.Cleanup(func() {
		canceled, cancel := context.WithCancel(context.Background())
		cancel()
		server.Shutdown(canceled)
	})
	return server
}

func writeResponse(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, responseBody) }

// testClient is a client on one persistent connection.
type testClient struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *testClient {
	c, err := net.Dial("tcp4", address)
	must.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return &testClient{c, bufio.NewReader(c)}
}

func (c *testClient) write(text string) error { _, err := io.WriteString(c, text); return err }

// receive reads a complete response.
func (c *testClient) receive() (*http.Response, error) {
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

const requestHead, requestRest = "GET /%d HTTP/1.1\r\nHo", "st: a\r\n\r\n"

func request(id int64) string { return fmt.Sprintf(requestHead, id) + requestRest }

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
}

// farFuture returns a time at which every idle connection has exceeded its keep-alive timeout.
func farFuture() time.Time { return time.Now().Add(time.Hour) }

// A connection on which a part of a request has arrived must not be closed as idle, neither at its first request nor at
// a later one.
func TestConnectionWithPartialRequestIsNotClosed(t *testing.T) {
	for _, earlierRequests := range []int{0, 1} {
		server := startServer(t, Options{Handler: http.HandlerFunc(writeResponse), KeepAlive: time.Second})
		client := dial(t, server.Address())
		for range earlierRequests {
			must.NoError(t, client.write(request(0)))
			_, err := client.receive()
			must.NoError(t, err)
		}
		must.NoError(t, client.write(fmt.Sprintf(requestHead, 1)))
		eventually(t, func() bool { all := server.trackedConnections(); return len(all) == 1 && all[0].guard.Active() })
		server.CloseIdle(farFuture())
		must.NoError(t, client.write(requestRest))
		response, err := client.receive()
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, response.StatusCode)
	}
}

// SetKeepAlive overrides the server's keep-alive timeout.
func TestIdleConnectionIsClosedAfterItsKeepAlive(t *testing.T) {
	server := startServer(t, Options{KeepAlive: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ConnectionOf(r).SetKeepAlive(time.Minute)
		writeResponse(w, r)
	})})
	client := dial(t, server.Address())
	must.NoError(t, client.write(request(1)))
	_, err := client.receive()
	must.NoError(t, err)
	eventually(t, func() bool { return !server.trackedConnections()[0].guard.Active() })
	server.CloseIdle(time.Now().Add(time.Minute))
	must.NoError(t, client.write(request(2)))
	_, err = client.receive()
	must.NoError(t, err)
	eventually(t, func() bool { return !server.trackedConnections()[0].guard.Active() })
	server.CloseIdle(time.Now().Add(time.Minute + 2*keepAliveMargin))
	_, err = client.receive()
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	eventually(t, func() bool { return len(server.trackedConnections()) == 0 })
}

// sendDuringCloses sends requests over persistent connections while closeIdle keeps closing the idle ones. It counts the
// requests that were handled, and those of them without a complete response.
func sendDuringCloses(t *testing.T, address string, handledPaths *sync.Map, closeIdle func()) (handled, lost int64) {
	const clients, requestsPerClient = 8, 300
	var next, lostCount, handledCount atomic.Int64
	done := make(chan struct{})
	var closing sync.WaitGroup
	closing.Go(func() {
		for {
			select {
			case <-done:
				return
			default:
				closeIdle()
				time.Sleep(time.Millisecond)
			}
		}
	})
	var sending sync.WaitGroup
	for range clients {
		sending.Go(func() {
			client := dial(t, address)
			for range requestsPerClient {
				time.Sleep(time.Duration(rand.IntN(1000)) * time.Microsecond)
				id := next.Add(1)
				err := client.write(request(id))
				if err == nil {
					_, err = client.receive()
				}
				if err != nil {
					client = dial(t, address)
				}
				if _, is := handledPaths.Load(fmt.Sprint("/", id)); is {
					handledCount.Add(1)
					if err != nil {
						lostCount.Add(1)
					}
				}
			}
		})
	}
	sending.Wait()
	close(done)
	closing.Wait()
	return handledCount.Load(), lostCount.Load()
}

// A request may arrive at any moment while its connection is closed as idle; if it is handled, its response must arrive.
// A server that picks idle connections by net/http's state, and closes them from another goroutine a moment later, loses
// responses.
func TestIdleCloseLosesNoHandledRequest(t *testing.T) {
	var handledPaths, stateHandledPaths sync.Map
	handler := func(handledPaths *sync.Map) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			handledPaths.Store(r.URL.Path, true)
			time.Sleep(200 * time.Microsecond)
			writeResponse(w, r)
		}
	}
	server := startServer(t, Options{Handler: handler(&handledPaths), KeepAlive: time.Nanosecond})
	handled, lost := sendDuringCloses(t, server.Address(), &handledPaths, func() { server.CloseIdle(farFuture()) })
	t.Logf("closed by the serving goroutine: %d handled, %d without a response, %d connections closed", handled, lost, server.idleClosed.Load())
	must.Eq(t, 0, lost)
	must.Positive(t, server.idleClosed.Load())

	closer := &stateCloser{conns: map[net.Conn]bool{}}
	stateServer := &http.Server{Handler: handler(&stateHandledPaths), ConnState: closer.note}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	go stateServer.Serve(listener)
	defer stateServer.Close()
	handled, lost = sendDuringCloses(t, listener.Addr().String(), &stateHandledPaths, closer.closeAll)
	t.Logf("closed by net/http's state: %d handled, %d without a response", handled, lost)
	must.Positive(t, lost)
}

// stateCloser closes connections that net/http reports as idle.
type stateCloser struct {
	mu    sync.Mutex
	conns map[net.Conn]bool
}

func (s *stateCloser) note(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[c] = state == http.StateIdle; state == http.StateClosed {
		delete(s.conns, c)
	}
}

func (s *stateCloser) closeAll() {
	var all []net.Conn
	s.mu.Lock()
	for c, idle := range s.conns {
		if idle {
			all = append(all, c)
		}
	}
	s.mu.Unlock()
	time.Sleep(200 * time.Microsecond)
	for _, c := range all {
		c.Close()
	}
}

// A shutdown completes active requests until its context ends, and counts those that it aborts then.
func TestShutdownCompletesRequestsAndCountsAborted(t *testing.T) {
	release, working := make(chan struct{}), make(chan *Connection, 2)
	server := startServer(t, Options{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		working <- ConnectionOf(r)
		if r.URL.Path == "/1" {
			<-release
		} else {
			<-r.Context().Done()
		}
		writeResponse(w, r)
	})})
	completed, aborted, idle := dial(t, server.Address()), dial(t, server.Address()), dial(t, server.Address())
	must.NoError(t, completed.write(request(1)))
	must.NoError(t, aborted.write(request(2)))
	active := map[*Connection]bool{<-working: true, <-working: true}
	eventually(t, func() bool { return len(server.trackedConnections()) == 3 })
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	result := make(chan int)
	go func() { result <- server.Shutdown(ctx) }()
	_, err := idle.receive()
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	close(release)
	response, err := completed.receive()
	must.NoError(t, err)
	must.True(t, response.Close)
	must.Eq(t, 1, <-result)
	_, err = aborted.receive()
	must.Error(t, err)
	abortedLocally := 0
	for c := range active {
		if c.AbortedLocally() {
			abortedLocally++
		}
	}
	must.Eq(t, 1, abortedLocally)
}

// If a handler panics before it has responded, HandlePanic responds. After that, the connection is closed. Both panics
// are counted.
func TestHandlerPanicIsAnsweredAndCounted(t *testing.T) {
	server := startServer(t, Options{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/2" {
				w.Header().Set("Content-Length", "100")
				io.WriteString(w, "begun")
			}
			panic(errors.New("a fault"))
		}),
		HandlePanic: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) },
	})
	client := dial(t, server.Address())
	must.NoError(t, client.write(request(1)))
	response, err := client.receive()
	must.NoError(t, err)
	must.Eq(t, http.StatusBadGateway, response.StatusCode)
	must.NoError(t, client.write(request(2)))
	_, err = client.receive()
	must.Error(t, err)
	must.Eq(t, 2, server.panics.Load())
}

// If a response is sent before the request's body has been read, and the connection is then closed, the client must
// still be able to read the response after it has sent the whole body.
func TestErrorResponseArrivesDespiteUnreadBody(t *testing.T) {
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	server := startServer(t, Options{Handler: http.HandlerFunc(refuse)})
	for _, size := range []int{10, 20 << 10, 200 << 10} {
		for _, connection := range []string{"keep-alive", "close"} {
			client := dial(t, server.Address())
			body := make([]byte, size)
			must.NoError(t, client.write(fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nConnection: %s\r\nContent-Length: %d\r\n\r\n", connection, size)))
			_, err := client.Write(body)
			must.NoError(t, err, must.Sprint(size, connection))
			time.Sleep(20 * time.Millisecond)
			response, err := client.receive()
			must.NoError(t, err, must.Sprint(size, connection))
			must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
			if connection == "close" { // after a reset, a client may lose data that it has not read yet
				_, err = client.reader.ReadByte()
				must.ErrorIs(t, err, io.EOF, must.Sprint(size))
			}
		}
	}
}
