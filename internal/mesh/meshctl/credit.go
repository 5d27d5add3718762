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

// creditAccounts are all tenants' burst credit, as the core has agreed on it.
func (c *client) creditAccounts() ([]burstcredit.AccountStatus, *controller.Status, error) {
	s, err := c.queryStatus()
	if err != nil {
		return nil, nil, err
	}
	b, err := burstcredit.Read(s.State.Credit)
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	return b.Status(), s, nil
}

// showCredit shows accounts, of one tenant where it is named.
func (c *client) showCredit(tenant string) error {
	all, s, err := c.creditAccounts()
	if err != nil {
		return err
	}
	shown := all[:0]
	for _, a := range all {
		if tenant == "" || a.Tenant == tenant {
			shown = append(shown, a)
		}
	}
	if tenant != "" && len(shown) == 0 {
		return &exitError{Error.New("%q has no account", tenant), Refused}
	}
	if c.json {
		return c.printJSON(shown)
	}
	c.printSource(s)
	return c.printTable("TENANT\tBALANCE\tOUT\tEARNED\tGRANTED\tSPENT\tEXPIRED\tGAP\tSTATE", func(w io.Writer) {
		for _, a := range shown {
			state := "open"
			if a.Frozen {
				state = "frozen"
			}
			fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f\t%.1f\t%.3g\t%s\n", a.Tenant, a.Balance, a.Out, a.Earned, a.Granted, a.Spent, a.Expired, a.Gap, state)
		}
	})
}

// showCreditHistory is the last lines of an account; their times are of the book, which runs while somebody keeps it.
func (c *client) showCreditHistory(tenant string) error {
	all, s, err := c.creditAccounts()
	if err != nil {
		return err
	}
	for _, a := range all {
		if a.Tenant != tenant {
			continue
		}
		if c.json {
			return c.printJSON(a.History)
		}
		c.printSource(s)
		return c.printTable("AT\tWHAT\tTOKENS\tWHO\tWHY", func(w io.Writer) {
			for _, e := range a.History {
				fmt.Fprintf(w, "%s\t%s\t%.1f\t%s\t%s\n", time.Duration(e.At).Round(time.Second), e.What, e.Tokens, e.Who, e.Why)
			}
		})
	}
	return &exitError{Error.New("%q has no account", tenant), Refused}
}

// orderCredit has the core carry out an operator's word on an account. Invariant: asked again elsewhere, a grant of which nobody knows
// whether it was agreed would count twice.
func (c *client) orderCredit(order *controller.Order) error {
	account := &burstcredit.AccountStatus{}
	if err := c.sendOrder(rpc.PathCreditOrder, order, account, "look at the account's history before it is ordered again"); err != nil {
		return err
	}
	_, err := fmt.Fprintf(c.out, "%s: balance %.1f, out %.1f, spent %.0f\n", account.Tenant, account.Balance, account.Out, account.Spent)
	return err
}

// have gives one process of the core an order, once; advice is for when nobody knows what came of it.
func (c *client) sendOrder(path string, order, response any, advice string) error {
	if err := c.requireAddresses(); err != nil {
		return err
	}
	if c.internalPort == 0 {
		return &exitError{Error.New("the inner port is not known: --inner PORT, or a settings file for --core"), Usage}
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
