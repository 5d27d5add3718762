package routes

import "strings"

// NormalizeHost returns the form of a host under which it is looked up: lower case, without port and final dot. ok is false
// if the text cannot be a host. An absent host is "" and matches only routes for any host.
func NormalizeHost(host string) (normalized string, ok bool) {
	name := host
	if strings.HasPrefix(name, "[") { // an IPv6 address keeps its brackets
		end := strings.IndexByte(name, ']')
		if end < 0 || !isPortSuffix(name[end+1:]) {
			return "", false
		}
		return strings.ToLower(name[:end+1]), true
	}
	if colon := strings.IndexByte(name, ':'); colon >= 0 {
		if !isPortSuffix(name[colon:]) {
			return "", false
		}
		name = name[:colon]
	}
	name = strings.TrimSuffix(name, ".")
	if name == "" {
		return "", host == ""
	}
	if strings.HasPrefix(name, ".") || strings.Contains(name, "..") || len(name) > 253 ||
		strings.ContainsAny(name, "/\\@?# \t\x00%") {
		return "", false
	}
	return strings.ToLower(name), true
}

// isPortSuffix reports whether the text is empty or a colon followed by at most five digits.
func isPortSuffix(text string) bool {
	return text == "" || text[0] == ':' && len(text) <= 6 && strings.Trim(text[1:], "0123456789") == ""
}

// NormalizePath returns the normal form of the encoded path of a request. If the balancer and the upstream interpreted a path
// differently, a request could bypass a rule that protects a path. Therefore the path used for routing is the path that is
// forwarded.
//
//   - an encoded letter, digit, "-", ".", "_" or "~" is decoded; any other byte stays encoded, in upper case, so that %2f never
//     becomes "/"
//   - "//" becomes "/"
//   - "." and ".." segments are resolved; a path that would leave the root is not ok
//   - a final "/" is kept
//
// An encoded zero byte or a "%" without two hexadecimal digits is not ok.
func NormalizePath(path string) (normalized string, ok bool) {
	if path == "" {
		return "/", true
	}
	if path[0] != '/' {
		return "", false
	}
	if isNormalized(path) {
		return path, true
	}
	var out strings.Builder
	for i := 0; i < len(path); i++ {
		char := path[i]
		if char != '%' {
			if char == 0 {
				return "", false
			}
			out.WriteByte(char)
			continue
		}
		if i+2 >= len(path) || !isHexDigit(path[i+1]) || !isHexDigit(path[i+2]) {
			return "", false
		}
		switch char = hexValue(path[i+1])<<4 | hexValue(path[i+2]); {
		case char == 0:
			return "", false
		case isUnreserved(char):
			out.WriteByte(char)
		default:
			out.WriteString(strings.ToUpper(path[i : i+3]))
		}
		i += 2
	}
	segments := strings.Split(out.String(), "/")
	kept := segments[:0]
	for n, s := range segments {
		last := n == len(segments)-1
		switch s {
		case "..":
			if len(kept) == 0 {
				return "", false
			}
			kept = kept[:len(kept)-1]
		case ".", "":
		default:
			kept = append(kept, s)
			continue
		}
		if last && len(kept) > 0 {
			kept = append(kept, "")
		}
	}
	return "/" + strings.Join(kept, "/"), true
}

// isNormalized reports whether a path is certainly in its normal form, as most paths are. It may return false for a path that
// is.
func isNormalized(path string) bool {
	for i := 0; i < len(path); i++ {
		switch path[i] {
		case '%', 0:
			return false
		case '/':
			if i+1 < len(path) && (path[i+1] == '/' || path[i+1] == '.') {
				return false
			}
		}
	}
	return true
}

// isHexDigit reports whether a byte is a hexadecimal digit.
func isHexDigit(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

// hexValue returns the value of a hexadecimal digit.
func hexValue(c byte) byte {
	switch {
	case c >= 'a':
		return c - 'a' + 10
	case c >= 'A':
		return c - 'A' + 10
	}
	return c - '0'
}

// isUnreserved reports whether a byte is an unreserved character of RFC 3986.
func isUnreserved(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("-._~", c) >= 0
}
