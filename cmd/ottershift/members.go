package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"ottershift/internal/cluster/member"
	"ottershift/internal/ops"
)

func membersCommand() *cobra.Command {
	var within, every time.Duration
	var raw, watch, all bool
	c := &cobra.Command{
		Use: "members [ADDRESS]", Short: "List the cluster members as seen by one process or by all", Args: cobra.MaximumNArgs(1),
		Long: `ADDRESS is a balancer's "ops" address, 127.0.0.1:9901 by default. Its view of the other members may be out of date: each
line shows the age of the last message. With --all, also queries each live member and prints where the views differ.
Exits with 1 if the balancer does not answer, is in no cluster or has been superseded, or if views differ.`,
		RunE: func(c *cobra.Command, args []string) error {
			address := "127.0.0.1:9901"
			if len(args) > 0 {
				address = args[0]
			}
			for {
				same, err := printMembers(c.OutOrStdout(), address, within, raw, all)
				if !watch {
					if err == nil && !same {
						err = errReported
					}
					return err
				}
				if err != nil {
					fmt.Fprintln(c.ErrOrStderr(), err)
				}
				select {
				case <-time.After(every):
				case <-c.Context().Done():
					return nil
				}
			}
		},
	}
	c.Flags().DurationVar(&within, "within", 2*time.Second, "how long to wait for the answer")
	c.Flags().BoolVar(&raw, "json", false, "print a line of JSON per view instead of tables")
	c.Flags().BoolVar(&all, "all", false, "show the views of all live members and their differences")
	c.Flags().BoolVar(&watch, "watch", false, "repeat until interrupted")
	c.Flags().DurationVar(&every, "every", time.Second, "interval of --watch")
	return c
}

// fetchViews fetches the membership view of a process and, if all is set, those of the other members.
func fetchViews(address string, within time.Duration, all bool) (found []member.View, err error) {
	call := "MEMBERS"
	if all {
		call = "MEMBERS ALL"
	}
	text, ok, err := ops.Call(address, call, within)
	if err != nil {
		return nil, err
	}
	if !ok {
		return nil, errors.New(strings.TrimSpace(strings.TrimPrefix(text, "FAILURE ")))
	}
	lines := bufio.NewScanner(strings.NewReader(text))
	lines.Buffer(nil, len(text)+1)
	for lines.Scan() {
		if lines.Text() == "EOT" {
			break
		}
		var v member.View
		if err := json.Unmarshal(lines.Bytes(), &v); err != nil {
			return nil, err
		}
		found = append(found, v)
	}
	return found, nil
}

// printMembers prints the views; same reports that no views differ and that the process has not been superseded.
func printMembers(w io.Writer, address string, within time.Duration, raw, all bool) (same bool, err error) {
	views, err := fetchViews(address, within, all)
	if err != nil {
		return false, err
	}
	if len(views) == 0 {
		return false, errors.New("no answer")
	}
	differences := member.CompareViews(views)
	if raw {
		encoder := json.NewEncoder(w)
		for _, v := range views {
			encoder.Encode(v)
		}
		return len(differences) == 0 && views[0].SupersededBy == "", nil
	}
	v := views[0]
	fmt.Fprintf(w, "cluster %s as seen by %s\n", v.Cluster, v.Self)
	if v.SupersededBy != "" {
		fmt.Fprintf(w, "this run is over: %s came after it, and it takes no part any more\n", v.SupersededBy)
	}
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "NAME\tEPOCH\tSTATE\tSINCE\tLAST WORD\tZONE\tADDRESS\tOPEN\tRATE/S\tBUILD\tOFFERS")
	ms := func(n int64) string {
		return (time.Duration(n) * time.Millisecond).Round(100 * time.Millisecond).String()
	}
	for _, m := range v.Members {
		state := m.State
		if m.Draining && state == member.Alive.String() {
			state = "leaving"
		}
		lastHeard := ms(m.LastHeardMillis)
		if m.Self {
			lastHeard = "itself"
		}
		fmt.Fprintf(out, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%d\t%.1f\t%s\t%s\n", m.Name, m.Epoch, state, ms(m.StateMillis), lastHeard, orDash(m.Zone), m.Address, m.OpenTransactions,
			m.Rate, orDash(m.Build), orDash(strings.Join(m.Pools, ",")))
	}
	out.Flush()
	if all {
		answered := slices.DeleteFunc(slices.Clone(views), func(v member.View) bool { return v.Error != "" })
		fmt.Fprintf(w, "%d views of %d members asked\n", len(answered), len(views))
		for _, line := range differences {
			fmt.Fprintln(w, line)
		}
		if len(differences) == 0 {
			fmt.Fprintln(w, "all views are the same")
		}
	}
	return len(differences) == 0 && v.SupersededBy == "", nil
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
