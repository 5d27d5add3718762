package plan

import (
	"fmt"
	"net"
	"slices"
	"time"

	"ottershift/internal/cluster/config"
	"ottershift/internal/settings"
)

// maxMemberNameBytes limits the names of processes, clusters and zones.
const maxMemberNameBytes = 64

// cluster reads the [cluster] table, if present.
func (r *reader) cluster(root *settings.Table) {
	t := root.Table("cluster")
	if !root.Has("cluster") {
		return
	}
	clusterSettings := &config.Settings{
		Name: t.RequiredText("name", "members of another cluster are refused, such as \"zuid\""), Self: r.plan.Name,
		Address: t.Address("address", "TCP and UDP address for traffic between members, such as \"127.0.0.1:7101\""), Directory: t.Text("directory", ""),
		Join: t.Strings("join"), Voters: t.Strings("voters"), Zone: t.Text("zone", ""), AddressOverrides: t.Map("through"),
		ProbeInterval:   t.Duration("probe_every", config.DefaultProbeInterval, 20*time.Millisecond),
		RejoinInterval:  t.Duration("rejoin_every", config.DefaultRejoinInterval, 100*time.Millisecond),
		ElectionTimeout: t.Duration("election", config.DefaultElectionTimeout, 100*time.Millisecond),
		Lease:           t.Duration("lease", config.DefaultLease, 300*time.Millisecond),
		ClockDrift:      t.Number("drift", config.DefaultClockDrift, 0, 0.2), Groups: t.Int("groups", 1, 1, 64),
	}
	r.plan.Cluster = clusterSettings
	path := func(key string) string { return settings.JoinPath(t.Path, key) }
	if !root.Has("name") {
		r.Fault(t.Path, "the process has no name; write name = \"b1\" at the top of the file, with a different name for each member")
	}
	for _, n := range []struct{ key, what, text string }{
		{"name", "the name of the process", clusterSettings.Self}, {path("name"), "the name of the cluster", clusterSettings.Name},
		{path("zone"), "the name of the zone", clusterSettings.Zone},
	} {
		if len(n.text) > maxMemberNameBytes {
			r.Fault(n.key, "%s has %d bytes; the maximum is %d", n.what, len(n.text), maxMemberNameBytes)
		}
	}
	if slices.Contains([]byte(clusterSettings.Self), '/') {
		r.Fault("name", "%q contains \"/\", which is not allowed in the name of a member", clusterSettings.Self)
	}
	if clusterSettings.Address != "" {
		if problem := listenAddressProblem(clusterSettings.Address); problem != "" {
			r.Fault(path("address"), "%q %s", clusterSettings.Address, problem)
		}
		if clusterSettings.Address == r.plan.OpsAddress {
			r.Fault(path("address"), "%q is already the address of ops", clusterSettings.Address)
		}
	}
	for i, a := range clusterSettings.Join {
		keyPath := fmt.Sprintf("%s[%d]", path("join"), i)
		if problem := settings.AddressProblem(a); problem != "" {
			r.Fault(keyPath, "%q %s", a, problem)
		} else if slices.Contains(clusterSettings.Join[:i], a) {
			r.Fault(keyPath, "%q stands there twice", a)
		}
	}
	for i, v := range clusterSettings.Voters {
		if slices.Contains(clusterSettings.Voters[:i], v) {
			r.Fault(fmt.Sprintf("%s[%d]", path("voters"), i), "%q stands there twice; each voter has one vote", v)
		}
	}
	n := len(clusterSettings.Voters)
	if n > 0 {
		if n%2 == 0 {
			r.Warn(path("voters"), "%d keepers bear the loss of %d, as %d do: the additional one only slows down each log entry; 1, 3 or 5 are usual", n, (n-1)/2, n-1)
		}
		if n > 5 {
			r.Warn(path("voters"), "%d voters: each log entry waits for %d disks; 5 voters tolerate the loss of any two", n, n/2+1)
		}
		if clusterSettings.Directory == "" && slices.Contains(clusterSettings.Voters, clusterSettings.Self) {
			r.Fault(path("directory"), "is missing: %q is a voter, and stores its replica there", clusterSettings.Self)
		}
	}
	through := t.Table("through")
	for _, name := range through.Keys() {
		keyPath := settings.JoinPath(through.Path, name)
		if problem := settings.AddressProblem(clusterSettings.AddressOverrides[name]); problem != "" {
			r.Fault(keyPath, "%q %s", clusterSettings.AddressOverrides[name], problem)
		}
		switch {
		case name == clusterSettings.Self:
			r.Fault(keyPath, "is this process itself")
		case n > 0 && !slices.Contains(clusterSettings.Voters, name):
			r.Warn(keyPath, "no voter is called so: the entry takes effect once a member with that name exists")
		}
	}
	r.ledger(t, clusterSettings)
	if clusterSettings.Lease < 2*clusterSettings.ElectionTimeout {
		r.Warn(path("lease"), "%s is less than twice the election timeout of %s: owners lose their duties whenever the leader changes", clusterSettings.Lease, clusterSettings.ElectionTimeout)
	}
	if len(clusterSettings.Join) == 0 && len(clusterSettings.Voters) != 1 {
		r.Warn(path("join"), "is empty: this member waits for others to join it")
	}
	t.ReportUnknownKeys()
}

