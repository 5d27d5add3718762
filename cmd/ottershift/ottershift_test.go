package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ottershift/internal/desk"
	"ottershift/internal/figures"
	"ottershift/internal/plan"
)

// The test doubles implement only the wire protocol: an upstream with scripted answers, a discovery service with scripted
// lists, and a client that writes raw requests.

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "ottershift")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "ottershift")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// upstream counts the complete requests and passes each to handle with its connection.
type upstream struct {
	net.Listener
	requests atomic.Int32
	opened   atomic.Int32
	closed   chan struct{} // receives a value when the balancer closes a waiting connection
	handle   func(n int32, r *http.Request, body []byte, c net.Conn) (keep bool)
}

func newUpstream(t *testing.T, handle func(n int32, r *http.Request, body []byte, c net.Conn) bool) *upstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{Listener: l, handle: handle, closed: make(chan struct{}, 100)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.opened.Add(1)
			go u.serve(c)
		}
	}()
	return u
}

func (u *upstream) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			u.recordClosed()
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.URL.Path == "/ping" {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if !u.handle(u.requests.Add(1), r, body, c) {
			return
		}
	}
}

// hang waits until the balancer closes the connection.
func (u *upstream) hang(c net.Conn) bool {
	c.Read(make([]byte, 1))
	u.recordClosed()
	return false
}

func (u *upstream) recordClosed() {
	select {
	case u.closed <- struct{}{}:
	default:
	}
}

// respondWith returns a handler that sends the same response to every request.
func respondWith(answer string) func(int32, *http.Request, []byte, net.Conn) bool {
	return func(_ int32, _ *http.Request, _ []byte, c net.Conn) bool {
		_, err := io.WriteString(c, answer)
		return err == nil
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine"

// entry returns an upstream entry of a discovery list.
func entry(name, address, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","type":"m","group":1,"status":%q,"weight":1,"since_ms":0}`,
		name, address, status)
}

func discoveryReport(index int, whole bool, entries ...string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":%t,"endpoints":[%s]}`, index, whole, strings.Join(entries, ","))
}

// registry emulates discovery. Each watch receives the lines sent on its channel.
type registry struct {
	net.Listener
	watches  chan watch
	snapshot string // the answer to a request that is not a watch
}

type watch struct {
	query string
	lines chan string
	end   chan struct{}
}

func (w watch) send(line string) { w.lines <- line }

func newRegistry(t *testing.T) *registry {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &registry{Listener: l, watches: make(chan watch, 10)}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		current := watch{q.URL.RawQuery, make(chan string, 10), make(chan struct{})}
		r.watches <- current
		if current.query == "" {
			io.WriteString(w, r.snapshot)
			return
		}
		for {
			http.NewResponseController(w).Flush()
			select {
			case line := <-current.lines:
				io.WriteString(w, line+"\n")
			case <-current.end:
				return
			case <-q.Context().Done():
				return
			}
		}
	})}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return r
}

func (r *registry) next(t *testing.T) watch {
	t.Helper()
	select {
	case w := <-r.watches:
		return w
	case <-time.After(8 * time.Second):
		t.Fatal("no watch request within 8 s")
	}
	panic("unreachable")
}

// platformSettings define three tariffs: view may be retried, post must not run twice, and load carries an idempotency key
// that is known within its group.
const platformSettings = `{"fleet_size":1,"self_index":0,"layer":1,"zone":"a","zones":["a"],"registry_mode":"push",
 "limits":{"cancelling":true,"max_pushes":4,"probes":true,"second_copies":true,"dial_timeout":200000,"idle_close":600000},
 "guarantees":{"cold_from":0.2,"ramp_time":9000000,"fall_multiple":3,"overload_for":1000000},
 "tenants":[{"name":"acme","quota_rps":1000,"share":1}],
 "tariffs":[
  {"name":"view","contract_time":1000000,"hard_stop":6000000,"effect":"idempotent","earnings":1},
  {"name":"post","contract_time":1000000,"hard_stop":3000000,"effect":"at_most_once","earnings":1},
  {"name":"load","contract_time":1000000,"hard_stop":3000000,"effect":"deduplicated","group":"cell","dedup_window":4000000,"earnings":1}]}`

// balancer is a running process of the program.
type balancer struct {
	t          *testing.T
	file       string // configuration file
	address    string
	command    *exec.Cmd
	env        []string   // in addition to the environment of the test
	extraFiles []*os.File // inherited by the process
	log        *lockedBuffer
	exit       <-chan error
}

// lockedBuffer is a buffer that can be read while the program writes to it.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// platformConfig returns a configuration with some upstreams; opsAddr is the ops address, "" for none.
func (b *balancer) platformConfig(opsAddr string, r *registry, memory, sockets int, settings string, upstreams ...*upstream) string {
	var known []string
	for n, u := range upstreams {
		known = append(known, entry(fmt.Sprintf("u%d", n), u.Addr().String(), "SERVING"))
	}
	return fmt.Sprintf(`{"name":"n0","listen":%q,"ops":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},"known":%s,"settings":%s}`,
		b.address, opsAddr, r.Addr(), memory, sockets, discoveryReport(41, true, known...), settings)
}

// start runs the program with some upstreams and waits until it is ready.
func start(t *testing.T, r *registry, sockets int, settings string, upstreams ...*upstream) *balancer {
	t.Helper()
	b := &balancer{t: t, address: unusedAddress(t), log: &lockedBuffer{}}
	b.runUntilCleanup(b.platformConfig("", r, 192, sockets, settings, upstreams...))
	return b
}

// runUntilCleanup runs the program until the test ends and waits until it is ready.
func (b *balancer) runUntilCleanup(config string) {
	b.run(config)
	b.t.Cleanup(func() {
		b.command.Process.Kill()
		<-b.exit
	})
	b.waitReady(b.t)
}

