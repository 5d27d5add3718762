package burstcredit

import (
	"cmp"
	"math"
	"slices"
)

// Claim is a request above its tenant's rate that needs burst credit.
type Claim struct {
	Tenant     string
	ID         uint64
	Service    string
	HasEffect  bool // not idempotent: it is charged as soon as it may have run
	FromClient bool // sent by a client, not by a service
	Rank       int  // priority of tenant and route; 0 is the highest
}

// Verdict is the decision on a claim.
type Verdict uint8

// Verdicts of Wallet.Claim.
const (
	NoCredit Verdict = iota // no credit is available
	Reserved                // a token is reserved for the request, by this or an earlier attempt
	Queued                  // the claim waits in the queue until ServeQueue serves it
)

// Outcome is the result of an attempt.
type Outcome uint8

// Outcomes of an attempt.
const (
	Delivered    Outcome = iota // the response was delivered completely
	Unknown                     // the attempt may have run
	NotDelivered                // the attempt did not run, failed, was rejected, or its response was truncated
)

// reservation is a token reserved for a request.
type reservation struct {
	Claim
	activeAttempts int
	charged        bool  // the token is spent
	void           bool  // the token belonged to an escrow that was written off
	expiresAt      int64 // when a charged reservation may be removed, in nanoseconds
}

// tenantCredit is the wallet's credit of one tenant.
type tenantCredit struct {
	Terms
	unreserved         float64 // tokens not reserved
	reserved           float64
	demand             [2]float64 // claims per second, decayed; of services [0] and clients [1]
	recentClientClaims float64    // client claims, decayed over burstWindow
	updatedAt          int64      // of demand and recentClientClaims, in nanoseconds
	waiting            [2]int     // queued claims of services and clients
	usableUntil        int64      // when the escrow ends, by the proxy's own clock
}

// serviceBucket is a token bucket that limits the credit spent at one service.
type serviceBucket struct {
	rate, capacity, tokens float64 // rate in tokens per second
	updatedAt              int64
}

// waiter is a queued claim.
type waiter struct {
	claim   Claim
	arrival uint64 // sequence number
	notify  func(bool)
}

// Wallet holds one proxy's escrow of all tenants' credit and its reservations. It starts empty.
type Wallet struct {
	node, incarnation string
	seq               uint64
	tenants           map[string]*tenantCredit
	services          map[string]*serviceBucket
	reservations      map[ClaimID]*reservation
	queue             []*waiter
	arrivals          uint64
	pendingReport     *Report   // not answered yet
	settled           []ClaimID // charged since the last report
	lastSweep         int64

	noEscrowTimeout, chargePerTry, noPrecedence bool // disabled guards
}

// NewWallet returns an empty wallet for one incarnation of a proxy.
func NewWallet(node, incarnation string) *Wallet {
	return &Wallet{node: node, incarnation: incarnation, tenants: map[string]*tenantCredit{},
		services: map[string]*serviceBucket{}, reservations: map[ClaimID]*reservation{}}
}

// SetTerms applies the tenants' terms and the limits of services: the credit, in tokens per second, that all proxies
// together may spend at each.
func (w *Wallet) SetTerms(terms map[string]Terms, services map[string]float64, balancerCount int, now int64) {
	for tenant, tenantTerms := range terms {
		if credit := w.tenants[tenant]; credit != nil {
			credit.Terms = tenantTerms
		} else if tenantTerms.ExtraRate > 0 {
			w.tenants[tenant] = &tenantCredit{Terms: tenantTerms, updatedAt: now}
		}
	}
	for tenant, credit := range w.tenants {
		if _, found := terms[tenant]; !found {
			credit.Terms = Terms{} // the next report returns its tokens
		}
	}
	for name := range w.services {
		if services[name] <= 0 {
			delete(w.services, name)
		}
	}
	for name, maxRate := range services {
		if maxRate <= 0 {
			continue
		}
		bucket := w.services[name]
		if bucket == nil {
			bucket = &serviceBucket{updatedAt: now}
			w.services[name] = bucket
		}
		bucket.rate = maxRate / float64(max(balancerCount, 1))
		bucket.capacity = math.Max(1, bucket.rate)
	}
}

// Enabled reports whether any tenant has credit.
func (w *Wallet) Enabled() bool { return len(w.tenants) > 0 }

// hasServiceCapacity refills a service's bucket and reports whether it has a token.
func (w *Wallet) hasServiceCapacity(service string, now int64) bool {
	bucket := w.services[service]
	if bucket == nil {
		return true
	}
	bucket.tokens = math.Min(bucket.capacity, bucket.tokens+bucket.rate*float64(max(0, now-bucket.updatedAt))/float64(second))
	bucket.updatedAt = now
	return bucket.tokens >= 1
}

