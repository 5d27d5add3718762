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

// Cluster is what the balancers have in common where they are members of one.
type Cluster struct {
	Zones    []string // of balancers, in turn
	Voters   int      // the first so many are keepers
	Settings *config.Settings

	base map[string]any
}

// Link is which directions of links a fault meets, and what goes wrong there.
type Link struct {
	From, To      []int // balancers; To empty: all others
	OneWay        bool
	Delay, Jitter time.Duration
	Part          float64
	Pace          int

	some int // so many of From by chance; 0 for all
}

// Directions are the ordered pairs that it meets.
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

// Name is a balancer's as a member.
func Name(balancer int) string { return fmt.Sprintf("b%d", balancer+1) }

// Zone is where a balancer stands.
func (c *Cluster) Zone(balancer int) string {
	if len(c.Zones) == 0 {
		return ""
	}
	return c.Zones[balancer%len(c.Zones)]
}

// cluster reads [cluster].
func (r *reader) cluster(t *settings.Table) {
	if !t.Has("cluster") {
		return
	}
	base, _ := t.Raw("cluster").(map[string]any)
	u := t.Table("cluster")
	c := &Cluster{Zones: u.Strings("zones"), Voters: u.Int("voters", 0, 0, 64), base: base}
	delete(base, "zones")
	delete(base, "voters")
	for _, key := range []string{"name", "address", "directory", "join", "through", "zone"} {
		if _, some := base[key]; some {
			r.Fault(settings.JoinPath(u.Path, key), "is the lab's own to set")
		}
	}
	if c.Voters > r.e.Balancers {
		r.Fault(settings.JoinPath(u.Path, "voters"), "there are %d balancers", r.e.Balancers)
	}
	r.e.Cluster = c
}

// Seat is where a member is.
type Seat struct {
	Address, Ops, Dir string
	Join              []string
	Through           map[string]string
}

// Clustered is what makes a balancer a member, nil where there is no cluster.
func (e *Experiment) Clustered(index int, s Seat) map[string]any {
	if e.Cluster == nil {
		return nil
	}
	c := clone(e.Cluster.base)
	c["name"], c["address"], c["directory"], c["zone"] = "lab", s.Address, s.Dir, e.Cluster.Zone(index)
	c["join"], c["through"] = s.Join, s.Through
	var voters []string
	for n := range e.Cluster.Voters {
		voters = append(voters, Name(n))
	}
	if len(voters) > 0 {
		c["voters"] = voters
	}
	return map[string]any{"name": Name(index), "ops": s.Ops, "cluster": c}
}

// linkFault reads what a fault of links says.
func (r *reader) linkFault(u *settings.Table, f *Fault) {
	from, to := u.Strings("from"), u.Strings("to")
	l := &Link{
		OneWay: u.Bool("one_way", false), Delay: u.Duration("delay", 0, 0), Jitter: u.Duration("jitter", 0, 0), Part: u.Number("part", 0.1, 0, 1),
		Pace: int(u.Size("pace", 1<<10, 1)), some: u.Int("some", 0, 0, 64),
	}
	if !strings.HasPrefix(f.Kind, "link-") {
		return
	}
	f.Link = l
	if r.e.Cluster == nil {
		r.Fault(settings.JoinPath(u.Path, "kind"), "there is no [cluster] whose links it could meet")
		return
	}
	l.From, l.To = r.members(u, "from", from), r.members(u, "to", to)
	if len(l.From) == 0 {
		for n := range r.e.Balancers {
			l.From = append(l.From, n)
		}
	}
}

// members are balancers by name, or by "zone NAME".
func (r *reader) members(u *settings.Table, key string, names []string) (all []int) {
	for _, name := range names {
		if name == "owner" {
			all = append(all, Owner)
			continue
		}
		found := false
		zone, of := strings.CutPrefix(name, "zone ")
		for n := range r.e.Balancers {
			if of && r.e.Cluster.Zone(n) == zone || name == Name(n) {
				all, found = append(all, n), true
			}
		}
		if !found {
			r.Fault(settings.JoinPath(u.Path, key), "%q is no member, which are called \"b1\", \"b2\", or \"zone NAME\"", name)
		}
	}
	return all
}

// chosen draws those that a fault meets, where it says so.
func (r *reader) chosen(l *Link, chance *rand.Rand) *Link {
	own := *l
	if l.some > 0 && l.some < len(l.From) {
		own.From = nil
		for _, i := range chance.Perm(len(l.From))[:l.some] {
			own.From = append(own.From, l.From[i])
		}
		slices.Sort(own.From)
	}
	return &own
}
