package meshctl

import (
	"context"
	"fmt"
	"io"
	"time"

	"ottershift/internal/mesh/burstcredit"
	"ottershift/internal/mesh/controller"
	"ottershift/internal/mesh/rpc"
	"ottershift/internal/mesh/settings"
)

// creditAccounts returns all tenants' burst credit as decided by the core.
func (c *client) creditAccounts() ([]burstcredit.AccountStatus, *controller.Status, error) {
	status, err := c.queryStatus()
	if err != nil {
		return nil, nil, err
	}
	ledger, err := burstcredit.DecodeLedger(status.State.Credit)
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	return ledger.Status(), status, nil
}

// showCredit prints the burst credit of one tenant, or of all if tenant is empty.
func (c *client) showCredit(tenant string) error {
	accounts, status, err := c.creditAccounts()
	if err != nil {
		return err
	}
	shown := accounts[:0]
	for _, a := range accounts {
		if tenant == "" || a.Tenant == tenant {
			shown = append(shown, a)
		}
	}
	if tenant != "" && len(shown) == 0 {
		return &exitError{Error.New("tenant %q has no account", tenant), Refused}
	}
	if c.json {
		return c.printJSON(shown)
	}
	c.printSource(status)
	return c.printTable("TENANT\tBALANCE\tOUT\tEARNED\tGRANTED\tSPENT\tEXPIRED\tGAP\tSTATE", func(w io.Writer) {
		for _, a := range shown {
			state := "open"
			if a.Frozen {
				state = "frozen"
			}
			fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f\t%.1f\t%.3g\t%s\n", a.Tenant, a.Balance, a.Outstanding, a.Earned, a.Granted, a.Spent, a.Expired, a.Gap, state)
		}
	})
}

// showCreditHistory prints the last entries of an account. Their times are those of the ledger, whose clock runs only
// while a coordinator keeps it.
func (c *client) showCreditHistory(tenant string) error {
	accounts, status, err := c.creditAccounts()
	if err != nil {
		return err
	}
	for _, account := range accounts {
		if account.Tenant != tenant {
			continue
		}
		if c.json {
			return c.printJSON(account.History)
		}
		c.printSource(status)
		return c.printTable("AT\tWHAT\tTOKENS\tWHO\tWHY", func(w io.Writer) {
			for _, entry := range account.History {
				fmt.Fprintf(w, "%s\t%s\t%.1f\t%s\t%s\n", time.Duration(entry.At).Round(time.Second), entry.What, entry.Tokens, entry.Who, entry.Why)
			}
		})
	}
	return &exitError{Error.New("tenant %q has no account", tenant), Refused}
}

// orderCredit sends an operator's order on a burst credit account to a controller. It is not retried: a grant whose
// outcome is unknown could take effect twice.
func (c *client) orderCredit(order *controller.Order) error {
	account := &burstcredit.AccountStatus{}
	if err := c.sendOrder(rpc.PathCreditOrder, order, account, "check the account's history before you repeat the order"); err != nil {
		return err
	}
	_, err := fmt.Fprintf(c.out, "%s: balance %.1f, out %.1f, spent %.0f\n", account.Tenant, account.Balance, account.Outstanding, account.Spent)
	return err
}

// sendOrder sends an order to one controller, once. advice is added to the error, for an order whose outcome is
// unknown.
func (c *client) sendOrder(path string, order, response any, advice string) error {
	if err := c.requireAddresses(); err != nil {
		return err
	}
	if c.internalPort == 0 {
		return &exitError{Error.New("unknown inner port: use --inner PORT, or a settings file for --core"), Usage}
	}
	rpcClient := rpc.NewClient(nil)
	defer rpcClient.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*c.timeout)
	defer cancel()
	if err := rpcClient.Call(ctx, settings.InternalAddressOf(settings.Host(c.seeds[0]), c.internalPort), path, order, response); err != nil {
		return &exitError{Error.New("%v; %s", err, advice), OutcomeUnknown}
	}
	return nil
}
