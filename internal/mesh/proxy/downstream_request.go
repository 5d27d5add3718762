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

// downstreamRequest is one try of a client on its way.
type downstreamRequest struct {
	servicePool    *servicePool
	method         string
	target         string // as it came
	host           string
	requestID      string
	header         http.Header
	body           []byte
	bodyRest       io.Reader // behind body, nil if that is all
	length         int64
	latencyTarget  time.Duration // within which its answer is of full worth
	rank           priority.Rank
	longResponse   bool // its answer is
	clientDeadline time.Time
	creditClaim    *burstcredit.Claim // that it has drawn burst credit for, nil for none

	mu             sync.Mutex
	delivered      bool // its client has all of an answer that is of use
	stopped        bool // it has its answer: nothing more goes out
	maxAttempts    int  // upstreams that it may be sent to
	sent           int  // pushes that have reached one, or may have
	mayHaveRun     int  // and of them, those that may have run
	inFlight       int  // and of them, those without an outcome
	failedResponse *downstreamResponse
	responses      map[int]*downstreamResponse // by push
}

// beginAttempt lets a push out, unless its request has been answered or has been sent to as many upstreams as it may be; what was
// turned away before it came to one doesn't count. One beyond the first has to be paid for. Invariant: without a look at the
// answer a push ordered before one that promises that nothing runs would go out after it.
func (r *downstreamRequest) beginAttempt(takeRetry func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped || r.sent >= r.maxAttempts || r.sent > 0 && !takeRetry() {
		return false
	}
	r.sent++
	r.mayHaveRun++
	r.inFlight++
	return true
}

// endAttempt takes a push's outcome; early says that it never came to an upstream.
func (r *downstreamRequest) endAttempt(result logic.Result, notReceived bool, failedResponse *downstreamResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	if notReceived {
		r.sent--
	}
	if result.NeverRan() {
		r.mayHaveRun--
	}
	if failedResponse != nil {
		r.failedResponse = failedResponse
	}
}

// close lets nothing more out, and tells what may have run.
func (r *downstreamRequest) close() (mayHaveRun, inFlight int, failedResponse *downstreamResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	return r.mayHaveRun, r.inFlight, r.failedResponse
}

func (r *downstreamRequest) storeResponse(number int, response *downstreamResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.responses[number] = response
}

func (r *downstreamRequest) discardResponse(number int) {
	r.mu.Lock()
	response := r.responses[number]
	r.mu.Unlock()
	if response != nil && response.remaining != nil {
		response.written <- false
	}
}
