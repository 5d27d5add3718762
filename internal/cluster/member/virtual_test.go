//go:build !race

// testing/synctest together with the race detector crashes the Go 1.26 toolchain; .ci/run also runs these tests without it.
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

// testNetwork is a simulated network on a virtual clock. It connects complete members, including the membership library.
type testNetwork struct {
	mu        sync.Mutex
	rng       *rand.Rand
	nodes     map[string]*testNode
	loss      float64                    // probability that a datagram is lost
	duplicate float64                    // probability that a datagram is sent twice
	delay     func() time.Duration       // of a datagram
	blocked   func(from, to string) bool // whether the link between two addresses is cut
}

func newTestNetwork(seed uint64) *testNetwork {
	return &testNetwork{
		rng: rand.New(rand.NewPCG(seed, 5)), nodes: map[string]*testNode{}, delay: func() time.Duration { return 200 * time.Microsecond },
		blocked: func(_, _ string) bool { return false },
	}
}

// update changes the properties of the network under its lock.
func (n *testNetwork) update(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

// testNode is a member in a testNetwork, and its Transport.
type testNode struct {
	network  *testNetwork
	addr     *net.TCPAddr
	gossip   *Gossip
	handlers map[uint16]link.Handler
	stop     func()
	stopped  context.Context
	bytesOut atomic.Int64
}

func (n *testNode) Addr() *net.TCPAddr                   { return n.addr }
func (n *testNode) Handle(method uint16, h link.Handler) { n.handlers[method] = h }
func (n *testNode) Forget(string)                        {}

// reachable returns the node at an address, or nil if there is none or the link is cut in either direction.
func (n *testNode) reachable(address string) *testNode {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	target := n.network.nodes[address]
	if target == nil || n.network.blocked(n.addr.String(), address) || n.network.blocked(address, n.addr.String()) {
		return nil
	}
	return target
}

func (n *testNode) Call(ctx context.Context, name string, method uint16, body []byte) ([]byte, error) {
	target := n.reachable(name[1:])
	if target == nil || target.handlers[method] == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return target.handlers[method](ctx, "", body)
}

func (n *testNode) Send(kind byte, _, address string, payload []byte) error {
	network := n.network
	n.bytesOut.Add(int64(len(payload) + 40)) // 40 bytes of headers per datagram
	network.mu.Lock()
	defer network.mu.Unlock()
	copies := 1
	if network.duplicate > 0 && network.rng.Float64() < network.duplicate {
		copies = 2
	}
	for range copies {
		if network.blocked(n.addr.String(), address) || network.loss > 0 && network.rng.Float64() < network.loss {
			continue
		}
		time.AfterFunc(network.delay(), func() {
			network.mu.Lock()
			target := network.nodes[address]
			network.mu.Unlock()
			if target == nil || n.stopped.Err() != nil && kind == 0 {
				return
			}
			if kind == link.KindNotice {
				target.gossip.HandleNotice(payload)
			} else {
				target.gossip.HandlePacket(payload, n.addr)
			}
		})
	}
	return nil
}

func (n *testNode) Dial(_ byte, _, address string, timeout time.Duration) (net.Conn, error) {
	target := n.reachable(address)
	if target == nil {
		time.Sleep(timeout)
		return nil, os.ErrDeadlineExceeded
	}
	a, b := net.Pipe()
	go target.gossip.HandleStream(b)
	return a, nil
}

// fastSettings returns settings with short probe and rejoin intervals.
func fastSettings(self string, join ...string) *config.Settings {
	return &config.Settings{Name: "c", Self: self, Address: "?", Join: join, ProbeInterval: 200 * time.Millisecond, RejoinInterval: time.Second}
}

func address(n int) string { return fmt.Sprintf("127.0.%d.%d:7000", n/250, n%250+1) }

// addNode starts a member at the address with an index.
func (n *testNetwork) addNode(t *testing.T, index int, settings *config.Settings, change func(*Options)) *testNode {
	t.Helper()
	resolved, _ := net.ResolveTCPAddr("tcp", address(index))
	node := &testNode{network: n, addr: resolved, handlers: map[uint16]link.Handler{}}
	node.stopped, node.stop = context.WithCancel(context.Background())
	settings.Address = resolved.String()
	options := Options{
		Settings: settings, Log: slog.New(slog.DiscardHandler), Transport: node, Guards: Guards{true, true}, Seed: uint64(index),
		Status:    func() Status { return Status{Pools: []string{"album"}, ShardsPerPool: 1} },
		WallClock: func() time.Time { return time.Unix(1000, 0) },
	}
	if change != nil {
		change(&options)
	}
	var err error
	if node.gossip, err = New(options); err != nil {
		t.Fatal(err)
	}
	n.mu.Lock()
	n.nodes[resolved.String()] = node
	n.mu.Unlock()
	if err := node.gossip.Start(); err != nil {
		t.Fatal(err)
	}
	return node
}

// kill stops a member without a leave message.
func (n *testNode) kill() {
	n.network.mu.Lock()
	if n.network.nodes[n.addr.String()] == n {
		delete(n.network.nodes, n.addr.String())
	}
	n.network.mu.Unlock()
	n.stop()
	n.gossip.Close()
}

// aliveRuns returns the runs that the member sees alive, as name/epoch.
func (n *testNode) aliveRuns() (all []string) {
	v := n.gossip.View()
	for _, m := range v.Members {
		if m.State == Alive.String() {
			all = append(all, fmt.Sprintf("%s/%d", m.Name, m.Epoch))
		}
	}
	slices.Sort(all)
	return all
}

// current returns the newest run of a name that the member knows.
func (n *testNode) current(name string) Member {
	n.gossip.mu.Lock()
	defer n.gossip.mu.Unlock()
	m, _ := n.gossip.core.Current(name)
	return m
}

// waitForViews waits on the virtual clock until accept holds for the views of all nodes, and returns the time that it took.
func waitForViews(nodes []*testNode, limit time.Duration, accept func([]string) bool) (time.Duration, bool) {
	start := time.Now()
	for time.Since(start) < limit {
		ok := true
		for _, node := range nodes {
			ok = ok && accept(node.aliveRuns())
		}
		if ok {
			return time.Since(start), true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return limit, false
}

func hasCount(n int) func([]string) bool { return func(runs []string) bool { return len(runs) == n } }

// addNodes starts members that join through the first two.
func (n *testNetwork) addNodes(t *testing.T, count int, configure func(*config.Settings)) (nodes []*testNode) {
	for i := range count {
		settings := fastSettings(fmt.Sprint("m", i), address(0), address(min(1, count-1)))
		if configure != nil {
			configure(settings)
		}
		nodes = append(nodes, n.addNode(t, i, settings, nil))
	}
	return nodes
}

func stopNodes(nodes ...*testNode) {
	for _, node := range nodes {
		node.kill()
	}
	time.Sleep(time.Minute) // virtual time, in which the library's remaining goroutines end
}

// TestNetworkFaults checks on a virtual clock that all views recover within the bound after various network faults.
func TestNetworkFaults(t *testing.T) {
	settings := fastSettings("")
	limit := settings.ConvergenceBound(5)
	for _, test := range []struct {
		name string
		play func(t *testing.T, network *testNetwork, nodes []*testNode)
	}{
		{"one-way cut: no member is declared dead, since others probe it as well", func(t *testing.T, network *testNetwork, nodes []*testNode) {
			network.update(func() { network.blocked = func(from, to string) bool { return from == address(1) && to == address(3) } })
			for range 20 {
				time.Sleep(time.Second)
				if alive := nodes[0].aliveRuns(); len(alive) != 5 {
					t.Errorf("m0 sees %v", alive)
				}
			}
		}},
		{"member stalled for half the suspicion time, then for three times as long", func(t *testing.T, network *testNetwork, nodes []*testNode) {
			isolate := func(duration time.Duration) { // like a stopped process: nothing is received or sent
				network.update(func() { network.blocked = func(from, to string) bool { return from == address(2) || to == address(2) } })
				time.Sleep(duration)
				network.update(func() { network.blocked = func(_, _ string) bool { return false } })
			}
			suspicion := config.SuspicionMultiplier * settings.ProbeInterval
			for range 5 {
				isolate(suspicion / 2)
				if alive := nodes[0].aliveRuns(); len(alive) != 5 {
					t.Errorf("after half the suspicion time m0 sees %v", alive)
				}
				time.Sleep(3 * time.Second)
			}
			isolate(3 * suspicion)
			if alive := nodes[0].aliveRuns(); len(alive) != 4 {
				t.Errorf("after three times the suspicion time m0 sees %v", alive)
			}
		}},
		{"flapping link", func(t *testing.T, network *testNetwork, nodes []*testNode) {
			start := time.Now()
			network.update(func() {
				network.blocked = func(from, to string) bool {
					return (from == address(4) || to == address(4)) && time.Since(start)/(700*time.Millisecond)%2 == 0
				}
			})
			time.Sleep(30 * time.Second)
		}},
		{"long partition into two halves", func(t *testing.T, network *testNetwork, nodes []*testNode) {
			network.update(func() {
				network.blocked = func(from, to string) bool { return (from < address(2)) != (to < address(2)) }
			})
			time.Sleep(3 * time.Minute)
			if a, b := nodes[0].aliveRuns(), nodes[4].aliveRuns(); len(a) != 2 || len(b) != 3 {
				t.Errorf("during the partition m0 sees %v, m4 sees %v", a, b)
			}
		}},
		{"all links cut", func(t *testing.T, network *testNetwork, nodes []*testNode) {
			network.update(func() { network.blocked = func(_, _ string) bool { return true } })
			time.Sleep(time.Minute)
		}},
		{"datagrams delayed by up to ten seconds, duplicated and reordered, and a tenth lost", func(t *testing.T, network *testNetwork, nodes []*testNode) {
			network.update(func() {
				network.delay, network.duplicate, network.loss = func() time.Duration { return time.Duration(network.rng.Int64N(int64(10 * time.Second))) }, 0.5, 0.1
			})
			time.Sleep(time.Minute)
			network.update(func() {
				network.delay, network.duplicate, network.loss = func() time.Duration { return time.Millisecond }, 0, 0
			})
			time.Sleep(10 * time.Second) // until the last delayed ones have arrived
		}},
		{"member killed and restarted at another address", func(t *testing.T, network *testNetwork, nodes []*testNode) {
			nodes[3].kill()
			nodes[3] = network.addNode(t, 9, fastSettings("m3", address(0)), nil)
		}},
		{"all members restarted at once, including the only join address", func(t *testing.T, network *testNetwork, nodes []*testNode) {
			stopNodes(nodes...)
			for i := range nodes {
				nodes[i] = network.addNode(t, i, fastSettings(fmt.Sprint("m", i), address(0)), nil)
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := newTestNetwork(1)
				nodes := network.addNodes(t, 5, nil)
				if _, ok := waitForViews(nodes, limit, hasCount(5)); !ok {
					t.Fatalf("before the fault m0 sees %v", nodes[0].aliveRuns())
				}
				test.play(t, network, nodes)
				network.mu.Lock()
				network.blocked = func(_, _ string) bool { return false }
				network.mu.Unlock()
				elapsed, ok := waitForViews(nodes, limit, hasCount(5))
				t.Logf("all views complete after %s (limit %s)", elapsed, limit)
				if !ok {
					for _, node := range nodes {
						t.Errorf("%s sees %v", node.gossip.Self().ID, node.aliveRuns())
					}
				}
				stopNodes(nodes...)
			})
		})
	}
}

// TestSupersededRun starts a second run of a name while the first is cut off. Whatever the wall clock and the disk say, all
// members must end up with the newer run, and the older one must learn that it is superseded. A run that reaches no member at
// its start runs alone and keeps trying to join.
func TestSupersededRun(t *testing.T) {
	dir := t.TempDir()
	for _, test := range []struct {
		name  string
		fs    disk.FS
		wall  int64
		alone bool // the newer run reaches no member at its start
	}{
		{"other members know the epoch, no disk, wall clock an hour back", nil, 1000 - 3600, false},
		{"epoch on disk, no member reachable", disk.Dir(filepath.Join(dir, "kept")), 0, true},
		{"no member reachable, no disk, wall clock back: epoch is renewed on first contact", nil, 0, true},
		{"disk full", disk.Faulty{Dir: disk.Dir(filepath.Join(dir, "full")), FaultFile: filepath.Join(dir, "says")}, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			os.WriteFile(filepath.Join(dir, "says"), []byte("full"), 0o600)
			synctest.Test(t, func(t *testing.T) {
				network := newTestNetwork(1)
				nodes := network.addNodes(t, 3, nil)
				old := network.addNode(t, 3, fastSettings("x", address(0)), func(o *Options) { o.FS = test.fs })
				waitForViews(append(nodes, old), time.Minute, hasCount(4))
				// The old run is cut off while a new one starts at another address.
				network.mu.Lock()
				delete(network.nodes, old.addr.String())
				network.blocked = func(from, to string) bool {
					return from == old.addr.String() || to == old.addr.String() || test.alone && (from == address(4) || to == address(4))
				}
				network.mu.Unlock()
				newer := network.addNode(t, 4, fastSettings("x", address(0)), func(o *Options) {
					o.FS, o.WallClock = test.fs, func() time.Time { return time.Unix(test.wall, 0) }
				})
				time.Sleep(3 * time.Second)
				network.mu.Lock()
				network.nodes[old.addr.String()] = old
				network.blocked = func(_, _ string) bool { return false }
				network.mu.Unlock()
				if elapsed, ok := waitForViews(append(nodes, newer), returnBound(4), hasCount(4)); !ok {
					t.Errorf("after %s m0 sees %v, the newer run sees %v", elapsed, nodes[0].aliveRuns(), newer.aliveRuns())
				}
				time.Sleep(10 * time.Second)
				self := newer.gossip.Self()
				if m := nodes[0].current("x"); m.ID != self.ID || m.State != Alive {
					t.Errorf("m0 sees x as %s %s, the newer run is %s", m.ID, m.State, self.ID)
				}
				if v := old.gossip.View(); v.SupersededBy != self.ID.String() {
					t.Errorf("old run is superseded by %q", v.SupersededBy)
				}
				if v := newer.gossip.View(); v.SupersededBy != "" {
					t.Error("newer run is superseded")
				}
				stopNodes(append(nodes, old, newer)...)
			})
		})
	}
}

func returnBound(members int) time.Duration { return fastSettings("", "a").ConvergenceBound(members) }

// TestLeaveAndDeath checks that an intentional leave is not reported as a failure, and that the death of a member is detected
// within the bound.
func TestLeaveAndDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newTestNetwork(1)
		nodes := network.addNodes(t, 5, nil)
		waitForViews(nodes, time.Minute, hasCount(5))
		nodes[4].gossip.SetDraining(true)
		time.Sleep(time.Second)
		if m := nodes[0].current("m4"); !m.Draining || m.State != Alive {
			t.Errorf("m0 sees m4 as %s, draining %v", m.State, m.Draining)
		}
		network.mu.Lock()
		delete(network.nodes, address(4))
		network.mu.Unlock()
		nodes[4].gossip.Leave()
		time.Sleep(time.Second)
		for _, node := range nodes[:4] {
			if m := node.current("m4"); m.State != Left {
				t.Errorf("%s sees m4 as %s", node.gossip.Self().ID, m.State)
			}
		}
		nodes[3].kill()
		bound := fastSettings("").DeathBound(4)
		if elapsed, ok := waitForViews(nodes[:3], bound, hasCount(3)); !ok {
			t.Errorf("death not detected by all after %s", elapsed)
		}
		stopNodes(nodes[:3]...)
	})
}

