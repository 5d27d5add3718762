package scale

import (
	"os"
	"slices"
	"strings"
	"time"
)

// probe is the readings at the start of a phase.
type probe struct {
	pass                       *pass
	phase                      Phase
	began                      time.Time
	watch                      Reading
	controllers, proxies, self []Usage
}

func (x *pass) begin(phase Phase, rate float64) (*probe, error) {
	for _, p := range slices.Concat(x.controllers, x.proxies) {
		if !p.running() {
			return nil, Error.New("%s ended by itself", p.cmd.Path)
		}
	}
	x.load.reset()
	x.fleet.takeDelays()
	for _, g := range []group{x.controllers, x.proxies, x.self} {
		g.resetPeaks()
	}
	p := &probe{pass: x, phase: phase, watch: x.fleet.meter.Read()}
	var err error
	if p.controllers, p.proxies, p.self, err = x.usages(); err != nil {
		return nil, err
	}
	p.began = time.Now()
	return p, nil
}

func (x *pass) usages() (controllers, proxies, self []Usage, err error) {
	if controllers, err = x.controllers.usage(); err != nil {
		return nil, nil, nil, err
	}
	if proxies, err = x.proxies.usage(); err != nil {
		return nil, nil, nil, err
	}
	self, err = x.self.usage()
	return controllers, proxies, self, err
}

func (p *probe) end() (Row, error) {
	took := time.Since(p.began)
	controllers, proxies, self, err := p.pass.usages()
	if err != nil {
		return Row{}, err
	}
	return Row{
		Size: p.pass.fleet.size, Phase: p.phase, Took: took.Seconds(), Watch: p.pass.fleet.meter.Read().Since(p.watch),
		Controllers: roleUsage(p.controllers, controllers, took), Proxies: roleUsage(p.proxies, proxies, took), Hollow: roleUsage(p.self, self, took),
		Machine: loadAverages(),
	}, nil
}

func (x *pass) add(row Row, rate float64) error {
	if rate > 0 {
		row.Served = x.load.served(rate)
	}
	x.rows = append(x.rows, row)
	x.tell(row)
	return nil
}

func loadAverages() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	return strings.Join(strings.Fields(string(text))[:3], " ")
}
