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

// beat is a beat of an upstream's life.
func beat(number int64, capacity int, condition string) *checkIn {
	c := &checkIn{Address: "127.0.0.1:1"}
	c.Notice.Destination, c.Notice.Capacity = "s", capacity
	c.Status.Condition, c.Status.PostmarkNo, c.Status.Cold_time = condition, number, "0ms"
	return c
}

func asks(id string, aim time.Duration) *upstreamRequest {
	return &upstreamRequest{to: id, urgency: urgency{aim: aim}, until: time.Now().Add(time.Hour)}
}

// A closing may have been acknowledged by the process before: from its first beat on nothing passes.
func TestAClosingThatAnotherProcessMayHaveAcknowledgedIsOld(t *testing.T) {
	for _, trace := range []struct {
		before string
		kind   apierror.Kind
	}{{"", apierror.NotHere}, {"accepting", apierror.None}} {
		b := newLocalUpstream(2*time.Second, "127.0.0.1:1")
		now := time.Now()
		if trace.before != "" {
			b.heartbeat("i", beat(1, 6, trace.before), now)
		}
		b.heartbeat("i", beat(2, 6, "closing"), now)
		_, kind := b.addressOf("i", now)
		must.Eq(t, trace.kind, kind)
	}
}

// Where a withdrawn key has to be refused everywhere, keys hold for as long as the last current answer proves them.
func TestKeysAreTakenOnlyAsLongAsTheyAreProven(t *testing.T) {
	second := int64(time.Second)
	unbounded, bounded := &keyTrust{}, &keyTrust{bound: 5 * time.Second}
	bounded.confirmed(10 * second)
	must.True(t, unbounded.holds(1000*second))
	must.True(t, bounded.holds(14*second))
	must.False(t, bounded.holds(15*second))
	bounded.confirmed(15 * second)
	must.True(t, bounded.holds(15*second))
}

// A trace of beats: late ones, a closing, the next life at the same address.
func TestBeatsOfALifeAndWhatPassesToIt(t *testing.T) {
	b := newLocalUpstream(2500*time.Millisecond, "127.0.0.1:1")
	now := time.Now()
	ctx := context.Background()
	pass := func(id string, at time.Time) apierror.Kind {
		_, kind := b.admit(ctx, asks(id, time.Second), at)
		return kind
	}
	b.heartbeat("i1", beat(2, 6, "accepting"), now)
	must.Eq(t, apierror.None, pass("i1", now))
	must.Eq(t, apierror.NotHere, pass("i0", now)) // another life is meant
	b.heartbeat("i1", beat(3, 6, "closing"), now)
	b.heartbeat("i1", beat(1, 6, "accepting"), now) // late: it stays closing
	must.Eq(t, apierror.None, pass("i1", now.Add(1800*time.Millisecond)))
	must.Eq(t, apierror.NotHere, pass("i1", now.Add(1900*time.Millisecond))) // 3/4 of Drain
	b.signOff("i1")
	must.Eq(t, apierror.NotHere, pass("i1", now))
	b.heartbeat("i2", beat(1, 6, "accepting"), now)
	b.heartbeat("i1", beat(9, 6, "accepting"), now) // of a life that has ended
	must.Eq(t, apierror.None, pass("i2", now.Add(time.Hour)))
	b.refused("i2")
	must.Eq(t, apierror.NoRoom, pass("i2", now))
	up, _, changed := b.snapshot()
	must.Nil(t, up) // nothing is there, as others are told
	b.heartbeat("i2", beat(2, 6, "accepting"), now)
	<-changed // whoever took the word of before is told that there is more
	must.Eq(t, apierror.None, pass("i2", now))
	b.silent("i2")
	must.Eq(t, apierror.None, pass("i2", now))
	b.silent("i2") // dark: connections are not even refused
	must.Eq(t, apierror.NoRoom, pass("i2", now))
	b.heartbeat("i2", beat(3, 6, "accepting"), now)
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
	b.heartbeat("i2", beat(4, 6, "accepting"), now) // its own word changes nothing of that
	up, _, _ = b.snapshot()
	must.Eq(t, 3, up.Ill)
}

// An answer in chunks says nothing of its length; only one that is long takes the line's turns.
func TestASmallAnswerOfNoStatedLengthNeverWaitsBehindLongOnes(t *testing.T) {
	p := newPacer(6.4)
	for range paceFlows {
		must.NoError(t, p.take(context.Background(), priority.Rank{})) // all turns are taken, for ever
	}
	answer := func(size int) *reply {
		return &reply{length: -1, flow: strings.NewReader(strings.Repeat("x", size)), pace: p, context: context.Background()}
	}
	small := answer(1500)
	must.NoError(t, small.measure())
	must.Eq(t, 1500, small.length)
	var out strings.Builder
	must.NoError(t, small.stream(&out))
	must.Eq(t, 1500, out.Len())
	long := answer(longFrom + 9)
	must.NoError(t, long.measure())
	must.Eq(t, -1, long.length)
	ctx, end := context.WithCancel(context.Background())
	long.context = ctx
	end()
	must.ErrorIs(t, long.stream(&out), context.Canceled) // it waits for its turn
	p.give()
	long.context = context.Background()
	out.Reset()
	must.NoError(t, long.stream(&out))
	must.Eq(t, longFrom+9, out.Len())
}

