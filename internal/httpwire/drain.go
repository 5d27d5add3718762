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
	maxDrainWait      = 3 * time.Second        // longer hard stops are not waited for
	finalAnswerTime   = 500 * time.Millisecond // of the remaining 0.7 s before SIGKILL
	maxStreamWait     = time.Minute            // for streamed responses, during a drain
	drainPollInterval = 10 * time.Millisecond  // between two checks for connections that can be closed
)

// Listen opens a listener. Serve accepts its clients, and CloseListener closes it.
func (front *FrontEnd) Listen(name, address string) (*Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return front.newListener(name, listener), nil
}

// Inherit takes over a listening socket that was passed to this process. Other processes hold it too, so it is
// never shut down: closing it releases only the descriptor of this process.
func (front *FrontEnd) Inherit(name, address string, descriptor int) (*Listener, error) {
	if accepting, err := syscall.GetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil {
		return nil, fmt.Errorf("descriptor %d is not a socket: %w", descriptor, err)
	} else if accepting == 0 {
		return nil, fmt.Errorf("descriptor %d is not a listening socket", descriptor)
	}
	file := os.NewFile(uintptr(descriptor), "listener")
	defer file.Close() // the listener has a duplicate
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", descriptor, err)
	}
	if at, ok := listener.Addr().(*net.TCPAddr); !ok || at.String() != address {
		listener.Close()
		return nil, fmt.Errorf("descriptor %d listens on %s instead of %s", descriptor, listener.Addr(), address)
	}
	return front.newListener(name, listener), nil
}

func (front *FrontEnd) newListener(name string, listener net.Listener) *Listener {
	created := &Listener{Listener: listener, tracker: front.tracker}
	created.Rename(name)
	return created
}

// Serve serves the clients of a listener until the listener is closed or Drain has ended.
func (front *FrontEnd) Serve(listener *Listener) error {
	if !front.listeners.add(listener) {
		return listener.Listener.Close()
	}
	defer front.listeners.remove(listener)
	front.accepting.Store(true)
	if err := front.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !listener.closing.Load() &&
		!listener.notAccepting.Load() {
		return err
	}
	return nil
}

// CloseListener closes a listener. Its client connections close after their current answer, those without a
// transaction at once.
func (front *FrontEnd) CloseListener(listener *Listener) {
	listener.closing.Store(true)
	listener.Listener.Close()
	front.tracker.closeIdleOfListener(listener)
}

// Drain shuts the front end down. During the first half of the available time it serves as usual, because clients
// go on using their connections and have no others while the other balancers restart too. Then it closes each
// connection with its answer, and forfeits open transactions shortly before the process would be killed.
//
// If handedOver is not empty, another process accepts clients of the same listeners. This process then stops
// accepting at once, connections close with their answers, and idle connections close near the end.
func (front *FrontEnd) Drain(handedOver ...*Listener) {
	start := time.Now()
	longest := time.Duration(0)
	pools := front.tracker.allPools()
	for _, pool := range pools {
		longest = max(longest, pool.maxHardStop())
	}
	end := start.Add(min(longest, maxDrainWait) + finalAnswerTime)
	half := start.Add(end.Sub(start) / 2)
	if len(handedOver) > 0 {
		half = start
	}
	front.availability.stop(start, half, len(handedOver) > 0)
	for _, listener := range handedOver {
		listener.notAccepting.Store(true)
		listener.Listener.Close()
	}
	front.log.Info("drain", "step", "begin", "clients", front.tracker.clients.Load(), "relayed", len(handedOver) > 0)
	for len(handedOver) > 0 && time.Until(end) > time.Second && front.tracker.clients.Load() > 0 {
		time.Sleep(sweepInterval) // clients go on using idle connections until these close with an answer
	}
	time.Sleep(time.Until(half))
	front.tracker.closeIdleClients(time.Now(), false)

	ctx, stop := context.WithDeadline(context.Background(), end)
	defer stop()
	if !front.endConnections(ctx) {
		forfeited := 0
		for _, pool := range pools {
			forfeited += pool.forfeitOpen()
		}
		// Ongoing streams are cut only by the end of this process, at the latest after maxStreamWait.
		for deadline := time.Now().Add(maxStreamWait); front.streams.Load() > 0 && time.Now().Before(deadline); {
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

// endConnections stops accepting and closes each client connection between two requests. It reports whether all
// connections closed in time. Shutdown of net/http is not used because it closes connections on which a request
// has been read in part, which drops the request.
func (front *FrontEnd) endConnections(ctx context.Context) (all bool) {
	front.listeners.close()
	pause := time.NewTicker(drainPollInterval)
	defer pause.Stop()
	for front.tracker.clients.Load() > 0 {
		front.tracker.closeIdleClients(time.Now(), true)
		select {
		case <-pause.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// listeners holds the listeners that a front end serves.
type listeners struct {
	mu      sync.Mutex
	active  map[*Listener]struct{}
	closed  bool
	running sync.WaitGroup // until all calls of Serve have returned
}

// add reports whether a listener may be served. After close none may.
func (listeners *listeners) add(listener *Listener) bool {
	listeners.mu.Lock()
	defer listeners.mu.Unlock()
	if listeners.closed {
		return false
	}
	if listeners.active == nil {
		listeners.active = map[*Listener]struct{}{}
	}
	listeners.active[listener] = struct{}{}
	listeners.running.Add(1)
	return true
}

func (listeners *listeners) remove(listener *Listener) {
	listeners.mu.Lock()
	defer listeners.mu.Unlock()
	delete(listeners.active, listener)
	listeners.running.Done()
}

// close closes all listeners and returns once all accepted connections are counted.
func (listeners *listeners) close() {
	listeners.mu.Lock()
	listeners.closed = true
	for listener := range listeners.active {
		listener.notAccepting.Store(true)
		listener.Listener.Close()
	}
	listeners.mu.Unlock()
	listeners.running.Wait()
}
