package simwire

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"

	"ottershift/logic"
)

// startMessage opens a message of the instance; field, text and stop go on with it.
func (inst *instance) startMessage(messageType string) *instance {
	inst.server.out.WriteString(`{"type":"`)
	inst.server.out.WriteString(messageType)
	inst.server.out.WriteByte('"')
	return inst.intField("i", int64(inst.number))
}

func (inst *instance) intField(name string, value int64) *instance {
	out := &inst.server.out
	out.WriteString(`,"`)
	out.WriteString(name)
	out.WriteString(`":`)
	out.Write(strconv.AppendInt(out.AvailableBuffer(), value, 10))
	return inst
}

func (inst *instance) stringField(name, value string) *instance {
	quoted, _ := json.Marshal(value) // a string always has a JSON form
	fmt.Fprintf(&inst.server.out, `,"%s":%s`, name, quoted)
	return inst
}

func (inst *instance) callField(tx *logic.Transaction) *instance {
	out := &inst.server.out
	out.WriteString(`,"call":"`) // hex digits, as they came
	out.WriteString(tx.UserData.(string))
	out.WriteByte('"')
	return inst
}

func (inst *instance) endMessage() { inst.server.out.WriteString("}\n") }

// Send implements logic.Writer, as do the methods below.
func (inst *instance) Send(tx *logic.Transaction, upstream int, until int64) {
	inst.startMessage("call_out").callField(tx).intField("upstream", int64(inst.roster.Name(upstream))).intField("not_past", until/nanosPerMicro).endMessage()
}

func (inst *instance) Cancel(tx *logic.Transaction, attempt int) {
	inst.startMessage("abandon").callField(tx).intField("shot", int64(attempt)).endMessage()
}

func (inst *instance) Defer(tx *logic.Transaction, _ logic.Reason, backoff int64) {
	inst.startMessage("say_no").callField(tx).intField("backoff", backoff/nanosPerMicro).endMessage()
	inst.forgetIfClosed(tx)
}

func (inst *instance) Forfeit(tx *logic.Transaction, _ logic.Reason) {
	inst.startMessage("lose").callField(tx).endMessage()
	inst.forgetIfClosed(tx)
}

func (inst *instance) Probe(upstream int) {
	inst.startMessage("ping").intField("upstream", int64(inst.roster.Name(upstream))).endMessage()
}

func (inst *instance) SendReport(peer int, report []byte) {
	inst.startMessage("say").intField("dst", int64(peer)).stringField("raw", hex.EncodeToString(report)).endMessage()
}

func (inst *instance) Follow() {
	out := &inst.startMessage("follow").server.out
	out.WriteString(`,"want":true}` + "\n")
}

// Wake rounds up: woken before the time, the balancer would have to ask again.
func (inst *instance) Wake(at int64) {
	inst.startMessage("after").intField("moment", (at+nanosPerMicro-1)/nanosPerMicro).intField("handle", 0).endMessage()
}

func (inst *instance) Note(text string) {
	inst.startMessage("journal_line").stringField("line", text).endMessage()
}

func (srv *server) writeException(inst *instance, text string) {
	inst.startMessage("exception").stringField("line", text).endMessage()
}

// catchPanic reports a panic of the module to the bench instead of swallowing it; the instance is finished then.
func (inst *instance) catchPanic(call func()) {
	defer func() {
		if recovered := recover(); recovered != nil {
			inst.balancer = nil
			inst.server.writeException(inst, fmt.Sprint(recovered))
		}
	}()
	call()
}

// HasIdleConn is not told on this wire.
func (inst *instance) HasIdleConn(int) bool { return false }
