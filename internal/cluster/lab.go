package cluster

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
)

// LabVariable names the file by which the lab tells a process that it started what else holds there.
const LabVariable = "OTTERSHIFT_LAB"

// Lab is what the lab tells a process of its own: guards to leave out, so that a judge can be seen to convict, and faults
// of its directory.
type Lab struct {
	ParentPID      int      `json:"process"` // the lab's own, whose child this must be
	DisabledGuards []string `json:"without,omitempty"`
	DiskFaultFile  string   `json:"disk,omitempty"` // file that says which fault the directory has
}

// LabGuards are the guards that can be left out.
var LabGuards = []string{"refutation", "epochs", "fence", "once", "reads"}

// ReadLab reads what the lab says, nil where there is no lab. Danger: a process in service that left a guard out would do
// harm, so anyone but the lab's own child is refused.
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

func (lab *Lab) disables(guard string) bool { return slices.Contains(lab.DisabledGuards, guard) }
