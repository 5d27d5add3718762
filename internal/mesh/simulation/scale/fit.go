package scale

import "math"

// Slope is how a figure grows with the number of balancers.
type Slope struct {
	Phase    Phase
	Rate     float64 `json:",omitempty"` // calls a second, for phases that serve
	Figure   string
	Unit     string
	Sizes    []int
	Values   []float64
	Base     float64 // of the straight line through them
	PerNode  float64 // its slope
	Exponent float64 // of the power through them: 1 in proportion, 2 with the square
}

// figure is one that is fitted; of reports false where a row has none.
type figure struct {
	name, unit string
	of         func(*Row) (float64, bool)
}

func always(of func(*Row) float64) func(*Row) (float64, bool) {
	return func(r *Row) (float64, bool) { return of(r), true }
}

func (r *Row) perBalancer(n int64) float64 { return float64(n) / r.Took / float64(r.Size) }

var figures = []figure{
	{"watch requests of a balancer", "1/s", always(func(r *Row) float64 { return r.perBalancer(r.Watch.Requests) })},
	{"told to a balancer", "KB/s", always(func(r *Row) float64 { return r.perBalancer(r.Watch.Received) / 1000 })},
	{"sent by a balancer", "KB/s", always(func(r *Row) float64 { return r.perBalancer(r.Watch.Sent) / 1000 })},
	{"told to all", "MB", always(func(r *Row) float64 { return float64(r.Watch.Received) / 1e6 })},
	{"responses with all nodes, to all", "1/s", always(func(r *Row) float64 { return float64(r.Watch.Whole) / r.Took })},
	{"failed watch requests", "", always(func(r *Row) float64 { return float64(r.Watch.Failed) })},
	{"draws of a balancer", "1/s", ofDraws(func(r *Row) float64 { return r.perBalancer(r.Watch.Draws) })},
	{"calls that wait for a draw", "", ofDraws(func(r *Row) float64 { return float64(r.Watch.QuotaWaited) / float64(max(r.Watch.QuotaCalls, 1)) })},
	{"draws that fail", "", ofDraws(func(r *Row) float64 { return float64(r.Watch.DrawsFailed) / float64(r.Watch.Draws) })},
	{"new connections", "1/s", always(func(r *Row) float64 { return float64(r.Watch.Dialed) / r.Took })},
	{"processor, controllers together", "cores", always(func(r *Row) float64 { return r.Controllers.Cores })},
	{"processor, busiest controller", "cores", always(func(r *Row) float64 { return r.Controllers.BusiestCore })},
	{"memory, largest controller", "MB", always(func(r *Row) float64 { return r.Controllers.LargestMB })},
	{"descriptors, fullest controller", "", always(func(r *Row) float64 { return float64(r.Controllers.Descriptors) })},
	{"processor, all hollow balancers", "cores", always(func(r *Row) float64 { return r.Hollow.Cores })},
	{"processor, a proxy", "cores", ofProxies(func(u RoleUsage) float64 { return u.Cores / float64(u.Processes) })},
	{"memory, largest proxy", "MB", ofProxies(func(u RoleUsage) float64 { return u.LargestMB })},
	{"descriptors, fullest proxy", "", ofProxies(func(u RoleUsage) float64 { return float64(u.Descriptors) })},
	{"news told, p50", "ms", ofTold(func(d *Delay) float64 { return d.P50 })},
	{"news told, p99", "ms", ofTold(func(d *Delay) float64 { return d.P99 })},
	{"all know all", "s", func(r *Row) (float64, bool) {
		if r.Complete == nil || *r.Complete < 0 {
			return 0, false
		}
		return *r.Complete, true
	}},
	{"served", "", ofServed(func(s *Served) float64 { return float64(s.OK) / float64(max(s.Calls, 1)) })},
	{"added by two hops, p50", "ms", ofServed(func(s *Served) float64 { return s.Added().P50 })},
	{"added by two hops, p99", "ms", ofServed(func(s *Served) float64 { return s.Added().P99 })},
}

func ofProxies(of func(RoleUsage) float64) func(*Row) (float64, bool) {
	return func(r *Row) (float64, bool) {
		if r.Proxies.Processes == 0 {
			return 0, false
		}
		return of(r.Proxies), true
	}
}

func ofTold(of func(*Delay) float64) func(*Row) (float64, bool) {
	return func(r *Row) (float64, bool) {
		if r.Told == nil || r.Told.Count == 0 {
			return 0, false
		}
		return of(r.Told), true
	}
}

func ofDraws(of func(*Row) float64) func(*Row) (float64, bool) {
	return func(r *Row) (float64, bool) {
		if r.Watch.Draws == 0 {
			return 0, false
		}
		return of(r), true
	}
}

func ofServed(of func(*Served) float64) func(*Row) (float64, bool) {
	return func(r *Row) (float64, bool) {
		if r.Served == nil || r.Served.Calls == 0 {
			return 0, false
		}
		return of(r.Served), true
	}
}

type series struct {
	phase Phase
	rate  float64
}

func (r *Row) series() series {
	if r.Phase == PhaseServe && r.Served != nil {
		return series{r.Phase, r.Served.Rate}
	}
	return series{phase: r.Phase}
}

// fitAll fits each figure of each phase over the sizes.
func fitAll(rows []Row) (all []Slope) {
	var order []series
	by := map[series][]*Row{}
	for n := range rows {
		of := rows[n].series()
		if by[of] == nil {
			order = append(order, of)
		}
		by[of] = append(by[of], &rows[n])
	}
	for _, of := range order {
		for _, f := range figures {
			if s := fit(of, f, by[of]); len(s.Sizes) > 0 {
				all = append(all, s)
			}
		}
	}
	return all
}

func fit(of series, f figure, rows []*Row) Slope {
	s := Slope{Phase: of.phase, Rate: of.rate, Figure: f.name, Unit: f.unit}
	var sizes, logSizes, logValues []float64
	for _, r := range rows {
		value, has := f.of(r)
		if !has {
			continue
		}
		s.Sizes, s.Values, sizes = append(s.Sizes, r.Size), append(s.Values, value), append(sizes, float64(r.Size))
		if value > 0 {
			logSizes, logValues = append(logSizes, math.Log(float64(r.Size))), append(logValues, math.Log(value))
		}
	}
	s.Base, s.PerNode = line(sizes, s.Values)
	_, s.Exponent = line(logSizes, logValues)
	return s
}

// line is the straight line of least squares; it is level where there are fewer than two different places.
func line(x, y []float64) (base, slope float64) {
	n := float64(len(x))
	if n == 0 {
		return 0, 0
	}
	var meanX, meanY float64
	for k := range x {
		meanX += x[k] / n
		meanY += y[k] / n
	}
	var both, square float64
	for k := range x {
		both += (x[k] - meanX) * (y[k] - meanY)
		square += (x[k] - meanX) * (x[k] - meanX)
	}
	if square == 0 {
		return meanY, 0
	}
	slope = both / square
	return meanY - slope*meanX, slope
}
