package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"ottershift/internal/fleet"
)

func fleetCommand() *cobra.Command {
	var options fleet.Options
	var asJSON bool
	var htmlFile string
	var rows int
	c := &cobra.Command{
		Use: "fleet DIR", Short: "Summarize the logs of many balancers", Args: cobra.ExactArgs(1),
		Long: `Reads all files of a folder, each the log of one balancer (key=value text or JSON). Prints failed transactions by second
and cause, how many balancers did the same in the same second, how many had an upstream ejected at once and for how
long, how lists spread, and which balancers lost the most. Lines that cannot be parsed are reported on standard error
and skipped (docs/fleet.md).`,
		RunE: func(c *cobra.Command, args []string) error {
			if rows < 1 || options.Step < 0 || options.From < 0 || options.To < 0 {
				return errors.New("--rows must be at least 1; --every, --from and --to must not be negative")
			}
			if options.To > 0 && options.To <= options.From {
				return errors.New("--to must be after --from")
			}
			progress, end := progressBar(c, "reading "+args[0])
			logs, err := fleet.Read(args[0], progress)
			end()
			if err != nil {
				return err
			}
			count, err := logs.Summarize(options)
			if err != nil {
				return err
			}
			for _, f := range count.ParseErrors {
				fmt.Fprintln(c.ErrOrStderr(), f)
			}
			if more := count.UnreadLines - len(count.ParseErrors); more > 0 {
				fmt.Fprintf(c.ErrOrStderr(), "and %d more lines like these\n", more)
			}
			if htmlFile != "" {
				out, err := os.Create(htmlFile)
				if err != nil {
					return err
				}
				if err := errors.Join(count.HTML(out), out.Close()); err != nil {
					return err
				}
			}
			if asJSON {
				return count.JSON(c.OutOrStdout())
			}
			count.Text(c.OutOrStdout(), rows)
			return nil
		},
	}
	c.Flags().DurationVar(&options.Step, "every", time.Second, "time span of a row, at least one second")
	c.Flags().DurationVar(&options.From, "from", 0, "skip lines before this offset from the first line")
	c.Flags().DurationVar(&options.To, "to", 0, "skip lines after this offset from the first line")
	c.Flags().IntVar(&rows, "rows", 40, "maximum rows per table")
	c.Flags().BoolVar(&asJSON, "json", false, "print the full summary as JSON")
	c.Flags().StringVar(&htmlFile, "html", "", "also write an HTML page with charts to this file")
	return c
}

// progressBar draws a progress bar on standard error if that is a terminal.
func progressBar(c *cobra.Command, what string) (progress func(done float64), end func()) {
	if info, err := os.Stderr.Stat(); err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return func(float64) {}, func() {}
	}
	var mu sync.Mutex
	drawn := -1
	return func(done float64) {
			mu.Lock()
			defer mu.Unlock()
			n := int(done * 40)
			if n <= drawn {
				return
			}
			drawn = n
			fmt.Fprintf(c.ErrOrStderr(), "\r\x1b[K%-28s [%s%s] %3.0f%%", what, strings.Repeat("#", n), strings.Repeat(".", 40-n), 100*done)
		}, func() {
			fmt.Fprint(c.ErrOrStderr(), "\r\x1b[K")
		}
}
