package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client has got for one request.
type answer struct {
	id, sentTo    string
	sent, ended   time.Duration // since the start of the record
	status        int           // 0 if the connection ended without a complete answer
	stamp, body   string
	err           error
	noConnection  bool
	connectionEnd bool // the request was sent whole and the connection ended without a complete answer
}

// send sends one request over a new connection and waits for its answer until its deadline.
func send(rec *record, to, method, host, path, id, key, body string, left time.Duration) *answer {
	a := &answer{id: id, sentTo: to}
	conn, err := net.DialTimeout("tcp4", to, time.Second)
	if err != nil {
		a.err, a.noConnection, a.ended = err, true, rec.since()
		rec.line("client: no connection to %s for %s: %v", to, id, err)
		return a
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(left))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Time-Left-Ms: %d\r\n", method, path, host, id, left.Milliseconds())
	if key != "" {
		head += "X-Key: " + key + "\r\n"
	}
	if body != "" || method == "POST" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	a.sent = rec.since()
	rec.line("client: %s %s%s id %s to %s, %v left", method, host, path, id, to, left)
	if _, err := io.WriteString(conn, head+"\r\n"+body); err != nil {
		a.err, a.ended = err, rec.since()
		rec.line("client: %s could not be sent: %v", id, err)
		return a
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	var raw []byte
	if err == nil {
		raw, err = io.ReadAll(response.Body)
	}
	a.ended = rec.since()
	if err != nil {
		a.err, a.connectionEnd = err, a.ended-a.sent < left-100*time.Millisecond
		rec.line("client: %s ends without a complete answer: %v", id, err)
		return a
	}
	a.status, a.stamp, a.body = response.StatusCode, response.Header.Get("X-Postmark"), string(raw)
	rec.line("client: %s gets %d, stamp %q, after %v", id, a.status, a.stamp, (a.ended - a.sent).Round(time.Millisecond))
	return a
}
