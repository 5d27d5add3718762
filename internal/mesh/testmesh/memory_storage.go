package testmesh

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/syndtr/goleveldb/leveldb/storage"
)

// memoryStorage implements goleveldb's storage in a directory of a MemoryDisk. It updates CURRENT in the same steps as
// goleveldb's file storage: back it up, write it under a temporary name, rename it, and sync the directory.
type memoryStorage struct {
	disk      *MemoryDisk
	directory string
}

const (
	currentName   = "CURRENT"
	currentBackup = "CURRENT.bak"
)

// OpenStorage opens the goleveldb storage in a directory.
func (d *MemoryDisk) OpenStorage(directory string) (storage.Storage, error) {
	return memoryStorage{d, directory}, nil
}

// SyncFile syncs one of goleveldb's files.
func (d *MemoryDisk) SyncFile(directory string, file storage.FileDesc) error {
	if d.IgnoreFileSyncs {
		return nil
	}
	return d.syncPath(directory + "/" + file.String())
}

func (s memoryStorage) path(name string) string { return s.directory + "/" + name }

func (s memoryStorage) Lock() (storage.Locker, error) { return noopLocker{}, nil }
func (s memoryStorage) Log(string)                    {}
func (s memoryStorage) Close() error                  { return nil }

type noopLocker struct{}

func (noopLocker) Unlock() {}

func (s memoryStorage) writeSynced(name, content string) error {
	file, err := s.disk.create(s.path(name))
	if err != nil {
		return err
	}
	if err := s.disk.write(file, []byte(content)); err != nil {
		return err
	}
	return s.disk.sync(file)
}

// SetMeta sets the current manifest.
func (s memoryStorage) SetMeta(fd storage.FileDesc) error {
	content := fd.String() + "\n"
	if previous, err := s.disk.read(s.path(currentName)); err == nil {
		if string(previous) == content {
			return nil
		}
		if err := s.writeSynced(currentBackup, string(previous)); err != nil {
			return err
		}
	}
	name := fmt.Sprintf("%s.%d", currentName, fd.Num)
	if err := s.writeSynced(name, content); err != nil {
		return err
	}
	if err := s.disk.Rename(s.path(name), s.path(currentName)); err != nil {
		return err
	}
	return s.disk.syncEntries(s.directory) // goleveldb syncs here too, so IgnoreDirectorySyncs does not apply
}

// GetMeta returns the current manifest: the newest of those that CURRENT, or else its backup, and the pending files name.
func (s memoryStorage) GetMeta() (storage.FileDesc, error) {
	var pending []string
	var newest storage.FileDesc
	var newestName string
	lastErr := error(os.ErrNotExist)
	try := func(name string) bool {
		fd, err := s.readCurrent(name)
		if err != nil {
			if !errors.Is(err, os.ErrNotExist) {
				lastErr = err
			}
			return false
		}
		if newestName == "" || fd.Num > newest.Num {
			newest, newestName = fd, name
		}
		return true
	}
	if !try(currentName) {
		try(currentBackup)
	}
	for _, name := range s.disk.list(s.directory) {
		if _, err := strconv.Atoi(strings.TrimPrefix(name, currentName+".")); err == nil {
			pending = append(pending, name)
			try(name)
		}
	}
	if newestName == "" {
		return newest, lastErr
	}
	if (newestName != currentName || len(pending) > 0) && s.SetMeta(newest) == nil {
		for _, name := range pending {
			s.disk.remove(s.path(name))
		}
	}
	return newest, nil
}

func (s memoryStorage) readCurrent(name string) (fd storage.FileDesc, err error) {
	content, err := s.disk.read(s.path(name))
	if err != nil {
		return fd, err
	}
	line, complete := bytes.CutSuffix(content, []byte("\n"))
	fd, valid := parseFileName(string(line))
	if !complete || !valid {
		return fd, &storage.ErrCorrupted{Err: errors.New("corrupted or incomplete CURRENT file")}
	}
	_, err = s.disk.read(s.path(fd.String()))
	return fd, err
}

func parseFileName(name string) (fd storage.FileDesc, valid bool) {
	if _, err := fmt.Sscanf(name, "MANIFEST-%d", &fd.Num); err == nil {
		fd.Type = storage.TypeManifest
		return fd, true
	}
	number, extension, _ := strings.Cut(name, ".")
	num, err := strconv.ParseInt(number, 10, 64)
	if err != nil {
		return fd, false
	}
	fd.Num = num
	switch extension {
	case "log":
		fd.Type = storage.TypeJournal
	case "ldb":
		fd.Type = storage.TypeTable
	case "tmp":
		fd.Type = storage.TypeTemp
	default:
		return fd, false
	}
	return fd, true
}

func (s memoryStorage) List(kind storage.FileType) (files []storage.FileDesc, _ error) {
	for _, name := range s.disk.list(s.directory) {
		if fd, valid := parseFileName(name); valid && fd.Type&kind != 0 {
			files = append(files, fd)
		}
	}
	return files, nil
}

func (s memoryStorage) Open(fd storage.FileDesc) (storage.Reader, error) {
	content, err := s.disk.read(s.path(fd.String()))
	if err != nil {
		return nil, err
	}
	return memoryReader{bytes.NewReader(content)}, nil
}

func (s memoryStorage) Create(fd storage.FileDesc) (storage.Writer, error) {
	file, err := s.disk.create(s.path(fd.String()))
	if err != nil {
		return nil, err
	}
	return &memoryWriter{s, fd, file}, nil
}

func (s memoryStorage) Remove(fd storage.FileDesc) error { return s.disk.remove(s.path(fd.String())) }

func (s memoryStorage) Rename(from, to storage.FileDesc) error {
	return s.disk.Rename(s.path(from.String()), s.path(to.String()))
}

type memoryReader struct{ *bytes.Reader }

func (memoryReader) Close() error { return nil }

type memoryWriter struct {
	storage memoryStorage
	fd      storage.FileDesc
	file    *node
}

func (w *memoryWriter) Write(data []byte) (int, error) {
	if err := w.storage.disk.write(w.file, data); err != nil {
		return 0, err
	}
	return len(data), nil
}

// Sync syncs the file, and for a manifest the directory as well.
func (w *memoryWriter) Sync() error {
	if err := w.storage.disk.sync(w.file); err != nil {
		return err
	}
	if w.fd.Type == storage.TypeManifest {
		return w.storage.disk.syncEntries(w.storage.directory)
	}
	return nil
}

func (w *memoryWriter) Close() error { return nil }
