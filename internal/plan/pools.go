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

// Read decodes a TOML file. It returns all faults and warnings at once; the plan is nil if any of them is a fault.
func Read(path string) (*Plan, []settings.Fault) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, []settings.Fault{{File: path, Text: errors.Unwrap(err).Error()}}
	}
	return Parse(path, text, os.LookupEnv)
}

// Parse decodes a TOML text like Read. Relative paths in it are relative to the folder of name; getenv looks up environment
// variables.
func Parse(name string, text []byte, getenv func(string) (string, bool)) (*Plan, []settings.Fault) {
	f, root := settings.Parse(name, text, getenv)
	if root == nil {
		return nil, f.Faults
	}
	r := &reader{
		File: f, plan: &Plan{}, tariffs: map[string]*logic.Tariff{}, customers: map[string]float64{},
		ownPeerAddresses: map[string]bool{},
	}
	r.root(root)
	if f.Finish() {
		return nil, f.Faults
	}
	return r.plan, f.Faults
}

// reader holds the state of decoding a file into a plan.
type reader struct {
	*settings.File
	plan             *Plan
	tariffs          map[string]*logic.Tariff
	customers        map[string]float64 // transactions per second, by name
	routedPools      map[string]bool    // names of pools with a route
	shareSum         float64            // of the configured shares of all pools
	ownPeerAddresses map[string]bool    // peer addresses of this process, over all pools
}

// root reads the whole file.
func (r *reader) root(t *settings.Table) {
	r.plan.Name = t.Text("name", "ottershift")
	r.plan.Seed = uint64(t.Number("seed", 0, 0, math.MaxInt64))

	if t.Has("ops") {
		r.plan.OpsAddress = t.Address("ops", "the address for operations, such as \"127.0.0.1:9901\"")
	}

	r.cluster(t)

	limits := t.Table("limits")
	r.plan.Limits = Limits{
		Cores:        limits.Int("cores", 0, 1, 1024),
		MemoryBytes:  limits.Size("memory", 0, 16<<20),
		Descriptors:  limits.Int("descriptors", 0, 64, 1<<20),
		BodyBytes:    limits.Size("bodies", 0, 1<<20),
		ReturnWithin: limits.Duration("return_within", 0, 50*time.Millisecond),
		RefusalRate:  limits.Number("refusals", 0, 1, 1e6),
	}
	limits.ReportUnknownKeys()
	r.plan.Limits.applyDefaults()

	logTable := t.Table("log")
	r.plan.Log = Log{logTable.Choice("level", "info", "debug", "info", "warn", "error"), logTable.Choice("format", "text", "text", "json")}
	logTable.ReportUnknownKeys()

	names, tables := t.NamedTables("tariffs")
	for i, name := range names {
		r.tariffs[name] = readTariff(tables[i])
	}
	names, tables = t.NamedTables("customers")
	for i, name := range names {
		r.customers[name] = tables[i].Number("rate", 0, 0, 1e9)
		if !tables[i].Has("rate") {
			r.Fault(tables[i].Path, "rate is missing: the transactions per second within the quota of the customer")
		}
		tables[i].ReportUnknownKeys()
	}

	listenerByAddress := map[string]string{}
	names, tables = t.NamedTables("listeners")
	for i, name := range names {
		address := tables[i].Address("address", "where clients connect, such as \"127.0.0.1:8000\"")
		if other := listenerByAddress[address]; other != "" && address != "" {
			r.Fault(tables[i].Path, "has the same address as %q; use routes to serve several pools through one listener", other)
		}
		listenerByAddress[address] = name
		tables[i].ReportUnknownKeys()
		r.plan.Listeners = append(r.plan.Listeners, Listener{Name: name, Address: address})
	}
	if len(names) == 0 {
		r.Fault("listeners", "none are configured; write [listeners.NAME] with an address")
	}

	names, tables = t.NamedTables("pools")
	for i, name := range names {
		r.pool(name, tables[i])
	}
	if len(names) == 0 {
		r.Fault("pools", "none are configured; write [pools.NAME]")
	}
	if r.shareSum > 1+1e-9 {
		r.Fault("pools", "the shares of all pools add up to %.4g; the maximum is 1", r.shareSum)
	}
	r.routes(t)
	t.ReportUnknownKeys()
}

