// Package terms decodes the settings that a balancer is given at its start, for every door it may serve.
package terms

import (
	"slices"
	"time"

	"github.com/valyala/fastjson"

	"ottershift/logic"
)

const (
	microsecond = 1000
	unsaidDial  = time.Second // where nothing is said; without any limit a push to a machine cut off would hang
	unsaidProbe = "/ping"     // as the platform has it
)

// MostBody is the bytes of a message that are held for certain, either way.
const MostBody = 64 << 10

// Book is the settings as a balancer uses them: the module's terms, the names behind its numbers, and what only
// a network is told.
type Book struct {
	Terms     *logic.Config
	Tariffs   map[string]int
	Customers map[string]int
	Zones     []string // their places are the numbers in Terms

	DialTimeout time.Duration // until a connection counts as not to be had
	IdleClose   time.Duration // an upstream closes what stood idle so long

	Plain   bool   // ordinary HTTP towards clients and upstreams, not the platform's protocol
	Default int    // tariff of a plain transaction that names none; -1 for none
	Probe   string // path of a probe

	Peers []string // addresses of the balancers, by index, that tell one another what they hold; none where they don't
	Fleet bool     // the balancers are the members of the cluster; Terms.Balancers is the least that count
	Watch bool     // decides without live weights and peers, and counts what these would have changed
}

// Complete fills in what isn't said, for every format.
func (b *Book) Complete(zone string) {
	if b.DialTimeout <= 0 {
		b.DialTimeout = unsaidDial
	}
	if b.Probe == "" {
		b.Probe = unsaidProbe
	}
	if b.Terms.Zone = slices.Index(b.Zones, zone); b.Terms.Zone < 0 {
		b.Terms.Zone = len(b.Zones)
		b.Zones = append(b.Zones, zone)
	}
}

// Name is a tariff's by its number.
func (b *Book) Name(tariff int) string {
	for name, n := range b.Tariffs {
		if n == tariff {
			return name
		}
	}
	return ""
}

// Part is the book of one of several modules that share a balancer's work, as if each were a balancer. Danger: the module
// keeps state in tariffs and customers, so each has its own.
func (b *Book) Part(n, of int) *Book {
	part, t := *b, *b.Terms
	t.Balancers, t.Index = t.Balancers*of, t.Index*of+n
	t.Seed += uint64(n) * 0x9e3779b97f4a7c15
	t.Tariffs, t.Customers = nil, nil
	for _, f := range b.Terms.Tariffs {
		own := *f
		t.Tariffs = append(t.Tariffs, &own)
	}
	for _, c := range b.Terms.Customers {
		own := *c
		t.Customers = append(t.Customers, &own)
	}
	part.Terms = &t
	return &part
}

// Keep takes over from an earlier book what was learnt of tariffs and customers that are told as before.
func (b *Book) Keep(earlier *Book) {
	for name, n := range b.Tariffs {
		if m, was := earlier.Tariffs[name]; was && b.Terms.Tariffs[n].Same(earlier.Terms.Tariffs[m]) {
			b.Terms.Tariffs[n] = earlier.Terms.Tariffs[m]
		}
	}
	for name, n := range b.Customers {
		if m, was := earlier.Customers[name]; was && b.Terms.Customers[n].Rate == earlier.Terms.Customers[m].Rate {
			b.Terms.Customers[n] = earlier.Terms.Customers[m]
		}
	}
}

// Fits reports whether a pool that goes by this book can take another in service: all that is built by it stays.
func (b *Book) Fits(other *Book) bool {
	s, t := b.Terms, other.Terms
	if b.Fleet && other.Fleet { // who the balancers are changes in service there
		s, t = &logic.Config{Tier: s.Tier, LiveWeights: s.LiveWeights}, &logic.Config{Tier: t.Tier, LiveWeights: t.LiveWeights}
	}
	return b.Fleet == other.Fleet && b.DialTimeout == other.DialTimeout && b.IdleClose == other.IdleClose && b.Plain == other.Plain && b.Probe == other.Probe &&
		!b.Watch && !other.Watch && slices.Equal(b.Peers, other.Peers) && s.Peers == t.Peers && s.LiveWeights == t.LiveWeights &&
		s.Balancers == t.Balancers && s.Index == t.Index && s.Tier == t.Tier
}

