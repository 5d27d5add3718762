package testmesh

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Outcome is what an operator knows about an update after one or more attempts.
type Outcome uint8

// Outcomes of an update.
const (
	OutcomeUnknown   Outcome = iota // no response, or an inconclusive one: the update may take effect, now or later
	OutcomeConfirmed                // 200
	OutcomeStale                    // 412
	OutcomeInvalid                  // 400
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return [...]string{"unknown", "confirmed", "stale", "invalid"}[o]
}

// Update is an operator's update of the configuration. All attempts to send it are byte for byte the same.
type Update struct {
	ID          int // unique within a test; part of the configuration
	BaseVersion int64
	Version     int64
	Body        string
}

// NewUpdate returns an update that replaces the whole configuration.
func NewUpdate(id int, baseVersion, version int64) *Update {
	body := fmt.Sprintf(`{"Edition":%d,"Depots":[{"Name":"album","HealthPath":"/health"}],"PostOffices":[{"Town":"a.example","Regulations":[`+
		`{"Name":"order-%d","MailClass":"repeatable","Sorting":{"StreetPrefix":"/"},"Dispatch":{"Destination":"album","Deadline":"2000ms","DeliveryTries":2}}]}]}`, version, id)
	return &Update{ID: id, BaseVersion: baseVersion, Version: version, Body: body}
}

// Response is the response to one call of an operator. Status 0 stands for no response; Text is then the error.
type Response struct {
	Status   int
	Text     string
	Duration time.Duration
}

// Outcome returns the outcome that a response to an update shows.
func (r Response) Outcome() Outcome {
	switch r.Status {
	case http.StatusOK:
		return OutcomeConfirmed
	case http.StatusPreconditionFailed:
		return OutcomeStale
	case http.StatusBadRequest:
		return OutcomeInvalid
	}
	return OutcomeUnknown
}

// OperatorHost is the name of the operators' end of a link to a controller.
const OperatorHost = "operator"

// Operator calls controllers over links that may be faulty. Its calls time out after a second.
type Operator struct {
	Controllers []string // addresses
	client      *http.Client
}

// NewOperator returns an operator that calls the given controllers.
func NewOperator(links *Links, controllers []string) *Operator {
	transport := links.Transport(OperatorHost)(&http.Transport{DisableKeepAlives: true})
	return &Operator{Controllers: controllers, client: &http.Client{Transport: transport, Timeout: time.Second}}
}

// Send makes one attempt to send an update, to one controller.
func (o *Operator) Send(ctx context.Context, controller int, update *Update) Response {
	return o.Call(ctx, controller, "timetable.replace", strconv.FormatInt(update.BaseVersion, 10), update.Body)
}

// Call makes one call to one controller. ifMatch is the version that the call is based on.
func (o *Operator) Call(ctx context.Context, controller int, method, ifMatch, body string) Response {
	start := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.Controllers[controller]+"/-/rpc?call="+method, strings.NewReader(body))
	if err != nil {
		return Response{Text: err.Error()}
	}
	request.Header.Set("If-Match", ifMatch)
	response, err := o.client.Do(request)
	if err != nil {
		return Response{Text: err.Error(), Duration: time.Since(start)}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return Response{Text: err.Error(), Duration: time.Since(start)}
	}
	return Response{Status: response.StatusCode, Text: string(text), Duration: time.Since(start)}
}