// readTariff reads the guarantees for one kind of transaction.
func readTariff(t *settings.Table) *logic.Tariff {
	tariff := &logic.Tariff{
		ContractTime: int64(t.Duration("contract_time", 0, time.Millisecond)),
		HardStop:     int64(t.Duration("hard_stop", 0, time.Millisecond)),
		DedupWindow:  int64(t.Duration("remembered", 0, 0)),
		WorkFactor:   t.Number("stretch", 0, 0, 1000),
		Earnings:     t.Number("earnings", 1, 0, 1e9),
		LateEarnings: t.Number("late_earnings", 0.5, 0, 1),
	}
	for _, key := range []string{"contract_time", "hard_stop"} {
		if !t.Has(key) {
			t.File.Fault(t.Path, "%s is missing, such as \"1s\"", key)
		}
	}
	if tariff.HardStop > 0 && tariff.ContractTime > tariff.HardStop {
		t.File.Fault(settings.JoinPath(t.Path, "contract_time"), "%s is beyond the hard stop, %s",
			time.Duration(tariff.ContractTime), time.Duration(tariff.HardStop))
	}
	switch t.Choice("repeat", "once-only", "once-only", "tagged", "repeatable") {
	case "tagged":
		tariff.Idempotency = logic.Keyed
		if tariff.DedupWindow == 0 {
			t.File.Fault(t.Path, "remembered is missing: how long upstreams recognize the repetition of a tagged transaction")
		}
	case "repeatable":
		tariff.Idempotency = logic.Idempotent
	}
	switch t.Choice("group", "cell", "cell", "zone", "all") {
	case "zone":
		tariff.DedupScope = logic.SameZone
	case "all":
		tariff.DedupScope = logic.Everywhere
	}
	t.ReportUnknownKeys()
	return tariff
}

// pool reads one pool.
func (r *reader) pool(name string, t *settings.Table) {
	engine := &logic.Config{
		Balancers: t.Int("balancers", 1, 1, 1e6), Index: t.Int("index", 0, 0, 1e6), Tier: t.Int("layer", 0, 0, 100),
		MaxAttempts: t.Int("max_pushes", 3, 1, 64), Hedging: t.Bool("second_copies", true),
		Cancelling: t.Bool("cancelling", true), Probing: t.Bool("probes", true),
		AdviseBackoff: t.Bool("advise_backoff", true), MaxBackoff: int64(t.Duration("max_backoff", 2*time.Second, 0)),
		CrossZonePrice: t.Number("cross_zone_price", 0, 0, 1e6),
		ColdShare:      t.Number("cold_share", 0.2, 0.01, 1), WarmUp: int64(t.Duration("warm_up", 10*time.Second, 0)),
		OverloadFactor: t.Number("fall_multiple", 3, 1, 1e3), OverloadSpan: int64(t.Duration("fall_span", time.Second, time.Millisecond)),
		OverQuotaFactor: t.Number("beyond_share", 0.2, 0, 1),
	}
	poolSettings := &terms.Settings{
		Engine: engine, Tariffs: map[string]int{}, Customers: map[string]int{}, DefaultTariff: -1,
		DialTimeout: t.Duration("dial_timeout", 0, time.Millisecond), IdleTimeout: t.Duration("idle_close", time.Minute, 100*time.Millisecond),
		PlainHTTP: t.Choice("protocol", "plain", "plain", "platform") == "plain", ProbePath: t.Text("probe_path", ""),
		Zones: t.Strings("zones"),
	}
	engine.LiveWeights = t.Choice("weights", "nominal", "nominal", "live") == "live"
	poolSettings.PeerAddresses, poolSettings.Shadow = r.peers(poolSettings, t), t.Bool("watch", false)
	engine.Peers = len(poolSettings.PeerAddresses) > 0 || poolSettings.ClusterPeers
	if poolSettings.Shadow && !engine.Peers && !engine.LiveWeights {
		r.Fault(settings.JoinPath(t.Path, "watch"), "requires weights = \"live\" or peers")
	}
	if engine.Index >= engine.Balancers {
		r.Fault(t.Path, "index is %d, but there are only %d balancers, counted from 0", engine.Index, engine.Balancers)
	}
	if !strings.HasPrefix(poolSettings.ProbePath, "/") && poolSettings.ProbePath != "" {
		r.Fault(settings.JoinPath(t.Path, "probe_path"), "%q does not begin with \"/\"", poolSettings.ProbePath)
	}
	poolSettings.ApplyDefaults(t.Text("zone", ""))
	r.tariffsAndCustomers(poolSettings, t)

	pool := &Pool{Name: name, Settings: poolSettings, Share: t.Number("share", -1, 0, 1)}
	r.shareSum += max(0, pool.Share)

	limits := t.Table("limits")
	pool.MaxTransactions = int64(limits.Int("open", 0, 1, 1e6))
	pool.MaxConnections = int64(limits.Int("connections", 0, 1, 1e6))
	pool.MaxBodyBytes = limits.Size("bodies", 0, terms.GuaranteedBodyBytes)
	limits.ReportUnknownKeys()
	r.upstreams(pool, t)
	t.ReportUnknownKeys()

	text, err := json.Marshal(poolSettings)
	if err != nil {
		r.Fault(t.Path, "%v", err)
	}
	pool.Fingerprint = string(text)
	r.plan.Pools = append(r.plan.Pools, pool)
}

