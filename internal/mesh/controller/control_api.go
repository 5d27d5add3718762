package controller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"ottershift/internal/mesh/apierror"
	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/routing"
)

const (
	maxConfigurationBytes = 64 << 20
	answerTimeout         = 900 * time.Millisecond // callers move on after a second of silence
	answerTimeoutPerKiB   = 750 * time.Microsecond // and wait longer for the answer to a large body
	bodyTimeout           = 15 * time.Second
)

// serveControl answers the operator: one dispatch on method, path and call.
func (c *Controller) serveControl(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != "/-/rpc" {
		apierror.Write(w, apierror.UnknownCall, 0, "")
		return
	}
	call := r.URL.Query().Get("call")
	c.counts.Increment("call_" + strings.ReplaceAll(call, ".", "_"))
	var err error
	var body []byte
	switch call {
	case "timetable.fetch":
		var s *consensus.State
		if s, err = c.fetchConfiguration(r.Context()); err == nil {
			body = s.Configuration
		}
	case callReplace, callAmend:
		err = c.changeConfiguration(w, r, call)
	default:
		err = apierror.New(apierror.UnknownCall, "no call is named %q", call)
	}
	kind := apierror.KindOf(err)
	c.counts.Increment("answer_" + kind.String())
	if kind != apierror.None {
		c.log.Info("call", "call", call, "kind", kind.String(), "err", err)
		apierror.Write(w, kind, 0, err.Error())
		return
	}
	w.Header()["Content-Type"] = []string{"application/json"}
	if body == nil {
		body = []byte("{}")
	}
	w.Header()["Content-Length"] = []string{strconv.Itoa(len(body))}
	w.Write(body)
}

func (c *Controller) fetchConfiguration(ctx context.Context) (*consensus.State, error) {
	ctx, end := context.WithTimeout(ctx, answerTimeout)
	defer end()
	s, err := c.replicator.newest(ctx, c.otherControllers)
	if err != nil {
		return nil, unclear(err)
	}
	if s.Edition == 0 {
		return nil, apierror.New(apierror.NoConfiguration, "no configuration has been put")
	}
	return s, nil
}

func unclear(err error) error {
	var known *apierror.Error
	if errors.As(err, &known) {
		return known
	}
	return apierror.New(apierror.OutcomeUnknown, "%v", err)
}

// changeConfiguration takes an order to change the configuration: compare and set at the agreed state.
func (c *Controller) changeConfiguration(w http.ResponseWriter, r *http.Request, call string) error {
	order, err := readOrder(w, r, call)
	if err != nil {
		return err
	}
	began := time.Now()
	ctx, end := context.WithTimeout(r.Context(), orderTimeout(len(order.body)))
	defer end()
	submit := c.submitOrder
	if submit == nil {
		submit = c.agreeOnOrder
	}
	next, err := submit(ctx, order)
	if err != nil {
		return unclear(err)
	}
	c.log.Info("configuration", "call", call, "base", order.base, "edition", order.edition, "index", next.Index, "bytes", len(order.body), "took", time.Since(began))
	return nil
}

// readOrder reads an order whole. What it refuses was never read whole by anybody, or names no version.
func readOrder(w http.ResponseWriter, r *http.Request, call string) (*configurationOrder, error) {
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(io.LimitReader(r.Body, maxConfigurationBytes+1))
	if err != nil {
		return nil, apierror.New(apierror.UnreadableBody, "the body is cut: %v", err)
	}
	if len(body) > maxConfigurationBytes {
		return nil, apierror.New(apierror.TooLarge, "more than %d bytes", maxConfigurationBytes)
	}
	match := r.Header.Get("If-Match")
	base, err := strconv.ParseInt(strings.Trim(strings.TrimSpace(match), `"`), 10, 64)
	if err != nil {
		return nil, apierror.New(apierror.InvalidConfiguration, "If-Match: %q is no version", match)
	}
	return newConfigurationOrder(call, base, body), nil
}

// orderTimeout is within what time an order is answered, once its body has been read.
func orderTimeout(bodyBytes int) time.Duration {
	return answerTimeout + time.Duration(bodyBytes>>10)*answerTimeoutPerKiB
}

// agreeOnOrder has the core agree on the state after an order. One that was applied or has to be refused changes nothing.
func (c *Controller) agreeOnOrder(ctx context.Context, order *configurationOrder) (*consensus.State, error) {
	return c.replicator.changeUnlessSettled(ctx, c.otherControllers, func(newest *consensus.State) (*consensus.State, error) {
		return order.decide(newest, func() (*routing.Configuration, error) { return c.parsedConfiguration(newest) })
	})
}
