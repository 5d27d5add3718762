package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// firstDisk starts a system that is to bear the loss of two disks. The controller that acknowledges the first
// configuration loses its disk right after it, and is back three seconds later. Without the disruption it keeps running.
func firstDisk(m *mesh, trouble bool) (broken bool, err error) {
	const ack, touch, outer = 6 * time.Second, 5 * time.Second, 10 * time.Second
	m.tolerate = 2
	for _, zone := range []string{"utrecht", "nieuwegein", "houten", "bilthoven", "zeist"} {
		m.add("sorting", zone, "")
	}
	core := m.machines[:len(m.machines):len(m.machines)]
	front := m.add("branch", "utrecht", "kijker")
	late := time.After(250 * time.Millisecond) // all machines start within 0.3 s of each other, the seeds first
	for _, c := range core[:3] {
		if err := c.start(); err != nil {
			return false, err
		}
	}
	struck := make(chan *machine, 1)
	go func() { // the operator sends the first configuration until it is taken
		for n := 0; ; n++ {
			if status, _ := m.order(core[n%3], "timetable.replace", "0", albumConfiguration, time.Second); status == http.StatusOK {
				m.record.line("the first configuration is acknowledged by %s", core[n%3].name)
				if trouble {
					core[n%3].signal(syscall.SIGKILL)
				}
				struck <- core[n%3]
				return
			}
		}
	}()
	<-late
	for _, c := range []*machine{core[3], core[4], front} {
		if err := c.start(); err != nil {
			return false, err
		}
	}
	var by *machine
	select {
	case by = <-struck:
	case <-time.After(10 * time.Second):
		return false, fmt.Errorf("the first configuration was not taken")
	}
	if trouble {
		<-by.ended
		os.RemoveAll(filepath.Join(m.dir, by.name+".data"))
		time.Sleep(3 * time.Second)
		if err := by.start(); err != nil {
			return false, err
		}
		m.record.line("%s is back with an empty disk; from here on all machines run and nothing is in their way", by.name)
	}
	// Longer than CatchUp, Touch and Outer: all machines are in touch, and no bound is stretched any more.
	time.Sleep(touch + outer)
	began, read, taken := m.record.since(), 0, 0
	for m.record.since()-began < max(2*ack, touch) {
		for _, c := range core {
			status, text := m.order(c, "timetable.fetch", "", "", time.Second)
			m.record.line("read back at %s: %d %.60s", c.name, status, text)
			if status == http.StatusOK {
				read++
			}
			status, text = m.order(c, "timetable.replace", "1", `{"Edition":2`+albumConfiguration[len(`{"Edition":1`):], time.Second)
			m.record.line("version 2 on version 1, at %s: %d %.60s", c.name, status, text)
			if status == http.StatusOK {
				taken++
			}
		}
		if read > 0 && taken > 0 {
			break
		}
	}
	m.record.line("balancer %s ready: %v; reads that came: %d; orders that were acknowledged: %d", front.name, front.ready(), read, taken)
	if !trouble && (read == 0 || taken == 0) {
		return false, fmt.Errorf("without the disruption the core did not answer")
	}
	return read == 0, nil
}
