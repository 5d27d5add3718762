package comb

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"ottershift/internal/hive/dance"
	"ottershift/internal/hive/sting"
	"ottershift/internal/hive/swarm"
)

const (
	mostConfig   = 64 << 20
	answerWithin = 900 * time.Millisecond // callers move on after a second of silence
	bodyWithin   = 15 * time.Second
)

// office answers the operator: one dispatch on method, path and call.
func (c *Comb) office(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != "/-/rpc" {
		sting.Write(w, sting.NoCall, 0, "")
		return
	}
	call := r.URL.Query().Get("call")
	c.counts.Add("call_" + strings.ReplaceAll(call, ".", "_"))
	var err error
	var body []byte
	switch call {
	case "timetable.fetch":
		var s *swarm.State
		if s, err = c.fetch(r.Context()); err == nil {
			body = s.Timetable
		}
	case "timetable.replace":
		err = c.put(w, r, call, func(_ *dance.Timetable, raw []byte) (*dance.Timetable, error) { return dance.Parse(raw) })
	case "timetable.amend":
		err = c.put(w, r, call, func(now *dance.Timetable, raw []byte) (*dance.Timetable, error) {
			if now == nil {
				return nil, sting.New(sting.Stale, "there is nothing yet to amend")
			}
			return now.Amend(raw)
		})
	default:
		err = sting.New(sting.NoCall, "no call is named %q", call)
	}
	kind := sting.Of(err)
	c.counts.Add("answer_" + kind.String())
	if kind != sting.None {
		c.log.Info("call", "call", call, "kind", kind.String(), "err", err)
		sting.Write(w, kind, 0, err.Error())
		return
	}
	w.Header()["Content-Type"] = []string{"application/json"}
	if body == nil {
		body = []byte("{}")
	}
	w.Header()["Content-Length"] = []string{strconv.Itoa(len(body))}
	w.Write(body)
}

func (c *Comb) fetch(ctx context.Context) (*swarm.State, error) {
	ctx, end := context.WithTimeout(ctx, answerWithin)
	defer end()
	s, err := c.keeper.newest(ctx, c.others)
	if err != nil {
		return nil, unclear(err)
	}
	if s.Edition == 0 {
		return nil, sting.New(sting.Absent, "no configuration has been put")
	}
	return s, nil
}

func unclear(err error) error {
	var known *sting.Error
	if errors.As(err, &known) {
		return known
	}
	return sting.New(sting.Unclear, "%v", err)
}

// put takes a change of the timetable: compare and set at the agreed state.
func (c *Comb) put(w http.ResponseWriter, r *http.Request, call string, make func(now *dance.Timetable, raw []byte) (*dance.Timetable, error)) error {
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyWithin))
	raw, err := io.ReadAll(io.LimitReader(r.Body, mostConfig+1))
	if err != nil {
		return sting.New(sting.Unreadable, "the body is cut: %v", err)
	}
	if len(raw) > mostConfig {
		return sting.New(sting.TooLong, "more than %d bytes", mostConfig)
	}
	match, err := strconv.ParseInt(strings.Trim(strings.TrimSpace(r.Header.Get("If-Match")), `"`), 10, 64)
	if err != nil {
		return sting.New(sting.Invalid, "If-Match: %q is no version", r.Header.Get("If-Match"))
	}
	began := time.Now()
	within := answerWithin + time.Duration(len(raw)>>10)*3*time.Millisecond/4
	ctx, end := context.WithTimeout(r.Context(), within)
	defer end()
	digest := dance.Digest(call, raw)
	var edition int64
	next, err := c.keeper.change(ctx, c.others, func(s *swarm.State) (*swarm.State, error) {
		now, err := c.table(s)
		if err != nil {
			return nil, err
		}
		t, err := make(now, raw)
		if t != nil {
			if edition = t.Edition; s.Was(edition, digest) {
				return nil, nil // this very change has been taken
			}
		}
		if s.Edition != match {
			// An amendment may read differently on top of another version, and yet have been taken.
			if slices.ContainsFunc(s.Taken, func(t swarm.Taken) bool { return t.Digest == digest }) {
				return nil, nil
			}
			return nil, sting.New(sting.Stale, "version %d is current, not %d", s.Edition, match)
		}
		if err != nil {
			var known *sting.Error
			if errors.As(err, &known) {
				return nil, known
			}
			return nil, sting.New(sting.Invalid, "%v", err)
		}
		if t.Edition <= s.Edition {
			return nil, sting.New(sting.Invalid, "Edition: %d is not above %d", t.Edition, s.Edition)
		}
		return s.Put(t.Edition, t.Doc(), digest), nil
	})
	if err != nil {
		return unclear(err)
	}
	c.log.Info("timetable", "call", call, "match", match, "edition", edition, "index", next.Index, "bytes", len(raw), "took", time.Since(began))
	return nil
}

// table is the timetable of a state, read once; nil where there is none.
func (c *Comb) table(s *swarm.State) (*dance.Timetable, error) {
	if s.Edition == 0 {
		return nil, nil
	}
	c.parsed.Lock()
	defer c.parsed.Unlock()
	if c.parsed.table == nil || c.parsed.table.Edition != s.Edition {
		t, err := dance.Parse(s.Timetable)
		if err != nil {
			return nil, sting.New(sting.Unclear, "what is agreed can't be read: %v", err)
		}
		c.parsed.table = t
	}
	return c.parsed.table, nil
}
