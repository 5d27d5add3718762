package httpwire

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fastjson"

	"ottershift/internal/desk"
	"ottershift/internal/roster"
	"ottershift/internal/terms"
	"ottershift/logic"
)

// newTestFrontEnd returns a front end with one pool, which receives all requests, and its only shard.
func newTestFrontEnd(t testing.TB) (*FrontEnd, *shard) {
	settings := terms.Decode(fastjson.MustParse(`{"fleet_size":1,"layer":1,"zone":"a","limits":{"max_pushes":2},
		"guarantees":{"cold_from":0.5},"tenants":[{"name":"acme","quota_rps":9}],
		"tariffs":[{"name":"view","hard_stop":1000000,"effect":"idempotent"},
		{"name":"load","hard_stop":1000000,"effect":"deduplicated"}]}`), 1)
	front := New(slog.New(slog.DiscardHandler), desk.NewBalancer)
	front.SetLimits(100, 1)
	pool, err := front.NewPool("main", settings)
	if err != nil {
		t.Fatal(err)
	}
	front.SetUnlimited(8 << 20)
	front.SetRouting(&Routing{SinglePool: pool})
	t.Cleanup(pool.Retire)
	return front, pool.shards[0]
}

// newTestConns returns the upstream connections of a new pool.
func newTestConns(t testing.TB) *upstreamConns {
	_, sh := newTestFrontEnd(t)
	return sh.conns
}

// placeOf returns the place of an upstream that listens at listener.
func placeOf(listener net.Listener) roster.Endpoint {
	return roster.Endpoint{Host: "u1", Address: listener.Addr().String(), IdleConns: new(atomic.Int32)}
}

// FuzzRequest checks that every request is either refused with a valid error or forwarded as the client sent it,
// without the headers that concern only its connection.
func FuzzRequest(f *testing.F) {
	for _, s := range []string{
		"GET /view?x=%2F HTTP/1.1\r\nHost: a\r\nX-Txn: 1\r\nX-Remaining: 0.5\r\nConnection: x-drop\r\nX-Drop: 1\r\n\r\n",
		"POST /load HTTP/1.1\r\nHost: a\r\nX-Txn: 1\r\nX-Lane: load\r\nIdempotency-Key: k\r\nContent-Length: 3\r\n\r\nabc",
		"GET http://b/view HTTP/1.1\r\nHost: a\r\nX-Txn: 1\r\nX-Remaining: -1\r\n\r\n",
		"POST * HTTP/1.1\r\nHost: a\r\nX-Txn: \xff\r\nX-Org: \x00\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
		"GET //view//view?;=%zz HTTP/1.0\r\nX-Txn: 1\r\nX-Remaining: 1e999\r\nX-Resent: 1\r\n\r\n",
		"GET /view HTTP/1.1\r\nHost: a\r\nX-Txn: 1\r\nX-Org: acme\r\nContent-Length: 99999\r\n\r\n",
	} {
		f.Add(s)
	}
	front, sh := newTestFrontEnd(f)
	f.Fuzz(func(t *testing.T, text string) {
		req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			return
		}
		matched, tariff, reqErr := front.findPool(req, nil)
		var txn *transaction
		if reqErr == nil {
			matched.removeTransaction()
			if txn, reqErr = decodeRequest(req, sh.settingsHistory.Load().current, tariff); reqErr == nil {
				if reqErr = txn.readBody(httptest.NewRecorder(), req, &reservation{limits: sh.limits, timeout: txn.timeout},
					func() bool { return false }); reqErr != nil {
					txn = nil
				}
			}
		}
		if reqErr != nil {
			if txn != nil || reqErr.status != 400 && reqErr.status != 404 &&
				reqErr.status != 411 && reqErr.status != 413 || reqErr.text == "" {
				t.Errorf("refused with an invalid error %+v", reqErr)
			}
			return
		}
		if txn.timeout < 0 || len(txn.body) > maxReservedBody || txn.method != req.Method ||
			txn.url.String() != req.URL.String() {
			t.Errorf("accepted as %+v", txn)
		}
		for name := range txn.header {
			for _, hopName := range append(hopByHop, req.Header["Connection"]...) {
				if name == hopName {
					t.Errorf("hop-by-hop header %s is forwarded", name)
				}
			}
		}
	})
}

// emptyReservation returns a reservation that holds nothing of a pool's limits.
func emptyReservation(sh *shard) *reservation { return &reservation{limits: sh.limits, released: true} }

// panicContext is a context that panics while a transaction runs.
type panicContext struct{ context.Context }

func (panicContext) Done() <-chan struct{} { panic("panic in the context") }

// A panic while a transaction runs must be answered with 500 and must not leave the transaction open.
func TestPanicIsAnsweredAndEndsTheTransaction(t *testing.T) {
	front, sh := newTestFrontEnd(t)
	r := httptest.NewRequest("GET", "/view", nil)
	r.Header.Set("X-Txn", "1")
	w := httptest.NewRecorder()
	front.ServeHTTP(w, r.WithContext(panicContext{r.Context()}))
	if w.Code != http.StatusInternalServerError {
		t.Errorf("answered %d instead of 500", w.Code)
	}
	if n := sh.desk.Close(); n != 0 {
		t.Errorf("%d still open", n)
	}
}

