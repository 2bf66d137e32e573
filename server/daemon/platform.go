package daemon

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"cowsliptiller/coord/targetstatus"
	"cowsliptiller/platform"
	"cowsliptiller/server/board"
	"cowsliptiller/server/dial"
	"cowsliptiller/server/events"
	"cowsliptiller/server/failover"
	"cowsliptiller/server/gateway"
	"cowsliptiller/server/intake"
	"cowsliptiller/server/member"
	"cowsliptiller/server/process"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/settings"
	"cowsliptiller/server/steward"
	"cowsliptiller/server/upstream"
	"cowsliptiller/server/view"
)

// Figures of a process on the platform.
const (
	// memoryShare of the host's memory is the garbage collector's limit: the rest is
	// for what the kernel holds of unread bytes and for the runtime's own.
	memoryShare = 0.6
	// freshnessShare of the time in which a withdrawn key, or an evacuation, must be in
	// force everywhere is the freshness lease: the rest covers a request that is on its way.
	freshnessShare = 0.6
	// drainLooks is how long a host that stops goes on taking requests: the platform
	// asks once a second and takes two misses.
	drainLooks = 2300 * time.Millisecond
	// controlTick: an election takes 10 to 20 ticks, and hosts have a third of a core.
	controlTick = 60 * time.Millisecond
	logFlush    = 200 * time.Millisecond
	// lateRetry is for how long a suspended target can hold a retry of a process that has ended.
	lateRetry = 3 * time.Second
)

// RunPlatform runs a process as the platform's settings file says.
func RunPlatform(o *settings.Platform, out io.Writer, stop, abort <-chan struct{}, reload <-chan os.Signal) error {
	path := os.Getenv(platform.SettingsVariable)
	p, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	token, err := operatorToken(o)
	if err != nil {
		return err
	}
	lines := events.NewWriter(out)
	defer lines.Close(logFlush)
	b := newPlatformBuilder(p, lines)
	b.metricsPort = o.MetricsPort
	b.operatorPort, b.operatorToken = o.OperatorPort, token
	if err := b.applyLimits(); err != nil {
		return err
	}
	b.events.Started(p.Host, p.FailureDomain, p.FirstStart, p.Roles, p.Seeds)
	go b.followSettings(path, reload)
	err = b.run(b.announced(stop), abort)
	b.events.Stopped(err)
	return err
}

// announced passes an order to stop on after a line in the log.
func (b *platformBuilder) announced(stop <-chan struct{}) <-chan struct{} {
	out := make(chan struct{})
	go func() {
		<-stop
		b.events.Stopping(b.process.Bounds.Grace)
		close(out)
	}()
	return out
}

// platformBuilder puts the parts of one process on the platform together.
type platformBuilder struct {
	process  *platform.Process
	log      hclog.Logger
	events   *events.Log
	secret   *process.Secret
	client   *http.Client
	caller   *rpc.Caller
	registry *prometheus.Registry
	follower *view.Follower
	control  rpc.Control
	member   *member.Supervisor // nil on a host without a disk
	board    *board.Board
	// metricsPort on the host's address serves metrics; 0: none
	metricsPort uint16
	// operatorPort on the host's address serves the operators' API; 0: none
	operatorPort  uint16
	operatorToken string

	boards *failover.Boards
	bodies *intake.Reader // of all listeners
	limits process.Limits

	mu sync.Mutex // guards process; a leaf
}

func newPlatformBuilder(p *platform.Process, lines io.Writer) *platformBuilder {
	log := hclog.New(&hclog.LoggerOptions{Name: "cowslipd", Level: hclog.Info, JSONFormat: true, Output: lines}).With("host", p.Host)
	b := &platformBuilder{
		process: p, log: log, events: events.New(log, time.Now), secret: fleetSecret(p),
		registry: prometheus.NewRegistry(),
	}
	b.limits = process.Limits{MemoryBytes: p.MemoryBytes, Files: p.MaxFiles}
	b.client = process.Client(b.secret)
	b.caller = &rpc.Caller{
		Host: p.Host, Incarnation: uuid.NewString(), Address: p.InternalAddress(p.IP), FailureDomain: p.FailureDomain,
		Role: settings.RoleEntry,
	}
	if p.TargetAddress != "" {
		b.caller.Role, b.caller.Target = settings.RoleAgent, p.TargetAddress
	}
	b.follower = view.NewFollower(view.FollowerOptions{Caller: b.caller, Client: b.client, Log: log.Named("view")})
	b.control = failover.NewControl(b.follower, func(address string) rpc.Control {
		return rpc.NewControlProtobufClient("http://"+address, b.client)
	})
	b.boards = failover.NewBoards(b.follower, func(address string) rpc.Board {
		return rpc.NewBoardProtobufClient("http://"+address, b.client)
	})
	return b
}

