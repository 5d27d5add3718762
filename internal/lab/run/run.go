// Package run plays an experiment once: it starts emulated upstreams, discovery and the balancers under test, lets
// clients loose and faults happen, and returns what was seen from outside.
package run

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ottershift/internal/lab/between"
	"ottershift/internal/lab/emulate"
	"ottershift/internal/lab/load"
	"ottershift/internal/lab/record"
	"ottershift/internal/lab/spec"
	"ottershift/internal/ops"
)

// Options say what is under test.
type Options struct {
	Program  string // of the balancers
	Variant  string // of spec.Variants
	Dir      string // for configurations and logs
	Progress func(done float64)
}

const (
	readyWithin = 15 * time.Second
	drainsFor   = 1700 * time.Millisecond // in a deploy, from the word to the end
	noticed     = 300 * time.Millisecond  // until clients leave a balancer that died
	longer      = 5 * time.Second         // than all that is out may take
)

// arguments start a balancer of a variant.
func arguments(variant, config string) []string {
	if variant == "design" || variant == "no-copies" || variant == "no-cluster" || variant == "one-copy" || strings.HasPrefix(variant, "without-") {
		return []string{"serve", "--config", config}
	}
	return []string{"lab", "balancer", "--policy", variant, "--config", config}
}

// balancer is one under test.
type balancer struct {
	s       *stage
	index   int
	address string
	args    []string
	log     *os.File
	seat    *seat // nil where it is in no cluster

	mu      sync.Mutex
	command *exec.Cmd
	killed  bool // by us
	process int  // of those of members
	ended   chan struct{}
}

// stage is all that a run consists of.
type stage struct {
	e         *spec.Experiment
	o         Options
	epoch     time.Time
	fleet     *emulate.Fleet
	lists     *emulate.Discovery
	load      *load.Generator
	balancers []*balancer
	broke     context.CancelCauseFunc

	mesh  *between.Mesh
	seats []*seat
	over  chan struct{} // closed at the end

	mu        sync.Mutex
	outages   []record.Outage
	doubles   []*balancer
	processes []record.Process
	views     []record.View
	troubles  []record.LinkFault
	acts      []record.Action
	claims    []record.Claim
	looks     []record.LinearizableRead
	seated    []record.VoterReplacement
	refused   map[int]int64            // by process
	done      map[string]chan struct{} // faults by name, closed at their end
}

