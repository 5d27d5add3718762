package ledger

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ottershift/internal/cluster/disk"
	"ottershift/internal/cluster/keep"
	"ottershift/internal/cluster/link"
	"ottershift/internal/cluster/pack"
	"ottershift/internal/lab/between"
)

// fleet is keepers with links and disks of their own, and a member that is none, with so long a way between any two.
func fleet(t testing.TB, keepers, groups int, delay time.Duration) *Ledger {
	mesh, err := between.New(keepers+1, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(mesh.Close)
	var names []string
	for i := range keepers + 1 {
		names = append(names, fmt.Sprint("k", i))
		for k := range keepers + 1 {
			if i != k {
				mesh.Set(i, k, func(x *between.Trouble) { x.Delay = delay })
			}
		}
	}
	dir := t.TempDir()
	var member *link.Link
	var all []*keep.Replica
	for i, name := range names {
		where := map[string]string{}
		for k, other := range names {
			if k != i {
				where[other] = mesh.Address(i, k)
			}
		}
		l, err := link.Listen(link.Options{
			Cluster: "c", Self: name, Address: "127.0.0.1:0", AddressOverrides: where, Log: slog.New(slog.DiscardHandler), HandleStream: func(c net.Conn) { c.Close() },
			HandleDatagram: func(byte, []byte, net.Addr) {}, Resolve: func(string) (string, bool) { return "", false },
		})
		if err != nil {
			t.Fatal(err)
		}
		mesh.Target(i, l.Addr().String())
		t.Cleanup(l.Close)
		if i == keepers {
			l.Serve()
			member = l
			break
		}
		for g := range groups {
			at := keep.GroupDir(filepath.Join(dir, name), g)
			k, err := keep.NewReplica(keep.Options{
				Cluster: "c", Name: name, Voters: names[:keepers], Group: g, Dir: at, FS: disk.Dir(at), Transport: l, ElectionTimeout: time.Second,
				Lease: keep.Lease{Duration: time.Second, MaxDrift: 0.02}, Checks: keep.SafetyChecks{Fencing: true, Deduplication: true}, Log: slog.New(slog.DiscardHandler),
				Parts: map[byte]keep.Part{Part: NewBook(Guards{Fence: true}, 1)},
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(k.Close)
			all = append(all, k)
		}
		l.Serve()
	}
	for _, k := range all {
		k.Start()
	}
	var clients []Keepers
	for g := range groups {
		c := keep.NewClient(member, names[keepers], names[:keepers], g)
		clients = append(clients, c)
		for n := 0; ; n++ {
			ctx, end := context.WithTimeout(context.Background(), time.Second)
			_, err := c.Open(ctx, 1, 1)
			end()
			if err == nil {
				break
			} else if n == 20 {
				t.Fatal(err)
			}
		}
	}
	l := Begin(Options{Groups: clients, Within: 3 * time.Second, Lag: 20 * time.Millisecond, Keys: 1 << 20, Log: slog.New(slog.DiscardHandler)})
	t.Cleanup(l.Close)
	return l
}

// BenchmarkClaims: from the wish to send until a push may leave, by keepers, the way between any two and how many ask at once.
func BenchmarkClaims(b *testing.B) {
	for _, keepers := range []int{1, 3, 5} {
		for _, delay := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
			for _, at := range []int{1, 64, 512} {
				for _, groups := range []int{1, 4} {
					if groups > 1 && (at < 512 || delay != 0) {
						continue
					}
					b.Run(fmt.Sprintf("keepers=%d/delay=%s/at=%d/groups=%d", keepers, delay, at, groups), func(b *testing.B) {
						l := fleet(b, keepers, groups, delay)
						var next atomic.Int64
						var mu sync.Mutex
						var took []time.Duration
						b.ResetTimer()
						var all sync.WaitGroup
						begun := time.Now()
						for range at {
							all.Go(func() {
								for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
									c := l.Begin(Ask{Pool: "p", Tariff: "t", Tag: fmt.Sprint(n), ID: fmt.Sprint(n), Binds: true, Keep: time.Minute, Contract: time.Second}, time.Second)
									start := time.Now()
									if err := c.Take(context.Background(), "a/1", "u1", true); err != nil {
										b.Error(err)
									}
									one := time.Since(start)
									c.End(EndAnswered)
									mu.Lock()
									took = append(took, one)
									mu.Unlock()
								}
							})
						}
						all.Wait()
						b.StopTimer()
						slices.Sort(took)
						b.ReportMetric(float64(len(took))/time.Since(begun).Seconds(), "claims/s")
						b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "p50-ms")
						b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "p99-ms")
						b.ReportMetric(float64(l.Counts.Claims.Load()+l.Counts.Ends.Load())/float64(max(1, l.Counts.Batches.Load())), "ops/batch")
					})
				}
			}
		}
	}
}

