package priority

import "math"

const (
	// MinShare is the minimum service ratio of a rank as a fraction of the service ratio of all ranks together. It is
	// slightly above the guaranteed quarter because the counts decay. A larger value would take more capacity from the
	// calls of work in progress, which fails without them.
	MinShare = 0.28
	// shareHalfLife is the time in nanoseconds in which the weight of a count halves.
	shareHalfLife = 2e9
	// negligibleWeight is the weight below which a count is dropped.
	negligibleWeight = 0.01
)

// Shares counts, for each rank, the requests that arrived and those that were served, with exponentially decaying
// weights. Strict order by rank alone would starve a less urgent rank as long as urgent requests take the whole
// capacity.
type Shares struct {
	counts    map[Rank]*shareCount
	total     shareCount // of all ranks together
	decayedAt int64      // nanoseconds
	// StrictOrder disables the minimum share, so that tests can show the starvation without it.
	StrictOrder bool
}

type shareCount struct{ arrived, served float64 }

// CountArrival counts a request on its first arrival. Retries must not be counted again.
func (s *Shares) CountArrival(rank Rank, now int64) {
	s.count(rank, now).arrived++
	s.total.arrived++
}

// CountServed counts a request as served.
func (s *Shares) CountServed(rank Rank, now int64) {
	s.count(rank, now).served++
	s.total.served++
}

// Underserved reports whether a rank is served less than its minimum share.
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

// decay reduces the weights of the counts and drops negligible ones. It works in steps, so that most calls return at
// once.
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
