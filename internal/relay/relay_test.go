package relay

import "testing"

func TestSlots(t *testing.T) {
	folder := t.TempDir()
	one, err := Acquire(folder, "n")
	if err != nil || one.Count() != 1 {
		t.Fatal(err)
	}
	two, err := Acquire(folder, "n")
	if err != nil || one.Count() != 2 || two.Count() != 2 {
		t.Fatal(err, one.Count())
	}
	if other, err := Acquire(folder, "m"); err != nil || other.Count() != 1 { // another balancer's are not ours
		t.Error(err)
	}
	one.Release()
	if two.Count() != 1 {
		t.Error("a place that was left counts, though its file is there")
	}
	three, _ := Acquire(folder, "n")
	if three.number != one.number || two.Count() != 2 {
		t.Errorf("place %d", three.number)
	}
	if _, err := Acquire(folder+"/none", "n"); err == nil {
		t.Error("a folder that isn't there")
	}
}
