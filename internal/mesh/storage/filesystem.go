package storage

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/syndtr/goleveldb/leveldb/storage"
)

// FileSystem is the data directory of a process: the operations that a store needs besides those of goleveldb's storage.
type FileSystem interface {
	// MakeDirectory creates a directory in the data directory, unless it exists.
	MakeDirectory(name string) error
	// Rename renames a directory in the data directory.
	Rename(from, to string) error
	// SyncDirectory syncs the entries of a directory. An empty name stands for the data directory itself.
	SyncDirectory(name string) error
	// SyncFile syncs one of goleveldb's files.
	SyncFile(directory string, file storage.FileDesc) error
	// OpenStorage opens the goleveldb storage in a directory.
	OpenStorage(directory string) (storage.Storage, error)
}

// osFileSystem is a FileSystem in a directory of the operating system's file system.
type osFileSystem string

// path returns the path of a name in the directory.
func (f osFileSystem) path(names ...string) string {
	return filepath.Join(append([]string{string(f)}, names...)...)
}

// MakeDirectory implements FileSystem.
func (f osFileSystem) MakeDirectory(name string) error { return os.MkdirAll(f.path(name), 0o755) }

// Rename implements FileSystem.
func (f osFileSystem) Rename(from, to string) error { return os.Rename(f.path(from), f.path(to)) }

// SyncDirectory implements FileSystem.
func (f osFileSystem) SyncDirectory(name string) error { return syncPath(f.path(name)) }

// SyncFile implements FileSystem.
func (f osFileSystem) SyncFile(directory string, file storage.FileDesc) error {
	return syncPath(f.path(directory, file.String()))
}

// OpenStorage implements FileSystem.
func (f osFileSystem) OpenStorage(directory string) (storage.Storage, error) {
	return storage.OpenFile(f.path(directory), false)
}

// syncPath syncs a file or directory.
func syncPath(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(file.Sync(), file.Close())
}

// makeDirectory creates a directory with its missing parents, and syncs the parent of each directory that it creates.
func makeDirectory(path string) error {
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		return nil
	} else if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	parent := filepath.Dir(path)
	if err := makeDirectory(parent); err != nil {
		return err
	}
	if err := os.Mkdir(path, 0o755); err != nil && !errors.Is(err, fs.ErrExist) {
		return err
	}
	return syncPath(parent)
}
