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
	// MaxConnections is how many connections are held at once; descriptors for them are set aside.
	MaxConnections         = 16
	maxCommandBytes        = 64               // bytes of a call
	maxClusterCommandBytes = 512              // and of one to staff
	commandTimeout         = 5 * time.Second  // until a caller without a call is let go
	clusterCommandTimeout  = 10 * time.Second // until what needs a majority of keepers is
	writeTimeout           = time.Second      // until an answer that nobody reads is
	maxAnswerBytes         = 512 << 20        // bytes that staff's side takes: the views of some hundred members, or a ledger
)

// Balancer is what can be asked.
type Balancer interface {
	Health() error // nil if it takes clients, else why not
	WriteFigures(to io.Writer) error
	Leave() error
	Join() error
	WriteMembers(to io.Writer, all bool) error // of its cluster; an error if it is in none
	ClusterCommand(to io.Writer, words []string) error
}

// Server answers at one address.
type Server struct {
	listener net.Listener
	balancer Balancer

	mu         sync.Mutex
	pending    list.List // without a whole call yet, the oldest first
	closed     bool
	goroutines sync.WaitGroup
}

// Open listens, and answers until Close.
func Open(address string, balancer Balancer) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener, balancer: balancer}
	s.goroutines.Go(s.accept)
	return s, nil
}

// Close ends it.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for e := s.pending.Front(); e != nil; e = e.Next() {
		e.Value.(net.Conn).Close()
	}
	s.mu.Unlock()
	s.listener.Close()
	s.goroutines.Wait()
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // Danger: short of descriptors; tried again, since nobody else would say how things stand
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			conn.Close()
			return
		}
		// Danger: callers that hold their connection and say nothing would keep everybody else out.
		if s.pending.Len() >= MaxConnections {
			s.pending.Remove(s.pending.Front()).(net.Conn).Close()
		}
		element := s.pending.PushBack(conn)
		s.mu.Unlock()
		s.goroutines.Go(func() { s.serve(conn, element) })
	}
}

// serve is the life of one connection.
func (s *Server) serve(conn net.Conn, element *list.Element) {
	defer conn.Close()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.pending.Remove(element) // no fault if it has made room
	}()
	conn.SetReadDeadline(time.Now().Add(commandTimeout))
	reader := bufio.NewReaderSize(conn, maxClusterCommandBytes)
	line, err := reader.ReadSlice('\n')
	if err != nil && (err != io.EOF || len(line) == 0) && err != bufio.ErrBufferFull {
		return // Danger: half a line that is cut by silence is no call
	}
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	words := strings.Fields(string(line))
	isCluster := len(words) > 1 && strings.EqualFold(words[0], "cluster")
	if err == bufio.ErrBufferFull || len(line) > maxCommandBytes && !isCluster {
		fmt.Fprintf(conn, "FAILURE a call has %d bytes at most\n", maxCommandBytes)
		return
	}
	if isCluster {
		conn.SetWriteDeadline(time.Now().Add(clusterCommandTimeout))
		if err := s.balancer.ClusterCommand(conn, words[1:]); err != nil {
			writeResult(conn, err)
		} else {
			io.WriteString(conn, "EOT\n")
		}
		return
	}
	switch command := strings.ToUpper(string(bytes.TrimSpace(line))); command {
	case "HEALTH":
		writeResult(conn, s.balancer.Health())
	case "LEAVE":
		writeResult(conn, s.balancer.Leave())
	case "JOIN":
		writeResult(conn, s.balancer.Join())
	case "DUMP":
		if s.balancer.WriteFigures(conn) == nil {
			io.WriteString(conn, "EOT\n")
		}
	case "MEMBERS", "MEMBERS ALL":
		if err := s.balancer.WriteMembers(conn, command != "MEMBERS"); err != nil {
			writeResult(conn, err)
		} else {
			io.WriteString(conn, "EOT\n")
		}
	case "":
		io.WriteString(conn, "FAILURE an empty line; the calls are HEALTH, DUMP, LEAVE, JOIN, MEMBERS, CLUSTER\n")
	default:
		fmt.Fprintf(conn, "FAILURE no call %q; the calls are HEALTH, DUMP, LEAVE, JOIN, MEMBERS, CLUSTER\n", command)
	}
}

func writeResult(to io.Writer, err error) {
	if err != nil {
		fmt.Fprintf(to, "FAILURE %s\n", err)
		return
	}
	io.WriteString(to, "SUCCESS\n")
}

// Call asks a balancer at its second address, for staff; ok tells whether it said yes, or told all its figures.
func Call(address, command string, within time.Duration) (text string, ok bool, err error) {
	conn, err := net.DialTimeout("tcp", address, within)
	if err != nil {
		return "", false, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(within))
	if _, err = fmt.Fprintf(conn, "%s\n", command); err != nil {
		return "", false, err
	}
	raw, err := io.ReadAll(io.LimitReader(conn, maxAnswerBytes))
	text = string(raw)
	return text, strings.HasPrefix(text, "SUCCESS") || strings.HasSuffix(text, "EOT\n"), err
}
