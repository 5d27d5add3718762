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
	heartbeatInterval   = 2 * time.Second                            // an empty line comes at least so often
	silenceTimeout      = 2*heartbeatInterval + heartbeatInterval/10 // after which a watch is broken
	maxReportBytes      = 16 << 20                                   // bytes of one report
	listPath            = "/catalog/members"                         // of the list
	nanosPerMilli       = int64(time.Millisecond)                    // of since_ms, in nanoseconds
	minReconnectDelay   = 250 * time.Millisecond                     // until a broken watch is opened anew, where the module doesn't say
	maxReconnectDelay   = 4 * time.Second                            // and after many failures
	maxFirstReportDelay = 500 * time.Millisecond                     // but where nothing has been heard at an address yet
)

// UnknownVersion is the version of a list where none was told.
const UnknownVersion = -1

var errAddressChanged = errors.New("moved to another address")

// Report is the list, or what changed of it.
type Report struct {
	Version int64
	Full    bool
	Entries []roster.Entry[string]
}

// ParseReport decodes one report. Entries that make no sense are left out and counted.
func ParseReport(value *fastjson.Value) (report Report, invalid int, err error) {
	if value.Type() != fastjson.TypeObject || value.Get("endpoints").Type() != fastjson.TypeArray {
		return report, 0, errors.New("not a list of endpoints")
	}
	report.Version, report.Full = value.GetInt64("index"), value.GetBool("snapshot")
	for _, entry := range value.GetArray("endpoints") {
		name, address := string(entry.GetStringBytes("name")), string(entry.GetStringBytes("address"))
		status := string(entry.GetStringBytes("status"))
		if name == "" || address == "" && status != "DELETED" ||
			status != "SERVING" && status != "DRAINING" && status != "DELETED" {
			invalid++
			continue
		}
		weight := 1.0
		if entry.Exists("weight") {
			weight = entry.GetFloat64("weight")
		}
		report.Entries = append(report.Entries, roster.Entry[string]{
			Name: name, Zone: string(entry.GetStringBytes("zone")), Kind: string(entry.GetStringBytes("type")), Address: address,
			Up: logic.Upstream{
				ID: roster.Number(name), Weight: weight, Cell: entry.GetInt("group"),
				StartedAt: entry.GetInt64("since_ms") * nanosPerMilli,
			},
			Gone: status == "DELETED", Ends: status == "DRAINING",
		})
	}
	return report, invalid, nil
}

// Watch follows discovery at one address at a time.
type Watch struct {
	sink      lists.Sink
	log       *slog.Logger
	onDemand  bool // only when the module asks
	transport *http.Transport

	mu             sync.Mutex
	address        string
	version        int64
	cancel         context.CancelCauseFunc // of the watch that is open
	addressChanged chan struct{}
	invalidEntries int // entries of the last report that made no sense, told once
}

// New makes a watch that goes on after the version that is known already.
func New(sink lists.Sink, log *slog.Logger, address string, onDemand bool, version int64, dialTimeout time.Duration) *Watch {
	return &Watch{
		sink: sink, log: log, address: address, onDemand: onDemand, version: version, addressChanged: make(chan struct{}, 1),
		transport: &http.Transport{
			DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: 32 << 10,
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
		},
	}
}

// SetAddress has the list followed at another address from now on, and tells whether it is another.
func (watch *Watch) SetAddress(address string) bool {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	if address == watch.address {
		return false
	}
	// Danger: a version of the old address may stand for something else at the new one, and what has changed
	// since would never be told.
	watch.address, watch.version = address, UnknownVersion
	if watch.cancel != nil {
		watch.cancel(errAddressChanged)
	}
	select {
	case watch.addressChanged <- struct{}{}:
	default: // the last move has not been noticed yet
	}
	return true
}