// waitReady waits until the health check succeeds.
func (b *balancer) waitReady(t testing.TB) {
	t.Helper()
	for range 300 {
		if a, err := http.Get("http://" + b.address + "/_health"); err == nil {
			a.Body.Close()
			if a.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("not ready: %s", b.log)
}

// launch starts the program with the given arguments.
func (b *balancer) launch(t testing.TB, args ...string) {
	t.Helper()
	b.command = exec.Command(program, args...)
	b.command.Env = append(append(os.Environ(), "PROXY_CONFIG="+b.file), b.env...)
	b.command.Stderr, b.command.ExtraFiles = b.log, b.extraFiles
	if err := b.command.Start(); err != nil {
		t.Fatal(err)
	}
	command, exit := b.command, make(chan error, 1)
	b.exit = exit
	go func() { exit <- command.Wait(); close(exit) }()
}

func (b *balancer) run(config string) {
	b.file = filepath.Join(b.t.TempDir(), "config.json")
	b.writeConfig(config)
	b.launch(b.t)
}

func (b *balancer) writeConfig(text string) {
	b.t.Helper()
	if err := os.WriteFile(b.file, []byte(text), 0o600); err != nil {
		b.t.Fatal(err)
	}
}

func (b *balancer) readConfig() string {
	b.t.Helper()
	text, err := os.ReadFile(b.file)
	if err != nil {
		b.t.Fatal(err)
	}
	return string(text)
}

// descriptorCount returns the number of descriptors that the process has open.
func (b *balancer) descriptorCount() int {
	open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", b.command.Process.Pid))
	return len(open)
}

// dial opens a client connection that is closed when the test ends.
func (b *balancer) dial() (net.Conn, *bufio.Reader) {
	b.t.Helper()
	c, err := net.Dial("tcp", b.address)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { c.Close() })
	return c, bufio.NewReader(c)
}

// eventually fails the test if the condition does not hold within three seconds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 300 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("condition not met within three seconds: " + what)
}

// echo returns a handler that responds with the request's id, followed by more after the end of the response.
func echo(more string) func(int32, *http.Request, []byte, net.Conn) bool {
	return func(_ int32, r *http.Request, _ []byte, c net.Conn) bool {
		id := r.Header.Get("X-Txn")
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s%s", len(id), id, more)
		return err == nil
	}
}

var nextID atomic.Int64

// requestText returns a raw client request up to its last headers, followed by more.
func requestText(tariff string, remaining float64, more string) string {
	method, key := "GET", ""
	if tariff != "view" {
		method = "POST"
	}
	if tariff == "load" {
		key = "Idempotency-Key: 5c0f\r\n"
	}
	return fmt.Sprintf("%s /%s?page=a%%2Fb HTTP/1.1\r\nHost: backend.local\r\nX-Txn: %016x\r\nX-Lane: %s\r\n"+
		"X-Org: acme\r\nX-Remaining: %.3f\r\n%s%s", method, tariff, nextID.Add(1), tariff, remaining, key, more)
}

// roundTrip writes a request on a new connection and reads the answer.
func (b *balancer) roundTrip(text string) (status int, header http.Header, body string) {
	b.t.Helper()
	c, err := net.Dial("tcp", b.address)
	if err != nil {
		b.t.Fatal(err)
	}
	defer c.Close()
	status, header, body, err = roundTripOn(c, bufio.NewReader(c), text)
	if err != nil {
		b.t.Fatalf("%v after %q", err, text)
	}
	return status, header, body
}

// roundTripOn writes a request on an existing connection and reads the answer.
func roundTripOn(c net.Conn, in *bufio.Reader, text string) (int, http.Header, string, error) {
	c.SetDeadline(time.Now().Add(8 * time.Second))
	io.WriteString(c, text)
	a, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, nil, "", err
	}
	if a.Close {
		a.Header.Set("Connection", "close") // net/http removes the header
	}
	body, err := io.ReadAll(a.Body)
	return a.StatusCode, a.Header, string(body), err
}

func TestTransactionIsForwardedUnchanged(t *testing.T) {
	big := strings.Repeat("x", 64<<10)
	type arrival struct {
		*http.Request
		body string
	}
	arrivals := make(chan arrival, 1)
	u := newUpstream(t, func(_ int32, r *http.Request, body []byte, c net.Conn) bool {
		arrivals <- arrival{r, string(body)}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n%s", len(big), big)
		return true
	})
	b := start(t, newRegistry(t), 1024, platformSettings, u)
	text := requestText("load", 0.48, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(big), big))
	status, header, body := b.roundTrip(text)
	if status != 200 || body != big || header.Get("Content-Encoding") != "gzip" {
		t.Errorf("answered %d, %d bytes, %v", status, len(body), header)
	}
	got := <-arrivals
	if got.Method != "POST" || got.RequestURI != "/load?page=a%2Fb" || got.Host != "backend.local" ||
		got.body != big || !strings.Contains(text, got.Header.Get("X-Txn")) ||
		got.Header.Get("Idempotency-Key") != "5c0f" || got.Header.Get("X-Lane") != "load" {
		t.Errorf("forwarded as %+v", got)
	}
	var left float64
	if fmt.Sscan(got.Header.Get("X-Remaining"), &left); left > 0.48 || left < 0.4 {
		t.Errorf("X-Remaining %q", got.Header.Get("X-Remaining"))
	}
	b.roundTrip(requestText("view", 1, "\r\n"))
	if got = <-arrivals; got.Method != "GET" || got.Header.Get("Content-Length") != "" ||
		got.Header.Get("Transfer-Encoding") != "" || got.Header.Get("Accept-Encoding") != "" {
		t.Errorf("forwarded as %+v", got)
	}
}

