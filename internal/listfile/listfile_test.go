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

// recordingSink records the names of the last list and counts the updates.
type recordingSink struct {
	mu        sync.Mutex
	names     string
	updates   int
	requested chan struct{}
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
func (sink *recordingSink) Requested() <-chan struct{} { return sink.requested }

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

// TestOnlyCompleteFileReplacesList checks that a file that is partially written, invalid, empty or deleted does not pass
// for an empty list: the previous list stays until there is a complete new one.
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
	sink, logs := &recordingSink{requested: make(chan struct{})}, &logBuffer{}
	replaceFile(upstreamTable("a") + upstreamTable("b"))
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		(&File{Path: path, Interval: 10 * time.Millisecond, Sink: sink, Log: slog.New(slog.NewTextHandler(logs, nil))}).Run(ctx)
	}()
	eventually := func(event string, condition func() bool) {
		t.Helper()
		for range 300 {
			if condition() {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatalf("not within 3 s: %s", event)
	}
	eventually("the first list is sent", func() bool { return sink.hasNames("ab") })
	for n, invalid := range []string{
		"", upstreamTable("a")[:20], "count = 2\n" + upstreamTable("a"), "# nothing\n",
		upstreamTable("a") + upstreamTable("a"), "\x00\x01",
		strings.Replace(upstreamTable("a"), "9001", "0", 1), upstreamTable("a") + "empty = 3\n",
	} {
		replaceFile(invalid)
		eventually(fmt.Sprintf("the rejection of %q is logged", invalid), func() bool { return logs.count("step=kept") == n+1 })
		if !sink.hasNames("ab") {
			t.Errorf("%q replaced the list", invalid)
		}
	}
	os.Remove(path)
	eventually("the missing file is logged", func() bool { return logs.count("no such file") == 1 })
	replaceFile(upstreamTable("a") + upstreamTable("b"))
	time.Sleep(50 * time.Millisecond)
	if sink.updates != 1 {
		t.Errorf("the same list was sent %d times", sink.updates)
	}
	// The file is written in place in two halves. The first half alone is a valid list, but changes before it is read.
	file, _ := os.Create(path)
	for _, half := range []string{upstreamTable("c"), upstreamTable("d")} {
		file.WriteString(half)
		time.Sleep(3 * time.Millisecond)
	}
	file.Close()
	eventually("the list written in place is sent", func() bool { return sink.hasNames("cd") })
	replaceFile("empty = true\n")
	eventually("an empty list is sent", func() bool { return sink.hasNames("") })
	sink.requested <- struct{}{}
	eventually("the requested list is sent", func() bool { sink.mu.Lock(); defer sink.mu.Unlock(); return sink.updates == 4 })
	stop()
	<-done
}
