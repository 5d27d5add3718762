package processes

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

const (
	keptConnectionsPerProxy = 2
	keptRequestGap          = 40 * time.Millisecond // mean, between two requests on a connection
	keptRequestAllowance    = 2 * time.Second       // the time that a request allows
	keptRequestTimeout      = keptRequestAllowance + time.Second
	reconnectPause          = 50 * time.Millisecond
)

// keptRequest is a request on a connection that its client goes on using until it ends, whatever the proxy announces.
type keptRequest struct {
	id       string
	proxy    int
	sent     time.Duration // when its last byte was written
	ended    time.Duration // when the response was complete or the connection ended
	status   int
	complete bool // the whole response arrived
}

// useKeptConnection sends requests over one connection to a proxy after the other until ctx ends. It looks at neither the
// readiness of the proxy nor "Connection: close".
func (h *harness) useKeptConnection(ctx context.Context, proxy, connection int) {
	rng := rand.New(rand.NewPCG(h.Seed, uint64(3000+proxy*keptConnectionsPerProxy+connection)))
	for n := 0; sleep(ctx, reconnectPause) == nil; {
		conn, err := net.DialTimeout("tcp4", h.plan.Proxies[proxy].OutboundAddress, time.Second)
		if err != nil {
			continue
		}
		reader := bufio.NewReader(conn)
		for open := true; open && sleep(ctx, time.Duration(rng.Int64N(int64(2*keptRequestGap)))) == nil; n++ {
			method, path := http.MethodGet, "/read/"
			if rng.IntN(2) == 0 {
				method, path = http.MethodPost, "/once/"
			}
			request := &keptRequest{id: fmt.Sprintf("kept-%d-%d-%d", proxy, connection, n), proxy: proxy}
			open = h.sendKept(conn, reader, request, method, path+h.Services[rng.IntN(len(h.Services))]+"/")
		}
		conn.Close()
	}
}

// sendKept sends a request and reads its response. It reports whether the connection is still open.
func (h *harness) sendKept(conn net.Conn, reader *bufio.Reader, request *keptRequest, method, path string) (open bool) {
	recorded := &attempt{onceOnly: method == http.MethodPost}
	h.mu.Lock()
	h.attempts[request.id] = recorded
	h.mu.Unlock()
	conn.SetDeadline(time.Now().Add(keptRequestTimeout))
	_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: demo.example\r\nX-Attempt-Id: %s\r\nX-Time-Left-Ms: %d\r\nContent-Length: 0\r\n\r\n",
		method, path, request.id, keptRequestAllowance.Milliseconds())
	request.sent = h.elapsed()
	if err != nil {
		return false
	}
	response, err := readWhole(reader, method)
	request.ended = h.elapsed()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.keptRequests = append(h.keptRequests, request)
	if err != nil {
		return false
	}
	request.status, request.complete = response.status, true
	recorded.status = response.status
	if response.status == http.StatusOK && (response.attempt != request.id || !response.stamped || response.size != h.ResponseBytes) {
		recorded.status = mismatchedResponse
	}
	return true
}

// keptResponse is a whole response on a kept connection.
type keptResponse struct {
	status  int
	attempt string // ID of the request that it answers
	stamped bool   // it has an upstream's stamp
	size    int    // of its body
}

func readWhole(reader *bufio.Reader, method string) (*keptResponse, error) {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	size, err := io.Copy(io.Discard, response.Body)
	return &keptResponse{status: response.StatusCode, attempt: response.Header.Get("X-Attempt-Id"),
		stamped: response.Header.Get("X-Postmark") != "", size: int(size)}, err
}
