//go:build !race

// Beside the race detector the virtual clock crashes this tool chain (1.26); .ci/run plays these without it as well.
package member

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"ottershift/internal/cluster/config"
	"ottershift/internal/cluster/disk"
	"ottershift/internal/cluster/link"
)

// web is a network on the virtual clock: whole members, library and all, speak over it.
type web struct {
	mu     sync.Mutex
	chance *rand.Rand
	at     map[string]*seat
	loss   float64
	twice  float64
	late   func() time.Duration       // of a datagram
	cut    func(from, to string) bool // addresses
}

func newWeb(seed uint64) *web {
	return &web{
		chance: rand.New(rand.NewPCG(seed, 5)), at: map[string]*seat{}, late: func() time.Duration { return 200 * time.Microsecond },
		cut: func(_, _ string) bool { return false },
	}
}

// set changes how the links are.
func (w *web) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// seat is one member's way.
type seat struct {
	w        *web
	addr     *net.TCPAddr
	g        *Gossip
	handlers map[uint16]link.Handler
	end      func()
	gone     context.Context
	out      atomic.Int64
}

func (s *seat) Addr() *net.TCPAddr                   { return s.addr }
func (s *seat) Handle(method uint16, h link.Handler) { s.handlers[method] = h }
func (s *seat) Forget(string)                        {}

// reach is who stands at an address, if the way there and back is whole.
func (s *seat) reach(address string) *seat {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	t := s.w.at[address]
	if t == nil || s.w.cut(s.addr.String(), address) || s.w.cut(address, s.addr.String()) {
		return nil
	}
	return t
}

func (s *seat) Call(ctx context.Context, name string, method uint16, body []byte) ([]byte, error) {
	t := s.reach(name[1:])
	if t == nil || t.handlers[method] == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return t.handlers[method](ctx, "", body)
}

func (s *seat) Send(kind byte, _, address string, payload []byte) error {
	w := s.w
	s.out.Add(int64(len(payload) + 40)) // with the heads of a datagram
	w.mu.Lock()
	defer w.mu.Unlock()
	times := 1
	if w.twice > 0 && w.chance.Float64() < w.twice {
		times = 2
	}
	for range times {
		if w.cut(s.addr.String(), address) || w.loss > 0 && w.chance.Float64() < w.loss {
			continue
		}
		time.AfterFunc(w.late(), func() {
			w.mu.Lock()
			t := w.at[address]
			w.mu.Unlock()
			if t == nil || s.gone.Err() != nil && kind == 0 {
				return
			}
			if kind == link.Notice {
				t.g.Notice(payload)
			} else {
				t.g.Packet(payload, s.addr)
			}
		})
	}
	return nil
}

func (s *seat) Dial(_ byte, _, address string, within time.Duration) (net.Conn, error) {
	t := s.reach(address)
	if t == nil {
		time.Sleep(within)
		return nil, os.ErrDeadlineExceeded
	}
	a, b := net.Pipe()
	go t.g.Stream(b)
	return a, nil
}

// quick are settings for members that look often.
func quick(self string, join ...string) *config.Settings {
	return &config.Settings{Name: "c", Self: self, Address: "?", Join: join, Probe: 200 * time.Millisecond, Rejoin: time.Second}
}

func address(n int) string { return fmt.Sprintf("127.0.%d.%d:7000", n/250, n%250+1) }

// join starts a member at an address.
func (w *web) join(t *testing.T, n int, s *config.Settings, change func(*Options)) *seat {
	t.Helper()
	at, _ := net.ResolveTCPAddr("tcp", address(n))
	x := &seat{w: w, addr: at, handlers: map[uint16]link.Handler{}}
	x.gone, x.end = context.WithCancel(context.Background())
	s.Address = at.String()
	o := Options{
		Settings: s, Log: slog.New(slog.DiscardHandler), Link: x, Guards: Guards{true, true}, Seed: uint64(n),
		Status: func() Status { return Status{Offers: []string{"album"}, Parts: 1} },
		Wall:   func() time.Time { return time.Unix(1000, 0) },
	}
	if change != nil {
		change(&o)
	}
	var err error
	if x.g, err = Join(o); err != nil {
		t.Fatal(err)
	}
	w.mu.Lock()
	w.at[at.String()] = x
	w.mu.Unlock()
	if err := x.g.Begin(); err != nil {
		t.Fatal(err)
	}
	return x
}

