package httpwire

import "bytes"

// headScanner scans the raw header of each request for Content-Length. net/http silently drops that header beside
// a transfer coding, so two sides could disagree on where the body ends and a request could be smuggled in it. It
// is used by one goroutine at a time, as the server reads.
type headScanner struct {
	name      []byte // of the current header field, as far as read
	nameEnded bool   // the name is complete; the rest of the line is skipped
	hasLength bool   // there was a Content-Length
	ended     bool   // the whole header has been scanned
}

const lengthHeader = "content-length"

// reset starts the scan of a new request.
func (scanner *headScanner) reset() { *scanner = headScanner{name: scanner.name[:0]} }

// scan scans bytes in the order in which they arrived.
func (scanner *headScanner) scan(b []byte) {
	for len(b) > 0 && !scanner.ended {
		if scanner.nameEnded {
			n := bytes.IndexByte(b, '\n')
			if n < 0 {
				return
			}
			b, scanner.nameEnded, scanner.name = b[n+1:], false, scanner.name[:0]
			continue
		}
		x := b[0]
		b = b[1:]
		switch {
		case x == '\n':
			scanner.ended, scanner.name = len(scanner.name) == 0, scanner.name[:0]
		case x == '\r':
		case x == ':':
			// A folded Content-Length is invalid here but may be valid for an upstream.
			scanner.hasLength = scanner.hasLength || bytes.EqualFold(bytes.TrimSpace(scanner.name), []byte(lengthHeader))
			scanner.nameEnded = true
		case len(scanner.name) < len(lengthHeader)+4:
			scanner.name = append(scanner.name, x)
		}
	}
}

// withoutLength reports that the whole header was scanned and has no Content-Length. A header read together with
// the end of the previous request was not scanned from its start and does not qualify.
func (scanner *headScanner) withoutLength() bool { return scanner.ended && !scanner.hasLength }