// An attempt that panics may still have run, and its outcome must reach the decision engine: work that may be
// repeated is deferred, other work is forfeited.
func TestPanicInAttemptReportsAnOutcome(t *testing.T) {
	front, sh := newTestFrontEnd(t)
	sh.desk.List([]roster.Entry[string]{{Name: "u", Zone: "a", Upstream: logic.Upstream{Weight: 1}}}, true)
	sh.conns.transport = nil
	t.Cleanup(func() { sh.conns.transport = &http.Transport{} })
	for path, want := range map[string]int{"/view": http.StatusServiceUnavailable, "/load": http.StatusBadGateway} {
		r := httptest.NewRequest("POST", path, nil)
		r.Header.Set("X-Txn", "1")
		r.Header.Set("Idempotency-Key", "k")
		w := httptest.NewRecorder()
		if front.ServeHTTP(w, r); w.Code != want {
			t.Errorf("%s: answered %d instead of %d", path, w.Code, want)
		}
	}
}

// Closing a connection twice must release it only once, and a missing descriptor is not the upstream's fault.
func TestConnectionIsReleasedOnce(t *testing.T) {
	conns := newTestConns(t)
	tracker := conns.tracker
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	ctx := withTarget(t.Context(), placeOf(server.Listener), time.Now().Add(time.Second), false)
	conn, err := conns.transport.DialContext(ctx, "tcp", "u1:80")
	if err != nil || tracker.upstreams.Load() != 1 || conns.limits.connections.Used() != 1 {
		t.Fatal(err, tracker.upstreams.Load())
	}
	conn.Close()
	if conn.Close(); tracker.upstreams.Load() != 0 || conns.limits.connections.Used() != 0 {
		t.Errorf("%d upstream connections are counted after the close", tracker.upstreams.Load())
	}
	tracker.clients.Store(tracker.limit.Load())
	if _, err := conns.transport.DialContext(ctx, "tcp", "127.0.0.1:1"); err != errNoDescriptor {
		t.Errorf("dialled beyond the limit: %v", err)
	}
	if attemptResult(t.Context(), errNoDescriptor, false, false) != logic.Unsent {
		t.Error("a lack of descriptors is blamed on the upstream")
	}
}

// An attempt that still waits for its connection when the transaction is answered must not be sent afterwards.
func TestNoAttemptIsSentAfterTheAnswer(t *testing.T) {
	arrived := 0
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived++ }))
	_, sh := newTestFrontEnd(t)
	attempt := &desk.Attempt{Context: t.Context(), Place: placeOf(server.Listener), Deadline: time.Now().Add(time.Second)}
	for _, size := range []int{0, 10, maxReservedBody} { // sent with the header, and larger than the write buffer
		txn := &transaction{method: "POST", url: &url.URL{Path: "/load"}, header: http.Header{},
			body: make([]byte, size), timeout: time.Second}
		writer := &connWriter{}
		if r, _ := sh.send(nil, attempt, txn, writer, emptyReservation(sh), &upstreamResponse{}); r != logic.Settled {
			t.Fatalf("%d bytes: result %d before the answer", size, r)
		}
		writer.close()
		// on a reused connection
		if r, _ := sh.send(nil, attempt, txn, writer, emptyReservation(sh), &upstreamResponse{}); r != logic.Unsent {
			t.Errorf("%d bytes, reused connection: result %d after the answer", size, r)
		}
		sh.conns.transport.CloseIdleConnections()
		// on a new connection
		if r, _ := sh.send(nil, attempt, txn, writer, emptyReservation(sh), &upstreamResponse{}); r != logic.Unsent {
			t.Errorf("%d bytes, new connection: result %d after the answer", size, r)
		}
		if !sh.sendProbe(t.Context(), attempt.Place) {
			t.Error("a probe is blocked")
		}
	}
	server.Close()
	if arrived != 6 {
		t.Errorf("%d requests arrived instead of 6", arrived)
	}
}

// A client that has closed or reset its connection is detected although the server is blocked in a read, and
// nothing is sent for it.
func TestNothingIsSentForADisconnectedClient(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	for _, disconnect := range []func(c *net.TCPConn){
		func(c *net.TCPConn) { c.Close() },
		func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, // a reset
	} {
		clientEnd, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		serverEnd := c.(*net.TCPConn)
		go serverEnd.Read(make([]byte, 1)) // as the server does during a request
		time.Sleep(10 * time.Millisecond)
		if clientClosed(serverEnd) {
			t.Error("an open client connection is reported as closed")
		}
		disconnect(clientEnd.(*net.TCPConn))
		time.Sleep(10 * time.Millisecond)
		if !clientClosed(serverEnd) {
			t.Error("a closed client connection is not detected")
		}
		if n, err := (&connWriter{client: serverEnd}).write(serverEnd, []byte("x")); n != 0 || err != errTransactionEnded {
			t.Error(n, err)
		}
		serverEnd.Close()
	}
}

