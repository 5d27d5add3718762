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
	OK             = 0
	Failed         = 1 // nobody answered, or a file could not be had
	Refused        = 2 // the core refuses: invalid, or another version is current
	OutcomeUnknown = 3 // no majority answered in time: it may or may not count
	Usage          = 64
)

// Error is the class of what is told to operators.
var Error = errs.Class("meshctl")

type exitError struct {
	error
	code int
}

type client struct {
	out          io.Writer
	seeds        []string // control addresses
	internalPort int
	json         bool
	newest       bool
	timeout      time.Duration
}

// Run carries a command line out and returns the exit code.
func Run(args []string, out, errors io.Writer) int {
	controlClient := &client{out: out}
	app := kingpin.New("meshctl", "Looks after a mesh's core: asks it, changes its timetable, saves and restores what it has agreed.")
	app.Terminate(nil)
	app.UsageWriter(errors)
	app.ErrorWriter(errors)
	var ended bool
	app.Terminate(func(int) { ended = true })
	core := app.Flag("core", "Control addresses of the core, with commas; or a settings file of the mesh.").Envar("BEEKEEPER_CORE").String()
	inner := app.Flag("inner", "First inner port of the core.").Envar("BEEKEEPER_INNER").Int()
	app.Flag("json", "Answer as JSON.").BoolVar(&controlClient.json)
	app.Flag("timeout", "For each process that is asked.").Default("2s").DurationVar(&controlClient.timeout)
	app.Flag("newest", "Have the core make sure that what is shown is the newest.").BoolVar(&controlClient.newest)

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
	creditOrder := &controller.Order{}
	creditGrant := credit.Command("grant", "Give a tenant credit, or with a number below 0 take some away.")
	creditGrant.Arg("tenant", "Whom.").Required().StringVar(&creditOrder.Tenant)
	creditGrant.Arg("tokens", "Requests.").Required().Float64Var(&creditOrder.Tokens)
	creditFreeze := credit.Command("freeze", "Stop what an account earns and gives out.")
	creditFreeze.Arg("tenant", "Whose.").Required().StringVar(&creditOrder.Tenant)
	creditFreeze.Flag("thaw", "Let it go on.").BoolVar(&creditOrder.Thaw)
	for _, c := range []*kingpin.CmdClause{creditGrant, creditFreeze} {
		c.Flag("who", "Who orders it.").Required().StringVar(&creditOrder.Who)
		c.Flag("why", "Why.").Required().StringVar(&creditOrder.Why)
	}
	partners := app.Command("partners", "Other meshes whose exports are used.")
	partnersList := partners.Command("list", "Who exports what, what narrows, and how many balancers act on it.").Default()
	partnersShow := partners.Command("show", "One partner's table, as it is in force.")
	partnerOf := partnersShow.Arg("partner", "Whose.").Required().String()
	partnerOrder := &controller.PartnerOrder{}
	partnersHold := partners.Command("hold", "Close a partner: nothing is sent there.")
	partnersHold.Flag("release", "Open it again.").BoolVar(&partnerOrder.Release)
	partnersDrop := partners.Command("drop", "Forget what a partner said, so that it may begin with any edition again.")
	for _, c := range []*kingpin.CmdClause{partnersHold, partnersDrop} {
		c.Arg("partner", "Which.").Required().StringVar(&partnerOrder.Partner)
		c.Flag("who", "Who orders it.").Required().StringVar(&partnerOrder.Who)
		c.Flag("why", "Why.").Required().StringVar(&partnerOrder.Why)
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
		fmt.Fprintf(errors, "meshctl: %v\n", err)
		return Usage
	}
	if err = controlClient.resolveAddresses(*core, *inner); err == nil {
		switch command {
		case status.FullCommand():
			err = controlClient.showStatuses()
		case coreCmd.FullCommand():
			err = controlClient.show((*client).showCore)
		case nodes.FullCommand():
			err = controlClient.show((*client).showNodes)
		case upstreams.FullCommand():
			err = controlClient.show((*client).showUpstreams)
		case duties.FullCommand():
			err = controlClient.show((*client).showDuties)
		case quotas.FullCommand():
			err = controlClient.showQuotas()
		case creditShow.FullCommand():
			err = controlClient.showCredit(*creditOf)
		case creditHistory.FullCommand():
			err = controlClient.showCreditHistory(*historyOf)
		case creditGrant.FullCommand():
			err = controlClient.orderCredit(creditOrder)
		case creditFreeze.FullCommand():
			creditOrder.Freeze = !creditOrder.Thaw
			err = controlClient.orderCredit(creditOrder)
		case partnersList.FullCommand():
			err = controlClient.showPartners()
		case partnersShow.FullCommand():
			err = controlClient.showExports(*partnerOf)
		case partnersHold.FullCommand():
			partnerOrder.Hold = !partnerOrder.Release
			err = controlClient.orderPartner(partnerOrder)
		case partnersDrop.FullCommand():
			partnerOrder.Drop = true
			err = controlClient.orderPartner(partnerOrder)
		case watch.FullCommand():
			err = controlClient.watch(*watchFor)
		case fetch.FullCommand():
			err = controlClient.fetch()
		case replace.FullCommand():
			err = controlClient.put("timetable.replace", *replaceFile, *replaceOn)
		case amend.FullCommand():
			err = controlClient.put("timetable.amend", *amendFile, *amendOn)
		case diff.FullCommand():
			err = controlClient.diff(*diffFile)
		case check.FullCommand():
			err = controlClient.checkConfiguration(*checkFile)
		case backup.FullCommand():
			err = controlClient.backup(*backupFile, *backupDir)
		case restore.FullCommand():
			err = controlClient.restore(*restoreFile, *restoreDir, *restoreAt, *restoreZone)
		case settings.FullCommand():
			err = controlClient.printBounds(*settingsFile)
		}
	}
	if err == nil {
		return OK
	}
	fmt.Fprintf(errors, "meshctl: %v\n", err)
	if c, is := err.(*exitError); is {
		return c.code
	}
	return Failed
}

