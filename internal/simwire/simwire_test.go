package simwire

import (
	"fmt"
	"strings"
	"testing"
)

// startFrame is a first frame that configures instance 3 with two upstreams.
const startFrame = `{"type":"clock","at_time":1000000,"frame":1}
{"type":"register","sheet":0,"nodes_list":[{"site":"a","share":1,"pod":0,"state":"Ready","upstream":11},{"site":"a","share":1,"pod":0,"state":"Ready","upstream":22}]}
{"type":"configure","i":3,"prng":5,"env":{"fleet_size":1,"layer":0,"zone":"a","zones":["a"],"tariffs":[{"name":"x","contract_time":1000000,"hard_stop":2500000,"effect":"idempotent","earnings":1}],"limits":{"cancelling":true,"max_pushes":3,"probes":true,"second_copies":true},"guarantees":{"cold_from":0.2,"ramp_time":9000000,"fall_multiple":2,"overload_for":1000000}}}
{"type":"members","i":3,"form":"stale_copy","serial":1,"sheet":0}
{"type":"go"}
`

// serve returns the replies to the frames and the reported errors.
func serve(t *testing.T, frames string) (out, reported string) {
	t.Helper()
	var reply, errorLog strings.Builder
	if err := Serve(strings.NewReader(frames), &reply, &errorLog); err != nil {
		t.Fatal(err)
	}
	return reply.String(), errorLog.String()
}

func TestTransaction(t *testing.T) {
	out, reported := serve(t, startFrame+`{"type":"clock","at_time":1005000,"frame":2}
{"type":"incoming","i":3,"call":"00ab","band":"x","patience_left":2000000}
{"type":"go"}
{"type":"clock","at_time":1055000,"frame":3}
{"type":"finished","i":3,"call":"00ab","shot":0,"upstream":11,"state_code":"served","wait_time":50000,"finished":true}
{"type":"vanished","i":3,"call":"00ab"}
{"type":"go"}
`)
	for _, want := range []string{`{"type":"ok","frame":1}`, `{"type":"call_out","i":3,"call":"00ab","upstream":`,
		`"not_past":3005000}`, `{"type":"ok","frame":3}`} {
		if !strings.Contains(out, want) {
			t.Errorf("no %s in\n%s", want, out)
		}
	}
	if reported != "" {
		t.Error(reported)
	}
}

func TestInvalidMessagesAreReportedAndSkipped(t *testing.T) {
	for _, test := range []struct{ line, fault string }{
		{`{"type":"incoming",`, "line 7: not JSON"},
		{`[1]`, "a message is an object"},
		{`{"type":"sing","i":3}`, `unknown message "sing"`},
		{`{"type":"elapsed","i":4,"handle":1}`, "instance 4, which is not running"},
		{`{"type":"finished","i":3,"call":"77","shot":0,"state_code":"served"}`, `call "77"`},
		{`{"type":"checked","i":3,"upstream":99,"state_code":"served"}`, "upstream 99"},
		{`{"type":"incoming","i":3,"call":"78","band":"y","patience_left":1}`, "unknown tariff"},
	} {
		out, reported := serve(t, startFrame+`{"type":"clock","at_time":1005000,"frame":2}`+"\n"+test.line+"\n"+`{"type":"go"}`+"\n")
		if !strings.Contains(reported, test.fault) || !strings.Contains(out, `{"type":"ok","frame":2}`) {
			t.Errorf("%s: reported %q, reply\n%s", test.line, reported, out)
		}
	}
}

func TestInvalidConfigurationIsRejected(t *testing.T) {
	out, _ := serve(t, strings.Replace(startFrame, `"max_pushes":3`, `"max_pushes":0`, 1))
	if !strings.Contains(out, `{"type":"exception","i":3,"line":"terms: no push is allowed"}`) {
		t.Error(out)
	}
}

// TestPeerReports checks that balancers with peers send load reports in "say" messages and receive them in "note_from"
// messages, and that malformed reports are reported and otherwise ignored.
func TestPeerReports(t *testing.T) {
	peers := strings.NewReplacer(`"fleet_size":1`, `"fleet_size":2,"self_index":1,"weight_source":"live"`,
		`"probes":true`, `"probes":true,"peers":true`, `"pod":0,`, `"pod":0,"family_type":"k",`).Replace(startFrame)
	run := func(env string, requests int, lines ...string) (out, reported string) {
		for n := range requests {
			lines = append(lines, fmt.Sprintf(`{"type":"incoming","i":3,"call":"a%d","band":"x","patience_left":2000000}`, n))
		}
		return serve(t, env+`{"type":"clock","at_time":1200000,"frame":2}`+"\n"+strings.Join(lines, "\n")+"\n"+
			`{"type":"go"}`+"\n")
	}
	first, _ := run(peers, 1)
	_, report, _ := strings.Cut(first[strings.Index(first, `"frame":1}`):], `"dst":0,"raw":"`)
	_, loaded, found := strings.Cut(first, `"upstream":`)
	if !found || len(report) < 5 || report[4] != '"' {
		t.Fatalf("no load report on the started attempt in\n%s", first)
	}
	out, reported := run(peers, 3, `{"type":"note_from","i":3,"who":0,"raw":"20`+strings.Repeat(report[2:4], 4)+`"}`,
		`{"type":"note_from","i":3,"who":77,"raw":"zz"}`, `{"type":"note_from","i":3,"who":-1}`)
	if strings.Count(out, `"type":"call_out"`) != 3 || strings.Contains(out, `"upstream":`+loaded[:2]) {
		t.Errorf("a peer reports four attempts at upstream %s, and it was chosen again:\n%s", loaded[:2], out)
	}
	if strings.Count(reported, "\n") != 1 || !strings.Contains(reported, `note_from with bytes "zz"`) {
		t.Errorf("reported %q, want just the malformed bytes", reported)
	}
	if single, _ := run(startFrame, 1); strings.Contains(single, `"type":"say"`) {
		t.Error("sent a load report although reports are off")
	}
}
