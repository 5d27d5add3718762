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
	mu sync.Mutex
	v  uint64
}

func (r *register) Apply(_ uint64, c *Command) Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.v
	r.v = binary.BigEndian.Uint64(c.Body)
	return Answer{Code: OK, Body: binary.BigEndian.AppendUint64(nil, was)}
}
func (r *register) Ended(uint64, string, uint64) {}
func (r *register) Save() []byte                 { return r.Read(nil) }
func (r *register) Load(raw []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(raw) == 8 {
		r.v = binary.BigEndian.Uint64(raw)
	}
	return nil
}
func (r *register) Read([]byte) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return binary.BigEndian.AppendUint64(nil, r.v)
}

type op struct {
	write bool
	value uint64
}

// seen is what a client was told; unknown: it may have taken effect at any time, or never.
type seen struct {
	value   uint64
	unknown bool
}

var model = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, in, out any) (bool, any) {
		i, o := in.(op), out.(seen)
		if i.write {
			return o.unknown || o.value == state.(uint64), i.value
		}
		return o.unknown || o.value == state.(uint64), state
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprint(in, " ", out) },
}

// history plays keepers with links and disks of their own, clients that write and read, cuts, and keepers that are ended and
// started again; and returns what each client asked and was told.
func history(t *testing.T, seed uint64, stale bool) []porcupine.Operation {
	voters := []string{"a", "b", "c", "x", "y"}
	m, err := between.New(len(voters), seed)
	if err != nil {
		t.Fatal(err)
	}
	defer m.Close()
	chance := rand.New(rand.NewPCG(seed, 10))
	dir := t.TempDir()
	links, opts, keepers := make([]*link.Link, 5), make([]Options, 3), make([]*Keeper, 3)
	boot := func(i int) {
		where := map[string]string{}
		for k, name := range voters {
			if k != i {
				where[name] = m.Address(i, k)
			}
		}
		l, err := link.Listen(link.Options{
			Cluster: "c", Self: voters[i], Address: "127.0.0.1:0", AddressOverrides: where, Log: slog.New(slog.DiscardHandler), HandleStream: func(c net.Conn) { c.Close() },
			HandleDatagram: func(byte, []byte, net.Addr) {}, Resolve: func(n string) (string, bool) { return "", false },
		})
		if err != nil {
			t.Fatal(err)
		}
		links[i] = l
		m.Target(i, l.Addr().String())
		if i < 3 {
			at := Group(filepath.Join(dir, voters[i]), 0)
			opts[i] = Options{
				Cluster: "c", Name: voters[i], Voters: voters[:3], Dir: at, FS: disk.Dir(at), Way: l, Election: 100 * time.Millisecond,
				Lease: Lease{time.Second, 0.02}, Guards: all, Log: slog.New(slog.DiscardHandler), Parts: map[byte]Part{2: &register{}},
			}
			if keepers[i], err = NewKeeper(opts[i]); err != nil {
				t.Fatal(err)
			}
			l.Serve()
			keepers[i].Begin()
			return
		}
		l.Serve()
	}
	for i := range voters {
		boot(i)
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
				i := op{write: draw.IntN(3) == 0, value: uint64(n)<<32 | k}
				ctx, stop := context.WithTimeout(context.Background(), 700*time.Millisecond)
				call := time.Since(start)
				var o seen
				var raw []byte
				if i.write {
					var a Answer
					a, err = c.Do(ctx, Command{Kind: Custom, Part: 2, Body: binary.BigEndian.AppendUint64(nil, i.value)})
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
				case err != nil && (!i.write || errors.Is(err, ErrUnreached)):
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
		time.Sleep(time.Duration(100+chance.IntN(200)) * time.Millisecond)
		a, b := chance.IntN(3), chance.IntN(5)
		switch chance.IntN(5) {
		case 0, 1:
			for k := range 5 {
				if k != a && (k < 3 || chance.IntN(2) == 0) {
					m.Set(a, k, func(x *between.Trouble) { x.Cut = true })
				}
			}
			time.Sleep(time.Duration(chance.IntN(600)) * time.Millisecond)
			for k := range 5 {
				if k != a {
					m.Set(a, k, func(x *between.Trouble) { x.Cut = false })
				}
			}
		case 2:
			if a != b {
				m.Set(a, b, func(x *between.Trouble) { x.Delay = time.Duration(chance.IntN(60)) * time.Millisecond })
			}
		case 3:
			keepers[a].Close()
			links[a].Close()
			boot(a)
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
	var all sync.WaitGroup
	for seed := range uint64(4) {
		all.Go(func() {
			ops := history(t, seed, false)
			writes, unknown := 0, 0
			for _, o := range ops {
				if o.Input.(op).write {
					writes++
				}
				if o.Output.(seen).unknown {
					unknown++
				}
			}
			t.Logf("seed %d: %d operations, %d writes, %d unknown", seed, len(ops), writes, unknown)
			if len(ops) < 200 {
				t.Errorf("seed %d: too few operations to prove anything", seed)
			}
			if porcupine.CheckOperationsTimeout(model, ops, 20*time.Second) == porcupine.Illegal {
				t.Errorf("seed %d: no order explains what clients were told", seed)
			}
		})
	}
	all.Wait()
}

// Reads that any keeper answers by what it holds are found.
func TestStaleReadsAreFound(t *testing.T) {
	for seed := range uint64(6) {
		if porcupine.CheckOperationsTimeout(model, history(t, 100+seed, true), 20*time.Second) == porcupine.Illegal {
			t.Logf("found in history %d", seed+1)
			return
		}
	}
	t.Error("stale reads are never found")
}
