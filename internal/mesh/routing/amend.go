package routing

import (
	"encoding/json"
	"slices"

	"github.com/zeebo/errs"

	"ottershift/internal/mesh/strictjson"
)

// amendment is a request that adds, replaces and removes items of a configuration by name.
type amendment struct {
	Edition    int64
	SizeLimits json.RawMessage
	Deliver    map[string]json.RawMessage
	Withdraw   map[string][]string
}

// Amend returns the configuration that results from an amendment. It leaves c unchanged.
func (c *Configuration) Amend(body []byte) (*Configuration, error) {
	var request amendment
	if err := strictjson.DecodeSingle(body, &request); err != nil {
		return nil, Error.New("invalid JSON: %v", err)
	}
	if err := strictjson.Check(body); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := request.checkLists(); err != nil {
		return nil, err
	}
	next := &Configuration{Edition: request.Edition, Limits: c.Limits, other: map[string]json.RawMessage{}}
	for name, raw := range c.other {
		next.other[name] = raw
	}
	delivered := &Configuration{}
	if err := delivered.decodeLists(request.Deliver, nil); err != nil {
		return nil, err
	}
	if err := delivered.checkDeliveredNames(); err != nil {
		return nil, err
	}
	for _, raw := range []json.RawMessage{request.SizeLimits, request.Deliver["SizeLimits"]} {
		if err := next.amendLimits(raw); err != nil {
			return nil, err
		}
	}
	if raw := request.Deliver["Mesh"]; len(raw) > 0 {
		next.other["Mesh"] = raw
	}
	if err := next.amendPartners(request.Deliver["Partners"], request.withdrawn("Partners")); err != nil {
		return nil, err
	}
	next.Tenants = mergeByName(c.Tenants, delivered.Tenants, request.withdrawn("Senders"), func(t *Tenant) string { return t.Name })
	next.Services = mergeByName(c.Services, delivered.Services, request.withdrawn("Depots", "Destinations"), func(s *Service) string { return s.Name })
	next.hosts = mergeHosts(c.hosts, delivered.hosts, request.withdrawn("Routes", "Regulations"), request.withdrawn("PostOffices", "Towns"))
	if err := next.indexAndValidate(); err != nil {
		return nil, err
	}
	if err := next.findAmbiguities(); err != nil {
		return nil, err
	}
	return next, next.encodeDocument()
}

// withdrawn returns the names in the given lists of withdrawn items.
func (a *amendment) withdrawn(lists ...string) map[string]bool {
	names := map[string]bool{}
	for _, list := range lists {
		for _, name := range a.Withdraw[list] {
			names[name] = true
		}
	}
	return names
}

// checkLists rejects unknown lists in an amendment. If they were ignored, the amendment would be acknowledged without
// taking full effect.
func (a *amendment) checkLists() error {
	var faults errs.Group
	for list := range a.Deliver {
		if !slices.Contains(deliverableLists, list) {
			faults.Add(Error.New("Deliver: unknown list %q", list))
		}
	}
	for list := range a.Withdraw {
		if !slices.Contains(withdrawableLists, list) {
			faults.Add(Error.New("Withdraw: unknown list %q", list))
		}
	}
	return faults.Err()
}

var (
	deliverableLists  = []string{"PostOffices", "Depots", "Senders", "SizeLimits", "Mesh", "Partners"}
	withdrawableLists = []string{"Routes", "Regulations", "PostOffices", "Towns", "Depots", "Destinations", "Senders", "Partners"}
)

// checkDeliveredNames rejects delivered items that make an amendment ambiguous. Routes of the same name are told apart by
// their hosts and prefixes, which findAmbiguities checks.
func (c *Configuration) checkDeliveredNames() error {
	var faults errs.Group
	for _, host := range c.hosts {
		for _, r := range host.Routes {
			faults.Add(checkName("route", r.Name))
		}
	}
	faults.Add(checkUniqueNames("Depots", c.Services, func(s *Service) string { return s.Name }))
	faults.Add(checkUniqueNames("Senders", c.Tenants, func(t *Tenant) string { return t.Name }))
	return faults.Err()
}

