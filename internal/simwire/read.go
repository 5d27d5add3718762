package simwire

import (
	"strconv"

	"github.com/valyala/fastjson"

	"ottershift/logic"
)

var results = map[string]logic.Result{
	"served": logic.Settled, "server_error": logic.Errored, "turned_away": logic.TurnedAway,
	"no_answer": logic.TimedOut, "no_connection": logic.Unreachable, "connection_lost": logic.Broken,
	"called_off": logic.Cancelled, "not_sent": logic.Unsent,
}

// read takes one message; it reports true when a reply is complete.
func (s *server) read(v *fastjson.Value) bool {
	if v.Type() != fastjson.TypeObject {
		s.fault("a message is an object, not %s", v.Type())
		return false
	}
	kind := string(v.GetStringBytes("type"))
	switch kind {
	case "clock":
		at := v.GetInt64("at_time") * microsecond
		if !v.Exists("at_time") || at < s.now {
			s.fault("clock without a time, or one that runs backwards")
			return false
		}
		s.now = at
		s.frame = v.GetInt64("frame")
		return false
	case "go":
		s.reply()
		return true
	case "register":
		s.register(v)
		return false
	}
	number, err := v.Get("i").Int()
	if err != nil {
		s.fault("%q names no instance", kind)
		return false
	}
	if kind == "configure" {
		s.configure(number, v)
		return false
	}
	in := s.instances[number]
	if in == nil {
		s.fault("%q for instance %d, which is not running", kind, number)
		return false
	}
	if kind == "teardown" {
		delete(s.instances, number)
		in.logic = nil
		return false
	}
	in.touch()
	in.guard(func() { in.read(kind, v) })
	return false
}

// read turns one event of an instance into a call on its balancer.
func (in *instance) read(kind string, v *fastjson.Value) {
	s, b := in.server, in.logic
	if b == nil {
		return
	}
	switch kind {
	case "elapsed", "note_from":
		// A round follows in any case, and nothing is said between balancers.
	case "incoming":
		id := string(v.GetStringBytes("call"))
		tariff, known := in.tariffs[string(v.GetStringBytes("band"))]
		if id == "" || !known || in.calls[id] != nil {
			s.fault("incoming %q: no id, an id used before, or an unknown tariff", id)
			return
		}
		customer, known := in.customers[string(v.GetStringBytes("user_group"))]
		if !known {
			customer = -1
		}
		t := &logic.Transaction{Mark: id}
		in.calls[id] = t
		b.Arrive(t, tariff, customer, v.GetInt64("expected")*microsecond, v.GetInt64("patience_left")*microsecond,
			v.GetBool("is_retry"), s.now)
	case "finished", "ack_first":
		t, n := in.calls[string(v.GetStringBytes("call"))], v.GetInt("shot")
		if t == nil || n < 0 || n >= t.Pushes() {
			s.fault("%s for call %q, push %d, which is not out", kind, v.GetStringBytes("call"), n)
			return
		}
		if kind == "ack_first" {
			b.Began(t, n)
			return
		}
		result, known := results[string(v.GetStringBytes("state_code"))]
		if !known {
			s.fault("finished with unknown code %q", v.GetStringBytes("state_code"))
			return
		}
		b.Outcome(t, n, result, v.GetInt64("wait_time")*microsecond, v.GetBool("finished"), s.now)
		in.drop(t)
	case "vanished":
		if t := in.calls[string(v.GetStringBytes("call"))]; t != nil {
			b.Vanish(t)
			in.drop(t)
		}
	case "checked":
		id := uint32(v.GetUint64("upstream"))
		if i, known := in.index[id]; known {
			b.Probed(i, string(v.GetStringBytes("state_code")) == "served")
		} else {
			s.fault("checked for upstream %d, which is on no list", id)
		}
	case "members":
		in.members(v)
	default:
		s.fault("unknown message %q", kind)
	}
}

// register keeps a list for the members messages that point to it.
func (s *server) register(v *fastjson.Value) {
	n := v.GetInt("sheet")
	if n < 0 || n >= len(s.sheets) {
		s.fault("register: no list has number %d", n)
		return
	}
	list := s.sheets[n][:0]
	for _, e := range v.GetArray("nodes_list") {
		weight := 1.0
		if e.Exists("share") {
			weight = e.GetFloat64("share")
		}
		state := string(e.GetStringBytes("state"))
		if state != "Ready" && state != "Terminating" && state != "Gone" {
			s.fault("register: upstream %d in unknown state %q", e.GetUint64("upstream"), state)
			continue
		}
		list = append(list, entry{
			zone: string(e.GetStringBytes("site")),
			up: logic.Upstream{
				Number: uint32(e.GetUint64("upstream")), Weight: weight, Cell: e.GetInt("pod"),
				Born: e.GetInt64("born") * microsecond,
			},
			gone: state == "Gone", ends: state == "Terminating",
		})
	}
	s.sheets[n] = list
}

