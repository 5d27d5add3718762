// Package spec reads experiments. An experiment is one TOML file: tariffs, customers, pools and limits as a balancer's
// configuration has them, and beside them what the lab plays: upstreams, work, clients, faults, what is compared and the
// verdict that is wanted.
package spec

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"ottershift/internal/lab/work"
	"ottershift/internal/plan"
	"ottershift/internal/settings"
	"ottershift/logic"
)

// Experiment is what is played. Times are nanoseconds.
type Experiment struct {
	Name, Title string
	About       string
	Seed        uint64
	Length      int64
	Settle      int64 // at the start, which service is not counted in
	Short       bool
	Balancers   int
	Variants    []string
	Listed      int64 // that discovery takes to tell a change
	Tariffs     []*Tariff
	Customers   []string
	Pools       []string
	Groups      []*Group
	Upstreams   []Upstream
	Clients     []*Clients
	Faults      []*Fault
	Verdict     []Condition
	Convicts    []string // variants that the judge must convict of breaking a rule of the cluster
	Cluster     *Cluster // nil where balancers are in none

	base map[string]any // the balancer's configuration
}

// Tariff is one kind of transaction, and how much work one is.
type Tariff struct {
	Name string
	*logic.Tariff
	Sizes work.Distribution
	Fixed bool // a transaction is as much work at whatever upstream
}

// Group is upstreams of one kind.
type Group struct {
	Name  string
	Pool  int
	Count int
	Zone  string
	Cells int // groups that know repeats of each other
	work.ServerConfig
	Calls *Calls
}

// Calls are what an upstream asks of the next tier for each transaction, after its own work.
type Calls struct {
	Pool        int
	Tariff      int
	Least, Most int
}

// Upstream is one of a group.
type Upstream struct {
	Name  string
	Group *Group
	Cell  int
}

// Clients are some that behave alike.
type Clients struct {
	Name     string
	Pool     int
	Tariff   int
	Customer string
	Rate     float64 // a second
	Shape    string  // "poisson" or "constant"
	Steps    []Step
	Wave     float64 // part of the rate by which it swings
	Period   int64
	Trace    []int64 // times from a file
	Patience int64   // waits so long, over all its tries
	Retries  int
	Pause    int64 // before a retry, where no advice is given
	Heeds    bool  // advice
	Marks    bool  // its retries
	Kept     bool  // connections
	Keyed    bool  // writes an Idempotency-Key though its tariff isn't tagged
	Repeats  bool  // asks again by its key whatever became of the try before
	After    int64 // without an answer for so long it asks another balancer as well; 0 for never
	Body     int   // bytes
}

// Step changes a rate from some time on.
type Step struct {
	At     int64
	Factor float64
}

// Fault is something that goes wrong, or is done, in a run.
type Fault struct {
	Kind      string
	At, For   int64
	Factor    float64
	Upstreams []int // by index; none: all balancers, or the list
	Balancers []int
	Pool      int
	Link      *Link  // for those of links
	Name      string // by which others begin after it
	After     string // At counts from the end of that one
	Moves     bool   // comes back at another address
}

// Condition is what a verdict wants.
type Condition struct {
	Text   string
	Left   Figure
	Op     string
	Right  Figure
	Plus   float64 // added to the right side
	Always bool    // holds on any machine, in the short form too
}

// Figure is a figure of one variant, or a number if Variant is empty.
type Figure struct {
	Variant, Name string
	Number        float64
}

// Owner stands for the balancer that owns the duty of the first pool's list when a fault begins.
const Owner = -1

// Variants that there are; "without-GUARD" is the design without one of its guards.
var Variants = []string{"design", "no-copies", "random", "round-robin", "least-in-flight", "two-choices", "no-cluster", "without-refutation", "without-epochs", "without-fence", "without-once", "without-ledger", "without-reads", "one-copy"}

// Figures that a verdict may name.
var Figures = []string{
	"service", "settled", "deferred", "failed", "lost", "attempts", "p50", "p99", "p999", "breaches", "rule1", "rule2",
	"rule3", "rule4", "recover", "worst", "cluster", "death_seen", "death_bound", "views_back", "views_bound", "no_owner", "no_owner_bound", "asks", "watches", "refused",
	"twice", "once_twice", "denied", "unheard", "outside", "repeats", "looks", "blind",
}

