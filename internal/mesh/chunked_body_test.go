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

// A long body of no stated length goes on whole where the configuration sets no bound for it.
func TestALongBodyOfNoStatedLengthGoesOnWhole(t *testing.T) {
	m := start(t, 1, 1, 0, 100)
	unbounded := strings.Replace(config, `"ContentsBytes":67108864,`, "", 1)
	m.until(func() bool {
		status, _ := m.call(0, "timetable.replace", "0", fmt.Sprintf(unbounded, 1))
		return status == http.StatusOK
	})
	m.until(func() bool { status, _, _, _ := m.send(0, "GET", "/read/x"); return status == http.StatusOK })
	const long = 1 << 20
	r, err := http.NewRequest(http.MethodPost, "http://"+m.plan.Proxies[0].OutboundAddress+"/read/x", io.LimitReader(endless{}, long))
	must.NoError(t, err)
	r.ContentLength = -1
	r.Host, r.Header = "a.example", http.Header{"X-Attempt-Id": {"long"}, "X-Time-Left-Ms": {"2000"}, "X-Key": {"k1"}}
	w, err := http.DefaultClient.Do(r)
	must.NoError(t, err)
	w.Body.Close()
	must.Eq(t, http.StatusOK, w.StatusCode)
	must.Eq(t, fmt.Sprint(long), m.apps[0].Saw("Content-Length"))
}

type endless struct{}

func (endless) Read(b []byte) (int, error) { return len(b), nil }

// A long body that goes on as it comes is handed the time that its client has, and no more.
func TestALongBodyIsHandedItsClientsTime(t *testing.T) {
	m := start(t, 1, 2, 0, 100)
	m.put(1)
	const long, left = 1 << 20, 2000
	for n := range 8 { // at this machine and by way of the other
		r, err := http.NewRequest(http.MethodPost, "http://"+m.plan.Proxies[0].OutboundAddress+"/read/x", io.LimitReader(endless{}, long))
		must.NoError(t, err)
		r.ContentLength = long
		r.Host, r.Header = "a.example", http.Header{"X-Attempt-Id": {fmt.Sprint("long", n)}, "X-Time-Left-Ms": {fmt.Sprint(left)}, "X-Key": {"k1"}}
		w, err := http.DefaultClient.Do(r)
		must.NoError(t, err)
		w.Body.Close()
		must.Eq(t, http.StatusOK, w.StatusCode)
		for _, a := range m.apps {
			if a.Runs(fmt.Sprint("long", n)) == 0 {
				continue
			}
			handed, err := strconv.Atoi(a.Saw("X-Time-Left-Ms"))
			must.NoError(t, err)
			must.Between(t, 1, handed, left)
		}
	}
}
