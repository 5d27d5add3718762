package simulation

import (
	"testing"

	"github.com/shoenig/test/must"
)

func parseQuestion(t *testing.T, text string) *Question {
	q, err := ReadQuestion([]byte(text))
	must.NoError(t, err)
	return q
}

const faultyCore = "title = \"hard\"\n[core]\ncontrollers = 4\nputs = 40\nreads = 30\nloss = 0.02\nkills = 2\nkill_alls = 1\nwipes = 2\nack_wipes = 2\ncuts = 2\nfreezes = 1\nstalls = 1\nsync = \"10ms\"\n"

// The search must find a disabled guard and shrink the schedule to the faults that matter. The question written from
// it must show the violation again, and none with the guard in place. With all guards the same search must find
// nothing.
func TestSearchFindsDisabledGuardsAndShrinksTheSchedule(t *testing.T) {
	for _, guard := range []string{"unsynced_ack = true", "no_epoch = true", "old_read = true"} {
		q := parseQuestion(t, faultyCore+guard)
		found, _ := q.Search(1, 2000, nil)
		must.NotNil(t, found, must.Sprint(guard))
		t.Logf("%s: found in run %d with %d faults, shrunk to %d: %.80s", guard, found.Runs, found.OriginalFaults, len(found.Faults), found.Broken)
		must.LessEq(t, 3, len(found.Faults), must.Sprint(guard))
		raw, err := found.File(q)
		must.NoError(t, err)
		_, rows, err := parseQuestion(t, string(raw)).Answer(nil)
		must.NoError(t, err)
		must.Eq(t, 1, rows[0].Broken, must.Sprint(guard))
		guarded := parseQuestion(t, string(raw))
		guarded.Core.UnsyncedAck, guarded.Core.NoEpoch, guarded.Core.OldRead = false, false, false
		_, rows, err = guarded.Answer(nil)
		must.NoError(t, err)
		must.Eq(t, 0, rows[0].Broken, must.Sprint(guard)) // the same run with the guard enabled
	}
	found, runs := parseQuestion(t, faultyCore).Search(1, schedules(300), nil)
	must.Nil(t, found, must.Sprint(found))
	must.Eq(t, schedules(300), runs)
}

func TestSearchFindsQuotaViolation(t *testing.T) {
	q := parseQuestion(t, "[mesh]\nproxies = 20\nzones = 3\ndemand = 1.0\nhot = 6.0\nkill_alls = 2\nkills = 2\nlength = \"20s\"\nfull_bucket = true\n")
	found, _ := q.Search(3, 200, nil)
	must.NotNil(t, found)
	must.LessEq(t, 2, len(found.Faults))
	again, _ := q.Search(3, 200, nil)
	must.Eq(t, found, again)
}

func TestReadQuestionRejectsInvalidFaults(t *testing.T) {
	for _, text := range []string{
		"[[core.faults]]\nkind = \"burn\"\nat = \"1s\"", "[[core.faults]]\nkind = \"kill\"\nat = \"99s\"", "[[mesh.faults]]\nkind = \"wipe\"",
		"[[core.faults]]\nkind = \"kill\"\nwho = -1", "[[core.faults]]\nkind = \"kill\"\nwhen = \"1s\"",
	} {
		_, err := ReadQuestion([]byte(text))
		must.Error(t, err, must.Sprint(text))
	}
}
