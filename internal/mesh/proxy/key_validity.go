package proxy

import (
	"sync/atomic"
	"time"

	"ottershift/internal/mesh/federation"
)

// keyValidity limits for how long API keys are accepted from a configuration that may have been replaced. If a revoked
// key has to be refused everywhere within a bound, a proxy without a confirmed configuration can't know which keys are
// valid once the bound is over.
type keyValidity struct {
	maxAge      time.Duration // 0: keys are valid as long as the configuration that contains them
	confirmedAt atomic.Int64  // when the last request was sent that a current controller answered
}

// confirmed records the response of a current controller to a request that was sent at askedAt.
func (v *keyValidity) confirmed(askedAt int64) { v.confirmedAt.Store(askedAt) }

// valid reports whether API keys may be accepted. The controller's own confirmation may be older than the request that
// it answered, by up to federation.QuorumFreshness.
func (v *keyValidity) valid(now int64) bool {
	if v.maxAge == 0 {
		return true
	}
	return time.Duration(now-v.confirmedAt.Load())+time.Duration(federation.QuorumFreshness) <= v.maxAge
}
