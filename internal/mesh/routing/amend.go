package routing

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/zeebo/errs"

	"ottershift/internal/mesh/strictjson"
)

// amendment is a call that alters items by name.
type amendment struct {
	Edition    int64
	SizeLimits json.RawMessage
	Deliver    map[string]json.RawMessage
	Withdraw   map[string][]string
}

// Amend makes the version that an amendment asks for.
func (t *Configuration) Amend(body []byte) (*Configuration, error) {
	var a amendment
	if err := strictjson.DecodeSingle(body, &a); err != nil {
		return nil, Error.New("can't be read whole: %v", err)
	}
	if err := strictjson.Check(body); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := a.checkLists(); err != nil {
		return nil, err
	}
	next := &Configuration{Edition: a.Edition, Limits: t.Limits, other: map[string]json.RawMessage{}}
	for name, raw := range t.other {
		next.other[name] = raw
	}
	gone := func(lists ...string) map[string]bool {
		out := map[string]bool{}
		for _, list := range lists {
			for _, name := range a.Withdraw[list] {
				out[name] = true
			}
		}
		return out
	}
	add := &Configuration{}
	if err := add.parts(a.Deliver, nil); err != nil {
		return nil, err
	}
	if err := add.checkDelivered(); err != nil {
		return nil, err
	}
	for _, raw := range []json.RawMessage{a.SizeLimits, a.Deliver["SizeLimits"]} {
		if err := next.amendLimits(raw); err != nil {
			return nil, err
		}
	}
	for _, name := range []string{"Mesh", "Partners"} { // whole
		if raw := a.Deliver[name]; len(raw) > 0 {
			next.other[name] = raw
		}
	}
	next.Tenants = merge(t.Tenants, add.Tenants, gone("Senders"), func(s *Tenant) string { return s.Name })
	next.Services = merge(t.Services, add.Services, gone("Depots", "Destinations"), func(d *Service) string { return d.Name })

	// Routes are replaced where they stand; one that comes to another town leaves its own.
	routes, towns := gone("Routes", "Regulations"), map[string]bool{}
	for host := range gone("PostOffices", "Towns") {
		towns[strings.ToLower(host)] = true
	}
	fresh, placed := map[string]*Route{}, map[*Route]bool{}
	for _, o := range add.hosts {
		for _, r := range o.Routes {
			fresh[r.Name] = r
		}
	}
	at := map[string]*hostRoutes{}
	for _, o := range t.hosts {
		if towns[strings.ToLower(o.Host)] {
			continue
		}
		to := &hostRoutes{Host: o.Host}
		for _, r := range o.Routes {
			if by := fresh[r.Name]; by != nil && by.Host == o.Host && !placed[by] {
				to.Routes, placed[by] = append(to.Routes, by), true
			} else if by == nil && !routes[r.Name] {
				to.Routes = append(to.Routes, r)
			}
		}
		at[o.Host] = to
		next.hosts = append(next.hosts, to)
	}
	for _, o := range add.hosts {
		if at[o.Host] == nil {
			at[o.Host] = &hostRoutes{Host: o.Host}
			next.hosts = append(next.hosts, at[o.Host])
		}
		for _, r := range o.Routes {
			if !placed[r] && fresh[r.Name] == r {
				at[o.Host].Routes = append(at[o.Host].Routes, r)
			}
		}
	}
	kept := next.hosts[:0]
	for _, o := range next.hosts {
		if len(o.Routes) > 0 || o.Host == "" {
			kept = append(kept, o)
		}
	}
	next.hosts = kept
	if err := next.settle(); err != nil {
		return nil, err
	}
	if err := next.findAmbiguities(); err != nil {
		return nil, err
	}
	return next, next.write()
}

