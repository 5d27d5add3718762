// Package spec reads experiments. An experiment is one TOML file. It holds tariffs, customers, pools and limits as in a
// balancer's configuration, and what the lab emulates around the balancers: upstreams, work, clients and faults, the variants
// to compare and the conditions of the verdict.
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

// Experiment is a parsed experiment file. Times are in nanoseconds.
type Experiment struct {
	Name, Title    string
	About          string
	Seed           uint64
	Length         int64
	Settle         int64 // initial period that is left out of the figures
	Short          bool
	Balancers      int
	Variants       []string
	DiscoveryDelay int64 // delay until discovery reports a change
	Tariffs        []*Tariff
	Customers      []string
	Pools          []string
	Groups         []*Group
	Upstreams      []Upstream
	Clients        []*Clients
	Faults         []*Fault
	Verdict        []Condition
	MustBreakRules []string // variants that must break a cluster rule for the verdict to hold
	Cluster        *Cluster // nil if the balancers form no cluster

	balancerConfig map[string]any // of the balancers: limits, tariffs, customers and pools
}

// Tariff is one kind of transaction, with the distribution of its work.
type Tariff struct {
	Name string
	*logic.Tariff
	Sizes          work.Distribution
	SameEverywhere bool // a transaction takes the same work at every upstream
}

// Group is a set of upstreams with the same properties.
type Group struct {
	Name  string
	Pool  int
	Count int
	Zone  string
	Cells int // sets of upstreams that share their record of repeated requests
	work.ServerConfig
	Calls *Calls
}

// Calls describes the requests that an upstream sends to the next tier for each transaction, after its own work.
type Calls struct {
	Pool        int
	Tariff      int
	Least, Most int
}

// Upstream is one upstream of a group.
type Upstream struct {
	Name  string
	Group *Group
	Cell  int
}

// Clients is a set of clients with the same behavior.
type Clients struct {
	Name             string
	Pool             int
	Tariff           int
	Customer         string
	Rate             float64 // transactions per second
	Shape            string  // "poisson" or "constant"
	Steps            []Step
	Wave             float64 // amplitude of the rate's sine wave, as a fraction of the rate
	Period           int64
	Trace            []int64 // due times read from a file
	Timeout          int64   // time limit over all requests of a transaction
	Retries          int
	RetryDelay       int64 // before a retry, if the answer advises no delay
	FollowsAdvice    bool  // follows the retry advice of answers
	MarksRetries     bool  // marks retries as such
	KeepsConnections bool  // keeps connections open
	SendsKey         bool  // sends an Idempotency-Key even if its tariff isn't tagged
	RepeatsByKey     bool  // repeats the request with its key whatever the outcome of the previous one
	HedgeAfter       int64 // without an answer for so long, also asks another balancer; 0 for never
	Body             int   // bytes
}

// Step multiplies a rate by a factor from a given time on.
type Step struct {
	At     int64
	Factor float64
}

// Fault is a fault or operation that the lab injects into a run.
type Fault struct {
	Kind           string
	At, For        int64
	Factor         float64
	Upstreams      []int // by index; empty for faults of balancers, links or lists
	Balancers      []int
	Pool           int
	Link           *Link  // for faults of links
	Name           string // by which After of other faults refers to this one
	After          string // name of another fault; At counts from its end
	ChangesAddress bool   // the balancer restarts at another address
}

// Condition is a comparison of figures that the verdict requires.
type Condition struct {
	Text   string
	Left   Figure
	Op     string
	Right  Figure
	Offset float64 // added to the right side
	Always bool    // also checked in the short form, as it holds on any machine
}

// Figure names a figure of one variant, or is a number if Variant is empty.
type Figure struct {
	Variant, Name string
	Number        float64
}

// DutyOwner stands for the balancer that owns the list duty of the first pool when a fault begins.
const DutyOwner = -1

