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
		Use: "lab", Short: "Run experiments with emulated services and evaluate the results",
		Long: `The lab runs experiments (experiments/*.toml) on loopback: emulated upstreams, clients and faults around balancers that
run as separate processes and are judged from outside. docs/lab.md describes how to write an experiment and how to read
an outcome.`,
	}
	c.AddCommand(labRun(), labList(), labPlan(), labCompare(), labReport(), labCeiling(), labRate(), labBalancer(reload))
	return c
}

// labOptions are the options shared by the lab commands.
type labOptions struct {
	short    bool
	runs     int
	seed     uint64
	variants []string
	program  string
	logs     string
}

func (o *labOptions) addFlags(c *cobra.Command) {
	c.Flags().BoolVar(&o.short, "short", false, "run the short form")
	c.Flags().Uint64Var(&o.seed, "seed", 0, "seed to use instead of the file's")
}

// readExperiment reads an experiment and applies the flags. All faults of the file are reported before anything starts.
func (o *labOptions) readExperiment(c *cobra.Command, file string) (*spec.Experiment, error) {
	e, problems := spec.Read(file, o.short)
	if e == nil {
		printFaults(c.ErrOrStderr(), problems)
		return nil, errReported
	}
	if len(o.variants) > 0 {
		for _, v := range o.variants {
			if !slices.Contains(spec.Variants, v) {
				return nil, fmt.Errorf("unknown variant %q; want one of %s", v, strings.Join(spec.Variants, ", "))
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

// play runs one variant once.
func (o *labOptions) play(c *cobra.Command, e *spec.Experiment, program, variant, what string) (*judge.Result, error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	dir, err := os.MkdirTemp("", "ottershift-lab")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	progress, end := progressBar(c, what)
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

// keepLogs copies the balancers' logs and configurations to a folder and writes the lab's actions to the file acts.
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
	var jsonFile, htmlFile string
	var sideBySide bool
	c := &cobra.Command{
		Use: "run FILE", Short: "Run an experiment", Args: cobra.ExactArgs(1),
		Long: `Runs each variant of an experiment and prints a table and, as the last line, the verdict. Exits with 1 unless the
verdict is "held".`,
		RunE: func(c *cobra.Command, args []string) error {
			e, err := o.readExperiment(c, args[0])
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
					if !sideBySide {
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
			if jsonFile != "" {
				if err := out.Save(jsonFile); err != nil {
					return err
				}
			}
			if err := writeHTML(out, htmlFile); err != nil {
				return err
			}
			if out.Verdict != "held" {
				return errReported
			}
			return nil
		},
	}
	o.addFlags(c)
	c.Flags().IntVar(&o.runs, "runs", 1, "number of runs; each uses the next seed and runs the variants in turn")
	c.Flags().StringSliceVar(&o.variants, "variants", nil, "comma-separated variants to use instead of the file's")
	c.Flags().StringVar(&o.program, "program", "", "program of the balancers; this program by default")
	c.Flags().BoolVar(&sideBySide, "side-by-side", false, "run the variants concurrently: faster, but each has fewer resources")
	c.Flags().StringVar(&o.logs, "logs", "", "write the balancers' logs and the lab's actions to this folder")
	c.Flags().StringVar(&jsonFile, "json", "", "write the full outcome to this file")
	c.Flags().StringVar(&htmlFile, "html", "", "write an HTML report to this file")
	return c
}

func labList() *cobra.Command {
	var dir string
	c := &cobra.Command{
		Use: "list", Short: "List the experiments", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			files, err := filepath.Glob(filepath.Join(dir, "*.toml"))
			if err != nil {
				return err
			}
			if len(files) == 0 {
				return fmt.Errorf("no experiments in %s", dir)
			}
			for _, file := range files {
				e, problems := spec.Read(file, false)
				if e == nil {
					printFaults(c.ErrOrStderr(), problems)
					continue
				}
				fmt.Fprintf(c.OutOrStdout(), "%-36s %s (%gs, %s)\n", file, e.Title, float64(e.Length)/1e9, strings.Join(e.Variants, ", "))
			}
			return nil
		},
	}
	c.Flags().StringVar(&dir, "dir", "experiments", "folder of the experiments")
	return c
}

func labPlan() *cobra.Command {
	o := &labOptions{}
	c := &cobra.Command{
		Use: "plan FILE", Short: "Print the load and the faults of an experiment, one per line", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			e, err := o.readExperiment(c, args[0])
			if err != nil {
				return err
			}
			return e.Write(c.OutOrStdout())
		},
	}
	o.addFlags(c)
	return c
}

func labCompare() *cobra.Command {
	o := &labOptions{}
	var file, variant string
	c := &cobra.Command{
		Use: "compare A B", Short: "Compare two saved outcomes or two builds", Args: cobra.ExactArgs(2),
		Long: `A and B are files written by "run --json", whose runs of --variant are compared in pairs; or programs, which run
--experiment in turns, each pair with the same seed. The interval is that of the mean difference of the pairs.`,
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
			e, err := o.readExperiment(c, file)
			if err != nil {
				return err
			}
			var runs [2][]*judge.Result
			seed := e.Seed
			for n := range o.runs {
				e.Seed = seed + uint64(n)
				for i := range 2 {
					k := (i + n) % 2 // the order alternates to cancel out ordering effects
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
	o.addFlags(c)
	c.Flags().StringVar(&file, "experiment", "", "experiment that the programs run")
	c.Flags().StringVar(&variant, "variant", "design", "variant to compare")
	c.Flags().IntVar(&o.runs, "pairs", 5, "number of pairs")
	return c
}

func labReport() *cobra.Command {
	var htmlFile, pictures string
	c := &cobra.Command{
		Use: "report FILE", Short: "Print an outcome written by run --json", Args: cobra.ExactArgs(1),
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
			if err := writeHTML(o, htmlFile); err != nil {
				return err
			}
			o.WriteTable(c.OutOrStdout())
			return nil
		},
	}
	c.Flags().StringVar(&htmlFile, "html", "", "write an HTML report to this file")
	c.Flags().StringVar(&pictures, "pictures", "", "write the charts to this folder")
	return c
}

// writeHTML writes an outcome's HTML report to file; it does nothing if file is empty.
func writeHTML(o *outcome.Outcome, file string) error {
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
		Use: "ceiling", Short: "Measure the load generator against an upstream that answers immediately", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ceiling, err := load.MaxCallRate(span)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "ceiling %.0f calls a second\n", ceiling)
			for _, share := range []float64{0.01, 0.1, 0.5} {
				ownError, err := load.MeasureOwnLatency(ceiling*share, span)
				if err != nil {
					return err
				}
				fmt.Fprintf(c.OutOrStdout(), "at %g%%: %.0f calls a second, own error of latency: half within %s, 99 in 100 within %s, at most %s\n",
					100*share, ownError.Rate, ownError.P50, ownError.P99, ownError.Max)
			}
			return nil
		},
	}
	c.Flags().DurationVar(&span, "for", 5*time.Second, "duration of each measurement")
	return c
}

// labRate measures the maximum throughput of balancers, taking turns.
func labRate() *cobra.Command {
	var span time.Duration
	var clients []int
	var rounds int
	var cores float64
	c := &cobra.Command{
		Use: "rate [PROGRAM...]", Short: "Measure the maximum throughput of balancers with upstreams that answer immediately",
		Long: `Each program is started with the platform's JSON, which every build understands, under a closed-loop load: each client
sends its next request as soon as it has an answer. "straight" measures an upstream without a balancer. The programs
take turns in each round.`,
		RunE: func(c *cobra.Command, programs []string) error {
			if len(programs) == 0 {
				own, err := os.Executable()
				if err != nil {
					return err
				}
				programs = []string{own}
			}
			rates := map[string]map[int][]float64{}
			for round := range rounds {
				for _, name := range append([]string{"straight"}, programs...) {
					program := name
					if name == "straight" {
						program = ""
					}
					if rates[name] == nil {
						rates[name] = map[int][]float64{}
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
						rates[name][n] = append(rates[name][n], t.Rate)
						fmt.Fprintf(c.OutOrStdout(), "round %d %-28s clients=%d rate=%.0f p50=%s p99=%s pushes=%.4f other=%d memory=%.1fMB\n", round+1,
							name, n, t.Rate, t.P50, t.P99, t.Attempts, t.Failed, float64(t.Memory)/(1<<20))
					}
				}
			}
			for _, n := range clients {
				fmt.Fprintf(c.OutOrStdout(), "clients=%d", n)
				first := 0.0
				for i, name := range append([]string{"straight"}, programs...) {
					mean, _ := outcome.Interval(rates[name][n])
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
	c.Flags().DurationVar(&span, "for", 3*time.Second, "duration of each measurement")
	c.Flags().IntSliceVar(&clients, "clients", []int{1, 8, 32, 128, 512}, "numbers of concurrent clients")
	c.Flags().IntVar(&rounds, "rounds", 1, "number of rounds")
	c.Flags().Float64Var(&cores, "cores", 1, "limits.cores of the balancers")
	return c
}

// labBalancer serves with a baseline policy; it exists only for comparisons.
func labBalancer(reload <-chan os.Signal) *cobra.Command {
	var policy, file string
	c := &cobra.Command{
		Use: "balancer", Short: "Serve with a baseline policy, for comparison with the design", Args: cobra.NoArgs, Hidden: true,
		RunE: func(c *cobra.Command, _ []string) error {
			module, err := baseline.NewFactory(policy)
			if err != nil {
				return err
			}
			p, problems := plan.Read(file)
			if p == nil {
				printFaults(os.Stderr, problems)
				return errReported
			}
			log, level := logs.New(io.Discard, "text")
			s, err := process.StartWithEngine(p, log, level, module)
			if err != nil {
				return logStop(slog.New(slog.NewTextHandler(os.Stderr, nil)), err)
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
	c.Flags().StringVar(&file, "config", "", "configuration file, as for serve")
	return c
}
