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

// front is a front with one pool, which takes all.
func front(t testing.TB) (*Front, *shard) {
	book := terms.Decode(fastjson.MustParse(`{"fleet_size":1,"layer":1,"zone":"a","limits":{"max_pushes":2},
		"guarantees":{"cold_from":0.5},"tenants":[{"name":"acme","quota_rps":9}],
		"tariffs":[{"name":"view","hard_stop":1000000,"effect":"idempotent"},
		{"name":"load","hard_stop":1000000,"effect":"deduplicated"}]}`), 1)
	f := New(slog.New(slog.DiscardHandler), desk.NewBalancer)
	f.Limit(100, 1)
	p, err := f.NewPool("main", book)
	if err != nil {
		t.Fatal(err)
	}
	f.Alone(8 << 20)
	f.Show(&Board{Only: p})
	t.Cleanup(p.Retire)
	return f, p.shards[0]
}

// outwards is a pool's connections.
func outwards(t testing.TB) *outbound {
	_, p := front(t)
	return p.out
}

// stay is the place of an upstream that listens at l.
func stay(l net.Listener) roster.Place {
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
	front, pool := front(f)
	f.Fuzz(func(t *testing.T, text string) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			return
		}
		p, tariff, no := front.route(r, nil)
		var q *transaction
		if no == nil {
			p.exit()
			if q, no = read(r, pool.told.Load().book, tariff); no == nil {
				if no = q.wait(httptest.NewRecorder(), r, &inHand{part: pool.part, left: q.left}, func() bool { return false }); no != nil {
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
		if q.left < 0 || len(q.body) > mostBody || q.method != r.Method || q.url.String() != r.URL.String() {
			t.Errorf("read as %+v", q)
		}
		for name := range q.header {
			for _, not := range append(hop, r.Header["Connection"]...) {
				if name == not {
					t.Errorf("%s goes on", name)
				}
			}
		}
	})
}

// hand holds nothing of a pool's part.
func hand(p *shard) *inHand { return &inHand{part: p.part, over: true} }

// broken is a context that panics in the middle of a transaction's life.
type broken struct{ context.Context }

func (broken) Done() <-chan struct{} { panic("a fault of ours") }

func TestPanicIsAnsweredAndTheTransactionGivenUp(t *testing.T) {
	f, p := front(t)
	r := httptest.NewRequest("GET", "/view", nil)
	r.Header.Set("X-Txn", "1")
	w := httptest.NewRecorder()
	f.ServeHTTP(w, r.WithContext(broken{r.Context()}))
	if w.Code != http.StatusInternalServerError {
		t.Errorf("%d", w.Code)
	}
	if n := p.desk.Close(); n != 0 {
		t.Errorf("%d still open", n)
	}
}

// A push that panics may have run all the same, and its outcome reaches the module.
func TestPanicOfAPushIsAnOutcome(t *testing.T) {
	f, p := front(t)
	p.desk.List([]roster.Entry[string]{{Name: "u", Zone: "a", Up: logic.Upstream{Weight: 1}}}, true)
	p.out.transport = nil
	t.Cleanup(func() { p.out.transport = &http.Transport{} })
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

func TestCountsAreGivenBackOnce(t *testing.T) {
	o := outwards(t)
	s := o.sockets
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	to := toward(t.Context(), stay(server.Listener), time.Now().Add(time.Second), false)
	c, err := o.transport.DialContext(to, "tcp", "u1:80")
	if err != nil || s.out.Load() != 1 || o.part.out.Used() != 1 {
		t.Fatal(err, s.out.Load())
	}
	c.Close()
	if c.Close(); s.out.Load() != 0 || o.part.out.Used() != 0 {
		t.Errorf("%d out", s.out.Load())
	}
	s.in.Store(s.limit.Load())
	if _, err := o.transport.DialContext(to, "tcp", "127.0.0.1:1"); err != errFull {
		t.Errorf("dialled beyond the limit: %v", err)
	}
	if ended(t.Context(), errFull, false, false) != logic.Unsent {
		t.Error("a lack of ours is held against the upstream")
	}
}

// Danger: a push that still waits for its connection when the answer is given would go out after it.
func TestNothingGoesOutAfterTheAnswer(t *testing.T) {
	arrived := 0
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived++ }))
	_, pool := front(t)
	p := &desk.Attempt{Context: t.Context(), Place: stay(server.Listener), Deadline: time.Now().Add(time.Second)}
	for _, size := range []int{0, 10, mostBody} { // with the headers, and past the writer's buffer
		q := &transaction{method: "POST", url: &url.URL{Path: "/load"}, header: http.Header{}, body: make([]byte, size), left: time.Second}
		out := &gate{}
		if r, _ := pool.carry(nil, p, q, out, hand(pool), &reply{}); r != logic.Settled {
			t.Fatalf("%d bytes: %d", size, r)
		}
		out.close()
		if r, _ := pool.carry(nil, p, q, out, hand(pool), &reply{}); r != logic.Unsent { // on a kept connection
			t.Errorf("%d bytes: %d after the answer", size, r)
		}
		pool.out.transport.CloseIdleConnections()
		if r, _ := pool.carry(nil, p, q, out, hand(pool), &reply{}); r != logic.Unsent { // on a new one
			t.Errorf("%d bytes: %d after the answer", size, r)
		}
		if !pool.ping(t.Context(), p.Place) {
			t.Error("a probe is held up")
		}
	}
	server.Close()
	if arrived != 6 {
		t.Errorf("%d arrivals", arrived)
	}
}

