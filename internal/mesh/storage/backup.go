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
func EncodeBackup(state *consensus.State) ([]byte, error) {
	raw, err := json.Marshal(state)
	if err != nil {
		return nil, err
	}
	return json.MarshalIndent(&Backup{backupFormat, state, crc32.ChecksumIEEE(raw)}, "", " ")
}

// DecodeBackup reads a backup; one that is not whole is refused.
func DecodeBackup(raw []byte) (*consensus.State, error) {
	backup := &Backup{}
	if err := json.Unmarshal(raw, backup); err != nil {
		return nil, Error.New("the backup can't be read: %v", err)
	}
	if backup.Format != backupFormat || backup.State == nil {
		return nil, Error.New("format %d is not known here", backup.Format)
	}
	reencoded, err := json.Marshal(backup.State)
	if err != nil || crc32.ChecksumIEEE(reencoded) != backup.Sum {
		return nil, Error.New("the backup's checksum is wrong")
	}
	return backup.State, nil
}

// Restore lays a state on an empty disk, as that of a core of one, whose identity is new: no disk of the core that was
// counts there any more. Others join it as strangers do.
func Restore(dir string, state *consensus.State, address, zone string) (id string, err error) {
	if _, err := os.Stat(filepath.Join(dir, storeDirectory)); err == nil {
		return "", Error.New("%s holds a copy already: restore lays one on an empty disk only", dir)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", Error.Wrap(err)
	}
	id = NewDiskID()
	restored := *state
	restored.Index += 1 << 20 // beyond whatever the lost core may have decided
	restored.Core, restored.Coordinator = []consensus.Member{{ID: id, At: address, Zone: zone}}, consensus.Coordinator{}
	store, _, initReason, err := Open(dir, func() (string, *consensus.State) { return id, &restored })
	if err != nil {
		return "", err
	}
	if initReason == nil {
		store.Close()
		return "", Error.New("%s was not empty", dir)
	}
	return id, store.Close()
}

// ReadReplica reads the copy of a disk that no process uses.
func ReadReplica(dir string) (*consensus.Replica, error) {
	if _, err := os.Stat(filepath.Join(dir, storeDirectory)); err != nil {
		return nil, Error.Wrap(err)
	}
	store, replica, initReason, err := Open(dir, func() (string, *consensus.State) { return "", nil })
	if err != nil {
		return nil, err
	}
	defer store.Close()
	return replica, initReason
}