// Variants are the variants that an experiment may compare; "without-GUARD" is the design without one of its guards.
var Variants = []string{"design", "no-copies", "random", "round-robin", "least-in-flight", "two-choices",
	"no-cluster", "without-refutation", "without-epochs", "without-fence", "without-once", "without-ledger",
	"without-reads", "one-copy"}

// Figures are the figures that a verdict may name.
var Figures = []string{
	"service", "settled", "deferred", "failed", "lost", "attempts", "p50", "p99", "p999", "breaches", "rule1", "rule2",
	"rule3", "rule4", "recover", "worst", "cluster", "death_seen", "death_bound", "views_back", "views_bound",
	"no_owner", "no_owner_bound", "asks", "watches", "refused",
	"twice", "once_twice", "denied", "unheard", "outside", "repeats", "looks", "blind",
}

// faultKinds are the kinds of faults.
var faultKinds = []string{
	"hang", "fail", "full", "slow", "cores", "die", "reset", "garbage", "half", "deaf", "drain", "deploy",
	"list-late", "list-lacks",
	"list-down", "balancer-kill", "balancer-stop", "balancer-wipe", "balancer-old", "balancer-double", "balancer-leave",
	"link-cut", "link-reset", "link-delay", "link-loss", "link-duplicate", "link-reorder", "link-stall", "link-trickle",
	"disk-full", "disk-read-only", "disk-sync", "keeper-replace",
}

// Read reads an experiment file, in its short form if requested. It returns all faults of the file at once.
func Read(path string, short bool) (*Experiment, []settings.Fault) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, []settings.Fault{{File: path, Text: err.Error()}}
	}
	return Parse(path, text, short)
}

// Parse parses the text of an experiment file like Read.
func Parse(path string, text []byte, short bool) (*Experiment, []settings.Fault) {
	file, table := settings.Parse(path, text, os.LookupEnv)
	if table == nil {
		return nil, file.Faults
	}
	rd := &reader{File: file, experiment: &Experiment{Name: strings.TrimSuffix(filepath.Base(path), ".toml"),
		Short: short, balancerConfig: map[string]any{}}}
	rd.read(table)
	if file.Finish() {
		return nil, file.Faults
	}
	return rd.experiment, file.Faults
}

type reader struct {
	*settings.File
	experiment *Experiment
	timeScale  float64 // of times, in the short form
	rateScale  float64 // factor of request rates, in the short form
}

func (rd *reader) read(t *settings.Table) {
	e := rd.experiment
	e.Title, e.About = t.RequiredText("title", "what the experiment shows, in one line"), t.Text("about", "")
	e.Seed = uint64(t.Int("seed", 1, 0, 1<<53))
	e.Length = int64(t.Duration("length", 30*time.Second, time.Second))
	e.Settle = int64(t.Duration("settle", 3*time.Second, 0))
	e.Balancers = t.Int("balancers", 1, 1, 64)
	e.DiscoveryDelay = int64(t.Duration("list_takes", 10*time.Millisecond, 0))
	if e.Variants = t.Strings("variants"); len(e.Variants) == 0 {
		e.Variants = []string{"design"}
	}
	for i, v := range e.Variants {
		if !slices.Contains(Variants, v) {
			rd.Fault(fmt.Sprintf("variants[%d]", i), "%q is none of %s", v, strings.Join(Variants, ", "))
		}
	}
	s := t.Table("short")
	length, settle := int64(s.Duration("length", 5*time.Second, time.Second)), int64(s.Duration("settle", time.Second, 0))
	rates := s.Number("rates", 1, 0.01, 1)
	s.ReportUnknownKeys()
	rd.timeScale, rd.rateScale = 1, 1
	if e.Short {
		rd.timeScale, rd.rateScale = float64(length)/float64(e.Length), rates
		e.Length, e.Settle = length, settle
	}
	if e.Settle >= e.Length {
		rd.Fault("settle", "leaves nothing of the length to count")
	}
	rd.readBalancer(t)
	rd.readCluster(t)
	rd.readWork(t)
	rd.readUpstreams(t)
	rd.checkConfiguration()
	rd.readClients(t)
	rd.readFaults(t)
	rd.readVerdict(t)
	t.ReportUnknownKeys()
}

