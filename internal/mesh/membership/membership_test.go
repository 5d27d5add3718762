package membership

import (
	"testing"

	"github.com/shoenig/test/must"
)

func testNode(node, incarnation string, seq uint64, id string) Node {
	return Node{Name: node, Incarnation: incarnation, Seq: seq, Upstream: &Upstream{ID: id, Service: "x"}}
}

// Two controllers receive the same reports, one directly and one from the other. Late or repeated reports must not
// replace newer ones, or a node would appear with the upstream of an earlier incarnation.
func TestRegistryIgnoresRepeatedAndStaleReports(t *testing.T) {
	a, b := NewRegistry(), NewRegistry()
	must.True(t, a.Observe(testNode("n", "l1", 1, "i1"), 0, 0, true))
	must.False(t, a.Observe(testNode("n", "l1", 1, "i1"), 0, second, true)) // a renewal changes nothing
	nodes, _, complete := a.ChangesSince(0, second)
	must.True(t, complete)
	must.True(t, b.Observe(nodes[0].Node, nodes[0].Age, second, false))
	must.SliceEmpty(t, b.OwnRenewals(second)) // reports from other controllers are not passed on
	must.True(t, a.Observe(testNode("n", "l1", 2, "i2"), 0, 2*second, true))
	must.False(t, a.Observe(testNode("n", "l1", 1, "i1"), 0, 2*second, false))                           // delayed report
	must.True(t, b.Observe(testNode("n", "l2", 1, "i3"), 0, 2*second, true))                             // restarted, heard directly
	must.False(t, b.Observe(testNode("n", "l1", 2, "i2"), second, 2*second+millisecond, false))          // its previous incarnation, heard earlier
	changed, unknown := b.Renew([]Renewal{{Node: "n", Incarnation: "l1", Seq: 2}}, 2*second+millisecond) // of an incarnation that b does not have
	must.False(t, changed)
	must.True(t, unknown)
}

func TestExpiredLeaseIsReportedThenRemoved(t *testing.T) {
	r := NewRegistry()
	r.Observe(testNode("n", "l", 1, "i"), 0, 0, true)
	seq := r.Seq()
	must.False(t, r.Expire(LeaseDuration))
	must.True(t, r.Expire(LeaseDuration+1))
	nodes, removed, _ := r.ChangesSince(seq, LeaseDuration+1)
	must.True(t, nodes[0].Lost)
	must.SliceEmpty(t, removed)
	must.True(t, r.Observe(testNode("n", "l", 1, "i"), 0, LeaseDuration+2, true)) // renewed again
	must.False(t, r.entries["n"].lost)
	must.True(t, r.Expire(LeaseDuration+2+LeaseDuration+1))
	must.True(t, r.Expire(LeaseDuration+2+LostRetention+1))
	_, removed, _ = r.ChangesSince(seq, 2*LostRetention)
	must.Eq(t, []string{"n"}, removed)
	must.Eq(t, 0, r.Len())
}

func TestLeavingNodeIsRemovedImmediately(t *testing.T) {
	r := NewRegistry()
	r.Observe(testNode("n", "l", 1, "i"), 0, 0, true)
	must.False(t, r.Observe(Node{Name: "n", Incarnation: "other", Leaving: true}, 0, 1, true))
	must.True(t, r.Observe(Node{Name: "n", Incarnation: "l", Seq: 9, Leaving: true}, 0, 1, true))
	must.Eq(t, 0, r.Len())
}
