package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// lateBeat lets one upstream sign off, as those do that never say closing, and serve on for nine seconds. The balancer
// that acknowledged the sign-off is killed and started again, and a beat that was due before the sign-off comes late.
// Without the disruption the balancer is not killed.
func lateBeat(m *mesh, trouble bool) (broken bool, err error) {
	const drain, touch = 2500 * time.Millisecond, 3 * time.Second
	zones := []string{"utrecht", "houten", "zeist"}
	for _, zone := range zones {
		m.add("sorting", zone, "")
	}
	front := m.add("branch", "utrecht", "kijker")
	var upstreams []*upstream
	var others []*machine
	for n := range 9 { // ten branch machines, so that one is a share of .1
		others = append(others, m.add("branch", zones[n%3], []string{"regie", "kijker", "kijker"}[n%3]))
	}
	for _, c := range m.machines {
		if err := c.start(); err != nil {
			return false, err
		}
	}
	if _, err := m.orderUntilTaken("timetable.replace", "0", albumConfiguration, 20*time.Second); err != nil {
		return false, err
	}
	work := func(*http.Request) time.Duration { return 120 * time.Millisecond }
	for n, c := range others {
		u, err := newUpstream(c, fmt.Sprintf("i-%d", n), 18, work)
		if err != nil {
			return false, err
		}
		defer u.close()
		upstreams = append(upstreams, u)
	}
	leaver, leaverMachine := upstreams[0], others[0]
	if !waitUntil(15*time.Second, front.ready) {
		return false, fmt.Errorf("the balancer of %s did not get ready", front.name)
	}
	time.Sleep(4 * time.Second) // longer than Touch
	var group sync.WaitGroup
	var mu sync.Mutex
	var answers []*answer
	began := time.Now()
	stopClients := make(chan struct{})
	group.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stopClients:
				return
			case <-time.After(25 * time.Millisecond):
			}
			group.Go(func() {
				a := send(m.record, front.at("Outbound"), "POST", "album.example", "/photo/x", fmt.Sprintf("photo-%04d", n), "", "photo", 2500*time.Millisecond)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			})
		}
	})
	time.Sleep(time.Second)
	leaver.stopBeats()
	leaver.mu.Lock()
	leaver.seq++ // the number of the beat that is sent now and comes late
	late := leaver.message(leaver.seq)
	leaver.mu.Unlock()
	if !beat(leaverMachine.at("Control"), "servers.sign_off", leaver.id, nil) {
		return false, fmt.Errorf("the sign-off was not acknowledged")
	}
	signedOff := m.record.since()
	m.record.line("%s: sign-off acknowledged by %s", leaver.id, leaverMachine.name)
	time.Sleep(200 * time.Millisecond)
	started := time.Duration(0)
	if trouble {
		leaverMachine.signal(syscall.SIGKILL)
		<-leaverMachine.ended
		time.Sleep(300 * time.Millisecond)
		if err := leaverMachine.start(); err != nil {
			return false, err
		}
		started = m.record.since()
	}
	time.Sleep(max(0, signedOff+2*time.Second-m.record.since()))
	acknowledged := beat(leaverMachine.at("Control"), "servers.check_in", leaver.id, late)
	m.record.line("%s: the beat that was sent before the sign-off arrives 2 s late, acknowledged: %v", leaver.id, acknowledged)
	time.Sleep(max(0, signedOff+7*time.Second-m.record.since()))
	m.record.line("%s ends", leaver.id)
	leaver.server.Close()
	ended := m.record.since()
	time.Sleep(500 * time.Millisecond)
	close(stopClients)
	group.Wait()
	m.record.line("clients sent for %v", time.Since(began).Round(time.Millisecond))
	limit := max(signedOff+drain, started+touch)
	leaver.mu.Lock()
	defer leaver.mu.Unlock()
	lateRuns, lost := 0, 0
	status := map[string]int{}
	for _, a := range answers {
		status[a.id] = a.status
	}
	for _, r := range leaver.runs {
		if r.began <= limit || r.began >= ended {
			continue
		}
		lateRuns++
		if status[r.id] != http.StatusOK {
			lost++
		}
		m.record.line("DRAIN: %s reached %s %v after its sign-off was acknowledged and %v after the balancer's start; its client got %d", r.id, leaver.id,
			(r.began - signedOff).Round(time.Millisecond), (r.began - started).Round(time.Millisecond), status[r.id])
	}
	served := 0
	for _, a := range answers {
		if a.status == http.StatusOK {
			served++
		}
	}
	m.record.line("%d requests, %d served; %d reached the upstream later than Drain after its sign-off and Touch after the start, %d of these were not answered with 200", len(answers), served, lateRuns, lost)
	return lateRuns > 0, nil
}
