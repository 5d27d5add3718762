package listfile

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"ottershift/internal/roster"
)

// recordingSink keeps the last list that it was told.
type recordingSink struct {
	mu      sync.Mutex
	names   string
	updates int
	follow  chan struct{}
}

func (sink *recordingSink) Update(entries []roster.Entry[string], full bool) {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	sink.names = ""
	for _, entry := range entries {
		sink.names += entry.Name
	}
	sink.updates++
}
func (sink *recordingSink) SourceLost()                {}
func (sink *recordingSink) Requested() <-chan struct{} { return sink.follow }

func (sink *recordingSink) hasNames(names string) bool {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	return sink.names == names
}

type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (buffer *logBuffer) Write(b []byte) (int, error) {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.text.Write(b)
}

func (buffer *logBuffer) count(text string) int {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return strings.Count(buffer.text.String(), text)
}

func upstreamTable(name string) string {
	return fmt.Sprintf("[[upstreams]]\nname = %q\naddress = \"127.0.0.1:9001\"\n", name)
}

// Danger: a file that is half written, empty or gone is not a list of nobody. The old list stays until a whole one comes.
func TestOnlyCompleteFileReplacesList(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list.toml")
	replaceFile := func(text string) {
		t.Helper()
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	sink, logged := &recordingSink{follow: make(chan struct{})}, &logBuffer{}
	replaceFile(upstreamTable("a") + upstreamTable("b"))
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		(&File{Path: path, Interval: 10 * time.Millisecond, Sink: sink, Log: slog.New(slog.NewTextHandler(logged, nil))}).Run(ctx)
	}()
	eventually := func(what string, condition func() bool) {
		t.Helper()
		for range 300 {
			if condition() {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatalf("not so after three seconds: %s", what)
	}
	eventually("the first list", func() bool { return sink.hasNames("ab") })
	for n, invalid := range []string{
		"", upstreamTable("a")[:20], "count = 2\n" + upstreamTable("a"), "# nothing\n", upstreamTable("a") + upstreamTable("a"), "\x00\x01",
		strings.Replace(upstreamTable("a"), "9001", "0", 1), upstreamTable("a") + "empty = 3\n",
	} {
		replaceFile(invalid)
		eventually(fmt.Sprintf("a word on %q", invalid), func() bool { return logged.count("step=kept") == n+1 })
		if !sink.hasNames("ab") {
			t.Errorf("%q was taken", invalid)
		}
	}
	os.Remove(path)
	eventually("a word on its going", func() bool { return logged.count("no such file") == 1 })
	replaceFile(upstreamTable("a") + upstreamTable("b"))
	time.Sleep(50 * time.Millisecond)
	if sink.updates != 1 {
		t.Errorf("the same list was told %d times", sink.updates)
	}
	// Written in place, in two halves: the first is a list by itself, but does not stay.
	file, _ := os.Create(path)
	for _, half := range []string{upstreamTable("c"), upstreamTable("d")} {
		file.WriteString(half)
		time.Sleep(3 * time.Millisecond)
	}
	file.Close()
	eventually("what was written in place", func() bool { return sink.hasNames("cd") })
	replaceFile("empty = true\n")
	eventually("a list of nobody", func() bool { return sink.hasNames("") })
	sink.follow <- struct{}{}
	eventually("the list that was asked for", func() bool { sink.mu.Lock(); defer sink.mu.Unlock(); return sink.updates == 4 })
	stop()
	<-ended
}
