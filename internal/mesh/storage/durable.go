package storage

import (
	"github.com/syndtr/goleveldb/leveldb/storage"
)

// durableStorage is a goleveldb storage in which a file's name is on disk before anything depends on the file. Invariant: goleveldb
// syncs the folder only when it replaces CURRENT. Without this, a journal that it begins later, with each save in it synced, or a
// table that takes the place of a removed journal, may be gone by name after a loss of power; and a manifest that CURRENT
// names may be there without its content.
type durableStorage struct {
	storage.Storage
	fileSystem FileSystem
	directory  string
}

// Create makes a file whose first sync syncs the folder as well.
func (s durableStorage) Create(fd storage.FileDesc) (storage.Writer, error) {
	writer, err := s.Storage.Create(fd)
	if err != nil {
		return nil, err
	}
	return &durableWriter{Writer: writer, storage: s}, nil
}

// SetMeta makes a manifest the current one, once it and its name are on disk.
func (s durableStorage) SetMeta(fd storage.FileDesc) error {
	if err := s.fileSystem.SyncFile(s.directory, fd); err != nil {
		return err
	}
	if err := s.fileSystem.SyncDirectory(s.directory); err != nil {
		return err
	}
	return s.Storage.SetMeta(fd)
}

type durableWriter struct {
	storage.Writer
	storage         durableStorage
	directorySynced bool // the file's name is on disk
}

// Sync syncs the file, and its name at the first time.
func (w *durableWriter) Sync() error {
	if err := w.Writer.Sync(); err != nil {
		return err
	}
	if w.directorySynced {
		return nil
	}
	if err := w.storage.fileSystem.SyncDirectory(w.storage.directory); err != nil {
		return err
	}
	w.directorySynced = true
	return nil
}