// Play plays an experiment. An error means that it could not begin; what broke it later stands in the record.
func Play(ctx context.Context, e *spec.Experiment, plan []spec.Call, o Options) (*record.Run, error) {
	s := &stage{e: e, o: o, over: make(chan struct{}), done: map[string]chan struct{}{}, refused: map[int]int64{}, epoch: time.Now()}
	for _, f := range e.Faults {
		if f.Name != "" {
			s.done[f.Name] = make(chan struct{})
		}
	}
	var err error
	if s.fleet, err = emulate.NewFleet(e); err != nil {
		return nil, err
	}
	defer s.fleet.Close()
	if s.lists, err = emulate.NewDiscovery(s.fleet, e.Balancers); err != nil {
		return nil, err
	}
	defer s.lists.Close()
	ctx, s.broke = context.WithCancelCause(ctx)
	defer s.broke(nil)
	defer s.kill()
	if err = s.links(); err != nil {
		return nil, err
	}
	if s.mesh != nil {
		defer s.mesh.Close()
	}
	var addresses []string
	for n := range e.Balancers {
		b, err := s.balancer(n)
		if err != nil {
			return nil, err
		}
		s.balancers = append(s.balancers, b)
		addresses = append(addresses, b.address)
	}
	for _, b := range s.balancers {
		if err := b.ready(ctx); err != nil {
			return nil, err
		}
	}

	for _, t := range s.seats {
		copyDir(t.Dir, t.copy)
	}
	s.restart()
	s.fleet.Begin(s.epoch)
	s.load = load.New(e, s.epoch, addresses)
	s.fleet.Call = s.load.Call
	length := time.Duration(e.Length)
	longest := time.Duration(0)
	for _, c := range e.Clients {
		longest = max(longest, time.Duration(c.Patience))
	}
	// Danger: a balancer that hangs must not hold up the lab; clients have limits of their own, and the run has one.
	ctx, end := context.WithTimeout(ctx, length+longest+longer)
	defer end()
	var faults sync.WaitGroup
	for _, f := range e.Faults {
		faults.Go(func() {
			if f.Name != "" {
				defer close(s.done[f.Name])
			}
			if f.After != "" {
				select {
				case <-s.done[f.After]:
				case <-ctx.Done():
					return
				}
				later := *f
				later.At += s.now()
				s.fault(ctx, &later)
				return
			}
			s.fault(ctx, f)
		})
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.load.Run(ctx, plan)
	}()
	if s.keeps() {
		for range readers {
			faults.Go(func() { s.look(ctx) })
		}
	}
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for open := true; open; {
		select {
		case <-done:
			open = false
		case <-tick.C:
			if o.Progress != nil {
				o.Progress(min(1, float64(time.Since(s.epoch))/float64(length)))
			}
		}
	}
	time.Sleep(100 * time.Millisecond) // what goes out after an answer is seen as well
	written, read := s.ledger(ctx)
	broken := ""
	if cause := context.Cause(ctx); cause != nil {
		broken = cause.Error()
	}
	end()
	s.broke(nil)
	faults.Wait()

	close(s.over)
	s.mu.Lock()
	r := &record.Run{
		DiscoveryUpdates: s.lists.Updates(), Outages: s.outages, AbortReason: broken, Processes: s.processes, Views: s.views, LinkFaults: s.troubles, Actions: s.acts,
		Claims: s.claims, DiscoveryCalls: s.lists.Calls(), VoterReplacements: s.seated, LedgerReads: s.looks, LedgerEntries: written, LedgerReadAt: read, HasLedger: s.keeps(),
	}
	for _, n := range s.refused {
		r.Refused += n
	}
	s.mu.Unlock()
	s.load.Gather(r)
	s.fleet.Gather(r)
	return r, nil
}

// restart has the clock of the record begin; members run already.
func (s *stage) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch = time.Now()
	for i := range s.processes {
		s.processes[i].From = 0
	}
	s.views, s.acts, s.claims = nil, nil, nil
}

// balancer starts one.
func (s *stage) balancer(n int) (*balancer, error) { return s.start(n, s.seatOf(n), "") }

func (s *stage) start(n int, t *seat, suffix string) (*balancer, error) {
	address, err := free()
	if err != nil {
		return nil, err
	}
	file := filepath.Join(s.o.Dir, fmt.Sprintf("balancer-%d%s.toml", n+1, suffix))
	log, err := os.Create(strings.TrimSuffix(file, ".toml") + ".log")
	if err != nil {
		return nil, err
	}
	b := &balancer{s: s, index: n, address: address, args: arguments(s.o.Variant, file), log: log, seat: t}
	if err := b.configure(); err != nil {
		return nil, err
	}
	return b, b.start()
}

// configure writes what it is told.
func (b *balancer) configure() error {
	s := b.s
	text := s.e.Configuration(b.index, b.address, s.lists.Addresses(b.index), s.o.Variant != "no-copies", s.more(b.index, b.seat))
	return os.WriteFile(b.args[len(b.args)-1], text, 0o600)
}

func (b *balancer) start() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := exec.Command(b.s.o.Program, b.args...)
	c.Stderr, c.Stdout = b.log, b.log
	b.environment(c)
	if err := c.Start(); err != nil {
		return err
	}
	b.command, b.killed, b.ended = c, false, make(chan struct{})
	ended := b.ended
	if b.seat != nil {
		b.process = b.s.begun(b.index)
		go b.s.sample(b, b.process, ended)
	}
	process := b.process
	go func() {
		err := c.Wait()
		b.mu.Lock()
		killed := b.killed
		b.mu.Unlock()
		if b.seat != nil {
			b.s.gone(process)
		}
		if !killed {
			b.s.broke(fmt.Errorf("balancer %d ended by itself: %v; its last words: %s", b.index+1, err, b.words()))
		}
		close(ended)
	}()
	return nil
}

