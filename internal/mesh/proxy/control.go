package proxy

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"ottershift/internal/mesh/apierror"
	"ottershift/internal/mesh/membership"
	"ottershift/internal/mesh/settings"
)

// maxHeartbeatBytes is the largest body of a heartbeat that is read.
const maxHeartbeatBytes = 64 << 10

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

// conditionClosing is the Condition of an upstream that is about to end.
const conditionClosing = "closing"

// isClosing reports whether the upstream announces that it is about to end.
func (m *heartbeatMessage) isClosing() bool { return m.Status.Condition == conditionClosing }

// upstream returns the description of the instance that sent the message.
func (m *heartbeatMessage) upstream(id string) membership.Upstream {
	cold, _ := settings.ParseDuration(m.Status.Cold_time)
	return membership.Upstream{
		ID: id, Service: m.Notice.Destination, Version: m.Notice.Edition, Capacity: m.Notice.Capacity,
		Draining: m.isClosing(), WarmupRemaining: int64(cold),
	}
}

// control handles the calls of the upstream on this machine: heartbeats and its sign-off. Those that end an instance are
// acknowledged only if the acknowledgement also binds the next process of this proxy.
func (p *Proxy) control(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	id := query.Get("of")
	if r.Method != http.MethodPost || r.URL.Path != "/-/rpc" || id == "" {
		apierror.Write(w, apierror.UnknownCall, 0, "")
		return
	}
	departing := false
	switch query.Get("call") {
	case "servers.check_in":
		message, err := readHeartbeat(r.Body)
		if err != nil {
			apierror.Write(w, apierror.UnreadableBody, 0, err.Error())
			return
		}
		p.counters.Increment("beats")
		p.local.heartbeat(id, message, time.Now())
		departing = message.isClosing()
	case "servers.sign_off":
		p.local.signOff(id)
		departing = true
	default:
		apierror.Write(w, apierror.UnknownCall, 0, "")
		return
	}
	if departing {
		if err := p.recordDeparture(r.Context(), id); err != nil {
			apierror.Write(w, apierror.OutcomeUnknown, 0, fmt.Sprintf("the end of %s is not recorded, announce it again: %v", id, err))
			return
		}
	}
	w.Header()["Content-Type"] = []string{"application/json"}
	w.Write([]byte("{}"))
}

func readHeartbeat(body io.Reader) (*heartbeatMessage, error) {
	raw, err := io.ReadAll(io.LimitReader(body, maxHeartbeatBytes))
	if err != nil {
		return nil, err
	}
	message := &heartbeatMessage{}
	return message, json.Unmarshal(raw, message)
}
