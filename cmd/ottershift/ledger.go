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

// ledgerSource is where ledger entries are read from: a running balancer, or a voter's directory that no process uses.
type ledgerSource struct {
	address, directory string
	raw                bool
}

func (s *ledgerSource) forEach(q ledger.Query, fn func(ledger.Entry) error) error {
	if s.directory == "" {
		text, err := json.Marshal(q)
		if err != nil {
			return err
		}
		lines, err := callOps(s.address, "CLUSTER ledger find "+string(text), 30*time.Second)
		if err != nil {
			return err
		}
		for _, line := range lines {
			var e ledger.Entry
			if err := json.Unmarshal([]byte(line), &e); err != nil {
				return fmt.Errorf("invalid entry %q from the balancer: %w", line, err)
			}
			if err := fn(e); err != nil {
				return err
			}
		}
		return nil
	}
	dirs, err := filepath.Glob(filepath.Join(s.directory, "group-*"))
	if err != nil || len(dirs) == 0 {
		return errors.Join(err, fmt.Errorf("%s is not a keeper's directory: it holds no group", s.directory))
	}
	for _, dir := range dirs {
		machine := ledger.NewStateMachine(ledger.Guards{Fence: true}, 0)
		if _, err := keep.InspectDir(dir, map[byte]keep.Part{ledger.StateMachineID: machine}); err != nil {
			return fmt.Errorf("%s: %w", dir, err)
		}
		if err := ledger.ForEach(q, func(q *ledger.Query) (ledger.Page, error) { return machine.Query(q), nil }, fn); err != nil {
			return err
		}
	}
	return nil
}

// print writes entries as a table or as lines of JSON and returns their number.
func (s *ledgerSource) print(w io.Writer, q ledger.Query) (n int, err error) {
	encoder, out := json.NewEncoder(w), tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if !s.raw {
		fmt.Fprintln(out, "KEY\tSTATE\tPOOL\tCUSTOMER\tTARIFF\tGROUP\tSENT TO\tBALANCER\tREMEMBERED\tLEFT\tID\tAS WRITTEN")
	}
	err = s.forEach(q, func(e ledger.Entry) error {
		n++
		if s.raw {
			return encoder.Encode(e)
		}
		by := "-"
		if e.Member != "" {
			by = fmt.Sprintf("%s/%d", e.Member, e.Epoch)
		}
		ms := func(n int64) string {
			return (time.Duration(n) * time.Millisecond).Round(100 * time.Millisecond).String()
		}
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", e.Key, e.State, e.Pool, orDash(e.Customer), e.Tariff, orDash(e.Group), orDash(e.Upstream), by, ms(e.AgeMS), ms(e.RemainingMS),
			orDash(e.RequestID), orDash(e.ClientKey))
		return nil
	})
	out.Flush()
	return n, err
}

