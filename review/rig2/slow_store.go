package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	uploadBytes = 8 << 20
	uploadCount = 2
	storePause  = 4 * time.Second // between the first and the later pieces that the upstream reads
)

// storeUpstream is an upstream that reads a body as its store takes it: it begins, waits for its store, and reads on.
type storeUpstream struct {
	id    string
	on    *machine
	pause time.Duration

	mu    sync.Mutex
	state map[string]*storeRun
}

// storeRun is what the upstream has seen of one request.
type storeRun struct {
	began, ended time.Duration
	read         int
	err          error
}

func newStoreUpstream(on *machine, id string, pause time.Duration) (u *storeUpstream, stop func(), err error) {
	u = &storeUpstream{id: id, on: on, pause: pause, state: map[string]*storeRun{}}
	listener, err := net.Listen("tcp4", on.at("App"))
	if err != nil {
		return nil, nil, err
	}
	server := &http.Server{Handler: http.HandlerFunc(u.serve)}
	go server.Serve(listener)
	done := make(chan struct{})
	go func() {
		for seq := 1; ; seq++ {
			beat(on.at("Control"), "servers.check_in", id, map[string]any{"Address": on.at("App"),
				"Notice": map[string]any{"Destination": on.service, "Edition": "v1", "District": on.zone, "Capacity": 18},
				"Status": map[string]any{"Condition": "accepting", "PostmarkNo": seq, "Cold_time": "0ms"}})
			select {
			case <-time.After(on.m.beat):
			case <-done:
				return
			}
		}
	}()
	return u, func() { close(done); server.Close() }, nil
}

func (u *storeUpstream) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Delivered-By", u.id)
	if to := r.Header.Get("X-Addressee"); to != "" && to != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run := &storeRun{began: u.on.m.record.since()}
	u.mu.Lock()
	u.state[id] = run
	u.mu.Unlock()
	piece := make([]byte, 64<<10)
	n, err := io.ReadFull(r.Body, piece[:min(int64(len(piece)), max(r.ContentLength, 1))])
	u.on.m.record.line("%s begins to work on %s: %d of %d bytes read, %s ms left; its store is busy for %v", u.id, id, n, r.ContentLength, r.Header.Get("X-Time-Left-Ms"), u.pause)
	time.Sleep(u.pause)
	rest, restErr := io.Copy(io.Discard, r.Body)
	if err == nil || err == io.ErrUnexpectedEOF || err == io.EOF {
		err = restErr
	}
	u.mu.Lock()
	run.read, run.err, run.ended = n+int(rest), err, u.on.m.record.since()
	u.mu.Unlock()
	if err != nil {
		u.on.m.record.line("%s: the connection of %s ended while it was at work, %d bytes read: %v", u.id, id, n+int(rest), err)
		return
	}
	u.on.m.record.line("%s has done %s, %d bytes", u.id, id, n+int(rest))
	w.Header().Set("X-Postmark", "stamp."+u.id+"."+id)
	fmt.Fprintf(w, "done %s\n", id)
}

// sendChunked sends an upload in chunks over a new connection and returns its answer and when its last byte was sent.
func sendChunked(rec *record, to, path, id string, body []byte, left time.Duration) (a *answer, whole time.Duration) {
	a = &answer{id: id, sentTo: to}
	conn, err := net.DialTimeout("tcp4", to, time.Second)
	if err != nil {
		a.err, a.noConnection = err, true
		return a, 0
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(left))
	a.sent = rec.since()
	rec.line("client: POST album.example%s id %s to %s, %d bytes in chunks, %v left", path, id, to, len(body), left)
	out := bufio.NewWriterSize(conn, 64<<10)
	fmt.Fprintf(out, "POST %s HTTP/1.1\r\nHost: album.example\r\nX-Attempt-Id: %s\r\nX-Time-Left-Ms: %d\r\nTransfer-Encoding: chunked\r\n\r\n", path, id, left.Milliseconds())
	for at := 0; at < len(body); at += 32 << 10 {
		end := min(at+32<<10, len(body))
		fmt.Fprintf(out, "%x\r\n", end-at)
		out.Write(body[at:end])
		io.WriteString(out, "\r\n")
	}
	io.WriteString(out, "0\r\n\r\n")
	if a.err = out.Flush(); a.err != nil {
		a.ended = rec.since()
		rec.line("client: %s could not be sent: %v", id, a.err)
		return a, 0
	}
	whole = rec.since()
	rec.line("client: %s is sent whole", id)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	var raw []byte
	if err == nil {
		raw, err = io.ReadAll(response.Body)
	}
	a.ended = rec.since()
	if err != nil {
		a.err, a.connectionEnd = err, a.ended-a.sent < left-100*time.Millisecond
		rec.line("client: %s ends without a complete answer: %v", id, err)
		return a, whole
	}
	a.status, a.stamp, a.body = response.StatusCode, response.Header.Get("X-Postmark"), string(raw)
	rec.line("client: %s gets %d, stamp %q, %v after its first byte", id, a.status, a.stamp, (a.ended - a.sent).Round(time.Millisecond))
	return a, whole
}

