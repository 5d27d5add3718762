package run

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"ottershift/internal/cluster"
	"ottershift/internal/cluster/ledger"
	"ottershift/internal/cluster/member"
	"ottershift/internal/cluster/shared"
	"ottershift/internal/lab/between"
	"ottershift/internal/lab/record"
	"ottershift/internal/lab/spec"
	"ottershift/internal/ops"
)

const (
	samples = 100 * time.Millisecond // of views
	answers = 80 * time.Millisecond  // until a view that doesn't come counts as none
)

// seat is a balancer's place in the cluster of a run.
type seat struct {
	spec.Seat
	lab  string // the file by which the lab tells the process of its own
	disk string // and the one that says which fault its directory has
	copy string // an earlier copy of its directory
}

// clustered reports whether the balancers of this run are members of a cluster.
func (s *stage) clustered() bool { return s.e.Cluster != nil && s.o.Variant != "no-cluster" }

// Ports for balancers lie below those that the system hands out by itself (32768 and up on Linux). Danger: one from there
// may be another's by the time its process starts, and again when it is started once more.
const (
	firstPort = 12000
	ports     = 20000
)

var handed sync.Map // ports given to processes of this run and others beside it

// free is an address at which nobody listens, TCP or UDP.
func free() (string, error) {
	for range 200 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports))
		if _, taken := handed.LoadOrStore(address, true); taken {
			continue // its process hasn't listened yet
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", address)
		l.Close()
		if err != nil {
			continue
		}
		u.Close()
		return address, nil
	}
	return "", errors.New("no port is free")
}

// links makes the links and a place for each balancer.
func (s *stage) links() (err error) {
	if !s.clustered() {
		return nil
	}
	if s.mesh, err = between.New(s.e.Balancers, s.e.Seed); err != nil {
		return err
	}
	for n := range s.e.Balancers {
		t, err := s.seat(n, "")
		if err != nil {
			return err
		}
		s.seats = append(s.seats, t)
		s.mesh.Target(n, t.Address)
	}
	return nil
}

// seat makes a place; a second one of the same balancer has a suffix.
func (s *stage) seat(n int, suffix string) (t *seat, err error) {
	name := spec.Name(n) + suffix
	t = &seat{lab: filepath.Join(s.o.Dir, name+".lab"), disk: filepath.Join(s.o.Dir, name+".disk"), copy: filepath.Join(s.o.Dir, name+".old")}
	t.Dir, t.Through = filepath.Join(s.o.Dir, name), map[string]string{}
	if t.Address, err = free(); err != nil {
		return nil, err
	}
	if t.Ops, err = free(); err != nil {
		return nil, err
	}
	for other := range s.e.Balancers {
		if other != n {
			t.Through[spec.Name(other)] = s.mesh.Address(n, other)
			t.Join = append(t.Join, s.mesh.Address(n, other))
		}
	}
	lab := cluster.Lab{ParentPID: os.Getpid(), DiskFaultFile: t.disk}
	if guard, some := strings.CutPrefix(s.o.Variant, "without-"); some && guard != "ledger" {
		lab.DisabledGuards = []string{guard}
	}
	raw, err := json.Marshal(lab)
	if err != nil {
		return nil, err
	}
	return t, os.WriteFile(t.lab, raw, 0o600)
}

// more is what a balancer is told beside its pools.
func (s *stage) more(n int, t *seat) map[string]any {
	if t == nil {
		return nil
	}
	more := s.e.Clustered(n, t.Seat)
	c := more["cluster"].(map[string]any)
	switch s.o.Variant {
	case "without-ledger":
		delete(c, "ledger")
	case "one-copy": // kept by one machine alone
		c["voters"] = []string{spec.Name(0)}
	}
	return more
}

// keeps reports whether the members keep a ledger.
func (s *stage) keeps() bool {
	return s.clustered() && s.e.Cluster.Settings.Ledger.Enabled() && s.o.Variant != "without-ledger"
}

