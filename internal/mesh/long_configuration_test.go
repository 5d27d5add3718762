package mesh_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"ottershift/internal/mesh/proxy"
	"ottershift/internal/mesh/settings"
)

// narrowLine is a transport over which answers come at a pace, as on a line that is narrow or full of other bytes.
type narrowLine struct {
	http.RoundTripper
	perSecond int

	mu   sync.Mutex
	free time.Time // when the line has carried all that was sent before
}

func (l *narrowLine) RoundTrip(r *http.Request) (*http.Response, error) {
	w, err := l.RoundTripper.RoundTrip(r)
	if err == nil {
		w.Body = &narrowBody{w.Body, l, r.Context()}
	}
	return w, err
}

type narrowBody struct {
	io.ReadCloser
	line *narrowLine
	ctx  context.Context
}

func (b *narrowBody) Read(to []byte) (int, error) {
	n, err := b.ReadCloser.Read(to[:min(len(to), 1024)])
	b.line.mu.Lock()
	now := time.Now()
	if b.line.free.Before(now) {
		b.line.free = now
	}
	b.line.free = b.line.free.Add(time.Duration(n) * time.Second / time.Duration(b.line.perSecond))
	at := b.line.free
	b.line.mu.Unlock()
	select {
	case <-time.After(time.Until(at)):
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
	return n, err
}

// manyRoutes is a configuration of many routes; the last one's prefix bears its edition.
func manyRoutes(edition, count int) string {
	var routes strings.Builder
	for n := range count {
		prefix := fmt.Sprintf("/idle/%x/%d/", n*7919%100003, n)
		if n == count-1 {
			prefix = fmt.Sprintf("/edition/%d/", edition)
		}
		fmt.Fprintf(&routes, `{"Name":"idle-%d","MailClass":"repeatable","Target":"300ms","Precedence":2,"Unstamped":true,"Sorting":{"StreetPrefix":%q},"Dispatch":{"Destination":"album","Deadline":"2000ms","DeliveryTries":3}},`, n, prefix)
	}
	return strings.Replace(fmt.Sprintf(config, edition), `{"Name":"read"`, routes.String()+`{"Name":"read"`, 1)
}

// A configuration of 4,000 routes, a megabyte, arrives over a line that carries far less than that in the time of a watch, and changes
// of it follow at once. With a fixed time for each answer it never arrived: no balancer was ever ready.
func TestALongConfigurationArrivesOverANarrowLine(t *testing.T) {
	const routes, perSecond, bound = 4000, 30_000, 2500 * time.Millisecond // of Config
	m := &mesh{t: t}
	m.startAll(1, 2, 0, 100, func(b *settings.Settings) {
		line := &narrowLine{perSecond: perSecond}
		m.run(b.Node, proxy.New(b, quiet, proxy.WithTransport(func(to http.RoundTripper) http.RoundTripper {
			line.RoundTripper = to
			return line
		})).Run)
	})
	m.until(func() bool {
		status, _ := m.call(0, "timetable.replace", "0", manyRoutes(1, routes))
		return status == http.StatusOK
	})
	began := time.Now()
	inForce := func(edition int, within time.Duration) (took time.Duration) {
		for n := range m.plan.Proxies {
			must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
				status, _, _, _ := m.send(n, "GET", fmt.Sprintf("/edition/%d/x", edition))
				return status == http.StatusOK
			}), wait.Timeout(within), wait.Gap(10*time.Millisecond)), must.Sprintf("edition %d is not in force at balancer %d after %v", edition, n, within))
		}
		return time.Since(began)
	}
	first := inForce(1, 15*time.Second)
	t.Logf("%d routes at %d bytes a second: the first configuration in force after %v", routes, perSecond, first)
	for edition := 2; edition < 12; edition++ {
		status, text := m.call(0, "timetable.replace", fmt.Sprint(edition-1), manyRoutes(edition, routes))
		must.Eq(t, http.StatusOK, status, must.Sprint(text))
		began = time.Now()
		t.Logf("a change of one route in force after %v", inForce(edition, bound))
	}
}
