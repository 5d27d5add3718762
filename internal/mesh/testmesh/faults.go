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

// Fault is a fault of an upstream in handling one request.
type Fault uint8

// Faults of an upstream. With those of the first group the request is rejected, or its connection fails, before it
// runs. With all others it runs.
const (
	NoFault Fault = iota

	Unavailable              // 503, marked as not executed
	UnavailableWithoutID     // the same, without the attempt's ID
	UnavailableTwice         // the same with the right ID, sent again after Delay
	Misdirected              // 421 as if the request were for another upstream, marked as not executed
	MisdirectedWithoutID     // the same, without the attempt's ID
	BadRequestWithoutID      // 400, marked as not executed, without the attempt's ID
	ResetBeforeRun           // the connection is reset before the request runs
	CloseBeforeRun           // the connection is closed before the request runs
	NoResponseBeforeRun      // nothing more is sent on this connection
	EarlyUnavailable         // 503, marked as not executed, while the body is still being sent; the connection is closed
	EarlyUnavailableKeepOpen // the same, but the connection stays open for a while and nothing more is read

	NoResponse                // the request runs and gets no response
	DelayedRun                // the request runs after Delay and gets its response
	Reset                     // the connection is reset before the response
	CloseBeforeResponse       // the connection is closed before the response
	ResetInHeader             // the connection is reset within the response header
	CloseInHeader             // the connection is closed within the response header
	ResetInBody               // the connection is reset in the middle of the body
	CloseInBody               // the connection is closed in the middle of the body
	CloseBetweenChunks        // the connection is closed between two chunks
	ResetAfterResponse        // the connection is reset Delay after a complete response
	CloseAfterResponse        // the connection is closed Delay after a complete response, without Connection: close
	CloseWriteAfterResponse   // the sending side is closed Delay after a complete response
	DuplicateResponse         // the response is sent again after Delay
	LateErrorWithoutID        // an error without an ID follows Delay after the response
	LateUnavailableWithoutID  // a 503, marked as not executed, without an ID follows Delay after the response
	LateSuccessWithoutID      // a success without an ID follows Delay after the response
	LateOtherID               // a response to another request follows Delay after the response
	LateGarbage               // bytes that are not HTTP follow Delay after the response
	PrecedingOtherID          // a response to another request precedes the response
	PrecedingErrorWithoutID   // an error without an ID precedes the response
	InformationalResponses    // 100 and 103 precede the response; nothing is wrong
	SwitchingProtocols        // 101 precedes the response
	SuccessWithoutID          // a success without the attempt's ID
	Error                     // 500
	ErrorWithoutID            // 500 without the attempt's ID
	SuccessWithoutStamp       // a success without the upstream's stamp (X-Postmark)
	UnmarkedUnavailable       // 503 that is not marked as not executed
	UnmarkedTooManyRequests   // 429 that is not marked as not executed
	SuccessMarkedNotExecuted  // a success that is marked as not executed
	Garbage                   // bytes that are not HTTP
	OversizedHeader           // a response header of about 300 kB
	ConflictingContentLengths // two different Content-Length headers
	HTTP10WithoutLength       // HTTP/1.0 without a length; the body ends with the connection
	BareCRInHeader            // a carriage return in a header value
	ChunkedWithTrailer        // chunked, with a trailer; nothing is wrong
	NoContentWithBody         // 204 followed by bytes that look like a body
	ConnectionClose           // a complete response with Connection: close; nothing is wrong
	EarlyError                // 500 while the body is still being sent; the connection is closed
	EarlySuccess              // a complete success while the body is still being sent; the rest of the body is read
	faultCount
)

// Injection is a fault for one request. Delay is used by the faults whose comment names it.
type Injection struct {
	Fault Fault
	Delay time.Duration
}

// Faults returns all faults, NoFault among them.
func Faults() []Fault {
	all := make([]Fault, faultCount)
	for n := range all {
		all[n] = Fault(n)
	}
	return all
}

// Runs reports whether an upstream with this fault runs the request.
func (f Fault) Runs() bool { return scripts[f].runs }

// early reports whether the response is sent before the request body has been read.
func (f Fault) early() bool { return scripts[f].early }

// InjectFaults queues faults without a delay, one for each of the next requests.
func (u *Upstream) InjectFaults(faults ...Fault) {
	for _, f := range faults {
		u.Inject(Injection{Fault: f})
	}
}

// Inject queues a fault, for the next request that has none yet.
func (u *Upstream) Inject(injection Injection) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.injections = append(u.injections, injection)
}

// PendingFaults returns the number of queued faults.
func (u *Upstream) PendingFaults() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.injections)
}

// DropNextFault removes the next queued fault.
func (u *Upstream) DropNextFault() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.injections) > 0 {
		u.injections = u.injections[1:]
	}
}