// Kinds of fault.
var kinds = []string{
	"hang", "fail", "full", "slow", "cores", "die", "reset", "garbage", "half", "deaf", "drain", "deploy", "list-late", "list-lacks",
	"list-down", "balancer-kill", "balancer-stop", "balancer-wipe", "balancer-old", "balancer-double", "balancer-leave",
	"link-cut", "link-reset", "link-delay", "link-loss", "link-duplicate", "link-reorder", "link-stall", "link-trickle",
	"disk-full", "disk-read-only", "disk-sync", "keeper-replace",
}

// Read takes an experiment, in its short form if asked for. All that is wrong with it comes at once.
func Read(path string, short bool) (*Experiment, []settings.Fault) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, []settings.Fault{{File: path, Text: err.Error()}}
	}
	return Parse(path, text, short)
}

// Parse does the same with a text.
func Parse(path string, text []byte, short bool) (*Experiment, []settings.Fault) {
	f, t := settings.Parse(path, text, os.LookupEnv)
	if t == nil {
		return nil, f.Faults
	}
	r := &reader{File: f, e: &Experiment{Name: strings.TrimSuffix(filepath.Base(path), ".toml"), Short: short, base: map[string]any{}}}
	r.read(t)
	if f.Finish() {
		return nil, f.Faults
	}
	return r.e, f.Faults
}

type reader struct {
	*settings.File
	e     *Experiment
	scale float64 // of times
	rates float64
}

func (r *reader) read(t *settings.Table) {
	e := r.e
	e.Title, e.About = t.RequiredText("title", "what it shows, in a line"), t.Text("about", "")
	e.Seed = uint64(t.Int("seed", 1, 0, 1<<53))
	e.Length = int64(t.Duration("length", 30*time.Second, time.Second))
	e.Settle = int64(t.Duration("settle", 3*time.Second, 0))
	e.Balancers = t.Int("balancers", 1, 1, 64)
	e.Listed = int64(t.Duration("list_takes", 10*time.Millisecond, 0))
	if e.Variants = t.Strings("variants"); len(e.Variants) == 0 {
		e.Variants = []string{"design"}
	}
	for i, v := range e.Variants {
		if !slices.Contains(Variants, v) {
			r.Fault(fmt.Sprintf("variants[%d]", i), "%q is none of %s", v, strings.Join(Variants, ", "))
		}
	}
	s := t.Table("short")
	length, settle := int64(s.Duration("length", 5*time.Second, time.Second)), int64(s.Duration("settle", time.Second, 0))
	rates := s.Number("rates", 1, 0.01, 1)
	s.ReportUnknownKeys()
	r.scale, r.rates = 1, 1
	if e.Short {
		r.scale, r.rates = float64(length)/float64(e.Length), rates
		e.Length, e.Settle = length, settle
	}
	if e.Settle >= e.Length {
		r.Fault("settle", "leaves nothing of the length to count")
	}
	r.balancer(t)
	r.cluster(t)
	r.work(t)
	r.upstreams(t)
	r.configuration()
	r.clients(t)
	r.faults(t)
	r.verdict(t)
	t.ReportUnknownKeys()
}

// balancer keeps what is a balancer's configuration.
func (r *reader) balancer(t *settings.Table) {
	for _, key := range []string{"limits", "tariffs", "customers", "pools"} {
		if v := t.Raw(key); v != nil {
			r.e.base[key] = v
		}
	}
	for _, name := range t.Table("tariffs").Keys() {
		r.e.Tariffs = append(r.e.Tariffs, &Tariff{Name: name, Sizes: work.Distribution{Kind: "exponential", Mean: 10e6}})
	}
	// Danger: upstreams warm up sooner in the short form, and a balancer that isn't told so spares them for far longer.
	if pools, _ := r.e.base["pools"].(map[string]any); r.scale != 1 {
		for _, p := range pools {
			if p, ok := p.(map[string]any); ok {
				if d, err := time.ParseDuration(fmt.Sprint(p["warm_up"])); err == nil {
					p["warm_up"] = time.Duration(r.scaled(d)).String()
				}
			}
		}
	}
	r.e.Customers = t.Table("customers").Keys()
	r.e.Pools = t.Table("pools").Keys()
	if len(r.e.Tariffs) == 0 {
		r.Fault("tariffs", "there is none; write [tariffs.NAME] as in a balancer's configuration")
	}
	if len(r.e.Pools) == 0 {
		r.Fault("pools", "there is none; write [pools.NAME] as in a balancer's configuration")
	}
}

