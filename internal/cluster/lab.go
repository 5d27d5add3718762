package cluster

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
)

// Variable names the file by which the lab tells a process that it started what else holds there.
const Variable = "OTTERSHIFT_LAB"

// Lab is what the lab tells a process of its own: guards to leave out, so that a judge can be seen to convict, and faults
// of its directory.
type Lab struct {
	Process int      `json:"process"` // the lab's own, whose child this must be
	Without []string `json:"without,omitempty"`
	Disk    string   `json:"disk,omitempty"` // file that says which fault the directory has
}

// Withouts are the guards that can be left out.
var Withouts = []string{"refutation", "epochs", "fence", "once", "reads"}

// InLab reads what the lab says, nil where there is no lab. Danger: a process in service that left a guard out would do
// harm, so anyone but the lab's own child is refused.
func InLab() (*Lab, error) {
	path := os.Getenv(Variable)
	if path == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", Variable, err)
	}
	l := &Lab{}
	if err := json.Unmarshal(raw, l); err != nil {
		return nil, fmt.Errorf("%s: %w", Variable, err)
	}
	if l.Process != os.Getppid() {
		return nil, errors.New(Variable + " is for processes that the lab starts; unset it")
	}
	for _, w := range l.Without {
		if !slices.Contains(Withouts, w) {
			return nil, fmt.Errorf("%s: no guard is called %q", Variable, w)
		}
	}
	return l, nil
}

func (l *Lab) without(guard string) bool { return slices.Contains(l.Without, guard) }
