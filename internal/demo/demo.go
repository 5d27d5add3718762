// Package demo shows a balancer at work: three small pools of stand-in upstreams, a balancer before them, some traffic
// and one upstream that fails, all in one process on loopback.
package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ottershift/internal/logs"
	"ottershift/internal/plan"
	"ottershift/internal/process"
)

const (
	upstreams = 3   // for each pool
	rate      = 80  // transactions a second for each pool
	screen    = 500 // milliseconds between two pictures
)

// service is one pool and what its clients have seen.
type service struct {
	name, host string
	usual      time.Duration // an answer takes
	upstreams  []*upstream

	mu      sync.Mutex
	all     figures // since the start
	lately  figures // since the last picture
	failing figures // while its upstream fails
}

// figures are answers by kind and their times.
type figures struct {
	settled, deferred, failed int
	took                      []time.Duration
}

func (f *figures) add(status int, took time.Duration) {
	switch status {
	case http.StatusOK:
		f.settled++
	case http.StatusServiceUnavailable:
		f.deferred++
	default:
		f.failed++
	}
	f.took = append(f.took, took)
}

func (f *figures) asked() int { return f.settled + f.deferred + f.failed }

// quantile is the time within which a part was answered.
func (f *figures) quantile(part float64) time.Duration {
	if len(f.took) == 0 {
		return 0
	}
	all := slices.Sorted(slices.Values(f.took))
	return all[min(len(all)-1, int(part*float64(len(all))))].Round(100 * time.Microsecond)
}

// upstream is a stand-in: it answers after some time, or hangs while it fails.
type upstream struct {
	name    string
	address string
	server  *http.Server
	usual   time.Duration
	came    atomic.Int64
	hangs   atomic.Bool
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if u.hangs.Load() {
		<-r.Context().Done()
		return
	}
	if r.URL.Path == "/ping" {
		return
	}
	u.came.Add(1)
	// Mostly near the usual time, now and then several times that.
	took := time.Duration((0.5 + rand.ExpFloat64()/2) * float64(u.usual))
	select {
	case <-time.After(took):
		fmt.Fprintf(w, "%s from %s\n", r.URL.Path, u.name)
	case <-r.Context().Done():
	}
}

func newUpstream(name string, usual time.Duration) (*upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &upstream{name: name, address: l.Addr().String(), usual: usual}
	u.server = &http.Server{Handler: u, ErrorLog: logs.Lines(slog.New(slog.DiscardHandler), "")}
	go u.server.Serve(l)
	return u, nil
}

// configuration is what the balancer is told; an installation has such a file of its own.
func configuration(listen string, all []*service) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = \"demo\"\n[listeners.public]\naddress = %q\n", listen)
	b.WriteString("[tariffs.page]\nrepeat = \"repeatable\"\ncontract_time = \"400ms\"\nhard_stop = \"1s\"\n")
	for _, s := range all {
		fmt.Fprintf(&b, "[pools.%s]\ndefault_tariff = \"page\"\n", s.name)
		for _, u := range s.upstreams {
			fmt.Fprintf(&b, "[[pools.%s.upstreams]]\nname = %q\naddress = %q\n", s.name, u.name, u.address)
		}
		fmt.Fprintf(&b, "[[routes]]\nname = %q\nhosts = [%q]\npool = %q\n", s.name, s.host, s.name)
	}
	return b.String()
}

// Run plays the demo for some time, and writes to w a picture that moves, if live, or plain lines.
func Run(ctx context.Context, w io.Writer, length time.Duration, live bool) error {
	if length < 2*time.Second {
		return fmt.Errorf("a demo of %s shows nothing; it lasts at least 2s", length)
	}
	all := []*service{
		{name: "album", host: "album.example.org", usual: 20 * time.Millisecond},
		{name: "opslag", host: "opslag.example.org", usual: 35 * time.Millisecond},
		{name: "www", host: "www.example.org", usual: 8 * time.Millisecond},
	}
	for _, s := range all {
		for n := range upstreams {
			u, err := newUpstream(fmt.Sprintf("%s-%d", s.name, n+1), s.usual)
			if err != nil {
				return err
			}
			defer u.server.Close()
			s.upstreams = append(s.upstreams, u)
		}
	}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	listen := free.Addr().String()
	free.Close()
	p, faults := plan.Parse("demo.toml", []byte(configuration(listen, all)), func(string) (string, bool) { return "", false })
	if p == nil {
		return faults[0]
	}
	log, level := logs.New(io.Discard, "text")
	balancer, err := process.Start(p, log, level)
	if err != nil {
		return err
	}
	defer balancer.Close()
	defer balancer.Drain()

	fmt.Fprintf(w, "Three pools of %d upstreams behind one balancer on %s, %d transactions a second to each, for %s.\n",
		upstreams, listen, rate, length)
	bad := all[0].upstreams[1]
	start := time.Now()
	from, to := length*3/10, length*6/10
	ctx, end := context.WithTimeout(ctx, length)
	defer end()
	client := &http.Transport{MaxIdleConnsPerHost: 64}
	defer client.CloseIdleConnections()
	var asking sync.WaitGroup
	for _, s := range all {
		asking.Go(func() { s.ask(ctx, client, listen, bad) })
	}
	pictures := time.NewTicker(screen * time.Millisecond)
	defer pictures.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		select {
		case <-pictures.C:
		case <-ctx.Done():
		}
		now := time.Since(start)
		if hangs := now >= from && now < to; hangs != bad.hangs.Load() {
			bad.hangs.Store(hangs)
			if !live {
				fmt.Fprintf(w, "%5.1fs  %s %s\n", now.Seconds(), bad.name, map[bool]string{true: "stops answering", false: "answers again"}[hangs])
			}
		}
		if live || n%4 == 3 {
			picture(w, all, bad, now, live, n > 0)
		}
	}
	asking.Wait()
	bad.hangs.Store(false)
	sum(w, all, bad, to-from)
	return nil
}