// kill ends a member without a word.
func (x *seat) kill() {
	x.w.mu.Lock()
	if x.w.at[x.addr.String()] == x {
		delete(x.w.at, x.addr.String())
	}
	x.w.mu.Unlock()
	x.end()
	x.g.Close()
}

// holds are those that a member holds alive, by name and epoch.
func (x *seat) holds() (all []string) {
	v := x.g.View()
	for _, m := range v.Members {
		if m.State == Alive.String() {
			all = append(all, fmt.Sprintf("%s/%d", m.Name, m.Epoch))
		}
	}
	slices.Sort(all)
	return all
}

// now is the run of a name that counts here.
func (x *seat) now(name string) Member {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	m, _ := x.g.core.Now(name)
	return m
}

// until waits on the virtual clock until all hold the same; it returns how long that took.
func until(all []*seat, limit time.Duration, want func([]string) bool) (time.Duration, bool) {
	start := time.Now()
	for time.Since(start) < limit {
		ok := true
		for _, x := range all {
			ok = ok && want(x.holds())
		}
		if ok {
			return time.Since(start), true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return limit, false
}

func count(n int) func([]string) bool { return func(all []string) bool { return len(all) == n } }

// fleet starts members that join the first one.
func (w *web) fleet(t *testing.T, n int, each func(*config.Settings)) (all []*seat) {
	for i := range n {
		s := quick(fmt.Sprint("m", i), address(0), address(min(1, n-1)))
		if each != nil {
			each(s)
		}
		all = append(all, w.join(t, i, s, nil))
	}
	return all
}

func end(all ...*seat) {
	for _, x := range all {
		x.kill()
	}
	time.Sleep(time.Minute) // on the virtual clock: what the library still had under way ends by itself
}

// Hard cases on the virtual clock: the members and the library as they are, links as the case has them.
func TestHardCases(t *testing.T) {
	settings := quick("")
	back := settings.Return(5)
	for _, c := range []struct {
		name string
		play func(t *testing.T, w *web, all []*seat)
	}{
		{"one-way cut: nobody is held dead, since others look as well", func(t *testing.T, w *web, all []*seat) {
			w.set(func() { w.cut = func(from, to string) bool { return from == address(1) && to == address(3) } })
			for range 20 {
				time.Sleep(time.Second)
				if h := all[0].holds(); len(h) != 5 {
					t.Errorf("m0 holds %v", h)
				}
			}
		}},
		{"a member that is slow for half the suspicion time, and then for three times it", func(t *testing.T, w *web, all []*seat) {
			slow := func(d time.Duration) { // as one that is stopped: nothing comes or goes
				w.set(func() { w.cut = func(from, to string) bool { return from == address(2) || to == address(2) } })
				time.Sleep(d)
				w.set(func() { w.cut = func(_, _ string) bool { return false } })
			}
			suspicion := config.Suspicion * settings.Probe
			for range 5 {
				slow(suspicion / 2)
				if h := all[0].holds(); len(h) != 5 {
					t.Errorf("after half of it m0 holds %v", h)
				}
				time.Sleep(3 * time.Second)
			}
			slow(3 * suspicion)
			if h := all[0].holds(); len(h) != 4 {
				t.Errorf("after three times it m0 holds %v", h)
			}
		}},
		{"flapping link", func(t *testing.T, w *web, all []*seat) {
			start := time.Now()
			w.set(func() {
				w.cut = func(from, to string) bool {
					return (from == address(4) || to == address(4)) && time.Since(start)/(700*time.Millisecond)%2 == 0
				}
			})
			time.Sleep(30 * time.Second)
		}},
		{"half cut from half for long, and back", func(t *testing.T, w *web, all []*seat) {
			w.set(func() { w.cut = func(from, to string) bool { return (from < address(2)) != (to < address(2)) } })
			time.Sleep(3 * time.Minute)
			if a, b := all[0].holds(), all[4].holds(); len(a) != 2 || len(b) != 3 {
				t.Errorf("while cut m0 holds %v, m4 %v", a, b)
			}
		}},
		{"all cut from all", func(t *testing.T, w *web, all []*seat) {
			w.set(func() { w.cut = func(_, _ string) bool { return true } })
			time.Sleep(time.Minute)
		}},
		{"datagrams late by ten seconds, twice and out of order, and a tenth lost", func(t *testing.T, w *web, all []*seat) {
			w.set(func() {
				w.late, w.twice, w.loss = func() time.Duration { return time.Duration(w.chance.Int64N(int64(10 * time.Second))) }, 0.5, 0.1
			})
			time.Sleep(time.Minute)
			w.set(func() { w.late, w.twice, w.loss = func() time.Duration { return time.Millisecond }, 0, 0 })
			time.Sleep(10 * time.Second) // the last late ones still come
		}},
		{"a member that is killed and comes back at another address", func(t *testing.T, w *web, all []*seat) {
			all[3].kill()
			all[3] = w.join(t, 9, quick("m3", address(0)), nil)
		}},
		{"all restarted at once, the only joined address among them", func(t *testing.T, w *web, all []*seat) {
			end(all...)
			for i := range all {
				all[i] = w.join(t, i, quick(fmt.Sprint("m", i), address(0)), nil)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWeb(1)
				all := w.fleet(t, 5, nil)
				if _, ok := until(all, back, count(5)); !ok {
					t.Fatalf("before: %v", all[0].holds())
				}
				c.play(t, w, all)
				w.mu.Lock()
				w.cut = func(_, _ string) bool { return false }
				w.mu.Unlock()
				took, ok := until(all, back, count(5))
				t.Logf("all views the same after %s (%s at most)", took, back)
				if !ok {
					for _, x := range all {
						t.Errorf("%s holds %v", x.g.Self().ID, x.holds())
					}
				}
				end(all...)
			})
		})
	}
}

// Two runs of one name: the newer counts everywhere, the older is told that it is over, whatever the wall clock and the
// disk say; where the only address to join is gone, a member is one alone and tries on.
func TestRuns(t *testing.T) {
	dir := t.TempDir()
	for _, c := range []struct {
		name  string
		fs    disk.FS
		wall  int64
		alone bool // reaches nobody at its start
	}{
		{"others remember, no disk, the wall clock an hour back", nil, 1000 - 3600, false},
		{"its disk remembers, nobody is reached", disk.Dir(filepath.Join(dir, "kept")), 0, true},
		{"nobody is reached, no disk, the clock back: it takes another epoch when it meets others", nil, 0, true},
		{"a disk that is full", disk.Faulty{Dir: disk.Dir(filepath.Join(dir, "full")), Says: filepath.Join(dir, "says")}, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			os.WriteFile(filepath.Join(dir, "says"), []byte("full"), 0o600)
			synctest.Test(t, func(t *testing.T) {
				w := newWeb(1)
				all := w.fleet(t, 3, nil)
				old := w.join(t, 3, quick("x", address(0)), func(o *Options) { o.FS = c.fs })
				until(append(all, old), time.Minute, count(4))
				// The old run is held up; a new one starts elsewhere.
				w.mu.Lock()
				delete(w.at, old.addr.String())
				w.cut = func(from, to string) bool {
					return from == old.addr.String() || to == old.addr.String() || c.alone && (from == address(4) || to == address(4))
				}
				w.mu.Unlock()
				newer := w.join(t, 4, quick("x", address(0)), func(o *Options) {
					o.FS, o.Wall = c.fs, func() time.Time { return time.Unix(c.wall, 0) }
				})
				time.Sleep(3 * time.Second)
				w.mu.Lock()
				w.at[old.addr.String()] = old
				w.cut = func(_, _ string) bool { return false }
				w.mu.Unlock()
				if took, ok := until(append(all, newer), settingsReturn(4), count(4)); !ok {
					t.Errorf("after %s m0 holds %v, the newer %v", took, all[0].holds(), newer.holds())
				}
				time.Sleep(10 * time.Second)
				self := newer.g.Self()
				if m := all[0].now("x"); m.ID != self.ID || m.State != Alive {
					t.Errorf("m0 holds %s %s as x, the newer is %s", m.ID, m.State, self.ID)
				}
				if v := old.g.View(); v.Over != self.ID.String() {
					t.Errorf("the old run is over by %q", v.Over)
				}
				if v := newer.g.View(); v.Over != "" {
					t.Error("the newer run is over")
				}
				end(append(all, old, newer)...)
			})
		})
	}
}

