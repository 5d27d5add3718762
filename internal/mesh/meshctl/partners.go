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

// partners shows who exports what, since when, and who acts on it.
func (k *client) partners() error {
	s, err := k.ask()
	if err != nil {
		return err
	}
	if q := s.State.Coordinator.Address; q != "" && s.At != q { // who asks partners knows what was wrong with their words
		if other, err := k.one(q); err == nil {
			s = other
		}
	}
	book, err := federation.DecodeImportRegistry(s.State.Imports)
	if err != nil {
		return Error.Wrap(err)
	}
	if k.json {
		return k.raw(map[string]any{"Book": book, "Ages": s.ConfirmationAges, "Faults": s.PartnerErrors, "Doors": s.ImportsInUse})
	}
	k.seen(s)
	err = k.table("PARTNER\tEDITION\tEXPORTS\tSTATE\tCONFIRMED\tFAULT", func(w io.Writer) {
		for _, name := range slices.Sorted(maps.Keys(book.Partners)) {
			i := book.Partners[name]
			edition, exports, state := int64(0), 0, "open"
			if i.Table != nil {
				edition, exports = i.Table.Edition, len(i.Table.Exports)
			}
			switch {
			case i.Suspended:
				state = fmt.Sprintf("held by %s: %s", i.Who, i.Why)
			case i.Table == nil:
				state = "nothing taken"
			case i.NarrowingRevision != i.CompletedRevision:
				state = fmt.Sprintf("narrows, done up to edition %d", i.AnnouncedEdition)
			}
			age := "never"
			if a, is := s.ConfirmationAges[name]; is {
				age = ago(time.Duration(a))
			}
			fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%s\n", name, edition, exports, state, age, s.PartnerErrors[name])
		}
	})
	if err != nil {
		return err
	}
	behind := 0
	for _, no := range s.ImportsInUse {
		if no < book.Revision {
			behind++
		}
	}
	fmt.Fprintf(k.out, "%d of the balancers that ask %s act on word %d, %d on an earlier one\n", len(s.ImportsInUse)-behind, s.Node, book.Revision, behind)
	t, err := routing.Load(s.State.Configuration)
	if err != nil {
		return nil
	}
	var all []federation.Partner
	for _, p := range t.Partners {
		all = append(all, federation.Partner{Name: p.Name})
	}
	for _, line := range federation.ShadowedExports(book, all, func(town, path string) bool { return t.Find(town, path) != nil }) {
		fmt.Fprintln(k.out, "not used:", line)
	}
	return nil
}

// exports shows one partner's table.
func (k *client) exports(partner string) error {
	s, err := k.ask()
	if err != nil {
		return err
	}
	book, err := federation.DecodeImportRegistry(s.State.Imports)
	if err != nil {
		return Error.Wrap(err)
	}
	i := book.Partners[partner]
	if i == nil || i.Table == nil {
		return &coded{Error.New("nothing is taken of %q", partner), Refused}
	}
	if k.json {
		return k.raw(i)
	}
	k.seen(s)
	return k.table("HOST\tPREFIX\tSERVICE\tMETHODS\tPER S", func(w io.Writer) {
		for _, e := range i.Table.Exports {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%g\n", e.Host, e.PathPrefix, e.Service, strings.Join(e.Methods, ","), e.RatePerSecond)
		}
	})
}

// partner has the core carry out an operator's word on a partner.
func (k *client) partner(o *controller.PartnerOrder) error {
	i := &federation.Import{}
	if err := k.order_(rpc.PathPartner, o, i, "the same order again is safe"); err != nil {
		return err
	}
	_, err := fmt.Fprintf(k.out, "%s: word %d, done up to %d\n", o.Partner, i.NarrowingRevision, i.CompletedRevision)
	return err
}