// When a kept-alive connection breaks, http.Transport by itself resends a GET, or a POST with Idempotency-Key, which would
// be a second attempt that the balancer does not know of.
func TestBrokenConnectionIsNotResent(t *testing.T) {
	for _, tariff := range []string{"view", "load", "post"} {
		t.Run(tariff, func(t *testing.T) {
			u := newUpstream(t, func(n int32, _ *http.Request, _ []byte, c net.Conn) bool {
				if n > 1 {
					return false // closes without a response after a complete request
				}
				io.WriteString(c, okResponse)
				return true
			})
			b := start(t, newRegistry(t), 1024, platformSettings, u)
			for range 2 {
				b.roundTrip(requestText(tariff, 1, "Content-Length: 0\r\n\r\n"))
			}
			if n := u.requests.Load(); n != 2 || u.opened.Load() != 1 {
				t.Errorf("%d arrivals on %d connections for two requests", n, u.opened.Load())
			}
		})
	}
}

// The status for a failed transaction depends on whether the attempt may have run.
func TestOutcomes(t *testing.T) {
	full := "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct {
		name, answer string
		post, view   int
	}{
		{"settled", okResponse, 200, 200},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n", 200, 200},
		{"error", "HTTP/1.1 500 Oh\r\nContent-Length: 2\r\n\r\nno", 502, 503},
		{"turned away", full, 503, 503},
		{"turned away late", strings.Replace(full, "503 Full", "504 Late", 1), 503, 503},
		{"503 of another", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", 502, 503},
		{"429 of another", "HTTP/1.1 429 Much\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", 502, 503},
		{"redirect", "HTTP/1.1 302 Go\r\nLocation: /post\r\nContent-Length: 0\r\n\r\n", 502, 503},
		{"cut", "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nfi", 502, 503},
		{"cut chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfi", 502, 503},
		{"long", "HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", 65537), 200, 200},
		{"long in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" +
			strings.Repeat("x", 65537) + "\r\n0\r\n\r\n", 200, 200},
		{"no HTTP", "good day\r\n\r\n", 502, 503},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nfine", 502, 503},
		{"no length", "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nfine", 502, 503},
		{"3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 1<<20), 502, 503},
		{"endless head", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-More: and more\r\n", 9999), 502, 503},
		{"endless line", strings.Repeat("HTTP", 99999), 502, 503},
		{"not found", "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", 404, 404}, // a client error is passed on
		{"bad", "HTTP/1.1 400 No\r\nContent-Length: 2\r\n\r\nno", 400, 400},
		{"1xx ahead", "HTTP/1.1 103 Soon\r\nLink: a\r\n\r\nHTTP/1.1 102 On\r\n\r\n" + okResponse, 200, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := newUpstream(t, func(_ int32, _ *http.Request, _ []byte, conn net.Conn) bool {
				io.WriteString(conn, c.answer)
				return c.post == 200
			})
			b := start(t, newRegistry(t), 1024, platformSettings, u)
			if status, _, body := b.roundTrip(requestText("post", 1, "Content-Length: 0\r\n\r\n")); status != c.post ||
				(status == 200) != (body == "fine" || body == strings.Repeat("x", 65537)) {
				t.Errorf("post: %d %q", status, body)
			}
			time.Sleep(20 * time.Millisecond) // gives the balancer time to notice a closed connection and not reuse it
			if status, _, _ := b.roundTrip(requestText("view", 1, "\r\n")); status != c.view {
				t.Errorf("view: %d", status)
			}
			if n := u.requests.Load(); n != 2 {
				t.Errorf("%d arrivals", n)
			}
		})
	}
	t.Run("error without its body", func(t *testing.T) {
		var u *upstream
		u = newUpstream(t, func(_ int32, _ *http.Request, _ []byte, c net.Conn) bool {
			io.WriteString(c, "HTTP/1.1 500 Oh\r\nContent-Length: 9\r\n\r\nwhat")
			return u.hang(c)
		})
		b := start(t, newRegistry(t), 1024, platformSettings, u)
		began := time.Now()
		if status, _, _ := b.roundTrip(requestText("post", 3, "Content-Length: 0\r\n\r\n")); status != 502 ||
			time.Since(began) > 500*time.Millisecond {
			t.Errorf("%d after %s", status, time.Since(began))
		}
	})
	t.Run("no connection", func(t *testing.T) {
		u := newUpstream(t, nil)
		u.Close()
		b := start(t, newRegistry(t), 1024, platformSettings, u)
		if status, _, _ := b.roundTrip(requestText("post", 1, "Content-Length: 0\r\n\r\n")); status != 503 {
			t.Errorf("%d", status)
		}
	})
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	u := newUpstream(t, respondWith(okResponse))
	b := start(t, newRegistry(t), 1024, platformSettings, u)
	good := requestText("view", 1, "\r\n")
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"no HTTP", "\x16\x03\x01\r\n\r\n", 400},
		{"no id", strings.Replace(good, "X-Txn", "X-Not", 1), 400},
		{"unknown tariff", strings.ReplaceAll(good, "view", "sing"), 404},
		{"no tariff at all", strings.Replace(strings.Replace(good, "/view", "/", 1), "X-Lane: view\r\n", "", 1), 404},
		{"two tariffs", strings.Replace(good, "/view", "/post", 1), 400},
		{"unknown customer", strings.Replace(good, "acme", "nobody", 1), 400},
		{"time", strings.Replace(good, "1.000", "soon", 1), 400},
		{"no number", strings.Replace(good, "1.000", "NaN", 1), 400},
		{"empty", strings.Replace(good, "1.000", "", 1), 400},
		{"no decimals", strings.Replace(good, "1.000", "1e3", 1), 400},
		{"hexadecimal", strings.Replace(good, "1.000", "0x1p3", 1), 400},
		{"infinite", strings.Replace(good, "1.000", "Inf", 1), 400},
		{"two ids", strings.Replace(good, "X-Lane", "X-Txn: 7\r\nX-Lane", 1), 400},
		{"before", strings.Replace(good, "1.000", "-1", 1), 400},
		{"method", strings.Replace(good, "GET", "PUT", 1), 400},
		{"no key", strings.Replace(requestText("load", 1, "Content-Length: 0\r\n\r\n"), "Idempotency-Key", "X-Key", 1), 400},
		{"long body", requestText("post", 1, "Content-Length: 60000000\r\n\r\n"), 413},
		{"bad chunks", requestText("post", 1, "Transfer-Encoding: chunked\r\n\r\nzz\r\n"), 400},
		{"long header", strings.Replace(good, "acme", strings.Repeat("a", 64<<10), 1), 431},
	} {
		if status, _, _ := b.roundTrip(c.text); status != c.status {
			t.Errorf("%s: %d", c.name, status)
		}
	}
	if n := u.requests.Load(); n != 0 {
		t.Errorf("%d requests reached the upstream", n)
	}
	for _, text := range []string{good, strings.Replace(requestText("view", 1, "\r\n"), "1.000", "99999999999", 1),
		strings.Replace(requestText("view", 1, "\r\n"), "X-Remaining: 1.000\r\n", "", 1)} {
		if status, _, body := b.roundTrip(text); status != 200 || body != "fine" {
			t.Errorf("%q: %d %q\n%s", text, status, body, b.log)
		}
	}
}

