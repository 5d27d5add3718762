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
	WipeController   = "wipe_controller" // killed, and its data directory emptied
	TermProxy        = "term_proxy"
	TermController   = "term_controller"
	HangUpProxy      = "hup_proxy" // reads its settings again
)

// Kinds lists all kinds of faults.
var Kinds = []string{KillController, KillProxy, KillAll, FreezeController, FreezeProxy, WipeController, TermProxy, TermController, HangUpProxy}

// Fault is a fault that begins at a given time and lasts for a given duration.
type Fault struct {
	Kind    string
	At, For time.Duration
	Who     int
}

// injectFault injects a fault and ends it after its duration.
func (h *harness) injectFault(ctx context.Context, f Fault, logf func(string, ...any)) {
	if sleep(ctx, f.At) != nil {
		return
	}
	var affected []*process
	for n, p := range h.processes {
		if h.affects(f, n) {
			affected = append(affected, p)
		}
	}
	for _, p := range affected {
		logf("%s of %s", f.Kind, p.name)
		switch {
		case strings.HasPrefix(f.Kind, "freeze"):
			p.signal(syscall.SIGSTOP, false)
		case f.Kind == HangUpProxy:
			p.signal(syscall.SIGHUP, false)
		case f.Kind == TermProxy || f.Kind == TermController:
			p.signal(syscall.SIGTERM, true)
		default:
			p.signal(syscall.SIGKILL, true)
		}
	}
	sleep(ctx, f.For)
	for _, p := range affected {
		if strings.HasPrefix(f.Kind, "freeze") {
			p.signal(syscall.SIGCONT, false)
			continue
		}
		if f.Kind == HangUpProxy {
			continue
		}
		p.kill() // a process that was sent SIGTERM has exited by now
		if f.Kind == WipeController {
			os.RemoveAll(p.settings.DataDir)
			os.MkdirAll(p.settings.DataDir, 0o755)
		}
		if ctx.Err() != nil {
			return
		}
		if err := h.startProcess(p); err != nil {
			h.reportViolation("%s does not restart: %v", p.name, err)
			return
		}
		h.mu.Lock()
		h.outcome.Restarts++
		h.mu.Unlock()
		logf("%s is restarted", p.name)
	}
}

// affects reports whether a fault affects process n. Processes are numbered with the controllers first, then the proxies.
func (h *harness) affects(f Fault, n int) bool {
	switch f.Kind {
	case KillAll:
		return true
	case KillController, FreezeController, WipeController, TermController:
		return n == f.Who%h.Controllers
	case KillProxy, FreezeProxy, TermProxy, HangUpProxy:
		return n == h.Controllers+f.Who%h.Proxies
	}
	return false
}
