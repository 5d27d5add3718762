// Package settings reads the settings file of a process of the mesh. The file consists of lines of the form a.b=value.
// Unknown keys are ignored, and invalid lines are reported with their line number and key.
package settings

import (
	"bufio"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	validation "github.com/go-ozzo/ozzo-validation/v4"
	"github.com/zeebo/errs"
)

// Error is the class of errors in settings.
var Error = errs.Class("settings")

// FileVariable is the environment variable that holds the path of the settings file.
const FileVariable = "OTTERSHIFT_CONFIG"

// Settings describe a process, its machine and the mesh.
type Settings struct {
	Node, Role, MachineClass, Zone, Region string
	Serves                                 []string
	IP                                     string
	Counted, FirstStart                    bool
	DataDir                                string
	UpstreamAddress, Service               string // of the upstream on this machine

	CpuShare, LinkMbps        float64
	MemoryMB, FileDescriptors int64
	DiskMB                    int64

	InboundAddress, OutboundAddress, ReadinessAddress, ControlAddress string            // that the process listens on
	FirstInternalPort, LastInternalPort                               int               // ports for calls between the mesh's processes
	Seeds                                                             []string          // control addresses of the seed controllers
	RegionOfZone                                                      map[string]string // keys are zones

	HeartbeatInterval time.Duration
	Tolerate          Tolerate
	Bounds            Bounds
}

// Tolerate holds the numbers of failures at a time that the mesh has to survive.
type Tolerate struct{ Machines, Zones, Regions int }

// Bounds are the limits that the mesh has to keep. Each field has the name of its setting.
type Bounds struct {
	SeedLag, ReuseAfter, Touch, Ack, CatchUp, Drain, Grace, Lost, Config, Back, Outer, Revoke time.Duration
	RetryWindow, QuotaWindow, Recover                                                         time.Duration
	RetryRatio, QuotaOver                                                                     float64
	RetrySlack, QuotaSlack                                                                    float64
	RevokedEverywhere                                                                         bool
}

// InternalAddress returns the address at which other processes of the mesh reach this one.
func (s *Settings) InternalAddress() string { return InternalAddressOf(s.IP, s.FirstInternalPort) }

// InternalAddressOf returns the internal address on a machine. All machines use the same port.
func InternalAddressOf(ip string, port int) string { return ip + ":" + strconv.Itoa(port) }

// Host returns the IP address of an address with a port.
func Host(address string) string {
	if at, err := netip.ParseAddrPort(address); err == nil {
		return at.Addr().String()
	}
	return address
}

// Default returns the default settings, which are those of the user documentation.
func Default() *Settings {
	return &Settings{
		MemoryMB: 256, FileDescriptors: 4096, CpuShare: 1, HeartbeatInterval: 1500 * time.Millisecond, RegionOfZone: map[string]string{},
		Bounds: Bounds{
			SeedLag: 3 * time.Second, ReuseAfter: 2 * time.Second, Touch: 3 * time.Second, Ack: 5 * time.Second,
			CatchUp: 4 * time.Second, Drain: 2500 * time.Millisecond, Grace: 6 * time.Second, Lost: 200 * time.Millisecond,
			Config: 2500 * time.Millisecond, Back: 250 * time.Millisecond, Outer: 8 * time.Second, Revoke: 5 * time.Second,
			RetryWindow: 10 * time.Second, QuotaWindow: 5 * time.Second, Recover: 15 * time.Second,
			RetryRatio: 0.2, RetrySlack: 50, QuotaOver: 0.1, QuotaSlack: 20,
		},
	}
}

// Load reads a settings file.
func Load(path string) (*Settings, error) {
	if path == "" {
		return nil, Error.New("no settings file: %s is not set", FileVariable)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return Parse(string(text))
}

// Parse parses settings. Its error reports all invalid lines.
func Parse(text string) (*Settings, error) {
	settings := Default()
	var faults errs.Group
	setters := settings.setters()
	lines := bufio.NewScanner(strings.NewReader(text))
	lines.Buffer(make([]byte, 0, 4096), 1<<20)
	lineOf := map[string]int{}
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, value, found := strings.Cut(line, "=")
		if !found {
			faults.Add(Error.New("line %d: %q has no '='", n, line))
			continue
		}
		key, value = strings.TrimSpace(key), strings.TrimSpace(value)
		if firstLine, repeated := lineOf[key]; repeated {
			faults.Add(Error.New("line %d: %s is set on line %d already", n, key, firstLine))
			continue
		}
		lineOf[key] = n
		if zone, is := strings.CutPrefix(key, "Network.Districts."); is {
			settings.RegionOfZone[zone] = value
			continue
		}
		if set, is := setters[key]; is {
			if err := set(value); err != nil {
				faults.Add(Error.New("line %d: %s: %v", n, key, err))
			}
		}
	}
	if err := lines.Err(); err != nil {
		faults.Add(Error.Wrap(err))
	}
	if err := settings.validate(lineOf); err != nil {
		faults.Add(err)
	}
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return settings, nil
}

