package testmesh

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Partner is the gateway of a partner mesh. It serves its export table, receives the reports that restrictions of it
// are in effect, and runs requests. A write is a request with a method other than GET and HEAD.
type Partner struct {
	Name, Address string

	server               *http.Server
	mu                   sync.Mutex
	version              int64
	methods              []string
	writesForbiddenSince int64 // version since which all tables have forbidden writes; 0 while they are allowed
	reportedVersion      int64 // newest version whose restrictions were reported to be in effect
	reportedAt           time.Time
	publishedAt          time.Time
	changed              chan struct{}
	runs                 map[string]int
	writes               map[string]bool
	forbiddenWrites      []string // writes that ran after the restriction that forbids them was reported to be in effect
}

// NewPartner starts a partner at an address. It allows GET and POST at first.
func NewPartner(name, address string) (*Partner, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &Partner{Name: name, Address: listener.Addr().String(), changed: make(chan struct{}), runs: map[string]int{}, writes: map[string]bool{}}
	p.SetMethods("GET", "POST")
	p.server = &http.Server{Handler: http.HandlerFunc(p.serve)}
	go p.server.Serve(listener)
	return p, nil
}

// Stop stops the partner.
func (p *Partner) Stop() { p.server.Close() }

// SetMethods publishes a new export table with the methods that the partner allows, and returns its version.
func (p *Partner) SetMethods(methods ...string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	p.methods, p.publishedAt = methods, time.Now()
	allowsWrites := false
	for _, method := range methods {
		allowsWrites = allowsWrites || method == "POST"
	}
	if allowsWrites {
		p.writesForbiddenSince = 0
	} else if p.writesForbiddenSince == 0 {
		p.writesForbiddenSince = p.version
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return p.version
}

// ReportedVersion returns the newest version whose restrictions were reported to be in effect, and the time from the last
// publication to that report.
func (p *Partner) ReportedVersion() (version int64, duration time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reportedVersion, p.reportedAt.Sub(p.publishedAt)
}

// ForbiddenWrites returns the writes that ran after the restriction that forbids them was reported to be in effect.
func (p *Partner) ForbiddenWrites() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string{}, p.forbiddenWrites...)
}

// Runs returns how often each attempt ran, and the number of different writes.
func (p *Partner) Runs() (runs map[string]int, writes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	runs = map[string]int{}
	for id, n := range p.runs {
		runs[id] = n
	}
	return runs, len(p.writes)
}

func (p *Partner) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/-/exports":
		have, _ := strconv.ParseInt(r.URL.Query().Get("have"), 10, 64)
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
		timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
		defer timeout.Stop()
		for {
			p.mu.Lock()
			version, methods, changed := p.version, p.methods, p.changed
			p.mu.Unlock()
			if version != have {
				json.NewEncoder(w).Encode(map[string]any{"Partner": p.Name, "Edition": version, "Lease": "6s", "Exports": []any{
					map[string]any{"Service": "scans", "Town": p.Name + ".example", "StreetPrefix": "/scans/", "Methods": methods}}})
				return
			}
			select {
			case <-changed:
			case <-timeout.C:
				w.WriteHeader(http.StatusNotModified)
				return
			case <-r.Context().Done():
				return
			}
		}
	case "/-/narrowed":
		var report struct{ Edition int64 }
		if json.NewDecoder(r.Body).Decode(&report) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		p.mu.Lock()
		if report.Edition > p.reportedVersion {
			p.reportedVersion, p.reportedAt = report.Edition, time.Now()
		}
		p.mu.Unlock()
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	io.Copy(io.Discard, r.Body)
	isWrite := r.Method != http.MethodGet && r.Method != http.MethodHead
	p.mu.Lock()
	p.runs[id]++
	if isWrite {
		p.writes[id] = true
		if p.writesForbiddenSince > 0 && p.reportedVersion >= p.writesForbiddenSince {
			p.forbiddenWrites = append(p.forbiddenWrites, fmt.Sprintf("%s %s with export table version %s", r.Method, id, r.Header.Get("X-Import-Edition")))
		}
	}
	p.mu.Unlock()
	w.Header().Set("X-Attempt-Id", id)
	io.WriteString(w, "of a partner")
}
