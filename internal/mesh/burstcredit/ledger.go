package burstcredit

import (
	"encoding/json"
	"maps"
	"math"
	"slices"

	"github.com/zeebo/errs"
)

// walletRecord is the ledger's record of one proxy's wallet.
type walletRecord struct {
	Incarnation       string             `json:"Life"`
	EndedIncarnations []string           `json:"Ended,omitempty"` // the most recent previous incarnations
	Seq               uint64             // of the last processed report
	ReportedAt        int64              `json:"At"`             // ledger time of the last report, in nanoseconds
	Escrow            map[string]float64 `json:"Out,omitempty"`  // tokens in escrow, by tenant
	OpenEffects       []ClaimID          `json:"Open,omitempty"` // as in Report
	WrittenOff        map[string]float64 `json:"Lost,omitempty"` // escrow that was counted as spent, by tenant
	LastGrant         *Grant             `json:"Last,omitempty"` // the response to Seq, sent again if the report is repeated
}

const (
	dedupSlots = 6  // per DedupWindow
	maxHistory = 40 // entries per account
)

// Ledger holds all accounts. Its clock advances only while a coordinator is active, so that nothing expires during an
// outage of the controllers.
type Ledger struct {
	Now      int64 // ledger time in nanoseconds
	Accounts map[string]*Account
	Wallets  map[string]*walletRecord `json:"Tellers"`
	Charged  []chargedSlot            `json:"Seen,omitempty"` // oldest first

	chargedIndex map[uint64]bool

	// Disabled guards, for tests.
	chargePerTry    bool // charge an identity each time it is reported
	noEscrowTimeout bool // do not reset the wallet of a proxy whose escrow was written off
	noPrecedence    bool // keep no credit for client requests
}

// Names of guards that tests and simulations disable to verify that the checks detect their absence.
const (
	WithoutDeduplication = "draw-per-try"
	WithoutEscrowTimeout = "escrow-without-end"
	WithoutPrecedence    = "no-precedence"
)

// DisableGuard disables one guard; an empty name enables all of them.
func (l *Ledger) DisableGuard(guard string) {
	l.chargePerTry, l.noEscrowTimeout, l.noPrecedence =
		guard == WithoutDeduplication, guard == WithoutEscrowTimeout, guard == WithoutPrecedence
}

// DisableGuard disables one guard; an empty name enables all of them.
func (w *Wallet) DisableGuard(guard string) {
	w.chargePerTry, w.noEscrowTimeout, w.noPrecedence =
		guard == WithoutDeduplication, guard == WithoutEscrowTimeout, guard == WithoutPrecedence
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{Accounts: map[string]*Account{}, Wallets: map[string]*walletRecord{}}
}

// DecodeLedger decodes the ledger from the replicated state. Empty input is an empty ledger.
func DecodeLedger(raw json.RawMessage) (*Ledger, error) {
	ledger := NewLedger()
	if len(raw) == 0 {
		return ledger, nil
	}
	if err := json.Unmarshal(raw, ledger); err != nil {
		return nil, err
	}
	if ledger.Accounts == nil || ledger.Wallets == nil {
		return nil, errs.New("burst credit ledger has no accounts or no wallets")
	}
	maps.DeleteFunc(ledger.Accounts, func(_ string, account *Account) bool { return account == nil })
	maps.DeleteFunc(ledger.Wallets, func(_ string, wallet *walletRecord) bool { return wallet == nil })
	return ledger, nil
}

// Encode encodes the ledger for the replicated state.
func (l *Ledger) Encode() (json.RawMessage, error) { return json.Marshal(l) }

// Advance advances the ledger's clock: saved tokens expire, old identities are forgotten, grant budgets refill, and the
// escrow of proxies that have been silent for EscrowTimeout is written off.
func (l *Ledger) Advance(elapsed int64, terms map[string]Terms) {
	if elapsed <= 0 {
		return
	}
	l.Now += elapsed
	for _, tenant := range slices.Sorted(maps.Keys(l.Accounts)) {
		account, tenantTerms := l.Accounts[tenant], terms[tenant]
		if tenantTerms.Retention > 0 {
			for len(account.Lots) > 0 && account.Lots[0].Day*day+day+tenantTerms.Retention < l.Now {
				account.Expired += account.Lots[0].Left
				l.record(account, "expired", "", "", account.Lots[0].Left)
				account.Lots = account.Lots[1:]
			}
		}
		account.GrantBudget = math.Min(tenantTerms.ExtraRate*float64(PrefetchWindow)/float64(second),
			account.GrantBudget+tenantTerms.ExtraRate*float64(elapsed)/float64(second))
	}
	for len(l.Charged) > 0 && l.Charged[0].From+DedupWindow+DedupWindow/dedupSlots < l.Now {
		l.Charged, l.chargedIndex = l.Charged[1:], nil
	}
	for _, node := range slices.Sorted(maps.Keys(l.Wallets)) {
		if wallet := l.Wallets[node]; l.Now-wallet.ReportedAt > EscrowTimeout && wallet.WrittenOff == nil {
			wallet.WrittenOff, wallet.Escrow = wallet.Escrow, nil
			for tenant, tokens := range wallet.WrittenOff {
				l.openAccount(tenant).Spent += tokens
				l.record(l.openAccount(tenant), "written off, its balancer is silent", node, "", tokens)
			}
		}
	}
}

