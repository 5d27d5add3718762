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

// Change is the difference between two configurations. Its size and the cost of applying it are proportional to the
// differing items, apart from a small constant cost per item of the configuration. A change is bound to its base and
// its result by their digests.
type Change struct {
	Base, Result string // digests of the configurations
	Edition      int64
	Other        map[string]json.RawMessage `json:",omitempty"` // top-level fields other than lists that differ
	Removed      []string                   `json:",omitempty"` // top-level fields other than lists that the result does not have
	Tenants      []itemRun                  `json:",omitempty"`
	Services     []itemRun                  `json:",omitempty"`
	Hosts        []hostRun                  `json:",omitempty"`
}

// itemRun is a part of a list: Count consecutive items of the base's list starting at From, or new items.
type itemRun struct {
	From  int               `json:",omitempty"`
	Count int               `json:",omitempty"`
	New   []json.RawMessage `json:",omitempty"`
}

// hostRun is Count consecutive hosts of the base starting at From, or one host whose routes are runs over all routes of
// the base.
type hostRun struct {
	From   int       `json:",omitempty"`
	Count  int       `json:",omitempty"`
	Host   string    `json:",omitempty"`
	Routes []itemRun `json:",omitempty"`
}

// Digest returns the digest of the content of a configuration, which does not depend on the formatting of the document.
func (c *Configuration) Digest() string { return c.digest }

// computeDigest returns the digest over all items in their order.
func (c *Configuration) computeDigest() string {
	sum := sha256.New()
	number := func(n int64) { sum.Write(binary.BigEndian.AppendUint64(nil, uint64(n))) }
	text := func(s string) {
		number(int64(len(s)))
		sum.Write([]byte(s))
	}
	number(c.Edition)
	for _, name := range slices.Sorted(maps.Keys(c.other)) {
		text(name)
		text(string(c.other[name]))
	}
	number(int64(len(c.Tenants)))
	for _, v := range c.Tenants {
		sum.Write(v.sum[:])
	}
	number(int64(len(c.Services)))
	for _, v := range c.Services {
		sum.Write(v.sum[:])
	}
	for _, host := range c.hosts {
		text(host.Host)
		number(int64(len(host.Routes)))
		for _, v := range host.Routes {
			sum.Write(v.sum[:])
		}
	}
	return hex.EncodeToString(sum.Sum(nil)[:16])
}

// ChangeTo returns the change that turns this configuration into another one.
func (c *Configuration) ChangeTo(next *Configuration) *Change {
	change := &Change{Base: c.digest, Result: next.digest, Edition: next.Edition, Other: map[string]json.RawMessage{}}
	for name, raw := range next.other {
		if old, known := c.other[name]; !known || !bytes.Equal(old, raw) {
			change.Other[name] = raw
		}
	}
	for name := range c.other {
		if _, kept := next.other[name]; !kept {
			change.Removed = append(change.Removed, name)
		}
	}
	slices.Sort(change.Removed)
	change.Tenants = itemRuns(c.Tenants, next.Tenants, func(v *Tenant) *item { return &v.item })
	change.Services = itemRuns(c.Services, next.Services, func(v *Service) *item { return &v.item })
	change.Hosts = hostRuns(c, next)
	return change
}

// itemIndex finds the positions of items in a list by their content.
type itemIndex struct {
	sums      []itemSum
	positions map[itemSum]int // position of the first item with each sum
}

func newItemIndex[T any](list []T, itemOf func(T) *item) *itemIndex {
	index := &itemIndex{positions: make(map[itemSum]int, len(list))}
	for position, v := range list {
		sum := itemOf(v).sum
		index.sums = append(index.sums, sum)
		if _, known := index.positions[sum]; !known {
			index.positions[sum] = position
		}
	}
	return index
}

// position returns the position of an item: next if the item is there, or -1 if the list does not have it.
func (index *itemIndex) position(sum itemSum, next int) int {
	if next < len(index.sums) && index.sums[next] == sum {
		return next
	}
	if position, known := index.positions[sum]; known {
		return position
	}
	return -1
}

