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

// slowLink is a transport that limits the rate of response bodies, like a link with little or shared bandwidth.
type slowLink struct {
	http.RoundTripper
	bytesPerSecond int

	mu     sync.Mutex
	freeAt time.Time // when the link has transferred all earlier bytes
}

func (l *slowLink) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := l.RoundTripper.RoundTrip(r)
	if err == nil {
		response.Body = &slowBody{response.Body, l, r.Context()}
	}
	return response, err
}

type slowBody struct {
	io.ReadCloser
	link *slowLink
	ctx  context.Context
}

func (b *slowBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer[:min(len(buffer), 1024)])
	b.link.mu.Lock()
	now := time.Now()
	if b.link.freeAt.Before(now) {
		b.link.freeAt = now
	}
	b.link.freeAt = b.link.freeAt.Add(time.Duration(n) * time.Second / time.Duration(b.link.bytesPerSecond))
	arrival := b.link.freeAt
	b.link.mu.Unlock()
	select {
	case <-time.After(time.Until(arrival)):
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
	return n, err
}

// manyRoutesConfig returns a configuration of many routes. The prefix of the last one contains the version.
func manyRoutesConfig(version, count int) string {
	var routes strings.Builder
	for n := range count {
		prefix := fmt.Sprintf("/idle/%x/%d/", n*7919%100003, n)
		if n == count-1 {
			prefix = fmt.Sprintf("/edition/%d/", version)
		}
		fmt.Fprintf(&routes, `{"Name":"idle-%d","MailClass":"repeatable","Target":"300ms","Precedence":2,"Unstamped":true,"Sorting":{"StreetPrefix":%q},"Dispatch":{"Destination":"album","Deadline":"2000ms","DeliveryTries":3}},`, n, prefix)
	}
	return strings.Replace(fmt.Sprintf(config, version), `{"Name":"read"`, routes.String()+`{"Name":"read"`, 1)
}

// A configuration of 4,000 routes (1 MB) must arrive over a link that transfers far less than that in the time of a
// watch, and later changes must take effect in time. With a fixed timeout for each response, the configuration never
// arrived and no proxy became ready.
func TestLargeConfigurationOverSlowLink(t *testing.T) {
	const routes, bytesPerSecond, limit = 4000, 30_000, 2500 * time.Millisecond // the stated limit for a configuration to take effect
	m := &mesh{t: t}
	m.startAll(1, 2, 0, 100, func(cfg *settings.Settings) {
		link := &slowLink{bytesPerSecond: bytesPerSecond}
		m.runProcess(cfg.Node, proxy.New(cfg, discardLogger, proxy.WithTransport(func(next http.RoundTripper) http.RoundTripper {
			link.RoundTripper = next
			return link
		})).Run)
	})
	m.waitUntil(func() bool {
		status, _ := m.call(0, "timetable.replace", "0", manyRoutesConfig(1, routes))
		return status == http.StatusOK
	})
	start := time.Now()
	waitInEffect := func(version int, within time.Duration) (duration time.Duration) {
		for n := range m.plan.Proxies {
			must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
				status, _, _, _ := m.send(n, "GET", fmt.Sprintf("/edition/%d/x", version))
				return status == http.StatusOK
			}), wait.Timeout(within), wait.Gap(10*time.Millisecond)), must.Sprintf("version %d is not in effect at proxy %d after %v", version, n, within))
		}
		return time.Since(start)
	}
	first := waitInEffect(1, 15*time.Second)
	t.Logf("%d routes at %d bytes/s: first configuration in effect after %v", routes, bytesPerSecond, first)
	for version := 2; version < 12; version++ {
		status, text := m.call(0, "timetable.replace", fmt.Sprint(version-1), manyRoutesConfig(version, routes))
		must.Eq(t, http.StatusOK, status, must.Sprint(text))
		start = time.Now()
		t.Logf("change of one route in effect after %v", waitInEffect(version, limit))
	}
}
