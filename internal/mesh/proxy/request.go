package proxy

import (
	"io"
	"net/http"
	"sync"
	"time"

	"ottershift/internal/mesh/burstcredit"
	"ottershift/internal/mesh/priority"
	"ottershift/logic"
)

// request is one try of a client on its way.
type request struct {
	pool   *pool
	method string
	target string // as it came
	host   string
	id     string
	header http.Header
	body   []byte
	rest   io.Reader // behind body, nil if that is all
	length int64
	aim    time.Duration // within which its answer is of full worth
	rank   priority.Rank
	long   bool // its answer is
	stop   time.Time
	claim  *burstcredit.Claim // that it has drawn burst credit for, nil for none

	mu        sync.Mutex
	delivered bool // its client has all of an answer that is of use
	closed    bool // it has its answer: nothing more goes out
	tries     int  // upstreams that it may be sent to
	sent      int  // pushes that have reached one, or may have
	ran       int  // and of them, those that may have run
	out       int  // and of them, those without an outcome
	failed    *reply
	replies   map[int]*reply // by push
}

// begin lets a push out, unless its request has been answered or has been sent to as many upstreams as it may be; what was
// turned away before it came to one doesn't count. One beyond the first has to be paid for. Invariant: without a look at the
// answer a push ordered before one that promises that nothing runs would go out after it.
func (q *request) begin(paid func() bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || q.sent >= q.tries || q.sent > 0 && !paid() {
		return false
	}
	q.sent++
	q.ran++
	q.out++
	return true
}

// ended takes a push's outcome; early says that it never came to an upstream.
func (q *request) ended(r logic.Result, early bool, failed *reply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.out--
	if early {
		q.sent--
	}
	if r.NeverRan() {
		q.ran--
	}
	if failed != nil {
		q.failed = failed
	}
}

// close lets nothing more out, and tells what may have run.
func (q *request) close() (ran, out int, failed *reply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	return q.ran, q.out, q.failed
}

func (q *request) keep(n int, r *reply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.replies[n] = r
}

func (q *request) drop(n int) {
	q.mu.Lock()
	r := q.replies[n]
	q.mu.Unlock()
	if r != nil && r.flow != nil {
		r.ended <- false
	}
}
