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

// accounts are all tenants' burst credit, as the core has agreed on it.
func (k *client) accounts() ([]burstcredit.AccountStatus, *controller.Status, error) {
	s, err := k.ask()
	if err != nil {
		return nil, nil, err
	}
	b, err := burstcredit.DecodeLedger(s.State.Credit)
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	return b.Status(), s, nil
}

// credit shows accounts, of one tenant where it is named.
func (k *client) credit(tenant string) error {
	all, s, err := k.accounts()
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
		return &coded{Error.New("%q has no account", tenant), Refused}
	}
	if k.json {
		return k.raw(shown)
	}
	k.seen(s)
	return k.table("TENANT\tBALANCE\tOUT\tEARNED\tGRANTED\tSPENT\tEXPIRED\tGAP\tSTATE", func(w io.Writer) {
		for _, a := range shown {
			state := "open"
			if a.Frozen {
				state = "frozen"
			}
			fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f\t%.1f\t%.3g\t%s\n", a.Tenant, a.Balance, a.Outstanding, a.Earned, a.Granted, a.Spent, a.Expired, a.Gap, state)
		}
	})
}

// history is the last lines of an account; their times are of the book, which runs while somebody keeps it.
func (k *client) history(tenant string) error {
	all, s, err := k.accounts()
	if err != nil {
		return err
	}
	for _, a := range all {
		if a.Tenant != tenant {
			continue
		}
		if k.json {
			return k.raw(a.History)
		}
		k.seen(s)
		return k.table("AT\tWHAT\tTOKENS\tWHO\tWHY", func(w io.Writer) {
			for _, e := range a.History {
				fmt.Fprintf(w, "%s\t%s\t%.1f\t%s\t%s\n", time.Duration(e.At).Round(time.Second), e.What, e.Tokens, e.Who, e.Why)
			}
		})
	}
	return &coded{Error.New("%q has no account", tenant), Refused}
}

// order has the core carry out an operator's word on an account. Invariant: asked again elsewhere, a grant of which nobody knows
// whether it was agreed would count twice.
func (k *client) order(o *controller.Order) error {
	a := &burstcredit.AccountStatus{}
	if err := k.order_(rpc.PathCreditOrder, o, a, "look at the account's history before it is ordered again"); err != nil {
		return err
	}
	_, err := fmt.Fprintf(k.out, "%s: balance %.1f, out %.1f, spent %.0f\n", a.Tenant, a.Balance, a.Outstanding, a.Spent)
	return err
}

// have gives one process of the core an order, once; advice is for when nobody knows what came of it.
func (k *client) order_(path string, order, answer any, advice string) error {
	if err := k.need(); err != nil {
		return err
	}
	if k.inner == 0 {
		return &coded{Error.New("the inner port is not known: --inner PORT, or a settings file for --core"), Usage}
	}
	c := rpc.NewCaller(nil)
	defer c.Close()
	ctx, end := context.WithTimeout(context.Background(), 2*k.wait)
	defer end()
	if err := c.Call(ctx, settings.InnerOf(settings.Host(k.seeds[0]), k.inner), path, order, answer); err != nil {
		return &coded{Error.New("%v; %s", err, advice), Unclear}
	}
	return nil
}
