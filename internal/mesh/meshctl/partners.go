package meshctl

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"ottershift/internal/mesh/controller"
	"ottershift/internal/mesh/federation"
	"ottershift/internal/mesh/routing"
	"ottershift/internal/mesh/rpc"
)

// showPartners prints the partner meshes with their exports and state, and how many proxies apply the latest revision.
func (c *client) showPartners() error {
	status, err := c.queryStatus()
	if err != nil {
		return err
	}
	// The coordinator polls the partners, so it alone knows the errors in their tables.
	if coordinator := status.State.Coordinator.Address; coordinator != "" && status.At != coordinator {
		if other, err := c.statusOf(coordinator); err == nil {
			status = other
		}
	}
	book, err := federation.DecodeImportRegistry(status.State.Imports)
	if err != nil {
		return Error.Wrap(err)
	}
	if c.json {
		return c.printJSON(map[string]any{"Book": book, "Ages": status.ConfirmationAges, "Faults": status.PartnerErrors, "Doors": status.ImportsInUse})
	}
	c.printSource(status)
	err = c.printTable("PARTNER\tEDITION\tEXPORTS\tSTATE\tCONFIRMED\tFAULT", func(w io.Writer) {
		for _, name := range slices.Sorted(maps.Keys(book.Partners)) {
			partner := book.Partners[name]
			edition, exports, state := int64(0), 0, "open"
			if partner.Table != nil {
				edition, exports = partner.Table.Edition, len(partner.Table.Exports)
			}
			switch {
			case partner.Suspended:
				state = fmt.Sprintf("held by %s: %s", partner.Who, partner.Why)
			case partner.Table == nil:
				state = "nothing taken"
			case partner.NarrowingRevision != partner.CompletedRevision:
				state = fmt.Sprintf("narrows, done up to edition %d", partner.AnnouncedEdition)
			}
			age := "never"
			if a, is := status.ConfirmationAges[name]; is {
				age = ago(time.Duration(a))
			}
			fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%s\n", name, edition, exports, state, age, status.PartnerErrors[name])
		}
	})
	if err != nil {
		return err
	}
	behind := 0
	for _, revision := range status.ImportsInUse {
		if revision < book.Revision {
			behind++
		}
	}
	fmt.Fprintf(c.out, "%d of the balancers that ask %s act on word %d, %d on an earlier one\n", len(status.ImportsInUse)-behind, status.Node, book.Revision, behind)
	configuration, err := routing.Load(status.State.Configuration)
	if err != nil {
		return nil
	}
	var configured []federation.Partner
	for _, p := range configuration.Partners {
		configured = append(configured, federation.Partner{Name: p.Name})
	}
	for _, line := range federation.ShadowedExports(book, configured, func(town, path string) bool { return configuration.Find(town, path) != nil }) {
		fmt.Fprintln(c.out, "not used:", line)
	}
	return nil
}

// showExports prints a partner's exports.
func (c *client) showExports(partner string) error {
	status, err := c.queryStatus()
	if err != nil {
		return err
	}
	book, err := federation.DecodeImportRegistry(status.State.Imports)
	if err != nil {
		return Error.Wrap(err)
	}
	imported := book.Partners[partner]
	if imported == nil || imported.Table == nil {
		return &exitError{Error.New("no exports of partner %q are in force", partner), Refused}
	}
	if c.json {
		return c.printJSON(imported)
	}
	c.printSource(status)
	return c.printTable("HOST\tPREFIX\tSERVICE\tMETHODS\tPER S", func(w io.Writer) {
		for _, export := range imported.Table.Exports {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%g\n", export.Host, export.PathPrefix, export.Service, strings.Join(export.Methods, ","), export.RatePerSecond)
		}
	})
}

// orderPartner sends an operator's order on a partner mesh to a controller.
func (c *client) orderPartner(order *controller.PartnerOrder) error {
	partner := &federation.Import{}
	if err := c.sendOrder(rpc.PathPartnerOrder, order, partner, "it is safe to repeat the order"); err != nil {
		return err
	}
	_, err := fmt.Fprintf(c.out, "%s: word %d, done up to %d\n", order.Partner, partner.NarrowingRevision, partner.CompletedRevision)
	return err
}