// FaultMetBy returns the last fault that was injected into an attempt.
func (u *Upstream) FaultMetBy(id string) (fault Fault, met bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	fault, met = u.faultsMet[id]
	return fault, met
}

// StrayBody is the body of responses that belong to no request.
const StrayBody = "odd"

// upstreamResponse is an HTTP response as upstreams of this mesh send it.
type upstreamResponse struct {
	status       int
	id, stamp    string
	notExecuted  bool
	extraHeaders string // further header lines
	body         string
}

func (r upstreamResponse) headerFields() http.Header {
	header := http.Header{}
	if r.id != "" {
		header.Set("X-Attempt-Id", r.id)
	}
	if r.stamp != "" {
		header.Set("X-Postmark", r.stamp)
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

// failure is the response to a request that the upstream itself fails.
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

// strayResponse is a response that belongs to no request.
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
	success.stamp = "stamp-stray"
	return success
}

// rawConnection is a connection that was hijacked from the HTTP server. The mutex keeps late writes from splitting the
// next response.
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

// exchange is one request and its response over a raw connection.
type exchange struct {
	*rawConnection
	request  *http.Request
	response upstreamResponse // the complete, correct response
	delay    time.Duration
}

func (e *exchange) afterDelay(action func()) { time.AfterFunc(e.delay, action) }

func (e *exchange) discardInput() { io.Copy(io.Discard, e.reader) }

// faultScript implements a fault. respond reports whether the connection stays open for further requests.
type faultScript struct {
	runs    bool
	early   bool
	delayed bool
	respond func(*exchange) (keepOpen bool)
}

// writeText writes a text and keeps the connection open.
func writeText(build func(response upstreamResponse) string) func(*exchange) bool {
	return func(e *exchange) bool { e.write(build(e.response)); return true }
}

// writeTextThenClose writes a text and closes the connection.
func writeTextThenClose(build func(response upstreamResponse) string) func(*exchange) bool {
	return func(e *exchange) bool { e.write(build(e.response)); return false }
}

// writeTextThenReset writes a text and resets the connection 1 ms later.
func writeTextThenReset(build func(response upstreamResponse) string) func(*exchange) bool {
	return func(e *exchange) bool {
		e.write(build(e.response))
		time.Sleep(time.Millisecond)
		e.reset()
		return false
	}
}

// respondThen writes the correct response and runs an action after the delay.
func respondThen(action func(*exchange)) func(*exchange) bool {
	return func(e *exchange) bool {
		e.write(e.response.text())
		e.afterDelay(func() { action(e) })
		return true
	}
}

// respondThenWriteText writes the correct response and another text after the delay.
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
	response.stamp = ""
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
	UnavailableWithoutID: {respond: writeText(func(response upstreamResponse) string { return response.unavailable().withoutID().text() })},
	UnavailableTwice: {respond: func(e *exchange) bool {
		e.write(unavailableText(e.response))
		e.afterDelay(func() { e.write(unavailableText(e.response)) })
		return true
	}},
	Misdirected:          {respond: writeText(func(response upstreamResponse) string { return response.misdirected().text() })},
	MisdirectedWithoutID: {respond: writeText(func(response upstreamResponse) string { return response.misdirected().withoutID().text() })},
	BadRequestWithoutID: {respond: writeText(func(response upstreamResponse) string {
		bad := response.unavailable().withoutID()
		bad.status = 400
		return bad.text()
	})},
	ResetBeforeRun:      {respond: resetConnection},
	CloseBeforeRun:      {respond: writeTextThenClose(emptyText)},
	NoResponseBeforeRun: {respond: discardUntilClosed},
	EarlyUnavailable:    {early: true, respond: writeTextThenClose(unavailableText)},
	EarlyUnavailableKeepOpen: {early: true, respond: func(e *exchange) bool {
		e.write(unavailableText(e.response))
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
	ResetAfterResponse:       {runs: true, respond: respondThen(func(e *exchange) { e.reset() })},
	CloseAfterResponse:       {runs: true, respond: respondThen(func(e *exchange) { e.Close() })},
	CloseWriteAfterResponse:  {runs: true, respond: respondThen(func(e *exchange) { e.CloseWrite() })},
	DuplicateResponse:        {runs: true, respond: respondThenWriteText(upstreamResponse.text)},
	LateErrorWithoutID:       {runs: true, respond: respondThenWriteText(func(upstreamResponse) string { return strayResponse(500, "").text() })},
	LateUnavailableWithoutID: {runs: true, respond: respondThenWriteText(func(upstreamResponse) string { return strayUnavailable().text() })},
	LateSuccessWithoutID:     {runs: true, respond: respondThenWriteText(func(upstreamResponse) string { return straySuccess("").text() })},
	LateOtherID:              {runs: true, respond: respondThenWriteText(func(upstreamResponse) string { return straySuccess("of-another").text() })},
	LateGarbage:              {runs: true, respond: respondThenWriteText(invalidHTTP)},
	PrecedingOtherID:         {runs: true, respond: writeTextThenClose(func(response upstreamResponse) string { return straySuccess("of-another").text() + response.text() })},
	PrecedingErrorWithoutID:  {runs: true, respond: writeText(func(response upstreamResponse) string { return strayResponse(500, "").text() + response.text() })},
	InformationalResponses: {runs: true, respond: writeText(func(response upstreamResponse) string {
		return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + response.text()
	})},
	SwitchingProtocols: {runs: true, respond: writeText(func(response upstreamResponse) string {
		return "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + response.text()
	})},
	SuccessWithoutID:          {runs: true, respond: writeText(func(response upstreamResponse) string { return response.withoutID().text() })},
	Error:                     {runs: true, respond: writeText(func(response upstreamResponse) string { return response.failure(500).text() })},
	ErrorWithoutID:            {runs: true, respond: writeText(func(response upstreamResponse) string { return response.failure(500).withoutID().text() })},
	SuccessWithoutStamp:       {runs: true, respond: writeText(successWithoutStamp)},
	UnmarkedUnavailable:       {runs: true, respond: writeText(func(response upstreamResponse) string { return response.failure(503).text() })},
	UnmarkedTooManyRequests:   {runs: true, respond: writeText(func(response upstreamResponse) string { return response.failure(429).text() })},
	SuccessMarkedNotExecuted:  {runs: true, respond: writeText(successMarkedNotExecuted)},
	Garbage:                   {runs: true, respond: writeText(invalidHTTP)},
	OversizedHeader:           {runs: true, respond: writeText(oversizedHeader)},
	ConflictingContentLengths: {runs: true, respond: writeText(conflictingContentLengths)},
	HTTP10WithoutLength:       {runs: true, respond: writeTextThenClose(http10WithoutLength)},
	BareCRInHeader:            {runs: true, respond: writeText(bareCRInHeader)},
	ChunkedWithTrailer:        {runs: true, respond: writeText(chunkedWithTrailer)},
	NoContentWithBody:         {runs: true, respond: writeText(noContentWithBody)},
	ConnectionClose:           {runs: true, respond: writeTextThenClose(connectionClose)},
	EarlyError:                {runs: true, early: true, respond: writeTextThenClose(func(response upstreamResponse) string { return response.failure(500).text() })},
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
	NoFault:                   "no fault",
	Unavailable:               "unavailable",
	UnavailableWithoutID:      "unavailable without ID",
	UnavailableTwice:          "unavailable twice",
	Misdirected:               "misdirected",
	MisdirectedWithoutID:      "misdirected without ID",
	BadRequestWithoutID:       "bad request without ID",
	ResetBeforeRun:            "reset before run",
	CloseBeforeRun:            "close before run",
	NoResponseBeforeRun:       "no response before run",
	EarlyUnavailable:          "early unavailable",
	EarlyUnavailableKeepOpen:  "early unavailable keep open",
	NoResponse:                "no response",
	DelayedRun:                "delayed run",
	Reset:                     "reset",
	CloseBeforeResponse:       "close before response",
	ResetInHeader:             "reset in header",
	CloseInHeader:             "close in header",
	ResetInBody:               "reset in body",
	CloseInBody:               "close in body",
	CloseBetweenChunks:        "close between chunks",
	ResetAfterResponse:        "reset after response",
	CloseAfterResponse:        "close after response",
	CloseWriteAfterResponse:   "close write after response",
	DuplicateResponse:         "duplicate response",
	LateErrorWithoutID:        "late error without ID",
	LateUnavailableWithoutID:  "late unavailable without ID",
	LateSuccessWithoutID:      "late success without ID",
	LateOtherID:               "late other ID",
	LateGarbage:               "late garbage",
	PrecedingOtherID:          "preceding other ID",
	PrecedingErrorWithoutID:   "preceding error without ID",
	InformationalResponses:    "informational responses",
	SwitchingProtocols:        "switching protocols",
	SuccessWithoutID:          "success without ID",
	Error:                     "error",
	ErrorWithoutID:            "error without ID",
	SuccessWithoutStamp:       "success without stamp",
	UnmarkedUnavailable:       "unmarked unavailable",
	UnmarkedTooManyRequests:   "unmarked too many requests",
	SuccessMarkedNotExecuted:  "success marked not executed",
	Garbage:                   "garbage",
	OversizedHeader:           "oversized header",
	ConflictingContentLengths: "conflicting content lengths",
	HTTP10WithoutLength:       "HTTP/1.0 without length",
	BareCRInHeader:            "bare CR in header",
	ChunkedWithTrailer:        "chunked with trailer",
	NoContentWithBody:         "no content with body",
	ConnectionClose:           "connection close",
	EarlyError:                "early error",
	EarlySuccess:              "early success",
}
