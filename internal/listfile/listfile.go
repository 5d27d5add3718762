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

const mostFile = 64 << 20 // bytes

// Entries reads [[upstreams]] of a table.
func Entries(t *settings.Table) (all []roster.Entry[string]) {
	seen := map[string]bool{}
	for _, u := range t.Tables("upstreams") {
		e := roster.Entry[string]{
			Name:    u.RequiredText("name", "what the log calls it"),
			Address: u.Address("address", "where it is reached, such as \"127.0.0.1:9001\""),
			Zone:    u.Text("zone", ""), Kind: u.Text("kind", ""), Draining: u.Bool("draining", false),
			Upstream: logic.Upstream{
				Weight: u.Number("weight", 1, 1e-6, 1e6), Cell: u.Int("group", 0, 0, 1e9), StartedAt: u.Timestamp("since"),
			},
		}
		e.Upstream.ID = roster.NameHash(e.Name)
		if seen[e.Name] && e.Name != "" {
			u.File.Fault(settings.JoinPath(u.Path, "name"), "%q is another's name in this list", e.Name)
		}
		seen[e.Name] = true
		u.ReportUnknownKeys()
		all = append(all, e)
	}
	return all
}

// Read takes a file. Danger: a file that is half written, or empty because its writer died, is not a list of nobody;
// a list of nobody says so by "empty = true", and one that states its count must have it.
func Read(path string) ([]roster.Entry[string], error) {
	text, err := read(path)
	if err != nil {
		return nil, err
	}
	return parse(path, text)
}

func read(path string) ([]byte, error) {
	about, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if about.Size() > mostFile {
		return nil, fmt.Errorf("%s: over %d bytes", path, mostFile)
	}
	return os.ReadFile(path)
}

func parse(path string, text []byte) ([]roster.Entry[string], error) {
	f, t := settings.Parse(path, text, os.LookupEnv)
	if t == nil {
		return nil, f.Faults[0]
	}
	count, empty := t.Int("count", -1, 0, 1<<24), t.Bool("empty", false)
	all := Entries(t)
	t.ReportUnknownKeys()
	switch {
	case f.Finish():
		return nil, f.Faults[0]
	case count >= 0 && count != len(all):
		return nil, fmt.Errorf("%s: count says %d, there are %d upstreams", path, count, len(all))
	case len(all) == 0 && !empty:
		return nil, fmt.Errorf("%s: no upstreams; a list of nobody says empty = true", path)
	}
	return all, nil
}

// File follows one file.
type File struct {
	Path  string
	Every time.Duration // between two looks
	Sink  lists.Sink
	Log   *slog.Logger
}

// state is what tells one version of a file from another without reading it.
type state struct {
	node uint64
	time time.Time
	size int64
}

func look(path string) (state, error) {
	about, err := os.Stat(path)
	if err != nil {
		return state{}, err
	}
	return state{about.Sys().(*syscall.Stat_t).Ino, about.ModTime(), about.Size()}, nil
}

// Run implements lists.Source. Danger: a file may be read while it is written, and replaced within the grain of its
// time; so it is read once it has stayed the same between two looks.
func (l *File) Run(ctx context.Context) {
	var told []byte
	var seen, done state
	var said string // what is wrong, said once and not with each look
	tick := time.NewTicker(l.Every)
	defer tick.Stop()
	for first := true; ; first = false {
		now, err := look(l.Path)
		switch {
		case err != nil:
			done = state{} // also one that comes back as it was is read again
		case now == done || now != seen && !first:
			err = errSame
		default:
			told, err = l.take(told)
			if done = now; first {
				done = state{}
			}
		}
		seen = now
		if text := plain(err); err != errSame && text != said {
			if said = text; text != "" {
				l.Log.Warn("list", "step", "kept", "file", l.Path, "fault", text)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-l.Sink.Follow():
			told, done = nil, state{} // asked for: all of it is told again
		case <-tick.C:
		}
	}
}

var errSame = errors.New("as it was")

// take reads the file and tells it, unless it says the same as before.
func (l *File) take(before []byte) (told []byte, err error) {
	text, err := read(l.Path)
	if err != nil || bytes.Equal(text, before) {
		return before, err
	}
	all, err := parse(l.Path, text)
	if err != nil {
		return before, err
	}
	l.Log.Info("list", "step", "taken", "file", l.Path, "upstreams", len(all))
	l.Sink.List(all, true)
	return text, nil
}

func plain(err error) string {
	var at *fs.PathError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &at):
		return at.Err.Error()
	}
	return err.Error()
}