// Run implements lists.Source.
func (watch *Watch) Run(ctx context.Context) {
	for delay := minReconnectDelay; ; {
		if watch.onDemand {
			select {
			case <-watch.sink.Requested():
			case <-ctx.Done():
				return
			}
		}
		received, err := watch.readStream(ctx)
		for errors.Is(err, errAddressChanged) && ctx.Err() == nil {
			delay = minReconnectDelay
			received, err = watch.readStream(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		watch.log.Warn("watch", "step", "broken", "heard", received, "fault", err)
		watch.sink.SourceLost()
		if watch.onDemand {
			continue // the module says when to ask again
		}
		if received {
			delay = minReconnectDelay
		}
		select {
		case <-time.After(delay/2 + rand.N(delay)):
			// Danger: after a move the list in hand grows old, and what it doesn't tell is held against us soon.
			if delay = min(2*delay, maxReconnectDelay); watch.awaitingFirstReport() {
				delay = min(delay, maxFirstReportDelay)
			}
		case <-watch.addressChanged:
			delay = minReconnectDelay
		case <-ctx.Done():
			return
		}
	}
}

// readStream opens one watch and reads it to its end.
func (watch *Watch) readStream(parent context.Context) (received bool, err error) {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	select {
	case <-watch.addressChanged: // noticed herewith
	default:
	}
	watch.mu.Lock()
	address, version := watch.address, watch.version
	watch.cancel = cancel
	watch.mu.Unlock()
	// Danger: a machine that is cut off says nothing, and the connection stays open.
	silenceTimer := time.AfterFunc(silenceTimeout, func() { cancel(errors.New("silent for two beats")) })
	defer silenceTimer.Stop()
	query := "watch=1"
	if version != UnknownVersion {
		query += "&after=" + strconv.FormatInt(version, 10)
	}
	requestedAt := time.Now()
	response, err := watch.request(ctx, address, query)
	if err != nil {
		return false, cause(ctx, err)
	}
	defer response.Body.Close()
	watch.log.Info("watch", "step", "open", "after", version, "took", time.Since(requestedAt).Round(time.Millisecond))
	lines := bufio.NewReaderSize(response.Body, 64<<10)
	var parser fastjson.Parser
	var line []byte
	for {
		part, err := lines.ReadSlice('\n')
		if err != nil && err != bufio.ErrBufferFull {
			if err == io.EOF {
				err = errors.New("ended")
			}
			return received, cause(ctx, err)
		}
		silenceTimer.Reset(silenceTimeout)
		if line = append(line, part...); len(line) > maxReportBytes {
			return received, errors.New("a report is too long")
		}
		if err != nil {
			continue
		}
		if text := bytes.TrimSpace(line); len(text) > 0 {
			value, err := parser.ParseBytes(text)
			if err != nil {
				return received, err
			}
			// One call does: discovery is small, and a second one each would have it turn balancers away. Danger:
			// changes say nothing of what changed before them, so the whole list must have come at some time.
			if watch.awaitingFirstReport() && !value.GetBool("snapshot") {
				if err := watch.fetchFullList(ctx, address); err != nil {
					return received, cause(ctx, err)
				}
				silenceTimer.Reset(silenceTimeout)
			}
			if err := watch.apply(ctx, value, false); err != nil {
				return received, cause(ctx, err)
			}
			received = true
		}
		line = line[:0]
	}
}

// request asks discovery something.
func (watch *Watch) request(ctx context.Context, address, query string) (*http.Response, error) {
	response, err := watch.transport.RoundTrip((&http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: address, Path: listPath, RawQuery: query},
		Header: http.Header{"User-Agent": {""}},
	}).WithContext(ctx))
	if err == nil && response.StatusCode != http.StatusOK {
		response.Body.Close()
		err = fmt.Errorf("status %d", response.StatusCode)
	}
	return response, err
}

// awaitingFirstReport reports whether an address has told nothing yet.
func (watch *Watch) awaitingFirstReport() bool {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	return watch.version == UnknownVersion
}

// fetchFullList takes the whole list.
func (watch *Watch) fetchFullList(ctx context.Context, address string) error {
	response, err := watch.request(ctx, address, "")
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return err
	}
	value, err := fastjson.ParseBytes(text)
	if err != nil {
		return err
	}
	return watch.apply(ctx, value, true)
}

// apply hands a report on, unless the watch has been ended meanwhile.
func (watch *Watch) apply(ctx context.Context, value *fastjson.Value, full bool) error {
	report, invalid, err := ParseReport(value)
	if err != nil {
		return err
	}
	if before := watch.invalidEntries; invalid > 0 && invalid != before {
		watch.log.Warn("watch", "step", "odd", "entries", invalid)
	}
	watch.invalidEntries = invalid
	watch.mu.Lock()
	if err = ctx.Err(); err == nil {
		// Danger: after a restart of discovery its versions may start anew; the last one told counts, not the highest.
		watch.version = report.Version
	}
	watch.mu.Unlock()
	if err == nil {
		watch.log.Info("watch", "step", "told", "index", report.Version, "whole", report.Full || full, "entries", len(report.Entries))
		watch.sink.Update(report.Entries, report.Full || full)
	}
	return err
}

// cause prefers why we ended a watch to how the library put it.
func cause(ctx context.Context, err error) error {
	if reason := context.Cause(ctx); reason != nil {
		return reason
	}
	return err
}
