package proxy

import (
	"maps"
	"slices"
	"time"

	"ottershift/internal/mesh/membership"
)

// knownNode is a balancer as a controller tells of it.
type knownNode struct {
	membership.Record
	warmAt  time.Time // when its upstream is no longer slow from its start
	heardAt int64     // when a controller had heard of it directly, by this process's clock
}

// lateNodeList is the nodes that a controller told of as all there are, while it was current, in an answer that came too late to be
// acted on so. Its next answer that comes in time says whether that holds. Invariant: asked for again each time, a long list would
// never be taken over a line on which it is always late.
type lateNodeList struct {
	controller string // its life, "" for none
	names      map[string]bool
}

// recordLateList takes an answer that was not acted on as a current one: it came late, or its controller was not current.
func (p *Proxy) recordLateList(response *membership.WatchResponse, wasCurrent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case response.Starting || !wasCurrent:
		p.lateNodes = lateNodeList{}
	case response.Whole:
		p.lateNodes = lateNodeList{response.Controller, map[string]bool{}}
		p.lateNodes.add(response)
	case p.lateNodes.controller == response.Controller:
		p.lateNodes.add(response)
	default:
		p.lateNodes = lateNodeList{}
	}
}

func (l *lateNodeList) add(response *membership.WatchResponse) {
	for _, record := range response.Nodes {
		l.names[record.Name] = true
	}
	for _, name := range response.Gone {
		delete(l.names, name)
	}
}

// confirmLateList drops the nodes that a late list does not name, once a current answer of the same controller builds on it. Under mu.
func (p *Proxy) confirmLateList(response *membership.WatchResponse) (confirmed bool) {
	lateNodes := p.lateNodes
	p.lateNodes = lateNodeList{}
	if response.Whole || response.Starting || lateNodes.controller == "" || lateNodes.controller != response.Controller {
		return false
	}
	lateNodes.add(response)
	for name := range p.nodes {
		if !lateNodes.names[name] {
			delete(p.nodes, name)
		}
	}
	return true
}

// replaceNodes takes the nodes of a controller that is current. Under mu.
func (p *Proxy) replaceNodes(response *membership.WatchResponse, askedAt int64) (changed bool) {
	if response.Whole {
		listed := map[string]bool{}
		for _, record := range response.Nodes {
			listed[record.Name] = true
		}
		for node := range p.nodes {
			if !listed[node] && !response.Starting { // Invariant: a core that has just started has heard of nobody yet
				delete(p.nodes, node)
			}
		}
	}
	for _, record := range response.Nodes {
		p.putNode(record, askedAt)
	}
	for _, node := range response.Gone {
		delete(p.nodes, node)
	}
	p.position.Controller, p.position.Seq = response.Controller, response.Seq
	confirmed := p.confirmLateList(response)
	if response.Whole || confirmed {
		p.nodesOverlaid = response.Starting
	}
	if p.nodesOverlaid && !response.Starting {
		p.position.Controller = "" // all of them, next time: changes alone take nothing away that this controller never knew
	}
	return len(response.Nodes)+len(response.Gone) > 0 || response.Whole || confirmed
}

// overlayNodes takes what a controller that is not current has heard of later than this process. Under mu.
func (p *Proxy) overlayNodes(response *membership.WatchResponse, askedAt int64) (changed bool) {
	for _, record := range response.Nodes {
		known := p.nodes[record.Name]
		if known != nil {
			if !known.supersededBy(record, askedAt-record.Age) {
				continue
			}
			record.Lost = known.Lost && record.Lost
		}
		p.putNode(record, askedAt)
		changed = true
	}
	p.position.Controller, p.position.Seq = response.Controller, response.Seq
	p.nodesOverlaid = true
	return changed
}

// supersededBy reports whether a record, of something heard of at a time, is later than what is known.
func (n *knownNode) supersededBy(record membership.Record, heardAt int64) bool {
	if record.Life == n.Life {
		return record.Seq > n.Seq
	}
	return heardAt > n.heardAt
}

// putNode takes a record. Under mu.
func (p *Proxy) putNode(record membership.Record, askedAt int64) {
	known := &knownNode{Record: record, heardAt: askedAt - record.Age}
	if record.Upstream != nil {
		known.warmAt = time.Now().Add(time.Duration(record.Upstream.Cold))
	}
	p.nodes[record.Name] = known
}

// addControllers keeps those that are known. Under mu.
func (p *Proxy) addControllers(reported []membership.ControllerAddress) {
	for _, c := range reported {
		if !slices.ContainsFunc(p.controllers, func(known membership.ControllerAddress) bool { return known.At == c.At }) {
			p.controllers = append(p.controllers, c)
		}
	}
}

// setMembers takes how many balancers share what all may spend; fewer only from who is current. Under mu.
func (p *Proxy) setMembers(response *membership.WatchResponse) {
	members := max(response.Members, len(p.nodes), 1)
	if !response.Current {
		members = max(members, p.members)
	}
	if members == p.members {
		return
	}
	p.members = members
	if v := p.view.Load(); v != nil {
		p.applyQuotas(v.configuration)
	}
}

// applyNodeChanges has the modules know of other nodes than before. Under mu.
func (p *Proxy) applyNodeChanges() {
	if count, ordinal := p.nodeRank(); count != p.lastRank[0] || ordinal != p.lastRank[1] {
		p.lastRank = [2]int{count, ordinal}
		byService := maps.Clone(p.routes)
		for name, service := range p.pools {
			if service.partners != nil {
				byService[name] = service.routes
			}
		}
		for service, routes := range byService {
			if err := p.updateRoutes(service, routes); err != nil {
				p.log.Error("retune", "service", service, "err", err)
			}
		}
		if v := p.view.Load(); v != nil {
			p.view.Store(p.newView(v.index, v.configuration))
		}
	}
	p.updateUpstreamLists()
}
