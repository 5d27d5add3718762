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

func (w *world) call(ctx context.Context, comb int, call, match, body string) (int, string, error) {
	ctx, end := context.WithTimeout(ctx, time.Second)
	defer end()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.plan.Controllers[comb%w.Controllers].ControlAddress+"/-/rpc?call="+call, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("If-Match", match)
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	return a.StatusCode, string(text), err
}

// send has a client on a proxy's machine ask for something; -1 is an answer that is not what an upstream sent.
func (w *world) send(ctx context.Context, c *http.Client, forager int, method, path, id string) (int, time.Duration) {
	began := time.Now()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+w.plan.Proxies[forager].OutboundAddress+path, nil)
	if err != nil {
		return 0, 0
	}
	r.Host = "demo.example"
	outside := strings.HasPrefix(path, "/scans/")
	if outside {
		r.Host = "zuid.example"
	}
	r.Header = http.Header{"X-Attempt-Id": {id}, "X-Time-Left-Ms": {"2000"}}
	key, _, _ := strings.Cut(id, "/")
	if w.Credit > 0 {
		r.Header["X-Key"], r.Header["Idempotency-Key"] = []string{"k"}, []string{key}
	}
	w.mu.Lock()
	w.sent[id] = &try{once: method == "POST", outside: outside}
	w.mu.Unlock()
	a, err := c.Do(r)
	if err != nil {
		return 0, time.Since(began)
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	status := a.StatusCode
	switch {
	case err != nil:
		status = 0
	case outside:
	case status == http.StatusOK && (a.Header.Get("X-Postmark") == "" || len(body) != w.Size || a.Header.Get("X-Attempt-Id") != id):
		status = -1
	}
	w.mu.Lock()
	w.sent[id].status = status
	w.mu.Unlock()
	return status, time.Since(began)
}

// clients send until the end; calm is when all that is wrong has been over for a while.
func (w *world) clients(ctx context.Context, calm time.Time) {
	chance := rand.New(rand.NewPCG(w.Seed, 1))
	var flying sync.WaitGroup
	c := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	late, end := context.WithTimeout(context.WithoutCancel(ctx), w.Length+5*time.Second)
	defer end()
	for n := 0; nap(ctx, time.Duration(chance.ExpFloat64()/w.Rate*1e9)) == nil; n++ {
		f, method, kind := chance.IntN(w.Proxies), "GET", "read"
		if chance.IntN(4) == 0 {
			method, kind = "POST", "once"
		}
		path, id := "/"+kind+"/"+w.Services[chance.IntN(len(w.Services))]+"/", fmt.Sprintf("%d-%d", w.Seed, n)
		if w.side != nil && chance.IntN(3) == 0 {
			path = "/scans/x"
		}
		after := time.Now().After(calm) && w.Credit == 0 && !strings.HasPrefix(path, "/scans/") // a tenant beyond its rate is refused
		if w.Credit > 0 && chance.IntN(5) == 0 {                                                // asked again at once, elsewhere
			other := chance.IntN(w.Proxies)
			flying.Go(func() { w.send(late, c, other, method, path, id+"/again") })
		}
		flying.Go(func() {
			status, took := w.send(late, c, f, method, path, id)
			w.mu.Lock()
			defer w.mu.Unlock()
			s := &w.out.By[f]
			s.Asked++
			w.out.Asked++
			if after {
				w.tail[0]++
			}
			switch {
			case status == http.StatusOK:
				s.OK++
				w.out.OK++
				if after {
					w.tail[1]++
				}
				if took > aim {
					w.out.Late++
				}
			case status == http.StatusForbidden && strings.HasPrefix(path, "/scans/"), status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
				s.Refused++
			case status == 0:
				s.NoAnswer++
			default:
				s.Failed++
			}
		})
	}
	flying.Wait()
}

// operate changes the configuration now and then and reads it back.
func (w *world) operate(ctx context.Context, tell func(string, ...any)) {
	edition, newest := 1, 1
	for nap(ctx, 3*time.Second) == nil {
		edition += 2
		body := fmt.Sprintf(`{"Edition":%d,"SizeLimits":{"EnvelopeBytes":16384,"ContentsBytes":67108864,"Envelope":"3000ms","Idle":"%dms"}}`, edition, 15000+edition)
		began := time.Now()
		for n := 0; ctx.Err() == nil; n++ {
			status, text, _ := w.call(ctx, n, "timetable.amend", fmt.Sprint(newest), body)
			if status == http.StatusOK {
				newest = edition
				w.mu.Lock()
				w.out.Changes++
				w.out.Acks = append(w.out.Acks, time.Since(began))
				w.mu.Unlock()
				break
			}
			if status >= 400 && status < 500 {
				w.breaks("CONFIG: version %d on top of %d was refused: %d %s", edition, newest, status, strings.TrimSpace(text))
				return
			}
			nap(ctx, 100*time.Millisecond)
		}
	}
	tell("%d versions were acknowledged", w.out.Changes)
	back, end := context.WithTimeout(context.WithoutCancel(ctx), 5*time.Second)
	defer end()
	for n := 0; back.Err() == nil; n++ {
		if status, text, _ := w.call(back, n, "timetable.fetch", "", ""); status == http.StatusOK {
			if !strings.Contains(text, fmt.Sprintf(`"Edition":%d`, newest)) && !strings.Contains(text, fmt.Sprintf(`"Edition":%d`, edition)) {
				w.breaks("LOST: version %d was acknowledged; read back: %.80s", newest, text)
			}
			return
		}
		nap(back, 50*time.Millisecond)
	}
	w.breaks("CONFIG: nobody gives the timetable at the end")
}

// narrow has the partner change its mind, over and over; it ends open.
func (w *world) narrow(ctx context.Context, tell func(string, ...any)) {
	for n := 0; nap(ctx, w.Partner) == nil; n++ {
		if n%2 == 1 {
			w.side.SetMethods("GET", "POST")
			continue
		}
		edition := w.side.SetMethods("GET")
		for {
			if told, took := w.side.ReportedVersion(); told >= edition {
				w.mu.Lock()
				w.out.Done = append(w.out.Done, took)
				w.mu.Unlock()
				tell("the partner's edition %d is done after %v", edition, took.Round(time.Millisecond))
				break
			}
			if nap(ctx, 20*time.Millisecond) != nil {
				return
			}
		}
	}
}
