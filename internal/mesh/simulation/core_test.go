package simulation

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

func schedules(normal int) int {
	if n, err := strconv.Atoi(os.Getenv("OTTERSHIFT_SCHEDULES")); err == nil {
		return n
	}
	return normal
}

// question reads a question file from the repository.
func question(t *testing.T, name string) *Question {
	raw, err := os.ReadFile(filepath.Join("../../../experiments/mesh", name+".toml"))
	must.NoError(t, err)
	return parseQuestion(t, string(raw))
}

// uncheckedHistories counts the runs whose linearizability check timed out.
func uncheckedHistories(scenario CoreScenario, seeds int) int {
	var n atomic.Int64
	runParallel(seeds, func(k int) {
		if scenario.Simulate(uint64(1 + k)).Unjudged {
			n.Add(1)
		}
	})
	return int(n.Load())
}

// coreQuestions name core scenarios that must not violate any rule.
var coreQuestions = []string{"rough-core", "lost-disks", "two-of-five", "eight-orders", "planned-replacement", "cut-off-twenty-seconds"}

func TestCoreScenariosKeepAllRules(t *testing.T) {
	for _, name := range coreQuestions {
		q := question(t, name)
		q.Seeds = schedules(600) / len(coreQuestions) / max(len(q.Vary["core.controllers"]), 1)
		_, rows, err := q.Answer(nil)
		must.NoError(t, err)
		for _, r := range rows {
			t.Logf("%s %v: %d schedules, %v", name, r.Values, r.Days, r.Shown)
			must.Eq(t, 0, r.Broken, must.Sprint(name, r.Values, r.First))
		}
	}
}

func TestCoreKeepsAllRulesOverHundredsOfChanges(t *testing.T) {
	q := question(t, "hundreds-of-changes")
	q.Seeds = max(schedules(600)/100, 1)
	_, rows, err := q.Answer(nil)
	must.NoError(t, err)
	t.Logf("%d schedules, %v", rows[0].Days, rows[0].Shown)
	must.Eq(t, 0, rows[0].Broken, must.Sprint(rows[0].First))
}

// A history whose check times out proves nothing, so at most one run in a hundred may have one.
func TestMostHistoriesAreCheckedInTime(t *testing.T) {
	const seedsPerQuestion = 100
	all := 0
	for _, name := range coreQuestions {
		n := uncheckedHistories(question(t, name).Core.scenario(), seedsPerQuestion)
		t.Logf("%s: %d of %d runs", name, n, seedsPerQuestion)
		all += n
	}
	must.LessEq(t, seedsPerQuestion*len(coreQuestions)/100, all)
}

// Each disabled guard must lead to a violation in a scenario that has none with the guard; otherwise the scenario
// proves nothing.
func TestDisabledGuardsAreDetected(t *testing.T) {
	files, err := filepath.Glob("../../../experiments/mesh/without-*.toml")
	must.NoError(t, err)
	must.Positive(t, len(files))
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".toml")
		q := question(t, name)
		must.Eq(t, "never", q.Holds)
		q.Seeds = max(schedules(600)/10, q.Seeds)
		unguarded := q.simulateSeeds()
		q.Core.DisabledGuards = DisabledGuards{}
		guarded := q.simulateSeeds()
		t.Logf("%s: violated on %d of %d seeds, %s", name, unguarded.Broken, q.Seeds, unguarded.First)
		must.Eq(t, 0, guarded.Broken, must.Sprint(name, guarded.First))
		must.Positive(t, unguarded.Broken, must.Sprint(name))
	}
}

// Consensus must not read a clock: wall-clock jumps must not change the history of a run.
func TestCoreIgnoresWallClock(t *testing.T) {
	imports, err := exec.Command("go", "list", "-f", "{{.Imports}}", "ottershift/internal/mesh/consensus").Output()
	must.NoError(t, err)
	must.StrNotContains(t, string(imports), "time")
	scenario := question(t, "rough-core").Core.scenario()
	scenario.Faults = scenario.drawFaults(NewSimulator(5).Rand("trouble"))
	steps := func(f Fault) bool { return f.Kind == ClockStep }
	must.True(t, slices.ContainsFunc(scenario.Faults, steps))
	stepped := scenario.Simulate(5).History
	scenario.Faults = slices.DeleteFunc(scenario.Faults, steps)
	must.Eq(t, scenario.Simulate(5).History, stepped)
}

func TestSameSeedGivesSameHistory(t *testing.T) {
	scenario := question(t, "rough-core").Core.scenario()
	must.Eq(t, scenario.Simulate(7).History, scenario.Simulate(7).History)
}
