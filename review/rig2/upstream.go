package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one request that an upstream has begun to work on.
type run struct {
	id, upstream, path, sender, caller string
	began                              time.Duration
	ended                              time.Duration // 0 while the upstream is at work
	brokenOff                          bool          // the connection ended before the answer
}

// upstream is a stand-in for a service's upstream on a branch machine.
type upstream struct {
	id       string
	on       *machine
	capacity int
	work     func(r *http.Request) time.Duration
	server   *http.Server

	mu    sync.Mutex
	state string
	seq   int
	busy  int
	runs  []*run
	stop  chan struct{}

	stopped sync.Once
}

// newUpstream starts an upstream with a new id. It beats at the control address of its machine.
func newUpstream(on *machine, id string, capacity int, work func(r *http.Request) time.Duration) (*upstream, error) {
	u := &upstream{id: id, on: on, capacity: capacity, work: work, state: "accepting", stop: make(chan struct{})}
	listener, err := net.Listen("tcp4", on.at("App"))
	if err != nil {
		return nil, err
	}
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve)}
	go u.server.Serve(listener)
	go func() {
		for {
			u.sendBeat()
			select {
			case <-time.After(on.m.beat):
			case <-u.stop:
				return
			}
		}
	}()
	return u, nil
}

// sendBeat sends one heartbeat and reports whether it was acknowledged.
func (u *upstream) sendBeat() bool {
	u.mu.Lock()
	u.seq++
	message := u.message(u.seq)
	u.mu.Unlock()
	return beat(u.on.at("Control"), "servers.check_in", u.id, message)
}

// message returns the body of a heartbeat. The caller holds mu.
func (u *upstream) message(seq int) map[string]any {
	return map[string]any{"Address": u.on.at("App"),
		"Notice": map[string]any{"Destination": u.on.service, "Edition": "v1", "District": u.on.zone, "Capacity": u.capacity},
		"Status": map[string]any{"Condition": u.state, "PostmarkNo": seq, "Cold_time": "0ms"}}
}

// stopBeats ends the heartbeats; the upstream serves on.
func (u *upstream) stopBeats() { u.stopped.Do(func() { close(u.stop) }) }

func (u *upstream) close() {
	u.stopBeats()
	u.server.Close()
}

// serve handles a request as the protocol page says: 421 for another addressee, 503 with X-Not-Delivered when full.
func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Delivered-By", u.id)
	if to := r.Header.Get("X-Addressee"); to != "" && to != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Delivered", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	left, _ := strconv.ParseFloat(r.Header.Get("X-Time-Left-Ms"), 64)
	u.mu.Lock()
	if u.busy >= u.capacity {
		u.mu.Unlock()
		w.Header().Set("X-Not-Delivered", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.busy++
	now := &run{id: id, upstream: u.id, path: r.URL.Path, sender: r.Header.Get("X-Sender"), caller: r.Header.Get("X-Return-Address"), began: u.on.m.record.since()}
	u.runs = append(u.runs, now)
	u.mu.Unlock()
	u.on.m.record.line("%s begins to work on %s (%d bytes, %v ms left)", u.id, id, len(body), left)
	limit := time.Duration(left * float64(time.Millisecond))
	work := u.work(r)
	status := http.StatusOK
	if left > 0 && work > limit {
		work, status = limit, http.StatusGatewayTimeout
	}
	gone := false
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		gone = true
	}
	u.mu.Lock()
	u.busy--
	now.ended, now.brokenOff = u.on.m.record.since(), gone
	u.mu.Unlock()
	if gone {
		u.on.m.record.line("%s: the connection of %s ended while it was at work", u.id, id)
		return
	}
	u.on.m.record.line("%s has done %s", u.id, id)
	w.Header().Set("X-Postmark", fmt.Sprintf("stamp.%s.%s", u.id, id))
	w.WriteHeader(status)
	fmt.Fprintf(w, "done %s by %s\n", id, u.id)
}

// runsOf returns the runs of a request at some upstreams.
func runsOf(id string, upstreams ...*upstream) (found []run) {
	for _, u := range upstreams {
		u.mu.Lock()
		for _, r := range u.runs {
			if r.id == id {
				found = append(found, *r)
			}
		}
		u.mu.Unlock()
	}
	return found
}
