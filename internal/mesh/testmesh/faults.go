package testmesh

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is what an upstream does wrong with one request.
type Fault uint8

// The faults. Those of the first group turn the request away or end its connection without running it; all others run it.
const (
	NoFault Fault = iota

	Unavailable              // 503, not delivered
	UnavailableWithoutID     // the same, without the attempt's id
	UnavailableTwice         // the same with the right id, and a second time after Delay
	Misdirected              // another upstream is meant: 421, not delivered
	MisdirectedWithoutID     // the same, without the attempt's id
	BadRequestWithoutID      // 400, not delivered, without the attempt's id
	ResetBeforeRun           // the connection is reset, the request unread
	CloseBeforeRun           // the connection is closed
	NoResponseBeforeRun      // nothing is answered on this connection any more
	EarlyUnavailable         // 503, not delivered, while the body is still being sent; the connection is closed
	EarlyUnavailableKeepOpen // the same, the connection stays and nothing more is read

	NoResponse                // it runs and answers nothing
	DelayedRun                // it stands still for Delay, then runs and answers
	Reset                     // the connection is reset before the answer
	CloseBeforeResponse       // the connection is closed before the answer
	ResetInHeader             // the connection is reset in the answer's head
	CloseInHeader             // the connection is closed there
	ResetInBody               // the connection is reset in the middle of the body
	CloseInBody               // the connection is closed there
	CloseBetweenChunks        // the connection is closed between two chunks
	ResetAfterResponse        // the connection is reset Delay after a whole answer
	CloseAfterResponse        // the connection is closed there, unannounced
	CloseWriteAfterResponse   // the answer's direction is closed there
	DuplicateResponse         // a second answer comes Delay after the first
	LateErrorWithoutID        // an error without an id comes Delay after the answer
	LateUnavailableWithoutID  // a 503, not delivered, without an id comes Delay after the answer
	LateSuccessWithoutID      // a success without an id comes Delay after the answer
	LateOtherID               // an answer to another request comes Delay after the answer
	LateGarbage               // bytes that are no answer come Delay after the answer
	PrecedingOtherID          // an answer to another request comes before its own
	PrecedingErrorWithoutID   // an error without an id comes before its own
	InformationalResponses    // 100 and 103 come before its own
	SwitchingProtocols        // 101 comes in place of its own
	SuccessWithoutID          // a success without the attempt's id
	Error                     // 500
	ErrorWithoutID            // 500 without the attempt's id
	SuccessWithoutStamp       // a success without a postmark
	UnmarkedUnavailable       // 503 that does not say that it is not delivered
	UnmarkedTooManyRequests   // 429 that does not say that it is not delivered
	SuccessMarkedNotExecuted  // a success that says that it is not delivered
	Garbage                   // bytes that are no answer
	OversizedHeader           // a head that does not end
	ConflictingContentLengths // two lengths that differ
	HTTP10WithoutLength       // HTTP/1.0, its end is the connection's
	BareCRInHeader            // a carriage return in a header's value
	ChunkedWithTrailer        // in chunks, with a trailer; nothing is wrong
	NoContentWithBody         // 204 with bytes that look like a body behind it
	ConnectionClose           // a whole answer that ends its connection; nothing is wrong
	EarlyError                // 500 while the body is still being sent; the connection is closed
	EarlySuccess              // a whole success while the body is still being sent, which is read to its end
	faultCount
)

// Injection is a fault that a request is to meet, with the delay that its kind names.
type Injection struct {
	Fault Fault
	Delay time.Duration
}

// Faults are all faults.
func Faults() []Fault {
	all := make([]Fault, faultCount)
	for n := range all {
		all[n] = Fault(n)
	}
	return all
}

// Runs reports whether an upstream with this fault runs the request.
func (f Fault) Runs() bool { return scripts[f].runs }

// early reports whether the answer comes before the body has been read.
func (f Fault) early() bool { return scripts[f].early }

// InjectFaults has the next requests meet faults.
func (u *Upstream) InjectFaults(faults ...Fault) {
	for _, f := range faults {
		u.Inject(Injection{Fault: f})
	}
}

