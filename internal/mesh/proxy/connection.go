package proxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ottershift/internal/mesh/rpc"
	"ottershift/internal/mesh/telemetry"
	"ottershift/internal/rawconn"
)

const (
	keptLong          = 20 * time.Second // idle, to a peer of the mesh, which closes later
	keptShort         = 3 * time.Second  // idle, to an upstream that does not say how long
	maxForeignAnswers = 4                // answers to other requests that are skipped on one connection
	peerGone          = 2500 * time.Millisecond
)

var (
	errForeignAnswers = errors.New("only answers to other requests came")
)

// line is a connection that carries one request at a time. Invariant: what lies behind a whole answer, or comes late,
// belongs to no request; so a line is looked at before it is used again, and an answer has to bear its request's id.
type connection struct {
	*net.TCPConn
	raw   syscall.RawConn
	read  *bufio.Reader
	host  string
	kept  bool          // it has carried another request before
	until time.Time     // when it is not to be used any more
	count *atomic.Int32 // of those kept to the same host, nil where nobody asks
}

// rest and wake keep count of what is kept.
func (l *connection) rest(n int32) {
	if l.count != nil {
		l.count.Add(n)
	}
}

// lines are the kept connections of one process to all that it sends to.
type connectionPool struct {
	dialer               net.Dialer
	mu                   sync.Mutex
	idle                 map[string][]*connection
	dials, failed, stale *atomic.Int64
}

func newConnectionPool(dial time.Duration, counts *telemetry.Counters, name string) *connectionPool {
	return &connectionPool{
		dials: counts.Of(name + "_dials"), failed: counts.Of(name + "_dials_failed"), stale: counts.Of(name + "_stale"),
		dialer: net.Dialer{Timeout: dial, KeepAlive: -1, Control: rpc.UserTimeout(peerGone)}, idle: map[string][]*connection{}}
}

// take gives a line to an address, a kept one where there is one that is quiet. host names who is there: an address may
// have a new owner.
func (ls *connectionPool) take(ctx context.Context, host, address string, onlyFresh bool, count *atomic.Int32) (*connection, error) {
	for !onlyFresh {
		ls.mu.Lock()
		all := ls.idle[host]
		if len(all) == 0 {
			ls.mu.Unlock()
			break
		}
		l := all[len(all)-1]
		ls.idle[host] = all[:len(all)-1]
		ls.mu.Unlock()
		l.rest(-1)
		if unread, ended := rawconn.Peek(l.raw); unread || ended || time.Now().After(l.until) {
			ls.stale.Add(1)
			l.Close()
			continue
		}
		l.kept = true
		return l, nil
	}
	ls.dials.Add(1)
	c, err := ls.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		ls.failed.Add(1)
		return nil, err
	}
	t := c.(*net.TCPConn)
	raw, err := t.SyscallConn()
	if err != nil {
		t.Close()
		return nil, err
	}
	return &connection{TCPConn: t, raw: raw, read: bufio.NewReaderSize(t, 4<<10), host: host, count: count}, nil
}

// put keeps a line whose answer has been read whole, unless it says that it ends or has more to say.
func (ls *connectionPool) put(l *connection, answer *http.Response, long time.Duration) {
	if answer.Close || l.read.Buffered() > 0 || answer.ProtoMinor == 0 {
		l.Close()
		return
	}
	keep := long
	for _, part := range strings.Split(answer.Header.Get("Keep-Alive"), ",") {
		if n, is := strings.CutPrefix(strings.TrimSpace(part), "timeout="); is {
			if seconds, err := strconv.Atoi(n); err == nil { // Invariant: what is sent as it ends may have run
				keep = min(keep, time.Duration(seconds)*time.Second*3/4)
			}
		}
	}
	l.until = time.Now().Add(keep)
	l.rest(1)
	ls.mu.Lock()
	ls.idle[l.host] = append(ls.idle[l.host], l)
	ls.mu.Unlock()
}

// sweep closes what has been idle for long.
func (ls *connectionPool) sweep(now time.Time) {
	var old []*connection
	ls.mu.Lock()
	for host, all := range ls.idle {
		kept := all[:0]
		for _, l := range all {
			if now.After(l.until) {
				old = append(old, l)
			} else {
				kept = append(kept, l)
			}
		}
		if ls.idle[host] = kept; len(kept) == 0 {
			delete(ls.idle, host)
		}
	}
	ls.mu.Unlock()
	for _, l := range old {
		l.rest(-1)
		l.Close()
	}
}

// leave closes what is kept to a host that is gone.
func (ls *connectionPool) closeHost(host string) {
	ls.mu.Lock()
	all := ls.idle[host]
	delete(ls.idle, host)
	ls.mu.Unlock()
	for _, l := range all {
		l.rest(-1)
		l.Close()
	}
}

// head writes a request's head. The target goes on as it came.
func head(b *bytes.Buffer, method, target, host string, header http.Header, length int64) {
	b.WriteString(method)
	b.WriteByte(' ')
	b.WriteString(target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(host)
	b.WriteString("\r\n")
	header.Write(b)
	if length > 0 || method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.FormatInt(length, 10))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
}

// send writes a request and reads the head of its answer; wrote tells that some of it may have gone out. Answers that
// bear another request's id are skipped.
func (l *connection) send(request *http.Request, first []byte, rest io.Reader, id string) (answer *http.Response, wrote bool, err error) {
	if n, err := l.Write(first); err != nil {
		return nil, n > 0, err
	}
	if rest != nil {
		if _, err := io.Copy(struct{ io.Writer }{l.TCPConn}, rest); err != nil {
			return nil, true, err
		}
	}
	for range maxForeignAnswers {
		answer, err = http.ReadResponse(l.read, request)
		if err != nil {
			return nil, true, err
		}
		if answer.StatusCode < 200 { // informational: the answer is still to come
			continue
		}
		if is := answer.Header.Get(attemptID); is == id || is == "" && answer.StatusCode >= 400 {
			return answer, true, nil
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			return nil, true, err
		}
	}
	return nil, true, errForeignAnswers
}
