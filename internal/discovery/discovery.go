// Package discovery watches the list of upstreams at the discovery service and reports each change.
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
	heartbeatInterval   = 2 * time.Second                            // discovery sends an empty line at least this often
	silenceTimeout      = 2*heartbeatInterval + heartbeatInterval/10 // without any data, after which a watch is closed
	maxReportBytes      = 16 << 20
	listPath            = "/catalog/members"
	nanosPerMilli       = int64(time.Millisecond)
	minReconnectDelay   = 250 * time.Millisecond // initial mean delay before a broken watch is reopened, unless on demand
	maxReconnectDelay   = 4 * time.Second        // bound of the exponential backoff
	maxFirstReportDelay = 500 * time.Millisecond // bound of the backoff before the first report from an address
)

// UnknownVersion is the version of a list before any report.
const UnknownVersion = -1

var errAddressChanged = errors.New("discovery address changed")

// Report is the full list of upstreams, or the changes since the previous report.
type Report struct {
	Version int64
	Full    bool // a snapshot, not a set of changes
	Entries []roster.Entry[string]
}

// ParseReport decodes one report. It omits invalid entries and counts them.
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
			Upstream: logic.Upstream{
				ID: roster.NameHash(name), Weight: weight, Cell: entry.GetInt("group"),
				StartedAt: entry.GetInt64("since_ms") * nanosPerMilli,
			},
			Removed: status == "DELETED", Draining: status == "DRAINING",
		})
	}
	return report, invalid, nil
}

// Watch watches the list at one discovery address at a time.
type Watch struct {
	sink      lists.Sink
	log       *slog.Logger
	onDemand  bool // connect only when the decision engine requests the list
	transport *http.Transport

	mu             sync.Mutex
	address        string
	version        int64
	cancel         context.CancelCauseFunc // cancels the current watch
	addressChanged chan struct{}
	invalidEntries int // number of invalid entries in the last report, logged when it changes
}

// New returns a watch that continues after the given version of the list, or starts from UnknownVersion.
func New(sink lists.Sink, log *slog.Logger, address string, onDemand bool, version int64,
	dialTimeout time.Duration) *Watch {
	return &Watch{
		sink: sink, log: log, address: address, onDemand: onDemand, version: version,
		addressChanged: make(chan struct{}, 1),
		transport: &http.Transport{
			DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: 32 << 10,
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
		},
	}
}

// SetAddress switches to a discovery address and reports whether it differs from the previous one.
func (watch *Watch) SetAddress(address string) bool {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	if address == watch.address {
		return false
	}
	// The same version can mean a different list at the new address. Continuing after it would miss changes for good.
	watch.address, watch.version = address, UnknownVersion
	if watch.cancel != nil {
		watch.cancel(errAddressChanged)
	}
	select {
	case watch.addressChanged <- struct{}{}:
	default: // the previous address change is still pending
	}
	return true
}

// Run implements lists.Source. It reopens a broken watch with a randomized exponential backoff.
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
			continue // the decision engine requests the next watch
		}
		if received {
			delay = minReconnectDelay
		}
		select {
		case <-time.After(delay/2 + rand.N(delay)):
			// After an address change the current list becomes stale, and changes missing from it soon count as the
			// balancer's errors.
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

// readStream opens one watch and reads reports until it ends. It reports whether it received any.
func (watch *Watch) readStream(parent context.Context) (received bool, err error) {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	select {
	case <-watch.addressChanged: // the address read below is the new one
	default:
	}
	watch.mu.Lock()
	address, version := watch.address, watch.version
	watch.cancel = cancel
	watch.mu.Unlock()
	// When the network to discovery is cut, the connection stays open and silent.
	silenceTimer := time.AfterFunc(silenceTimeout, func() {
		cancel(errors.New("no data or heartbeat from discovery for two intervals"))
	})
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
			return received, errors.New("report exceeds the maximum size")
		}
		if err != nil {
			continue
		}
		if content := bytes.TrimSpace(line); len(content) > 0 {
			value, err := parser.ParseBytes(content)
			if err != nil {
				return received, err
			}
			// Usually the watch starts with a snapshot and is the only request: discovery has little capacity and
			// would reject balancers if each sent two. Without a snapshot the full list is fetched, since a report of
			// changes lacks all earlier ones.
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

// request sends one query to discovery and returns the response if its status is 200.
func (watch *Watch) request(ctx context.Context, address, query string) (*http.Response, error) {
	response, err := watch.transport.RoundTrip((&http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: address, Path: listPath, RawQuery: query},
		Header: http.Header{"User-Agent": {""}},
	}).WithContext(ctx))
	if err == nil && response.StatusCode != http.StatusOK {
		response.Body.Close()
		err = fmt.Errorf("discovery returned status %d", response.StatusCode)
	}
	return response, err
}

// awaitingFirstReport reports whether no report has been received from the current address.
func (watch *Watch) awaitingFirstReport() bool {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	return watch.version == UnknownVersion
}

// fetchFullList fetches the full list and applies it.
func (watch *Watch) fetchFullList(ctx context.Context, address string) error {
	response, err := watch.request(ctx, address, "")
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return err
	}
	value, err := fastjson.ParseBytes(body)
	if err != nil {
		return err
	}
	return watch.apply(ctx, value, true)
}

// apply passes a report to the sink, unless the watch has been cancelled in the meantime.
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
		// Versions can restart from the beginning when discovery restarts, so the last one counts, not the highest.
		watch.version = report.Version
	}
	watch.mu.Unlock()
	if err == nil {
		watch.log.Info("watch", "step", "told", "index", report.Version, "whole", report.Full || full,
			"entries", len(report.Entries))
		watch.sink.Update(report.Entries, report.Full || full)
	}
	return err
}

// cause returns the reason for which the watch was cancelled, if any, instead of the error of the HTTP library.
func cause(ctx context.Context, err error) error {
	if reason := context.Cause(ctx); reason != nil {
		return reason
	}
	return err
}
