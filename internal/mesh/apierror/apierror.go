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
	None               Kind = iota
	Malformed               // no request that could be sent on
	NoRoute                 // no route takes this host and path
	Unauthenticated         // a key is missing or unknown
	NotExported             // a partner keeps this to itself
	TooLarge                // more bytes than the size limits let in
	LimitExceeded           // a tenant asks beyond its limit
	NotReady                // no configuration is known yet
	NoCapacity              // no upstream can take it now; it has not run
	Misdirected             // the upstream meant is not, or no longer, at this machine; it has not run
	IncompleteResponse      // a push ended without a whole answer; it may have run
	DeadlineExceeded        // the deadline came with a push out; it may run yet
	ShuttingDown            // the process ends with a push out; it may have run

	UnknownCall          // no such call
	UnreadableBody       // a body that can't be read whole
	InvalidConfiguration // a configuration that breaks a rule of its own
	VersionConflict      // another version is current
	OutcomeUnknown       // no majority answered in time; it may or may not count
	NoConfiguration      // nothing has been put yet
	KindCount            = iota
)

// Row is what a kind is answered with.
type ErrorResponse struct {
	Status          int
	Name            string
	RetryAfter      time.Duration // when to come back, 0 for no advice; only where nothing has run
	CloseConnection bool          // the connection is closed after it: what follows may be out of step
}

var responses = [KindCount]ErrorResponse{
	None:                 {http.StatusOK, "none", 0, false},
	Malformed:            {http.StatusBadRequest, "malformed", 0, true},
	NoRoute:              {http.StatusNotFound, "no_route", 0, false},
	NotExported:          {http.StatusForbidden, "kept", 0, false},
	Unauthenticated:      {http.StatusUnauthorized, "no_key", 0, false},
	TooLarge:             {http.StatusRequestEntityTooLarge, "too_long", 0, true},
	LimitExceeded:        {http.StatusTooManyRequests, "beyond_limit", 250 * time.Millisecond, false},
	NotReady:             {http.StatusServiceUnavailable, "unready", 300 * time.Millisecond, false},
	NoCapacity:           {http.StatusServiceUnavailable, "no_room", 50 * time.Millisecond, false},
	Misdirected:          {http.StatusMisdirectedRequest, "not_here", 0, false},
	IncompleteResponse:   {http.StatusBadGateway, "broke", 0, false},
	DeadlineExceeded:     {http.StatusGatewayTimeout, "late", 0, false},
	ShuttingDown:         {http.StatusBadGateway, "leaving", 0, true},
	UnknownCall:          {http.StatusNotFound, "no_call", 0, false},
	UnreadableBody:       {http.StatusBadRequest, "unreadable", 0, true},
	InvalidConfiguration: {http.StatusBadRequest, "invalid", 0, false},
	VersionConflict:      {http.StatusPreconditionFailed, "stale", 0, false},
	OutcomeUnknown:       {http.StatusServiceUnavailable, "unclear", 100 * time.Millisecond, false},
	NoConfiguration:      {http.StatusNotFound, "absent", 0, false},
}

// Row is the answer of a kind.
func (k Kind) Response() ErrorResponse { return responses[k] }

func (k Kind) String() string { return responses[k].Name }

// NotExecuted reports whether the answer promises that the request has not run and never will.
func (k Kind) NotExecuted() bool { return StatusNotExecuted(responses[k].Status) }

// StatusNotExecuted reports whether whoever gets an answer of a status takes it for a promise that the request has not run and never will.
func StatusNotExecuted(status int) bool {
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

// KindOf is the kind of an error; what has none is unclear.
func KindOf(err error) Kind {
	if err == nil {
		return None
	}
	if e, is := err.(*Error); is {
		return e.Kind
	}
	return OutcomeUnknown
}

// Write answers with a kind; again replaces the table's advice where it is above 0.
func Write(w http.ResponseWriter, k Kind, retryAfter time.Duration, text string) {
	response := responses[k]
	header := w.Header()
	header["Content-Type"] = []string{"text/plain"}
	if retryAfter = max(retryAfter, response.RetryAfter); retryAfter > 0 {
		header["Retry-After"] = []string{strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64)}
	}
	if response.CloseConnection {
		header["Connection"] = []string{"close"}
	}
	if text == "" {
		text = response.Name
	}
	header["Content-Length"] = []string{strconv.Itoa(len(text) + 1)}
	w.WriteHeader(response.Status)
	w.Write([]byte(text + "\n"))
}