// Claim reserves a token for a request. A queued claim is notified by ServeQueue or withdrawn with Cancel. Without
// notify, a claim is never queued.
func (w *Wallet) Claim(claim Claim, now int64, notify func(bool)) Verdict {
	credit := w.tenants[claim.Tenant]
	if credit == nil || credit.ExtraRate <= 0 {
		return NoCredit
	}
	if held := w.reservations[claim.requestID()]; held != nil && !w.chargePerTry { // another attempt of the same request
		held.activeAttempts++
		return Reserved
	}
	origin := 0
	if claim.FromClient {
		origin = 1
	}
	credit.demand[0] *= math.Exp(-float64(now-credit.updatedAt) / float64(second))
	credit.demand[1] *= math.Exp(-float64(now-credit.updatedAt) / float64(second))
	credit.demand[origin]++
	credit.recentClientClaims *= math.Exp(-float64(now-credit.updatedAt) / float64(burstWindow))
	credit.recentClientClaims += float64(origin)
	credit.updatedAt = now
	if len(w.queue) == 0 && w.reserve(claim, now) {
		return Reserved
	}
	if notify == nil {
		return NoCredit
	}
	w.arrivals++
	entry := &waiter{claim, w.arrivals, notify}
	position, _ := slices.BinarySearchFunc(w.queue, entry, w.compareWaiters)
	w.queue = slices.Insert(w.queue, position, entry)
	credit.waiting[origin]++
	return Queued
}

