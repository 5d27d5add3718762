// Package listfile reads the list of upstreams from a TOML file and watches the file for changes. The format is
// described in docs/configuration.md.
package listfile

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"syscall"
	"time"

	"ottershift/internal/lists"
	"ottershift/internal/roster"
	"ottershift/internal/settings"
	"ottershift/logic"
)

const maxFileBytes = 64 << 20

// ParseEntries reads the [[upstreams]] of a table and records faults in its file.
func ParseEntries(table *settings.Table) (entries []roster.Entry[string]) {
	seen := map[string]bool{}
	for _, upstream := range table.Tables("upstreams") {
		entry := roster.Entry[string]{
			Name:    upstream.RequiredText("name", "the upstream's name in logs"),
			Address: upstream.Address("address", "the upstream's address, such as \"127.0.0.1:9001\""),
			Zone:    upstream.Text("zone", ""), Kind: upstream.Text("kind", ""), Draining: upstream.Bool("draining", false),
			Upstream: logic.Upstream{
				Weight: upstream.Number("weight", 1, 1e-6, 1e6), Cell: upstream.Int("group", 0, 0, 1e9),
				StartedAt: upstream.Timestamp("since"),
			},
		}
		entry.Upstream.ID = roster.NameHash(entry.Name)
		if seen[entry.Name] && entry.Name != "" {
			upstream.File.Fault(settings.JoinPath(upstream.Path, "name"), "%q is another's name in this list", entry.Name)
		}
		seen[entry.Name] = true
		upstream.ReportUnknownKeys()
		entries = append(entries, entry)
	}
	return entries
}

// ReadFile reads a list file. A file that is partially written, or empty because its writer crashed, must not pass for
// an empty list. An empty list therefore needs "empty = true", and a stated count must match the entries.
func ReadFile(path string) ([]roster.Entry[string], error) {
	content, err := readContent(path)
	if err != nil {
		return nil, err
	}
	return parseList(path, content)
}

// readContent returns the content of a file up to maxFileBytes in size.
func readContent(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%s: file exceeds %d bytes", path, maxFileBytes)
	}
	return os.ReadFile(path)
}

// parseList parses and validates the content of a list file.
func parseList(path string, content []byte) ([]roster.Entry[string], error) {
	file, table := settings.Parse(path, content, os.LookupEnv)
	if table == nil {
		return nil, file.Faults[0]
	}
	count, empty := table.Int("count", -1, 0, 1<<24), table.Bool("empty", false)
	entries := ParseEntries(table)
	table.ReportUnknownKeys()
	switch {
	case file.Finish():
		return nil, file.Faults[0]
	case count >= 0 && count != len(entries):
		return nil, fmt.Errorf("%s: count is %d, but the file lists %d upstreams", path, count, len(entries))
	case len(entries) == 0 && !empty:
		return nil, fmt.Errorf("%s: no upstreams; an intentionally empty list needs empty = true", path)
	}
	return entries, nil
}

// File is a lists.Source that watches one file.
type File struct {
	Path     string
	Interval time.Duration // between two checks of the file
	Sink     lists.Sink
	Log      *slog.Logger
}

// fileState is the metadata by which versions of a file are distinguished without reading it.
type fileState struct {
	inode    uint64
	modified time.Time
	size     int64
}

func statFile(path string) (fileState, error) {
	info, err := os.Stat(path)
	if err != nil {
		return fileState{}, err
	}
	return fileState{info.Sys().(*syscall.Stat_t).Ino, info.ModTime(), info.Size()}, nil
}

// Run implements lists.Source. A file can be read while it is being written, or replaced within the resolution of its
// modification time. It is therefore read only after its metadata was the same at two successive checks.
func (file *File) Run(ctx context.Context) {
	var content []byte
	var previous, loaded fileState
	var reported string // last error text that was logged, so that it is not repeated with each check
	ticker := time.NewTicker(file.Interval)
	defer ticker.Stop()
	for first := true; ; first = false {
		current, err := statFile(file.Path)
		switch {
		case err != nil:
			loaded = fileState{} // a file that reappears unchanged is read again, too
		case current == loaded || current != previous && !first:
			err = errUnchanged
		default:
			content, err = file.load(content)
			if loaded = current; first {
				loaded = fileState{}
			}
		}
		previous = current
		if text := errorText(err); err != errUnchanged && text != reported {
			if reported = text; text != "" {
				file.Log.Warn("list", "step", "kept", "file", file.Path, "fault", text)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-file.Sink.Requested():
			content, loaded = nil, fileState{} // the full list was requested, so it is sent again
		case <-ticker.C:
		}
	}
}

var errUnchanged = errors.New("file unchanged")

// load reads the file and passes its list to the sink, unless the content is the previous one.
func (file *File) load(previous []byte) (content []byte, err error) {
	fresh, err := readContent(file.Path)
	if err != nil || bytes.Equal(fresh, previous) {
		return previous, err
	}
	entries, err := parseList(file.Path, fresh)
	if err != nil {
		return previous, err
	}
	file.Log.Info("list", "step", "taken", "file", file.Path, "upstreams", len(entries))
	file.Sink.Update(entries, true)
	return fresh, nil
}

// errorText returns the text of an error without operation and path, or "" for nil.
func errorText(err error) string {
	var pathError *fs.PathError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &pathError):
		return pathError.Err.Error()
	}
	return err.Error()
}
