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

// heldListener accepts connections whose close is held open: whoever closes one waits until it is released. So a request comes
// between the decision to close its connection and the close.
type heldListener struct {
	net.Listener
	closing chan *heldConnection
	once    sync.Once
	over    chan struct{} // closed once nothing is held any more
}

const mostHeld = 64

// release holds nothing any more.
func (l *heldListener) release() { l.once.Do(func() { close(l.over) }) }

func (l *heldListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConnection{TCPConn: conn.(*net.TCPConn), listener: l, released: make(chan struct{})}, nil
}

type heldConnection struct {
	*net.TCPConn
	listener *heldListener
	once     sync.Once
	released chan struct{}
}

// Close implements net.Conn.
func (c *heldConnection) Close() error {
	c.once.Do(func() {
		select {
		case c.listener.closing <- c:
		default:
			return
		}
		select {
		case <-c.released:
		case <-c.listener.over:
		}
	})
	return c.TCPConn.Close()
}

const crossingConfig = `{"Edition":1,"SizeLimits":{"EnvelopeBytes":16384,"ContentsBytes":67108864,"Envelope":"3000ms","Idle":"%s"},
"PostOffices":[{"Town":"a.example","Regulations":[
 {"Name":"once","MailClass":"once_only","Target":"300ms","Precedence":1,"Sorting":{"StreetPrefix":"/once/"},"Dispatch":{"Destination":"album","Deadline":"2000ms","DeliveryTries":2}}]}],
"Depots":[{"Name":"album","HealthPath":"/health","LineCap":130,"Protocol":"h1"}]}`

// keptClient is a client that sends over one kept connection.
type keptClient struct {
	net.Conn
	reader *bufio.Reader
}

func (c *keptClient) send(id string) error {
	_, err := fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\nX-Time-Left-Ms: 2000\r\nContent-Length: 0\r\n\r\n", id)
	return err
}

// receive is the status of a whole answer, 0 for none.
func (c *keptClient) receive() int {
	c.SetReadDeadline(time.Now().Add(3 * time.Second))
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return 0
	}
	return answer.StatusCode
}

// A request comes at the moment at which its connection is about to be closed: while a balancer leaves, and as the connection has been
// idle for too long. Whatever has reached an upstream gets its answer.
func TestARequestThatCrossesACloseIsAnswered(t *testing.T) {
	for _, c := range []struct {
		name, idle string
		leaves     bool
	}{
		{"leaving", "15000ms", true},
		{"idle for too long", "1000ms", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			m, listener := startHeldMesh(t, c.idle)
			client := dialKept(t, m)
			m.until(func() bool { return client.send("first") == nil && client.receive() == http.StatusOK })
			time.Sleep(600 * time.Millisecond)
			var stopping sync.WaitGroup
			if c.leaves {
				stopping.Go(m.stops["proxy-0"])
			}
			held := listener.next(t, client)
			sent := client.send("crossing") == nil
			ran := sent && m.runsWithin("crossing", 300*time.Millisecond)
			close(held.released)
			status := client.receive()
			listener.release()
			stopping.Wait()
			if ran && status != http.StatusOK {
				t.Errorf("it has run at an upstream, and its client was told %d", status)
			}
		})
	}
}

// A client that closes its sending side behind a request reads on: it gets an answer, though the work for it ends.
func TestAClientThatSendsNoMoreIsAnswered(t *testing.T) {
	m, _ := startHeldMesh(t, "15000ms")
	client := dialKept(t, m)
	must.NoError(t, client.send("half"))
	must.True(t, m.runsWithin("half", time.Second))
	must.NoError(t, client.Conn.(*net.TCPConn).CloseWrite())
	must.Eq(t, http.StatusBadGateway, client.receive())
}

// startHeldMesh starts a proxy whose connections are held, and one with an upstream beside it that takes its time.
func startHeldMesh(t *testing.T, idle string) (*mesh, *heldListener) {
	plan, err := testmesh.Plan(1, 2, []string{"east"}, []string{"regie", "album"}, t.TempDir())
	must.NoError(t, err)
	m := &mesh{t: t, plan: plan, stops: map[string]func(){}}
	t.Cleanup(m.stopAll)
	must.NoError(t, os.MkdirAll(plan.Controllers[0].DataDir, 0o755))
	m.comb(plan.Controllers[0])
	b, beside := plan.Proxies[0], plan.Proxies[1]
	b.Bounds.Grace = 2 * time.Second
	listener := &heldListener{closing: make(chan *heldConnection, mostHeld), over: make(chan struct{})}
	t.Cleanup(listener.release)
	m.run(b.Node, heldProxy(b, listener))
	m.proxy(beside)
	u, err := testmesh.NewUpstream("i-0", beside.Service, beside.UpstreamAddress, beside.ControlAddress, 8, 150*time.Millisecond, smallAnswer)
	must.NoError(t, err)
	m.apps = append(m.apps, u)
	m.until(func() bool {
		status, _ := m.call(0, "timetable.replace", "0", fmt.Sprintf(crossingConfig, idle))
		return status == http.StatusOK
	})
	m.until(func() bool { status, _, _ := m.sendAs(0, "POST", "/once/x", "warm"); return status == http.StatusOK })
	return m, listener
}

func heldProxy(b *settings.Settings, listener *heldListener) func(context.Context) error {
	return proxy.New(b, quiet, proxy.WithListener(func(l net.Listener) net.Listener {
		if strings.HasSuffix(l.Addr().String(), portOf(b.OutboundAddress)) {
			listener.Listener = l
			return listener
		}
		return l
	})).Run
}

func portOf(address string) string { return address[strings.LastIndexByte(address, ':'):] }

func dialKept(t *testing.T, m *mesh) *keptClient {
	conn, err := net.Dial("tcp4", m.plan.Proxies[0].OutboundAddress)
	must.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return &keptClient{conn, bufio.NewReader(conn)}
}

// next waits until a client's connection is about to be closed.
func (l *heldListener) next(t *testing.T, client *keptClient) *heldConnection {
	late := time.After(10 * time.Second)
	for {
		select {
		case held := <-l.closing:
			if held.RemoteAddr().String() == client.LocalAddr().String() {
				return held
			}
			close(held.released)
		case <-late:
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
