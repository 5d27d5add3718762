package meshctl

import (
	"fmt"
	"os"

	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/settings"
	"ottershift/internal/mesh/storage"
)

// backup writes the decided state to a file: from a data directory, or from the controllers if dir is empty.
func (c *client) backup(file, dir string) error {
	var state *consensus.State
	if dir != "" {
		replica, err := storage.ReadReplica(dir)
		if err != nil {
			return err
		}
		state = replica.Decided
		if replica.Accepted != nil {
			fmt.Fprintf(c.out, "the disk has accepted slot %d (version %d), but does not know whether it was decided: not in this backup\n", replica.Accepted.Value.Index, replica.Accepted.Value.Edition)
		}
	} else {
		c.newest = true
		status, err := c.queryStatus()
		if err != nil {
			return err
		}
		state = status.State
	}
	raw, err := storage.EncodeBackup(state)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return Error.Wrap(err)
	}
	_, err = fmt.Fprintf(c.out, "%s: slot %d, version %d, %d bytes\n", file, state.Index, state.Edition, len(raw))
	return err
}

// restore writes a backup to an empty data directory, as a core with a single member.
func (c *client) restore(file, dir, address, zone string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Error.Wrap(err)
	}
	state, err := storage.DecodeBackup(raw)
	if err != nil {
		return err
	}
	id, err := storage.Restore(dir, state, address, zone)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.out, "%s holds %s, a core of one, version %d.\nLost, if they were acknowledged: all changes after slot %d of the former core.\n"+
		"Stop the remaining processes of the former core before you start this one. Their disks are no members of the new core: empty them, and they can join it.\n", dir, id, state.Edition, state.Index)
	return err
}

// printBounds prints the bounds that follow from a settings file.
func (c *client) printBounds(file string) error {
	meshSettings, err := settings.Load(file)
	if err != nil {
		return &exitError{err, Refused}
	}
	for _, line := range DescribeBounds(meshSettings) {
		fmt.Fprintln(c.out, line)
	}
	return nil
}