// Among is the book of one of so many balancers, of which this is the one at an index.
func (b *Book) Among(balancers, index int) *Book {
	one := b.Part(0, 1)
	one.Terms.Balancers, one.Terms.Index, one.Terms.Peers = balancers, index, balancers > 1
	return one
}

// Before is the book without what came with the newer shape: live weights and peers.
func (b *Book) Before() *Book {
	before := b.Part(0, 1)
	before.Terms.LiveWeights, before.Terms.Peers, before.Watch = false, false, false
	return before
}

// Read decodes the settings. What is absent stays zero: logic.New refuses what it can't work with.
func Read(env *fastjson.Value, seed uint64) *Book {
	limits, rules := env.Get("limits"), env.Get("guarantees")
	t := &logic.Config{
		Seed: seed, Balancers: env.GetInt("fleet_size"), Index: env.GetInt("self_index"),
		Tier:        env.GetInt("layer"),
		MaxAttempts: limits.GetInt("max_pushes"), Hedging: limits.GetBool("second_copies"),
		Cancelling: limits.GetBool("cancelling"), Probing: limits.GetBool("probes"),
		AdviseBackoff: limits.GetBool("retry_after"), MaxBackoff: limits.GetInt64("max_retry_after") * microsecond,
		LiveWeights: string(env.GetStringBytes("weight_source")) == "live", Peers: limits.GetBool("peers"),
		FollowList: string(env.GetStringBytes("registry_mode")) == "ask",
		ColdShare:  rules.GetFloat64("cold_from"), WarmUp: rules.GetInt64("ramp_time") * microsecond,
		OverloadFactor: rules.GetFloat64("fall_multiple"), OverloadSpan: rules.GetInt64("overload_for") * microsecond,
		CrossZonePrice: env.GetFloat64("fees", "cross_zone"), OverQuotaFactor: env.GetFloat64("beyond_share_earnings"),
	}
	b := &Book{
		Terms: t, Tariffs: map[string]int{}, Customers: map[string]int{}, Default: -1,
		DialTimeout: time.Duration(limits.GetInt64("dial_timeout")) * time.Microsecond,
		IdleClose:   time.Duration(limits.GetInt64("idle_close")) * time.Microsecond,
	}
	for _, z := range env.GetArray("zones") {
		b.Zones = append(b.Zones, string(z.GetStringBytes()))
	}
	b.Complete(string(env.GetStringBytes("zone")))
	for n, c := range env.GetArray("tariffs") {
		b.Tariffs[string(c.GetStringBytes("name"))] = n
		t.Tariffs = append(t.Tariffs, tariff(c))
	}
	for n, c := range env.GetArray("tenants") {
		b.Customers[string(c.GetStringBytes("name"))] = n
		t.Customers = append(t.Customers, &logic.Customer{Rate: c.GetFloat64("quota_rps")})
	}
	return b
}

func tariff(c *fastjson.Value) *logic.Tariff {
	f := &logic.Tariff{
		DedupWindow: c.GetInt64("dedup_window") * microsecond, ContractTime: c.GetInt64("contract_time") * microsecond,
		HardStop:   c.GetInt64("hard_stop") * microsecond,
		WorkFactor: c.GetFloat64("aim_stretch"), Earnings: c.GetFloat64("earnings"),
		LateEarnings: c.GetFloat64("late_earnings"),
	}
	switch string(c.GetStringBytes("effect")) {
	case "idempotent":
		f.Idempotency = logic.Idempotent
	case "deduplicated":
		f.Idempotency = logic.Keyed
	}
	switch string(c.GetStringBytes("group")) {
	case "all":
		f.DedupScope = logic.Everywhere
	case "zone":
		f.DedupScope = logic.SameZone
	}
	return f
}
