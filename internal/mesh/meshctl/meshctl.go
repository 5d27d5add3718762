// Package keeper is the operators' command line: it asks processes of the core, and shows each answer with its age.
package meshctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/zeebo/errs"

	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/controller"
	"ottershift/internal/mesh/routing"
	"ottershift/internal/mesh/rpc"
	"ottershift/internal/mesh/settings"
	"ottershift/internal/mesh/storage"
)

// Exit codes.
const (
	OK      = 0
	Failed  = 1 // nobody answered, or a file could not be had
	Refused = 2 // the core refuses: invalid, or another version is current
	Unclear = 3 // no majority answered in time: it may or may not count
	Usage   = 64
)

// Error is the class of what is told to operators.
var Error = errs.Class("meshctl")

type coded struct {
	error
	code int
}

type client struct {
	out   io.Writer
	seeds []string // control addresses
	inner int
	json  bool
	newst bool
	wait  time.Duration
}

// Run carries a command line out and returns the exit code.
func Run(args []string, out, faults io.Writer) int {
	k := &client{out: out}
	app := kingpin.New("meshctl", "Looks after a mesh's core: asks it, changes its timetable, saves and restores what it has agreed.")
	app.Terminate(nil)
	app.UsageWriter(faults)
	app.ErrorWriter(faults)
	var ended bool
	app.Terminate(func(int) { ended = true })
	core := app.Flag("core", "Control addresses of the core, with commas; or a settings file of the mesh.").Envar("BEEKEEPER_CORE").String()
	inner := app.Flag("inner", "First inner port of the core.").Envar("BEEKEEPER_INNER").Int()
	app.Flag("json", "Answer as JSON.").BoolVar(&k.json)
	app.Flag("timeout", "For each process that is asked.").Default("2s").DurationVar(&k.wait)
	app.Flag("newest", "Have the core make sure that what is shown is the newest.").BoolVar(&k.newst)

	status := app.Command("status", "One line for each process of the core.")
	coreCmd := app.Command("core", "Who is the core, who votes, how far each is.")
	nodes := app.Command("nodes", "Balancers with the age of their leases.")
	upstreams := app.Command("upstreams", "Upstreams by service.")
	duties := app.Command("duties", "Who has the duties, and since which reign.")
	quotas := app.Command("quotas", "Tenants' accounts at the bank, beside their bounds.")
	credit := app.Command("credit", "Tenants' burst credit.")
	creditShow := credit.Command("show", "Accounts, each with what it does not add up to.").Default()
	creditOf := creditShow.Arg("tenant", "Of this one alone.").String()
	creditHistory := credit.Command("history", "The last lines of an account.")
	historyOf := creditHistory.Arg("tenant", "Whose.").Required().String()
	order := &controller.Order{}
	creditGrant := credit.Command("grant", "Give a tenant credit, or with a number below 0 take some away.")
	creditGrant.Arg("tenant", "Whom.").Required().StringVar(&order.Tenant)
	creditGrant.Arg("tokens", "Requests.").Required().Float64Var(&order.Tokens)
	creditFreeze := credit.Command("freeze", "Stop what an account earns and gives out.")
	creditFreeze.Arg("tenant", "Whose.").Required().StringVar(&order.Tenant)
	creditFreeze.Flag("thaw", "Let it go on.").BoolVar(&order.Thaw)
	for _, c := range []*kingpin.CmdClause{creditGrant, creditFreeze} {
		c.Flag("who", "Who orders it.").Required().StringVar(&order.Who)
		c.Flag("why", "Why.").Required().StringVar(&order.Why)
	}
	partners := app.Command("partners", "Other meshes whose exports are used.")
	partnersList := partners.Command("list", "Who exports what, what narrows, and how many balancers act on it.").Default()
	partnersShow := partners.Command("show", "One partner's table, as it is in force.")
	partnerOf := partnersShow.Arg("partner", "Whose.").Required().String()
	word := &controller.PartnerOrder{}
	partnersHold := partners.Command("hold", "Close a partner: nothing is sent there.")
	partnersHold.Flag("release", "Open it again.").BoolVar(&word.Release)
	partnersDrop := partners.Command("drop", "Forget what a partner said, so that it may begin with any edition again.")
	for _, c := range []*kingpin.CmdClause{partnersHold, partnersDrop} {
		c.Arg("partner", "Which.").Required().StringVar(&word.Partner)
		c.Flag("who", "Who orders it.").Required().StringVar(&word.Who)
		c.Flag("why", "Why.").Required().StringVar(&word.Why)
	}
	watch := app.Command("watch", "Tell changes of version, core, duties and balancers as they come.")
	watchFor := watch.Flag("for", "How long.").Default("1h").Duration()
	table := app.Command("timetable", "The configuration.")
	fetch := table.Command("fetch", "The newest, whole.")
	replace := table.Command("replace", "Put a whole configuration.")
	replaceFile := replace.Arg("file", "JSON, - for standard input.").Required().String()
	replaceOn := replace.Flag("on", "Version that it builds on; the current one where this is left out.").Default("-1").Int64()
	amend := table.Command("amend", "Alter items by name.")
	amendFile := amend.Arg("file", "JSON, - for standard input.").Required().String()
	amendOn := amend.Flag("on", "Version that it builds on.").Default("-1").Int64()
	diff := table.Command("diff", "What a file would change.")
	diffFile := diff.Arg("file", "JSON.").Required().String()
	check := table.Command("check", "Name every fault of a configuration, without a core.")
	checkFile := check.Arg("file", "JSON.").Required().String()
	backup := app.Command("backup", "Save what is agreed: of a core that answers, or from the disk of a process that is stopped.")
	backupFile := backup.Arg("file", "Where to.").Required().String()
	backupDir := backup.Flag("from", "Data folder of a stopped process.").String()
	restore := app.Command("restore", "Lay a backup on an empty disk as a core of one, where a majority of the core is gone for good.")
	restoreFile := restore.Arg("file", "The backup.").Required().String()
	restoreDir := restore.Flag("dir", "Empty data folder of the process that begins the new core.").Required().String()
	restoreAt := restore.Flag("at", "Inner address of that process.").Required().String()
	restoreZone := restore.Flag("zone", "Its zone.").Required().String()
	settings := app.Command("check", "Read a settings file and print the bounds that follow from it.")
	settingsFile := settings.Arg("file", "Settings file.").Required().String()

	command, err := app.Parse(args)
	if ended {
		return OK
	}
	if err != nil {
		fmt.Fprintf(faults, "meshctl: %v\n", err)
		return Usage
	}
	if err = k.reach(*core, *inner); err == nil {
		switch command {
		case status.FullCommand():
			err = k.status()
		case coreCmd.FullCommand():
			err = k.show((*client).core)
		case nodes.FullCommand():
			err = k.show((*client).nodes)
		case upstreams.FullCommand():
			err = k.show((*client).upstreams)
		case duties.FullCommand():
			err = k.show((*client).duties)
		case quotas.FullCommand():
			err = k.quotas()
		case creditShow.FullCommand():
			err = k.credit(*creditOf)
		case creditHistory.FullCommand():
			err = k.history(*historyOf)
		case creditGrant.FullCommand():
			err = k.order(order)
		case creditFreeze.FullCommand():
			order.Freeze = !order.Thaw
			err = k.order(order)
		case partnersList.FullCommand():
			err = k.partners()
		case partnersShow.FullCommand():
			err = k.exports(*partnerOf)
		case partnersHold.FullCommand():
			word.Hold = !word.Release
			err = k.partner(word)
		case partnersDrop.FullCommand():
			word.Drop = true
			err = k.partner(word)
		case watch.FullCommand():
			err = k.watch(*watchFor)
		case fetch.FullCommand():
			err = k.fetch()
		case replace.FullCommand():
			err = k.put("timetable.replace", *replaceFile, *replaceOn)
		case amend.FullCommand():
			err = k.put("timetable.amend", *amendFile, *amendOn)
		case diff.FullCommand():
			err = k.diff(*diffFile)
		case check.FullCommand():
			err = k.check(*checkFile)
		case backup.FullCommand():
			err = k.backup(*backupFile, *backupDir)
		case restore.FullCommand():
			err = k.restore(*restoreFile, *restoreDir, *restoreAt, *restoreZone)
		case settings.FullCommand():
			err = k.bounds(*settingsFile)
		}
	}
	if err == nil {
		return OK
	}
	fmt.Fprintf(faults, "meshctl: %v\n", err)
	if c, is := err.(*coded); is {
		return c.code
	}
	return Failed
}

