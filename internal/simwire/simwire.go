// Package simwire connects balancers to the simulator: it translates the simulator's frames into calls on logic.Balancer
// and its decisions into replies. Call ids, JSON, microseconds and the set of instances are confined to this package.
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

// server holds the instances of one process and the reply to the current frame.
type server struct {
	out       bytes.Buffer
	errorLog  io.Writer
	lists     [16][]roster.Entry[uint32] // registered lists, by number
	instances map[int]*instance
	pending   []*instance // to get a round at the end of the frame
	now       int64       // nanoseconds
	line      int         // number of the current input line
	frame     int64       // number of the current frame
}

// instance is one balancer with the mapping between its indexes and the names on the wire. It is the logic.Writer of
// its decisions.
type instance struct {
	balancer     *logic.Balancer // nil if it could not be created, has been replaced, or has panicked
	number       int
	queued       bool // is in server.pending
	server       *server
	book         *terms.Settings
	roster       *roster.Roster[uint32]
	transactions map[string]*logic.Transaction // by call id
}

// Serve reads frames from in and writes the reply to each of them to out until in ends. It skips invalid messages and
// reports them to errorLog.
func Serve(in io.Reader, out, errorLog io.Writer) error {
	srv := &server{errorLog: errorLog, instances: map[int]*instance{}}
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
			message, parseErr := parser.ParseBytes(line)
			if parseErr != nil {
				srv.reportError("not JSON: %v", parseErr)
			} else if done := srv.handleMessage(message); done {
				if _, writeErr := out.Write(srv.out.Bytes()); writeErr != nil {
					return writeErr
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

// reportError reports an invalid message with the number of its line.
func (srv *server) reportError(format string, values ...any) {
	fmt.Fprintf(srv.errorLog, "simwire: line %d: %s\n", srv.line, fmt.Sprintf(format, values...))
}
