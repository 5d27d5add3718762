package controller

import (
	"context"

	"ottershift/internal/mesh/consensus"
)

// confirmed is the members whose disks hold a state, by their own word, by identity.
type confirmed map[string]bool

// confirmationNeed is whose word is needed: each of some members, and as many as a quorum.
type confirmationNeed struct {
	members []string
	quorum  int
}

func (n confirmationNeed) met(by confirmed) bool {
	for _, id := range n.members {
		if !by[id] {
			return false
		}
	}
	return len(by) >= n.quorum
}

// confirmHeld tells members a decided state and collects whose disks hold it, or a later one, until that is enough, all
// have answered, or the context ends. An answer under another identity than the member's is no confirmation.
func (c *Controller) confirmHeld(ctx context.Context, s *consensus.State, members []consensus.Member, enough func(confirmed) bool) confirmed {
	answers := make(chan string, len(members))
	for _, m := range members {
		go func() { answers <- c.heldBy(ctx, s, m) }()
	}
	held := confirmed{}
	for range members {
		select {
		case id := <-answers:
			if id != "" {
				held[id] = true
			}
		case <-ctx.Done():
			return held
		}
		if enough(held) {
			return held
		}
	}
	return held
}

// heldBy tells one member a state and returns its identity once its disk holds it, nothing otherwise.
func (c *Controller) heldBy(ctx context.Context, s *consensus.State, m consensus.Member) string {
	request := consensus.Request{Kind: consensus.Learn, Value: s}
	var response *consensus.Response
	if m.At == c.settings.InternalAddress() {
		response, _ = c.replicator.handle(ctx, &request)
	} else {
		response = c.replicator.send(ctx, m.At, request)
	}
	if response == nil || response.ID != m.ID || !response.OK || response.Index < s.Index {
		return ""
	}
	return m.ID
}
