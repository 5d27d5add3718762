package relay

import "testing"

func TestSeats(t *testing.T) {
	folder := t.TempDir()
	one, err := Take(folder, "n")
	if err != nil || one.Count() != 1 {
		t.Fatal(err)
	}
	two, err := Take(folder, "n")
	if err != nil || one.Count() != 2 || two.Count() != 2 {
		t.Fatal(err, one.Count())
	}
	if other, err := Take(folder, "m"); err != nil || other.Count() != 1 { // another balancer's are not ours
		t.Error(err)
	}
	one.Leave()
	if two.Count() != 1 {
		t.Error("a place that was left counts, though its file is there")
	}
	three, _ := Take(folder, "n")
	if three.own != one.own || two.Count() != 2 {
		t.Errorf("place %d", three.own)
	}
	if _, err := Take(folder+"/none", "n"); err == nil {
		t.Error("a folder that isn't there")
	}
}