// compareWaiters orders the queue: client requests first, then by rank, then by arrival.
func (w *Wallet) compareWaiters(a, b *waiter) int {
	if w.noPrecedence {
		return cmp.Compare(a.arrival, b.arrival)
	}
	originOrder := func(entry *waiter) int {
		if entry.claim.FromClient {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(originOrder(a), originOrder(b)), cmp.Compare(a.claim.Rank, b.claim.Rank),
		cmp.Compare(a.arrival, b.arrival))
}

// requestID returns the identity under which the claim is charged.
func (claim Claim) requestID() ClaimID { return ClaimID{claim.Tenant, claim.ID} }

// reserve reserves a token for a claim, if one is free and the limit of its service allows it.
func (w *Wallet) reserve(claim Claim, now int64) bool {
	credit := w.tenants[claim.Tenant]
	if credit == nil || credit.unreserved < 1 || now >= credit.usableUntil && !w.noEscrowTimeout {
		return false
	}
	if !claim.FromClient && !w.noPrecedence { // keep enough tokens for the expected client requests
		if credit.unreserved < 1+2*credit.burstDemand(now) {
			return false
		}
	}
	if !w.hasServiceCapacity(claim.Service, now) {
		return false
	}
	if bucket := w.services[claim.Service]; bucket != nil {
		bucket.tokens--
	}
	credit.unreserved--
	credit.reserved++
	id := claim.requestID()
	if w.chargePerTry { // a separate identity for each attempt
		id.ID += w.arrivals<<32 + uint64(len(w.reservations))
	}
	w.reservations[id] = &reservation{Claim: claim, activeAttempts: 1}
	return true
}

// ServeQueue serves queued claims in order, as far as tokens allow.
func (w *Wallet) ServeQueue(now int64) {
	remaining := w.queue[:0]
	var served []*waiter
	for _, entry := range w.queue {
		if held := w.reservations[entry.claim.requestID()]; held != nil { // another attempt of the same request was served
			held.activeAttempts++
		} else if !w.reserve(entry.claim, now) {
			remaining = append(remaining, entry)
			continue
		}
		served = append(served, entry)
	}
	clear(w.queue[len(remaining):])
	w.queue = remaining
	for _, entry := range served {
		w.forgetWaiter(entry)
		entry.notify(true)
	}
}

// forgetWaiter updates the number of queued claims after one has left the queue.
func (w *Wallet) forgetWaiter(entry *waiter) {
	origin := 0
	if entry.claim.FromClient {
		origin = 1
	}
	if credit := w.tenants[entry.claim.Tenant]; credit != nil && credit.waiting[origin] > 0 {
		credit.waiting[origin]--
	}
}

// Cancel removes a claim from the queue and reports whether it was queued.
func (w *Wallet) Cancel(target Claim) bool {
	for i, entry := range w.queue {
		if entry.claim == target {
			w.queue = slices.Delete(w.queue, i, i+1)
			w.forgetWaiter(entry)
			return true
		}
	}
	return false
}

// Finish records the outcome of an attempt with a reservation. The token is charged once, by the first attempt that is
// delivered or may have had an effect. If the last attempt ends without a charge, the token is free again.
func (w *Wallet) Finish(claim Claim, outcome Outcome, now int64) {
	id := claim.requestID()
	held := w.reservations[id]
	if w.chargePerTry {
		for otherID, other := range w.reservations {
			if other.Claim == claim && !other.charged {
				id, held = otherID, other
				break
			}
		}
	}
	if held == nil || held.activeAttempts == 0 {
		return
	}
	held.activeAttempts--
	credit := w.tenants[claim.Tenant]
	if !held.charged && (outcome == Delivered || outcome == Unknown && held.HasEffect) {
		held.charged, held.expiresAt = true, now+DedupWindow
		if credit != nil {
			credit.reserved--
		}
		w.settled = append(w.settled, ClaimID{id.Tenant, id.ID})
	}
	if held.activeAttempts == 0 && !held.charged {
		if delete(w.reservations, id); credit != nil {
			if credit.reserved--; !held.void {
				credit.unreserved++
			}
		}
	}
	if now-w.lastSweep > second {
		w.lastSweep = now
		for id, held := range w.reservations {
			if held.charged && held.activeAttempts == 0 && now >= held.expiresAt {
				delete(w.reservations, id)
			}
		}
	}
}

// burstDemand returns the expected number of client claims within PrefetchWindow. It averages over burstWindow, so that
// a short lull does not count as the end of a burst.
func (tc *tenantCredit) burstDemand(now int64) float64 {
	return tc.recentClientClaims*math.Exp(-float64(now-tc.updatedAt)/float64(burstWindow))*
		float64(PrefetchWindow)/float64(burstWindow) + float64(tc.waiting[1])
}

const burstWindow = 5 * second // nanoseconds

// targetTokens returns how many tokens the proxy should hold for client requests and for calls of services.
func (tc *tenantCredit) targetTokens(now int64) (client, service float64) {
	decay := math.Exp(-float64(now-tc.updatedAt) / float64(second))
	horizon := float64(PrefetchWindow) / float64(second) / 2
	return math.Ceil(tc.demand[1]*decay*horizon-0.05) + float64(tc.waiting[1]),
		math.Ceil(tc.demand[0]*decay*horizon-0.05) + float64(tc.waiting[0])
}

// ShouldReport reports whether there is something to report or to request.
func (w *Wallet) ShouldReport(now int64) bool {
	if w.pendingReport != nil || len(w.settled) > 0 || len(w.queue) > 0 {
		return true
	}
	for _, credit := range w.tenants {
		client, service := credit.targetTokens(now)
		held := credit.unreserved + credit.reserved
		if held > 0 || credit.ExtraRate > 0 && client+service > held {
			return true
		}
	}
	return false
}

// Report returns the next report to the ledger, or the last one again if it has not been answered.
func (w *Wallet) Report(now int64) *Report {
	if w.pendingReport != nil {
		return w.pendingReport
	}
	w.seq++
	report := &Report{Node: w.node, Incarnation: w.incarnation, Seq: w.seq, Demands: map[string]Demand{}, Settled: w.settled}
	w.settled = nil
	for id, held := range w.reservations {
		if held.HasEffect && !held.charged {
			report.OpenEffects = append(report.OpenEffects, id)
		}
	}
	slices.SortFunc(report.OpenEffects, func(a, b ClaimID) int {
		return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.ID, b.ID))
	})
	for tenant, credit := range w.tenants {
		client, service := credit.targetTokens(now)
		if credit.ExtraRate <= 0 {
			client, service = 0, 0
		}
		demand := Demand{Held: credit.unreserved + credit.reserved}
		if surplus := floor(credit.unreserved - 2*(client+service)); surplus > 0 {
			demand.Returned = surplus
			credit.unreserved -= surplus
		}
		demand.WantedByClients = math.Max(0, client-credit.unreserved)
		demand.WantedByServices = math.Max(0, service-math.Max(0, credit.unreserved-client))
		if demand != (Demand{}) {
			report.Demands[tenant] = demand
		}
	}
	w.pendingReport = report
	return report
}

// ApplyGrant applies the response to a report that was sent at sentAt.
func (w *Wallet) ApplyGrant(grant *Grant, sentAt, now int64) {
	if grant == nil || w.pendingReport == nil || grant.Seq != w.pendingReport.Seq {
		return
	}
	w.pendingReport = nil
	for _, credit := range w.tenants {
		credit.usableUntil = sentAt + EscrowTimeout*9/10 // ends by the local clock well before the ledger writes the escrow off
		if grant.Reset {
			credit.unreserved = 0
		}
	}
	for _, held := range w.reservations {
		held.void = held.void || grant.Reset && !held.charged
	}
	for tenant, tokens := range grant.Refunds {
		if credit := w.tenants[tenant]; credit != nil {
			credit.unreserved += tokens
		}
	}
	for tenant, tokens := range grant.Tokens {
		if credit := w.tenants[tenant]; credit != nil {
			credit.unreserved += tokens
		}
	}
	w.ServeQueue(now)
}

// Held returns a tenant's free and reserved tokens in escrow.
func (w *Wallet) Held(tenant string) (free, reserved float64) {
	if credit := w.tenants[tenant]; credit != nil {
		return credit.unreserved, credit.reserved
	}
	return 0, 0
}
