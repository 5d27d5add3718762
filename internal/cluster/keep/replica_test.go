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

// host is a process's share of it: a link and a keeper, on real sockets and a real disk.
type host struct {
	name    string
	link    *link.Link
	replica *Replica
	client  *Client
	options Options
}

func newHosts(t testing.TB, voters []string, all ...string) map[string]*host {
	addresses := map[string]string{}
	hosts := map[string]*host{}
	dir := t.TempDir()
	for _, name := range all {
		listener, err := link.Listen(link.Options{
			Cluster: "c", Self: name, Address: "127.0.0.1:0", Log: slog.New(slog.DiscardHandler), Stream: func(c net.Conn) { c.Close() },
			Datagram: func(byte, []byte, net.Addr) {}, Resolve: func(n string) (string, bool) { a, ok := addresses[n]; return a, ok },
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

func (h *host) startReplica(t testing.TB) {
	t.Helper()
	var err error
	if h.replica, err = NewReplica(h.options); err != nil {
		t.Fatal(err)
	}
	h.replica.Start()
}

func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("not soon: " + what)
}

// timeoutContext is a time limit, wide enough for a machine that does other work as well.
func timeoutContext(t testing.TB, d time.Duration) context.Context {
	ctx, stop := context.WithTimeout(context.Background(), 4*d)
	t.Cleanup(stop)
	return ctx
}

// Three keepers and a member that is none: sessions, duties and their tokens; a keeper lost and back; one that is wiped is
// refused under its old name until it is put in its own place; an old copy is refused as well.
func TestReplicaFailureAndReplacement(t *testing.T) {
	voters := []string{"a", "b", "c"}
	hosts := newHosts(t, voters, "a", "b", "c", "x")
	for _, n := range voters {
		hosts[n].startReplica(t)
	}
	for _, h := range hosts {
		h.link.Serve()
	}
	client := hosts["x"].client
	if _, err := client.Open(timeoutContext(t, 5*time.Second), 7, 1); err != nil {
		t.Fatal(err)
	}
	if known, err := hosts["a"].client.Open(timeoutContext(t, 2*time.Second), 1, 9); err != nil || known != 1 {
		t.Fatal(known, err)
	}
	first, err := client.Do(timeoutContext(t, time.Second), Command{Kind: AcquireDuty, Duty: "list"})
	if err != nil || first.Code != CodeOK {
		t.Fatal(first, err)
	}
	if a, err := hosts["a"].client.Do(timeoutContext(t, time.Second), Command{Kind: AcquireDuty, Duty: "list"}); err != nil || a.Code != CodeOwned || a.Owner != "x" {
		t.Errorf("taken twice: %+v, %v", a, err)
	}
	if ok, err := client.Renew(timeoutContext(t, time.Second), map[string]uint64{"list": first.Token, "other": 1}); err != nil || len(ok) != 1 {
		t.Errorf("renewed %v, %v", ok, err)
	}
	// Nobody renews it any more: it is free after the lease, and the next token is higher.
	var next Result
	eventually(t, "the tenure ends", func() bool {
		next, err = hosts["a"].client.Do(timeoutContext(t, time.Second), Command{Kind: AcquireDuty, Duty: "list"})
		return err == nil && next.Code == CodeOK
	})
	if next.Token <= first.Token {
		t.Errorf("token %d after %d", next.Token, first.Token)
	}
	if a, _ := client.Do(timeoutContext(t, time.Second), Command{Kind: ReleaseDuty, Duty: "list", Token: first.Token}); a.Code != CodeFenced {
		t.Errorf("an old token lets go: %+v", a)
	}
	// A newer run of x; the older gets nothing through.
	newer := NewClient(hosts["x"].link, "x", voters, 0)
	if _, err := newer.Open(timeoutContext(t, time.Second), 8, 2); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Do(timeoutContext(t, time.Second), Command{Kind: AcquireDuty, Duty: "more"}); err != ErrSessionEnded {
		t.Errorf("an old run: %v", err)
	}

	// One keeper is lost with its disk and started under its old name: it must not vote.
	oldCopy := filepath.Join(t.TempDir(), "old")
	hosts["b"].replica.Close()
	os.CopyFS(oldCopy, os.DirFS(hosts["b"].options.Dir))
	hosts["b"].startReplica(t)
	eventually(t, "b is back", func() bool { s, _ := hosts["b"].replica.Status(); return s.Role != "" })
	time.Sleep(1200 * time.Millisecond) // the others hear of this run
	hosts["b"].replica.Close()
	os.RemoveAll(hosts["b"].options.Dir)
	os.CopyFS(hosts["b"].options.Dir, os.DirFS(oldCopy))
	hosts["b"].startReplica(t)
	eventually(t, "the old copy is refused", func() bool { _, why := hosts["b"].replica.Status(); return strings.Contains(why, "old copy") })
	hosts["b"].replica.Close()
	os.RemoveAll(hosts["b"].options.Dir)
	hosts["b"].startReplica(t)
	eventually(t, "the wiped one is refused", func() bool { _, why := hosts["b"].replica.Status(); return strings.Contains(why, "another disk") })
	if a, err := newer.Do(timeoutContext(t, 2*time.Second), Command{Kind: AcquireDuty, Duty: "more"}); err != nil || a.Code != CodeOK {
		t.Errorf("with two keepers: %+v, %v", a, err)
	}
	if _, err := newer.Admin(timeoutContext(t, 3*time.Second), AdminRequest{Action: "replace", Name: "b"}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "b votes again in a seat of its own", func() bool {
		s, why := hosts["b"].replica.Status()
		if why != "" || len(s.Voters) != 3 || s.Changing {
			return false
		}
		for _, client := range s.Voters {
			if client.Name == "b" && (client.ID != 4 || client.Learner) {
				return false
			}
		}
		return true
	})
	// With b's vote the group bears the loss of another.
	hosts["c"].replica.Close()
	if a, err := newer.Do(timeoutContext(t, 4*time.Second), Command{Kind: AcquireDuty, Duty: "third"}); err != nil || a.Code != CodeOK {
		t.Errorf("with b's vote: %+v, %v", a, err)
	}
	hosts["b"].replica.Close()
	if _, err := newer.Do(timeoutContext(t, 125*time.Millisecond), Command{Kind: AcquireDuty, Duty: "fourth"}); err == nil {
		t.Error("one keeper of three agrees on something")
	}
	// All again.
	hosts["a"].replica.Close()
	for _, n := range voters {
		hosts[n].startReplica(t)
	}
	eventually(t, "the state is there after all were down", func() bool {
		a, err := newer.Read(timeoutContext(t, time.Second), false)
		return err == nil && len(a.Duties) >= 3
	})
	for _, n := range voters {
		hosts[n].replica.Close()
	}
}

// The majority is lost with its disks: the one that is left goes on alone after recover, keeps what it held, gives no token twice,
// and takes others in again. A snapshot is restored into a new directory, and only there.
func TestRecoverAndRestore(t *testing.T) {
	voters := []string{"a", "b", "c"}
	hosts := newHosts(t, voters, "a", "b", "c", "x")
	for _, n := range voters {
		hosts[n].startReplica(t)
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
	eventually(t, "all have it", func() bool {
		s, _ := hosts["a"].replica.Status()
		return s.Applied >= before.Index
	})
	for _, n := range voters {
		hosts[n].replica.Close()
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
	for _, n := range voters {
		hosts[n].startReplica(t)
	}
	newClient := NewClient(hosts["x"].link, "x", voters, 0)
	if _, err := newClient.Open(timeoutContext(t, 2*time.Second), 2, 2); err != nil {
		for _, n := range voters {
			s, why := hosts[n].replica.Status()
			t.Logf("%s stands as %+v %s", n, s, why)
		}
		t.Fatal(err)
	}
	after, err := newClient.Do(timeoutContext(t, time.Second), Command{Kind: AcquireDuty, Duty: "list"})
	if err != nil || after.Code != CodeOK || after.Token <= before.Token {
		t.Errorf("after recover: %+v, %v", after, err)
	}
	for _, n := range []string{"b", "c"} {
		eventually(t, n+" is taken in", func() bool {
			s, _ := hosts["a"].replica.Status()
			if s.Changing {
				return false
			}
			for _, seat := range s.Voters {
				if seat.Name == n {
					return true
				}
			}
			newClient.Admin(timeoutContext(t, 300*time.Millisecond), AdminRequest{Action: "replace", Name: n})
			return false
		})
	}
	if s, _ := hosts["a"].replica.Status(); len(s.Voters) != 3 || len(s.Recovered) != 1 {
		t.Errorf("it stands as %+v", s)
	}
	for _, n := range voters {
		hosts[n].replica.Close()
	}
	dir := filepath.Join(t.TempDir(), "new")
	if err := Restore(dir, "a", snapshot, nil); err != nil {
		t.Fatal(err)
	}
	if contents, err := InspectDir(dir, nil); err != nil || contents.State.Duties["list"].Token <= before.Token || contents.State.Sessions["x"] == nil {
		t.Errorf("restored: %+v, %v", contents, err)
	}
	if Restore(dir, "a", snapshot, nil) == nil {
		t.Error("a snapshot was restored over a directory that is there")
	}
	if Restore(filepath.Join(dir, "worse"), "a", snapshot[:len(snapshot)/2], nil) == nil {
		t.Error("half a snapshot was restored")
	}
}

func ExampleLease() {
	l := Lease{3 * time.Second, 0.02}
	fmt.Println(l.OwnerDuration(), l.LeaderDuration())
	// Output: 2.94s 3.06s
}

// BenchmarkCommands: commands a second and their time at 1, 3 and 5 keepers, by so many that ask at once, beside the bare sync
// of that disk. Run with -benchtime 2s.
func BenchmarkCommands(b *testing.B) {
	b.Run("sync", func(b *testing.B) {
		f, err := os.Create(filepath.Join(b.TempDir(), "f"))
		if err != nil {
			b.Fatal(err)
		}
		defer f.Close()
		for b.Loop() {
			f.Write(make([]byte, 200))
			f.Sync()
		}
	})
	for _, n := range []int{1, 3, 5} {
		for _, clients := range []int{1, 64} {
			b.Run(fmt.Sprintf("keepers=%d/asking=%d", n, clients), func(b *testing.B) {
				voters := []string{"a", "b", "c", "d", "e"}[:n]
				hosts := newHosts(b, voters, append([]string{"x"}, voters...)...)
				for _, v := range voters {
					hosts[v].startReplica(b)
				}
				for _, h := range hosts {
					h.link.Serve()
				}
				client := hosts["x"].client
				if _, err := client.Open(timeoutContext(b, 10*time.Second), 1, 1); err != nil {
					b.Fatal(err)
				}
				took := make([]time.Duration, b.N)
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
							took[i] = time.Since(start)
						}
					})
				}
				wg.Wait()
				b.StopTimer()
				slices.Sort(took)
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commands/s")
				b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
				b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
				for _, v := range voters {
					hosts[v].replica.Close()
				}
			})
		}
	}
}

// BenchmarkLost: from the moment a leader is gone until a member's next command is answered, at an election of 200 ms. What is
// lost leaves by intent (its lead is handed over first), or without a word.
func BenchmarkLost(b *testing.B) {
	for _, intent := range []bool{false, true} {
		b.Run(fmt.Sprintf("intent=%t", intent), func(b *testing.B) {
			voters := []string{"a", "b", "c"}
			hosts := newHosts(b, voters, "a", "b", "c", "x")
			for _, v := range voters {
				hosts[v].startReplica(b)
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
				s, err := client.Status(timeoutContext(b, time.Second), "a")
				if err != nil {
					b.Fatal(err)
				}
				lost := hosts[s.Leader]
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
				eventually(b, "it is back", func() bool { s, why := lost.replica.Status(); return why == "" && s.Leader != "" })
				b.StartTimer()
			}
			b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
			for _, v := range voters {
				hosts[v].replica.Close()
			}
		})
	}
}

// BenchmarkOpen: from the start until a directory of so many entries has been read and checked.
func BenchmarkOpen(b *testing.B) {
	for _, n := range []uint64{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			dir := b.TempDir()
			l, _, err := OpenDiskStore(dir, disk.Dir(dir), nil)
			if err != nil {
				b.Fatal(err)
			}
			l.SaveSnapshot(InitialSnapshot(NewState("c", []Voter{{ID: 1, Name: "a", DiskID: "d"}}, nil, allChecks)), 0)
			for at := uint64(2); at < n+2; at += 500 {
				var some []*raftpb.Entry
				for i := range uint64(500) {
					some = append(some, &raftpb.Entry{Index: proto.Uint64(at + i), Term: proto.Uint64(1), Data: make([]byte, 200)})
				}
				if err := l.Save(nil, some, true); err != nil {
					b.Fatal(err)
				}
			}
			l.Close()
			for b.Loop() {
				l, d, err := OpenDiskStore(dir, disk.Dir(dir), nil)
				if err != nil || uint64(len(d.Entries)) < n {
					b.Fatal(err)
				}
				l.Close()
			}
		})
	}
}
