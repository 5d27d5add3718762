// Package apierror is the closed list of what can go wrong towards those who call the mesh, and the table from kind to
// answer. Nothing else makes an answer of ours.
package apierror

import (
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/errs"
)

// Kind is one way in which a call ends without what was asked for.
type Kind uint8

// The kinds. Those of requests first, then those of the operator and of upstreams.
const (
	None      Kind = iota
	Malformed      // no request that could be sent on
	NoRoute        // no route takes this host and path
	NoKey          // a key is missing or unknown
	Kept           // a partner keeps this to itself
	TooLong        // more bytes than the size limits let in
	Beyond         // a tenant asks beyond its limit
	Unready        // no configuration is known yet
	NoRoom         // no upstream can take it now; it has not run
	NotHere        // the upstream meant is not, or no longer, at this machine; it has not run
	Broke          // a push ended without a whole answer; it may have run
	Late           // the deadline came with a push out; it may run yet
	Leaving        // the process ends with a push out; it may have run

	NoCall     // no such call
	Unreadable // a body that can't be read whole
	Invalid    // a configuration that breaks a rule of its own
	Stale      // another version is current
	Unclear    // no majority answered in time; it may or may not count
	Absent     // nothing has been put yet
	Kinds      = iota
)

// Row is what a kind is answered with.
type ErrorResponse struct {
	Status int
	Name   string
	Again  time.Duration // when to come back, 0 for no advice; only where nothing has run
	Closes bool          // the connection is closed after it: what follows may be out of step
}

var table = [Kinds]ErrorResponse{
	None:       {http.StatusOK, "none", 0, false},
	Malformed:  {http.StatusBadRequest, "malformed", 0, true},
	NoRoute:    {http.StatusNotFound, "no_route", 0, false},
	Kept:       {http.StatusForbidden, "kept", 0, false},
	NoKey:      {http.StatusUnauthorized, "no_key", 0, false},
	TooLong:    {http.StatusRequestEntityTooLarge, "too_long", 0, true},
	Beyond:     {http.StatusTooManyRequests, "beyond_limit", 250 * time.Millisecond, false},
	Unready:    {http.StatusServiceUnavailable, "unready", 300 * time.Millisecond, false},
	NoRoom:     {http.StatusServiceUnavailable, "no_room", 50 * time.Millisecond, false},
	NotHere:    {http.StatusMisdirectedRequest, "not_here", 0, false},
	Broke:      {http.StatusBadGateway, "broke", 0, false},
	Late:       {http.StatusGatewayTimeout, "late", 0, false},
	Leaving:    {http.StatusBadGateway, "leaving", 0, true},
	NoCall:     {http.StatusNotFound, "no_call", 0, false},
	Unreadable: {http.StatusBadRequest, "unreadable", 0, true},
	Invalid:    {http.StatusBadRequest, "invalid", 0, false},
	Stale:      {http.StatusPreconditionFailed, "stale", 0, false},
	Unclear:    {http.StatusServiceUnavailable, "unclear", 100 * time.Millisecond, false},
	Absent:     {http.StatusNotFound, "absent", 0, false},
}

// Row is the answer of a kind.
func (k Kind) Response() ErrorResponse { return table[k] }

func (k Kind) String() string { return table[k].Name }

// NeverRan reports whether the answer promises that the request has not run and never will.
func (k Kind) NeverRan() bool { return Promises(table[k].Status) }

// Promises reports whether whoever gets an answer of a status takes it for a promise that the request has not run and never will.
func Promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusMisdirectedRequest, http.StatusRequestTimeout:
		return true
	}
	return false
}

// Error is an error of a kind.
type Error struct {
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return e.Kind.String() + ": " + e.Err.Error() }

// Unwrap implements errors' interface.
func (e *Error) Unwrap() error { return e.Err }

// New makes an error of a kind.
func New(k Kind, format string, args ...any) *Error { return &Error{k, errs.New(format, args...)} }

// Of is the kind of an error; what has none is unclear.
func Of(err error) Kind {
	if err == nil {
		return None
	}
	if e, is := err.(*Error); is {
		return e.Kind
	}
	return Unclear
}

// Write answers with a kind; again replaces the table's advice where it is above 0.
func Write(w http.ResponseWriter, k Kind, again time.Duration, text string) {
	row := table[k]
	h := w.Header()
	h["Content-Type"] = []string{"text/plain"}
	if again = max(again, row.Again); again > 0 {
		h["Retry-After"] = []string{strconv.FormatFloat(again.Seconds(), 'f', 3, 64)}
	}
	if row.Closes {
		h["Connection"] = []string{"close"}
	}
	if text == "" {
		text = row.Name
	}
	h["Content-Length"] = []string{strconv.Itoa(len(text) + 1)}
	w.WriteHeader(row.Status)
	w.Write([]byte(text + "\n"))
}
