// Package terms holds the settings of a pool as the decision engine (package logic) uses them, and decodes the platform's
// format of them.
package terms

import (
	"slices"
	"time"

	"github.com/valyala/fastjson"

	"ottershift/logic"
)

const (
	nanosPerMicrosecond = 1000        // the platform states times in microseconds, the engine uses nanoseconds
	defaultDialTimeout  = time.Second // without a limit, an attempt at an unreachable machine would hang
	defaultProbePath    = "/ping"     // the path that the platform uses
)

// GuaranteedBodyBytes is the part of a request or response body for which buffer space is always available.
const GuaranteedBodyBytes = 64 << 10

// Settings are the settings of a pool: the configuration of the decision engine, the names of the entries that it identifies
// by number, and the settings that only the network side uses. The tags keep the field names of the encoding from which a
// pool's fingerprint is made.
type Settings struct {
	Engine    *logic.Config  `json:"Terms"`
	Tariffs   map[string]int // numbers in Engine, by name
	Customers map[string]int // numbers in Engine, by name
	Zones     []string       // the index is the number in Engine

	DialTimeout time.Duration // timeout for connecting to an upstream
	IdleTimeout time.Duration `json:"IdleClose"` // upstreams close connections that are idle this long

	PlainHTTP     bool   `json:"Plain"`   // ordinary HTTP to clients and upstreams instead of the platform's protocol
	DefaultTariff int    `json:"Default"` // tariff of plain HTTP transactions that name none; -1 for none
	ProbePath     string `json:"Probe"`   // path of probe requests

	PeerAddresses []string `json:"Peers"` // by balancer index: where the balancers exchange their state; empty if they don't
	ClusterPeers  bool     `json:"Fleet"` // the balancers are the members of the cluster; at least Engine.Balancers are assumed
	Shadow        bool     `json:"Watch"` // decide without live weights and peers, and count what these would have changed
}

// ApplyDefaults fills in missing settings, for all formats, and sets the number of the zone.
func (s *Settings) ApplyDefaults(zone string) {
	if s.DialTimeout <= 0 {
		s.DialTimeout = defaultDialTimeout
	}
	if s.ProbePath == "" {
		s.ProbePath = defaultProbePath
	}
	if s.Engine.Zone = slices.Index(s.Zones, zone); s.Engine.Zone < 0 {
		s.Engine.Zone = len(s.Zones)
		s.Zones = append(s.Zones, zone)
	}
}

// TariffName returns the name of a tariff by its number, or "" if there is none.
func (s *Settings) TariffName(tariff int) string {
	for name, n := range s.Tariffs {
		if n == tariff {
			return name
		}
	}
	return ""
}

// Shard returns the settings of one of several decision engines that share a balancer's work, each acting as a balancer of
// its own. Tariffs and customers are copied, because the engine keeps state in them.
func (s *Settings) Shard(index, count int) *Settings {
	shard, engine := *s, *s.Engine
	engine.Balancers, engine.Index = engine.Balancers*count, engine.Index*count+index
	engine.Seed += uint64(index) * 0x9e3779b97f4a7c15
	engine.Tariffs, engine.Customers = nil, nil
	for _, tariff := range s.Engine.Tariffs {
		copied := *tariff
		engine.Tariffs = append(engine.Tariffs, &copied)
	}
	for _, customer := range s.Engine.Customers {
		copied := *customer
		engine.Customers = append(engine.Customers, &copied)
	}
	shard.Engine = &engine
	return &shard
}

// KeepLearned takes over the learned state of those tariffs and customers that are the same in the earlier settings.
func (s *Settings) KeepLearned(earlier *Settings) {
	for name, number := range s.Tariffs {
		if earlierNumber, found := earlier.Tariffs[name]; found && s.Engine.Tariffs[number].Same(earlier.Engine.Tariffs[earlierNumber]) {
			s.Engine.Tariffs[number] = earlier.Engine.Tariffs[earlierNumber]
		}
	}
	for name, number := range s.Customers {
		if earlierNumber, found := earlier.Customers[name]; found && s.Engine.Customers[number].Rate == earlier.Engine.Customers[earlierNumber].Rate {
			s.Engine.Customers[number] = earlier.Engine.Customers[earlierNumber]
		}
	}
}

