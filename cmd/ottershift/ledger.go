package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"ottershift/internal/cluster"
	"ottershift/internal/cluster/keep"
	"ottershift/internal/cluster/ledger"
)

// ledgerFrom is where the ledger is read: at a running balancer, or in a directory that no process uses.
type ledgerFrom struct {
	address, directory string
	raw                bool
}

func (f *ledgerFrom) find(q ledger.Query, take func(ledger.Entry) error) error {
	if f.directory == "" {
		text, err := json.Marshal(q)
		if err != nil {
			return err
		}
		lines, err := asked(f.address, "CLUSTER ledger find "+string(text), 30*time.Second)
		if err != nil {
			return err
		}
		for _, line := range lines {
			var e ledger.Entry
			if err := json.Unmarshal([]byte(line), &e); err != nil {
				return fmt.Errorf("the balancer tells %q: %w", line, err)
			}
			if err := take(e); err != nil {
				return err
			}
		}
		return nil
	}
	dirs, err := filepath.Glob(filepath.Join(f.directory, "group-*"))
	if err != nil || len(dirs) == 0 {
		return errors.Join(err, fmt.Errorf("%s is no keeper's directory: it holds no group", f.directory))
	}
	for _, dir := range dirs {
		book := ledger.NewStateMachine(ledger.Guards{Fence: true}, 0)
		if _, err := keep.InspectDir(dir, map[byte]keep.Part{ledger.StateMachineID: book}); err != nil {
			return fmt.Errorf("%s: %w", dir, err)
		}
		if err := ledger.ForEach(q, func(q *ledger.Query) (ledger.Page, error) { return book.Query(q), nil }, take); err != nil {
			return err
		}
	}
	return nil
}

// show writes entries as a table or as lines of JSON, and tells how many there were.
func (f *ledgerFrom) show(to io.Writer, q ledger.Query) (n int, err error) {
	say, out := json.NewEncoder(to), tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	if !f.raw {
		fmt.Fprintln(out, "KEY\tSTATE\tPOOL\tCUSTOMER\tTARIFF\tGROUP\tSENT TO\tBALANCER\tREMEMBERED\tLEFT\tID\tAS WRITTEN")
	}
	err = f.find(q, func(e ledger.Entry) error {
		n++
		if f.raw {
			return say.Encode(e)
		}
		by := "-"
		if e.Member != "" {
			by = fmt.Sprintf("%s/%d", e.Member, e.Epoch)
		}
		ms := func(n int64) string {
			return (time.Duration(n) * time.Millisecond).Round(100 * time.Millisecond).String()
		}
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", e.Key, e.State, e.Pool, dash(e.Customer), e.Tariff, dash(e.Group), dash(e.Upstream), by, ms(e.AgeMS), ms(e.RemainingMS),
			dash(e.RequestID), dash(e.ClientKey))
		return nil
	})
	out.Flush()
	return n, err
}

