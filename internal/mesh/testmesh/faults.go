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
	Sound Fault = iota

	Full                  // 503, not delivered
	FullWithoutID         // the same, without the attempt's id
	FullTwice             // the same with the right id, and a second time after Delay
	Elsewhere             // another upstream is meant: 421, not delivered
	ElsewhereWithoutID    // the same, without the attempt's id
	BadRequestWithoutID   // 400, not delivered, without the attempt's id
	ResetBeforeRun        // the connection is reset, the request unread
	CloseBeforeRun        // the connection is closed
	SilentBeforeRun       // nothing is answered on this connection any more
	EarlyFull             // 503, not delivered, while the body is still being sent; the connection is closed
	EarlyFullConnectionOn // the same, the connection stays and nothing more is read

	Silent               // it runs and answers nothing
	Thawed               // it stands still for Delay, then runs and answers
	Reset                // the connection is reset before the answer
	CloseBeforeAnswer    // the connection is closed before the answer
	ResetInHead          // the connection is reset in the answer's head
	CloseInHead          // the connection is closed there
	ResetInBody          // the connection is reset in the middle of the body
	CutShort             // the connection is closed there
	ChunkedCut           // the connection is closed between two chunks
	ResetAfterAnswer     // the connection is reset Delay after a whole answer
	CloseAfterAnswer     // the connection is closed there, unannounced
	HalfClose            // the answer's direction is closed there
	Extra                // a second answer comes Delay after the first
	ErrorWithoutIDLate   // an error without an id comes Delay after the answer
	FullWithoutIDLate    // a 503, not delivered, without an id comes Delay after the answer
	SuccessWithoutIDLate // a success without an id comes Delay after the answer
	OtherIDLate          // an answer to another request comes Delay after the answer
	GarbageLate          // bytes that are no answer come Delay after the answer
	OtherID              // an answer to another request comes before its own
	ErrorWithoutIDBefore // an error without an id comes before its own
	Informational        // 100 and 103 come before its own
	SwitchingProtocols   // 101 comes in place of its own
	WithoutID            // a success without the attempt's id
	Error                // 500
	ErrorWithoutID       // 500 without the attempt's id
	Unstamped            // a success without a postmark
	UnprovenFull         // 503 that does not say that it is not delivered
	UnprovenTooMany      // 429 that does not say that it is not delivered
	Contradiction        // a success that says that it is not delivered
	Garbage              // bytes that are no answer
	EndlessHead          // a head that does not end
	TwoLengths           // two lengths that differ
	NoStatedEnd          // HTTP/1.0, its end is the connection's
	BareCR               // a carriage return in a header's value
	ChunkedWithTrailer   // in chunks, with a trailer; nothing is wrong
	NoContent            // 204 with bytes that look like a body behind it
	ConnectionClose      // a whole answer that ends its connection; nothing is wrong
	EarlyError           // 500 while the body is still being sent; the connection is closed
	EarlySuccess         // a whole success while the body is still being sent, which is read to its end
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

// Next has the next requests meet faults.
func (u *Upstream) Next(faults ...Fault) {
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

// Pending is how many faults are still to come.
func (u *Upstream) Pending() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.injections)
}

// Drop takes back the next fault.
func (u *Upstream) Drop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.injections) > 0 {
		u.injections = u.injections[1:]
	}
}

// Met is the last fault that an attempt met here.
func (u *Upstream) Met(id string) (fault Fault, met bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	fault, met = u.met[id]
	return fault, met
}

// StrayBody is the body of answers that belong to no request.
const StrayBody = "odd"

// answer is an HTTP answer, as an upstream of the users frames it.
type answer struct {
	status       int
	id, stamp    string
	notDelivered bool
	more         string // header lines
	body         string
}