func TestInvalidConfigExitsWithOneLogLine(t *testing.T) {
	const head = `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"ff",`
	for config, want := range map[string]string{
		`{`:                        "not JSON",
		`{"listen":"127.0.0.1:0"}`: "no address of discovery",
		`[]`:                       "no address to listen on",
		head + `"settings":{}}`:    "terms: no balancers",
		head + `"settings":7}`:     "no settings",
		head + `"known":7,"settings":` + platformSettings + `}`:                                     "known: not a list",
		strings.Replace(head, "ff", "xx", 1) + `"settings":` + platformSettings + `}`:               "seed",
		strings.Replace(head, "127.0.0.1:0", "nowhere", 1) + `"settings":` + platformSettings + `}`: "listen tcp",
	} {
		b := &balancer{t: t, log: &lockedBuffer{}}
		b.run(config)
		if err := <-b.exit; err == nil || strings.Count(b.log.String(), "\n") != 1 || !strings.Contains(b.log.String(), want) {
			t.Errorf("%s: %v, log %q", config, err, b.log)
		}
	}
}

// The balancer answers by the hard stop and then cancels the pending attempt.
func TestHardStop(t *testing.T) {
	var u *upstream
	u = newUpstream(t, func(_ int32, _ *http.Request, _ []byte, c net.Conn) bool { return u.hang(c) })
	b := start(t, newRegistry(t), 1024, platformSettings, u)
	began := time.Now()
	status, _, _ := b.roundTrip(requestText("post", 0.3, "Content-Length: 0\r\n\r\n"))
	if took := time.Since(began); status != 502 || took < 250*time.Millisecond || took > 300*time.Millisecond {
		t.Errorf("%d after %s", status, took)
	}
	u.waitClosed(t)
}

func (u *upstream) waitClosed(t *testing.T) {
	t.Helper()
	select {
	case <-u.closed:
	case <-time.After(2 * time.Second):
		t.Error("the attempt was not cancelled")
	}
}

func TestClientDisconnectCancelsAttempt(t *testing.T) {
	var u *upstream
	u = newUpstream(t, func(_ int32, _ *http.Request, _ []byte, c net.Conn) bool { return u.hang(c) })
	b := start(t, newRegistry(t), 1024, platformSettings, u)
	c, _ := b.dial()
	io.WriteString(c, requestText("post", 3, "Content-Length: 0\r\n\r\n"))
	eventually(t, "the attempt has started", func() bool { return u.requests.Load() == 1 })
	began := time.Now()
	c.Close()
	if u.waitClosed(t); time.Since(began) > time.Second {
		t.Error("the attempt was cancelled late")
	}
}

// The hedge goes to the other upstream and answers first. The slow attempt is cancelled, even after its client has gone.
func TestSlowAttemptIsHedged(t *testing.T) {
	var hangs atomic.Bool // applies to the next request
	var slow atomic.Pointer[upstream]
	var us [2]*upstream
	for i := range us {
		us[i] = newUpstream(t, func(_ int32, _ *http.Request, _ []byte, c net.Conn) bool {
			if hangs.CompareAndSwap(true, false) {
				slow.Store(us[i])
				return us[i].hang(c)
			}
			_, err := io.WriteString(c, okResponse)
			return err == nil
		})
	}
	b := start(t, newRegistry(t), 1024, platformSettings, us[0], us[1])
	for range 40 {
		b.roundTrip(requestText("view", 3, "\r\n"))
	}
	time.Sleep(250 * time.Millisecond) // the latency quantile is computed a few times a second
	b.roundTrip(requestText("view", 3, "\r\n"))
	hangs.Store(true)
	began := time.Now()
	if status, _, _ := b.roundTrip(requestText("view", 3, "\r\n")); status != 200 || time.Since(began) > time.Second {
		t.Errorf("%d after %s", status, time.Since(began))
	}
	if n := us[0].requests.Load() + us[1].requests.Load(); n != 43 {
		t.Errorf("%d arrivals", n)
	}
	slow.Load().waitClosed(t)
}

// The balancer closes idle connections before the upstream does: a request written to a connection that the upstream is
// closing as idle may have run.
func TestIdleConnectionsAreClosedInTime(t *testing.T) {
	u := newUpstream(t, respondWith(okResponse))
	b := start(t, newRegistry(t), 1024, platformSettings, u)
	b.roundTrip(requestText("view", 1, "\r\n"))
	began := time.Now()
	if u.waitClosed(t); time.Since(began) > 600*time.Millisecond {
		t.Errorf("closed after %s", time.Since(began))
	}
}