// place finds a name among some.
func (r *reader) place(t *settings.Table, key, unsaid string, names []string) int {
	name := t.Text(key, unsaid)
	i := slices.Index(names, name)
	if i < 0 {
		r.Fault(settings.JoinPath(t.Path, key), "%q is none of %s", name, strings.Join(names, ", "))
		return 0
	}
	return i
}

func (e *Experiment) tariffs() (names []string) {
	for _, f := range e.Tariffs {
		names = append(names, f.Name)
	}
	return names
}

func first(names []string) string {
	if len(names) == 0 {
		return ""
	}
	return names[0]
}

// work reads how much work transactions are, by tariff.
func (r *reader) work(t *settings.Table) {
	names, all := t.NamedTables("work")
	for n, name := range names {
		i := slices.Index(r.e.tariffs(), name)
		if i < 0 {
			r.Fault(all[n].Path, "%q is no tariff", name)
			continue
		}
		u := all[n]
		z := work.Distribution{
			Kind:  u.Choice("kind", "exponential", "fixed", "exponential", "lognormal", "pareto", "values"),
			Mean:  float64(u.Duration("mean", 10*time.Millisecond, 10*time.Microsecond)),
			Sigma: u.Number("sigma", 1, 0.01, 5), Alpha: u.Number("alpha", 1.5, 0.1, 10), MaxMultiple: u.Number("most", 100, 1.1, 1e6),
		}
		if file := u.Text("file", ""); file != "" {
			for _, d := range r.times(u, "file", file) {
				z.Values = append(z.Values, float64(d))
			}
		}
		if z.Kind == "values" && len(z.Values) == 0 {
			r.Fault(u.Path, "values come from a file, one time a line")
		}
		r.e.Tariffs[i].Sizes, r.e.Tariffs[i].Fixed = z, u.Bool("same_everywhere", false)
		u.ReportUnknownKeys()
	}
}

// times reads a file of times, one a line, as "12ms" or seconds with decimals.
func (r *reader) times(t *settings.Table, key, name string) (all []int64) {
	if !filepath.IsAbs(name) {
		name = filepath.Join(filepath.Dir(r.Name), name)
	}
	text, err := os.ReadFile(name)
	if err != nil {
		r.Fault(settings.JoinPath(t.Path, key), "%v", err)
		return nil
	}
	for n, line := range strings.Split(string(text), "\n") {
		line, _, _ = strings.Cut(line, "#")
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		d, err := time.ParseDuration(line)
		if err != nil {
			d, err = time.ParseDuration(line + "s")
		}
		if err != nil || d < 0 {
			r.Fault(settings.JoinPath(t.Path, key), "%s:%d: %q is no time", name, n+1, line)
			return nil
		}
		all = append(all, int64(d))
	}
	return all
}

// upstreams reads [upstreams.NAME].
func (r *reader) upstreams(t *settings.Table) {
	names, all := t.NamedTables("upstreams")
	for n, name := range names {
		u := all[n]
		g := &Group{
			Name: name, Pool: r.place(u, "pool", name, r.e.Pools), Count: u.Int("count", 1, 1, 2000), Zone: u.Text("zone", "a"),
			Cells: u.Int("cells", 1, 1, 1000),
			ServerConfig: work.ServerConfig{
				Cores: u.Int("cores", 2, 1, 1024), Speed: u.Number("speed", 1, 0.001, 1000), Queue: u.Int("queue", 200, 0, 1<<20),
				ColdShare: u.Number("cold_share", 0.2, 0.001, 1), WarmUp: int64(u.Duration("ramp", 10*time.Second, 0)),
				ColdOverloadFactor: u.Number("fall_multiple", 3, 1, 1000), ColdOverloadSpan: int64(u.Duration("fall_span", time.Second, time.Millisecond)),
			},
		}
		g.WarmUp = int64(float64(g.WarmUp) * r.scale)
		j := u.Table("jam")
		g.OverloadAt, g.OverloadSlowdown, g.OverloadEnds = j.Number("at", 0, 0, 1e6), j.Number("slow", 2, 1, 1000), j.Number("ends", 1, 0, 1e6)
		j.ReportUnknownKeys()
		if c := u.Table("calls"); u.Has("calls") {
			g.Calls = &Calls{
				Pool: r.place(c, "pool", "", r.e.Pools), Tariff: r.place(c, "tariff", first(r.e.tariffs()), r.e.tariffs()),
				Least: c.Int("least", 1, 0, 100), Most: c.Int("most", 1, 0, 100),
			}
			if g.Calls.Most < g.Calls.Least {
				r.Fault(c.Path, "most is under least")
			}
			c.ReportUnknownKeys()
		}
		u.ReportUnknownKeys()
		r.e.Groups = append(r.e.Groups, g)
		for i := range g.Count {
			r.e.Upstreams = append(r.e.Upstreams, Upstream{Name: fmt.Sprintf("%s-%d", name, i+1), Group: g, Cell: i % g.Cells})
		}
	}
	if len(names) == 0 {
		r.Fault("upstreams", "there are none; write [upstreams.NAME] with a pool and a count")
	}
}

