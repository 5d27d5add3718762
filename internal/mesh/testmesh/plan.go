package testmesh

import (
	"fmt"
	"net"
	"strconv"
	"sync/atomic"

	"ottershift/internal/mesh/settings"
)

// ports finds ports that are free at this moment on an address.
func ports(host string, n int) (all []int, err error) {
	for range n {
		l, err := net.Listen("tcp4", host+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		all = append(all, l.Addr().(*net.TCPAddr).Port)
	}
	return all, nil
}

// Mesh is the settings of a whole mesh on loopback: each machine has an address of its own, and all use the same ports.
type Mesh struct {
	Controllers, Proxies []*settings.Settings
}

var nextNet atomic.Int32

// Plan lays a mesh out: so many controllers and proxies, zones and services by turns.
func Plan(controllers, proxies int, zones, services []string, dir string) (*Mesh, error) {
	third := int(nextNet.Add(1)) + 20
	host := func(n int) string { return fmt.Sprintf("127.77.%d.%d", third, n+1) }
	p, err := ports(host(0), 6)
	if err != nil {
		return nil, err
	}
	at := func(n, port int) string { return host(n) + ":" + strconv.Itoa(p[port]) }
	var seeds []string
	for n := range min(controllers, 3) {
		seeds = append(seeds, at(n, 0))
	}
	m := &Mesh{}
	base := func(n int) *settings.Settings {
		b := settings.Default()
		b.IP, b.Zone, b.Seeds, b.FirstInternalPort, b.LastInternalPort = host(n), zones[n%len(zones)], seeds, p[1], p[1]
		b.FirstStart, b.Tolerate.Machines, b.ControlAddress = true, 1, at(n, 0)
		for _, z := range zones {
			b.RegionOfZone[z] = "p"
		}
		return b
	}
	for n := range controllers {
		b := base(n)
		b.Node, b.DataDir = fmt.Sprintf("controller-%d", n), fmt.Sprintf("%s/controller-%d", dir, n)
		m.Controllers = append(m.Controllers, b)
	}
	for n := range proxies {
		b := base(controllers + n)
		b.Node, b.Service = fmt.Sprintf("proxy-%d", n), services[n%len(services)]
		b.InboundAddress, b.OutboundAddress, b.ReadinessAddress, b.UpstreamAddress = at(controllers+n, 2), at(controllers+n, 3), at(controllers+n, 4), at(controllers+n, 5)
		m.Proxies = append(m.Proxies, b)
	}
	return m, nil
}
