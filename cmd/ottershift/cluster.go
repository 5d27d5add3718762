package main

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"ottershift/internal/cluster"
	"ottershift/internal/cluster/keep"
	"ottershift/internal/ops"
)

// callOps sends an operator's call to a balancer's ops address and returns the lines of the answer.
func callOps(address, call string, within time.Duration) ([]string, error) {
	text, ok, err := ops.Call(address, call, within)
	if err != nil {
		return nil, err
	}
	if !ok {
		return nil, errors.New(strings.TrimSpace(strings.TrimPrefix(text, "FAILURE ")))
	}
	var lines []string
	in := bufio.NewScanner(strings.NewReader(text))
	in.Buffer(nil, len(text)+1)
	for in.Scan() && in.Text() != "EOT" {
		lines = append(lines, in.Text())
	}
	return lines, nil
}

func ownersCommand() *cobra.Command {
	var raw bool
	c := &cobra.Command{
		Use: "owners [ADDRESS]", Short: "Show the owner and fencing token of each duty", Args: cobra.MaximumNArgs(1),
		Long: `ADDRESS is a balancer's "ops" address, 127.0.0.1:9901 by default. Prints what that balancer knows of each duty: owner,
token, how long the balancer itself may act without a renewal, the highest token seen, and how many acts of former
owners it has refused.`,
		RunE: func(c *cobra.Command, args []string) error {
			lines, err := callOps(opsAddress(args), "CLUSTER owners", 2*time.Second)
			if err != nil {
				return err
			}
			if raw {
				fmt.Fprintln(c.OutOrStdout(), strings.Join(lines, "\n"))
				return nil
			}
			var o cluster.DutyReport
			if len(lines) == 0 || json.Unmarshal([]byte(lines[0]), &o) != nil {
				return errors.New("no answer")
			}
			out := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(out, "DUTY\tOWNER\tTOKEN\tMAY ACT FOR\tHIGHEST SEEN")
			for _, d := range o.Duties {
				left := "-"
				if d.Owned {
					left = (time.Duration(d.RemainingMS) * time.Millisecond).String()
				}
				fmt.Fprintf(out, "%s\t%s\t%d\t%s\t%d\n", d.Duty, orDash(d.Owner), d.Token, left, d.HighestToken)
			}
			out.Flush()
			fmt.Fprintf(c.OutOrStdout(), "as known by %s, session %d; %d acts of old owners refused here, %d sessions ended\n", o.Name, o.Session, o.Refused, o.EndedSessions)
			return nil
		},
	}
	c.Flags().BoolVar(&raw, "json", false, "print a line of JSON instead of a table")
	return c
}

func opsAddress(args []string) string {
	if len(args) > 0 {
		return args[0]
	}
	return "127.0.0.1:9901"
}

func clusterCommand() *cobra.Command {
	var address string
	c := &cobra.Command{
		Use: "cluster", Short: "Manage the keepers of a cluster",
		Long: `status, replace, transfer and snapshot call a running balancer at its "ops" address; restore and recover work on a
directory that no process uses. docs/owners.md describes what to do when a keeper, a majority or a disk is lost.`,
	}
	c.PersistentFlags().StringVar(&address, "ops", "127.0.0.1:9901", "ops address of a balancer of the cluster")
	status := &cobra.Command{
		Use: "status", Short: "Show the state of each keeper", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			lines, err := callOps(address, "CLUSTER status", 10*time.Second)
			if err != nil {
				return err
			}
			out := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(out, "KEEPER\tGROUP\tROLE\tLEADER\tTERM\tCOMMIT\tAPPLIED\tSNAPSHOT\tAGE\tSEATS\tFAULT")
			healthy := 0
			for _, line := range lines {
				var voter cluster.VoterStatus
				if err := json.Unmarshal([]byte(line), &voter); err != nil {
					return err
				}
				var seats []string
				for _, s := range voter.Voters {
					text := s.String()
					if s.Learner {
						text += " (learner)"
					}
					seats = append(seats, text)
				}
				if voter.Fault == "" {
					healthy++
				}
				fmt.Fprintf(out, "%s\t%d\t%s\t%s\t%d\t%d\t%d\t%d\t%dms\t%s\t%s\n", voter.Name, voter.Group, orDash(voter.Role), orDash(voter.Leader), voter.Term, voter.Commit, voter.Applied, voter.Snapshot, voter.StalenessMS,
					orDash(strings.Join(seats, " ")), voter.Fault)
				for _, loss := range voter.Recovered {
					fmt.Fprintf(out, "\t%s\n", loss)
				}
			}
			out.Flush()
			if healthy <= len(lines)/2 {
				return fmt.Errorf("%d of %d keepers answer: no majority", healthy, len(lines))
			}
			return nil
		},
	}
	voterCommand := func(use, short string) *cobra.Command {
		return &cobra.Command{
			Use: use + " NAME", Short: short, Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				_, err := callOps(address, "CLUSTER "+use+" "+args[0], 10*time.Second)
				if err == nil {
					fmt.Fprintln(c.OutOrStdout(), "under way; \"ottershift cluster status\" shows it")
				}
				return err
			},
		}
	}
	snapshot := &cobra.Command{
		Use: "snapshot FILE", Short: "Write a snapshot of the replicated state to a file", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			lines, err := callOps(address, "CLUSTER snapshot", 10*time.Second)
			if err != nil {
				return err
			}
			if len(lines) == 0 {
				return errors.New("no answer")
			}
			raw, err := base64.StdEncoding.DecodeString(lines[0])
			if err != nil {
				return err
			}
			return os.WriteFile(args[0], raw, 0o600)
		},
	}
	restore := &cobra.Command{
		Use: "restore FILE DIRECTORY NAME", Short: "Create keeper NAME's directory from a snapshot, as a new group", Args: cobra.ExactArgs(3),
		Long: `DIRECTORY is the keeper's "directory" in [cluster]; it must not hold a group yet. Start the other keepers with empty
directories and add them one by one with "cluster replace".`,
		RunE: func(c *cobra.Command, args []string) error {
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			return keep.Restore(keep.GroupDir(args[1], 0), args[2], raw, nil)
		},
	}
	var yes bool
	recovery := &cobra.Command{
		Use: "recover DIRECTORY", Short: "Recover from one keeper's directory after the permanent loss of the majority", Args: cobra.ExactArgs(1),
		Long: `Lists what may be lost; acts only with --yes. The recovery is recorded permanently in the replicated state. The process
of that keeper must not be running. The old directories of the other keepers must never be used again; add those
keepers with "cluster replace" and new directories.`,
		RunE: func(c *cobra.Command, args []string) error {
			dir := keep.GroupDir(args[0], 0)
			f, err := keep.InspectDir(dir, nil)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s holds up to entry %d of term %d, seats %v. What may be lost:\n", f.Name, f.LastIndex, f.Term, f.Voters)
			for _, line := range f.PotentialLosses() {
				fmt.Fprintln(c.OutOrStdout(), "- "+line)
			}
			if !yes {
				return errors.New("nothing was changed; pass --yes to recover")
			}
			return keep.Recover(dir, f, "the majority was lost")
		},
	}
	recovery.Flags().BoolVar(&yes, "yes", false, "accept the possible losses")
	c.AddCommand(status, voterCommand("replace", "Replace keeper NAME's old directory with its new one"),
		voterCommand("transfer", "Transfer leadership to keeper NAME"), snapshot, restore, recovery)
	return c
}
