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

// reply is an answer of an upstream, held whole or flowing.
type reply struct {
	status int
	header http.Header
	body   []byte
	flow   io.Reader // the rest of it
	length int64     // of all, -1 if nobody has said
	ended  chan bool // says whether all of a flow was written
	early  bool      // it came before the request had gone out whole: its caller may send nothing else behind that

	pace    *pacer // of the line that it flows over, nil for none
	rank    priority.Rank
	context context.Context
}

// measure reads as much of an answer of no stated length as tells whether it is a long one. Invariant: taken for long, a small
// one waits for its turn behind all long ones, while whoever called for it runs out of time.
func (r *reply) measure() error {
	if r.length >= 0 || r.pace == nil || r.pace.rate == 0 {
		return nil
	}
	first, err := io.ReadAll(io.LimitReader(r.flow, longFrom+1))
	if err != nil {
		return err
	}
	if len(first) <= longFrom {
		r.length = int64(len(first))
	}
	r.flow = io.MultiReader(bytes.NewReader(first), r.flow)
	return nil
}

// write passes an upstream's answer on. Invariant: one that breaks off must not look whole.
func (p *Proxy) write(w http.ResponseWriter, r *reply) {
	h := w.Header()
	for name, values := range r.header {
		h[name] = values
	}
	if r.length >= 0 {
		h["Content-Length"] = []string{strconv.FormatInt(r.length, 10)}
	}
	for _, name := range addedByServer { // unless it is set to nothing
		if h[name] == nil {
			h[name] = nil
		}
	}
	if r.early {
		h["Connection"] = []string{"close"}
	}
	w.WriteHeader(r.status)
	_, err := w.Write(r.body)
	if r.flow == nil {
		p.cutUnless(err == nil, countReaderGone)
		return
	}
	source := &sourceReader{Reader: r.flow}
	r.flow = source
	if err == nil {
		err = r.stream(w)
	}
	r.ended <- err == nil
	if source.broke {
		p.log.Debug("answer cut", "why", "its source broke off", "err", err)
		p.cutUnless(err == nil, countSourceBroke)
	}
	p.cutUnless(err == nil, countReaderGone)
}

// cutUnless ends the connection of an answer that could not be passed on whole, and counts why.
func (p *Proxy) cutUnless(whole bool, counter string) {
	if !whole {
		p.counts.Add(counter)
		panic(http.ErrAbortHandler)
	}
}

// sourceReader notes whether what an answer is read from has broken off.
type sourceReader struct {
	io.Reader
	broke bool
}

// Read implements io.Reader.
func (s *sourceReader) Read(b []byte) (int, error) {
	n, err := s.Reader.Read(b)
	s.broke = err != nil && err != io.EOF
	return n, err
}

var addedByServer = []string{"Date", "Content-Type"}

var pieces = sync.Pool{New: func() any { b := make([]byte, piece); return &b }}

// stream writes what flows, at the line's pace where it leaves the machine.
func (r *reply) stream(w io.Writer) error {
	if r.pace != nil && r.pace.rate > 0 && (r.length < 0 || r.length > longFrom) {
		return r.pace.stream(r.context, w, r.flow, max(r.length, longFrom), r.rank)
	}
	if r.pace != nil {
		r.pace.small(int(max(r.length, 0)))
	}
	b := pieces.Get().(*[]byte)
	defer pieces.Put(b)
	_, err := io.CopyBuffer(struct{ io.Writer }{w}, struct{ io.Reader }{r.flow}, *b)
	return err
}
