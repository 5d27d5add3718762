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
		Use: "check FILE", Short: "Say all that is wrong with a configuration", Args: cobra.ExactArgs(1),
		Long: `Names every fault of a file with its line, its key and what would be right, and remarks on what is no fault but
worth knowing. Exits with 1 if there is a fault.`,
		RunE: func(c *cobra.Command, args []string) error {
			p, wrong := plan.Read(args[0])
			n, m := tell(c.OutOrStdout(), wrong)
			if p == nil {
				fmt.Fprintf(c.OutOrStdout(), "%s: %s, %s\n", args[0], count(n, "fault"), count(m, "remark"))
				return errSaid
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

// tell writes faults, a line each.
func tell(w io.Writer, all []faults.Fault) (faulty, remarks int) {
	for _, f := range all {
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
		Use: "routes FILE METHOD URL", Short: "Say which route takes a transaction, and why", Args: cobra.ExactArgs(3),
		Long: `Says which route and pool take a transaction, which other routes its host and path fit, and why those lost. Exits
with 1 if none takes it.`,
		Example: `  ottershift routes examples/three-pools.toml GET http://album.example.org/album/2026 -H 'X-Lane: view'`,
		RunE: func(c *cobra.Command, args []string) error {
			p, wrong := plan.Read(args[0])
			if p == nil {
				tell(c.ErrOrStderr(), wrong)
				return errSaid
			}
			to, err := url.Parse(args[2])
			if err != nil {
				return err
			}
			host, ok := routes.NormalizeHost(to.Host)
			if !ok {
				return fmt.Errorf("the host %q makes no sense: it would be answered 400", to.Host)
			}
			path, ok := routes.NormalizePath(to.EscapedPath())
			if !ok {
				return fmt.Errorf("the path %q makes no sense: it would be answered 400", to.EscapedPath())
			}
			said := http.Header{}
			for _, h := range headers {
				name, value, ok := strings.Cut(h, ":")
				if !ok {
					return fmt.Errorf("-H %q is no header; write it as 'Name: value'", h)
				}
				said.Add(name, strings.TrimSpace(value))
			}
			if listener == "" && len(p.Listeners) == 1 {
				listener = p.Listeners[0].Name
			}
			return explain(c.OutOrStdout(), p, &routes.Request{
				Listener: listener, Host: host, Path: path, Method: args[1],
				Header: func(name string) (string, bool) {
					v := said[http.CanonicalHeaderKey(name)]
					return strings.Join(v, ""), len(v) == 1
				},
			})
		},
	}
	c.Flags().StringArrayVarP(&headers, "header", "H", nil, "a header of the transaction, 'Name: value'")
	c.Flags().StringVar(&listener, "listener", "", "the listener that it comes to, where there are several")
	return c
}

func explain(w io.Writer, p *plan.Plan, q *routes.Request) error {
	fmt.Fprintf(w, "%s host %q path %q, as they are looked up\n", q.Method, q.Host, q.Path)
	all := p.Table.Explain(q)
	taken := false
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, m := range all {
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
		return errSaid
	}
	return nil
}
