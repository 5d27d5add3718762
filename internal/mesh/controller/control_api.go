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
	answerTimeout         = 900 * time.Millisecond // callers try another controller after one second
	answerTimeoutPerKiB   = 750 * time.Microsecond // added for large bodies, for which callers wait longer
	bodyTimeout           = 15 * time.Second
)

// serveControl serves the control API for operators and dispatches on method, path and call.
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
		var state *consensus.State
		if state, err = c.fetchConfiguration(r.Context()); err == nil {
			body = state.Configuration
		}
	case callReplace, callAmend:
		err = c.changeConfiguration(w, r, call)
	default:
		err = apierror.New(apierror.UnknownCall, "unknown call %q", call)
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
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	state, err := c.replicator.linearizableRead(ctx, c.otherControllers)
	if err != nil {
		return nil, asAPIError(err)
	}
	if state.Edition == 0 {
		return nil, apierror.New(apierror.NoConfiguration, "no configuration has been set")
	}
	return state, nil
}

func asAPIError(err error) error {
	var apiError *apierror.Error
	if errors.As(err, &apiError) {
		return apiError
	}
	return apierror.New(apierror.OutcomeUnknown, "%v", err)
}

// changeConfiguration handles a configuration update: a compare-and-set on the agreed state.
func (c *Controller) changeConfiguration(w http.ResponseWriter, r *http.Request, call string) error {
	update, err := readUpdate(w, r, call)
	if err != nil {
		return err
	}
	started := time.Now()
	ctx, cancel := context.WithTimeout(r.Context(), updateTimeout(len(update.body)))
	defer cancel()
	submit := c.submitUpdate
	if submit == nil {
		submit = c.agreeOnUpdate
	}
	next, err := submit(ctx, update)
	if err != nil {
		return asAPIError(err)
	}
	c.log.Info("configuration", "call", call, "base", update.base, "edition", update.edition, "index", next.Index,
		"bytes", len(update.body), "took", time.Since(started))
	return nil
}

// readUpdate reads the complete request of an update. It rejects only requests that no controller can have applied:
// truncated or oversized bodies, and those without a base version.
func readUpdate(w http.ResponseWriter, r *http.Request, call string) (*configurationUpdate, error) {
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(io.LimitReader(r.Body, maxConfigurationBytes+1))
	if err != nil {
		return nil, apierror.New(apierror.UnreadableBody, "the request body could not be read completely: %v", err)
	}
	if len(body) > maxConfigurationBytes {
		return nil, apierror.New(apierror.TooLarge, "the request body exceeds %d bytes", maxConfigurationBytes)
	}
	match := r.Header.Get("If-Match")
	base, err := strconv.ParseInt(strings.Trim(strings.TrimSpace(match), `"`), 10, 64)
	if err != nil {
		return nil, apierror.New(apierror.InvalidConfiguration, "If-Match: %q is not a version number", match)
	}
	return newConfigurationUpdate(call, base, body), nil
}

// updateTimeout returns the time limit for answering an update after its body has been read.
func updateTimeout(bodyBytes int) time.Duration {
	return answerTimeout + time.Duration(bodyBytes>>10)*answerTimeoutPerKiB
}

// agreeOnUpdate has the core agree on the state after an update. An update that was already applied or is rejected
// changes nothing.
func (c *Controller) agreeOnUpdate(ctx context.Context, update *configurationUpdate) (*consensus.State, error) {
	return c.replicator.changeIdempotent(ctx, c.otherControllers, func(newest *consensus.State) (*consensus.State, error) {
		return update.decide(newest, func() (*routing.Configuration, error) { return c.parsedConfiguration(newest) })
	})
}
