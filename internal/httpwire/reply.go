package httpwire

import (
	"maps"
	"net/http"
	"strconv"
	"time"

	"ottershift/internal/desk"
)

// upstreamResponse is what an upstream settled or rejected a push with.
type upstreamResponse struct {
	status int
	header http.Header
	length []string // as its Content-Length said, which counts where there is no body
	body   []byte
	stream *stream // what comes instead of body, if it is too long to be held
}

// discard says that nobody writes it.
func (resp *upstreamResponse) discard() {
	if resp != nil && resp.stream != nil {
		resp.stream.close(false)
	}
}

// writeAnswer gives a client its final answer. 503 tells it that trying again is harmless: nothing but the module's
// deferral may be written so, nor 429.
func (front *FrontEnd) writeAnswer(w http.ResponseWriter, answer desk.Answer, replies map[int]*upstreamResponse, method string) {
	switch answer.Ending {
	case desk.Settled, desk.Rejected:
		resp := replies[answer.Attempt]
		defer resp.discard()
		maps.Copy(w.Header(), resp.header)
		w.Header()["Content-Type"] = resp.header["Content-Type"] // and none is guessed
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

// writeDeferral tells a client that trying again is harmless, and when.
func (front *FrontEnd) writeDeferral(w http.ResponseWriter, backoff time.Duration) {
	if backoff > 0 {
		w.Header()["Retry-After"] = []string{strconv.FormatFloat(backoff.Seconds(), 'f', 3, 64)}
	}
	front.writeText(w, http.StatusServiceUnavailable, "deferred")
}

// writeText writes an answer of our own.
func (front *FrontEnd) writeText(w http.ResponseWriter, status int, text string) {
	w.Header()["Content-Type"] = []string{"text/plain; charset=utf-8"}
	front.writeBody(w, status, []byte(text+"\n"))
}

// writeBody writes an answer whole and at once.
func (front *FrontEnd) writeBody(w http.ResponseWriter, status int, body []byte) {
	w.Header()["Content-Length"] = []string{strconv.Itoa(len(body))}
	front.writeResponse(w, status, body)
}

// writeResponse lets an answer out.
func (front *FrontEnd) writeResponse(w http.ResponseWriter, status int, body []byte) {
	front.closeIfLeaving(w)
	// Danger: a client that doesn't read would hold its connection for good.
	control := http.NewResponseController(w)
	control.SetWriteDeadline(time.Now().Add(stallTimeout))
	w.WriteHeader(status)
	w.Write(body)
	control.Flush()
	control.SetWriteDeadline(time.Time{}) // the connection's next answer may be long in coming
}

// closeIfLeaving ends the connection with its answer, if clients are to go.
func (front *FrontEnd) closeIfLeaving(w http.ResponseWriter) {
	if front.availability.closesConnections(time.Now()) {
		w.Header()["Connection"] = []string{"close"}
	}
}
