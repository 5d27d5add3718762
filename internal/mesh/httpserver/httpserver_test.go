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

const answerBody = "whole"

func start(t *testing.T, options Options) *Server {
	options.Name, options.Counts, options.Log = "test", telemetry.NewCounters(), slog.New(slog.DiscardHandler)
	s, err := Listen("127.0.0.1:0", options)
	must.NoError(t, err)
	go s.Serve()
	t.Cleanup(func() {
		now, end := context.WithCancel(context.Background())
		end()
		s.Shutdown(now)
	})
	return s
}

func answerWhole(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, answerBody) }

// kept is a client's kept connection.
type kept struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *kept {
	c, err := net.Dial("tcp4", address)
	must.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return &kept{c, bufio.NewReader(c)}
}

func (k *kept) write(text string) error { _, err := io.WriteString(k, text); return err }

// receive reads a whole answer.
func (k *kept) receive() (*http.Response, error) {
	k.SetReadDeadline(time.Now().Add(5 * time.Second))
	answer, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return answer, err
}

const requestHead, requestRest = "GET /%d HTTP/1.1\r\nHo", "st: a\r\n\r\n"

func request(id int64) string { return fmt.Sprintf(requestHead, id) + requestRest }

func eventually(t *testing.T, what func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(what), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
}

// farAhead is when every idle connection has been idle for too long.
func farAhead() time.Time { return time.Now().Add(time.Hour) }

// A connection that holds the first bytes of a request is not closed, whether it is its first request or a later one.
func TestAConnectionWithAPartOfARequestIsNotClosed(t *testing.T) {
	for _, before := range []int{0, 1} {
		s := start(t, Options{Handler: http.HandlerFunc(answerWhole), KeepAlive: time.Second})
		client := dial(t, s.Address())
		for range before {
			must.NoError(t, client.write(request(0)))
			_, err := client.receive()
			must.NoError(t, err)
		}
		must.NoError(t, client.write(fmt.Sprintf(requestHead, 1)))
		eventually(t, func() bool { all := s.all(); return len(all) == 1 && all[0].guard.Active() })
		s.CloseIdle(farAhead())
		must.NoError(t, client.write(requestRest))
		answer, err := client.receive()
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, answer.StatusCode)
	}
}

func TestAnIdleConnectionIsClosedAfterWhatItWasPromised(t *testing.T) {
	s := start(t, Options{KeepAlive: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ConnectionOf(r).KeepAlive(time.Minute)
		answerWhole(w, r)
	})})
	client := dial(t, s.Address())
	must.NoError(t, client.write(request(1)))
	_, err := client.receive()
	must.NoError(t, err)
	eventually(t, func() bool { return !s.all()[0].guard.Active() })
	s.CloseIdle(time.Now().Add(time.Minute))
	must.NoError(t, client.write(request(2)))
	_, err = client.receive()
	must.NoError(t, err)
	eventually(t, func() bool { return !s.all()[0].guard.Active() })
	s.CloseIdle(time.Now().Add(time.Minute + 2*keepAliveMargin))
	_, err = client.receive()
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	eventually(t, func() bool { return len(s.all()) == 0 })
}

// crossings has clients send over kept connections while those are closed again and again as idle, and counts the requests that were
// handled and got no whole answer.
func crossings(t *testing.T, address string, ran *sync.Map, closeIdle func()) (handled, lost int64) {
	const clients, each = 8, 300
	var next, lostCount, handledCount atomic.Int64
	over := make(chan struct{})
	var closing sync.WaitGroup
	closing.Go(func() {
		for {
			select {
			case <-over:
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
			for range each {
				time.Sleep(time.Duration(rand.IntN(1000)) * time.Microsecond)
				id := next.Add(1)
				err := client.write(request(id))
				if err == nil {
					_, err = client.receive()
				}
				if err != nil {
					client = dial(t, address)
				}
				if _, is := ran.Load(fmt.Sprint("/", id)); is {
					handledCount.Add(1)
					if err != nil {
						lostCount.Add(1)
					}
				}
			}
		})
	}
	sending.Wait()
	close(over)
	closing.Wait()
	return handledCount.Load(), lostCount.Load()
}

// Requests come at any moment of a close. Variant: connections are picked by net/http's state, and closed a moment later by who does not
// serve them.
func TestWhatIsHandledIsAnswered(t *testing.T) {
	var ran, ranVariant sync.Map
	handler := func(ran *sync.Map) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			ran.Store(r.URL.Path, true)
			time.Sleep(200 * time.Microsecond)
			answerWhole(w, r)
		}
	}
	s := start(t, Options{Handler: handler(&ran), KeepAlive: time.Nanosecond})
	handled, lost := crossings(t, s.Address(), &ran, func() { s.CloseIdle(farAhead()) })
	t.Logf("closed by its own goroutine: %d handled, %d without an answer, %d connections closed", handled, lost, s.idled.Load())
	must.Eq(t, 0, lost)
	must.Positive(t, s.idled.Load())

	idle := &idleByState{conns: map[net.Conn]bool{}}
	variant := &http.Server{Handler: handler(&ranVariant), ConnState: idle.note}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	go variant.Serve(listener)
	defer variant.Close()
	handled, lost = crossings(t, listener.Addr().String(), &ranVariant, idle.closeAll)
	t.Logf("variant that closes by the state: %d handled, %d without an answer", handled, lost)
	must.Positive(t, lost)
}

