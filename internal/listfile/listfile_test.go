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

// sink keeps the last list that it was told.
type sink struct {
	mu     sync.Mutex
	names  string
	told   int
	follow chan struct{}
}

func (s *sink) List(all []roster.Entry[string], whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.names = ""
	for _, e := range all {
		s.names += e.Name
	}
	s.told++
}
func (s *sink) Unlisted()               {}
func (s *sink) Follow() <-chan struct{} { return s.follow }

func (s *sink) is(names string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.names == names
}

type heard struct {
	mu   sync.Mutex
	text strings.Builder
}

func (h *heard) Write(b []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.text.Write(b)
}

func (h *heard) count(what string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return strings.Count(h.text.String(), what)
}

func upstream(name string) string {
	return fmt.Sprintf("[[upstreams]]\nname = %q\naddress = \"127.0.0.1:9001\"\n", name)
}

// Danger: a file that is half written, empty or gone is not a list of nobody. The old list stays until a whole one comes.
func TestOnlyAWholeFileIsAList(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list.toml")
	put := func(text string) {
		t.Helper()
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	s, h := &sink{follow: make(chan struct{})}, &heard{}
	put(upstream("a") + upstream("b"))
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		(&File{Path: path, Every: 10 * time.Millisecond, Sink: s, Log: slog.New(slog.NewTextHandler(h, nil))}).Run(ctx)
	}()
	soon := func(what string, is func() bool) {
		t.Helper()
		for range 300 {
			if is() {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatalf("not so after three seconds: %s", what)
	}
	soon("the first list", func() bool { return s.is("ab") })
	for n, bad := range []string{
		"", upstream("a")[:20], "count = 2\n" + upstream("a"), "# nothing\n", upstream("a") + upstream("a"), "\x00\x01",
		strings.Replace(upstream("a"), "9001", "0", 1), upstream("a") + "empty = 3\n",
	} {
		put(bad)
		soon(fmt.Sprintf("a word on %q", bad), func() bool { return h.count("step=kept") == n+1 })
		if !s.is("ab") {
			t.Errorf("%q was taken", bad)
		}
	}
	os.Remove(path)
	soon("a word on its going", func() bool { return h.count("no such file") == 1 })
	put(upstream("a") + upstream("b"))
	time.Sleep(50 * time.Millisecond)
	if s.told != 1 {
		t.Errorf("the same list was told %d times", s.told)
	}
	// Written in place, in two halves: the first is a list by itself, but does not stay.
	f, _ := os.Create(path)
	for _, half := range []string{upstream("c"), upstream("d")} {
		f.WriteString(half)
		time.Sleep(3 * time.Millisecond)
	}
	f.Close()
	soon("what was written in place", func() bool { return s.is("cd") })
	put("empty = true\n")
	soon("a list of nobody", func() bool { return s.is("") })
	s.follow <- struct{}{}
	soon("the list that was asked for", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.told == 4 })
	stop()
	<-ended
}
