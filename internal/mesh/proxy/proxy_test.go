package proxy

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ottershift/internal/mesh/apierror"
	"ottershift/internal/mesh/priority"
	"ottershift/internal/mesh/routing"
	"ottershift/logic"
)

// newHeartbeat returns a heartbeat of an upstream.
func newHeartbeat(revision int64, capacity int, condition string) *heartbeatMessage {
	message := &heartbeatMessage{Address: "127.0.0.1:1"}
	message.Notice.Destination, message.Notice.Capacity = "s", capacity
	message.Status.Condition, message.Status.PostmarkNo, message.Status.Cold_time = condition, revision, "0ms"
	return message
}

// newRequestTo returns a request to an upstream instance.
func newRequestTo(upstream string, latencyTarget time.Duration) *upstreamRequest {
	return &upstreamRequest{upstreamID: upstream, requestPriority: requestPriority{latencyTarget: latencyTarget}, deadline: time.Now().Add(time.Hour)}
}

// A previous proxy process may have acknowledged a closing. If the first heartbeat already reports it, no request is
// admitted.
func TestClosingInFirstHeartbeatCountsAsAcknowledged(t *testing.T) {
	for _, test := range []struct {
		before string
		kind   apierror.Kind
	}{{"", apierror.Misdirected}, {"accepting", apierror.None}} {
		upstream := newLocalUpstream(2*time.Second, "127.0.0.1:1")
		now := time.Now()
		if test.before != "" {
			upstream.heartbeat("i", newHeartbeat(1, 6, test.before), now)
		}
		upstream.heartbeat("i", newHeartbeat(2, 6, "closing"), now)
		_, kind := upstream.addressOf("i", now)
		must.Eq(t, test.kind, kind)
	}
}

// If revoked keys have to be refused everywhere within a bound, keys are accepted only as long as a recent response of
// a current controller confirms them.
func TestAPIKeysExpireWithoutConfirmation(t *testing.T) {
	second := int64(time.Second)
	unbounded, bounded := &keyValidity{}, &keyValidity{maxAge: 5 * time.Second}
	bounded.confirmed(10 * second)
	must.True(t, unbounded.valid(1000*second))
	must.True(t, bounded.valid(14*second))
	must.False(t, bounded.valid(15*second))
	bounded.confirmed(15 * second)
	must.True(t, bounded.valid(15*second))
}

// Admission follows the heartbeats of the upstream: out-of-order ones, a closing, and the next instance at the same
// address.
func TestHeartbeatsControlAdmission(t *testing.T) {
	upstream := newLocalUpstream(2500*time.Millisecond, "127.0.0.1:1")
	now := time.Now()
	ctx := context.Background()
	admitAt := func(id string, at time.Time) apierror.Kind {
		_, kind := upstream.admit(ctx, newRequestTo(id, time.Second), at)
		return kind
	}
	upstream.heartbeat("i1", newHeartbeat(2, 6, "accepting"), now)
	must.Eq(t, apierror.None, admitAt("i1", now))
	must.Eq(t, apierror.Misdirected, admitAt("i0", now)) // another instance is addressed
	upstream.heartbeat("i1", newHeartbeat(3, 6, "closing"), now)
	upstream.heartbeat("i1", newHeartbeat(1, 6, "accepting"), now) // out of order: the upstream stays closing
	must.Eq(t, apierror.None, admitAt("i1", now.Add(1800*time.Millisecond)))
	must.Eq(t, apierror.Misdirected, admitAt("i1", now.Add(1900*time.Millisecond))) // three quarters of Drain have passed
	upstream.signOff("i1")
	must.Eq(t, apierror.Misdirected, admitAt("i1", now))
	upstream.heartbeat("i2", newHeartbeat(1, 6, "accepting"), now)
	upstream.heartbeat("i1", newHeartbeat(9, 6, "accepting"), now) // of an ended instance
	must.Eq(t, apierror.None, admitAt("i2", now.Add(time.Hour)))
	upstream.recordRefused("i2")
	must.Eq(t, apierror.NoCapacity, admitAt("i2", now))
	reported, _, changed := upstream.snapshot()
	must.Nil(t, reported) // reported as absent
	upstream.heartbeat("i2", newHeartbeat(2, 6, "accepting"), now)
	<-changed // holders of the previous state are notified
	must.Eq(t, apierror.None, admitAt("i2", now))
	upstream.recordNoAnswer("i2")
	must.Eq(t, apierror.None, admitAt("i2", now))
	upstream.recordNoAnswer("i2") // second connection attempt without an answer: unreachable
	must.Eq(t, apierror.NoCapacity, admitAt("i2", now))
	upstream.heartbeat("i2", newHeartbeat(3, 6, "accepting"), now)
	must.Eq(t, apierror.None, admitAt("i2", now))
	for range 6 {
		upstream.observe("i1", true, now) // of an ended instance
	}
	reported, _, changed = upstream.snapshot()
	must.Eq(t, 0, reported.OutlierLevel)
	for n := range 6 {
		upstream.observe("i2", true, now.Add(time.Duration(n)*time.Millisecond))
	}
	<-changed
	reported, _, _ = upstream.snapshot()
	must.Eq(t, 3, reported.OutlierLevel)
	upstream.heartbeat("i2", newHeartbeat(4, 6, "accepting"), now) // a heartbeat does not reset the outlier level
	reported, _, _ = upstream.snapshot()
	must.Eq(t, 3, reported.OutlierLevel)
}