// Host is where clients ask for a pool.
func (e *Experiment) Host(pool int) string { return e.Pools[pool] + ".lab" }

// Configuration is what a balancer is told, with more beside it. lists are the addresses where it is told of its upstreams, by pool.
func (e *Experiment) Configuration(index int, listen string, lists []string, copies bool, more map[string]any) []byte {
	c := clone(e.base)
	c["name"] = fmt.Sprintf("balancer-%d", index+1)
	maps.Copy(c, more)
	c["seed"] = int64(e.Seed + uint64(index)*7919 + 1)
	c["log"] = map[string]any{"level": "info"}
	c["listeners"] = map[string]any{"lab": map[string]any{"address": listen}}
	var routes []any
	pools := c["pools"].(map[string]any)
	for n, name := range e.Pools {
		p := clone(pools[name].(map[string]any))
		pools[name] = p
		p["protocol"], p["discovery"] = "platform", lists[n]
		if p["peers"] != "cluster" {
			p["index"] = int64(index)
		} else if more["cluster"] == nil {
			delete(p, "peers")
			delete(p, "share_list")
			p["index"] = int64(index)
		}
		p["balancers"] = int64(e.Balancers)
		if !copies {
			p["second_copies"] = false
		}
		zones := []any{}
		for _, g := range e.Groups {
			if g.Pool == n && !slices.Contains(zones, any(g.Zone)) {
				zones = append(zones, g.Zone)
			}
		}
		if len(zones) > 0 && p["zones"] == nil {
			p["zones"], p["zone"] = zones, zones[index%len(zones)]
		}
		routes = append(routes, map[string]any{"name": name, "hosts": []string{e.Host(n)}, "pool": name})
	}
	c["routes"] = routes
	text, err := toml.Marshal(c)
	if err != nil {
		panic(err) // it was read from such a text
	}
	return text
}

func clone(m map[string]any) map[string]any {
	m = maps.Clone(m)
	for k, v := range m {
		if in, some := v.(map[string]any); some {
			m[k] = clone(in)
		}
	}
	return m
}

// configuration checks what a balancer would be told, and takes the tariffs from it.
func (r *reader) configuration() {
	if r.Finish() {
		return
	}
	lists := make([]string, len(r.e.Pools))
	for i := range lists {
		lists[i] = "127.0.0.1:1"
	}
	p, faults := plan.Parse(r.Name, r.e.Configuration(0, "127.0.0.1:1", lists, true, r.e.Clustered(0, Seat{Address: "127.0.0.1:2", Ops: "127.0.0.1:3", Dir: os.TempDir()})), os.LookupEnv)
	for _, f := range faults {
		if !f.Warning {
			r.Fault(f.Key, "%s", f.Text)
		}
	}
	if p == nil {
		return
	}
	if r.e.Cluster != nil {
		r.e.Cluster.Settings = p.Cluster
	}
	book := p.Pools[0].Settings
	for _, q := range p.Pools {
		if len(q.Settings.Tariffs) > len(book.Tariffs) {
			book = q.Settings
		}
	}
	for _, f := range r.e.Tariffs {
		if i, known := book.Tariffs[f.Name]; known {
			f.Tariff = book.Engine.Tariffs[i]
		} else {
			r.Fault("tariffs."+f.Name, "one pool at least has all tariffs here")
		}
	}
}

