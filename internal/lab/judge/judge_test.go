package judge

import (
	"strings"
	"testing"

	"ottershift/internal/lab/record"
	"ottershift/internal/lab/spec"
)

const experimentText = `title = "x"
length = "10s"
settle = "0s"
[tariffs.view]
repeat = "repeatable"
contract_time = "100ms"
hard_stop = "1s"
late_earnings = 0.25
[pools.album]
[upstreams.album]
count = 2
[[clients]]
rate = 1
shape = "constant"
retries = 1
[[faults]]
kind = "hang"
at = "3s"
for = "2s"
`

// Lateness is measured from when a transaction's first request was due, a late answer earns its share, a transaction that was
// never sent counts as offered, and recovery is measured from the end of the last fault.
func TestService(t *testing.T) {
	e, faults := spec.Parse("x.toml", []byte(experimentText), false)
	if e == nil {
		t.Fatal(faults)
	}
	r := &record.Run{}
	for n, c := range e.Load() {
		if c.Due >= 9*second {
			continue // as if the run had ended early: not sent
		}
		try := record.ClientRequest{Root: c.Root, ID: string(rune('a' + n)), Due: c.Due, Sent: c.Due, Timeout: second, Status: 200, Answered: c.Due + 50*ms}
		switch c.Due / second {
		case 3, 4:
			try.Status = 503
		case 5: // the lateness of a retry counts from the due time of the first request
			first := try
			first.ID, first.Status = first.ID+"0", 503
			r.Requests = append(r.Requests, first)
			try.Sent, try.Answered = c.Due+400*ms, c.Due+450*ms
		}
		r.Requests = append(r.Requests, try)
		r.Arrived = append(r.Arrived, record.Arrival{ID: try.ID, Root: c.Root, At: try.Sent + ms, Executed: true, Effect: try.Answered})
	}
	out := Judge(e, r)
	asked := out.Figures["asked"]
	if want := (asked - 4 + 0.25) / asked; out.Figures["breaches"] != 0 || asked < 9 || out.Figures["service"] < want-0.02 || out.Figures["service"] > want+0.02 {
		t.Errorf("%v: %q", out.Figures, out.Examples)
	}
	if got := out.Figures["recover"]; got != 1 {
		t.Errorf("recovered after %g s, want 1", got)
	}
	// A run in which the lab itself was late is void.
	r.Lag = []int64{ms, 30 * ms, 30 * ms}
	if out := Judge(e, r); !strings.Contains(out.Void, "30.0 ms late") {
		t.Errorf("%q", out.Void)
	}
	// A missing answer is excused only if the experiment had killed the balancer.
	r.Requests[0].Status, r.Requests[0].Closed = 0, true
	if out := Judge(e, r); out.Figures["rule1"] != 1 {
		t.Errorf("%v", out.Figures)
	}
	r.Outages = []record.Outage{{Balancer: 0, From: 0, To: 5 * second}}
	if out := Judge(e, r); out.Figures["rule1"] != 0 {
		t.Errorf("%v", out.Figures)
	}
}
