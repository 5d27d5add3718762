package testmesh

import (
	"errors"
	"sync"
	"time"

	"ottershift/internal/mesh/consensus"
)

// ErrWriteFailed is what a disk says that takes no writes.
var ErrWriteFailed = errors.New("the disk takes no writes")

// Disk is a replica's disk in a test: it may be slow, stand still or refuse. It passes what it takes on to another disk.
type Disk struct {
	mu         sync.Mutex
	underlying interface {
		Save(*consensus.Replica) error
	}
	delay   time.Duration
	failing bool
	resumed chan struct{} // closed when the disk goes on; nil while it does
}

// NewDisk makes a disk in front of another one.
func NewDisk(underlying interface {
	Save(*consensus.Replica) error
}) *Disk {
	return &Disk{underlying: underlying}
}

// SetDelay has each save take so much longer.
func (d *Disk) SetDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

// SetFailing has saves fail, or no longer.
func (d *Disk) SetFailing(failing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failing = failing
}

// Stall has saves wait until Resume.
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

// Save meets the disk's faults and then saves on the disk behind.
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
