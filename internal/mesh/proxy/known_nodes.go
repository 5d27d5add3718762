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
	warm  time.Time // when its upstream is no longer slow from its start
	heard int64     // when a controller had heard of it directly, by this process's clock
}

// lateList is the nodes that a controller told of as all there are, while it was current, in an answer that came too late to be
// acted on so. Its next answer that comes in time says whether that holds. Invariant: asked for again each time, a long list would
// never be taken over a line on which it is always late.
type lateList struct {
	controller string // its life, "" for none
	names      map[string]bool
}

// noteLate takes an answer that was not acted on as a current one: it came late, or its controller was not current.
func (p *Proxy) noteLate(n *membership.WatchResponse, wasCurrent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case n.Starting || !wasCurrent:
		p.late = lateList{}
	case n.Complete:
		p.late = lateList{n.Controller, map[string]bool{}}
		p.late.add(n)
	case p.late.controller == n.Controller:
		p.late.add(n)
	default:
		p.late = lateList{}
	}
}

func (l *lateList) add(n *membership.WatchResponse) {
	for _, t := range n.Nodes {
		l.names[t.Name] = true
	}
	for _, name := range n.RemovedNodes {
		delete(l.names, name)
	}
}

// confirmLate drops the nodes that a late list does not name, once a current answer of the same controller builds on it. Under mu.
func (p *Proxy) confirmLate(n *membership.WatchResponse) (confirmed bool) {
	late := p.late
	p.late = lateList{}
	if n.Complete || n.Starting || late.controller == "" || late.controller != n.Controller {
		return false
	}
	late.add(n)
	for name := range p.nodes {
		if !late.names[name] {
			delete(p.nodes, name)
		}
	}
	return true
}

// replaceNodes takes the nodes of a controller that is current. Under mu.
func (p *Proxy) replaceNodes(n *membership.WatchResponse, asked int64) (changed bool) {
	if n.Complete {
		told := map[string]bool{}
		for _, t := range n.Nodes {
			told[t.Name] = true
		}
		for node := range p.nodes {
			if !told[node] && !n.Starting { // Invariant: a core that has just started has heard of nobody yet
				delete(p.nodes, node)
			}
		}
	}
	for _, t := range n.Nodes {
		p.putNode(t, asked)
	}
	for _, node := range n.RemovedNodes {
		delete(p.nodes, node)
	}
	p.position.Controller, p.position.Seq = n.Controller, n.Seq
	confirmed := p.confirmLate(n)
	if n.Complete || confirmed {
		p.overlaid = n.Starting
	}
	if p.overlaid && !n.Starting {
		p.position.Controller = "" // all of them, next time: changes alone take nothing away that this controller never knew
	}
	return len(n.Nodes)+len(n.RemovedNodes) > 0 || n.Complete || confirmed
}

// overlayNodes takes what a controller that is not current has heard of later than this process. Under mu.
func (p *Proxy) overlayNodes(n *membership.WatchResponse, asked int64) (changed bool) {
	for _, t := range n.Nodes {
		known := p.nodes[t.Name]
		if known != nil {
			if !known.precedes(t, asked-t.Age) {
				continue
			}
			t.Lost = known.Lost && t.Lost
		}
		p.putNode(t, asked)
		changed = true
	}
	p.position.Controller, p.position.Seq = n.Controller, n.Seq
	p.overlaid = true
	return changed
}

// precedes reports whether a record, of something heard of at a time, is later than what is known.
func (n *knownNode) precedes(t membership.Record, heard int64) bool {
	if t.Incarnation == n.Incarnation {
		return t.Seq > n.Seq
	}
	return heard > n.heard
}

// putNode takes a record. Under mu.
func (p *Proxy) putNode(t membership.Record, asked int64) {
	known := &knownNode{Record: t, heard: asked - t.Age}
	if t.Upstream != nil {
		known.warm = time.Now().Add(time.Duration(t.Upstream.WarmupRemaining))
	}
	p.nodes[t.Name] = known
}

// addControllers keeps those that are known. Under mu.
func (p *Proxy) addControllers(told []membership.ControllerAddress) {
	for _, c := range told {
		if !slices.ContainsFunc(p.controllers, func(known membership.ControllerAddress) bool { return known.Address == c.Address }) {
			p.controllers = append(p.controllers, c)
		}
	}
}

// setMembers takes how many balancers share what all may spend; fewer only from who is current. Under mu.
func (p *Proxy) setMembers(n *membership.WatchResponse) {
	members := max(n.BalancerCount, len(p.nodes), 1)
	if !n.Current {
		members = max(members, p.members)
	}
	if members == p.members {
		return
	}
	p.members = members
	if v := p.view.Load(); v != nil {
		p.quota(v.table)
	}
}

// nodesChanged has the modules know of other nodes than before. Under mu.
func (p *Proxy) nodesChanged() {
	if count, place := p.rank(); count != p.ranked[0] || place != p.ranked[1] {
		p.ranked = [2]int{count, place}
		rulesOf := maps.Clone(p.rules)
		for name, service := range p.pools {
			if service.partners != nil {
				rulesOf[name] = service.rules
			}
		}
		for service, rules := range rulesOf {
			if err := p.retune(service, rules); err != nil {
				p.log.Error("retune", "service", service, "err", err)
			}
		}
		if v := p.view.Load(); v != nil {
			p.view.Store(p.viewOf(v.index, v.table))
		}
	}
	p.relist()
}
