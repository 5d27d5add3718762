package logic

// SetUpstream corrects the upstream of a pending attempt. It serves a balancer whose decisions are only compared and
// not carried out (internal/watch), to report where the attempt really went.
func (b *Balancer) SetUpstream(tx *Transaction, n, i int) {
	p := &tx.attempts[n]
	if !p.pending || p.upstream == i {
		return
	}
	b.inFlight[p.upstream]--
	b.inFlight[i]++
	p.upstream, p.location = i, Location{b.zone[i], b.cell[i]}
	b.scheduleReport()
}

// Upstream returns the index of the upstream of attempt n.
func (tx *Transaction) Upstream(n int) int { return tx.attempts[n].upstream }

// Answered reports whether the transaction has its final answer.
func (tx *Transaction) Answered() bool { return tx.answered }