func TestListIsFollowed(t *testing.T) {
	u, v, x := newUpstream(t, respondWith(okResponse)), newUpstream(t, respondWith(okResponse)), newUpstream(t, respondWith(okResponse))
	r := newRegistry(t)
	b := start(t, r, 1024, platformSettings, u)
	w := r.next(t)
	if w.query != "watch=1&after=41" {
		t.Errorf("watched with %q", w.query)
	}
	to := func(want *upstream) {
		t.Helper()
		for range 100 { // an update takes effect after a short delay
			before := want.requests.Load()
			if b.roundTrip(requestText("view", 1, "\r\n")); want.requests.Load() > before {
				before = want.requests.Load()
				for range 10 {
					b.roundTrip(requestText("view", 1, "\r\n"))
				}
				if want.requests.Load() == before+10 {
					return
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Error("the list update was not applied")
	}
	w.send("")
	w.send(discoveryReport(42, false, entry("u0", u.Addr().String(), "DRAINING"), entry("u1", v.Addr().String(), "SERVING"),
		entry("odd", "", "SERVING"), entry("odder", "127.0.0.1:1", "DANCING")))
	to(v)
	// A watch that ends is reopened; index and address may have changed.
	close(w.end)
	w = r.next(t)
	if w.query != "watch=1&after=42" {
		t.Errorf("watched with %q", w.query)
	}
	w.send(discoveryReport(3, true, entry("u1", x.Addr().String(), "SERVING")))
	to(x)
	// A watch that sends invalid data or misses more than two heartbeats is reopened, too.
	w.send(`{"index":`)
	if w = r.next(t); w.query != "watch=1&after=3" {
		t.Errorf("watched with %q", w.query)
	}
	began := time.Now()
	r.next(t)
	if took := time.Since(began); took < 4*time.Second || took > 6*time.Second {
		t.Errorf("a silent watch was closed after %s", took)
	}
	to(x)
}

func TestListIsPolledInAskMode(t *testing.T) {
	u := newUpstream(t, respondWith(okResponse))
	r := newRegistry(t)
	start(t, r, 1024, strings.Replace(platformSettings, `"push"`, `"ask"`, 1), u)
	close(r.next(t).end)
	began := time.Now()
	r.next(t) // the decision engine requests the list again after a delay
	if took := time.Since(began); took < 200*time.Millisecond {
		t.Errorf("asked again after %s", took)
	}
}

// Without an initial list, a balancer becomes ready once discovery has sent one. Killed and restarted at the same address,
// it continues from its new configuration and the updates to it.
func TestReadyAfterFirstList(t *testing.T) {
	u := newUpstream(t, respondWith(okResponse))
	r := newRegistry(t)
	told := make(chan struct{})
	go func() {
		defer close(told)
		w := <-r.watches
		w.send(discoveryReport(5, true, entry("u", u.Addr().String(), "SERVING")))
	}()
	b := start(t, r, 1024, platformSettings)
	select {
	case <-told:
	default:
		t.Error("ready without a list")
	}
	if status, _, _ := b.roundTrip(requestText("view", 1, "\r\n")); status != 200 {
		t.Errorf("%d", status)
	}
	b.command.Process.Kill()
	<-b.exit
	b.run(fmt.Sprintf(`{"listen":%q,"discovery":%q,"seed":"1","known":%s,"settings":%s}`, b.address, r.Addr(),
		discoveryReport(4, true, entry("old", "127.0.0.1:1", "SERVING")), platformSettings))
	w := r.next(t)
	if w.query != "watch=1&after=4" {
		t.Errorf("watched with %q", w.query)
	}
	w.send(discoveryReport(6, false, entry("u", u.Addr().String(), "SERVING"), entry("old", "127.0.0.1:1", "DELETED")))
	for range 100 {
		c, err := net.Dial("tcp", b.address)
		if err == nil {
			status, _, _, _ := roundTripOn(c, bufio.NewReader(c), requestText("view", 1, "\r\n"))
			if c.Close(); status == 200 {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("not serving after the restart")
}

// After SIGTERM new clients are still served for a while and connections close with their answers. A transaction that would
// take longer is answered before the process is killed.
func TestDrain(t *testing.T) {
	var u *upstream
	u = newUpstream(t, func(_ int32, r *http.Request, _ []byte, c net.Conn) bool {
		if r.URL.Path == "/post" {
			return u.hang(c)
		}
		time.Sleep(100 * time.Millisecond)
		io.WriteString(c, okResponse)
		return true
	})
	b := start(t, newRegistry(t), 1024, platformSettings, u)
	var wg sync.WaitGroup
	wg.Add(1)
	began := time.Now()
	go func() {
		defer wg.Done()
		if status, _, _ := b.roundTrip(requestText("post", 6, "Content-Length: 0\r\n\r\n")); status != 502 {
			t.Errorf("what hangs: %d", status)
		}
		if took := time.Since(began); took < 3*time.Second || took > 3700*time.Millisecond {
			t.Errorf("what hangs was answered after %s", took)
		}
	}()
	kept, in := b.dial()
	if _, header, _, _ := roundTripOn(kept, in, requestText("view", 1, "\r\n")); header.Get("Connection") == "close" {
		t.Error("closed before its time")
	}
	b.command.Process.Signal(syscall.SIGTERM)
	time.Sleep(50 * time.Millisecond)
	if status, _, _ := b.roundTrip("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n"); status != 503 {
		t.Errorf("health: %d", status)
	}
	for time.Since(began) < 1500*time.Millisecond { // new connections are served, because other balancers may be restarting too
		if status, header, body, err := roundTripOn(kept, in, requestText("view", 1, "\r\n")); status != 200 || body != "fine" ||
			header.Get("Connection") == "close" {
			t.Fatalf("an existing connection: %d %q %v %v", status, body, header, err)
		}
		if status, _, _ := b.roundTrip(requestText("view", 1, "\r\n")); status != 200 {
			t.Fatalf("a new connection: %d", status)
		}
	}
	for time.Since(began) < 2*time.Second { // the connection closes with an answer or between two
		if _, header, _, err := roundTripOn(kept, in, requestText("view", 1, "\r\n")); err != nil || header.Get("Connection") == "close" {
			break
		}
	}
	if c, err := net.Dial("tcp", b.address); err == nil {
		c.Close()
		t.Error("a connection was accepted at the end of draining")
	}
	wg.Wait()
	if err := <-b.exit; err != nil || time.Since(began) > 3700*time.Millisecond {
		t.Errorf("ended with %v after %s", err, time.Since(began))
	}
}

// The balancer keeps within its descriptor limit. Without a free descriptor it accepts nothing, and the connections in the
// backlog would get no answer.
func TestDescriptorsSuffice(t *testing.T) {
	u := newUpstream(t, func(_ int32, _ *http.Request, _ []byte, c net.Conn) bool {
		time.Sleep(20 * time.Millisecond)
		_, err := io.WriteString(c, okResponse)
		return err == nil
	})
	b := start(t, newRegistry(t), 100, platformSettings, u)
	var wg sync.WaitGroup
	var served atomic.Int32
	for range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 5 {
				if status, _, _ := b.roundTrip(requestText("view", 3, "\r\n")); status == 200 {
					served.Add(1)
				} else if status != 503 {
					t.Errorf("%d", status)
				}
			}
		}()
	}
	files := 0
	for range 20 {
		time.Sleep(5 * time.Millisecond)
		files = max(files, b.descriptorCount())
	}
	wg.Wait()
	if served.Load() < 100 || files > 100 {
		t.Errorf("%d of 200 served, %d descriptors", served.Load(), files)
	}
}

// Clients that connect and send nothing, or only part of a request, are evicted; otherwise they would use up the
// descriptors.
func TestSilentClientsAreEvicted(t *testing.T) {
	u := newUpstream(t, respondWith(okResponse))
	b := start(t, newRegistry(t), 100, platformSettings, u)
	for n := range 150 {
		c, err := net.Dial("tcp", b.address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if n%10 == 0 {
			io.WriteString(c, "GET /view HTTP/1.1\r\nHost: a\r\n")
		}
	}
	began := time.Now()
	if status, _, _ := b.roundTrip(requestText("view", 1, "\r\n")); status != 200 || time.Since(began) > 500*time.Millisecond {
		t.Errorf("%d after %s", status, time.Since(began))
	}
}

// Bytes after a complete response must not be taken for the response to the next request. The risk is greatest where the
// connection passes directly to an attempt that waits for one.
func TestStrayBytesAreNotUsedAsAnswer(t *testing.T) {
	for name, more := range map[string]string{"a second copy": okResponse, "noise": "\x00\x01garbage\r\n\r\n", "late": ""} {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, echo(more))
			if name == "late" {
				u.handle = func(n int32, r *http.Request, body []byte, c net.Conn) bool {
					keep := echo("")(n, r, body, c)
					time.Sleep(time.Millisecond)
					io.WriteString(c, okResponse)
					return keep
				}
			}
			b := start(t, newRegistry(t), 1024, platformSettings, u)
			var wg sync.WaitGroup
			clients, pause := 8, time.Duration(0)
			if name == "late" { // the bytes arrive on an idle connection
				clients, pause = 1, 5*time.Millisecond
			}
			for range clients {
				wg.Add(1)
				go func() {
					defer wg.Done()
					c, in := b.dial()
					for range 100 {
						time.Sleep(pause)
						text := requestText("view", 3, "\r\n")
						status, _, body, err := roundTripOn(c, in, text)
						if err != nil || status != 503 && (status != 200 || !strings.Contains(text, "X-Txn: "+body)) {
							t.Errorf("%d %q %v", status, body, err)
							return
						}
					}
				}()
			}
			wg.Wait()
		})
	}
}

// A new upstream at the address of a removed one must not reuse the connections that were opened to the old one.
func TestConnectionsBelongToTheirUpstream(t *testing.T) {
	u := newUpstream(t, respondWith(okResponse))
	r := newRegistry(t)
	b := start(t, r, 1024, strings.Replace(platformSettings, `"idle_close":600000`, `"idle_close":60000000`, 1), u)
	w := r.next(t)
	b.roundTrip(requestText("view", 1, "\r\n"))
	at := u.Addr().String()
	w.send(discoveryReport(42, false, entry("u0", at, "DELETED"), entry("u1", at, "SERVING")))
	u.waitClosed(t) // the removed upstream's connections are closed
	b.roundTrip(requestText("view", 1, "\r\n"))
	if n := u.opened.Load(); n != 2 {
		t.Errorf("%d connections for two upstreams", n)
	}
}

// Changing the discovery address by SIGHUP moves the watch and affects nothing else.
func TestReload(t *testing.T) {
	t.Run("whole list first", func(t *testing.T) { testReload(t, true) })
	t.Run("changes first", func(t *testing.T) { testReload(t, false) })
}

func testReload(t *testing.T, first bool) {
	held, kept := make(chan struct{}), newRegistry(t)
	u := newUpstream(t, func(_ int32, r *http.Request, _ []byte, c net.Conn) bool {
		if r.URL.Path == "/post" {
			<-held
		}
		_, err := io.WriteString(c, okResponse)
		return err == nil
	})
	v := newUpstream(t, respondWith(okResponse))
	b := start(t, kept, 1024, platformSettings, u)
	kept.next(t)
	answered := make(chan int)
	go func() {
		status, _, _ := b.roundTrip(requestText("post", 3, "Content-Length: 0\r\n\r\n"))
		answered <- status
	}()
	eventually(t, "the attempt has started", func() bool { return u.requests.Load() == 1 })

	good := b.readConfig()
	hup := func(config string) {
		b.writeConfig(config)
		b.command.Process.Signal(syscall.SIGHUP)
	}
	hup(`{"discovery":`) // invalid: nothing changes
	hup(good)            // identical: nothing changes
	next := newRegistry(t)
	next.snapshot = discoveryReport(7, true, entry("u0", u.Addr().String(), "SERVING"), entry("v", v.Addr().String(), "SERVING"))
	began := time.Now()
	hup(strings.ReplaceAll(good, kept.Addr().String(), next.Addr().String()))
	w := next.next(t)
	if w.query != "watch=1" || time.Since(began) > time.Second {
		t.Errorf("watched with %q after %s: the version of another registry must not be used", w.query, time.Since(began))
	}
	if !first { // the watch sends only changes, so the full list must be requested
		w.send(discoveryReport(8, false, entry("odd", "", "SERVING")))
		if w := next.next(t); w.query != "" {
			t.Errorf("asked %q", w.query)
		}
	} else {
		w.send(next.snapshot)
	}
	eventually(t, "the new list is in use", func() bool {
		b.roundTrip(requestText("view", 1, "\r\n"))
		return v.requests.Load() > 0
	})
	close(held)
	if status := <-answered; status != 200 {
		t.Errorf("transaction in flight at the reload: %d", status)
	}
	select {
	case w := <-kept.watches:
		t.Errorf("the old address was watched again: %q", w.query)
	case err := <-b.exit:
		t.Fatalf("ended: %v", err)
	default:
	}
}

// A request with both Content-Length and Transfer-Encoding is rejected: if the balancer and the upstream delimit the body
// differently, it can smuggle a second request.
func TestRequestSmugglingIsRejected(t *testing.T) {
	u := newUpstream(t, respondWith(okResponse))
	b := start(t, newRegistry(t), 1024, platformSettings, u)
	inner := requestText("post", 1, "Content-Length: 0\r\n\r\n")
	for _, head := range []string{
		fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", len(inner)+5, inner),
		fmt.Sprintf("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n%s", inner),
	} {
		c, in := b.dial()
		if status, header, _, _ := roundTripOn(c, in, requestText("post", 1, head)); status != 411 || header.Get("Connection") != "close" {
			t.Errorf("%d %v", status, header)
		}
		if rest, _ := io.ReadAll(in); len(rest) > 0 {
			t.Errorf("unexpected data after the answer: %q", rest)
		}
		if status, _, _ := b.roundTrip(strings.Replace(requestText("post", 1, head), "HTTP/1.1", "HTTP/1.0", 1)); status != 400 {
			t.Errorf("in HTTP/1.0: %d", status)
		}
	}
	if n := u.requests.Load(); n != 0 {
		t.Errorf("%d requests reached the upstream", n)
	}
}

func TestDuplicateOpenIDIsRejected(t *testing.T) {
	held := make(chan struct{})
	u := newUpstream(t, func(_ int32, _ *http.Request, _ []byte, c net.Conn) bool {
		<-held
		_, err := io.WriteString(c, okResponse)
		return err == nil
	})
	b := start(t, newRegistry(t), 1024, platformSettings, u)
	text := requestText("post", 3, "Content-Length: 0\r\n\r\n")
	first := make(chan int)
	go func() {
		status, _, _ := b.roundTrip(text)
		first <- status
	}()
	eventually(t, "the first attempt has started", func() bool { return u.requests.Load() == 1 })
	if status, _, _ := b.roundTrip(text); status != 400 {
		t.Errorf("the second: %d", status)
	}
	close(held)
	if status := <-first; status != 200 {
		t.Errorf("the first: %d", status)
	}
	if status, _, _ := b.roundTrip(text); status != 200 { // the first transaction is no longer open
		t.Errorf("again: %d", status)
	}
}

// A client that never completes a request gets an error or a close within three seconds of connecting. An idle connection
// is kept for at least two seconds, but not forever.
func TestConnectionLifetimeIsBounded(t *testing.T) {
	b := start(t, newRegistry(t), 1024, platformSettings, newUpstream(t, respondWith(okResponse)))
	head := requestText("post", 3, "Content-Length: 60000\r\n\r\n")
	var wg sync.WaitGroup
	for name, text := range map[string]string{
		"silent": "", "head": head[:40] + strings.Repeat("x", 1000), "body": head + strings.Repeat("x", 1000),
		"no transaction": strings.Replace(head, "X-Txn", "X-Not", 1) + strings.Repeat("x", 1000),
		"health":         "POST /_health HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("x", 1000),
		"60 MB":          requestText("post", 3, "Content-Length: 60000000\r\n\r\n") + strings.Repeat("x", 60000000),
		"idle":           requestText("view", 3, "\r\n"),
	} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			began := time.Now()
			c, in := b.dial()
			go func() {
				first := min(len(text), 1000)
				if name == "idle" || name == "60 MB" {
					first = len(text)
				}
				io.WriteString(c, text[:first])
				for _, char := range []byte(text[first:]) { // the rest is sent slowly
					time.Sleep(20 * time.Millisecond)
					if _, err := c.Write([]byte{char}); err != nil {
						return
					}
				}
			}()
			c.SetDeadline(began.Add(8 * time.Second))
			answer, err := io.ReadAll(in)
			took := time.Since(began)
			if os.IsTimeout(err) {
				t.Errorf("%s: still open after %s", name, took)
			}
			switch {
			case name == "idle" && (took < 2*time.Second || took > 5*time.Second):
				t.Errorf("%s: closed after %s", name, took)
			case name != "idle" && took > 3*time.Second:
				t.Errorf("%s: ended after %s", name, took)
			case name == "body" && !bytes.HasPrefix(answer, []byte("HTTP/1.1 400")):
				t.Errorf("%s: %q", name, answer)
			}
		}()
	}
	wg.Wait()
}