// clients reads [[clients]].
func (r *reader) clients(t *settings.Table) {
	for n, u := range t.Tables("clients") {
		c := &Clients{
			Name: u.Text("name", fmt.Sprintf("clients-%d", n+1)), Pool: r.place(u, "pool", first(r.e.Pools), r.e.Pools),
			Tariff: r.place(u, "tariff", first(r.e.tariffs()), r.e.tariffs()), Customer: u.Text("customer", ""),
			Rate: u.Number("rate", 10, 0, 1e6) * r.rates, Shape: u.Choice("shape", "poisson", "poisson", "constant"),
			Wave: u.Number("wave", 0, 0, 1), Period: r.scaled(u.Duration("period", 10*time.Second, time.Millisecond)),
			Patience: int64(u.Duration("patience", 0, 0)), Retries: u.Int("retries", 0, 0, 100),
			Pause: int64(u.Duration("pause", 100*time.Millisecond, 0)), Heeds: u.Bool("heeds_advice", true), Marks: u.Bool("marks_retries", true),
			Kept: u.Choice("connections", "kept", "kept", "new") == "kept", Body: int(u.Size("body", 0, 0)),
			Keyed: u.Bool("keyed", false), Repeats: u.Bool("repeats", false), After: int64(u.Duration("again_after", 0, 0)),
		}
		if c.After > 0 && !c.Repeats {
			r.Fault(settings.JoinPath(u.Path, "again_after"), "asks a second time while the first is out, which is for clients that say repeats = true")
		}
		if c.Customer != "" && !slices.Contains(r.e.Customers, c.Customer) {
			r.Fault(settings.JoinPath(u.Path, "customer"), "%q is no customer", c.Customer)
		}
		if len(r.e.Tariffs) > c.Tariff && r.e.Tariffs[c.Tariff].Tariff != nil && c.Patience == 0 {
			c.Patience = r.e.Tariffs[c.Tariff].HardStop
		}
		for _, s := range u.Tables("steps") {
			c.Steps = append(c.Steps, Step{r.scaled(s.Duration("at", 0, 0)), s.Number("factor", 1, 0, 1e4)})
			s.ReportUnknownKeys()
		}
		if file := u.Text("trace", ""); file != "" {
			c.Trace = r.times(u, "trace", file)
			slices.Sort(c.Trace)
		}
		u.ReportUnknownKeys()
		r.e.Clients = append(r.e.Clients, c)
	}
	if len(r.e.Clients) == 0 {
		r.Fault("clients", "there are none; write [[clients]] with a pool, a tariff and a rate")
	}
}

func (r *reader) scaled(d time.Duration) int64 { return int64(float64(d) * r.scale) }

// faults reads [[faults]]; which upstreams a share meets is drawn here, so that it is part of the plan.
func (r *reader) faults(t *settings.Table) {
	for n, u := range t.Tables("faults") {
		f := &Fault{
			Kind: u.Choice("kind", "", kinds...), At: r.scaled(u.Duration("at", 0, 0)), For: r.scaled(u.Duration("for", 0, 0)),
			Factor: u.Number("factor", 0, 0, 1e4), Pool: r.place(u, "pool", first(r.e.Pools), r.e.Pools),
			Name: u.Text("name", ""), After: u.Text("after", ""), Moves: u.Bool("moves", false),
		}
		r.linkFault(u, f)
		if f.After != "" && !slices.ContainsFunc(r.e.Faults, func(g *Fault) bool { return g.Name == f.After }) {
			r.Fault(settings.JoinPath(u.Path, "after"), "no fault before it is called %q", f.After)
		}
		share, times := u.Number("share", 1, 0, 1), u.Int("times", 1, 1, 1000)
		within := r.scaled(u.Duration("within", 0, 0))
		named := u.Strings("upstreams")
		balancers := u.Strings("balancers")
		u.ReportUnknownKeys()
		chance := chanceOf(r.e.Seed, "fault", n)
		for range times {
			g := *f
			if within > 0 {
				g.At += chance.Int64N(within)
			}
			if f.Link != nil {
				g.Link = r.chosen(f.Link, chance)
			} else if strings.HasPrefix(f.Kind, "balancer-") || strings.HasPrefix(f.Kind, "disk-") || f.Kind == "keeper-replace" {
				g.Balancers = r.balancers(u, balancers, share, chance.Perm(r.e.Balancers))
			} else if !strings.HasPrefix(f.Kind, "list-") || f.Kind == "list-lacks" {
				var all []int
				for i, up := range r.e.Upstreams {
					if len(named) == 0 || slices.Contains(named, up.Name) || slices.Contains(named, up.Group.Name) {
						all = append(all, i)
					}
				}
				if len(all) == 0 {
					r.Fault(settings.JoinPath(u.Path, "upstreams"), "no upstream and no group is called so")
				}
				chance.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
				g.Upstreams = all[:int(share*float64(len(all))+0.999)]
				slices.Sort(g.Upstreams)
			}
			r.e.Faults = append(r.e.Faults, &g)
		}
	}
	slices.SortStableFunc(r.e.Faults, func(a, b *Fault) int { return int(max(-1, min(1, a.At-b.At))) })
}