func (index *itemIndex) runs(items []*item) (runs []itemRun) {
	next := 0
	for _, v := range items {
		last := len(runs) - 1
		position := index.position(v.sum, next)
		switch {
		case position < 0 && last >= 0 && runs[last].Count == 0:
			runs[last].New = append(runs[last].New, v.raw)
		case position < 0:
			runs = append(runs, itemRun{New: []json.RawMessage{v.raw}})
		case last >= 0 && runs[last].Count > 0 && position == next:
			runs[last].Count++
		default:
			runs = append(runs, itemRun{From: position, Count: 1})
		}
		if position >= 0 {
			next = position + 1
		}
	}
	return runs
}

func itemRuns[T any](base, next []*T, itemOf func(*T) *item) []itemRun {
	items := make([]*item, len(next))
	for i, v := range next {
		items[i] = itemOf(v)
	}
	return newItemIndex(base, itemOf).runs(items)
}

func hostRuns(from, to *Configuration) (runs []hostRun) {
	same := func(a, b *hostRoutes) bool {
		return a.Host == b.Host && slices.EqualFunc(a.Routes, b.Routes, func(r, other *Route) bool { return r.sum == other.sum })
	}
	positions := map[string]int{}
	for position, host := range from.hosts {
		positions[host.Host] = position
	}
	routes := newItemIndex(from.Routes, func(r *Route) *item { return &r.item })
	for _, host := range to.hosts {
		last := len(runs) - 1
		if position, known := positions[host.Host]; known && same(from.hosts[position], host) {
			if last >= 0 && runs[last].Count > 0 && position == runs[last].From+runs[last].Count {
				runs[last].Count++
			} else {
				runs = append(runs, hostRun{From: position, Count: 1})
			}
			continue
		}
		items := make([]*item, len(host.Routes))
		for position, r := range host.Routes {
			items[position] = &r.item
		}
		runs = append(runs, hostRun{Host: host.Host, Routes: routes.runs(items)})
	}
	return runs
}

// Apply returns the result of a change. Items that the change does not affect are shared with this configuration.
func (c *Configuration) Apply(change *Change) (*Configuration, error) {
	if change.Base != c.digest {
		return nil, Error.New("change applies to base %.32s, not to %s", change.Base, c.digest)
	}
	next := &Configuration{Edition: change.Edition, other: maps.Clone(c.other)}
	maps.Copy(next.other, change.Other)
	for _, name := range change.Removed {
		delete(next.other, name)
	}
	if raw := next.other["SizeLimits"]; len(raw) > 0 {
		if err := json.Unmarshal(raw, &next.Limits); err != nil {
			return nil, Error.New("SizeLimits: %v", err)
		}
	}
	var err error
	if next.Tenants, err = applyRuns(c.Tenants, change.Tenants, func(v *Tenant, decoded item) { v.item = decoded }); err != nil {
		return nil, err
	}
	if next.Services, err = applyRuns(c.Services, change.Services, func(v *Service, decoded item) { v.item = decoded }); err != nil {
		return nil, err
	}
	if next.hosts, err = c.applyHosts(change.Hosts); err != nil {
		return nil, err
	}
	if err := next.indexAndValidate(); err != nil {
		return nil, err
	}
	if next.digest != change.Result {
		return nil, Error.New("change should result in %.32s but resulted in %s", change.Result, next.digest)
	}
	return next, nil
}

func (c *Configuration) applyHosts(runs []hostRun) (hosts []*hostRoutes, err error) {
	for _, run := range runs {
		if run.Count > 0 {
			if !inRange(run.From, run.Count, len(c.hosts)) {
				return nil, Error.New("change refers to hosts beyond those of its base")
			}
			hosts = append(hosts, c.hosts[run.From:run.From+run.Count]...)
			continue
		}
		routes, err := applyRuns(c.Routes, run.Routes, func(r *Route, decoded item) { r.Host, r.item = run.Host, decoded })
		if err != nil {
			return nil, err
		}
		for i, r := range routes {
			if r.Host != run.Host { // moved from another host
				moved := *r
				moved.Host = run.Host
				routes[i] = &moved
			}
		}
		hosts = append(hosts, &hostRoutes{Host: run.Host, Routes: routes})
	}
	return hosts, nil
}

func applyRuns[T any](base []*T, runs []itemRun, set func(*T, item)) (list []*T, err error) {
	for _, run := range runs {
		if run.Count > 0 {
			if !inRange(run.From, run.Count, len(base)) {
				return nil, Error.New("change refers to items beyond those of its base")
			}
			list = append(list, base[run.From:run.From+run.Count]...)
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

func inRange(from, count, length int) bool {
	return from >= 0 && count <= length && from <= length-count
}
