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
	sampleInterval = 100 * time.Millisecond // between two samples of a member's view
	sampleTimeout  = 80 * time.Millisecond  // for the answer to one sample
)

// placement holds the addresses and files of a member in the cluster of a run.
type placement struct {
	spec.Placement
	labFile       string // file with the lab settings of the process
	diskFaultFile string // file that names the current fault of its directory
	backupDir     string // copy of its directory from the start of the run
}

// clustered reports whether the balancers of this run are members of a cluster.
func (rn *runner) clustered() bool {
	return rn.experiment.Cluster != nil && rn.options.Variant != "no-cluster"
}

// Ports of balancers lie below the ephemeral range of the system (32768 and up on Linux). The system may give a port of that
// range to another process before the balancer starts or while it restarts.
const (
	firstPort = 12000
	portCount = 20000
)

var assignedAddresses sync.Map // addresses assigned to balancers of this run and of concurrent ones

// freeAddress returns a local address on which nobody listens, TCP or UDP.
func freeAddress() (string, error) {
	for range 200 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		if _, taken := assignedAddresses.LoadOrStore(address, true); taken {
			continue // its process may not listen yet
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
	return "", errors.New("no free port found in 200 tries")
}

// createLinks creates the links between balancers, and a placement for each balancer.
func (rn *runner) createLinks() (err error) {
	if !rn.clustered() {
		return nil
	}
	if rn.mesh, err = between.New(rn.experiment.Balancers, rn.experiment.Seed); err != nil {
		return err
	}
	for n := range rn.experiment.Balancers {
		t, err := rn.newPlacement(n, "")
		if err != nil {
			return err
		}
		rn.placements = append(rn.placements, t)
		rn.mesh.Target(n, t.Address)
	}
	return nil
}

// newPlacement creates a placement. A second one of the same balancer needs a suffix.
func (rn *runner) newPlacement(index int, suffix string) (place *placement, err error) {
	name := spec.MemberName(index) + suffix
	place = &placement{labFile: filepath.Join(rn.options.Dir, name+".lab"),
		diskFaultFile: filepath.Join(rn.options.Dir, name+".disk"), backupDir: filepath.Join(rn.options.Dir, name+".old")}
	place.Dir, place.Through = filepath.Join(rn.options.Dir, name), map[string]string{}
	if place.Address, err = freeAddress(); err != nil {
		return nil, err
	}
	if place.Ops, err = freeAddress(); err != nil {
		return nil, err
	}
	for other := range rn.experiment.Balancers {
		if other != index {
			place.Through[spec.MemberName(other)] = rn.mesh.Address(index, other)
			place.Join = append(place.Join, rn.mesh.Address(index, other))
		}
	}
	lab := cluster.Lab{ParentPID: os.Getpid(), DiskFaultFile: place.diskFaultFile}
	if guard, some := strings.CutPrefix(rn.options.Variant, "without-"); some && guard != "ledger" {
		lab.DisabledGuards = []string{guard}
	}
	raw, err := json.Marshal(lab)
	if err != nil {
		return nil, err
	}
	return place, os.WriteFile(place.labFile, raw, 0o600)
}

// extraConfig returns the configuration of a balancer as a cluster member.
func (rn *runner) extraConfig(n int, place *placement) map[string]any {
	if place == nil {
		return nil
	}
	extra := rn.experiment.MemberConfiguration(n, place.Placement)
	c := extra["cluster"].(map[string]any)
	switch rn.options.Variant {
	case "without-ledger":
		delete(c, "ledger")
	case "one-copy": // the ledger has a single replica
		c["voters"] = []string{spec.MemberName(0)}
	}
	return extra
}

// hasLedger reports whether the members maintain a ledger.
func (rn *runner) hasLedger() bool {
	return rn.clustered() && rn.experiment.Cluster.Settings.Ledger.Enabled() && rn.options.Variant != "without-ledger"
}

// readLedgerEntries reads ledger entries of recent transactions at random members until the run ends.
func (rn *runner) readLedgerEntries(ctx context.Context) {
	for ctx.Err() == nil {
		transaction, found := rn.load.Recent()
		if !found {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		clients := rn.experiment.Clients[transaction.Clients]
		key := ledger.KeyOf("tag", rn.experiment.Pools[clients.Pool], clients.Customer,
			rn.experiment.Tariffs[clients.Tariff].Name, fmt.Sprintf("%016x", transaction.Root))
		query, _ := json.Marshal(ledger.Query{Kind: "look", Key: key[:]})
		n := rand.IntN(len(rn.placements))
		from := rn.elapsed()
		text, ok, err := ops.Call(rn.placements[n].Ops, "CLUSTER ledger find "+string(query), time.Second)
		if err == nil && ok {
			rn.mu.Lock()
			rn.ledgerReads = append(rn.ledgerReads, record.LinearizableRead{Member: n, Root: transaction.Root, From: from,
				To: rn.elapsed(), Found: strings.Contains(text, key.String())})
			rn.mu.Unlock()
		}
		time.Sleep(time.Duration(10+rand.IntN(20)) * time.Millisecond)
	}
}

const ledgerReaders = 3 // concurrent readers of the ledger during a run

const (
	ledgerTimeout     = 8 * time.Second // to read the whole ledger after the run
	ledgerReadTimeout = 3 * time.Second
)

// readLedger reads all entries of the ledger at the end, from the first member that answers.
func (rn *runner) readLedger(ctx context.Context) (all []record.Entry, read int64) {
	if !rn.hasLedger() {
		return nil, 0
	}
	for n, end := 0, time.Now().Add(ledgerTimeout); time.Now().Before(end) && ctx.Err() == nil; n++ {
		at := rn.elapsed()
		text, ok, err := ops.Call(rn.placements[n%len(rn.placements)].Ops, "CLUSTER ledger find {}", ledgerReadTimeout)
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

func (rn *runner) placementOf(n int) *placement {
	if n < len(rn.placements) {
		return rn.placements[n]
	}
	return nil
}

func (rn *runner) logAction(text string, values ...any) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.actions = append(rn.actions, record.Action{At: rn.elapsed(), What: fmt.Sprintf(text, values...)})
}

// processStarted records the start of a member's process. It returns the index that its stops and its end are recorded under.
func (rn *runner) processStarted(n int) int {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.processes = append(rn.processes, record.Process{Member: n, From: rn.elapsed()})
	return len(rn.processes) - 1
}

func (rn *runner) processExited(process int) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if process < len(rn.processes) && rn.processes[process].To == 0 {
		rn.processes[process].To = rn.elapsed()
	}
}

func (rn *runner) processStopped(process int) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	p := &rn.processes[process]
	p.Stops = append(p.Stops, record.Span{From: rn.elapsed()})
}

func (rn *runner) processContinued(process int) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	p := &rn.processes[process]
	p.Stops[len(p.Stops)-1].To = rn.elapsed()
}

