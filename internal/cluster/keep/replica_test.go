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

// host is the part of a process that belongs to a group: a link, a replica and a client, on real sockets and a real
// disk.
type host struct {
	name    string
	link    *link.Link
	replica *Replica
	client  *Client
	options Options
}

// newHosts makes a host for each name, and starts none.
func newHosts(t testing.TB, voters []string, names ...string) map[string]*host {
	addresses := map[string]string{}
	hosts := map[string]*host{}
	dir := t.TempDir()
	for _, name := range names {
		listener, err := link.Listen(link.Options{
			Cluster: "c", Self: name, Address: "127.0.0.1:0", Log: slog.New(slog.DiscardHandler), HandleStream: func(c net.Conn) { c.Close() },
			HandleDatagram: func(byte, []byte, net.Addr) {}, Resolve: func(name string) (string, bool) { address, ok := addresses[name]; return address, ok },
		})
		if err != nil {
			t.Fatal(err)
		}
		addresses[name] = listener.Addr().String()
		groupDir := GroupDir(filepath.Join(dir, name), 0)
		hosts[name] = &host{name: name, link: listener, client: NewClient(listener, name, voters, 0), options: Options{
			Cluster: "c", Name: name, Voters: voters, Dir: groupDir, FS: disk.Dir(groupDir), Transport: listener, ElectionTimeout: 200 * time.Millisecond,
			Lease: Lease{time.Second, 0.02}, Checks: SafetyChecks{true, true}, Log: slog.New(slog.DiscardHandler),
		}}
		t.Cleanup(listener.Close)
	}
	return hosts
}

// startReplica starts the replica of the host.
func (h *host) startReplica(t testing.TB) {
	t.Helper()
	var err error
	if h.replica, err = NewReplica(h.options); err != nil {
		t.Fatal(err)
	}
	h.replica.Start()
}

// eventually waits up to 20 s until a condition is met.
func eventually(t testing.TB, description string, condition func() bool) {
	t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("condition not met in time: " + description)
}

// timeoutContext returns a context with a timeout of four times d, to tolerate a machine that is busy.
func timeoutContext(t testing.TB, d time.Duration) context.Context {
	ctx, stop := context.WithTimeout(context.Background(), 4*d)
	t.Cleanup(stop)
	return ctx
}

