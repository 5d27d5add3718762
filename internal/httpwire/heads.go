package httpwire

import "bytes"

// headScanner looks at the raw head of each message for a length. Danger: beside a transfer coding net/http drops the length
// unseen, and what one side takes for the body holds a message of its own for the other. It is used by one goroutine at
// a time, as the server reads.
type headScanner struct {
	name      []byte // of the name of a header, as far as it has come
	nameEnded bool   // the name has ended: the rest of the line says nothing
	hasLength bool   // there was one
	ended     bool   // all of the head has been seen
}

const lengthHeader = "content-length"

// reset begins a message.
func (scanner *headScanner) reset() { *scanner = headScanner{name: scanner.name[:0]} }

// scan looks at bytes in the order in which they came.
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
			// A folded one is none to us, and may be one to somebody else.
			scanner.hasLength = scanner.hasLength || bytes.EqualFold(bytes.TrimSpace(scanner.name), []byte(lengthHeader))
			scanner.nameEnded = true
		case len(scanner.name) < len(lengthHeader)+4:
			scanner.name = append(scanner.name, x)
		}
	}
}

// withoutLength reports that all of the head was seen, and no length in it. What came in one piece with the message before was
// not seen from its beginning, and doesn't count as plain.
func (scanner *headScanner) withoutLength() bool { return scanner.ended && !scanner.hasLength }
