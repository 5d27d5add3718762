package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/shoenig/test/must"
)

// duplicateByTokens returns the path of the first duplicate field. It is a simple and slow reference on the tokens of
// encoding/json.
func duplicateByTokens(decoder *json.Decoder, prefix string) (path string, repeated bool) {
	token, _ := decoder.Token()
	seen := map[string]bool{}
	switch token {
	case json.Delim('['):
		for decoder.More() {
			if path, repeated = duplicateByTokens(decoder, prefix); repeated {
				return path, true
			}
		}
	case json.Delim('{'):
		for decoder.More() {
			token, _ := decoder.Token()
			name := token.(string)
			if seen[FoldCase(name)] {
				return prefix + name, true
			}
			seen[FoldCase(name)] = true
			if path, repeated = duplicateByTokens(decoder, prefix+name+"."); repeated {
				return path, true
			}
		}
	default:
		return "", false
	}
	decoder.Token() // the end of the array or object
	return "", false
}

// manyNames returns an object of n fields and one more that repeats the first in capitals.
func manyNames(n int) string {
	var fields []string
	for k := range n {
		fields = append(fields, fmt.Sprintf(`"field%d":{"a":[%d]}`, k, k))
	}
	return "{" + strings.Join(fields, ",") + `,"FIELD0":1}`
}

// FuzzDuplicateFields compares fieldScanner with a simple reference.
func FuzzDuplicateFields(f *testing.F) {
	for _, text := range []string{
		`null`, ` [ ] `, `{}`, `"a"`, `-1.5e3`, `{"a":1,"b":{"a":2}}`, `{"a":1,"A":2}`, `{"a":[{"k":1},{"k":1,"\u004b":2}]}`,
		`{"k":1,"\u212a":2}`, `{"a\"b":1,"a\"b":2}`, `{"":1,"":2}`, `{"":{"a":1,"a":1}}`, `{"a":"}","b":"\\","a":1}`, "\t{ \"a\" :\n[ 1 , true ,null ]\r}",
		manyNames(maxLinearNames - 1), manyNames(maxLinearNames), manyNames(maxLinearNames + 1), `{"x":` + manyNames(40) + `}`,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if !json.Valid(text) || !utf8.Valid(text) {
			must.Error(t, Check(text))
			return
		}
		want, repeated := duplicateByTokens(json.NewDecoder(bytes.NewReader(text)), "")
		scanner := fieldScanner{input: text}
		path, found := scanner.scanValue()
		must.Eq(t, repeated, found)
		must.Eq(t, want, path)
		must.SliceEmpty(t, scanner.names)
	})
}

func BenchmarkCheck(b *testing.B) {
	var routes []string
	for n := range 4000 {
		routes = append(routes, fmt.Sprintf(`{"Host":"host-%d.example","Path":"/path/%d","Method":"GET","Destinations":[{"Name":"service","Weight":100}],"Deadline":1200}`, n, n))
	}
	body := []byte(`{"Routes":[` + strings.Join(routes, ",") + `]}`)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		must.NoError(b, Check(body))
	}
}
