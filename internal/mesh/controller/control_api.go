package controller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
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
	bodyTimeout           = 15 * time.Second
)

// office answers the operator: one dispatch on method, path and call.
func (c *Controller) serveControl(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != "/-/rpc" {
		apierror.Write(w, apierror.NoCall, 0, "")
		return
	}
	call := r.URL.Query().Get("call")
	c.counts.Add("call_" + strings.ReplaceAll(call, ".", "_"))
	var err error
	var body []byte
	switch call {
	case "timetable.fetch":
		var s *consensus.State
		if s, err = c.fetchConfiguration(r.Context()); err == nil {
			body = s.Configuration
		}
	case "timetable.replace":
		err = c.changeConfiguration(w, r, call, func(_ *routing.Configuration, raw []byte) (*routing.Configuration, error) { return routing.Parse(raw) })
	case "timetable.amend":
		err = c.changeConfiguration(w, r, call, func(now *routing.Configuration, raw []byte) (*routing.Configuration, error) {
			if now == nil {
				return nil, apierror.New(apierror.Stale, "there is nothing yet to amend")
			}
			return now.Amend(raw)
		})
	default:
		err = apierror.New(apierror.NoCall, "no call is named %q", call)
	}
	kind := apierror.Of(err)
	c.counts.Add("answer_" + kind.String())
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
		return nil, apierror.New(apierror.Absent, "no configuration has been put")
	}
	return s, nil
}

func unclear(err error) error {
	var known *apierror.Error
	if errors.As(err, &known) {
		return known
	}
	return apierror.New(apierror.Unclear, "%v", err)
}

// put takes a change of the configuration: compare and set at the agreed state.
func (c *Controller) changeConfiguration(w http.ResponseWriter, r *http.Request, call string, make func(now *routing.Configuration, raw []byte) (*routing.Configuration, error)) error {
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxConfigurationBytes+1))
	if err != nil {
		return apierror.New(apierror.Unreadable, "the body is cut: %v", err)
	}
	if len(raw) > maxConfigurationBytes {
		return apierror.New(apierror.TooLong, "more than %d bytes", maxConfigurationBytes)
	}
	match, err := strconv.ParseInt(strings.Trim(strings.TrimSpace(r.Header.Get("If-Match")), `"`), 10, 64)
	if err != nil {
		return apierror.New(apierror.Invalid, "If-Match: %q is no version", r.Header.Get("If-Match"))
	}
	began := time.Now()
	within := answerTimeout + time.Duration(len(raw)>>10)*3*time.Millisecond/4
	ctx, end := context.WithTimeout(r.Context(), within)
	defer end()
	digest := routing.Digest(call, raw)
	var edition int64
	next, err := c.replicator.change(ctx, c.otherControllers, func(s *consensus.State) (*consensus.State, error) {
		now, err := c.parsedConfiguration(s)
		if err != nil {
			return nil, err
		}
		t, err := make(now, raw)
		if t != nil {
			if edition = t.Edition; s.HasApplied(edition, digest) {
				return nil, nil // this very change has been taken
			}
		}
		if s.Edition != match {
			// An amendment may read differently on top of another version, and yet have been taken.
			if slices.ContainsFunc(s.AppliedChanges, func(t consensus.AppliedChange) bool { return t.Digest == digest }) {
				return nil, nil
			}
			return nil, apierror.New(apierror.Stale, "version %d is current, not %d", s.Edition, match)
		}
		if err != nil {
			var known *apierror.Error
			if errors.As(err, &known) {
				return nil, known
			}
			return nil, apierror.New(apierror.Invalid, "%v", err)
		}
		if t.Edition <= s.Edition {
			return nil, apierror.New(apierror.Invalid, "Edition: %d is not above %d", t.Edition, s.Edition)
		}
		return s.WithConfiguration(t.Edition, t.Document(), digest), nil
	})
	if err != nil {
		return unclear(err)
	}
	c.log.Info("timetable", "call", call, "match", match, "edition", edition, "index", next.Index, "bytes", len(raw), "took", time.Since(began))
	return nil
}

// table is the configuration of a state, read once; nil where there is none.
func (c *Controller) parsedConfiguration(s *consensus.State) (*routing.Configuration, error) {
	if s.Edition == 0 {
		return nil, nil
	}
	c.parsed.Lock()
	defer c.parsed.Unlock()
	if c.parsed.table == nil || c.parsed.table.Edition != s.Edition {
		t, err := routing.Parse(s.Configuration)
		if err != nil {
			return nil, apierror.New(apierror.Unclear, "what is agreed can't be read: %v", err)
		}
		c.parsed.table = t
	}
	return c.parsed.table, nil
}
