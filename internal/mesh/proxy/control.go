package proxy

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"ottershift/internal/mesh/apierror"
)

// checkIn is an upstream's heartbeat, as it is sent.
type checkIn struct {
	Address string
	Notice  struct {
		Destination, Edition, District string
		Capacity                       int
	}
	Status struct {
		Condition  string
		PostmarkNo int64
		Cold_time  string
	}
}

// control takes the calls of the upstream on this machine.
func (p *Proxy) control(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	id := q.Get("of")
	if r.Method != http.MethodPost || r.URL.Path != "/-/rpc" || id == "" {
		apierror.Write(w, apierror.NoCall, 0, "")
		return
	}
	switch q.Get("call") {
	case "servers.check_in":
		c := &checkIn{}
		raw, err := io.ReadAll(io.LimitReader(r.Body, 64<<10))
		if err == nil {
			err = json.Unmarshal(raw, c)
		}
		if err != nil {
			apierror.Write(w, apierror.Unreadable, 0, err.Error())
			return
		}
		p.counts.Add("beats")
		p.local.heartbeat(id, c, time.Now())
	case "servers.sign_off":
		p.local.signOff(id)
	default:
		apierror.Write(w, apierror.NoCall, 0, "")
		return
	}
	w.Header()["Content-Type"] = []string{"application/json"}
	w.Write([]byte("{}"))
}
