// Package httpwire serves transactions over HTTP/1.1: net/http's server towards clients, http.Transport towards
// upstreams. Its files follow a transaction: serve.go finds its pool and lives its life, request.go reads it, share.go
// asks whether its pool may have it, push.go carries one push, gate.go lets it out, reply.go writes the answer, drain.go
// ends the process; pool.go is one service, sockets.go keeps count of clients' connections, outbound.go and outward.go
// of those to upstreams, tally.go logs. It decides nothing: routes, shares and the desk are asked at each point of
// choice.
package httpwire

import (
	"log/slog"
	"net/http"
	"net/url"
	"runtime/debug"
	"sync/atomic"
	"time"

	"ottershift/internal/desk"
	"ottershift/internal/logs"
	"ottershift/internal/routes"
)

// Front is the door for transactions.
type Front struct {
	log      *slog.Logger
	base     *slog.Logger // for the pools' own
	sockets  *sockets
	common   *common
	server   *http.Server
	module   desk.EngineFactory
	cores    int
	board    atomic.Pointer[Board]
	claims   atomic.Pointer[Claims] // nil where nothing is claimed
	presence Presence
	accepts  atomic.Bool // a listener is served
	serving  listeners
	flows    atomic.Int64 // answers that go on without the module
}

// Board is which pool takes what. It is replaced whole.
type Board struct {
	Only  *Pool // takes all that comes, if there is one
	Table *routes.Table
	Pools map[string]*Pool
}

// stands reports whether there is a list of upstreams, of any pool.
func (b *Board) stands() bool {
	stands := b.Only != nil && b.Only.stands.Load()
	for _, p := range b.Pools {
		stands = stands || p.stands.Load()
	}
	return stands
}

// New makes a front, which serves nobody until it has a board; module decides for each of its pools.
func New(log *slog.Logger, module desk.EngineFactory) *Front {
	f := &Front{module: module, cores: 1, log: logs.WithoutPool(log), base: log, sockets: newSockets(), common: newCommon()}
	f.board.Store(&Board{})
	f.server = &http.Server{
		Handler: f, ReadHeaderTimeout: headLimit, IdleTimeout: idleLimit, MaxHeaderBytes: mostHeader,
		ConnState: f.sockets.state, ConnContext: withClient, DisableGeneralOptionsHandler: true, // no answers but ours
		ErrorLog: logs.NewLineLogger(logs.WithoutPool(log), "http"),
	}
	return f
}

// Limit is how many descriptors the front may hold, and on how many cores pools that are made from now on work. It
// comes before any pool.
func (f *Front) Limit(descriptors, cores int) {
	f.sockets.limit.Store(int64(descriptors))
	f.cores = max(cores, 1)
}

// Alone lets the one pool there is have all that is common; bodies are bytes in hand.
func (f *Front) Alone(bodies int64) { f.common.alone(bodies) }

// Deal sets what each pool has of what is common from now on; bodies are bytes in hand, within the time until a pool has
// what is guaranteed to it back, refusals those a second that all together may write before connections rest.
func (f *Front) Deal(bodies int64, within time.Duration, refusals float64, to map[*Pool]Share) {
	parts := map[*part]Share{}
	for p, s := range to {
		parts[p.part] = s
	}
	f.common.deal(f.sockets.limit.Load(), bodies, within, refusals, parts)
}

// Show replaces the board. A transaction stays with the pool that took it.
func (f *Front) Show(b *Board) { f.board.Store(b) }

