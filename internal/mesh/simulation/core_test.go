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

// question reads one of the questions that stand in the repository.
func question(t *testing.T, name string) *Question {
	raw, err := os.ReadFile(filepath.Join("../../../experiments/mesh", name+".toml"))
	must.NoError(t, err)
	return parseQuestion(t, string(raw))
}

// uncheckedHistories counts the days of a core whose history could not be held against a register in time.
func uncheckedHistories(c CoreScenario, seeds int) int {
	var n atomic.Int64
	runParallel(seeds, func(k int) {
		if c.Simulate(uint64(1 + k)).Unjudged {
			n.Add(1)
		}
	})
	return int(n.Load())
}

// coreQuestions are days on which a core is to keep all rules.
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

// No more than one day in a hundred may have a history that is not held against a register in time.
func TestMostHistoriesAreCheckedInTime(t *testing.T) {
	const each = 100
	all := 0
	for _, name := range coreQuestions {
		n := uncheckedHistories(question(t, name).Core.scenario(), each)
		t.Logf("%s: %d of %d days", name, n, each)
		all += n
	}
	must.LessEq(t, each*len(coreQuestions)/100, all)
}

// Each guard left out must be seen to break something on days on which the design breaks nothing, or they prove nothing.
func TestDisabledGuardsAreDetected(t *testing.T) {
	files, err := filepath.Glob("../../../experiments/mesh/without-*.toml")
	must.NoError(t, err)
	must.Positive(t, len(files))
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".toml")
		q := question(t, name)
		must.Eq(t, "never", q.Holds)
		q.Seeds = max(schedules(600)/10, q.Seeds)
		convicted := q.simulateSeeds()
		q.Core.DisabledGuards = DisabledGuards{}
		held := q.simulateSeeds()
		t.Logf("%s: convicted on %d of %d seeds, %s", name, convicted.Broken, q.Seeds, convicted.First)
		must.Eq(t, 0, held.Broken, must.Sprint(name, held.First))
		must.Positive(t, convicted.Broken, must.Sprint(name))
	}
}

// Agreement has no clock at all, and the steps of the time of day change nothing of a day.
func TestCoreIgnoresWallClock(t *testing.T) {
	imports, err := exec.Command("go", "list", "-f", "{{.Imports}}", "ottershift/internal/mesh/consensus").Output()
	must.NoError(t, err)
	must.StrNotContains(t, string(imports), "time")
	c := question(t, "rough-core").Core.scenario()
	c.Faults = c.drawFaults(NewSimulator(5).Rand("trouble"))
	steps := func(f Fault) bool { return f.Kind == ClockStep }
	must.True(t, slices.ContainsFunc(c.Faults, steps))
	stepped := c.Simulate(5).History
	c.Faults = slices.DeleteFunc(c.Faults, steps)
	must.Eq(t, c.Simulate(5).History, stepped)
}

func TestSameSeedGivesSameHistory(t *testing.T) {
	c := question(t, "rough-core").Core.scenario()
	must.Eq(t, c.Simulate(7).History, c.Simulate(7).History)
}
