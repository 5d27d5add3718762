package httpwire

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"time"
)

const (
	mostDrain   = 3 * time.Second        // a longer hard stop isn't waited for
	lastAnswers = 500 * time.Millisecond // of the 0.7 s more that there are before SIGKILL
)

// Serve answers clients until Drain has ended.
func (f *Front) Serve(l net.Listener) error {
	if err := f.server.Serve(listener{l, f.sockets, f.transport}); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Drain ends the front. For half of the time that there is it serves as ever, then it closes each connection with its
// answer, and forfeits what is out shortly before the process would be killed. Danger: clients go on using the
// connections that they have, and where the other balancers are restarting as well they have no others.
func (f *Front) Drain() {
	start := time.Now()
	longest := time.Duration(0)
	for _, t := range f.book.Terms.Tariffs {
		longest = max(longest, time.Duration(t.HardStop))
	}
	end := start.Add(min(longest, mostDrain) + lastAnswers)
	f.closing.Store(true)
	log.Printf("event=drain step=begin clients=%d", f.sockets.in.Load())
	time.Sleep(time.Until(end) / 2)
	f.last.Store(true)

	ctx, stop := context.WithDeadline(context.Background(), end)
	defer stop()
	if f.server.Shutdown(ctx) != nil {
		forfeited := f.desk.Close()
		ctx, stop := context.WithTimeout(context.Background(), 150*time.Millisecond)
		defer stop()
		f.server.Shutdown(ctx) // the last answers are being written
		log.Printf("event=drain step=forced forfeited=%d", forfeited)
	}
	f.logTally()
	log.Printf("event=drain step=end took=%s", time.Since(start).Round(time.Millisecond))
}
