package cluster

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"ottershift/internal/cluster/keep"
	"ottershift/internal/cluster/ledger"
	"ottershift/internal/cluster/owner"
)

const ordered = 8 * time.Second // for an order of staff's

// Owners is what a member tells of duties.
type Owners struct {
	Name    string             `json:"name"`
	Session uint64             `json:"session,omitempty"` // epoch known to the keepers, 0 for none
	Duties  []owner.DutyStatus `json:"duties"`
	Refused int64              `json:"refused"` // acts of old owners that were refused here
	Ended   int64              `json:"ended"`   // sessions that this member has ended
}

// Keeper is how one keeper stands.
type Keeper struct {
	Name  string `json:"name"`
	Group int    `json:"group"`
	keep.Status
	Fault string `json:"fault,omitempty"`
}

// staffLedger tells of the ledger: find JSON, verify, stand.
func (c *Cluster) staffLedger(to io.Writer, words []string) error {
	x := c.claims
	if x == nil || len(words) == 0 {
		return errors.New("this process keeps no ledger: its configuration has no [cluster.ledger]")
	}
	ctx, end := context.WithTimeout(x.ctx, ordered)
	defer end()
	say := json.NewEncoder(to)
	switch strings.ToLower(words[0]) {
	case "find":
		var q ledger.Query
		if len(words) < 2 || json.Unmarshal([]byte(strings.Join(words[1:], " ")), &q) != nil {
			return errors.New("find what? write a query as JSON behind it")
		}
		if q.Kind != "look" {
			q.Kind = "find"
		}
		for group := range x.groups {
			if err := x.find(ctx, "", group, q, func(e ledger.Entry) error { return say.Encode(e) }); err != nil {
				return err
			}
		}
		return nil
	case "verify":
		return x.verify(ctx, func(v Verified) error { return say.Encode(v) })
	case "stand":
		for group := range x.groups {
			p, err := x.ask(ctx, "", group, &ledger.Query{Kind: "stand"})
			if err != nil {
				return err
			}
			if err := say.Encode(map[string]any{"group": group, "keys": p.Keys, "open": p.OpenClaims, "results": p.ResultCounts}); err != nil {
				return err
			}
		}
		return nil
	}
	return fmt.Errorf("no call %q of the ledger; there are find QUERY, verify, stand", words[0])
}

func (c *Cluster) owners() Owners {
	a := c.agreed
	o := Owners{Name: c.o.Settings.Self}
	o.Session, _ = a.client.Session()
	o.Duties, o.Refused = a.owners.Statuses()
	a.mu.Lock()
	defer a.mu.Unlock()
	o.Ended = a.ended
	return o
}

// Staff does what staff asks: owners, status, replace NAME, transfer NAME, snapshot.
func (c *Cluster) Staff(to io.Writer, words []string) error {
	a := c.agreed
	if strings.EqualFold(words[0], "ledger") {
		return c.staffLedger(to, words[1:])
	}
	if a == nil {
		return errors.New("this cluster has no keepers: its [cluster] names no voters")
	}
	ctx, end := context.WithTimeout(a.ctx, ordered)
	defer end()
	say := json.NewEncoder(to)
	call, name := strings.ToLower(words[0]), ""
	if len(words) > 1 {
		name = words[1]
	}
	switch call {
	case "owners":
		return say.Encode(c.owners())
	case "status":
		for n, client := range a.clients {
			for _, v := range c.o.Settings.Voters {
				once, stop := context.WithTimeout(ctx, time.Second)
				s, err := client.Status(once, v)
				stop()
				k := Keeper{Name: v, Group: n, Status: s}
				if err != nil {
					k.Fault = err.Error()
				}
				if err := say.Encode(k); err != nil {
					return err
				}
			}
		}
		return nil
	case "replace", "transfer":
		if name == "" {
			return fmt.Errorf("%s whom? write the keeper's name behind it", call)
		}
		for _, client := range a.clients { // in every group
			if _, err := client.Admin(ctx, keep.AdminRequest{Action: call, Name: name}); err != nil {
				return err
			}
		}
		return nil
	case "snapshot":
		raw, err := a.client.Admin(ctx, keep.AdminRequest{Action: call})
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(to, base64.StdEncoding.EncodeToString(raw))
		return err
	}
	return fmt.Errorf("no call %q; there are owners, status, replace NAME, transfer NAME, snapshot, ledger", words[0])
}