func (a answer) header() http.Header {
	h := http.Header{}
	if a.id != "" {
		h.Set("X-Attempt-Id", a.id)
	}
	if a.stamp != "" {
		h.Set("X-Postmark", a.stamp)
	}
	if a.notDelivered {
		h.Set("X-Not-Delivered", "1")
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	return h
}

func (a answer) send(w http.ResponseWriter) {
	for name, values := range a.header() {
		w.Header()[name] = values
	}
	w.WriteHeader(a.status)
	io.WriteString(w, a.body)
}

func (a answer) head() string {
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	a.header().Write(&text)
	return text.String() + a.more + "\r\n"
}

func (a answer) text() string { return a.head() + a.body }

// failure is the answer with which an upstream itself fails a request.
func (a answer) failure(status int) answer {
	return answer{status: status, id: a.id, body: "failed"}
}

func (a answer) full() answer {
	full := a.failure(http.StatusServiceUnavailable)
	full.notDelivered = true
	return full
}

func (a answer) elsewhere() answer {
	elsewhere := a.failure(http.StatusMisdirectedRequest)
	elsewhere.notDelivered = true
	return elsewhere
}

func (a answer) withoutID() answer {
	a.id = ""
	return a
}

// stray is an answer that belongs to no request.
func stray(status int, id string) answer { return answer{status: status, id: id, body: StrayBody} }

func strayFull() answer {
	full := stray(http.StatusServiceUnavailable, "")
	full.notDelivered = true
	return full
}

func straySuccess(id string) answer {
	success := stray(http.StatusOK, id)
	success.stamp = "stamp-stray"
	return success
}

// bareConnection is a connection without an HTTP server. What comes late is written beside the next answer, never inside it.
type bareConnection struct {
	*net.TCPConn
	reader  *bufio.Reader
	writing sync.Mutex
}

func (c *bareConnection) write(text string) {
	c.writing.Lock()
	defer c.writing.Unlock()
	io.WriteString(c.TCPConn, text)
}

func (c *bareConnection) reset() {
	c.SetLinger(0)
	c.Close()
}

// exchange is one request and its answer over a bare connection.
type exchange struct {
	*bareConnection
	request *http.Request
	own     answer // whole and right
	delay   time.Duration
}

func (x *exchange) later(do func()) { time.AfterFunc(x.delay, do) }

func (x *exchange) swallow() { io.Copy(io.Discard, x.reader) }

// script is how a fault is played; play reports whether the connection serves on.
type script struct {
	runs  bool
	early bool
	thaws bool
	play  func(*exchange) (serveOn bool)
}

// text plays one piece of text and serves on.
func text(of func(own answer) string) func(*exchange) bool {
	return func(x *exchange) bool { x.write(of(x.own)); return true }
}

// textThenClose plays one piece of text and closes the connection.
func textThenClose(of func(own answer) string) func(*exchange) bool {
	return func(x *exchange) bool { x.write(of(x.own)); return false }
}

// textThenReset plays one piece of text and resets the connection a moment later.
func textThenReset(of func(own answer) string) func(*exchange) bool {
	return func(x *exchange) bool {
		x.write(of(x.own))
		time.Sleep(time.Millisecond)
		x.reset()
		return false
	}
}

// answerThen plays the right answer, and something else after the delay.
func answerThen(do func(*exchange)) func(*exchange) bool {
	return func(x *exchange) bool {
		x.write(x.own.text())
		x.later(func() { do(x) })
		return true
	}
}

// answerThenText plays the right answer, and a piece of text after the delay.
func answerThenText(of func(own answer) string) func(*exchange) bool {
	return answerThen(func(x *exchange) { x.write(of(x.own)) })
}

func nothing(answer) string       { return "" }
func fullText(own answer) string  { return own.full().text() }
func halfHead(own answer) string  { return own.head()[:len(own.head())/2] }
func halfBody(own answer) string  { return own.head() + own.body[:len(own.body)/2] }
func notHTTP(answer) string       { return "\x16\x03\x01 no answer\r\n\r\n" }
func neverAgain(x *exchange) bool { x.swallow(); return false }
func resetNow(x *exchange) bool   { x.reset(); return false }
func endlessHead(own answer) string {
	return strings.TrimSuffix(own.head(), "\r\n") + strings.Repeat("X-More: "+strings.Repeat("m", 1000)+"\r\n", 300)
}
func twoLengths(own answer) string { own.more = "Content-Length: 3\r\n"; return own.text() }
func bareCR(own answer) string {
	own.more = "X-More: a\rX-Attempt-Id: of-another\r\n"
	return own.text()
}
func closesAfter(own answer) string   { own.more = "Connection: close\r\n"; return own.text() }
func unstamped(own answer) string     { own.stamp = ""; return own.text() }
func contradiction(own answer) string { own.notDelivered = true; return own.text() }

func chunkedHead(own answer) string {
	head := strings.Replace(own.head(), fmt.Sprintf("Content-Length: %d\r\n", len(own.body)), "Transfer-Encoding: chunked\r\nTrailer: X-More\r\n", 1)
	return head + fmt.Sprintf("%x\r\n%s\r\n", len(own.body)/2, own.body[:len(own.body)/2])
}

func chunkedWhole(own answer) string {
	rest := own.body[len(own.body)/2:]
	return chunkedHead(own) + fmt.Sprintf("%x\r\n%s\r\n0\r\nX-More: m\r\n\r\n", len(rest), rest)
}

func noStatedEnd(own answer) string {
	head := strings.Replace(own.head(), "HTTP/1.1", "HTTP/1.0", 1)
	return strings.Replace(head, fmt.Sprintf("Content-Length: %d\r\n", len(own.body)), "", 1) + own.body
}

func noContent(own answer) string {
	own.status, own.body = http.StatusNoContent, ""
	return own.text() + StrayBody
}

func earlySuccess(x *exchange) bool {
	x.write(x.own.text())
	io.Copy(io.Discard, io.LimitReader(x.reader, x.request.ContentLength))
	return true
}

var scripts = [faultCount]script{
	Sound: {runs: true, play: text(answer.text)},

	Full:          {play: text(fullText)},
	FullWithoutID: {play: text(func(own answer) string { return own.full().withoutID().text() })},
	FullTwice: {play: func(x *exchange) bool {
		x.write(fullText(x.own))
		x.later(func() { x.write(fullText(x.own)) })
		return true
	}},
	Elsewhere:             {play: text(func(own answer) string { return own.elsewhere().text() })},
	ElsewhereWithoutID:    {play: text(func(own answer) string { return own.elsewhere().withoutID().text() })},
	BadRequestWithoutID:   {play: text(func(own answer) string { bad := own.full().withoutID(); bad.status = 400; return bad.text() })},
	ResetBeforeRun:        {play: resetNow},
	CloseBeforeRun:        {play: textThenClose(nothing)},
	SilentBeforeRun:       {play: neverAgain},
	EarlyFull:             {early: true, play: textThenClose(fullText)},
	EarlyFullConnectionOn: {early: true, play: func(x *exchange) bool { x.write(fullText(x.own)); time.Sleep(300 * time.Millisecond); return false }},

	Silent:               {runs: true, play: neverAgain},
	Thawed:               {runs: true, thaws: true, play: text(answer.text)},
	Reset:                {runs: true, play: resetNow},
	CloseBeforeAnswer:    {runs: true, play: textThenClose(nothing)},
	ResetInHead:          {runs: true, play: textThenReset(halfHead)},
	CloseInHead:          {runs: true, play: textThenClose(halfHead)},
	ResetInBody:          {runs: true, play: textThenReset(halfBody)},
	CutShort:             {runs: true, play: textThenClose(halfBody)},
	ChunkedCut:           {runs: true, play: textThenClose(chunkedHead)},
	ResetAfterAnswer:     {runs: true, play: answerThen(func(x *exchange) { x.reset() })},
	CloseAfterAnswer:     {runs: true, play: answerThen(func(x *exchange) { x.Close() })},
	HalfClose:            {runs: true, play: answerThen(func(x *exchange) { x.CloseWrite() })},
	Extra:                {runs: true, play: answerThenText(answer.text)},
	ErrorWithoutIDLate:   {runs: true, play: answerThenText(func(answer) string { return stray(500, "").text() })},
	FullWithoutIDLate:    {runs: true, play: answerThenText(func(answer) string { return strayFull().text() })},
	SuccessWithoutIDLate: {runs: true, play: answerThenText(func(answer) string { return straySuccess("").text() })},
	OtherIDLate:          {runs: true, play: answerThenText(func(answer) string { return straySuccess("of-another").text() })},
	GarbageLate:          {runs: true, play: answerThenText(notHTTP)},
	OtherID:              {runs: true, play: textThenClose(func(own answer) string { return straySuccess("of-another").text() + own.text() })},
	ErrorWithoutIDBefore: {runs: true, play: text(func(own answer) string { return stray(500, "").text() + own.text() })},
	Informational: {runs: true, play: text(func(own answer) string {
		return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + own.text()
	})},
	SwitchingProtocols: {runs: true, play: text(func(own answer) string { return "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + own.text() })},
	WithoutID:          {runs: true, play: text(func(own answer) string { return own.withoutID().text() })},
	Error:              {runs: true, play: text(func(own answer) string { return own.failure(500).text() })},
	ErrorWithoutID:     {runs: true, play: text(func(own answer) string { return own.failure(500).withoutID().text() })},
	Unstamped:          {runs: true, play: text(unstamped)},
	UnprovenFull:       {runs: true, play: text(func(own answer) string { return own.failure(503).text() })},
	UnprovenTooMany:    {runs: true, play: text(func(own answer) string { return own.failure(429).text() })},
	Contradiction:      {runs: true, play: text(contradiction)},
	Garbage:            {runs: true, play: text(notHTTP)},
	EndlessHead:        {runs: true, play: text(endlessHead)},
	TwoLengths:         {runs: true, play: text(twoLengths)},
	NoStatedEnd:        {runs: true, play: textThenClose(noStatedEnd)},
	BareCR:             {runs: true, play: text(bareCR)},
	ChunkedWithTrailer: {runs: true, play: text(chunkedWhole)},
	NoContent:          {runs: true, play: text(noContent)},
	ConnectionClose:    {runs: true, play: textThenClose(closesAfter)},
	EarlyError:         {runs: true, early: true, play: textThenClose(func(own answer) string { return own.failure(500).text() })},
	EarlySuccess:       {runs: true, early: true, play: earlySuccess},
}

// String implements fmt.Stringer.
func (f Fault) String() string {
	if f < faultCount {
		return faultNames[f]
	}
	return "fault " + strconv.Itoa(int(f))
}

var faultNames = [faultCount]string{
	Sound:                 "sound",
	Full:                  "full",
	FullWithoutID:         "full without id",
	FullTwice:             "full twice",
	Elsewhere:             "elsewhere",
	ElsewhereWithoutID:    "elsewhere without id",
	BadRequestWithoutID:   "bad request without id",
	ResetBeforeRun:        "reset before run",
	CloseBeforeRun:        "close before run",
	SilentBeforeRun:       "silent before run",
	EarlyFull:             "early full",
	EarlyFullConnectionOn: "early full connection on",
	Silent:                "silent",
	Thawed:                "thawed",
	Reset:                 "reset",
	CloseBeforeAnswer:     "close before answer",
	ResetInHead:           "reset in head",
	CloseInHead:           "close in head",
	ResetInBody:           "reset in body",
	CutShort:              "cut short",
	ChunkedCut:            "chunked cut",
	ResetAfterAnswer:      "reset after answer",
	CloseAfterAnswer:      "close after answer",
	HalfClose:             "half close",
	Extra:                 "extra",
	ErrorWithoutIDLate:    "error without id late",
	FullWithoutIDLate:     "full without id late",
	SuccessWithoutIDLate:  "success without id late",
	OtherIDLate:           "other id late",
	GarbageLate:           "garbage late",
	OtherID:               "other id",
	ErrorWithoutIDBefore:  "error without id before",
	Informational:         "informational",
	SwitchingProtocols:    "switching protocols",
	WithoutID:             "without id",
	Error:                 "error",
	ErrorWithoutID:        "error without id",
	Unstamped:             "unstamped",
	UnprovenFull:          "unproven full",
	UnprovenTooMany:       "unproven too many",
	Contradiction:         "contradiction",
	Garbage:               "garbage",
	EndlessHead:           "endless head",
	TwoLengths:            "two lengths",
	NoStatedEnd:           "no stated end",
	BareCR:                "bare CR",
	ChunkedWithTrailer:    "chunked with trailer",
	NoContent:             "no content",
	ConnectionClose:       "connection close",
	EarlyError:            "early error",
	EarlySuccess:          "early success",
}
