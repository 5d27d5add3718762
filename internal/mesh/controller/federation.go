package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"ottershift/internal/mesh/apierror"
	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/federation"
	"ottershift/internal/mesh/routing"
)

const (
	partnerWait   = 2 * time.Second // that a partner may hold an ask until there is news
	partnerWithin = partnerWait + time.Second
	partnerPause  = time.Second // after one that failed
	partnerBytes  = 4<<20 + 1
)

// border is what this process knows of partners; it takes their word while it has the duty.
type federationGateway struct {
	sync.Mutex
	reign  uint64
	taker  *federation.NarrowingTracker
	asking map[string]bool
	heard  map[string]int64  // when a partner has confirmed its word, by this process's clock
	faults map[string]string // what was wrong with a partner's last word, or why there is none
	told   map[string]int64  // the last edition that a partner has been told is done

	doors map[string]uint64 // the word that balancers act on, of those that ask here

	book *federation.ImportBook // as agreed
	raw  []byte
}

// imports is what is agreed about partners.
func (c *Controller) imports(s *consensus.State) *federation.ImportBook {
	b := &c.gateway
	b.Lock()
	defer b.Unlock()
	if b.book == nil || !bytes.Equal(b.raw, s.Imports) {
		book, err := federation.Read(s.Imports)
		if err != nil {
			c.log.Error("partners", "err", err)
			book = federation.NewImportBook()
		}
		b.book, b.raw = book, s.Imports
	}
	return b.book
}

// ages are how long ago partners confirmed their words, as far as is known here.
func (c *Controller) confirmationAges() map[string]int64 {
	b := &c.gateway
	b.Lock()
	defer b.Unlock()
	if len(b.heard) == 0 {
		return nil
	}
	all := map[string]int64{}
	for partner, at := range b.heard {
		all[partner] = c.now() - at
	}
	return all
}

// acts notes on which word a balancer acts.
func (c *Controller) recordImportsInUse(node string, no uint64) {
	b := &c.gateway
	b.Lock()
	defer b.Unlock()
	b.doors[node] = no
}

// aged takes what another process knows of that.
func (c *Controller) mergeConfirmationAges(ages map[string]int64) {
	b := &c.gateway
	b.Lock()
	defer b.Unlock()
	for partner, age := range ages {
		if at := c.now() - age; b.heard[partner] == 0 || at > b.heard[partner] {
			b.heard[partner] = at
		}
	}
}

// partners does what the duty asks for: it has each partner asked, finishes narrowings, and tells partners so.
func (c *Controller) partners(ctx context.Context, s *consensus.State) {
	t, err := c.parsedConfiguration(s)
	if err != nil || t == nil || s.Coordinator.Life != c.life || !c.replicator.confirms(s) {
		return
	}
	book := c.imports(s)
	if len(t.Partners) == 0 && len(book.Partners) == 0 {
		return
	}
	b := &c.gateway
	b.Lock()
	if b.reign != s.Epoch || b.taker == nil {
		b.reign, b.taker, b.told = s.Epoch, federation.NewNarrowingTracker(), map[string]int64{}
	}
	due := b.taker.Due(book, c.now())
	b.Unlock()
	var names []string
	for _, p := range t.Partners {
		names = append(names, p.Name)
		b.Lock()
		idle := !b.asking[p.Name]
		b.asking[p.Name] = true
		told := b.told[p.Name]
		b.Unlock()
		i := book.Partners[p.Name]
		if idle {
			edition := int64(0)
			if i != nil && i.Table != nil {
				edition = i.Table.Edition
			}
			go c.askPartner(p, t.Mesh, edition, s.Epoch)
		}
		if i != nil && i.Told > told {
			b.Lock()
			b.told[p.Name] = i.Told
			b.Unlock()
			go c.tellPartner(p, i.Told)
		}
	}
	gone := federation.NewImportBook()
	if raw, err := book.Write(); err == nil {
		gone, _ = federation.Read(raw)
	}
	if len(due) > 0 || gone != nil && gone.Only(names) {
		c.changeImports(ctx, s.Epoch, func(book *federation.ImportBook) error {
			book.Only(names)
			for partner, no := range due {
				if book.Finish(partner, no) {
					c.log.Info("partner", "name", partner, "narrowed", no, "done", true)
				}
			}
			return nil
		})
	}
}

