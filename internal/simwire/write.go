package simwire

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"

	"ottershift/logic"
)

// startMessage starts a message of the instance. The field methods add to it, and endMessage ends it.
func (inst *instance) startMessage(messageType string) *instance {
	inst.server.out.WriteString(`{"type":"`)
	inst.server.out.WriteString(messageType)
	inst.server.out.WriteByte('"')
	return inst.intField("i", int64(inst.number))
}

// intField adds an integer field to the message.
func (inst *instance) intField(name string, value int64) *instance {
	out := &inst.server.out
	out.WriteString(`,"`)
	out.WriteString(name)
	out.WriteString(`":`)
	out.Write(strconv.AppendInt(out.AvailableBuffer(), value, 10))
	return inst
}

// stringField adds a string field to the message.
func (inst *instance) stringField(name, value string) *instance {
	quoted, _ := json.Marshal(value) // encoding a string as JSON cannot fail
	fmt.Fprintf(&inst.server.out, `,"%s":%s`, name, quoted)
	return inst
}

// callField adds the id of a transaction to the message.
func (inst *instance) callField(tx *logic.Transaction) *instance {
	out := &inst.server.out
	out.WriteString(`,"call":"`) // the id consists of hex digits and needs no escaping
	out.WriteString(tx.UserData.(string))
	out.WriteByte('"')
	return inst
}

func (inst *instance) endMessage() { inst.server.out.WriteString("}\n") }

// Send implements logic.Writer.
func (inst *instance) Send(tx *logic.Transaction, upstream int, until int64) {
	inst.startMessage("call_out").callField(tx).intField("upstream", int64(inst.roster.Name(upstream))).
		intField("not_past", until/nanosPerMicro).endMessage()
}

// Cancel implements logic.Writer.
func (inst *instance) Cancel(tx *logic.Transaction, attempt int) {
	inst.startMessage("abandon").callField(tx).intField("shot", int64(attempt)).endMessage()
}

// Defer implements logic.Writer.
func (inst *instance) Defer(tx *logic.Transaction, _ logic.Reason, backoff int64) {
	inst.startMessage("say_no").callField(tx).intField("backoff", backoff/nanosPerMicro).endMessage()
	inst.forgetIfClosed(tx)
}

// Forfeit implements logic.Writer.
func (inst *instance) Forfeit(tx *logic.Transaction, _ logic.Reason) {
	inst.startMessage("lose").callField(tx).endMessage()
	inst.forgetIfClosed(tx)
}

// Probe implements logic.Writer.
func (inst *instance) Probe(upstream int) {
	inst.startMessage("ping").intField("upstream", int64(inst.roster.Name(upstream))).endMessage()
}

// SendReport implements logic.Writer.
func (inst *instance) SendReport(peer int, report []byte) {
	inst.startMessage("say").intField("dst", int64(peer)).stringField("raw", hex.EncodeToString(report)).endMessage()
}

// Follow implements logic.Writer.
func (inst *instance) Follow() {
	out := &inst.startMessage("follow").server.out
	out.WriteString(`,"want":true}` + "\n")
}

// Wake implements logic.Writer. It rounds up to microseconds, since a balancer woken too early would have to ask again.
func (inst *instance) Wake(at int64) {
	inst.startMessage("after").intField("moment", (at+nanosPerMicro-1)/nanosPerMicro).intField("handle", 0).endMessage()
}

// Note implements logic.Writer.
func (inst *instance) Note(text string) {
	inst.startMessage("journal_line").stringField("line", text).endMessage()
}

// writeException writes an exception message for the instance.
func (srv *server) writeException(inst *instance, text string) {
	inst.startMessage("exception").stringField("line", text).endMessage()
}

// catchPanic reports a panic of the decision engine to the simulator instead of hiding it, and stops the instance.
func (inst *instance) catchPanic(call func()) {
	defer func() {
		if recovered := recover(); recovered != nil {
			inst.balancer = nil
			inst.server.writeException(inst, fmt.Sprint(recovered))
		}
	}()
	call()
}

// HasIdleConn implements logic.Writer. The wire carries no information on connections.
func (inst *instance) HasIdleConn(int) bool { return false }
