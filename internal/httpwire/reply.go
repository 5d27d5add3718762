package httpwire

import (
	"maps"
	"net/http"
	"strconv"
	"time"

	"ottershift/internal/desk"
)

// reply is what an upstream settled or rejected a push with.
type reply struct {
	status int
	header http.Header
	length []string // as its Content-Length said, which counts where there is no body
	body   []byte
	flow   *flow // what comes instead of body, if it is too long to be held
}

// drop says that nobody writes it.
func (r *reply) drop() {
	if r != nil && r.flow != nil {
		r.flow.leave(false)
	}
}

// write gives a client its final answer. 503 tells it that trying again is harmless: nothing but the module's
// deferral may be written so, nor 429.
func (f *Front) write(w http.ResponseWriter, a desk.Answer, replies map[int]*reply, method string) {
	switch a.Ending {
	case desk.Settled, desk.Rejected:
		from := replies[a.Attempt]
		defer from.drop()
		maps.Copy(w.Header(), from.header)
		w.Header()["Content-Type"] = from.header["Content-Type"] // and none is guessed
		if method == http.MethodHead || from.status == http.StatusNoContent || from.status == http.StatusNotModified {
			w.Header()["Content-Length"] = from.length
			f.out(w, from.status, nil)
			return
		}
		if from.flow != nil {
			f.pour(w, from)
			return
		}
		f.send(w, from.status, from.body)
	case desk.Deferred:
		f.defers(w, a.Backoff)
	default:
		f.say(w, http.StatusBadGateway, "forfeited")
	}
}

// defers tells a client that trying again is harmless, and when.
func (f *Front) defers(w http.ResponseWriter, backoff time.Duration) {
	if backoff > 0 {
		w.Header()["Retry-After"] = []string{strconv.FormatFloat(backoff.Seconds(), 'f', 3, 64)}
	}
	f.say(w, http.StatusServiceUnavailable, "deferred")
}

// say writes an answer of our own.
func (f *Front) say(w http.ResponseWriter, status int, text string) {
	w.Header()["Content-Type"] = []string{"text/plain; charset=utf-8"}
	f.send(w, status, []byte(text+"\n"))
}

// send writes an answer whole and at once.
func (f *Front) send(w http.ResponseWriter, status int, body []byte) {
	w.Header()["Content-Length"] = []string{strconv.Itoa(len(body))}
	f.out(w, status, body)
}

// out lets an answer out.
func (f *Front) out(w http.ResponseWriter, status int, body []byte) {
	f.part(w)
	// Danger: a client that doesn't read would hold its connection for good.
	out := http.NewResponseController(w)
	out.SetWriteDeadline(time.Now().Add(mostStill))
	w.WriteHeader(status)
	w.Write(body)
	out.Flush()
	out.SetWriteDeadline(time.Time{}) // the connection's next answer may be long in coming
}

// part ends the connection with its answer, if clients are to go.
func (f *Front) part(w http.ResponseWriter) {
	if f.presence.parts(time.Now()) {
		w.Header()["Connection"] = []string{"close"}
	}
}
