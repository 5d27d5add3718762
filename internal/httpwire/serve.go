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

// FrontEnd is the door for transactions.
type FrontEnd struct {
	log          *slog.Logger
	poolLog      *slog.Logger // for the pools' own
	conns        *connTracker
	limits       *sharedLimits
	server       *http.Server
	newEngine    desk.EngineFactory
	cores        int
	routing      atomic.Pointer[Routing]
	ownership    atomic.Pointer[OwnershipRegistry] // nil where nothing is claimed
	availability Availability
	accepting    atomic.Bool // a listener is served
	listeners    listeners
	streams      atomic.Int64 // answers that go on without the module
}

// Routing is which pool takes what. It is replaced whole.
type Routing struct {
	SinglePool *Pool // takes all that comes, if there is one
	Table      *routes.Table
	Pools      map[string]*Pool
}

// hasList reports whether there is a list of upstreams, of any pool.
func (routing *Routing) hasList() bool {
	stands := routing.SinglePool != nil && routing.SinglePool.hasList.Load()
	for _, p := range routing.Pools {
		stands = stands || p.hasList.Load()
	}
	return stands
}

// New makes a front, which serves nobody until it has a board; module decides for each of its pools.
func New(log *slog.Logger, module desk.EngineFactory) *FrontEnd {
	f := &FrontEnd{newEngine: module, cores: 1, log: logs.Own(log), poolLog: log, conns: newConnTracker(), limits: newSharedLimits()}
	f.routing.Store(&Routing{})
	f.server = &http.Server{
		Handler: f, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: f.conns.stateChanged, ConnContext: withClient, DisableGeneralOptionsHandler: true, // no answers but ours
		ErrorLog: logs.Lines(logs.Own(log), "http"),
	}
	return f
}

// SetLimits is how many descriptors the front may hold, and on how many cores pools that are made from now on work. It
// comes before any pool.
func (front *FrontEnd) SetLimits(descriptors, cores int) {
	front.conns.limit.Store(int64(descriptors))
	front.cores = max(cores, 1)
}

// SetUnlimited lets the one pool there is have all that is common; bodies are bytes in hand.
func (front *FrontEnd) SetUnlimited(bodies int64) { front.limits.setUnlimited(bodies) }

// SetShares sets what each pool has of what is common from now on; bodies are bytes in hand, within the time until a pool has
// what is guaranteed to it back, refusals those a second that all together may write before connections rest.
func (front *FrontEnd) SetShares(bodies int64, within time.Duration, refusals float64, pools map[*Pool]Share) {
	parts := map[*poolLimits]Share{}
	for pool, share := range pools {
		parts[pool.limits] = share
	}
	front.limits.distribute(front.conns.limit.Load(), bodies, within, refusals, parts)
}

// SetRouting replaces the board. A transaction stays with the pool that took it.
func (front *FrontEnd) SetRouting(b *Routing) { front.routing.Store(b) }

