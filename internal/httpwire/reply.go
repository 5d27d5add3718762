package httpwire

import (
	"io"
	"net/http"
	"strconv"

	"ottershift/internal/desk"
)

// reply is what an upstream settled a push with.
type reply struct {
	header http.Header
	body   []byte
}

// write gives a client its final answer. 503 tells it that trying again is harmless: nothing but the module's
// deferral may be written so.
func write(w http.ResponseWriter, a desk.Answer, replies []*reply) {
	switch a.Ending {
	case desk.Settled:
		from := replies[a.Push]
		h := w.Header()
		for name, values := range from.header {
			h[name] = values
		}
		if h["Content-Type"] == nil {
			h["Content-Type"] = nil // not guessed
		}
		h["Content-Length"] = []string{strconv.Itoa(len(from.body))}
		w.WriteHeader(http.StatusOK)
		w.Write(from.body)
	case desk.Deferred:
		if a.Backoff > 0 {
			w.Header()["Retry-After"] = []string{strconv.FormatFloat(a.Backoff.Seconds(), 'f', 3, 64)}
		}
		refuse(w, http.StatusServiceUnavailable, "deferred")
	default:
		refuse(w, http.StatusBadGateway, "forfeited")
	}
}

// refuse writes an answer of our own.
func refuse(w http.ResponseWriter, status int, text string) {
	h := w.Header()
	h["Content-Type"] = []string{"text/plain; charset=utf-8"}
	h["Content-Length"] = []string{strconv.Itoa(len(text) + 1)}
	w.WriteHeader(status)
	io.WriteString(w, text+"\n")
}
