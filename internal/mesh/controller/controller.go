// Package controller implements the control plane of the mesh. Each controller keeps a replica of the agreed state
// (packages consensus and storage), tracks the live proxies and controllers by gossip (package membership), serves
// operators, and delivers changes to proxies by long polling. The controllers that vote are called the core; other
// controllers are spares that can replace a voting member.
package controller

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ottershift/internal/mesh/apierror"
	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/httpserver"
	"ottershift/internal/mesh/membership"
	"ottershift/internal/mesh/rpc"
	"ottershift/internal/mesh/settings"
	"ottershift/internal/mesh/storage"
	"ottershift/internal/mesh/telemetry"
)

const (
	gossipInterval        = 250 * time.Millisecond
	peerTimeout           = time.Duration(consensus.CandidateTimeout)
	maxDiskOpenAttempts   = 100                    // failed attempts to open the store before the controller gives up
	diskOpenRetryInterval = 200 * time.Millisecond // between such attempts
	controlHeaderTimeout  = 5 * time.Second        // for the request header of a control call

	settleDelay = 150 * time.Millisecond // how long a value may stay accepted but undecided
)

var errDiskHangs = errors.New("the disk did not finish its last save before shutdown")

// Controller is one control plane process.
type Controller struct {
	settings    *settings.Settings
	log         *slog.Logger
	counts      *telemetry.Counters
	caller      *rpc.Client
	replicator  *replicator
	store       *storage.Store
	disk        *durableDisk
	incarnation string
	started     time.Time

	mu              sync.Mutex
	seeds           []string
	registry        *membership.Registry
	registryChanged chan struct{}       // closed on each change of the registry
	peers           map[string]PeerInfo // by address
	lastHeard       map[string]int64    // time of the last contact, by address
	sentSeq         map[string]uint64   // registry position last sent, by address
	pending         int64               // since when a value is accepted but undecided, 0 for none

	pendingIndex uint64 // slot of the decision before the pending value
	members      string // the members of the core as last logged

	configurations configurationCache
	wake           chan struct{}
	tokenGranter   tokenGranter
	credit         creditSettler
	departures     departureRecorder
	partnerState   partnerTracker

	coordinating       atomic.Bool // the tasks of the coordinator are running
	settlingPending    atomic.Bool // settlePending is running
	membership         coreMembership
	changingMembership atomic.Bool // a membership change is running
	leaving            atomic.Bool // shutdown has begun

	// Replaces agreeOnUpdate in tests, else nil.
	submitUpdate func(context.Context, *configurationUpdate) (*consensus.State, error)
}

// Option configures a controller.
type Option func(*options)

type options struct {
	wrapTransport rpc.WrapTransport
	wrapDisk      func(Disk) Disk
	disabled      disabledGuards
}

// WithTransport wraps the transport to other controllers.
func WithTransport(wrap rpc.WrapTransport) Option {
	return func(o *options) { o.wrapTransport = wrap }
}

// WithDisk wraps the disk of a controller.
func WithDisk(wrap func(Disk) Disk) Option {
	return func(o *options) { o.wrapDisk = wrap }
}

// WithoutHandOver makes a controller stop as soon as its context ends, as if it had been killed.
func WithoutHandOver() Option {
	return func(o *options) { o.disabled.handOverWait = true }
}

// Open opens the store and creates a controller. It does not serve before Run.
func Open(cfg *settings.Settings, log *slog.Logger, opts ...Option) (*Controller, error) {
	var chosen options
	for _, option := range opts {
		option(&chosen)
	}
	c := &Controller{
		settings: cfg, log: log, counts: telemetry.NewCounters(), caller: rpc.NewClient(chosen.wrapTransport),
		incarnation: storage.NewID(), started: time.Now(),
		registry: membership.NewRegistry(), registryChanged: make(chan struct{}), peers: map[string]PeerInfo{},
		lastHeard: map[string]int64{},
		partnerState: partnerTracker{polling: map[string]bool{}, confirmedAt: map[string]int64{},
			pollErrors: map[string]string{}, notified: map[string]int64{}, importsInUse: map[string]uint64{}},
		sentSeq: map[string]uint64{}, wake: make(chan struct{}, 1),
		membership: coreMembership{skippedSpares: map[string]int64{}, unconfirmedSince: map[string]int64{},
			disabled: chosen.disabled},
	}
	self := cfg.InternalAddress()
	c.seeds = meshAddresses(cfg, cfg.Seeds)
	dir := cfg.DataDir
	if dir == "" {
		var err error
		// Without a data directory the replica lives as long as the process.
		if dir, err = os.MkdirTemp("", "controller"); err != nil {
			return nil, err
		}
	}
	newReplica := func() (string, *consensus.State) {
		initial := slices.Clone(c.seeds)
		slices.Sort(initial)
		if cfg.FirstStart && slices.Contains(initial, self) {
			return consensus.InitialMemberID(self),
				consensus.InitialState(initial, func(string) string { return "" }, toleratedFailures(cfg.Tolerate))
		}
		return storage.NewID(), &consensus.State{} // not a member: it knows of no core and cannot decide anything
	}
	opened, replica, created, err := storage.Open(dir, newReplica)
	for n := 0; err != nil && n < maxDiskOpenAttempts; n++ { // a faulty disk may fail for seconds
		if n == 0 {
			log.Warn("disk", "err", err)
		}
		time.Sleep(diskOpenRetryInterval)
		opened, replica, created, err = storage.Open(dir, newReplica)
	}
	if err != nil {
		return nil, err
	}
	log.Info("disk", "id", replica.ID, "fresh", created, "index", replica.Decided.Index,
		"edition", replica.Decided.Edition, "first", cfg.FirstStart)
	c.store = opened
	var disk Disk = opened
	if chosen.wrapDisk != nil {
		disk = chosen.wrapDisk(opened)
	}
	c.disk = newDurableDisk(disk, replica)
	c.replicator = newReplicator(replica, c.disk, c.caller, c.counts, self, c.incarnation)
	return c, nil
}

