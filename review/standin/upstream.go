package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Upstream is a sound application upstream on a proxy's machine. It beats, runs requests and records them.
type Upstream struct {
	ID, Service string
	Work        time.Duration
	AnswerBytes int // of an answer's body, 0 for a short one

	machine *Machine
	record  *Record
	server  *http.Server
	mu      sync.Mutex
	mark    int // PostmarkNo of the last beat
	beating bool
	slots   chan struct{}
	runs    []*Run
}

// Run is a request that the upstream ran.
type Run struct {
	ID, Method, Target string
	At                 time.Time
	Body               int64 // bytes that were read
	Complete           bool  // the whole answer was written
	DoneAt             time.Time
}

// capacity is the number of requests that an upstream works on at once.
const capacity = 18

// NewUpstream starts the upstream of a machine.
func NewUpstream(m *Machine, id string, work time.Duration) (*Upstream, error) {
	u := &Upstream{ID: id, Service: m.Service, Work: work, machine: m, record: m.deployment.Record, beating: true,
		slots: make(chan struct{}, capacity)}
	listener, err := net.Listen("tcp4", m.App())
	if err != nil {
		return nil, err
	}
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve)}
	go u.server.Serve(listener)
	go func() {
		for u.isBeating() {
			u.SendBeat(u.NextBeat("accepting"))
			time.Sleep(Beat)
		}
	}()
	return u, nil
}

func (u *Upstream) isBeating() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.beating
}

// StopBeating ends the regular beats.
func (u *Upstream) StopBeating() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.beating = false
}

// NextBeat returns the body of the next beat.
func (u *Upstream) NextBeat(condition string) []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.mark++
	body, _ := json.Marshal(map[string]any{
		"Address": u.machine.App(),
		"Notice":  map[string]any{"Destination": u.Service, "Edition": "v1", "District": zone, "Capacity": capacity},
		"Status":  map[string]any{"Condition": condition, "PostmarkNo": u.mark, "Cold_time": "0ms"},
	})
	return body
}

var callClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (u *Upstream) call(call string, body []byte) bool {
	url := fmt.Sprintf("http://%s/-/rpc?call=%s&of=%s", u.machine.Control(), call, u.ID)
	response, err := callClient.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		u.record.Add("%s %s: no acknowledgement: %v", u.ID, call, err)
		return false
	}
	response.Body.Close()
	u.record.Add("%s %s %s: %d", u.ID, call, body, response.StatusCode)
	return response.StatusCode < 300
}

// SendBeat delivers a beat and reports whether it was acknowledged.
func (u *Upstream) SendBeat(body []byte) bool { return u.call("servers.check_in", body) }

// SignOff signs off and reports whether that was acknowledged.
func (u *Upstream) SignOff() bool { return u.call("servers.sign_off", nil) }

// End ends the upstream at once. What it works on breaks off.
func (u *Upstream) End() {
	u.StopBeating()
	u.server.Close()
}

// Runs returns what it has run.
func (u *Upstream) Runs() []*Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]*Run{}, u.runs...)
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if addressee := r.Header.Get("X-Addressee"); addressee != "" && addressee != u.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/health") {
		w.Header().Set("X-Delivered-By", u.ID)
		return
	}
	read, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return // the request did not come whole
	}
	u.slots <- struct{}{}
	defer func() { <-u.slots }()
	run := &Run{ID: id, Method: r.Method, Target: r.RequestURI, At: time.Now(), Body: read}
	u.mu.Lock()
	u.runs = append(u.runs, run)
	u.mu.Unlock()
	u.record.Add("%s runs %s", u.ID, id)
	select {
	case <-time.After(u.Work):
	case <-r.Context().Done():
		u.record.Add("%s drops %s: its connection closed", u.ID, id)
		return
	}
	w.Header().Set("X-Postmark", "3e1b.07."+u.ID)
	body := []byte("whole body of " + id)
	if u.AnswerBytes > 0 {
		body = bytes.Repeat([]byte{'z'}, u.AnswerBytes)
		w.Header().Set("Content-Length", fmt.Sprint(u.AnswerBytes))
	}
	if _, err := w.Write(body); err != nil {
		u.record.Add("%s: the answer to %s could not be written: %v", u.ID, id, err)
		return
	}
	u.mu.Lock()
	run.Complete, run.DoneAt = true, time.Now()
	u.mu.Unlock()
}

// Request is a client's try and its answer.
type Request struct {
	ID, From       string
	At, AnsweredAt time.Time
	Status         int // 0 for none
	Err            string
}

// NewClient returns a client that opens a new connection for each request.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}

// Send sends one try from a machine.
func Send(client *http.Client, record *Record, m *Machine, method, host, path, id, key string, left time.Duration, body io.Reader, length int64) *Request {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	q := &Request{ID: id, From: m.Name, At: time.Now()}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+m.Outbound()+path, body)
	if err != nil {
		q.Err = err.Error()
		return q
	}
	request.Host, request.ContentLength = host, length
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Time-Left-Ms", fmt.Sprint(left.Milliseconds()))
	if key != "" {
		request.Header.Set("X-Key", key)
	}
	response, err := client.Do(request)
	if err == nil {
		q.Status = response.StatusCode
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
	if err != nil {
		q.Err = err.Error()
	}
	q.AnsweredAt = time.Now()
	record.Add("%s from %s sent at %.3f: status %d %s", id, m.Name, record.Since(q.At), q.Status, q.Err)
	return q
}

// Replace sends a whole configuration until a controller acknowledges it.
func (d *Deployment) Replace(base int64, body string) error {
	var last string
	for n := range 60 {
		at := d.controllers[n%len(d.controllers)]
		status, text := d.Order(at, "timetable.replace", base, body)
		if status == http.StatusOK {
			d.Record.Add("operator: configuration on top of %d acknowledged by %s", base, at.Name)
			return nil
		}
		last = fmt.Sprint(status, " ", text)
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("configuration not acknowledged: %s", last)
}

// AwaitReady waits until all proxies are ready.
func (d *Deployment) AwaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range d.proxies {
			response, err := callClient.Get("http://" + m.Ready() + "/-/ready")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(d.proxies) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d proxies are ready", ready, len(d.proxies))
		}
	}
}

// Order sends one call of the operator to one controller and returns its answer, or status 0.
func (d *Deployment) Order(m *Machine, call string, base int64, body string) (status int, text string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+m.Control()+"/-/rpc?call="+call, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set("If-Match", fmt.Sprint(base))
	request.Header.Set("Content-Type", "application/json")
	response, err := callClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(raw)
}

// NewKeptClient returns a client that keeps connections for many requests.
func NewKeptClient(most int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: most, IdleConnTimeout: 5 * time.Second, DisableCompression: true}}
}
