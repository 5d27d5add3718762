package simwire

import (
	"encoding/hex"
	"strconv"

	"github.com/valyala/fastjson"

	"ottershift/internal/roster"
	"ottershift/internal/terms"
	"ottershift/logic"
)

var results = map[string]logic.Result{
	"served": logic.Settled, "server_error": logic.Errored, "turned_away": logic.Refused,
	"no_answer": logic.TimedOut, "no_connection": logic.Unreachable, "connection_lost": logic.Disconnected,
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
	case "elapsed":
		// A round follows in any case.
	case "note_from":
		raw, err := hex.DecodeString(string(v.GetStringBytes("raw")))
		if err != nil {
			s.fault("note_from with bytes %q", v.GetStringBytes("raw"))
			return
		}
		b.PeerReport(v.GetInt("who"), raw, s.now)
	case "incoming":
		id := string(v.GetStringBytes("call"))
		tariff, known := in.book.Tariffs[string(v.GetStringBytes("band"))]
		if id == "" || !known || in.calls[id] != nil {
			s.fault("incoming %q: no id, an id used before, or an unknown tariff", id)
			return
		}
		customer, known := in.book.Customers[string(v.GetStringBytes("user_group"))]
		if !known {
			customer = -1
		}
		t := &logic.Transaction{UserData: id}
		in.calls[id] = t
		b.Arrive(t, tariff, customer, v.GetInt64("expected")*microsecond, v.GetInt64("patience_left")*microsecond,
			v.GetBool("is_retry"), s.now)
	case "finished", "ack_first":
		t, n := in.calls[string(v.GetStringBytes("call"))], v.GetInt("shot")
		if t == nil || n < 0 || n >= t.AttemptCount() {
			s.fault("%s for call %q, push %d, which is not out", kind, v.GetStringBytes("call"), n)
			return
		}
		if kind == "ack_first" {
			b.StreamStarted(t, n)
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
			b.ClientGone(t)
			in.drop(t)
		}
	case "checked":
		id := uint32(v.GetUint64("upstream"))
		if i, known := in.roster.Index(id); known {
			b.ProbeResult(i, string(v.GetStringBytes("state_code")) == "served")
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
		number := uint32(e.GetUint64("upstream"))
		list = append(list, roster.Entry[uint32]{
			Name: number, Zone: string(e.GetStringBytes("site")), Kind: string(e.GetStringBytes("family_type")),
			Upstream: logic.Upstream{
				ID: number, Weight: weight, Cell: e.GetInt("pod"), StartedAt: e.GetInt64("born") * microsecond,
			},
			Removed: state == "Gone", Draining: state == "Terminating",
		})
	}
	s.sheets[n] = list
}

// members hands a report of the list on.
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
	in.roster.Apply(in.server.sheets[n], form != "patch", in.server.now)
}

// drop forgets a transaction once nothing can be said of it any more.
func (in *instance) drop(t *logic.Transaction) {
	if t.Closed() {
		delete(in.calls, t.UserData.(string))
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
		number: number, server: s, calls: map[string]*logic.Transaction{},
	}
	if old := s.instances[number]; old != nil {
		old.logic = nil
	}
	s.instances[number] = in
	in.touch()
	in.guard(func() {
		in.book = terms.Decode(v.Get("env"), v.GetUint64("prng"))
		b, err := logic.New(in.book.Engine, s.now)
		if err != nil {
			s.except(in, err.Error())
			return
		}
		in.logic, in.roster = b, roster.New[uint32](b, in.book.Zones)
	})
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
