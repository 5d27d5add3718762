// Package controller is the control plane: a process of the core. It keeps a copy of what is agreed (consensus, storage), knows by
// gossip who is there (membership), answers the operator, and gives balancers their news.
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
	gossipInterval       = 250 * time.Millisecond
	peerTimeout          = time.Duration(consensus.AwayAfter)
	maxDiskAttempts      = 100                    // at a disk that refuses, before the process gives up
	diskRetryPause       = 200 * time.Millisecond // between two of them
	controlHeaderTimeout = 5 * time.Second        // for the head of an operator's call

	settleAfter = 150 * time.Millisecond // for which something may stand accepted and undecided
)

var errDiskHangs = errors.New("the disk has not finished its last save")

// Controller is one process of the core.
type Controller struct {
	settings   *settings.Settings
	log        *slog.Logger
	counts     *telemetry.Counters
	caller     *rpc.Client
	replicator *replicator
	store      *storage.Store
	disk       *durableDisk
	life       string
	epoch      time.Time

	mu        sync.Mutex
	seeds     []string
	registry  *membership.Registry
	changed   chan struct{}       // closed at each change of the registry
	peers     map[string]PeerInfo // by address
	lastHeard map[string]int64    // when, by address
	sent      map[string]uint64
	pending   int64 // since when something stands undecided, 0 for nothing

	pendingAfter uint64 // the slot of the state after which it stands
	core         string

	configurations configurationCache
	wake           chan struct{}
	bank           bank
	ledger         creditLedger
	gateway        federationGateway

	acting       atomic.Bool // on what the core's first process has to do
	settling     atomic.Bool // what stands undecided
	membership   coreMembership
	changingCore atomic.Bool // a change of the core is carried out here
	leaving      atomic.Bool // this controller has been told to stop

	submitOrder func(context.Context, *configurationOrder) (*consensus.State, error) // nil for agreeOnOrder; tests put variants here
}

// Option changes how a controller is opened.
type Option func(*options)

type options struct {
	wrapTransport rpc.WrapTransport
	wrapDisk      func(Disk) Disk
	variant       membershipVariant
}

// WithTransport puts something between a controller and its connections to others.
func WithTransport(wrap rpc.WrapTransport) Option {
	return func(o *options) { o.wrapTransport = wrap }
}

// WithDisk puts something between a controller and its disk.
func WithDisk(wrap func(Disk) Disk) Option {
	return func(o *options) { o.wrapDisk = wrap }
}

// WithoutHandOver has a controller end as soon as its context does, as if it had been killed.
func WithoutHandOver() Option {
	return func(o *options) { o.variant.leaveFirst = true }
}

// Open opens the disk and makes the process; it serves nobody yet.
func Open(b *settings.Settings, log *slog.Logger, with ...Option) (*Controller, error) {
	var chosen options
	for _, option := range with {
		option(&chosen)
	}
	c := &Controller{
		settings: b, log: log, counts: telemetry.NewCounters(), caller: rpc.NewClient(chosen.wrapTransport), life: storage.NewID(), epoch: time.Now(),
		registry: membership.NewRegistry(), changed: make(chan struct{}), peers: map[string]PeerInfo{}, lastHeard: map[string]int64{},
		gateway: federationGateway{asking: map[string]bool{}, heard: map[string]int64{}, faults: map[string]string{}, told: map[string]int64{}, doors: map[string]uint64{}},
		sent:    map[string]uint64{}, wake: make(chan struct{}, 1),
		membership: coreMembership{setAside: map[string]int64{}, unheld: map[string]int64{}, variant: chosen.variant},
	}
	self := b.InternalAddress()
	c.seeds = inner(b, b.Seeds)
	dir := b.DataDir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "controller"); err != nil { // no disk: a copy that lives as long as the process
			return nil, err
		}
	}
	first := func() (string, *consensus.State) {
		founders := slices.Clone(c.seeds)
		slices.Sort(founders)
		if b.FirstStart && slices.Contains(founders, self) {
			return consensus.FounderID(self), consensus.Founders(founders, func(string) string { return "" }, tolerated(b.Tolerate))
		}
		return storage.NewID(), &consensus.State{} // a stranger: no core that it knows of, so nothing that it could decide
	}
	w, copied, fresh, err := storage.Open(dir, first)
	for n := 0; err != nil && n < maxDiskAttempts; n++ { // a disk in trouble refuses for seconds
		if n == 0 {
			log.Warn("disk", "err", err)
		}
		time.Sleep(diskRetryPause)
		w, copied, fresh, err = storage.Open(dir, first)
	}
	if err != nil {
		return nil, err
	}
	log.Info("disk", "id", copied.ID, "fresh", fresh, "index", copied.Decided.Index, "edition", copied.Decided.Edition, "first", b.FirstStart)
	c.store = w
	var disk Disk = w
	if chosen.wrapDisk != nil {
		disk = chosen.wrapDisk(w)
	}
	c.disk = newDurableDisk(disk, copied)
	c.replicator = newReplicator(copied, c.disk, c.caller, c.counts, self, c.life)
	return c, nil
}

