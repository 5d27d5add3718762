package routing

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
)

// Change is what makes one configuration out of another. It is as large as what differs, and costs as much to apply, beside a look at
// each item; it is bound to its base and its result by their digests.
type Change struct {
	Base, Result string // digests
	Edition      int64
	Other        map[string]json.RawMessage `json:",omitempty"` // of the fields that are not lists, those that differ
	Removed      []string                   `json:",omitempty"` // of these fields, those that are gone
	Tenants      []itemRun                  `json:",omitempty"`
	Services     []itemRun                  `json:",omitempty"`
	Hosts        []hostRun                  `json:",omitempty"`
}

// itemRun is a part of a list: some items of the base's list, as they stand there, or new ones.
type itemRun struct {
	From  int               `json:",omitempty"`
	Count int               `json:",omitempty"`
	New   []json.RawMessage `json:",omitempty"`
}

// hostRun is some hosts as the base has them, or one whose routes are runs of all routes of the base.
type hostRun struct {
	From   int       `json:",omitempty"`
	Count  int       `json:",omitempty"`
	Host   string    `json:",omitempty"`
	Routes []itemRun `json:",omitempty"`
}

// Digest names what a configuration says, however it is laid out.
func (t *Configuration) Digest() string { return t.digest }

// computeDigest is the digest of all items, in their order.
func (t *Configuration) computeDigest() string {
	sum := sha256.New()
	number := func(n int64) { sum.Write(binary.BigEndian.AppendUint64(nil, uint64(n))) }
	text := func(s string) {
		number(int64(len(s)))
		sum.Write([]byte(s))
	}
	number(t.Edition)
	for _, name := range slices.Sorted(maps.Keys(t.other)) {
		text(name)
		text(string(t.other[name]))
	}
	number(int64(len(t.Tenants)))
	for _, v := range t.Tenants {
		sum.Write(v.sum[:])
	}
	number(int64(len(t.Services)))
	for _, v := range t.Services {
		sum.Write(v.sum[:])
	}
	for _, host := range t.hosts {
		text(host.Host)
		number(int64(len(host.Routes)))
		for _, v := range host.Routes {
			sum.Write(v.sum[:])
		}
	}
	return hex.EncodeToString(sum.Sum(nil)[:16])
}

// ChangeTo is what makes another configuration out of this one.
func (t *Configuration) ChangeTo(next *Configuration) *Change {
	c := &Change{Base: t.digest, Result: next.digest, Edition: next.Edition, Other: map[string]json.RawMessage{}}
	for name, raw := range next.other {
		if old, known := t.other[name]; !known || !bytes.Equal(old, raw) {
			c.Other[name] = raw
		}
	}
	for name := range t.other {
		if _, kept := next.other[name]; !kept {
			c.Removed = append(c.Removed, name)
		}
	}
	slices.Sort(c.Removed)
	c.Tenants = runsOf(t.Tenants, next.Tenants, func(v *Tenant) *item { return &v.item })
	c.Services = runsOf(t.Services, next.Services, func(v *Service) *item { return &v.item })
	c.Hosts = hostRuns(t, next)
	return c
}

// finder finds items of a list by what they say.
type finder struct {
	sums   []itemSum
	places map[itemSum]int // the first of each
}

func newFinder[T any](list []T, itemOf func(T) *item) *finder {
	f := &finder{places: make(map[itemSum]int, len(list))}
	for at, v := range list {
		sum := itemOf(v).sum
		f.sums = append(f.sums, sum)
		if _, known := f.places[sum]; !known {
			f.places[sum] = at
		}
	}
	return f
}

// place is where an item stands, next if it stands there, -1 if nowhere.
func (f *finder) place(sum itemSum, next int) int {
	if next < len(f.sums) && f.sums[next] == sum {
		return next
	}
	if at, known := f.places[sum]; known {
		return at
	}
	return -1
}

func (f *finder) runs(items []*item) (runs []itemRun) {
	next := 0
	for _, v := range items {
		last := len(runs) - 1
		at := f.place(v.sum, next)
		switch {
		case at < 0 && last >= 0 && runs[last].Count == 0:
			runs[last].New = append(runs[last].New, v.raw)
		case at < 0:
			runs = append(runs, itemRun{New: []json.RawMessage{v.raw}})
		case last >= 0 && runs[last].Count > 0 && at == next:
			runs[last].Count++
		default:
			runs = append(runs, itemRun{From: at, Count: 1})
		}
		if at >= 0 {
			next = at + 1
		}
	}
	return runs
}

