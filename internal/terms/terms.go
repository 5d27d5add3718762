// Package terms decodes the settings that a balancer is given at its start, for every door it may serve.
package terms

import (
	"slices"
	"time"

	"github.com/valyala/fastjson"

	"ottershift/logic"
)

const (
	nanosPerMicrosecond = 1000
	defaultDialTimeout  = time.Second // where nothing is said; without any limit a push to a machine cut off would hang
	defaultProbePath    = "/ping"     // as the platform has it
)

// GuaranteedBodyBytes is the bytes of a message that are held for certain, either way.
const GuaranteedBodyBytes = 64 << 10

// Settings is the settings as a balancer uses them: the module's terms, the names behind its numbers, and what only
// a network is told.
type Settings struct {
	Engine    *logic.Config `json:"Terms"`
	Tariffs   map[string]int
	Customers map[string]int
	Zones     []string // their places are the numbers in Terms

	DialTimeout time.Duration // until a connection counts as not to be had
	IdleTimeout time.Duration `json:"IdleClose"` // an upstream closes what stood idle so long

	PlainHTTP     bool   `json:"Plain"`   // ordinary HTTP towards clients and upstreams, not the platform's protocol
	DefaultTariff int    `json:"Default"` // tariff of a plain transaction that names none; -1 for none
	ProbePath     string `json:"Probe"`   // path of a probe

	PeerAddresses []string `json:"Peers"` // addresses of the balancers, by index, that tell one another what they hold; none where they don't
	ClusterPeers  bool     `json:"Fleet"` // the balancers are the members of the cluster; Terms.Balancers is the least that count
	Shadow        bool     `json:"Watch"` // decides without live weights and peers, and counts what these would have changed
}

// ApplyDefaults fills in what isn't said, for every format.
func (settings *Settings) ApplyDefaults(zone string) {
	if settings.DialTimeout <= 0 {
		settings.DialTimeout = defaultDialTimeout
	}
	if settings.ProbePath == "" {
		settings.ProbePath = defaultProbePath
	}
	if settings.Engine.Zone = slices.Index(settings.Zones, zone); settings.Engine.Zone < 0 {
		settings.Engine.Zone = len(settings.Zones)
		settings.Zones = append(settings.Zones, zone)
	}
}

// TariffName is a tariff's by its number.
func (settings *Settings) TariffName(tariff int) string {
	for name, n := range settings.Tariffs {
		if n == tariff {
			return name
		}
	}
	return ""
}

// Shard is the book of one of several modules that share a balancer's work, as if each were a balancer. Danger: the module
// keeps state in tariffs and customers, so each has its own.
func (settings *Settings) Shard(index, count int) *Settings {
	shard, engine := *settings, *settings.Engine
	engine.Balancers, engine.Index = engine.Balancers*count, engine.Index*count+index
	engine.Seed += uint64(index) * 0x9e3779b97f4a7c15
	engine.Tariffs, engine.Customers = nil, nil
	for _, tariff := range settings.Engine.Tariffs {
		own := *tariff
		engine.Tariffs = append(engine.Tariffs, &own)
	}
	for _, customer := range settings.Engine.Customers {
		own := *customer
		engine.Customers = append(engine.Customers, &own)
	}
	shard.Engine = &engine
	return &shard
}

// KeepLearned takes over from an earlier book what was learnt of tariffs and customers that are told as before.
func (settings *Settings) KeepLearned(earlier *Settings) {
	for name, n := range settings.Tariffs {
		if m, was := earlier.Tariffs[name]; was && settings.Engine.Tariffs[n].Same(earlier.Engine.Tariffs[m]) {
			settings.Engine.Tariffs[n] = earlier.Engine.Tariffs[m]
		}
	}
	for name, n := range settings.Customers {
		if m, was := earlier.Customers[name]; was && settings.Engine.Customers[n].Rate == earlier.Engine.Customers[m].Rate {
			settings.Engine.Customers[n] = earlier.Engine.Customers[m]
		}
	}
}

// CanReplace reports whether a pool that goes by this book can take another in service: all that is built by it stays.
func (settings *Settings) CanReplace(other *Settings) bool {
	own, wanted := settings.Engine, other.Engine
	if settings.ClusterPeers && other.ClusterPeers { // who the balancers are changes in service there
		own, wanted = &logic.Config{Tier: own.Tier, LiveWeights: own.LiveWeights}, &logic.Config{Tier: wanted.Tier, LiveWeights: wanted.LiveWeights}
	}
	return settings.ClusterPeers == other.ClusterPeers && settings.DialTimeout == other.DialTimeout && settings.IdleTimeout == other.IdleTimeout && settings.PlainHTTP == other.PlainHTTP && settings.ProbePath == other.ProbePath &&
		!settings.Shadow && !other.Shadow && slices.Equal(settings.PeerAddresses, other.PeerAddresses) && own.Peers == wanted.Peers && own.LiveWeights == wanted.LiveWeights &&
		own.Balancers == wanted.Balancers && own.Index == wanted.Index && own.Tier == wanted.Tier
}

