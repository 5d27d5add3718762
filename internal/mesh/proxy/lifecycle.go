package proxy

import (
	"context"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"time"

	"ottershift/internal/mesh/httpserver"
	"ottershift/internal/mesh/rpc"
	"ottershift/internal/mesh/telemetry"
)

const (
	headerTimeout  = 15 * time.Second // for the head of a client's request
	maxHeaderBytes = 64 << 10

	acceptShare = 0.45                   // of Grace, in which a leaving process takes new requests
	leaveStep   = 100 * time.Millisecond // between two looks at what is open once this process leaves
	leaveQuiet  = 25                     // looks in a row that found nothing
	closedQuiet = 3                      // the same once nothing new is taken
	answerBy    = 400 * time.Millisecond // before Grace is over, when what is open is answered as it stands
	exitBy      = 200 * time.Millisecond // before Grace is over, when what has no answer yet is cut

	countsInterval = 5 * time.Second
	sweepInterval  = time.Second
	lostBeats      = 4 // heartbeats of the upstream here that did not come, after which it counts as gone
)

// servers are what others reach a proxy by.
type servers struct{ outbound, inbound, ready, control, figures *httpserver.Server }

func (s *servers) all() []*httpserver.Server {
	return []*httpserver.Server{s.outbound, s.inbound, s.ready, s.control, s.figures}
}

// listen makes all servers, or none of them.
func (p *Proxy) listen() (*servers, error) {
	s := &servers{}
	for _, server := range []struct {
		at      **httpserver.Server
		address string
		options httpserver.Options
	}{
		{&s.outbound, p.settings.Outbound, httpserver.Options{
			Name: "outbound", Handler: http.HandlerFunc(p.serveOutbound), Failed: p.handlerFailed, ReadHeaderTimeout: headerTimeout,
			KeepAlive: idleFirst, WrapListener: p.wrapListener}},
		{&s.inbound, p.settings.Inbound, httpserver.Options{
			Name: "inbound", Handler: http.HandlerFunc(p.serveInbound), Failed: p.inboundHandlerFailed, WrapListener: p.wrapListener}},
		{&s.ready, p.settings.Ready, httpserver.Options{Name: "ready", Handler: http.HandlerFunc(p.ready)}},
		{&s.control, p.settings.Control, httpserver.Options{Name: "control", Handler: http.HandlerFunc(p.control)}},
		{&s.figures, p.settings.Inner(), httpserver.Options{Name: "figures", Handler: p.figuresHandler()}},
	} {
		options := server.options
		options.MaxHeaderBytes, options.Counts, options.Log = maxHeaderBytes, p.counts, p.log
		made, err := httpserver.Listen(server.address, options)
		if err != nil {
			s.close()
			return nil, err
		}
		*server.at = made
	}
	return s, nil
}

// close ends servers that have not served.
func (s *servers) close() {
	for _, server := range s.all() {
		if server != nil {
			server.Close()
		}
	}
}

// shutDown ends all servers at once, and cuts what is left on them at a time. It returns how many requests that were.
func (s *servers) shutDown(last time.Time) (cut int) {
	ctx, end := context.WithDeadline(context.Background(), last)
	defer end()
	var over sync.WaitGroup
	left := make([]int, len(s.all()))
	for n, server := range s.all() {
		over.Go(func() { left[n] = server.Shutdown(ctx) })
	}
	over.Wait()
	for _, n := range left {
		cut += n
	}
	return cut
}

// Run serves until the context ends, and then until what is under way has ended or Grace is nearly over.
func (p *Proxy) Run(ctx context.Context) error {
	s, err := p.listen()
	if err != nil {
		return err
	}
	for _, server := range s.all() {
		go server.Serve()
	}
	go p.counts.Say(p.log, countsInterval, p.end)
	asking, stop := context.WithCancel(context.Background())
	go p.watch(asking)
	go p.fetchConfigurations(asking)
	go p.draw(asking)
	go p.report(asking)
	go p.sweepConnections(s.outbound)
	<-ctx.Done()
	deadline := time.Now().Add(p.settings.Bounds.Grace)
	p.log.Info("leaving", "open", p.open.Load())
	p.leave(s, deadline.Add(-answerBy))
	stop()
	close(p.end)
	open := p.open.Load()
	p.endOpen()
	cut := s.shutDown(deadline.Add(-exitBy))
	p.log.Info("left", append([]any{"open", open, "cut", cut}, p.counts.Changed()...)...)
	return nil
}

// leave serves on until nothing is open or the time is over. Two answers to Ready in a row have to fail before nobody sends here any
// more, and where too few balancers are left everybody goes on: so the first part of Grace serves all that comes, and the rest ends
// that and refuses what is new. Invariant: a kept connection that is quiet stays open meanwhile, since the next request on it is
// answered, and told that it is the last one there.
func (p *Proxy) leave(s *servers, until time.Time) {
	p.leaving.Store(true)
	s.outbound.CloseConnections()
	p.local.wakeWatchers() // others hear of it at once
	refusing := time.AfterFunc(time.Duration(acceptShare*float64(p.settings.Bounds.Grace)), func() {
		p.closed.Store(true)
		s.inbound.CloseConnections()
	})
	defer refusing.Stop()
	for quiet := 0; time.Now().Before(until); {
		time.Sleep(min(leaveStep, time.Until(until)))
		if quiet++; p.open.Load() > 0 {
			quiet = 0
		}
		if quiet >= leaveQuiet || p.closed.Load() && quiet >= closedQuiet {
			break
		}
	}
	p.closed.Store(true)
}

// ready answers the platform.
func (p *Proxy) ready(w http.ResponseWriter, _ *http.Request) {
	if p.view.Load() == nil || p.leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// figuresHandler shows the counters as Prometheus reads them.
func (p *Proxy) figuresHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(rpc.PathFigures, func(w http.ResponseWriter, _ *http.Request) {
		edition := int64(0)
		if v := p.view.Load(); v != nil {
			edition = v.table.Edition
		}
		telemetry.WriteFigures(w, "ottershift_proxy", []telemetry.Gauge{
			{Name: "edition", Help: "Version of the configuration in force, 0 for none.", Value: edition},
			{Name: "open", Help: "Requests open here.", Value: p.open.Load()},
			{Name: "goroutines", Help: "Goroutines.", Value: runtime.NumGoroutine()},
		}, p.counts)
	})
	return mux
}

// sweepConnections closes connections that have been idle for too long, and does what else is due each second.
func (p *Proxy) sweepConnections(outbound *httpserver.Server) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			p.sweepPools(now)
			p.upstreamConnections.sweep(now)
			p.partnerConnections.sweep(now)
			outbound.CloseIdle(now)
			p.local.checkHeartbeat(now, lostBeats*p.settings.Beat)
		case <-p.end:
			return
		}
	}
}

func (p *Proxy) sweepPools(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, service := range p.pools {
		service.peers.sweep(now)
	}
	if !p.warms.IsZero() && now.After(p.warms) {
		p.relist()
	}
}

// promiseKeepAlive tells a client how long its connection may be idle; it is held to, whatever a later configuration says.
func (p *Proxy) promiseKeepAlive(w http.ResponseWriter, r *http.Request, idle time.Duration) {
	if idle <= 0 {
		idle = idleFirst
	}
	if c := httpserver.ConnectionOf(r); c != nil {
		c.KeepAlive(idle)
	}
	if idle >= time.Second {
		w.Header()["Keep-Alive"] = []string{"timeout=" + strconv.Itoa(int(idle/time.Second))}
	}
}
