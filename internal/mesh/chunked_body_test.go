package mesh_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// A long body without Content-Length is forwarded completely if the configuration does not limit its size.
func TestLongBodyWithoutLengthIsForwarded(t *testing.T) {
	m := startMesh(t, 1, 1, 0, 100)
	unlimitedConfig := strings.Replace(config, `"ContentsBytes":67108864,`, "", 1)
	m.waitUntil(func() bool {
		status, _ := m.call(0, "timetable.replace", "0", fmt.Sprintf(unlimitedConfig, 1))
		return status == http.StatusOK
	})
	m.waitUntil(func() bool { status, _, _, _ := m.send(0, "GET", "/read/x"); return status == http.StatusOK })
	const bodySize = 1 << 20
	request, err := http.NewRequest(http.MethodPost, "http://"+m.plan.Proxies[0].OutboundAddress+"/read/x", io.LimitReader(endlessReader{}, bodySize))
	must.NoError(t, err)
	request.ContentLength = -1
	request.Host, request.Header = "a.example", http.Header{"X-Attempt-Id": {"long"}, "X-Time-Left-Ms": {"2000"}, "X-Key": {"k1"}}
	response, err := http.DefaultClient.Do(request)
	must.NoError(t, err)
	response.Body.Close()
	must.Eq(t, http.StatusOK, response.StatusCode)
	must.Eq(t, fmt.Sprint(bodySize), m.upstreams[0].LastHeader("Content-Length"))
}

type endlessReader struct{}

func (endlessReader) Read(b []byte) (int, error) { return len(b), nil }

// A long body that is streamed is forwarded with at most the time that its client has left.
func TestLongBodyKeepsClientDeadline(t *testing.T) {
	m := startMesh(t, 1, 2, 0, 100)
	m.applyConfig(1)
	const bodySize, timeLeftMS = 1 << 20, 2000
	for n := range 8 { // directly and through the other proxy
		request, err := http.NewRequest(http.MethodPost, "http://"+m.plan.Proxies[0].OutboundAddress+"/read/x", io.LimitReader(endlessReader{}, bodySize))
		must.NoError(t, err)
		request.ContentLength = bodySize
		request.Host, request.Header = "a.example", http.Header{"X-Attempt-Id": {fmt.Sprint("long", n)}, "X-Time-Left-Ms": {fmt.Sprint(timeLeftMS)}, "X-Key": {"k1"}}
		response, err := http.DefaultClient.Do(request)
		must.NoError(t, err)
		response.Body.Close()
		must.Eq(t, http.StatusOK, response.StatusCode)
		for _, upstream := range m.upstreams {
			if upstream.Runs(fmt.Sprint("long", n)) == 0 {
				continue
			}
			forwarded, err := strconv.Atoi(upstream.LastHeader("X-Time-Left-Ms"))
			must.NoError(t, err)
			must.Between(t, 1, forwarded, timeLeftMS)
		}
	}
}
