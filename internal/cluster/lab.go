package cluster

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
)

// LabVariable is the environment variable with the path of the file in which the test harness ("ottershift lab") configures
// a process that it starts.
const LabVariable = "OTTERSHIFT_LAB"

// Lab is the configuration that the test harness gives its own processes: safety guards to disable, which shows that the
// checker detects the resulting violations, and faults to inject into the directory.
type Lab struct {
	ParentPID      int      `json:"process"` // process ID of the test harness, which must be the parent
	DisabledGuards []string `json:"without,omitempty"`
	DiskFaultFile  string   `json:"disk,omitempty"` // path of the file that names the injected fault
}

// LabGuards lists the guards that the test harness can disable.
var LabGuards = []string{"refutation", "epochs", "fence", "once", "reads"}

// ReadLab reads the configuration from the test harness; it returns nil if there is none. A production process that runs
// without a guard would violate the cluster's guarantees, so the file is accepted only in a child process of the harness.
func ReadLab() (*Lab, error) {
	path := os.Getenv(LabVariable)
	if path == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", LabVariable, err)
	}
	lab := &Lab{}
	if err := json.Unmarshal(raw, lab); err != nil {
		return nil, fmt.Errorf("%s: %w", LabVariable, err)
	}
	if lab.ParentPID != os.Getppid() {
		return nil, errors.New(LabVariable + " is for processes that the lab starts; unset it")
	}
	for _, guard := range lab.DisabledGuards {
		if !slices.Contains(LabGuards, guard) {
			return nil, fmt.Errorf("%s: no guard is called %q", LabVariable, guard)
		}
	}
	return lab, nil
}

// disables reports whether the test harness disables a guard.
func (lab *Lab) disables(guard string) bool { return slices.Contains(lab.DisabledGuards, guard) }
