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
	// MakeDirectory makes a folder, unless it is there.
	MakeDirectory(name string) error
	Rename(from, to string) error
	// SyncDirectory brings the names in a folder to the disk; the empty name is that of the outer one.
	SyncDirectory(name string) error
	// SyncFile brings one of goleveldb's files to the disk.
	SyncFile(folder string, file storage.FileDesc) error
	// OpenStorage opens goleveldb's files in a folder.
	OpenStorage(folder string) (storage.Storage, error)
}

// osFileSystem is a folder of the machine's disk.
type osFileSystem string

func (f osFileSystem) path(names ...string) string {
	return filepath.Join(append([]string{string(f)}, names...)...)
}

func (f osFileSystem) MakeDirectory(name string) error { return os.MkdirAll(f.path(name), 0o755) }

func (f osFileSystem) Rename(from, to string) error { return os.Rename(f.path(from), f.path(to)) }

func (f osFileSystem) SyncDirectory(name string) error { return syncPath(f.path(name)) }

func (f osFileSystem) SyncFile(directory string, file storage.FileDesc) error {
	return syncPath(f.path(directory, file.String()))
}

func (f osFileSystem) OpenStorage(directory string) (storage.Storage, error) {
	return storage.OpenFile(f.path(directory), false)
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