// Inject has the next request that has no fault yet meet one.
func (u *Upstream) Inject(injection Injection) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.injections = append(u.injections, injection)
}

// PendingFaults is how many faults are still to come.
func (u *Upstream) PendingFaults() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.injections)
}

// DropNextFault takes back the next fault.
func (u *Upstream) DropNextFault() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.injections) > 0 {
		u.injections = u.injections[1:]
	}
}

// FaultMetBy is the last fault that an attempt met here.
func (u *Upstream) FaultMetBy(id string) (fault Fault, met bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	fault, met = u.faultsMet[id]
	return fault, met
}

// StrayBody is the body of answers that belong to no request.
const StrayBody = "odd"

// upstreamResponse is an HTTP answer, as an upstream of the users frames it.
type upstreamResponse struct {
	status         int
	id, stampValue string
	notExecuted    bool
	extraHeaders   string // header lines
	body           string
}

func (r upstreamResponse) headerFields() http.Header {
	header := http.Header{}
	if r.id != "" {
		header.Set("X-Attempt-Id", r.id)
	}
	if r.stampValue != "" {
		header.Set("X-Postmark", r.stampValue)
	}
	if r.notExecuted {
		header.Set("X-Not-Delivered", "1")
	}
	header.Set("Content-Length", strconv.Itoa(len(r.body)))
	return header
}

func (r upstreamResponse) writeTo(w http.ResponseWriter) {
	for name, values := range r.headerFields() {
		w.Header()[name] = values
	}
	w.WriteHeader(r.status)
	io.WriteString(w, r.body)
}

func (r upstreamResponse) headerText() string {
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n", r.status, http.StatusText(r.status))
	r.headerFields().Write(&text)
	return text.String() + r.extraHeaders + "\r\n"
}

func (r upstreamResponse) text() string { return r.headerText() + r.body }

// failure is the answer with which an upstream itself fails a request.
func (r upstreamResponse) failure(status int) upstreamResponse {
	return upstreamResponse{status: status, id: r.id, body: "failed"}
}

func (r upstreamResponse) unavailable() upstreamResponse {
	unavailable := r.failure(http.StatusServiceUnavailable)
	unavailable.notExecuted = true
	return unavailable
}

func (r upstreamResponse) misdirected() upstreamResponse {
	misdirected := r.failure(http.StatusMisdirectedRequest)
	misdirected.notExecuted = true
	return misdirected
}

func (r upstreamResponse) withoutID() upstreamResponse {
	r.id = ""
	return r
}

// strayResponse is an answer that belongs to no request.
func strayResponse(status int, id string) upstreamResponse {
	return upstreamResponse{status: status, id: id, body: StrayBody}
}

func strayUnavailable() upstreamResponse {
	unavailable := strayResponse(http.StatusServiceUnavailable, "")
	unavailable.notExecuted = true
	return unavailable
}

func straySuccess(id string) upstreamResponse {
	success := strayResponse(http.StatusOK, id)
	success.stampValue = "stamp-stray"
	return success
}

// rawConnection is a connection without an HTTP server. What comes late is written beside the next answer, never inside it.
type rawConnection struct {
	*net.TCPConn
	reader     *bufio.Reader
	writeMutex sync.Mutex
}

func (c *rawConnection) write(text string) {
	c.writeMutex.Lock()
	defer c.writeMutex.Unlock()
	io.WriteString(c.TCPConn, text)
}

func (c *rawConnection) reset() {
	c.SetLinger(0)
	c.Close()
}

// exchange is one request and its answer over a bare connection.
type exchange struct {
	*rawConnection
	request  *http.Request
	response upstreamResponse // whole and right
	delay    time.Duration
}

func (e *exchange) afterDelay(action func()) { time.AfterFunc(e.delay, action) }

func (e *exchange) discardInput() { io.Copy(io.Discard, e.reader) }

// faultScript is how a fault is played; play reports whether the connection serves on.
type faultScript struct {
	runs    bool
	early   bool
	delayed bool
	respond func(*exchange) (serveOn bool)
}