func runsOf[T any](old, list []*T, itemOf func(*T) *item) []itemRun {
	items := make([]*item, len(list))
	for at, v := range list {
		items[at] = itemOf(v)
	}
	return newFinder(old, itemOf).runs(items)
}

func hostRuns(from, to *Configuration) (runs []hostRun) {
	same := func(a, b *hostRoutes) bool {
		return a.Host == b.Host && slices.EqualFunc(a.Routes, b.Routes, func(r, other *Route) bool { return r.sum == other.sum })
	}
	places := map[string]int{}
	for at, host := range from.hosts {
		places[host.Host] = at
	}
	routes := newFinder(from.Routes, func(r *Route) *item { return &r.item })
	for _, host := range to.hosts {
		last := len(runs) - 1
		if at, known := places[host.Host]; known && same(from.hosts[at], host) {
			if last >= 0 && runs[last].Count > 0 && at == runs[last].From+runs[last].Count {
				runs[last].Count++
			} else {
				runs = append(runs, hostRun{From: at, Count: 1})
			}
			continue
		}
		items := make([]*item, len(host.Routes))
		for at, r := range host.Routes {
			items[at] = &r.item
		}
		runs = append(runs, hostRun{Host: host.Host, Routes: routes.runs(items)})
	}
	return runs
}

// Apply makes the configuration that a change leads to. What is not changed is shared with this one.
func (t *Configuration) Apply(c *Change) (*Configuration, error) {
	if c.Base != t.digest {
		return nil, Error.New("a change of %.32s, not of %s", c.Base, t.digest)
	}
	next := &Configuration{Edition: c.Edition, other: maps.Clone(t.other)}
	maps.Copy(next.other, c.Other)
	for _, name := range c.Removed {
		delete(next.other, name)
	}
	if raw := next.other["SizeLimits"]; len(raw) > 0 {
		if err := json.Unmarshal(raw, &next.Limits); err != nil {
			return nil, Error.New("SizeLimits: %v", err)
		}
	}
	var err error
	if next.Tenants, err = applyRuns(t.Tenants, c.Tenants, func(v *Tenant, of item) { v.item = of }); err != nil {
		return nil, err
	}
	if next.Services, err = applyRuns(t.Services, c.Services, func(v *Service, of item) { v.item = of }); err != nil {
		return nil, err
	}
	if next.hosts, err = t.applyHosts(c.Hosts); err != nil {
		return nil, err
	}
	if err := next.settle(); err != nil {
		return nil, err
	}
	if next.digest != c.Result {
		return nil, Error.New("a change to %.32s led to %s", c.Result, next.digest)
	}
	return next, nil
}

func (t *Configuration) applyHosts(runs []hostRun) (hosts []*hostRoutes, err error) {
	for _, run := range runs {
		if run.Count > 0 {
			if !within(run.From, run.Count, len(t.hosts)) {
				return nil, Error.New("a change of hosts that are not there")
			}
			hosts = append(hosts, t.hosts[run.From:run.From+run.Count]...)
			continue
		}
		routes, err := applyRuns(t.Routes, run.Routes, func(r *Route, of item) { r.Host, r.item = run.Host, of })
		if err != nil {
			return nil, err
		}
		for at, r := range routes {
			if r.Host != run.Host { // it came from another host
				moved := *r
				moved.Host = run.Host
				routes[at] = &moved
			}
		}
		hosts = append(hosts, &hostRoutes{Host: run.Host, Routes: routes})
	}
	return hosts, nil
}

func applyRuns[T any](old []*T, runs []itemRun, set func(*T, item)) (list []*T, err error) {
	for _, run := range runs {
		if run.Count > 0 {
			if !within(run.From, run.Count, len(old)) {
				return nil, Error.New("a change of items that are not there")
			}
			list = append(list, old[run.From:run.From+run.Count]...)
			continue
		}
		for _, raw := range run.New {
			v := new(T)
			if err := json.Unmarshal(raw, v); err != nil {
				return nil, Error.Wrap(err)
			}
			set(v, newItem(raw))
			list = append(list, v)
		}
	}
	return list, nil
}

func within(from, count, length int) bool {
	return from >= 0 && count <= length && from <= length-count
}
