package processes

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"ottershift/internal/mesh/routing"
)

const (
	soakHosts         = 4
	soakNames         = 4 // of routes, which may occur at each host
	amendmentInterval = 1500 * time.Millisecond
	maxDelivered      = 3   // routes in one amendment
	withdrawalShare   = 0.3 // of amendments that withdraw a name
	routeProbeGap     = 100 * time.Millisecond
)

// place is where a route stands: its host and name.
type place struct{ host, name int }

func (p place) hostName() string { return fmt.Sprintf("h%d.example", p.host) }
func (p place) prefix() string   { return fmt.Sprintf("/r%d/", p.name) }
func (p place) routeName() string {
	return fmt.Sprintf("r%d", p.name)
}

// routeVersion is a version of the configuration with the places that have a route.
type routeVersion struct {
	edition      int
	sent         time.Duration
	acknowledged time.Duration // 0 if never
	places       map[place]bool
}

// routeProbe is a request that shows whether a proxy has a route.
type routeProbe struct {
	proxy      int
	place      place
	sent, done time.Duration
	status     int
}

// routeLog records versions and probes.
type routeLog struct {
	mu       sync.Mutex
	versions []routeVersion
	probes   []routeProbe
}

// amendHosts changes routes of the same names at several hosts at once, until ctx ends.
func (h *harness) amendHosts(ctx context.Context, logf func(string, ...any)) {
	rng := rand.New(rand.NewPCG(h.Seed, 4))
	current := map[place]bool{}
	edition := firstVersion
	h.routeLog.add(routeVersion{edition: edition, acknowledged: 1, places: current})
	for sleep(ctx, amendmentInterval) == nil {
		next, body := h.drawAmendment(rng, current, edition+1)
		startedAt := h.elapsed()
		h.routeLog.add(routeVersion{edition: edition + 1, sent: startedAt, places: next})
		if !h.applyChange(ctx, rng, edition, edition+1, body) {
			break
		}
		edition, current = edition+1, next
		h.routeLog.acknowledge(h.elapsed())
		h.mu.Lock()
		h.outcome.Changes++
		h.outcome.AckDelays = append(h.outcome.AckDelays, h.elapsed()-startedAt)
		h.mu.Unlock()
	}
	logf("%d versions were acknowledged", h.outcome.Changes)
}

// drawAmendment returns the places after an amendment and its body.
func (h *harness) drawAmendment(rng *rand.Rand, current map[place]bool, edition int) (next map[place]bool, body string) {
	next = maps.Clone(current)
	withdraw := ""
	if rng.Float64() < withdrawalShare {
		name := rng.IntN(soakNames)
		withdraw = fmt.Sprintf(`,"Withdraw":{"Routes":["r%d"]}`, name)
		maps.DeleteFunc(next, func(p place, _ bool) bool { return p.name == name })
	}
	var entries []string
	delivered := map[place]bool{}
	for range 1 + rng.IntN(maxDelivered) {
		p := place{rng.IntN(soakHosts), rng.IntN(soakNames)}
		if delivered[p] {
			continue
		}
		delivered[p], next[p] = true, true
		entries = append(entries, fmt.Sprintf(`{"Town":%q,"Regulations":[%s]}`, p.hostName(), route(p.routeName(), p.prefix(), h.Services[rng.IntN(len(h.Services))])))
	}
	return next, fmt.Sprintf(`{"Edition":%d,"Deliver":{"PostOffices":[%s]}%s}`, edition, strings.Join(entries, ","), withdraw)
}

func (l *routeLog) add(v routeVersion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, v)
}

// acknowledge records the acknowledgement of the last version.
func (l *routeLog) acknowledge(at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions[len(l.versions)-1].acknowledged = at
}

// probeHosts probes one proxy for routes at random places.
func (h *harness) probeHosts(ctx context.Context, proxy int) {
	rng := rand.New(rand.NewPCG(h.Seed, uint64(2000+proxy)))
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for n := 0; sleep(ctx, routeProbeGap) == nil; n++ {
		p := routeProbe{proxy: proxy, place: place{rng.IntN(soakHosts), rng.IntN(soakNames)}, sent: h.elapsed()}
		id := fmt.Sprintf("route-%d-%d", proxy, n)
		inFlight.Go(func() {
			p.status = h.probePlace(client, p, id)
			p.done = h.elapsed()
			h.routeLog.mu.Lock()
			defer h.routeLog.mu.Unlock()
			h.routeLog.probes = append(h.routeLog.probes, p)
		})
	}
}

// probePlace sends one probe and returns its status, 0 for no response.
func (h *harness) probePlace(client *http.Client, p routeProbe, id string) int {
	request, err := h.newProbe(p.proxy, p.place.hostName(), p.place.prefix(), id)
	if err != nil {
		return 0
	}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return response.StatusCode
}

// readBackPlaces returns the places in a configuration that was read back.
func readBackPlaces(text string) (edition int, places map[place]bool, err error) {
	configuration, err := routing.Load([]byte(text))
	if err != nil {
		return 0, nil, err
	}
	places = map[place]bool{}
	for _, r := range configuration.Routes {
		var p place
		_, hostErr := fmt.Sscanf(r.Host, "h%d.example", &p.host)
		_, nameErr := fmt.Sscanf(r.Name, "r%d", &p.name)
		if hostErr == nil && nameErr == nil {
			places[p] = true
		}
	}
	return int(configuration.Edition), places, nil
}

// formatPlaces lists places in a fixed order.
func formatPlaces(places map[place]bool) string {
	var all []string
	for p := range places {
		all = append(all, p.hostName()+p.prefix())
	}
	slices.Sort(all)
	return strings.Join(all, " ")
}
