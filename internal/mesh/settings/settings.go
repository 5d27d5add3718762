// Package box reads the settings that a process of the mesh is given: lines of a.b=value, of which unknown ones are
// left alone and bad ones are named with line and key.
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

// Error is the class of faults in settings.
var Error = errs.Class("settings")

// Variable names the file.
const Variable = "OTTERSHIFT_CONFIG"

// Box is what a process is told about itself, its machine and the mesh.
type Settings struct {
	Node, Role, Class, District, Province string
	Serves                                []string
	Ip                                    string
	Counted, FirstStart                   bool
	DataDir                               string
	App, Destination                      string // the upstream on this machine, and its service

	CpuShare, LineMbps float64
	MemoryMb, Fds      int64
	DiskMb             int64

	Inbound, Outbound, Ready, Control string // addresses of ours
	InnerFirst, InnerLast             int    // ports between our own processes
	Seeds                             []string
	Districts                         map[string]string // province of each

	Beat     time.Duration
	Tolerate Tolerate
	Bounds   Bounds
}

// Tolerate is what may be lost at once.
type Tolerate struct{ Machines, Districts, Provinces int }

// Bounds are the figures of the rules in force.
type Bounds struct {
	SeedLag, ReuseAfter, Touch, Ack, CatchUp, Drain, Grace, Lost, Config, Back, Outer, Revoke time.Duration
	RetryWindow, QuotaWindow, Recover                                                         time.Duration
	RetryRatio, QuotaOver                                                                     float64
	RetrySlack, QuotaSlack                                                                    float64
	RevokedEverywhere                                                                         bool
}

// Inner is where other processes of the mesh reach this one.
func (b *Settings) Inner() string { return InnerOf(b.Ip, b.InnerFirst) }

// InnerOf is the same of any machine: all use the same ports.
func InnerOf(ip string, port int) string { return ip + ":" + strconv.Itoa(port) }

// Host is the part of an address before its port.
func Host(address string) string {
	if at, err := netip.ParseAddrPort(address); err == nil {
		return at.Addr().String()
	}
	return address
}

// Default is what holds where nothing is said: the figures of the users' pages.
func Default() *Settings {
	return &Settings{
		MemoryMb: 256, Fds: 4096, CpuShare: 1, Beat: 1500 * time.Millisecond, Districts: map[string]string{},
		Bounds: Bounds{
			SeedLag: 3 * time.Second, ReuseAfter: 2 * time.Second, Touch: 3 * time.Second, Ack: 5 * time.Second,
			CatchUp: 4 * time.Second, Drain: 2500 * time.Millisecond, Grace: 6 * time.Second, Lost: 200 * time.Millisecond,
			Config: 2500 * time.Millisecond, Back: 250 * time.Millisecond, Outer: 8 * time.Second, Revoke: 5 * time.Second,
			RetryWindow: 10 * time.Second, QuotaWindow: 5 * time.Second, Recover: 15 * time.Second,
			RetryRatio: 0.2, RetrySlack: 50, QuotaOver: 0.1, QuotaSlack: 20,
		},
	}
}

// Load reads a file.
func Load(path string) (*Settings, error) {
	if path == "" {
		return nil, Error.New("%s names no file", Variable)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return Parse(string(text))
}

// Parse reads settings; all faults are told at once.
func Parse(text string) (*Settings, error) {
	b := Default()
	var faults errs.Group
	known := b.fields()
	lines := bufio.NewScanner(strings.NewReader(text))
	lines.Buffer(make([]byte, 0, 4096), 1<<20)
	at := map[string]int{}
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
		if earlier, twice := at[key]; twice {
			faults.Add(Error.New("line %d: %s stands on line %d already", n, key, earlier))
			continue
		}
		at[key] = n
		if district, is := strings.CutPrefix(key, "Network.Districts."); is {
			b.Districts[district] = value
			continue
		}
		if set, is := known[key]; is {
			if err := set(value); err != nil {
				faults.Add(Error.New("line %d: %s: %v", n, key, err))
			}
		}
	}
	if err := lines.Err(); err != nil {
		faults.Add(Error.Wrap(err))
	}
	if err := b.check(at); err != nil {
		faults.Add(err)
	}
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return b, nil
}

