package main

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"ottershift/internal/plan"
	"ottershift/internal/routes"
	faults "ottershift/internal/settings"
)

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE", Short: "Validate a configuration", Args: cobra.ExactArgs(1),
		Long: `Reports every fault of a file with its line, its key and the expected value, and remarks on valid but noteworthy
settings. Exits with 1 if there is a fault.`,
		RunE: func(c *cobra.Command, args []string) error {
			p, problems := plan.Read(args[0])
			n, m := printFaults(c.OutOrStdout(), problems)
			if p == nil {
				fmt.Fprintf(c.OutOrStdout(), "%s: %s, %s\n", args[0], count(n, "fault"), count(m, "remark"))
				return errReported
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: in order: %s, %s, %s, %s\n", args[0], count(len(p.Listeners), "listener"),
				count(len(p.Pools), "pool"), count(len(p.Routes), "route"), count(m, "remark"))
			if s := p.Cluster; s != nil {
				n := max(len(s.Voters), len(s.Join)+1)
				for _, b := range s.Bounds(n) {
					fmt.Fprintf(c.OutOrStdout(), "bound: %s\n", b)
				}
				for _, b := range p.ClaimRates() {
					fmt.Fprintf(c.OutOrStdout(), "bound: %s\n", b)
				}
			}
			return nil
		},
	}
}

// printFaults writes faults and remarks, one per line, and counts them.
func printFaults(w io.Writer, problems []faults.Fault) (faulty, remarks int) {
	for _, f := range problems {
		if f.Warning {
			remarks++
			fmt.Fprintf(w, "remark: %v\n", f)
		} else {
			faulty++
			fmt.Fprintf(w, "fault: %v\n", f)
		}
	}
	return faulty, remarks
}

func count(n int, what string) string {
	if n != 1 {
		what += "s"
	}
	return fmt.Sprintf("%d %s", n, what)
}

func routesCommand() *cobra.Command {
	var headers []string
	var listener string
	c := &cobra.Command{
		Use: "routes FILE METHOD URL", Short: "Explain which route matches a transaction", Args: cobra.ExactArgs(3),
		Long: `Prints the route and pool selected for a transaction, the other routes that match its host and path, and why they were
not selected. Exits with 1 if no route matches.`,
		Example: `  ottershift routes examples/three-pools.toml GET http://album.example.org/album/2026 -H 'X-Lane: view'`,
		RunE: func(c *cobra.Command, args []string) error {
			p, problems := plan.Read(args[0])
			if p == nil {
				printFaults(c.ErrOrStderr(), problems)
				return errReported
			}
			target, err := url.Parse(args[2])
			if err != nil {
				return err
			}
			host, ok := routes.NormalizeHost(target.Host)
			if !ok {
				return fmt.Errorf("invalid host %q: the balancer would answer 400", target.Host)
			}
			path, ok := routes.NormalizePath(target.EscapedPath())
			if !ok {
				return fmt.Errorf("invalid path %q: the balancer would answer 400", target.EscapedPath())
			}
			header := http.Header{}
			for _, h := range headers {
				name, value, ok := strings.Cut(h, ":")
				if !ok {
					return fmt.Errorf("-H %q is not a header; the format is 'Name: value'", h)
				}
				header.Add(name, strings.TrimSpace(value))
			}
			if listener == "" && len(p.Listeners) == 1 {
				listener = p.Listeners[0].Name
			}
			return printRouteMatches(c.OutOrStdout(), p, &routes.Request{
				Listener: listener, Host: host, Path: path, Method: args[1],
				Header: func(name string) (string, bool) {
					v := header[http.CanonicalHeaderKey(name)]
					return strings.Join(v, ""), len(v) == 1
				},
			})
		},
	}
	c.Flags().StringArrayVarP(&headers, "header", "H", nil, "header of the transaction, 'Name: value'")
	c.Flags().StringVar(&listener, "listener", "", "listener of the transaction, if there are several")
	return c
}

func printRouteMatches(w io.Writer, p *plan.Plan, req *routes.Request) error {
	fmt.Fprintf(w, "%s host %q path %q, as they are looked up\n", req.Method, req.Host, req.Path)
	matches := p.Table.Explain(req)
	taken := false
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, m := range matches {
		tariff := m.Route.Tariff
		if tariff == "" {
			tariff = "as it says itself"
		}
		why := m.Reason
		if why == "" {
			why, taken = "TAKES IT", true
		}
		fmt.Fprintf(out, "route %s\tpool %s\ttariff %s\tat %s\t%s\n", m.Route.Name, m.Route.Pool, tariff, m.Location, why)
	}
	out.Flush()
	if !taken {
		fmt.Fprintln(w, "no route takes it: 404")
		return errReported
	}
	return nil
}
