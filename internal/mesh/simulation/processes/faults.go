package processes

import (
	"context"
	"os"
	"strings"
	"syscall"
	"time"
)

// Kinds of faults.
const (
	KillController   = "kill_controller"
	KillProxy        = "kill_proxy"
	KillAll          = "kill_all"
	FreezeController = "freeze_controller"
	FreezeProxy      = "freeze_proxy"
	WipeController   = "wipe_controller" // killed, and its disk emptied
	TermProxy        = "term_proxy"
)

// Kinds are all of them.
var Kinds = []string{KillController, KillProxy, KillAll, FreezeController, FreezeProxy, WipeController, TermProxy}

// Fault is one thing that goes wrong.
type Fault struct {
	Kind    string
	At, For time.Duration
	Who     int
}

// befall has one fault happen, and end.
func (w *world) befall(ctx context.Context, f Fault, tell func(string, ...any)) {
	if nap(ctx, f.At) != nil {
		return
	}
	var hit []*process
	for n, p := range w.all {
		if w.hits(f, n) {
			hit = append(hit, p)
		}
	}
	for _, p := range hit {
		tell("%s of %s", f.Kind, p.name)
		switch {
		case strings.HasPrefix(f.Kind, "freeze"):
			p.signal(syscall.SIGSTOP, false)
		case f.Kind == TermProxy:
			p.signal(syscall.SIGTERM, true)
		default:
			p.signal(syscall.SIGKILL, true)
		}
	}
	nap(ctx, f.For)
	for _, p := range hit {
		if strings.HasPrefix(f.Kind, "freeze") {
			p.signal(syscall.SIGCONT, false)
			continue
		}
		p.signal(syscall.SIGKILL, true) // one that was asked to leave has left by now
		if f.Kind == WipeController {
			os.RemoveAll(p.settings.DataDir)
			os.MkdirAll(p.settings.DataDir, 0o755)
		}
		if ctx.Err() != nil {
			return
		}
		if err := w.run(p); err != nil {
			w.breaks("%s does not start again: %v", p.name, err)
			return
		}
		w.mu.Lock()
		w.out.Restarts++
		w.mu.Unlock()
		tell("%s is back", p.name)
	}
}

// hits reports whether a fault is that of a process; controllers come first, proxies after them.
func (w *world) hits(f Fault, n int) bool {
	switch f.Kind {
	case KillAll:
		return true
	case KillController, FreezeController, WipeController:
		return n == f.Who%w.Controllers
	case KillProxy, FreezeProxy, TermProxy:
		return n == w.Controllers+f.Who%w.Proxies
	}
	return false
}
