package burstcredit

import (
	"maps"
	"math"
	"slices"
)

// Lot is what was saved on one day.
type Lot struct {
	Day  int64   // of the book's time
	Left float64 // tokens
}

// Entry is a line of an account's history.
type Entry struct {
	At        int64 // of the book's time
	What, Who string
	Why       string `json:",omitempty"`
	Tokens    float64
}

// Account is one tenant's credit. Earned + Granted = balance + out + Spent + Expired, always.
type Account struct {
	Earned, Granted, Spent, Expired float64 // since it was opened
	Lots                            []Lot   `json:",omitempty"` // the oldest in front
	Frozen                          bool    `json:",omitempty"`
	Purse                           float64 // of Extra, that may be given out now
	History                         []Entry `json:",omitempty"` // the last few
}

// Balance is what may be given out.
func (a *Account) Balance() (all float64) {
	for _, l := range a.Lots {
		all += l.Left
	}
	return all
}

func (l *Ledger) account(tenant string) *Account {
	a := l.Accounts[tenant]
	if a == nil {
		a = &Account{}
		l.Accounts[tenant] = a
	}
	return a
}

func (l *Ledger) note(a *Account, what, who, why string, tokens float64) {
	a.History = append(a.History, Entry{l.Now, what, who, why, tokens})
	a.History = a.History[max(0, len(a.History)-history):]
}

// save puts tokens into today's lot, up to the cap; it says how many there was room for.
func (l *Ledger) save(a *Account, tokens, most float64) float64 {
	tokens = math.Max(0, math.Min(tokens, most-a.Balance()))
	if tokens == 0 {
		return 0
	}
	if n := len(a.Lots); n == 0 || a.Lots[n-1].Day < l.Now/day {
		a.Lots = append(a.Lots, Lot{Day: l.Now / day})
	}
	a.Lots[len(a.Lots)-1].Left += tokens
	return tokens
}

// take takes tokens out of the oldest lots.
func (a *Account) take(tokens float64) float64 {
	left := tokens
	for len(a.Lots) > 0 && left > 0 {
		part := math.Min(left, a.Lots[0].Left)
		a.Lots[0].Left -= part
		if left -= part; a.Lots[0].Left <= 0 {
			a.Lots = a.Lots[1:]
		}
	}
	return tokens - left
}

// Stand is an account as operators see it.
type AccountStatus struct {
	Tenant                          string
	Balance, Out                    float64
	Earned, Granted, Spent, Expired float64
	Gap                             float64
	Frozen                          bool
	History                         []Entry
}

// Stands are all accounts, by name.
func (l *Ledger) Status() (all []AccountStatus) {
	for _, tenant := range slices.Sorted(maps.Keys(l.Accounts)) {
		a := l.Accounts[tenant]
		all = append(all, AccountStatus{tenant, a.Balance(), l.out(tenant), a.Earned, a.Granted, a.Spent, a.Expired, l.Gap(tenant), a.Frozen, a.History})
	}
	return all
}
