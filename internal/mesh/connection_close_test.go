package mesh_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ottershift/internal/mesh/proxy"
	"ottershift/internal/mesh/settings"
	"ottershift/internal/mesh/testmesh"
)

// delayedCloseListener accepts connections whose Close blocks until the test releases it. So a request can arrive
// between the decision to close its connection and the close.
type delayedCloseListener struct {
	net.Listener
	closing     chan *delayedCloseConnection
	once        sync.Once
	releasedAll chan struct{} // closed once no Close blocks any more
}

// maxDelayedCloses limits the closes that wait for the test; further ones are not delayed.
const maxDelayedCloses = 64

// releaseAll ends the blocking of all closes.
func (l *delayedCloseListener) releaseAll() { l.once.Do(func() { close(l.releasedAll) }) }

func (l *delayedCloseListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &delayedCloseConnection{TCPConn: conn.(*net.TCPConn), listener: l, released: make(chan struct{})}, nil
}

type delayedCloseConnection struct {
	*net.TCPConn
	listener *delayedCloseListener
	once     sync.Once
	released chan struct{}
}

// Close waits until the test releases the connection, and then closes it.
func (c *delayedCloseConnection) Close() error {
	c.once.Do(func() {
		select {
		case c.listener.closing <- c:
		default:
			return
		}
		select {
		case <-c.released:
		case <-c.listener.releasedAll:
		}
	})
	return c.TCPConn.Close()
}

const idleTimeoutConfig = `{"Edition":1,"SizeLimits":{"EnvelopeBytes":16384,"ContentsBytes":67108864,"Envelope":"3000ms","Idle":"%s"},
"PostOffices":[{"Town":"a.example","Regulations":[
 {"Name":"once","MailClass":"once_only","Target":"300ms","Precedence":1,"Sorting":{"StreetPrefix":"/once/"},"Dispatch":{"Destination":"album","Deadline":"2000ms","DeliveryTries":2}}]}],
"Depots":[{"Name":"album","HealthPath":"/health","LineCap":130,"Protocol":"h1"}]}`

// persistentClient is a client that sends its requests over one connection.
type persistentClient struct {
	net.Conn
	reader *bufio.Reader
}

func (c *persistentClient) send(id string) error {
	_, err := fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\nX-Time-Left-Ms: 2000\r\nContent-Length: 0\r\n\r\n", id)
	return err
}

// receive returns the status of a complete response, 0 for none.
func (c *persistentClient) receive() int {
	c.SetReadDeadline(time.Now().Add(3 * time.Second))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// A request arrives just before its connection is closed, because the proxy shuts down or the connection was idle for
// too long. A request that ran at an upstream must get its response.
func TestRequestDuringConnectionCloseGetsResponse(t *testing.T) {
	for _, test := range []struct {
		name, idle string
		leaves     bool
	}{
		{"shutdown", "15000ms", true},
		{"idle timeout", "1000ms", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			m, listener := startDelayedCloseMesh(t, test.idle)
			client := dialPersistent(t, m)
			m.waitUntil(func() bool { return client.send("first") == nil && client.receive() == http.StatusOK })
			time.Sleep(600 * time.Millisecond)
			var stopping sync.WaitGroup
			if test.leaves {
				stopping.Go(m.stops["proxy-0"])
			}
			conn := listener.waitForClose(t, client)
			sent := client.send("crossing") == nil
			ran := sent && m.runsWithin("crossing", 300*time.Millisecond)
			close(conn.released)
			status := client.receive()
			listener.releaseAll()
			stopping.Wait()
			if ran && status != http.StatusOK {
				t.Errorf("request ran at an upstream, and its client received status %d", status)
			}
		})
	}
}

// A client that closes its sending side after a request still gets a response, though its request is cancelled.
func TestHalfClosedClientGetsResponse(t *testing.T) {
	m, _ := startDelayedCloseMesh(t, "15000ms")
	client := dialPersistent(t, m)
	must.NoError(t, client.send("half"))
	must.True(t, m.runsWithin("half", time.Second))
	must.NoError(t, client.Conn.(*net.TCPConn).CloseWrite())
	must.Eq(t, http.StatusBadGateway, client.receive())
}

// startDelayedCloseMesh starts a proxy with delayed closes, and a second proxy beside a slow upstream.
func startDelayedCloseMesh(t *testing.T, idle string) (*mesh, *delayedCloseListener) {
	plan, err := testmesh.Plan(1, 2, []string{"east"}, []string{"regie", "album"}, t.TempDir())
	must.NoError(t, err)
	m := &mesh{t: t, plan: plan, stops: map[string]func(){}}
	t.Cleanup(m.stopAll)
	must.NoError(t, os.MkdirAll(plan.Controllers[0].DataDir, 0o755))
	m.startController(plan.Controllers[0])
	cfg, upstreamProxy := plan.Proxies[0], plan.Proxies[1]
	cfg.Bounds.Grace = 2 * time.Second
	listener := &delayedCloseListener{closing: make(chan *delayedCloseConnection, maxDelayedCloses), releasedAll: make(chan struct{})}
	t.Cleanup(listener.releaseAll)
	m.runProcess(cfg.Node, delayedCloseProxy(cfg, listener))
	m.startProxy(upstreamProxy)
	upstream, err := testmesh.NewUpstream("i-0", upstreamProxy.Service, upstreamProxy.UpstreamAddress, upstreamProxy.ControlAddress, 8, 150*time.Millisecond, smallResponseSize)
	must.NoError(t, err)
	m.upstreams = append(m.upstreams, upstream)
	m.waitUntil(func() bool {
		status, _ := m.call(0, "timetable.replace", "0", fmt.Sprintf(idleTimeoutConfig, idle))
		return status == http.StatusOK
	})
	m.waitUntil(func() bool {
		status, _, _ := m.sendWithID(0, "POST", "/once/x", "warm")
		return status == http.StatusOK
	})
	return m, listener
}

func delayedCloseProxy(cfg *settings.Settings, listener *delayedCloseListener) func(context.Context) error {
	return proxy.New(cfg, discardLogger, proxy.WithListener(func(l net.Listener) net.Listener {
		if strings.HasSuffix(l.Addr().String(), portSuffix(cfg.OutboundAddress)) {
			listener.Listener = l
			return listener
		}
		return l
	})).Run
}

func portSuffix(address string) string { return address[strings.LastIndexByte(address, ':'):] }

func dialPersistent(t *testing.T, m *mesh) *persistentClient {
	conn, err := net.Dial("tcp4", m.plan.Proxies[0].OutboundAddress)
	must.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return &persistentClient{conn, bufio.NewReader(conn)}
}

// waitForClose waits until the proxy starts to close the connection of a client.
func (l *delayedCloseListener) waitForClose(t *testing.T, client *persistentClient) *delayedCloseConnection {
	timeout := time.After(10 * time.Second)
	for {
		select {
		case conn := <-l.closing:
			if conn.RemoteAddr().String() == client.LocalAddr().String() {
				return conn
			}
			close(conn.released)
		case <-timeout:
			t.Fatal("proxy has not closed the connection within 10 s")
		}
	}
}

// runsWithin reports whether an upstream runs an attempt within a time limit.
func (m *mesh) runsWithin(id string, limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if m.runs(id) > 0 {
			return true
		}
	}
	return false
}
