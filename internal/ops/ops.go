// Package ops implements the administrative address of a balancer. A client sends one command line per connection and
// gets one response. The package handles sockets and lines only; a Balancer carries out the commands.
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
	// MaxConnections is the maximum number of connections served at once. File descriptors are reserved for them.
	MaxConnections         = 16
	maxCommandBytes        = 64
	maxClusterCommandBytes = 512              // for CLUSTER commands, which have arguments
	commandTimeout         = 5 * time.Second  // for the client to send its command
	clusterCommandTimeout  = 10 * time.Second // for CLUSTER commands, which may need a majority of the voters
	writeTimeout           = time.Second      // for the client to read the response
	maxAnswerBytes         = 512 << 20        // read by Call: enough for the views of some hundred members, or for a ledger
)

// Balancer carries out the commands.
type Balancer interface {
	Health() error // nil if the balancer accepts clients, else the reason why it does not
	WriteFigures(to io.Writer) error
	Leave() error
	Join() error
	WriteMembers(to io.Writer, all bool) error // members of the cluster; an error outside a cluster
	ClusterCommand(to io.Writer, words []string) error
}

// Server serves the commands at one address.
type Server struct {
	listener net.Listener
	balancer Balancer

	mu         sync.Mutex
	conns      list.List // connections that are being served, the oldest first
	closed     bool
	goroutines sync.WaitGroup
}

// Open listens at an address and serves commands until Close.
func Open(address string, balancer Balancer) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener, balancer: balancer}
	s.goroutines.Go(s.accept)
	return s, nil
}

// Close stops the server and waits for its goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for e := s.conns.Front(); e != nil; e = e.Next() {
		e.Value.(net.Conn).Close()
	}
	s.mu.Unlock()
	s.listener.Close()
	s.goroutines.Wait()
}

// accept accepts connections until the listener is closed.
func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of file descriptors, when operators need this address in particular, hence the retry
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			conn.Close()
			return
		}
		// The oldest connection is closed if there are too many. Otherwise idle clients could lock out all others.
		if s.conns.Len() >= MaxConnections {
			s.conns.Remove(s.conns.Front()).(net.Conn).Close()
		}
		element := s.conns.PushBack(conn)
		s.mu.Unlock()
		s.goroutines.Go(func() { s.serve(conn, element) })
	}
}

// serve handles one connection.
func (s *Server) serve(conn net.Conn, element *list.Element) {
	defer conn.Close()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.conns.Remove(element) // no effect if accept has removed it already
	}()
	conn.SetReadDeadline(time.Now().Add(commandTimeout))
	reader := bufio.NewReaderSize(conn, maxClusterCommandBytes)
	line, err := reader.ReadSlice('\n')
	if err != nil && (err != io.EOF || len(line) == 0) && err != bufio.ErrBufferFull {
		return // a line that is cut off by the timeout is no command
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

// writeResult writes SUCCESS, or FAILURE with an error.
func writeResult(to io.Writer, err error) {
	if err != nil {
		fmt.Fprintf(to, "FAILURE %s\n", err)
		return
	}
	io.WriteString(to, "SUCCESS\n")
}

// Call sends a command to the administrative address of a balancer. ok reports whether the response is SUCCESS, or is
// complete up to its final EOT line.
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
