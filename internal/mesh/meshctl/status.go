package meshctl

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/controller"
)

// printSource is the line that says whose word it is and how old.
func (c *client) printSource(s *controller.Status) {
	state := "confirmed by a majority " + ago(s.Confirmed)
	if !s.Current {
		state = "NOT CURRENT: no majority has confirmed it since " + ago(s.Confirmed)
	}
	fmt.Fprintf(c.out, "as %s sees it, %s\n", s.Node, state)
}

func ago(d time.Duration) string {
	switch {
	case d < 0:
		return "never"
	case d > 24*time.Hour:
		return "never since its start"
	}
	return d.Round(time.Millisecond).String() + " ago"
}

func (c *client) showStatuses() error {
	if err := c.requireAddresses(); err != nil {
		return err
	}
	type line struct {
		At     string
		Fault  string             `json:",omitempty"`
		Status *controller.Status `json:",omitempty"`
	}
	var lines []line
	answered := false
	for _, address := range c.seeds {
		status, err := c.statusOf(address)
		entry := line{At: address, Status: status}
		if err != nil {
			entry.Fault, entry.Status = err.Error(), nil
		}
		answered = answered || err == nil
		lines = append(lines, entry)
	}
	var err error
	if c.json {
		err = c.printJSON(lines)
	} else {
		err = c.printTable("ADDRESS\tNODE\tUP\tCURRENT\tINDEX\tVERSION\tCORE\tBALANCERS", func(w io.Writer) {
			for _, entry := range lines {
				if status := entry.Status; status != nil {
					fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\t%d\t%d\t%d\n", entry.At, status.Node, status.Up.Round(time.Second), status.Current, status.State.Index, status.State.Edition, len(status.State.Core), len(status.Nodes))
				} else {
					fmt.Fprintf(w, "%s\tno answer: %s\n", entry.At, entry.Fault)
				}
			}
		})
	}
	if err == nil && !answered {
		err = Error.New("nobody answered")
	}
	return err
}

func (c *client) showCore(s *controller.Status) error {
	if c.json {
		return c.printJSON(s.Core)
	}
	c.printSource(s)
	return c.printTable("ADDRESS\tZONE\tDISK\tVOTES\tINDEX\tHEARD", func(w io.Writer) {
		for _, m := range s.Core {
			fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\t%s\n", m.At, m.Zone, m.ID, m.Votes, m.Index, ago(m.Quiet))
		}
	})
}

func (c *client) showNodes(s *controller.Status) error {
	if c.json {
		return c.printJSON(s.Nodes)
	}
	c.printSource(s)
	return c.printTable("NODE\tZONE\tINBOUND\tLEASE\tHEARD\tUPSTREAM", func(w io.Writer) {
		for _, n := range s.Nodes {
			lease, upstream := "holds", "none"
			if n.Lost {
				lease = "ran out"
			}
			if n.Upstream != nil {
				upstream = n.Upstream.ID
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", n.Name, n.District, n.Inbound, lease, ago(time.Duration(n.Age)), upstream)
		}
	})
}

func (c *client) showUpstreams(s *controller.Status) error {
	nodes := slices.Clone(s.Nodes)
	nodes = slices.DeleteFunc(nodes, func(n nodeRecord) bool { return n.Upstream == nil })
	slices.SortFunc(nodes, func(a, b nodeRecord) int {
		return strings.Compare(a.Upstream.Service+" "+a.Name, b.Upstream.Service+" "+b.Name)
	})
	if c.json {
		return c.printJSON(nodes)
	}
	c.printSource(s)
	return c.printTable("SERVICE\tUPSTREAM\tVERSION\tZONE\tNODE\tSLOTS\tSTATE\tHEARD", func(w io.Writer) {
		for _, n := range nodes {
			state := "accepting"
			switch {
			case n.Upstream.Closing:
				state = "closing"
			case n.Upstream.Cold > 0:
				state = "cold for " + time.Duration(n.Upstream.Cold).Round(time.Millisecond).String()
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\n", n.Upstream.Service, n.Upstream.ID, n.Upstream.Edition, n.District, n.Name, n.Upstream.Capacity, state, ago(time.Duration(n.Age)))
		}
	})
}

func (c *client) showDuties(s *controller.Status) error {
	if c.json {
		return c.printJSON(map[string]any{"Coordinator": s.State.Coordinator, "Epoch": s.State.Epoch, "Members": s.State.Members})
	}
	c.printSource(s)
	return c.printTable("DUTY\tDONE BY\tREIGN", func(w io.Writer) {
		fmt.Fprintf(w, "bank of quotas\t%s\t%d\n", s.State.Coordinator.At, s.State.Epoch)
		fmt.Fprintf(w, "core kept whole, census of %d balancers, settling\tfirst of the core in order\t\n", s.State.Members)
	})
}

// showQuotas asks whoever keeps the bank.
func (c *client) showQuotas() error {
	status, err := c.queryStatus()
	if err != nil {
		return err
	}
	if coordinator := status.State.Coordinator.At; coordinator != "" && status.At != coordinator {
		if status, err = c.statusOf(coordinator); err != nil {
			return Error.New("%s, which keeps the bank: %v", coordinator, err)
		}
	}
	if c.json {
		return c.printJSON(status.Quotas)
	}
	c.printSource(status)
	return c.printTable("TENANT\tRATE/S\tSURGE\tPOOL\tOUT\tRESERVE\tBOUND A WINDOW", func(w io.Writer) {
		for _, a := range status.Quotas {
			fmt.Fprintf(w, "%s\t%g\t%g\t%.1f\t%.1f\t%.1f\t%.0f\n", a.Tenant, a.Rate, a.Surge, a.Pool, a.Out, a.Reserve, a.Bound)
		}
	})
}

// watch tells what changes.
func (c *client) watch(duration time.Duration) error {
	if err := c.requireAddresses(); err != nil {
		return err
	}
	last := map[string]string{}
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	for deadline := time.Now().Add(duration); time.Now().Before(deadline); <-ticker.C {
		now := map[string]string{}
		status, err := c.queryStatus()
		if err != nil {
			now["core"] = "nobody answers: " + err.Error()
		} else {
			now["core"], now["version"], now["coordinator"] = coreText(status.State), strconv.FormatInt(status.State.Edition, 10), status.State.Coordinator.At
			for _, n := range status.Nodes {
				text := "lease holds"
				if n.Lost {
					text = "lease ran out"
				}
				if n.Upstream != nil {
					text += ", " + n.Upstream.ID
					if n.Upstream.Closing {
						text += " closing"
					}
				}
				now["node "+n.Name] = text
			}
		}
		var names []string
		for name := range now {
			names = append(names, name)
		}
		for name := range last {
			if _, is := now[name]; !is && err == nil {
				now[name] = "gone"
				names = append(names, name)
			}
		}
		slices.Sort(names)
		for _, name := range names {
			if now[name] != last[name] {
				fmt.Fprintf(c.out, "%s %s: %s\n", time.Now().Format("15:04:05.000"), name, now[name])
			}
			if last[name] = now[name]; now[name] == "gone" {
				delete(last, name)
			}
		}
	}
	return nil
}

func coreText(s *consensus.State) string {
	var all []string
	for _, m := range s.Core {
		all = append(all, m.At)
	}
	return strings.Join(all, " ")
}
