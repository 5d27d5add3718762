package routing

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Diff lists the differences between two configurations, one per line: "+" for added, "~" for changed, "-" for removed
// items.
func Diff(from, to *Configuration) (lines []string) {
	if from.Edition != to.Edition {
		lines = append(lines, fmt.Sprintf("~ Edition %d -> %d", from.Edition, to.Edition))
	}
	lines = append(lines, diffItems("route", from.Routes, to.Routes, describeRoute)...)
	lines = append(lines, diffItems("sender", from.Tenants, to.Tenants, func(t *Tenant) (string, string) { return t.Name, canonicalJSON(t.raw) })...)
	lines = append(lines, diffItems("depot", from.Services, to.Services, func(s *Service) (string, string) { return s.Name, canonicalJSON(s.raw) })...)
	return append(lines, diffFields(from.other, to.other)...)
}

// diffFields compares fields by name.
func diffFields(from, to map[string]json.RawMessage) (lines []string) {
	names := slices.AppendSeq(slices.Collect(maps.Keys(from)), maps.Keys(to))
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		before, existed := from[name]
		after, exists := to[name]
		switch was, is := canonicalJSON(before), canonicalJSON(after); {
		case !existed:
			lines = append(lines, fmt.Sprintf("+ %s %s", name, is))
		case !exists:
			lines = append(lines, fmt.Sprintf("- %s %s", name, was))
		case was != is:
			lines = append(lines, fmt.Sprintf("~ %s %s -> %s", name, was, is))
		}
	}
	return lines
}

// describeRoute names a route by its host and name, since several hosts may have routes of the same name.
func describeRoute(r *Route) (name, text string) {
	return r.Name + " at " + r.Host, canonicalJSON(r.raw)
}

// canonicalJSON returns JSON with sorted fields and without white space. Text that is not valid JSON is returned as it
// is.
func canonicalJSON(raw json.RawMessage) string {
	var v any
	if json.Unmarshal(raw, &v) != nil {
		return string(raw)
	}
	out, _ := json.Marshal(v)
	return string(bytes.TrimSpace(out))
}

// diffItems compares items by name. Items with the same name are matched in their order.
func diffItems[T any](kind string, from, to []*T, describe func(*T) (name, text string)) (lines []string) {
	type key struct {
		name       string
		occurrence int
	}
	keysOf := func(items []*T) (keys []key, texts map[key]string) {
		seen, texts := map[string]int{}, map[key]string{}
		for _, v := range items {
			name, text := describe(v)
			k := key{name, seen[name]}
			seen[name]++
			texts[k] = text
			keys = append(keys, k)
		}
		return keys, texts
	}
	fromKeys, before := keysOf(from)
	toKeys, after := keysOf(to)
	for _, k := range toKeys {
		if was, exists := before[k]; !exists {
			lines = append(lines, fmt.Sprintf("+ %s %s", kind, k.name))
		} else if was != after[k] {
			lines = append(lines, fmt.Sprintf("~ %s %s: %s -> %s", kind, k.name, was, after[k]))
		}
	}
	for _, k := range fromKeys {
		if _, exists := after[k]; !exists {
			lines = append(lines, fmt.Sprintf("- %s %s", kind, k.name))
		}
	}
	return lines
}
