package routing

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Diff names what one version has beyond another, what is altered, and what is gone: + ~ -.
func Diff(from, to *Configuration) (lines []string) {
	if from.Edition != to.Edition {
		lines = append(lines, fmt.Sprintf("~ Edition %d -> %d", from.Edition, to.Edition))
	}
	lines = append(lines, differ("route", from.Routes, to.Routes, func(r *Route) (string, string) { return r.Name, r.Host + " " + plain(r.raw) })...)
	lines = append(lines, differ("sender", from.Tenants, to.Tenants, func(s *Tenant) (string, string) { return s.Name, plain(s.raw) })...)
	lines = append(lines, differ("depot", from.Services, to.Services, func(d *Service) (string, string) { return d.Name, plain(d.raw) })...)
	if a, b := plain(from.other["SizeLimits"]), plain(to.other["SizeLimits"]); a != b {
		lines = append(lines, fmt.Sprintf("~ SizeLimits %s -> %s", a, b))
	}
	return lines
}

// plain is JSON with its fields in order and without spaces.
func plain(raw json.RawMessage) string {
	var v any
	if json.Unmarshal(raw, &v) != nil {
		return string(raw)
	}
	out, _ := json.Marshal(v)
	return string(bytes.TrimSpace(out))
}

// differ compares items by name; of those that share one, the first with the first, and so on.
func differ[T any](what string, from, to []*T, of func(*T) (name, text string)) (lines []string) {
	type key struct {
		name  string
		place int
	}
	keysOf := func(all []*T) (keys []key, texts map[key]string) {
		seen, texts := map[string]int{}, map[key]string{}
		for _, v := range all {
			name, text := of(v)
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
		if was, is := before[k]; !is {
			lines = append(lines, fmt.Sprintf("+ %s %s", what, k.name))
		} else if was != after[k] {
			lines = append(lines, fmt.Sprintf("~ %s %s: %s -> %s", what, k.name, was, after[k]))
		}
	}
	for _, k := range fromKeys {
		if _, is := after[k]; !is {
			lines = append(lines, fmt.Sprintf("- %s %s", what, k.name))
		}
	}
	return lines
}
