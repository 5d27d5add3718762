package consensus

import "slices"

const (
	// maxDepartedInstances is the number of departed upstream instances that are kept for a node.
	maxDepartedInstances = 8
	// maxDepartedNodes is the number of nodes whose departed instances are kept.
	maxDepartedNodes = 1024
)

// Departure is the end of an upstream instance on the machine of a proxy, which the proxy has promised to enforce: the
// instance has announced that it closes, or has signed off.
type Departure struct {
	Node     string // of the proxy
	Instance string // ID of the upstream instance
}

// NodeDepartures are the latest departed upstream instances of a node, the last one at the end.
type NodeDepartures struct {
	Node      string
	Instances []string
}

// DepartedInstances returns the departed upstream instances of a node.
func (s *State) DepartedInstances(node string) []string {
	for _, departures := range s.Departures {
		if departures.Node == node {
			return departures.Instances
		}
	}
	return nil
}

// WithDepartures returns the successor state with more departures, or nil if the state has all of them. The nodes are in
// the order of their latest departures, and the oldest departures are dropped beyond a fixed number.
func (s *State) WithDepartures(departures []Departure) *State {
	list := s.Departures
	for _, departure := range departures {
		list = withDeparture(list, departure)
	}
	if len(list) == len(s.Departures) && (len(list) == 0 || &list[0] == &s.Departures[0]) {
		return nil
	}
	next := s.successor()
	next.Departures = list
	return next
}

// withDeparture returns a copy of a list with one more departure, or the list itself if it has the departure.
func withDeparture(list []NodeDepartures, departure Departure) []NodeDepartures {
	latest := NodeDepartures{Node: departure.Node}
	position := slices.IndexFunc(list, func(d NodeDepartures) bool { return d.Node == departure.Node })
	if position >= 0 {
		if slices.Contains(list[position].Instances, departure.Instance) {
			return list
		}
		latest.Instances = list[position].Instances
	}
	latest.Instances = append(slices.Clone(latest.Instances), departure.Instance)
	latest.Instances = latest.Instances[max(0, len(latest.Instances)-maxDepartedInstances):]
	next := make([]NodeDepartures, 0, len(list)+1)
	for n, other := range list {
		if n != position {
			next = append(next, other)
		}
	}
	next = append(next, latest)
	return next[max(0, len(next)-maxDepartedNodes):]
}
