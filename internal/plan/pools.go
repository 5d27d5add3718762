package plan

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"ottershift/internal/discovery"
	"ottershift/internal/listfile"
	"ottershift/internal/routes"
	"ottershift/internal/settings"
	"ottershift/internal/terms"
	"ottershift/logic"
)

// Read decodes a TOML file. All that is wrong with it comes at once, as do remarks; the plan is nil if anything is
// wrong.
func Read(path string) (*Plan, []settings.Fault) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, []settings.Fault{{File: path, Text: errors.Unwrap(err).Error()}}
	}
	return Parse(path, text, os.LookupEnv)
}

// Parse does the same with a text; paths in it are taken from the folder of its name.
func Parse(name string, text []byte, getenv func(string) (string, bool)) (*Plan, []settings.Fault) {
	f, root := settings.Parse(name, text, getenv)
	if root == nil {
		return nil, f.Faults
	}
	r := &reader{File: f, p: &Plan{}, tariffs: map[string]*logic.Tariff{}, customers: map[string]float64{}, here: map[string]bool{}}
	r.root(root)
	if f.Failed() {
		return nil, f.Faults
	}
	return r.p, f.Faults
}

// reader is on the way from a file to a plan.
type reader struct {
	*settings.File
	p         *Plan
	tariffs   map[string]*logic.Tariff
	customers map[string]float64 // rates
	routed    map[string]bool    // pools that a route goes to
	shares    float64
	here      map[string]bool // addresses at which pools are told by peers
}

func (r *reader) root(t *settings.Table) {
	r.p.Name = t.Text("name", "ottershift")
	r.p.Seed = uint64(t.Number("seed", 0, 0, math.MaxInt64))

	if t.Has("ops") {
		r.p.Ops = t.Address("ops", "the second address, such as \"127.0.0.1:9901\"")
	}

	r.cluster(t)

	l := t.Table("limits")
	r.p.Limits = Limits{
		Cores:       l.Whole("cores", 0, 1, 1024),
		Memory:      l.Size("memory", 0, 16<<20),
		Descriptors: l.Whole("descriptors", 0, 64, 1<<20),
		Bodies:      l.Size("bodies", 0, 1<<20),
		Within:      l.Time("return_within", 0, 50*time.Millisecond),
		Refusals:    l.Number("refusals", 0, 1, 1e6),
	}
	l.End()
	r.p.Limits.complete()

	g := t.Table("log")
	r.p.Log = Log{g.One("level", "info", "debug", "info", "warn", "error"), g.One("format", "text", "text", "json")}
	g.End()

	names, all := t.Named("tariffs")
	for i, name := range names {
		r.tariffs[name] = tariff(all[i])
	}
	names, all = t.Named("customers")
	for i, name := range names {
		r.customers[name] = all[i].Number("rate", 0, 0, 1e9)
		if !all[i].Has("rate") {
			r.Fault(all[i].Path, "rate is missing: transactions a second within its share")
		}
		all[i].End()
	}

	taken := map[string]string{}
	names, all = t.Named("listeners")
	for i, name := range names {
		address := all[i].Address("address", "where clients connect, such as \"127.0.0.1:8000\"")
		if other := taken[address]; other != "" && address != "" {
			r.Fault(all[i].Path, "listens where %q does: several services go through one listener by routes", other)
		}
		taken[address] = name
		all[i].End()
		r.p.Listeners = append(r.p.Listeners, Listener{Name: name, Address: address})
	}
	if len(names) == 0 {
		r.Fault("listeners", "there is none; write [listeners.NAME] with an address")
	}

	names, all = t.Named("pools")
	for i, name := range names {
		r.pool(name, all[i])
	}
	if len(names) == 0 {
		r.Fault("pools", "there is none; write [pools.NAME]")
	}
	if r.shares > 1+1e-9 {
		r.Fault("pools", "the shares of all add up to %.4g; they are parts of one", r.shares)
	}
	r.routes(t)
	t.End()
}

