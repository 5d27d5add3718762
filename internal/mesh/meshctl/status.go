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

// seen is the line that says whose word it is and how old.
func (k *client) seen(s *controller.Status) {
	state := "confirmed by a majority " + ago(s.Confirmed)
	if !s.Current {
		state = "NOT CURRENT: no majority has confirmed it since " + ago(s.Confirmed)
	}
	fmt.Fprintf(k.out, "as %s sees it, %s\n", s.Node, state)
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

func (k *client) status() error {
	if err := k.need(); err != nil {
		return err
	}
	type line struct {
		At     string
		Fault  string             `json:",omitempty"`
		Status *controller.Status `json:",omitempty"`
	}
	var all []line
	answered := false
	for _, at := range k.seeds {
		s, err := k.one(at)
		l := line{At: at, Status: s}
		if err != nil {
			l.Fault, l.Status = err.Error(), nil
		}
		answered = answered || err == nil
		all = append(all, l)
	}
	var err error
	if k.json {
		err = k.raw(all)
	} else {
		err = k.table("ADDRESS\tNODE\tUP\tCURRENT\tINDEX\tVERSION\tCORE\tBALANCERS", func(w io.Writer) {
			for _, l := range all {
				if s := l.Status; s != nil {
					fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\t%d\t%d\t%d\n", l.At, s.Node, s.Up.Round(time.Second), s.Current, s.State.Index, s.State.Edition, len(s.State.Core), len(s.Nodes))
				} else {
					fmt.Fprintf(w, "%s\tno answer: %s\n", l.At, l.Fault)
				}
			}
		})
	}
	if err == nil && !answered {
		err = Error.New("nobody answered")
	}
	return err
}

func (k *client) core(s *controller.Status) error {
	if k.json {
		return k.raw(s.Core)
	}
	k.seen(s)
	return k.table("ADDRESS\tZONE\tDISK\tVOTES\tINDEX\tHEARD", func(w io.Writer) {
		for _, m := range s.Core {
			fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\t%s\n", m.Address, m.Zone, m.ID, m.Votes, m.Index, ago(m.Quiet))
		}
	})
}

func (k *client) nodes(s *controller.Status) error {
	if k.json {
		return k.raw(s.Nodes)
	}
	k.seen(s)
	return k.table("NODE\tZONE\tINBOUND\tLEASE\tHEARD\tUPSTREAM", func(w io.Writer) {
		for _, n := range s.Nodes {
			lease, up := "holds", "none"
			if n.Lost {
				lease = "ran out"
			}
			if n.Upstream != nil {
				up = n.Upstream.ID
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", n.Name, n.Zone, n.Inbound, lease, ago(time.Duration(n.Age)), up)
		}
	})
}

func (k *client) upstreams(s *controller.Status) error {
	nests := slices.Clone(s.Nodes)
	nests = slices.DeleteFunc(nests, func(n nodeRecord) bool { return n.Upstream == nil })
	slices.SortFunc(nests, func(a, b nodeRecord) int {
		return strings.Compare(a.Upstream.Service+" "+a.Name, b.Upstream.Service+" "+b.Name)
	})
	if k.json {
		return k.raw(nests)
	}
	k.seen(s)
	return k.table("SERVICE\tUPSTREAM\tVERSION\tZONE\tNODE\tSLOTS\tSTATE\tHEARD", func(w io.Writer) {
		for _, n := range nests {
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

func (k *client) duties(s *controller.Status) error {
	if k.json {
		return k.raw(map[string]any{"Coordinator": s.State.Coordinator, "Epoch": s.State.Epoch, "Members": s.State.BalancerCount})
	}
	k.seen(s)
	return k.table("DUTY\tDONE BY\tREIGN", func(w io.Writer) {
		fmt.Fprintf(w, "bank of quotas\t%s\t%d\n", s.State.Coordinator.Address, s.State.Epoch)
		fmt.Fprintf(w, "core kept whole, census of %d balancers, settling\tfirst of the core in order\t\n", s.State.BalancerCount)
	})
}

// quotas asks whoever keeps the bank.
func (k *client) quotas() error {
	s, err := k.ask()
	if err != nil {
		return err
	}
	if q := s.State.Coordinator.Address; q != "" && s.At != q {
		if s, err = k.one(q); err != nil {
			return Error.New("%s, which keeps the bank: %v", q, err)
		}
	}
	if k.json {
		return k.raw(s.Quotas)
	}
	k.seen(s)
	return k.table("TENANT\tRATE/S\tSURGE\tPOOL\tOUT\tRESERVE\tBOUND A WINDOW", func(w io.Writer) {
		for _, a := range s.Quotas {
			fmt.Fprintf(w, "%s\t%g\t%g\t%.1f\t%.1f\t%.1f\t%.0f\n", a.Tenant, a.Rate, a.Burst, a.Pool, a.Outstanding, a.Reserve, a.MaxPerWindow)
		}
	})
}

// watch tells what changes.
func (k *client) watch(long time.Duration) error {
	if err := k.need(); err != nil {
		return err
	}
	last := map[string]string{}
	t := time.NewTicker(500 * time.Millisecond)
	defer t.Stop()
	for end := time.Now().Add(long); time.Now().Before(end); <-t.C {
		now := map[string]string{}
		s, err := k.ask()
		if err != nil {
			now["core"] = "nobody answers: " + err.Error()
		} else {
			now["core"], now["version"], now["coordinator"] = coreText(s.State), strconv.FormatInt(s.State.Edition, 10), s.State.Coordinator.Address
			for _, n := range s.Nodes {
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
				fmt.Fprintf(k.out, "%s %s: %s\n", time.Now().Format("15:04:05.000"), name, now[name])
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
		all = append(all, m.Address)
	}
	return strings.Join(all, " ")
}