// bordered changes what is agreed about partners, under a epoch that later ones refuse.
func (c *Controller) changeImports(ctx context.Context, reign uint64, do func(*federation.ImportBook) error) error {
	ctx, end := context.WithTimeout(ctx, answerTimeout)
	defer end()
	_, err := c.replicator.change(ctx, c.otherControllers, func(newest *consensus.State) (*consensus.State, error) {
		if reign > 0 && (newest.Epoch != reign || newest.Coordinator.Life != c.life) {
			return nil, apierror.New(apierror.OutcomeUnknown, "the duty is another's")
		}
		book, err := federation.Read(newest.Imports)
		if err != nil {
			return nil, err
		}
		if err := do(book); err != nil {
			return nil, err
		}
		raw, err := book.Write()
		if err != nil {
			return nil, err
		}
		if bytes.Equal(raw, newest.Imports) {
			return nil, nil
		}
		return newest.WithImports(raw), nil
	})
	return err
}

var outside = &http.Client{Timeout: partnerWithin, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}

// askPartner asks one partner with the version at hand; it answers when there is news, or confirms that there is none.
func (c *Controller) askPartner(p *routing.Partner, own string, have int64, reign uint64) {
	err := c.askOnce(p, own, have, reign)
	b := &c.gateway
	b.Lock()
	text := ""
	if err != nil {
		text = err.Error()
	}
	if b.faults[p.Name] != text {
		c.log.Info("partner", "name", p.Name, "fault", text)
	}
	b.faults[p.Name] = text
	b.Unlock()
	if err != nil {
		time.Sleep(partnerPause)
	}
	b.Lock()
	b.asking[p.Name] = false
	b.Unlock()
}

func (c *Controller) askOnce(p *routing.Partner, own string, have int64, reign uint64) error {
	began := c.now()
	w, err := outside.Get(fmt.Sprintf("http://%s/-/exports?have=%d&wait=%d&mesh=%s", p.Gateway, have, partnerWait.Milliseconds(), url.QueryEscape(own)))
	if err != nil {
		return federation.Error.New("no answer: %v", err)
	}
	defer w.Body.Close()
	if w.StatusCode == http.StatusNotModified {
		c.confirm(p.Name, began)
		return nil
	}
	raw, err := io.ReadAll(io.LimitReader(w.Body, partnerBytes))
	if err != nil || w.StatusCode != http.StatusOK {
		return federation.Error.New("answers %d: %v", w.StatusCode, err)
	}
	t, err := federation.Parse(raw, p.Name, own)
	if err != nil {
		return err
	}
	changed := false
	err = c.changeImports(context.Background(), reign, func(book *federation.ImportBook) (err error) {
		changed, err = book.Take(t, routing.Digest("exports", raw))
		return err
	})
	if err != nil {
		return err
	}
	if changed {
		c.log.Info("partner", "name", p.Name, "edition", t.Edition, "exports", len(t.Exports))
	}
	c.confirm(p.Name, began)
	return nil
}

func (c *Controller) confirm(partner string, at int64) {
	b := &c.gateway
	b.Lock()
	defer b.Unlock()
	b.heard[partner] = max(b.heard[partner], at)
}

// tellPartner reports that nothing goes any more where its edition forbids it.
func (c *Controller) tellPartner(p *routing.Partner, edition int64) {
	raw, _ := json.Marshal(map[string]any{"Edition": edition})
	w, err := outside.Post("http://"+p.Gateway+"/-/narrowed", "application/json", bytes.NewReader(raw))
	if err == nil {
		w.Body.Close()
		if w.StatusCode/100 == 2 {
			return
		}
		err = fmt.Errorf("answers %d", w.StatusCode)
	}
	c.log.Warn("partner", "name", p.Name, "told", edition, "err", err)
	time.Sleep(partnerPause)
	b := &c.gateway
	b.Lock()
	defer b.Unlock()
	if b.told[p.Name] == edition {
		b.told[p.Name] = edition - 1 // again
	}
}

// PartnerOrder is an operator's word on a partner.
type PartnerOrder struct {
	Partner, Who, Why   string
	Hold, Release, Drop bool
}

// partnered carries it out, by agreement.
func (c *Controller) handlePartnerOrder(ctx context.Context, o *PartnerOrder) (*federation.Import, error) {
	if o.Partner == "" || o.Who == "" || o.Why == "" {
		return nil, apierror.New(apierror.InvalidConfiguration, "a partner, who orders it and why have to be said")
	}
	out := &federation.Import{}
	err := c.changeImports(ctx, 0, func(book *federation.ImportBook) error {
		switch {
		case book.Partners[o.Partner] == nil:
			return apierror.New(apierror.InvalidConfiguration, "no partner is known as %q", o.Partner)
		case o.Drop:
			book.Drop(o.Partner, o.Who, o.Why)
		default:
			book.Close(o.Partner, o.Hold, o.Who, o.Why)
		}
		*out = *book.Partners[o.Partner]
		return nil
	})
	c.log.Info("partner", "name", o.Partner, "hold", o.Hold, "release", o.Release, "drop", o.Drop, "who", o.Who, "why", o.Why, "err", err)
	return out, err
}