// ServeHTTP is the life of one transaction.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var p *shard
	var c *desk.Handle
	client := clientOf(r.Context())
	out := gateOf(client)
	defer func() {
		what := recover()
		if what == http.ErrAbortHandler { // how the server is told to break a connection
			panic(what)
		}
		if what != nil {
			f.log.Error("panic", "where", "serve", "fault", what, "stack", string(debug.Stack()))
			if c != nil {
				p.desk.ClientGone(c)
				out.close()
				p.strike(c)
			}
			f.say(w, http.StatusInternalServerError, "internal error")
		}
	}()
	// Danger: a body that trickles in holds a connection, also where it belongs to no transaction.
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(slowest))
	if r.URL.Path == "/_health" {
		f.health(w, r)
		return
	}

	pool, tariff, no := f.route(r, client)
	if pool == nil {
		f.reject(w, no)
		return
	}
	defer pool.exit()
	p = pool.shard(client)
	q, no := p.read(r, tariff)
	if no == nil && !p.ids.claim(q.id) {
		no = bad("X-Txn is that of an open transaction")
	}
	if no != nil {
		f.reject(w, no)
		return
	}
	defer p.ids.free(q.id)
	f.sockets.busy(client, p.part)
	hand := &inHand{part: p.part, left: q.left}
	defer hand.end()
	if ok, rest := p.part.take(q.left); !ok {
		f.turn(w, p, q)
		// Danger: a flood that is refused as fast as it comes uses up the core. It has its answer; what rests is the
		// connection, before its next message is read.
		time.Sleep(rest)
		return
	}
	hand.open = true
	f.sockets.awaits(client, true)
	no = q.wait(w, r, hand, func() bool { return f.sockets.spare(client) })
	f.sockets.awaits(client, q.rest != nil)
	if no != nil {
		if no == noRoom {
			f.turn(w, p, q)
		} else {
			f.reject(w, no)
		}
		return
	}
	if f.presence.tooLate(time.Now()) {
		f.turn(w, p, q)
		return
	}
	defer q.rest.stop()
	guard := f.guard(p, q)
	defer guard.end()
	for again := true; again; { // more than once only where a claim was refused
		if !guard.open(r.Context(), f, w, q) {
			out.close()
			return
		}
		c = p.desk.Arrive(guard.arrival(q))
		again = f.attend(w, r, p, q, c, out, hand, guard)
	}
}

// attend is a transaction's life from its arrival at the desk to its answer; again says that it was taken back instead.
func (f *Front) attend(
	w http.ResponseWriter, r *http.Request, p *shard, q *transaction, c *desk.Handle, out *gate, hand *inHand, guard *guard,
) (again bool) {
	client := clientOf(r.Context())
	defer p.strike(c)
	replies := map[int]*reply{} // by push
	defer func() {
		select {
		case a := <-c.Answer: // that its client did not wait for
			replies[a.Attempt].drop()
		default:
		}
	}()
	for {
		select {
		case push := <-c.Attempts:
			replies[push.Number] = &reply{}
			go p.push(c, push, q, out, hand, replies[push.Number], guard)
		case <-guard.recalled():
			return true
		case err := <-q.rest.ended():
			if err != nil { // its client sent no more
				p.desk.ClientGone(c)
				out.close()
				f.reject(w, bad("the body is cut, late or malformed"))
				return false
			}
			f.sockets.awaits(client, false)
			p.desk.BodyReceived(c, q.left)
		case a := <-c.Answer:
			out.close()
			if client != nil && client.listener.gone.Load() || !q.rest.done() {
				w.Header()["Connection"] = []string{"close"}
			}
			f.write(w, a, replies, r.Method)
			return false
		case <-r.Context().Done():
			p.desk.ClientGone(c)
			out.close()
			// Danger: a handler that ends without a word answers 200, and a client that has only stopped sending
			// would take that for settled.
			f.say(w, http.StatusBadGateway, "gone")
			return false
		}
	}
}

// turn defers a transaction that the module has not heard of.
func (f *Front) turn(w http.ResponseWriter, p *shard, q *transaction) {
	p.desk.CountDeferred(q.arrival())
	w.Header()["Connection"] = []string{"close"} // Danger: its body may be on its way yet
	f.defers(w, time.Duration(q.book.Terms.Backoff(q.book.Terms.Tariffs[q.tariff])))
}