// writeText plays one piece of text and serves on.
func writeText(build func(response upstreamResponse) string) func(*exchange) bool {
	return func(e *exchange) bool { e.write(build(e.response)); return true }
}

// writeTextThenClose plays one piece of text and closes the connection.
func writeTextThenClose(build func(response upstreamResponse) string) func(*exchange) bool {
	return func(e *exchange) bool { e.write(build(e.response)); return false }
}

// writeTextThenReset plays one piece of text and resets the connection a moment later.
func writeTextThenReset(build func(response upstreamResponse) string) func(*exchange) bool {
	return func(e *exchange) bool {
		e.write(build(e.response))
		time.Sleep(time.Millisecond)
		e.reset()
		return false
	}
}

// respondThen plays the right answer, and something else after the delay.
func respondThen(action func(*exchange)) func(*exchange) bool {
	return func(e *exchange) bool {
		e.write(e.response.text())
		e.afterDelay(func() { action(e) })
		return true
	}
}

// respondThenWriteText plays the right answer, and a piece of text after the delay.
func respondThenWriteText(build func(response upstreamResponse) string) func(*exchange) bool {
	return respondThen(func(e *exchange) { e.write(build(e.response)) })
}

func emptyText(upstreamResponse) string                { return "" }
func unavailableText(response upstreamResponse) string { return response.unavailable().text() }
func halfHeader(response upstreamResponse) string {
	return response.headerText()[:len(response.headerText())/2]
}
func halfBody(response upstreamResponse) string {
	return response.headerText() + response.body[:len(response.body)/2]
}
func invalidHTTP(upstreamResponse) string { return "\x16\x03\x01 no answer\r\n\r\n" }
func discardUntilClosed(e *exchange) bool { e.discardInput(); return false }
func resetConnection(e *exchange) bool    { e.reset(); return false }
func oversizedHeader(response upstreamResponse) string {
	return strings.TrimSuffix(response.headerText(), "\r\n") + strings.Repeat("X-More: "+strings.Repeat("m", 1000)+"\r\n", 300)
}
func conflictingContentLengths(response upstreamResponse) string {
	response.extraHeaders = "Content-Length: 3\r\n"
	return response.text()
}
func bareCRInHeader(response upstreamResponse) string {
	response.extraHeaders = "X-More: a\rX-Attempt-Id: of-another\r\n"
	return response.text()
}
func connectionClose(response upstreamResponse) string {
	response.extraHeaders = "Connection: close\r\n"
	return response.text()
}
func successWithoutStamp(response upstreamResponse) string {
	response.stampValue = ""
	return response.text()
}
func successMarkedNotExecuted(response upstreamResponse) string {
	response.notExecuted = true
	return response.text()
}

func chunkedHeaderAndHalfBody(response upstreamResponse) string {
	header := strings.Replace(response.headerText(), fmt.Sprintf("Content-Length: %d\r\n", len(response.body)), "Transfer-Encoding: chunked\r\nTrailer: X-More\r\n", 1)
	return header + fmt.Sprintf("%x\r\n%s\r\n", len(response.body)/2, response.body[:len(response.body)/2])
}

func chunkedWithTrailer(response upstreamResponse) string {
	rest := response.body[len(response.body)/2:]
	return chunkedHeaderAndHalfBody(response) + fmt.Sprintf("%x\r\n%s\r\n0\r\nX-More: m\r\n\r\n", len(rest), rest)
}

func http10WithoutLength(response upstreamResponse) string {
	header := strings.Replace(response.headerText(), "HTTP/1.1", "HTTP/1.0", 1)
	return strings.Replace(header, fmt.Sprintf("Content-Length: %d\r\n", len(response.body)), "", 1) + response.body
}

func noContentWithBody(response upstreamResponse) string {
	response.status, response.body = http.StatusNoContent, ""
	return response.text() + StrayBody
}

func earlySuccess(e *exchange) bool {
	e.write(e.response.text())
	io.Copy(io.Discard, io.LimitReader(e.reader, e.request.ContentLength))
	return true
}

