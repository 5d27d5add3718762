package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"ottershift/internal/lab/baseline"
	"ottershift/internal/lab/judge"
	"ottershift/internal/lab/load"
	"ottershift/internal/lab/record"
	outcome "ottershift/internal/lab/report"
	"ottershift/internal/lab/run"
	"ottershift/internal/lab/spec"
	"ottershift/internal/logs"
	"ottershift/internal/plan"
	"ottershift/internal/process"
)

func labCommand(reload <-chan os.Signal) *cobra.Command {
	c := &cobra.Command{
		Use: "lab", Short: "Play experiments with emulated services and judge what was seen",
		Long: `The lab plays experiments (experiments/*.toml) on loopback: emulated upstreams, clients and faults around balancers that
are started as processes of their own, judged from outside. docs/lab.md tells how to write one and how to read a outcome.`,
	}
	c.AddCommand(labRun(), labList(), labPlan(), labCompare(), labReport(), labCeiling(), labRate(), labBalancer(reload))
	return c
}

// labOptions are what run and compare have in common.
type labOptions struct {
	short    bool
	runs     int
	seed     uint64
	variants []string
	program  string
	logs     string
}

func (o *labOptions) flags(c *cobra.Command) {
	c.Flags().BoolVar(&o.short, "short", false, "play the short form")
	c.Flags().Uint64Var(&o.seed, "seed", 0, "another seed than the file's")
}

// read takes an experiment as the flags want it; all that is wrong with it is said before anything starts.
func (o *labOptions) read(c *cobra.Command, file string) (*spec.Experiment, error) {
	e, wrong := spec.Read(file, o.short)
	if e == nil {
		tell(c.ErrOrStderr(), wrong)
		return nil, errSaid
	}
	if len(o.variants) > 0 {
		for _, v := range o.variants {
			if !slices.Contains(spec.Variants, v) {
				return nil, fmt.Errorf("%q is none of %s", v, strings.Join(spec.Variants, ", "))
			}
		}
		e.Variants = o.variants
		e.Verdict = slices.DeleteFunc(e.Verdict, func(c spec.Condition) bool {
			missing := func(f spec.Figure) bool { return f.Variant != "" && !slices.Contains(o.variants, f.Variant) }
			return missing(c.Left) || missing(c.Right)
		})
	}
	if o.seed != 0 {
		e.Seed = o.seed
	}
	return e, nil
}

// play plays one variant once.
func (o *labOptions) play(c *cobra.Command, e *spec.Experiment, program, variant, what string) (*judge.Result, error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	dir, err := os.MkdirTemp("", "ottershift-lab")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	progress, end := bar(c, what)
	r, err := run.Play(ctx, e, e.Load(), run.Options{Program: program, Variant: variant, Dir: dir, Progress: progress})
	end()
	if o.logs != "" {
		if kept := keepLogs(dir, filepath.Join(o.logs, fmt.Sprintf("%s-%s-%d", e.Name, variant, e.Seed)), r); kept != nil {
			return nil, kept
		}
	}
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		return nil, errors.New("stopped")
	}
	return judge.Judge(e, r), nil
}

// keepLogs keeps what the balancers logged and were told, and what the lab did.
func keepLogs(from, to string, r *record.Run) error {
	if err := os.MkdirAll(to, 0o755); err != nil {
		return err
	}
	files, err := filepath.Glob(filepath.Join(from, "balancer-*"))
	for _, f := range files {
		text, e := os.ReadFile(f)
		err = errors.Join(err, e, os.WriteFile(filepath.Join(to, filepath.Base(f)), text, 0o644))
	}
	if r != nil {
		var acts strings.Builder
		for _, a := range r.Actions {
			fmt.Fprintf(&acts, "%.3f %s\n", float64(a.At)/1e9, a.What)
		}
		err = errors.Join(err, os.WriteFile(filepath.Join(to, "acts"), []byte(acts.String()), 0o644))
	}
	return err
}