func settingsReturn(n int) time.Duration { return quick("", "a").Return(n) }

// A leave is no failure, and a death is known within its bound.
func TestLeaveAndDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWeb(1)
		all := w.fleet(t, 5, nil)
		until(all, time.Minute, count(5))
		all[4].g.Leaving(true)
		time.Sleep(time.Second)
		if m := all[0].now("m4"); !m.Leaving || m.State != Alive {
			t.Errorf("m0 holds m4 as %s, leaving %v", m.State, m.Leaving)
		}
		w.mu.Lock()
		delete(w.at, address(4))
		w.mu.Unlock()
		all[4].g.Leave()
		time.Sleep(time.Second)
		for _, x := range all[:4] {
			if m := x.now("m4"); m.State != Left {
				t.Errorf("%s holds m4 as %s", x.g.Self().ID, m.State)
			}
		}
		all[3].kill()
		bound := quick("").Death(4)
		if took, ok := until(all[:3], bound, count(3)); !ok {
			t.Errorf("a death is not known after %s", took)
		}
		end(all[:3]...)
	})
}

// Sizes: time until a death is known to all, members wrongly held dead, bytes. OTTERSHIFT_SIZES="5 30 100 500" plays more
// than the usual and prints the table of docs/design-cluster.md.
func TestSizes(t *testing.T) {
	sizes, minutes := []int{10, 40}, 1
	if text := os.Getenv("OTTERSHIFT_SIZES"); text != "" {
		sizes, minutes = nil, 3
		for _, f := range strings.Fields(text) {
			n, _ := strconv.Atoi(f)
			sizes = append(sizes, n)
		}
	}
	for _, n := range sizes {
		for _, loss := range []float64{0, 0.01, 0.1} {
			synctest.Test(t, func(t *testing.T) {
				w := newWeb(uint64(n))
				w.loss = loss
				each := func(s *config.Settings) { s.Probe, s.Rejoin = config.Probe, config.Rejoin }
				var mu sync.Mutex
				said := map[string]int{}
				var all []*seat
				settled := false
				for i := range n {
					s := quick(fmt.Sprint("m", i), address(0), address(1))
					each(s)
					all = append(all, w.join(t, i, s, func(o *Options) {
						o.Changed = func(c Change) {
							mu.Lock()
							defer mu.Unlock()
							if c.State == Dead && settled {
								said[c.ID.String()]++
							}
						}
					}))
				}
				met, _ := until(all, 5*time.Minute, count(n))
				mu.Lock()
				settled = true
				mu.Unlock()
				before := int64(0)
				for _, x := range all {
					before += x.out.Load()
				}
				span := time.Duration(minutes) * time.Minute
				time.Sleep(span)
				after := int64(0)
				for _, x := range all {
					after += x.out.Load()
				}
				mu.Lock()
				false1 := len(said)
				clear(said)
				mu.Unlock()
				bound := all[0].g.o.Settings.Death(n)
				var took []time.Duration
				for k := range min(5, n/3) {
					x := all[len(all)-1-k]
					x.kill()
					id := x.g.Self().ID
					rest := all[:len(all)-1-k]
					d, ok := until(rest, bound, func(holds []string) bool {
						return !slices.Contains(holds, fmt.Sprintf("%s/%d", id.Name, id.Epoch))
					})
					if !ok {
						t.Errorf("%d members, %g lost: a death is not known after %s", n, loss, d)
					}
					took = append(took, d)
					time.Sleep(5 * time.Second)
				}
				slices.Sort(took)
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				t.Logf("members %d lost %g: met after %s; a death is known to all after %s (median), %s (worst), bound %s; %d wrongly held dead in %s; %d bytes/s out a member; %d goroutines and %d kB a member",
					n, loss, met.Round(10*time.Millisecond), took[len(took)/2], took[len(took)-1], bound, false1, span, (after-before)/int64(n)/int64(span/time.Second),
					runtime.NumGoroutine()/n, int(m.HeapInuse>>10)/n)
				if loss == 0 && false1 > 0 {
					t.Errorf("%d members over sound links: %d wrongly held dead", n, false1)
				}
				end(all[:len(all)-len(took)]...)
			})
		}
	}
}
