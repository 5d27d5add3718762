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
	partnerPollWait      = 2 * time.Second // how long a partner may hold a poll until its exports change
	partnerTimeout       = partnerPollWait + time.Second
	partnerRetryInterval = time.Second // after a failed request
	maxExportsBytes      = 4<<20 + 1
)

// partnerTracker is what this controller knows of partner meshes. Only the coordinator polls partners and agrees on
// their exports.
type partnerTracker struct {
	sync.Mutex
	epoch       uint64
	revocations *federation.NarrowingTracker
	polling     map[string]bool
	confirmedAt map[string]int64  // when a partner last confirmed its exports, by this controller's clock
	pollErrors  map[string]string // error of the last poll of each partner, "" for none
	notified    map[string]int64  // the last version whose revocations a partner has been told are complete

	importsInUse map[string]uint64 // the import version in use at each proxy that watches this controller

	imports        *federation.ImportRegistry // as agreed
	encodedImports []byte
}

// importBook returns the agreed imports from partners.
func (c *Controller) importBook(state *consensus.State) *federation.ImportRegistry {
	partners := &c.partnerState
	partners.Lock()
	defer partners.Unlock()
	if partners.imports == nil || !bytes.Equal(partners.encodedImports, state.Imports) {
		imports, err := federation.DecodeImportRegistry(state.Imports)
		if err != nil {
			c.log.Error("partners", "err", err)
			imports = federation.NewImportRegistry()
		}
		partners.imports, partners.encodedImports = imports, state.Imports
	}
	return partners.imports
}

// confirmationAges returns how long ago each partner confirmed its exports, as far as is known here.
func (c *Controller) confirmationAges() map[string]int64 {
	partners := &c.partnerState
	partners.Lock()
	defer partners.Unlock()
	if len(partners.confirmedAt) == 0 {
		return nil
	}
	ages := map[string]int64{}
	for partner, at := range partners.confirmedAt {
		ages[partner] = c.now() - at
	}
	return ages
}

// recordImportsInUse records the import version that a proxy uses.
func (c *Controller) recordImportsInUse(node string, importsNo uint64) {
	partners := &c.partnerState
	partners.Lock()
	defer partners.Unlock()
	partners.importsInUse[node] = importsNo
}

// mergeConfirmationAges merges the confirmation ages that another controller knows.
func (c *Controller) mergeConfirmationAges(ages map[string]int64) {
	partners := &c.partnerState
	partners.Lock()
	defer partners.Unlock()
	for partner, age := range ages {
		if at := c.now() - age; partners.confirmedAt[partner] == 0 || at > partners.confirmedAt[partner] {
			partners.confirmedAt[partner] = at
		}
	}
}

// maintainFederation runs the coordinator's federation tasks: it polls each partner, completes revocations, and
// notifies partners of completed ones.
func (c *Controller) maintainFederation(ctx context.Context, state *consensus.State) {
	configuration, err := c.parsedConfiguration(state)
	if err != nil || configuration == nil || state.Coordinator.Incarnation != c.incarnation || !c.replicator.isCurrent(state) {
		return
	}
	book := c.importBook(state)
	if len(configuration.Partners) == 0 && len(book.Partners) == 0 {
		return
	}
	partners := &c.partnerState
	partners.Lock()
	if partners.epoch != state.Epoch || partners.revocations == nil {
		partners.epoch, partners.revocations, partners.notified = state.Epoch, federation.NewNarrowingTracker(), map[string]int64{}
	}
	due := partners.revocations.Due(book, c.now())
	partners.Unlock()
	var names []string
	for _, partner := range configuration.Partners {
		names = append(names, partner.Name)
		partners.Lock()
		idle := !partners.polling[partner.Name]
		partners.polling[partner.Name] = true
		notified := partners.notified[partner.Name]
		partners.Unlock()
		imported := book.Partners[partner.Name]
		if idle {
			edition := int64(0)
			if imported != nil && imported.Table != nil {
				edition = imported.Table.Edition
			}
			go c.pollPartner(partner, configuration.Mesh, edition, state.Epoch)
		}
		if imported != nil && imported.AnnouncedEdition > notified {
			partners.Lock()
			partners.notified[partner.Name] = imported.AnnouncedEdition
			partners.Unlock()
			go c.notifyRevoked(partner, imported.AnnouncedEdition)
		}
	}
	remaining := federation.NewImportRegistry()
	if raw, err := book.Encode(); err == nil {
		remaining, _ = federation.DecodeImportRegistry(raw)
	}
	if len(due) > 0 || remaining != nil && remaining.RetainOnly(names) {
		c.changeImports(ctx, state.Epoch, func(book *federation.ImportRegistry) error {
			book.RetainOnly(names)
			for name, importsNo := range due {
				if book.CompleteNarrowing(name, importsNo) {
					c.log.Info("partner", "name", name, "narrowed", importsNo, "done", true)
				}
			}
			return nil
		})
	}
}

