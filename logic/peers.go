package logic

import "math"

// Load reports between the balancers of a pool.

// sendReports sends peers the latency ratio and, per attempt in flight, the position of its upstream in the
// assignment. Reports grow with the number of peers, so each first attempt allows a fixed number.
func (b *Balancer) sendReports() {
	if b.reportBudget < len(b.peers) {
		b.nextReport = math.MaxInt64 // the next first attempt refills the budget
		return
	}
	b.reportBudget -= len(b.peers)
	report := []byte{byte(min(255, 100*b.shortLoad/max(b.shortRate, 1e-12)))}
	for place, i := range b.assigned[:min(len(b.assigned), 32)] {
		for range min(b.inFlight[i], 7) { // a report holds 256 bytes
			report = append(report, b.assignmentCheck<<5|byte(place))
		}
	}
	b.lastReport, b.nextReport = b.now, b.now+reportRefresh
	if len(report) == 1 {
		b.nextReport = math.MaxInt64 // idle: nothing to report until the next attempt
	}
	for _, peer := range b.peers {
		b.writer.SendReport(peer, report)
	}
}

// scheduleReport makes the next report due as soon as the minimum interval allows.
func (b *Balancer) scheduleReport() { b.nextReport = min(b.nextReport, b.lastReport+minReportGap) }

// PeerReport takes a load report of a peer, which may be late or lost, or refer to another assignment. So it
// affects only selection and limit, entries that do not match are dropped, and it expires after reportTTL.
func (b *Balancer) PeerReport(peer int, report []byte, now int64) {
	if peer < 0 || peer >= len(b.peerAttempts) || len(report) == 0 {
		return
	}
	b.forgetPeer(peer)
	b.peerReportAt[peer], b.peerLatencyRatio[peer] = now, float64(report[0])/100
	for _, entry := range report[1:] {
		if place := int(entry & 31); entry>>5 == b.assignmentCheck && place < len(b.assigned) {
			b.peerAttempts[peer] = append(b.peerAttempts[peer], b.assigned[place])
			b.peerInFlight[b.assigned[place]]++
		}
	}
}

// totalInFlight returns the attempts in flight to an upstream from this balancer and its peers.
func (b *Balancer) totalInFlight(i int) float64 { return float64(b.inFlight[i] + b.peerInFlight[i]) }
