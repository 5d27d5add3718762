// Package strictjson rejects JSON that decoders may read differently. encoding/json takes the last of two fields with
// the same name, ignores the case of field names, and replaces invalid UTF-8. Data that controllers agree on or accept
// must not depend on that.
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

// Error is the class of errors in JSON that is invalid or ambiguous.
var Error = errs.Class("json")

// DecodeSingle decodes a single JSON value. It fails if anything but white space follows the value.
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

// Check rejects JSON that decoders may read differently: text that is not UTF-8, unpaired surrogates, which decoders
// replace, and duplicate fields of an object, regardless of case.
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

// FoldCase returns a text that is the same for all field names that JSON decoders may treat as equal, which ignore case.
func FoldCase(name string) string {
	return strings.Map(func(r rune) rune {
		least := r
		for other := unicode.SimpleFold(r); other != r; other = unicode.SimpleFold(other) {
			least = min(least, other)
		}
		return least
	}, name)
}

// hasLoneSurrogate reports whether a \u escape stands for an unpaired surrogate.
func hasLoneSurrogate(body []byte) bool {
	for at := 0; at < len(body); at++ {
		if body[at] != '\\' {
			continue
		}
		at++ // skips the escaped character, which may be another backslash
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

// escapedUnit returns the UTF-16 code unit of an escape uXXXX at the start of text, or 0 if there is none.
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
