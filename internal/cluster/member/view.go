package member

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Present are the runs that a view holds alive, by name.
func (v *View) Present() (runs []string) {
	for _, m := range v.Members {
		if m.State == Alive.String() {
			runs = append(runs, fmt.Sprintf("%s/%d.%s", m.Name, m.Epoch, m.Run))
		}
	}
	slices.Sort(runs)
	return runs
}

// Differ says where views differ about who is alive, a line each, and who did not tell.
func Differ(all []View) (lines []string) {
	holds := map[string][]string{} // runs to the names of those who hold them alive
	told := 0
	for _, v := range all {
		if v.Fault != "" {
			lines = append(lines, fmt.Sprintf("%s did not tell: %s", v.Name, v.Fault))
			continue
		}
		told++
		for _, run := range v.Present() {
			holds[run] = append(holds[run], v.Name)
		}
	}
	for _, run := range slices.Sorted(maps.Keys(holds)) {
		if len(holds[run]) == told {
			continue
		}
		var not []string
		for _, v := range all {
			if v.Fault == "" && !slices.Contains(holds[run], v.Name) {
				not = append(not, v.Name)
			}
		}
		lines = append(lines, fmt.Sprintf("%s is alive to %s, and not to %s", run, strings.Join(holds[run], ", "), strings.Join(not, ", ")))
	}
	return lines
}