// A chunked response does not state its length. A short one must not wait for the line behind long responses.
func TestShortResponseOfUnknownLengthIsNotPaced(t *testing.T) {
	line := newLinePacer(6.4)
	for range maxPacedFlows {
		must.NoError(t, line.acquire(context.Background(), priority.Rank{})) // the line stays occupied
	}
	newResponse := func(size int) *downstreamResponse {
		return &downstreamResponse{length: -1, remaining: strings.NewReader(strings.Repeat("x", size)), pacer: line, context: context.Background()}
	}
	short := newResponse(1500)
	must.NoError(t, short.detectLength())
	must.Eq(t, 1500, short.length)
	var out strings.Builder
	must.NoError(t, short.stream(&out))
	must.Eq(t, 1500, out.Len())
	long := newResponse(maxShortResponse + 9)
	must.NoError(t, long.detectLength())
	must.Eq(t, -1, long.length)
	ctx, cancel := context.WithCancel(context.Background())
	long.context = ctx
	cancel()
	must.ErrorIs(t, long.stream(&out), context.Canceled) // it waits for the line
	line.release()
	long.context = context.Background()
	out.Reset()
	must.NoError(t, long.stream(&out))
	must.Eq(t, maxShortResponse+9, out.Len())
}

// Requests of equal rank get slots in the order of their due times, and a request does not wait longer than a quarter
// of its latency target.
func TestEarliestDeadlineGetsNextSlot(t *testing.T) {
	upstream := newLocalUpstream(time.Second, "127.0.0.1:1")
	now := time.Now()
	upstream.heartbeat("i", newHeartbeat(1, 1, "accepting"), now)
	for range upstream.slots() {
		_, kind := upstream.admit(context.Background(), newRequestTo("i", time.Hour), now)
		must.Eq(t, apierror.None, kind)
	}
	order := make(chan string, 2)
	enqueue := func(name string, latencyTarget time.Duration, before int) {
		go func() {
			if _, kind := upstream.admit(context.Background(), newRequestTo("i", latencyTarget), now); kind == apierror.None {
				order <- name
			}
		}()
		for {
			upstream.mu.Lock()
			n := upstream.queue.Len()
			upstream.mu.Unlock()
			if n == before+1 {
				return
			}
		}
	}
	enqueue("long", 2*time.Hour, 0)
	enqueue("short", time.Hour, 1)
	_, kind := upstream.admit(context.Background(), newRequestTo("i", 3*time.Hour), now) // the queue is full, and this request is due last
	must.Eq(t, apierror.NoCapacity, kind)
	upstream.release("i")
	must.Eq(t, "short", <-order)
	upstream.release("i")
	must.Eq(t, "long", <-order)
	_, kind = upstream.admit(context.Background(), newRequestTo("i", time.Nanosecond), now) // its wait time is over at once
	must.Eq(t, apierror.NoCapacity, kind)
}

// A request whose long response could not start within half of its latency target is refused before it is executed.
func TestLateLongResponseIsRejectedBeforeExecution(t *testing.T) {
	pacer := newLinePacer(8)  // 1,000,000 bytes per second, of which long responses get 880,000
	pacer.meanLength = 88_000 // 100 ms each
	admitted := 0
	for pacer.admit(requestPriority{latencyTarget: time.Second}) {
		admitted++
	}
	must.Eq(t, 6, admitted) // the requests ahead take half of the latency target
	pacer.done(priority.Rank{})
	must.True(t, pacer.admit(requestPriority{latencyTarget: time.Second}))
	now := time.Now()
	pacer.refilledAt, pacer.tokens = now, pacerBurst
	must.Eq(t, 0, pacer.consume(pacerBurst, now))
	must.Eq(t, 100*time.Millisecond, pacer.consume(88_000, now))
	fast := newLinePacer(1000)
	for range 1000 {
		must.True(t, fast.admit(requestPriority{latencyTarget: time.Millisecond})) // a fast line refuses nothing
	}
}