// Partial requests count as requests to the server. Hundreds of them must not use up the descriptors for attempts,
// well-behaved clients and the watch.
func TestPartialRequestsDoNotExhaustDescriptors(t *testing.T) {
	u, v := newUpstream(t, respondWith(okResponse)), newUpstream(t, respondWith(okResponse))
	r := newRegistry(t)
	b := start(t, r, 256, platformSettings, u)
	r.next(t)
	var wg sync.WaitGroup
	for n := range 400 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := net.Dial("tcp", b.address)
			if err != nil {
				return
			}
			defer c.Close()
			if n%2 == 0 {
				io.WriteString(c, requestText("post", 3, "Content-Length: 60000\r\n\r\n")+strings.Repeat("x", 50000))
			}
			c.SetDeadline(time.Now().Add(4 * time.Second))
			if _, err := io.ReadAll(c); os.IsTimeout(err) {
				t.Error("a connection with a partial request is still open")
			}
		}()
	}
	time.Sleep(100 * time.Millisecond)
	for range 50 {
		began := time.Now()
		if status, _, _ := b.roundTrip(requestText("view", 1, "\r\n")); status != 200 || time.Since(began) > 500*time.Millisecond {
			t.Errorf("%d after %s", status, time.Since(began))
		}
	}
	next := newRegistry(t)
	b.writeConfig(strings.ReplaceAll(b.readConfig(), r.Addr().String(), next.Addr().String()))
	b.command.Process.Signal(syscall.SIGHUP)
	w := next.next(t)
	w.send(discoveryReport(9, true, entry("v", v.Addr().String(), "SERVING")))
	eventually(t, "the list of the new watch is in use", func() bool {
		b.roundTrip(requestText("view", 1, "\r\n"))
		return v.requests.Load() > 0
	})
	wg.Wait()
}