func labRun() *cobra.Command {
	o := &labOptions{}
	var keep, page string
	var beside bool
	c := &cobra.Command{
		Use: "run FILE", Short: "Play an experiment", Args: cobra.ExactArgs(1),
		Long: `Plays each variant of an experiment, prints a table and, as its last line, the verdict. Exits with 1 if it fell short or
nothing can be concluded.`,
		RunE: func(c *cobra.Command, args []string) error {
			e, err := o.read(c, args[0])
			if err != nil {
				return err
			}
			if o.program == "" {
				if o.program, err = os.Executable(); err != nil {
					return err
				}
			}
			out, seed := outcome.New(e), e.Seed
			for n := range o.runs {
				e.Seed = seed + uint64(n)
				results, faults := make([]*judge.Result, len(e.Variants)), make([]error, len(e.Variants))
				var all sync.WaitGroup
				for i, v := range e.Variants {
					all.Go(func() { results[i], faults[i] = o.play(c, e, o.program, v, fmt.Sprintf("%s %s", e.Name, v)) })
					if !beside {
						all.Wait()
					}
				}
				all.Wait()
				if err := errors.Join(faults...); err != nil {
					return err
				}
				for i, r := range results {
					out.Variants[i].Runs = append(out.Variants[i].Runs, r)
				}
			}
			out.Judge(e)
			out.WriteTable(c.OutOrStdout())
			if keep != "" {
				if err := out.Save(keep); err != nil {
					return err
				}
			}
			if err := write(out, page); err != nil {
				return err
			}
			if out.Verdict != "held" {
				return errSaid
			}
			return nil
		},
	}
	o.flags(c)
	c.Flags().IntVar(&o.runs, "runs", 1, "how often, each with the next seed, the variants in turn")
	c.Flags().StringSliceVar(&o.variants, "variants", nil, "others than the file's, separated by commas")
	c.Flags().StringVar(&o.program, "program", "", "the balancers' program, if not this one")
	c.Flags().BoolVar(&beside, "side-by-side", false, "play the variants at once: sooner, and each gets less of the machine")
	c.Flags().StringVar(&o.logs, "logs", "", "keep the balancers' logs and what the lab did in this folder")
	c.Flags().StringVar(&keep, "json", "", "keep all that was seen in this file")
	c.Flags().StringVar(&page, "html", "", "write a report to look at")
	return c
}

func labList() *cobra.Command {
	var dir string
	c := &cobra.Command{
		Use: "list", Short: "Say which experiments there are", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			files, err := filepath.Glob(filepath.Join(dir, "*.toml"))
			if err != nil {
				return err
			}
			if len(files) == 0 {
				return fmt.Errorf("no experiments in %s", dir)
			}
			for _, file := range files {
				e, wrong := spec.Read(file, false)
				if e == nil {
					tell(c.ErrOrStderr(), wrong)
					continue
				}
				fmt.Fprintf(c.OutOrStdout(), "%-36s %s (%gs, %s)\n", file, e.Title, float64(e.Length)/1e9, strings.Join(e.Variants, ", "))
			}
			return nil
		},
	}
	c.Flags().StringVar(&dir, "dir", "experiments", "where they are")
	return c
}

func labPlan() *cobra.Command {
	o := &labOptions{}
	c := &cobra.Command{
		Use: "plan FILE", Short: "Write the load and the faults of an experiment, a line each", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			e, err := o.read(c, args[0])
			if err != nil {
				return err
			}
			return e.Write(c.OutOrStdout())
		},
	}
	o.flags(c)
	return c
}

func labCompare() *cobra.Command {
	o := &labOptions{}
	var file, variant string
	c := &cobra.Command{
		Use: "compare A B", Short: "Set two kept outcomes or two builds side by side", Args: cobra.ExactArgs(2),
		Long: `A and B are files that "run --json" kept, compared by the runs of --variant in pairs; or programs, which play the
experiment of --experiment in turns, pair by pair with the same seed. The interval is that of the mean of the pairs' differences.`,
		RunE: func(c *cobra.Command, args []string) error {
			if file == "" {
				var runs [2][]*judge.Result
				for i, name := range args {
					kept, err := outcome.Load(name)
					if err != nil {
						return err
					}
					at := slices.IndexFunc(kept.Variants, func(v *outcome.Variant) bool { return v.Name == variant })
					if at < 0 {
						return fmt.Errorf("%s has no variant %q", name, variant)
					}
					runs[i] = kept.Variants[at].Runs
				}
				outcome.Compare(c.OutOrStdout(), filepath.Base(args[0]), filepath.Base(args[1]), runs[0], runs[1])
				return nil
			}
			e, err := o.read(c, file)
			if err != nil {
				return err
			}
			var runs [2][]*judge.Result
			seed := e.Seed
			for n := range o.runs {
				e.Seed = seed + uint64(n)
				for i := range 2 {
					k := (i + n) % 2 // who goes first changes
					r, err := o.play(c, e, args[k], variant, fmt.Sprintf("pair %d, %s", n+1, filepath.Base(args[k])))
					if err != nil {
						return err
					}
					if r.Void != "" {
						fmt.Fprintf(c.OutOrStdout(), "pair %d, %s is void: %s\n", n+1, args[k], r.Void)
					}
					runs[k] = append(runs[k], r)
				}
			}
			outcome.Compare(c.OutOrStdout(), args[0], args[1], runs[0], runs[1])
			return nil
		},
	}
	o.flags(c)
	c.Flags().StringVar(&file, "experiment", "", "what programs play")
	c.Flags().StringVar(&variant, "variant", "design", "which variant")
	c.Flags().IntVar(&o.runs, "pairs", 5, "how many")
	return c
}

func labReport() *cobra.Command {
	var page, pictures string
	c := &cobra.Command{
		Use: "report FILE", Short: "Show again what run --json kept", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			o, err := outcome.Load(args[0])
			if err != nil {
				return err
			}
			if pictures != "" {
				if _, err := o.WriteCharts(pictures); err != nil {
					return err
				}
			}
			if err := write(o, page); err != nil {
				return err
			}
			o.WriteTable(c.OutOrStdout())
			return nil
		},
	}
	c.Flags().StringVar(&page, "html", "", "write a report to look at")
	c.Flags().StringVar(&pictures, "pictures", "", "write its pictures into this folder")
	return c
}