func ledgerCommand() *cobra.Command {
	source := &ledgerSource{}
	c := &cobra.Command{
		Use: "ledger", Short: "Inspect the records of transactions that must not run twice",
		Long: `Queries a running balancer at its "ops" address, or reads a keeper's directory that no process uses (--directory),
including entries that are not committed. States: open (claimed, outcome not known yet), answered (an upstream
answered), unknown (it may have run). Transactions that provably never ran are not recorded. docs/ledger.md describes
what each state means for a client.`,
	}
	c.PersistentFlags().StringVar(&source.address, "ops", "127.0.0.1:9901", "ops address of a balancer of the cluster")
	c.PersistentFlags().StringVar(&source.directory, "directory", "", "read this keeper's directory instead; no process may be using it")
	c.PersistentFlags().BoolVar(&source.raw, "json", false, "print lines of JSON instead of a table")

	show := &cobra.Command{
		Use: "show TEXT", Short: "Show one key, given as its hash, as the client's key or as a request id (first 32 bytes)", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var queries []ledger.Query
			if k, ok := ledger.ParseKey(args[0]); ok {
				queries = append(queries, ledger.Query{Kind: "look", Key: k[:]})
			}
			short := ledger.Truncate(args[0])
			queries = append(queries, ledger.Query{Kind: "find", ClientKeyPrefix: short}, ledger.Query{Kind: "find", RequestID: short})
			for _, q := range queries {
				var found []ledger.Entry
				if err := source.forEach(q, func(e ledger.Entry) error { found = append(found, e); return nil }); err != nil {
					return err
				}
				if len(found) > 0 {
					_, err := source.print(c.OutOrStdout(), q)
					return err
				}
			}
			return fmt.Errorf("no entry found for %q", args[0])
		},
	}

	var q ledger.Query
	var maxAge, minAge time.Duration
	find := &cobra.Command{
		Use: "find", Short: "List matching entries", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			q.Kind, q.MaxAge, q.MinAge = "find", int64(maxAge), int64(minAge)
			if q.State != "" && q.State != ledger.StateOpen && q.State != ledger.StateAnswered && q.State != ledger.StateUnknown {
				return fmt.Errorf("--state %q must be open, answered or unknown", q.State)
			}
			n, err := source.print(c.OutOrStdout(), q)
			if err == nil && !source.raw {
				fmt.Fprintln(c.OutOrStdout(), count(n, "key"))
			}
			return err
		},
	}
	f := find.Flags()
	f.StringVar(&q.Pool, "pool", "", "only this pool")
	f.StringVar(&q.Customer, "customer", "", "only this customer")
	f.StringVar(&q.Tariff, "tariff", "", "only this tariff")
	f.StringVar(&q.Group, "group", "", "only entries bound to this upstream group: ZONE/CELL, or ZONE")
	f.StringVar(&q.Upstream, "upstream", "", "only entries whose first attempt went to this upstream; later attempts stay in its group")
	f.StringVar(&q.Member, "balancer", "", "only entries claimed by this balancer")
	f.StringVar(&q.State, "state", "", "only this state: open, answered or unknown")
	f.StringVar(&q.RequestID, "id", "", "only this X-Txn (first 32 bytes)")
	f.DurationVar(&maxAge, "younger", 0, "only entries younger than this")
	f.DurationVar(&minAge, "older", 0, "only entries at least this old")
	f.IntVar(&q.Limit, "most", 0, "maximum number of entries, 0 for all")

	open := &cobra.Command{
		Use: "open", Short: "List the open entries", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := source.print(c.OutOrStdout(), ledger.Query{Kind: "find", State: ledger.StateOpen})
			return err
		},
	}
	export := &cobra.Command{
		Use: "export", Short: "Write all entries, one line of JSON per key", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			all := *source
			all.raw = true
			_, err := all.print(c.OutOrStdout(), ledger.Query{Kind: "find"})
			return err
		},
	}
	verify := &cobra.Command{
		Use: "verify [DIRECTORY...]", Short: "Compare all copies of the ledger", Args: cobra.ArbitraryArgs,
		Long: `On a running cluster, compares the keepers' checksums after the same entries and, where these differ, each record. With
directories of keepers that no process uses, compares their records; a copy that lags behind lacks the entries that
were committed without it. Exits with 1 if anything differs.`,
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) > 0 {
				return verifyDirectories(c.OutOrStdout(), args)
			}
			lines, err := callOps(source.address, "CLUSTER ledger verify", 30*time.Second)
			if err != nil {
				return err
			}
			differs := false
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
				differs = differs || v.Mismatches > 0 || v.Compared == 0
			}
			if differs {
				return errReported
			}
			return nil
		},
	}
	c.AddCommand(show, find, open, verify, export)
	return c
}

// verifyDirectories compares the ledger copies in the directories of voters.
func verifyDirectories(w io.Writer, dirs []string) error {
	copies := map[string][]ledger.Entry{}
	for _, dir := range dirs {
		if _, err := os.Stat(dir); err != nil {
			return err
		}
		copies[dir] = []ledger.Entry{}
		source := &ledgerSource{directory: dir}
		if err := source.forEach(ledger.Query{Kind: "find"}, func(e ledger.Entry) error { copies[dir] = append(copies[dir], e); return nil }); err != nil {
			return err
		}
		fmt.Fprintf(w, "%s: %s\n", dir, count(len(copies[dir]), "key"))
	}
	differences := ledger.DiffCopies(copies)
	for _, line := range differences {
		fmt.Fprintln(w, line)
	}
	if len(differences) > 0 {
		return errReported
	}
	return nil
}
