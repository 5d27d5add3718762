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
	maxDrainWait      = 3 * time.Second        // a longer hard stop isn't waited for
	finalAnswerTime   = 500 * time.Millisecond // of the 0.7 s more that there are before SIGKILL
	maxStreamWait     = time.Minute            // that a drain waits for answers that flow
	drainPollInterval = 10 * time.Millisecond  // between two looks at connections that end
)

// Listen opens a listener; Serve takes its clients, and Close ends it.
func (front *FrontEnd) Listen(name, address string) (*Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return front.newListener(name, l), nil
}

// Inherit takes over a listening socket that this process was started with. Danger: others hold it too, so it is never
// shut down; closing gives back our own descriptor only.
func (front *FrontEnd) Inherit(name, address string, descriptor int) (*Listener, error) {
	if accepting, err := syscall.GetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil {
		return nil, fmt.Errorf("descriptor %d is no socket: %w", descriptor, err)
	} else if accepting == 0 {
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
	return front.newListener(name, l), nil
}

func (front *FrontEnd) newListener(name string, l net.Listener) *Listener {
	created := &Listener{Listener: l, sockets: front.conns}
	created.Rename(name)
	return created
}

// Serve answers a listener's clients until it is closed or Drain has ended.
func (front *FrontEnd) Serve(l *Listener) error {
	if !front.listeners.add(l) {
		return l.Listener.Close()
	}
	defer front.listeners.remove(l)
	front.accepting.Store(true)
	if err := front.server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !l.closing.Load() && !l.notAccepting.Load() {
		return err
	}
	return nil
}

// CloseListener ends a listener. Its clients' connections end with their answers, those without a transaction now.
func (front *FrontEnd) CloseListener(l *Listener) {
	l.closing.Store(true)
	l.Listener.Close()
	front.conns.closeIdleOfListener(l)
}

// Drain ends the front. For half of the time that there is it serves as ever, then it closes each connection with its
// answer, and forfeits what is out shortly before the process would be killed. Danger: clients go on using the
// connections that they have, and where the other balancers are restarting as well they have no others.
//
// Relayed, another process takes clients from the same listeners: they accept no more at once, connections end with
// their answers, and idle ones near the end.
func (front *FrontEnd) Drain(handedOver ...*Listener) {
	start := time.Now()
	longest := time.Duration(0)
	pools := front.conns.allPools()
	for _, pool := range pools {
		longest = max(longest, pool.maxHardStop())
	}
	end := start.Add(min(longest, maxDrainWait) + finalAnswerTime)
	half := start.Add(end.Sub(start) / 2)
	if len(handedOver) > 0 {
		half = start
	}
	front.availability.stop(start, half, len(handedOver) > 0)
	for _, l := range handedOver {
		l.notAccepting.Store(true)
		l.Listener.Close()
	}
	front.log.Info("drain", "step", "begin", "clients", front.conns.clients.Load(), "relayed", len(handedOver) > 0)
	for len(handedOver) > 0 && time.Until(end) > time.Second && front.conns.clients.Load() > 0 {
		time.Sleep(sweepInterval) // Danger: clients go on using what lies idle, until it has ended with an answer
	}
	time.Sleep(time.Until(half))
	front.conns.closeIdleClients(time.Now(), false)

	ctx, stop := context.WithDeadline(context.Background(), end)
	defer stop()
	if !front.endConnections(ctx) {
		forfeited := 0
		for _, pool := range pools {
			forfeited += pool.forfeitOpen()
		}
		// Danger: an answer that flows is cut by our end, and not by that of the process that kills us.
		for until := time.Now().Add(maxStreamWait); front.streams.Load() > 0 && time.Now().Before(until); {
			time.Sleep(sweepInterval)
		}
		ctx, stop := context.WithTimeout(context.Background(), 150*time.Millisecond)
		defer stop()
		front.endConnections(ctx) // the last answers are being written
		front.log.Warn("drain", "step", "forced", "forfeited", forfeited)
	}
	for _, pool := range pools {
		pool.sample(true)
	}
	front.log.Info("drain", "step", "end", "took", time.Since(start).Round(time.Millisecond))
}

// endConnections accepts no more and ends each client's connection between two messages. It reports whether all have ended in time.
// Danger: Shutdown of net/http closes those whose next message has been read in part, and drops it.
func (front *FrontEnd) endConnections(ctx context.Context) (all bool) {
	front.listeners.close()
	pause := time.NewTicker(drainPollInterval)
	defer pause.Stop()
	for front.conns.clients.Load() > 0 {
		front.conns.closeIdleClients(time.Now(), true)
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
	mu      sync.Mutex
	active  map[*Listener]struct{}
	closed  bool
	running sync.WaitGroup // until Serve has returned
}

// add reports whether a listener may be served: none is any more once all have been closed.
func (listeners *listeners) add(one *Listener) bool {
	listeners.mu.Lock()
	defer listeners.mu.Unlock()
	if listeners.closed {
		return false
	}
	if listeners.active == nil {
		listeners.active = map[*Listener]struct{}{}
	}
	listeners.active[one] = struct{}{}
	listeners.running.Add(1)
	return true
}

func (listeners *listeners) remove(one *Listener) {
	listeners.mu.Lock()
	defer listeners.mu.Unlock()
	delete(listeners.active, one)
	listeners.running.Done()
}

// close closes all, and returns once what they have accepted is counted.
func (listeners *listeners) close() {
	listeners.mu.Lock()
	listeners.closed = true
	for one := range listeners.active {
		one.notAccepting.Store(true)
		one.Listener.Close()
	}
	listeners.mu.Unlock()
	listeners.running.Wait()
}
