package member

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// AliveRuns returns the runs that are alive in the view, sorted.
func (v *View) AliveRuns() (runs []string) {
	for _, m := range v.Members {
		if m.State == Alive.String() {
			runs = append(runs, fmt.Sprintf("%s/%d.%s", m.Name, m.Epoch, m.Run))
		}
	}
	slices.Sort(runs)
	return runs
}

// CompareViews returns one line for each member that returned no view and for each run that is alive in some views only.
func CompareViews(views []View) (lines []string) {
	observers := map[string][]string{} // by run: the members in whose views it is alive
	answered := 0
	for _, v := range views {
		if v.Error != "" {
			lines = append(lines, fmt.Sprintf("%s returned no view: %s", v.Name, v.Error))
			continue
		}
		answered++
		for _, run := range v.AliveRuns() {
			observers[run] = append(observers[run], v.Name)
		}
	}
	for _, run := range slices.Sorted(maps.Keys(observers)) {
		if len(observers[run]) == answered {
			continue
		}
		var missing []string
		for _, v := range views {
			if v.Error == "" && !slices.Contains(observers[run], v.Name) {
				missing = append(missing, v.Name)
			}
		}
		lines = append(lines, fmt.Sprintf("%s is alive according to %s, but not according to %s", run, strings.Join(observers[run], ", "), strings.Join(missing, ", ")))
	}
	return lines
}