// peers reads the addresses at which the balancers of a pool exchange their state.
func (r *reader) peers(poolSettings *terms.Settings, t *settings.Table) []string {
	engine := poolSettings.Engine
	addresses, path := t.Strings("peers"), settings.JoinPath(t.Path, "peers")
	if !t.Has("peers") {
		return nil
	}
	if len(addresses) == 1 && addresses[0] == "cluster" {
		poolSettings.ClusterPeers = true
		switch {
		case r.plan.Cluster == nil:
			r.Fault(path, "peers = \"cluster\" requires a [cluster] table")
		case t.Has("index"):
			r.Fault(settings.JoinPath(t.Path, "index"), "the cluster assigns the indexes of the balancers; remove index, or list the addresses of the peers")
		case t.Bool("watch", false):
			r.Fault(settings.JoinPath(t.Path, "watch"), "watch does not support peers that change with the members of the cluster; list the addresses of the peers, or remove watch")
		case !t.Has("balancers"):
			r.Warn(path, "a balancer that is cut off from all others for long would assume that it is the only one, and all balancers together "+
				"would overload cold upstreams; write balancers = N, the planned number, as the minimum that is assumed")
		}
		return nil
	}
	if len(addresses) != engine.Balancers {
		r.Fault(path, "there are %d addresses for %d balancers; write one for each, in the order of their indexes", len(addresses), engine.Balancers)
	} else if engine.Balancers == 1 {
		r.Fault(path, "a single balancer has no peers; remove peers")
	}
	for i, text := range addresses {
		keyPath := fmt.Sprintf("%s[%d]", path, i)
		if problem := settings.AddressProblem(text); problem != "" {
			r.Fault(keyPath, "%q %s", text, problem)
		} else if slices.Contains(addresses[:i], text) {
			r.Fault(keyPath, "%q is already the address of another balancer", text)
		} else if i == engine.Index && r.ownPeerAddresses[text] {
			r.Fault(keyPath, "%q is already the peer address of another pool; each pool needs its own", text)
		} else if i == engine.Index {
			r.ownPeerAddresses[text] = true
		}
	}
	return addresses
}