// resolveAddresses finds whom to ask: addresses, or the seeds of a settings file.
func (c *client) resolveAddresses(core string, internalPort int) error {
	c.internalPort = internalPort
	if core == "" {
		return nil
	}
	if _, err := os.Stat(core); err == nil {
		meshSettings, err := settings.Load(core)
		if err != nil {
			return err
		}
		c.seeds = meshSettings.Seeds
		if c.internalPort == 0 {
			c.internalPort = meshSettings.FirstInternalPort
		}
		return nil
	}
	c.seeds = strings.Split(core, ",")
	return nil
}

func (c *client) requireAddresses() error {
	if len(c.seeds) == 0 {
		return &exitError{Error.New("whom to ask: --core ADDRESS,... or a settings file, or BEEKEEPER_CORE"), Usage}
	}
	return nil
}

// queryStatus has the first process that answers tell its status.
func (c *client) queryStatus() (*controller.Status, error) {
	if err := c.requireAddresses(); err != nil {
		return nil, err
	}
	var failures errs.Group
	for _, address := range c.seeds {
		status, err := c.statusOf(address)
		if err == nil {
			return status, nil
		}
		failures.Add(Error.New("%s: %v", address, err))
	}
	return nil, failures.Err()
}

func (c *client) statusOf(address string) (*controller.Status, error) {
	if c.internalPort == 0 {
		return nil, &exitError{Error.New("the inner port is not known: --inner PORT, or a settings file for --core"), Usage}
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	rpcClient := rpc.NewClient(nil)
	defer rpcClient.Close()
	status := &controller.Status{}
	return status, rpcClient.Call(ctx, settings.InternalAddressOf(settings.Host(address), c.internalPort), rpc.PathStatus, controller.StatusRequest{Newest: c.newest}, status)
}

func (c *client) printTable(head string, rows func(writer io.Writer)) error {
	writer := tabwriter.NewWriter(c.out, 2, 8, 2, ' ', 0)
	fmt.Fprintln(writer, head)
	rows(writer)
	return writer.Flush()
}

func (c *client) printJSON(v any) error {
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

func (c *client) show(print func(*client, *controller.Status) error) error {
	status, err := c.queryStatus()
	if err != nil {
		return err
	}
	return print(c, status)
}
