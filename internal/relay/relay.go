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
	seats = 8 // processes at once, at most
	every = 100 * time.Millisecond
)

// Seat is one process's place among those of its balancer.
type Seat struct {
	stem string
	own  int
	file *os.File
}

// Take takes a free place of the balancer of that name, in a folder that its processes share.
func Take(folder, name string) (*Seat, error) {
	number := fnv.New64a()
	number.Write([]byte(name))
	s := &Seat{stem: filepath.Join(folder, fmt.Sprintf("ottershift-%016x", number.Sum64()))}
	for s.own = range seats {
		file, err := os.OpenFile(s.path(s.own), os.O_RDWR|os.O_CREATE, 0o600)
		if err != nil {
			return nil, err
		}
		if syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil {
			s.file = file
			return s, nil
		}
		file.Close()
	}
	return nil, errors.New("all places are taken")
}

func (s *Seat) path(n int) string { return fmt.Sprintf("%s.%d", s.stem, n) }

// Leave gives the place back.
func (s *Seat) Leave() { s.file.Close() }

// Count is how many processes live, this one included.
func (s *Seat) Count() (n int) {
	n = 1
	for other := range seats {
		if other == s.own {
			continue
		}
		file, err := os.Open(s.path(other))
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
func (s *Seat) Watch(ctx context.Context, change func(n int)) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for before := 1; ; {
		if now := s.Count(); now != before {
			change(now)
			before = now
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}
