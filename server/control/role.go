package control

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/singleflight"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/fleet"
	"cowsliptiller/server/intake"
	"cowsliptiller/server/metrics"
	"cowsliptiller/server/node"
	"cowsliptiller/server/process"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/settings"
)

// Config is what a control role is made of.
type Config struct {
	Settings *settings.Options
	Log      node.Log // drives Machine
	Machine  *Machine
	Client   *http.Client                           // calls to our own processes
	Dial     func(address string) rpc.Control       // nil: twirp over Client
	Entry    func(address string) rpc.Decisions     // of the entry host at an internal address; nil: twirp over Client
	Now      func() time.Time                       // nil: time.Now; must carry a monotonic reading
	After    func(time.Duration) <-chan time.Time   // nil: time.After
	Logger   hclog.Logger                           // nil: no log
	Token    string                                 // the operators' token; read from the settings' file where empty
	CloseLog func() error                           // called by Close; nil: nothing to close
	Peers    func() (prefix string, h http.Handler) // serves the log's own calls; nil: none
}

// Role is the control role of a process. It implements process.Role and rpc.Control.
type Role struct {
	settings  *settings.Options
	freshness time.Duration
	log       node.Log
	machine   *Machine
	clients   *rpc.Clients[rpc.Control]
	entries   *rpc.Clients[rpc.Decisions]
	now       func() time.Time
	after     func(time.Duration) <-chan time.Time
	logger    hclog.Logger
	token     string
	closeLog  func() error
	peers     func() (prefix string, h http.Handler)
	reads     reads
	owner     *owner
	planner   *planner
	operators *operatorServer
	metrics   *metrics.Leases
	adoptions singleflight.Group // of deployments, by version and document
	stopping  atomic.Bool
	draining  chan struct{} // closed when the role stops granting leases
	started   time.Time
	// bodies and limits bound what the operators' listener holds; nil and zero: they do not.
	bodies *intake.Reader
	limits process.Limits

	background context.Context
	cancel     context.CancelFunc
	tasks      sync.WaitGroup
	closing    sync.Mutex // guards closed, and orders tasks.Go before tasks.Wait
	closed     bool

	mu          sync.Mutex
	subscribers *fleet.Subscribers
	callers     map[fleet.SubscriberID]*rpc.Caller
	reports     map[fleet.SubscriberID]report
	registering map[string]bool      // by host id
	seenMembers map[string]time.Time // by address: when it was last a member's
}

// report is the newest report of an agent that polled here.
type report struct {
	caller *rpc.Caller
	report *rpc.ReplicaReport
	at     time.Time
}

// New returns a control role on a log that drives config.Machine.
func New(config Config) *Role {
	c := &Role{
		settings: config.Settings, freshness: config.Settings.Control.Freshness,
		log: config.Log, machine: config.Machine,
		now: config.Now, after: config.After, logger: config.Logger,
		token: config.Token, closeLog: config.CloseLog, peers: config.Peers,
		draining:    make(chan struct{}),
		callers:     map[fleet.SubscriberID]*rpc.Caller{},
		reports:     map[fleet.SubscriberID]report{},
		registering: map[string]bool{},
		seenMembers: map[string]time.Time{},
	}
	c.defaults(config)
	c.started = c.now()
	c.subscribers = fleet.NewSubscribers(c.started.Add(c.freshness))
	c.background, c.cancel = context.WithCancel(context.Background())
	c.owner = newOwner(c)
	c.planner = newPlanner(c)
	c.operators = newOperatorServer(c)
	c.Register(nil)
	return c
}

func (c *Role) defaults(config Config) {
	if c.now == nil {
		c.now = time.Now
	}
	if c.after == nil {
		c.after = time.After
	}
	if c.logger == nil {
		c.logger = hclog.NewNullLogger()
	}
	dial := config.Dial
	if dial == nil {
		dial = func(address string) rpc.Control {
			return rpc.NewControlProtobufClient("http://"+address, config.Client)
		}
	}
	c.clients = rpc.NewClients(dial)
	entry := config.Entry
	if entry == nil {
		entry = func(address string) rpc.Decisions {
			return rpc.NewDecisionsProtobufClient("http://"+address, config.Client)
		}
	}
	c.entries = rpc.NewClients(entry)
}

// Name implements process.Role.
func (c *Role) Name() string { return settings.RoleControl }

// Mount implements process.Role.
func (c *Role) Mount(internal *http.ServeMux) {
	internal.Handle(rpc.ControlPathPrefix, rpc.NewControlServer(c))
	if c.peers != nil {
		internal.Handle(c.peers())
	}
}

// Start implements process.Role.
func (c *Role) Start(context.Context) error {
	if err := c.operators.start(); err != nil {
		return err
	}
	c.run(c.barrierLoop)
	c.run(c.housekeeping)
	c.run(c.lead)
	if c.settings.Control.PlatformList != "" {
		c.run(c.followPlatform)
	}
	c.run(c.observeLoop)
	c.run(c.silentLoop)
	return nil
}

// Ready implements process.Role: a process that is cut off is not ready.
func (c *Role) Ready() error {
	if c.stopping.Load() {
		return fault.New(fault.Leaving, "shutting down")
	}
	return c.current()
}

// Drain implements process.Role. Followers are sent elsewhere first: their polls
// end with an answer that still renews the lease, and the next ones are refused.
func (c *Role) Drain(ctx context.Context) error {
	c.endPolls()
	return c.operators.stop(ctx)
}

// endPolls answers the waiting polls and refuses new ones.
func (c *Role) endPolls() {
	if c.stopping.CompareAndSwap(false, true) {
		close(c.draining)
	}
}

// Status tells how this member of the group stands.
func (c *Role) Status() node.Status { return c.log.Status() }

// Close implements process.Role.
func (c *Role) Close() error {
	c.endPolls()
	c.cancel()
	c.operators.close()
	c.closing.Lock()
	c.closed = true
	c.closing.Unlock()
	c.tasks.Wait()
	if c.closeLog != nil {
		return c.closeLog()
	}
	return nil
}

// run starts background work that ends with the role. Once the role is being closed it starts
// none: a poll that is still served must not use the log while that is closed.
func (c *Role) run(task func(ctx context.Context)) {
	c.closing.Lock()
	defer c.closing.Unlock()
	if c.closed {
		return
	}
	c.tasks.Go(func() { task(c.background) })
}

func (c *Role) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-c.after(d):
	}
}

// housekeeping forgets subscribers that are long gone and notes the members.
func (c *Role) housekeeping(ctx context.Context) {
	for ctx.Err() == nil {
		c.noteMembers()
		c.prune()
		c.sleep(ctx, c.freshness/2)
	}
}

func (c *Role) prune() {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subscribers.Prune(now.Add(-2*silentAfter), now)
	known := map[fleet.SubscriberID]bool{}
	for _, s := range c.subscribers.List() {
		known[s.ID] = true
	}
	maps.DeleteFunc(c.callers, func(id fleet.SubscriberID, _ *rpc.Caller) bool { return !known[id] })
	maps.DeleteFunc(c.reports, func(id fleet.SubscriberID, _ report) bool { return !known[id] })
}