// fleetSecret tells processes of this fleet from others on the same network. The
// platform gives none to share; what all processes are told alike stands in for it,
// against mix-ups, not against an attacker on the platform's network.
func fleetSecret(p *platform.Process) *process.Secret {
	key := sha256.Sum256(fmt.Appendf(nil, "%s %d", p.ListAddress, p.InternalPort))
	return process.NewSecret(key[:], time.Now)
}

func (b *platformBuilder) applyLimits() (err error) {
	if b.limits, err = b.limits.Complete(); err != nil {
		return err
	}
	b.bodies = intake.NewReader(b.limits.MemoryBytes, time.Now)
	b.bodies.Register(b.registry)
	debug.SetMemoryLimit(int64(memoryShare * float64(b.limits.MemoryBytes)))
	runtime.GOMAXPROCS(max(1, b.process.Processors))
	return nil
}

// run starts the parts and stops them in order once told.
func (b *platformBuilder) run(stop, abort <-chan struct{}) error {
	roles := []process.Role{}
	if b.process.ListenCallers != "" {
		roles = append(roles, b.gateway())
	}
	if b.process.TargetAddress != "" {
		roles = append(roles, b.steward())
	}
	roles = append(roles, &following{name: "view", follower: b.follower}, b.controlRole())
	runner := &process.Runner{
		InternalAddress: b.process.InternalAddress(b.process.IP),
		HealthAddress:   b.metricsAddress(),
		DrainTimeout:    b.process.Bounds.Grace - logFlush,
		Secret:          b.secret, Roles: roles, Registry: b.registry, Connections: b.limits.Connections(), Log: b.log,
	}
	return runner.Run(stop, abort)
}

// metricsAddress is empty where no metrics are served. The platform draws the ports of
// its settings anew, and one of them may be the one that the operators chose: the
// process then serves callers and tells no metrics, in place of not starting.
func (b *platformBuilder) metricsAddress() string {
	if b.metricsPort == 0 {
		return ""
	}
	if b.process.UsesPort(int(b.metricsPort)) {
		b.log.Warn("metrics are not served, their port is another listener's", "port", b.metricsPort)
		return ""
	}
	return addressOf(b.process.IP, b.metricsPort)
}

func addressOf(ip string, port uint16) string { return fmt.Sprintf("%s:%d", ip, port) }

func (b *platformBuilder) gateway() process.Role {
	bounds := b.process.Bounds
	return gateway.New(gateway.Config{
		Caller: b.caller, Source: b.follower, Control: b.control, Board: b.boards.Current,
		Peer:     func(address string) rpc.Streams { return rpc.NewStreamsProtobufClient("http://"+address, b.client) },
		Loader:   func(address string) rpc.Loader { return rpc.NewLoaderProtobufClient("http://"+address, b.client) },
		RegionOf: b.process.RegionOf, SendGrace: sendGrace(bounds), Listen: b.process.ListenCallers, Ready: b.process.ListenReady,
		Ratio: bounds.RetryRatio, Reserve: bounds.RetryReserve, Window: bounds.RetryWindow,
		RetrySettle: bounds.RetryWindow + max(freshnessOf(bounds), lateRetry),
		DrainLook:   drainLooks, Grace: bounds.Grace, Contended: b.process.Contended, Metrics: gateway.NewMetrics(b.registry),
		Bodies: b.bodies, Connections: b.limits.Connections(), HeaderBytes: b.limits.HeaderBytes(), Sockets: b.limits.Sockets(),
		Events: b.events, Log: b.log.Named("gateway"), Now: time.Now,
	})
}

func (b *platformBuilder) steward() process.Role {
	return steward.New(steward.Config{
		Caller: b.caller, Source: b.follower, Board: b.boards.Current,
		Target:  &platform.Target{Address: b.process.TargetAddress, Client: plainClient()},
		Service: b.process.TargetService,
		Events:  b.events, Log: b.log.Named("steward"), Now: time.Now, Internal: b.process.InternalAddress(b.process.IP),
	})
}

// plainClient calls the platform and the target: one connection, kept. An order that timed out
// is withdrawn.
func plainClient() *http.Client {
	return &http.Client{Transport: upstream.CheckHeads(&http.Transport{
		DialContext:         dial.ResettingOnClose((&net.Dialer{}).DialContext),
		MaxIdleConnsPerHost: 2, IdleConnTimeout: 3 * time.Second, DisableCompression: true,
	})}
}

