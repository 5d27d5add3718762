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
		Use: "members [ADDRESS]", Short: "Say who is in the cluster, as seen by one process or by all", Args: cobra.MaximumNArgs(1),
		Long: `ADDRESS is a balancer's "ops", 127.0.0.1:9901 if it isn't said. What it holds of the others is hearsay: each line says
how old the last word is. With --all it asks each living member as well, and says where their views differ. Exits with 0 if it was
told, with 1 if it can't be asked, is in no cluster, is over itself, or views differ.`,
		RunE: func(c *cobra.Command, args []string) error {
			address := "127.0.0.1:9901"
			if len(args) > 0 {
				address = args[0]
			}
			for {
				same, err := members(c.OutOrStdout(), address, within, raw, all)
				if !watch {
					if err == nil && !same {
						err = errSaid
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
	c.Flags().BoolVar(&raw, "json", false, "a line of JSON for each view instead of tables")
	c.Flags().BoolVar(&all, "all", false, "the views of all living members, and where they differ")
	c.Flags().BoolVar(&watch, "watch", false, "ask again and again")
	c.Flags().DurationVar(&every, "every", time.Second, "how often with --watch")
	return c
}

// views asks a process for what it holds of all members, and all others for theirs.
func views(address string, within time.Duration, all bool) (seen []member.View, err error) {
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
		seen = append(seen, v)
	}
	return seen, nil
}

// members shows the views; same tells that none differs and nobody is over.
func members(to io.Writer, address string, within time.Duration, raw, all bool) (same bool, err error) {
	seen, err := views(address, within, all)
	if err != nil {
		return false, err
	}
	if len(seen) == 0 {
		return false, errors.New("no answer")
	}
	differ := member.CompareViews(seen)
	if raw {
		say := json.NewEncoder(to)
		for _, v := range seen {
			say.Encode(v)
		}
		return len(differ) == 0 && seen[0].SupersededBy == "", nil
	}
	v := seen[0]
	fmt.Fprintf(to, "cluster %s as seen by %s\n", v.Cluster, v.Self)
	if v.SupersededBy != "" {
		fmt.Fprintf(to, "this run is over: %s came after it, and it takes no part any more\n", v.SupersededBy)
	}
	out := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "NAME\tEPOCH\tSTATE\tSINCE\tLAST WORD\tZONE\tADDRESS\tOPEN\tRATE/S\tBUILD\tOFFERS")
	ms := func(n int64) string {
		return (time.Duration(n) * time.Millisecond).Round(100 * time.Millisecond).String()
	}
	for _, m := range v.Members {
		state := m.State
		if m.Draining && state == member.Alive.String() {
			state = "leaving"
		}
		word := ms(m.LastHeardMillis)
		if m.Self {
			word = "itself"
		}
		fmt.Fprintf(out, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%d\t%.1f\t%s\t%s\n", m.Name, m.Epoch, state, ms(m.StateMillis), word, dash(m.Zone), m.Address, m.OpenTransactions,
			m.Rate, dash(m.Build), dash(strings.Join(m.Pools, ",")))
	}
	out.Flush()
	if all {
		told := slices.DeleteFunc(slices.Clone(seen), func(v member.View) bool { return v.Error != "" })
		fmt.Fprintf(to, "%d views of %d members asked\n", len(told), len(seen))
		for _, line := range differ {
			fmt.Fprintln(to, line)
		}
		if len(differ) == 0 {
			fmt.Fprintln(to, "all views are the same")
		}
	}
	return len(differ) == 0 && v.SupersededBy == "", nil
}

func dash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
