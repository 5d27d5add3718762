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

// LinkFault is a fault of the link from one machine to another.
type LinkFault uint8

// Faults of a link in one direction.
const (
	LinkOK             LinkFault = iota
	LinkDropsRequests            // requests are lost; the caller waits until its own deadline
	LinkRefused                  // connections are refused at once
	LinkReset                    // requests arrive; the connection is reset before the response
	LinkDropsResponses           // requests arrive and are handled; their responses are lost
	LinkDeliversLate             // requests arrive after the delay, even if the caller has given up; responses are lost
)

var errConnectionRefused = &net.OpError{Op: "dial", Net: "tcp4", Err: syscall.ECONNREFUSED}

// Links injects faults into the calls between processes of a test. A link is identified by the IP addresses of its two
// ends; its two directions have separate faults. The zero value has no faults.
type Links struct {
	mu     sync.Mutex
	faults map[[2]string]LinkFault
	delays map[[2]string]time.Duration
}

// Set sets the fault of the direction from one IP address to another.
func (l *Links) Set(from, to string, fault LinkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults == nil {
		l.faults = map[[2]string]LinkFault{}
	}
	l.faults[[2]string{from, to}] = fault
}

// SetBoth sets the fault of both directions between two IP addresses.
func (l *Links) SetBoth(first, second string, fault LinkFault) {
	l.Set(first, second, fault)
	l.Set(second, first, fault)
}

// SetDelay delays each request from one IP address to another before it is sent.
func (l *Links) SetDelay(from, to string, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.delays == nil {
		l.delays = map[[2]string]time.Duration{}
	}
	l.delays[[2]string{from, to}] = delay
}

// Clear removes all faults and delays.
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

// Transport wraps the transport of the process at an IP address, so that the faults of its links apply to its calls.
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

// CloseIdleConnections closes the idle connections of the wrapped transport.
func (t *faultyTransport) CloseIdleConnections() {
	if closer, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// RoundTrip sends one request over the link to its host. If the link from the host back is faulty when the response
// arrives, the response is lost.
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
		fault = LinkDropsResponses // responses travel in the reverse direction
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