func (r *reader) balancers(t *settings.Table, named []string, share float64, order []int) (all []int) {
	for _, name := range named {
		if name == "owner" {
			all = append(all, Owner)
			continue
		}
		n, err := strconv.Atoi(strings.TrimPrefix(name, "b"))
		if err != nil || n < 1 || n > r.e.Balancers {
			r.Fault(settings.JoinPath(t.Path, "balancers"), "%q is no balancer, which are counted from \"1\"", name)
			continue
		}
		all = append(all, n-1)
	}
	if len(named) == 0 {
		all = order[:int(share*float64(len(order))+0.999)]
	}
	slices.Sort(all)
	return all
}

// verdict reads what is wanted.
func (r *reader) verdict(t *settings.Table) {
	v := t.Table("verdict")
	for i, name := range v.Strings("convicts") {
		if !slices.Contains(r.e.Variants, name) {
			r.Fault(fmt.Sprintf("verdict.convicts[%d]", i), "%q is no variant of this experiment", name)
		}
		r.e.Convicts = append(r.e.Convicts, name)
	}
	for _, key := range []string{"always", "full"} {
		for i, text := range v.Strings(key) {
			c, err := r.condition(text)
			if err != "" {
				r.Fault(fmt.Sprintf("verdict.%s[%d]", key, i), "%q: %s", text, err)
				continue
			}
			if c.Always = key == "always"; c.Always || !r.e.Short {
				r.e.Verdict = append(r.e.Verdict, c)
			}
		}
	}
	v.ReportUnknownKeys()
}

func (r *reader) condition(text string) (c Condition, fault string) {
	words := strings.Fields(text)
	c.Text = text
	if len(words) != 3 && len(words) != 5 {
		return c, "write it as \"design.service >= 0.9\" or \"design.service > random.service + 0.1\""
	}
	if !slices.Contains([]string{"<", "<=", ">", ">=", "=="}, words[1]) {
		return c, words[1] + " is none of < <= > >= =="
	}
	c.Op = words[1]
	if c.Left, fault = r.figure(words[0]); fault != "" {
		return c, fault
	}
	if c.Right, fault = r.figure(words[2]); fault != "" {
		return c, fault
	}
	if len(words) == 5 {
		plus, err := strconv.ParseFloat(words[4], 64)
		if err != nil || words[3] != "+" && words[3] != "-" {
			return c, "after the right side comes + or - and a number"
		}
		if c.Plus = plus; words[3] == "-" {
			c.Plus = -plus
		}
	}
	return c, ""
}

func (r *reader) figure(word string) (f Figure, fault string) {
	if n, err := strconv.ParseFloat(word, 64); err == nil {
		return Figure{Number: n}, ""
	}
	variant, name, _ := strings.Cut(word, ".")
	if !slices.Contains(r.e.Variants, variant) {
		return f, fmt.Sprintf("%q is no variant of this experiment", variant)
	}
	base, of, _ := strings.Cut(name, ":")
	if !slices.Contains(Figures, base) {
		return f, fmt.Sprintf("%q is none of %s", base, strings.Join(Figures, ", "))
	}
	if of != "" && !slices.Contains(r.e.tariffs(), of) && !slices.Contains(r.e.Pools, of) && !slices.Contains(r.e.Customers, of) {
		return f, fmt.Sprintf("%q is no tariff, pool or customer", of)
	}
	return Figure{Variant: variant, Name: name}, ""
}
