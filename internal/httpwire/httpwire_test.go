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

// newTestFrontEnd is a front with one pool, which takes all.
func newTestFrontEnd(t testing.TB) (*FrontEnd, *shard) {
	book := terms.Read(fastjson.MustParse(`{"fleet_size":1,"layer":1,"zone":"a","limits":{"max_pushes":2},
		"guarantees":{"cold_from":0.5},"tenants":[{"name":"acme","quota_rps":9}],
		"tariffs":[{"name":"view","hard_stop":1000000,"effect":"idempotent"},
		{"name":"load","hard_stop":1000000,"effect":"deduplicated"}]}`), 1)
	f := New(slog.New(slog.DiscardHandler), desk.NewBalancer)
	f.SetLimits(100, 1)
	p, err := f.NewPool("main", book)
	if err != nil {
		t.Fatal(err)
	}
	f.SetUnlimited(8 << 20)
	f.SetRouting(&Routing{SinglePool: p})
	t.Cleanup(p.Retire)
	return f, p.shards[0]
}

// newTestConns is a pool's connections.
func newTestConns(t testing.TB) *upstreamConns {
	_, p := newTestFrontEnd(t)
	return p.conns
}

// placeOf is the place of an upstream that listens at l.
func placeOf(l net.Listener) roster.Place {
	return roster.Place{Host: "u1", Address: l.Addr().String(), Kept: new(atomic.Int32)}
}

// FuzzRequest: any message is answered, and what goes on is as the client sent it, less what concerns its
// connection.
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
	front, pool := newTestFrontEnd(f)
	f.Fuzz(func(t *testing.T, text string) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			return
		}
		p, tariff, no := front.findPool(r, nil)
		var q *transaction
		if no == nil {
			p.removeTransaction()
			if q, no = decodeRequest(r, pool.settingsHistory.Load().current, tariff); no == nil {
				if no = q.readBody(httptest.NewRecorder(), r, &reservation{limits: pool.limits, timeout: q.timeout}, func() bool { return false }); no != nil {
					q = nil
				}
			}
		}
		if no != nil {
			if q != nil || no.status != 400 && no.status != 404 && no.status != 411 && no.status != 413 || no.text == "" {
				t.Errorf("refused with %+v", no)
			}
			return
		}
		if q.timeout < 0 || len(q.body) > maxReservedBody || q.method != r.Method || q.url.String() != r.URL.String() {
			t.Errorf("read as %+v", q)
		}
		for name := range q.header {
			for _, not := range append(hopByHop, r.Header["Connection"]...) {
				if name == not {
					t.Errorf("%s goes on", name)
				}
			}
		}
	})
}

// emptyReservation holds nothing of a pool's part.
func emptyReservation(p *shard) *reservation { return &reservation{limits: p.limits, released: true} }

// panicContext is a context that panics in the middle of a transaction's life.
type panicContext struct{ context.Context }

func (panicContext) Done() <-chan struct{} { panic("a fault of ours") }

func TestPanicIsAnsweredAndEndsTheTransaction(t *testing.T) {
	f, p := newTestFrontEnd(t)
	r := httptest.NewRequest("GET", "/view", nil)
	r.Header.Set("X-Txn", "1")
	w := httptest.NewRecorder()
	f.ServeHTTP(w, r.WithContext(panicContext{r.Context()}))
	if w.Code != http.StatusInternalServerError {
		t.Errorf("%d", w.Code)
	}
	if n := p.desk.Close(); n != 0 {
		t.Errorf("%d still open", n)
	}
}

// A push that panics may have run all the same, and its outcome reaches the module.
func TestPanicInAttemptReportsAnOutcome(t *testing.T) {
	f, p := newTestFrontEnd(t)
	p.desk.List([]roster.Entry[string]{{Name: "u", Zone: "a", Up: logic.Upstream{Weight: 1}}}, true)
	p.conns.transport = nil
	t.Cleanup(func() { p.conns.transport = &http.Transport{} })
	for path, want := range map[string]int{"/view": http.StatusServiceUnavailable, "/load": http.StatusBadGateway} {
		r := httptest.NewRequest("POST", path, nil)
		r.Header.Set("X-Txn", "1")
		r.Header.Set("Idempotency-Key", "k")
		w := httptest.NewRecorder()
		if f.ServeHTTP(w, r); w.Code != want {
			t.Errorf("%s: %d", path, w.Code)
		}
	}
}

