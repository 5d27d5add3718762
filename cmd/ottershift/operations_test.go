package main

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ottershift/internal/ops"
)

func unusedAddress(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startWithOps starts a balancer with an ops address.
func startWithOps(t *testing.T, memory int, upstreams ...*upstream) (b *balancer, opsAddr string) {
	b, opsAddr = &balancer{t: t, address: unusedAddress(t), log: &lockedBuffer{}}, unusedAddress(t)
	b.runUntilCleanup(b.platformConfig(opsAddr, newRegistry(t), memory, 512, platformSettings, upstreams...))
	return b, opsAddr
}

// callOK sends a call to an ops address and fails the test if there is no answer within a second.
func callOK(t *testing.T, opsAddr, what string) (text string, ok bool) {
	t.Helper()
	text, ok, err := ops.Call(opsAddr, what, time.Second)
	if err != nil {
		t.Errorf("%s: %v after %q", what, err, text)
	}
	return text, ok
}

// metric reads one metric, or returns -1 if it is missing.
func metric(t *testing.T, opsAddr, name string) int {
	t.Helper()
	text, _ := callOK(t, opsAddr, "DUMP")
	_, rest, _ := strings.Cut("\n"+text, "\n"+name+" ")
	n := -1
	fmt.Sscan(rest, &n)
	return n
}

func transactionsMetric(tariff, state string) string {
	return fmt.Sprintf(`proxy_transactions{group="%s",state="%s"}`, tariff, state)
}

// Callers that occupy the ops address and clients that flood the main address do not delay the next ops call.
func TestOpsAddressAnswersUnderLoad(t *testing.T) {
	b, opsAddr := startWithOps(t, 192, newUpstream(t, respondWith(okResponse)))
	var held []net.Conn
	for n := range 2 * ops.MaxConnections {
		c, err := net.Dial("tcp", opsAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if n%2 == 0 {
			io.WriteString(c, "HEAL")
		}
		held = append(held, c)
	}
	for range 300 { // more idle connections than the limit
		if c, err := net.Dial("tcp", b.address); err == nil {
			defer c.Close()
		}
	}
	for line, want := range map[string]string{
		"HEALTH\r\n": "SUCCESS\n", "health\n": "SUCCESS\n", "HEALTH": "SUCCESS\n", "\n": "FAILURE", "NOISE\n": "FAILURE",
		strings.Repeat("x", 100) + "\n": "FAILURE", "JOIN\n": "SUCCESS\n",
	} {
		start := time.Now()
		c, err := net.Dial("tcp", opsAddr)
		if err != nil {
			t.Fatal(err)
		}
		for _, part := range strings.SplitAfter(line, "L") {
			io.WriteString(c, part)
		}
		c.(*net.TCPConn).CloseWrite()
		c.SetDeadline(start.Add(2 * time.Second))
		text, _ := io.ReadAll(c)
		if !strings.HasPrefix(string(text), want) || time.Since(start) > time.Second {
			t.Errorf("%q: %q after %s", line, text, time.Since(start))
		}
		c.Close()
	}
	io.WriteString(held[len(held)-2], "TH\n") // the most recent ops connections were not evicted
	held[len(held)-2].SetDeadline(time.Now().Add(time.Second))
	if text, err := io.ReadAll(held[len(held)-2]); err != nil || string(text) != "SUCCESS\n" {
		t.Errorf("a call in two pieces: %q %v", text, err)
	}
}

// The metrics match the counts of the clients and upstreams.
func TestMetricsMatchObservedTraffic(t *testing.T) {
	var sends atomic.Int64
	u := newUpstream(t, func(n int32, r *http.Request, _ []byte, c net.Conn) bool {
		sends.Add(1)
		if n%4 == 0 {
			io.WriteString(c, "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n")
		} else {
			io.WriteString(c, okResponse)
		}
		return true
	})
	b, opsAddr := startWithOps(t, 192, u)
	got := map[string]int{}
	for n := range 120 {
		tariff := []string{"view", "post", "load"}[n%3]
		status, _, _ := b.roundTrip(requestText(tariff, 2, "Content-Length: 0\r\n\r\n"))
		got[fmt.Sprint(tariff, status)]++
	}
	for _, tariff := range []string{"view", "post", "load"} {
		for state, status := range map[string]string{"answered": "200", "deferred": "503", "errored": "502"} {
			if n := metric(t, opsAddr, transactionsMetric(tariff, state)); n != got[tariff+status] {
				t.Errorf("%s %s: %d, seen %d", tariff, state, n, got[tariff+status])
			}
		}
	}
	for name, want := range map[string]int{
		"proxy_sends": int(sends.Load()), "proxy_current": 0, "proxy_cluster_size": 1, "proxy_conf_loaded": 0, "proxy_conf_invalid": 0,
	} {
		if n := metric(t, opsAddr, name); n != want {
			t.Errorf("%s: got %d, want %d", name, n, want)
		}
	}
	if text, _ := callOK(t, opsAddr, "DUMP"); !strings.HasSuffix(text, "\nEOT\n") {
		t.Errorf("ends with %q", text[max(0, len(text)-20):])
	}
}

// After LEAVE a balancer reports unhealthy, loses no transaction and has closed its idle connections after four seconds.
// After JOIN it accepts clients again.
func TestLeaveAndJoin(t *testing.T) {
	b, opsAddr := startWithOps(t, 192, newUpstream(t, echo("")))
	var stop atomic.Bool
	var wg sync.WaitGroup
	var closed atomic.Int64 // connections that the balancer closed
	for n := range 8 {
		c, in := b.dial()
		wg.Go(func() {
			for !stop.Load() {
				status, header, _, err := roundTripOn(c, in, requestText("view", 2, "\r\n"))
				if err != nil && n%2 == 0 || err == nil && status != 200 {
					t.Errorf("on an existing connection: %d %v", status, err)
				}
				if err != nil || header.Get("Connection") == "close" {
					closed.Add(1)
					return
				}
				if n%2 == 0 {
					time.Sleep(10 * time.Millisecond)
				} else { // idle when the balancer closes it
					time.Sleep(2500 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	leftAt := time.Now()
	for range 2 { // the call is idempotent
		if text, ok := callOK(t, opsAddr, "LEAVE"); !ok {
			t.Errorf("%q", text)
		}
	}
	if _, ok := callOK(t, opsAddr, "HEALTH"); ok {
		t.Error("healthy")
	}
	if status, _, _ := b.roundTrip("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n"); status != 503 {
		t.Errorf("health: %d", status)
	}
	silent, in := b.dial()
	time.Sleep(time.Until(leftAt.Add(3900 * time.Millisecond)))
	silent.SetDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := in.ReadByte(); os.IsTimeout(err) {
		t.Error("a silent connection is still open")
	}
	stop.Store(true)
	wg.Wait()
	if n := closed.Load(); n != 8 {
		t.Errorf("%d of 8 connections were closed", n)
	}
	if status, _, _ := b.roundTrip(requestText("view", 1, "\r\n")); status != 503 { // the client can retry at another balancer
		t.Errorf("a transaction after LEAVE: %d", status)
	}
	if text, ok := callOK(t, opsAddr, "JOIN"); !ok {
		t.Errorf("%q", text)
	}
	if _, ok := callOK(t, opsAddr, "HEALTH"); !ok {
		t.Error("unhealthy after JOIN")
	}
	if status, header, _ := b.roundTrip(requestText("view", 1, "\r\n")); status != 200 || header.Get("Connection") == "close" {
		t.Errorf("a transaction after JOIN: %d", status)
	}
}

// Settings are reloaded under load, with one invalid file in three. No transaction is lost, each runs under the terms that
// it arrived under, and a tariff is repeatedly added and removed.
func TestReloadUnderLoad(t *testing.T) {
	u := newUpstream(t, func(_ int32, r *http.Request, _ []byte, c net.Conn) bool {
		time.Sleep(2 * time.Millisecond)
		io.WriteString(c, okResponse)
		return true
	})
	b, opsAddr := startWithOps(t, 192, u)
	good := b.readConfig()
	withSing := strings.Replace(good, `"tariffs":[`, `"tariffs":[{"name":"sing","contract_time":500000,"hard_stop":900000,"effect":"idempotent","earnings":2},`, 1)
	withSing = strings.Replace(withSing, `"max_pushes":4`, `"max_pushes":2`, 1)
	broken := []string{
		"", good[:len(good)/2], strings.Replace(good, `"hard_stop":6000000`, `"hard_stop":0`, 1),
		strings.Replace(good, `"hard_stop":6000000,`, ``, 1), strings.Replace(good, `"max_pushes":4`, `"max_pushes":-4`, 1),
		strings.Replace(good, `"max_pushes":4`, `"max_pushes":"four"`, 1), strings.Replace(good, `"max_pushes":4,`, ``, 1),
		strings.Replace(good, `"contract_time":1000000`, `"contract_time":1e300`, 1), good + good,
		strings.Replace(good, `"idempotent"`, `"whatever"`, 1), strings.Replace(good, `"post"`, `"view"`, 1),
		strings.Replace(good, `"ramp_time":9000000,`, ``, 1), strings.Replace(good, `"layer":1,"zone":"a"`, `"layer":1,"zone":"z"`, 1),
		strings.Replace(good, `"seed":"8c1f30d27a5be964",`, ``, 1),
	}
	var stop atomic.Bool
	var wg sync.WaitGroup
	var lost, done atomic.Int64
	for range 6 {
		c, in := b.dial()
		wg.Go(func() {
			for !stop.Load() {
				if status, _, body, err := roundTripOn(c, in, requestText("view", 2, "\r\n")); err != nil || status != 200 || body != "fine" {
					lost.Add(1)
					t.Errorf("%d %q %v", status, body, err)
					return
				}
				done.Add(1)
			}
		})
	}
	loaded, invalid := 0, 0
	for n := range 15 * len(broken) {
		text := broken[n/3%len(broken)]
		switch n % 3 {
		case 0:
			text, loaded = withSing, loaded+1
		case 1:
			text, loaded = good, loaded+1
		default:
			invalid++
		}
		b.writeConfig(text)
		b.command.Process.Signal(syscall.SIGHUP)
		eventually(t, fmt.Sprintf("file %d is read", n), func() bool {
			return metric(t, opsAddr, "proxy_conf_loaded") == loaded && metric(t, opsAddr, "proxy_conf_invalid") == invalid
		})
		if status, _, _ := b.roundTrip(strings.ReplaceAll(requestText("view", 0.9, "\r\n"), "view", "sing")); status != 200 {
			t.Errorf("a tariff that exists or was just removed: %d", status)
		}
	}
	stop.Store(true)
	wg.Wait()
	if n := metric(t, opsAddr, transactionsMetric("view", "answered")); n != int(done.Load()) {
		t.Errorf("%d answered, seen %d", n, done.Load())
	}
	if n := metric(t, opsAddr, transactionsMetric("sing", "answered")); n != 15*len(broken) {
		t.Errorf("%d answered of the tariff that is added and removed", n)
	}
	b.writeConfig(strings.Replace(good, `"cores":1.0`, `"cores":2.0`, 1))
	b.command.Process.Signal(syscall.SIGHUP)
	eventually(t, "a setting that needs a restart is logged", func() bool { return strings.Contains(b.log.String(), "step=later key=limits.cores") })
	time.Sleep(time.Second)
	if status, _, _ := b.roundTrip(strings.ReplaceAll(requestText("view", 0.9, "\r\n"), "view", "sing")); status != 404 {
		t.Errorf("a removed tariff: %d", status)
	}
}

// A process is replaced repeatedly under load while its successor shares its socket. Every client gets an answer, and the
// two processes detect each other.
func TestProcessReplacementUnderLoad(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	socket, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	folder, r := t.TempDir(), newRegistry(t)
	u := newUpstream(t, func(_ int32, _ *http.Request, _ []byte, c net.Conn) bool {
		time.Sleep(5 * time.Millisecond)
		io.WriteString(c, okResponse)
		return true
	})
	go func() {
		for w := range r.watches {
			w.send(discoveryReport(42, true, entry("u0", u.Addr().String(), "SERVING")))
		}
	}()
	log := &lockedBuffer{}
	next := func() (b *balancer, opsAddr string) {
		b = &balancer{
			t: t, address: l.Addr().String(), log: log, extraFiles: []*os.File{socket},
			env: []string{"PROXY_LISTEN_FD=3", "TMPDIR=" + folder},
		}
		opsAddr = unusedAddress(t)
		b.run(b.platformConfig(opsAddr, r, 64, 512, platformSettings, u))
		t.Cleanup(func() { b.command.Process.Kill(); <-b.exit })
		eventually(t, "the process accepts clients", func() bool {
			_, ok, _ := ops.Call(opsAddr, "HEALTH", time.Second)
			return ok
		})
		return b, opsAddr
	}
	b, _ := next()
	var stop atomic.Bool
	var wg sync.WaitGroup
	for n := range 8 {
		wg.Go(func() {
			var c net.Conn
			var in *bufio.Reader
			for !stop.Load() {
				if c == nil {
					var err error
					if c, err = net.Dial("tcp", l.Addr().String()); err != nil {
						t.Error(err)
						return
					}
					in = bufio.NewReader(c)
				}
				status, header, _, err := roundTripOn(c, in, requestText("view", 2, "\r\n"))
				if err != nil || status != 200 {
					t.Errorf("%d %v", status, err)
					return
				}
				if header.Get("Connection") == "close" || n%2 == 0 {
					c.Close()
					c = nil
				}
			}
		})
	}
	for round := range 11 {
		successor, _ := next()
		if round < 10 {
			b.command.Process.Signal(syscall.SIGTERM)
			select {
			case err := <-b.exit:
				if err != nil {
					t.Errorf("ended with %v", err)
				}
			case <-time.After(3600 * time.Millisecond):
				t.Error("the process did not exit in time")
			}
		} else {
			stop.Store(true) // a killed process loses its transactions, so the load stops first; its slot is freed nevertheless
			wg.Wait()
			b.command.Process.Kill()
			<-b.exit
		}
		b = successor
	}
	eventually(t, "the process detects that it is alone", func() bool { return strings.Contains(log.String(), "processes=1") })
	eventually(t, "the processes detected each other", func() bool { return strings.Contains(log.String(), "processes=2") })
}

func TestInheritedSocketIsValidated(t *testing.T) {
	for fd, want := range map[string]string{"x": "PROXY_LISTEN_FD", "1": "PROXY_LISTEN_FD", "77": "descriptor 77"} {
		b := &balancer{t: t, address: "127.0.0.1:1", log: &lockedBuffer{}}
		t.Setenv("PROXY_LISTEN_FD", fd)
		b.run(b.platformConfig("", newRegistry(t), 64, 512, platformSettings))
		if err := <-b.exit; err == nil || !strings.Contains(b.log.String(), want) {
			t.Errorf("%s: %v %s", fd, err, b.log)
		}
	}
}

// randomBody returns a pseudo-random body of a size and a function for the hash of the bytes read so far.
func randomBody(size int64) (io.Reader, func() [32]byte) {
	hash := sha256.New()
	from := io.LimitReader(rand.NewChaCha8([32]byte{}), size)
	return io.TeeReader(from, hash), func() [32]byte { return [32]byte(hash.Sum(nil)) }
}

// Large bodies and answers, with a length and chunked, sent concurrently and read slowly, are forwarded unchanged in far
// less memory than their size.
func TestLargeBodiesAreStreamed(t *testing.T) {
	const size, memory = 32 << 20, 64
	var arrived sync.Map
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hash := sha256.New()
		n, err := io.Copy(hash, r.Body)
		if err == nil && n > 0 {
			arrived.Store(r.Header.Get("X-Txn"), [32]byte(hash.Sum(nil)))
		}
		if r.URL.Query().Get("big") == "" {
			w.Write([]byte("fine"))
			return
		}
		if r.URL.Query().Get("big") == "length" {
			w.Header().Set("Content-Length", strconv.Itoa(size))
		}
		body, _ := randomBody(size)
		io.Copy(w, body)
	})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(l)
	defer server.Close()
	b, opsAddr := startWithOps(t, memory, &upstream{Listener: l})
	body, sum := randomBody(size)
	io.Copy(io.Discard, body)
	want := sum()
	var wg sync.WaitGroup
	for n := range 16 {
		wg.Go(func() {
			length, id := int64(size), fmt.Sprintf("%016x", nextID.Add(1))
			send, _ := randomBody(size)
			path := "/post"
			if n%4 >= 2 {
				path, length, send = "/post?big="+[]string{"length", "chunks"}[n%2], 5, strings.NewReader("small")
			} else if n%2 == 0 {
				length = -1
			}
			r, _ := http.NewRequest("POST", "http://"+b.address+path, io.NopCloser(send))
			r.ContentLength = length
			if n >= 8 {
				r.Header.Set("Expect", "100-continue")
			}
			r.Header.Set("X-Txn", id)
			r.Header.Set("X-Remaining", "3")
			a, err := (&http.Transport{ExpectContinueTimeout: time.Second, DisableCompression: true}).RoundTrip(r)
			if err != nil {
				t.Error(n, err)
				return
			}
			defer a.Body.Close()
			got := sha256.New()
			var into io.Writer = got
			if n < 8 { // read slowly at first
				io.CopyN(into, a.Body, 100<<10)
				time.Sleep(500 * time.Millisecond)
			}
			count, err := io.Copy(into, a.Body)
			if n%4 >= 2 {
				if [32]byte(got.Sum(nil)) != want || err != nil || a.StatusCode != 200 {
					t.Errorf("%d: %d, an answer of %d bytes, %v", n, a.StatusCode, count, err)
				}
				return
			}
			if sum, _ := arrived.Load(id); sum != want || a.StatusCode != 200 {
				t.Errorf("%d: %d, the body was changed", n, a.StatusCode)
			}
		})
	}
	wg.Wait()
	if n := metric(t, opsAddr, transactionsMetric("post", "answered")); n != 16 {
		t.Errorf("%d answered", n)
	}
	if n := metric(t, opsAddr, "proxy_current"); n != 0 {
		t.Errorf("%d open", n)
	}
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", b.command.Process.Pid))
	_, peak, _ := strings.Cut(string(status), "VmHWM:")
	kb := 0
	if fmt.Sscan(peak, &kb); kb == 0 || kb > memory<<10 {
		t.Errorf("peak of %d kB", kb)
	}
}

// If a response breaks after its first bytes have reached the client, the client sees a truncated answer, and the
// transaction counts as failed and is not retried. A response that breaks earlier may be retried at another upstream.
func TestTruncatedAnswerIsVisibleToClient(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n"
	chunks := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	u := newUpstream(t, func(_ int32, r *http.Request, _ []byte, c net.Conn) bool {
		text := head + strings.Repeat("x", 200000)
		if r.URL.Path == "/post" {
			text = chunks + fmt.Sprintf("%x\r\n%s\r\n", 200000, strings.Repeat("x", 200000))
		}
		io.WriteString(c, text)
		return false
	})
	b, opsAddr := startWithOps(t, 192, u)
	for _, tariff := range []string{"view", "post"} {
		c, in := b.dial()
		status, _, body, err := roundTripOn(c, in, requestText(tariff, 2, "Content-Length: 0\r\n\r\n"))
		if status != 200 || err == nil || len(body) < 100000 {
			t.Errorf("%s: %d, %d bytes, %v", tariff, status, len(body), err)
		}
		eventually(t, tariff+" is counted as failed", func() bool { return metric(t, opsAddr, transactionsMetric(tariff, "errored")) == 1 })
	}
	if n := u.requests.Load(); n != 2 {
		t.Errorf("%d attempts", n)
	}
}

// A slow client does not count against an upstream. The time of its transaction starts with its last byte.
func TestSlowClientsAreServed(t *testing.T) {
	b, _ := startWithOps(t, 64, newUpstream(t, func(_ int32, r *http.Request, body []byte, c net.Conn) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%d", len(strconv.Itoa(len(body))), len(body))
		return true
	}))
	var wg sync.WaitGroup
	for name, size := range map[string]int{"head": 0, "body": 200 << 10, "huge": 20 << 20} {
		wg.Go(func() {
			conn, in := b.dial()
			text := requestText("post", 0.8, fmt.Sprintf("Content-Length: %d\r\n\r\n", size))
			if name == "head" {
				io.WriteString(conn, text[:20])
				time.Sleep(1900 * time.Millisecond)
				text = text[20:]
			}
			io.WriteString(conn, text)
			slow := min(size, 190<<10)
			for sent := 0; sent < size; {
				n := min(8<<10, size-sent)
				if sent >= slow {
					n = size - sent
				}
				conn.Write(make([]byte, n))
				if sent += n; sent <= slow {
					time.Sleep(125 * time.Millisecond) // 64 kB a second
				}
			}
			conn.SetDeadline(time.Now().Add(3 * time.Second))
			a, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Errorf("%s: %v", name, err)
				return
			}
			if got, _ := io.ReadAll(a.Body); a.StatusCode != 200 || string(got) != strconv.Itoa(size) {
				t.Errorf("%s: %d %q", name, a.StatusCode, got)
			}
		})
	}
	wg.Wait()
}

// Clients that send nothing, or stall in a head or a body, are evicted in favour of active ones. Active clients are served
// on new connections, even if they send slowly, and the ops address answers.
func TestStalledClientsAreEvicted(t *testing.T) {
	b, opsAddr := startWithOps(t, 32, newUpstream(t, respondWith(okResponse)))
	var stop atomic.Bool
	var wg sync.WaitGroup
	for n := range 15 { // together they open several times as many connections as there are descriptors
		wg.Go(func() {
			var held []net.Conn
			for !stop.Load() {
				c, err := net.Dial("tcp", b.address)
				if err != nil {
					continue
				}
				held = append(held, c)
				text := requestText("post", 3, "Content-Length: 50000\r\n\r\n")
				io.WriteString(c, []string{"", text[:30], text + strings.Repeat("x", 20000)}[n%3])
				if len(held) > 60 {
					held[0].Close()
					held = held[1:]
				}
				time.Sleep(15 * time.Millisecond)
			}
			for _, c := range held {
				c.Close()
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	var good sync.WaitGroup
	for range 4 {
		good.Go(func() {
			for range 6 {
				c, in := b.dial()
				text := requestText("post", 2, "Content-Length: 32000\r\n\r\n"+strings.Repeat("x", 32000))
				c.SetDeadline(time.Now().Add(5 * time.Second))
				for part := 0; part < len(text); part += 3200 {
					io.WriteString(c, text[part:min(part+3200, len(text))])
					time.Sleep(5 * time.Millisecond)
				}
				if a, err := http.ReadResponse(in, nil); err != nil || a.StatusCode != 200 {
					t.Errorf("an active client: %v %v", a, err)
				}
				c.Close()
			}
		})
	}
	for range 5 {
		if _, ok := callOK(t, opsAddr, "HEALTH"); !ok {
			t.Error("not healthy")
		}
		time.Sleep(100 * time.Millisecond)
	}
	good.Wait()
	stop.Store(true)
	wg.Wait()
	if n := b.descriptorCount(); n > 512 {
		t.Errorf("%d open descriptors", n)
	}
}

// A slow answer without a stated length is streamed from its first bytes. If it were buffered until it is known to be
// long, its contract time would expire meanwhile and a timely answer would be lost.
func TestSlowLongAnswersAreStreamedImmediately(t *testing.T) {
	b, _ := startWithOps(t, 64, newUpstream(t, func(_ int32, _ *http.Request, _ []byte, c net.Conn) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for range 30 {
			if _, err := fmt.Fprintf(c, "1000\r\n%s\r\n", strings.Repeat("x", 4096)); err != nil {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}))
	c, in := b.dial()
	start := time.Now()
	io.WriteString(c, requestText("view", 0.7, "\r\n")) // the whole answer takes twice as long
	c.SetDeadline(start.Add(5 * time.Second))
	a, err := http.ReadResponse(in, nil)
	if err != nil || a.StatusCode != 200 || time.Since(start) > 400*time.Millisecond {
		t.Fatalf("%v %v after %s", a, err, time.Since(start))
	}
	if n, err := io.Copy(io.Discard, a.Body); n != 30*4096 || err != nil {
		t.Errorf("%d bytes, %v", n, err)
	}
}