// tariffsAndCustomers reads the tariffs and customers of a pool; by default a pool has all of them.
func (r *reader) tariffsAndCustomers(poolSettings *terms.Settings, t *settings.Table) {
	names, listed := t.Strings("tariffs"), t.Has("tariffs")
	if !listed {
		names = sortedKeys(r.tariffs)
	}
	for i, name := range names {
		tariff := r.tariffs[name]
		switch {
		case tariff == nil:
			r.Fault(fmt.Sprintf("%s[%d]", settings.JoinPath(t.Path, "tariffs"), i), "%q is no tariff%s", name, availableNames(sortedKeys(r.tariffs)))
			continue
		case hasKey(poolSettings.Tariffs, name):
			r.Fault(settings.JoinPath(t.Path, "tariffs"), "%q is listed twice", name)
			continue
		}
		copied := *tariff // the decision engine keeps state in it, so pools must not share it
		poolSettings.Tariffs[name] = len(poolSettings.Engine.Tariffs)
		poolSettings.Engine.Tariffs = append(poolSettings.Engine.Tariffs, &copied)
	}
	if len(names) == 0 {
		r.Fault(t.Path, "the pool has no tariff; write [tariffs.NAME] with contract_time and hard_stop")
	}
	if name := t.Text("default_tariff", ""); name != "" {
		if number, known := poolSettings.Tariffs[name]; known {
			poolSettings.DefaultTariff = number
		} else {
			r.Fault(settings.JoinPath(t.Path, "default_tariff"), "%q is not a tariff of this pool%s", name, availableNames(sortedKeys(poolSettings.Tariffs)))
		}
	}
	names = t.Strings("customers")
	if !t.Has("customers") {
		names = sortedKeys(r.customers)
	}
	for i, name := range names {
		if !hasKey(r.customers, name) {
			r.Fault(fmt.Sprintf("%s[%d]", settings.JoinPath(t.Path, "customers"), i), "%q is not a customer%s", name, availableNames(sortedKeys(r.customers)))
			continue
		}
		poolSettings.Customers[name] = len(poolSettings.Engine.Customers)
		poolSettings.Engine.Customers = append(poolSettings.Engine.Customers, &logic.Customer{Rate: r.customers[name]})
	}
}

// upstreams reads the source of a pool's list of upstreams.
func (r *reader) upstreams(pool *Pool, t *settings.Table) {
	var sources []string
	for _, key := range []string{"upstreams", "upstreams_file", "discovery"} {
		if t.Has(key) {
			sources = append(sources, key)
		}
	}
	switch {
	case len(sources) == 0:
		r.Fault(t.Path, "the pool has no list of upstreams; write upstreams, upstreams_file or discovery")
	case len(sources) > 1:
		r.Fault(settings.JoinPath(t.Path, sources[1]), "a pool has a single source of upstreams, and %s is already set", sources[0])
	}
	pool.Upstreams.Static = listfile.ParseEntries(t)
	if name := t.Text("upstreams_file", ""); name != "" {
		if pool.Upstreams.File = name; !filepath.IsAbs(name) {
			pool.Upstreams.File = filepath.Join(filepath.Dir(r.Name), name)
		}
		// A pool whose file cannot be read has no upstreams, so this is reported before the process starts.
		if _, err := listfile.ReadFile(pool.Upstreams.File); err != nil {
			r.Fault(settings.JoinPath(t.Path, "upstreams_file"), "%v", err)
		}
	}
	pool.Upstreams.PollInterval = t.Duration("upstreams_every", 500*time.Millisecond, 10*time.Millisecond)
	pool.Upstreams.Discovery = t.Address("discovery", "")
	pool.Settings.Engine.FollowList = t.Choice("discovery_mode", "push", "push", "ask") == "ask" && pool.Upstreams.Discovery != ""
	pool.Upstreams.Initial.Version = discovery.UnknownVersion
	if pool.Upstreams.Shared = t.Bool("share_list", false); pool.Upstreams.Shared {
		path := settings.JoinPath(t.Path, "share_list")
		switch {
		case r.plan.Cluster == nil || len(r.plan.Cluster.Voters) == 0:
			r.Fault(path, "the member that queries discovery for all is agreed on by voters, and there is no [cluster] with voters")
		case pool.Upstreams.Discovery == "" || pool.Settings.Engine.FollowList:
			r.Fault(path, "only a list that discovery pushes can be shared; set discovery, and do not set discovery_mode = \"ask\"")
		}
	}
}

