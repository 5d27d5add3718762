package membership

import (
	"testing"

	"github.com/shoenig/test/must"
)

func nest(node, life string, seq uint64, id string) Node {
	return Node{Name: node, Life: life, Seq: seq, Upstream: &Upstream{ID: id, Service: "x"}}
}

// A trace of what two processes of the core hear, one directly and one from the other.
func TestNewsGoesRoundOnceAndOldNewsNever(t *testing.T) {
	a, b := NewRegistry(), NewRegistry()
	must.True(t, a.Observe(nest("n", "l1", 1, "i1"), 0, 0, true))
	must.False(t, a.Observe(nest("n", "l1", 1, "i1"), 0, s, true)) // a renewal is no news
	nests, _, whole := a.ChangesSince(0, s)
	must.True(t, whole)
	must.True(t, b.Observe(nests[0].Node, nests[0].Age, s, false))
	must.SliceEmpty(t, b.OwnRenewals(s)) // what was heard from another is not passed on as one's own
	must.True(t, a.Observe(nest("n", "l1", 2, "i2"), 0, 2*s, true))
	must.False(t, a.Observe(nest("n", "l1", 1, "i1"), 0, 2*s, false))            // late
	must.True(t, b.Observe(nest("n", "l2", 1, "i3"), 0, 2*s, true))              // started again, heard directly
	must.False(t, b.Observe(nest("n", "l1", 2, "i2"), s, 2*s+ms, false))         // its former life, heard earlier
	news, unknown := b.Renew([]Renewal{{Node: "n", Life: "l1", Seq: 2}}, 2*s+ms) // of a life that is not known as told
	must.False(t, news)
	must.True(t, unknown)
}

func TestALeaseRunsOutIsToldAndForgottenLater(t *testing.T) {
	c := NewRegistry()
	c.Observe(nest("n", "l", 1, "i"), 0, 0, true)
	seq := c.Seq()
	must.False(t, c.Expire(Lease))
	must.True(t, c.Expire(Lease+1))
	nests, gone, _ := c.ChangesSince(seq, Lease+1)
	must.True(t, nests[0].Lost)
	must.SliceEmpty(t, gone)
	must.True(t, c.Observe(nest("n", "l", 1, "i"), 0, Lease+2, true)) // it is back
	must.False(t, c.entries["n"].lost)
	must.True(t, c.Expire(Lease+2+Lease+1))
	must.True(t, c.Expire(Lease+2+Remembered+1))
	_, gone, _ = c.ChangesSince(seq, 2*Remembered)
	must.Eq(t, []string{"n"}, gone)
	must.Eq(t, 0, c.Known())
}

func TestOneThatLeavesIsGoneAtOnce(t *testing.T) {
	c := NewRegistry()
	c.Observe(nest("n", "l", 1, "i"), 0, 0, true)
	must.False(t, c.Observe(Node{Name: "n", Life: "other", Leaving: true}, 0, 1, true))
	must.True(t, c.Observe(Node{Name: "n", Life: "l", Seq: 9, Leaving: true}, 0, 1, true))
	must.Eq(t, 0, c.Known())
}