// validate checks the values of the settings. Its error names the key and line of each invalid one.
func (s *Settings) validate(lineOf map[string]int) error {
	withKey := func(key string, err error) error {
		if err == nil {
			return nil
		}
		if n := lineOf[key]; n > 0 {
			return Error.New("line %d: %s: %v", n, key, err)
		}
		return Error.New("%s: %v", key, err)
	}
	address := validation.By(func(v any) error {
		if text, _ := v.(string); text != "" {
			if _, err := netip.ParseAddrPort(text); err != nil {
				return errs.New("not an address with a port: %q", text)
			}
		}
		return nil
	})
	positive := validation.Min(time.Millisecond)
	var faults errs.Group
	for _, rule := range []struct {
		key   string
		value any
		rules []validation.Rule
	}{
		{"Self.Node", s.Node, []validation.Rule{validation.Required}},
		{"Self.Ip", s.IP, []validation.Rule{validation.Required, validation.By(func(v any) error {
			_, err := netip.ParseAddr(v.(string))
			return err
		})}},
		{"Self.District", s.Zone, []validation.Rule{validation.Required}},
		{"Self.App", s.UpstreamAddress, []validation.Rule{address}},
		{"Self.SizeLimits.MemoryMb", s.MemoryMB, []validation.Rule{validation.Min(int64(16))}},
		{"Self.SizeLimits.Fds", s.FileDescriptors, []validation.Rule{validation.Min(int64(300))}},
		{"Network.InnerPorts", s.FirstInternalPort, []validation.Rule{validation.Required, validation.Min(1), validation.Max(65535)}},
		{"Network.Counters.Control", s.ControlAddress, []validation.Rule{address}},
		{"Network.Counters.Inbound", s.InboundAddress, []validation.Rule{address}},
		{"Network.Counters.Outbound", s.OutboundAddress, []validation.Rule{address}},
		{"Network.Counters.Ready", s.ReadinessAddress, []validation.Rule{address}},
		{"Network.SeedOffices", s.Seeds, []validation.Rule{validation.Each(address)}},
		{"Carrier.Beat", s.HeartbeatInterval, []validation.Rule{positive}},
		{"Tariff.Tolerate.Machines", s.Tolerate.Machines, []validation.Rule{validation.Min(0), validation.Max(8)}},
		{"Tariff.Bounds.Drain", s.Bounds.Drain, []validation.Rule{positive}},
		{"Tariff.Bounds.Config", s.Bounds.Config, []validation.Rule{positive}},
		{"Tariff.Bounds.Grace", s.Bounds.Grace, []validation.Rule{positive}},
		{"Tariff.Bounds.RetryWindow", s.Bounds.RetryWindow, []validation.Rule{positive}},
		{"Tariff.Bounds.QuotaWindow", s.Bounds.QuotaWindow, []validation.Rule{positive}},
		{"Tariff.Bounds.RetryRatio", s.Bounds.RetryRatio, []validation.Rule{validation.Min(0.0)}},
	} {
		faults.Add(withKey(rule.key, validation.Validate(rule.value, rule.rules...)))
	}
	return faults.Err()
}

