package spec

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"ottershift/internal/cluster/config"
	"ottershift/internal/settings"
)

// Cluster is the cluster that the balancers are members of.
type Cluster struct {
	Zones    []string // assigned to balancers round-robin
	Voters   int      // number of voters, which are the first balancers
	Settings *config.Settings

	config map[string]any
}

// Link selects the directed links that a fault affects, and holds the parameters of the fault.
type Link struct {
	From, To       []int // balancers by index; an empty To means all others
	OneWay         bool
	Delay, Jitter  time.Duration
	Fraction       float64 // of the traffic that is affected
	BytesPerSecond int     // of each connection, for a slowed link

	sampleSize int // number of From to draw at random; 0 for all
}

// Directions returns the ordered pairs of balancers whose links are affected.
func (l *Link) Directions(n int) (all [][2]int) {
	has := map[[2]int]bool{}
	add := func(a, b int) {
		if d := [2]int{a, b}; a != b && !has[d] {
			has[d] = true
			all = append(all, d)
		}
	}
	for _, a := range l.From {
		to := l.To
		if len(to) == 0 {
			for b := range n {
				if !slices.Contains(l.From, b) || len(l.From) == n {
					to = append(to, b)
				}
			}
		}
		for _, b := range to {
			add(a, b)
			if !l.OneWay {
				add(b, a)
			}
		}
	}
	return all
}

// MemberName returns the member name of a balancer.
func MemberName(balancer int) string { return fmt.Sprintf("b%d", balancer+1) }

// Zone returns the zone of a balancer.
func (c *Cluster) Zone(balancer int) string {
	if len(c.Zones) == 0 {
		return ""
	}
	return c.Zones[balancer%len(c.Zones)]
}

// readCluster reads [cluster].
func (rd *reader) readCluster(t *settings.Table) {
	if !t.Has("cluster") {
		return
	}
	base, _ := t.Raw("cluster").(map[string]any)
	table := t.Table("cluster")
	cluster := &Cluster{Zones: table.Strings("zones"), Voters: table.Int("voters", 0, 0, 64), config: base}
	delete(base, "zones")
	delete(base, "voters")
	for _, key := range []string{"name", "address", "directory", "join", "through", "zone"} {
		if _, found := base[key]; found {
			rd.Fault(settings.JoinPath(table.Path, key), "is set by the lab")
		}
	}
	if cluster.Voters > rd.experiment.Balancers {
		rd.Fault(settings.JoinPath(table.Path, "voters"), "exceeds the %d balancers", rd.experiment.Balancers)
	}
	rd.experiment.Cluster = cluster
}

// Placement holds the addresses and the directory of a member.
type Placement struct {
	Address, Ops, Dir string
	Join              []string
	Through           map[string]string
}

// MemberConfiguration returns the configuration keys that make a balancer a member; nil if there is no cluster.
func (exp *Experiment) MemberConfiguration(index int, placement Placement) map[string]any {
	if exp.Cluster == nil {
		return nil
	}
	cluster := cloneTable(exp.Cluster.config)
	cluster["name"], cluster["address"], cluster["directory"], cluster["zone"] = "lab", placement.Address,
		placement.Dir, exp.Cluster.Zone(index)
	cluster["join"], cluster["through"] = placement.Join, placement.Through
	var voters []string
	for n := range exp.Cluster.Voters {
		voters = append(voters, MemberName(n))
	}
	if len(voters) > 0 {
		cluster["voters"] = voters
	}
	return map[string]any{"name": MemberName(index), "ops": placement.Ops, "cluster": cluster}
}

// readLinkFault reads the keys of a link fault.
func (rd *reader) readLinkFault(table *settings.Table, fault *Fault) {
	from, to := table.Strings("from"), table.Strings("to")
	link := &Link{
		OneWay: table.Bool("one_way", false), Delay: table.Duration("delay", 0, 0),
		Jitter: table.Duration("jitter", 0, 0), Fraction: table.Number("part", 0.1, 0, 1),
		BytesPerSecond: int(table.Size("pace", 1<<10, 1)), sampleSize: table.Int("some", 0, 0, 64),
	}
	if !strings.HasPrefix(fault.Kind, "link-") {
		return
	}
	fault.Link = link
	if rd.experiment.Cluster == nil {
		rd.Fault(settings.JoinPath(table.Path, "kind"), "needs a [cluster], whose links it affects")
		return
	}
	link.From, link.To = rd.memberIndexes(table, "from", from), rd.memberIndexes(table, "to", to)
	if len(link.From) == 0 {
		for n := range rd.experiment.Balancers {
			link.From = append(link.From, n)
		}
	}
}

// memberIndexes returns the balancers that are listed by member name or by "zone NAME".
func (rd *reader) memberIndexes(table *settings.Table, key string, names []string) (all []int) {
	for _, name := range names {
		if name == "owner" {
			all = append(all, DutyOwner)
			continue
		}
		found := false
		zone, isZone := strings.CutPrefix(name, "zone ")
		for n := range rd.experiment.Balancers {
			if isZone && rd.experiment.Cluster.Zone(n) == zone || name == MemberName(n) {
				all, found = append(all, n), true
			}
		}
		if !found {
			rd.Fault(settings.JoinPath(table.Path, key), "%q is not a member; write \"b1\", \"b2\" or \"zone NAME\"", name)
		}
	}
	return all
}

// sampleLink returns a copy of a link fault, with its balancers drawn at random if it says so.
func (rd *reader) sampleLink(l *Link, random *rand.Rand) *Link {
	drawn := *l
	if l.sampleSize > 0 && l.sampleSize < len(l.From) {
		drawn.From = nil
		for _, i := range random.Perm(len(l.From))[:l.sampleSize] {
			drawn.From = append(drawn.From, l.From[i])
		}
		slices.Sort(drawn.From)
	}
	return &drawn
}
