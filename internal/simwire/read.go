package simwire

import (
	"encoding/hex"
	"strconv"

	"github.com/valyala/fastjson"

	"ottershift/internal/roster"
	"ottershift/internal/terms"
	"ottershift/logic"
)

// resultByCode maps the state codes of the wire to results of attempts.
var resultByCode = map[string]logic.Result{
	"served": logic.Settled, "server_error": logic.Errored, "turned_away": logic.Refused,
	"no_answer": logic.TimedOut, "no_connection": logic.Unreachable, "connection_lost": logic.Disconnected,
	"called_off": logic.Cancelled, "not_sent": logic.Unsent,
}

// handleMessage processes one message. It returns true when the reply to the frame is complete.
func (srv *server) handleMessage(message *fastjson.Value) bool {
	if message.Type() != fastjson.TypeObject {
		srv.reportError("a message is an object, but got %s", message.Type())
		return false
	}
	messageType := string(message.GetStringBytes("type"))
	switch messageType {
	case "clock":
		at := message.GetInt64("at_time") * nanosPerMicro
		if !message.Exists("at_time") || at < srv.now {
			srv.reportError("clock without at_time, or earlier than the last one")
			return false
		}
		srv.now = at
		srv.frame = message.GetInt64("frame")
		return false
	case "go":
		srv.endFrame()
		return true
	case "register":
		srv.registerList(message)
		return false
	}
	instanceNumber, err := message.Get("i").Int()
	if err != nil {
		srv.reportError("%q without a valid instance number", messageType)
		return false
	}
	if messageType == "configure" {
		srv.configure(instanceNumber, message)
		return false
	}
	inst := srv.instances[instanceNumber]
	if inst == nil {
		srv.reportError("%q for instance %d, which is not running", messageType, instanceNumber)
		return false
	}
	if messageType == "teardown" {
		delete(srv.instances, instanceNumber)
		inst.balancer = nil
		return false
	}
	inst.markPending()
	inst.catchPanic(func() { inst.handleEvent(messageType, message) })
	return false
}

// handleEvent translates one event of an instance into a call on its balancer.
func (inst *instance) handleEvent(messageType string, message *fastjson.Value) {
	srv, balancer := inst.server, inst.balancer
	if balancer == nil {
		return
	}
	switch messageType {
	case "elapsed":
		// The instance is marked as pending and gets a round at the end of the frame.
	case "note_from":
		raw, err := hex.DecodeString(string(message.GetStringBytes("raw")))
		if err != nil {
			srv.reportError("note_from with bytes %q, which are not hexadecimal", message.GetStringBytes("raw"))
			return
		}
		balancer.PeerReport(message.GetInt("who"), raw, srv.now)
	case "incoming":
		id := string(message.GetStringBytes("call"))
		tariff, known := inst.book.Tariffs[string(message.GetStringBytes("band"))]
		if id == "" || !known || inst.transactions[id] != nil {
			srv.reportError("incoming %q: empty id, id already in use, or unknown tariff", id)
			return
		}
		customer, known := inst.book.Customers[string(message.GetStringBytes("user_group"))]
		if !known {
			customer = -1
		}
		tx := &logic.Transaction{UserData: id}
		inst.transactions[id] = tx
		balancer.Arrive(tx, tariff, customer, message.GetInt64("expected")*nanosPerMicro,
			message.GetInt64("patience_left")*nanosPerMicro, message.GetBool("is_retry"), srv.now)
	case "finished", "ack_first":
		tx, attempt := inst.transactions[string(message.GetStringBytes("call"))], message.GetInt("shot")
		if tx == nil || attempt < 0 || attempt >= tx.AttemptCount() {
			srv.reportError("%s for call %q, attempt %d, which was not started",
				messageType, message.GetStringBytes("call"), attempt)
			return
		}
		if messageType == "ack_first" {
			balancer.StreamStarted(tx, attempt)
			return
		}
		result, known := resultByCode[string(message.GetStringBytes("state_code"))]
		if !known {
			srv.reportError("finished with unknown state_code %q", message.GetStringBytes("state_code"))
			return
		}
		balancer.Outcome(tx, attempt, result, message.GetInt64("wait_time")*nanosPerMicro, message.GetBool("finished"), srv.now)
		inst.forgetIfClosed(tx)
	case "vanished":
		if tx := inst.transactions[string(message.GetStringBytes("call"))]; tx != nil {
			balancer.ClientGone(tx)
			inst.forgetIfClosed(tx)
		}
	case "checked":
		id := uint32(message.GetUint64("upstream"))
		if i, known := inst.roster.Index(id); known {
			balancer.ProbeResult(i, string(message.GetStringBytes("state_code")) == "served")
		} else {
			srv.reportError("checked for upstream %d, which is not listed", id)
		}
	case "members":
		inst.applyList(message)
	default:
		srv.reportError("unknown message %q", messageType)
	}
}