func TestConnectionIsReleasedOnce(t *testing.T) {
	o := newTestConns(t)
	s := o.tracker
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	to := withTarget(t.Context(), placeOf(server.Listener), time.Now().Add(time.Second), false)
	c, err := o.transport.DialContext(to, "tcp", "u1:80")
	if err != nil || s.upstreams.Load() != 1 || o.limits.connections.Used() != 1 {
		t.Fatal(err, s.upstreams.Load())
	}
	c.Close()
	if c.Close(); s.upstreams.Load() != 0 || o.limits.connections.Used() != 0 {
		t.Errorf("%d out", s.upstreams.Load())
	}
	s.clients.Store(s.limit.Load())
	if _, err := o.transport.DialContext(to, "tcp", "127.0.0.1:1"); err != errNoDescriptor {
		t.Errorf("dialled beyond the limit: %v", err)
	}
	if attemptResult(t.Context(), errNoDescriptor, false, false) != logic.Unsent {
		t.Error("a lack of ours is held against the upstream")
	}
}

// Danger: a push that still waits for its connection when the answer is given would go out after it.
func TestNoAttemptIsSentAfterTheAnswer(t *testing.T) {
	arrived := 0
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived++ }))
	_, pool := newTestFrontEnd(t)
	p := &desk.Attempt{Context: t.Context(), Place: placeOf(server.Listener), Deadline: time.Now().Add(time.Second)}
	for _, size := range []int{0, 10, maxReservedBody} { // with the headers, and past the writer's buffer
		q := &transaction{method: "POST", url: &url.URL{Path: "/load"}, header: http.Header{}, body: make([]byte, size), timeout: time.Second}
		out := &connWriter{}
		if r, _ := pool.send(nil, p, q, out, emptyReservation(pool), &upstreamResponse{}); r != logic.Settled {
			t.Fatalf("%d bytes: %d", size, r)
		}
		out.close()
		if r, _ := pool.send(nil, p, q, out, emptyReservation(pool), &upstreamResponse{}); r != logic.Unsent { // on a kept connection
			t.Errorf("%d bytes: %d after the answer", size, r)
		}
		pool.conns.transport.CloseIdleConnections()
		if r, _ := pool.send(nil, p, q, out, emptyReservation(pool), &upstreamResponse{}); r != logic.Unsent { // on a new one
			t.Errorf("%d bytes: %d after the answer", size, r)
		}
		if !pool.sendProbe(t.Context(), p.Place) {
			t.Error("a probe is held up")
		}
	}
	server.Close()
	if arrived != 6 {
		t.Errorf("%d arrivals", arrived)
	}
}

func TestNothingIsSentForADisconnectedClient(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for _, leave := range []func(c *net.TCPConn){
		func(c *net.TCPConn) { c.Close() },
		func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, // a reset
	} {
		theirs, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		ours := c.(*net.TCPConn)
		go ours.Read(make([]byte, 1)) // as the server does all the while
		time.Sleep(10 * time.Millisecond)
		if clientClosed(ours) {
			t.Error("said to have left")
		}
		leave(theirs.(*net.TCPConn))
		time.Sleep(10 * time.Millisecond)
		if !clientClosed(ours) {
			t.Error("not said to have left")
		}
		if n, err := (&connWriter{client: ours}).write(ours, []byte("x")); n != 0 || err != errTransactionEnded {
			t.Error(n, err)
		}
		ours.Close()
	}
}

// serveManually answers each connection message by message, until answer has enough of it.
func serveManually(l net.Listener, answer func(c net.Conn, in *bufio.Reader) bool) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			for in := bufio.NewReader(c); answer(c, in); {
			}
		}()
	}
}

