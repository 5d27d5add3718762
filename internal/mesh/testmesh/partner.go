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

// Partner is another mesh: its gateway gives its table, is told when narrowings are done, and runs what comes.
type Partner struct {
	Name, Address string

	server  *http.Server
	mu      sync.Mutex
	edition int64
	methods []string
	since   int64 // edition from which on effects are forbidden without a break, 0 for not
	told    int64 // edition up to which narrowings were reported done
	toldAt  time.Time
	saidAt  time.Time
	news    chan struct{}
	runs    map[string]int
	effects map[string]bool
	kept    []string // effects that ran after the narrowing that forbids them was reported done
}

// NewPartner serves at an address; it lets reads and effects in.
func NewPartner(name, address string) (*Partner, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &Partner{Name: name, Address: l.Addr().String(), news: make(chan struct{}), runs: map[string]int{}, effects: map[string]bool{}}
	p.Say("GET", "POST")
	p.server = &http.Server{Handler: http.HandlerFunc(p.serve)}
	go p.server.Serve(l)
	return p, nil
}

// Stop ends it.
func (p *Partner) Stop() { p.server.Close() }

// Say is its next word: which methods it lets in.
func (p *Partner) Say(methods ...string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.edition++
	p.methods, p.saidAt = methods, time.Now()
	open := false
	for _, m := range methods {
		open = open || m == "POST"
	}
	if open {
		p.since = 0
	} else if p.since == 0 {
		p.since = p.edition
	}
	close(p.news)
	p.news = make(chan struct{})
	return p.edition
}

// Told is the edition up to which it has been told that nothing goes any more where it forbids it, and how long that took.
func (p *Partner) Told() (edition int64, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.told, p.toldAt.Sub(p.saidAt)
}

// Kept are effects that ran after the narrowing that forbids them was reported done.
func (p *Partner) Kept() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string{}, p.kept...)
}

// Ran is how often each attempt ran, and how many effects did.
func (p *Partner) Ran() (all map[string]int, effects int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	all = map[string]int{}
	for id, n := range p.runs {
		all[id] = n
	}
	return all, len(p.effects)
}

func (p *Partner) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/-/exports":
		have, _ := strconv.ParseInt(r.URL.Query().Get("have"), 10, 64)
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
		until := time.NewTimer(time.Duration(wait) * time.Millisecond)
		defer until.Stop()
		for {
			p.mu.Lock()
			edition, methods, news := p.edition, p.methods, p.news
			p.mu.Unlock()
			if edition != have {
				json.NewEncoder(w).Encode(map[string]any{"Partner": p.Name, "Edition": edition, "Lease": "6s", "Exports": []any{
					map[string]any{"Service": "scans", "Town": p.Name + ".example", "StreetPrefix": "/scans/", "Methods": methods}}})
				return
			}
			select {
			case <-news:
			case <-until.C:
				w.WriteHeader(http.StatusNotModified)
				return
			case <-r.Context().Done():
				return
			}
		}
	case "/-/narrowed":
		var said struct{ Edition int64 }
		if json.NewDecoder(r.Body).Decode(&said) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		p.mu.Lock()
		if said.Edition > p.told {
			p.told, p.toldAt = said.Edition, time.Now()
		}
		p.mu.Unlock()
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	io.Copy(io.Discard, r.Body)
	effect := r.Method != http.MethodGet && r.Method != http.MethodHead
	p.mu.Lock()
	p.runs[id]++
	if effect {
		p.effects[id] = true
		if p.since > 0 && p.told >= p.since {
			p.kept = append(p.kept, fmt.Sprintf("%s %s by table %s", r.Method, id, r.Header.Get("X-Import-Edition")))
		}
	}
	p.mu.Unlock()
	w.Header().Set("X-Attempt-Id", id)
	io.WriteString(w, "of a partner")
}