// look reads lines of the ledger at members, by chance, for as long as the run goes on.
func (s *stage) look(ctx context.Context) {
	for ctx.Err() == nil {
		c, some := s.load.Recent()
		if !some {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		k := s.e.Clients[c.Clients]
		key := ledger.KeyOf("tag", s.e.Pools[k.Pool], k.Customer, s.e.Tariffs[k.Tariff].Name, fmt.Sprintf("%016x", c.Root))
		q, _ := json.Marshal(ledger.Query{Kind: "look", Key: key[:]})
		n := rand.IntN(len(s.seats))
		from := s.now()
		text, ok, err := ops.Call(s.seats[n].Ops, "CLUSTER ledger find "+string(q), time.Second)
		if err == nil && ok {
			s.mu.Lock()
			s.looks = append(s.looks, record.LinearizableRead{Member: n, Root: c.Root, From: from, To: s.now(), Found: strings.Contains(text, key.String())})
			s.mu.Unlock()
		}
		time.Sleep(time.Duration(10+rand.IntN(20)) * time.Millisecond)
	}
}

const readers = 3 // of the ledger, while all goes on

const (
	ledgerWithin = 8 * time.Second // for the ledger to be read once all is over
	oneRead      = 3 * time.Second
)

// ledger reads what is written down at the end, from whichever member can tell.
func (s *stage) ledger(ctx context.Context) (all []record.Entry, read int64) {
	if !s.keeps() {
		return nil, 0
	}
	for n, end := 0, time.Now().Add(ledgerWithin); time.Now().Before(end) && ctx.Err() == nil; n++ {
		at := s.now()
		text, ok, err := ops.Call(s.seats[n%len(s.seats)].Ops, "CLUSTER ledger find {}", oneRead)
		if err != nil || !ok {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		all = nil
		in := json.NewDecoder(strings.NewReader(text))
		for {
			var e ledger.Entry
			if in.Decode(&e) != nil {
				return all, at
			}
			all = append(all, record.Entry{Tariff: e.Tariff, ClientKey: e.ClientKey, State: e.State, MayHaveRun: e.MayHaveRun})
		}
	}
	return nil, 0
}

func (s *stage) seatOf(n int) *seat {
	if n < len(s.seats) {
		return s.seats[n]
	}
	return nil
}

func (s *stage) act(text string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acts = append(s.acts, record.Action{At: s.now(), What: fmt.Sprintf(text, values...)})
}

// begun notes that a member's process runs; its end and its stops are noted by the same number.
func (s *stage) begun(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes = append(s.processes, record.Process{Member: n, From: s.now()})
	return len(s.processes) - 1
}

func (s *stage) gone(process int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if process < len(s.processes) && s.processes[process].To == 0 {
		s.processes[process].To = s.now()
	}
}

func (s *stage) stopped(process int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.processes[process]
	p.Stops = append(p.Stops, record.Span{From: s.now()})
}

func (s *stage) continued(process int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.processes[process]
	p.Stops[len(p.Stops)-1].To = s.now()
}

// sample asks a member's process for its view again and again, until it has ended.
func (s *stage) sample(b *balancer, process int, ended <-chan struct{}) {
	tick := time.NewTicker(samples)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ended:
			return
		case <-s.over:
			return
		}
		text, ok, err := ops.Call(b.seat.Ops, "MEMBERS", answers)
		var v member.View
		if err != nil || !ok || json.NewDecoder(strings.NewReader(text)).Decode(&v) != nil {
			continue
		}
		if s.e.Cluster.Voters > 0 {
			s.claim(b, process)
		}
		s.mu.Lock()
		if p := &s.processes[process]; len(p.IDs) == 0 || p.IDs[len(p.IDs)-1].ID != v.Self {
			p.IDs = append(p.IDs, record.RunID{At: s.now(), ID: v.Self})
		}
		s.views = append(s.views, record.View{Process: process, At: s.now(), Superseded: v.SupersededBy != "", Alive: v.AliveRuns()})
		s.mu.Unlock()
	}
}

// claim asks a member's process on which duties it may act.
func (s *stage) claim(b *balancer, process int) {
	from := s.now()
	text, ok, err := ops.Call(b.seat.Ops, "CLUSTER owners", answers)
	var o cluster.DutyReport
	if err != nil || !ok || json.NewDecoder(strings.NewReader(text)).Decode(&o) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[process] = max(s.refused[process], o.Refused)
	for _, d := range o.Duties {
		if d.Owned && d.MayAct {
			s.claims = append(s.claims, record.Claim{Process: process, At: from, Duty: d.Duty, Token: d.Token})
		}
	}
}

// aimed finds whom a fault meets that is meant for the owner of the list's duty.
func (s *stage) aimed(f *spec.Fault) *spec.Fault {
	if !s.clustered() || f.Link == nil && !slices.Contains(f.Balancers, spec.Owner) || f.Link != nil && !slices.Contains(f.Link.From, spec.Owner) {
		if slices.Contains(f.Balancers, spec.Owner) { // without a cluster any will do
			own := *f
			own.Balancers = []int{0}
			return &own
		}
		return f
	}
	at, duty := 0, shared.Duty(s.e.Pools[0])
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if n, known := s.owner(duty); known {
			at = n
			break
		}
	}
	s.act("%s owns %s", spec.Name(at), duty)
	own := *f
	aim := func(all []int) (out []int) {
		for _, n := range all {
			if n == spec.Owner {
				n = at
			}
			out = append(out, n)
		}
		return out
	}
	own.Balancers = aim(f.Balancers)
	if f.Link != nil {
		l := *f.Link
		l.From, l.To = aim(l.From), aim(l.To)
		own.Link = &l
	}
	return &own
}