// words are the last that it logged.
func (b *balancer) words() string {
	text, _ := os.ReadFile(b.log.Name())
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// ready waits until it has the list of each pool.
func (b *balancer) ready(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(readyWithin); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		all := true
		for _, pool := range b.s.e.Pools {
			a, err := client.Get("http://" + b.address + "/_health?pool=" + pool)
			if err == nil {
				a.Body.Close()
			}
			all = all && err == nil && a.StatusCode == http.StatusOK
		}
		if all {
			return nil
		}
	}
	return fmt.Errorf("balancer %d was not ready within %s; its last words: %s", b.index+1, readyWithin, b.words())
}

// stop ends it at once.
func (b *balancer) stop() {
	b.mu.Lock()
	b.killed = true
	c, ended := b.command, b.ended
	b.mu.Unlock()
	c.Process.Kill()
	<-ended
}

func (s *stage) kill() {
	s.mu.Lock()
	all := append(slices.Clone(s.balancers), s.doubles...)
	s.mu.Unlock()
	for _, b := range all {
		b.stop()
		b.log.Close()
	}
}

// now is the time since the start.
func (s *stage) now() int64 { return int64(time.Since(s.epoch)) }

// wait waits until some time, and tells whether the run is still on.
func (s *stage) wait(ctx context.Context, until int64) bool {
	select {
	case <-time.After(time.Duration(until - s.now())):
		return true
	case <-ctx.Done():
		return false
	}
}

// fault has one thing go wrong, and sets it right again.
func (s *stage) fault(ctx context.Context, f *spec.Fault) {
	if !s.wait(ctx, f.At) {
		return
	}
	f = s.aimed(f)
	end := f.At + f.For
	some := func(do func(u *emulate.Upstream)) {
		for _, i := range f.Upstreams {
			do(s.fleet.Upstreams[i])
		}
	}
	share := f.Factor
	if share == 0 {
		share = 1
	}
	switch f.Kind {
	case "hang", "fail", "full", "reset", "garbage", "half", "deaf":
		some(func(u *emulate.Upstream) { u.SetFault(f.Kind, share) })
		s.wait(ctx, end)
		some(func(u *emulate.Upstream) { u.SetFault(f.Kind, 0) })
	case "slow":
		some(func(u *emulate.Upstream) { u.ApplySlowdown(share, u.Group.Cores) })
		s.wait(ctx, end)
		some(func(u *emulate.Upstream) { u.ApplySlowdown(1, u.Group.Cores) })
	case "cores":
		some(func(u *emulate.Upstream) { u.ApplySlowdown(1, int(f.Factor)) })
		s.wait(ctx, end)
		some(func(u *emulate.Upstream) { u.ApplySlowdown(1, u.Group.Cores) })
	case "die":
		some(func(u *emulate.Upstream) { u.Kill() })
		s.wait(ctx, end)
		some(func(u *emulate.Upstream) {
			u.Restart(false)
			s.lists.SetStatus(u, "SERVING", true)
		})
	case "drain":
		some(func(u *emulate.Upstream) { s.lists.SetStatus(u, "DRAINING", false) })
		if s.wait(ctx, end) {
			some(func(u *emulate.Upstream) { s.lists.SetStatus(u, "SERVING", false) })
		}
	case "deploy":
		var all sync.WaitGroup
		for n, i := range f.Upstreams {
			all.Go(func() { s.replace(ctx, s.fleet.Upstreams[i], f.At+f.For*int64(n)/int64(len(f.Upstreams))) })
		}
		all.Wait()
	case "list-down":
		s.lists.SetDown(f.Pool, true)
		s.wait(ctx, end)
		s.lists.SetDown(f.Pool, false)
	case "list-late":
		s.lists.SetDelay(f.Pool, time.Duration(share*float64(time.Second)))
		s.wait(ctx, end)
		s.lists.SetDelay(f.Pool, 0)
	case "list-lacks":
		s.lists.SetOmitted(f.Upstreams, true)
		s.wait(ctx, end)
		s.lists.SetOmitted(f.Upstreams, false)
	case "balancer-kill", "balancer-stop", "balancer-wipe", "balancer-old":
		var all sync.WaitGroup
		for _, n := range f.Balancers {
			all.Go(func() { s.outage(ctx, s.balancers[n], f, end) })
		}
		all.Wait()
	}
	if f.Kind == "balancer-double" && !s.clustered() { // what it costs there is the stop alone
		stop := *f
		stop.Kind = "balancer-stop"
		s.fault(ctx, &stop)
	}
	if !s.clustered() {
		return
	}
	wait := func() { s.wait(ctx, end) }
	var all sync.WaitGroup
	defer all.Wait()
	switch {
	case f.Link != nil:
		s.trouble(f, wait)
	case f.Kind == "balancer-double":
		for _, n := range f.Balancers {
			all.Go(func() { s.double(s.balancers[n], wait) })
		}
	case f.Kind == "balancer-leave":
		for _, n := range f.Balancers {
			all.Go(func() {
				ops.Call(s.seats[n].Ops, "LEAVE", time.Second)
				wait()
				ops.Call(s.seats[n].Ops, "JOIN", time.Second)
			})
		}
	case f.Kind == "keeper-replace": // as staff would
		for _, n := range f.Balancers {
			text, _, err := ops.Call(s.seats[(n+1)%len(s.seats)].Ops, "CLUSTER replace "+spec.Name(n), 10*time.Second)
			s.act("replace %s: %s %v", spec.Name(n), strings.TrimSpace(text), err)
			s.mu.Lock()
			s.seated = append(s.seated, record.VoterReplacement{Balancer: n, At: s.now()})
			s.mu.Unlock()
		}
	case strings.HasPrefix(f.Kind, "disk-"):
		for _, n := range f.Balancers {
			all.Go(func() { s.directory(s.balancers[n], f.Kind, wait) })
		}
	}
}