// route finds the pool of a message, which it is counted into, and the tariff if its route says one. What no route
// takes is nobody's transaction.
func (f *Front) route(r *http.Request, client *counted) (p *Pool, tariff string, no *fault) {
	// Danger: the server drops a length that comes beside a transfer coding, and what one side takes for the body
	// holds a message of its own for the other; in HTTP/1.0 it drops the coding, unseen from here.
	if len(r.TransferEncoding) > 0 && (client == nil || !client.head.plain()) {
		return nil, "", &fault{http.StatusLengthRequired, "a body comes with its length or a transfer coding, not with both"}
	}
	if !r.ProtoAtLeast(1, 1) {
		return nil, "", bad("not HTTP/1.1")
	}
	// Danger: a tunnel's target is no path, and what an upstream makes of "CONNECT /" is its own affair.
	if r.Method == http.MethodConnect {
		return nil, "", &fault{http.StatusNotImplemented, "a balancer is no tunnel"}
	}
	q := routes.Query{Method: r.Method}
	for {
		board := f.board.Load()
		if board.Only != nil {
			p = board.Only
		} else {
			if q.Header == nil {
				if q, no = query(r, client); no != nil {
					return nil, "", no
				}
			}
			found := (*routes.Route)(nil)
			if board.Table != nil {
				found = board.Table.Find(&q)
			}
			if found == nil {
				return nil, "", &fault{http.StatusNotFound, "no route takes this host and path"}
			}
			p, tariff = board.Pools[found.Pool], found.Tariff
		}
		if p.enter() {
			return p, tariff, nil
		} // Danger: it was retired since the board was read; there is a new one, or will be in a moment
		if f.board.Load() == board {
			return nil, "", &fault{http.StatusNotFound, "no route takes this host and path"}
		}
	}
}

// query is what a message says to the route table. Its path goes on as it was routed. Danger: an upstream that reads it
// in another way would let through what a route of ours guards.
func query(r *http.Request, client *counted) (q routes.Query, no *fault) {
	var ok bool
	q.Method, q.Header = r.Method, func(name string) (string, bool) {
		if v := r.Header[name]; len(v) == 1 {
			return v[0], true
		}
		return "", false // Danger: of two values one side may read the first and the other the last
	}
	if client != nil {
		q.Listener = client.listener.name()
	}
	if q.Host, ok = routes.Host(r.Host); !ok {
		return q, bad("the host makes no sense")
	}
	sent := r.URL.EscapedPath()
	if q.Path, ok = routes.Path(sent); !ok {
		return q, bad("the path makes no sense")
	}
	if q.Path != sent {
		plain, err := url.PathUnescape(q.Path)
		if err != nil {
			return q, bad("the path makes no sense")
		}
		r.URL.Path, r.URL.RawPath = plain, q.Path
	}
	return q, nil
}

// reject answers what is no transaction.
func (f *Front) reject(w http.ResponseWriter, no *fault) {
	w.Header()["Connection"] = []string{"close"} // Danger: a body may be on its way that nobody waits for
	f.say(w, no.status, no.text)
}

// health says whether there is a list of upstreams: of any pool, or of the one that ?pool= names.
func (f *Front) health(w http.ResponseWriter, r *http.Request) {
	board := f.board.Load()
	stands := board.stands()
	if name := r.URL.Query().Get("pool"); board.Only == nil && name != "" {
		p := board.Pools[name]
		stands = p != nil && p.stands.Load()
	}
	if takes := f.presence.takes(); !stands || !takes {
		if !takes { // Danger: kept, it would be held open by a balancer that is to hold none
			w.Header()["Connection"] = []string{"close"}
		}
		f.say(w, http.StatusServiceUnavailable, "no list of upstreams, leaving or stopping")
		return
	}
	if f.presence.parts(time.Now()) {
		w.Header()["Connection"] = []string{"close"}
	}
	w.WriteHeader(http.StatusOK)
}