// reach finds whom to ask: addresses, or the seeds of a settings file.
func (k *client) reach(core string, inner int) error {
	k.inner = inner
	if core == "" {
		return nil
	}
	if _, err := os.Stat(core); err == nil {
		b, err := settings.Load(core)
		if err != nil {
			return err
		}
		k.seeds = b.Seeds
		if k.inner == 0 {
			k.inner = b.InnerFirst
		}
		return nil
	}
	k.seeds = strings.Split(core, ",")
	return nil
}

func (k *client) need() error {
	if len(k.seeds) == 0 {
		return &coded{Error.New("whom to ask: --core ADDRESS,... or a settings file, or BEEKEEPER_CORE"), Usage}
	}
	return nil
}

// ask has the first process that answers tell its status.
func (k *client) ask() (*controller.Status, error) {
	if err := k.need(); err != nil {
		return nil, err
	}
	var all errs.Group
	for _, at := range k.seeds {
		s, err := k.one(at)
		if err == nil {
			return s, nil
		}
		all.Add(Error.New("%s: %v", at, err))
	}
	return nil, all.Err()
}

func (k *client) one(at string) (*controller.Status, error) {
	if k.inner == 0 {
		return nil, &coded{Error.New("the inner port is not known: --inner PORT, or a settings file for --core"), Usage}
	}
	ctx, end := context.WithTimeout(context.Background(), k.wait)
	defer end()
	c := rpc.NewCaller()
	defer c.Close()
	s := &controller.Status{}
	return s, c.Call(ctx, settings.InnerOf(settings.Host(at), k.inner), rpc.PathStatus, controller.StatusRequest{Newest: k.newst}, s)
}

