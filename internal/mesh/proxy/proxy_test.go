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

// newHeartbeat is a beat of an upstream's life.
func newHeartbeat(revision int64, capacity int, condition string) *heartbeatMessage {
	message := &heartbeatMessage{Address: "127.0.0.1:1"}
	message.Notice.Destination, message.Notice.Capacity = "s", capacity
	message.Status.Condition, message.Status.PostmarkNo, message.Status.Cold_time = condition, revision, "0ms"
	return message
}

func newRequestTo(upstream string, latencyTarget time.Duration) *upstreamRequest {
	return &upstreamRequest{upstreamID: upstream, requestPriority: requestPriority{latencyTarget: latencyTarget}, deadline: time.Now().Add(time.Hour)}
}

// A closing may have been acknowledged by the process before: from its first beat on nothing passes.
func TestClosingInFirstHeartbeatCountsAsAcknowledged(t *testing.T) {
	for _, trace := range []struct {
		before string
		kind   apierror.Kind
	}{{"", apierror.NotHere}, {"accepting", apierror.None}} {
		b := newLocalUpstream(2*time.Second, "127.0.0.1:1")
		now := time.Now()
		if trace.before != "" {
			b.heartbeat("i", newHeartbeat(1, 6, trace.before), now)
		}
		b.heartbeat("i", newHeartbeat(2, 6, "closing"), now)
		_, kind := b.addressOf("i", now)
		must.Eq(t, trace.kind, kind)
	}
}

// Where a withdrawn key has to be refused everywhere, keys hold for as long as the last current answer proves them.
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

// A trace of beats: late ones, a closing, the next life at the same address.
func TestHeartbeatsControlAdmission(t *testing.T) {
	b := newLocalUpstream(2500*time.Millisecond, "127.0.0.1:1")
	now := time.Now()
	ctx := context.Background()
	pass := func(id string, at time.Time) apierror.Kind {
		_, kind := b.admit(ctx, newRequestTo(id, time.Second), at)
		return kind
	}
	b.heartbeat("i1", newHeartbeat(2, 6, "accepting"), now)
	must.Eq(t, apierror.None, pass("i1", now))
	must.Eq(t, apierror.NotHere, pass("i0", now)) // another life is meant
	b.heartbeat("i1", newHeartbeat(3, 6, "closing"), now)
	b.heartbeat("i1", newHeartbeat(1, 6, "accepting"), now) // late: it stays closing
	must.Eq(t, apierror.None, pass("i1", now.Add(1800*time.Millisecond)))
	must.Eq(t, apierror.NotHere, pass("i1", now.Add(1900*time.Millisecond))) // 3/4 of Drain
	b.signOff("i1")
	must.Eq(t, apierror.NotHere, pass("i1", now))
	b.heartbeat("i2", newHeartbeat(1, 6, "accepting"), now)
	b.heartbeat("i1", newHeartbeat(9, 6, "accepting"), now) // of a life that has ended
	must.Eq(t, apierror.None, pass("i2", now.Add(time.Hour)))
	b.recordRefused("i2")
	must.Eq(t, apierror.NoRoom, pass("i2", now))
	up, _, changed := b.snapshot()
	must.Nil(t, up) // nothing is there, as others are told
	b.heartbeat("i2", newHeartbeat(2, 6, "accepting"), now)
	<-changed // whoever took the word of before is told that there is more
	must.Eq(t, apierror.None, pass("i2", now))
	b.recordNoAnswer("i2")
	must.Eq(t, apierror.None, pass("i2", now))
	b.recordNoAnswer("i2") // dark: connections are not even refused
	must.Eq(t, apierror.NoRoom, pass("i2", now))
	b.heartbeat("i2", newHeartbeat(3, 6, "accepting"), now)
	must.Eq(t, apierror.None, pass("i2", now))
	for range 6 {
		b.observe("i1", true, now) // of a life that has ended
	}
	up, _, changed = b.snapshot()
	must.Eq(t, 0, up.Ill)
	for n := range 6 {
		b.observe("i2", true, now.Add(time.Duration(n)*time.Millisecond))
	}
	<-changed
	up, _, _ = b.snapshot()
	must.Eq(t, 3, up.Ill)
	b.heartbeat("i2", newHeartbeat(4, 6, "accepting"), now) // its own word changes nothing of that
	up, _, _ = b.snapshot()
	must.Eq(t, 3, up.Ill)
}