func TestWhoIsDueFirstHasTheNextSlot(t *testing.T) {
	b := newLocalUpstream(time.Second, "127.0.0.1:1")
	now := time.Now()
	b.heartbeat("i", beat(1, 1, "accepting"), now)
	for range b.slots() {
		_, kind := b.admit(context.Background(), asks("i", time.Hour), now)
		must.Eq(t, apierror.None, kind)
	}
	order := make(chan string, 2)
	wait := func(name string, aim time.Duration, before int) {
		go func() {
			if _, kind := b.admit(context.Background(), asks("i", aim), now); kind == apierror.None {
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
	_, kind := b.admit(context.Background(), asks("i", 3*time.Hour), now) // the line is full, and it is due last
	must.Eq(t, apierror.NoRoom, kind)
	b.leave("i")
	must.Eq(t, "short", <-order)
	b.leave("i")
	must.Eq(t, "long", <-order)
	_, kind = b.admit(context.Background(), asks("i", time.Nanosecond), now) // a quarter of its aim is over at once
	must.Eq(t, apierror.NoRoom, kind)
}

func TestALongAnswerThatWouldBeLateIsTurnedAwayBeforeItsWork(t *testing.T) {
	p := newPacer(8) // a million bytes a second, of which long answers have 880,000
	p.mean = 88_000  // a tenth of a second each
	in := 0
	for p.admit(urgency{aim: time.Second}) {
		in++
	}
	must.Eq(t, 6, in) // those in front take half of the aim
	p.leave(priority.Rank{})
	must.True(t, p.admit(urgency{aim: time.Second}))
	now := time.Now()
	p.at, p.level = now, paceBurst
	must.Eq(t, 0, p.spend(paceBurst, now))
	must.Eq(t, 100*time.Millisecond, p.spend(88_000, now))
	wide := newPacer(1000)
	for range 1000 {
		must.True(t, wide.admit(urgency{aim: time.Millisecond})) // a wide line turns nothing away
	}
}

// A push that was ordered before an answer that promises that nothing has run does not leave after it; what a balancer turned
// away before its upstream is no try, and what comes after it no repeat.
func TestWhatLeavesForAnUpstream(t *testing.T) {
	paid, free := 0, func() bool { panic("no repeat") }
	pay := func() bool { paid++; return paid < 3 }
	q := &request{tries: 2, replies: map[int]*reply{}}
	must.True(t, q.begin(free))
	q.ended(logic.Refused, true, nil) // by the balancer before it
	must.True(t, q.begin(free))
	q.ended(logic.Refused, false, nil) // by the upstream: it has come there, and not run
	must.True(t, q.begin(pay))
	q.ended(logic.Unreachable, true, nil)
	must.True(t, q.begin(pay))
	q.ended(logic.Disconnected, false, nil)
	must.False(t, q.begin(pay)) // two upstreams have had it
	ran, out, _ := q.close()
	must.Eq(t, []int{1, 0, 2}, []int{ran, out, paid})
	q = &request{tries: 3}
	must.True(t, q.begin(free))
	must.False(t, q.begin(func() bool { return false })) // the budget is spent
	q.close()
	must.False(t, q.begin(pay))
}

// The header that tells a request's aim and rank is read by versions that know of no rank, and written by them without one.
func TestUrgencyOnItsWayBetweenVersions(t *testing.T) {
	table, err := routing.Parse([]byte(`{"Edition":1,"Senders":[{"Name":"t","ApiKeys":["k"],"Precedence":3}],"PostOffices":[{"Town":"a","Regulations":[
{"Name":"r","MailClass":"repeatable","Target":"1s","Precedence":2,"Sorting":{"StreetPrefix":"/r/"},"Dispatch":{"Destination":"s","Deadline":"1s","DeliveryTries":1}}]}],"Depots":[{"Name":"s"}]}`))
	must.NoError(t, err)
	f := &Proxy{}
	f.view.Store(&configurationView{table: table})
	told := urgency{300 * time.Millisecond, priority.Of(1, 0), false}.encode()
	must.Eq(t, "300", told[0]) // all that the version before reads
	for _, c := range []struct {
		values []string
		path   string
		tenant string
		want   urgency
	}{
		{told, "/r/x", "t", urgency{300 * time.Millisecond, priority.Of(1, 0), false}},
		{told[:1], "/r/x?y", "t", urgency{300 * time.Millisecond, priority.Of(3, 2), false}}, // of the version before: by what is known here
		{told[:1], "/r/x", "", urgency{300 * time.Millisecond, priority.Of(0, 2), false}},
		{urgency{300 * time.Millisecond, priority.Of(1, 0), true}.encode(), "/r/x", "t", urgency{300 * time.Millisecond, priority.Of(1, 0), true}},
		{told[:1], "/other/", "t", urgency{300 * time.Millisecond, priority.Lowest, false}},
		{[]string{"1e9", "priority=no"}, "/other/", "", urgency{aimUnsaid, priority.Lowest, false}},
		{nil, "/other/", "", urgency{aimUnsaid, priority.Lowest, false}},
	} {
		r := httptest.NewRequest("GET", "http://a"+c.path, nil)
		r.RequestURI, r.Host = c.path, "a"
		r.Header[meshAimHeader] = c.values
		r.Header[senderName] = []string{c.tenant}
		must.Eq(t, c.want, f.urgencyOf(r), must.Sprint(c))
	}
	must.SliceContains(t, setByTheHub, meshAimHeader) // what a client sends of it goes no further
}

// A long answer of an urgent request has the narrow line before those that have waited for longer.
func TestTheLineGoesToTheMostUrgentLongAnswer(t *testing.T) {
	p := newPacer(6.4)
	for range paceFlows {
		must.NoError(t, p.take(context.Background(), priority.Rank{}))
	}
	order := make(chan string, 2)
	wait := func(name string, rank priority.Rank, before int) {
		go func() {
			if p.take(context.Background(), rank) == nil {
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
	p.give()
	must.Eq(t, "urgent", <-order)
	p.give()
	must.Eq(t, "usual", <-order)
}
