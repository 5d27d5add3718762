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
	OutcomeUnclear   Outcome = iota // no answer, or one that says nothing: it may count, now or later
	OutcomeConfirmed                // 200
	OutcomeStale                    // 412
	OutcomeInvalid                  // 400
)

func (o Outcome) String() string {
	return [...]string{"unclear", "confirmed", "stale", "invalid"}[o]
}

// Order is one order of an operator. Its tries are alike byte for byte.
type Order struct {
	ID      int // unique among those of a test; stands in the configuration
	Base    int64
	Edition int64
	Body    string
}

// NewOrder makes an order that replaces the whole configuration.
func NewOrder(id int, base, edition int64) *Order {
	body := fmt.Sprintf(`{"Edition":%d,"Depots":[{"Name":"album","HealthPath":"/health"}],"PostOffices":[{"Town":"a.example","Regulations":[`+
		`{"Name":"order-%d","MailClass":"repeatable","Sorting":{"StreetPrefix":"/"},"Dispatch":{"Destination":"album","Deadline":"2000ms","DeliveryTries":2}}]}]}`, edition, id)
	return &Order{ID: id, Base: base, Edition: edition, Body: body}
}

// Answer is one answer to an operator; Status 0 stands for none.
type Answer struct {
	Status int
	Text   string
	Took   time.Duration
}

// Outcome is what an answer to an order says of it.
func (a Answer) Outcome() Outcome {
	switch a.Status {
	case http.StatusOK:
		return OutcomeConfirmed
	case http.StatusPreconditionFailed:
		return OutcomeStale
	case http.StatusBadRequest:
		return OutcomeInvalid
	}
	return OutcomeUnclear
}

// OperatorHost names the operators' end of a link to a control machine.
const OperatorHost = "operator"

// Operator calls control machines over links that may be in trouble, and moves on after a second of silence.
type Operator struct {
	Controls []string // addresses
	client   *http.Client
}

// NewOperator makes an operator who knows some control machines.
func NewOperator(links *Links, controls []string) *Operator {
	transport := links.Transport(OperatorHost)(&http.Transport{DisableKeepAlives: true})
	return &Operator{Controls: controls, client: &http.Client{Transport: transport, Timeout: time.Second}}
}

// Send tries an order once at one machine.
func (o *Operator) Send(ctx context.Context, at int, order *Order) Answer {
	return o.Call(ctx, at, "timetable.replace", strconv.FormatInt(order.Base, 10), order.Body)
}

// Call makes one call at one machine.
func (o *Operator) Call(ctx context.Context, at int, call, match, body string) Answer {
	began := time.Now()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.Controls[at]+"/-/rpc?call="+call, strings.NewReader(body))
	if err != nil {
		return Answer{Text: err.Error()}
	}
	r.Header.Set("If-Match", match)
	w, err := o.client.Do(r)
	if err != nil {
		return Answer{Text: err.Error(), Took: time.Since(began)}
	}
	defer w.Body.Close()
	text, err := io.ReadAll(w.Body)
	if err != nil {
		return Answer{Text: err.Error(), Took: time.Since(began)}
	}
	return Answer{Status: w.StatusCode, Text: string(text), Took: time.Since(began)}
}
