package keep

import (
	"testing"

	"ottershift/internal/cluster/pack"
)

// A part is taken only once all keepers have said that their builds know it, and no more once one is started with an older build.
func TestPartRequiresSupportOfAllVoters(t *testing.T) {
	bootstrap := NewBootstrap(0, "a", "da", 1, 1, nil, nil, []string{"a", "b", "c"}, nil)
	bootstrap.Own.Parts = "\x01"
	hello := func(name, parts string, runs uint64) {
		bootstrap.HandleHello(&Hello{Name: name, DiskID: "d" + name, StartCount: runs, Nonce: runs, Parts: parts})
	}
	hello("b", "\x01", 1)
	if bootstrap.AllSupport(1) {
		t.Error("c has not spoken")
	}
	hello("c", "", 1)
	if bootstrap.AllSupport(1) {
		t.Error("c's build doesn't know it")
	}
	hello("c", "\x01\x02", 2)
	if !bootstrap.AllSupport(1) || bootstrap.AllSupport(2) {
		t.Error("all know part 1, and not part 2")
	}
	hello("b", "", 2)
	if bootstrap.AllSupport(1) {
		t.Error("b runs an older build now")
	}
}

// In a group without owners a run is ended by the owner of sessions of the first: the highest token that was seen counts.
func TestCloseSessionFencing(t *testing.T) {
	state := NewState("c", nil, nil, allChecks)
	n := uint64(1)
	do := func(c Command) byte {
		n++
		_, a := state.Apply(n, pack.Pack(&c))
		return a.Code
	}
	for _, name := range []string{"a", "b", "x", "y"} {
		do(Command{Kind: OpenSession, Member: name, Epoch: 1, Run: 1})
	}
	if code := do(Command{Kind: CloseSession, Member: "a", Epoch: 1, Seq: 1, Target: "x", Number: 1, Token: 7}); code != CodeOK || state.Sessions["x"].Open {
		t.Errorf("the owner's word: %d", code)
	}
	if code := do(Command{Kind: CloseSession, Member: "b", Epoch: 1, Seq: 1, Target: "y", Number: 1, Token: 6}); code != CodeFenced || !state.Sessions["y"].Open {
		t.Errorf("an old owner's word: %d", code)
	}
	if code := do(Command{Kind: CloseSession, Member: "b", Epoch: 1, Seq: 2, Target: "y", Number: 1, Token: 9}); code != CodeOK || state.Sessions["y"].Open {
		t.Errorf("a newer owner's word: %d", code)
	}
	first := NewState("c", nil, nil, allChecks) // where the duty is owned its token counts, by End
	state, n = first, 1
	do(Command{Kind: OpenSession, Member: "a", Epoch: 1, Run: 1})
	do(Command{Kind: OpenSession, Member: "x", Epoch: 1, Run: 1})
	do(Command{Kind: AcquireDuty, Member: "a", Epoch: 1, Seq: 1, Duty: SessionsDuty})
	if code := do(Command{Kind: CloseSession, Member: "a", Epoch: 1, Seq: 2, Target: "x", Number: 1, Token: 1 << 40}); code != CodeFenced || !state.Sessions["x"].Open {
		t.Errorf("in the first group: %d", code)
	}
}
