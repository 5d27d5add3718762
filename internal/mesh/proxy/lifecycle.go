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

	acceptFraction    = 0.45                   // of Grace, during which a draining process accepts new requests
	drainPollInterval = 100 * time.Millisecond // between two checks for open requests during a drain
	drainIdlePolls    = 25                     // consecutive idle checks that end the drain
	refusingIdlePolls = 3                      // the same once new requests are refused
	forcedAnswerLead  = 400 * time.Millisecond // before the end of Grace, when open requests are answered at once
	forcedCloseLead   = 200 * time.Millisecond // before the end of Grace, when the remaining connections are closed

	countersInterval    = 5 * time.Second
	maintenanceInterval = time.Second
	maxMissedHeartbeats = 4 // heartbeats of the local upstream that may be missing before it counts as gone
)

// servers are the listeners of a proxy.
type servers struct{ outbound, inbound, ready, control, metrics *httpserver.Server }

// all returns the servers, nil for one that is not listening.
func (s *servers) all() []*httpserver.Server {
	return []*httpserver.Server{s.outbound, s.inbound, s.ready, s.control, s.metrics}
}

// listen opens all servers, or none of them.
func (p *Proxy) listen() (*servers, error) {
	opened := &servers{}
	for _, server := range []struct {
		at      **httpserver.Server
		address string
		options httpserver.Options
	}{
		{&opened.outbound, p.settings.OutboundAddress, httpserver.Options{
			Name: "outbound", Handler: http.HandlerFunc(p.serveOutbound), HandlePanic: p.handleOutboundPanic, ReadHeaderTimeout: headerTimeout,
			KeepAlive: defaultClientIdle, WrapListener: p.wrapListener}},
		{&opened.inbound, p.settings.InboundAddress, httpserver.Options{
			Name: "inbound", Handler: http.HandlerFunc(p.serveInbound), HandlePanic: p.handleInboundPanic, WrapListener: p.wrapListener}},
		{&opened.ready, p.settings.ReadinessAddress, httpserver.Options{Name: "ready", Handler: http.HandlerFunc(p.ready)}},
		{&opened.control, p.settings.ControlAddress, httpserver.Options{Name: "control", Handler: http.HandlerFunc(p.control)}},
		{&opened.metrics, p.settings.InternalAddress(), httpserver.Options{Name: "figures", Handler: p.metricsHandler()}},
	} {
		options := server.options
		options.MaxHeaderBytes, options.Counters, options.Log = maxHeaderBytes, p.counters, p.log
		listening, err := httpserver.Listen(server.address, options)
		if err != nil {
			opened.close()
			return nil, err
		}
		*server.at = listening
	}
	return opened, nil
}

// close closes servers that have not started to serve.
func (s *servers) close() {
	for _, server := range s.all() {
		if server != nil {
			server.Close()
		}
	}
}

// shutDown shuts all servers down concurrently and aborts what is still open at the deadline. It returns the number of
// aborted requests.
func (s *servers) shutDown(deadline time.Time) (aborted int) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	var group sync.WaitGroup
	remaining := make([]int, len(s.all()))
	for n, server := range s.all() {
		group.Go(func() { remaining[n] = server.Shutdown(ctx) })
	}
	group.Wait()
	for _, n := range remaining {
		aborted += n
	}
	return aborted
}

// Run serves until the context ends, and then until open requests have ended or Grace is nearly over.
func (p *Proxy) Run(ctx context.Context) error {
	p.local.holdHeartbeats()
	running, err := p.listen()
	if err != nil {
		return err
	}
	for _, server := range running.all() {
		go server.Serve()
	}
	go p.counters.LogPeriodically(p.log, countersInterval, p.done)
	watchContext, cancelWatch := context.WithCancel(context.Background())
	go p.learnDepartures(watchContext)
	go p.watch(watchContext)
	go p.fetchConfigurations(watchContext)
	go p.runTokenDraws(watchContext)
	go p.runCreditReports(watchContext)
	go p.runMaintenance(running.outbound)
	<-ctx.Done()
	deadline := time.Now().Add(p.settings.Bounds.Grace)
	p.log.Info("leaving", "open", p.openRequests.Load())
	p.drain(running, deadline.Add(-forcedAnswerLead))
	cancelWatch()
	close(p.done)
	openRequests := p.openRequests.Load()
	p.cancelOpen()
	aborted := running.shutDown(deadline.Add(-forcedCloseLead))
	p.log.Info("left", append([]any{"open", openRequests, "cut", aborted}, p.counters.TakeDeltas()...)...)
	return nil
}