// replace is one step of a deploy: an upstream drains, ends, and its successor starts cold under another name.
func (s *stage) replace(ctx context.Context, u *emulate.Upstream, from int64) {
	if !s.wait(ctx, from) {
		return
	}
	s.lists.SetStatus(u, "DRAINING", false)
	if !s.wait(ctx, from+int64(drainsFor)) {
		return
	}
	s.lists.SetStatus(u, "DELETED", false)
	time.Sleep(time.Duration(s.e.Listed) + 20*time.Millisecond)
	u.Kill()
	u.Restart(true)
	s.lists.SetStatus(u, "SERVING", true)
}

// outage kills or stops a balancer until some time.
func (s *stage) outage(ctx context.Context, b *balancer, f *spec.Fault, end int64) {
	o := record.Outage{Balancer: b.index, From: s.now(), WithoutState: f.Kind == "balancer-wipe" || f.Kind == "balancer-old"}
	kill := f.Kind != "balancer-stop"
	var told atomic.Bool
	if kill {
		b.stop()
		s.act("%s is killed (%s)", spec.Name(b.index), f.Kind)
		time.AfterFunc(noticed, func() { told.Store(true); s.load.SetDown(b.index, true) })
	} else {
		b.command.Process.Signal(syscall.SIGSTOP)
		s.act("%s is stopped", spec.Name(b.index))
		if b.seat != nil {
			s.stopped(b.process)
		}
	}
	s.wait(ctx, end)
	if !kill {
		b.command.Process.Signal(syscall.SIGCONT)
		if b.seat != nil {
			s.continued(b.process)
		}
		s.act("%s goes on", spec.Name(b.index))
	} else if ctx.Err() == nil {
		b.before(f.Kind)
		if f.Moves && b.seat != nil {
			if address, err := free(); err == nil {
				b.seat.Address = address
				s.mesh.Target(b.index, address)
				if err := b.configure(); err != nil {
					s.broke(err)
				}
			}
		}
		if b.start() == nil {
			s.act("%s is started again", spec.Name(b.index))
			b.ready(ctx)
		}
		if told.Load() {
			s.load.SetDown(b.index, false)
		}
	}
	o.To = s.now()
	s.mu.Lock()
	s.outages = append(s.outages, o)
	s.mu.Unlock()
}
