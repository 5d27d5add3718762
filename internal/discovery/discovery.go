// Package discovery follows the list of upstreams and tells of each change.
package discovery

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fastjson"

	"ottershift/internal/lists"
	"ottershift/internal/roster"
	"ottershift/logic"
)

const (
	beat     = 2 * time.Second         // an empty line comes at least so often
	silence  = 2*beat + beat/10        // after which a watch is broken
	mostLine = 16 << 20                // bytes of one report
	path     = "/catalog/members"      // of the list
	millisec = int64(time.Millisecond) // of since_ms, in nanoseconds
	soonest  = 250 * time.Millisecond  // until a broken watch is opened anew, where the module doesn't say
	latest   = 4 * time.Second         // and after many failures
	urgent   = 500 * time.Millisecond  // but where nothing has been heard at an address yet
)

// Unknown is the version of a list where none was told.
const Unknown = -1

var errMoved = errors.New("moved to another address")

// Report is the list, or what changed of it.
type Report struct {
	Index   int64
	Whole   bool
	Entries []roster.Entry[string]
}

// Read decodes one report. Entries that make no sense are left out and counted.
func Read(v *fastjson.Value) (r Report, odd int, err error) {
	if v.Type() != fastjson.TypeObject || v.Get("endpoints").Type() != fastjson.TypeArray {
		return r, 0, errors.New("not a list of endpoints")
	}
	r.Index, r.Whole = v.GetInt64("index"), v.GetBool("snapshot")
	for _, e := range v.GetArray("endpoints") {
		name, address := string(e.GetStringBytes("name")), string(e.GetStringBytes("address"))
		status := string(e.GetStringBytes("status"))
		if name == "" || address == "" && status != "DELETED" ||
			status != "SERVING" && status != "DRAINING" && status != "DELETED" {
			odd++
			continue
		}
		weight := 1.0
		if e.Exists("weight") {
			weight = e.GetFloat64("weight")
		}
		r.Entries = append(r.Entries, roster.Entry[string]{
			Name: name, Zone: string(e.GetStringBytes("zone")), Kind: string(e.GetStringBytes("type")), Address: address,
			Upstream: logic.Upstream{
				ID: roster.NameHash(name), Weight: weight, Cell: e.GetInt("group"),
				StartedAt: e.GetInt64("since_ms") * millisec,
			},
			Removed: status == "DELETED", Draining: status == "DRAINING",
		})
	}
	return r, odd, nil
}

// Watch follows discovery at one address at a time.
type Watch struct {
	sink      lists.Sink
	log       *slog.Logger
	asked     bool // only when the module asks
	transport *http.Transport

	mu      sync.Mutex
	address string
	index   int64
	end     context.CancelCauseFunc // of the watch that is open
	moved   chan struct{}
	odd     int // entries of the last report that made no sense, told once
}

// New makes a watch that goes on after the version that is known already.
func New(sink lists.Sink, log *slog.Logger, address string, asked bool, index int64, dial time.Duration) *Watch {
	return &Watch{
		sink: sink, log: log, address: address, asked: asked, index: index, moved: make(chan struct{}, 1),
		transport: &http.Transport{
			DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: 32 << 10,
			DialContext: (&net.Dialer{Timeout: dial}).DialContext,
		},
	}
}

// Move has the list followed at another address from now on, and tells whether it is another.
func (w *Watch) Move(address string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address == w.address {
		return false
	}
	// Danger: a version of the old address may stand for something else at the new one, and what has changed
	// since would never be told.
	w.address, w.index = address, Unknown
	if w.end != nil {
		w.end(errMoved)
	}
	select {
	case w.moved <- struct{}{}:
	default: // the last move has not been noticed yet
	}
	return true
}

