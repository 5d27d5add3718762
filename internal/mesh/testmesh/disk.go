package testmesh

import (
	"errors"
	"sync"
	"time"

	"ottershift/internal/mesh/consensus"
)

// ErrDiskRefuses is what a disk says that takes no writes.
var ErrDiskRefuses = errors.New("the disk takes no writes")

// Disk is a replica's disk in a test: it may be slow, stand still or refuse. It passes what it takes on to another disk.
type Disk struct {
	mu   sync.Mutex
	next interface {
		Save(*consensus.Replica) error
	}
	delay   time.Duration
	refuses bool
	stalled chan struct{} // closed when the disk goes on; nil while it does
}

// NewDisk makes a disk in front of another one.
func NewDisk(next interface {
	Save(*consensus.Replica) error
}) *Disk {
	return &Disk{next: next}
}

// Slow has each save take so much longer.
func (d *Disk) Slow(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

// Refuse has saves fail, or no longer.
func (d *Disk) Refuse(refuses bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refuses = refuses
}

// Stall has saves wait until Resume.
func (d *Disk) Stall() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stalled == nil {
		d.stalled = make(chan struct{})
	}
}

// Resume ends a stall.
func (d *Disk) Resume() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stalled != nil {
		close(d.stalled)
		d.stalled = nil
	}
}

// Save meets the disk's faults and then saves on the disk behind.
func (d *Disk) Save(replica *consensus.Replica) error {
	d.mu.Lock()
	delay, refuses, stalled := d.delay, d.refuses, d.stalled
	d.mu.Unlock()
	time.Sleep(delay)
	if stalled != nil {
		<-stalled
	}
	if refuses {
		return ErrDiskRefuses
	}
	return d.next.Save(replica)
}