// Danger: a connection goes straight to a push that waits for one, with bytes behind the answer that it brought.
func TestUnexpectedBytesAreNotTheNextResponse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	asked, waits := make(chan string, 2), make(chan struct{})
	go serveManually(l, func(c net.Conn, in *bufio.Reader) bool {
		r, err := http.ReadRequest(in)
		if err != nil {
			return false
		}
		asked <- r.Header.Get("X-Txn")
		<-waits
		answer := "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + r.Header.Get("X-Txn")
		c.Write([]byte(answer + answer))
		return true
	})
	_, pool := newTestFrontEnd(t)
	dial, dials := pool.conns.transport.DialContext, make(chan struct{}, 9)
	pool.conns.transport.DialContext = func(ctx context.Context, network, host string) (net.Conn, error) {
		if dials <- struct{}{}; len(dials) > 1 {
			time.Sleep(100 * time.Millisecond) // so that the first connection is free before a second one stands
		}
		return dial(ctx, network, host)
	}
	carry := func(id string) (logic.Result, string) {
		p := &desk.Attempt{Context: t.Context(), Deadline: time.Now().Add(time.Second),
			Place: placeOf(l)}
		q := &transaction{method: "GET", url: &url.URL{Path: "/view"}, header: http.Header{"X-Txn": {id}}}
		into := &upstreamResponse{}
		r, _ := pool.send(nil, p, q, &connWriter{}, emptyReservation(pool), into)
		return r, string(into.body)
	}
	go func() {
		<-asked
		time.Sleep(50 * time.Millisecond) // the other waits for a connection by now
		close(waits)
	}()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if r, body := carry("1"); r != logic.Settled || body != "1" {
			t.Errorf("the first: %d %q", r, body)
		}
	}()
	time.Sleep(20 * time.Millisecond)
	if r, body := carry("2"); r == logic.Settled && body != "2" || r != logic.Settled && r != logic.Unsent /* no word against anybody */ {
		t.Errorf("the second: %d %q", r, body)
	}
	<-done
}

// Nothing begins on a connection before its reader has come back and found nothing.
func TestExchangeStartsOnlyOnAnEmptyConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	board := func() (*exchange, net.Conn) {
		ctx := withTarget(t.Context(), placeOf(l), time.Now().Add(time.Second), false)
		ours, err := newTestConns(t).transport.DialContext(ctx, "tcp", "u1:80")
		if err != nil {
			t.Fatal(err)
		}
		theirs, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ours.Close(); theirs.Close() })
		r := &exchange{}
		r.attach(httptrace.GotConnInfo{Conn: ours, Reused: true})
		return r, theirs
	}
	write := func(r *exchange) <-chan error {
		end := make(chan error, 1)
		go func() {
			_, err := r.conn.Write([]byte("x"))
			end <- err
		}()
		return end
	}

	r, _ := board() // the reader has not come back: bytes may be with it
	end := write(r)
	select {
	case err := <-end:
		t.Errorf("went out beside what the reader may have: %v", err)
	case <-time.After(20 * time.Millisecond):
	}
	if r.abort() {
		t.Error("said to have begun")
	}
	if err := <-end; err == nil {
		t.Error("went out after it was barred")
	}

	r, theirs := board() // what comes before it begins is nobody's
	theirs.Write([]byte("y"))
	if n, err := r.conn.Read(make([]byte, 9)); n != 0 || err != errUnexpectedBytes {
		t.Errorf("read %d, %v", n, err)
	}

	r, theirs = board() // the reader waits, and nothing has come
	answer := make(chan byte)
	go func() {
		b := make([]byte, 1)
		r.conn.Read(b)
		answer <- b[0]
	}()
	if err := <-write(r); err != nil || !r.abort() {
		t.Errorf("did not begin: %v", err)
	}
	theirs.Write([]byte("z"))
	if b := <-answer; b != 'z' {
		t.Errorf("read %q", b)
	}
	r.detach() // its answer came before the rest of it had gone out
	if n, err := r.conn.Write([]byte("x")); n != 0 || err != errTransactionEnded {
		t.Errorf("the rest of a push went out after its ride: %d, %v", n, err)
	}
}
