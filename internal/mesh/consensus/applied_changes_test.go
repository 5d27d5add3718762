package consensus

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// changesApplied is a list after so many changes whose editions are 2, 4, 6 and so on.
func changesApplied(changes int) (all AppliedChanges) {
	for n := range changes {
		all = all.Append(changeNumber(n))
	}
	return all
}

func changeNumber(n int) AppliedChange {
	return AppliedChange{Edition: int64(2 * (n + 1)), Digest: fmt.Sprintf("%032x", n)}
}

// Whatever has been applied is found or at least not ruled out, however long the list was; a change that was not applied is
// ruled out wherever the list reaches.
func TestAppliedChangesAreNeverRuledOut(t *testing.T) {
	for _, changes := range []int{0, 1, 63, 64, 65, 100, MaxAppliedChanges, MaxAppliedChanges + 500} {
		all := changesApplied(changes)
		found := 0
		for n := range changes {
			c := changeNumber(n)
			if all.Contains(c.Digest) {
				found++
				continue
			}
			must.False(t, all.RulesOut(c.Edition, c.Edition-2), must.Sprint(changes, n))
			must.False(t, all.RulesOut(0, c.Edition-2), must.Sprint(changes, n))
		}
		must.Eq(t, min(changes, MaxAppliedChanges), found)
		newest := int64(2 * changes)
		must.True(t, all.RulesOut(newest+1, 0), must.Sprint(changes))         // an edition that nobody has set yet
		must.True(t, all.RulesOut(0, max(0, newest-2)), must.Sprint(changes)) // built on a version that is remembered
	}
}

// A process of the version before trims to 64 entries; what it forgot is not ruled out either.
func TestAListThatAnEarlierVersionTrimmedReachesLessFar(t *testing.T) {
	all := changesApplied(300)
	trimmed := AppliedChanges(all[len(all)-previousMaxAppliedChanges:])
	for range 3 {
		must.False(t, trimmed.Contains(changeNumber(200).Digest))
		must.False(t, trimmed.RulesOut(changeNumber(200).Edition, changeNumber(199).Edition))
		must.True(t, trimmed.RulesOut(0, changeNumber(250).Edition))
		trimmed = trimmed.Append(AppliedChange{Edition: trimmed[len(trimmed)-1].Edition + 1, Digest: "later"})
	}
}

func TestAppliedChangesStayWithinTheirBytes(t *testing.T) {
	var all AppliedChanges
	const high = int64(9e18) // editions of 19 digits: the longest entries
	for n := range int64(2000) {
		all = all.Append(AppliedChange{Edition: high + n, Digest: strings.Repeat("f", 32)})
	}
	raw, err := json.Marshal(all)
	must.NoError(t, err)
	must.LessEq(t, MaxAppliedChangeBytes, len(raw))
	must.Greater(t, MaxAppliedChangeBytes-100, len(raw))
	must.Eq(t, MaxAppliedChangeBytes/76, len(all))
	must.Eq(t, high+1999, all[len(all)-1].Edition)
	must.False(t, all.RulesOut(high, high-1))

	huge := all.Append(AppliedChange{Edition: high + 2000, Digest: strings.Repeat("f", 2*MaxAppliedChangeBytes)})
	must.Len(t, 1, huge) // the newest stays in any case
}

func BenchmarkAStateWithAppliedChanges(b *testing.B) {
	for _, changes := range []int{0, previousMaxAppliedChanges, MaxAppliedChanges} {
		s := &State{Index: 7, AppliedChanges: changesApplied(changes), Configuration: json.RawMessage(`{"Edition":1}`)}
		raw, _ := json.Marshal(s)
		b.Run(fmt.Sprintf("marshal/%d", changes), func(b *testing.B) {
			for b.Loop() {
				json.Marshal(s)
			}
			b.ReportMetric(float64(len(raw)), "bytes")
		})
		b.Run(fmt.Sprintf("unmarshal/%d", changes), func(b *testing.B) {
			for b.Loop() {
				json.Unmarshal(raw, &State{})
			}
		})
		b.Run(fmt.Sprintf("append/%d", changes), func(b *testing.B) {
			for b.Loop() {
				s.AppliedChanges.Append(changeNumber(changes))
			}
		})
	}
}
