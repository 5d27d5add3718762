package processes

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func (h *harness) callController(ctx context.Context, controller int, call, match, body string) (int, string, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.plan.Controllers[controller%h.Controllers].ControlAddress+"/-/rpc?call="+call, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("If-Match", match)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// mismatchedResponse is the status that is recorded for a response that no upstream sent.
const mismatchedResponse = -1

// send sends a client request through a proxy. Status 0 means no response.
func (h *harness) send(ctx context.Context, client *http.Client, proxy int, method, path, id string) (int, time.Duration) {
	startedAt := time.Now()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.plan.Proxies[proxy].OutboundAddress+path, nil)
	if err != nil {
		return 0, 0
	}
	request.Host = "demo.example"
	toPartner := strings.HasPrefix(path, partnerPath)
	if toPartner {
		request.Host = "zuid.example"
	}
	request.Header = http.Header{"X-Attempt-Id": {id}, "X-Time-Left-Ms": {"2000"}}
	key, _, _ := strings.Cut(id, "/")
	if h.Credit > 0 {
		request.Header["X-Key"], request.Header["Idempotency-Key"] = []string{"k"}, []string{key}
	}
	h.mu.Lock()
	h.attempts[id] = &attempt{onceOnly: method == "POST", toPartner: toPartner}
	h.mu.Unlock()
	response, err := client.Do(request)
	if err != nil {
		return 0, time.Since(startedAt)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	status := response.StatusCode
	switch {
	case err != nil:
		status = 0
	case toPartner:
	case status == http.StatusOK && (response.Header.Get("X-Postmark") == "" || len(body) != h.ResponseBytes || response.Header.Get("X-Attempt-Id") != id):
		status = mismatchedResponse
	}
	h.mu.Lock()
	h.attempts[id].status = status
	h.mu.Unlock()
	return status, time.Since(startedAt)
}

// Shares of the clients' requests, one in each of these.
const (
	onceOnlyEvery  = 4 // requests that must not be repeated
	toPartnerEvery = 3 // requests for the partner, if there is one
	sentAgainEvery = 5 // requests that are sent again through another proxy, in runs with burst credit
)

const partnerPath = "/scans/"

// clientRequest is a request that clients send.
type clientRequest struct {
	proxy            int
	method, path, id string
	afterFaults      bool // it counts for the recovery check
}

// runClients sends client requests until ctx ends. From stableFrom on, all faults have been over for a while and requests
// count for the recovery check.
func (h *harness) runClients(ctx context.Context, stableFrom time.Time) {
	rng := rand.New(rand.NewPCG(h.Seed, 1))
	var inFlight sync.WaitGroup
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	sendCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.Length+5*time.Second)
	defer cancel()
	for n := 0; sleep(ctx, time.Duration(rng.ExpFloat64()/h.Rate*1e9)) == nil; n++ {
		r := h.drawClientRequest(rng, n)
		// Requests of a tenant over its rate limit are refused, so runs with burst credit have no recovery check.
		r.afterFaults = time.Now().After(stableFrom) && h.Credit == 0 && !r.isForPartner()
		// Some requests are sent again at once with the same idempotency key through another proxy.
		if h.Credit > 0 && rng.IntN(sentAgainEvery) == 0 {
			other := rng.IntN(h.Proxies)
			inFlight.Go(func() { h.send(sendCtx, client, other, r.method, r.path, r.id+"/again") })
		}
		inFlight.Go(func() {
			status, elapsed := h.send(sendCtx, client, r.proxy, r.method, r.path, r.id)
			h.countResponse(r, status, elapsed)
		})
	}
	inFlight.Wait()
}

// drawClientRequest returns the request with a number.
func (h *harness) drawClientRequest(rng *rand.Rand, number int) *clientRequest {
	r := &clientRequest{proxy: rng.IntN(h.Proxies), method: http.MethodGet, id: fmt.Sprintf("%d-%d", h.Seed, number)}
	prefix := "/read/"
	if rng.IntN(onceOnlyEvery) == 0 {
		r.method, prefix = http.MethodPost, "/once/"
	}
	r.path = prefix + h.Services[rng.IntN(len(h.Services))] + "/"
	if h.partner != nil && rng.IntN(toPartnerEvery) == 0 {
		r.path = partnerPath + "x"
	}
	return r
}

