package entry

import (
	"context"
	mathrand "math/rand"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"cowsliptiller/coord/workspace"
	"cowsliptiller/server/charging"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/request"
	"cowsliptiller/server/events"
	"cowsliptiller/server/inbound"
	"cowsliptiller/server/inflight"
	"cowsliptiller/server/intake"
	"cowsliptiller/server/metrics"
	"cowsliptiller/server/process"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/settings"
	"cowsliptiller/server/view"
)

// Config is what an entry host needs.
type Config struct {
	Settings settings.Entry
	Caller   *rpc.Caller // who we are, for control
	Source   view.Source
	Control  rpc.Control
	Client   *http.Client // to agents, see process.AnswerClient
	Bodies   *intake.Reader
	Limits   process.Limits // zero: none
	Log      hclog.Logger
	Registry prometheus.Registerer
	Now      func() time.Time // monotonic
	Rand     *rand.Rand       // nil: seeded by the system
}

// Entry is the entry role.
type Entry struct {
	cfg     Config
	log     hclog.Logger
	metrics *metrics.Entry
	work    *inflight.Group
	rate    *charging.Rate
	gate    *gate
	routes  *routes
	demand  *demand
	events  *events.Log
	callers *inbound.Set
	// Set by Start.
	server   *http.Server
	listener *inbound.Listener
	stop     context.CancelFunc
	stopped  sync.WaitGroup
	// settling are the outcomes that are being recorded after their answers.
	settling sync.WaitGroup
	// life ends when running calls are ended, with the reason as its cause.
	life     context.Context
	endCalls context.CancelCauseFunc

	mu          sync.Mutex
	retries     *request.RetryBudget
	random      *mathrand.Rand // for the pauses before retries
	shutdownEnd time.Time      // while draining: when calls are ended; zero: not bounded
}

// New returns an entry host that does nothing before Start.
func New(cfg Config) *Entry {
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	e := &Entry{
		cfg:     cfg,
		log:     cfg.Log,
		events:  events.New(cfg.Log, cfg.Now),
		work:    inflight.NewGroup(cfg.Settings.MaxRequests),
		rate:    charging.New(charging.Options{Caller: cfg.Caller, Control: cfg.Control, Now: cfg.Now, Log: cfg.Log}),
		gate:    newGate(cfg),
		routes:  newRoutes(cfg),
		retries: request.NewRetryBudget(),
		random:  mathrand.New(mathrand.NewSource(cfg.Rand.Int64())),
	}
	e.life, e.endCalls = context.WithCancelCause(context.Background())
	e.callers = e.newCallers()
	e.demand = newDemand(cfg, e.gate)
	e.metrics = metrics.NewEntry(cfg.Registry,
		func() float64 { return float64(e.work.Running()) },
		func() float64 { return float64(e.gate.heldBytes()) })
	return e
}

// Name implements process.Role.
func (e *Entry) Name() string { return "entry" }

// Mount implements process.Role. Entry hosts serve nothing to our own processes.
func (e *Entry) Mount(*http.ServeMux) {}

// Start implements process.Role: it opens the callers' listener.
func (e *Entry) Start(ctx context.Context) error {
	listener, err := listen(e.cfg.Settings.Address, e.cfg.Limits.Sockets())
	if err != nil {
		return err
	}
	e.listener = e.callers.Listener(listener)
	ctx, e.stop = context.WithCancel(context.WithoutCancel(ctx))
	e.server = newServer(e.handler(), e.callers)
	e.stopped.Go(func() { _ = e.server.Serve(e.listener) })
	e.stopped.Go(func() { e.sweepIdle(ctx) })
	e.stopped.Go(func() { e.demand.run(ctx) })
	e.stopped.Go(func() { e.rate.Run(ctx) })
	e.stopped.Go(func() { e.gate.run(ctx) })
	e.stopped.Go(func() { e.follow(ctx) })
	return nil
}

// follow brings each new view to what decides by it.
func (e *Entry) follow(ctx context.Context) {
	for ctx.Err() == nil {
		changed := e.cfg.Source.Changed()
		if snapshot := e.cfg.Source.Current(); snapshot != nil && snapshot.Configuration != nil {
			e.catchUp(snapshot)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// catchUp brings a view to what decides by it, unless it is there already. A
// request does so too before it goes on, so that it never meets an older view
// than the one that let it in.
func (e *Entry) catchUp(snapshot *view.Snapshot) {
	e.rate.Configure(snapshot.Configuration.Revision, func() map[string]workspace.Limit {
		return workspace.Limits(snapshot.Configuration)
	})
	e.routes.follow(snapshot)
	e.gate.follow(snapshot)
}

// Address returns where callers are served, after Start.
func (e *Entry) Address() net.Addr { return e.listener.Addr() }

// Ready implements process.Role.
func (e *Entry) Ready() error {
	if e.work.Draining() {
		return fault.New(fault.Leaving, "the entry host is leaving")
	}
	_, err := e.freshView()
	return err
}

// waitFor waits for a group, or returns the context's error.
func waitFor(ctx context.Context, group *sync.WaitGroup) error {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close implements process.Role.
func (e *Entry) Close() error {
	if e.stop == nil {
		return nil
	}
	e.stop()
	e.callers.Stopping()
	err := e.server.Close()
	e.stopped.Wait()
	return err
}

// freshView returns the newest view while it may be acted on. Past the
// freshness lease a key may have been withdrawn without our knowledge, so
// nothing is started: fault.Stale.
func (e *Entry) freshView() (*view.Snapshot, error) {
	if !e.cfg.Source.Fresh(e.cfg.Now()) {
		return nil, fault.New(fault.Stale, "this host has lost touch with control")
	}
	snapshot := e.cfg.Source.Current()
	if snapshot == nil || snapshot.Configuration == nil {
		return nil, fault.New(fault.Stale, "no configuration is in force yet")
	}
	return snapshot, nil
}