// setters returns a function for each known key that parses and sets its value.
func (s *Settings) setters() map[string]func(string) error {
	text := func(target *string) func(string) error {
		return func(v string) error { *target = v; return nil }
	}
	list := func(target *[]string) func(string) error {
		return func(v string) error {
			*target = slices.DeleteFunc(strings.Split(v, ","), func(s string) bool { return s == "" })
			return nil
		}
	}
	int64Value := func(target *int64) func(string) error {
		return func(v string) (err error) {
			*target, err = strconv.ParseInt(v, 10, 64)
			return simplifyNumberError(err)
		}
	}
	intValue := func(target *int) func(string) error {
		return func(v string) (err error) { *target, err = strconv.Atoi(v); return simplifyNumberError(err) }
	}
	floatValue := func(target *float64) func(string) error {
		return func(v string) (err error) { *target, err = strconv.ParseFloat(v, 64); return simplifyNumberError(err) }
	}
	boolValue := func(target *bool) func(string) error {
		return func(v string) error {
			if v != "true" && v != "false" {
				return fmt.Errorf("%q is neither true nor false", v)
			}
			*target = v == "true"
			return nil
		}
	}
	duration := func(target *time.Duration) func(string) error {
		return func(v string) (err error) { *target, err = ParseDuration(v); return err }
	}
	ports := func(v string) error {
		first, last, _ := strings.Cut(v, ",")
		if last == "" {
			last = first
		}
		var err error
		if s.FirstInternalPort, err = strconv.Atoi(first); err == nil {
			s.LastInternalPort, err = strconv.Atoi(last)
		}
		if err == nil && s.LastInternalPort < s.FirstInternalPort {
			err = errs.New("the last port is below the first")
		}
		return simplifyNumberError(err)
	}
	self, limits, network, tariff := "Self.", "Self.SizeLimits.", "Network.", "Tariff."
	boundsPrefix := tariff + "Bounds."
	bounds := &s.Bounds
	return map[string]func(string) error{
		self + "Node": text(&s.Node), self + "Role": text(&s.Role), self + "MachineClass": text(&s.MachineClass),
		self + "Serves": list(&s.Serves), self + "Ip": text(&s.IP), self + "District": text(&s.Zone),
		self + "Province": text(&s.Region), self + "Counted": boolValue(&s.Counted), self + "FirstStart": boolValue(&s.FirstStart),
		self + "DataDir": text(&s.DataDir), self + "App": text(&s.UpstreamAddress), self + "Destination": text(&s.Service),
		limits + "CpuShare": floatValue(&s.CpuShare), limits + "LineMbps": floatValue(&s.LinkMbps), limits + "MemoryMb": int64Value(&s.MemoryMB),
		limits + "Fds": int64Value(&s.FileDescriptors), limits + "DiskMb": int64Value(&s.DiskMB),
		network + "Counters.Inbound": text(&s.InboundAddress), network + "Counters.Outbound": text(&s.OutboundAddress),
		network + "Counters.Ready": text(&s.ReadinessAddress), network + "Counters.Control": text(&s.ControlAddress),
		network + "InnerPorts": ports, network + "SeedOffices": list(&s.Seeds), "Carrier.Beat": duration(&s.HeartbeatInterval),
		tariff + "Tolerate.Machines": intValue(&s.Tolerate.Machines), tariff + "Tolerate.Districts": intValue(&s.Tolerate.Zones),
		tariff + "Tolerate.Provinces": intValue(&s.Tolerate.Regions),
		boundsPrefix + "SeedLag":      duration(&bounds.SeedLag), boundsPrefix + "ReuseAfter": duration(&bounds.ReuseAfter), boundsPrefix + "Touch": duration(&bounds.Touch),
		boundsPrefix + "Ack": duration(&bounds.Ack), boundsPrefix + "CatchUp": duration(&bounds.CatchUp), boundsPrefix + "Drain": duration(&bounds.Drain), boundsPrefix + "Grace": duration(&bounds.Grace),
		boundsPrefix + "Lost": duration(&bounds.Lost), boundsPrefix + "Config": duration(&bounds.Config), boundsPrefix + "Back": duration(&bounds.Back), boundsPrefix + "Outer": duration(&bounds.Outer),
		boundsPrefix + "RevokedEverywhere": boolValue(&bounds.RevokedEverywhere), boundsPrefix + "Revoke": duration(&bounds.Revoke),
		boundsPrefix + "RetryRatio": floatValue(&bounds.RetryRatio), boundsPrefix + "RetryWindow": duration(&bounds.RetryWindow), boundsPrefix + "RetrySlack": floatValue(&bounds.RetrySlack),
		boundsPrefix + "QuotaWindow": duration(&bounds.QuotaWindow), boundsPrefix + "QuotaOver": floatValue(&bounds.QuotaOver), boundsPrefix + "QuotaSlack": floatValue(&bounds.QuotaSlack),
		boundsPrefix + "Recover": duration(&bounds.Recover),
	}
}

// simplifyNumberError replaces an error of strconv by one that does not name the strconv function.
func simplifyNumberError(err error) error {
	var number *strconv.NumError
	if errors.As(err, &number) {
		return fmt.Errorf("%q is not a number in range", number.Num)
	}
	return err
}

// ParseDuration parses a duration in the mesh's notation: a number followed by ms or s.
func ParseDuration(text string) (time.Duration, error) {
	number, unit := text, time.Duration(0)
	switch {
	case strings.HasSuffix(text, "ms"):
		number, unit = text[:len(text)-2], time.Millisecond
	case strings.HasSuffix(text, "s"):
		number, unit = text[:len(text)-1], time.Second
	}
	value, err := strconv.ParseFloat(number, 64)
	if unit == 0 || err != nil || value < 0 || value*float64(unit) > float64(1<<62) {
		return 0, fmt.Errorf("%q is no time: a number and ms or s", text)
	}
	return time.Duration(value * float64(unit)), nil
}
