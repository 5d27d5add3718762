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

func differ[T any](what string, from, to []*T, of func(*T) (name, text string)) (lines []string) {
	before, after := map[string]string{}, map[string]bool{}
	for _, v := range from {
		name, text := of(v)
		before[name] = text
	}
	for _, v := range to {
		name, text := of(v)
		after[name] = true
		if was, is := before[name]; !is {
			lines = append(lines, fmt.Sprintf("+ %s %s", what, name))
		} else if was != text {
			lines = append(lines, fmt.Sprintf("~ %s %s: %s -> %s", what, name, was, text))
		}
	}
	for _, v := range from {
		if name, _ := of(v); !after[name] {
			lines = append(lines, fmt.Sprintf("- %s %s", what, name))
		}
	}
	return lines
}