func TestNothingGoesOutForAClientThatHasLeft(t *testing.T) {
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
		if left(ours) {
			t.Error("said to have left")
		}
		leave(theirs.(*net.TCPConn))
		time.Sleep(10 * time.Millisecond)
		if !left(ours) {
			t.Error("not said to have left")
		}
		if n, err := (&gate{client: ours}).pass(ours, []byte("x")); n != 0 || err != errClosed {
			t.Error(n, err)
		}
		ours.Close()
	}
}

// byHand answers each connection message by message, until answer has enough of it.
func byHand(l net.Listener, answer func(c net.Conn, in *bufio.Reader) bool) {
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
func TestStrayBytesAreNotTheNextAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	asked, waits := make(chan string, 2), make(chan struct{})
	go byHand(l, func(c net.Conn, in *bufio.Reader) bool {
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
	_, pool := front(t)
	dial, dials := pool.out.transport.DialContext, make(chan struct{}, 9)
	pool.out.transport.DialContext = func(ctx context.Context, network, host string) (net.Conn, error) {
		if dials <- struct{}{}; len(dials) > 1 {
			time.Sleep(100 * time.Millisecond) // so that the first connection is free before a second one stands
		}
		return dial(ctx, network, host)
	}
	carry := func(id string) (logic.Result, string) {
		p := &desk.Attempt{Context: t.Context(), Deadline: time.Now().Add(time.Second),
			Place: stay(l)}
		q := &transaction{method: "GET", url: &url.URL{Path: "/view"}, header: http.Header{"X-Txn": {id}}}
		into := &reply{}
		r, _ := pool.carry(nil, p, q, &gate{}, hand(pool), into)
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
func TestRideBeginsOnAnEmptyConnectionOnly(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	board := func() (*ride, net.Conn) {
		ctx := toward(t.Context(), stay(l), time.Now().Add(time.Second), false)
		ours, err := outwards(t).transport.DialContext(ctx, "tcp", "u1:80")
		if err != nil {
			t.Fatal(err)
		}
		theirs, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ours.Close(); theirs.Close() })
		r := &ride{}
		r.board(httptrace.GotConnInfo{Conn: ours, Reused: true})
		return r, theirs
	}
	write := func(r *ride) <-chan error {
		end := make(chan error, 1)
		go func() {
			_, err := r.on.Write([]byte("x"))
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
	if r.bar() {
		t.Error("said to have begun")
	}
	if err := <-end; err == nil {
		t.Error("went out after it was barred")
	}

	r, theirs := board() // what comes before it begins is nobody's
	theirs.Write([]byte("y"))
	if n, err := r.on.Read(make([]byte, 9)); n != 0 || err != errStray {
		t.Errorf("read %d, %v", n, err)
	}

	r, theirs = board() // the reader waits, and nothing has come
	answer := make(chan byte)
	go func() {
		b := make([]byte, 1)
		r.on.Read(b)
		answer <- b[0]
	}()
	if err := <-write(r); err != nil || !r.bar() {
		t.Errorf("did not begin: %v", err)
	}
	theirs.Write([]byte("z"))
	if b := <-answer; b != 'z' {
		t.Errorf("read %q", b)
	}
	r.alight() // its answer came before the rest of it had gone out
	if n, err := r.on.Write([]byte("x")); n != 0 || err != errClosed {
		t.Errorf("the rest of a push went out after its ride: %d, %v", n, err)
	}
}