// ForBalancer is the book of one of so many balancers, of which this is the one at an index.
func (settings *Settings) ForBalancer(balancers, index int) *Settings {
	balancer := settings.Shard(0, 1)
	balancer.Engine.Balancers, balancer.Engine.Index, balancer.Engine.Peers = balancers, index, balancers > 1
	return balancer
}

// WithoutLiveAndPeers is the book without what came with the newer shape: live weights and peers.
func (settings *Settings) WithoutLiveAndPeers() *Settings {
	reduced := settings.Shard(0, 1)
	reduced.Engine.LiveWeights, reduced.Engine.Peers, reduced.Shadow = false, false, false
	return reduced
}

// Decode decodes the settings. What is absent stays zero: logic.New refuses what it can't work with.
func Decode(env *fastjson.Value, seed uint64) *Settings {
	limits, guarantees := env.Get("limits"), env.Get("guarantees")
	engine := &logic.Config{
		Seed: seed, Balancers: env.GetInt("fleet_size"), Index: env.GetInt("self_index"),
		Tier:        env.GetInt("layer"),
		MaxAttempts: limits.GetInt("max_pushes"), Hedging: limits.GetBool("second_copies"),
		Cancelling: limits.GetBool("cancelling"), Probing: limits.GetBool("probes"),
		AdviseBackoff: limits.GetBool("retry_after"), MaxBackoff: limits.GetInt64("max_retry_after") * nanosPerMicrosecond,
		LiveWeights: string(env.GetStringBytes("weight_source")) == "live", Peers: limits.GetBool("peers"),
		FollowList: string(env.GetStringBytes("registry_mode")) == "ask",
		ColdShare:  guarantees.GetFloat64("cold_from"), WarmUp: guarantees.GetInt64("ramp_time") * nanosPerMicrosecond,
		OverloadFactor: guarantees.GetFloat64("fall_multiple"), OverloadSpan: guarantees.GetInt64("overload_for") * nanosPerMicrosecond,
		CrossZonePrice: env.GetFloat64("fees", "cross_zone"), OverQuotaFactor: env.GetFloat64("beyond_share_earnings"),
	}
	settings := &Settings{
		Engine: engine, Tariffs: map[string]int{}, Customers: map[string]int{}, DefaultTariff: -1,
		DialTimeout: time.Duration(limits.GetInt64("dial_timeout")) * time.Microsecond,
		IdleTimeout: time.Duration(limits.GetInt64("idle_close")) * time.Microsecond,
	}
	for _, z := range env.GetArray("zones") {
		settings.Zones = append(settings.Zones, string(z.GetStringBytes()))
	}
	settings.ApplyDefaults(string(env.GetStringBytes("zone")))
	for n, c := range env.GetArray("tariffs") {
		settings.Tariffs[string(c.GetStringBytes("name"))] = n
		engine.Tariffs = append(engine.Tariffs, decodeTariff(c))
	}
	for n, c := range env.GetArray("tenants") {
		settings.Customers[string(c.GetStringBytes("name"))] = n
		engine.Customers = append(engine.Customers, &logic.Customer{Rate: c.GetFloat64("quota_rps")})
	}
	return settings
}

func decodeTariff(value *fastjson.Value) *logic.Tariff {
	decoded := &logic.Tariff{
		DedupWindow: value.GetInt64("dedup_window") * nanosPerMicrosecond, ContractTime: value.GetInt64("contract_time") * nanosPerMicrosecond,
		HardStop:   value.GetInt64("hard_stop") * nanosPerMicrosecond,
		WorkFactor: value.GetFloat64("aim_stretch"), Earnings: value.GetFloat64("earnings"),
		LateEarnings: value.GetFloat64("late_earnings"),
	}
	switch string(value.GetStringBytes("effect")) {
	case "idempotent":
		decoded.Idempotency = logic.Idempotent
	case "deduplicated":
		decoded.Idempotency = logic.Keyed
	}
	switch string(value.GetStringBytes("group")) {
	case "all":
		decoded.DedupScope = logic.Everywhere
	case "zone":
		decoded.DedupScope = logic.SameZone
	}
	return decoded
}