// readBalancer takes over the parts of the file that belong to the balancers' configuration.
func (rd *reader) readBalancer(t *settings.Table) {
	for _, key := range []string{"limits", "tariffs", "customers", "pools"} {
		if v := t.Raw(key); v != nil {
			rd.experiment.balancerConfig[key] = v
		}
	}
	for _, name := range t.Table("tariffs").Keys() {
		rd.experiment.Tariffs = append(rd.experiment.Tariffs,
			&Tariff{Name: name, Sizes: work.Distribution{Kind: "exponential", Mean: 10e6}})
	}
	// The short form also shortens the warm-up of the upstreams. With the full warm_up, a balancer would send them reduced load
	// for far too long.
	if pools, _ := rd.experiment.balancerConfig["pools"].(map[string]any); rd.timeScale != 1 {
		for _, p := range pools {
			if p, ok := p.(map[string]any); ok {
				if d, err := time.ParseDuration(fmt.Sprint(p["warm_up"])); err == nil {
					p["warm_up"] = time.Duration(rd.scaled(d)).String()
				}
			}
		}
	}
	rd.experiment.Customers = t.Table("customers").Keys()
	rd.experiment.Pools = t.Table("pools").Keys()
	if len(rd.experiment.Tariffs) == 0 {
		rd.Fault("tariffs", "no tariff is defined; write [tariffs.NAME] as in a balancer's configuration")
	}
	if len(rd.experiment.Pools) == 0 {
		rd.Fault("pools", "no pool is defined; write [pools.NAME] as in a balancer's configuration")
	}
}

// readIndex reads a name and returns its index in names.
func (rd *reader) readIndex(table *settings.Table, key, fallback string, names []string) int {
	name := table.Text(key, fallback)
	i := slices.Index(names, name)
	if i < 0 {
		rd.Fault(settings.JoinPath(table.Path, key), "%q is none of %s", name, strings.Join(names, ", "))
		return 0
	}
	return i
}

