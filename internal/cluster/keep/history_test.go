package keep

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"ottershift/internal/cluster/disk"
	"ottershift/internal/cluster/link"
	"ottershift/internal/lab/between"
)

// register is a part that holds one number; a write answers with the one before.
type register struct {
	mu    sync.Mutex
	value uint64
}

func (r *register) Apply(_ uint64, cmd *Command) Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.value
	r.value = binary.BigEndian.Uint64(cmd.Body)
	return Result{Code: CodeOK, Body: binary.BigEndian.AppendUint64(nil, previous)}
}
func (r *register) Ended(uint64, string, uint64) {}
func (r *register) Save() []byte                 { return r.Read(nil) }
func (r *register) Load(raw []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(raw) == 8 {
		r.value = binary.BigEndian.Uint64(raw)
	}
	return nil
}
func (r *register) Read([]byte) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return binary.BigEndian.AppendUint64(nil, r.value)
}

type operation struct {
	write bool
	value uint64
}

// observation is what a client was told; unknown: it may have taken effect at any time, or never.
type observation struct {
	value   uint64
	unknown bool
}

var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, in, out any) (bool, any) {
		i, o := in.(operation), out.(observation)
		if i.write {
			return o.unknown || o.value == state.(uint64), i.value
		}
		return o.unknown || o.value == state.(uint64), state
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprint(in, " ", out) },
}

