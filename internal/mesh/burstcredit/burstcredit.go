// Package burstcredit implements burst credit: a tenant saves part of its unused rate and spends it later above its
// rate, in any zone or region. The package does no I/O and reads no clock.
//
// The Ledger (ledger.go) holds the accounts of all tenants and is part of the controllers' replicated state. A Wallet
// (wallet.go) holds the tokens of one proxy in escrow. Tokens in escrow are deducted from the account, so that requests
// need no call to the controllers.
//
// A request reserves a token under its identity. The token is charged or released when the outcome is known. All
// attempts of a request, including the client's own retries, share one reservation at a proxy. If several proxies
// charge the same identity, the Ledger charges it once.
//
// Bounds for one tenant:
//
//	spent above the rate in a window W   <=  ExtraRate·W + ExtraRate·PrefetchWindow
//	held by unreachable proxies          <=  ExtraRate·PrefetchWindow, for at most EscrowTimeout
//	spent beyond the credit              <=  what crashed proxies spent after their last report,
//	                                         ExtraRate·PrefetchWindow in all; otherwise 0
//	identities kept for deduplication    <=  ExtraRate·DedupWindow
//
// A proxy that is silent for EscrowTimeout may have spent its whole escrow, so the escrow is written off as spent. When
// the proxy returns, its unspent tokens go back to the account and its wallet is reset. Only a report of a later
// incarnation proves that a proxy crashed: then effects that may have run are charged and the rest is refunded at once.
package burstcredit

import (
	"hash/fnv"
	"math"

	"ottershift/internal/mesh/routing"
)

const second = int64(1e9)

// Time constants of the protocol, in nanoseconds.
const (
	PrefetchWindow = 1 * second    // amount of demand that a proxy prefetches
	ReportInterval = second / 4    // time between two reports of a proxy that has something to report
	DedupWindow    = 60 * second   // time for which a charged identity is recognized
	EscrowTimeout  = 3600 * second // silence after which a proxy's escrow is written off
	day            = 86400 * second
)

// Terms are the configured terms of a tenant's credit.
type Terms struct {
	EarnRatio  float64 // fraction of the unused rate that is saved; 0 for no account
	MaxBalance float64 // limit of saved tokens
	Retention  int64   // nanoseconds after which saved tokens expire
	ExtraRate  float64 // tokens per second above the tenant's rate, at all proxies together
}

// TenantTerms returns the terms of a configuration's tenants that have credit, by name.
func TenantTerms(configuration *routing.Configuration) map[string]Terms {
	terms := map[string]Terms{}
	for _, tenant := range configuration.Tenants {
		if credit := tenant.BurstCredit; credit != nil && credit.SavedFraction > 0 {
			terms[tenant.Name] = Terms{EarnRatio: credit.SavedFraction, MaxBalance: credit.MaxSaved,
				Retention: int64(credit.Retention), ExtraRate: credit.MaxExtraRate}
		}
	}
	return terms
}

// Bounds evaluates the bounds of the package comment for a window in nanoseconds.
func (t Terms) Bounds(window int64) (spent, stranded, identities float64) {
	escrow := t.ExtraRate * float64(PrefetchWindow) / float64(second)
	return t.ExtraRate*float64(window)/float64(second) + escrow, escrow, t.ExtraRate * float64(DedupWindow) / float64(second)
}

// RequestID hashes the parts of the identity under which a request is charged once.
func RequestID(parts ...string) uint64 {
	hash := fnv.New64a()
	for _, part := range parts {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	return hash.Sum64()
}

// ClaimID identifies a request for deduplication.
type ClaimID struct {
	Tenant string
	ID     uint64
}

// Demand is what a proxy reports of one tenant, in tokens.
type Demand struct {
	Held             float64 `json:",omitempty"`       // tokens in escrow, reserved or free
	WantedByClients  float64 `json:"Want,omitempty"`   // tokens wanted for client requests
	WantedByServices float64 `json:"Inner,omitempty"`  // tokens wanted for calls between services
	Returned         float64 `json:"Return,omitempty"` // tokens given back
}

// Report is a proxy's report to the ledger. The reports of an incarnation are numbered. An unanswered report is sent
// again unchanged.
type Report struct {
	Node        string
	Incarnation string `json:"Life"` // one run of the proxy's process
	Seq         uint64
	Demands     map[string]Demand `json:"Asks"` // by tenant
	Settled     []ClaimID         // charged since the last answered report
	OpenEffects []ClaimID         `json:"Open"` // requests with effects that may be running; charged if the proxy crashes
}

// Grant is the ledger's response to a report.
type Grant struct {
	Seq     uint64
	Tokens  map[string]float64 // added to the escrow, by tenant
	Refunds map[string]float64 // returned to the escrow, by tenant, as another proxy had charged the same request
	Reset   bool               `json:",omitempty"` // the escrow was written off; the wallet must not spend what it held
}

// floor rounds down, with a tolerance for accumulated rounding errors.
func floor(v float64) float64 { return math.Floor(v + 1e-9) }