// ServeHTTP is the life of one transaction.
func (front *FrontEnd) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var sh *shard
	var handle *desk.Handle
	client := clientConn(req.Context())
	writer := newConnWriter(client)
	defer func() {
		fault := recover()
		if fault == http.ErrAbortHandler { // how the server is told to break a connection
			panic(fault)
		}
		if fault != nil {
			front.log.Error("panic", "where", "serve", "fault", fault, "stack", string(debug.Stack()))
			if handle != nil {
				sh.desk.ClientGone(handle)
				writer.close()
				sh.discardAttempts(handle)
			}
			front.writeText(w, http.StatusInternalServerError, "internal error")
		}
	}()
	// Danger: a body that trickles in holds a connection, also where it belongs to no transaction.
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyGrace))
	if req.URL.Path == "/_health" {
		front.health(w, req)
		return
	}

	pool, tariff, reqErr := front.findPool(req, client)
	if pool == nil {
		front.reject(w, reqErr)
		return
	}
	defer pool.removeTransaction()
	sh = pool.shardOf(client)
	txn, reqErr := sh.decode(req, tariff)
	if reqErr == nil && !sh.openIDs.add(txn.id) {
		reqErr = badRequest("X-Txn is that of an open transaction")
	}
	if reqErr != nil {
		front.reject(w, reqErr)
		return
	}
	defer sh.openIDs.remove(txn.id)
	front.conns.markBusy(client, sh.limits)
	res := &reservation{limits: sh.limits, timeout: txn.timeout}
	defer res.release()
	if ok, delay := sh.limits.admit(txn.timeout); !ok {
		front.deferEarly(w, sh, txn)
		// Danger: a flood that is refused as fast as it comes uses up the core. It has its answer; what rests is the
		// connection, before its next message is read.
		time.Sleep(delay)
		return
	}
	res.admitted = true
	front.conns.setAwaitingBody(client, true)
	reqErr = txn.readBody(w, req, res, func() bool { return front.conns.evictBody(client) })
	front.conns.setAwaitingBody(client, txn.upload != nil)
	if reqErr != nil {
		if reqErr == errNoBodyRoom {
			front.deferEarly(w, sh, txn)
		} else {
			front.reject(w, reqErr)
		}
		return
	}
	if front.availability.tooLate(time.Now()) {
		front.deferEarly(w, sh, txn)
		return
	}
	defer txn.upload.stop()
	guard := front.newGuard(sh, txn)
	defer guard.finish()
	for withdrawn := true; withdrawn; { // more than once only where a claim was refused
		if !guard.admit(req.Context(), front, w, txn) {
			writer.close()
			return
		}
		handle = sh.desk.Arrive(guard.arrival(txn))
		withdrawn = front.runTransaction(w, req, sh, txn, handle, writer, res, guard)
	}
}

// runTransaction is a transaction's life from its arrival at the desk to its answer; again says that it was taken back instead.
func (front *FrontEnd) runTransaction(
	w http.ResponseWriter, req *http.Request, sh *shard, txn *transaction, handle *desk.Handle, writer *connWriter, res *reservation, guard *ownershipGuard,
) (withdrawn bool) {
	client := clientConn(req.Context())
	defer sh.discardAttempts(handle)
	replies := map[int]*upstreamResponse{} // by push
	defer func() {
		select {
		case answer := <-handle.Answer: // that its client did not wait for
			replies[answer.Attempt].discard()
		default:
		}
	}()
	for {
		select {
		case attempt := <-handle.Attempts:
			replies[attempt.Number] = &upstreamResponse{}
			go sh.runAttempt(handle, attempt, txn, writer, res, replies[attempt.Number], guard)
		case <-guard.withdrawn():
			return true
		case err := <-txn.upload.result():
			if err != nil { // its client sent no more
				sh.desk.ClientGone(handle)
				writer.close()
				front.reject(w, badRequest("the body is cut, late or malformed"))
				return false
			}
			front.conns.setAwaitingBody(client, false)
			sh.desk.BodyReceived(handle, txn.timeout)
		case answer := <-handle.Answer:
			writer.close()
			if client != nil && client.listener.closing.Load() || !txn.upload.done() {
				w.Header()["Connection"] = []string{"close"}
			}
			front.writeAnswer(w, answer, replies, req.Method)
			return false
		case <-req.Context().Done():
			sh.desk.ClientGone(handle)
			writer.close()
			// Danger: a handler that ends without a word answers 200, and a client that has only stopped sending
			// would take that for settled.
			front.writeText(w, http.StatusBadGateway, "gone")
			return false
		}
	}
}

// deferEarly defers a transaction that the module has not heard of.
func (front *FrontEnd) deferEarly(w http.ResponseWriter, sh *shard, txn *transaction) {
	sh.desk.CountDeferred(txn.arrival())
	w.Header()["Connection"] = []string{"close"} // Danger: its body may be on its way yet
	front.writeDeferral(w, time.Duration(txn.settings.Terms.Backoff(txn.settings.Terms.Tariffs[txn.tariff])))
}

