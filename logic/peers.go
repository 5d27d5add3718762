package logic

import "math"

// What balancers of a pool tell one another.

// sendReports says to peers how long transactions take, and for each push in flight its place and a check. Danger:
// what many say to many adds up, so each first push pays for so many messages and no more.
func (b *Balancer) sendReports() {
	if b.reportBudget < len(b.peers) {
		b.nextReportAt = math.MaxInt64 // the next push says it
		return
	}
	b.reportBudget -= len(b.peers)
	report := []byte{byte(min(255, 100*b.shortLoad/max(b.shortRate, 1e-12)))}
	for place, i := range b.assigned[:min(len(b.assigned), 32)] {
		for range min(b.inFlight[i], 7) { // a message holds 256
			report = append(report, b.assignmentCheck<<5|byte(place))
		}
	}
	b.lastReportAt, b.nextReportAt = b.now, b.now+reportRefresh
	if len(report) == 1 {
		b.nextReportAt = math.MaxInt64 // nothing to say before something goes out
	}
	for _, peer := range b.peers {
		b.writer.SendReport(peer, report)
	}
}

// scheduleReport has peers told before long.
func (b *Balancer) scheduleReport() {
	b.nextReportAt = min(b.nextReportAt, b.lastReportAt+minReportInterval)
}

// PeerReport takes what a peer says. Danger: it is late, may be lost, and its part may be another by now. It only
// counts in the choice and in room, what doesn't fit is left out, and it is forgotten before long.
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

// totalInFlight is what an upstream holds of this balancer and its peers.
func (b *Balancer) totalInFlight(i int) float64 { return float64(b.inFlight[i] + b.peerInFlight[i]) }
