package priority

import "math"

const (
	// LeastShare is the part of what all ranks together are served that each rank is served at least: a little above the quarter
	// that is owed, since counts decay. More of it is taken from the calls of work that is under way, which fails without them.
	LeastShare = 0.28
	// shareHalfLife is the time in nanoseconds within which what was counted loses half of its weight.
	shareHalfLife = 2e9
	// fewRequests is the weight of a count that says nothing any more.
	fewRequests = 0.01
)

// Shares counts, for each rank, the requests that came and those that were served, the recent ones more. Invariant: strict order
// alone would starve a lesser rank for as long as the urgent ones fill all there is.
type Shares struct {
	counts map[Rank]*shareCount
	all    shareCount // of all ranks together
	at     int64
	// Strict leaves the guard out; tests convict it.
	Strict bool
}

type shareCount struct{ came, served float64 }

// Came counts a request that wants to be served, once however often it is sent.
func (s *Shares) Came(rank Rank, now int64) {
	s.of(rank, now).came++
	s.all.came++
}

// Served counts a request that is served.
func (s *Shares) Served(rank Rank, now int64) {
	s.of(rank, now).served++
	s.all.served++
}

// Owed reports whether a rank is served less than its least share of what all are.
func (s *Shares) Owed(rank Rank, now int64) bool {
	if s.Strict {
		return false
	}
	s.decay(now)
	own := s.counts[rank]
	if own == nil {
		return false
	}
	return own.served*s.all.came < LeastShare*s.all.served*own.came
}

func (s *Shares) of(rank Rank, now int64) *shareCount {
	s.decay(now)
	if s.counts == nil {
		s.counts = map[Rank]*shareCount{}
	}
	c := s.counts[rank]
	if c == nil {
		c = &shareCount{}
		s.counts[rank] = c
	}
	return c
}

// decay ages what was counted, and forgets what no longer weighs anything. It works in steps, so that most calls cost nothing.
func (s *Shares) decay(now int64) {
	const step = shareHalfLife / 16
	if now-s.at < step {
		return
	}
	left := math.Exp2(-float64(now-s.at) / shareHalfLife)
	s.at, s.all = now, shareCount{}
	for rank, c := range s.counts {
		c.came *= left
		c.served *= left
		if c.came < fewRequests {
			delete(s.counts, rank)
			continue
		}
		s.all.came += c.came
		s.all.served += c.served
	}
}
