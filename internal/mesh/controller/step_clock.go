package controller

import (
	"sync/atomic"
	"time"
)

// stepClock keeps how long one step of an attempt takes at the core of late, disks included. Pauses and patience grow with
// it. The zero value knows of none.
type stepClock struct{ average atomic.Int64 }

// stepWeight is the part of a new step in the average.
const stepWeight = 4

// add takes in a step that was granted.
func (c *stepClock) add(took time.Duration) {
	before := c.average.Load()
	c.average.Store(before + (int64(took)-before)/stepWeight)
}

// attempt is how long an attempt takes that nobody disturbs: a promise and an accept.
func (c *stepClock) attempt() time.Duration { return 2 * time.Duration(c.average.Load()) }