func ledgerCommand() *cobra.Command {
	from := &ledgerFrom{}
	c := &cobra.Command{
		Use: "ledger", Short: "Say what is remembered of transactions that must not run twice",
		Long: `Asks a running balancer at its "ops", or reads a keeper's directory that no process uses (--directory), each entry that is there,
agreed on or not. States: open (claimed, its end is not known yet), answered (an upstream answered), unknown (it may have run). What provably
never ran is not remembered. docs/ledger.md tells what each means for a client.`,
	}
	c.PersistentFlags().StringVar(&from.address, "ops", "127.0.0.1:9901", "second address of a balancer of the cluster")
	c.PersistentFlags().StringVar(&from.directory, "directory", "", "a keeper's directory instead, that no process uses")
	c.PersistentFlags().BoolVar(&from.raw, "json", false, "lines of JSON instead of a table")

	show := &cobra.Command{
		Use: "show TEXT", Short: "Show one key: its sum, the key as its client wrote it (the first 32 bytes count), or an id", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var queries []ledger.Query
			if k, ok := ledger.ParseKey(args[0]); ok {
				queries = append(queries, ledger.Query{Kind: "look", Key: k[:]})
			}
			short := ledger.Truncate(args[0])
			queries = append(queries, ledger.Query{Kind: "find", ClientKeyPrefix: short}, ledger.Query{Kind: "find", RequestID: short})
			for _, q := range queries {
				var found []ledger.Entry
				if err := from.find(q, func(e ledger.Entry) error { found = append(found, e); return nil }); err != nil {
					return err
				}
				if len(found) > 0 {
					_, err := from.show(c.OutOrStdout(), q)
					return err
				}
			}
			return fmt.Errorf("nothing is remembered of %q", args[0])
		},
	}

	var q ledger.Query
	var younger, older time.Duration
	find := &cobra.Command{
		Use: "find", Short: "List what fits", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			q.Kind, q.MaxAge, q.MinAge = "find", int64(younger), int64(older)
			if q.State != "" && q.State != ledger.StateOpen && q.State != ledger.StateAnswered && q.State != ledger.StateUnknown {
				return fmt.Errorf("--state %q is none of open, answered, unknown", q.State)
			}
			n, err := from.show(c.OutOrStdout(), q)
			if err == nil && !from.raw {
				fmt.Fprintln(c.OutOrStdout(), count(n, "key"))
			}
			return err
		},
	}
	f := find.Flags()
	f.StringVar(&q.Pool, "pool", "", "of this pool")
	f.StringVar(&q.Customer, "customer", "", "of this customer")
	f.StringVar(&q.Tariff, "tariff", "", "of this tariff")
	f.StringVar(&q.Group, "group", "", "bound to these upstreams: ZONE/CELL, or ZONE")
	f.StringVar(&q.Upstream, "upstream", "", "sent to this upstream first; pushes after it went to the same group")
	f.StringVar(&q.Member, "balancer", "", "in the hands of this balancer")
	f.StringVar(&q.State, "state", "", "open, answered or unknown")
	f.StringVar(&q.RequestID, "id", "", "with this X-Txn, of which the first 32 bytes count")
	f.DurationVar(&younger, "younger", 0, "remembered for less than this")
	f.DurationVar(&older, "older", 0, "remembered for at least this")
	f.IntVar(&q.Limit, "most", 0, "so many at most, 0 for all")

	open := &cobra.Command{
		Use: "open", Short: "List what is in somebody's hands", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := from.show(c.OutOrStdout(), ledger.Query{Kind: "find", State: ledger.StateOpen})
			return err
		},
	}
	export := &cobra.Command{
		Use: "export", Short: "Write all of it, a line of JSON for each key", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			all := *from
			all.raw = true
			_, err := all.show(c.OutOrStdout(), ledger.Query{Kind: "find"})
			return err
		},
	}
	verify := &cobra.Command{
		Use: "verify [DIRECTORY...]", Short: "Hold all copies against one another", Args: cobra.ArbitraryArgs,
		Long: `Of a running cluster: the keepers' sums after the same entries, and where these differ each record. Of directories of keepers that no
process uses: their records; a copy that is behind the others lacks what they agreed on without it. Exits with 1 if anything differs.`,
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) > 0 {
				return verifyDirectories(c.OutOrStdout(), args)
			}
			lines, err := asked(from.address, "CLUSTER ledger verify", 30*time.Second)
			if err != nil {
				return err
			}
			wrong := false
			for _, line := range lines {
				var v cluster.Verification
				if err := json.Unmarshal([]byte(line), &v); err != nil {
					return err
				}
				fmt.Fprintf(c.OutOrStdout(), "group %d: copies compared after %s, up to entry %d; they differed after %d\n", v.Group, count(v.Compared, "command"), v.Entry, v.Mismatches)
				if len(v.Missing) > 0 {
					fmt.Fprintf(c.OutOrStdout(), "group %d: not asked, or without an answer: %s\n", v.Group, strings.Join(v.Missing, ", "))
				}
				for _, d := range v.Differences {
					fmt.Fprintln(c.OutOrStdout(), d)
				}
				wrong = wrong || v.Mismatches > 0 || v.Compared == 0
			}
			if wrong {
				return errSaid
			}
			return nil
		},
	}
	c.AddCommand(show, find, open, verify, export)
	return c
}

// verifyDirectories compares what keepers' directories hold.
func verifyDirectories(to io.Writer, dirs []string) error {
	copies := map[string][]ledger.Entry{}
	for _, dir := range dirs {
		if _, err := os.Stat(dir); err != nil {
			return err
		}
		copies[dir] = []ledger.Entry{}
		from := &ledgerFrom{directory: dir}
		if err := from.find(ledger.Query{Kind: "find"}, func(e ledger.Entry) error { copies[dir] = append(copies[dir], e); return nil }); err != nil {
			return err
		}
		fmt.Fprintf(to, "%s: %s\n", dir, count(len(copies[dir]), "key"))
	}
	lines := ledger.DiffCopies(copies)
	for _, line := range lines {
		fmt.Fprintln(to, line)
	}
	if len(lines) > 0 {
		return errSaid
	}
	return nil
}