// tariff reads what is promised for one kind of transaction.
func tariff(t *settings.Table) *logic.Tariff {
	f := &logic.Tariff{
		ContractTime: int64(t.Time("contract_time", 0, time.Millisecond)),
		HardStop:     int64(t.Time("hard_stop", 0, time.Millisecond)),
		DedupWindow:  int64(t.Time("remembered", 0, 0)),
		WorkFactor:   t.Number("stretch", 0, 0, 1000),
		Earnings:     t.Number("earnings", 1, 0, 1e9),
		LateEarnings: t.Number("late_earnings", 0.5, 0, 1),
	}
	for _, key := range []string{"contract_time", "hard_stop"} {
		if !t.Has(key) {
			t.F.Fault(t.Path, "%s is missing, such as \"1s\"", key)
		}
	}
	if f.HardStop > 0 && f.ContractTime > f.HardStop {
		t.F.Fault(settings.Join(t.Path, "contract_time"), "%s is beyond the hard stop, %s",
			time.Duration(f.ContractTime), time.Duration(f.HardStop))
	}
	switch t.One("repeat", "once-only", "once-only", "tagged", "repeatable") {
	case "tagged":
		f.Idempotency = logic.Keyed
		if f.DedupWindow == 0 {
			t.F.Fault(t.Path, "remembered is missing: how long upstreams know the repeat of a tagged transaction")
		}
	case "repeatable":
		f.Idempotency = logic.Idempotent
	}
	switch t.One("group", "cell", "cell", "zone", "all") {
	case "zone":
		f.DedupScope = logic.SameZone
	case "all":
		f.DedupScope = logic.Everywhere
	}
	t.End()
	return f
}

// pool reads one pool.
func (r *reader) pool(name string, t *settings.Table) {
	m := &logic.Config{
		Balancers: t.Whole("balancers", 1, 1, 1e6), Index: t.Whole("index", 0, 0, 1e6), Tier: t.Whole("layer", 0, 0, 100),
		MaxAttempts: t.Whole("max_pushes", 3, 1, 64), Hedging: t.Flag("second_copies", true),
		Cancelling: t.Flag("cancelling", true), Probing: t.Flag("probes", true),
		AdviseBackoff: t.Flag("advise_backoff", true), MaxBackoff: int64(t.Time("max_backoff", 2*time.Second, 0)),
		CrossZonePrice: t.Number("cross_zone_price", 0, 0, 1e6),
		ColdShare:      t.Number("cold_share", 0.2, 0.01, 1), WarmUp: int64(t.Time("warm_up", 10*time.Second, 0)),
		OverloadFactor: t.Number("fall_multiple", 3, 1, 1e3), OverloadSpan: int64(t.Time("fall_span", time.Second, time.Millisecond)),
		OverQuotaFactor: t.Number("beyond_share", 0.2, 0, 1),
	}
	b := &terms.Book{
		Terms: m, Tariffs: map[string]int{}, Customers: map[string]int{}, Default: -1,
		DialTimeout: t.Time("dial_timeout", 0, time.Millisecond), IdleClose: t.Time("idle_close", time.Minute, 100*time.Millisecond),
		Plain: t.One("protocol", "plain", "plain", "platform") == "plain", Probe: t.Text("probe_path", ""),
		Zones: t.Texts("zones"),
	}
	m.LiveWeights = t.One("weights", "nominal", "nominal", "live") == "live"
	b.Peers, b.Watch = r.peers(b, t), t.Flag("watch", false)
	m.Peers = len(b.Peers) > 0 || b.Fleet
	if b.Watch && !m.Peers && !m.LiveWeights {
		r.Fault(settings.Join(t.Path, "watch"), "there is nothing to watch: neither weights = \"live\" nor peers is there")
	}
	if m.Index >= m.Balancers {
		r.Fault(t.Path, "index is %d, but there are %d balancers, counted from 0", m.Index, m.Balancers)
	}
	if !strings.HasPrefix(b.Probe, "/") && b.Probe != "" {
		r.Fault(settings.Join(t.Path, "probe_path"), "%q does not begin with \"/\"", b.Probe)
	}
	b.Complete(t.Text("zone", ""))
	r.kinds(b, t)

	p := &Pool{Name: name, Book: b, Share: t.Number("share", -1, 0, 1)}
	r.shares += max(0, p.Share)

	l := t.Table("limits")
	p.Open = int64(l.Whole("open", 0, 1, 1e6))
	p.Connections = int64(l.Whole("connections", 0, 1, 1e6))
	p.Bodies = l.Size("bodies", 0, terms.MostBody)
	l.End()
	r.list(p, t)
	t.End()

	text, err := json.Marshal(b)
	if err != nil {
		r.Fault(t.Path, "%v", err)
	}
	p.Print = string(text)
	r.p.Pools = append(r.p.Pools, p)
}

