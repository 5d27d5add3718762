package plan

import (
	"fmt"
	"net"
	"slices"
	"time"

	"ottershift/internal/cluster/config"
	"ottershift/internal/settings"
)

const mostMemberName = 64

// cluster reads the [cluster] table, if there is one.
func (r *reader) cluster(root *settings.Table) {
	t := root.Table("cluster")
	if !root.Has("cluster") {
		return
	}
	s := &config.Settings{
		Name: t.Must("name", "members of another cluster are refused, such as \"zuid\""), Self: r.p.Name,
		Address: t.Address("address", "TCP and UDP of the fleet's own traffic, such as \"127.0.0.1:7101\""), Directory: t.Text("directory", ""),
		Join: t.Texts("join"), Voters: t.Texts("voters"), Zone: t.Text("zone", ""), Through: t.Map("through"),
		Probe: t.Time("probe_every", config.Probe, 20*time.Millisecond), Rejoin: t.Time("rejoin_every", config.Rejoin, 100*time.Millisecond),
		Election: t.Time("election", config.Election, 100*time.Millisecond), Lease: t.Time("lease", config.Lease, 300*time.Millisecond),
		Drift: t.Number("drift", config.Drift, 0, 0.2), Groups: t.Whole("groups", 1, 1, 64),
	}
	r.p.Cluster = s
	path := func(key string) string { return settings.Join(t.Path, key) }
	if !root.Has("name") {
		r.Fault(t.Path, "the process has no name of its own; write name = \"b1\" at the top of the file, another for each member")
	}
	for _, n := range []struct{ key, what, text string }{{"name", "the process's name", s.Self}, {path("name"), "the cluster's name", s.Name}, {path("zone"), "the zone", s.Zone}} {
		if len(n.text) > mostMemberName {
			r.Fault(n.key, "%s has %d bytes; %d is the most", n.what, len(n.text), mostMemberName)
		}
	}
	if slices.Contains([]byte(s.Self), '/') {
		r.Fault("name", "%q has a \"/\", which a member's name must not", s.Self)
	}
	if s.Address != "" {
		if wrong := ours(s.Address); wrong != "" {
			r.Fault(path("address"), "%q %s", s.Address, wrong)
		}
		if s.Address == r.p.Ops {
			r.Fault(path("address"), "%q is ops already", s.Address)
		}
	}
	for i, a := range s.Join {
		at := fmt.Sprintf("%s[%d]", path("join"), i)
		if wrong := settings.Reachable(a); wrong != "" {
			r.Fault(at, "%q %s", a, wrong)
		} else if slices.Contains(s.Join[:i], a) {
			r.Fault(at, "%q stands there twice", a)
		}
	}
	for i, v := range s.Voters {
		if slices.Contains(s.Voters[:i], v) {
			r.Fault(fmt.Sprintf("%s[%d]", path("voters"), i), "%q stands there twice; each keeper has one vote", v)
		}
	}
	n := len(s.Voters)
	if n > 0 {
		if n%2 == 0 {
			r.Remark(path("voters"), "%d keepers bear the loss of %d, as %d do: one more only adds to what each entry waits for; 1, 3 or 5 are usual", n, (n-1)/2, n-1)
		}
		if n > 5 {
			r.Remark(path("voters"), "%d keepers: each entry waits for %d disks; 5 bear the loss of any two", n, n/2+1)
		}
		if s.Directory == "" && slices.Contains(s.Voters, s.Self) {
			r.Fault(path("directory"), "is missing: %q is a voter, and keeps what is agreed there", s.Self)
		}
	}
	through := t.Table("through")
	for _, name := range through.Names() {
		at := settings.Join(through.Path, name)
		if wrong := settings.Reachable(s.Through[name]); wrong != "" {
			r.Fault(at, "%q %s", s.Through[name], wrong)
		}
		switch {
		case name == s.Self:
			r.Fault(at, "is this process itself")
		case n > 0 && !slices.Contains(s.Voters, name):
			r.Remark(at, "no voter is called so: it counts once a member of that name is there")
		}
	}
	r.ledger(t, s)
	if s.Lease < 2*s.Election {
		r.Remark(path("lease"), "%s is under two elections of %s: owners lose their duties whenever the keepers' leader changes", s.Lease, s.Election)
	}
	if len(s.Join) == 0 && len(s.Voters) != 1 {
		r.Remark(path("join"), "there is none: this member waits for others to join it")
	}
	t.End()
}

// ledger reads [cluster.ledger].
func (r *reader) ledger(t *settings.Table, s *config.Settings) {
	u := t.Table("ledger")
	if !t.Has("ledger") {
		return
	}
	l := &config.Ledger{
		Policy: u.One("policy", "majority", "majority", "local", "off"), Within: u.Time("within", 500*time.Millisecond, 10*time.Millisecond),
		Lag: u.Time("lag", 20*time.Millisecond, 0), Keys: u.Whole("keys", 200_000, 100, 1_000_000),
		OnceFor: u.Time("once_only_for", 10*time.Minute, time.Second), Waits: u.One("repeats", "wait", "wait", "defer") == "wait",
		SameBody: u.Flag("same_body", false),
	}
	s.Ledger = l
	switch l.Policy {
	case "majority":
		if len(s.Voters) == 0 {
			r.Fault(u.Path, "claims are kept by keepers, and [cluster] names no voters; write voters = [\"%s\"] for a single machine", s.Self)
		}
		if len(s.Voters) == 1 && s.Voters[0] != s.Self {
			r.Remark(u.Path, "there is one keeper: with its disk all claims are lost")
		}
	case "local":
		if s.Directory == "" {
			r.Fault(settings.Join(t.Path, "directory"), "is missing: policy = \"local\" keeps claims there")
		}
		r.Remark(settings.Join(u.Path, "policy"), "claims stay on this machine's disk: no other balancer knows them, and they are lost with it")
	}
	if pause := time.Duration(l.Keys/s.Groups) * config.SavedTakes; pause > s.Election/2 {
		r.Remark(settings.Join(u.Path, "keys"), "a snapshot of that many takes a keeper about %s, in which it answers nobody, and election is %s: more groups, fewer keys or a longer election",
			pause.Round(10*time.Millisecond), s.Election)
	}
	u.End()
}

// ours says what is wrong with an address to listen at: others must reach it, and it must be this machine's.
func ours(address string) string {
	if wrong := settings.Reachable(address); wrong != "" {
		return wrong
	}
	host, _, _ := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	if ip == nil {
		return "names no IP address; others are told it as it stands, such as \"10.0.0.7:7101\""
	}
	if ip.IsUnspecified() {
		return "is every address of this machine; write the one at which others reach it"
	}
	if ip.IsLoopback() {
		return ""
	}
	all, err := net.InterfaceAddrs()
	if err != nil {
		return ""
	}
	for _, a := range all {
		if n, some := a.(*net.IPNet); some && n.IP.Equal(ip) {
			return ""
		}
	}
	return "is no address of this machine"
}
