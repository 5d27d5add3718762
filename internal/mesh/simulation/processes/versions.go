package processes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	firstEdition  = 1
	keptRoutes    = 40                     // of versions, before the oldest is taken away
	probePause    = 40 * time.Millisecond  // between two probes of a balancer
	orderPause    = 100 * time.Millisecond // after an order without a clear answer
	invalidOrders = 5                      // one order in so many is invalid
)

// route is the text of a route that a version adds. Its rank is the highest and its target the longest: it is in no hurry, and first.
func route(name, prefix, service string) string {
	return fmt.Sprintf(`{"Name":%q,"MailClass":"repeatable","Target":"1000ms","Precedence":0,"Unstamped":true,"Sorting":{"StreetPrefix":%q},"Dispatch":{"Destination":%q,"Deadline":"1000ms","DeliveryTries":2}}`, name, prefix, service)
}

func (w *world) versionRoute(edition int) string {
	return route(fmt.Sprintf("version-%d", edition), fmt.Sprintf("/version/%d/", edition), w.Services[0])
}

// versioned is what is put, told and seen of versions that follow one another.
type versioned struct {
	mu    sync.Mutex
	judge configurationJudge
}

func (w *world) since() time.Duration { return time.Since(w.began) }

// sent notes that a version is on its way, and acknowledged that it was taken.
func (v *versioned) sent(edition, withdrawn int, at time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.judge.versions = append(v.judge.versions, version{edition: edition, withdrawn: withdrawn, sent: at})
}

func (v *versioned) acknowledged(edition int, at time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for n := range v.judge.versions {
		if v.judge.versions[n].edition == edition {
			v.judge.versions[n].acked = at
		}
	}
}

func (v *versioned) add(p probe) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.judge.probes = append(v.judge.probes, p)
}

// newest is the newest edition that may be in force.
func (v *versioned) newest() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.judge.versions[len(v.judge.versions)-1].edition
}

// changeVersions has versions follow one another at a pace, some orders invalid, each at any controller.
func (w *world) changeVersions(ctx context.Context, tell func(string, ...any)) {
	chance := rand.New(rand.NewPCG(w.Seed, 2))
	pace := time.NewTicker(w.Versions)
	defer pace.Stop()
	newest := firstEdition
	for ctx.Err() == nil {
		edition, withdraw, gone := newest+1, "", 0
		if gone = newest - keptRoutes; gone > firstEdition {
			withdraw = fmt.Sprintf(`,"Withdraw":{"Routes":["version-%d"]}`, gone)
		} else {
			gone = 0
		}
		if chance.IntN(invalidOrders) == 0 {
			w.orderInvalid(ctx, chance, newest)
		}
		body := fmt.Sprintf(`{"Edition":%d,"Deliver":{"PostOffices":[{"Town":"demo.example","Regulations":[%s]}]}%s}`, edition, w.versionRoute(edition), withdraw)
		began := w.since()
		w.versioned.sent(edition, gone, began)
		if !w.order(ctx, chance, newest, edition, body) {
			return
		}
		w.versioned.acknowledged(edition, w.since())
		w.mu.Lock()
		w.out.Changes++
		w.out.Acks = append(w.out.Acks, w.since()-began)
		w.mu.Unlock()
		newest = edition
		select {
		case <-pace.C:
		case <-ctx.Done():
		}
	}
	tell("%d versions were acknowledged", w.out.Changes)
}

// order sends an order until it is acknowledged.
func (w *world) order(ctx context.Context, chance *rand.Rand, base, edition int, body string) bool {
	for ctx.Err() == nil {
		status, text, _ := w.call(ctx, chance.IntN(w.Controllers), "timetable.amend", fmt.Sprint(base), body)
		switch {
		case status == http.StatusOK:
			return true
		case status >= 400 && status < 500:
			w.breaks("CONFIG: version %d on top of %d was refused: %d %s", edition, base, status, strings.TrimSpace(text))
			return false
		}
		nap(ctx, orderPause)
	}
	return false
}

