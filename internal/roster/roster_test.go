package roster

import (
	"slices"
	"strconv"
	"strings"
	"testing"

	"ottershift/logic"
)

// newEmpty returns an engine and an empty roster for it.
func newEmpty(t *testing.T) (*logic.Balancer, *Roster[string]) {
	t.Helper()
	b, err := logic.New(&logic.Config{
		Balancers: 1, MaxAttempts: 1, ColdShare: 1, Tariffs: []*logic.Tariff{{ContractTime: 1}},
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	return b, New[string](b, []string{"a"})
}

// A name keeps its index through changes of its address. The index of a removed upstream goes to a new one, and the old
// name must not refer to it any more.
func TestNamesKeepIndexUntilReused(t *testing.T) {
	b, r := newEmpty(t)
	entry := func(name, address string) Entry[string] {
		return Entry[string]{Name: name, Zone: "b", Address: address, Upstream: logic.Upstream{Weight: 1}}
	}
	indexOf := func(name string) int {
		t.Helper()
		i, known := r.Index(name)
		if !known || r.Name(i) != name {
			t.Fatalf("%s has no index, or its index has another name", name)
		}
		return i
	}
	r.Apply([]Entry[string]{entry("u", "1"), entry("v", "2")}, true, 1)
	u, v := indexOf("u"), indexOf("v")
	r.Apply([]Entry[string]{entry("u", "3")}, false, 2) // an incomplete update does not affect the others
	if indexOf("u") != u || r.Endpoint(u).Address != "3" || !b.Known(v) {
		t.Error("a change of address was ignored or affected another upstream")
	}
	r.Apply([]Entry[string]{entry("u", "3")}, true, 3) // a complete update removes the upstreams that it lacks
	if b.Known(v) {
		t.Error("v is still listed")
	}
	r.Apply([]Entry[string]{entry("w", "4"), {Name: "never", Removed: true}}, false, 4)
	if indexOf("w") != v || r.Endpoint(v).Address != "4" {
		t.Error("w did not get the index of v")
	}
	if _, known := r.Index("v"); known { // updates of v would be applied to w
		t.Error("v still has the index of w")
	}
	r.Apply([]Entry[string]{entry("v", "5")}, false, 5)
	if indexOf("v") == indexOf("w") {
		t.Error("v got the index of w")
	}
}

// State that is kept for each upstream that was ever listed would exhaust the memory of a long-running process.
func TestRemovedUpstreamsAreForgotten(t *testing.T) {
	_, r := newEmpty(t)
	hosts, released := map[string]bool{}, 0
	for n := range 5000 {
		c := r.Apply([]Entry[string]{
			{Name: strconv.Itoa(n), Zone: "a", Address: strconv.Itoa(n % 8), Upstream: logic.Upstream{Weight: 1}},
			{Name: strconv.Itoa(n - 3), Removed: true},
		}, false, int64(n))
		i, _ := r.Index(strconv.Itoa(n))
		hosts[r.Endpoint(i).Host] = true
		released += len(c.ReleasedHosts)
	}
	if len(r.indexByName) > 8 || len(r.names) > 8 || len(hosts) != 5000 || released != 4997 {
		t.Errorf("%d names, %d indexes, %d hosts, of which %d were released", len(r.indexByName), len(r.names), len(hosts), released)
	}
}

// Lists with two names at one address or a repeated name, and outdated lists: one upstream is kept for each address and
// name.
func TestConflictingEntries(t *testing.T) {
	b, r := newEmpty(t)
	entry := func(name, address string, startedAt int64, draining bool) Entry[string] {
		return Entry[string]{Name: name, Zone: "a", Address: address, Upstream: logic.Upstream{Weight: 1, StartedAt: startedAt}, Draining: draining}
	}
	for n, c := range []struct {
		told    []Entry[string]
		odd     int
		listed  string
		address string // of u
	}{
		{[]Entry[string]{entry("u", "1", 0, false), entry("v", "1", 0, false), entry("w", "2", 0, false)}, 1, "u w ", "1"},
		{[]Entry[string]{entry("v", "1", 0, false), entry("u", "1", 0, false), entry("w", "2", 0, false)}, 1, "u w ", "1"}, // in reverse order
		{[]Entry[string]{entry("u", "1", 0, false), entry("x", "1", 9, false), entry("w", "2", 0, false)}, 0, "w x ", ""},  // a new upstream at the address of u
		{[]Entry[string]{entry("x", "1", 9, false), entry("u", "1", 0, false), entry("w", "2", 0, false)}, 1, "w x ", ""},  // the same list in reverse order
		{[]Entry[string]{entry("u", "3", 0, false), entry("u", "4", 0, false), entry("w", "2", 0, false)}, 0, "u w ", "4"}, // a repeated name: the last entry counts
		{nil, 0, "", ""},
		{[]Entry[string]{entry("u", "1", 0, true), entry("v", "1", 0, false)}, 0, "v ", ""}, // a draining upstream yields its address
	} {
		if got := r.Apply(c.told, true, int64(n+1)); got.Conflicts != c.odd || got.Listed != len(strings.Fields(c.listed)) {
			t.Errorf("list %d: %+v", n, got)
		}
		var names []string
		for _, e := range r.Entries() {
			names = append(names, e.Name+" ")
		}
		slices.Sort(names)
		if got := strings.Join(names, ""); got != c.listed {
			t.Errorf("list %d: got %q, want %q", n, got, c.listed)
		}
		if i, known := r.Index("u"); known && b.Known(i) && r.Endpoint(i).Address != c.address {
			t.Errorf("list %d: u is at %q", n, r.Endpoint(i).Address)
		}
	}
	// The removal of v comes after the entry of its successor at the same address, and must not remove the successor.
	r.Apply([]Entry[string]{entry("y", "1", 0, false), {Name: "v", Removed: true}}, false, 99)
	if all := r.Entries(); len(all) != 1 || all[0].Name != "y" {
		t.Errorf("after y took the address of v the list is %v", all)
	}
	r.Apply([]Entry[string]{entry("v", "1", 0, true)}, false, 100) // an outdated update of v
	if all := r.Entries(); len(all) != 1 || all[0].Name != "y" {
		t.Errorf("after an outdated update of v the list is %v", all)
	}
	if len(r.indexByAddress) > 1 {
		t.Errorf("addresses of removed upstreams are kept: %v", r.indexByAddress)
	}
}

// kindRecorder records the kinds of upstreams that are passed to the engine.
type kindRecorder struct {
	*logic.Balancer
	kinds []int
}

func (k *kindRecorder) List(_ int, u logic.Upstream, _ int64) { k.kinds = append(k.kinds, u.Kind) }

// A kind always has the same number. The number 0 is reserved for upstreams without a kind.
func TestKindsAreNumbered(t *testing.T) {
	b, _ := newEmpty(t)
	k := &kindRecorder{Balancer: b}
	r := New[string](k, nil)
	for n, kind := range []string{"", "large", "small", "large", ""} {
		r.Apply([]Entry[string]{{Name: strconv.Itoa(n), Kind: kind}}, false, 1)
	}
	if !slices.Equal(k.kinds, []int{0, 1, 2, 1, 0}) {
		t.Errorf("numbers %v", k.kinds)
	}
}
