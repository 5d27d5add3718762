package proxy

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ottershift/internal/mesh/apierror"
)

// heartbeats applies heartbeats at the same time and returns the instance that is present afterwards.
func heartbeats(u *localUpstream, all ...sentHeartbeat) string {
	now := time.Now()
	for _, h := range all {
		u.heartbeat(h.id, newHeartbeat(h.revision, 6, h.condition), now)
	}
	return u.id
}

type sentHeartbeat struct {
	id        string
	revision  int64
	condition string
}

// A late heartbeat of an earlier instance must not displace the running one for good. After a restart of the proxy
// nothing tells which of two instances is the newer one, except that the running one goes on sending heartbeats.
func TestRunningInstanceReturnsAfterLateHeartbeat(t *testing.T) {
	upstream := newLocalUpstream(time.Second, "127.0.0.1:1")
	must.Eq(t, "new", heartbeats(upstream, sentHeartbeat{"new", 5, "accepting"}))
	must.Eq(t, "old", heartbeats(upstream, sentHeartbeat{"old", 900, "accepting"}))
	must.Eq(t, "old", heartbeats(upstream, sentHeartbeat{"new", 5, "accepting"}, sentHeartbeat{"new", 6, "accepting"})) // one may only be late
	must.Eq(t, "new", heartbeats(upstream, sentHeartbeat{"new", 7, "accepting"}))
	_, kind := upstream.addressOf("new", time.Now())
	must.Eq(t, apierror.None, kind)
}

// Single late heartbeats of a replaced instance must not displace the one that replaced it.
func TestLateHeartbeatsDoNotDisplaceTheNewInstance(t *testing.T) {
	upstream := newLocalUpstream(time.Second, "127.0.0.1:1")
	for n := range int64(5) {
		must.Eq(t, "new", heartbeats(upstream, sentHeartbeat{"old", n + 1, "accepting"}, sentHeartbeat{"new", n + 1, "accepting"}))
	}
	upstream.signOff("new")
	must.Eq(t, "", heartbeats(upstream, sentHeartbeat{"old", 6, "accepting"}))
	_, kind := upstream.addressOf("old", time.Now()) // replaced, so it is not there either
	must.Eq(t, apierror.Misdirected, kind)
}

// An acknowledged closing is final: neither the order of heartbeats nor a later one may revoke it, and a late closing
// of an earlier instance must not displace the running one.
func TestClosingIsFinalInAnyOrder(t *testing.T) {
	later := time.Now().Add(time.Minute)
	for name, sent := range map[string][]sentHeartbeat{
		"closing overtaken by an earlier number":  {{"i", 5, "accepting"}, {"i", 4, "closing"}},
		"closing overtaken, then a later one":     {{"i", 5, "accepting"}, {"i", 4, "closing"}, {"i", 6, "accepting"}},
		"accepting again":                         {{"i", 5, "accepting"}, {"i", 6, "closing"}, {"i", 7, "accepting"}},
		"accepting again after the first closing": {{"i", 6, "closing"}, {"i", 7, "accepting"}},
	} {
		upstream := newLocalUpstream(time.Second, "127.0.0.1:1")
		heartbeats(upstream, sent...)
		_, kind := upstream.addressOf("i", later)
		must.Eq(t, apierror.Misdirected, kind, must.Sprint(name))
		reported, _, _ := upstream.snapshot()
		must.True(t, reported.Draining, must.Sprint(name))
	}
	upstream := newLocalUpstream(time.Second, "127.0.0.1:1")
	must.Eq(t, "new", heartbeats(upstream, sentHeartbeat{"new", 5, "accepting"}, sentHeartbeat{"old", 9, "closing"}, sentHeartbeat{"old", 10, "accepting"}))
}

// An instance that signs off before its first heartbeat to this process must not be taken for a running one afterwards.
func TestSignOffBeforeFirstHeartbeatIsKept(t *testing.T) {
	upstream := newLocalUpstream(time.Second, "127.0.0.1:1")
	upstream.signOff("i")
	must.Eq(t, "", heartbeats(upstream, sentHeartbeat{"i", 9, "accepting"}))
	_, kind := upstream.addressOf("i", time.Now())
	must.Eq(t, apierror.Misdirected, kind)
}

// Until the departures are known, no request is admitted. Then heartbeats that arrived meanwhile count, except those of
// departed instances.
func TestHeartbeatsAreHeldUntilDeparturesAreKnown(t *testing.T) {
	upstream := newLocalUpstream(time.Second, "127.0.0.1:1")
	upstream.holdHeartbeats()
	must.Eq(t, "", heartbeats(upstream, sentHeartbeat{"old", 9, "accepting"}, sentHeartbeat{"new", 1, "accepting"}, sentHeartbeat{"old", 10, "accepting"}))
	for _, id := range []string{"old", "new"} {
		_, kind := upstream.addressOf(id, time.Now())
		must.Eq(t, apierror.NoCapacity, kind)
	}
	upstream.applyDepartures([]string{"old"})
	must.Eq(t, "new", upstream.id)
	must.True(t, upstream.isRecorded("old"))
	must.False(t, upstream.isRecorded("new"))
	_, kind := upstream.addressOf("new", time.Now())
	must.Eq(t, apierror.None, kind)
}

// The Drain of a closing that was held counts from its arrival, since it may have been acknowledged before the departures
// were known. Were it to count from then, requests would reach the upstream later than Drain after the acknowledgement.
func TestDrainOfHeldClosingCountsFromItsArrival(t *testing.T) {
	const drain = 4 * time.Second
	arrived := time.Now()
	upstream := newLocalUpstream(drain, "127.0.0.1:1")
	upstream.holdHeartbeats()
	upstream.heartbeat("i", newHeartbeat(1, 6, "accepting"), arrived)
	upstream.heartbeat("i", newHeartbeat(2, 6, conditionClosing), arrived)
	upstream.applyDepartures(nil)
	_, kind := upstream.addressOf("i", arrived.Add(drain*3/4))
	must.Eq(t, apierror.None, kind)
	_, kind = upstream.addressOf("i", arrived.Add(drain*3/4+time.Millisecond))
	must.Eq(t, apierror.Misdirected, kind)
}