// check holds the settings against one another, and names the key and its line.
func (b *Settings) check(at map[string]int) error {
	named := func(key string, err error) error {
		if err == nil {
			return nil
		}
		if n := at[key]; n > 0 {
			return Error.New("line %d: %s: %v", n, key, err)
		}
		return Error.New("%s: %v", key, err)
	}
	address := validation.By(func(v any) error {
		if text, _ := v.(string); text != "" {
			if _, err := netip.ParseAddrPort(text); err != nil {
				return errs.New("is no address with a port: %q", text)
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
		{"Self.Node", b.Node, []validation.Rule{validation.Required}},
		{"Self.Ip", b.Ip, []validation.Rule{validation.Required, validation.By(func(v any) error {
			_, err := netip.ParseAddr(v.(string))
			return err
		})}},
		{"Self.District", b.District, []validation.Rule{validation.Required}},
		{"Self.App", b.App, []validation.Rule{address}},
		{"Self.SizeLimits.MemoryMb", b.MemoryMb, []validation.Rule{validation.Min(int64(16))}},
		{"Self.SizeLimits.Fds", b.Fds, []validation.Rule{validation.Min(int64(300))}},
		{"Network.InnerPorts", b.InnerFirst, []validation.Rule{validation.Required, validation.Min(1), validation.Max(65535)}},
		{"Network.Counters.Control", b.Control, []validation.Rule{address}},
		{"Network.Counters.Inbound", b.Inbound, []validation.Rule{address}},
		{"Network.Counters.Outbound", b.Outbound, []validation.Rule{address}},
		{"Network.Counters.Ready", b.Ready, []validation.Rule{address}},
		{"Network.SeedOffices", b.Seeds, []validation.Rule{validation.Each(address)}},
		{"Carrier.Beat", b.Beat, []validation.Rule{positive}},
		{"Tariff.Tolerate.Machines", b.Tolerate.Machines, []validation.Rule{validation.Min(0), validation.Max(8)}},
		{"Tariff.Bounds.Drain", b.Bounds.Drain, []validation.Rule{positive}},
		{"Tariff.Bounds.Config", b.Bounds.Config, []validation.Rule{positive}},
		{"Tariff.Bounds.Grace", b.Bounds.Grace, []validation.Rule{positive}},
		{"Tariff.Bounds.RetryWindow", b.Bounds.RetryWindow, []validation.Rule{positive}},
		{"Tariff.Bounds.QuotaWindow", b.Bounds.QuotaWindow, []validation.Rule{positive}},
		{"Tariff.Bounds.RetryRatio", b.Bounds.RetryRatio, []validation.Rule{validation.Min(0.0)}},
	} {
		faults.Add(named(rule.key, validation.Validate(rule.value, rule.rules...)))
	}
	return faults.Err()
}

// fields is how each known line is taken.
func (b *Settings) fields() map[string]func(string) error {
	text := func(to *string) func(string) error {
		return func(v string) error { *to = v; return nil }
	}
	list := func(to *[]string) func(string) error {
		return func(v string) error {
			*to = slices.DeleteFunc(strings.Split(v, ","), func(s string) bool { return s == "" })
			return nil
		}
	}
	whole := func(to *int64) func(string) error {
		return func(v string) (err error) { *to, err = strconv.ParseInt(v, 10, 64); return plain(err) }
	}
	small := func(to *int) func(string) error {
		return func(v string) (err error) { *to, err = strconv.Atoi(v); return plain(err) }
	}
	real := func(to *float64) func(string) error {
		return func(v string) (err error) { *to, err = strconv.ParseFloat(v, 64); return plain(err) }
	}
	yes := func(to *bool) func(string) error {
		return func(v string) error {
			if v != "true" && v != "false" {
				return fmt.Errorf("%q is neither true nor false", v)
			}
			*to = v == "true"
			return nil
		}
	}
	span := func(to *time.Duration) func(string) error {
		return func(v string) (err error) { *to, err = Span(v); return err }
	}
	ports := func(v string) error {
		first, last, _ := strings.Cut(v, ",")
		if last == "" {
			last = first
		}
		var err error
		if b.InnerFirst, err = strconv.Atoi(first); err == nil {
			b.InnerLast, err = strconv.Atoi(last)
		}
		if err == nil && b.InnerLast < b.InnerFirst {
			err = errs.New("the last port is below the first")
		}
		return plain(err)
	}
	r, l, n, t := "Self.", "Self.SizeLimits.", "Network.", "Tariff."
	w := t + "Bounds."
	k := &b.Bounds
	return map[string]func(string) error{
		r + "Node": text(&b.Node), r + "Role": text(&b.Role), r + "MachineClass": text(&b.Class),
		r + "Serves": list(&b.Serves), r + "Ip": text(&b.Ip), r + "District": text(&b.District),
		r + "Province": text(&b.Province), r + "Counted": yes(&b.Counted), r + "FirstStart": yes(&b.FirstStart),
		r + "DataDir": text(&b.DataDir), r + "App": text(&b.App), r + "Destination": text(&b.Destination),
		l + "CpuShare": real(&b.CpuShare), l + "LineMbps": real(&b.LineMbps), l + "MemoryMb": whole(&b.MemoryMb),
		l + "Fds": whole(&b.Fds), l + "DiskMb": whole(&b.DiskMb),
		n + "Counters.Inbound": text(&b.Inbound), n + "Counters.Outbound": text(&b.Outbound),
		n + "Counters.Ready": text(&b.Ready), n + "Counters.Control": text(&b.Control),
		n + "InnerPorts": ports, n + "SeedOffices": list(&b.Seeds), "Carrier.Beat": span(&b.Beat),
		t + "Tolerate.Machines": small(&b.Tolerate.Machines), t + "Tolerate.Districts": small(&b.Tolerate.Districts),
		t + "Tolerate.Provinces": small(&b.Tolerate.Provinces),
		w + "SeedLag":            span(&k.SeedLag), w + "ReuseAfter": span(&k.ReuseAfter), w + "Touch": span(&k.Touch),
		w + "Ack": span(&k.Ack), w + "CatchUp": span(&k.CatchUp), w + "Drain": span(&k.Drain), w + "Grace": span(&k.Grace),
		w + "Lost": span(&k.Lost), w + "Config": span(&k.Config), w + "Back": span(&k.Back), w + "Outer": span(&k.Outer),
		w + "RevokedEverywhere": yes(&k.RevokedEverywhere), w + "Revoke": span(&k.Revoke),
		w + "RetryRatio": real(&k.RetryRatio), w + "RetryWindow": span(&k.RetryWindow), w + "RetrySlack": real(&k.RetrySlack),
		w + "QuotaWindow": span(&k.QuotaWindow), w + "QuotaOver": real(&k.QuotaOver), w + "QuotaSlack": real(&k.QuotaSlack),
		w + "Recover": span(&k.Recover),
	}
}

// plain leaves out what a number's fault says of the function that found it.
func plain(err error) error {
	var number *strconv.NumError
	if errors.As(err, &number) {
		return fmt.Errorf("%q is no number that fits", number.Num)
	}
	return err
}

// Span reads a time as the mesh writes it: a number and ms or s.
func Span(text string) (time.Duration, error) {
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