// routes reads the route table.
func (r *reader) routes(t *settings.Table) {
	r.routedPools = map[string]bool{}
	tables := t.Tables("routes")
	names := map[string]bool{}
	for i, table := range tables {
		route := routes.Route{
			Name: table.Text("name", fmt.Sprintf("route-%d", i+1)), Hosts: table.Strings("hosts"), Paths: table.Strings("paths"),
			Prefixes: table.Strings("prefixes"), Methods: table.Strings("methods"), Listeners: table.Strings("listeners"),
			Pool: table.RequiredText("pool", "the pool that handles its transactions"), Tariff: table.Text("tariff", ""),
		}
		headers := table.Table("headers")
		for _, name := range headers.Keys() {
			route.Headers = append(route.Headers, routes.Header{Name: http.CanonicalHeaderKey(name), Value: headers.Text(name, "")})
		}
		if class := table.Text("class", ""); class != "" {
			route.Headers = append(route.Headers, routes.Header{Name: "X-Lane", Value: class})
		}
		if names[route.Name] {
			r.Fault(settings.JoinPath(table.Path, "name"), "%q is already the name of another route", route.Name)
		}
		names[route.Name] = true
		for _, name := range route.Listeners {
			if !slices.ContainsFunc(r.plan.Listeners, func(fault Listener) bool { return fault.Name == name }) {
				r.Fault(settings.JoinPath(table.Path, "listeners"), "%q is not a listener", name)
			}
		}
		i := slices.IndexFunc(r.plan.Pools, func(p *Pool) bool { return p.Name == route.Pool })
		switch {
		case i < 0 && route.Pool != "":
			var poolNames []string
			for _, p := range r.plan.Pools {
				poolNames = append(poolNames, p.Name)
			}
			r.Fault(settings.JoinPath(table.Path, "pool"), "%q is not a pool%s", route.Pool, availableNames(poolNames))
		case i >= 0 && route.Tariff != "" && !hasKey(r.plan.Pools[i].Settings.Tariffs, route.Tariff):
			r.Fault(settings.JoinPath(table.Path, "tariff"), "%q is not a tariff of pool %q%s", route.Tariff, route.Pool,
				availableNames(sortedKeys(r.plan.Pools[i].Settings.Tariffs)))
		}
		r.routedPools[route.Pool] = true
		table.ReportUnknownKeys()
		r.plan.Routes = append(r.plan.Routes, route)
	}
	if len(tables) == 0 {
		r.Fault("routes", "none are configured; write [[routes]] with a pool")
	}
	for _, p := range r.plan.Pools {
		if !r.routedPools[p.Name] && len(tables) > 0 {
			r.Warn("pools."+p.Name, "no route leads to this pool")
		}
	}
	var faults []routes.Fault
	r.plan.Table, faults = routes.New(r.plan.Routes)
	for _, fault := range faults {
		path := tables[fault.RouteIndex].Path
		text := fmt.Sprintf("route %q %s", r.plan.Routes[fault.RouteIndex].Name, fault.Text)
		if fault.Key != "" {
			path, text = settings.JoinPath(path, fault.Key), fault.Text
		}
		if fault.Warning {
			r.Warn(path, "%s", text)
		} else {
			r.Fault(path, "%s", text)
		}
	}
}

// sortedKeys returns the keys of a map in alphabetical order.
func sortedKeys[V any](m map[string]V) (keys []string) {
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// hasKey reports whether a map has a key.
func hasKey[V any](m map[string]V, key string) bool {
	_, found := m[key]
	return found
}

// availableNames lists the valid names for a message; it returns "" if there are none or more than 20.
func availableNames(names []string) string {
	if len(names) == 0 || len(names) > 20 {
		return ""
	}
	return "; there are " + strings.Join(names, ", ")
}
