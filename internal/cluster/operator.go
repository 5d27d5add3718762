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

const operatorTimeout = 8 * time.Second // limit for one operator command

// DutyReport describes the session and the duties of a member.
type DutyReport struct {
	Name          string             `json:"name"`
	Session       uint64             `json:"session,omitempty"` // epoch of the open session, 0 if there is none
	Duties        []owner.DutyStatus `json:"duties"`
	Refused       int64              `json:"refused"` // actions of former owners that were refused here
	EndedSessions int64              `json:"ended"`   // sessions that this member has ended
}

// VoterStatus is the status of one voter in one group.
type VoterStatus struct {
	Name  string `json:"name"`
	Group int    `json:"group"`
	keep.Status
	Fault string `json:"fault,omitempty"` // why the status is unknown
}

// runLedgerCommand runs an operator command on the ledger: find JSON, verify or stand.
func (c *Cluster) runLedgerCommand(to io.Writer, words []string) error {
	access := c.ledger
	if access == nil || len(words) == 0 {
		return errors.New("this process has no ledger: its configuration has no [cluster.ledger] table")
	}
	ctx, cancel := context.WithTimeout(access.ctx, operatorTimeout)
	defer cancel()
	encoder := json.NewEncoder(to)
	switch strings.ToLower(words[0]) {
	case "find":
		var query ledger.Query
		if len(words) < 2 || json.Unmarshal([]byte(strings.Join(words[1:], " ")), &query) != nil {
			return errors.New("find requires a query in JSON")
		}
		if query.Kind != "look" {
			query.Kind = "find"
		}
		for group := range access.groups {
			if err := access.find(ctx, "", group, query, func(e ledger.Entry) error { return encoder.Encode(e) }); err != nil {
				return err
			}
		}
		return nil
	case "verify":
		return access.verify(ctx, func(v Verification) error { return encoder.Encode(v) })
	case "stand":
		for group := range access.groups {
			page, err := access.query(ctx, "", group, &ledger.Query{Kind: "stand"})
			if err != nil {
				return err
			}
			if err := encoder.Encode(map[string]any{"group": group, "keys": page.Keys, "open": page.OpenClaims, "results": page.ResultCounts}); err != nil {
				return err
			}
		}
		return nil
	}
	return fmt.Errorf("unknown ledger command %q; the commands are find QUERY, verify, stand", words[0])
}

// dutyReport returns the session and the duties of this process.
func (c *Cluster) dutyReport() DutyReport {
	cs := c.consensus
	report := DutyReport{Name: c.options.Settings.Self}
	report.Session, _ = cs.firstClient.Session()
	report.Duties, report.Refused = cs.owners.Statuses()
	cs.mu.Lock()
	defer cs.mu.Unlock()
	report.EndedSessions = cs.endedSessions
	return report
}

// RunCommand runs an operator command: owners, status, replace NAME, transfer NAME, snapshot or ledger.
func (c *Cluster) RunCommand(to io.Writer, words []string) error {
	cs := c.consensus
	if strings.EqualFold(words[0], "ledger") {
		return c.runLedgerCommand(to, words[1:])
	}
	if cs == nil {
		return errors.New("this cluster has no voters: its [cluster] table lists none")
	}
	ctx, cancel := context.WithTimeout(cs.ctx, operatorTimeout)
	defer cancel()
	encoder := json.NewEncoder(to)
	command, name := strings.ToLower(words[0]), ""
	if len(words) > 1 {
		name = words[1]
	}
	switch command {
	case "owners":
		return encoder.Encode(c.dutyReport())
	case "status":
		for group, client := range cs.clients {
			for _, voter := range c.options.Settings.Voters {
				callCtx, cancelCall := context.WithTimeout(ctx, time.Second)
				s, err := client.Status(callCtx, voter)
				cancelCall()
				entry := VoterStatus{Name: voter, Group: group, Status: s}
				if err != nil {
					entry.Fault = err.Error()
				}
				if err := encoder.Encode(entry); err != nil {
					return err
				}
			}
		}
		return nil
	case "replace", "transfer":
		if name == "" {
			return fmt.Errorf("%s requires the name of a voter", command)
		}
		for _, client := range cs.clients { // a voter has a replica in every group
			if _, err := client.Admin(ctx, keep.AdminRequest{Action: command, Name: name}); err != nil {
				return err
			}
		}
		return nil
	case "snapshot":
		raw, err := cs.firstClient.Admin(ctx, keep.AdminRequest{Action: command})
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(to, base64.StdEncoding.EncodeToString(raw))
		return err
	}
	return fmt.Errorf("unknown command %q; the commands are owners, status, replace NAME, transfer NAME, snapshot, ledger", words[0])
}
