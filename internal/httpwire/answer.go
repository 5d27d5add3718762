package httpwire

import (
	"maps"
	"net/http"
	"strconv"
	"time"

	"ottershift/internal/desk"
)

// upstreamResponse is the response of an upstream that settled or rejected a transaction.
type upstreamResponse struct {
	status int
	header http.Header
	length []string // value of Content-Length, which is used for responses without a body
	body   []byte
	stream *stream // replaces body if the response is streamed
}

// discard records that the response will not be written to a client.
func (resp *upstreamResponse) discard() {
	if resp != nil && resp.stream != nil {
		resp.stream.close(false)
	}
}

// writeAnswer writes the final answer of a transaction. 503 and 429 tell the client that a retry is safe, so only
// a deferral by the decision engine is written as 503, and nothing as 429.
func (front *FrontEnd) writeAnswer(
	w http.ResponseWriter, answer desk.Answer, responses map[int]*upstreamResponse, method string,
) {
	switch answer.Ending {
	case desk.Settled, desk.Rejected:
		resp := responses[answer.Attempt]
		defer resp.discard()
		maps.Copy(w.Header(), resp.header)
		w.Header()["Content-Type"] = resp.header["Content-Type"] // without one, net/http must not guess it
		if method == http.MethodHead || resp.status == http.StatusNoContent || resp.status == http.StatusNotModified {
			w.Header()["Content-Length"] = resp.length
			front.writeResponse(w, resp.status, nil)
			return
		}
		if resp.stream != nil {
			front.writeStream(w, resp)
			return
		}
		front.writeBody(w, resp.status, resp.body)
	case desk.Deferred:
		front.writeDeferral(w, answer.Backoff)
	default:
		front.writeText(w, http.StatusBadGateway, "forfeited")
	}
}

// writeDeferral tells a client that a retry is safe, and after which delay.
func (front *FrontEnd) writeDeferral(w http.ResponseWriter, backoff time.Duration) {
	if backoff > 0 {
		w.Header()["Retry-After"] = []string{strconv.FormatFloat(backoff.Seconds(), 'f', 3, 64)}
	}
	front.writeText(w, http.StatusServiceUnavailable, "deferred")
}

// writeText writes an answer of the balancer itself.
func (front *FrontEnd) writeText(w http.ResponseWriter, status int, text string) {
	w.Header()["Content-Type"] = []string{"text/plain; charset=utf-8"}
	front.writeBody(w, status, []byte(text+"\n"))
}

// writeBody writes a complete answer with its length.
func (front *FrontEnd) writeBody(w http.ResponseWriter, status int, body []byte) {
	w.Header()["Content-Length"] = []string{strconv.Itoa(len(body))}
	front.writeResponse(w, status, body)
}

// writeResponse writes and flushes an answer.
func (front *FrontEnd) writeResponse(w http.ResponseWriter, status int, body []byte) {
	front.closeIfLeaving(w)
	// Without a deadline, a client that does not read would hold its connection forever.
	control := http.NewResponseController(w)
	control.SetWriteDeadline(time.Now().Add(stallTimeout))
	w.WriteHeader(status)
	w.Write(body)
	control.Flush()
	control.SetWriteDeadline(time.Time{}) // the next answer on the connection may take long
}

// closeIfLeaving closes the connection after its answer if clients are to use other balancers.
func (front *FrontEnd) closeIfLeaving(w http.ResponseWriter) {
	if front.availability.closesConnections(time.Now()) {
		w.Header()["Connection"] = []string{"close"}
	}
}
