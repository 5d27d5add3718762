// Package keeper is the operators' command line: it asks processes of the core, and shows each answer with its age.
package meshctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/zeebo/errs"

	"ottershift/internal/mesh/controller"
	"ottershift/internal/mesh/rpc"
	"ottershift/internal/mesh/settings"
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
	c := rpc.NewCaller(nil)
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
