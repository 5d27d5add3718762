package meshctl

import (
	"fmt"
	"os"

	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/settings"
	"ottershift/internal/mesh/storage"
)

func (k *client) backup(file, dir string) error {
	var s *consensus.State
	if dir != "" {
		c, err := storage.Peek(dir)
		if err != nil {
			return err
		}
		s = c.Decided
		if c.Accepted != nil {
			fmt.Fprintf(k.out, "the disk has accepted slot %d (version %d), of which it does not know whether it was decided: not in this backup\n", c.Accepted.Value.Index, c.Accepted.Value.Edition)
		}
	} else {
		k.newst = true
		status, err := k.ask()
		if err != nil {
			return err
		}
		s = status.State
	}
	raw, err := storage.EncodeBackup(s)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return Error.Wrap(err)
	}
	_, err = fmt.Fprintf(k.out, "%s: slot %d, version %d, %d bytes\n", file, s.Index, s.Edition, len(raw))
	return err
}

func (k *client) restore(file, dir, at, zone string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Error.Wrap(err)
	}
	s, err := storage.DecodeBackup(raw)
	if err != nil {
		return err
	}
	id, err := storage.Restore(dir, s, at, zone)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(k.out, "%s holds %s, a core of one, version %d.\nLost, if they were acknowledged: all changes after slot %d of the core that was.\n"+
		"Stop what is left of that core before this one starts; its disks count as strangers and are taken in anew, emptied.\n", dir, id, s.Edition, s.Index)
	return err
}

// bounds prints what follows from settings.
func (k *client) bounds(file string) error {
	b, err := settings.Load(file)
	if err != nil {
		return &coded{err, Refused}
	}
	for _, l := range Bounds(b) {
		fmt.Fprintln(k.out, l)
	}
	return nil
}