// TestSizes measures, for several cluster sizes and loss rates, the time until a death is known to all members, the false
// detections and the traffic. OTTERSHIFT_SIZES="5 30 100 500" sets the sizes of the table in docs/design-cluster.md.
func TestSizes(t *testing.T) {
	sizes, minutes := []int{10, 40}, 1
	if text := os.Getenv("OTTERSHIFT_SIZES"); text != "" {
		sizes, minutes = nil, 3
		for _, f := range strings.Fields(text) {
			size, _ := strconv.Atoi(f)
			sizes = append(sizes, size)
		}
	}
	for _, size := range sizes {
		for _, loss := range []float64{0, 0.01, 0.1} {
			synctest.Test(t, func(t *testing.T) {
				network := newTestNetwork(uint64(size))
				network.loss = loss
				configure := func(settings *config.Settings) {
					settings.ProbeInterval, settings.RejoinInterval = config.DefaultProbeInterval, config.DefaultRejoinInterval
				}
				var mu sync.Mutex
				declaredDead := map[string]int{}
				var nodes []*testNode
				settled := false
				for i := range size {
					settings := fastSettings(fmt.Sprint("m", i), address(0), address(1))
					configure(settings)
					nodes = append(nodes, network.addNode(t, i, settings, func(options *Options) {
						options.StateChanged = func(c Change) {
							mu.Lock()
							defer mu.Unlock()
							if c.State == Dead && settled {
								declaredDead[c.ID.String()]++
							}
						}
					}))
				}
				joined, _ := waitForViews(nodes, 5*time.Minute, hasCount(size))
				mu.Lock()
				settled = true
				mu.Unlock()
				before := int64(0)
				for _, node := range nodes {
					before += node.bytesOut.Load()
				}
				span := time.Duration(minutes) * time.Minute
				time.Sleep(span)
				after := int64(0)
				for _, node := range nodes {
					after += node.bytesOut.Load()
				}
				mu.Lock()
				falseDeaths := len(declaredDead)
				clear(declaredDead)
				mu.Unlock()
				bound := nodes[0].gossip.options.Settings.DeathBound(size)
				var detection []time.Duration
				for victim := range min(5, size/3) {
					node := nodes[len(nodes)-1-victim]
					node.kill()
					id := node.gossip.Self().ID
					remaining := nodes[:len(nodes)-1-victim]
					detected, ok := waitForViews(remaining, bound, func(alive []string) bool {
						return !slices.Contains(alive, fmt.Sprintf("%s/%d", id.Name, id.Epoch))
					})
					if !ok {
						t.Errorf("%d members, %g lost: death not detected by all after %s", size, loss, detected)
					}
					detection = append(detection, detected)
					time.Sleep(5 * time.Second)
				}
				slices.Sort(detection)
				var memory runtime.MemStats
				runtime.ReadMemStats(&memory)
				t.Logf("members %d lost %g: joined after %s; death known to all after %s (median), %s (worst), bound %s; %d false deaths in %s; %d bytes/s sent per member; %d goroutines and %d kB per member",
					size, loss, joined.Round(10*time.Millisecond), detection[len(detection)/2], detection[len(detection)-1], bound, falseDeaths, span, (after-before)/int64(size)/int64(span/time.Second),
					runtime.NumGoroutine()/size, int(memory.HeapInuse>>10)/size)
				if loss == 0 && falseDeaths > 0 {
					t.Errorf("%d members without loss: %d falsely declared dead", size, falseDeaths)
				}
				stopNodes(nodes[:len(nodes)-len(detection)]...)
			})
		}
	}
}
