package testmesh

import (
	"errors"
	"sync"
	"time"

	"ottershift/internal/mesh/consensus"
)

// ErrWriteFailed is the error of a write to a disk that is set to fail.
var ErrWriteFailed = errors.New("injected fault: disk write failed")

// Disk wraps the disk of a consensus replica and can delay, stall or fail its saves. Other saves go to the wrapped disk.
type Disk struct {
	mu         sync.Mutex
	underlying interface {
		Save(*consensus.Replica) error
	}
	delay   time.Duration
	failing bool
	resumed chan struct{} // closed when the stall ends; nil while saves are not stalled
}

// NewDisk wraps a disk, without faults at first.
func NewDisk(underlying interface {
	Save(*consensus.Replica) error
}) *Disk {
	return &Disk{underlying: underlying}
}

// SetDelay adds a delay to each save.
func (d *Disk) SetDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

// SetFailing sets whether saves fail.
func (d *Disk) SetFailing(failing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failing = failing
}

// Stall blocks saves until Resume is called.
func (d *Disk) Stall() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.resumed == nil {
		d.resumed = make(chan struct{})
	}
}

// Resume ends a stall.
func (d *Disk) Resume() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.resumed != nil {
		close(d.resumed)
		d.resumed = nil
	}
}

// Save applies the injected faults and then saves to the wrapped disk.
func (d *Disk) Save(replica *consensus.Replica) error {
	d.mu.Lock()
	delay, failing, resumed := d.delay, d.failing, d.resumed
	d.mu.Unlock()
	time.Sleep(delay)
	if resumed != nil {
		<-resumed
	}
	if failing {
		return ErrWriteFailed
	}
	return d.underlying.Save(replica)
}