// Run implements lists.Source.
func (w *Watch) Run(ctx context.Context) {
	for pause := soonest; ; {
		if w.asked {
			select {
			case <-w.sink.Follow():
			case <-ctx.Done():
				return
			}
		}
		heard, err := w.follow(ctx)
		for errors.Is(err, errMoved) && ctx.Err() == nil {
			pause = soonest
			heard, err = w.follow(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		w.log.Warn("watch", "step", "broken", "heard", heard, "fault", err)
		w.sink.Unlisted()
		if w.asked {
			continue // the module says when to ask again
		}
		if heard {
			pause = soonest
		}
		select {
		case <-time.After(pause/2 + rand.N(pause)):
			// Danger: after a move the list in hand grows old, and what it doesn't tell is held against us soon.
			if pause = min(2*pause, latest); w.unheard() {
				pause = min(pause, urgent)
			}
		case <-w.moved:
			pause = soonest
		case <-ctx.Done():
			return
		}
	}
}

// follow opens one watch and reads it to its end.
func (w *Watch) follow(within context.Context) (heard bool, err error) {
	ctx, end := context.WithCancelCause(within)
	defer end(nil)
	select {
	case <-w.moved: // noticed herewith
	default:
	}
	w.mu.Lock()
	address, index := w.address, w.index
	w.end = end
	w.mu.Unlock()
	// Danger: a machine that is cut off says nothing, and the connection stays open.
	silent := time.AfterFunc(silence, func() { end(errors.New("silent for two beats")) })
	defer silent.Stop()
	query := "watch=1"
	if index != Unknown {
		query += "&after=" + strconv.FormatInt(index, 10)
	}
	asked := time.Now()
	answer, err := w.open(ctx, address, query)
	if err != nil {
		return false, cause(ctx, err)
	}
	defer answer.Body.Close()
	w.log.Info("watch", "step", "open", "after", index, "took", time.Since(asked).Round(time.Millisecond))
	lines := bufio.NewReaderSize(answer.Body, 64<<10)
	var parser fastjson.Parser
	var line []byte
	for {
		part, err := lines.ReadSlice('\n')
		if err != nil && err != bufio.ErrBufferFull {
			if err == io.EOF {
				err = errors.New("ended")
			}
			return heard, cause(ctx, err)
		}
		silent.Reset(silence)
		if line = append(line, part...); len(line) > mostLine {
			return heard, errors.New("a report is too long")
		}
		if err != nil {
			continue
		}
		if text := bytes.TrimSpace(line); len(text) > 0 {
			v, err := parser.ParseBytes(text)
			if err != nil {
				return heard, err
			}
			// One call does: discovery is small, and a second one each would have it turn balancers away. Danger:
			// changes say nothing of what changed before them, so the whole list must have come at some time.
			if w.unheard() && !v.GetBool("snapshot") {
				if err := w.whole(ctx, address); err != nil {
					return heard, cause(ctx, err)
				}
				silent.Reset(silence)
			}
			if err := w.take(ctx, v, false); err != nil {
				return heard, cause(ctx, err)
			}
			heard = true
		}
		line = line[:0]
	}
}

// open asks discovery something.
func (w *Watch) open(ctx context.Context, address, query string) (*http.Response, error) {
	answer, err := w.transport.RoundTrip((&http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query},
		Header: http.Header{"User-Agent": {""}},
	}).WithContext(ctx))
	if err == nil && answer.StatusCode != http.StatusOK {
		answer.Body.Close()
		err = fmt.Errorf("status %d", answer.StatusCode)
	}
	return answer, err
}

// unheard reports whether an address has told nothing yet.
func (w *Watch) unheard() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.index == Unknown
}

// whole takes the whole list.
func (w *Watch) whole(ctx context.Context, address string) error {
	answer, err := w.open(ctx, address, "")
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, mostLine))
	if err != nil {
		return err
	}
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return err
	}
	return w.take(ctx, v, true)
}

// take hands a report on, unless the watch has been ended meanwhile.
func (w *Watch) take(ctx context.Context, v *fastjson.Value, whole bool) error {
	r, odd, err := Read(v)
	if err != nil {
		return err
	}
	if was := w.odd; odd > 0 && odd != was {
		w.log.Warn("watch", "step", "odd", "entries", odd)
	}
	w.odd = odd
	w.mu.Lock()
	if err = ctx.Err(); err == nil {
		// Danger: after a restart of discovery its versions may start anew; the last one told counts, not the highest.
		w.index = r.Index
	}
	w.mu.Unlock()
	if err == nil {
		w.log.Info("watch", "step", "told", "index", r.Index, "whole", r.Whole || whole, "entries", len(r.Entries))
		w.sink.List(r.Entries, r.Whole || whole)
	}
	return err
}

// cause prefers why we ended a watch to how the library put it.
func cause(ctx context.Context, err error) error {
	if why := context.Cause(ctx); why != nil {
		return why
	}
	return err
}