// isForPartner reports whether a route of the partner serves the request.
func (r *clientRequest) isForPartner() bool { return strings.HasPrefix(r.path, partnerPath) }

// countResponse counts the result of a client request.
func (h *harness) countResponse(r *clientRequest, status int, elapsed time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	stats := &h.outcome.ByProxy[r.proxy]
	stats.Requests++
	h.outcome.Requests++
	if r.afterFaults {
		h.afterFaults[0]++
	}
	switch {
	case status == http.StatusOK:
		stats.OK++
		h.outcome.OK++
		if r.afterFaults {
			h.afterFaults[1]++
		}
		if elapsed > latencyTarget {
			h.outcome.Late++
		}
	case status == http.StatusForbidden && r.isForPartner(), status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		stats.Refused++
	case status == 0:
		stats.NoResponse++
	default:
		stats.Failed++
	}
}

// changeConfiguration changes the configuration every 3 s and reads it back at the end.
func (h *harness) changeConfiguration(ctx context.Context, logf func(string, ...any)) {
	edition, newest := 1, 1
	for sleep(ctx, 3*time.Second) == nil {
		edition += 2
		body := fmt.Sprintf(`{"Edition":%d,"SizeLimits":{"EnvelopeBytes":16384,"ContentsBytes":67108864,"Envelope":"3000ms","Idle":"%dms"}}`, edition, 15000+edition)
		startedAt := time.Now()
		for n := 0; ctx.Err() == nil; n++ {
			status, text, _ := h.callController(ctx, n, "timetable.amend", fmt.Sprint(newest), body)
			if status == http.StatusOK {
				newest = edition
				h.mu.Lock()
				h.outcome.Changes++
				h.outcome.AckDelays = append(h.outcome.AckDelays, time.Since(startedAt))
				h.mu.Unlock()
				break
			}
			if status >= 400 && status < 500 {
				h.reportViolation("CONFIG: version %d on top of %d was refused: %d %s", edition, newest, status, strings.TrimSpace(text))
				return
			}
			sleep(ctx, 100*time.Millisecond)
		}
	}
	logf("%d versions were acknowledged", h.outcome.Changes)
	readCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 5*time.Second)
	defer cancel()
	for n := 0; readCtx.Err() == nil; n++ {
		if status, text, _ := h.callController(readCtx, n, "timetable.fetch", "", ""); status == http.StatusOK {
			if !strings.Contains(text, fmt.Sprintf(`"Edition":%d`, newest)) && !strings.Contains(text, fmt.Sprintf(`"Edition":%d`, edition)) {
				h.reportViolation("LOST: version %d was acknowledged, but read back: %.80s", newest, text)
			}
			return
		}
		sleep(readCtx, 50*time.Millisecond)
	}
	h.reportViolation("CONFIG: no controller returned the configuration at the end of the run")
}

// changeExports has the partner narrow and widen its exports in turn.
func (h *harness) changeExports(ctx context.Context, logf func(string, ...any)) {
	for n := 0; sleep(ctx, h.PartnerInterval) == nil; n++ {
		if n%2 == 1 {
			h.partner.SetMethods("GET", "POST")
			continue
		}
		edition := h.partner.SetMethods("GET")
		for {
			if reported, took := h.partner.ReportedVersion(); reported >= edition {
				h.mu.Lock()
				h.outcome.NarrowingDelays = append(h.outcome.NarrowingDelays, took)
				h.mu.Unlock()
				logf("narrowing of the partner's exports, version %d, complete after %v", edition, took.Round(time.Millisecond))
				break
			}
			if sleep(ctx, 20*time.Millisecond) != nil {
				return
			}
		}
	}
}
