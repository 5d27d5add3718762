package relay

import "testing"

func TestSlots(t *testing.T) {
	folder := t.TempDir()
	first, err := Acquire(folder, "n")
	if err != nil || first.Count() != 1 {
		t.Fatal(err)
	}
	second, err := Acquire(folder, "n")
	if err != nil || first.Count() != 2 || second.Count() != 2 {
		t.Fatal(err, first.Count())
	}
	if other, err := Acquire(folder, "m"); err != nil || other.Count() != 1 { // another balancer's slots do not count
		t.Error(err)
	}
	first.Release()
	if second.Count() != 1 {
		t.Error("a released slot is counted because its file still exists")
	}
	third, _ := Acquire(folder, "n")
	if third.number != first.number || second.Count() != 2 {
		t.Errorf("acquired slot %d instead of the released one", third.number)
	}
	if _, err := Acquire(folder+"/none", "n"); err == nil {
		t.Error("no error for a missing folder")
	}
}