// members hands a report of the list on, entry by entry.
func (in *instance) members(v *fastjson.Value) {
	form := string(v.GetStringBytes("form"))
	if form == "broken" {
		in.logic.Listed(false, in.server.now)
		return
	}
	n := v.GetInt("sheet")
	if form != "patch" && form != "whole" && form != "stale_copy" || n < 0 || n >= len(in.server.sheets) {
		in.server.fault("members of unknown form %q or list %d", form, n)
		return
	}
	here := map[uint32]bool{}
	for _, e := range in.server.sheets[n] {
		here[e.up.Number] = true
		i, known := in.index[e.up.Number]
		if e.gone {
			if known {
				in.logic.Leave(i)
			}
			continue
		}
		if !known || !in.logic.Known(i) {
			i = in.join(e.up.Number)
		}
		e.up.Zone = in.zone(e.zone)
		in.logic.List(i, e.up, in.server.now)
		if e.ends {
			in.logic.Drain(i)
		}
	}
	if form != "patch" {
		for i, id := range in.ids {
			if !here[id] {
				in.logic.Leave(i)
			}
		}
	}
	in.logic.Listed(true, in.server.now)
}

// join gives an upstream an index; an index used before is taken from the one that had it.
func (in *instance) join(id uint32) int {
	i := in.logic.Join()
	if i == len(in.ids) {
		in.ids = append(in.ids, id)
	} else {
		if in.index[in.ids[i]] == i {
			delete(in.index, in.ids[i])
		}
		in.ids[i] = id
	}
	in.index[id] = i
	return i
}

func (in *instance) zone(name string) int {
	z, known := in.zones[name]
	if !known {
		z = len(in.zones)
		in.zones[name] = z
	}
	return z
}

// drop forgets a transaction once nothing can be said of it any more.
func (in *instance) drop(t *logic.Transaction) {
	if t.Closed() {
		delete(in.calls, t.Mark)
	}
}

func (in *instance) touch() {
	if !in.queued {
		in.queued = true
		in.server.touched = append(in.server.touched, in)
	}
}

// configure starts an instance, in place of one that ran under its number.
func (s *server) configure(number int, v *fastjson.Value) {
	in := &instance{
		number: number, server: s, zones: map[string]int{}, tariffs: map[string]int{}, customers: map[string]int{},
		index: map[uint32]int{}, calls: map[string]*logic.Transaction{},
	}
	if old := s.instances[number]; old != nil {
		old.logic = nil
	}
	s.instances[number] = in
	in.touch()
	in.guard(func() {
		b, err := logic.New(in.terms(v.Get("env"), v.GetUint64("prng")), s.now)
		if err != nil {
			s.except(in, err.Error())
			return
		}
		in.logic = b
	})
}

// terms decodes what the balancer is told at its start.
func (in *instance) terms(env *fastjson.Value, seed uint64) *logic.Terms {
	limits, rules := env.Get("limits"), env.Get("guarantees")
	t := &logic.Terms{
		Seed: seed, Balancers: env.GetInt("fleet_size"), Index: env.GetInt("self_index"),
		Layer:     env.GetInt("layer"),
		MaxPushes: limits.GetInt("max_pushes"), SecondCopies: limits.GetBool("second_copies"),
		Cancelling: limits.GetBool("cancelling"), Probing: limits.GetBool("probes"),
		AdviseBackoff: limits.GetBool("retry_after"), MaxBackoff: limits.GetInt64("max_retry_after") * microsecond,
		AskForList: string(env.GetStringBytes("registry_mode")) == "ask",
		ColdShare:  rules.GetFloat64("cold_from"), WarmUp: rules.GetInt64("ramp_time") * microsecond,
		FallMultiple: rules.GetFloat64("fall_multiple"), FallSpan: rules.GetInt64("overload_for") * microsecond,
		CrossZonePrice: env.GetFloat64("fees", "cross_zone"), BeyondShare: env.GetFloat64("beyond_share_earnings"),
		Punctual: env.GetFloat64("result_mix", "tail"), Resolution: env.GetInt64("resolution") * microsecond,
	}
	for _, z := range env.GetArray("zones") {
		in.zone(string(z.GetStringBytes()))
	}
	t.Zone = in.zone(string(env.GetStringBytes("zone")))
	for n, c := range env.GetArray("tariffs") {
		in.tariffs[string(c.GetStringBytes("name"))] = n
		f := &logic.Tariff{
			Remembered: c.GetInt64("dedup_window") * microsecond, ContractTime: c.GetInt64("contract_time") * microsecond,
			HardStop: c.GetInt64("hard_stop") * microsecond,
			Stretch:  c.GetFloat64("aim_stretch"), Earnings: c.GetFloat64("earnings"),
			LateEarnings: c.GetFloat64("late_earnings"),
		}
		switch string(c.GetStringBytes("effect")) {
		case "idempotent":
			f.Repeat = logic.Repeatable
		case "deduplicated":
			f.Repeat = logic.Tagged
		}
		switch string(c.GetStringBytes("group")) {
		case "all":
			f.Group = logic.Everywhere
		case "zone":
			f.Group = logic.SameZone
		}
		t.Tariffs = append(t.Tariffs, f)
	}
	for n, c := range env.GetArray("tenants") {
		in.customers[string(c.GetStringBytes("name"))] = n
		t.Customers = append(t.Customers, &logic.Customer{Rate: c.GetFloat64("quota_rps")})
	}
	return t
}

// reply lets every balancer that was told something decide, and closes the frame.
func (s *server) reply() {
	for _, in := range s.touched {
		in.queued = false
		if in.logic != nil {
			in.guard(func() { in.logic.Round(s.now, in) })
		}
	}
	s.touched = s.touched[:0]
	s.out.WriteString(`{"type":"ok","frame":`)
	s.out.Write(strconv.AppendInt(s.out.AvailableBuffer(), s.frame, 10))
	s.out.WriteString("}\n")
}