// changeImports changes the agreed imports. With an epoch other than 0, it fails once another epoch has begun.
func (c *Controller) changeImports(ctx context.Context, epoch uint64, update func(*federation.ImportRegistry) error) error {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	_, err := c.replicator.change(ctx, c.otherControllers, func(newest *consensus.State) (*consensus.State, error) {
		if epoch > 0 && (newest.Epoch != epoch || newest.Coordinator.Incarnation != c.incarnation) {
			return nil, apierror.New(apierror.OutcomeUnknown, "another controller is the coordinator")
		}
		book, err := federation.DecodeImportRegistry(newest.Imports)
		if err != nil {
			return nil, err
		}
		if err := update(book); err != nil {
			return nil, err
		}
		raw, err := book.Encode()
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

// partnerClient calls the gateways of partners. It does not follow redirects.
var partnerClient = &http.Client{
	Timeout:       partnerTimeout,
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// pollPartner polls one partner with the version known here. The partner answers when its exports have changed, or
// confirms that they have not.
func (c *Controller) pollPartner(partner *routing.Partner, meshName string, edition int64, epoch uint64) {
	err := c.pollPartnerOnce(partner, meshName, edition, epoch)
	partners := &c.partnerState
	partners.Lock()
	text := ""
	if err != nil {
		text = err.Error()
	}
	if partners.pollErrors[partner.Name] != text {
		c.log.Info("partner", "name", partner.Name, "fault", text)
	}
	partners.pollErrors[partner.Name] = text
	partners.Unlock()
	if err != nil {
		time.Sleep(partnerRetryInterval)
	}
	partners.Lock()
	partners.polling[partner.Name] = false
	partners.Unlock()
}

func (c *Controller) pollPartnerOnce(partner *routing.Partner, meshName string, edition int64, epoch uint64) error {
	started := c.now()
	response, err := partnerClient.Get(fmt.Sprintf("http://%s/-/exports?have=%d&wait=%d&mesh=%s", partner.Gateway,
		edition, partnerPollWait.Milliseconds(), url.QueryEscape(meshName)))
	if err != nil {
		return federation.Error.New("partner did not answer: %v", err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified {
		c.recordPartnerConfirmation(partner.Name, started)
		return nil
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxExportsBytes))
	if err != nil || response.StatusCode != http.StatusOK {
		return federation.Error.New("partner answered with status %d: %v", response.StatusCode, err)
	}
	exports, err := federation.Parse(raw, partner.Name, meshName)
	if err != nil {
		return err
	}
	changed := false
	err = c.changeImports(context.Background(), epoch, func(book *federation.ImportRegistry) (err error) {
		changed, err = book.ApplyTable(exports, routing.Digest("exports", raw))
		return err
	})
	if err != nil {
		return err
	}
	if changed {
		c.log.Info("partner", "name", partner.Name, "edition", exports.Edition, "exports", len(exports.Exports))
	}
	c.recordPartnerConfirmation(partner.Name, started)
	return nil
}

func (c *Controller) recordPartnerConfirmation(partner string, at int64) {
	partners := &c.partnerState
	partners.Lock()
	defer partners.Unlock()
	partners.confirmedAt[partner] = max(partners.confirmedAt[partner], at)
}

// notifyRevoked notifies a partner that the revocations of one of its versions are complete: no more requests go to
// what that version no longer exports.
func (c *Controller) notifyRevoked(partner *routing.Partner, edition int64) {
	raw, _ := json.Marshal(map[string]any{"Edition": edition})
	response, err := partnerClient.Post("http://"+partner.Gateway+"/-/narrowed", "application/json", bytes.NewReader(raw))
	if err == nil {
		response.Body.Close()
		if response.StatusCode/100 == 2 {
			return
		}
		err = fmt.Errorf("status %d", response.StatusCode)
	}
	c.log.Warn("partner", "name", partner.Name, "told", edition, "err", err)
	time.Sleep(partnerRetryInterval)
	partners := &c.partnerState
	partners.Lock()
	defer partners.Unlock()
	if partners.notified[partner.Name] == edition {
		partners.notified[partner.Name] = edition - 1 // so that it is sent again
	}
}

// PartnerOrder is an operator's command on a partner.
type PartnerOrder struct {
	Partner, Who, Why   string
	Hold, Release, Drop bool
}

// handlePartnerOrder has the core agree on an operator's command and returns the resulting import.
func (c *Controller) handlePartnerOrder(ctx context.Context, order *PartnerOrder) (*federation.Import, error) {
	if order.Partner == "" || order.Who == "" || order.Why == "" {
		return nil, apierror.New(apierror.InvalidConfiguration, "Partner, Who and Why are required")
	}
	imported := &federation.Import{}
	err := c.changeImports(ctx, 0, func(book *federation.ImportRegistry) error {
		switch {
		case book.Partners[order.Partner] == nil:
			return apierror.New(apierror.InvalidConfiguration, "unknown partner %q", order.Partner)
		case order.Drop:
			book.Drop(order.Partner, order.Who, order.Why)
		default:
			book.SetSuspended(order.Partner, order.Hold, order.Who, order.Why)
		}
		*imported = *book.Partners[order.Partner]
		return nil
	})
	c.log.Info("partner", "name", order.Partner, "hold", order.Hold, "release", order.Release, "drop", order.Drop,
		"who", order.Who, "why", order.Why, "err", err)
	return imported, err
}