var scripts = [faultCount]faultScript{
	NoFault: {runs: true, respond: writeText(upstreamResponse.text)},

	Unavailable:          {respond: writeText(unavailableText)},
	UnavailableWithoutID: {respond: writeText(func(own upstreamResponse) string { return own.unavailable().withoutID().text() })},
	UnavailableTwice: {respond: func(x *exchange) bool {
		x.write(unavailableText(x.response))
		x.afterDelay(func() { x.write(unavailableText(x.response)) })
		return true
	}},
	Misdirected:          {respond: writeText(func(own upstreamResponse) string { return own.misdirected().text() })},
	MisdirectedWithoutID: {respond: writeText(func(own upstreamResponse) string { return own.misdirected().withoutID().text() })},
	BadRequestWithoutID: {respond: writeText(func(own upstreamResponse) string {
		bad := own.unavailable().withoutID()
		bad.status = 400
		return bad.text()
	})},
	ResetBeforeRun:      {respond: resetConnection},
	CloseBeforeRun:      {respond: writeTextThenClose(emptyText)},
	NoResponseBeforeRun: {respond: discardUntilClosed},
	EarlyUnavailable:    {early: true, respond: writeTextThenClose(unavailableText)},
	EarlyUnavailableKeepOpen: {early: true, respond: func(x *exchange) bool {
		x.write(unavailableText(x.response))
		time.Sleep(300 * time.Millisecond)
		return false
	}},

	NoResponse:               {runs: true, respond: discardUntilClosed},
	DelayedRun:               {runs: true, delayed: true, respond: writeText(upstreamResponse.text)},
	Reset:                    {runs: true, respond: resetConnection},
	CloseBeforeResponse:      {runs: true, respond: writeTextThenClose(emptyText)},
	ResetInHeader:            {runs: true, respond: writeTextThenReset(halfHeader)},
	CloseInHeader:            {runs: true, respond: writeTextThenClose(halfHeader)},
	ResetInBody:              {runs: true, respond: writeTextThenReset(halfBody)},
	CloseInBody:              {runs: true, respond: writeTextThenClose(halfBody)},
	CloseBetweenChunks:       {runs: true, respond: writeTextThenClose(chunkedHeaderAndHalfBody)},
	ResetAfterResponse:       {runs: true, respond: respondThen(func(x *exchange) { x.reset() })},
	CloseAfterResponse:       {runs: true, respond: respondThen(func(x *exchange) { x.Close() })},
	CloseWriteAfterResponse:  {runs: true, respond: respondThen(func(x *exchange) { x.CloseWrite() })},
	DuplicateResponse:        {runs: true, respond: respondThenWriteText(upstreamResponse.text)},
	LateErrorWithoutID:       {runs: true, respond: respondThenWriteText(func(upstreamResponse) string { return strayResponse(500, "").text() })},
	LateUnavailableWithoutID: {runs: true, respond: respondThenWriteText(func(upstreamResponse) string { return strayUnavailable().text() })},
	LateSuccessWithoutID:     {runs: true, respond: respondThenWriteText(func(upstreamResponse) string { return straySuccess("").text() })},
	LateOtherID:              {runs: true, respond: respondThenWriteText(func(upstreamResponse) string { return straySuccess("of-another").text() })},
	LateGarbage:              {runs: true, respond: respondThenWriteText(invalidHTTP)},
	PrecedingOtherID:         {runs: true, respond: writeTextThenClose(func(own upstreamResponse) string { return straySuccess("of-another").text() + own.text() })},
	PrecedingErrorWithoutID:  {runs: true, respond: writeText(func(own upstreamResponse) string { return strayResponse(500, "").text() + own.text() })},
	InformationalResponses: {runs: true, respond: writeText(func(own upstreamResponse) string {
		return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + own.text()
	})},
	SwitchingProtocols: {runs: true, respond: writeText(func(own upstreamResponse) string {
		return "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + own.text()
	})},
	SuccessWithoutID:          {runs: true, respond: writeText(func(own upstreamResponse) string { return own.withoutID().text() })},
	Error:                     {runs: true, respond: writeText(func(own upstreamResponse) string { return own.failure(500).text() })},
	ErrorWithoutID:            {runs: true, respond: writeText(func(own upstreamResponse) string { return own.failure(500).withoutID().text() })},
	SuccessWithoutStamp:       {runs: true, respond: writeText(successWithoutStamp)},
	UnmarkedUnavailable:       {runs: true, respond: writeText(func(own upstreamResponse) string { return own.failure(503).text() })},
	UnmarkedTooManyRequests:   {runs: true, respond: writeText(func(own upstreamResponse) string { return own.failure(429).text() })},
	SuccessMarkedNotExecuted:  {runs: true, respond: writeText(successMarkedNotExecuted)},
	Garbage:                   {runs: true, respond: writeText(invalidHTTP)},
	OversizedHeader:           {runs: true, respond: writeText(oversizedHeader)},
	ConflictingContentLengths: {runs: true, respond: writeText(conflictingContentLengths)},
	HTTP10WithoutLength:       {runs: true, respond: writeTextThenClose(http10WithoutLength)},
	BareCRInHeader:            {runs: true, respond: writeText(bareCRInHeader)},
	ChunkedWithTrailer:        {runs: true, respond: writeText(chunkedWithTrailer)},
	NoContentWithBody:         {runs: true, respond: writeText(noContentWithBody)},
	ConnectionClose:           {runs: true, respond: writeTextThenClose(connectionClose)},
	EarlyError:                {runs: true, early: true, respond: writeTextThenClose(func(own upstreamResponse) string { return own.failure(500).text() })},
	EarlySuccess:              {runs: true, early: true, respond: earlySuccess},
}

