package mesh_test

import (
	"fmt"
	"io"
	"net/http"
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
	r, err := http.NewRequest(http.MethodPost, "http://"+m.plan.Proxies[0].Outbound+"/read/x", io.LimitReader(endless{}, long))
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
