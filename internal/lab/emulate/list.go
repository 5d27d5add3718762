package emulate

import (
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"ottershift/internal/lab/record"
)

// Discovery emulates discovery. Each balancer and pool has its own server, whose answers can be delayed, wrong or missing.
type Discovery struct {
	fleet   *Fleet
	servers [][]*listServer // by balancer, by pool

	mu      sync.Mutex
	updates []record.DiscoveryUpdate
	calls   []record.DiscoveryCall
}

// listServer is the discovery server of one pool for one balancer.
type listServer struct {
	discovery *Discovery
	balancer  int
	pool      int
	address   string
	server    *http.Server

	mu       sync.Mutex
	delay    time.Duration
	down     bool
	omitted  map[int]bool
	index    int
	entries  []entry // by upstream
	watchers map[chan string]struct{}
}

// entry is the listed state of an upstream.
type entry struct {
	name, status string
	since        int64 // milliseconds
}

// NewDiscovery starts the discovery servers for a number of balancers.
func NewDiscovery(f *Fleet, balancers int) (*Discovery, error) {
	ls := &Discovery{fleet: f}
	for b := range balancers {
		var pools []*listServer
		for p := range f.experiment.Pools {
			n, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return nil, err
			}
			l := &listServer{discovery: ls, balancer: b, pool: p, address: n.Addr().String(), index: 1, omitted: map[int]bool{}, watchers: map[chan string]struct{}{}}
			for _, u := range f.Upstreams {
				l.entries = append(l.entries, entry{u.Name(), "SERVING", 0})
			}
			l.server = &http.Server{Handler: l, ErrorLog: log.New(io.Discard, "", 0)}
			go l.server.Serve(n)
			pools = append(pools, l)
		}
		ls.servers = append(ls.servers, pools)
	}
	return ls, nil
}

// Addresses returns the discovery addresses of a balancer, by pool.
func (d *Discovery) Addresses(balancer int) (all []string) {
	for _, l := range d.servers[balancer] {
		all = append(all, l.address)
	}
	return all
}

// Close stops all discovery servers.
func (d *Discovery) Close() {
	for _, pools := range d.servers {
		for _, l := range pools {
			l.server.Close()
		}
	}
}

// Updates returns the updates that were sent.
func (d *Discovery) Updates() []record.DiscoveryUpdate {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.updates
}

// Calls returns the calls that were received.
func (d *Discovery) Calls() []record.DiscoveryCall {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.calls)
}

// SetStatus changes the status of an upstream in all lists, each after its delay. cold means that it has just started.
func (d *Discovery) SetStatus(u *Upstream, status string, cold bool) {
	name, since := u.Name(), int64(0)
	if cold {
		since = time.Now().UnixMilli()
	}
	for _, pools := range d.servers {
		l := pools[u.Group.Pool]
		l.mu.Lock()
		wait := time.Duration(d.fleet.experiment.Listed) + l.delay
		l.mu.Unlock()
		time.AfterFunc(wait, func() { l.set(u.Index, entry{name, status, since}) })
	}
}

func (s *listServer) set(upstream int, e entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[upstream] = e
	s.index++
	if s.omitted[upstream] {
		return
	}
	s.notifyWatchers(s.formatUpdate(false, upstream))
	s.recordUpdate(upstream)
}

// recordUpdate records an update for the judge.
func (s *listServer) recordUpdate(upstream int) {
	s.discovery.mu.Lock()
	defer s.discovery.mu.Unlock()
	s.discovery.updates = append(s.discovery.updates, record.DiscoveryUpdate{
		Balancer: s.balancer, Upstream: upstream, At: s.discovery.fleet.Now(), Serving: s.entries[upstream].status == "SERVING",
	})
}

func (s *listServer) notifyWatchers(line string) {
	for w := range s.watchers {
		select {
		case w <- line:
		default: // a slow watcher misses this update and gets the full list with its next call
		}
	}
}

// formatUpdate formats the whole list or some of its entries.
func (s *listServer) formatUpdate(whole bool, some ...int) string {
	if whole {
		some = nil
		for i, u := range s.discovery.fleet.Upstreams {
			if u.Group.Pool == s.pool && s.entries[i].status != "DELETED" && !s.omitted[i] {
				some = append(some, i)
			}
		}
	}
	var words []string
	for _, i := range some {
		u, e := s.discovery.fleet.Upstreams[i], s.entries[i]
		words = append(words, fmt.Sprintf(`{"name":%q,"address":%q,"zone":%q,"type":"m","group":%d,"status":%q,"weight":%g,"since_ms":%d}`,
			e.name, u.Address, u.Group.Zone, u.Cell, e.status, float64(u.Group.Cores)*u.Group.Speed, e.since))
	}
	return fmt.Sprintf(`{"index":%d,"snapshot":%t,"endpoints":[%s]}`, s.index, whole, strings.Join(words, ","))
}

// SetDown makes discovery of a pool unavailable or available again. It ends all watches of an unavailable pool.
func (d *Discovery) SetDown(pool int, down bool) {
	for _, pools := range d.servers {
		l := pools[pool]
		l.mu.Lock()
		l.down = down
		for w := range l.watchers {
			if down {
				close(w)
				delete(l.watchers, w)
			}
		}
		l.mu.Unlock()
	}
}

// SetDelay delays all later updates of a pool.
func (d *Discovery) SetDelay(pool int, late time.Duration) {
	for _, pools := range d.servers {
		pools[pool].mu.Lock()
		pools[pool].delay = late
		pools[pool].mu.Unlock()
	}
}

// SetOmitted omits healthy upstreams from the lists, or lists them again.
func (d *Discovery) SetOmitted(upstreams []int, lacks bool) {
	for _, i := range upstreams {
		for _, pools := range d.servers {
			l := pools[d.fleet.Upstreams[i].Group.Pool]
			l.mu.Lock()
			l.index++
			if lacks {
				e := l.entries[i]
				l.entries[i].status = "DELETED"
				l.notifyWatchers(l.formatUpdate(false, i))
				l.entries[i] = e
			}
			if l.omitted[i] = lacks; !lacks {
				l.notifyWatchers(l.formatUpdate(false, i))
			}
			l.mu.Unlock()
		}
	}
}

// ServeHTTP answers a balancer's call with the list, followed by updates if it watches.
func (s *listServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.discovery.mu.Lock()
	ask := len(s.discovery.calls)
	s.discovery.calls = append(s.discovery.calls, record.DiscoveryCall{Balancer: s.balancer, At: s.discovery.fleet.Now()})
	s.discovery.mu.Unlock()
	defer func() {
		s.discovery.mu.Lock()
		defer s.discovery.mu.Unlock()
		s.discovery.calls[ask].To = s.discovery.fleet.Now()
	}()
	text := s.formatUpdate(true)
	for i, u := range s.discovery.fleet.Upstreams {
		if u.Group.Pool == s.pool {
			s.recordUpdate(i)
		}
	}
	lines := make(chan string, 1000)
	watches := r.URL.Query().Get("watch") == "1"
	if watches {
		s.watchers[lines] = struct{}{}
	}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.watchers, lines)
		s.mu.Unlock()
	}()
	io.WriteString(w, text+"\n")
	if !watches {
		return
	}
	beat := time.NewTicker(2 * time.Second)
	defer beat.Stop()
	for {
		http.NewResponseController(w).Flush()
		select {
		case line, open := <-lines:
			if !open {
				return
			}
			io.WriteString(w, line+"\n")
		case <-beat.C:
			io.WriteString(w, "\n")
		case <-r.Context().Done():
			return
		}
	}
}