// sampleViews requests the view of a member's process at regular intervals until the process has ended.
func (rn *runner) sampleViews(bal *balancer, process int, ended <-chan struct{}) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ended:
			return
		case <-rn.finished:
			return
		}
		text, ok, err := ops.Call(bal.placement.Ops, "MEMBERS", sampleTimeout)
		var view member.View
		if err != nil || !ok || json.NewDecoder(strings.NewReader(text)).Decode(&view) != nil {
			continue
		}
		if rn.experiment.Cluster.Voters > 0 {
			rn.sampleClaims(bal, process)
		}
		rn.mu.Lock()
		if p := &rn.processes[process]; len(p.IDs) == 0 || p.IDs[len(p.IDs)-1].ID != view.Self {
			p.IDs = append(p.IDs, record.RunID{At: rn.elapsed(), ID: view.Self})
		}
		rn.views = append(rn.views, record.View{Process: process, At: rn.elapsed(), Superseded: view.SupersededBy != "",
			Alive: view.AliveRuns()})
		rn.mu.Unlock()
	}
}

// sampleClaims requests the duties on which a member's process may act.
func (rn *runner) sampleClaims(bal *balancer, process int) {
	from := rn.elapsed()
	text, ok, err := ops.Call(bal.placement.Ops, "CLUSTER owners", sampleTimeout)
	var o cluster.DutyReport
	if err != nil || !ok || json.NewDecoder(strings.NewReader(text)).Decode(&o) != nil {
		return
	}
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.refusedActs[process] = max(rn.refusedActs[process], o.Refused)
	for _, d := range o.Duties {
		if d.Owned && d.MayAct {
			rn.claims = append(rn.claims, record.Claim{Process: process, At: from, Duty: d.Duty, Token: d.Token})
		}
	}
}

// resolveOwner returns the fault with spec.DutyOwner replaced by the current owner of the list duty of the first pool.
func (rn *runner) resolveOwner(fault *spec.Fault) *spec.Fault {
	if !rn.clustered() || fault.Link == nil && !slices.Contains(fault.Balancers, spec.DutyOwner) ||
		fault.Link != nil && !slices.Contains(fault.Link.From, spec.DutyOwner) {
		if slices.Contains(fault.Balancers, spec.DutyOwner) { // without a cluster there is no owner; take the first balancer
			resolved := *fault
			resolved.Balancers = []int{0}
			return &resolved
		}
		return fault
	}
	owner, duty := 0, shared.Duty(rn.experiment.Pools[0])
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if n, known := rn.currentOwner(duty); known {
			owner = n
			break
		}
	}
	rn.logAction("%s owns %s", spec.MemberName(owner), duty)
	resolved := *fault
	replaceOwner := func(all []int) (out []int) {
		for _, n := range all {
			if n == spec.DutyOwner {
				n = owner
			}
			out = append(out, n)
		}
		return out
	}
	resolved.Balancers = replaceOwner(fault.Balancers)
	if fault.Link != nil {
		l := *fault.Link
		l.From, l.To = replaceOwner(l.From), replaceOwner(l.To)
		resolved.Link = &l
	}
	return &resolved
}

