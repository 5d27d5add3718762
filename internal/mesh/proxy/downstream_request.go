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

// downstreamRequest is a request of a client, together with the state of its attempts.
type downstreamRequest struct {
	servicePool    *servicePool
	method         string
	target         string // as received
	host           string
	requestID      string
	header         http.Header
	body           []byte
	bodyRest       io.Reader // the part after body, nil if there is none
	length         int64
	latencyTarget  time.Duration // after which the response loses value
	rank           priority.Rank
	longResponse   bool // its route has long responses
	clientDeadline time.Time
	creditClaim    *burstcredit.Claim // burst credit that it uses, nil for none

	mu             sync.Mutex
	delivered      bool // the client has received a complete successful response
	stopped        bool // no further attempts are sent
	maxAttempts    int  // upstreams that it may be sent to
	sent           int  // attempts that have reached an upstream, or may have
	mayHaveRun     int  // of these, attempts that may have run
	inFlight       int  // attempts without an outcome
	failedResponse *downstreamResponse
	responses      map[int]*downstreamResponse // by attempt number
}

// beginAttempt reports whether an attempt may be sent. It may not after the request was answered, or after it was sent
// to the maximum number of upstreams; attempts that were refused before they reached an upstream do not count. Each
// attempt after the first takes a retry from the budget. Without the check for a response, an attempt that was ordered
// earlier would be sent after a response that states that nothing runs.
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

// endAttempt records the outcome of an attempt; notReceived means that it did not reach an upstream.
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

// close stops further attempts and returns what may have run.
func (r *downstreamRequest) close() (mayHaveRun, inFlight int, failedResponse *downstreamResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	return r.mayHaveRun, r.inFlight, r.failedResponse
}

// storeResponse stores the response of an attempt.
func (r *downstreamRequest) storeResponse(number int, response *downstreamResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.responses[number] = response
}

// discardResponse ends the streaming of a response that has no reader.
func (r *downstreamRequest) discardResponse(number int) {
	r.mu.Lock()
	response := r.responses[number]
	r.mu.Unlock()
	if response != nil && response.remaining != nil {
		response.written <- false
	}
}
