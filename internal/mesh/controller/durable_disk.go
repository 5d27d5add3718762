package controller

import (
	"errors"
	"sync"
	"sync/atomic"

	"ottershift/internal/mesh/consensus"
)

var errSealed = errors.New("this controller has handed over and no longer votes")

// durableDisk tracks which decision the underlying disk holds. After seal it refuses to save. Since each vote is
// saved before it is sent, a controller with a sealed disk no longer votes.
type durableDisk struct {
	underlying   Disk
	durableIndex atomic.Uint64 // slot of the newest decision on disk
	sealed       atomic.Bool
	saveMu       sync.Mutex // held during a save
}

func newDurableDisk(underlying Disk, opened *consensus.Replica) *durableDisk {
	d := &durableDisk{underlying: underlying}
	d.durableIndex.Store(opened.Decided.Index)
	return d
}

// Save saves a replica on the underlying disk, unless the disk is sealed.
func (d *durableDisk) Save(replica *consensus.Replica) error {
	d.saveMu.Lock()
	defer d.saveMu.Unlock()
	if d.sealed.Load() {
		return errSealed
	}
	if err := d.underlying.Save(replica); err != nil {
		return err
	}
	d.durableIndex.Store(replica.Decided.Index)
	return nil
}

// seal stops all further saves. It returns false and has no effect while a save is in progress.
func (d *durableDisk) seal() bool {
	if !d.saveMu.TryLock() {
		return false
	}
	defer d.saveMu.Unlock()
	d.sealed.Store(true)
	return true
}

func (d *durableDisk) unseal() { d.sealed.Store(false) }

// hasNothingAfter reports whether the replica has neither learned nor accepted anything after a slot.
func (r *replicator) hasNothingAfter(index uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replica.Decided.Index <= index && r.replica.Accepted == nil
}
