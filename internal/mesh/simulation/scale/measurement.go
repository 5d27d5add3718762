package scale

import (
	"os"
	"slices"
	"strings"
	"time"
)

// measurement holds the readings at the start of a phase.
type measurement struct {
	run                        *sizeRun
	phase                      Phase
	began                      time.Time
	watch                      Reading
	controllers, proxies, self []Usage
}

func (r *sizeRun) begin(phase Phase, rate float64) (*measurement, error) {
	for _, p := range slices.Concat(r.controllers, r.proxies) {
		if !p.running() {
			return nil, Error.New("%s exited unexpectedly", p.cmd.Path)
		}
	}
	r.load.reset()
	r.fleet.takeDelays()
	for _, g := range []group{r.controllers, r.proxies, r.self} {
		g.resetPeaks()
	}
	m := &measurement{run: r, phase: phase, watch: r.fleet.meter.Read()}
	var err error
	if m.controllers, m.proxies, m.self, err = r.usages(); err != nil {
		return nil, err
	}
	m.began = time.Now()
	return m, nil
}

func (r *sizeRun) usages() (controllers, proxies, self []Usage, err error) {
	if controllers, err = r.controllers.usage(); err != nil {
		return nil, nil, nil, err
	}
	if proxies, err = r.proxies.usage(); err != nil {
		return nil, nil, nil, err
	}
	self, err = r.self.usage()
	return controllers, proxies, self, err
}

func (m *measurement) end() (Row, error) {
	took := time.Since(m.began)
	controllers, proxies, self, err := m.run.usages()
	if err != nil {
		return Row{}, err
	}
	return Row{
		Size: m.run.fleet.size, Phase: m.phase, Took: took.Seconds(), Watch: m.run.fleet.meter.Read().Since(m.watch),
		Controllers: roleUsage(m.controllers, controllers, took), Proxies: roleUsage(m.proxies, proxies, took), Hollow: roleUsage(m.self, self, took),
		Machine: loadAverages(),
	}, nil
}

func (r *sizeRun) addRow(row Row, rate float64) error {
	if rate > 0 {
		row.Served = r.load.served(rate)
	}
	r.rows = append(r.rows, row)
	r.onRow(row)
	return nil
}

func loadAverages() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	return strings.Join(strings.Fields(string(text))[:3], " ")
}