// slowStore uploads while the balancer beside the client is stopped with SIGTERM. The upstream begins to work on each
// upload, does not read for four seconds, and reads on. Without the disruption it reads at once; the SIGTERM is sent
// in both.
func slowStore(m *mesh, trouble bool) (broken bool, err error) {
	for _, zone := range []string{"utrecht", "houten", "zeist"} {
		m.add("sorting", zone, "")
	}
	front, back := m.add("branch", "utrecht", "kijker"), m.add("branch", "houten", "regie")
	for _, c := range m.machines {
		if err := c.start(); err != nil {
			return false, err
		}
	}
	if _, err := m.orderUntilTaken("timetable.replace", "0", albumConfiguration, 20*time.Second); err != nil {
		return false, err
	}
	pause := time.Duration(0)
	if trouble {
		pause = storePause
	}
	u, stop, err := newStoreUpstream(back, "i-photo", pause)
	if err != nil {
		return false, err
	}
	defer stop()
	if !waitUntil(15*time.Second, front.ready) || !waitUntil(15*time.Second, func() bool {
		return send(m.record, front.at("Outbound"), "POST", "album.example", "/photo/first", fmt.Sprint("first-", m.record.since().Milliseconds()), "", "x", 8*time.Second).status == 200
	}) {
		return false, fmt.Errorf("no first request was served")
	}
	time.Sleep(7 * time.Second) // longer than Touch: from here on all machines are in touch
	body := []byte(strings.Repeat("photo...", uploadBytes/8))
	var group sync.WaitGroup
	var mu sync.Mutex
	answers, wholes := []*answer{}, map[string]time.Duration{}
	for n := range uploadCount {
		group.Go(func() {
			id := fmt.Sprintf("upload-%d", n)
			a, whole := sendChunked(m.record, front.at("Outbound"), "/photo/upload", id, body, 10*time.Second)
			mu.Lock()
			answers, wholes[id] = append(answers, a), whole
			mu.Unlock()
		})
	}
	time.Sleep(time.Second)
	termAt := m.record.since()
	if os.Getenv("SIGTERM") != "0" { // with SIGTERM=0 the rule doesn't apply, and the uploads end in the same way
		front.signal(syscall.SIGTERM)
	} else {
		termAt = 0
	}
	group.Wait()
	served, lost := 0, 0
	if peak, err := front.memoryPeak(); err == nil {
		m.record.line("peak memory of %s: %d MB of 184 MB", front.name, peak)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, a := range answers {
		run := u.state[a.id]
		switch {
		case a.status == 200:
			served++
		case termAt == 0 || run == nil || wholes[a.id] == 0 || a.ended < termAt || a.ended-termAt >= grace*5/6 || a.ended-a.sent >= 9900*time.Millisecond:
			m.record.line("%s: %d, not counted", a.id, a.status)
		case a.status == 500 || a.status == 502 || a.status == 504 || a.connectionEnd:
			lost++
			m.record.line("LOST: %s was sent whole at %.3f s and begun by its upstream at %.3f s; its client got %d %v after the SIGTERM, with %v of its time left", a.id,
				wholes[a.id].Seconds(), run.began.Seconds(), a.status, (a.ended - termAt).Round(time.Millisecond), (10*time.Second - a.ended + a.sent).Round(time.Millisecond))
		}
	}
	m.record.line("%d uploads: %d served, %d lost", len(answers), served, lost)
	if !trouble && served != len(answers) {
		return false, fmt.Errorf("without the disruption %d of %d uploads were served", served, len(answers))
	}
	return lost > 0, nil
}