// A million keys of one customer, and one of 64 KiB: what they take, and that all of them are forgotten in their time.
func TestAMillionKeys(t *testing.T) {
	n := 1_000_000 / slower
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b := NewBook(Guards{Fence: true}, 1)
	long := strings.Repeat("k", 64<<10)
	begun := time.Now()
	for i := 0; i < n; i += mostOps {
		var x Batch
		for k := range min(mostOps, n-i) {
			key := KeyOf("tag", "pool", "customer", "order", fmt.Sprint(long[:(i+k)%2*32], i+k))
			x.Ops = append(x.Ops, Op{
				What: claim, Key: key[:], Number: uint64(i + k + 1), Group: fmt.Sprint("a/", k%4), Pool: "pool", Customer: "customer", Tariff: "order",
				Keep: 60 * second, ID: fmt.Sprintf("%016x", i+k), Label: fmt.Sprintf("%032x", i+k), To: "upstream-1234",
			})
			x.Ops = append(x.Ops, Op{What: end, Key: key[:], Number: uint64(i + k + 1), How: EndAnswered})
		}
		a := b.Apply(uint64(i+2), &keep.Command{Member: "b1", Epoch: 1, Seq: uint64(i + 1), Body: pack.Pack(&x)})
		var r Results
		if pack.Unpack(a.Body, &r) != nil || r.All[0].Code != Granted {
			t.Fatal(r.All[0])
		}
	}
	fill := time.Since(begun)
	b.pass(second)
	runtime.GC()
	runtime.ReadMemStats(&after)
	begun = time.Now()
	raw := b.Save()
	save := time.Since(begun)
	begun = time.Now()
	c := NewBook(Guards{Fence: true}, 1)
	if err := c.Load(raw); err != nil || c.sum != b.sum || len(c.at) != n {
		t.Fatalf("a snapshot of %d keys: %v", n, err)
	}
	load := time.Since(begun)
	begun = time.Now()
	c.pass(30 * second)
	c.pass(32 * second)
	t.Logf("%d keys: %d bytes of memory and %d of a snapshot each; claimed and ended in %s, saved in %s, read in %s, forgotten in %s", n,
		(after.HeapAlloc-before.HeapAlloc)/uint64(n), len(raw)/n, fill, save, load, time.Since(begun))
	if len(c.at) != 0 || c.sum != 0 {
		t.Errorf("%d keys are left, sum %x", len(c.at), c.sum)
	}
	if per := (after.HeapAlloc - before.HeapAlloc) / uint64(n); per > 352 {
		t.Errorf("a key takes %d bytes, more than check says", per)
	}
	if len(raw)/n > 144 {
		t.Errorf("a key takes %d bytes of a snapshot, more than check says", len(raw)/n)
	}
	if KeyOf(long+"a") == KeyOf(long+"b") || KeyOf("ab", "c") == KeyOf("a", "bc") {
		t.Error("two keys are one")
	}
	// All of it is told page by page, each once, also where the copy changes in between.
	pages, all := 0, 0
	if err := Each(Query{What: "find", Group: "a/1"}, func(q *Query) (Page, error) {
		if pages++; pages == 3 {
			b.copy++
		}
		return b.Ask(q), nil
	}, func(e Entry) error { all++; return nil }); err != nil || all != n/4 || pages < 4 {
		t.Errorf("%d of %d keys in %d pages, %v", all, n/4, pages, err)
	}
	// Over its bound nothing is dropped: what is new is told so.
	key := KeyOf("more")
	full := b.do(&keep.Command{Member: "b1", Epoch: 1}, &Op{What: claim, Key: key[:], Number: uint64(n + 1), Keep: second}, n)
	if full.Code != Full || len(b.at) != n {
		t.Errorf("over the bound a claim was told %s", names[full.Code])
	}
}
