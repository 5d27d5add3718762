package keep

import (
	"testing"

	"ottershift/internal/cluster/pack"
)

// A part's commands are accepted only while the newest known builds of all voters support the part.
func TestPartRequiresSupportOfAllVoters(t *testing.T) {
	bootstrap := NewBootstrap(0, "a", "da", 1, 1, nil, nil, []string{"a", "b", "c"}, nil)
	bootstrap.Self.Parts = "\x01"
	hello := func(name, parts string, runs uint64) {
		bootstrap.HandleHello(&Hello{Name: name, DiskID: "d" + name, StartCount: runs, Nonce: runs, Parts: parts})
	}
	hello("b", "\x01", 1)
	if bootstrap.AllSupport(1) {
		t.Error("part 1 accepted before c has sent a hello")
	}
	hello("c", "", 1)
	if bootstrap.AllSupport(1) {
		t.Error("part 1 accepted although the build of c does not support it")
	}
	hello("c", "\x01\x02", 2)
	if !bootstrap.AllSupport(1) || bootstrap.AllSupport(2) {
		t.Error("want part 1 accepted and part 2 refused")
	}
	hello("b", "", 2)
	if bootstrap.AllSupport(1) {
		t.Error("part 1 accepted although b now runs an older build")
	}
}

// In a group without duties, the owner of SessionsDuty in the first group ends sessions. A token lower than the
// highest one seen there is refused.
func TestCloseSessionFencing(t *testing.T) {
	state := NewState("c", nil, nil, allChecks)
	index := uint64(1)
	do := func(cmd Command) byte {
		index++
		_, result := state.Apply(index, pack.Pack(&cmd))
		return result.Code
	}
	for _, name := range []string{"a", "b", "x", "y"} {
		do(Command{Kind: OpenSession, Member: name, Epoch: 1, Run: 1})
	}
	if code := do(Command{Kind: CloseSession, Member: "a", Epoch: 1, Seq: 1, Target: "x", Number: 1, Token: 7}); code != CodeOK || state.Sessions["x"].Open {
		t.Errorf("close by the owner: %d", code)
	}
	if code := do(Command{Kind: CloseSession, Member: "b", Epoch: 1, Seq: 1, Target: "y", Number: 1, Token: 6}); code != CodeFenced || !state.Sessions["y"].Open {
		t.Errorf("close by a former owner: %d", code)
	}
	if code := do(Command{Kind: CloseSession, Member: "b", Epoch: 1, Seq: 2, Target: "y", Number: 1, Token: 9}); code != CodeOK || state.Sessions["y"].Open {
		t.Errorf("close by a newer owner: %d", code)
	}
	// In the first group the duty has an owner: EndSession checks its token, and CloseSession is refused.
	firstGroup := NewState("c", nil, nil, allChecks)
	state, index = firstGroup, 1
	do(Command{Kind: OpenSession, Member: "a", Epoch: 1, Run: 1})
	do(Command{Kind: OpenSession, Member: "x", Epoch: 1, Run: 1})
	do(Command{Kind: AcquireDuty, Member: "a", Epoch: 1, Seq: 1, Duty: SessionsDuty})
	if code := do(Command{Kind: CloseSession, Member: "a", Epoch: 1, Seq: 2, Target: "x", Number: 1, Token: 1 << 40}); code != CodeFenced || !state.Sessions["x"].Open {
		t.Errorf("close in the first group: %d", code)
	}
}
