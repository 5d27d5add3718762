// Package ops is the second address, for the operators' staff: a line to a connection, one call, one answer. It knows
// sockets and lines only; who is asked decides.
package ops

import (
	"bufio"
	"bytes"
	"container/list"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// Most is how many connections are held at once; descriptors for them are set aside.
	Most       = 16
	longest    = 64               // bytes of a call
	named      = 512              // and of one to staff
	silent     = 5 * time.Second  // until a caller without a call is let go
	agreed     = 10 * time.Second // until what needs a majority of keepers is
	answered   = time.Second      // until an answer that nobody reads is
	mostAnswer = 512 << 20        // bytes that staff's side takes: the views of some hundred members, or a ledger
)

// Balancer is what can be asked.
type Balancer interface {
	Health() error // nil if it takes clients, else why not
	Figures(to io.Writer) error
	Leave() error
	Join() error
	Members(to io.Writer, all bool) error // of its cluster; an error if it is in none
	Cluster(to io.Writer, words []string) error
}

// Server answers at one address.
type Server struct {
	l  net.Listener
	of Balancer

	mu      sync.Mutex
	callers list.List // without a whole call yet, the oldest first
	ended   bool
	all     sync.WaitGroup
}

// Open listens, and answers until Close.
func Open(address string, of Balancer) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{l: l, of: of}
	s.all.Go(s.accept)
	return s, nil
}

// Close ends it.
func (s *Server) Close() {
	s.mu.Lock()
	s.ended = true
	for e := s.callers.Front(); e != nil; e = e.Next() {
		e.Value.(net.Conn).Close()
	}
	s.mu.Unlock()
	s.l.Close()
	s.all.Wait()
}

func (s *Server) accept() {
	for {
		c, err := s.l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // Danger: short of descriptors; tried again, since nobody else would say how things stand
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.mu.Lock()
		if s.ended {
			s.mu.Unlock()
			c.Close()
			return
		}
		// Danger: callers that hold their connection and say nothing would keep everybody else out.
		if s.callers.Len() >= Most {
			s.callers.Remove(s.callers.Front()).(net.Conn).Close()
		}
		place := s.callers.PushBack(c)
		s.mu.Unlock()
		s.all.Go(func() { s.answer(c, place) })
	}
}

// answer is the life of one connection.
func (s *Server) answer(c net.Conn, place *list.Element) {
	defer c.Close()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.callers.Remove(place) // no fault if it has made room
	}()
	c.SetReadDeadline(time.Now().Add(silent))
	in := bufio.NewReaderSize(c, named)
	line, err := in.ReadSlice('\n')
	if err != nil && (err != io.EOF || len(line) == 0) && err != bufio.ErrBufferFull {
		return // Danger: half a line that is cut by silence is no call
	}
	c.SetWriteDeadline(time.Now().Add(answered))
	words := strings.Fields(string(line))
	staff := len(words) > 1 && strings.EqualFold(words[0], "cluster")
	if err == bufio.ErrBufferFull || len(line) > longest && !staff {
		fmt.Fprintf(c, "FAILURE a call has %d bytes at most\n", longest)
		return
	}
	if staff {
		c.SetWriteDeadline(time.Now().Add(agreed))
		if err := s.of.Cluster(c, words[1:]); err != nil {
			say(c, err)
		} else {
			io.WriteString(c, "EOT\n")
		}
		return
	}
	switch call := strings.ToUpper(string(bytes.TrimSpace(line))); call {
	case "HEALTH":
		say(c, s.of.Health())
	case "LEAVE":
		say(c, s.of.Leave())
	case "JOIN":
		say(c, s.of.Join())
	case "DUMP":
		if s.of.Figures(c) == nil {
			io.WriteString(c, "EOT\n")
		}
	case "MEMBERS", "MEMBERS ALL":
		if err := s.of.Members(c, call != "MEMBERS"); err != nil {
			say(c, err)
		} else {
			io.WriteString(c, "EOT\n")
		}
	case "":
		io.WriteString(c, "FAILURE an empty line; the calls are HEALTH, DUMP, LEAVE, JOIN, MEMBERS, CLUSTER\n")
	default:
		fmt.Fprintf(c, "FAILURE no call %q; the calls are HEALTH, DUMP, LEAVE, JOIN, MEMBERS, CLUSTER\n", call)
	}
}

func say(to io.Writer, no error) {
	if no != nil {
		fmt.Fprintf(to, "FAILURE %s\n", no)
		return
	}
	io.WriteString(to, "SUCCESS\n")
}

// Call asks a balancer at its second address, for staff; ok tells whether it said yes, or told all its figures.
func Call(address, call string, within time.Duration) (text string, ok bool, err error) {
	c, err := net.DialTimeout("tcp", address, within)
	if err != nil {
		return "", false, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(within))
	if _, err = fmt.Fprintf(c, "%s\n", call); err != nil {
		return "", false, err
	}
	raw, err := io.ReadAll(io.LimitReader(c, mostAnswer))
	text = string(raw)
	return text, strings.HasPrefix(text, "SUCCESS") || strings.HasSuffix(text, "EOT\n"), err
}