func (exp *Experiment) tariffNames() (names []string) {
	for _, f := range exp.Tariffs {
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

// readWork reads [work.NAME], the work that transactions of a tariff take.
func (rd *reader) readWork(t *settings.Table) {
	names, tables := t.NamedTables("work")
	for n, name := range names {
		i := slices.Index(rd.experiment.tariffNames(), name)
		if i < 0 {
			rd.Fault(tables[n].Path, "%q is not a tariff", name)
			continue
		}
		table := tables[n]
		sizes := work.Distribution{
			Kind:  table.Choice("kind", "exponential", "fixed", "exponential", "lognormal", "pareto", "values"),
			Mean:  float64(table.Duration("mean", 10*time.Millisecond, 10*time.Microsecond)),
			Sigma: table.Number("sigma", 1, 0.01, 5), Alpha: table.Number("alpha", 1.5, 0.1, 10),
			MaxMultiple: table.Number("most", 100, 1.1, 1e6),
		}
		if file := table.Text("file", ""); file != "" {
			for _, d := range rd.readTimes(table, "file", file) {
				sizes.Values = append(sizes.Values, float64(d))
			}
		}
		if sizes.Kind == "values" && len(sizes.Values) == 0 {
			rd.Fault(table.Path, "kind \"values\" needs a file with one duration per line")
		}
		rd.experiment.Tariffs[i].Sizes, rd.experiment.Tariffs[i].SameEverywhere = sizes, table.Bool("same_everywhere", false)
		table.ReportUnknownKeys()
	}
}

// readTimes reads a file with one duration per line, such as "12ms", or a decimal number of seconds.
func (rd *reader) readTimes(t *settings.Table, key, name string) (all []int64) {
	if !filepath.IsAbs(name) {
		name = filepath.Join(filepath.Dir(rd.Name), name)
	}
	text, err := os.ReadFile(name)
	if err != nil {
		rd.Fault(settings.JoinPath(t.Path, key), "%v", err)
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
			rd.Fault(settings.JoinPath(t.Path, key), "%s:%d: %q is not a duration", name, n+1, line)
			return nil
		}
		all = append(all, int64(d))
	}
	return all
}

// readUpstreams reads [upstreams.NAME].
func (rd *reader) readUpstreams(t *settings.Table) {
	names, tables := t.NamedTables("upstreams")
	for n, name := range names {
		table := tables[n]
		group := &Group{
			Name: name, Pool: rd.readIndex(table, "pool", name, rd.experiment.Pools),
			Count: table.Int("count", 1, 1, 2000), Zone: table.Text("zone", "a"),
			Cells: table.Int("cells", 1, 1, 1000),
			ServerConfig: work.ServerConfig{
				Cores: table.Int("cores", 2, 1, 1024), Speed: table.Number("speed", 1, 0.001, 1000),
				Queue:     table.Int("queue", 200, 0, 1<<20),
				ColdShare: table.Number("cold_share", 0.2, 0.001, 1), WarmUp: int64(table.Duration("ramp", 10*time.Second, 0)),
				ColdOverloadFactor: table.Number("fall_multiple", 3, 1, 1000),
				ColdOverloadSpan:   int64(table.Duration("fall_span", time.Second, time.Millisecond)),
			},
		}
		group.WarmUp = int64(float64(group.WarmUp) * rd.timeScale)
		jam := table.Table("jam")
		group.OverloadAt, group.OverloadSlowdown, group.OverloadEnds = jam.Number("at", 0, 0, 1e6), jam.Number("slow", 2, 1, 1000),
			jam.Number("ends", 1, 0, 1e6)
		jam.ReportUnknownKeys()
		if calls := table.Table("calls"); table.Has("calls") {
			group.Calls = &Calls{
				Pool:   rd.readIndex(calls, "pool", "", rd.experiment.Pools),
				Tariff: rd.readIndex(calls, "tariff", first(rd.experiment.tariffNames()), rd.experiment.tariffNames()),
				Least:  calls.Int("least", 1, 0, 100), Most: calls.Int("most", 1, 0, 100),
			}
			if group.Calls.Most < group.Calls.Least {
				rd.Fault(calls.Path, "most is less than least")
			}
			calls.ReportUnknownKeys()
		}
		table.ReportUnknownKeys()
		rd.experiment.Groups = append(rd.experiment.Groups, group)
		for i := range group.Count {
			rd.experiment.Upstreams = append(rd.experiment.Upstreams,
				Upstream{Name: fmt.Sprintf("%s-%d", name, i+1), Group: group, Cell: i % group.Cells})
		}
	}
	if len(names) == 0 {
		rd.Fault("upstreams", "no upstream is defined; write [upstreams.NAME] with a pool and a count")
	}
}

// Host returns the host name under which clients reach a pool.
func (exp *Experiment) Host(pool int) string { return exp.Pools[pool] + ".lab" }

// Configuration returns a balancer's configuration as TOML, with the extra top-level keys. lists are the addresses of its
// discovery services by pool.
func (exp *Experiment) Configuration(index int, listen string, lists []string, hedging bool, extra map[string]any) []byte {
	config := cloneTable(exp.balancerConfig)
	config["name"] = fmt.Sprintf("balancer-%d", index+1)
	maps.Copy(config, extra)
	config["seed"] = int64(exp.Seed + uint64(index)*7919 + 1)
	config["log"] = map[string]any{"level": "info"}
	config["listeners"] = map[string]any{"lab": map[string]any{"address": listen}}
	var routes []any
	pools := config["pools"].(map[string]any)
	for n, name := range exp.Pools {
		poolConfig := cloneTable(pools[name].(map[string]any))
		pools[name] = poolConfig
		poolConfig["protocol"], poolConfig["discovery"] = "platform", lists[n]
		if poolConfig["peers"] != "cluster" {
			poolConfig["index"] = int64(index)
		} else if extra["cluster"] == nil {
			delete(poolConfig, "peers")
			delete(poolConfig, "share_list")
			poolConfig["index"] = int64(index)
		}
		poolConfig["balancers"] = int64(exp.Balancers)
		if !hedging {
			poolConfig["second_copies"] = false
		}
		zones := []any{}
		for _, group := range exp.Groups {
			if group.Pool == n && !slices.Contains(zones, any(group.Zone)) {
				zones = append(zones, group.Zone)
			}
		}
		if len(zones) > 0 && poolConfig["zones"] == nil {
			poolConfig["zones"], poolConfig["zone"] = zones, zones[index%len(zones)]
		}
		routes = append(routes, map[string]any{"name": name, "hosts": []string{exp.Host(n)}, "pool": name})
	}
	config["routes"] = routes
	text, err := toml.Marshal(config)
	if err != nil {
		panic(err) // can't happen: the values were read from TOML
	}
	return text
}

func cloneTable(m map[string]any) map[string]any {
	m = maps.Clone(m)
	for k, v := range m {
		if in, some := v.(map[string]any); some {
			m[k] = cloneTable(in)
		}
	}
	return m
}

// checkConfiguration checks the configuration of the first balancer, and takes the tariffs and cluster settings from it.
func (rd *reader) checkConfiguration() {
	if rd.Finish() {
		return
	}
	lists := make([]string, len(rd.experiment.Pools))
	for i := range lists {
		lists[i] = "127.0.0.1:1"
	}
	parsed, faults := plan.Parse(rd.Name, rd.experiment.Configuration(0, "127.0.0.1:1", lists, true,
		rd.experiment.MemberConfiguration(0, Placement{Address: "127.0.0.1:2", Ops: "127.0.0.1:3",
			Dir: os.TempDir()})), os.LookupEnv)
	for _, f := range faults {
		if !f.Warning {
			rd.Fault(f.Key, "%s", f.Text)
		}
	}
	if parsed == nil {
		return
	}
	if rd.experiment.Cluster != nil {
		rd.experiment.Cluster.Settings = parsed.Cluster
	}
	largest := parsed.Pools[0].Settings
	for _, pool := range parsed.Pools {
		if len(pool.Settings.Tariffs) > len(largest.Tariffs) {
			largest = pool.Settings
		}
	}
	for _, f := range rd.experiment.Tariffs {
		if i, known := largest.Tariffs[f.Name]; known {
			f.Tariff = largest.Engine.Tariffs[i]
		} else {
			rd.Fault("tariffs."+f.Name, "at least one pool must have all tariffs in an experiment")
		}
	}
}

// readClients reads [[clients]].
func (rd *reader) readClients(t *settings.Table) {
	for n, table := range t.Tables("clients") {
		clients := &Clients{
			Name:     table.Text("name", fmt.Sprintf("clients-%d", n+1)),
			Pool:     rd.readIndex(table, "pool", first(rd.experiment.Pools), rd.experiment.Pools),
			Tariff:   rd.readIndex(table, "tariff", first(rd.experiment.tariffNames()), rd.experiment.tariffNames()),
			Customer: table.Text("customer", ""),
			Rate:     table.Number("rate", 10, 0, 1e6) * rd.rateScale,
			Shape:    table.Choice("shape", "poisson", "poisson", "constant"),
			Wave:     table.Number("wave", 0, 0, 1), Period: rd.scaled(table.Duration("period", 10*time.Second, time.Millisecond)),
			Timeout: int64(table.Duration("patience", 0, 0)), Retries: table.Int("retries", 0, 0, 100),
			RetryDelay:    int64(table.Duration("pause", 100*time.Millisecond, 0)),
			FollowsAdvice: table.Bool("heeds_advice", true), MarksRetries: table.Bool("marks_retries", true),
			KeepsConnections: table.Choice("connections", "kept", "kept", "new") == "kept", Body: int(table.Size("body", 0, 0)),
			SendsKey: table.Bool("keyed", false), RepeatsByKey: table.Bool("repeats", false),
			HedgeAfter: int64(table.Duration("again_after", 0, 0)),
		}
		if clients.HedgeAfter > 0 && !clients.RepeatsByKey {
			rd.Fault(settings.JoinPath(table.Path, "again_after"),
				"sends a second request while the first is unanswered, which requires repeats = true")
		}
		if clients.Customer != "" && !slices.Contains(rd.experiment.Customers, clients.Customer) {
			rd.Fault(settings.JoinPath(table.Path, "customer"), "%q is not a customer", clients.Customer)
		}
		if len(rd.experiment.Tariffs) > clients.Tariff && rd.experiment.Tariffs[clients.Tariff].Tariff != nil &&
			clients.Timeout == 0 {
			clients.Timeout = rd.experiment.Tariffs[clients.Tariff].HardStop
		}
		for _, s := range table.Tables("steps") {
			clients.Steps = append(clients.Steps, Step{rd.scaled(s.Duration("at", 0, 0)), s.Number("factor", 1, 0, 1e4)})
			s.ReportUnknownKeys()
		}
		if file := table.Text("trace", ""); file != "" {
			clients.Trace = rd.readTimes(table, "trace", file)
			slices.Sort(clients.Trace)
		}
		table.ReportUnknownKeys()
		rd.experiment.Clients = append(rd.experiment.Clients, clients)
	}
	if len(rd.experiment.Clients) == 0 {
		rd.Fault("clients", "no clients are defined; write [[clients]] with a pool, a tariff and a rate")
	}
}

func (rd *reader) scaled(d time.Duration) int64 { return int64(float64(d) * rd.timeScale) }

// readFaults reads [[faults]]. It also draws the upstreams or balancers that a share selects, so that they are part of the
// plan.
func (rd *reader) readFaults(t *settings.Table) {
	for n, table := range t.Tables("faults") {
		fault := &Fault{
			Kind: table.Choice("kind", "", faultKinds...), At: rd.scaled(table.Duration("at", 0, 0)),
			For:    rd.scaled(table.Duration("for", 0, 0)),
			Factor: table.Number("factor", 0, 0, 1e4), Pool: rd.readIndex(table, "pool", first(rd.experiment.Pools),
				rd.experiment.Pools),
			Name: table.Text("name", ""), After: table.Text("after", ""), ChangesAddress: table.Bool("moves", false),
		}
		rd.readLinkFault(table, fault)
		if fault.After != "" && !slices.ContainsFunc(rd.experiment.Faults,
			func(drawn *Fault) bool { return drawn.Name == fault.After }) {
			rd.Fault(settings.JoinPath(table.Path, "after"), "no earlier fault has the name %q", fault.After)
		}
		share, times := table.Number("share", 1, 0, 1), table.Int("times", 1, 1, 1000)
		within := rd.scaled(table.Duration("within", 0, 0))
		named := table.Strings("upstreams")
		balancers := table.Strings("balancers")
		table.ReportUnknownKeys()
		random := randomSource(rd.experiment.Seed, "fault", n)
		for range times {
			drawn := *fault
			if within > 0 {
				drawn.At += random.Int64N(within)
			}
			if fault.Link != nil {
				drawn.Link = rd.sampleLink(fault.Link, random)
			} else if strings.HasPrefix(fault.Kind, "balancer-") || strings.HasPrefix(fault.Kind, "disk-") ||
				fault.Kind == "keeper-replace" {
				drawn.Balancers = rd.balancerIndexes(table, balancers, share, random.Perm(rd.experiment.Balancers))
			} else if !strings.HasPrefix(fault.Kind, "list-") || fault.Kind == "list-lacks" {
				var candidates []int
				for i, up := range rd.experiment.Upstreams {
					if len(named) == 0 || slices.Contains(named, up.Name) || slices.Contains(named, up.Group.Name) {
						candidates = append(candidates, i)
					}
				}
				if len(candidates) == 0 {
					rd.Fault(settings.JoinPath(table.Path, "upstreams"), "no upstream and no group has this name")
				}
				random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
				drawn.Upstreams = candidates[:int(share*float64(len(candidates))+0.999)]
				slices.Sort(drawn.Upstreams)
			}
			rd.experiment.Faults = append(rd.experiment.Faults, &drawn)
		}
	}
	slices.SortStableFunc(rd.experiment.Faults, func(a, b *Fault) int { return int(max(-1, min(1, a.At-b.At))) })
}

func (rd *reader) balancerIndexes(t *settings.Table, named []string, share float64, order []int) (all []int) {
	for _, name := range named {
		if name == "owner" {
			all = append(all, DutyOwner)
			continue
		}
		n, err := strconv.Atoi(strings.TrimPrefix(name, "b"))
		if err != nil || n < 1 || n > rd.experiment.Balancers {
			rd.Fault(settings.JoinPath(t.Path, "balancers"), "%q is not a balancer; balancers are numbered from \"1\"", name)
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

// readVerdict reads [verdict].
func (rd *reader) readVerdict(t *settings.Table) {
	table := t.Table("verdict")
	for i, name := range table.Strings("convicts") {
		if !slices.Contains(rd.experiment.Variants, name) {
			rd.Fault(fmt.Sprintf("verdict.convicts[%d]", i), "%q is not a variant of this experiment", name)
		}
		rd.experiment.MustBreakRules = append(rd.experiment.MustBreakRules, name)
	}
	for _, key := range []string{"always", "full"} {
		for i, text := range table.Strings(key) {
			condition, err := rd.parseCondition(text)
			if err != "" {
				rd.Fault(fmt.Sprintf("verdict.%s[%d]", key, i), "%q: %s", text, err)
				continue
			}
			if condition.Always = key == "always"; condition.Always || !rd.experiment.Short {
				rd.experiment.Verdict = append(rd.experiment.Verdict, condition)
			}
		}
	}
	table.ReportUnknownKeys()
}

func (rd *reader) parseCondition(text string) (condition Condition, fault string) {
	words := strings.Fields(text)
	condition.Text = text
	if len(words) != 3 && len(words) != 5 {
		return condition, "write it as \"design.service >= 0.9\" or \"design.service > random.service + 0.1\""
	}
	if !slices.Contains([]string{"<", "<=", ">", ">=", "=="}, words[1]) {
		return condition, words[1] + " is none of < <= > >= =="
	}
	condition.Op = words[1]
	if condition.Left, fault = rd.parseFigure(words[0]); fault != "" {
		return condition, fault
	}
	if condition.Right, fault = rd.parseFigure(words[2]); fault != "" {
		return condition, fault
	}
	if len(words) == 5 {
		plus, err := strconv.ParseFloat(words[4], 64)
		if err != nil || words[3] != "+" && words[3] != "-" {
			return condition, "the right side may only be followed by + or - and a number"
		}
		if condition.Offset = plus; words[3] == "-" {
			condition.Offset = -plus
		}
	}
	return condition, ""
}

func (rd *reader) parseFigure(word string) (figure Figure, fault string) {
	if n, err := strconv.ParseFloat(word, 64); err == nil {
		return Figure{Number: n}, ""
	}
	variant, name, _ := strings.Cut(word, ".")
	if !slices.Contains(rd.experiment.Variants, variant) {
		return figure, fmt.Sprintf("%q is not a variant of this experiment", variant)
	}
	base, of, _ := strings.Cut(name, ":")
	if !slices.Contains(Figures, base) {
		return figure, fmt.Sprintf("%q is none of %s", base, strings.Join(Figures, ", "))
	}
	if of != "" && !slices.Contains(rd.experiment.tariffNames(), of) && !slices.Contains(rd.experiment.Pools, of) &&
		!slices.Contains(rd.experiment.Customers, of) {
		return figure, fmt.Sprintf("%q is not a tariff, pool or customer", of)
	}
	return Figure{Variant: variant, Name: name}, ""
}
