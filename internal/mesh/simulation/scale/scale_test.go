package scale

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ottershift/internal/mesh/membership"
)

func TestReadPlan(t *testing.T) {
	files, err := filepath.Glob("../../../../experiments/mesh/scale/*.toml")
	must.NoError(t, err)
	must.SliceNotEmpty(t, files)
	for _, file := range files {
		text, err := os.ReadFile(file)
		must.NoError(t, err)
		_, err = ReadPlan(text)
		must.NoError(t, err, must.Sprint(file))
	}
	for text, want := range map[string][]string{
		"":                               {"sizes"},
		"sizes = [10, 100000]":           {"sizes"},
		"sizes = [10]\nsize = 3":         {"unknown keys", "size"},
		"sizes = [10]\nwindow = \"-1s\"": {"line 2", "below 0"},
		"sizes = [10]\nwindow = \"1h\"":  {"window"},
		"sizes = [10]\nzones = 2\nregions = 3\ncontrollers = 99": {"regions", "controllers"},
		"sizes = [10]\nphases = [\"rest\", \"play\"]":            {"phases"},
		"sizes = [10]\nroutes = 3":                               {"routes"},
		"sizes = [10]\n[serve]\nrates = [0.5]":                   {"serve.rates"},
	} {
		_, err := ReadPlan([]byte(text))
		must.Error(t, err, must.Sprint(text))
		for _, part := range want {
			must.StrContains(t, err.Error(), part)
		}
	}
}

func TestFitFindsLineAndExponent(t *testing.T) {
	base, slope := line([]float64{100, 300, 890}, []float64{7, 11, 22.8})
	must.InDelta(t, 5, base, 1e-9)
	must.InDelta(t, 0.02, slope, 1e-9)
	_, slope = line([]float64{100, 100}, []float64{1, 3})
	must.Zero(t, slope)

	rows := []Row{}
	for _, size := range []int{100, 300, 890} {
		rows = append(rows, Row{Size: size, Phase: PhaseStart, Took: 6, Watch: Reading{Received: int64(size) * int64(size) * 220}})
	}
	found := false
	for _, s := range fitAll(rows) {
		if s.Figure == "told to all" {
			found = true
			must.InDelta(t, 2, s.Exponent, 1e-9)
			must.Eq(t, []int{100, 300, 890}, s.Sizes)
		}
	}
	must.True(t, found)
}

func TestReportTableAndSVG(t *testing.T) {
	r := &Report{Title: "a < b", Rows: []Row{
		{Size: 10, Phase: PhaseRest, Took: 2, Watch: Reading{Received: 40000}},
		{Size: 20, Phase: PhaseRest, Took: 2, Watch: Reading{Received: 80000}},
		{Size: 10, Phase: PhaseServe, Took: 2, Served: &Served{Rate: 50, Calls: 10, OK: 9, Direct: Latency{1, 2}, TwoHops: Latency{1.5, 4}}},
	}}
	r.Slopes = fitAll(r.Rows)
	var table strings.Builder
	must.NoError(t, r.WriteTable(&table))
	for _, part := range []string{"rest", "told to a balancer", "serve at 50/s", "added by two hops, p99", "0.9"} {
		must.StrContains(t, table.String(), part)
	}
	must.StrContains(t, r.SVG(), "a &lt; b")
	must.StrContains(t, r.SVG(), "told to a balancer")
}

func TestParseProcessorWithSpacesInName(t *testing.T) {
	used, err := parseProcessor([]byte("7 (a (b) c) S 1 7 7 0 -1 0 0 0 0 0 150 50 0 0 20 0 1"))
	must.NoError(t, err)
	must.Eq(t, 2*time.Second, used)
	_, err = parseProcessor([]byte("7 (a) S 1"))
	must.Error(t, err)
	own, err := readUsage(os.Getpid())
	must.NoError(t, err)
	must.Positive(t, own.Resident)
	must.Positive(t, own.Descriptors)
}

func TestControllersOfSameZoneComeFirst(t *testing.T) {
	controllers := []membership.ControllerAddress{{Address: "a", Zone: "x"}, {Address: "b", Zone: "y"}, {Address: "c", Zone: "z"}}
	must.Eq(t, "b", orderControllers("hollow-0001", "y", controllers, nil)[0])
	first := map[string]bool{}
	for n := range 10 {
		all := orderControllers(hollowName(n), "none", controllers, []string{"a", "d"})
		must.SliceLen(t, 4, all)
		first[all[0]] = true
	}
	must.MapLen(t, 4, first)
}