func (k *client) table(head string, rows func(w io.Writer)) error {
	w := tabwriter.NewWriter(k.out, 2, 8, 2, ' ', 0)
	fmt.Fprintln(w, head)
	rows(w)
	return w.Flush()
}

func (k *client) raw(v any) error {
	e := json.NewEncoder(k.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func (k *client) show(how func(*client, *controller.Status) error) error {
	s, err := k.ask()
	if err != nil {
		return err
	}
	return how(k, s)
}

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
			fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\t%s\n", m.At, m.Zone, m.ID, m.Votes, m.Index, ago(m.Quiet))
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
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", n.Name, n.District, n.Inbound, lease, ago(time.Duration(n.Age)), up)
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
			case n.Upstream.Closing:
				state = "closing"
			case n.Upstream.Cold > 0:
				state = "cold for " + time.Duration(n.Upstream.Cold).Round(time.Millisecond).String()
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\n", n.Upstream.Service, n.Upstream.ID, n.Upstream.Edition, n.District, n.Name, n.Upstream.Capacity, state, ago(time.Duration(n.Age)))
		}
	})
}

func (k *client) duties(s *controller.Status) error {
	if k.json {
		return k.raw(map[string]any{"Coordinator": s.State.Coordinator, "Epoch": s.State.Epoch, "Members": s.State.Members})
	}
	k.seen(s)
	return k.table("DUTY\tDONE BY\tREIGN", func(w io.Writer) {
		fmt.Fprintf(w, "bank of quotas\t%s\t%d\n", s.State.Coordinator.At, s.State.Epoch)
		fmt.Fprintf(w, "core kept whole, census of %d balancers, settling\tfirst of the core in order\t\n", s.State.Members)
	})
}