// Three voters and a member without a replica: sessions, duties and tokens; a voter that restarts; an old copy of a
// voter's directory is refused; a voter with an empty directory is refused until it is replaced.
func TestReplicaFailureAndReplacement(t *testing.T) {
	voters := []string{"a", "b", "c"}
	hosts := newHosts(t, voters, "a", "b", "c", "x")
	for _, name := range voters {
		hosts[name].startReplica(t)
	}
	for _, h := range hosts {
		h.link.Serve()
	}
	client := hosts["x"].client
	if _, err := client.Open(timeoutContext(t, 5*time.Second), 7, 1); err != nil {
		t.Fatal(err)
	}
	if epoch, err := hosts["a"].client.Open(timeoutContext(t, 2*time.Second), 1, 9); err != nil || epoch != 1 {
		t.Fatal(epoch, err)
	}
	first, err := client.Do(timeoutContext(t, time.Second), Command{Kind: AcquireDuty, Duty: "list"})
	if err != nil || first.Code != CodeOK {
		t.Fatal(first, err)
	}
	if result, err := hosts["a"].client.Do(timeoutContext(t, time.Second), Command{Kind: AcquireDuty, Duty: "list"}); err != nil || result.Code != CodeOwned || result.Owner != "x" {
		t.Errorf("a duty with an owner was acquired: %+v, %v", result, err)
	}
	if renewed, err := client.Renew(timeoutContext(t, time.Second), map[string]uint64{"list": first.Token, "other": 1}); err != nil || len(renewed) != 1 {
		t.Errorf("renewed %v, %v", renewed, err)
	}
	// The ownership is not renewed: the duty becomes free after the lease, and the next token is higher.
	var next Result
	eventually(t, "the ownership expires", func() bool {
		next, err = hosts["a"].client.Do(timeoutContext(t, time.Second), Command{Kind: AcquireDuty, Duty: "list"})
		return err == nil && next.Code == CodeOK
	})
	if next.Token <= first.Token {
		t.Errorf("token %d was issued after token %d", next.Token, first.Token)
	}
	if result, _ := client.Do(timeoutContext(t, time.Second), Command{Kind: ReleaseDuty, Duty: "list", Token: first.Token}); result.Code != CodeFenced {
		t.Errorf("a stale token released the duty: %+v", result)
	}
	// A newer run of x opens a session: commands of the older run are refused.
	newer := NewClient(hosts["x"].link, "x", voters, 0)
	if _, err := newer.Open(timeoutContext(t, time.Second), 8, 2); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Do(timeoutContext(t, time.Second), Command{Kind: AcquireDuty, Duty: "more"}); err != ErrSessionEnded {
		t.Errorf("command of an older run: %v", err)
	}

	// Replica b restarts from an old copy of its directory, and then with an empty one. It must not vote.
	oldCopy := filepath.Join(t.TempDir(), "old")
	hosts["b"].replica.Close()
	os.CopyFS(oldCopy, os.DirFS(hosts["b"].options.Dir))
	hosts["b"].startReplica(t)
	eventually(t, "b has restarted", func() bool { status, _ := hosts["b"].replica.Status(); return status.Role != "" })
	time.Sleep(1200 * time.Millisecond) // the others learn of this run
	hosts["b"].replica.Close()
	os.RemoveAll(hosts["b"].options.Dir)
	os.CopyFS(hosts["b"].options.Dir, os.DirFS(oldCopy))
	hosts["b"].startReplica(t)
	eventually(t, "the old copy is refused", func() bool { _, reason := hosts["b"].replica.Status(); return strings.Contains(reason, "old copy") })
	hosts["b"].replica.Close()
	os.RemoveAll(hosts["b"].options.Dir)
	hosts["b"].startReplica(t)
	eventually(t, "the empty directory is refused", func() bool { _, reason := hosts["b"].replica.Status(); return strings.Contains(reason, "another disk") })
	if result, err := newer.Do(timeoutContext(t, 2*time.Second), Command{Kind: AcquireDuty, Duty: "more"}); err != nil || result.Code != CodeOK {
		t.Errorf("with two voters: %+v, %v", result, err)
	}
	if _, err := newer.Admin(timeoutContext(t, 3*time.Second), AdminRequest{Action: "replace", Name: "b"}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "b votes again as a new voter", func() bool {
		status, reason := hosts["b"].replica.Status()
		if reason != "" || len(status.Voters) != 3 || status.Changing {
			return false
		}
		for _, voter := range status.Voters {
			if voter.Name == "b" && (voter.ID != 4 || voter.Learner) {
				return false
			}
		}
		return true
	})
	// With the vote of b the group tolerates the loss of another voter.
	hosts["c"].replica.Close()
	if result, err := newer.Do(timeoutContext(t, 4*time.Second), Command{Kind: AcquireDuty, Duty: "third"}); err != nil || result.Code != CodeOK {
		t.Errorf("with b's vote: %+v, %v", result, err)
	}
	hosts["b"].replica.Close()
	if _, err := newer.Do(timeoutContext(t, 125*time.Millisecond), Command{Kind: AcquireDuty, Duty: "fourth"}); err == nil {
		t.Error("one voter of three committed a command")
	}
	// All voters restart.
	hosts["a"].replica.Close()
	for _, name := range voters {
		hosts[name].startReplica(t)
	}
	eventually(t, "the state is there after all voters were down", func() bool {
		result, err := newer.Read(timeoutContext(t, time.Second), false)
		return err == nil && len(result.Duties) >= 3
	})
	for _, name := range voters {
		hosts[name].replica.Close()
	}
}

