package proxy

import (
	"sync/atomic"
	"time"

	"ottershift/internal/mesh/federation"
)

// keyTrust says for how long keys of tenants are taken on the word of a configuration that may have been replaced meanwhile.
// Where a withdrawn key has to be refused everywhere within a bound, a balancer that hears of no newer configuration can't know
// which keys still hold once the bound is over.
type keyTrust struct {
	bound       time.Duration // 0: keys are taken as long as the configuration that names them
	confirmedAt atomic.Int64  // when the last question was sent that a controller answered as current
}

// confirmed notes that a controller answered as current; askedAt is when its question was sent.
func (t *keyTrust) confirmed(askedAt int64) { t.confirmedAt.Store(askedAt) }

// holds reports whether keys may be taken. Invariant: the controller's own proof is up to federation.Fresh older than the
// question that it answered.
func (t *keyTrust) holds(now int64) bool {
	if t.bound == 0 {
		return true
	}
	return time.Duration(now-t.confirmedAt.Load())+time.Duration(federation.QuorumFreshness) <= t.bound
}
