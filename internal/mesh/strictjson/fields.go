package strictjson

import (
	"bytes"
	"encoding/json"
)

// maxLinearNames is how many names of an object are compared one by one; beyond it a set is kept.
const maxLinearNames = 16

// fieldScanner looks for fields that stand twice in valid JSON. It copies no text that has no escapes, since configurations are
// long and each controller reads each of their versions.
type fieldScanner struct {
	input    []byte
	position int      // of the next byte
	names    [][]byte // of the objects that are open, the innermost last
}

// scanValue passes over one value. It returns the path of the first field in it that stands twice.
func (s *fieldScanner) scanValue() (path string, repeated bool) {
	s.skipSpace()
	switch s.input[s.position] {
	case '{':
		return s.scanObject()
	case '[':
		return s.scanArray()
	case '"':
		s.scanString()
	default:
		s.skipLiteral()
	}
	return "", false
}

func (s *fieldScanner) scanArray() (path string, repeated bool) {
	s.position++
	for !s.atEnd(']') {
		if path, repeated = s.scanValue(); repeated {
			return path, true
		}
	}
	return "", false
}

func (s *fieldScanner) scanObject() (path string, repeated bool) {
	s.position++
	seen := objectNames{start: len(s.names)}
	defer func() { s.names = s.names[:seen.start] }()
	for !s.atEnd('}') {
		name := fieldName(s.scanString())
		if seen.has(s.names, name) {
			return string(name), true
		}
		s.names = seen.add(s.names, name)
		s.skipSpace()
		s.position++ // the colon
		if path, repeated = s.scanValue(); repeated {
			return string(name) + "." + path, true
		}
	}
	return "", false
}

// atEnd passes over the end of a list or object, or to its next item, and reports whether it was the end.
func (s *fieldScanner) atEnd(end byte) bool {
	s.skipSpace()
	if s.input[s.position] == ',' {
		s.position++
		s.skipSpace()
	}
	if s.input[s.position] != end {
		return false
	}
	s.position++
	return true
}

func (s *fieldScanner) skipSpace() {
	for s.input[s.position] == ' ' || s.input[s.position] == '\t' || s.input[s.position] == '\n' || s.input[s.position] == '\r' {
		s.position++
	}
}

// scanString passes over a string and returns it with its quotes.
func (s *fieldScanner) scanString() []byte {
	start := s.position
	for s.position++; s.input[s.position] != '"'; s.position++ {
		if s.input[s.position] == '\\' {
			s.position++
		}
	}
	s.position++
	return s.input[start:s.position]
}

// skipLiteral passes over a number, true, false or null.
func (s *fieldScanner) skipLiteral() {
	length := bytes.IndexAny(s.input[s.position:], ",]} \t\n\r")
	if length < 0 {
		length = len(s.input) - s.position
	}
	s.position += length
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
	start  int
	folded map[string]bool // of an object of many names
}

func (o *objectNames) has(names [][]byte, name []byte) bool {
	if o.folded != nil {
		return o.folded[FoldCase(string(name))]
	}
	for _, other := range names[o.start:] {
		if bytes.EqualFold(other, name) {
			return true
		}
	}
	return false
}

func (o *objectNames) add(names [][]byte, name []byte) [][]byte {
	names = append(names, name)
	switch own := names[o.start:]; {
	case o.folded != nil:
		o.folded[FoldCase(string(name))] = true
	case len(own) > maxLinearNames:
		o.folded = make(map[string]bool, len(own))
		for _, other := range own {
			o.folded[FoldCase(string(other))] = true
		}
	}
	return names
}
