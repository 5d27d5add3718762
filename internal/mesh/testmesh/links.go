package testmesh

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// LinkFault is what is wrong with the calls from one machine to another.
type LinkFault uint8

// Faults of a link, in one direction.
const (
	LinkOK             LinkFault = iota
	LinkDropsRequests            // requests never arrive; the caller waits until its own end
	LinkRefused                  // connections are refused at once
	LinkReset                    // requests arrive, the connection is reset before the response
	LinkDropsResponses           // requests arrive and are handled, their responses never come back
	LinkDeliversLate             // requests arrive after Delay, also once their caller has given up; responses are lost
)

var errConnectionRefused = &net.OpError{Op: "dial", Net: "tcp4", Err: syscall.ECONNREFUSED}

// Links injects faults into the calls between processes of a test. A link is named by the IP addresses of its two ends, each
// direction by itself. The zero value has no faults.
type Links struct {
	mu     sync.Mutex
	faults map[[2]string]LinkFault
	delays map[[2]string]time.Duration
}

// Set puts a fault on the direction from one IP address to another.
func (l *Links) Set(from, to string, fault LinkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults == nil {
		l.faults = map[[2]string]LinkFault{}
	}
	l.faults[[2]string{from, to}] = fault
}

// SetBoth puts a fault on both directions between two IP addresses.
func (l *Links) SetBoth(first, second string, fault LinkFault) {
	l.Set(first, second, fault)
	l.Set(second, first, fault)
}

// SetDelay has each request from one IP address to another wait before it is sent.
func (l *Links) SetDelay(from, to string, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.delays == nil {
		l.delays = map[[2]string]time.Duration{}
	}
	l.delays[[2]string{from, to}] = delay
}

// Clear takes all faults and delays away.
func (l *Links) Clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults, l.delays = nil, nil
}

func (l *Links) state(from, to string) (LinkFault, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := [2]string{from, to}
	return l.faults[key], l.delays[key]
}

// Transport wraps the transport of a process at an IP address, so that its calls meet the faults of its links.
func (l *Links) Transport(from string) func(http.RoundTripper) http.RoundTripper {
	return func(next http.RoundTripper) http.RoundTripper {
		return &faultyTransport{links: l, from: from, next: next}
	}
}

type faultyTransport struct {
	links *Links
	from  string
	next  http.RoundTripper
}

// CloseIdleConnections closes what the wrapped transport keeps.
func (t *faultyTransport) CloseIdleConnections() {
	if closer, is := t.next.(interface{ CloseIdleConnections() }); is {
		closer.CloseIdleConnections()
	}
}

// RoundTrip sends one request over the link to its host. A fault that begins while a response is on its way holds that
// response up, too.
func (t *faultyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	host := r.URL.Hostname()
	fault, delay := t.links.state(t.from, host)
	if fault == LinkDeliversLate {
		go t.deliverLate(r, delay)
		return t.waitForTimeout(r)
	}
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
	switch fault {
	case LinkDropsRequests:
		return t.waitForTimeout(r)
	case LinkRefused:
		return nil, errConnectionRefused
	}
	response, err := t.next.RoundTrip(r)
	if reverse, _ := t.links.state(host, t.from); fault == LinkOK && reverse != LinkOK {
		fault = LinkDropsResponses // the way back of the response is the other direction
	}
	switch fault {
	case LinkReset:
		t.closeBody(response, err)
		return nil, syscall.ECONNRESET
	case LinkDropsResponses:
		t.closeBody(response, err)
		return t.waitForTimeout(r)
	}
	return response, err
}

func (t *faultyTransport) waitForTimeout(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, errors.Join(r.Context().Err(), syscall.ETIMEDOUT)
}

func (t *faultyTransport) deliverLate(r *http.Request, delay time.Duration) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(delay)
	delayed := r.Clone(context.WithoutCancel(r.Context()))
	delayed.Body = io.NopCloser(bytes.NewReader(body))
	response, err := t.next.RoundTrip(delayed)
	t.closeBody(response, err)
}

func (t *faultyTransport) closeBody(response *http.Response, err error) {
	if err == nil {
		response.Body.Close()
	}
}
