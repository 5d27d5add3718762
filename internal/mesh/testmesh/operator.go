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

// Outcome is what an operator knows of an order after one or more tries.
type Outcome uint8

// Outcomes of an order.
const (
	OutcomeUnknown   Outcome = iota // no answer, or one that says nothing: it may count, now or later
	OutcomeConfirmed                // 200
	OutcomeStale                    // 412
	OutcomeInvalid                  // 400
)

func (o Outcome) String() string {
	return [...]string{"unclear", "confirmed", "stale", "invalid"}[o]
}

// Update is one order of an operator. Its tries are alike byte for byte.
type Update struct {
	ID          int // unique among those of a test; stands in the configuration
	BaseVersion int64
	Version     int64
	Body        string
}

// NewUpdate makes an order that replaces the whole configuration.
func NewUpdate(id int, baseVersion, version int64) *Update {
	body := fmt.Sprintf(`{"Edition":%d,"Depots":[{"Name":"album","HealthPath":"/health"}],"PostOffices":[{"Town":"a.example","Regulations":[`+
		`{"Name":"order-%d","MailClass":"repeatable","Sorting":{"StreetPrefix":"/"},"Dispatch":{"Destination":"album","Deadline":"2000ms","DeliveryTries":2}}]}]}`, version, id)
	return &Update{ID: id, BaseVersion: baseVersion, Version: version, Body: body}
}

// Response is one answer to an operator; Status 0 stands for none.
type Response struct {
	Status   int
	Text     string
	Duration time.Duration
}

// Outcome is what an answer to an order says of it.
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

// OperatorHost names the operators' end of a link to a control machine.
const OperatorHost = "operator"

// Operator calls control machines over links that may be in trouble, and moves on after a second of silence.
type Operator struct {
	Controllers []string // addresses
	client      *http.Client
}

// NewOperator makes an operator who knows some control machines.
func NewOperator(links *Links, controllers []string) *Operator {
	transport := links.Transport(OperatorHost)(&http.Transport{DisableKeepAlives: true})
	return &Operator{Controllers: controllers, client: &http.Client{Transport: transport, Timeout: time.Second}}
}

// Send tries an order once at one machine.
func (o *Operator) Send(ctx context.Context, controller int, update *Update) Response {
	return o.Call(ctx, controller, "timetable.replace", strconv.FormatInt(update.BaseVersion, 10), update.Body)
}

// Call makes one call at one machine.
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
