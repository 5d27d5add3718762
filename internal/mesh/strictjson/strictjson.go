// Package strictjson reads JSON that has to mean the same to every reader. encoding/json takes the last of two fields of one name,
// fields in other capitals, and replaces what is no text; what is agreed on or let in must not depend on that.
package strictjson

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/zeebo/errs"
)

// Error is the class of what can't be read, or not in one way.
var Error = errs.Class("json")

// DecodeSingle decodes one JSON value with nothing behind it.
func DecodeSingle(body []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return Error.New("something follows the value")
	}
	return nil
}

// Check refuses JSON that readers may take for different things: text that is not UTF-8, halves of surrogate pairs, which
// decoders replace, and a field that stands twice in one object, in the same or other capitals.
func Check(body []byte) error {
	if !utf8.Valid(body) {
		return Error.New("the text is not UTF-8")
	}
	if hasLoneSurrogate(body) {
		return Error.New("a \\u escape is half of a surrogate pair")
	}
	var value json.RawMessage
	if err := json.Unmarshal(body, &value); err != nil {
		return Error.Wrap(err)
	}
	scanner := fieldScanner{input: value}
	if path, repeated := scanner.scanValue(); repeated {
		return Error.New("%s: stands twice", path)
	}
	return nil
}

// FoldCase is the same text for all texts that decoders of JSON take for the same field name.
func FoldCase(name string) string {
	return strings.Map(func(r rune) rune {
		least := r
		for other := unicode.SimpleFold(r); other != r; other = unicode.SimpleFold(other) {
			least = min(least, other)
		}
		return least
	}, name)
}

// hasLoneSurrogate reports whether a \u escape names half of a surrogate pair without the other half.
func hasLoneSurrogate(body []byte) bool {
	for at := 0; at < len(body); at++ {
		if body[at] != '\\' {
			continue
		}
		at++ // whatever is escaped, another backslash too
		switch unit := escapedUnit(body[min(at, len(body)):]); {
		case unit < 0xD800 || unit > 0xDFFF:
		case unit > 0xDBFF:
			return true
		default:
			rest := body[min(at+5, len(body)):]
			if len(rest) == 0 || rest[0] != '\\' {
				return true
			}
			if low := escapedUnit(rest[1:]); low < 0xDC00 || low > 0xDFFF {
				return true
			}
			at += 6
		}
	}
	return false
}

// escapedUnit is the unit that text names as uXXXX, 0 if it names none.
func escapedUnit(text []byte) (unit int) {
	const hexDigits = 4
	if len(text) < 1+hexDigits || text[0] != 'u' {
		return 0
	}
	for _, c := range text[1 : 1+hexDigits] {
		digit := strings.IndexByte("0123456789abcdef", c|0x20)
		if digit < 0 {
			return 0
		}
		unit = unit<<4 | digit
	}
	return unit
}
