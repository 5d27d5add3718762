package logic

// Correct has a push that is out count as sent to another upstream. Nothing is decided here: a balancer whose
// decisions are only watched (internal/watch) is told by it where the push really went.
func (b *Balancer) Correct(t *Transaction, n, i int) {
	p := &t.pushes[n]
	if !p.out || p.upstream == i {
		return
	}
	b.flying[p.upstream]--
	b.flying[i]++
	p.upstream, p.at = i, Bound{b.zone[i], b.cell[i]}
	b.news()
}

// Upstream is the upstream of a push.
func (t *Transaction) Upstream(n int) int { return t.pushes[n].upstream }

// Over reports whether the transaction has had its final answer.
func (t *Transaction) Over() bool { return t.over }