// inner turns addresses of seeds into those of the mesh's own port.
func inner(b *settings.Settings, seeds []string) (all []string) {
	for _, at := range seeds {
		all = append(all, settings.InternalAddressOf(settings.Host(at), b.FirstInternalPort))
	}
	return all
}

func (c *Controller) now() int64 { return int64(time.Since(c.epoch)) }

// Reseed takes other seeds, as the settings name them now.
func (c *Controller) Reseed(b *settings.Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = inner(c.settings, b.Seeds)
}

// tolerated is how many members' disks the core has to bear the loss of: of zones and regions it has one member in each.
func tolerated(t settings.Tolerate) int { return max(t.Machines, t.Zones, t.Regions) }

// Run serves until the context ends, and then until this controller has handed over what it holds.
func (c *Controller) Run(ctx context.Context) error {
	servers, err := c.listen()
	if err != nil {
		return err
	}
	for _, s := range servers {
		go s.Serve()
	}
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	go c.counts.LogPeriodically(c.log, 5*time.Second, serving.Done())
	go c.runLoop(serving)
	<-ctx.Done()
	c.leave(serving)
	stopServing()
	stop, end := context.WithTimeout(context.Background(), stopServersFor)
	defer end()
	var shut sync.WaitGroup
	for _, s := range servers {
		shut.Go(func() { s.Shutdown(stop) })
	}
	shut.Wait()
	if !lockWithin(&c.replicator.written, stopDiskFor) { // Invariant: nothing is written after the store is closed
		go func() { // the disk may go on before the process ends
			c.replicator.written.Lock()
			c.store.Close()
		}()
		return errDiskHangs
	}
	return c.store.Close()
}

// listen makes the servers for the operator and for the mesh's own processes, or none.
func (c *Controller) listen() (servers []*httpserver.Server, err error) {
	control, err := httpserver.Listen(c.settings.ControlAddress, httpserver.Options{
		Name: "control", Handler: http.HandlerFunc(c.serveControl), HandlePanic: answerFailed, ReadHeaderTimeout: controlHeaderTimeout,
		Counters: c.counts, Log: c.log,
	})
	if err != nil {
		return nil, err
	}
	mesh, err := httpserver.Listen(c.settings.InternalAddress(), httpserver.Options{
		Name: "mesh", Handler: c.meshCalls(), HandlePanic: answerFailed, Counters: c.counts, Log: c.log,
	})
	if err != nil {
		control.Close()
		return nil, err
	}
	return []*httpserver.Server{control, mesh}, nil
}

// meshCalls is the calls of the mesh's own processes.
func (c *Controller) meshCalls() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(rpc.PathConsensus, rpc.Handle(c.replicator.handle))
	mux.HandleFunc(rpc.PathGossip, rpc.Handle(c.handleGossip))
	mux.HandleFunc(rpc.PathWatch, rpc.Handle(c.handleWatch))
	mux.HandleFunc(rpc.PathConfiguration, rpc.Handle(c.handleConfiguration))
	mux.HandleFunc(rpc.PathTokens, rpc.Handle(c.handleTokenRequest))
	mux.HandleFunc(rpc.PathPartnerOrder, rpc.Handle(c.handlePartnerOrder))
	mux.HandleFunc(rpc.PathCreditReport, rpc.Handle(c.handleCreditReport))
	mux.HandleFunc(rpc.PathCreditOrder, rpc.Handle(c.handleCreditOrder))
	mux.HandleFunc(rpc.PathStatus, rpc.Handle(c.status))
	mux.HandleFunc(rpc.PathMetrics, c.figures)
	return mux
}

// answerFailed answers a call that has met a fault of this process. What it asked for may have been done.
func answerFailed(w http.ResponseWriter, _ *http.Request) {
	apierror.Write(w, apierror.OutcomeUnknown, 0, "")
}
