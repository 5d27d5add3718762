package keep

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ottershift/internal/cluster/disk"
	"ottershift/internal/cluster/link"
)

// host is a process's share of it: a link and a keeper, on real sockets and a real disk.
type host struct {
	name string
	l    *link.Link
	k    *Keeper
	c    *Client
	o    Options
}

func hosts(t testing.TB, voters []string, all ...string) map[string]*host {
	where := map[string]string{}
	m := map[string]*host{}
	dir := t.TempDir()
	for _, name := range all {
		l, err := link.Listen(link.Options{
			Cluster: "c", Self: name, Address: "127.0.0.1:0", Log: slog.New(slog.DiscardHandler), HandleStream: func(c net.Conn) { c.Close() },
			HandleDatagram: func(byte, []byte, net.Addr) {}, Resolve: func(n string) (string, bool) { a, ok := where[n]; return a, ok },
		})
		if err != nil {
			t.Fatal(err)
		}
		where[name] = l.Addr().String()
		at := Group(filepath.Join(dir, name), 0)
		m[name] = &host{name: name, l: l, c: NewClient(l, name, voters, 0), o: Options{
			Cluster: "c", Name: name, Voters: voters, Dir: at, FS: disk.Dir(at), Way: l, Election: 200 * time.Millisecond,
			Lease: Lease{time.Second, 0.02}, Guards: Guards{true, true}, Log: slog.New(slog.DiscardHandler),
		}}
		t.Cleanup(l.Close)
	}
	return m
}

func (h *host) begin(t testing.TB) {
	t.Helper()
	var err error
	if h.k, err = NewKeeper(h.o); err != nil {
		t.Fatal(err)
	}
	h.k.Begin()
}

