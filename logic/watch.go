package logic

// Redirect has a push that is out count as sent to another upstream. Nothing is decided here: a balancer whose
// decisions are only watched (internal/watch) is told by it where the push really went.
func (b *Balancer) Redirect(tx *Transaction, n, i int) {
	p := &tx.attempts[n]
	if !p.pending || p.upstream == i {
		return
	}
	b.inFlight[p.upstream]--
	b.inFlight[i]++
	p.upstream, p.location = i, Location{b.zone[i], b.cell[i]}
	b.scheduleReport()
}

// Upstream is the upstream of a push.
func (tx *Transaction) Upstream(n int) int { return tx.attempts[n].upstream }

// Answered reports whether the transaction has had its final answer.
func (tx *Transaction) Answered() bool { return tx.answered }