// An answer in chunks says nothing of its length; only one that is long takes the line's turns.
func TestShortResponseOfUnknownLengthIsNotPaced(t *testing.T) {
	p := newLinePacer(6.4)
	for range maxPacedFlows {
		must.NoError(t, p.acquire(context.Background(), priority.Rank{})) // all turns are taken, for ever
	}
	answer := func(size int) *downstreamResponse {
		return &downstreamResponse{length: -1, remaining: strings.NewReader(strings.Repeat("x", size)), pacer: p, context: context.Background()}
	}
	small := answer(1500)
	must.NoError(t, small.detectLength())
	must.Eq(t, 1500, small.length)
	var out strings.Builder
	must.NoError(t, small.stream(&out))
	must.Eq(t, 1500, out.Len())
	long := answer(maxShortResponse + 9)
	must.NoError(t, long.detectLength())
	must.Eq(t, -1, long.length)
	ctx, end := context.WithCancel(context.Background())
	long.context = ctx
	end()
	must.ErrorIs(t, long.stream(&out), context.Canceled) // it waits for its turn
	p.yield()
	long.context = context.Background()
	out.Reset()
	must.NoError(t, long.stream(&out))
	must.Eq(t, maxShortResponse+9, out.Len())
}

func TestEarliestDeadlineGetsNextSlot(t *testing.T) {
	b := newLocalUpstream(time.Second, "127.0.0.1:1")
	now := time.Now()
	b.heartbeat("i", newHeartbeat(1, 1, "accepting"), now)
	for range b.slots() {
		_, kind := b.admit(context.Background(), newRequestTo("i", time.Hour), now)
		must.Eq(t, apierror.None, kind)
	}
	order := make(chan string, 2)
	wait := func(name string, aim time.Duration, before int) {
		go func() {
			if _, kind := b.admit(context.Background(), newRequestTo("i", aim), now); kind == apierror.None {
				order <- name
			}
		}()
		for {
			b.mu.Lock()
			n := b.queue.Len()
			b.mu.Unlock()
			if n == before+1 {
				return
			}
		}
	}
	wait("long", 2*time.Hour, 0)
	wait("short", time.Hour, 1)
	_, kind := b.admit(context.Background(), newRequestTo("i", 3*time.Hour), now) // the line is full, and it is due last
	must.Eq(t, apierror.NoRoom, kind)
	b.release("i")
	must.Eq(t, "short", <-order)
	b.release("i")
	must.Eq(t, "long", <-order)
	_, kind = b.admit(context.Background(), newRequestTo("i", time.Nanosecond), now) // a quarter of its aim is over at once
	must.Eq(t, apierror.NoRoom, kind)
}

func TestLateLongResponseIsRejectedBeforeExecution(t *testing.T) {
	p := newLinePacer(8)  // a million bytes a second, of which long answers have 880,000
	p.meanLength = 88_000 // a tenth of a second each
	in := 0
	for p.admit(requestPriority{latencyTarget: time.Second}) {
		in++
	}
	must.Eq(t, 6, in) // those in front take half of the aim
	p.release(priority.Rank{})
	must.True(t, p.admit(requestPriority{latencyTarget: time.Second}))
	now := time.Now()
	p.refilledAt, p.tokens = now, pacerBurst
	must.Eq(t, 0, p.consume(pacerBurst, now))
	must.Eq(t, 100*time.Millisecond, p.consume(88_000, now))
	wide := newLinePacer(1000)
	for range 1000 {
		must.True(t, wide.admit(requestPriority{latencyTarget: time.Millisecond})) // a wide line turns nothing away
	}
}

