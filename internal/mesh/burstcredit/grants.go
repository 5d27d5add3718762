package burstcredit

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Take takes reports in the order in which they came, and answers each. Wants of all of them are weighed together: what is there
// goes to requests that began at clients first, in parts by what each balancer wants.
func (l *Ledger) Take(reports []*Report, terms map[string]Terms) []*Grant {
	out := make([]*Grant, len(reports))
	live := make([]bool, len(reports))
	for n, r := range reports {
		t := l.Wallets[r.Node]
		var ended []string
		switch {
		case t != nil && t.Life == r.Life && r.Seq == t.Seq && t.Lost == nil:
			out[n] = t.Last // its answer was lost
			t.At = l.Now
			continue
		case t != nil && t.Life == r.Life && r.Seq < t.Seq:
			continue // late: it has been answered, and more since
		case t != nil && slices.Contains(t.Ended, r.Life):
			continue // Invariant: a late word of a life that has ended would close what the present one holds
		case t != nil && t.Life != r.Life:
			ended = append(t.Ended, t.Life)
			l.Close(r.Node) // that life has ended: it spends nothing any more
			t = nil
		}
		reset := t != nil && t.Lost != nil // it was silent for so long that what it held is closed
		if t == nil {
			t = &walletRecord{Life: r.Life, Ended: ended[max(0, len(ended)-8):], Out: map[string]float64{}}
			l.Wallets[r.Node] = t
		}
		t.Seq, t.At, t.Open = r.Seq, l.Now, r.Open
		if t.Out == nil {
			t.Out = map[string]float64{}
		}
		g := &Grant{Seq: r.Seq, Tokens: map[string]float64{}, Refunds: map[string]float64{}, Reset: reset && !l.noEnd}
		t.Last, out[n], live[n] = g, g, true
		for _, m := range r.Settled {
			a := l.account(m.Tenant)
			switch {
			case l.known(m) && !l.perTry:
				if !reset {
					g.Refunds[m.Tenant]++ // charged at another balancer; the token stays in escrow there
				}
				continue
			case t.Lost[m.Tenant] >= 1:
				t.Lost[m.Tenant]-- // it counts as spent already
			case t.Out[m.Tenant] >= 1:
				t.Out[m.Tenant]--
				a.Spent++
			default:
				a.Spent += a.take(1)
			}
			l.learn(m)
		}
		if reset {
			l.found(t)
		}
		for _, tenant := range slices.Sorted(maps.Keys(r.Asks)) {
			back := math.Min(math.Max(r.Asks[tenant].Return, 0), t.Out[tenant])
			t.Out[tenant] -= back
			l.back(l.account(tenant), back)
		}
	}
	for _, tenant := range tenants(reports, live) {
		l.share(tenant, reports, out, live, terms[tenant])
	}
	for _, t := range l.Wallets {
		maps.DeleteFunc(t.Out, func(_ string, n float64) bool { return n < 1e-9 })
	}
	return out
}

func tenants(reports []*Report, live []bool) []string {
	all := map[string]bool{}
	for n, r := range reports {
		for tenant := range r.Asks {
			all[tenant] = all[tenant] || live[n]
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// share gives out what there is of one tenant's credit.
func (l *Ledger) share(tenant string, reports []*Report, out []*Grant, live []bool, t Terms) {
	a := l.Accounts[tenant]
	if a == nil || a.Frozen || t.Extra <= 0 {
		return
	}
	for class, want := range []func(Ask) float64{func(k Ask) float64 { return k.Want }, func(k Ask) float64 { return k.Inner }} {
		all := 0.0
		for n, r := range reports {
			if live[n] {
				all += math.Max(0, want(r.Asks[tenant]))
			}
		}
		there := whole(math.Min(a.Balance(), a.Purse))
		if class == 1 && !l.alike { // half of what may go out is kept for clients that are not among these reports
			there = whole(math.Min(a.Balance(), a.Purse-t.Extra*float64(Ahead)/float64(s)/2))
		}
		if all <= 0 || there <= 0 {
			continue
		}
		order := make([]int, 0, len(reports))
		for n, r := range reports {
			if live[n] && want(r.Asks[tenant]) > 0 {
				order = append(order, n)
			}
		}
		slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(reports[x].Node, reports[y].Node) })
		part := math.Min(1, there/all)
		carry := 0.0 // of a token, from one balancer to the next: nobody's part is lost to rounding
		for _, n := range order {
			carry += want(reports[n].Asks[tenant]) * part
			give := math.Min(whole(carry), there)
			if give <= 0 {
				continue
			}
			carry -= give
			there -= give
			a.take(give)
			a.Purse -= give
			l.Wallets[reports[n].Node].Out[tenant] += give
			out[n].Tokens[tenant] += give
		}
	}
}