// String implements fmt.Stringer.
func (f Fault) String() string {
	if f < faultCount {
		return faultNames[f]
	}
	return "fault " + strconv.Itoa(int(f))
}

var faultNames = [faultCount]string{
	NoFault:                   "sound",
	Unavailable:               "full",
	UnavailableWithoutID:      "full without id",
	UnavailableTwice:          "full twice",
	Misdirected:               "elsewhere",
	MisdirectedWithoutID:      "elsewhere without id",
	BadRequestWithoutID:       "bad request without id",
	ResetBeforeRun:            "reset before run",
	CloseBeforeRun:            "close before run",
	NoResponseBeforeRun:       "silent before run",
	EarlyUnavailable:          "early full",
	EarlyUnavailableKeepOpen:  "early full connection on",
	NoResponse:                "silent",
	DelayedRun:                "thawed",
	Reset:                     "reset",
	CloseBeforeResponse:       "close before answer",
	ResetInHeader:             "reset in head",
	CloseInHeader:             "close in head",
	ResetInBody:               "reset in body",
	CloseInBody:               "cut short",
	CloseBetweenChunks:        "chunked cut",
	ResetAfterResponse:        "reset after answer",
	CloseAfterResponse:        "close after answer",
	CloseWriteAfterResponse:   "half close",
	DuplicateResponse:         "extra",
	LateErrorWithoutID:        "error without id late",
	LateUnavailableWithoutID:  "full without id late",
	LateSuccessWithoutID:      "success without id late",
	LateOtherID:               "other id late",
	LateGarbage:               "garbage late",
	PrecedingOtherID:          "other id",
	PrecedingErrorWithoutID:   "error without id before",
	InformationalResponses:    "informational",
	SwitchingProtocols:        "switching protocols",
	SuccessWithoutID:          "without id",
	Error:                     "error",
	ErrorWithoutID:            "error without id",
	SuccessWithoutStamp:       "unstamped",
	UnmarkedUnavailable:       "unproven full",
	UnmarkedTooManyRequests:   "unproven too many",
	SuccessMarkedNotExecuted:  "contradiction",
	Garbage:                   "garbage",
	OversizedHeader:           "endless head",
	ConflictingContentLengths: "two lengths",
	HTTP10WithoutLength:       "no stated end",
	BareCRInHeader:            "bare CR",
	ChunkedWithTrailer:        "chunked with trailer",
	NoContentWithBody:         "no content",
	ConnectionClose:           "connection close",
	EarlyError:                "early error",
	EarlySuccess:              "early success",
}
