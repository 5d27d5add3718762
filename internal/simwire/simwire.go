// Package simwire plays balancers on the bench's wire: it turns frames into calls on logic.Balancer and its
// decisions into replies. Ids, JSON, microseconds and the set of instances are known here and nowhere else.
package simwire

import (
	"bufio"
	"bytes"
	"fmt"
	"io"

	"github.com/valyala/fastjson"

	"ottershift/internal/roster"
	"ottershift/internal/terms"
	"ottershift/logic"
)

const microsecond = 1000

// server hosts the instances of one process.
type server struct {
	out       bytes.Buffer
	complain  io.Writer
	sheets    [16][]roster.Entry[uint32]
	instances map[int]*instance
	touched   []*instance
	now       int64
	line      int
	frame     int64
}

// instance is one balancer with its names: it is the Writer of its decisions.
type instance struct {
	logic  *logic.Balancer
	number int
	queued bool
	server *server
	book   *terms.Settings
	roster *roster.Roster[uint32]
	calls  map[string]*logic.Transaction
}

// Serve answers every frame of in on out until in ends. What it can't make sense of it names on complain and
// skips.
func Serve(in io.Reader, out, complain io.Writer) error {
	s := &server{complain: complain, instances: map[int]*instance{}}
	lines := bufio.NewReaderSize(in, 1<<20)
	var parser fastjson.Parser
	var long []byte
	for {
		line, err := lines.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			long = append(long, line...)
			continue
		}
		if len(long) > 0 {
			long = append(long, line...)
			line = long
		}
		s.line++
		if len(bytes.TrimSpace(line)) > 0 {
			v, fault := parser.ParseBytes(line)
			if fault != nil {
				s.fault("not JSON: %v", fault)
			} else if done := s.read(v); done {
				if _, fault := out.Write(s.out.Bytes()); fault != nil {
					return fault
				}
				s.out.Reset()
			}
		}
		long = long[:0]
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (s *server) fault(format string, values ...any) {
	fmt.Fprintf(s.complain, "simwire: line %d: %s\n", s.line, fmt.Sprintf(format, values...))
}
