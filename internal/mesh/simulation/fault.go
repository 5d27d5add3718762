package simulation

import (
	"fmt"
	"slices"
	"time"

	validation "github.com/go-ozzo/ozzo-validation/v4"
	"github.com/zeebo/errs"
)

// Kinds of faults. The values are the names in question files.
const (
	Kill           = "kill"             // one process ends; its port refuses connections
	KillAll        = "kill_all"         // all processes end at about the same time
	PowerLoss      = "power_loss"       // one machine loses power and does not respond at all
	PowerAll       = "power_all"        // all machines lose power
	SendPower      = "send_power"       // all machines lose power right after an update was sent
	Wipe           = "wipe"             // one machine loses power and its disk
	WipeAlone      = "wipe_alone"       // one machine loses its disk while all others lose power
	AckWipe        = "ack_wipe"         // the controller that acknowledged an update loses its disk; see acknowledgementSent
	Cut            = "cut"              // a process neither reaches nor hears others
	CutOff         = "cut_off"          // a process reaches no others
	CutDeaf        = "cut_deaf"         // a process hears no others
	CutLink        = "cut_link"         // a process does not reach the next one
	Refuse         = "refuse"           // a process refuses connections
	Freeze         = "freeze"           // a process is suspended
	Slow           = "slow"             // a process handles messages many times slower
	Stall          = "stall"            // a disk completes no writes
	SlowDisk       = "slow_disk"        // a disk is many times slower
	ClockStep      = "clock_step"       // the wall clock jumps
	Term           = "term"             // SIGTERM; the machine returns with its disk
	Replace        = "replace"          // a new machine joins; the old one then gets SIGTERM and never returns
	ReplaceBack    = "replace_and_back" // like Replace, but the old machine returns later with its disk
	ReplaceWipe    = "replace_wipe"     // like Replace; then another loses its disk and all others lose power
	MachineLoss    = "machine_loss"     // a machine never returns; a new one joins at another address
	ControllerKill = "controller_kill"  // in mesh scenarios: a controller ends
	ZoneCut        = "zone_cut"         // a zone is cut off from the others
)

var (
	coreKinds = []string{Kill, KillAll, PowerLoss, PowerAll, SendPower, Wipe, WipeAlone, AckWipe, Cut, CutOff, CutDeaf, CutLink, Refuse, Freeze, Slow,
		Stall, SlowDisk, ClockStep, Term, Replace, ReplaceBack, ReplaceWipe, MachineLoss}
	meshKinds = []string{Kill, KillAll, Cut, ControllerKill, ZoneCut}
)

// Fault is one injected fault.
type Fault struct {
	Kind  string   `toml:"kind"`
	At    duration `toml:"at,omitempty"`
	For   duration `toml:"for,omitempty"`
	Who   int      `toml:"who,omitempty"`   // index of the process or zone
	After int      `toml:"after,omitempty"` // number of the triggering event, from 1; see triggered
}

// triggered reports whether an event of the run triggers the fault, rather than a point in time. AckWipe is triggered
// by an acknowledgement, SendPower by an update that is sent.
func (f Fault) triggered() bool { return f.Kind == AckWipe || f.Kind == SendPower }

func (f Fault) String() string {
	switch f.Kind {
	case AckWipe:
		return fmt.Sprintf("%s after acknowledgement %d, for %v", f.Kind, f.After, time.Duration(f.For))
	case SendPower:
		return fmt.Sprintf("%s after update %d, for %v", f.Kind, f.After, time.Duration(f.For))
	}
	return fmt.Sprintf("%s of %d at %v, for %v", f.Kind, f.Who, time.Duration(f.At).Round(time.Millisecond), time.Duration(f.For))
}

// validateFaults returns an error for each invalid fault of a list.
func validateFaults(table string, all []Fault, kinds []string, length duration) error {
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

func withoutFault(all []Fault, n int) []Fault { return slices.Delete(slices.Clone(all), n, n+1) }
