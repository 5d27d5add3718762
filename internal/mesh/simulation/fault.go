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
	Kill           = "kill"             // a process; its port refuses connections
	KillAll        = "kill_all"         // all of them, within a moment
	PowerLoss      = "power_loss"       // of a machine; it says nothing
	PowerAll       = "power_all"        // of all of them
	SendPower      = "send_power"       // of all of them, right after an order was sent
	Wipe           = "wipe"             // a machine and its disk
	WipeAlone      = "wipe_alone"       // the same while all others lose power
	AckWipe        = "ack_wipe"         // the same of whoever gave an acknowledgement, right after it, and of as many others as may be borne
	Cut            = "cut"              // a process hears and reaches nobody
	CutOff         = "cut_off"          // reaches nobody
	CutDeaf        = "cut_deaf"         // hears nobody
	CutLink        = "cut_link"         // does not reach the next one
	Refuse         = "refuse"           // refuses connections
	Freeze         = "freeze"           // a process stands still
	Slow           = "slow"             // it handles what arrives many times slower
	Stall          = "stall"            // its disk stands still
	SlowDisk       = "slow_disk"        // its disk is many times slower
	ClockStep      = "clock_step"       // the time of day jumps
	Term           = "term"             // SIGTERM; the machine returns with its disk
	Replace        = "replace"          // a new machine joins; later SIGTERM to the old one, which is gone for good
	ReplaceBack    = "replace_and_back" // the same; the old machine returns later with its disk
	ReplaceWipe    = "replace_wipe"     // replace; as the old one has ended, another loses its disk and all others power
	MachineLoss    = "machine_loss"     // a machine is gone for good; a new one joins at another address
	ControllerKill = "controller_kill"  // on a day of a mesh: a process of the core
	ZoneCut        = "zone_cut"         // a zone is cut off
)

var (
	coreKinds = []string{Kill, KillAll, PowerLoss, PowerAll, SendPower, Wipe, WipeAlone, AckWipe, Cut, CutOff, CutDeaf, CutLink, Refuse, Freeze, Slow,
		Stall, SlowDisk, ClockStep, Term, Replace, ReplaceBack, ReplaceWipe, MachineLoss}
	meshKinds = []string{Kill, KillAll, Cut, ControllerKill, ZoneCut}
)

// Fault is one thing that goes wrong.
type Fault struct {
	Kind  string   `toml:"kind"`
	At    duration `toml:"at,omitempty"`
	For   duration `toml:"for,omitempty"`
	Who   int      `toml:"who,omitempty"`   // process, or zone
	After int      `toml:"after,omitempty"` // of ack_wipe and send_power: the how manieth acknowledgement or order of the day
}

// triggered reports whether the fault comes upon an event of the day, not at a time.
func (f Fault) triggered() bool { return f.Kind == AckWipe || f.Kind == SendPower }

func (f Fault) String() string {
	switch f.Kind {
	case AckWipe:
		return fmt.Sprintf("%s after acknowledgement %d, for %v", f.Kind, f.After, time.Duration(f.For))
	case SendPower:
		return fmt.Sprintf("%s after order %d, for %v", f.Kind, f.After, time.Duration(f.For))
	}
	return fmt.Sprintf("%s of %d at %v, for %v", f.Kind, f.Who, time.Duration(f.At).Round(time.Millisecond), time.Duration(f.For))
}

// validateFaults names what is wrong with a list of them.
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