// peers reads where the balancers of a pool are told what the others hold.
func (r *reader) peers(b *terms.Book, t *settings.Table) []string {
	m := b.Terms
	all, path := t.Texts("peers"), settings.Join(t.Path, "peers")
	if !t.Has("peers") {
		return nil
	}
	if len(all) == 1 && all[0] == "cluster" {
		b.Fleet = true
		switch {
		case r.p.Cluster == nil:
			r.Fault(path, "there is no [cluster] whose members it could take")
		case t.Has("index"):
			r.Fault(settings.Join(t.Path, "index"), "the cluster numbers the balancers; leave it out, or write peers as addresses")
		case t.Flag("watch", false):
			r.Fault(settings.Join(t.Path, "watch"), "a shape that is watched can't change with the members; write peers as addresses, or leave watch out")
		case !t.Has("balancers"):
			r.Remark(path, "cut off from all others for long this balancer would count as the only one, and cold upstreams be sent too much by all "+
				"together; write balancers = N, as many as there are meant to be: never fewer are counted")
		}
		return nil
	}
	if len(all) != m.Balancers {
		r.Fault(path, "there are %d addresses for %d balancers; write one for each, by index", len(all), m.Balancers)
	} else if m.Balancers == 1 {
		r.Fault(path, "one balancer has no peers; leave it out")
	}
	for i, text := range all {
		at := fmt.Sprintf("%s[%d]", path, i)
		if wrong := settings.Reachable(text); wrong != "" {
			r.Fault(at, "%q %s", text, wrong)
		} else if slices.Contains(all[:i], text) {
			r.Fault(at, "%q is another's", text)
		} else if i == m.Index && r.here[text] {
			r.Fault(at, "%q is where another pool is told; each has an address of its own", text)
		} else if i == m.Index {
			r.here[text] = true
		}
	}
	return all
}

// kinds gives a pool its tariffs and customers, all of them if it names none.
func (r *reader) kinds(b *terms.Book, t *settings.Table) {
	names, given := t.Texts("tariffs"), t.Has("tariffs")
	if !given {
		names = keys(r.tariffs)
	}
	for i, name := range names {
		f := r.tariffs[name]
		switch {
		case f == nil:
			r.Fault(fmt.Sprintf("%s[%d]", settings.Join(t.Path, "tariffs"), i), "%q is no tariff%s", name, among(keys(r.tariffs)))
			continue
		case has(b.Tariffs, name):
			r.Fault(settings.Join(t.Path, "tariffs"), "%q stands there twice", name)
			continue
		}
		own := *f // Danger: the module keeps state in it
		b.Tariffs[name] = len(b.Terms.Tariffs)
		b.Terms.Tariffs = append(b.Terms.Tariffs, &own)
	}
	if len(names) == 0 {
		r.Fault(t.Path, "it has no tariff; write [tariffs.NAME] with contract_time and hard_stop")
	}
	if name := t.Text("default_tariff", ""); name != "" {
		if n, known := b.Tariffs[name]; known {
			b.Default = n
		} else {
			r.Fault(settings.Join(t.Path, "default_tariff"), "%q is no tariff of this pool%s", name, among(keys(b.Tariffs)))
		}
	}
	names = t.Texts("customers")
	if !t.Has("customers") {
		names = keys(r.customers)
	}
	for i, name := range names {
		if !has(r.customers, name) {
			r.Fault(fmt.Sprintf("%s[%d]", settings.Join(t.Path, "customers"), i), "%q is no customer%s", name, among(keys(r.customers)))
			continue
		}
		b.Customers[name] = len(b.Terms.Customers)
		b.Terms.Customers = append(b.Terms.Customers, &logic.Customer{Rate: r.customers[name]})
	}
}

