package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"cowsliptiller/coord/deployment"
	"cowsliptiller/coord/request"
	"cowsliptiller/coord/workspace"
	"cowsliptiller/server/charging"
	"cowsliptiller/server/events"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/upstream"
	"cowsliptiller/server/view"
)

// Source is the view with what a request needs that waits for it.
type Source interface {
	view.Source
	// Renewed returns a channel that is closed when the freshness lease is extended next.
	Renewed() <-chan struct{}
	// Silent returns for how long control has not answered; zero while it answers.
	Silent(now time.Time) time.Duration
}

// Config is what a gateway is made of.
type Config struct {
	Caller    *rpc.Caller
	Source    Source
	Control   rpc.Control
	Board     func() rpc.Board                // of the control leader; nil while it is not known
	Loader    func(address string) rpc.Loader // of the agent at an internal address
	Listen    string                          // IP:port for callers
	Ready     string                          // IP:port that answers whether this host takes callers
	Ratio     float64                         // repeats as a share of requests, over the fleet
	Reserve   float64                         // repeats on top in a window
	Window    time.Duration                   // in which repeats are counted
	DrainLook time.Duration                   // until the platform has seen that this host is not ready
	Grace     time.Duration                   // between the order to stop and the end
	Metrics   *Metrics
	Events    *events.Log
	Log       hclog.Logger
	Now       func() time.Time
}

// Gateway implements process.Role.
type Gateway struct {
	config      Config
	rate        *charging.Rate
	pool        *upstream.Pool
	targets     *targets
	connections *connections
	stop        context.CancelFunc
	workers     sync.WaitGroup

	mu           sync.Mutex
	retryBudgets map[string]*request.FleetBudget // by service
	waitDeadline time.Time                       // while draining: when left closes
	draining     chan struct{}                   // closed at the order to stop
	closed       bool                            // takes no request any more
	rejectWaits  chan struct{}                   // closed while draining: who still waits for a model is sent elsewhere
	cancelCalls  chan struct{}                   // closed when what still runs must be answered
	running      int                             // requests that have no final answer yet
}

// New returns a gateway that has not started.
func New(c Config) *Gateway {
	return &Gateway{
		config:       c,
		rate:         charging.New(charging.Options{Caller: c.Caller, Control: c.Control, Now: c.Now, Log: c.Log}),
		pool:         upstream.NewPool(c.Now),
		targets:      newTargets(c),
		connections:  newConnections(c.Now),
		retryBudgets: map[string]*request.FleetBudget{},
		draining:     make(chan struct{}), rejectWaits: make(chan struct{}), cancelCalls: make(chan struct{}),
	}
}

// Name implements process.Role.
func (g *Gateway) Name() string { return "gateway" }

// Mount implements process.Role.
func (g *Gateway) Mount(*http.ServeMux) {}

// Start implements process.Role.
func (g *Gateway) Start(ctx context.Context) error {
	ctx, g.stop = context.WithCancel(context.WithoutCancel(ctx))
	g.workers.Go(func() { g.rate.Run(ctx) })
	g.workers.Go(func() { g.targets.watch(ctx) })
	g.workers.Go(func() { g.followDeployment(ctx) })
	g.workers.Go(func() { g.sweepIdle(ctx) })
	return g.listen()
}

// sweepInterval is how often idle connections are looked through.
const sweepInterval = 500 * time.Millisecond

func (g *Gateway) sweepIdle(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.pool.Sweep()
			g.connections.sweep(g.idleLimit())
		}
	}
}

// followDeployment takes each new deployment's limits as soon as it is known.
func (g *Gateway) followDeployment(ctx context.Context) {
	for {
		changed := g.config.Source.Changed()
		if s := g.config.Source.Current(); s != nil && s.Deployment != nil {
			g.configureRate(s)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// configureRate gives the rate the limits of a view. Requests call it too: one that
// is admitted by a deployment must not find its workspace unknown to the rate.
func (g *Gateway) configureRate(s *view.Snapshot) {
	g.rate.Configure(s.Deployment.Version, func() map[string]workspace.Limit {
		g.config.Events.DeploymentFollowed(s.Deployment.Version, s.Revision)
		return deployment.Limits(s.Deployment)
	})
}

// index returns the deployment to follow, nil where none is known or what is known
// may be old. The lease is asked for first: see view.Follower.
func (g *Gateway) index() *deployment.Index {
	if !g.config.Source.Fresh(g.config.Now()) {
		return nil
	}
	s := g.config.Source.Current()
	if s == nil {
		return nil
	}
	return s.Routes
}

// tryRetry takes one tryRetry to a service from the fleet's budget; false when none is left.
func (g *Gateway) tryRetry(service string) bool {
	now := g.config.Now()
	hosts := g.targets.entryHosts()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retryBudget(service).TryRetry(hosts, now)
}

// recordRequest notes a request to a service: repeats are a share of these.
func (g *Gateway) recordRequest(service string) {
	now := g.config.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryBudget(service).RecordRequest(now)
}

// retryBudget returns a service's retryBudget of repeats. The caller holds mu.
func (g *Gateway) retryBudget(service string) *request.FleetBudget {
	b := g.retryBudgets[service]
	if b == nil {
		b = &request.FleetBudget{Ratio: g.config.Ratio, Reserve: g.config.Reserve, Window: g.config.Window}
		g.retryBudgets[service] = b
	}
	return b
}