// drain serves until nothing is open or the time is over. The platform stops sending requests only after two failed
// readiness checks in a row, and keeps sending them if too few proxies are ready. Therefore the first part of Grace
// accepts all requests; after that, new ones are refused and open ones are completed. An idle kept-alive connection
// stays open meanwhile: its next request is answered with the notice that the connection closes.
func (p *Proxy) drain(running *servers, until time.Time) {
	p.draining.Store(true)
	running.outbound.CloseConnections()
	p.local.wakeWatchers() // reports the drain to the controllers at once
	refuseTimer := time.AfterFunc(time.Duration(acceptFraction*float64(p.settings.Bounds.Grace)), func() {
		p.refusing.Store(true)
		running.inbound.CloseConnections()
	})
	defer refuseTimer.Stop()
	for idlePolls := 0; time.Now().Before(until); {
		time.Sleep(min(drainPollInterval, time.Until(until)))
		if idlePolls++; p.openRequests.Load() > 0 {
			idlePolls = 0
		}
		if idlePolls >= drainIdlePolls || p.refusing.Load() && idlePolls >= refusingIdlePolls {
			break
		}
	}
	p.refusing.Store(true)
}

// ready handles the readiness checks of the platform.
func (p *Proxy) ready(w http.ResponseWriter, _ *http.Request) {
	if p.view.Load() == nil || p.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// metricsHandler serves the counters in the Prometheus text format.
func (p *Proxy) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(rpc.PathMetrics, func(w http.ResponseWriter, _ *http.Request) {
		edition := int64(0)
		if v := p.view.Load(); v != nil {
			edition = v.configuration.Edition
		}
		telemetry.WriteMetrics(w, "ottershift_proxy", []telemetry.Gauge{
			{Name: "edition", Help: "Version of the configuration in force, 0 for none.", Value: edition},
			{Name: "open", Help: "Requests open here.", Value: p.openRequests.Load()},
			{Name: "goroutines", Help: "Goroutines.", Value: runtime.NumGoroutine()},
		}, p.counters)
	})
	return mux
}

// runMaintenance closes idle connections and checks the upstream's heartbeats at a fixed interval.
func (p *Proxy) runMaintenance(outbound *httpserver.Server) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			p.maintainPools(now)
			p.upstreamConnections.closeExpired(now)
			p.partnerConnections.closeExpired(now)
			outbound.CloseIdle(now)
			p.local.checkHeartbeat(now, maxMissedHeartbeats*p.settings.HeartbeatInterval)
		case <-p.done:
			return
		}
	}
}

// maintainPools closes idle connections to other proxies and updates the weights of upstreams that have become warm.
func (p *Proxy) maintainPools(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, service := range p.pools {
		service.peers.closeExpired(now)
	}
	if !p.nextWarmUp.IsZero() && now.After(p.nextWarmUp) {
		p.updateUpstreamLists()
	}
}

// advertiseKeepAlive tells a client how long its connection may stay idle. The connection keeps that limit if a later
// configuration changes it.
func (p *Proxy) advertiseKeepAlive(w http.ResponseWriter, r *http.Request, idle time.Duration) {
	if idle <= 0 {
		idle = defaultClientIdle
	}
	if c := httpserver.ConnectionOf(r); c != nil {
		c.SetKeepAlive(idle)
	}
	if idle >= time.Second {
		w.Header()["Keep-Alive"] = []string{"timeout=" + strconv.Itoa(int(idle/time.Second))}
	}
}
