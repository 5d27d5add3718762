package priority

import "math"

const (
	// MinShare is the part of what all ranks together are served that each rank is served at least: a little above the quarter
	// that is owed, since counts decay. More of it is taken from the calls of work that is under way, which fails without them.
	MinShare = 0.28
	// shareHalfLife is the time in nanoseconds within which what was counted loses half of its weight.
	shareHalfLife = 2e9
	// negligibleWeight is the weight of a count that says nothing any more.
	negligibleWeight = 0.01
)

// Shares counts, for each rank, the requests that came and those that were served, the recent ones more. Invariant: strict order
// alone would starve a lesser rank for as long as the urgent ones fill all there is.
type Shares struct {
	counts    map[Rank]*shareCount
	total     shareCount // of all ranks together
	decayedAt int64
	// StrictOrder leaves the guard out; tests convict it.
	StrictOrder bool
}

type shareCount struct{ arrived, served float64 }

// CountArrival counts a request that wants to be served, once however often it is sent.
func (s *Shares) CountArrival(rank Rank, now int64) {
	s.count(rank, now).arrived++
	s.total.arrived++
}

// CountServed counts a request that is served.
func (s *Shares) CountServed(rank Rank, now int64) {
	s.count(rank, now).served++
	s.total.served++
}

// Underserved reports whether a rank is served less than its least share of what all are.
func (s *Shares) Underserved(rank Rank, now int64) bool {
	if s.StrictOrder {
		return false
	}
	s.decay(now)
	own := s.counts[rank]
	if own == nil {
		return false
	}
	return own.served*s.total.arrived < MinShare*s.total.served*own.arrived
}

func (s *Shares) count(rank Rank, now int64) *shareCount {
	s.decay(now)
	if s.counts == nil {
		s.counts = map[Rank]*shareCount{}
	}
	counts := s.counts[rank]
	if counts == nil {
		counts = &shareCount{}
		s.counts[rank] = counts
	}
	return counts
}

// decay ages what was counted, and forgets what no longer weighs anything. It works in steps, so that most calls cost nothing.
func (s *Shares) decay(now int64) {
	const step = shareHalfLife / 16
	if now-s.decayedAt < step {
		return
	}
	remaining := math.Exp2(-float64(now-s.decayedAt) / shareHalfLife)
	s.decayedAt, s.total = now, shareCount{}
	for rank, counts := range s.counts {
		counts.arrived *= remaining
		counts.served *= remaining
		if counts.arrived < negligibleWeight {
			delete(s.counts, rank)
			continue
		}
		s.total.arrived += counts.arrived
		s.total.served += counts.served
	}
}
