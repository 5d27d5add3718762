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

const nanosPerMicro = 1000

// server hosts the instances of one process.
type server struct {
	out       bytes.Buffer
	errors    io.Writer
	lists     [16][]roster.Entry[uint32]
	instances map[int]*instance
	pending   []*instance
	now       int64
	line      int
	frame     int64
}

// instance is one balancer with its names: it is the Writer of its decisions.
type instance struct {
	balancer     *logic.Balancer
	number       int
	queued       bool
	server       *server
	book         *terms.Book
	roster       *roster.Roster[uint32]
	transactions map[string]*logic.Transaction
}

// Serve answers every frame of in on out until in ends. What it can't make sense of it names on complain and
// skips.
func Serve(in io.Reader, out, errors io.Writer) error {
	srv := &server{errors: errors, instances: map[int]*instance{}}
	lines := bufio.NewReaderSize(in, 1<<20)
	var parser fastjson.Parser
	var partial []byte
	for {
		line, err := lines.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			partial = append(partial, line...)
			continue
		}
		if len(partial) > 0 {
			partial = append(partial, line...)
			line = partial
		}
		srv.line++
		if len(bytes.TrimSpace(line)) > 0 {
			message, failure := parser.ParseBytes(line)
			if failure != nil {
				srv.reportError("not JSON: %v", failure)
			} else if done := srv.handleMessage(message); done {
				if _, failure := out.Write(srv.out.Bytes()); failure != nil {
					return failure
				}
				srv.out.Reset()
			}
		}
		partial = partial[:0]
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (srv *server) reportError(format string, values ...any) {
	fmt.Fprintf(srv.errors, "simwire: line %d: %s\n", srv.line, fmt.Sprintf(format, values...))
}