// After the majority is lost with its disks, the remaining voter continues alone by Recover: it keeps its state,
// issues no token twice and admits other voters again. A snapshot can be restored only into a new directory.
func TestRecoverAndRestore(t *testing.T) {
	voters := []string{"a", "b", "c"}
	hosts := newHosts(t, voters, "a", "b", "c", "x")
	for _, name := range voters {
		hosts[name].startReplica(t)
	}
	for _, h := range hosts {
		h.link.Serve()
	}
	client := hosts["x"].client
	if _, err := client.Open(timeoutContext(t, 5*time.Second), 1, 1); err != nil {
		t.Fatal(err)
	}
	before, err := client.Do(timeoutContext(t, time.Second), Command{Kind: AcquireDuty, Duty: "list"})
	if err != nil {
		t.Fatal(err)
	}
	snapshot, err := client.Admin(timeoutContext(t, time.Second), AdminRequest{Action: "snapshot"})
	if err != nil || len(snapshot) == 0 {
		t.Fatal(err)
	}
	eventually(t, "the entry is applied on a", func() bool {
		status, _ := hosts["a"].replica.Status()
		return status.Applied >= before.Index
	})
	for _, name := range voters {
		hosts[name].replica.Close()
	}
	os.RemoveAll(hosts["b"].options.Dir)
	os.RemoveAll(hosts["c"].options.Dir)
	contents, err := InspectDir(hosts["a"].options.Dir, nil)
	if err != nil || contents.Name != "a" || contents.LastIndex < before.Index || len(contents.Voters) != 3 || len(contents.PotentialLosses()) == 0 {
		t.Fatalf("%+v, %v", contents, err)
	}
	if err := Recover(hosts["a"].options.Dir, contents, "test"); err != nil {
		t.Fatal(err)
	}
	for _, name := range voters {
		hosts[name].startReplica(t)
	}
	newClient := NewClient(hosts["x"].link, "x", voters, 0)
	if _, err := newClient.Open(timeoutContext(t, 2*time.Second), 2, 2); err != nil {
		for _, name := range voters {
			status, reason := hosts[name].replica.Status()
			t.Logf("status of %s: %+v %s", name, status, reason)
		}
		t.Fatal(err)
	}
	after, err := newClient.Do(timeoutContext(t, time.Second), Command{Kind: AcquireDuty, Duty: "list"})
	if err != nil || after.Code != CodeOK || after.Token <= before.Token {
		t.Errorf("after Recover: %+v, %v", after, err)
	}
	for _, name := range []string{"b", "c"} {
		eventually(t, name+" is admitted", func() bool {
			status, _ := hosts["a"].replica.Status()
			if status.Changing {
				return false
			}
			for _, voter := range status.Voters {
				if voter.Name == name {
					return true
				}
			}
			newClient.Admin(timeoutContext(t, 300*time.Millisecond), AdminRequest{Action: "replace", Name: name})
			return false
		})
	}
	if status, _ := hosts["a"].replica.Status(); len(status.Voters) != 3 || len(status.Recovered) != 1 {
		t.Errorf("status: %+v", status)
	}
	for _, name := range voters {
		hosts[name].replica.Close()
	}
	dir := filepath.Join(t.TempDir(), "new")
	if err := Restore(dir, "a", snapshot, nil); err != nil {
		t.Fatal(err)
	}
	if contents, err := InspectDir(dir, nil); err != nil || contents.State.Duties["list"].Token <= before.Token || contents.State.Sessions["x"] == nil {
		t.Errorf("after Restore: %+v, %v", contents, err)
	}
	if Restore(dir, "a", snapshot, nil) == nil {
		t.Error("a snapshot was restored into an existing directory")
	}
	if Restore(filepath.Join(dir, "worse"), "a", snapshot[:len(snapshot)/2], nil) == nil {
		t.Error("half a snapshot was restored")
	}
}

func ExampleLease() {
	lease := Lease{3 * time.Second, 0.02}
	fmt.Println(lease.OwnerDuration(), lease.LeaderDuration())
	// Output: 2.94s 3.06s
}

