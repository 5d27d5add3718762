package keep

import (
	"testing"

	"ottershift/internal/cluster/pack"
)

// A part is taken only once all keepers have said that their builds know it, and no more once one is started with an older build.
func TestPartsThatAllKnow(t *testing.T) {
	f := NewFormer(0, "a", "da", 1, 1, nil, nil, []string{"a", "b", "c"}, nil)
	f.Own.Parts = "\x01"
	hello := func(name, parts string, runs uint64) {
		f.Heard(&Hello{Name: name, Disk: "d" + name, Runs: runs, Nonce: runs, Parts: parts})
	}
	hello("b", "\x01", 1)
	if f.Knows(1) {
		t.Error("c has not spoken")
	}
	hello("c", "", 1)
	if f.Knows(1) {
		t.Error("c's build doesn't know it")
	}
	hello("c", "\x01\x02", 2)
	if !f.Knows(1) || f.Knows(2) {
		t.Error("all know part 1, and not part 2")
	}
	hello("b", "", 2)
	if f.Knows(1) {
		t.Error("b runs an older build now")
	}
}

// In a group without owners a run is ended by the owner of sessions of the first: the highest token that was seen counts.
func TestRunsEndedInOtherGroups(t *testing.T) {
	s := NewState("c", nil, nil, all)
	n := uint64(1)
	do := func(c Command) byte {
		n++
		_, a := s.Apply(n, pack.Pack(&c))
		return a.Code
	}
	for _, m := range []string{"a", "b", "x", "y"} {
		do(Command{Kind: Open, Member: m, Epoch: 1, Run: 1})
	}
	if code := do(Command{Kind: Close, Member: "a", Epoch: 1, Seq: 1, Other: "x", Number: 1, Token: 7}); code != OK || s.Sessions["x"].Open {
		t.Errorf("the owner's word: %d", code)
	}
	if code := do(Command{Kind: Close, Member: "b", Epoch: 1, Seq: 1, Other: "y", Number: 1, Token: 6}); code != ErrFence || !s.Sessions["y"].Open {
		t.Errorf("an old owner's word: %d", code)
	}
	if code := do(Command{Kind: Close, Member: "b", Epoch: 1, Seq: 2, Other: "y", Number: 1, Token: 9}); code != OK || s.Sessions["y"].Open {
		t.Errorf("a newer owner's word: %d", code)
	}
	first := NewState("c", nil, nil, all) // where the duty is owned its token counts, by End
	s, n = first, 1
	do(Command{Kind: Open, Member: "a", Epoch: 1, Run: 1})
	do(Command{Kind: Open, Member: "x", Epoch: 1, Run: 1})
	do(Command{Kind: Take, Member: "a", Epoch: 1, Seq: 1, Duty: Sessions})
	if code := do(Command{Kind: Close, Member: "a", Epoch: 1, Seq: 2, Other: "x", Number: 1, Token: 1 << 40}); code != ErrFence || !s.Sessions["x"].Open {
		t.Errorf("in the first group: %d", code)
	}
}