// A push that was ordered before an answer that promises that nothing has run does not leave after it; what a balancer turned
// away before its upstream is no try, and what comes after it no repeat.
func TestAttemptLimits(t *testing.T) {
	paid, free := 0, func() bool { panic("no repeat") }
	pay := func() bool { paid++; return paid < 3 }
	q := &downstreamRequest{maxAttempts: 2, responses: map[int]*downstreamResponse{}}
	must.True(t, q.beginAttempt(free))
	q.endAttempt(logic.TurnedAway, true, nil) // by the balancer before it
	must.True(t, q.beginAttempt(free))
	q.endAttempt(logic.TurnedAway, false, nil) // by the upstream: it has come there, and not run
	must.True(t, q.beginAttempt(pay))
	q.endAttempt(logic.Unreachable, true, nil)
	must.True(t, q.beginAttempt(pay))
	q.endAttempt(logic.Broken, false, nil)
	must.False(t, q.beginAttempt(pay)) // two upstreams have had it
	ran, out, _ := q.close()
	must.Eq(t, []int{1, 0, 2}, []int{ran, out, paid})
	q = &downstreamRequest{maxAttempts: 3}
	must.True(t, q.beginAttempt(free))
	must.False(t, q.beginAttempt(func() bool { return false })) // the budget is spent
	q.close()
	must.False(t, q.beginAttempt(pay))
}

// The header that tells a request's aim and rank is read by versions that know of no rank, and written by them without one.
func TestPriorityHeaderBetweenVersions(t *testing.T) {
	configuration, err := routing.Parse([]byte(`{"Edition":1,"Senders":[{"Name":"t","ApiKeys":["k"],"Precedence":3}],"PostOffices":[{"Town":"a","Regulations":[
{"Name":"r","MailClass":"repeatable","Target":"1s","Precedence":2,"Sorting":{"StreetPrefix":"/r/"},"Dispatch":{"Destination":"s","Deadline":"1s","DeliveryTries":1}}]}],"Depots":[{"Name":"s"}]}`))
	must.NoError(t, err)
	p := &Proxy{}
	p.view.Store(&configurationView{configuration: configuration})
	encoded := requestPriority{300 * time.Millisecond, priority.Of(1, 0), false}.encode()
	must.Eq(t, "300", encoded[0]) // all that the version before reads
	for _, c := range []struct {
		values []string
		path   string
		tenant string
		want   requestPriority
	}{
		{encoded, "/r/x", "t", requestPriority{300 * time.Millisecond, priority.Of(1, 0), false}},
		{encoded[:1], "/r/x?y", "t", requestPriority{300 * time.Millisecond, priority.Of(3, 2), false}}, // of the version before: by what is known here
		{encoded[:1], "/r/x", "", requestPriority{300 * time.Millisecond, priority.Of(0, 2), false}},
		{requestPriority{300 * time.Millisecond, priority.Of(1, 0), true}.encode(), "/r/x", "t", requestPriority{300 * time.Millisecond, priority.Of(1, 0), true}},
		{encoded[:1], "/other/", "t", requestPriority{300 * time.Millisecond, priority.Lowest, false}},
		{[]string{"1e9", "priority=no"}, "/other/", "", requestPriority{defaultLatencyTarget, priority.Lowest, false}},
		{nil, "/other/", "", requestPriority{defaultLatencyTarget, priority.Lowest, false}},
	} {
		r := httptest.NewRequest("GET", "http://a"+c.path, nil)
		r.RequestURI, r.Host = c.path, "a"
		r.Header[meshPriorityHeader] = c.values
		r.Header[tenantHeader] = []string{c.tenant}
		must.Eq(t, c.want, p.priorityOf(r), must.Sprint(c))
	}
	must.SliceContains(t, meshOwnedHeaders, meshPriorityHeader) // what a client sends of it goes no further
}

// A long answer of an urgent request has the narrow line before those that have waited for longer.
func TestPacerPrefersMostUrgentResponse(t *testing.T) {
	p := newLinePacer(6.4)
	for range maxPacedFlows {
		must.NoError(t, p.acquire(context.Background(), priority.Rank{}))
	}
	order := make(chan string, 2)
	wait := func(name string, rank priority.Rank, before int) {
		go func() {
			if p.acquire(context.Background(), rank) == nil {
				order <- name
			}
		}()
		for waiting := 0; waiting != before+1; {
			p.mu.Lock()
			waiting = p.queue.Len()
			p.mu.Unlock()
		}
	}
	wait("usual", priority.Of(0, 2), 0)
	wait("urgent", priority.Of(0, 0), 1)
	p.yield()
	must.Eq(t, "urgent", <-order)
	p.yield()
	must.Eq(t, "usual", <-order)
}
