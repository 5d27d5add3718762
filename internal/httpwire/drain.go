package httpwire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	mostDrain   = 3 * time.Second        // a longer hard stop isn't waited for
	lastAnswers = 500 * time.Millisecond // of the 0.7 s more that there are before SIGKILL
	mostFlow    = time.Minute            // that a drain waits for answers that flow
	endPause    = 10 * time.Millisecond  // between two looks at connections that end
)

// Listen opens a listener; Serve takes its clients, and Close ends it.
func (f *Front) Listen(name, address string) (*Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return f.listener(name, l), nil
}

// Inherit takes over a listening socket that this process was started with. Danger: others hold it too, so it is never
// shut down; closing gives back our own descriptor only.
func (f *Front) Inherit(name, address string, descriptor int) (*Listener, error) {
	if on, err := syscall.GetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil {
		return nil, fmt.Errorf("descriptor %d is no socket: %w", descriptor, err)
	} else if on == 0 {
		return nil, fmt.Errorf("descriptor %d does not listen", descriptor)
	}
	file := os.NewFile(uintptr(descriptor), "listener")
	defer file.Close() // the listener has one of its own
	l, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", descriptor, err)
	}
	if at, ok := l.Addr().(*net.TCPAddr); !ok || at.String() != address {
		l.Close()
		return nil, fmt.Errorf("descriptor %d listens on %s instead of %s", descriptor, l.Addr(), address)
	}
	return f.listener(name, l), nil
}

func (f *Front) listener(name string, l net.Listener) *Listener {
	n := &Listener{Listener: l, sockets: f.sockets}
	n.Rename(name)
	return n
}

// Serve answers a listener's clients until it is closed or Drain has ended.
func (f *Front) Serve(l *Listener) error {
	if !f.serving.add(l) {
		return l.Listener.Close()
	}
	defer f.serving.remove(l)
	f.accepts.Store(true)
	if err := f.server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !l.gone.Load() && !l.deaf.Load() {
		return err
	}
	return nil
}

// Close ends a listener. Its clients' connections end with their answers, those without a transaction now.
func (f *Front) Close(l *Listener) {
	l.gone.Store(true)
	l.Listener.Close()
	f.sockets.close(l)
}

// Drain ends the front. For half of the time that there is it serves as ever, then it closes each connection with its
// answer, and forfeits what is out shortly before the process would be killed. Danger: clients go on using the
// connections that they have, and where the other balancers are restarting as well they have no others.
//
// Relayed, another process takes clients from the same listeners: they accept no more at once, connections end with
// their answers, and idle ones near the end.
func (f *Front) Drain(relayed ...*Listener) {
	start := time.Now()
	longest := time.Duration(0)
	pools := f.sockets.all()
	for _, p := range pools {
		longest = max(longest, p.longest())
	}
	end := start.Add(min(longest, mostDrain) + lastAnswers)
	half := start.Add(end.Sub(start) / 2)
	if len(relayed) > 0 {
		half = start
	}
	f.presence.stop(start, half, len(relayed) > 0)
	for _, l := range relayed {
		l.deaf.Store(true)
		l.Listener.Close()
	}
	f.log.Info("drain", "step", "begin", "clients", f.sockets.in.Load(), "relayed", len(relayed) > 0)
	for len(relayed) > 0 && time.Until(end) > time.Second && f.sockets.in.Load() > 0 {
		time.Sleep(sweepEvery) // Danger: clients go on using what lies idle, until it has ended with an answer
	}
	time.Sleep(time.Until(half))
	f.sockets.sweep(time.Now(), false)

	ctx, stop := context.WithDeadline(context.Background(), end)
	defer stop()
	if !f.endConnections(ctx) {
		forfeited := 0
		for _, p := range pools {
			forfeited += p.forfeit()
		}
		// Danger: an answer that flows is cut by our end, and not by that of the process that kills us.
		for until := time.Now().Add(mostFlow); f.flows.Load() > 0 && time.Now().Before(until); {
			time.Sleep(sweepEvery)
		}
		ctx, stop := context.WithTimeout(context.Background(), 150*time.Millisecond)
		defer stop()
		f.endConnections(ctx) // the last answers are being written
		f.log.Warn("drain", "step", "forced", "forfeited", forfeited)
	}
	for _, p := range pools {
		p.look(true)
	}
	f.log.Info("drain", "step", "end", "took", time.Since(start).Round(time.Millisecond))
}

// endConnections accepts no more and ends each client's connection between two messages. It reports whether all have ended in time.
// Danger: Shutdown of net/http closes those whose next message has been read in part, and drops it.
func (f *Front) endConnections(ctx context.Context) (all bool) {
	f.serving.close()
	pause := time.NewTicker(endPause)
	defer pause.Stop()
	for f.sockets.in.Load() > 0 {
		f.sockets.sweep(time.Now(), true)
		select {
		case <-pause.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// listeners are those that a front serves.
type listeners struct {
	mu     sync.Mutex
	all    map[*Listener]struct{}
	closed bool
	served sync.WaitGroup // until Serve has returned
}

// add reports whether a listener may be served: none is any more once all have been closed.
func (l *listeners) add(one *Listener) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	if l.all == nil {
		l.all = map[*Listener]struct{}{}
	}
	l.all[one] = struct{}{}
	l.served.Add(1)
	return true
}

func (l *listeners) remove(one *Listener) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.all, one)
	l.served.Done()
}

// close closes all, and returns once what they have accepted is counted.
func (l *listeners) close() {
	l.mu.Lock()
	l.closed = true
	for one := range l.all {
		one.deaf.Store(true)
		one.Listener.Close()
	}
	l.mu.Unlock()
	l.served.Wait()
}
