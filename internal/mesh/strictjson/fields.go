package strictjson

import (
	"bytes"
	"encoding/json"
)

// maxLinearNames is the largest number of names in an object that are compared one by one. Larger objects use a set.
const maxLinearNames = 16

// fieldScanner finds duplicate fields in valid JSON. It does not copy names without escapes, since configurations are
// large and each controller reads each version of them.
type fieldScanner struct {
	input    []byte
	position int      // index of the next byte
	names    [][]byte // of the enclosing objects, those of the innermost last
}

// scanValue skips one value. It returns the path of the first duplicate field in it.
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

// scanArray is scanValue for an array.
func (s *fieldScanner) scanArray() (path string, repeated bool) {
	s.position++
	for !s.atEnd(']') {
		if path, repeated = s.scanValue(); repeated {
			return path, true
		}
	}
	return "", false
}

// scanObject is scanValue for an object.
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

// atEnd skips the end of an array or object, or the comma before its next item. It reports whether it skipped the end.
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

// skipSpace skips white space.
func (s *fieldScanner) skipSpace() {
	for s.input[s.position] == ' ' || s.input[s.position] == '\t' || s.input[s.position] == '\n' || s.input[s.position] == '\r' {
		s.position++
	}
}

// scanString skips a string and returns it with its quotes.
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

// skipLiteral skips a number, true, false or null.
func (s *fieldScanner) skipLiteral() {
	length := bytes.IndexAny(s.input[s.position:], ",]} \t\n\r")
	if length < 0 {
		length = len(s.input) - s.position
	}
	s.position += length
}

// fieldName returns the text of a quoted string.
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

// objectNames finds duplicate names in one object, regardless of case. The names are in the scanner's names, from the
// index start.
type objectNames struct {
	start  int
	folded map[string]bool // case-folded names, for an object with more than maxLinearNames
}

// has reports whether the object has a name already.
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

// add appends a name of the object to names.
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
