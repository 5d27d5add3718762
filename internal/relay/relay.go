// Package relay counts the processes that are one balancer at present: the one that serves, and the one that is to
// replace it. Each holds a lock on a file of its own in a folder that they share. Danger: a process that is killed can't
// clear up after itself; its locks go with it, and files without a lock mean nothing.
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
	maxProcesses = 8 // processes at once, at most
	pollInterval = 100 * time.Millisecond
)

// Slot is one process's place among those of its balancer.
type Slot struct {
	prefix string
	number int
	file   *os.File
}

// Acquire takes a free place of the balancer of that name, in a folder that its processes share.
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
	return nil, errors.New("all places are taken")
}

func (slot *Slot) path(n int) string { return fmt.Sprintf("%s.%d", slot.prefix, n) }

// Release gives the place back.
func (slot *Slot) Release() { slot.file.Close() }

// Count is how many processes live, this one included.
func (slot *Slot) Count() (n int) {
	n = 1
	for other := range maxProcesses {
		if other == slot.number {
			continue
		}
		file, err := os.Open(slot.path(other))
		if err != nil {
			continue // nobody was ever there
		}
		if syscall.Flock(int(file.Fd()), syscall.LOCK_SH|syscall.LOCK_NB) != nil {
			n++
		}
		file.Close()
	}
	return n
}

// Watch tells each change of the count, beginning with the first that isn't one.
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
