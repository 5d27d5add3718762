package routing

import (
	"bytes"
	"encoding/json"

	"ottershift/internal/mesh/strictjson"
)

// otherFields returns the fields of a host beside its name and its routes. Hosts seldom have any, which is recognized
// without decoding the routes again.
func (entry *hostRoutes) otherFields() map[string]json.RawMessage {
	if entry.raw == nil {
		return entry.fields
	}
	if entry.hasOnlyRoutes() {
		return nil
	}
	var fields map[string]json.RawMessage
	json.Unmarshal(entry.raw, &fields) // it was decoded before, so it is an object or null
	for name := range fields {
		switch strictjson.FoldCase(name) {
		case foldedHostField, foldedRoutesField:
			delete(fields, name)
		}
	}
	return fields
}

var foldedHostField, foldedRoutesField = strictjson.FoldCase("Town"), strictjson.FoldCase("Regulations")

// hasOnlyRoutes reports whether an encoded host consists of its name and its routes in the usual form: its beginning is
// that of such a host, and its length leaves room for nothing but the routes.
func (entry *hostRoutes) hasOnlyRoutes() bool {
	name, err := json.Marshal(entry.Host)
	if err != nil {
		return false
	}
	rest, found := bytes.CutPrefix(entry.raw, []byte(`{"Town":`+string(name)+`,"Regulations":[`))
	length := len("]}") + max(0, len(entry.Routes)-1) // with the commas between the routes
	for _, r := range entry.Routes {
		length += len(r.raw)
	}
	return found && len(rest) == length
}

// encoded returns the host in the format that Parse reads.
func (entry *hostRoutes) encoded() any {
	routes := rawItems(entry.Routes, func(r *Route) json.RawMessage { return r.raw })
	if len(entry.fields) == 0 {
		return rawHostRoutes{entry.Host, routes}
	}
	object := map[string]any{"Town": entry.Host, "Regulations": routes}
	for name, raw := range entry.fields {
		object[name] = raw
	}
	return object
}

// mergeFields returns the fields of an object after some of them have changed. Names that differ in case only are the
// same field, which keeps its first name.
func mergeFields(existing, changed map[string]json.RawMessage) map[string]json.RawMessage {
	merged, names := map[string]json.RawMessage{}, map[string]string{}
	for _, source := range []map[string]json.RawMessage{existing, changed} {
		for name, value := range source {
			known, found := names[strictjson.FoldCase(name)]
			if !found {
				known, names[strictjson.FoldCase(name)] = name, name
			}
			merged[known] = value
		}
	}
	return merged
}