// A flood of connections without requests must not evict the connections of active clients.
func TestIdleFloodDoesNotEvictActiveClients(t *testing.T) {
	b := start(t, newRegistry(t), 256, platformSettings, newUpstream(t, respondWith(okResponse)))
	c, in := b.dial()
	for range 400 {
		stranger, err := net.Dial("tcp", b.address)
		if err != nil {
			t.Fatal(err)
		}
		defer stranger.Close()
		if nextID.Load()%10 == 0 {
			time.Sleep(time.Millisecond)
		}
		if status, header, _, err := roundTripOn(c, in, requestText("view", 1, "\r\n")); status != 200 || header.Get("Connection") == "close" {
			t.Fatalf("%d %v %v", status, header, err)
		}
	}
}

// State that is kept for each former upstream, id, key or connection would grow until the process is killed.
func TestMemoryIsBounded(t *testing.T) {
	us := [2]*upstream{newUpstream(t, echo("")), newUpstream(t, echo(""))}
	r := newRegistry(t)
	b := start(t, r, 256, platformSettings, us[0], us[1])
	w := r.next(t)
	c, in := b.dial()
	held := func() (kb, files int) {
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", b.command.Process.Pid))
		_, rest, _ := strings.Cut(string(text), "VmRSS:")
		fmt.Sscan(rest, &kb)
		return kb, b.descriptorCount()
	}
	half, files := 0, 0
	const upstreams = 3000
	for n := range upstreams {
		at := us[n%2].Addr().String() // new upstream names at the same two addresses
		w.send(discoveryReport(42+n, false, entry(fmt.Sprintf("r%d", n), at, "SERVING"), entry(fmt.Sprintf("r%d", n-4), at, "DELETED"),
			entry(fmt.Sprintf("u%d", n%2), at, "DELETED")))
		text := strings.Replace(requestText("load", 3, "Content-Length: 0\r\n\r\n"), "5c0f", fmt.Sprintf("key-%d", n), 1)
		if status, _, _, err := roundTripOn(c, in, text); status != 200 {
			t.Fatalf("%d %v after %d upstreams", status, err, n)
		}
		if n == upstreams/2 {
			half, files = held()
		}
	}
	// A connection that was being dialled when its upstream was removed closes after the idle timeout.
	eventually(t, "connections of removed upstreams are closed", func() bool { return b.descriptorCount() <= min(files+10, 60) })
	if kb, now := held(); kb > half+4<<10 || kb > 32<<10 || now > files+10 || now > 60 {
		t.Errorf("%d KB and %d descriptors at half, %d and %d at the end", half, files, kb, now)
	}
}

