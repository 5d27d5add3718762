// Package httpwire serves transactions over HTTP/1.1, with the server of net/http for clients and http.Transport
// for upstreams. serve.go finds the pool of a request and runs the transaction, request.go decodes the request,
// limits.go applies the limits shared between pools, ownership.go acquires ownership of transactions that must not
// run twice, attempt.go sends attempts through the connection writer of conn_writer.go, stream.go streams long
// responses, answer.go writes answers, and drain.go shuts the front end down. pool.go holds one service,
// availability.go the availability for clients, conn_tracker.go the client connections, upstream_conns.go and
// upstream_conn.go the upstream connections, head_scanner.go the scan of request headers, and log.go the periodic
// log lines. The package makes no decisions itself: it asks the packages routes, shares and desk.
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

// FrontEnd is the HTTP front end of a balancer.
type FrontEnd struct {
	log          *slog.Logger
	poolLog      *slog.Logger // base of the pools' loggers
	tracker      *connTracker
	limits       *sharedLimits
	server       *http.Server
	newEngine    desk.EngineFactory
	cores        int
	routing      atomic.Pointer[Routing]
	ownership    atomic.Pointer[OwnershipRegistry] // nil if ownership is not used
	availability Availability
	accepting    atomic.Bool // a listener is being served
	listeners    listeners
	streams      atomic.Int64 // streamed responses that the decision engine does not track any more
}

// Routing assigns requests to pools. It is replaced as a whole.
type Routing struct {
	SinglePool *Pool // receives all requests, if set
	Table      *routes.Table
	Pools      map[string]*Pool
}

// hasList reports whether any pool has a list of upstreams.
func (routing *Routing) hasList() bool {
	hasList := routing.SinglePool != nil && routing.SinglePool.hasList.Load()
	for _, pool := range routing.Pools {
		hasList = hasList || pool.hasList.Load()
	}
	return hasList
}

// New creates a front end, which rejects all requests until SetRouting is called. newEngine creates the
// decision engine of each pool.
func New(log *slog.Logger, newEngine desk.EngineFactory) *FrontEnd {
	front := &FrontEnd{newEngine: newEngine, cores: 1, log: logs.WithoutPool(log), poolLog: log, tracker: newConnTracker(),
		limits: newSharedLimits()}
	front.routing.Store(&Routing{})
	front.server = &http.Server{
		Handler: front, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: front.tracker.stateChanged, ConnContext: withClient,
		DisableGeneralOptionsHandler: true, // OPTIONS * is not answered by net/http
		ErrorLog:                     logs.NewLineLogger(logs.WithoutPool(log), "http"),
	}
	return front
}

// SetLimits sets how many descriptors the front end may hold, and on how many cores new pools run. It must be
// called before any pool is created.
func (front *FrontEnd) SetLimits(descriptors, cores int) {
	front.tracker.limit.Store(int64(descriptors))
	front.cores = max(cores, 1)
}

// SetUnlimited lets the only pool use all shared resources; bodies is the memory for bodies in bytes.
func (front *FrontEnd) SetUnlimited(bodies int64) { front.limits.setUnlimited(bodies) }

// SetShares sets the shares of all pools in the shared resources. bodies is the memory for bodies in bytes,
// reclaimTime the time within which a pool gets its guaranteed part back, and refusals how many refusals a second
// all pools together may write before connections are delayed.
func (front *FrontEnd) SetShares(bodies int64, reclaimTime time.Duration, refusals float64, pools map[*Pool]Share) {
	limits := map[*poolLimits]Share{}
	for pool, share := range pools {
		limits[pool.limits] = share
	}
	front.limits.distribute(front.tracker.limit.Load(), bodies, reclaimTime, refusals, limits)
}

// SetRouting replaces the routing. A transaction stays with the pool that accepted it.
func (front *FrontEnd) SetRouting(routing *Routing) { front.routing.Store(routing) }