// orderInvalid sends a change that means two things, or names what is not there. It must be refused; no clear answer is none.
func (w *world) orderInvalid(ctx context.Context, chance *rand.Rand, base int) {
	marker := route(fmt.Sprintf("invalid-%d", base+1), fmt.Sprintf("/invalid/%d/", base+1), w.Services[0])
	second := []string{
		route("same-place", fmt.Sprintf("/invalid/%d/", base+1), w.Services[0]),
		route("unknown", "/unknown/", "nobody"),
		strings.Replace(route("no-time", "/no-time/", w.Services[0]), `"Deadline":"1000ms"`, `"Deadline":"0ms"`, 1),
		strings.Replace(route("twice", "/twice/", w.Services[0]), `"Name"`, `"Name":"once","Name"`, 1),
	}[chance.IntN(4)]
	body := fmt.Sprintf(`{"Edition":%d,"Deliver":{"PostOffices":[{"Town":"demo.example","Regulations":[%s,%s]}]}}`, base+1, marker, second)
	status, _, _ := w.call(ctx, chance.IntN(w.Controllers), "timetable.amend", fmt.Sprint(base), body)
	if status == http.StatusOK {
		w.breaks("CONFIG: an invalid change was acknowledged: %s", second)
	}
}

// probeVersions asks one balancer on routes of versions: the newest, one before it, one that was taken away, the first, an invalid one.
func (w *world) probeVersions(ctx context.Context, proxy int) {
	chance := rand.New(rand.NewPCG(w.Seed, uint64(10+proxy)))
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var flying sync.WaitGroup
	defer flying.Wait()
	for n := 0; nap(ctx, probePause) == nil; n++ {
		newest := w.versioned.newest()
		p := probe{proxy: proxy, life: w.lifeOf(proxy), sent: w.since()}
		switch chance.IntN(6) {
		case 0, 1:
			p.edition = newest
		case 2:
			p.edition = max(firstEdition, newest-1-chance.IntN(keptRoutes+keptRoutes/4))
		case 3:
			p.edition, p.invalid = newest, true
		default:
			p.edition = firstEdition
		}
		flying.Go(func() { w.versioned.add(w.probeOnce(client, p, n)) })
	}
}

func (w *world) probeOnce(client *http.Client, p probe, n int) probe {
	path := fmt.Sprintf("/version/%d/", p.edition)
	switch {
	case p.invalid:
		path = fmt.Sprintf("/invalid/%d/", p.edition)
	case p.edition == firstEdition:
		path = "/read/" + w.Services[0] + "/"
	}
	r, err := http.NewRequest(http.MethodGet, "http://"+w.plan.Proxies[p.proxy].OutboundAddress+path, nil)
	if err != nil {
		return p
	}
	r.Host = "demo.example"
	id := fmt.Sprintf("probe-%d-%d", p.proxy, n)
	r.Header = http.Header{"X-Attempt-Id": {id}, "X-Time-Left-Ms": {"1000"}}
	w.mu.Lock()
	w.sent[id] = &try{probe: true}
	w.mu.Unlock()
	answer, err := client.Do(r)
	p.done = w.since()
	if w.lifeOf(p.proxy) != p.life {
		p.life = -1
	}
	if err != nil {
		return p
	}
	answer.Body.Close()
	p.status = answer.StatusCode
	return p
}

// lifeOf is the number of a balancer's process.
func (w *world) lifeOf(proxy int) int {
	p := w.all[w.Controllers+proxy]
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// judgeVersions has what was seen of versions judged.
func (w *world) judgeVersions() {
	w.versioned.mu.Lock()
	defer w.versioned.mu.Unlock()
	j := &w.versioned.judge
	j.breaks = w.breaks
	for _, f := range w.Faults {
		t := trouble{proxy: -1, from: f.At, till: f.At + f.For}
		if f.Kind == KillProxy || f.Kind == FreezeProxy || f.Kind == TermProxy {
			t.proxy = f.Who % w.Proxies
		}
		j.troubles = append(j.troubles, t)
	}
	j.judge()
	w.out.Probes, w.out.InForce = len(j.probes), j.inForce()
	w.out.Added, w.out.First = j.shares()
}
