package proxy

import (
	"sync/atomic"
	"time"

	"ottershift/internal/mesh/federation"
)

// keyValidity says for how long keys of tenants are taken on the word of a configuration that may have been replaced meanwhile.
// Where a withdrawn key has to be refused everywhere within a bound, a balancer that hears of no newer configuration can't know
// which keys still hold once the bound is over.
type keyValidity struct {
	maxAge      time.Duration // 0: keys are taken as long as the configuration that names them
	confirmedAt atomic.Int64  // when the last question was sent that a controller answered as current
}

// confirmed notes that a controller answered as current; askedAt is when its question was sent.
func (v *keyValidity) confirmed(askedAt int64) { v.confirmedAt.Store(askedAt) }

// valid reports whether keys may be taken. Invariant: the controller's own proof is up to federation.Fresh older than the
// question that it answered.
func (v *keyValidity) valid(now int64) bool {
	if v.maxAge == 0 {
		return true
	}
	return time.Duration(now-v.confirmedAt.Load())+time.Duration(federation.Fresh) <= v.maxAge
}