// ServeHTTP runs one transaction.
func (front *FrontEnd) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var sh *shard
	var handle *desk.Handle
	client := clientConn(req.Context())
	writer := newConnWriter(client)
	defer func() {
		fault := recover()
		if fault == http.ErrAbortHandler { // net/http aborts the connection on this panic
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
	// A body that arrives slowly holds a connection even if it belongs to no transaction.
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
	front.tracker.markBusy(client, sh.limits)
	held := &reservation{limits: sh.limits, timeout: txn.timeout}
	defer held.release()
	if ok, delay := sh.limits.admit(txn.timeout); !ok {
		front.deferEarly(w, sh, txn)
		// Refusing a flood as fast as it arrives would use up the core. The client has its answer already, and the
		// connection is delayed before its next request is read.
		time.Sleep(delay)
		return
	}
	held.admitted = true
	front.tracker.setAwaitingBody(client, true)
	reqErr = txn.readBody(w, req, held, func() bool { return front.tracker.evictBody(client) })
	front.tracker.setAwaitingBody(client, txn.upload != nil)
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
	for withdrawn := true; withdrawn; { // repeated only if ownership was refused
		if !guard.admit(req.Context(), front, w, txn) {
			writer.close()
			return
		}
		handle = sh.desk.Arrive(guard.arrival(txn))
		withdrawn = front.runTransaction(w, req, sh, txn, handle, writer, held, guard)
	}
}

// runTransaction runs a transaction from its arrival at the dispatcher to its answer. withdrawn reports that it was
// withdrawn from the dispatcher instead.
func (front *FrontEnd) runTransaction(
	w http.ResponseWriter, req *http.Request, sh *shard, txn *transaction, handle *desk.Handle, writer *connWriter,
	held *reservation, guard *ownershipGuard,
) (withdrawn bool) {
	client := clientConn(req.Context())
	defer sh.discardAttempts(handle)
	responses := map[int]*upstreamResponse{} // by number of the attempt
	defer func() {
		select {
		case answer := <-handle.Answer: // of a client that did not wait for it
			responses[answer.Attempt].discard()
		default:
		}
	}()
	for {
		select {
		case attempt := <-handle.Attempts:
			responses[attempt.Number] = &upstreamResponse{}
			go sh.runAttempt(handle, attempt, txn, writer, held, responses[attempt.Number], guard)
		case <-guard.withdrawn():
			return true
		case err := <-txn.upload.result():
			if err != nil { // the client stopped sending
				sh.desk.ClientGone(handle)
				writer.close()
				front.reject(w, badRequest("the body is cut, late or malformed"))
				return false
			}
			front.tracker.setAwaitingBody(client, false)
			sh.desk.BodyReceived(handle, txn.timeout)
		case answer := <-handle.Answer:
			writer.close()
			if client != nil && client.listener.closing.Load() || !txn.upload.done() {
				w.Header()["Connection"] = []string{"close"}
			}
			front.writeAnswer(w, answer, responses, req.Method)
			return false
		case <-req.Context().Done():
			sh.desk.ClientGone(handle)
			writer.close()
			// A handler that returns without writing answers 200, which a client that only closed its sending side
			// would take for success.
			front.writeText(w, http.StatusBadGateway, "gone")
			return false
		}
	}
}

// deferEarly defers a transaction before it reaches the decision engine.
func (front *FrontEnd) deferEarly(w http.ResponseWriter, sh *shard, txn *transaction) {
	sh.desk.CountDeferred(txn.arrival())
	w.Header()["Connection"] = []string{"close"} // the body may still be arriving
	front.writeDeferral(w, time.Duration(txn.settings.Engine.Backoff(txn.settings.Engine.Tariffs[txn.tariff])))
}

// findPool finds the pool of a request and counts the request in it. It also returns the tariff if the route sets
// one. A request without a route belongs to no transaction.
func (front *FrontEnd) findPool(req *http.Request, client *trackedConn) (pool *Pool, tariff string, reqErr *requestError) {
	// net/http drops a Content-Length beside a transfer coding, so two sides could disagree on where the body ends
	// and a request could be smuggled in it. For HTTP/1.0 it silently drops the transfer coding.
	if len(req.TransferEncoding) > 0 && (client == nil || !client.head.withoutLength()) {
		return nil, "", &requestError{http.StatusLengthRequired,
			"a body comes with its length or a transfer coding, not with both"}
	}
	if !req.ProtoAtLeast(1, 1) {
		return nil, "", badRequest("not HTTP/1.1")
	}
	// The target of CONNECT is no path, and upstreams differ in how they treat "CONNECT /".
	if req.Method == http.MethodConnect {
		return nil, "", &requestError{http.StatusNotImplemented, "a balancer is no tunnel"}
	}
	query := routes.Request{Method: req.Method}
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
		} // the pool was retired after the routing was read, and a new routing is or will soon be set
		if front.routing.Load() == routing {
			return nil, "", &requestError{http.StatusNotFound, "no route takes this host and path"}
		}
	}
}

// routeQuery returns the query of a request for the route table. The request is forwarded with the path that was
// routed, because an upstream that normalises the path differently would bypass the restrictions of a route.
func routeQuery(req *http.Request, client *trackedConn) (query routes.Request, reqErr *requestError) {
	var ok bool
	query.Method, query.Header = req.Method, func(name string) (string, bool) {
		if v := req.Header[name]; len(v) == 1 {
			return v[0], true
		}
		return "", false // with two values, one side may read the first and the other the last
	}
	if client != nil {
		query.Listener = client.listener.name()
	}
	if query.Host, ok = routes.NormalizeHost(req.Host); !ok {
		return query, badRequest("the host makes no sense")
	}
	sent := req.URL.EscapedPath()
	if query.Path, ok = routes.NormalizePath(sent); !ok {
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

// reject answers an invalid request.
func (front *FrontEnd) reject(w http.ResponseWriter, reqErr *requestError) {
	w.Header()["Connection"] = []string{"close"} // an unread body may still be arriving
	front.writeText(w, reqErr.status, reqErr.text)
}

// health answers 200 if there is a list of upstreams, for any pool or for the one named by ?pool=, and clients are
// accepted.
func (front *FrontEnd) health(w http.ResponseWriter, req *http.Request) {
	routing := front.routing.Load()
	hasList := routing.hasList()
	if name := req.URL.Query().Get("pool"); routing.SinglePool == nil && name != "" {
		pool := routing.Pools[name]
		hasList = pool != nil && pool.hasList.Load()
	}
	if accepts := front.availability.acceptsClients(); !hasList || !accepts {
		if !accepts { // a kept connection would hold open a balancer that should have none
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