func soon(t testing.TB, what string, is func() bool) {
	t.Helper()
	for range 2000 {
		if is() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("not soon: " + what)
}

// in is a time limit, wide enough for a machine that does other work as well.
func in(t testing.TB, d time.Duration) context.Context {
	ctx, stop := context.WithTimeout(context.Background(), 4*d)
	t.Cleanup(stop)
	return ctx
}

// Three keepers and a member that is none: sessions, duties and their tokens; a keeper lost and back; one that is wiped is
// refused under its old name until it is put in its own place; an old copy is refused as well.
func TestKeepers(t *testing.T) {
	voters := []string{"a", "b", "c"}
	m := hosts(t, voters, "a", "b", "c", "x")
	for _, n := range voters {
		m[n].begin(t)
	}
	for _, h := range m {
		h.l.Serve()
	}
	x := m["x"].c
	if _, err := x.Open(in(t, 5*time.Second), 7, 1); err != nil {
		t.Fatal(err)
	}
	if known, err := m["a"].c.Open(in(t, 2*time.Second), 1, 9); err != nil || known != 1 {
		t.Fatal(known, err)
	}
	first, err := x.Do(in(t, time.Second), Command{Kind: Take, Duty: "list"})
	if err != nil || first.Code != OK {
		t.Fatal(first, err)
	}
	if a, err := m["a"].c.Do(in(t, time.Second), Command{Kind: Take, Duty: "list"}); err != nil || a.Code != ErrOwned || a.Owner != "x" {
		t.Errorf("taken twice: %+v, %v", a, err)
	}
	if ok, err := x.Renew(in(t, time.Second), map[string]uint64{"list": first.Token, "other": 1}); err != nil || len(ok) != 1 {
		t.Errorf("renewed %v, %v", ok, err)
	}
	// Nobody renews it any more: it is free after the lease, and the next token is higher.
	var next Answer
	soon(t, "the tenure ends", func() bool {
		next, err = m["a"].c.Do(in(t, time.Second), Command{Kind: Take, Duty: "list"})
		return err == nil && next.Code == OK
	})
	if next.Token <= first.Token {
		t.Errorf("token %d after %d", next.Token, first.Token)
	}
	if a, _ := x.Do(in(t, time.Second), Command{Kind: Drop, Duty: "list", Token: first.Token}); a.Code != ErrFence {
		t.Errorf("an old token lets go: %+v", a)
	}
	// A newer run of x; the older gets nothing through.
	newer := NewClient(m["x"].l, "x", voters, 0)
	if _, err := newer.Open(in(t, time.Second), 8, 2); err != nil {
		t.Fatal(err)
	}
	if _, err := x.Do(in(t, time.Second), Command{Kind: Take, Duty: "more"}); err != ErrMemberOver {
		t.Errorf("an old run: %v", err)
	}

	// One keeper is lost with its disk and started under its old name: it must not vote.
	copyOf := filepath.Join(t.TempDir(), "old")
	m["b"].k.Close()
	os.CopyFS(copyOf, os.DirFS(m["b"].o.Dir))
	m["b"].begin(t)
	soon(t, "b is back", func() bool { s, _ := m["b"].k.Stand(); return s.Role != "" })
	time.Sleep(1200 * time.Millisecond) // the others hear of this run
	m["b"].k.Close()
	os.RemoveAll(m["b"].o.Dir)
	os.CopyFS(m["b"].o.Dir, os.DirFS(copyOf))
	m["b"].begin(t)
	soon(t, "the old copy is refused", func() bool { _, why := m["b"].k.Stand(); return strings.Contains(why, "old copy") })
	m["b"].k.Close()
	os.RemoveAll(m["b"].o.Dir)
	m["b"].begin(t)
	soon(t, "the wiped one is refused", func() bool { _, why := m["b"].k.Stand(); return strings.Contains(why, "another disk") })
	if a, err := newer.Do(in(t, 2*time.Second), Command{Kind: Take, Duty: "more"}); err != nil || a.Code != OK {
		t.Errorf("with two keepers: %+v, %v", a, err)
	}
	if _, err := newer.Order(in(t, 3*time.Second), Order{What: "replace", Name: "b"}); err != nil {
		t.Fatal(err)
	}
	soon(t, "b votes again in a seat of its own", func() bool {
		s, why := m["b"].k.Stand()
		if why != "" || len(s.Seats) != 3 || s.Changing {
			return false
		}
		for _, x := range s.Seats {
			if x.Name == "b" && (x.ID != 4 || x.Learner) {
				return false
			}
		}
		return true
	})
	// With b's vote the group bears the loss of another.
	m["c"].k.Close()
	if a, err := newer.Do(in(t, 4*time.Second), Command{Kind: Take, Duty: "third"}); err != nil || a.Code != OK {
		t.Errorf("with b's vote: %+v, %v", a, err)
	}
	m["b"].k.Close()
	if _, err := newer.Do(in(t, 125*time.Millisecond), Command{Kind: Take, Duty: "fourth"}); err == nil {
		t.Error("one keeper of three agrees on something")
	}
	// All again.
	m["a"].k.Close()
	for _, n := range voters {
		m[n].begin(t)
	}
	soon(t, "the state is there after all were down", func() bool {
		a, err := newer.Read(in(t, time.Second), false)
		return err == nil && len(a.Duties) >= 3
	})
	for _, n := range voters {
		m[n].k.Close()
	}
}

// The majority is lost with its disks: the one that is left goes on alone after recover, keeps what it held, gives no token twice,
// and takes others in again. A snapshot is restored into a new directory, and only there.
func TestRecoverAndRestore(t *testing.T) {
	voters := []string{"a", "b", "c"}
	m := hosts(t, voters, "a", "b", "c", "x")
	for _, n := range voters {
		m[n].begin(t)
	}
	for _, h := range m {
		h.l.Serve()
	}
	x := m["x"].c
	if _, err := x.Open(in(t, 5*time.Second), 1, 1); err != nil {
		t.Fatal(err)
	}
	before, err := x.Do(in(t, time.Second), Command{Kind: Take, Duty: "list"})
	if err != nil {
		t.Fatal(err)
	}
	raw, err := x.Order(in(t, time.Second), Order{What: "snapshot"})
	if err != nil || len(raw) == 0 {
		t.Fatal(err)
	}
	soon(t, "all have it", func() bool {
		s, _ := m["a"].k.Stand()
		return s.Applied >= before.Index
	})
	for _, n := range voters {
		m[n].k.Close()
	}
	os.RemoveAll(m["b"].o.Dir)
	os.RemoveAll(m["c"].o.Dir)
	f, err := Look(m["a"].o.Dir, nil)
	if err != nil || f.Name != "a" || f.Last < before.Index || len(f.Seats) != 3 || len(f.Loses()) == 0 {
		t.Fatalf("%+v, %v", f, err)
	}
	if err := Recover(m["a"].o.Dir, f, "test"); err != nil {
		t.Fatal(err)
	}
	for _, n := range voters {
		m[n].begin(t)
	}
	y := NewClient(m["x"].l, "x", voters, 0)
	if _, err := y.Open(in(t, 2*time.Second), 2, 2); err != nil {
		for _, n := range voters {
			s, why := m[n].k.Stand()
			t.Logf("%s stands as %+v %s", n, s, why)
		}
		t.Fatal(err)
	}
	after, err := y.Do(in(t, time.Second), Command{Kind: Take, Duty: "list"})
	if err != nil || after.Code != OK || after.Token <= before.Token {
		t.Errorf("after recover: %+v, %v", after, err)
	}
	for _, n := range []string{"b", "c"} {
		soon(t, n+" is taken in", func() bool {
			s, _ := m["a"].k.Stand()
			if s.Changing {
				return false
			}
			for _, seat := range s.Seats {
				if seat.Name == n {
					return true
				}
			}
			y.Order(in(t, 300*time.Millisecond), Order{What: "replace", Name: n})
			return false
		})
	}
	if s, _ := m["a"].k.Stand(); len(s.Seats) != 3 || len(s.Lost) != 1 {
		t.Errorf("it stands as %+v", s)
	}
	for _, n := range voters {
		m[n].k.Close()
	}
	dir := filepath.Join(t.TempDir(), "new")
	if err := Restore(dir, "a", raw, nil); err != nil {
		t.Fatal(err)
	}
	if f, err := Look(dir, nil); err != nil || f.State.Duties["list"].Token <= before.Token || f.State.Sessions["x"] == nil {
		t.Errorf("restored: %+v, %v", f, err)
	}
	if Restore(dir, "a", raw, nil) == nil {
		t.Error("a snapshot was restored over a directory that is there")
	}
	if Restore(filepath.Join(dir, "worse"), "a", raw[:len(raw)/2], nil) == nil {
		t.Error("half a snapshot was restored")
	}
}

func ExampleLease() {
	l := Lease{3 * time.Second, 0.02}
	fmt.Println(l.Owner(), l.Keeper())
	// Output: 2.94s 3.06s
}

// BenchmarkCommands: commands a second and their time at 1, 3 and 5 keepers, by so many that ask at once, beside the bare sync
// of that disk. Run with -benchtime 2s.
func BenchmarkCommands(b *testing.B) {
	b.Run("sync", func(b *testing.B) {
		f, err := os.Create(filepath.Join(b.TempDir(), "f"))
		if err != nil {
			b.Fatal(err)
		}
		defer f.Close()
		for b.Loop() {
			f.Write(make([]byte, 200))
			f.Sync()
		}
	})
	for _, n := range []int{1, 3, 5} {
		for _, asking := range []int{1, 64} {
			b.Run(fmt.Sprintf("keepers=%d/asking=%d", n, asking), func(b *testing.B) {
				voters := []string{"a", "b", "c", "d", "e"}[:n]
				m := hosts(b, voters, append([]string{"x"}, voters...)...)
				for _, v := range voters {
					m[v].begin(b)
				}
				for _, h := range m {
					h.l.Serve()
				}
				c := m["x"].c
				if _, err := c.Open(in(b, 10*time.Second), 1, 1); err != nil {
					b.Fatal(err)
				}
				took := make([]time.Duration, b.N)
				var next atomic.Int64
				var all sync.WaitGroup
				b.ResetTimer()
				for range asking {
					all.Go(func() {
						for i := next.Add(1) - 1; i < int64(b.N); i = next.Add(1) - 1 {
							start := time.Now()
							if _, err := c.Do(in(b, 5*time.Second), Command{Kind: Take, Duty: "d"}); err != nil {
								b.Error(err)
								return
							}
							took[i] = time.Since(start)
						}
					})
				}
				all.Wait()
				b.StopTimer()
				slices.Sort(took)
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commands/s")
				b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
				b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
				for _, v := range voters {
					m[v].k.Close()
				}
			})
		}
	}
}

// BenchmarkLost: from the moment a leader is gone until a member's next command is answered, at an election of 200 ms. What is
// lost leaves by intent (its lead is handed over first), or without a word.
func BenchmarkLost(b *testing.B) {
	for _, intent := range []bool{false, true} {
		b.Run(fmt.Sprintf("intent=%t", intent), func(b *testing.B) {
			voters := []string{"a", "b", "c"}
			m := hosts(b, voters, "a", "b", "c", "x")
			for _, v := range voters {
				m[v].begin(b)
			}
			for _, h := range m {
				h.l.Serve()
			}
			c := m["x"].c
			if _, err := c.Open(in(b, 10*time.Second), 1, 1); err != nil {
				b.Fatal(err)
			}
			worst := time.Duration(0)
			for b.Loop() {
				b.StopTimer()
				s, err := c.Status(in(b, time.Second), "a")
				if err != nil {
					b.Fatal(err)
				}
				lost := m[s.Leader]
				if intent {
					to := map[string]string{"a": "b", "b": "c", "c": "a"}[lost.name]
					if _, err := c.Order(in(b, time.Second), Order{What: "transfer", Name: to}); err != nil {
						b.Fatal(err)
					}
				}
				lost.k.Close()
				start := time.Now()
				b.StartTimer()
				if _, err := c.Do(in(b, 10*time.Second), Command{Kind: Take, Duty: "d"}); err != nil {
					b.Fatal(err)
				}
				b.StopTimer()
				worst = max(worst, time.Since(start))
				lost.begin(b)
				soon(b, "it is back", func() bool { s, why := lost.k.Stand(); return why == "" && s.Leader != "" })
				b.StartTimer()
			}
			b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
			for _, v := range voters {
				m[v].k.Close()
			}
		})
	}
}

// BenchmarkOpen: from the start until a directory of so many entries has been read and checked.
func BenchmarkOpen(b *testing.B) {
	for _, n := range []uint64{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			dir := b.TempDir()
			l, _, err := OpenLog(dir, disk.Dir(dir), nil)
			if err != nil {
				b.Fatal(err)
			}
			l.SaveSnapshot(First(NewState("c", []Seat{{ID: 1, Name: "a", Disk: "d"}}, nil, all)), 0)
			for at := uint64(2); at < n+2; at += 500 {
				var some []*raftpb.Entry
				for i := range uint64(500) {
					some = append(some, &raftpb.Entry{Index: proto.Uint64(at + i), Term: proto.Uint64(1), Data: make([]byte, 200)})
				}
				if err := l.Save(nil, some, true); err != nil {
					b.Fatal(err)
				}
			}
			l.Close()
			for b.Loop() {
				l, d, err := OpenLog(dir, disk.Dir(dir), nil)
				if err != nil || uint64(len(d.Entries)) < n {
					b.Fatal(err)
				}
				l.Close()
			}
		})
	}
}
