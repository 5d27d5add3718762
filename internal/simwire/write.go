package simwire

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"

	"ottershift/logic"
)

// start opens a message of the instance; field, text and stop go on with it.
func (in *instance) start(kind string) *instance {
	in.server.out.WriteString(`{"type":"`)
	in.server.out.WriteString(kind)
	in.server.out.WriteByte('"')
	return in.field("i", int64(in.number))
}

func (in *instance) field(name string, value int64) *instance {
	out := &in.server.out
	out.WriteString(`,"`)
	out.WriteString(name)
	out.WriteString(`":`)
	out.Write(strconv.AppendInt(out.AvailableBuffer(), value, 10))
	return in
}

func (in *instance) text(name, value string) *instance {
	quoted, _ := json.Marshal(value) // a string always has a JSON form
	fmt.Fprintf(&in.server.out, `,"%s":%s`, name, quoted)
	return in
}

func (in *instance) call(t *logic.Transaction) *instance {
	out := &in.server.out
	out.WriteString(`,"call":"`) // hex digits, as they came
	out.WriteString(t.UserData.(string))
	out.WriteByte('"')
	return in
}

func (in *instance) stop() { in.server.out.WriteString("}\n") }

// Send implements logic.Writer, as do the methods below.
func (in *instance) Send(t *logic.Transaction, upstream int, until int64) {
	in.start("call_out").call(t).field("upstream", int64(in.roster.Name(upstream))).field("not_past", until/microsecond).stop()
}

func (in *instance) Cancel(t *logic.Transaction, push int) {
	in.start("abandon").call(t).field("shot", int64(push)).stop()
}

func (in *instance) Defer(t *logic.Transaction, _ logic.Reason, backoff int64) {
	in.start("say_no").call(t).field("backoff", backoff/microsecond).stop()
	in.drop(t)
}

func (in *instance) Forfeit(t *logic.Transaction, _ logic.Reason) {
	in.start("lose").call(t).stop()
	in.drop(t)
}

func (in *instance) Probe(upstream int) {
	in.start("ping").field("upstream", int64(in.roster.Name(upstream))).stop()
}

func (in *instance) SendReport(peer int, raw []byte) {
	in.start("say").field("dst", int64(peer)).text("raw", hex.EncodeToString(raw)).stop()
}

func (in *instance) Follow() {
	out := &in.start("follow").server.out
	out.WriteString(`,"want":true}` + "\n")
}

// Wake rounds up: woken before the time, the balancer would have to ask again.
func (in *instance) Wake(at int64) {
	in.start("after").field("moment", (at+microsecond-1)/microsecond).field("handle", 0).stop()
}

func (in *instance) Note(text string) { in.start("journal_line").text("line", text).stop() }

func (s *server) except(in *instance, text string) { in.start("exception").text("line", text).stop() }

// guard reports a panic of the module to the bench instead of swallowing it; the instance is finished then.
func (in *instance) guard(call func()) {
	defer func() {
		if fault := recover(); fault != nil {
			in.logic = nil
			in.server.except(in, fmt.Sprint(fault))
		}
	}()
	call()
}

// HasIdleConn is not told on this wire.
func (in *instance) HasIdleConn(int) bool { return false }
