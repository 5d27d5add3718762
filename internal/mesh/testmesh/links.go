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
	LinkSound        LinkFault = iota
	LinkSilent                 // requests never arrive; the caller waits until its own end
	LinkRefused                // connections are refused at once
	LinkReset                  // requests arrive, the connection is reset before the response
	LinkLostResponse           // requests arrive and are handled, their responses never come back
	LinkLate                   // requests arrive after Delay, also once their caller has given up; responses are lost
)

var errRefused = &net.OpError{Op: "dial", Net: "tcp4", Err: syscall.ECONNREFUSED}

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
func (l *Links) SetBoth(one, other string, fault LinkFault) {
	l.Set(one, other, fault)
	l.Set(other, one, fault)
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

// Heal takes all faults and delays away.
func (l *Links) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults, l.delays = nil, nil
}

func (l *Links) of(from, to string) (LinkFault, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	link := [2]string{from, to}
	return l.faults[link], l.delays[link]
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
	fault, delay := t.links.of(t.from, host)
	if fault == LinkLate {
		go t.deliverLate(r, delay)
		return t.silence(r)
	}
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
	switch fault {
	case LinkSilent:
		return t.silence(r)
	case LinkRefused:
		return nil, errRefused
	}
	response, err := t.next.RoundTrip(r)
	if back, _ := t.links.of(host, t.from); fault == LinkSound && back != LinkSound {
		fault = LinkLostResponse // the way back of the response is the other direction
	}
	switch fault {
	case LinkReset:
		t.discard(response, err)
		return nil, syscall.ECONNRESET
	case LinkLostResponse:
		t.discard(response, err)
		return t.silence(r)
	}
	return response, err
}

func (t *faultyTransport) silence(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, errors.Join(r.Context().Err(), syscall.ETIMEDOUT)
}

func (t *faultyTransport) deliverLate(r *http.Request, delay time.Duration) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(delay)
	late := r.Clone(context.WithoutCancel(r.Context()))
	late.Body = io.NopCloser(bytes.NewReader(body))
	response, err := t.next.RoundTrip(late)
	t.discard(response, err)
}

func (t *faultyTransport) discard(response *http.Response, err error) {
	if err == nil {
		response.Body.Close()
	}
}
