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

// delayedCloseListener accepts connections whose close is held open: whoever closes one waits until it is released. So a request comes
// between the decision to close its connection and the close.
type delayedCloseListener struct {
	net.Listener
	closing     chan *delayedCloseConnection
	once        sync.Once
	releasedAll chan struct{} // closed once nothing is held any more
}

const maxDelayedCloses = 64

// releaseAll holds nothing any more.
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

// Close implements net.Conn.
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

// persistentClient is a client that sends over one kept connection.
type persistentClient struct {
	net.Conn
	reader *bufio.Reader
}

func (c *persistentClient) send(id string) error {
	_, err := fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\nX-Time-Left-Ms: 2000\r\nContent-Length: 0\r\n\r\n", id)
	return err
}

// receive is the status of a whole answer, 0 for none.
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

// A request comes at the moment at which its connection is about to be closed: while a balancer leaves, and as the connection has been
// idle for too long. Whatever has reached an upstream gets its answer.
func TestRequestDuringConnectionCloseGetsResponse(t *testing.T) {
	for _, test := range []struct {
		name, idle string
		leaves     bool
	}{
		{"leaving", "15000ms", true},
		{"idle for too long", "1000ms", false},
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
				t.Errorf("it has run at an upstream, and its client was told %d", status)
			}
		})
	}
}

// A client that closes its sending side behind a request reads on: it gets an answer, though the work for it ends.
func TestHalfClosedClientGetsResponse(t *testing.T) {
	m, _ := startDelayedCloseMesh(t, "15000ms")
	client := dialPersistent(t, m)
	must.NoError(t, client.send("half"))
	must.True(t, m.runsWithin("half", time.Second))
	must.NoError(t, client.Conn.(*net.TCPConn).CloseWrite())
	must.Eq(t, http.StatusBadGateway, client.receive())
}

// startDelayedCloseMesh starts a proxy whose connections are held, and one with an upstream beside it that takes its time.
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

// waitForClose waits until a client's connection is about to be closed.
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
			t.Fatal("the connection is not closed")
		}
	}
}

// runsWithin reports whether an upstream runs an attempt within some time.
func (m *mesh) runsWithin(id string, limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if m.runs(id) > 0 {
			return true
		}
	}
	return false
}
