package controller

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// In a rolling restart without a spare, each controller has to wait only for one round of confirmations.
func TestRollingRestartWithoutSpareIsNotDelayed(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 0, disabledGuards{})
	for n := range c.nodes {
		took := c.terminate(n)
		t.Logf("controller %d stopped after %v", n, took)
		must.Less(t, 1500*time.Millisecond, took) // up to one second of it is the shutdown of open connections
		c.start(n)
		c.eventually("controller serves reads again", func() bool { return c.readVersion(n) == 1 })
		must.True(t, c.isMember(n, n))
	}
}