func (b *platformBuilder) controlRole() process.Role {
	c := &platformControl{builder: b}
	if b.process.DataFolder != "" {
		b.member = member.New(member.Config{
			Settings: b.controlSettings(), Folder: b.process.DataFolder, Address: b.process.InternalAddress(b.process.IP),
			Seeds: b.seeds(), FirstStart: b.process.FirstStart, FaultTolerance: b.process.FaultTolerance,
			DomainTolerance: b.process.DomainTolerance, Secret: b.secret,
			Locate: b.locate, ControlAddresses: func() []string { return append(b.seeds(), b.follower.Addresses()...) },
			Control: b.control, Log: b.log.Named("control"), Registry: b.registry,
		})
		b.registerQuorumAtRisk()
		list := &platform.List{Address: b.process.ListAddress, Client: plainClient(), Wait: listTurn(b.process.ListRate)}
		b.board = board.New(board.Config{
			Leading: c.leading, Deployment: c.deployment, Evacuations: c.evacuations, StoreWindow: b.process.Bounds.StoreWindow,
			Contended: b.process.Contended,
			List:      func(ctx context.Context) ([]targetstatus.Status, int, error) { return readList(ctx, list) },
			Now:       time.Now, Log: b.log.Named("board"),
		})
		b.registry.MustRegister(b.board, board.ListCollector{Board: b.board})
	}
	return c
}

func (b *platformBuilder) registerQuorumAtRisk() {
	b.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "cowslip_control_quorum_at_risk",
		Help: "1 where this member leads a group in which a tolerated loss of hosts or failure domains would leave no quorum."},
		func() float64 {
			if b.member.QuorumAtRisk() {
				return 1
			}
			return 0
		}))
}

// listShare of the calls that the platform's list takes from the whole fleet are the
// leader's. With three thousand targets the list has sixty pages; read without a pause,
// and anew twice a second, it was refused in the middle each time, and no target without
// an agent was ever known. The other half is for a leader that has just taken over
// while the former one still reads.
const listShare = 0.5

// listTurn spaces the calls to the platform's list; nil where it takes any number.
func listTurn(perSecond float64) func(context.Context) error {
	if perSecond <= 0 {
		return nil
	}
	own := listShare * perSecond
	return rate.NewLimiter(rate.Limit(own), max(1, int(own/2))).Wait
}

func readList(ctx context.Context, list *platform.List) ([]targetstatus.Status, int, error) {
	asked := time.Now()
	targets, skipped, err := list.Read(ctx)
	if err != nil {
		return nil, 0, err
	}
	out := make([]targetstatus.Status, 0, len(targets))
	for _, t := range targets {
		s := targetstatus.Status{
			Instance: t.Instance, Service: t.Service, Address: t.Address, FailureDomain: t.FailureDomain,
			Slots: t.Slots, Draining: t.Draining, StartedUnixMs: t.StartedUnixMs, SoftwareVersion: t.SoftwareVersion,
		}
		if t.WarmupRemaining > 0 {
			s.WarmUpUntil = asked.Add(t.WarmupRemaining)
		}
		for _, m := range t.Models {
			s.Models = append(s.Models, targetstatus.HeldModel{Name: m.Name, Adapters: m.Adapters})
		}
		out = append(out, s)
	}
	return out, skipped, nil
}

func (b *platformBuilder) controlSettings() settings.Options {
	o := settings.Options{}
	o.Common.Host, o.Common.FailureDomain = b.process.Host, b.process.FailureDomain
	o.Common.InternalAddress = b.process.InternalAddress(b.process.IP)
	o.Control.Tick, o.Control.PrivateDisk = controlTick, true
	o.Control.Freshness = freshnessOf(b.process.Bounds)
	return o
}

const (
	// sendMargin covers the opening of a connection and the way to the target.
	sendMargin = 500 * time.Millisecond
	// unlimitedGrace is longer than any call.
	unlimitedGrace = time.Hour
)

// sendGrace returns for how long after its lease has lapsed a host may send calls that it
// admitted before: the bound for revoked keys counts from when a call comes in, the one for
// evacuations until it reaches its target.
func sendGrace(b platform.Bounds) time.Duration {
	if b.Evacuate == 0 {
		return unlimitedGrace
	}
	return max(0, b.Evacuate-freshnessOf(b)-sendMargin)
}

// freshnessOf returns the freshness lease for the shorter of the bounds that depend on it. A
// bound of 0 for evacuations means that there is none.
func freshnessOf(b platform.Bounds) time.Duration {
	bound := b.Revoke
	if b.Evacuate > 0 {
		bound = min(bound, b.Evacuate)
	}
	return time.Duration(freshnessShare * float64(bound))
}

// seeds returns the internal addresses of the seeds that are used now.
func (b *platformBuilder) seeds() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for _, ip := range b.process.Seeds {
		out = append(out, b.process.InternalAddress(ip))
	}
	return out
}
