package strictjson

import (
	"bytes"
	"encoding/json"
)

// namesCompared is how many names of an object are compared one by one; beyond it a set is kept.
const namesCompared = 16

// fieldScanner looks for fields that stand twice in valid JSON. It copies no text that has no escapes, since configurations are
// long and each controller reads each of their versions.
type fieldScanner struct {
	text  []byte
	at    int      // of the next byte
	names [][]byte // of the objects that are open, the innermost last
}

// value passes over one value. It returns the path of the first field in it that stands twice.
func (f *fieldScanner) value() (path string, repeated bool) {
	f.space()
	switch f.text[f.at] {
	case '{':
		return f.object()
	case '[':
		return f.list()
	case '"':
		f.quoted()
	default:
		f.literal()
	}
	return "", false
}

func (f *fieldScanner) list() (path string, repeated bool) {
	f.at++
	for !f.closed(']') {
		if path, repeated = f.value(); repeated {
			return path, true
		}
	}
	return "", false
}

func (f *fieldScanner) object() (path string, repeated bool) {
	f.at++
	seen := objectNames{outer: len(f.names)}
	defer func() { f.names = f.names[:seen.outer] }()
	for !f.closed('}') {
		name := fieldName(f.quoted())
		if seen.has(f.names, name) {
			return string(name), true
		}
		f.names = seen.add(f.names, name)
		f.space()
		f.at++ // the colon
		if path, repeated = f.value(); repeated {
			return string(name) + "." + path, true
		}
	}
	return "", false
}

// closed passes over the end of a list or object, or to its next item, and reports whether it was the end.
func (f *fieldScanner) closed(end byte) bool {
	f.space()
	if f.text[f.at] == ',' {
		f.at++
		f.space()
	}
	if f.text[f.at] != end {
		return false
	}
	f.at++
	return true
}

func (f *fieldScanner) space() {
	for f.text[f.at] == ' ' || f.text[f.at] == '\t' || f.text[f.at] == '\n' || f.text[f.at] == '\r' {
		f.at++
	}
}

// quoted passes over a string and returns it with its quotes.
func (f *fieldScanner) quoted() []byte {
	began := f.at
	for f.at++; f.text[f.at] != '"'; f.at++ {
		if f.text[f.at] == '\\' {
			f.at++
		}
	}
	f.at++
	return f.text[began:f.at]
}

// literal passes over a number, true, false or null.
func (f *fieldScanner) literal() {
	length := bytes.IndexAny(f.text[f.at:], ",]} \t\n\r")
	if length < 0 {
		length = len(f.text) - f.at
	}
	f.at += length
}

// fieldName is what a quoted string says.
func fieldName(quoted []byte) []byte {
	bare := quoted[1 : len(quoted)-1]
	if bytes.IndexByte(bare, '\\') < 0 {
		return bare
	}
	var name string
	if json.Unmarshal(quoted, &name) != nil {
		return bare
	}
	return []byte(name)
}

// objectNames tells whether a name stands in an object already, in the same or other capitals. The names themselves are the
// scanner's, from outer on.
type objectNames struct {
	outer  int
	folded map[string]bool // of an object of many names
}

func (o *objectNames) has(names [][]byte, name []byte) bool {
	if o.folded != nil {
		return o.folded[FoldCase(string(name))]
	}
	for _, other := range names[o.outer:] {
		if bytes.EqualFold(other, name) {
			return true
		}
	}
	return false
}

func (o *objectNames) add(names [][]byte, name []byte) [][]byte {
	names = append(names, name)
	switch own := names[o.outer:]; {
	case o.folded != nil:
		o.folded[FoldCase(string(name))] = true
	case len(own) > namesCompared:
		o.folded = make(map[string]bool, len(own))
		for _, other := range own {
			o.folded[FoldCase(string(other))] = true
		}
	}
	return names
}
