package controller

import (
	"errors"
	"sync"
	"sync/atomic"

	"ottershift/internal/mesh/consensus"
)

var errSealed = errors.New("this controller has handed over and votes no more")

// durableDisk knows which decision the disk behind it holds. A sealed one takes no more saves, and as every vote is saved
// before it is given, a controller behind a sealed disk gives none.
type durableDisk struct {
	next   Disk
	held   atomic.Uint64 // slot of the newest decision on disk
	sealed atomic.Bool
	saving sync.Mutex // held during a save
}

func newDurableDisk(next Disk, opened *consensus.Replica) *durableDisk {
	d := &durableDisk{next: next}
	d.held.Store(opened.Decided.Index)
	return d
}

// Save saves a replica on the disk behind.
func (d *durableDisk) Save(replica *consensus.Replica) error {
	d.saving.Lock()
	defer d.saving.Unlock()
	if d.sealed.Load() {
		return errSealed
	}
	if err := d.next.Save(replica); err != nil {
		return err
	}
	d.held.Store(replica.Decided.Index)
	return nil
}

// seal ends the saves. It reports false, and does nothing, while a save is under way.
func (d *durableDisk) seal() bool {
	if !d.saving.TryLock() {
		return false
	}
	defer d.saving.Unlock()
	d.sealed.Store(true)
	return true
}

func (d *durableDisk) unseal() { d.sealed.Store(false) }

// holdsNothingBeyond reports whether the replica has neither learned nor accepted anything after a slot.
func (r *replicator) holdsNothingBeyond(index uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replica.Decided.Index <= index && r.replica.Accepted == nil
}