// registerList stores a list for the members messages that refer to it.
func (srv *server) registerList(message *fastjson.Value) {
	listNumber := message.GetInt("sheet")
	if listNumber < 0 || listNumber >= len(srv.lists) {
		srv.reportError("register: list number %d out of range", listNumber)
		return
	}
	list := srv.lists[listNumber][:0]
	for _, entry := range message.GetArray("nodes_list") {
		weight := 1.0
		if entry.Exists("share") {
			weight = entry.GetFloat64("share")
		}
		state := string(entry.GetStringBytes("state"))
		if state != "Ready" && state != "Terminating" && state != "Gone" {
			srv.reportError("register: upstream %d in unknown state %q", entry.GetUint64("upstream"), state)
			continue
		}
		number := uint32(entry.GetUint64("upstream"))
		list = append(list, roster.Entry[uint32]{
			Name: number, Zone: string(entry.GetStringBytes("site")), Kind: string(entry.GetStringBytes("family_type")),
			Upstream: logic.Upstream{
				ID: number, Weight: weight, Cell: entry.GetInt("pod"), StartedAt: entry.GetInt64("born") * nanosPerMicro,
			},
			Removed: state == "Gone", Draining: state == "Terminating",
		})
	}
	srv.lists[listNumber] = list
}

// applyList passes a list, a set of changes or the loss of the list's source to the balancer.
func (inst *instance) applyList(message *fastjson.Value) {
	form := string(message.GetStringBytes("form"))
	if form == "broken" {
		inst.balancer.Listed(false, inst.server.now)
		return
	}
	listNumber := message.GetInt("sheet")
	if form != "patch" && form != "whole" && form != "stale_copy" || listNumber < 0 || listNumber >= len(inst.server.lists) {
		inst.server.reportError("members with unknown form %q or list number %d out of range", form, listNumber)
		return
	}
	inst.roster.Apply(inst.server.lists[listNumber], form != "patch", inst.server.now)
}

// forgetIfClosed removes a transaction for which no further events are possible.
func (inst *instance) forgetIfClosed(tx *logic.Transaction) {
	if tx.Closed() {
		delete(inst.transactions, tx.UserData.(string))
	}
}

// markPending schedules a round of the instance at the end of the frame.
func (inst *instance) markPending() {
	if !inst.queued {
		inst.queued = true
		inst.server.pending = append(inst.server.pending, inst)
	}
}

// configure starts an instance and replaces the one with the same number, if any.
func (srv *server) configure(instanceNumber int, message *fastjson.Value) {
	inst := &instance{
		number: instanceNumber, server: srv, transactions: map[string]*logic.Transaction{},
	}
	if previous := srv.instances[instanceNumber]; previous != nil {
		previous.balancer = nil
	}
	srv.instances[instanceNumber] = inst
	inst.markPending()
	inst.catchPanic(func() {
		inst.book = terms.Decode(message.Get("env"), message.GetUint64("prng"))
		balancer, err := logic.New(inst.book.Engine, srv.now)
		if err != nil {
			srv.writeException(inst, err.Error())
			return
		}
		inst.balancer, inst.roster = balancer, roster.New[uint32](balancer, inst.book.Zones)
	})
}

// endFrame runs a round of every balancer that received an event and completes the reply to the frame.
func (srv *server) endFrame() {
	for _, inst := range srv.pending {
		inst.queued = false
		if inst.balancer != nil {
			inst.catchPanic(func() { inst.balancer.Round(srv.now, inst) })
		}
	}
	srv.pending = srv.pending[:0]
	srv.out.WriteString(`{"type":"ok","frame":`)
	srv.out.Write(strconv.AppendInt(srv.out.AvailableBuffer(), srv.frame, 10))
	srv.out.WriteString("}\n")
}