// recordHistory plays keepers with links and disks of their own, clients that write and read, cuts, and keepers that are ended and
// started again; and returns what each client asked and was told.
func recordHistory(t *testing.T, seed uint64, stale bool) []porcupine.Operation {
	voters := []string{"a", "b", "c", "x", "y"}
	network, err := between.New(len(voters), seed)
	if err != nil {
		t.Fatal(err)
	}
	defer network.Close()
	rng := rand.New(rand.NewPCG(seed, 10))
	dir := t.TempDir()
	links, opts, keepers := make([]*link.Link, 5), make([]Options, 3), make([]*Replica, 3)
	startHost := func(i int) {
		addresses := map[string]string{}
		for k, name := range voters {
			if k != i {
				addresses[name] = network.Address(i, k)
			}
		}
		l, err := link.Listen(link.Options{
			Cluster: "c", Self: voters[i], Address: "127.0.0.1:0", Through: addresses, Log: slog.New(slog.DiscardHandler), Stream: func(c net.Conn) { c.Close() },
			Datagram: func(byte, []byte, net.Addr) {}, Resolve: func(n string) (string, bool) { return "", false },
		})
		if err != nil {
			t.Fatal(err)
		}
		links[i] = l
		network.Target(i, l.Addr().String())
		if i < 3 {
			groupDir := GroupDir(filepath.Join(dir, voters[i]), 0)
			opts[i] = Options{
				Cluster: "c", Name: voters[i], Voters: voters[:3], Dir: groupDir, FS: disk.Dir(groupDir), Transport: l, ElectionTimeout: 100 * time.Millisecond,
				Lease: Lease{time.Second, 0.02}, Checks: allChecks, Log: slog.New(slog.DiscardHandler), Parts: map[byte]Part{2: &register{}},
			}
			if keepers[i], err = NewReplica(opts[i]); err != nil {
				t.Fatal(err)
			}
			l.Serve()
			keepers[i].Start()
			return
		}
		l.Serve()
	}
	for i := range voters {
		startHost(i)
	}
	var mu sync.Mutex
	var ops []porcupine.Operation
	start := time.Now()
	end := start.Add(5 * time.Second)
	var clients sync.WaitGroup
	for n := range 4 {
		seat := 3 + n%2
		c := NewClient(links[seat], fmt.Sprint("client", n), voters[:3], 0)
		clients.Go(func() {
			draw := rand.New(rand.NewPCG(seed, uint64(n)))
			ctx, stop := context.WithTimeout(context.Background(), 4*time.Second)
			_, err := c.Open(ctx, 1, uint64(n+1))
			stop()
			if err != nil {
				return
			}
			for k := uint64(1); time.Now().Before(end); k++ {
				i := operation{write: draw.IntN(3) == 0, value: uint64(n)<<32 | k}
				ctx, stop := context.WithTimeout(context.Background(), 700*time.Millisecond)
				call := time.Since(start)
				var o observation
				var raw []byte
				if i.write {
					var a Result
					a, err = c.Do(ctx, Command{Kind: PartCommand, Part: 2, Body: binary.BigEndian.AppendUint64(nil, i.value)})
					raw = a.Body
				} else {
					raw, err = c.ReadPart(ctx, 2, nil, stale)
					if stale {
						c.mu.Lock()
						c.leader = voters[draw.IntN(3)] // whoever answers
						c.mu.Unlock()
					}
				}
				stop()
				back := time.Since(start)
				switch {
				case err != nil && (!i.write || errors.Is(err, ErrNoQuorum)):
					continue // no effect
				case err != nil:
					o.unknown, back = true, time.Hour
				default:
					o.value = binary.BigEndian.Uint64(raw)
				}
				mu.Lock()
				ops = append(ops, porcupine.Operation{ClientId: n, Input: i, Call: int64(call), Output: o, Return: int64(back)})
				mu.Unlock()
				if o.unknown {
					n += 4 // another client to the checker: this one's command may come later
				}
				time.Sleep(time.Duration(draw.IntN(4)) * time.Millisecond)
			}
		})
	}
	for time.Now().Before(end) {
		time.Sleep(time.Duration(100+rng.IntN(200)) * time.Millisecond)
		a, b := rng.IntN(3), rng.IntN(5)
		switch rng.IntN(5) {
		case 0, 1:
			for k := range 5 {
				if k != a && (k < 3 || rng.IntN(2) == 0) {
					network.Set(a, k, func(x *between.Trouble) { x.Cut = true })
				}
			}
			time.Sleep(time.Duration(rng.IntN(600)) * time.Millisecond)
			for k := range 5 {
				if k != a {
					network.Set(a, k, func(x *between.Trouble) { x.Cut = false })
				}
			}
		case 2:
			if a != b {
				network.Set(a, b, func(x *between.Trouble) { x.Delay = time.Duration(rng.IntN(60)) * time.Millisecond })
			}
		case 3:
			keepers[a].Close()
			links[a].Close()
			startHost(a)
		}
	}
	clients.Wait()
	for i, k := range keepers {
		k.Close()
		links[i].Close()
	}
	links[3].Close()
	links[4].Close()
	return ops
}

// What clients were told, over cuts, delays and restarts, has an order in which each read sees the last write before it.
func TestLinearizable(t *testing.T) {
	var wg sync.WaitGroup
	for seed := range uint64(4) {
		wg.Go(func() {
			ops := recordHistory(t, seed, false)
			writes, unknown := 0, 0
			for _, o := range ops {
				if o.Input.(operation).write {
					writes++
				}
				if o.Output.(observation).unknown {
					unknown++
				}
			}
			t.Logf("seed %d: %d operations, %d writes, %d unknown", seed, len(ops), writes, unknown)
			if len(ops) < 200 {
				t.Errorf("seed %d: too few operations to prove anything", seed)
			}
			if porcupine.CheckOperationsTimeout(registerModel, ops, 20*time.Second) == porcupine.Illegal {
				t.Errorf("seed %d: no order explains what clients were told", seed)
			}
		})
	}
	wg.Wait()
}

// Reads that any keeper answers by what it holds are found.
func TestStaleReadsDetected(t *testing.T) {
	for seed := range uint64(6) {
		if porcupine.CheckOperationsTimeout(registerModel, recordHistory(t, 100+seed, true), 20*time.Second) == porcupine.Illegal {
			t.Logf("found in history %d", seed+1)
			return
		}
	}
	t.Error("stale reads are never found")
}
