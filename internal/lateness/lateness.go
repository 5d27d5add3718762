// Package lateness measures how late this process heeds what reaches it: a byte goes through the kernel to a reader of our
// own, as an upstream's answer does, and the time on the way is the poller's, the scheduler's and the collector's.
package lateness

import (
	"context"
	"encoding/binary"
	"os"
	"sync"
	"time"

	"ottershift/internal/pressure"
)

const (
	often  = 10 * time.Millisecond  // between two bytes while there is work
	seldom = 100 * time.Millisecond // and else
)

// Meter knows how late the process is.
type Meter struct {
	epoch time.Time

	mu    sync.Mutex
	gauge pressure.Gauge
}

// New makes a meter; Run measures.
func New() *Meter { return &Meter{epoch: time.Now()} }

// Own is how late the process is at present.
func (m *Meter) Own() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.gauge.Own(int64(time.Since(m.epoch))))
}

// Tell takes what another place has measured.
func (m *Meter) Tell(lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gauge.Tell(int64(lag), int64(time.Since(m.epoch)))
}

// Run measures until the context ends; busy says whether there is work that could be late.
func (m *Meter) Run(ctx context.Context, busy func() bool) error {
	r, w, err := os.Pipe()
	if err != nil {
		return err
	}
	defer w.Close()
	go func() {
		defer r.Close()
		var b [8]byte
		for {
			if _, err := r.Read(b[:]); err != nil {
				return
			}
			m.Tell(time.Since(m.epoch) - time.Duration(binary.LittleEndian.Uint64(b[:])))
		}
	}()
	timer := time.NewTimer(often)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		wait := seldom
		if busy() {
			var b [8]byte
			binary.LittleEndian.PutUint64(b[:], uint64(time.Since(m.epoch)))
			if _, err := w.Write(b[:]); err != nil {
				return err
			}
			wait = often
		}
		timer.Reset(wait)
	}
}
