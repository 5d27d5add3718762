package simulation

import (
	"fmt"
	"slices"
	"time"

	validation "github.com/go-ozzo/ozzo-validation/v4"
	"github.com/zeebo/errs"
)

// Kinds of faults.
const (
	Kill      = "kill"            // a process
	KillAll   = "kill_all"        // all of them, within a moment
	Wipe      = "wipe"            // a process and its disk
	WipeAlone = "wipe_alone"      // the same while all others lose power
	AckWipe   = "ack_wipe"        // the same of whoever gave an acknowledgement, right after it
	Cut       = "cut"             // a process hears and reaches nobody
	CutOff    = "cut_off"         // reaches nobody
	CutDeaf   = "cut_deaf"        // hears nobody
	Freeze    = "freeze"          // a process stands still
	Stall     = "stall"           // its disk does
	CombKill  = "controller_kill" // on a day of a mesh: a process of the core
	ZoneCut   = "zone_cut"        // a zone is cut off
)

var (
	coreKinds = []string{Kill, KillAll, Wipe, WipeAlone, AckWipe, Cut, CutOff, CutDeaf, Freeze, Stall}
	meshKinds = []string{Kill, KillAll, Cut, CombKill, ZoneCut}
)

// Fault is one thing that goes wrong.
type Fault struct {
	Kind  string `toml:"kind"`
	At    span   `toml:"at,omitempty"`
	For   span   `toml:"for,omitempty"`
	Who   int    `toml:"who,omitempty"`   // process, or zone
	After int    `toml:"after,omitempty"` // of ack_wipe: the how manieth acknowledgement of the day
}

func (f Fault) String() string {
	if f.Kind == AckWipe {
		return fmt.Sprintf("%s after acknowledgement %d, for %v", f.Kind, f.After, time.Duration(f.For))
	}
	return fmt.Sprintf("%s of %d at %v, for %v", f.Kind, f.Who, time.Duration(f.At).Round(time.Millisecond), time.Duration(f.For))
}

// checkFaults names what is wrong with a list of them.
func checkFaults(table string, all []Fault, kinds []string, length span) error {
	var faults errs.Group
	names := make([]any, len(kinds))
	for n, k := range kinds {
		names[n] = k
	}
	for n, f := range all {
		if err := validation.ValidateStruct(&f,
			validation.Field(&f.Kind, validation.Required, validation.In(names...)),
			validation.Field(&f.At, validation.Max(length)), validation.Field(&f.For, validation.Max(length)),
			validation.Field(&f.Who, validation.Min(0)), validation.Field(&f.After, validation.Min(0))); err != nil {
			faults.Add(Error.New("%s.faults[%d]: %v", table, n, err))
		}
	}
	return faults.Err()
}

func without(all []Fault, n int) []Fault { return slices.Delete(slices.Clone(all), n, n+1) }
