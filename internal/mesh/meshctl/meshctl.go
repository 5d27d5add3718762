// Package meshctl implements the operators' command line. It queries the controllers and prints each result with its
// age. Its output calls all controllers together the core.
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
	Failed         = 1  // no controller responded, or a file could not be read or written
	Refused        = 2  // the controllers reject the change: invalid, or another version is current
	OutcomeUnknown = 3  // no majority responded in time: the change may or may not take effect
	Usage          = 64 // invalid command line
)

// Error is the class of errors that are reported to operators.
var Error = errs.Class("meshctl")

// exitError is an error with the exit code of the command.
type exitError struct {
	error
	code int
}

// client runs the commands.
type client struct {
	out          io.Writer
	seeds        []string      // control addresses
	internalPort int           // of the controllers
	json         bool          // print results as JSON
	newest       bool          // have the core confirm the status by a majority
	timeout      time.Duration // of a call to one controller
}

// Run runs a command line and returns the exit code.
func Run(args []string, out, errors io.Writer) int {
	controlClient := &client{out: out}
	app := kingpin.New("meshctl", "Queries a mesh's core, changes its configuration, and backs up and restores its state.")
	app.Terminate(nil)
	app.UsageWriter(errors)
	app.ErrorWriter(errors)
	var helpShown bool
	app.Terminate(func(int) { helpShown = true })
	core := app.Flag("core", "Control addresses of the core, separated by commas, or a settings file of the mesh.").Envar("BEEKEEPER_CORE").String()
	internalPort := app.Flag("inner", "First inner port (for calls between processes) of the core.").Envar("BEEKEEPER_INNER").Int()
	app.Flag("json", "Print results as JSON.").BoolVar(&controlClient.json)
	app.Flag("timeout", "Timeout of a call to one process.").Default("2s").DurationVar(&controlClient.timeout)
	app.Flag("newest", "Have a majority of the core confirm that the status is the newest.").BoolVar(&controlClient.newest)

	status := app.Command("status", "Show the processes of the core.")
	coreMembers := app.Command("core", "Show the members of the core, whether they vote, and their progress.")
	nodes := app.Command("nodes", "Show balancers with the age of their leases.")
	upstreams := app.Command("upstreams", "Show upstreams by service.")
	duties := app.Command("duties", "Show which process has which duty, and since which reign (coordinator epoch).")
	quotas := app.Command("quotas", "Show tenants' quotas and their bounds.")
	credit := app.Command("credit", "Show and change tenants' burst credit.")
	creditShow := credit.Command("show", "Show accounts, each with its accounting gap.").Default()
	creditTenant := creditShow.Arg("tenant", "Show this tenant only.").String()
	creditHistory := credit.Command("history", "Show the last entries of an account.")
	historyTenant := creditHistory.Arg("tenant", "Tenant of the account.").Required().String()
	creditOrder := &controller.Order{}
	creditGrant := credit.Command("grant", "Grant credit to a tenant, or withdraw it with a negative number.")
	creditGrant.Arg("tenant", "Tenant that receives the credit.").Required().StringVar(&creditOrder.Tenant)
	creditGrant.Arg("tokens", "Number of requests.").Required().Float64Var(&creditOrder.Tokens)
	creditFreeze := credit.Command("freeze", "Stop an account from earning and granting credit.")
	creditFreeze.Arg("tenant", "Tenant of the account.").Required().StringVar(&creditOrder.Tenant)
	creditFreeze.Flag("thaw", "Unfreeze the account.").BoolVar(&creditOrder.Thaw)
	for _, c := range []*kingpin.CmdClause{creditGrant, creditFreeze} {
		c.Flag("who", "Person who gives the order.").Required().StringVar(&creditOrder.Who)
		c.Flag("why", "Reason for the order.").Required().StringVar(&creditOrder.Why)
	}
	partners := app.Command("partners", "Show and control partners: other meshes whose exports are used.")
	partnersList := partners.Command("list", "Show partners' exports, pending restrictions, and how many balancers apply them.").Default()
	partnersShow := partners.Command("show", "Show the exports of one partner that are in force.")
	shownPartner := partnersShow.Arg("partner", "Name of the partner.").Required().String()
	partnerOrder := &controller.PartnerOrder{}
	partnersHold := partners.Command("hold", "Hold a partner: send no requests to it.")
	partnersHold.Flag("release", "Release a held partner.").BoolVar(&partnerOrder.Release)
	partnersDrop := partners.Command("drop", "Forget a partner's exports, so that it may start again with any edition.")
	for _, c := range []*kingpin.CmdClause{partnersHold, partnersDrop} {
		c.Arg("partner", "Name of the partner.").Required().StringVar(&partnerOrder.Partner)
		c.Flag("who", "Person who gives the order.").Required().StringVar(&partnerOrder.Who)
		c.Flag("why", "Reason for the order.").Required().StringVar(&partnerOrder.Why)
	}
	watch := app.Command("watch", "Print changes of version, core, duties and balancers as they happen.")
	watchFor := watch.Flag("for", "Duration of the watch.").Default("1h").Duration()
	configuration := app.Command("timetable", "Show and change the configuration.")
	fetch := configuration.Command("fetch", "Print the current configuration.")
	replace := configuration.Command("replace", "Replace the whole configuration.")
	replaceFile := replace.Arg("file", "JSON, - for standard input.").Required().String()
	replaceBase := replace.Flag("on", "Version that the change builds on; by default the current one.").Default("-1").Int64()
	amend := configuration.Command("amend", "Change items of the configuration by name.")
	amendFile := amend.Arg("file", "JSON, - for standard input.").Required().String()
	amendBase := amend.Flag("on", "Version that the change builds on.").Default("-1").Int64()
	diff := configuration.Command("diff", "Show what a configuration file would change.")
	diffFile := diff.Arg("file", "JSON.").Required().String()
	check := configuration.Command("check", "Report all errors in a configuration file, without a core.")
	checkFile := check.Arg("file", "JSON.").Required().String()
	backup := app.Command("backup", "Save the agreed state, from a running core or from the disk of a stopped process.")
	backupFile := backup.Arg("file", "File to write.").Required().String()
	backupDir := backup.Flag("from", "Data directory of a stopped process.").String()
	restore := app.Command("restore", "Write a backup to an empty disk as a core of one, after a majority of the core is permanently lost.")
	restoreFile := restore.Arg("file", "Backup file.").Required().String()
	restoreDir := restore.Flag("dir", "Empty data directory of the first process of the new core.").Required().String()
	restoreAt := restore.Flag("at", "Inner address of that process.").Required().String()
	restoreZone := restore.Flag("zone", "Zone of that process.").Required().String()
	checkSettings := app.Command("check", "Read a settings file and print the bounds that follow from it.")
	settingsFile := checkSettings.Arg("file", "Settings file.").Required().String()

	command, err := app.Parse(args)
	if helpShown {
		return OK
	}
	if err != nil {
		fmt.Fprintf(errors, "meshctl: %v\n", err)
		return Usage
	}
	if err = controlClient.resolveAddresses(*core, *internalPort); err == nil {
		switch command {
		case status.FullCommand():
			err = controlClient.showStatuses()
		case coreMembers.FullCommand():
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
			err = controlClient.showCredit(*creditTenant)
		case creditHistory.FullCommand():
			err = controlClient.showCreditHistory(*historyTenant)
		case creditGrant.FullCommand():
			err = controlClient.orderCredit(creditOrder)
		case creditFreeze.FullCommand():
			creditOrder.Freeze = !creditOrder.Thaw
			err = controlClient.orderCredit(creditOrder)
		case partnersList.FullCommand():
			err = controlClient.showPartners()
		case partnersShow.FullCommand():
			err = controlClient.showExports(*shownPartner)
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
			err = controlClient.put("timetable.replace", *replaceFile, *replaceBase)
		case amend.FullCommand():
			err = controlClient.put("timetable.amend", *amendFile, *amendBase)
		case diff.FullCommand():
			err = controlClient.diff(*diffFile)
		case check.FullCommand():
			err = controlClient.checkConfiguration(*checkFile)
		case backup.FullCommand():
			err = controlClient.backup(*backupFile, *backupDir)
		case restore.FullCommand():
			err = controlClient.restore(*restoreFile, *restoreDir, *restoreAt, *restoreZone)
		case checkSettings.FullCommand():
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

// resolveAddresses sets the controllers' addresses, from a list of addresses or from the seeds of a settings file.
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

// requireAddresses returns an error if the controllers' addresses are unknown.
func (c *client) requireAddresses() error {
	if len(c.seeds) == 0 {
		return &exitError{Error.New("no core address: use --core ADDRESS,... or a settings file, or set BEEKEEPER_CORE"), Usage}
	}
	return nil
}

// queryStatus returns the status of the first controller that responds.
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

// statusOf returns the status of the controller at an address.
func (c *client) statusOf(address string) (*controller.Status, error) {
	if c.internalPort == 0 {
		return nil, &exitError{Error.New("unknown inner port: use --inner PORT, or a settings file for --core"), Usage}
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	rpcClient := rpc.NewClient(nil)
	defer rpcClient.Close()
	status := &controller.Status{}
	return status, rpcClient.Call(ctx, settings.InternalAddressOf(settings.Host(address), c.internalPort), rpc.PathStatus, controller.StatusRequest{Newest: c.newest}, status)
}

// printTable prints a table with aligned columns.
func (c *client) printTable(head string, rows func(writer io.Writer)) error {
	writer := tabwriter.NewWriter(c.out, 2, 8, 2, ' ', 0)
	fmt.Fprintln(writer, head)
	rows(writer)
	return writer.Flush()
}

// printJSON prints a value as indented JSON.
func (c *client) printJSON(value any) error {
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// show prints a view of a controller's status.
func (c *client) show(print func(*client, *controller.Status) error) error {
	status, err := c.queryStatus()
	if err != nil {
		return err
	}
	return print(c, status)
}
