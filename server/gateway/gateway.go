package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"cowsliptiller/coord/connlimit"
	"cowsliptiller/coord/deployment"
	"cowsliptiller/coord/request"
	"cowsliptiller/coord/workspace"
	"cowsliptiller/server/charging"
	"cowsliptiller/server/events"
	"cowsliptiller/server/inbound"
	"cowsliptiller/server/intake"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/upstream"
	"cowsliptiller/server/view"
)

// Source is the view, with the signals that requests waiting for it need.
type Source interface {
	view.Source
	// Renewed returns a channel that is closed at the next extension of the freshness lease.
	Renewed() <-chan struct{}
	// Silent returns for how long control has not answered; zero while it answers.
	Silent(now time.Time) time.Duration
}

// Config holds a gateway's dependencies and settings.
type Config struct {
	Caller    *rpc.Caller
	Source    Source
	Control   rpc.Control
	Board     func() rpc.Board                 // client of the control leader's board; nil while the leader is unknown
	Loader    func(address string) rpc.Loader  // of the agent at an internal address
	Peer      func(address string) rpc.Streams // of another entry host at an internal address
	RegionOf  map[string]string                // region of each failure domain
	SendGrace time.Duration                    // after the lease has lapsed, for sending a call that waited
	Listen    string                           // IP:port for callers
	Ready     string                           // IP:port of the readiness endpoint
	Ratio     float64                          // retries as a share of requests, over the fleet
	Reserve   float64                          // additional retries per window
	Window    time.Duration                    // over which retries are counted
	// RetrySettle is how long after this process was registered no retry of the host's earlier ones
	// is in the window, and every host with a valid lease has this one in its view.
	RetrySettle time.Duration
	DrainLook   time.Duration // from failing readiness until the platform stops routing here; see request.ShutdownAccept
	Grace       time.Duration // from the stop signal to the end of the process
	Contended   bool          // callers compete for the room of the targets; see contended
	Bodies      *intake.Reader
	Connections connlimit.Shares // 0: no limit
	HeaderBytes int64            // most bytes of all headers that are not whole; 0: no limit
	Sockets     connlimit.Sockets
	Metrics     *Metrics
	Events      *events.Log
	Log         hclog.Logger
	Now         func() time.Time
}

// Gateway implements process.Role.
type Gateway struct {
	config      Config
	rate        *charging.Rate
	pool        *upstream.Pool
	targets     *targets
	quarantine  *quarantine
	connections *connections
	origins     *origins
	unfinished  unfinishedBytes
	stop        context.CancelFunc
	workers     sync.WaitGroup

	mu           sync.Mutex
	retryBudgets map[string]*request.FleetBudget // by service
	settlesAt    time.Time                       // from when on this host uses its whole retry budget; zero: not registered
	waitDeadline time.Time                       // while draining: when rejectWaits closes
	shutdownEnd  time.Time                       // while draining: when answers must be complete
	draining     chan struct{}                   // closed at the stop signal
	closed       bool                            // new requests are refused
	rejectWaits  chan struct{}                   // closed while draining: calls waiting for a model are refused
	rejectUnsent chan struct{}                   // closed while draining: calls that no target has got are refused
	cancelCalls  chan struct{}                   // closed when running calls are canceled and answered
	running      int                             // requests without a final answer
}

// New returns a gateway that has not started.
func New(c Config) *Gateway {
	t := newTargets(c)
	g := &Gateway{
		config:       c,
		rate:         charging.New(charging.Options{Caller: c.Caller, Control: c.Control, Now: c.Now, Log: c.Log}),
		pool:         upstream.NewPool(c.Now),
		targets:      t,
		quarantine:   newQuarantine(c),
		origins:      newOrigins(c, t),
		retryBudgets: map[string]*request.FleetBudget{},
		draining:     make(chan struct{}), rejectWaits: make(chan struct{}), rejectUnsent: make(chan struct{}),
		cancelCalls: make(chan struct{}),
	}
	g.connections = newConnections(inbound.Options{
		Now: c.Now, IdleLimit: g.idleLimit, IdleMargin: idleMargin, HeaderLimits: g.headerLimits,
		MaxConnections: c.Connections.Callers, MaxHeaderBytes: c.HeaderBytes, OnFull: c.Bodies.ShedStalled,
		OnReplaced: c.Metrics.connectionsReplaced, OnCut: g.connectionCut,
	})
	return g
}

// Name implements process.Role.
func (g *Gateway) Name() string { return "gateway" }

// Mount implements process.Role.
func (g *Gateway) Mount(internal *http.ServeMux) {
	internal.Handle(rpc.StreamsPathPrefix, rpc.NewStreamsServer(g.origins))
	internal.Handle(rpc.DecisionsPathPrefix, rpc.NewDecisionsServer(&decisions{g}))
}

// Start implements process.Role.
func (g *Gateway) Start(ctx context.Context) error {
	ctx, g.stop = context.WithCancel(context.WithoutCancel(ctx))
	g.workers.Go(func() { g.rate.Run(ctx) })
	g.workers.Go(func() { g.targets.watch(ctx) })
	g.workers.Go(func() { g.quarantine.reporter.run(ctx) })
	g.workers.Go(func() { g.followDeployment(ctx) })
	g.workers.Go(func() { g.sweepIdle(ctx) })
	g.workers.Go(func() { g.origins.run(ctx) })
	g.workers.Go(func() { g.watchReachability(ctx) })
	return g.listen()
}

// sweepInterval is the interval between scans for idle connections.
const sweepInterval = 500 * time.Millisecond

func (g *Gateway) sweepIdle(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.pool.CloseExpired()
			g.connections.callers.CloseIdle()
		}
	}
}

// followDeployment applies the rate limits of each new deployment, and evacuations.
func (g *Gateway) followDeployment(ctx context.Context) {
	for {
		changed := g.config.Source.Changed()
		if s := g.config.Source.Current(); s != nil {
			g.followEvacuations(s)
			g.followRegistration(s)
			g.quarantine.parts.follow(s)
			if s.Deployment != nil {
				g.configureRate(s)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// configureRate applies a view's limits to the rate limiter. Requests call it too: a
// request admitted under a deployment must find its workspace in the rate limiter.
func (g *Gateway) configureRate(s *view.Snapshot) {
	g.rate.Configure(s.Deployment.Version, func() map[string]workspace.Limit {
		g.config.Events.DeploymentFollowed(s.Deployment.Version, s.Revision)
		return deployment.WorkspaceLimits(s.Deployment)
	})
}

// index returns the deployment to follow, nil if there is none or it may be
// stale. The lease is checked before the view is read: see view.Follower.
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
