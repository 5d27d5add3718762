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

// printSource prints which controller the status comes from and how old it is.
func (c *client) printSource(status *controller.Status) {
	freshness := "confirmed by a majority " + ago(status.Confirmed)
	if !status.Current {
		freshness = "NOT CURRENT: no majority has confirmed it since " + ago(status.Confirmed)
	}
	fmt.Fprintf(c.out, "as %s sees it, %s\n", status.Node, freshness)
}

// ago returns a text for the time since an event. A negative duration stands for an event that never happened, and one
// of more than a day for one that has not happened since the process started.
func ago(d time.Duration) string {
	switch {
	case d < 0:
		return "never"
	case d > 24*time.Hour:
		return "never since its start"
	}
	return d.Round(time.Millisecond).String() + " ago"
}

// showStatuses prints a line for each controller. It fails if no controller responds.
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
		err = Error.New("no process of the core responded")
	}
	return err
}

// showCore prints the members of the core and the other controllers.
func (c *client) showCore(status *controller.Status) error {
	if c.json {
		return c.printJSON(status.Core)
	}
	c.printSource(status)
	return c.printTable("ADDRESS\tZONE\tDISK\tVOTES\tINDEX\tHEARD", func(w io.Writer) {
		for _, m := range status.Core {
			fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\t%s\n", m.Address, m.Zone, m.ID, m.Votes, m.Index, ago(m.Quiet))
		}
	})
}

// showNodes prints the registered proxies with their leases.
func (c *client) showNodes(status *controller.Status) error {
	if c.json {
		return c.printJSON(status.Nodes)
	}
	c.printSource(status)
	return c.printTable("NODE\tZONE\tINBOUND\tLEASE\tHEARD\tUPSTREAM", func(w io.Writer) {
		for _, n := range status.Nodes {
			lease, upstream := "holds", "none"
			if n.Lost {
				lease = "ran out"
			}
			if n.Upstream != nil {
				upstream = n.Upstream.ID
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", n.Name, n.Zone, n.Inbound, lease, ago(time.Duration(n.Age)), upstream)
		}
	})
}

// showUpstreams prints the registered upstreams by service.
func (c *client) showUpstreams(status *controller.Status) error {
	nodes := slices.Clone(status.Nodes)
	nodes = slices.DeleteFunc(nodes, func(n nodeRecord) bool { return n.Upstream == nil })
	slices.SortFunc(nodes, func(a, b nodeRecord) int {
		return strings.Compare(a.Upstream.Service+" "+a.Name, b.Upstream.Service+" "+b.Name)
	})
	if c.json {
		return c.printJSON(nodes)
	}
	c.printSource(status)
	return c.printTable("SERVICE\tUPSTREAM\tVERSION\tZONE\tNODE\tSLOTS\tSTATE\tHEARD", func(w io.Writer) {
		for _, n := range nodes {
			state := "accepting"
			switch {
			case n.Upstream.Draining:
				state = "closing"
			case n.Upstream.WarmupRemaining > 0:
				state = "cold for " + time.Duration(n.Upstream.WarmupRemaining).Round(time.Millisecond).String()
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\n", n.Upstream.Service, n.Upstream.ID, n.Upstream.Version, n.Zone, n.Name, n.Upstream.Capacity, state, ago(time.Duration(n.Age)))
		}
	})
}

// showDuties prints which controller has which duty.
func (c *client) showDuties(status *controller.Status) error {
	if c.json {
		return c.printJSON(map[string]any{"Coordinator": status.State.Coordinator, "Epoch": status.State.Epoch, "Members": status.State.BalancerCount})
	}
	c.printSource(status)
	return c.printTable("DUTY\tDONE BY\tREIGN", func(w io.Writer) {
		fmt.Fprintf(w, "allotment of quotas\t%s\t%d\n", status.State.Coordinator.Address, status.State.Epoch)
		fmt.Fprintf(w, "core repair, count of %d balancers, credit settlement\tfirst live member of the core\t\n", status.State.BalancerCount)
	})
}

// showQuotas prints the tenants' quotas as the coordinator, which allots them, knows them.
func (c *client) showQuotas() error {
	status, err := c.queryStatus()
	if err != nil {
		return err
	}
	if coordinator := status.State.Coordinator.Address; coordinator != "" && status.At != coordinator {
		if status, err = c.statusOf(coordinator); err != nil {
			return Error.New("coordinator %s: %v", coordinator, err)
		}
	}
	if c.json {
		return c.printJSON(status.Quotas)
	}
	c.printSource(status)
	return c.printTable("TENANT\tRATE/S\tSURGE\tPOOL\tOUT\tRESERVE\tBOUND A WINDOW", func(w io.Writer) {
		for _, a := range status.Quotas {
			fmt.Fprintf(w, "%s\t%g\t%g\t%.1f\t%.1f\t%.1f\t%.0f\n", a.Tenant, a.Rate, a.Burst, a.Pool, a.Outstanding, a.Reserve, a.MaxPerWindow)
		}
	})
}

// watch prints changes of the status until a duration has passed. It polls the controllers every 500 ms.
func (c *client) watch(duration time.Duration) error {
	if err := c.requireAddresses(); err != nil {
		return err
	}
	last := map[string]string{}
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	for deadline := time.Now().Add(duration); time.Now().Before(deadline); <-ticker.C {
		current := map[string]string{}
		status, err := c.queryStatus()
		if err != nil {
			current["core"] = "no process responds: " + err.Error()
		} else {
			current["core"], current["version"], current["coordinator"] = coreText(status.State), strconv.FormatInt(status.State.Edition, 10), status.State.Coordinator.Address
			for _, n := range status.Nodes {
				text := "lease holds"
				if n.Lost {
					text = "lease ran out"
				}
				if n.Upstream != nil {
					text += ", " + n.Upstream.ID
					if n.Upstream.Draining {
						text += " closing"
					}
				}
				current["node "+n.Name] = text
			}
		}
		var names []string
		for name := range current {
			names = append(names, name)
		}
		for name := range last {
			if _, is := current[name]; !is && err == nil {
				current[name] = "gone"
				names = append(names, name)
			}
		}
		slices.Sort(names)
		for _, name := range names {
			if current[name] != last[name] {
				fmt.Fprintf(c.out, "%s %s: %s\n", time.Now().Format("15:04:05.000"), name, current[name])
			}
			if last[name] = current[name]; current[name] == "gone" {
				delete(last, name)
			}
		}
	}
	return nil
}

// coreText returns the addresses of the core's members.
func coreText(state *consensus.State) string {
	var addresses []string
	for _, m := range state.Core {
		addresses = append(addresses, m.Address)
	}
	return strings.Join(addresses, " ")
}
