package controller

import (
	"encoding/json"

	"ottershift/internal/mesh/apierror"
	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/routing"
)

// Calls with which operators change the configuration.
const (
	callReplace = "timetable.replace"
	callAmend   = "timetable.amend"
)

// configurationUpdate is an operator's request to change the configuration. It is identified by its digest: a call
// that is repeated with the same body is the same update.
type configurationUpdate struct {
	call        string
	body        []byte
	base        int64 // the version that it builds on
	digest      string
	edition     int64                  // the version that it sets, 0 if the body does not contain one
	replacement *routing.Configuration // the parsed configuration of a valid replacement
	invalid     error                  // why the body is invalid regardless of the current version

	decision updateDecision
}

// updateDecision is the result of an update on top of a state.
type updateDecision struct {
	newest *consensus.State // nil before the first decision
	next   *consensus.State
	err    error
}

// newConfigurationUpdate parses an update. An invalid body is not an error here; decide rejects it.
func newConfigurationUpdate(call string, base int64, body []byte) *configurationUpdate {
	update := &configurationUpdate{call: call, body: body, base: base, digest: routing.Digest(call, body)}
	if call == callReplace {
		update.replacement, update.invalid = routing.Parse(body)
		if update.replacement != nil {
			update.edition = update.replacement.Edition
		}
		return update
	}
	var amendment struct{ Edition int64 }
	if err := json.Unmarshal(body, &amendment); err != nil {
		update.invalid = routing.Error.New("the body is not a complete JSON document: %v", err)
	}
	update.edition = amendment.Edition
	return update
}

// decide returns the state after the update on top of newest, which must be known to be the newest state. It returns
// nil if the update has already been applied. current returns the configuration of that state, or nil. The last
// result is cached because each attempt asks again.
//
// An update that was applied is never rejected. It is recognized by its digest while the list of applied changes
// contains it. Once the list no longer reaches back far enough to rule the update out, its outcome is reported as
// unclear. Updates that build on the newest version, or whose body is invalid on top of any version, cannot have been
// applied and need no such check.
func (u *configurationUpdate) decide(newest *consensus.State, current func() (*routing.Configuration, error)) (*consensus.State, error) {
	if u.decision.newest != newest {
		next, err := u.decideOn(newest, current)
		u.decision = updateDecision{newest, next, err}
	}
	return u.decision.next, u.decision.err
}

func (u *configurationUpdate) decideOn(newest *consensus.State, current func() (*routing.Configuration, error)) (*consensus.State, error) {
	switch {
	case newest.AppliedChanges.Contains(u.digest):
		return nil, nil
	case u.invalid != nil:
		return nil, apierror.New(apierror.InvalidConfiguration, "%v", u.invalid)
	case newest.Edition != u.base && !newest.AppliedChanges.CertainlyNotApplied(u.edition, u.base):
		return nil, apierror.New(apierror.OutcomeUnknown, "base version %d is older than the record of applied changes (from version %d on), so it is not known whether this change was applied; version %d is current",
			u.base, newest.AppliedChanges[0].Edition, newest.Edition)
	case newest.Edition != u.base:
		return nil, apierror.New(apierror.VersionConflict, "version mismatch: version %d is current, not %d", newest.Edition, u.base)
	}
	next, err := u.configuration(current)
	if err != nil {
		return nil, err
	}
	if next.Edition <= newest.Edition {
		return nil, apierror.New(apierror.InvalidConfiguration, "Edition: %d is not greater than the current version %d",
			next.Edition, newest.Edition)
	}
	return newest.WithConfiguration(next.Edition, next.Document(), u.digest), nil
}

// configuration returns the configuration that results from applying the update to the current one.
func (u *configurationUpdate) configuration(current func() (*routing.Configuration, error)) (*routing.Configuration, error) {
	if u.call == callReplace {
		return u.replacement, nil
	}
	base, err := current()
	if err != nil {
		return nil, err
	}
	if base == nil {
		return nil, apierror.New(apierror.VersionConflict, "there is no configuration to amend yet")
	}
	next, err := base.Amend(u.body)
	if err != nil {
		return nil, apierror.New(apierror.InvalidConfiguration, "%v", err)
	}
	return next, nil
}