// serveManually handles the requests of each connection one by one until answer returns false.
func serveManually(listener net.Listener, answer func(c net.Conn, reader *bufio.Reader) bool) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			for reader := bufio.NewReader(c); answer(c, reader); {
			}
		}()
	}
}

// A connection can pass directly to an attempt that waits for one while extra bytes follow the last response.
// These bytes must not be taken for the response to that attempt.
func TestUnexpectedBytesAreNotTheNextResponse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	received, proceed := make(chan string, 2), make(chan struct{})
	go serveManually(listener, func(c net.Conn, in *bufio.Reader) bool {
		r, err := http.ReadRequest(in)
		if err != nil {
			return false
		}
		received <- r.Header.Get("X-Txn")
		<-proceed
		answer := "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + r.Header.Get("X-Txn")
		c.Write([]byte(answer + answer))
		return true
	})
	_, sh := newTestFrontEnd(t)
	dial, dials := sh.conns.transport.DialContext, make(chan struct{}, 9)
	sh.conns.transport.DialContext = func(ctx context.Context, network, host string) (net.Conn, error) {
		if dials <- struct{}{}; len(dials) > 1 {
			time.Sleep(100 * time.Millisecond) // the first connection is free before a second one is open
		}
		return dial(ctx, network, host)
	}
	send := func(id string) (logic.Result, string) {
		attempt := &desk.Attempt{Context: t.Context(), Deadline: time.Now().Add(time.Second),
			Place: placeOf(listener)}
		txn := &transaction{method: "GET", url: &url.URL{Path: "/view"}, header: http.Header{"X-Txn": {id}}}
		stored := &upstreamResponse{}
		r, _ := sh.send(nil, attempt, txn, &connWriter{}, emptyReservation(sh), stored)
		return r, string(stored.body)
	}
	go func() {
		<-received
		time.Sleep(50 * time.Millisecond) // the other attempt waits for a connection by now
		close(proceed)
	}()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if r, body := send("1"); r != logic.Settled || body != "1" {
			t.Errorf("first attempt: result %d, body %q", r, body)
		}
	}()
	time.Sleep(20 * time.Millisecond)
	if r, body := send("2"); r == logic.Settled && body != "2" || r != logic.Settled && r != logic.Unsent /* not the upstream's fault */ {
		t.Errorf("second attempt: result %d, body %q", r, body)
	}
	<-done
}

// An exchange must not start on a connection before the reader has found nothing more to read.
func TestExchangeStartsOnlyOnAnEmptyConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	attach := func() (*exchange, net.Conn) {
		ctx := withTarget(t.Context(), placeOf(listener), time.Now().Add(time.Second), false)
		conn, err := newTestConns(t).transport.DialContext(ctx, "tcp", "u1:80")
		if err != nil {
			t.Fatal(err)
		}
		upstreamEnd, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close(); upstreamEnd.Close() })
		ex := &exchange{}
		ex.attach(httptrace.GotConnInfo{Conn: conn, Reused: true})
		return ex, upstreamEnd
	}
	write := func(ex *exchange) <-chan error {
		result := make(chan error, 1)
		go func() {
			_, err := ex.conn.Write([]byte("x"))
			result <- err
		}()
		return result
	}

	ex, _ := attach() // the reader is not blocked and may hold bytes
	result := write(ex)
	select {
	case err := <-result:
		t.Errorf("sent while the reader may hold bytes: %v", err)
	case <-time.After(20 * time.Millisecond):
	}
	if ex.abort() {
		t.Error("an exchange that has not started is reported as started")
	}
	if err := <-result; err == nil {
		t.Error("sent after abort")
	}

	ex, upstreamEnd := attach() // bytes that arrive before the exchange starts belong to none
	upstreamEnd.Write([]byte("y"))
	if n, err := ex.conn.Read(make([]byte, 9)); n != 0 || err != errUnexpectedBytes {
		t.Errorf("read %d, %v", n, err)
	}

	ex, upstreamEnd = attach() // the reader is blocked and nothing has arrived
	answer := make(chan byte)
	go func() {
		b := make([]byte, 1)
		ex.conn.Read(b)
		answer <- b[0]
	}()
	if err := <-write(ex); err != nil || !ex.abort() {
		t.Errorf("did not start: %v", err)
	}
	upstreamEnd.Write([]byte("z"))
	if b := <-answer; b != 'z' {
		t.Errorf("read %q", b)
	}
	ex.detach() // the response came before the request was sent completely
	if n, err := ex.conn.Write([]byte("x")); n != 0 || err != errTransactionEnded {
		t.Errorf("the rest of a request was sent after its exchange: %d bytes, %v", n, err)
	}
}
