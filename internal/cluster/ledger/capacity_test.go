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

// startCluster starts replicas with their own links and disks, and returns the ledger of a further member that is not a
// replica. delay is the network delay between any two of them.
func startCluster(t testing.TB, replicas, groups int, delay time.Duration) *Ledger {
	mesh, err := between.New(replicas+1, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(mesh.Close)
	var names []string
	for i := range replicas + 1 {
		names = append(names, fmt.Sprint("k", i))
		for k := range replicas + 1 {
			if i != k {
				mesh.Set(i, k, func(trouble *between.Faults) { trouble.Delay = delay })
			}
		}
	}
	dir := t.TempDir()
	var member *link.Link
	var started []*keep.Replica
	for i, name := range names {
		routes := map[string]string{}
		for k, other := range names {
			if k != i {
				routes[other] = mesh.Address(i, k)
			}
		}
		node, err := link.Listen(link.Options{
			Cluster: "c", Self: name, Address: "127.0.0.1:0", AddressOverrides: routes, Log: slog.New(slog.DiscardHandler),
			HandleStream:   func(c net.Conn) { c.Close() },
			HandleDatagram: func(byte, []byte, net.Addr) {}, Resolve: func(string) (string, bool) { return "", false },
		})
		if err != nil {
			t.Fatal(err)
		}
		mesh.Target(i, node.Addr().String())
		t.Cleanup(node.Close)
		if i == replicas {
			node.Serve()
			member = node
			break
		}
		for g := range groups {
			groupDir := keep.GroupDir(filepath.Join(dir, name), g)
			replica, err := keep.NewReplica(keep.Options{
				Cluster: "c", Name: name, Voters: names[:replicas], Group: g, Dir: groupDir, FS: disk.Dir(groupDir),
				Transport: node, ElectionTimeout: time.Second,
				Lease: keep.Lease{Duration: time.Second, MaxDrift: 0.02}, Checks: keep.SafetyChecks{Fencing: true, Deduplication: true},
				Log:   slog.New(slog.DiscardHandler),
				Parts: map[byte]keep.Part{StateMachineID: NewStateMachine(Guards{Fence: true}, 1)},
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(replica.Close)
			started = append(started, replica)
		}
		node.Serve()
	}
	for _, replica := range started {
		replica.Start()
	}
	var clients []GroupClient
	for g := range groups {
		c := keep.NewClient(member, names[replicas], names[:replicas], g)
		clients = append(clients, c)
		for n := 0; ; n++ {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := c.Open(ctx, 1, 1)
			cancel()
			if err == nil {
				break
			} else if n == 20 {
				t.Fatal(err)
			}
		}
	}
	ledger := Start(Options{Groups: clients, Timeout: 3 * time.Second, ReleaseDelay: 20 * time.Millisecond,
		MaxKeys: 1 << 20, Log: slog.New(slog.DiscardHandler)})
	t.Cleanup(ledger.Close)
	return ledger
}

// BenchmarkClaims measures the time until a claim is granted, by number of replicas, network delay and concurrency.
func BenchmarkClaims(b *testing.B) {
	for _, replicas := range []int{1, 3, 5} {
		for _, delay := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
			for _, concurrency := range []int{1, 64, 512} {
				for _, groups := range []int{1, 4} {
					if groups > 1 && (concurrency < 512 || delay != 0) {
						continue
					}
					b.Run(fmt.Sprintf("keepers=%d/delay=%s/at=%d/groups=%d", replicas, delay, concurrency, groups), func(b *testing.B) {
						ledger := startCluster(b, replicas, groups, delay)
						var next atomic.Int64
						var mu sync.Mutex
						var latencies []time.Duration
						b.ResetTimer()
						var workers sync.WaitGroup
						benchStart := time.Now()
						for range concurrency {
							workers.Go(func() {
								for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
									claim := ledger.NewClaim(Request{Pool: "p", Tariff: "t",
										IdempotencyKey: fmt.Sprint(n), ID: fmt.Sprint(n), GroupScoped: true,
										Retention: time.Minute, ContractTime: time.Second}, time.Second)
									start := time.Now()
									if err := claim.Acquire(context.Background(), "a/1", "u1", true); err != nil {
										b.Error(err)
									}
									latency := time.Since(start)
									claim.Release(OutcomeAnswered)
									mu.Lock()
									latencies = append(latencies, latency)
									mu.Unlock()
								}
							})
						}
						workers.Wait()
						b.StopTimer()
						slices.Sort(latencies)
						b.ReportMetric(float64(len(latencies))/time.Since(benchStart).Seconds(), "claims/s")
						b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds())/1000, "p50-ms")
						b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds())/1000, "p99-ms")
						b.ReportMetric(float64(ledger.Counts.Claims.Load()+ledger.Counts.Releases.Load())/
							float64(max(1, ledger.Counts.Batches.Load())), "ops/batch")
					})
				}
			}
		}
	}
}

