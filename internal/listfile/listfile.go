// Package listfile is a list of upstreams in a file of its own, which is watched. The file is TOML, as in
// docs/configuration.md.
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

const maxFileBytes = 64 << 20 // bytes

// ParseEntries reads [[upstreams]] of a table.
func ParseEntries(table *settings.Table) (entries []roster.Entry[string]) {
	seen := map[string]bool{}
	for _, upstream := range table.Tables("upstreams") {
		entry := roster.Entry[string]{
			Name:    upstream.Must("name", "what the log calls it"),
			Address: upstream.Address("address", "where it is reached, such as \"127.0.0.1:9001\""),
			Zone:    upstream.Text("zone", ""), Kind: upstream.Text("kind", ""), Ends: upstream.Flag("draining", false),
			Up: logic.Upstream{
				Weight: upstream.Number("weight", 1, 1e-6, 1e6), Cell: upstream.Whole("group", 0, 0, 1e9), StartedAt: upstream.Moment("since"),
			},
		}
		entry.Up.ID = roster.Number(entry.Name)
		if seen[entry.Name] && entry.Name != "" {
			upstream.F.Fault(settings.Join(upstream.Path, "name"), "%q is another's name in this list", entry.Name)
		}
		seen[entry.Name] = true
		upstream.End()
		entries = append(entries, entry)
	}
	return entries
}

// ReadFile takes a file. Danger: a file that is half written, or empty because its writer died, is not a list of nobody;
// a list of nobody says so by "empty = true", and one that states its count must have it.
func ReadFile(path string) ([]roster.Entry[string], error) {
	content, err := readContent(path)
	if err != nil {
		return nil, err
	}
	return parseList(path, content)
}

func readContent(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%s: over %d bytes", path, maxFileBytes)
	}
	return os.ReadFile(path)
}

func parseList(path string, content []byte) ([]roster.Entry[string], error) {
	file, table := settings.Parse(path, content, os.LookupEnv)
	if table == nil {
		return nil, file.Faults[0]
	}
	count, empty := table.Whole("count", -1, 0, 1<<24), table.Flag("empty", false)
	entries := ParseEntries(table)
	table.End()
	switch {
	case file.Failed():
		return nil, file.Faults[0]
	case count >= 0 && count != len(entries):
		return nil, fmt.Errorf("%s: count says %d, there are %d upstreams", path, count, len(entries))
	case len(entries) == 0 && !empty:
		return nil, fmt.Errorf("%s: no upstreams; a list of nobody says empty = true", path)
	}
	return entries, nil
}

// File follows one file.
type File struct {
	Path     string
	Interval time.Duration // between two looks
	Sink     lists.Sink
	Log      *slog.Logger
}

// fileState is what tells one version of a file from another without reading it.
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

// Run implements lists.Source. Danger: a file may be read while it is written, and replaced within the grain of its
// time; so it is read once it has stayed the same between two looks.
func (file *File) Run(ctx context.Context) {
	var content []byte
	var previous, loaded fileState
	var reported string // what is wrong, said once and not with each look
	ticker := time.NewTicker(file.Interval)
	defer ticker.Stop()
	for first := true; ; first = false {
		current, err := statFile(file.Path)
		switch {
		case err != nil:
			loaded = fileState{} // also one that comes back as it was is read again
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
			content, loaded = nil, fileState{} // asked for: all of it is told again
		case <-ticker.C:
		}
	}
}

var errUnchanged = errors.New("as it was")

// load reads the file and tells it, unless it says the same as before.
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
