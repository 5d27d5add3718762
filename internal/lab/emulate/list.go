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
func NewDiscovery(fleet *Fleet, balancers int) (*Discovery, error) {
	discovery := &Discovery{fleet: fleet}
	for b := range balancers {
		var pools []*listServer
		for p := range fleet.experiment.Pools {
			n, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return nil, err
			}
			srv := &listServer{discovery: discovery, balancer: b, pool: p, address: n.Addr().String(), index: 1,
				omitted: map[int]bool{}, watchers: map[chan string]struct{}{}}
			for _, u := range fleet.Upstreams {
				srv.entries = append(srv.entries, entry{u.Name(), "SERVING", 0})
			}
			srv.server = &http.Server{Handler: srv, ErrorLog: log.New(io.Discard, "", 0)}
			go srv.server.Serve(n)
			pools = append(pools, srv)
		}
		discovery.servers = append(discovery.servers, pools)
	}
	return discovery, nil
}

// Addresses returns the discovery addresses of a balancer, by pool.
func (discovery *Discovery) Addresses(balancer int) (all []string) {
	for _, l := range discovery.servers[balancer] {
		all = append(all, l.address)
	}
	return all
}

// Close stops all discovery servers.
func (discovery *Discovery) Close() {
	for _, pools := range discovery.servers {
		for _, l := range pools {
			l.server.Close()
		}
	}
}

// Updates returns the updates that were sent.
func (discovery *Discovery) Updates() []record.DiscoveryUpdate {
	discovery.mu.Lock()
	defer discovery.mu.Unlock()
	return discovery.updates
}

// Calls returns the calls that were received.
func (discovery *Discovery) Calls() []record.DiscoveryCall {
	discovery.mu.Lock()
	defer discovery.mu.Unlock()
	return slices.Clone(discovery.calls)
}

// SetStatus changes the status of an upstream in all lists, each after its delay. cold means that it has just started.
func (discovery *Discovery) SetStatus(u *Upstream, status string, cold bool) {
	name, since := u.Name(), int64(0)
	if cold {
		since = time.Now().UnixMilli()
	}
	for _, pools := range discovery.servers {
		l := pools[u.Group.Pool]
		l.mu.Lock()
		wait := time.Duration(discovery.fleet.experiment.DiscoveryDelay) + l.delay
		l.mu.Unlock()
		time.AfterFunc(wait, func() { l.set(u.Index, entry{name, status, since}) })
	}
}

func (srv *listServer) set(upstream int, e entry) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.entries[upstream] = e
	srv.index++
	if srv.omitted[upstream] {
		return
	}
	srv.notifyWatchers(srv.formatUpdate(false, upstream))
	srv.recordUpdate(upstream)
}

// recordUpdate records an update for the judge.
func (srv *listServer) recordUpdate(upstream int) {
	srv.discovery.mu.Lock()
	defer srv.discovery.mu.Unlock()
	srv.discovery.updates = append(srv.discovery.updates, record.DiscoveryUpdate{
		Balancer: srv.balancer, Upstream: upstream, At: srv.discovery.fleet.Now(), Serving: srv.entries[upstream].status == "SERVING",
	})
}

func (srv *listServer) notifyWatchers(line string) {
	for w := range srv.watchers {
		select {
		case w <- line:
		default: // a slow watcher misses this update and gets the full list with its next call
		}
	}
}

// formatUpdate formats the whole list or some of its entries.
func (srv *listServer) formatUpdate(whole bool, some ...int) string {
	if whole {
		some = nil
		for i, u := range srv.discovery.fleet.Upstreams {
			if u.Group.Pool == srv.pool && srv.entries[i].status != "DELETED" && !srv.omitted[i] {
				some = append(some, i)
			}
		}
	}
	var words []string
	for _, i := range some {
		u, e := srv.discovery.fleet.Upstreams[i], srv.entries[i]
		words = append(words, fmt.Sprintf(`{"name":%q,"address":%q,"zone":%q,"type":"m","group":%d,"status":%q,"weight":%g,"since_ms":%d}`,
			e.name, u.Address, u.Group.Zone, u.Cell, e.status, float64(u.Group.Cores)*u.Group.Speed, e.since))
	}
	return fmt.Sprintf(`{"index":%d,"snapshot":%t,"endpoints":[%s]}`, srv.index, whole, strings.Join(words, ","))
}

// SetDown makes discovery of a pool unavailable or available again. It ends all watches of an unavailable pool.
func (discovery *Discovery) SetDown(pool int, down bool) {
	for _, pools := range discovery.servers {
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
func (discovery *Discovery) SetDelay(pool int, late time.Duration) {
	for _, pools := range discovery.servers {
		pools[pool].mu.Lock()
		pools[pool].delay = late
		pools[pool].mu.Unlock()
	}
}

// SetOmitted omits healthy upstreams from the lists, or lists them again.
func (discovery *Discovery) SetOmitted(upstreams []int, lacks bool) {
	for _, i := range upstreams {
		for _, pools := range discovery.servers {
			l := pools[discovery.fleet.Upstreams[i].Group.Pool]
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
func (srv *listServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	srv.mu.Lock()
	if srv.down {
		srv.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	srv.discovery.mu.Lock()
	ask := len(srv.discovery.calls)
	srv.discovery.calls = append(srv.discovery.calls, record.DiscoveryCall{Balancer: srv.balancer, At: srv.discovery.fleet.Now()})
	srv.discovery.mu.Unlock()
	defer func() {
		srv.discovery.mu.Lock()
		defer srv.discovery.mu.Unlock()
		srv.discovery.calls[ask].To = srv.discovery.fleet.Now()
	}()
	text := srv.formatUpdate(true)
	for i, u := range srv.discovery.fleet.Upstreams {
		if u.Group.Pool == srv.pool {
			srv.recordUpdate(i)
		}
	}
	lines := make(chan string, 1000)
	watches := r.URL.Query().Get("watch") == "1"
	if watches {
		srv.watchers[lines] = struct{}{}
	}
	srv.mu.Unlock()
	defer func() {
		srv.mu.Lock()
		delete(srv.watchers, lines)
		srv.mu.Unlock()
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