// write puts a report into a file, if there is one to write.
func write(o *outcome.Outcome, file string) error {
	if file == "" {
		return nil
	}
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	return errors.Join(o.WriteHTML(f), f.Close())
}

func labCeiling() *cobra.Command {
	var span time.Duration
	c := &cobra.Command{
		Use: "ceiling", Short: "Measure the lab itself, against an upstream that answers at once", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			top, err := load.MaxCallRate(span)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "ceiling %.0f calls a second\n", top)
			for _, share := range []float64{0.01, 0.1, 0.5} {
				own, err := load.MeasureOwnLatency(top*share, span)
				if err != nil {
					return err
				}
				fmt.Fprintf(c.OutOrStdout(), "at %g%%: %.0f calls a second, own error of latency: half within %s, 99 in 100 within %s, at most %s\n",
					100*share, own.Rate, own.P50, own.P99, own.Max)
			}
			return nil
		},
	}
	c.Flags().DurationVar(&span, "for", 5*time.Second, "how long each measurement lasts")
	return c
}

// labRate measures what balancers pass on at most, in turns.
func labRate() *cobra.Command {
	var span time.Duration
	var clients []int
	var rounds int
	var cores float64
	c := &cobra.Command{
		Use: "rate [PROGRAM...]", Short: "Measure what balancers pass on at most, before upstreams that answer at once",
		Long: `Each program is started by the platform's JSON, which every build understands, and asked by clients that ask again as soon
as they are answered; "straight" asks an upstream without a balancer. Programs take turns, round by round.`,
		RunE: func(c *cobra.Command, programs []string) error {
			if len(programs) == 0 {
				own, err := os.Executable()
				if err != nil {
					return err
				}
				programs = []string{own}
			}
			best := map[string]map[int][]float64{}
			for round := range rounds {
				for _, name := range append([]string{"straight"}, programs...) {
					program := name
					if name == "straight" {
						program = ""
					}
					if best[name] == nil {
						best[name] = map[int][]float64{}
					}
					for _, n := range clients {
						dir, err := os.MkdirTemp("", "ottershift-lab")
						if err != nil {
							return err
						}
						rig, err := load.NewRig(program, dir, cores)
						if err != nil {
							return err
						}
						t := rig.RunClosedLoop(n, span)
						rig.Close()
						os.RemoveAll(dir)
						best[name][n] = append(best[name][n], t.Rate)
						fmt.Fprintf(c.OutOrStdout(), "round %d %-28s clients=%d rate=%.0f p50=%s p99=%s pushes=%.4f other=%d memory=%.1fMB\n", round+1,
							name, n, t.Rate, t.P50, t.P99, t.Attempts, t.Failed, float64(t.Memory)/(1<<20))
					}
				}
			}
			for _, n := range clients {
				fmt.Fprintf(c.OutOrStdout(), "clients=%d", n)
				first := 0.0
				for i, name := range append([]string{"straight"}, programs...) {
					mean, _ := outcome.Interval(best[name][n])
					if fmt.Fprintf(c.OutOrStdout(), " %s=%.0f", name, mean); i == 1 {
						first = mean
					} else if i > 1 {
						fmt.Fprintf(c.OutOrStdout(), " (%.2f of the first)", mean/first)
					}
				}
				fmt.Fprintln(c.OutOrStdout())
			}
			return nil
		},
	}
	c.Flags().DurationVar(&span, "for", 3*time.Second, "how long each measurement lasts")
	c.Flags().IntSliceVar(&clients, "clients", []int{1, 8, 32, 128, 512}, "how many ask at once")
	c.Flags().IntVar(&rounds, "rounds", 1, "how often")
	c.Flags().Float64Var(&cores, "cores", 1, "limits.cores of the balancers")
	return c
}

// labBalancer serves with a plain policy, for comparisons only.
func labBalancer(reload <-chan os.Signal) *cobra.Command {
	var policy, file string
	c := &cobra.Command{
		Use: "balancer", Short: "Serve with a plain policy, to compare the design with", Args: cobra.NoArgs, Hidden: true,
		RunE: func(c *cobra.Command, _ []string) error {
			module, err := baseline.NewFactory(policy)
			if err != nil {
				return err
			}
			p, wrong := plan.Read(file)
			if p == nil {
				tell(os.Stderr, wrong)
				return errSaid
			}
			log, level := logs.New(io.Discard, "text")
			s, err := process.StartWithEngine(p, log, level, module)
			if err != nil {
				return stopped(slog.New(slog.NewTextHandler(os.Stderr, nil)), err)
			}
			stop := make(chan os.Signal, 1)
			signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
			select {
			case err := <-s.ListenerErrors():
				return err
			case <-stop:
				s.Drain()
			}
			return nil
		},
	}
	c.Flags().StringVar(&policy, "policy", "random", "which")
	c.Flags().StringVar(&file, "config", "", "as for serve")
	return c
}