// ledger reads the [cluster.ledger] table, if present.
func (r *reader) ledger(t *settings.Table, clusterSettings *config.Settings) {
	ledgerTable := t.Table("ledger")
	if !t.Has("ledger") {
		return
	}
	ledger := &config.Ledger{
		Policy:       ledgerTable.Choice("policy", "majority", "majority", "local", "off"),
		ClaimTimeout: ledgerTable.Duration("within", 500*time.Millisecond, 10*time.Millisecond),
		BatchDelay:   ledgerTable.Duration("lag", 20*time.Millisecond, 0), MaxKeys: ledgerTable.Int("keys", 200_000, 100, 1_000_000),
		OnceOnlyRetention: ledgerTable.Duration("once_only_for", 10*time.Minute, time.Second),
		WaitForFirst:      ledgerTable.Choice("repeats", "wait", "wait", "defer") == "wait",
		RequireSameBody:   ledgerTable.Bool("same_body", false),
	}
	clusterSettings.Ledger = ledger
	switch ledger.Policy {
	case "majority":
		if len(clusterSettings.Voters) == 0 {
			r.Fault(ledgerTable.Path, "claims are stored by the voters, and [cluster] lists none; write voters = [\"%s\"] for a single machine", clusterSettings.Self)
		}
		if len(clusterSettings.Voters) == 1 && clusterSettings.Voters[0] != clusterSettings.Self {
			r.Warn(ledgerTable.Path, "there is only one voter: if its disk is lost, all claims are lost")
		}
	case "local":
		if clusterSettings.Directory == "" {
			r.Fault(settings.JoinPath(t.Path, "directory"), "is missing: policy = \"local\" stores claims there")
		}
		r.Warn(settings.JoinPath(ledgerTable.Path, "policy"), "claims are stored on this machine's disk only: no other balancer knows them, and they are lost with the disk")
	}
	if pause := time.Duration(ledger.MaxKeys/clusterSettings.Groups) * config.SnapshotRecordTime; pause > clusterSettings.ElectionTimeout/2 {
		r.Warn(settings.JoinPath(ledgerTable.Path, "keys"), "a snapshot of that many keys blocks a voter for about %s, and election is %s: use more groups, fewer keys or a longer election",
			pause.Round(10*time.Millisecond), clusterSettings.ElectionTimeout)
	}
	ledgerTable.ReportUnknownKeys()
}

// listenAddressProblem describes what is wrong with an address to listen on, or returns "" if it is valid. The address must
// belong to this machine and be reachable for the other members.
func listenAddressProblem(address string) string {
	if problem := settings.AddressProblem(address); problem != "" {
		return problem
	}
	host, _, _ := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	if ip == nil {
		return "has no IP address; it is announced to other members as written, such as \"10.0.0.7:7101\""
	}
	if ip.IsUnspecified() {
		return "is every address of this machine; write the one at which other members reach it"
	}
	if ip.IsLoopback() {
		return ""
	}
	all, err := net.InterfaceAddrs()
	if err != nil {
		return ""
	}
	for _, a := range all {
		if network, ok := a.(*net.IPNet); ok && network.IP.Equal(ip) {
			return ""
		}
	}
	return "is no address of this machine"
}
