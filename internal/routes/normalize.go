package routes

import "strings"

// NormalizeHost brings a host to the form in which it is looked up: small letters, no port, no final dot. It is not ok if it
// can't be a host; an absent one is "" and matches routes for any host only.
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

func isPortSuffix(text string) bool {
	return text == "" || text[0] == ':' && len(text) <= 6 && strings.Trim(text[1:], "0123456789") == ""
}

// NormalizePath brings a path, as it stands encoded in a request, to its normal form. Danger: where the balancer and the
// upstream read a path in two ways, one guards what the other lets through; so what is routed is what is sent on.
//
//   - an encoded letter, digit, "-", ".", "_" or "~" is decoded, any other stays encoded, in capitals: %2f is never a "/"
//   - "//" is "/"
//   - "." and ".." are taken out by segment; a path that leaves its root so is not ok
//   - a final "/" stays
//
// An encoded zero or a "%" without two hexadecimal digits is not ok.
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

// isNormalized reports whether a path is in its normal form for certain, which nearly all are.
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

func isHexDigit(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

func hexValue(c byte) byte {
	switch {
	case c >= 'a':
		return c - 'a' + 10
	case c >= 'A':
		return c - 'A' + 10
	}
	return c - '0'
}

func isUnreserved(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("-._~", c) >= 0
}
