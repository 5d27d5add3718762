// Package relay counts the processes that act as one balancer at present: the serving process and, during a
// restart, its replacement. Each process holds a lock on its own file in a shared folder. A killed process cannot
// clean up, but the kernel releases its locks, so a file without a lock does not count.
package relay

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	maxProcesses = 8 // maximum number of processes at the same time
	pollInterval = 100 * time.Millisecond
)

// Slot is the place of one process among the processes of its balancer.
type Slot struct {
	prefix string
	number int
	file   *os.File
}

// Acquire takes a free slot of the balancer with the given name, in a folder shared by its processes.
func Acquire(folder, name string) (*Slot, error) {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	slot := &Slot{prefix: filepath.Join(folder, fmt.Sprintf("ottershift-%016x", hash.Sum64()))}
	for slot.number = range maxProcesses {
		file, err := os.OpenFile(slot.path(slot.number), os.O_RDWR|os.O_CREATE, 0o600)
		if err != nil {
			return nil, err
		}
		if syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil {
			slot.file = file
			return slot, nil
		}
		file.Close()
	}
	return nil, errors.New("all process slots of the balancer are taken")
}

func (slot *Slot) path(n int) string { return fmt.Sprintf("%s.%d", slot.prefix, n) }

// Release gives up the slot.
func (slot *Slot) Release() { slot.file.Close() }

// Count returns the number of live processes, including this one.
func (slot *Slot) Count() (n int) {
	n = 1
	for other := range maxProcesses {
		if other == slot.number {
			continue
		}
		file, err := os.Open(slot.path(other))
		if err != nil {
			continue // the slot was never used
		}
		if syscall.Flock(int(file.Fd()), syscall.LOCK_SH|syscall.LOCK_NB) != nil {
			n++
		}
		file.Close()
	}
	return n
}

// Watch calls change each time the count differs from the previous one, which is 1 at the start. It returns when
// ctx ends.
func (slot *Slot) Watch(ctx context.Context, change func(n int)) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for last := 1; ; {
		if count := slot.Count(); count != last {
			change(count)
			last = count
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}
