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

// Lists emulates discovery. Each balancer and pool has its own server, whose answers can be delayed, wrong or missing.
type Lists struct {
	fleet *Fleet
	all   [][]*list // by balancer, by pool

	mu   sync.Mutex
	told []record.Told
	asks []record.Ask
}

// list is the discovery server of one pool for one balancer.
type list struct {
	lists    *Lists
	balancer int
	pool     int
	address  string
	server   *http.Server

	mu      sync.Mutex
	late    time.Duration
	down    bool
	lacks   map[int]bool
	index   int
	entries []entry // by upstream
	watch   map[chan string]struct{}
}

// entry is the listed state of an upstream.
type entry struct {
	name, status string
	since        int64 // milliseconds
}

// NewLists starts the discovery servers for a number of balancers.
func NewLists(f *Fleet, balancers int) (*Lists, error) {
	ls := &Lists{fleet: f}
	for b := range balancers {
		var pools []*list
		for p := range f.e.Pools {
			n, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return nil, err
			}
			l := &list{lists: ls, balancer: b, pool: p, address: n.Addr().String(), index: 1, lacks: map[int]bool{}, watch: map[chan string]struct{}{}}
			for _, u := range f.Upstreams {
				l.entries = append(l.entries, entry{u.Name(), "SERVING", 0})
			}
			l.server = &http.Server{Handler: l, ErrorLog: log.New(io.Discard, "", 0)}
			go l.server.Serve(n)
			pools = append(pools, l)
		}
		ls.all = append(ls.all, pools)
	}
	return ls, nil
}

// Addresses returns the discovery addresses of a balancer, by pool.
func (ls *Lists) Addresses(balancer int) (all []string) {
	for _, l := range ls.all[balancer] {
		all = append(all, l.address)
	}
	return all
}

// Close stops all discovery servers.
func (ls *Lists) Close() {
	for _, pools := range ls.all {
		for _, l := range pools {
			l.server.Close()
		}
	}
}

// Told returns the updates that were sent.
func (ls *Lists) Told() []record.Told {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return ls.told
}

// Asks returns the calls that were received.
func (ls *Lists) Asks() []record.Ask {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return slices.Clone(ls.asks)
}

// Set changes the status of an upstream in all lists, each after its delay. cold means that it has just started.
func (ls *Lists) Set(u *Upstream, status string, cold bool) {
	name, since := u.Name(), int64(0)
	if cold {
		since = time.Now().UnixMilli()
	}
	for _, pools := range ls.all {
		l := pools[u.Group.Pool]
		l.mu.Lock()
		wait := time.Duration(ls.fleet.e.Listed) + l.late
		l.mu.Unlock()
		time.AfterFunc(wait, func() { l.set(u.Index, entry{name, status, since}) })
	}
}

func (l *list) set(upstream int, e entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[upstream] = e
	l.index++
	if l.lacks[upstream] {
		return
	}
	l.tell(l.report(false, upstream))
	l.noted(upstream)
}

// noted records an update for the judge.
func (l *list) noted(upstream int) {
	l.lists.mu.Lock()
	defer l.lists.mu.Unlock()
	l.lists.told = append(l.lists.told, record.Told{
		Balancer: l.balancer, Upstream: upstream, At: l.lists.fleet.Now(), Serving: l.entries[upstream].status == "SERVING",
	})
}

func (l *list) tell(line string) {
	for w := range l.watch {
		select {
		case w <- line:
		default: // a slow watcher misses this update and gets the full list with its next call
		}
	}
}

// report formats the whole list or some of its entries.
func (l *list) report(whole bool, some ...int) string {
	if whole {
		some = nil
		for i, u := range l.lists.fleet.Upstreams {
			if u.Group.Pool == l.pool && l.entries[i].status != "DELETED" && !l.lacks[i] {
				some = append(some, i)
			}
		}
	}
	var words []string
	for _, i := range some {
		u, e := l.lists.fleet.Upstreams[i], l.entries[i]
		words = append(words, fmt.Sprintf(`{"name":%q,"address":%q,"zone":%q,"type":"m","group":%d,"status":%q,"weight":%g,"since_ms":%d}`,
			e.name, u.Address, u.Group.Zone, u.Cell, e.status, float64(u.Group.Cores)*u.Group.Speed, e.since))
	}
	return fmt.Sprintf(`{"index":%d,"snapshot":%t,"endpoints":[%s]}`, l.index, whole, strings.Join(words, ","))
}

// Down makes discovery of a pool unavailable or available again. It ends all watches of an unavailable pool.
func (ls *Lists) Down(pool int, down bool) {
	for _, pools := range ls.all {
		l := pools[pool]
		l.mu.Lock()
		l.down = down
		for w := range l.watch {
			if down {
				close(w)
				delete(l.watch, w)
			}
		}
		l.mu.Unlock()
	}
}

// Late delays all later updates of a pool.
func (ls *Lists) Late(pool int, late time.Duration) {
	for _, pools := range ls.all {
		pools[pool].mu.Lock()
		pools[pool].late = late
		pools[pool].mu.Unlock()
	}
}

// Lacks omits healthy upstreams from the lists, or lists them again.
func (ls *Lists) Lacks(upstreams []int, lacks bool) {
	for _, i := range upstreams {
		for _, pools := range ls.all {
			l := pools[ls.fleet.Upstreams[i].Group.Pool]
			l.mu.Lock()
			l.index++
			if lacks {
				e := l.entries[i]
				l.entries[i].status = "DELETED"
				l.tell(l.report(false, i))
				l.entries[i] = e
			}
			if l.lacks[i] = lacks; !lacks {
				l.tell(l.report(false, i))
			}
			l.mu.Unlock()
		}
	}
}

// ServeHTTP answers a balancer's call with the list, followed by updates if it watches.
func (l *list) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	if l.down {
		l.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	l.lists.mu.Lock()
	ask := len(l.lists.asks)
	l.lists.asks = append(l.lists.asks, record.Ask{Balancer: l.balancer, At: l.lists.fleet.Now()})
	l.lists.mu.Unlock()
	defer func() {
		l.lists.mu.Lock()
		defer l.lists.mu.Unlock()
		l.lists.asks[ask].To = l.lists.fleet.Now()
	}()
	text := l.report(true)
	for i, u := range l.lists.fleet.Upstreams {
		if u.Group.Pool == l.pool {
			l.noted(i)
		}
	}
	lines := make(chan string, 1000)
	watches := r.URL.Query().Get("watch") == "1"
	if watches {
		l.watch[lines] = struct{}{}
	}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.watch, lines)
		l.mu.Unlock()
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