// currentOwner returns the member that last claimed a duty within the past second.
func (rn *runner) currentOwner(duty string) (member int, known bool) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	for i := len(rn.claims) - 1; i >= 0; i-- {
		if c := rn.claims[i]; c.Duty == duty && rn.elapsed()-c.At < int64(time.Second) {
			return rn.processes[c.Process].Member, true
		}
	}
	return 0, false
}

// injectLinkFault applies a fault to links until wait returns.
func (rn *runner) injectLinkFault(fault *spec.Fault, wait func()) {
	kind := strings.TrimPrefix(fault.Kind, "link-")
	directions := fault.Link.Directions(rn.experiment.Balancers)
	if kind == "reset" {
		for _, d := range directions {
			rn.mesh.Reset(d[0], d[1])
		}
		rn.logAction("reset %v", linkNames(directions))
		return
	}
	set := func(on bool) {
		for _, d := range directions {
			rn.mesh.Set(d[0], d[1], func(t *between.Faults) {
				switch kind {
				case "cut":
					t.Cut = on
				case "stall":
					t.Stall = on
				case "delay":
					if t.Delay, t.Jitter = 0, 0; on {
						t.Delay, t.Jitter = fault.Link.Delay, fault.Link.Jitter
					}
				case "loss":
					if t.Loss = 0; on {
						t.Loss = fault.Link.Fraction
					}
				case "duplicate":
					if t.Duplicate = 0; on {
						t.Duplicate = fault.Link.Fraction
					}
				case "reorder":
					if t.Reorder = 0; on {
						t.Reorder = fault.Link.Fraction
					}
				case "trickle":
					if t.Trickle = 0; on {
						t.Trickle = fault.Link.BytesPerSecond
					}
				}
			})
		}
	}
	from := rn.elapsed()
	rn.logAction("%s %v begins", kind, linkNames(directions))
	set(true)
	wait()
	set(false)
	rn.logAction("%s %v ends", kind, linkNames(directions))
	rn.mu.Lock()
	defer rn.mu.Unlock()
	for _, d := range directions {
		rn.linkFaults = append(rn.linkFaults, record.LinkFault{From: d[0], To: d[1], Kind: kind,
			Span: record.Span{From: from, To: rn.elapsed()}})
	}
}

func linkNames(directions [][2]int) (all []string) {
	for _, d := range directions {
		all = append(all, spec.MemberName(d[0])+">"+spec.MemberName(d[1]))
	}
	return all
}

// startDuplicate stops a member's process, starts another one of the same name at another address, and continues the old one
// after wait returns.
func (rn *runner) startDuplicate(bal *balancer, wait func()) {
	place, err := rn.newPlacement(bal.index, "x")
	if err != nil {
		rn.abort(err)
		return
	}
	span := record.Outage{Balancer: bal.index, From: rn.elapsed()}
	defer func() {
		span.To = rn.elapsed()
		rn.mu.Lock()
		defer rn.mu.Unlock()
		rn.outages = append(rn.outages, span)
	}()
	bal.command.Process.Signal(syscall.SIGSTOP)
	rn.processStopped(bal.process)
	rn.logAction("%s is stopped, and another run of it is started elsewhere", spec.MemberName(bal.index))
	rn.mesh.Target(bal.index, place.Address) // the other members connect to the newest run of a name
	other, err := rn.startBalancer(bal.index, place, "x")
	if err != nil {
		rn.abort(err)
		return
	}
	rn.mu.Lock()
	rn.duplicates = append(rn.duplicates, other)
	rn.mu.Unlock()
	wait()
	bal.command.Process.Signal(syscall.SIGCONT)
	rn.processContinued(bal.process)
	rn.logAction("the old run of %s continues", spec.MemberName(bal.index))
}

// injectDiskFault applies a disk fault to a member's directory until wait returns.
func (rn *runner) injectDiskFault(bal *balancer, kind string, wait func()) {
	rn.logAction("the directory of %s: %s", spec.MemberName(bal.index), kind)
	if err := os.WriteFile(bal.placement.diskFaultFile, []byte(strings.TrimPrefix(kind, "disk-")), 0o600); err != nil {
		rn.abort(err)
		return
	}
	wait()
	os.Remove(bal.placement.diskFaultFile)
	rn.logAction("the directory of %s works again", spec.MemberName(bal.index))
}

// prepareDir wipes the directory of a killed member or replaces it by the old copy, as the kind of outage demands.
func (bal *balancer) prepareDir(kind string) {
	if bal.placement == nil {
		return
	}
	switch kind {
	case "balancer-wipe":
		os.RemoveAll(bal.placement.Dir)
	case "balancer-old":
		os.RemoveAll(bal.placement.Dir)
		copyDir(bal.placement.backupDir, bal.placement.Dir)
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

// setEnvironment tells a member's process where its lab settings are.
func (bal *balancer) setEnvironment(c *exec.Cmd) {
	if bal.placement != nil {
		c.Env = append(os.Environ(), cluster.LabVariable+"="+bal.placement.labFile)
	}
}
