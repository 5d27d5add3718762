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

// memoryStorage is goleveldb's storage in a folder of a MemoryDisk, with the steps of its own storage of files: CURRENT is
// backed up, written under a name of its own, renamed, and the folder synced.
type memoryStorage struct {
	disk   *MemoryDisk
	folder string
}

const (
	currentName   = "CURRENT"
	currentBackup = "CURRENT.bak"
)

// OpenStorage opens goleveldb's files in a folder.
func (d *MemoryDisk) OpenStorage(folder string) (storage.Storage, error) {
	return memoryStorage{d, folder}, nil
}

// SyncFile brings one of goleveldb's files to the disk.
func (d *MemoryDisk) SyncFile(folder string, file storage.FileDesc) error {
	if d.IgnoreSyncFile {
		return nil
	}
	return d.syncPath(folder + "/" + file.String())
}

func (s memoryStorage) path(name string) string { return s.folder + "/" + name }

func (s memoryStorage) Lock() (storage.Locker, error) { return unlocked{}, nil }
func (s memoryStorage) Log(string)                    {}
func (s memoryStorage) Close() error                  { return nil }

type unlocked struct{}

func (unlocked) Unlock() {}

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

// SetMeta names the current manifest.
func (s memoryStorage) SetMeta(fd storage.FileDesc) error {
	content := fd.String() + "\n"
	if before, err := s.disk.read(s.path(currentName)); err == nil {
		if string(before) == content {
			return nil
		}
		if err := s.writeSynced(currentBackup, string(before)); err != nil {
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
	return s.disk.syncNames(s.folder) // goleveldb's own
}

// GetMeta finds the current manifest: the newest of a pending one and CURRENT, else the backup.
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
	for _, name := range s.disk.list(s.folder) {
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
	line, whole := bytes.CutSuffix(content, []byte("\n"))
	fd, is := parseName(string(line))
	if !whole || !is {
		return fd, &storage.ErrCorrupted{Err: errors.New("corrupted or incomplete CURRENT file")}
	}
	_, err = s.disk.read(s.path(fd.String()))
	return fd, err
}

func parseName(name string) (fd storage.FileDesc, is bool) {
	if _, err := fmt.Sscanf(name, "MANIFEST-%d", &fd.Num); err == nil {
		fd.Type = storage.TypeManifest
		return fd, true
	}
	number, kind, _ := strings.Cut(name, ".")
	num, err := strconv.ParseInt(number, 10, 64)
	if err != nil {
		return fd, false
	}
	fd.Num = num
	switch kind {
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

func (s memoryStorage) List(kind storage.FileType) (all []storage.FileDesc, _ error) {
	for _, name := range s.disk.list(s.folder) {
		if fd, is := parseName(name); is && fd.Type&kind != 0 {
			all = append(all, fd)
		}
	}
	return all, nil
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

// Sync brings the file to the disk; a manifest's folder with it.
func (w *memoryWriter) Sync() error {
	if err := w.storage.disk.sync(w.file); err != nil {
		return err
	}
	if w.fd.Type == storage.TypeManifest {
		return w.storage.disk.syncNames(w.storage.folder)
	}
	return nil
}

func (w *memoryWriter) Close() error { return nil }