// FuzzConfig checks that any configuration is either rejected with an error or works.
func FuzzConfig(f *testing.F) {
	whole := `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c","known":` +
		discoveryReport(1, true, entry("u", "127.0.0.1:1", "SERVING")) + `,"settings":` + platformSettings + `}`
	f.Add(whole)
	for _, c := range [][2]string{{"1", "-7"}, {"1000000", "1e300"}, {`"u"`, "{}"}, {"true", "[]"}, {`"a"`, "null"},
		{"0.2", `"x"`}, {"[", "[[],7,"}, {"4", "99999999999999999999"}} {
		f.Add(strings.ReplaceAll(whole, c[0], c[1]))
	}
	f.Fuzz(func(t *testing.T, text string) {
		file := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		o, err := plan.ReadPlatform(file)
		if err != nil {
			return
		}
		pool := o.Pools[0]
		d, err := desk.New(pool.Settings, &figures.Pool{}, slog.New(slog.DiscardHandler), desk.NewBalancer)
		if err != nil {
			return
		}
		d.List(pool.Upstreams.Initial.Entries, true)
		for n := range pool.Settings.Engine.Tariffs {
			d.ClientGone(d.Arrive(desk.Arrival{Tariff: n, Customer: -1, Timeout: time.Second}))
		}
	})
}