// namedItem is an item of which an amendment needs only the name.
type namedItem struct {
	Name string
	raw  json.RawMessage
}

// amendPartners changes the partners that the amendment delivers or withdraws and keeps the others.
func (c *Configuration) amendPartners(deliver json.RawMessage, withdrawn map[string]bool) error {
	var existing, delivered []*namedItem
	for list, raw := range map[*[]*namedItem]json.RawMessage{&existing: c.other["Partners"], &delivered: deliver} {
		if err := decodeItems(raw, "Partners", func(partner *namedItem, raw json.RawMessage) {
			partner.raw = raw
			*list = append(*list, partner)
		}); err != nil {
			return err
		}
	}
	if len(delivered)+len(withdrawn) == 0 {
		return nil
	}
	name := func(partner *namedItem) string { return partner.Name }
	if err := checkUniqueNames("Partners", delivered, name); err != nil {
		return err
	}
	merged := mergeByName(existing, delivered, withdrawn, name)
	raw, err := json.Marshal(rawItems(merged, func(partner *namedItem) json.RawMessage { return partner.raw }))
	c.other["Partners"] = raw
	return Error.Wrap(err)
}

// amendLimits changes the limits that the amendment names and keeps the others.
func (c *Configuration) amendLimits(raw json.RawMessage) error {
	if len(raw) == 0 || string(raw) == "null" {
		return nil
	}
	if err := json.Unmarshal(raw, &c.Limits); err != nil {
		return Error.New("SizeLimits: %v", err)
	}
	var existing, changed map[string]json.RawMessage
	if previous := c.other["SizeLimits"]; len(previous) > 0 {
		if err := json.Unmarshal(previous, &existing); err != nil {
			return Error.New("SizeLimits: %v", err)
		}
	}
	if err := json.Unmarshal(raw, &changed); err != nil {
		return Error.New("SizeLimits: %v", err)
	}
	merged, err := json.Marshal(mergeFields(existing, changed))
	if err != nil {
		return Error.New("SizeLimits: %v", err)
	}
	c.other["SizeLimits"] = merged
	return nil
}

// mergeByName replaces existing items by delivered ones of the same name, appends new ones and omits withdrawn ones.
func mergeByName[T any](existing, delivered []*T, withdrawn map[string]bool, name func(*T) string) (out []*T) {
	replacements, placed := map[string]*T{}, map[string]bool{}
	for _, v := range delivered {
		replacements[name(v)] = v
	}
	for _, v := range existing {
		switch replacement := replacements[name(v)]; {
		case replacement != nil && !placed[name(v)]:
			out, placed[name(v)] = append(out, replacement), true
		case replacement == nil && !withdrawn[name(v)]:
			out = append(out, v)
		}
	}
	for _, v := range delivered {
		if !placed[name(v)] {
			out, placed[name(v)] = append(out, replacements[name(v)]), true
		}
	}
	return out
}

// encodeDocument encodes an amended configuration as a document in the format that Parse reads.
func (c *Configuration) encodeDocument() error {
	top := map[string]any{"Edition": c.Edition}
	for name, raw := range c.other {
		top[name] = raw
	}
	if len(c.Tenants) > 0 {
		top["Senders"] = rawItems(c.Tenants, func(t *Tenant) json.RawMessage { return t.raw })
	}
	top["Depots"] = rawItems(c.Services, func(s *Service) json.RawMessage { return s.raw })
	hosts := []any{}
	for _, entry := range c.hosts {
		hosts = append(hosts, entry.encoded())
	}
	top["PostOffices"] = hosts
	var err error
	c.document, err = json.Marshal(top)
	return err
}

func rawItems[T any](items []*T, raw func(*T) json.RawMessage) []json.RawMessage {
	out := []json.RawMessage{}
	for _, v := range items {
		out = append(out, raw(v))
	}
	return out
}
