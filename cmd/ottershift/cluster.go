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

// asked sends staff's word to a balancer and gives its lines.
func asked(address, call string, within time.Duration) ([]string, error) {
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
		Use: "owners [ADDRESS]", Short: "Say who owns which duty of the cluster, by which token", Args: cobra.MaximumNArgs(1),
		Long: `ADDRESS is a balancer's "ops", 127.0.0.1:9901 if it isn't said. Tells what that balancer knows of duties: owner, token, how
long it may act itself without a renewal, the highest token it has seen, and how many acts of old owners it has refused.`,
		RunE: func(c *cobra.Command, args []string) error {
			lines, err := asked(seat(args), "CLUSTER owners", 2*time.Second)
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
				fmt.Fprintf(out, "%s\t%s\t%d\t%s\t%d\n", d.Duty, dash(d.Owner), d.Token, left, d.HighestToken)
			}
			out.Flush()
			fmt.Fprintf(c.OutOrStdout(), "as known by %s, session %d; %d acts of old owners refused here, %d sessions ended\n", o.Name, o.Session, o.Refused, o.EndedSessions)
			return nil
		},
	}
	c.Flags().BoolVar(&raw, "json", false, "a line of JSON instead of a table")
	return c
}

func seat(args []string) string {
	if len(args) > 0 {
		return args[0]
	}
	return "127.0.0.1:9901"
}

func clusterCommand() *cobra.Command {
	var address string
	c := &cobra.Command{
		Use: "cluster", Short: "Look after the keepers of a cluster",
		Long: `status, replace, transfer and snapshot ask a running balancer at its "ops"; restore and recover work on a directory that no
process uses. docs/owners.md tells what to do when a keeper, a majority or a disk is lost.`,
	}
	c.PersistentFlags().StringVar(&address, "ops", "127.0.0.1:9901", "second address of a balancer of the cluster")
	status := &cobra.Command{
		Use: "status", Short: "Say how each keeper stands", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			lines, err := asked(address, "CLUSTER status", 10*time.Second)
			if err != nil {
				return err
			}
			out := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(out, "KEEPER\tGROUP\tROLE\tLEADER\tTERM\tCOMMIT\tAPPLIED\tSNAPSHOT\tAGE\tSEATS\tFAULT")
			well := 0
			for _, line := range lines {
				var k cluster.VoterStatus
				if err := json.Unmarshal([]byte(line), &k); err != nil {
					return err
				}
				var seats []string
				for _, s := range k.Voters {
					text := s.String()
					if s.Learner {
						text += " (learner)"
					}
					seats = append(seats, text)
				}
				if k.Fault == "" {
					well++
				}
				fmt.Fprintf(out, "%s\t%d\t%s\t%s\t%d\t%d\t%d\t%d\t%dms\t%s\t%s\n", k.Name, k.Group, dash(k.Role), dash(k.Leader), k.Term, k.Commit, k.Applied, k.Snapshot, k.StalenessMS,
					dash(strings.Join(seats, " ")), k.Fault)
				for _, lost := range k.Recovered {
					fmt.Fprintf(out, "\t%s\n", lost)
				}
			}
			out.Flush()
			if well <= len(lines)/2 {
				return fmt.Errorf("%d of %d keepers answer: no majority", well, len(lines))
			}
			return nil
		},
	}
	order := func(use, short string) *cobra.Command {
		return &cobra.Command{
			Use: use + " NAME", Short: short, Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				_, err := asked(address, "CLUSTER "+use+" "+args[0], 10*time.Second)
				if err == nil {
					fmt.Fprintln(c.OutOrStdout(), "under way; \"ottershift cluster status\" shows it")
				}
				return err
			},
		}
	}
	snapshot := &cobra.Command{
		Use: "snapshot FILE", Short: "Keep all that is agreed in a file", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			lines, err := asked(address, "CLUSTER snapshot", 10*time.Second)
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
		Use: "restore FILE DIRECTORY NAME", Short: "Make keeper NAME's directory out of a snapshot, as a group of its own", Args: cobra.ExactArgs(3),
		Long: `DIRECTORY is the keeper's "directory" in [cluster]; it must not hold a group yet. The other keepers are started with empty
directories and taken in one by one with "cluster replace".`,
		RunE: func(c *cobra.Command, args []string) error {
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			return keep.Restore(keep.GroupDir(args[1], 0), args[2], raw, nil)
		},
	}
	var yes bool
	recovering := &cobra.Command{
		Use: "recover DIRECTORY", Short: "Go on from one keeper's directory when the majority is lost for good", Args: cobra.ExactArgs(1),
		Long: `Names what may be lost, and does it only with --yes. It is marked for good in what is agreed. The process of that keeper must not
run. The other keepers' old directories must never be started again; they are taken in anew with "cluster replace".`,
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
				return errors.New("nothing was done; --yes does it")
			}
			return keep.Recover(dir, f, "the majority was lost")
		},
	}
	recovering.Flags().BoolVar(&yes, "yes", false, "accept what may be lost")
	c.AddCommand(status, order("replace", "Make the new directory of keeper NAME a keeper in the place of its old one"),
		order("transfer", "Have keeper NAME lead"), snapshot, restore, recovering)
	return c
}
