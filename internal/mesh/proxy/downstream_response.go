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

// downstreamResponse is an upstream's response to be passed on, either buffered or streamed.
type downstreamResponse struct {
	status        int
	header        http.Header
	body          []byte
	remaining     io.Reader // the part after body, nil if there is none
	length        int64     // of the whole body, -1 if unknown
	written       chan bool // receives whether a streamed response was written completely
	earlyResponse bool      // it arrived before the request was sent completely: the caller's connection can't be reused

	pacer   *linePacer // of the line over which it is sent, nil for none
	rank    priority.Rank
	context context.Context
}

// detectLength reads ahead to determine whether a response of unknown length is a short one. A short response that was
// taken for a long one would wait its turn behind all long ones until its caller's deadline.
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

// writeResponse passes an upstream's response on. A truncated response must not look complete, so its connection is
// aborted.
func (p *Proxy) writeResponse(w http.ResponseWriter, response *downstreamResponse) {
	headers := w.Header()
	for name, values := range response.header {
		headers[name] = values
	}
	if response.length >= 0 {
		headers["Content-Length"] = []string{strconv.FormatInt(response.length, 10)}
	}
	for _, name := range serverAddedHeaders { // a nil value keeps the server from adding the header
		if headers[name] == nil {
			headers[name] = nil
		}
	}
	if response.earlyResponse {
		headers["Connection"] = []string{"close"}
	}
	w.WriteHeader(response.status)
	_, err := w.Write(response.body)
	if response.remaining == nil {
		p.abortUnless(err == nil, counterReaderGone)
		return
	}
	source := &sourceReader{Reader: response.remaining}
	response.remaining = source
	if err == nil {
		err = response.stream(w)
	}
	response.written <- err == nil
	if source.failed {
		p.log.Debug("response truncated", "why", "upstream ended it early", "err", err)
		p.abortUnless(err == nil, counterSourceBroke)
	}
	p.abortUnless(err == nil, counterReaderGone)
}

// abortUnless aborts the connection of a response that was not passed on completely, and counts the reason.
func (p *Proxy) abortUnless(complete bool, counter string) {
	if !complete {
		p.counters.Increment(counter)
		panic(http.ErrAbortHandler)
	}
}

// sourceReader records whether reading a response has failed.
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

// serverAddedHeaders are the headers that net/http adds to a response unless they are present.
var serverAddedHeaders = []string{"Date", "Content-Type"}

// bufferPool holds buffers of bufferSize bytes.
var bufferPool = sync.Pool{New: func() any { b := make([]byte, bufferSize); return &b }}

// stream writes the streamed part of a response, paced if it is long and leaves the machine.
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
