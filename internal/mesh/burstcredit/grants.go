package burstcredit

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// ProcessReports processes a batch of reports in order of arrival and returns the response to each; nil for a stale
// report. The demands of the batch are served together: client requests first, then calls of services, each in
// proportion to the demands.
func (l *Ledger) ProcessReports(reports []*Report, terms map[string]Terms) []*Grant {
	grants := make([]*Grant, len(reports))
	accepted := make([]bool, len(reports))
	for i, report := range reports {
		wallet := l.Wallets[report.Node]
		var ended []string
		switch {
		case wallet != nil && wallet.Incarnation == report.Incarnation && report.Seq == wallet.Seq && wallet.WrittenOff == nil:
			grants[i] = wallet.LastGrant // a repeated report, whose response was lost
			wallet.ReportedAt = l.Now
			continue
		case wallet != nil && wallet.Incarnation == report.Incarnation && report.Seq < wallet.Seq:
			continue // stale: a later report was answered
		case wallet != nil && slices.Contains(wallet.EndedIncarnations, report.Incarnation):
			continue // a delayed report of an ended incarnation would close the wallet of the present one
		case wallet != nil && wallet.Incarnation != report.Incarnation:
			ended = append(wallet.EndedIncarnations, wallet.Incarnation)
			l.CloseWallet(report.Node) // the previous incarnation has ended and spends nothing any more
			wallet = nil
		}
		reset := wallet != nil && wallet.WrittenOff != nil // its escrow was written off
		if wallet == nil {
			wallet = &walletRecord{Incarnation: report.Incarnation,
				EndedIncarnations: ended[max(0, len(ended)-8):], Escrow: map[string]float64{}}
			l.Wallets[report.Node] = wallet
		}
		wallet.Seq, wallet.ReportedAt, wallet.OpenEffects = report.Seq, l.Now, report.OpenEffects
		if wallet.Escrow == nil {
			wallet.Escrow = map[string]float64{}
		}
		grant := &Grant{Seq: report.Seq, Tokens: map[string]float64{}, Refunds: map[string]float64{},
			Reset: reset && !l.noEscrowTimeout}
		wallet.LastGrant, grants[i], accepted[i] = grant, grant, true
		for _, id := range report.Settled {
			account := l.openAccount(id.Tenant)
			switch {
			case l.isCharged(id) && !l.chargePerTry:
				if !reset {
					grant.Refunds[id.Tenant]++ // charged by another proxy; the token stays in this escrow
				}
				continue
			case wallet.WrittenOff[id.Tenant] >= 1:
				wallet.WrittenOff[id.Tenant]-- // already counted as spent
			case wallet.Escrow[id.Tenant] >= 1:
				wallet.Escrow[id.Tenant]--
				account.Spent++
			default:
				account.Spent += account.withdraw(1)
			}
			l.markCharged(id)
		}
		if reset {
			l.reverseWriteOff(wallet)
		}
		for _, tenant := range slices.Sorted(maps.Keys(report.Demands)) {
			returned := math.Min(math.Max(report.Demands[tenant].Returned, 0), wallet.Escrow[tenant])
			wallet.Escrow[tenant] -= returned
			l.refund(l.openAccount(tenant), returned)
		}
	}
	for _, tenant := range tenantsInReports(reports, accepted) {
		l.distribute(tenant, reports, grants, accepted, terms[tenant])
	}
	for _, wallet := range l.Wallets {
		maps.DeleteFunc(wallet.Escrow, func(_ string, tokens float64) bool { return tokens < 1e-9 })
	}
	return grants
}

// tenantsInReports returns the sorted names of all tenants with demands in the reports.
func tenantsInReports(reports []*Report, accepted []bool) []string {
	seen := map[string]bool{}
	for i, report := range reports {
		for tenant := range report.Demands {
			seen[tenant] = seen[tenant] || accepted[i]
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// distribute grants one tenant's available credit to the proxies that want it.
func (l *Ledger) distribute(tenant string, reports []*Report, grants []*Grant, accepted []bool, terms Terms) {
	account := l.Accounts[tenant]
	if account == nil || account.Frozen || terms.ExtraRate <= 0 {
		return
	}
	for class, wanted := range []func(Demand) float64{
		func(demand Demand) float64 { return demand.WantedByClients },
		func(demand Demand) float64 { return demand.WantedByServices },
	} {
		total := 0.0
		for i, report := range reports {
			if accepted[i] {
				total += math.Max(0, wanted(report.Demands[tenant]))
			}
		}
		available := floor(math.Min(account.Balance(), account.GrantBudget))
		if class == 1 && !l.noPrecedence { // half of the budget is kept for client requests in later reports
			available = floor(math.Min(account.Balance(), account.GrantBudget-terms.ExtraRate*float64(PrefetchWindow)/float64(second)/2))
		}
		if total <= 0 || available <= 0 {
			continue
		}
		order := make([]int, 0, len(reports))
		for i, report := range reports {
			if accepted[i] && wanted(report.Demands[tenant]) > 0 {
				order = append(order, i)
			}
		}
		slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(reports[x].Node, reports[y].Node) })
		ratio := math.Min(1, available/total)
		carry := 0.0 // fraction of a token that is carried to the next proxy, so that rounding loses nothing
		for _, i := range order {
			carry += wanted(reports[i].Demands[tenant]) * ratio
			granted := math.Min(floor(carry), available)
			if granted <= 0 {
				continue
			}
			carry -= granted
			available -= granted
			account.withdraw(granted)
			account.GrantBudget -= granted
			l.Wallets[reports[i].Node].Escrow[tenant] += granted
			grants[i].Tokens[tenant] += granted
		}
	}
}
