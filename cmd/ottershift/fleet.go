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
	var o fleet.Options
	var asJSON bool
	var page string
	var rows int
	c := &cobra.Command{
		Use: "fleet DIR", Short: "Count across the logs of many balancers what they did together", Args: cobra.ExactArgs(1),
		Long: `Reads all files of a folder, each the log of one balancer (key=value text or JSON), and prints what was lost by second and
why, how many did the same in the same second, how many held an upstream aside at once and for how long, how lists
spread, and who lost the most. Lines that can't be read are told on standard error and left out (docs/fleet.md).`,
		RunE: func(c *cobra.Command, args []string) error {
			if rows < 1 || o.Step < 0 || o.From < 0 || o.To < 0 {
				return errors.New("--rows is at least 1, --every, --from and --to are not negative")
			}
			if o.To > 0 && o.To <= o.From {
				return errors.New("--to is not after --from")
			}
			progress, end := bar(c, "reading "+args[0])
			logs, err := fleet.Read(args[0], progress)
			end()
			if err != nil {
				return err
			}
			count, err := logs.Summarize(o)
			if err != nil {
				return err
			}
			for _, f := range count.ParseErrors {
				fmt.Fprintln(c.ErrOrStderr(), f)
			}
			if more := count.UnreadLines - len(count.ParseErrors); more > 0 {
				fmt.Fprintf(c.ErrOrStderr(), "and %d more lines like these\n", more)
			}
			if page != "" {
				out, err := os.Create(page)
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
	c.Flags().DurationVar(&o.Step, "every", time.Second, "what a row by time stands for, a second at least")
	c.Flags().DurationVar(&o.From, "from", 0, "leave out what was before, counted from the first line")
	c.Flags().DurationVar(&o.To, "to", 0, "leave out what was after, counted from the first line")
	c.Flags().IntVar(&rows, "rows", 40, "rows of a table that are shown")
	c.Flags().BoolVar(&asJSON, "json", false, "print all of it as JSON")
	c.Flags().StringVar(&page, "html", "", "write one page with pictures to this file as well")
	return c
}

// bar draws how far something has come, where somebody looks.
func bar(c *cobra.Command, what string) (progress func(done float64), end func()) {
	if about, err := os.Stderr.Stat(); err != nil || about.Mode()&os.ModeCharDevice == 0 {
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
