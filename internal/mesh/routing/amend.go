package routing

import (
	"encoding/json"
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
	if err := whole(body, &a); err != nil {
		return nil, Error.New("can't be read whole: %v", err)
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
	if err := add.parts(a.Deliver); err != nil {
		return nil, err
	}
	for _, raw := range []json.RawMessage{a.SizeLimits, a.Deliver["SizeLimits"]} {
		if len(raw) > 0 && string(raw) != "null" {
			if err := json.Unmarshal(raw, &next.Limits); err != nil {
				return nil, Error.New("SizeLimits: %v", err)
			}
			next.other["SizeLimits"] = raw
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
	routes, towns := gone("Routes", "Regulations"), gone("PostOffices", "Towns")
	fresh, placed := map[string]*Route{}, map[*Route]bool{}
	for _, o := range add.hosts {
		for _, r := range o.Routes {
			fresh[r.Name] = r
		}
	}
	at := map[string]*hostRoutes{}
	for _, o := range t.hosts {
		if towns[o.Host] {
			continue
		}
		to := &hostRoutes{Host: o.Host}
		for _, r := range o.Routes {
			if by := fresh[r.Name]; by != nil && by.Host == o.Host && !placed[by] {
				to.Routes, placed[by] = append(to.Routes, by), true
			} else if by == nil && !routes[r.Name] {
				copied := *r
				to.Routes = append(to.Routes, &copied)
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
	return next, next.write()
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
