// Command ottershift is a load balancer between services: it takes transactions on one address and sends each to
// an upstream that discovery lists. Its settings tell it which tier it stands before.
package main

import (
	"log"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"ottershift/internal/desk"
	"ottershift/internal/discovery"
	"ottershift/internal/httpwire"
)

func main() {
	// Danger: SIGHUP ends a process that doesn't catch it, however early it comes.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	log.SetFlags(log.Ldate | log.Lmicroseconds | log.LUTC)
	if err := run(reload); err != nil {
		log.Fatalf("event=stop fault=%q", err)
	}
}

func run(reload <-chan os.Signal) error {
	path := os.Getenv("PROXY_CONFIG")
	o, err := readOrders(path)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1) // one core, which others share
	if o.memory > 0 {
		debug.SetMemoryLimit(o.memory * 6 / 10) // Danger: over the limit the process is killed
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)

	d, err := desk.New(o.book)
	if err != nil {
		return err
	}
	front := httpwire.New(d, o.book, o.sockets)
	if len(o.known.Entries) > 0 {
		front.Listed(d.List(o.known.Entries, true))
	}
	l, err := net.Listen("tcp", o.listen)
	if err != nil {
		return err
	}
	watch := discovery.New(d, o.discovery, o.book.Terms.AskForList, o.known.Index, o.book.DialTimeout, front.Listed)
	go watch.Run()
	go front.Probe()
	go front.Tally()
	ended := make(chan error, 1)
	go func() { ended <- front.Serve(l) }()
	log.Printf("event=start name=%s listen=%s discovery=%s tier=%d known=%d index=%d",
		o.name, o.listen, o.discovery, o.book.Terms.Layer, len(o.known.Entries), o.known.Index)
	for {
		select {
		case err := <-ended:
			return err
		case <-reload:
			reread(path, watch)
		case <-stop:
			front.Drain()
			return nil
		}
	}
}

// reread takes the configuration's file again: the watch goes to the discovery that it names, all else stays as it
// is. Danger: a file that makes no sense must not cost what is in service.
func reread(path string, watch *discovery.Watch) {
	o, err := readOrders(path)
	if err != nil {
		log.Printf("event=reload step=kept fault=%q", err)
		return
	}
	log.Printf("event=reload step=taken discovery=%s moved=%t", o.discovery, watch.Move(o.discovery))
}
