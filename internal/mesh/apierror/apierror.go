// Package apierror defines the closed list of errors that the mesh reports to its callers, and the response for each.
// The mesh generates no other error responses.
package apierror

import (
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/errs"
)

// Kind is the kind of an error.
type Kind uint8

// Kinds of errors: first those of requests, then those of calls to the control API by operators and upstreams.
const (
	None               Kind = iota // no error
	Malformed                      // the request is malformed and can't be forwarded
	NoRoute                        // no route matches the host and path
	Unauthenticated                // the API key is missing or unknown
	NotExported                    // the partner mesh does not export the target
	TooLarge                       // the request exceeds a size limit
	LimitExceeded                  // the tenant exceeds its rate limit
	NotReady                       // no configuration is known yet
	NoCapacity                     // no upstream can accept the request now; it has not run
	Misdirected                    // the addressed upstream instance is not on this machine, or no longer; the request has not run
	IncompleteResponse             // an attempt ended without a complete response; the request may have run
	DeadlineExceeded               // the deadline passed during an attempt; the request may still run
	ShuttingDown                   // the process shuts down during an attempt; the request may have run

	UnknownCall                 // the control API has no such call
	UnreadableBody              // the request body can't be read completely
	InvalidConfiguration        // the configuration is invalid
	VersionConflict             // the change builds on a version that is not current
	OutcomeUnknown              // no majority responded in time; the change may or may not take effect
	NoConfiguration             // no configuration has been stored yet
	KindCount            = iota // the number of kinds
)

// ErrorResponse is the response to a call that failed with an error of a kind.
type ErrorResponse struct {
	Status          int
	Name            string
	RetryAfter      time.Duration // value of the Retry-After header, 0 for none; only for requests that have not run
	CloseConnection bool          // the connection is closed, since the next request on it may be out of sync
}

// responses holds the response of each kind.
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

// Response returns the response of a kind.
func (k Kind) Response() ErrorResponse { return responses[k] }

// String returns the kind's name.
func (k Kind) String() string { return responses[k].Name }

// NotExecuted reports whether the response states that the request has not run and never will.
func (k Kind) NotExecuted() bool { return StatusNotExecuted(responses[k].Status) }

// StatusNotExecuted reports whether the mesh takes a response with a status as a statement that the request has not run
// and never will.
func StatusNotExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusMisdirectedRequest, http.StatusRequestTimeout:
		return true
	}
	return false
}

// Error is an error with a kind.
type Error struct {
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Kind.String() + ": " + e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.Err }

// New returns an error of a kind.
func New(k Kind, format string, args ...any) *Error { return &Error{k, errs.New(format, args...)} }

// KindOf returns the kind of an error: None for nil, and OutcomeUnknown for an error that is not an *Error.
func KindOf(err error) Kind {
	if err == nil {
		return None
	}
	if e, is := err.(*Error); is {
		return e.Kind
	}
	return OutcomeUnknown
}

// Write writes the response of a kind. The Retry-After value is the larger of retryAfter and the kind's own. An empty
// text stands for the kind's name.
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
