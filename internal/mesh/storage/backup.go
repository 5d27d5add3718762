package storage

import (
	"encoding/json"
	"hash/crc32"
	"os"
	"path/filepath"

	"ottershift/internal/mesh/consensus"
)

const backupFormat = 1

// Backup is an agreed state out of a core, to begin another one with.
type Backup struct {
	Format int
	State  *consensus.State
	Sum    uint32 // of the state
}

// EncodeBackup makes a backup of a state.
func EncodeBackup(s *consensus.State) ([]byte, error) {
	raw, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	return json.MarshalIndent(&Backup{backupFormat, s, crc32.ChecksumIEEE(raw)}, "", " ")
}

// DecodeBackup reads a backup; one that is not whole is refused.
func DecodeBackup(raw []byte) (*consensus.State, error) {
	b := &Backup{}
	if err := json.Unmarshal(raw, b); err != nil {
		return nil, Error.New("the backup can't be read: %v", err)
	}
	if b.Format != backupFormat || b.State == nil {
		return nil, Error.New("format %d is not known here", b.Format)
	}
	again, err := json.Marshal(b.State)
	if err != nil || crc32.ChecksumIEEE(again) != b.Sum {
		return nil, Error.New("the backup's checksum is wrong")
	}
	return b.State, nil
}

// Restore lays a state on an empty disk, as that of a core of one, whose identity is new: no disk of the core that was
// counts there any more. Others join it as strangers do.
func Restore(dir string, s *consensus.State, at, zone string) (id string, err error) {
	if _, err := os.Stat(filepath.Join(dir, storeFolder)); err == nil {
		return "", Error.New("%s holds a copy already: restore lays one on an empty disk only", dir)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", Error.Wrap(err)
	}
	id = NewIdentity()
	next := *s
	next.Index += 1 << 20 // beyond whatever the lost core may have decided
	next.Core, next.Coordinator = []consensus.Member{{ID: id, Address: at, Zone: zone}}, consensus.Coordinator{}
	w, _, fresh, err := Open(dir, func() (string, *consensus.State) { return id, &next })
	if err != nil {
		return "", err
	}
	if fresh == nil {
		w.Close()
		return "", Error.New("%s was not empty", dir)
	}
	return id, w.Close()
}

// Peek reads the copy of a disk that no process uses.
func Peek(dir string) (*consensus.Replica, error) {
	if _, err := os.Stat(filepath.Join(dir, storeFolder)); err != nil {
		return nil, Error.Wrap(err)
	}
	w, c, fresh, err := Open(dir, func() (string, *consensus.State) { return "", nil })
	if err != nil {
		return nil, err
	}
	defer w.Close()
	return c, fresh
}