type idleByState struct {
	mu    sync.Mutex
	conns map[net.Conn]bool
}

func (i *idleByState) note(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.conns[c] = state == http.StateIdle; state == http.StateClosed {
		delete(i.conns, c)
	}
}

func (i *idleByState) closeAll() {
	var all []net.Conn
	i.mu.Lock()
	for c, idle := range i.conns {
		if idle {
			all = append(all, c)
		}
	}
	i.mu.Unlock()
	time.Sleep(200 * time.Microsecond)
	for _, c := range all {
		c.Close()
	}
}

// A shutdown answers what has been read, and says what it had to cut.
func TestAShutdownAnswersWhatItHasAndCountsWhatItCuts(t *testing.T) {
	release, working := make(chan struct{}), make(chan *Connection, 2)
	s := start(t, Options{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		working <- ConnectionOf(r)
		if r.URL.Path == "/1" {
			<-release
		} else {
			<-r.Context().Done()
		}
		answerWhole(w, r)
	})})
	answered, cut, quiet := dial(t, s.Address()), dial(t, s.Address()), dial(t, s.Address())
	must.NoError(t, answered.write(request(1)))
	must.NoError(t, cut.write(request(2)))
	ours := map[*Connection]bool{<-working: true, <-working: true}
	eventually(t, func() bool { return len(s.all()) == 3 })
	limit, end := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer end()
	result := make(chan int)
	go func() { result <- s.Shutdown(limit) }()
	_, err := quiet.receive()
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	close(release)
	answer, err := answered.receive()
	must.NoError(t, err)
	must.True(t, answer.Close)
	must.Eq(t, 1, <-result)
	_, err = cut.receive()
	must.Error(t, err)
	cutHere := 0
	for c := range ours {
		if c.CutHere() {
			cutHere++
		}
	}
	must.Eq(t, 1, cutHere)
}

// A handler that fails before it has answered is answered for; one that fails later ends its connection. Both are counted.
func TestAHandlerThatFailsIsSeen(t *testing.T) {
	s := start(t, Options{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/2" {
				w.Header().Set("Content-Length", "100")
				io.WriteString(w, "begun")
			}
			panic(errors.New("a fault"))
		}),
		Failed: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) },
	})
	client := dial(t, s.Address())
	must.NoError(t, client.write(request(1)))
	answer, err := client.receive()
	must.NoError(t, err)
	must.Eq(t, http.StatusBadGateway, answer.StatusCode)
	must.NoError(t, client.write(request(2)))
	_, err = client.receive()
	must.Error(t, err)
	must.Eq(t, 2, s.panics.Load())
}

// A request that is refused before its body has been read says that it is the last one on its connection. Its client has sent all of it,
// and reads the answer later.
func TestARefusalOfAnUnreadBodyArrives(t *testing.T) {
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	s := start(t, Options{Handler: http.HandlerFunc(refuse)})
	for _, size := range []int{10, 20 << 10, 200 << 10} {
		for _, connection := range []string{"keep-alive", "close"} {
			client := dial(t, s.Address())
			body := make([]byte, size)
			must.NoError(t, client.write(fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nConnection: %s\r\nContent-Length: %d\r\n\r\n", connection, size)))
			_, err := client.Write(body)
			must.NoError(t, err, must.Sprint(size, connection))
			time.Sleep(20 * time.Millisecond)
			answer, err := client.receive()
			must.NoError(t, err, must.Sprint(size, connection))
			must.Eq(t, http.StatusServiceUnavailable, answer.StatusCode)
			if connection == "close" { // reset, a client may lose what it has not read yet
				_, err = client.reader.ReadByte()
				must.ErrorIs(t, err, io.EOF, must.Sprint(size))
			}
		}
	}
}
