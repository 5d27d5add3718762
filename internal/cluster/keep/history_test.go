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

// register is a part that holds one number. The result of a write is the previous number.
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
func (r *register) Load(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(data) == 8 {
		r.value = binary.BigEndian.Uint64(data)
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

// observation is what a client received. If it is unknown, the operation may have taken effect at any time or never.
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

// recordHistory runs replicas with links and disks of their own, and clients that write and read, while links are cut
// and delayed and replicas restart. It returns the operations of all clients with their outcomes.
func recordHistory(t *testing.T, seed uint64, stale bool) []porcupine.Operation {
	voters := []string{"a", "b", "c", "x", "y"}
	network, err := between.New(len(voters), seed)
	if err != nil {
		t.Fatal(err)
	}
	defer network.Close()
	rng := rand.New(rand.NewPCG(seed, 10))
	dir := t.TempDir()
	links, options, replicas := make([]*link.Link, 5), make([]Options, 3), make([]*Replica, 3)
	startHost := func(in int) {
		addresses := map[string]string{}
		for k, name := range voters {
			if k != in {
				addresses[name] = network.Address(in, k)
			}
		}
		listener, err := link.Listen(link.Options{
			Cluster: "c", Self: voters[in], Address: "127.0.0.1:0", AddressOverrides: addresses, Log: slog.New(slog.DiscardHandler), HandleStream: func(client net.Conn) { client.Close() },
			HandleDatagram: func(byte, []byte, net.Addr) {}, Resolve: func(n string) (string, bool) { return "", false },
		})
		if err != nil {
			t.Fatal(err)
		}
		links[in] = listener
		network.Target(in, listener.Addr().String())
		if in < 3 {
			groupDir := GroupDir(filepath.Join(dir, voters[in]), 0)
			options[in] = Options{
				Cluster: "c", Name: voters[in], Voters: voters[:3], Dir: groupDir, FS: disk.Dir(groupDir), Transport: listener, ElectionTimeout: 100 * time.Millisecond,
				Lease: Lease{time.Second, 0.02}, Checks: allChecks, Log: slog.New(slog.DiscardHandler), Parts: map[byte]Part{2: &register{}},
			}
			if replicas[in], err = NewReplica(options[in]); err != nil {
				t.Fatal(err)
			}
			listener.Serve()
			replicas[in].Start()
			return
		}
		listener.Serve()
	}
	for in := range voters {
		startHost(in)
	}
	var mu sync.Mutex
	var ops []porcupine.Operation
	start := time.Now()
	end := start.Add(5 * time.Second)
	var clients sync.WaitGroup
	for n := range 4 {
		host := 3 + n%2
		client := NewClient(links[host], fmt.Sprint("client", n), voters[:3], 0)
		clients.Go(func() {
			clientRNG := rand.New(rand.NewPCG(seed, uint64(n)))
			ctx, stop := context.WithTimeout(context.Background(), 4*time.Second)
			_, err := client.Open(ctx, 1, uint64(n+1))
			stop()
			if err != nil {
				return
			}
			for k := uint64(1); time.Now().Before(end); k++ {
				in := operation{write: clientRNG.IntN(3) == 0, value: uint64(n)<<32 | k}
				ctx, stop := context.WithTimeout(context.Background(), 700*time.Millisecond)
				call := time.Since(start)
				var out observation
				var raw []byte
				if in.write {
					var result Result
					result, err = client.Do(ctx, Command{Kind: PartCommand, Part: 2, Body: binary.BigEndian.AppendUint64(nil, in.value)})
					raw = result.Body
				} else {
					raw, err = client.ReadPart(ctx, 2, nil, stale)
					if stale {
						client.mu.Lock()
						client.leader = voters[clientRNG.IntN(3)] // any replica
						client.mu.Unlock()
					}
				}
				stop()
				returned := time.Since(start)
				switch {
				case err != nil && (!in.write || errors.Is(err, ErrNoQuorum)):
					continue // no effect
				case err != nil:
					out.unknown, returned = true, time.Hour
				default:
					out.value = binary.BigEndian.Uint64(raw)
				}
				mu.Lock()
				ops = append(ops, porcupine.Operation{ClientId: n, Input: in, Call: int64(call), Output: out, Return: int64(returned)})
				mu.Unlock()
				if out.unknown {
					n += 4 // a separate client to the checker, as the unknown write may take effect later
				}
				time.Sleep(time.Duration(clientRNG.IntN(4)) * time.Millisecond)
			}
		})
	}
	for time.Now().Before(end) {
		time.Sleep(time.Duration(100+rng.IntN(200)) * time.Millisecond)
		result, b := rng.IntN(3), rng.IntN(5)
		switch rng.IntN(5) {
		case 0, 1:
			for k := range 5 {
				if k != result && (k < 3 || rng.IntN(2) == 0) {
					network.Set(result, k, func(x *between.Faults) { x.Cut = true })
				}
			}
			time.Sleep(time.Duration(rng.IntN(600)) * time.Millisecond)
			for k := range 5 {
				if k != result {
					network.Set(result, k, func(x *between.Faults) { x.Cut = false })
				}
			}
		case 2:
			if result != b {
				network.Set(result, b, func(x *between.Faults) { x.Delay = time.Duration(rng.IntN(60)) * time.Millisecond })
			}
		case 3:
			replicas[result].Close()
			links[result].Close()
			startHost(result)
		}
	}
	clients.Wait()
	for in, k := range replicas {
		k.Close()
		links[in].Close()
	}
	links[3].Close()
	links[4].Close()
	return ops
}

// The histories of clients are linearizable under partitions, delays and restarts.
func TestLinearizable(t *testing.T) {
	var wg sync.WaitGroup
	for seed := range uint64(4) {
		wg.Go(func() {
			ops := recordHistory(t, seed, false)
			writes, unknown := 0, 0
			for _, op := range ops {
				if op.Input.(operation).write {
					writes++
				}
				if op.Output.(observation).unknown {
					unknown++
				}
			}
			t.Logf("seed %d: %d operations, %d writes, %d unknown", seed, len(ops), writes, unknown)
			if len(ops) < 200 {
				t.Errorf("seed %d: too few operations to be meaningful", seed)
			}
			if porcupine.CheckOperationsTimeout(registerModel, ops, 20*time.Second) == porcupine.Illegal {
				t.Errorf("seed %d: the history is not linearizable", seed)
			}
		})
	}
	wg.Wait()
}

// The checker detects reads that any replica answers from its own, possibly stale, state.
func TestStaleReadsDetected(t *testing.T) {
	for seed := range uint64(6) {
		if porcupine.CheckOperationsTimeout(registerModel, recordHistory(t, 100+seed, true), 20*time.Second) == porcupine.Illegal {
			t.Logf("detected in history %d", seed+1)
			return
		}
	}
	t.Error("stale reads are never detected")
}
