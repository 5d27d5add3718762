package scale

import "math"

// Slope is the growth of a figure with the number of proxies.
type Slope struct {
	Phase    Phase
	Rate     float64 `json:",omitempty"` // requests per second, for phases with client requests
	Figure   string
	Unit     string
	Sizes    []int
	Values   []float64
	Base     float64 // intercept of the fitted straight line
	PerNode  float64 // slope of that line
	Exponent float64 // of the fitted power law: 1 is linear, 2 quadratic growth
}

// figure is a figure that is fitted over the sizes. value reports false if a row does not have it.
type figure struct {
	name, unit string
	value      func(*Row) (float64, bool)
}

func ofAll(of func(*Row) float64) func(*Row) (float64, bool) {
	return func(r *Row) (float64, bool) { return of(r), true }
}

func (r *Row) perProxy(n int64) float64 { return float64(n) / r.Took / float64(r.Size) }

var figures = []figure{
	{"watch requests of a balancer", "1/s", ofAll(func(r *Row) float64 { return r.perProxy(r.Watch.Requests) })},
	{"told to a balancer", "KB/s", ofAll(func(r *Row) float64 { return r.perProxy(r.Watch.Received) / 1000 })},
	{"sent by a balancer", "KB/s", ofAll(func(r *Row) float64 { return r.perProxy(r.Watch.Sent) / 1000 })},
	{"told to all", "MB", ofAll(func(r *Row) float64 { return float64(r.Watch.Received) / 1e6 })},
	{"responses with all nodes, to all", "1/s", ofAll(func(r *Row) float64 { return float64(r.Watch.Whole) / r.Took })},
	{"failed watch requests", "", ofAll(func(r *Row) float64 { return float64(r.Watch.Failed) })},
	{"draws of a balancer", "1/s", ofTokenRequests(func(r *Row) float64 { return r.perProxy(r.Watch.Draws) })},
	{"calls that wait for a draw", "", ofTokenRequests(func(r *Row) float64 { return float64(r.Watch.QuotaWaited) / float64(max(r.Watch.QuotaCalls, 1)) })},
	{"draws that fail", "", ofTokenRequests(func(r *Row) float64 { return float64(r.Watch.DrawsFailed) / float64(r.Watch.Draws) })},
	{"new connections", "1/s", ofAll(func(r *Row) float64 { return float64(r.Watch.Dialed) / r.Took })},
	{"processor, controllers together", "cores", ofAll(func(r *Row) float64 { return r.Controllers.Cores })},
	{"processor, busiest controller", "cores", ofAll(func(r *Row) float64 { return r.Controllers.BusiestCore })},
	{"memory, largest controller", "MB", ofAll(func(r *Row) float64 { return r.Controllers.LargestMB })},
	{"descriptors, fullest controller", "", ofAll(func(r *Row) float64 { return float64(r.Controllers.Descriptors) })},
	{"processor, all hollow balancers", "cores", ofAll(func(r *Row) float64 { return r.Hollow.Cores })},
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

func ofTokenRequests(of func(*Row) float64) func(*Row) (float64, bool) {
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
func fitAll(rows []Row) (slopes []Slope) {
	var order []series
	by := map[series][]*Row{}
	for n := range rows {
		key := rows[n].series()
		if by[key] == nil {
			order = append(order, key)
		}
		by[key] = append(by[key], &rows[n])
	}
	for _, key := range order {
		for _, f := range figures {
			if s := fit(key, f, by[key]); len(s.Sizes) > 0 {
				slopes = append(slopes, s)
			}
		}
	}
	return slopes
}

func fit(key series, f figure, rows []*Row) Slope {
	s := Slope{Phase: key.phase, Rate: key.rate, Figure: f.name, Unit: f.unit}
	var sizes, logSizes, logValues []float64
	for _, r := range rows {
		value, has := f.value(r)
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

// line returns the least-squares line through the points. Its slope is 0 if fewer than two x values differ.
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
	var covariance, variance float64
	for k := range x {
		covariance += (x[k] - meanX) * (y[k] - meanY)
		variance += (x[k] - meanX) * (x[k] - meanX)
	}
	if variance == 0 {
		return meanY, 0
	}
	slope = covariance / variance
	return meanY - slope*meanX, slope
}