// owner is who says last that it may act on a duty.
func (s *stage) owner(duty string) (member int, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.claims) - 1; i >= 0; i-- {
		if c := s.claims[i]; c.Duty == duty && s.now()-c.At < int64(time.Second) {
			return s.processes[c.Process].Member, true
		}
	}
	return 0, false
}

// trouble has a link be unwell until some time.
func (s *stage) trouble(f *spec.Fault, wait func()) {
	kind := strings.TrimPrefix(f.Kind, "link-")
	directions := f.Link.Directions(s.e.Balancers)
	if kind == "reset" {
		for _, d := range directions {
			s.mesh.Reset(d[0], d[1])
		}
		s.act("reset %v", names(directions))
		return
	}
	set := func(on bool) {
		for _, d := range directions {
			s.mesh.Set(d[0], d[1], func(t *between.Faults) {
				switch kind {
				case "cut":
					t.Cut = on
				case "stall":
					t.Stall = on
				case "delay":
					if t.Delay, t.Jitter = 0, 0; on {
						t.Delay, t.Jitter = f.Link.Delay, f.Link.Jitter
					}
				case "loss":
					if t.Loss = 0; on {
						t.Loss = f.Link.Part
					}
				case "duplicate":
					if t.Duplicate = 0; on {
						t.Duplicate = f.Link.Part
					}
				case "reorder":
					if t.Reorder = 0; on {
						t.Reorder = f.Link.Part
					}
				case "trickle":
					if t.Trickle = 0; on {
						t.Trickle = f.Link.Pace
					}
				}
			})
		}
	}
	from := s.now()
	s.act("%s %v begins", kind, names(directions))
	set(true)
	wait()
	set(false)
	s.act("%s %v ends", kind, names(directions))
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range directions {
		s.troubles = append(s.troubles, record.LinkFault{From: d[0], To: d[1], Kind: kind, Span: record.Span{From: from, To: s.now()}})
	}
}

func names(directions [][2]int) (all []string) {
	for _, d := range directions {
		all = append(all, spec.Name(d[0])+">"+spec.Name(d[1]))
	}
	return all
}

// double stops a member's process, starts another of the same name elsewhere, and lets the old one go on.
func (s *stage) double(b *balancer, wait func()) {
	t, err := s.seat(b.index, "x")
	if err != nil {
		s.broke(err)
		return
	}
	out := record.Outage{Balancer: b.index, From: s.now()}
	defer func() {
		out.To = s.now()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.outages = append(s.outages, out)
	}()
	b.command.Process.Signal(syscall.SIGSTOP)
	s.stopped(b.process)
	s.act("%s is stopped, and another run of it is started elsewhere", spec.Name(b.index))
	s.mesh.Target(b.index, t.Address) // others reach a name where its newest run is
	other, err := s.start(b.index, t, "x")
	if err != nil {
		s.broke(err)
		return
	}
	s.mu.Lock()
	s.doubles = append(s.doubles, other)
	s.mu.Unlock()
	wait()
	b.command.Process.Signal(syscall.SIGCONT)
	s.continued(b.process)
	s.act("the old run of %s goes on", spec.Name(b.index))
}

// directory has a member's directory fail.
func (s *stage) directory(b *balancer, kind string, wait func()) {
	s.act("the directory of %s: %s", spec.Name(b.index), kind)
	if err := os.WriteFile(b.seat.disk, []byte(strings.TrimPrefix(kind, "disk-")), 0o600); err != nil {
		s.broke(err)
		return
	}
	wait()
	os.Remove(b.seat.disk)
	s.act("the directory of %s is well", spec.Name(b.index))
}

// before does what an outage does to a member's directory.
func (b *balancer) before(kind string) {
	if b.seat == nil {
		return
	}
	switch kind {
	case "balancer-wipe":
		os.RemoveAll(b.seat.Dir)
	case "balancer-old":
		os.RemoveAll(b.seat.Dir)
		copyDir(b.seat.copy, b.seat.Dir)
	}
}

// copyDir copies the files of a flat directory.
func copyDir(from, to string) {
	all, _ := os.ReadDir(from)
	os.MkdirAll(to, 0o700)
	for _, e := range all {
		in, err := os.Open(filepath.Join(from, e.Name()))
		if err != nil || e.IsDir() {
			continue
		}
		if out, err := os.Create(filepath.Join(to, e.Name())); err == nil {
			io.Copy(out, in)
			out.Close()
		}
		in.Close()
	}
}

// environment is a member's.
func (b *balancer) environment(c *exec.Cmd) {
	if b.seat != nil {
		c.Env = append(os.Environ(), cluster.LabVariable+"="+b.seat.lab)
	}
}
