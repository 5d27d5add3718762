// Package disk is the part of a file system that a member's directory needs. Dir uses the operating system's file system;
// Faulty injects write faults for the test harness.
package disk

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
)

// FS stores whole files durably.
type FS interface {
	// Read returns the content of a file.
	Read(name string) ([]byte, error)
	// Replace replaces a file atomically and returns once the new content is on disk.
	Replace(name string, content []byte) error
}

// Dir is the path of a directory in the file system of the operating system.
type Dir string

// Read implements FS.
func (d Dir) Read(name string) ([]byte, error) { return os.ReadFile(filepath.Join(string(d), name)) }

// Replace implements FS.
func (d Dir) Replace(name string, content []byte) error {
	if err := os.MkdirAll(string(d), 0o700); err != nil {
		return err
	}
	path := filepath.Join(string(d), name)
	file, err := os.OpenFile(path+".new", os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	// The rename may reach the disk before the content of the file, so the file is synced first.
	if err = errors.Join(err, file.Sync(), file.Close()); err != nil {
		return err
	}
	if err = os.Rename(path+".new", path); err != nil {
		return err
	}
	directory, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}

// Faulty is a directory whose writes fail while the fault file contains "full", "read-only" or "sync".
type Faulty struct {
	Dir
	FaultFile string // path of the fault file
}

// Replace implements FS.
func (f Faulty) Replace(name string, content []byte) error {
	fault, _ := os.ReadFile(f.FaultFile)
	switch string(fault) {
	case "full":
		return &os.PathError{Op: "write", Path: name, Err: syscall.ENOSPC}
	case "read-only":
		return &os.PathError{Op: "open", Path: name, Err: syscall.EROFS}
	case "sync":
		return &os.PathError{Op: "sync", Path: name, Err: syscall.EIO}
	}
	return f.Dir.Replace(name, content)
}
