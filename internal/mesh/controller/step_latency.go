package controller

import (
	"sync/atomic"
	"time"
)

// stepLatency is a moving average of how long one step of an attempt takes, disk syncs included. Pauses and timeouts
// grow with it. The zero value is an average of 0.
type stepLatency struct{ average atomic.Int64 }

// stepWeight is the divisor with which a new step enters the average.
const stepWeight = 4

// record adds the duration of a granted step.
func (l *stepLatency) record(took time.Duration) {
	before := l.average.Load()
	l.average.Store(before + (int64(took)-before)/stepWeight)
}

// attempt returns the expected duration of an undisturbed attempt: one prepare and one accept step.
func (l *stepLatency) attempt() time.Duration { return 2 * time.Duration(l.average.Load()) }
