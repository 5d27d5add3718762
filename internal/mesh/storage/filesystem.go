package storage

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/syndtr/goleveldb/leveldb/storage"
)

// FileSystem is the folder of a process's disk that its store lies in: what a store needs besides goleveldb's own files.
type FileSystem interface {
	// MakeFolder makes a folder, unless it is there.
	MakeFolder(name string) error
	Rename(from, to string) error
	// SyncFolder brings the names in a folder to the disk; the empty name is that of the outer one.
	SyncFolder(name string) error
	// SyncFile brings one of goleveldb's files to the disk.
	SyncFile(folder string, file storage.FileDesc) error
	// OpenStorage opens goleveldb's files in a folder.
	OpenStorage(folder string) (storage.Storage, error)
}

// directory is a folder of the machine's disk.
type directory string

func (d directory) path(names ...string) string {
	return filepath.Join(append([]string{string(d)}, names...)...)
}

func (d directory) MakeFolder(name string) error { return os.MkdirAll(d.path(name), 0o755) }

func (d directory) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

func (d directory) SyncFolder(name string) error { return syncPath(d.path(name)) }

func (d directory) SyncFile(folder string, file storage.FileDesc) error {
	return syncPath(d.path(folder, file.String()))
}

func (d directory) OpenStorage(folder string) (storage.Storage, error) {
	return storage.OpenFile(d.path(folder), false)
}

func syncPath(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(file.Sync(), file.Close())
}

// makeDirectory makes a directory and brings its name, and those of its parents that are made with it, to the disk.
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
