package burstcredit

import (
	"encoding/json"
	"maps"
	"math"
	"slices"

	"github.com/zeebo/errs"
)

// walletRecord is a balancer as the ledger knows it.
type walletRecord struct {
	Life  string
	Ended []string `json:",omitempty"` // the lives before it, the last few
	Seq   uint64
	At    int64              // of its last report
	Out   map[string]float64 `json:",omitempty"` // tokens in escrow there, by tenant
	Open  []ClaimID          `json:",omitempty"`
	Lost  map[string]float64 `json:",omitempty"` // what it held when it had been silent for Strand: it counts as spent
	Last  *Grant             `json:",omitempty"` // the answer to Seq, for when it was not heard
}

const (
	slots   = 6 // of Window
	history = 40
)

// Ledger is all accounts. Its time runs while somebody keeps it: a core that was away makes nothing expire.
type Ledger struct {
	Now      int64
	Accounts map[string]*Account
	Wallets  map[string]*walletRecord `json:"Tellers"`
	Seen     []slot                   `json:",omitempty"`

	index map[uint64]bool

	// Guards left out, to show that what they guard against is seen without them.
	perTry bool // a settlement is charged whether its identity is known or not
	noEnd  bool // a balancer whose escrow was closed is not told
	alike  bool // calls of services are given what clients' requests are
}

// Names of guards that may be left out, to see that what they guard against comes without them.
const (
	PerTry       = "draw-per-try"
	NoEnd        = "escrow-without-end"
	NoPrecedence = "no-precedence"
)

// Without leaves a guard out.
func (l *Ledger) Without(guard string) {
	l.perTry, l.noEnd, l.alike = guard == PerTry, guard == NoEnd, guard == NoPrecedence
}

// Without leaves a guard out.
func (c *Wallet) Without(guard string) {
	c.perTry, c.noEnd, c.noPrecedence = guard == PerTry, guard == NoEnd, guard == NoPrecedence
}

// NewLedger makes an empty one.
func NewLedger() *Ledger {
	return &Ledger{Accounts: map[string]*Account{}, Wallets: map[string]*walletRecord{}}
}

// Read reads a ledger as the core keeps it; nothing is an empty one.
func Read(raw json.RawMessage) (*Ledger, error) {
	b := NewLedger()
	if len(raw) == 0 {
		return b, nil
	}
	if err := json.Unmarshal(raw, b); err != nil {
		return nil, err
	}
	if b.Accounts == nil || b.Wallets == nil {
		return nil, errs.New("credit: no accounts or no balancers")
	}
	maps.DeleteFunc(b.Accounts, func(_ string, a *Account) bool { return a == nil })
	maps.DeleteFunc(b.Wallets, func(_ string, t *walletRecord) bool { return t == nil })
	return b, nil
}

// Write lays it out.
func (l *Ledger) Write() (json.RawMessage, error) { return json.Marshal(l) }

// Pass lets time go by: what was saved grows old, the window of identities moves, purses of Extra fill, and balancers that have
// been silent for Strand are closed.
func (l *Ledger) Pass(elapsed int64, terms map[string]Terms) {
	if elapsed <= 0 {
		return
	}
	l.Now += elapsed
	for _, tenant := range slices.Sorted(maps.Keys(l.Accounts)) {
		a, t := l.Accounts[tenant], terms[tenant]
		if t.Keep > 0 {
			for len(a.Lots) > 0 && a.Lots[0].Day*day+day+t.Keep < l.Now {
				a.Expired += a.Lots[0].Left
				l.note(a, "expired", "", "", a.Lots[0].Left)
				a.Lots = a.Lots[1:]
			}
		}
		a.Purse = math.Min(t.Extra*float64(Ahead)/float64(s), a.Purse+t.Extra*float64(elapsed)/float64(s))
	}
	for len(l.Seen) > 0 && l.Seen[0].From+Window+Window/slots < l.Now {
		l.Seen, l.index = l.Seen[1:], nil
	}
	for _, node := range slices.Sorted(maps.Keys(l.Wallets)) {
		if t := l.Wallets[node]; l.Now-t.At > Strand && t.Lost == nil {
			t.Lost, t.Out = t.Out, nil
			for tenant, n := range t.Lost {
				l.account(tenant).Spent += n
				l.note(l.account(tenant), "written off, its balancer is silent", node, "", n)
			}
		}
	}
}

// Earn saves a part of what tenants left of their rates.
func (l *Ledger) Earn(unused map[string]float64, terms map[string]Terms) {
	for _, tenant := range slices.Sorted(maps.Keys(unused)) {
		t := terms[tenant]
		if t.Earn <= 0 || unused[tenant] <= 0 {
			continue
		}
		a := l.account(tenant)
		if !a.Frozen {
			a.Earned += l.save(a, unused[tenant]*t.Earn, t.Cap-l.out(tenant))
		}
	}
}

// out is what balancers hold of a tenant's.
func (l *Ledger) out(tenant string) (all float64) {
	for _, t := range l.Wallets {
		all += t.Out[tenant]
	}
	return all
}

// back puts tokens that were out into the account again; whatever the cap is by now, they were in it.
func (l *Ledger) back(a *Account, tokens float64) { l.save(a, tokens, math.Inf(1)) }

// found takes back what counted as spent of a balancer that was silent, and was not.
func (l *Ledger) found(t *walletRecord) {
	for _, tenant := range slices.Sorted(maps.Keys(t.Lost)) {
		a := l.account(tenant)
		a.Spent -= t.Lost[tenant]
		l.back(a, t.Lost[tenant])
	}
	t.Lost = nil
}

// Close ends what a balancer of a life that is over held. Effects that may have run are charged; the rest goes back.
func (l *Ledger) Close(node string) {
	t := l.Wallets[node]
	if t == nil {
		return
	}
	if t.Lost != nil {
		t.Out = map[string]float64{}
		for tenant, n := range t.Lost {
			l.account(tenant).Spent -= n
			t.Out[tenant] = n
		}
		t.Lost = nil
	}
	for _, m := range t.Open {
		if l.known(m) || t.Out[m.Tenant] < 1 {
			continue
		}
		l.learn(m)
		a := l.account(m.Tenant)
		t.Out[m.Tenant]--
		a.Spent++
		l.note(a, "charged, its balancer is lost", node, "", 1)
	}
	for _, tenant := range slices.Sorted(maps.Keys(t.Out)) {
		l.back(l.account(tenant), t.Out[tenant])
	}
	delete(l.Wallets, node)
}

// Grant is an operator's gift, or with less than nothing a taking away of what is there.
func (l *Ledger) Grant(tenant string, tokens float64, who, why string) float64 {
	a := l.account(tenant)
	if tokens < 0 {
		tokens = -a.take(math.Min(-tokens, a.Balance()))
		a.Granted += tokens
	} else {
		l.back(a, tokens)
		a.Granted += tokens
	}
	l.note(a, "granted", who, why, tokens)
	return tokens
}

// Freeze stops what an account earns and gives out, or lets it go on.
func (l *Ledger) Freeze(tenant string, frozen bool, who, why string) {
	a := l.account(tenant)
	what := "thawed"
	if a.Frozen = frozen; frozen {
		what = "frozen"
	}
	l.note(a, what, who, why, 0)
}

// Gap is what an account does not add up to: 0.
func (l *Ledger) Gap(tenant string) float64 {
	a := l.Accounts[tenant]
	if a == nil {
		return 0
	}
	return a.Earned + a.Granted - a.Balance() - l.out(tenant) - a.Spent - a.Expired
}