// checkLists refuses lists that an amendment can't have: what is not understood would be acknowledged and not be in force.
func (a *amendment) checkLists() error {
	var faults errs.Group
	for list := range a.Deliver {
		if !slices.Contains(deliverable, list) {
			faults.Add(Error.New("Deliver: nothing is named %q", list))
		}
	}
	for list := range a.Withdraw {
		if !slices.Contains(withdrawable, list) {
			faults.Add(Error.New("Withdraw: nothing is named %q", list))
		}
	}
	return faults.Err()
}

var (
	deliverable  = []string{"PostOffices", "Depots", "Senders", "SizeLimits", "Mesh", "Partners"}
	withdrawable = []string{"Routes", "Regulations", "PostOffices", "Towns", "Depots", "Destinations", "Senders"}
)

// checkDelivered refuses items by which an amendment would mean two things.
func (t *Configuration) checkDelivered() error {
	var routes []*Route
	for _, host := range t.hosts {
		routes = append(routes, host.Routes...)
	}
	var faults errs.Group
	faults.Add(checkDelivered("route", routes, func(r *Route) string { return r.Name }))
	faults.Add(checkDelivered("Depots", t.Services, func(s *Service) string { return s.Name }))
	faults.Add(checkDelivered("Senders", t.Tenants, func(s *Tenant) string { return s.Name }))
	return faults.Err()
}

// amendLimits alters the limits that are named, and leaves the others as they are.
func (t *Configuration) amendLimits(raw json.RawMessage) error {
	if len(raw) == 0 || string(raw) == "null" {
		return nil
	}
	if err := json.Unmarshal(raw, &t.Limits); err != nil {
		return Error.New("SizeLimits: %v", err)
	}
	fields, names := map[string]json.RawMessage{}, map[string]string{}
	for _, from := range []json.RawMessage{t.other["SizeLimits"], raw} {
		var told map[string]json.RawMessage
		if len(from) == 0 {
			continue
		}
		if err := json.Unmarshal(from, &told); err != nil {
			return Error.New("SizeLimits: %v", err)
		}
		for name, value := range told {
			known, found := names[strictjson.FoldCase(name)]
			if !found {
				known, names[strictjson.FoldCase(name)] = name, name
			}
			fields[known] = value
		}
	}
	merged, err := json.Marshal(fields)
	if err != nil {
		return Error.New("SizeLimits: %v", err)
	}
	t.other["SizeLimits"] = merged
	return nil
}

// merge replaces items by name, adds what is new and leaves out what is withdrawn.
func merge[T any](old, add []*T, gone map[string]bool, name func(*T) string) (out []*T) {
	fresh, placed := map[string]*T{}, map[string]bool{}
	for _, v := range add {
		fresh[name(v)] = v
	}
	for _, v := range old {
		switch by := fresh[name(v)]; {
		case by != nil && !placed[name(v)]:
			out, placed[name(v)] = append(out, by), true
		case by == nil && !gone[name(v)]:
			out = append(out, v)
		}
	}
	for _, v := range add {
		if !placed[name(v)] {
			out, placed[name(v)] = append(out, fresh[name(v)]), true
		}
	}
	return out
}

// write lays an amended configuration out as whole ones are put.
func (t *Configuration) write() error {
	top := map[string]any{"Edition": t.Edition}
	for name, raw := range t.other {
		top[name] = raw
	}
	if len(t.Tenants) > 0 {
		top["Senders"] = raws(t.Tenants, func(s *Tenant) json.RawMessage { return s.raw })
	}
	top["Depots"] = raws(t.Services, func(d *Service) json.RawMessage { return d.raw })
	type town struct {
		Town        string
		Regulations []json.RawMessage
	}
	offices := []town{}
	for _, o := range t.hosts {
		offices = append(offices, town{o.Host, raws(o.Routes, func(r *Route) json.RawMessage { return r.raw })})
	}
	top["PostOffices"] = offices
	var err error
	t.document, err = json.Marshal(top)
	return err
}

func raws[T any](all []*T, raw func(*T) json.RawMessage) []json.RawMessage {
	out := []json.RawMessage{}
	for _, v := range all {
		out = append(out, raw(v))
	}
	return out
}
