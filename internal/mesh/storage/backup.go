package storage

import (
	"encoding/json"
	"hash/crc32"
	"os"
	"path/filepath"

	"ottershift/internal/mesh/consensus"
)

// backupFormat is the version of the backup's encoding.
const backupFormat = 1

// Backup holds a decided state of the core, from which a new core can be started.
type Backup struct {
	Format int
	State  *consensus.State
	Sum    uint32 // CRC-32 (IEEE) of the JSON encoding of State
}

// EncodeBackup encodes a backup of a state.
func EncodeBackup(state *consensus.State) ([]byte, error) {
	raw, err := json.Marshal(state)
	if err != nil {
		return nil, err
	}
	return json.MarshalIndent(&Backup{backupFormat, state, crc32.ChecksumIEEE(raw)}, "", " ")
}

// DecodeBackup decodes a backup. It rejects a backup of an unknown format or with a wrong checksum.
func DecodeBackup(raw []byte) (*consensus.State, error) {
	backup := &Backup{}
	if err := json.Unmarshal(raw, backup); err != nil {
		return nil, Error.New("decoding the backup: %v", err)
	}
	if backup.Format != backupFormat || backup.State == nil {
		return nil, Error.New("unsupported backup format %d, or no state in the backup", backup.Format)
	}
	reencoded, err := json.Marshal(backup.State)
	if err != nil || crc32.ChecksumIEEE(reencoded) != backup.Sum {
		return nil, Error.New("backup checksum mismatch")
	}
	return backup.State, nil
}

// Restore writes a state to an empty directory, as the replica of a core with a single member. The member gets a new
// disk ID, so that no disk of the former core counts as a member; its controllers join the new core like new ones.
func Restore(dir string, state *consensus.State, address, zone string) (id string, err error) {
	if _, err := os.Stat(filepath.Join(dir, storeDirectory)); err == nil {
		return "", Error.New("%s holds a copy already: restore needs an empty directory", dir)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", Error.Wrap(err)
	}
	id = NewID()
	restored := *state
	restored.Index += 1 << 20 // beyond any index that the lost core may have decided
	restored.Core, restored.Coordinator = []consensus.Member{{ID: id, Address: address, Zone: zone}}, consensus.Coordinator{}
	store, _, initReason, err := Open(dir, func() (string, *consensus.State) { return id, &restored })
	if err != nil {
		return "", err
	}
	if initReason == nil {
		store.Close()
		return "", Error.New("%s is not empty", dir)
	}
	return id, store.Close()
}

// ReadReplica reads the replica in the directory of a stopped process. It fails if there is no store. Like Open, it
// replaces an unreadable store by an empty one, and then returns an error together with an empty replica.
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