// BenchmarkCommands measures the rate and the latency of commands with 1, 3 and 5 voters and with 1 and 64 concurrent
// callers, and the bare sync of the disk for comparison. Run with -benchtime 2s.
func BenchmarkCommands(b *testing.B) {
	b.Run("sync", func(b *testing.B) {
		file, err := os.Create(filepath.Join(b.TempDir(), "f"))
		if err != nil {
			b.Fatal(err)
		}
		defer file.Close()
		for b.Loop() {
			file.Write(make([]byte, 200))
			file.Sync()
		}
	})
	for _, voterCount := range []int{1, 3, 5} {
		for _, clients := range []int{1, 64} {
			b.Run(fmt.Sprintf("keepers=%d/asking=%d", voterCount, clients), func(b *testing.B) {
				voters := []string{"a", "b", "c", "d", "e"}[:voterCount]
				hosts := newHosts(b, voters, append([]string{"x"}, voters...)...)
				for _, voter := range voters {
					hosts[voter].startReplica(b)
				}
				for _, h := range hosts {
					h.link.Serve()
				}
				client := hosts["x"].client
				if _, err := client.Open(timeoutContext(b, 10*time.Second), 1, 1); err != nil {
					b.Fatal(err)
				}
				latencies := make([]time.Duration, b.N)
				var next atomic.Int64
				var wg sync.WaitGroup
				b.ResetTimer()
				for range clients {
					wg.Go(func() {
						for i := next.Add(1) - 1; i < int64(b.N); i = next.Add(1) - 1 {
							start := time.Now()
							if _, err := client.Do(timeoutContext(b, 5*time.Second), Command{Kind: AcquireDuty, Duty: "d"}); err != nil {
								b.Error(err)
								return
							}
							latencies[i] = time.Since(start)
						}
					})
				}
				wg.Wait()
				b.StopTimer()
				slices.Sort(latencies)
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commands/s")
				b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-us")
				b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
				for _, voter := range voters {
					hosts[voter].replica.Close()
				}
			})
		}
	}
}

// BenchmarkLost measures the time from the loss of a leader until a member's next command is answered, with an
// election timeout of 200 ms. With intent the leader transfers its leadership before it stops.
func BenchmarkLost(b *testing.B) {
	for _, intent := range []bool{false, true} {
		b.Run(fmt.Sprintf("intent=%t", intent), func(b *testing.B) {
			voters := []string{"a", "b", "c"}
			hosts := newHosts(b, voters, "a", "b", "c", "x")
			for _, voter := range voters {
				hosts[voter].startReplica(b)
			}
			for _, h := range hosts {
				h.link.Serve()
			}
			client := hosts["x"].client
			if _, err := client.Open(timeoutContext(b, 10*time.Second), 1, 1); err != nil {
				b.Fatal(err)
			}
			worst := time.Duration(0)
			for b.Loop() {
				b.StopTimer()
				status, err := client.Status(timeoutContext(b, time.Second), "a")
				if err != nil {
					b.Fatal(err)
				}
				lost := hosts[status.Leader]
				if intent {
					to := map[string]string{"a": "b", "b": "c", "c": "a"}[lost.name]
					if _, err := client.Admin(timeoutContext(b, time.Second), AdminRequest{Action: "transfer", Name: to}); err != nil {
						b.Fatal(err)
					}
				}
				lost.replica.Close()
				start := time.Now()
				b.StartTimer()
				if _, err := client.Do(timeoutContext(b, 10*time.Second), Command{Kind: AcquireDuty, Duty: "d"}); err != nil {
					b.Fatal(err)
				}
				b.StopTimer()
				worst = max(worst, time.Since(start))
				lost.startReplica(b)
				eventually(b, "the replica is back", func() bool { status, reason := lost.replica.Status(); return reason == "" && status.Leader != "" })
				b.StartTimer()
			}
			b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
			for _, voter := range voters {
				hosts[voter].replica.Close()
			}
		})
	}
}

// BenchmarkOpen measures how long it takes to open and verify a directory.
func BenchmarkOpen(b *testing.B) {
	for _, count := range []uint64{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("entries=%d", count), func(b *testing.B) {
			dir := b.TempDir()
			store, _, err := OpenDiskStore(dir, disk.Dir(dir), nil)
			if err != nil {
				b.Fatal(err)
			}
			store.SaveSnapshot(InitialSnapshot(NewState("c", []Voter{{ID: 1, Name: "a", DiskID: "d"}}, nil, allChecks)), 0)
			for index := uint64(2); index < count+2; index += 500 {
				var entries []*raftpb.Entry
				for i := range uint64(500) {
					entries = append(entries, &raftpb.Entry{Index: proto.Uint64(index + i), Term: proto.Uint64(1), Data: make([]byte, 200)})
				}
				if err := store.Save(nil, entries, true); err != nil {
					b.Fatal(err)
				}
			}
			store.Close()
			for b.Loop() {
				store, stored, err := OpenDiskStore(dir, disk.Dir(dir), nil)
				if err != nil || uint64(len(stored.Entries)) < count {
					b.Fatal(err)
				}
				store.Close()
			}
		})
	}
}