// Earn saves the fraction EarnRatio of the tokens that tenants left unused.
func (l *Ledger) Earn(unused map[string]float64, terms map[string]Terms) {
	for _, tenant := range slices.Sorted(maps.Keys(unused)) {
		tenantTerms := terms[tenant]
		if tenantTerms.EarnRatio <= 0 || unused[tenant] <= 0 {
			continue
		}
		account := l.openAccount(tenant)
		if !account.Frozen {
			account.Earned += l.deposit(account, unused[tenant]*tenantTerms.EarnRatio, tenantTerms.MaxBalance-l.outstanding(tenant))
		}
	}
}

// outstanding returns the tokens of a tenant that are in escrow at proxies.
func (l *Ledger) outstanding(tenant string) (total float64) {
	for _, wallet := range l.Wallets {
		total += wallet.Escrow[tenant]
	}
	return total
}

// refund returns tokens from escrow to the account. The limit does not apply: the tokens were within it when they were
// saved, even if it has been lowered since.
func (l *Ledger) refund(account *Account, tokens float64) { l.deposit(account, tokens, math.Inf(1)) }

// reverseWriteOff refunds the part of a written-off escrow that was not spent.
func (l *Ledger) reverseWriteOff(wallet *walletRecord) {
	for _, tenant := range slices.Sorted(maps.Keys(wallet.WrittenOff)) {
		account := l.openAccount(tenant)
		account.Spent -= wallet.WrittenOff[tenant]
		l.refund(account, wallet.WrittenOff[tenant])
	}
	wallet.WrittenOff = nil
}

// CloseWallet closes the wallet of an incarnation that has ended. It charges effects that may have run and refunds the
// rest.
func (l *Ledger) CloseWallet(node string) {
	wallet := l.Wallets[node]
	if wallet == nil {
		return
	}
	if wallet.WrittenOff != nil {
		wallet.Escrow = map[string]float64{}
		for tenant, tokens := range wallet.WrittenOff {
			l.openAccount(tenant).Spent -= tokens
			wallet.Escrow[tenant] = tokens
		}
		wallet.WrittenOff = nil
	}
	for _, id := range wallet.OpenEffects {
		if l.isCharged(id) || wallet.Escrow[id.Tenant] < 1 {
			continue
		}
		l.markCharged(id)
		account := l.openAccount(id.Tenant)
		wallet.Escrow[id.Tenant]--
		account.Spent++
		l.record(account, "charged, its balancer is lost", node, "", 1)
	}
	for _, tenant := range slices.Sorted(maps.Keys(wallet.Escrow)) {
		l.refund(l.openAccount(tenant), wallet.Escrow[tenant])
	}
	delete(l.Wallets, node)
}

// GrantTokens adds tokens on behalf of an operator. A negative number removes tokens, at most the balance. It returns
// the change.
func (l *Ledger) GrantTokens(tenant string, tokens float64, who, why string) float64 {
	account := l.openAccount(tenant)
	if tokens < 0 {
		tokens = -account.withdraw(math.Min(-tokens, account.Balance()))
		account.Granted += tokens
	} else {
		l.refund(account, tokens)
		account.Granted += tokens
	}
	l.record(account, "granted", who, why, tokens)
	return tokens
}

// SetFrozen freezes an account, so that it neither earns nor grants tokens, or unfreezes it.
func (l *Ledger) SetFrozen(tenant string, frozen bool, who, why string) {
	account := l.openAccount(tenant)
	what := "thawed"
	if account.Frozen = frozen; frozen {
		what = "frozen"
	}
	l.record(account, what, who, why, 0)
}

// Gap returns the discrepancy of an account's sums; it is 0 if the books balance.
func (l *Ledger) Gap(tenant string) float64 {
	account := l.Accounts[tenant]
	if account == nil {
		return 0
	}
	return account.Earned + account.Granted - account.Balance() - l.outstanding(tenant) - account.Spent - account.Expired
}
