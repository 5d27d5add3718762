package controller

import (
	"context"

	"ottershift/internal/mesh/consensus"
)

// confirmedMembers is the set of members, by identity, that have confirmed that their disks hold a state.
type confirmedMembers map[string]bool

// confirmationRequirement states which confirmations are required: those of certain members, and at least a quorum.
type confirmationRequirement struct {
	members []string
	quorum  int
}

func (r confirmationRequirement) satisfiedBy(confirmed confirmedMembers) bool {
	for _, id := range r.members {
		if !confirmed[id] {
			return false
		}
	}
	return len(confirmed) >= r.quorum
}

// collectConfirmations sends a decided state to members and collects confirmations that their disks hold it or a
// later one. It returns once enough reports true, all members have answered, or the context ends. A response with an
// identity other than the member's does not count.
func (c *Controller) collectConfirmations(ctx context.Context, state *consensus.State, members []consensus.Member, enough func(confirmedMembers) bool) confirmedMembers {
	answers := make(chan string, len(members))
	for _, member := range members {
		go func() { answers <- c.requestConfirmation(ctx, state, member) }()
	}
	confirmed := confirmedMembers{}
	for range members {
		select {
		case id := <-answers:
			if id != "" {
				confirmed[id] = true
			}
		case <-ctx.Done():
			return confirmed
		}
		if enough(confirmed) {
			return confirmed
		}
	}
	return confirmed
}

// requestConfirmation sends a state to one member and returns its identity once its disk holds the state, or "".
func (c *Controller) requestConfirmation(ctx context.Context, state *consensus.State, member consensus.Member) string {
	request := consensus.Request{Kind: consensus.Learn, Value: state}
	var response *consensus.Response
	if member.Address == c.settings.InternalAddress() {
		response, _ = c.replicator.handle(ctx, &request)
	} else {
		response = c.replicator.send(ctx, member.Address, request)
	}
	if response == nil || response.ID != member.ID || !response.OK || response.Index < state.Index {
		return ""
	}
	return member.ID
}