// ask sends transactions at their times, whatever became of those before.
func (s *service) ask(ctx context.Context, client *http.Transport, to string, bad *upstream) {
	var open sync.WaitGroup
	defer open.Wait()
	for next := time.Now(); ctx.Err() == nil; {
		next = next.Add(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		open.Go(func() {
			began := time.Now()
			r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/page/%d", to, rand.IntN(1000)), nil)
			if err != nil {
				return
			}
			r.Host = s.host
			status := 0
			if a, err := client.RoundTrip(r); err == nil {
				io.Copy(io.Discard, a.Body)
				a.Body.Close()
				status = a.StatusCode
			}
			took := time.Since(began)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.all.add(status, took)
			s.lately.add(status, took)
			if bad.hangs.Load() {
				s.failing.add(status, took)
			}
		})
	}
}

// picture shows what was seen since the last one.
func picture(w io.Writer, all []*service, bad *upstream, now time.Duration, live, again bool) {
	var b strings.Builder
	if live && again {
		fmt.Fprintf(&b, "\x1b[%dA", 2+len(all)*(1+upstreams)) // to the top of the last one
	}
	line := func(format string, values ...any) {
		if live {
			b.WriteString("\x1b[K")
		}
		fmt.Fprintf(&b, format+"\n", values...)
	}
	if live {
		state := "all upstreams answer"
		if bad.hangs.Load() {
			state = bad.name + " does not answer"
		}
		line("%5.1fs  %s", now.Seconds(), state)
		line("%-12s %8s %9s %9s %9s %9s", "pool", "asked", "settled", "deferred", "median", "99 in 100")
	}
	for _, s := range all {
		s.mu.Lock()
		f := s.lately
		s.lately = figures{}
		s.mu.Unlock()
		if !live {
			line("%5.1fs  %-7s asked=%d settled=%d deferred=%d failed=%d median=%s p99=%s", now.Seconds(), s.name,
				f.asked(), f.settled, f.deferred, f.failed, f.quantile(0.5), f.quantile(0.99))
			continue
		}
		line("%-12s %8d %9d %9d %9s %9s", s.name, f.asked(), f.settled, f.deferred, f.quantile(0.5), f.quantile(0.99))
		for _, u := range s.upstreams {
			mark := ""
			if u.hangs.Load() {
				mark = "  fails"
			}
			line("  %-10s %8d in all%s", u.name, u.came.Load(), mark)
		}
	}
	io.WriteString(w, b.String())
}

// sum says in sentences what was seen.
func sum(w io.Writer, all []*service, bad *upstream, failed time.Duration) {
	fmt.Fprintln(w)
	for _, s := range all {
		s.mu.Lock()
		f := s.all
		s.mu.Unlock()
		fmt.Fprintf(w, "%s was asked %d times: %d settled, %d deferred, %d failed; half were answered within %s, 99 in 100 within %s.\n",
			s.name, f.asked(), f.settled, f.deferred, f.failed, f.quantile(0.5), f.quantile(0.99))
	}
	f := &all[0].failing
	if f.asked() > 0 {
		fmt.Fprintf(w, "%s did not answer for %s. In that time its pool settled %.1f in 100 of %d, 99 in 100 within %s:\n"+
			"what it left unanswered was copied to another upstream, and after a few it was set aside until it answered again.\n",
			bad.name, failed.Round(100*time.Millisecond), 100*float64(f.settled)/float64(f.asked()), f.asked(), f.quantile(0.99))
	}
	fmt.Fprintln(w, "The other pools noticed nothing of it: each has its own list, health, limits and decisions.")
}
