package testmesh

import (
	"fmt"
	"net"
	"strconv"
	"sync/atomic"

	"ottershift/internal/mesh/settings"
)

// freePorts returns ports that are free at the moment on an address.
func freePorts(host string, n int) (ports []int, err error) {
	for range n {
		listener, err := net.Listen("tcp4", host+":0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// Mesh is the settings of the processes of a whole mesh on loopback. Each machine has its own address, and all use the
// same ports.
type Mesh struct {
	Controllers, Proxies []*settings.Settings
}

var nextSubnet atomic.Int32

// Plan returns the settings of a mesh with the given numbers of controllers and proxies. Zones and services are
// assigned in turn.
func Plan(controllers, proxies int, zones, services []string, dir string) (*Mesh, error) {
	subnet := int(nextSubnet.Add(1)) + 20
	host := func(n int) string { return fmt.Sprintf("127.77.%d.%d", subnet, n+1) }
	ports, err := freePorts(host(0), 6)
	if err != nil {
		return nil, err
	}
	address := func(n, port int) string { return host(n) + ":" + strconv.Itoa(ports[port]) }
	var seeds []string
	for n := range min(controllers, 3) {
		seeds = append(seeds, address(n, 0))
	}
	mesh := &Mesh{}
	newSettings := func(n int) *settings.Settings {
		cfg := settings.Default()
		cfg.IP, cfg.Zone, cfg.Seeds, cfg.FirstInternalPort, cfg.LastInternalPort = host(n), zones[n%len(zones)], seeds, ports[1], ports[1]
		cfg.FirstStart, cfg.Tolerate.Machines, cfg.ControlAddress = true, 1, address(n, 0)
		for _, zone := range zones {
			cfg.RegionOfZone[zone] = "p"
		}
		return cfg
	}
	for n := range controllers {
		cfg := newSettings(n)
		cfg.Node, cfg.DataDir = fmt.Sprintf("controller-%d", n), fmt.Sprintf("%s/controller-%d", dir, n)
		mesh.Controllers = append(mesh.Controllers, cfg)
	}
	for n := range proxies {
		cfg := newSettings(controllers + n)
		cfg.Node, cfg.Service = fmt.Sprintf("proxy-%d", n), services[n%len(services)]
		cfg.InboundAddress, cfg.OutboundAddress, cfg.ReadinessAddress, cfg.UpstreamAddress = address(controllers+n, 2), address(controllers+n, 3), address(controllers+n, 4), address(controllers+n, 5)
		mesh.Proxies = append(mesh.Proxies, cfg)
	}
	return mesh, nil
}
