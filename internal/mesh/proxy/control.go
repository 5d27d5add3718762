package proxy

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"ottershift/internal/mesh/apierror"
)

// heartbeatMessage is the JSON body of an upstream's heartbeat. Its fields are decoded under their own names.
type heartbeatMessage struct {
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

// control handles the calls of the upstream on this machine: heartbeats and its sign-off.
func (p *Proxy) control(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	id := query.Get("of")
	if r.Method != http.MethodPost || r.URL.Path != "/-/rpc" || id == "" {
		apierror.Write(w, apierror.UnknownCall, 0, "")
		return
	}
	switch query.Get("call") {
	case "servers.check_in":
		message := &heartbeatMessage{}
		body, err := io.ReadAll(io.LimitReader(r.Body, 64<<10))
		if err == nil {
			err = json.Unmarshal(body, message)
		}
		if err != nil {
			apierror.Write(w, apierror.UnreadableBody, 0, err.Error())
			return
		}
		p.counters.Increment("beats")
		p.local.heartbeat(id, message, time.Now())
	case "servers.sign_off":
		p.local.signOff(id)
	default:
		apierror.Write(w, apierror.UnknownCall, 0, "")
		return
	}
	w.Header()["Content-Type"] = []string{"application/json"}
	w.Write([]byte("{}"))
}
