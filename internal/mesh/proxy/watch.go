package proxy

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"ottershift/internal/mesh/membership"
	"ottershift/internal/mesh/routing"
	"ottershift/internal/mesh/rpc"
)

const (
	watchWait  = 600 * time.Millisecond // that a watch request hangs at the controller
	watchGrace = 300 * time.Millisecond // beyond it, until another controller is asked
	// WatchTimeout is how long a controller that says nothing is waited for, and how old a response may be that is acted on.
	WatchTimeout = watchWait + watchGrace

	nextPause = 20 * time.Millisecond  // before another controller is asked
	roundWait = 100 * time.Millisecond // the same, once all that are known have been asked in vain
)

var errLateResponse = errors.New("the response is older than the watch timeout")

// knownNode is a balancer as a controller tells of it.
type knownNode struct {
	membership.Record
	warm  time.Time // when its upstream is no longer slow from its start
	heard int64     // when a controller had heard of it directly, by this process's clock
}

// watch renews this balancer's lease and takes news, from one controller at a time. Invariant: one that is cut off or stands still
// answers nothing, or old news for new; so each request has a short end, and who is not current is left.
func (f *Proxy) watch(ctx context.Context) {
	choice := newControllerChoice()
	failed := 0 // in a row
	for ctx.Err() == nil {
		known := f.knownControllers()
		at := choice.pick(known, f.now())
		current, interrupted, err := f.watchOnce(ctx, at)
		switch {
		case err != nil && interrupted:
		case err != nil:
			f.counts.Add("asks_failed")
			choice.failed(at, f.now())
			failed++
		case !current:
			f.counts.Add("asks_not_current")
			choice.notCurrent(at, f.now())
			failed++
		default:
			choice.succeeded(at)
			failed = 0
			continue
		}
		pause := nextPause
		if failed > len(known) {
			pause = roundWait
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// watchOnce asks one controller. interrupted says that the request was given up since there is something new to tell.
func (f *Proxy) watchOnce(ctx context.Context, at string) (current, interrupted bool, err error) {
	request, changed := f.watchRequest()
	call, end := context.WithTimeout(ctx, WatchTimeout)
	defer end()
	go func() {
		select {
		case <-changed: // what is new here is told at once
			end()
		case <-call.Done():
		}
	}()
	response, asked := &membership.WatchResponse{}, f.now()
	err = f.caller.Call(call, at, rpc.PathWatch, request, response)
	interrupted = errors.Is(call.Err(), context.Canceled)
	if err == nil && f.now()-asked > int64(WatchTimeout) && !f.withoutResponseAge {
		err = errLateResponse // this process stood still meanwhile: what the controller vouched for may be long over
	}
	if err != nil {
		return false, interrupted, err
	}
	if err = f.applyWatchResponse(response, asked); err == nil {
		f.hear(response, asked)
		if response.Current {
			f.keys.confirmed(asked)
		}
	}
	f.membersNow.Store(int64(f.memberCount()))
	return response.Current, interrupted, err
}

// watchRequest is what a controller is told and asked, and a channel that ends when there is more to tell.
func (f *Proxy) watchRequest() (request *membership.WatchRequest, changed <-chan struct{}) {
	f.mu.Lock()
	request = &membership.WatchRequest{Position: f.position, MaxWait: int64(watchWait)}
	f.mu.Unlock()
	f.exports.Lock()
	request.Position.Imports = f.exports.book.No
	f.exports.Unlock()
	upstream, seq, changed := f.local.snapshot()
	request.Node = membership.Node{Name: f.settings.Node, Inbound: f.settings.Inbound, District: f.settings.District, Life: f.life, Seq: seq,
		Upstream: upstream, Leaving: f.leaving.Load()}
	if request.Node.Leaving {
		request.Node.Seq += 1 << 32
	}
	return request, changed
}

func (f *Proxy) memberCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members
}

// knownControllers are whom to ask, in the order of preference: those of this zone first.
func (f *Proxy) knownControllers() (all []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	add := func(at string) {
		if !slices.Contains(all, at) {
			all = append(all, at)
		}
	}
	for _, c := range f.controllers {
		if c.Zone == f.settings.District {
			add(c.At)
		}
	}
	local := len(all)
	for _, c := range f.controllers {
		add(c.At)
	}
	for _, at := range f.seeds {
		add(at)
	}
	// Not all of a zone without a controller of its own ask the same one; and whom they ask does not depend on who told of whom: each
	// controller tells of itself first.
	if rest := all[local:]; len(rest) > 1 {
		slices.Sort(rest)
		by := len(f.settings.Node) + int(f.settings.Node[len(f.settings.Node)-1])
		rest = append(slices.Clone(rest[by%len(rest):]), rest[:by%len(rest)]...)
		all = append(all[:local:local], rest...)
	}
	return all
}

// applyWatchResponse takes a controller's news that was asked for at a time. One that is not current may be cut off: whoever it no
// longer hears of may be there, so that it adds to what is known, and takes nothing away.
func (f *Proxy) applyWatchResponse(n *membership.WatchResponse, asked int64) error {
	f.mu.Lock()
	changed := false
	if n.Current || f.withoutOverlay {
		changed = f.replaceNodes(n, asked)
		f.controllers = n.Controllers
	} else {
		changed = f.overlayNodes(n, asked)
		f.addControllers(n.Controllers)
	}
	f.wallet.reigns(n.Coordinator, n.Epoch)
	f.setMembers(n)
	if changed {
		f.nodesChanged()
	}
	f.mu.Unlock()
	return f.applyConfiguration(n)
}

// replaceNodes takes the nodes of a controller that is current. Under mu.
func (f *Proxy) replaceNodes(n *membership.WatchResponse, asked int64) (changed bool) {
	if n.Whole {
		told := map[string]bool{}
		for _, t := range n.Nodes {
			told[t.Name] = true
		}
		for node := range f.nodes {
			if !told[node] && !n.Starting { // Invariant: a core that has just started has heard of nobody yet
				delete(f.nodes, node)
			}
		}
	}
	for _, t := range n.Nodes {
		f.putNode(t, asked)
	}
	for _, node := range n.Gone {
		delete(f.nodes, node)
	}
	f.position.Controller, f.position.Seq = n.Controller, n.Seq
	if n.Whole {
		f.overlaid = n.Starting
	}
	if f.overlaid && !n.Starting {
		f.position.Controller = "" // all of them, next time: changes alone take nothing away that this controller never knew
	}
	return len(n.Nodes)+len(n.Gone) > 0 || n.Whole
}

// overlayNodes takes what a controller that is not current has heard of later than this process. Under mu.
func (f *Proxy) overlayNodes(n *membership.WatchResponse, asked int64) (changed bool) {
	for _, t := range n.Nodes {
		known := f.nodes[t.Name]
		if known != nil {
			if !known.precedes(t, asked-t.Age) {
				continue
			}
			t.Lost = known.Lost && t.Lost
		}
		f.putNode(t, asked)
		changed = true
	}
	f.position.Controller, f.position.Seq = n.Controller, n.Seq
	f.overlaid = true
	return changed
}

// precedes reports whether a record, of something heard of at a time, is later than what is known.
func (n *knownNode) precedes(t membership.Record, heard int64) bool {
	if t.Life == n.Life {
		return t.Seq > n.Seq
	}
	return heard > n.heard
}

// putNode takes a record. Under mu.
func (f *Proxy) putNode(t membership.Record, asked int64) {
	known := &knownNode{Record: t, heard: asked - t.Age}
	if t.Upstream != nil {
		known.warm = time.Now().Add(time.Duration(t.Upstream.Cold))
	}
	f.nodes[t.Name] = known
}

// addControllers keeps those that are known. Under mu.
func (f *Proxy) addControllers(told []membership.ControllerAddress) {
	for _, c := range told {
		if !slices.ContainsFunc(f.controllers, func(known membership.ControllerAddress) bool { return known.At == c.At }) {
			f.controllers = append(f.controllers, c)
		}
	}
}

// setMembers takes how many balancers share what all may spend; fewer only from who is current. Under mu.
func (f *Proxy) setMembers(n *membership.WatchResponse) {
	members := max(n.Members, len(f.nodes), 1)
	if !n.Current {
		members = max(members, f.members)
	}
	if members == f.members {
		return
	}
	f.members = members
	if v := f.view.Load(); v != nil {
		f.quota(v.table)
	}
}

// nodesChanged has the modules know of other nodes than before. Under mu.
func (f *Proxy) nodesChanged() {
	if count, place := f.rank(); count != f.ranked[0] || place != f.ranked[1] {
		f.ranked = [2]int{count, place}
		rulesOf := maps.Clone(f.rules)
		for name, p := range f.pools {
			if p.partners != nil {
				rulesOf[name] = p.rules
			}
		}
		for service, rules := range rulesOf {
			if err := f.retune(service, rules); err != nil {
				f.log.Error("retune", "service", service, "err", err)
			}
		}
	}
	f.relist()
}

// applyConfiguration puts a later configuration in force. The first one of a life is taken only from a controller that is current:
// any other may be older than what this machine went by before.
func (f *Proxy) applyConfiguration(n *membership.WatchResponse) error {
	switch {
	case n.Configuration != nil && (n.Current || f.view.Load() != nil):
		t, err := routing.Load(n.Configuration)
		if err != nil {
			return err
		}
		if err := f.adopt(n.Index, t); err != nil {
			return err
		}
		f.mu.Lock()
		f.position.Index, f.position.Edition = max(f.position.Index, n.Index), t.Edition
		f.mu.Unlock()
	case n.Configuration == nil && n.Index > f.position.Index && (n.Edition == f.position.Edition || n.Edition == 0):
		f.mu.Lock()
		f.position.Index = n.Index // something else was agreed
		f.mu.Unlock()
	}
	return nil
}
