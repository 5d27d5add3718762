package httpwire

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

const (
	mostDrain   = 3 * time.Second        // a longer hard stop isn't waited for
	lastAnswers = 500 * time.Millisecond // of the 0.7 s more that there are before SIGKILL
)

// Listen opens a listener; Serve takes its clients, and Close ends it.
func (f *Front) Listen(name, address string) (*Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	n := &Listener{Listener: l, sockets: f.sockets}
	n.Rename(name)
	return n, nil
}

// Serve answers a listener's clients until it is closed or Drain has ended.
func (f *Front) Serve(l *Listener) error {
	if err := f.server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !l.gone.Load() {
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
func (f *Front) Drain() {
	start := time.Now()
	longest := time.Duration(0)
	pools := f.sockets.all()
	for _, p := range pools {
		longest = max(longest, p.longest())
	}
	end := start.Add(min(longest, mostDrain) + lastAnswers)
	f.closing.Store(true)
	f.log.Info("drain", "step", "begin", "clients", f.sockets.in.Load())
	time.Sleep(time.Until(end) / 2)
	f.last.Store(true)

	ctx, stop := context.WithDeadline(context.Background(), end)
	defer stop()
	if f.server.Shutdown(ctx) != nil {
		forfeited := 0
		for _, p := range pools {
			forfeited += p.forfeit()
		}
		ctx, stop := context.WithTimeout(context.Background(), 150*time.Millisecond)
		defer stop()
		f.server.Shutdown(ctx) // the last answers are being written
		f.log.Warn("drain", "step", "forced", "forfeited", forfeited)
	}
	for _, p := range pools {
		p.logTally()
	}
	f.log.Info("drain", "step", "end", "took", time.Since(start).Round(time.Millisecond))
}
