package controller

import (
	"encoding/json"

	"ottershift/internal/mesh/apierror"
	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/routing"
)

// Calls by which operators change the configuration.
const (
	callReplace = "timetable.replace"
	callAmend   = "timetable.amend"
)

// configurationOrder is an operator's order to change the configuration. Its digest is its identity: the same call with the
// same body, sent again, is the same order.
type configurationOrder struct {
	call    string
	body    []byte
	base    int64 // the edition that it builds on
	digest  string
	edition int64                  // that it sets, 0 where the body does not tell
	whole   *routing.Configuration // of a replacement that can be read
	invalid error                  // of a body that is invalid on top of whatever edition

	decided decision
}

// decision is what an order came to on top of a state.
type decision struct {
	newest *consensus.State // nil for none yet
	next   *consensus.State
	err    error
}

// newConfigurationOrder reads an order. One with an invalid body is an order, too: it is refused where it is decided.
func newConfigurationOrder(call string, base int64, body []byte) *configurationOrder {
	o := &configurationOrder{call: call, body: body, base: base, digest: routing.Digest(call, body)}
	if call == callReplace {
		o.whole, o.invalid = routing.Parse(body)
		if o.whole != nil {
			o.edition = o.whole.Edition
		}
		return o
	}
	var amendment struct{ Edition int64 }
	if err := json.Unmarshal(body, &amendment); err != nil {
		o.invalid = routing.Error.New("can't be read whole: %v", err)
	}
	o.edition = amendment.Edition
	return o
}

// decide is the state after the order, on top of the newest state beyond doubt; nil where the order has been applied
// already. current is the configuration of that state, nil for none. The last decision is kept: attempts ask more than once.
//
// Invariant: an order that was applied is never refused. It is found by its digest as long as it is remembered; after that
// the list of applied changes no longer rules it out, and whether it was applied is unclear. An order that builds on the
// newest edition, or whose body is invalid on top of any edition, needs no memory: it can't have been applied.
func (o *configurationOrder) decide(newest *consensus.State, current func() (*routing.Configuration, error)) (*consensus.State, error) {
	if o.decided.newest != newest {
		next, err := o.decideOn(newest, current)
		o.decided = decision{newest, next, err}
	}
	return o.decided.next, o.decided.err
}

func (o *configurationOrder) decideOn(newest *consensus.State, current func() (*routing.Configuration, error)) (*consensus.State, error) {
	switch {
	case newest.AppliedChanges.Contains(o.digest):
		return nil, nil
	case o.invalid != nil:
		return nil, apierror.New(apierror.InvalidConfiguration, "%v", o.invalid)
	case newest.Edition != o.base && !newest.AppliedChanges.RulesOut(o.edition, o.base):
		return nil, apierror.New(apierror.OutcomeUnknown, "version %d is older than what is remembered of changes (from %d on): whether this one was applied is not known; version %d is current",
			o.base, newest.AppliedChanges[0].Edition, newest.Edition)
	case newest.Edition != o.base:
		return nil, apierror.New(apierror.VersionConflict, "version %d is current, not %d", newest.Edition, o.base)
	}
	next, err := o.configuration(current)
	if err != nil {
		return nil, err
	}
	if next.Edition <= newest.Edition {
		return nil, apierror.New(apierror.InvalidConfiguration, "Edition: %d is not above %d", next.Edition, newest.Edition)
	}
	return newest.WithConfiguration(next.Edition, next.Document(), o.digest), nil
}

// configuration is the one that the order makes of the current one.
func (o *configurationOrder) configuration(current func() (*routing.Configuration, error)) (*routing.Configuration, error) {
	if o.call == callReplace {
		return o.whole, nil
	}
	base, err := current()
	if err != nil {
		return nil, err
	}
	if base == nil {
		return nil, apierror.New(apierror.VersionConflict, "there is nothing yet to amend")
	}
	next, err := base.Amend(o.body)
	if err != nil {
		return nil, apierror.New(apierror.InvalidConfiguration, "%v", err)
	}
	return next, nil
}
