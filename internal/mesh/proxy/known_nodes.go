package proxy

import (
	"maps"
	"slices"
	"time"

	"ottershift/internal/mesh/membership"
)

// knownNode is a proxy as the controllers report it.
type knownNode struct {
	membership.Record
	warmAt  time.Time // when its upstream has finished its cold start
	heardAt int64     // when a controller last heard of it directly, by this process's clock
}

// lateNodeList is a complete list of nodes from a current controller whose response arrived too late to remove nodes.
// The controller's next timely response confirms or discards it. If the list were requested again each time, a long
// list would never be applied over a link on which it is always late.
type lateNodeList struct {
	controller string // incarnation of the controller, "" for none
	names      map[string]bool
}

// recordLateList records a response that was not applied as a current one because it was late or its controller was
// not current.
func (p *Proxy) recordLateList(response *membership.WatchResponse, wasCurrent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case response.Starting || !wasCurrent:
		p.lateNodes = lateNodeList{}
	case response.Complete:
		p.lateNodes = lateNodeList{response.Controller, map[string]bool{}}
		p.lateNodes.add(response)
	case p.lateNodes.controller == response.Controller:
		p.lateNodes.add(response)
	default:
		p.lateNodes = lateNodeList{}
	}
}

// add applies the changes of a response to the list.
func (l *lateNodeList) add(response *membership.WatchResponse) {
	for _, record := range response.Nodes {
		l.names[record.Name] = true
	}
	for _, name := range response.RemovedNodes {
		delete(l.names, name)
	}
}

// confirmLateList removes the nodes that are missing from a late list, if a current response of the same controller
// continues from that list. The caller holds mu.
func (p *Proxy) confirmLateList(response *membership.WatchResponse) (confirmed bool) {
	lateNodes := p.lateNodes
	p.lateNodes = lateNodeList{}
	if response.Complete || response.Starting || lateNodes.controller == "" || lateNodes.controller != response.Controller {
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

// replaceNodes applies the nodes that a current controller reports. The caller holds mu.
func (p *Proxy) replaceNodes(response *membership.WatchResponse, askedAt int64) (changed bool) {
	if response.Complete {
		listed := map[string]bool{}
		for _, record := range response.Nodes {
			listed[record.Name] = true
		}
		for node := range p.nodes {
			if !listed[node] && !response.Starting { // a control plane that has just started has not heard of all nodes yet
				delete(p.nodes, node)
			}
		}
	}
	for _, record := range response.Nodes {
		p.putNode(record, askedAt)
	}
	for _, node := range response.RemovedNodes {
		delete(p.nodes, node)
	}
	p.position.Controller, p.position.Seq = response.Controller, response.Seq
	confirmed := p.confirmLateList(response)
	if response.Complete || confirmed {
		p.nodesOverlaid = response.Starting
	}
	if p.nodesOverlaid && !response.Starting {
		p.position.Controller = "" // ask for the complete list: changes never remove a node that this controller did not know
	}
	return len(response.Nodes)+len(response.RemovedNodes) > 0 || response.Complete || confirmed
}

// overlayNodes applies the records of a controller that is not current as far as they are newer, and removes no node.
// The caller holds mu.
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

// supersededBy reports whether a record that was heard at heardAt is newer than the known one.
func (n *knownNode) supersededBy(record membership.Record, heardAt int64) bool {
	if record.Incarnation == n.Incarnation {
		return record.Seq > n.Seq
	}
	return heardAt > n.heardAt
}

// putNode stores a record from the response to a request sent at askedAt. The caller holds mu.
func (p *Proxy) putNode(record membership.Record, askedAt int64) {
	known := &knownNode{Record: record, heardAt: askedAt - record.Age}
	if record.Upstream != nil {
		known.warmAt = time.Now().Add(time.Duration(record.Upstream.WarmupRemaining))
	}
	p.nodes[record.Name] = known
}

// addControllers adds reported controllers and keeps the known ones. The caller holds mu.
func (p *Proxy) addControllers(reported []membership.ControllerAddress) {
	for _, c := range reported {
		if !slices.ContainsFunc(p.controllers, func(known membership.ControllerAddress) bool { return known.Address == c.Address }) {
			p.controllers = append(p.controllers, c)
		}
	}
}

// setMembers updates the number of proxies that share the tenants' quotas. Only a current controller can lower it. The
// caller holds mu.
func (p *Proxy) setMembers(response *membership.WatchResponse) {
	members := max(response.BalancerCount, len(p.nodes), 1)
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

// applyNodeChanges updates the load balancers after a change of nodes. The caller holds mu.
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