// list reads where a pool's list of upstreams comes from.
func (r *reader) list(p *Pool, t *settings.Table) {
	var kinds []string
	for _, key := range []string{"upstreams", "upstreams_file", "discovery"} {
		if t.Has(key) {
			kinds = append(kinds, key)
		}
	}
	switch {
	case len(kinds) == 0:
		r.Fault(t.Path, "it has no list; write upstreams, upstreams_file or discovery")
	case len(kinds) > 1:
		r.Fault(settings.Join(t.Path, kinds[1]), "a list comes from one place, and %s is there", kinds[0])
	}
	p.List.Fixed = listfile.ParseEntries(t)
	if name := t.Text("upstreams_file", ""); name != "" {
		if p.List.File = name; !filepath.IsAbs(name) {
			p.List.File = filepath.Join(filepath.Dir(r.Name), name)
		}
		// Danger: a pool whose file can't be read at its start has nobody; that is to be known before it starts.
		if _, err := listfile.ReadFile(p.List.File); err != nil {
			r.Fault(settings.Join(t.Path, "upstreams_file"), "%v", err)
		}
	}
	p.List.Every = t.Time("upstreams_every", 500*time.Millisecond, 10*time.Millisecond)
	p.List.Discovery = t.Address("discovery", "")
	p.Book.Terms.FollowList = t.One("discovery_mode", "push", "push", "ask") == "ask" && p.List.Discovery != ""
	p.List.Known.Version = discovery.UnknownVersion
	if p.List.Shared = t.Flag("share_list", false); p.List.Shared {
		path := settings.Join(t.Path, "share_list")
		switch {
		case r.p.Cluster == nil || len(r.p.Cluster.Voters) == 0:
			r.Fault(path, "one member asks for all under a token, which keepers give: there is no [cluster] with voters")
		case p.List.Discovery == "" || p.Book.Terms.FollowList:
			r.Fault(path, "only a list that discovery pushes can be shared; write discovery, and no discovery_mode = \"ask\"")
		}
	}
}

// routes reads the route table.
func (r *reader) routes(t *settings.Table) {
	r.routed = map[string]bool{}
	all := t.Tables("routes")
	names := map[string]bool{}
	for i, u := range all {
		route := routes.Route{
			Name: u.Text("name", fmt.Sprintf("route-%d", i+1)), Hosts: u.Texts("hosts"), Paths: u.Texts("paths"),
			Prefixes: u.Texts("prefixes"), Methods: u.Texts("methods"), Listeners: u.Texts("listeners"),
			Pool: u.Must("pool", "which takes its transactions"), Tariff: u.Text("tariff", ""),
		}
		headers := u.Table("headers")
		for _, name := range headers.Names() {
			route.Headers = append(route.Headers, routes.Header{Name: http.CanonicalHeaderKey(name), Value: headers.Text(name, "")})
		}
		if class := u.Text("class", ""); class != "" {
			route.Headers = append(route.Headers, routes.Header{Name: "X-Lane", Value: class})
		}
		if names[route.Name] {
			r.Fault(settings.Join(u.Path, "name"), "%q is another's name", route.Name)
		}
		names[route.Name] = true
		for _, l := range route.Listeners {
			if !slices.ContainsFunc(r.p.Listeners, func(x Listener) bool { return x.Name == l }) {
				r.Fault(settings.Join(u.Path, "listeners"), "%q is no listener", l)
			}
		}
		i := slices.IndexFunc(r.p.Pools, func(p *Pool) bool { return p.Name == route.Pool })
		switch {
		case i < 0 && route.Pool != "":
			var there []string
			for _, p := range r.p.Pools {
				there = append(there, p.Name)
			}
			r.Fault(settings.Join(u.Path, "pool"), "%q is no pool%s", route.Pool, among(there))
		case i >= 0 && route.Tariff != "" && !has(r.p.Pools[i].Book.Tariffs, route.Tariff):
			r.Fault(settings.Join(u.Path, "tariff"), "%q is no tariff of pool %q%s", route.Tariff, route.Pool,
				among(keys(r.p.Pools[i].Book.Tariffs)))
		}
		r.routed[route.Pool] = true
		u.End()
		r.p.Routes = append(r.p.Routes, route)
	}
	if len(all) == 0 {
		r.Fault("routes", "there is none; write [[routes]] with a pool")
	}
	for _, p := range r.p.Pools {
		if !r.routed[p.Name] && len(all) > 0 {
			r.Remark("pools."+p.Name, "no route goes to it")
		}
	}
	var faults []routes.Fault
	r.p.Table, faults = routes.New(r.p.Routes)
	for _, x := range faults {
		path := all[x.Route].Path
		text := fmt.Sprintf("route %q %s", r.p.Routes[x.Route].Name, x.Text)
		if x.Key != "" {
			path, text = settings.Join(path, x.Key), x.Text
		}
		if x.Remark {
			r.Remark(path, "%s", text)
		} else {
			r.Fault(path, "%s", text)
		}
	}
}

// keys are in the order of the alphabet.
func keys[V any](m map[string]V) (all []string) {
	for k := range m {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

func has[V any](m map[string]V, key string) bool {
	_, some := m[key]
	return some
}

func among(words []string) string {
	if len(words) == 0 || len(words) > 20 {
		return ""
	}
	return "; there are " + strings.Join(words, ", ")
}