// An attempt that was ordered before the final response must not be sent after it, because that response may state
// that nothing runs. Attempts that were refused before they reached an upstream count neither as attempts nor as
// retries.
func TestAttemptLimits(t *testing.T) {
	taken, unexpectedRetry := 0, func() bool { panic("unexpected retry") }
	takeRetry := func() bool { taken++; return taken < 3 }
	request := &downstreamRequest{maxAttempts: 2, responses: map[int]*downstreamResponse{}}
	must.True(t, request.beginAttempt(unexpectedRetry))
	request.endAttempt(logic.Refused, true, nil) // by the proxy beside the upstream
	must.True(t, request.beginAttempt(unexpectedRetry))
	request.endAttempt(logic.Refused, false, nil) // by the upstream: received, but not executed
	must.True(t, request.beginAttempt(takeRetry))
	request.endAttempt(logic.Unreachable, true, nil)
	must.True(t, request.beginAttempt(takeRetry))
	request.endAttempt(logic.Disconnected, false, nil)
	must.False(t, request.beginAttempt(takeRetry)) // two upstreams have received it
	mayHaveRun, inFlight, _ := request.close()
	must.Eq(t, []int{1, 0, 2}, []int{mayHaveRun, inFlight, taken})
	request = &downstreamRequest{maxAttempts: 3}
	must.True(t, request.beginAttempt(unexpectedRetry))
	must.False(t, request.beginAttempt(func() bool { return false })) // the retry budget is exhausted
	request.close()
	must.False(t, request.beginAttempt(takeRetry))
}

// Earlier releases read the priority header without the rank and send it without one; both directions have to work.
func TestPriorityHeaderBetweenVersions(t *testing.T) {
	configuration, err := routing.Parse([]byte(`{"Edition":1,"Senders":[{"Name":"t","ApiKeys":["k"],"Precedence":3}],"PostOffices":[{"Town":"a","Regulations":[
{"Name":"r","MailClass":"repeatable","Target":"1s","Precedence":2,"Sorting":{"StreetPrefix":"/r/"},"Dispatch":{"Destination":"s","Deadline":"1s","DeliveryTries":1}}]}],"Depots":[{"Name":"s"}]}`))
	must.NoError(t, err)
	p := &Proxy{}
	p.view.Store(&configurationView{configuration: configuration})
	encoded := requestPriority{300 * time.Millisecond, priority.NewRank(1, 0), false}.encode()
	must.Eq(t, "300", encoded[0]) // all that earlier releases read
	for _, c := range []struct {
		values []string
		path   string
		tenant string
		want   requestPriority
	}{
		{encoded, "/r/x", "t", requestPriority{300 * time.Millisecond, priority.NewRank(1, 0), false}},
		{encoded[:1], "/r/x?y", "t", requestPriority{300 * time.Millisecond, priority.NewRank(3, 2), false}}, // from an earlier release: rank of the local configuration
		{encoded[:1], "/r/x", "", requestPriority{300 * time.Millisecond, priority.NewRank(0, 2), false}},
		{requestPriority{300 * time.Millisecond, priority.NewRank(1, 0), true}.encode(), "/r/x", "t", requestPriority{300 * time.Millisecond, priority.NewRank(1, 0), true}},
		{encoded[:1], "/other/", "t", requestPriority{300 * time.Millisecond, priority.LowestRank, false}},
		{[]string{"1e9", "priority=no"}, "/other/", "", requestPriority{defaultLatencyTarget, priority.LowestRank, false}},
		{nil, "/other/", "", requestPriority{defaultLatencyTarget, priority.LowestRank, false}},
	} {
		r := httptest.NewRequest("GET", "http://a"+c.path, nil)
		r.RequestURI, r.Host = c.path, "a"
		r.Header[meshPriorityHeader] = c.values
		r.Header[tenantHeader] = []string{c.tenant}
		must.Eq(t, c.want, p.priorityOf(r), must.Sprint(c))
	}
	must.SliceContains(t, meshOwnedHeaders, meshPriorityHeader) // removed from clients' requests
}

// A narrow line passes to the most urgent waiting response, even if others have waited longer.
func TestPacerPrefersMostUrgentResponse(t *testing.T) {
	pacer := newLinePacer(6.4)
	for range maxPacedFlows {
		must.NoError(t, pacer.acquire(context.Background(), priority.Rank{}))
	}
	order := make(chan string, 2)
	enqueue := func(name string, rank priority.Rank, before int) {
		go func() {
			if pacer.acquire(context.Background(), rank) == nil {
				order <- name
			}
		}()
		for waiting := 0; waiting != before+1; {
			pacer.mu.Lock()
			waiting = pacer.queue.Len()
			pacer.mu.Unlock()
		}
	}
	enqueue("usual", priority.NewRank(0, 2), 0)
	enqueue("urgent", priority.NewRank(0, 0), 1)
	pacer.release()
	must.Eq(t, "urgent", <-order)
	pacer.release()
	must.Eq(t, "usual", <-order)
}
