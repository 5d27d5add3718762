// Package httpwire serves transactions over HTTP/1.1: net/http's server towards clients, http.Transport towards
// upstreams. Its files follow a transaction: request.go reads it, serve.go lives its life, push.go carries one
// push, gate.go lets it out, reply.go writes the answer, drain.go ends the process; sockets.go keeps count of
// connections, tally.go logs. It decides nothing: the desk is asked at each point of choice.
package httpwire

import (
	"log"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"ottershift/internal/desk"
	"ottershift/internal/terms"
)

// Front is the door for transactions.
type Front struct {
	desk      *desk.Desk
	book      *terms.Book
	sockets   *sockets
	ids       ids
	transport *http.Transport
	server    *http.Server
	stands    atomic.Bool // the list does
	closing   atomic.Bool // no new clients are wanted
	last      atomic.Bool // connections end with their answers
}

// New makes a front that holds no more than limit descriptors.
func New(d *desk.Desk, book *terms.Book, limit int) *Front {
	f := &Front{desk: d, book: book, sockets: newSockets(limit), ids: ids{open: map[string]struct{}{}}}
	f.transport = f.sockets.transport(book)
	f.server = &http.Server{
		Handler: f, ReadHeaderTimeout: headLimit, IdleTimeout: idleLimit, MaxHeaderBytes: mostHeader,
		ConnState: f.sockets.state, ConnContext: withClient,
		ErrorLog: log.New(log.Writer(), "event=http fault=", log.Flags()|log.Lmsgprefix),
	}
	return f
}

// Listed says that there is a list to work with, and which hosts have left by it.
func (f *Front) Listed(left []string) {
	f.stands.Store(true)
	f.sockets.leave(left)
}

// ServeHTTP is the life of one transaction.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var c *desk.Case
	client := clientOf(r.Context())
	out := gateOf(client)
	defer func() {
		if what := recover(); what != nil {
			log.Printf("event=panic where=serve fault=%q stack=%q", what, debug.Stack())
			if c != nil {
				f.desk.Vanish(c)
				out.close()
				f.strike(c)
			}
			f.say(w, http.StatusInternalServerError, "internal error")
		}
	}()
	// Danger: a body that trickles in holds a connection, also where it belongs to no transaction.
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyLimit))
	if r.URL.Path == "/_health" {
		f.health(w)
		return
	}

	q, no := read(w, r, f.book)
	if no == nil && !f.ids.claim(q.id) {
		no = bad("X-Txn is that of an open transaction")
	}
	if no != nil {
		w.Header()["Connection"] = []string{"close"} // Danger: a body may be on its way that nobody waits for
		f.say(w, no.status, no.text)
		return
	}
	defer f.ids.free(q.id)
	f.sockets.busy(client)
	c = f.desk.Arrive(q.tariff, q.customer, q.left, q.again)
	defer f.strike(c)
	replies := map[int]*reply{} // by push
	for {
		select {
		case p := <-c.Pushes:
			replies[p.Number] = &reply{}
			go f.push(c, p, q, out, replies[p.Number])
		case a := <-c.Answer:
			out.close()
			f.write(w, a, replies)
			return
		case <-r.Context().Done():
			f.desk.Vanish(c)
			out.close()
			// Danger: a handler that ends without a word answers 200, and a client that has only stopped sending
			// would take that for settled.
			f.say(w, http.StatusBadGateway, "gone")
			return
		}
	}
}

func (f *Front) health(w http.ResponseWriter) {
	if !f.stands.Load() || f.closing.Load() {
		f.say(w, http.StatusServiceUnavailable, "no list of upstreams, or closing")
		return
	}
	w.WriteHeader(http.StatusOK)
}