// meshAddresses replaces the ports of seed addresses by the mesh port.
func meshAddresses(cfg *settings.Settings, seeds []string) (addresses []string) {
	for _, address := range seeds {
		addresses = append(addresses, settings.InternalAddressOf(settings.Host(address), cfg.FirstInternalPort))
	}
	return addresses
}

func (c *Controller) now() int64 { return int64(time.Since(c.started)) }

// UpdateSeeds replaces the seeds by those of the current settings.
func (c *Controller) UpdateSeeds(cfg *settings.Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = meshAddresses(c.settings, cfg.Seeds)
}

// toleratedFailures returns how many members may lose their disks. Each zone and region contains one member of the
// core.
func toleratedFailures(tolerate settings.Tolerate) int {
	return max(tolerate.Machines, tolerate.Zones, tolerate.Regions)
}

// Run serves until the context ends, and then until this controller has handed over its state.
func (c *Controller) Run(ctx context.Context) error {
	servers, err := c.listen()
	if err != nil {
		return err
	}
	for _, server := range servers {
		go server.Serve()
	}
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	go c.counts.LogPeriodically(c.log, 5*time.Second, serving.Done())
	go c.runMaintenanceLoop(serving)
	<-ctx.Done()
	c.leave(serving)
	stopServing()
	shutdownContext, cancel := context.WithTimeout(context.Background(), serverShutdownTimeout)
	defer cancel()
	var stopped sync.WaitGroup
	for _, server := range servers {
		stopped.Go(func() { server.Shutdown(shutdownContext) })
	}
	stopped.Wait()
	if !lockWithin(&c.replicator.diskMu, diskCloseTimeout) { // nothing may be written after the store is closed
		go func() { // the disk may recover before the process ends
			c.replicator.diskMu.Lock()
			c.store.Close()
		}()
		return errDiskHangs
	}
	return c.store.Close()
}

// listen creates the servers for operators and for the processes of the mesh, or neither of them.
func (c *Controller) listen() (servers []*httpserver.Server, err error) {
	control, err := httpserver.Listen(c.settings.ControlAddress, httpserver.Options{
		Name: "control", Handler: http.HandlerFunc(c.serveControl), HandlePanic: writeInternalError,
		ReadHeaderTimeout: controlHeaderTimeout,
		Counters:          c.counts, Log: c.log,
	})
	if err != nil {
		return nil, err
	}
	mesh, err := httpserver.Listen(c.settings.InternalAddress(), httpserver.Options{
		Name: "mesh", Handler: c.meshHandler(), HandlePanic: writeInternalError, Counters: c.counts, Log: c.log,
	})
	if err != nil {
		control.Close()
		return nil, err
	}
	return []*httpserver.Server{control, mesh}, nil
}

// meshHandler returns the handler for calls from the processes of the mesh.
func (c *Controller) meshHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(rpc.PathConsensus, rpc.Handle(c.replicator.handle))
	mux.HandleFunc(rpc.PathGossip, rpc.Handle(c.handleGossip))
	mux.HandleFunc(rpc.PathWatch, rpc.Handle(c.handleWatch))
	mux.HandleFunc(rpc.PathConfiguration, rpc.Handle(c.handleConfiguration))
	mux.HandleFunc(rpc.PathDepartures, rpc.Handle(c.handleDeparture))
	mux.HandleFunc(rpc.PathTokens, rpc.Handle(c.handleTokenRequest))
	mux.HandleFunc(rpc.PathPartnerOrder, rpc.Handle(c.handlePartnerOrder))
	mux.HandleFunc(rpc.PathCreditReport, rpc.Handle(c.handleCreditReport))
	mux.HandleFunc(rpc.PathCreditOrder, rpc.Handle(c.handleCreditOrder))
	mux.HandleFunc(rpc.PathStatus, rpc.Handle(c.status))
	mux.HandleFunc(rpc.PathMetrics, c.writeMetrics)
	return mux
}

// writeInternalError answers a call that failed because of a fault in this process. Its outcome is unclear, because
// the request may have been carried out.
func writeInternalError(w http.ResponseWriter, _ *http.Request) {
	apierror.Write(w, apierror.OutcomeUnknown, 0, "")
}