// TestMillionKeys guards the memory and snapshot size per key that the configuration check assumes. It also checks that
// a million keys all expire, that keys of 64 KiB stay distinct, and that a full ledger refuses new keys instead of
// dropping old ones.
func TestMillionKeys(t *testing.T) {
	n := 1_000_000 / raceDivisor
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	sm := NewStateMachine(Guards{Fence: true}, 1)
	long := strings.Repeat("k", 64<<10)
	start := time.Now()
	for i := 0; i < n; i += maxBatchOps {
		var batch Batch
		for k := range min(maxBatchOps, n-i) {
			key := KeyOf("tag", "pool", "customer", "order", fmt.Sprint(long[:(i+k)%2*32], i+k))
			batch.Ops = append(batch.Ops, Op{
				Kind: opClaim, Key: key[:], Attempt: uint64(i + k + 1), Group: fmt.Sprint("a/", k%4), Pool: "pool",
				Customer: "customer", Tariff: "order",
				Retention: 60 * second, RequestID: fmt.Sprintf("%016x", i+k), ClientKey: fmt.Sprintf("%032x", i+k),
				Upstream: "upstream-1234",
			})
			batch.Ops = append(batch.Ops, Op{Kind: opRelease, Key: key[:], Attempt: uint64(i + k + 1), Outcome: OutcomeAnswered})
		}
		answer := sm.Apply(uint64(i+2), &keep.Command{Member: "b1", Epoch: 1, Seq: uint64(i + 1), Body: pack.Pack(&batch)})
		var results BatchResult
		if pack.Unpack(answer.Body, &results) != nil || results.Results[0].Code != CodeGranted {
			t.Fatal(results.Results[0])
		}
	}
	fillTime := time.Since(start)
	sm.advanceClock(second)
	runtime.GC()
	runtime.ReadMemStats(&after)
	start = time.Now()
	raw := sm.Save()
	saveTime := time.Since(start)
	start = time.Now()
	restored := NewStateMachine(Guards{Fence: true}, 1)
	if err := restored.Load(raw); err != nil || restored.checksum != sm.checksum || len(restored.slotByKey) != n {
		t.Fatalf("loading a snapshot of %d keys: %v", n, err)
	}
	loadTime := time.Since(start)
	start = time.Now()
	restored.advanceClock(30 * second)
	restored.advanceClock(32 * second)
	t.Logf("%d keys: %d bytes of memory and %d of a snapshot each; claimed and released in %s, saved in %s, loaded in %s, expired in %s", n,
		(after.HeapAlloc-before.HeapAlloc)/uint64(n), len(raw)/n, fillTime, saveTime, loadTime, time.Since(start))
	if len(restored.slotByKey) != 0 || restored.checksum != 0 {
		t.Errorf("%d keys are left, checksum %x", len(restored.slotByKey), restored.checksum)
	}
	if bytesPerKey := (after.HeapAlloc - before.HeapAlloc) / uint64(n); bytesPerKey > 352 {
		t.Errorf("a key takes %d bytes of memory, more than the configuration check assumes", bytesPerKey)
	}
	if len(raw)/n > 144 {
		t.Errorf("a key takes %d bytes of a snapshot, more than the configuration check assumes", len(raw)/n)
	}
	if KeyOf(long+"a") == KeyOf(long+"b") || KeyOf("ab", "c") == KeyOf("a", "bc") {
		t.Error("different requests have the same key")
	}
	// ForEach visits each key once, also if the copy changes between pages.
	pages, visited := 0, 0
	if err := ForEach(Query{Kind: "find", Group: "a/1"}, func(query *Query) (Page, error) {
		if pages++; pages == 3 {
			sm.copyID++
		}
		return sm.Query(query), nil
	}, func(e Entry) error { visited++; return nil }); err != nil || visited != n/4 || pages < 4 {
		t.Errorf("%d of %d keys in %d pages, %v", visited, n/4, pages, err)
	}
	// At the limit no key is dropped and new claims are refused.
	key := KeyOf("more")
	full := sm.applyOp(&keep.Command{Member: "b1", Epoch: 1},
		&Op{Kind: opClaim, Key: key[:], Attempt: uint64(n + 1), Retention: second}, n)
	if full.Code != CodeFull || len(sm.slotByKey) != n {
		t.Errorf("claim at the limit of keys: got %s", codeNames[full.Code])
	}
}