// quotas asks whoever keeps the bank.
func (k *client) quotas() error {
	s, err := k.ask()
	if err != nil {
		return err
	}
	if q := s.State.Coordinator.At; q != "" && s.At != q {
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
			fmt.Fprintf(w, "%s\t%g\t%g\t%.1f\t%.1f\t%.1f\t%.0f\n", a.Tenant, a.Rate, a.Surge, a.Pool, a.Out, a.Reserve, a.Bound)
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
			now["core"], now["version"], now["coordinator"] = coreText(s.State), strconv.FormatInt(s.State.Edition, 10), s.State.Coordinator.At
			for _, n := range s.Nodes {
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
		all = append(all, m.At)
	}
	return strings.Join(all, " ")
}

// call is an operator's call, at one process after the other as long as the answer is unclear.
func (k *client) call(call string, on int64, body []byte) ([]byte, error) {
	if err := k.need(); err != nil {
		return nil, err
	}
	var all errs.Group
	for range 3 {
		for _, at := range k.seeds {
			r, err := http.NewRequest(http.MethodPost, "http://"+at+"/-/rpc?call="+call, strings.NewReader(string(body)))
			if err != nil {
				return nil, Error.Wrap(err)
			}
			r.Header.Set("Content-Type", "application/json")
			if on >= 0 {
				r.Header.Set("If-Match", strconv.FormatInt(on, 10))
			}
			w, err := (&http.Client{Timeout: k.wait}).Do(r)
			if err != nil {
				all.Add(Error.New("%s: %v", at, err))
				continue
			}
			text, err := io.ReadAll(w.Body)
			w.Body.Close()
			switch {
			case err == nil && w.StatusCode == http.StatusOK:
				return text, nil
			case err == nil && w.StatusCode < 500:
				return nil, &coded{Error.New("%s: %s", at, strings.TrimSpace(string(text))), Refused}
			}
			all.Add(Error.New("%s: %d %s", at, w.StatusCode, strings.TrimSpace(string(text))))
		}
	}
	return nil, &coded{Error.New("nobody gave a clear answer; it may or may not count: %v", all.Err()), Unclear}
}

func (k *client) fetch() error {
	text, err := k.call("timetable.fetch", -1, nil)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(k.out, string(text))
	return err
}

func read(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(file)
}

func (k *client) put(call, file string, on int64) error {
	body, err := read(file)
	if err != nil {
		return Error.Wrap(err)
	}
	if on < 0 {
		now, err := k.current()
		if err != nil {
			return err
		}
		on = now
	}
	if _, err := k.call(call, on, body); err != nil {
		return err
	}
	_, err = fmt.Fprintf(k.out, "taken on top of version %d\n", on)
	return err
}

// current is the version that is, 0 for none yet.
func (k *client) current() (int64, error) {
	text, err := k.call("timetable.fetch", -1, nil)
	if c, is := err.(*coded); is && c.code == Refused {
		return 0, nil // nothing has been put yet
	}
	if err != nil {
		return 0, err
	}
	t, err := routing.Parse(text)
	if err != nil {
		return 0, err
	}
	return t.Edition, nil
}

func (k *client) check(file string) error {
	body, err := read(file)
	if err != nil {
		return Error.Wrap(err)
	}
	t, err := routing.Parse(body)
	if err != nil {
		return &coded{err, Refused}
	}
	_, err = fmt.Fprintf(k.out, "%s: version %d, %d routes, %d services, %d tenants\n", file, t.Edition, len(t.Routes), len(t.Services), len(t.Tenants))
	return err
}

// diff names what a file would add, alter and take away.
func (k *client) diff(file string) error {
	body, err := read(file)
	if err != nil {
		return Error.Wrap(err)
	}
	next, err := routing.Parse(body)
	if err != nil {
		return &coded{err, Refused}
	}
	text, err := k.call("timetable.fetch", -1, nil)
	if err != nil {
		return err
	}
	now, err := routing.Parse(text)
	if err != nil {
		return err
	}
	lines := routing.Diff(now, next)
	if k.json {
		return k.raw(lines)
	}
	for _, l := range lines {
		fmt.Fprintln(k.out, l)
	}
	return nil
}

func (k *client) backup(file, dir string) error {
	var s *consensus.State
	if dir != "" {
		c, err := storage.Peek(dir)
		if err != nil {
			return err
		}
		s = c.Decided
		if c.Accepted != nil {
			fmt.Fprintf(k.out, "the disk has accepted slot %d (version %d), of which it does not know whether it was decided: not in this backup\n", c.Accepted.Value.Index, c.Accepted.Value.Edition)
		}
	} else {
		k.newst = true
		status, err := k.ask()
		if err != nil {
			return err
		}
		s = status.State
	}
	raw, err := storage.EncodeBackup(s)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return Error.Wrap(err)
	}
	_, err = fmt.Fprintf(k.out, "%s: slot %d, version %d, %d bytes\n", file, s.Index, s.Edition, len(raw))
	return err
}

func (k *client) restore(file, dir, at, zone string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Error.Wrap(err)
	}
	s, err := storage.DecodeBackup(raw)
	if err != nil {
		return err
	}
	id, err := storage.Restore(dir, s, at, zone)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(k.out, "%s holds %s, a core of one, version %d.\nLost, if they were acknowledged: all changes after slot %d of the core that was.\n"+
		"Stop what is left of that core before this one starts; its disks count as strangers and are taken in anew, emptied.\n", dir, id, s.Edition, s.Index)
	return err
}

// bounds prints what follows from settings.
func (k *client) bounds(file string) error {
	b, err := settings.Load(file)
	if err != nil {
		return &coded{err, Refused}
	}
	for _, l := range Bounds(b) {
		fmt.Fprintln(k.out, l)
	}
	return nil
}
