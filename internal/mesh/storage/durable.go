package storage

import (
	"github.com/syndtr/goleveldb/leveldb/storage"
)

// durableStorage is a goleveldb storage that syncs a file's directory entry before anything depends on the file.
// goleveldb itself syncs the directory only when it replaces CURRENT. After a power loss, the directory entry of a later
// journal could be missing although each save in it was synced, and so could that of a table that replaces a removed
// journal. CURRENT could also name a manifest whose content was never written.
type durableStorage struct {
	storage.Storage
	fileSystem FileSystem
	directory  string
}

// Create creates a file whose first sync also syncs the directory.
func (s durableStorage) Create(fd storage.FileDesc) (storage.Writer, error) {
	writer, err := s.Storage.Create(fd)
	if err != nil {
		return nil, err
	}
	return &durableWriter{Writer: writer, storage: s}, nil
}

// SetMeta makes a manifest the current one, after it has synced the manifest and its directory entry.
func (s durableStorage) SetMeta(fd storage.FileDesc) error {
	if err := s.fileSystem.SyncFile(s.directory, fd); err != nil {
		return err
	}
	if err := s.fileSystem.SyncDirectory(s.directory); err != nil {
		return err
	}
	return s.Storage.SetMeta(fd)
}

// durableWriter is a writer of a file in a durableStorage.
type durableWriter struct {
	storage.Writer
	storage         durableStorage
	directorySynced bool // the file's directory entry is on disk
}

// Sync syncs the file. The first call also syncs its directory.
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
