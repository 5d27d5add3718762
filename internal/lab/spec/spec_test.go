package spec

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// All experiment files of the repository parse without faults, in the full and the short form.
func TestExperimentFilesAreValid(t *testing.T) {
	files, _ := filepath.Glob("../../../experiments/*.toml")
	if len(files) < 6 {
		t.Fatalf("%v", files)
	}
	for _, file := range files {
		for _, short := range []bool{false, true} {
			e, faults := Read(file, short)
			if e == nil {
				t.Errorf("%v", faults)
			} else if len(e.Verdict) == 0 || len(e.Load()) < 100 {
				t.Errorf("%s: %d conditions, %d calls", file, len(e.Verdict), len(e.Load()))
			}
		}
	}
}

// The same seed gives the same plan byte for byte, another seed another plan, and clients or faults that are added do not
// change the rest of the plan.
func TestPlanDependsOnSeedOnly(t *testing.T) {
	text, err := os.ReadFile("../../../experiments/hang.toml")
	if err != nil {
		t.Fatal(err)
	}
	write := func(text string) string {
		e, faults := Parse("hang.toml", []byte(text), false)
		if e == nil {
			t.Fatal(faults)
		}
		var b bytes.Buffer
		e.Write(&b)
		return b.String()
	}
	one := write(string(text))
	if one != write(string(text)) {
		t.Error("the same seed gives a different plan")
	}
	if one == write(strings.Replace(string(text), "seed = 11", "seed = 12", 1)) {
		t.Error("another seed gives the same plan")
	}
	more := write(string(text) + "\n[[clients]]\nname = \"others\"\nrate = 5\n[[faults]]\nkind = \"slow\"\nat = \"1s\"\nfor = \"1s\"\nfactor = 2\nshare = 0.3\n")
	var kept []string
	for _, line := range strings.Split(more, "\n") {
		if !strings.Contains(line, " others ") && !strings.Contains(line, " slow ") {
			kept = append(kept, line)
		}
	}
	if strings.Join(kept, "\n") != one {
		t.Error("the added clients and fault change the rest of the plan")
	}
}

// Every fault of an experiment file is reported with its line.
func TestFaultsAreReportedWithTheirLine(t *testing.T) {
	_, faults := Parse("x.toml", []byte(`title = "x"
length = "2s"
settle = "3s"
variants = ["desing"]
[tariffs.view]
contract_time = "2s"
hard_stop = "1s"
[work.veiw]
mean = "5ms"
[pools.album]
max_pushs = 3
[upstreams.album]
cout = 3
[[clients]]
tariff = "v"
rate = -1
[[faults]]
kind = "hangs"
upstreams = ["nobody"]
[verdict]
always = ["design.service > 1", "x", "design.speed > 3"]
`), false)
	var said []string
	for _, f := range faults {
		said = append(said, f.Error())
	}
	all := strings.Join(said, "\n")
	for _, want := range []string{
		"x.toml:3: settle: leaves nothing", `x.toml:4: variants[0]: "desing" is none of`, `x.toml:8: work.veiw: "veiw" is not a tariff`,
		"x.toml:13: upstreams.album.cout: is no key here; count is", `x.toml:15: clients[0].tariff: "v" is none of view`,
		"x.toml:16: clients[0].rate: -1 lies outside", `x.toml:18: faults[0].kind: "hangs" is none of`,
		"x.toml:19: faults[0].upstreams: no upstream and no group has this name", `x.toml:21: verdict.always[1]: "x": write it as`,
	} {
		if !strings.Contains(all, want) {
			t.Errorf("not reported: %s", want)
		}
	}
	_, faults = Parse("x.toml", []byte("title = \"x\"\n[tariffs.view]\ncontract_time = \"2s\"\nhard_stop = \"1s\"\n[pools.album]\nmax_pushs = 3\n"+
		"[upstreams.album]\n[[clients]]\n"), false)
	all = ""
	for _, f := range faults {
		all += f.Error() + "\n"
	}
	for _, want := range []string{"x.toml:3: tariffs.view.contract_time: 2s is beyond", "x.toml:6: pools.album.max_pushs: is no key here; max_pushes is"} {
		if !strings.Contains(all, want) {
			t.Errorf("not reported: %s in\n%s", want, all)
		}
	}
}
