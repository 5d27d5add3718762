package burstcredit

import (
	"maps"
	"math"
	"slices"
)

// Lot holds the tokens saved on one day.
type Lot struct {
	Day  int64   // in ledger time
	Left float64 // remaining tokens
}

// Entry is a line of an account's history.
type Entry struct {
	At        int64 // ledger time in nanoseconds
	What, Who string
	Why       string `json:",omitempty"`
	Tokens    float64
}

// Account is one tenant's credit, in tokens. Earned + Granted always equals balance + outstanding escrow + Spent +
// Expired.
type Account struct {
	Earned, Granted, Spent, Expired float64 // totals since the account was opened
	Lots                            []Lot   `json:",omitempty"` // oldest first
	Frozen                          bool    `json:",omitempty"`
	GrantBudget                     float64 `json:"Purse"`      // tokens that may be granted now within ExtraRate
	History                         []Entry `json:",omitempty"` // the last maxHistory entries
}

// Balance returns the saved tokens.
func (a *Account) Balance() (total float64) {
	for _, lot := range a.Lots {
		total += lot.Left
	}
	return total
}

// openAccount returns a tenant's account and opens it if necessary.
func (l *Ledger) openAccount(tenant string) *Account {
	account := l.Accounts[tenant]
	if account == nil {
		account = &Account{}
		l.Accounts[tenant] = account
	}
	return account
}

// record appends an entry to an account's history.
func (l *Ledger) record(account *Account, what, who, why string, tokens float64) {
	account.History = append(account.History, Entry{l.Now, what, who, why, tokens})
	account.History = account.History[max(0, len(account.History)-maxHistory):]
}

// deposit adds tokens to today's lot, up to a balance of limit. It returns how many were added.
func (l *Ledger) deposit(account *Account, tokens, limit float64) float64 {
	tokens = math.Max(0, math.Min(tokens, limit-account.Balance()))
	if tokens == 0 {
		return 0
	}
	if n := len(account.Lots); n == 0 || account.Lots[n-1].Day < l.Now/day {
		account.Lots = append(account.Lots, Lot{Day: l.Now / day})
	}
	account.Lots[len(account.Lots)-1].Left += tokens
	return tokens
}

// withdraw removes tokens from the oldest lots. It returns how many were removed.
func (a *Account) withdraw(tokens float64) float64 {
	remaining := tokens
	for len(a.Lots) > 0 && remaining > 0 {
		amount := math.Min(remaining, a.Lots[0].Left)
		a.Lots[0].Left -= amount
		if remaining -= amount; a.Lots[0].Left <= 0 {
			a.Lots = a.Lots[1:]
		}
	}
	return tokens - remaining
}

// AccountStatus is an account as shown to operators.
type AccountStatus struct {
	Tenant                          string
	Balance                         float64
	Outstanding                     float64 `json:"Out"` // tokens in escrow at proxies
	Earned, Granted, Spent, Expired float64
	Gap                             float64 // see Ledger.Gap
	Frozen                          bool
	History                         []Entry
}

// Status returns the state of all accounts, sorted by tenant.
func (l *Ledger) Status() (all []AccountStatus) {
	for _, tenant := range slices.Sorted(maps.Keys(l.Accounts)) {
		account := l.Accounts[tenant]
		all = append(all, AccountStatus{tenant, account.Balance(), l.outstanding(tenant),
			account.Earned, account.Granted, account.Spent, account.Expired, l.Gap(tenant), account.Frozen, account.History})
	}
	return all
}