// CanSwitchTo reports whether a running pool with these settings can switch to the other ones. That is possible if nothing
// changes that is built only at the start of the pool.
func (s *Settings) CanSwitchTo(other *Settings) bool {
	engine, otherEngine := s.Engine, other.Engine
	if s.ClusterPeers && other.ClusterPeers { // the balancers of a cluster may change while the pool runs
		engine, otherEngine = &logic.Config{Tier: engine.Tier, LiveWeights: engine.LiveWeights},
			&logic.Config{Tier: otherEngine.Tier, LiveWeights: otherEngine.LiveWeights}
	}
	return s.ClusterPeers == other.ClusterPeers && s.DialTimeout == other.DialTimeout &&
		s.IdleTimeout == other.IdleTimeout &&
		s.PlainHTTP == other.PlainHTTP && s.ProbePath == other.ProbePath &&
		!s.Shadow && !other.Shadow && slices.Equal(s.PeerAddresses, other.PeerAddresses) &&
		engine.Peers == otherEngine.Peers && engine.LiveWeights == otherEngine.LiveWeights &&
		engine.Balancers == otherEngine.Balancers && engine.Index == otherEngine.Index && engine.Tier == otherEngine.Tier
}

// ForBalancer returns the settings of the balancer at an index among a number of balancers.
func (s *Settings) ForBalancer(balancers, index int) *Settings {
	balancer := s.Shard(0, 1)
	balancer.Engine.Balancers, balancer.Engine.Index, balancer.Engine.Peers = balancers, index, balancers > 1
	return balancer
}

// WithoutLiveAndPeers returns the settings without live weights, peers and shadow mode.
func (s *Settings) WithoutLiveAndPeers() *Settings {
	reduced := s.Shard(0, 1)
	reduced.Engine.LiveWeights, reduced.Engine.Peers, reduced.Shadow = false, false, false
	return reduced
}

// Decode decodes the settings from the platform's JSON. Missing values stay zero; logic.New refuses those that it cannot
// work with.
func Decode(document *fastjson.Value, seed uint64) *Settings {
	limits, guarantees := document.Get("limits"), document.Get("guarantees")
	engine := &logic.Config{
		Seed: seed, Balancers: document.GetInt("fleet_size"), Index: document.GetInt("self_index"),
		Tier:        document.GetInt("layer"),
		MaxAttempts: limits.GetInt("max_pushes"), Hedging: limits.GetBool("second_copies"),
		Cancelling: limits.GetBool("cancelling"), Probing: limits.GetBool("probes"),
		AdviseBackoff: limits.GetBool("retry_after"), MaxBackoff: limits.GetInt64("max_retry_after") * nanosPerMicrosecond,
		LiveWeights: string(document.GetStringBytes("weight_source")) == "live", Peers: limits.GetBool("peers"),
		FollowList: string(document.GetStringBytes("registry_mode")) == "ask",
		ColdShare:  guarantees.GetFloat64("cold_from"), WarmUp: guarantees.GetInt64("ramp_time") * nanosPerMicrosecond,
		OverloadFactor: guarantees.GetFloat64("fall_multiple"), OverloadSpan: guarantees.GetInt64("overload_for") * nanosPerMicrosecond,
		CrossZonePrice: document.GetFloat64("fees", "cross_zone"), OverQuotaFactor: document.GetFloat64("beyond_share_earnings"),
	}
	settings := &Settings{
		Engine: engine, Tariffs: map[string]int{}, Customers: map[string]int{}, DefaultTariff: -1,
		DialTimeout: time.Duration(limits.GetInt64("dial_timeout")) * time.Microsecond,
		IdleTimeout: time.Duration(limits.GetInt64("idle_close")) * time.Microsecond,
	}
	for _, z := range document.GetArray("zones") {
		settings.Zones = append(settings.Zones, string(z.GetStringBytes()))
	}
	settings.ApplyDefaults(string(document.GetStringBytes("zone")))
	for n, c := range document.GetArray("tariffs") {
		settings.Tariffs[string(c.GetStringBytes("name"))] = n
		engine.Tariffs = append(engine.Tariffs, decodeTariff(c))
	}
	for n, c := range document.GetArray("tenants") {
		settings.Customers[string(c.GetStringBytes("name"))] = n
		engine.Customers = append(engine.Customers, &logic.Customer{Rate: c.GetFloat64("quota_rps")})
	}
	return settings
}

// decodeTariff decodes one tariff.
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
