package consensus

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// appliedChanges returns the list after count changes with editions 2, 4, 6 and so on.
func appliedChanges(count int) (all AppliedChanges) {
	for n := range count {
		all = all.Append(testChange(n))
	}
	return all
}

func testChange(n int) AppliedChange {
	return AppliedChange{Edition: int64(2 * (n + 1)), Digest: fmt.Sprintf("%032x", n)}
}

// An applied change that was trimmed from the list must not be reported as never applied. A change that was not applied
// is reported as such if its edition or base is not older than the list.
func TestAppliedChangesAreNeverReportedAsNotApplied(t *testing.T) {
	for _, count := range []int{0, 1, 63, 64, 65, 100, MaxAppliedChanges, MaxAppliedChanges + 500} {
		all := appliedChanges(count)
		found := 0
		for n := range count {
			change := testChange(n)
			if all.Contains(change.Digest) {
				found++
				continue
			}
			must.False(t, all.CertainlyNotApplied(change.Edition, change.Edition-2), must.Sprint(count, n))
			must.False(t, all.CertainlyNotApplied(0, change.Edition-2), must.Sprint(count, n))
		}
		must.Eq(t, min(count, MaxAppliedChanges), found)
		newest := int64(2 * count)
		must.True(t, all.CertainlyNotApplied(newest+1, 0), must.Sprint(count))         // an edition that no change has set yet
		must.True(t, all.CertainlyNotApplied(0, max(0, newest-2)), must.Sprint(count)) // made on an edition that the list covers
	}
}

// A process of the previous release trims the list to 64 entries. A change that it trimmed must not be reported as
// never applied either.
func TestListTrimmedByPreviousVersion(t *testing.T) {
	all := appliedChanges(300)
	trimmed := AppliedChanges(all[len(all)-previousMaxAppliedChanges:])
	for range 3 {
		must.False(t, trimmed.Contains(testChange(200).Digest))
		must.False(t, trimmed.CertainlyNotApplied(testChange(200).Edition, testChange(199).Edition))
		must.True(t, trimmed.CertainlyNotApplied(0, testChange(250).Edition))
		trimmed = trimmed.Append(AppliedChange{Edition: trimmed[len(trimmed)-1].Edition + 1, Digest: "later"})
	}
}

func TestAppliedChangesStayWithinByteLimit(t *testing.T) {
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
	must.False(t, all.CertainlyNotApplied(high, high-1))

	huge := all.Append(AppliedChange{Edition: high + 2000, Digest: strings.Repeat("f", 2*MaxAppliedChangeBytes)})
	must.Len(t, 1, huge) // the newest is kept in any case
}

func BenchmarkAStateWithAppliedChanges(b *testing.B) {
	for _, count := range []int{0, previousMaxAppliedChanges, MaxAppliedChanges} {
		state := &State{Index: 7, AppliedChanges: appliedChanges(count), Configuration: json.RawMessage(`{"Edition":1}`)}
		raw, _ := json.Marshal(state)
		b.Run(fmt.Sprintf("marshal/%d", count), func(b *testing.B) {
			for b.Loop() {
				json.Marshal(state)
			}
			b.ReportMetric(float64(len(raw)), "bytes")
		})
		b.Run(fmt.Sprintf("unmarshal/%d", count), func(b *testing.B) {
			for b.Loop() {
				json.Unmarshal(raw, &State{})
			}
		})
		b.Run(fmt.Sprintf("append/%d", count), func(b *testing.B) {
			for b.Loop() {
				state.AppliedChanges.Append(testChange(count))
			}
		})
	}
}