// findPool finds the pool of a message, which it is counted into, and the tariff if its route says one. What no route
// takes is nobody's transaction.
func (front *FrontEnd) findPool(req *http.Request, client *trackedConn) (pool *Pool, tariff string, reqErr *requestError) {
	// Danger: the server drops a length that comes beside a transfer coding, and what one side takes for the body
	// holds a message of its own for the other; in HTTP/1.0 it drops the coding, unseen from here.
	if len(req.TransferEncoding) > 0 && (client == nil || !client.head.withoutLength()) {
		return nil, "", &requestError{http.StatusLengthRequired, "a body comes with its length or a transfer coding, not with both"}
	}
	if !req.ProtoAtLeast(1, 1) {
		return nil, "", badRequest("not HTTP/1.1")
	}
	// Danger: a tunnel's target is no path, and what an upstream makes of "CONNECT /" is its own affair.
	if req.Method == http.MethodConnect {
		return nil, "", &requestError{http.StatusNotImplemented, "a balancer is no tunnel"}
	}
	query := routes.Query{Method: req.Method}
	for {
		routing := front.routing.Load()
		if routing.SinglePool != nil {
			pool = routing.SinglePool
		} else {
			if query.Header == nil {
				if query, reqErr = routeQuery(req, client); reqErr != nil {
					return nil, "", reqErr
				}
			}
			found := (*routes.Route)(nil)
			if routing.Table != nil {
				found = routing.Table.Find(&query)
			}
			if found == nil {
				return nil, "", &requestError{http.StatusNotFound, "no route takes this host and path"}
			}
			pool, tariff = routing.Pools[found.Pool], found.Tariff
		}
		if pool.addTransaction() {
			return pool, tariff, nil
		} // Danger: it was retired since the board was read; there is a new one, or will be in a moment
		if front.routing.Load() == routing {
			return nil, "", &requestError{http.StatusNotFound, "no route takes this host and path"}
		}
	}
}

// routeQuery is what a message says to the route table. Its path goes on as it was routed. Danger: an upstream that reads it
// in another way would let through what a route of ours guards.
func routeQuery(req *http.Request, client *trackedConn) (query routes.Query, reqErr *requestError) {
	var ok bool
	query.Method, query.Header = req.Method, func(name string) (string, bool) {
		if v := req.Header[name]; len(v) == 1 {
			return v[0], true
		}
		return "", false // Danger: of two values one side may read the first and the other the last
	}
	if client != nil {
		query.Listener = client.listener.name()
	}
	if query.Host, ok = routes.Host(req.Host); !ok {
		return query, badRequest("the host makes no sense")
	}
	sent := req.URL.EscapedPath()
	if query.Path, ok = routes.Path(sent); !ok {
		return query, badRequest("the path makes no sense")
	}
	if query.Path != sent {
		plain, err := url.PathUnescape(query.Path)
		if err != nil {
			return query, badRequest("the path makes no sense")
		}
		req.URL.Path, req.URL.RawPath = plain, query.Path
	}
	return query, nil
}

// reject answers what is no transaction.
func (front *FrontEnd) reject(w http.ResponseWriter, reqErr *requestError) {
	w.Header()["Connection"] = []string{"close"} // Danger: a body may be on its way that nobody waits for
	front.writeText(w, reqErr.status, reqErr.text)
}

// health says whether there is a list of upstreams: of any pool, or of the one that ?pool= names.
func (front *FrontEnd) health(w http.ResponseWriter, req *http.Request) {
	routing := front.routing.Load()
	hasList := routing.hasList()
	if name := req.URL.Query().Get("pool"); routing.SinglePool == nil && name != "" {
		pool := routing.Pools[name]
		hasList = pool != nil && pool.hasList.Load()
	}
	if accepts := front.availability.acceptsClients(); !hasList || !accepts {
		if !accepts { // Danger: kept, it would be held open by a balancer that is to hold none
			w.Header()["Connection"] = []string{"close"}
		}
		front.writeText(w, http.StatusServiceUnavailable, "no list of upstreams, leaving or stopping")
		return
	}
	if front.availability.closesConnections(time.Now()) {
		w.Header()["Connection"] = []string{"close"}
	}
	w.WriteHeader(http.StatusOK)
}
