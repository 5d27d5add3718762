package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"

	"ottershift/internal/mesh/priority"
)

// downstreamResponse is an answer of an upstream, held whole or flowing.
type downstreamResponse struct {
	status        int
	header        http.Header
	body          []byte
	remaining     io.Reader // the rest of it
	length        int64     // of all, -1 if nobody has said
	written       chan bool // says whether all of a flow was written
	earlyResponse bool      // it came before the request had gone out whole: its caller may send nothing else behind that

	pacer   *linePacer // of the line that it flows over, nil for none
	rank    priority.Rank
	context context.Context
}

// detectLength reads as much of an answer of no stated length as tells whether it is a long one. Invariant: taken for long, a small
// one waits for its turn behind all long ones, while whoever called for it runs out of time.
func (r *downstreamResponse) detectLength() error {
	if r.length >= 0 || r.pacer == nil || r.pacer.rate == 0 {
		return nil
	}
	first, err := io.ReadAll(io.LimitReader(r.remaining, maxShortResponse+1))
	if err != nil {
		return err
	}
	if len(first) <= maxShortResponse {
		r.length = int64(len(first))
	}
	r.remaining = io.MultiReader(bytes.NewReader(first), r.remaining)
	return nil
}

// writeResponse passes an upstream's answer on. Invariant: one that breaks off must not look whole.
func (p *Proxy) writeResponse(w http.ResponseWriter, r *downstreamResponse) {
	headers := w.Header()
	for name, values := range r.header {
		headers[name] = values
	}
	if r.length >= 0 {
		headers["Content-Length"] = []string{strconv.FormatInt(r.length, 10)}
	}
	for _, name := range serverAddedHeaders { // unless it is set to nothing
		if headers[name] == nil {
			headers[name] = nil
		}
	}
	if r.earlyResponse {
		headers["Connection"] = []string{"close"}
	}
	w.WriteHeader(r.status)
	_, err := w.Write(r.body)
	if r.remaining == nil {
		p.abortUnless(err == nil, counterReaderGone)
		return
	}
	source := &sourceReader{Reader: r.remaining}
	r.remaining = source
	if err == nil {
		err = r.stream(w)
	}
	r.written <- err == nil
	if source.failed {
		p.log.Debug("answer cut", "why", "its source broke off", "err", err)
		p.abortUnless(err == nil, counterSourceBroke)
	}
	p.abortUnless(err == nil, counterReaderGone)
}

// abortUnless ends the connection of an answer that could not be passed on whole, and counts why.
func (p *Proxy) abortUnless(complete bool, counter string) {
	if !complete {
		p.counters.Add(counter)
		panic(http.ErrAbortHandler)
	}
}

// sourceReader notes whether what an answer is read from has broken off.
type sourceReader struct {
	io.Reader
	failed bool
}

// Read implements io.Reader.
func (s *sourceReader) Read(b []byte) (int, error) {
	n, err := s.Reader.Read(b)
	s.failed = err != nil && err != io.EOF
	return n, err
}

var serverAddedHeaders = []string{"Date", "Content-Type"}

var bufferPool = sync.Pool{New: func() any { b := make([]byte, bufferSize); return &b }}

// stream writes what flows, at the line's pace where it leaves the machine.
func (r *downstreamResponse) stream(w io.Writer) error {
	if r.pacer != nil && r.pacer.rate > 0 && (r.length < 0 || r.length > maxShortResponse) {
		return r.pacer.stream(r.context, w, r.remaining, max(r.length, maxShortResponse), r.rank)
	}
	if r.pacer != nil {
		r.pacer.countShort(int(max(r.length, 0)))
	}
	buffer := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(buffer)
	_, err := io.CopyBuffer(struct{ io.Writer }{w}, struct{ io.Reader }{r.remaining}, *buffer)
	return err
}
