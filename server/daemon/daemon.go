package daemon

import (
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"cowsliptiller/server/agent"
	"cowsliptiller/server/entry"
	"cowsliptiller/server/failover"
	"cowsliptiller/server/intake"
	"cowsliptiller/server/process"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/settings"
	"cowsliptiller/server/view"
)

// Run runs the roles that the settings name until stop is closed; see process.Runner.
func Run(o *settings.Options, stop, abort <-chan struct{}) error {
	secret, err := process.ReadSecret(o.Common.SecretFile)
	if err != nil {
		return err
	}
	limits, err := process.Limits{MemoryBytes: o.Common.MemoryMb << 20, Files: o.Common.MaxFiles}.Complete()
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(limits.MemoryBytes)))
	b := newBuilder(o, secret, limits, newLogger(o.Common))
	if err := b.build(); err != nil {
		return err
	}
	runner := &process.Runner{
		InternalAddress: o.Common.InternalAddress,
		HealthAddress:   o.Common.HealthAddress,
		DrainTimeout:    o.Common.DrainTimeout,
		Secret:          secret,
		Roles:           b.roles,
		Registry:        b.registry,
		Connections:     limits.Connections(),
		Log:             b.log,
	}
	return runner.Run(stop, abort)
}

func newLogger(c settings.Common) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       "cowslipd",
		Level:      hclog.LevelFromString(c.LogLevel),
		JSONFormat: c.LogFormat == "json",
		Output:     os.Stderr,
	}).With("host", c.Host)
}

// builder puts the roles of one process together.
type builder struct {
	options     *settings.Options
	secret      *process.Secret
	log         hclog.Logger
	registry    *prometheus.Registry
	client      *http.Client
	incarnation string
	roles       []process.Role
	limits      process.Limits
	bodies      *intake.Reader // of all listeners
}

func newBuilder(o *settings.Options, secret *process.Secret, limits process.Limits, log hclog.Logger) *builder {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	bodies := intake.NewReader(limits.MemoryBytes, time.Now)
	bodies.Register(registry)
	return &builder{
		limits:      limits,
		bodies:      bodies,
		options:     o,
		secret:      secret,
		log:         log,
		registry:    registry,
		client:      process.Client(secret),
		incarnation: uuid.NewString(),
	}
}

// build appends the roles in the order in which they drain: first the one that
// takes callers' requests, then those that it needs.
func (b *builder) build() error {
	var followers []process.Role
	if b.options.Has(settings.RoleEntry) {
		followers = append(followers, b.addEntry())
	}
	if b.options.Has(settings.RoleAgent) {
		followers = append(followers, b.addAgent())
	}
	if b.options.Has(settings.RoleControl) {
		if err := b.addControl(); err != nil {
			return err
		}
	}
	b.roles = append(b.roles, followers...)
	return nil
}

func (b *builder) addEntry() process.Role {
	caller := b.caller(settings.RoleEntry)
	follower := b.follower(caller, nil)
	b.roles = append(b.roles, entry.New(entry.Config{
		Settings: b.options.Entry,
		Caller:   caller,
		Source:   follower,
		Control:  b.control(follower),
		Client:   process.AnswerClient(b.secret),
		Bodies:   b.bodies,
		Limits:   b.limits,
		Log:      b.log.Named(settings.RoleEntry),
		Registry: b.registry,
		Now:      time.Now,
	}))
	return &following{name: "entry view", follower: follower}
}

func (b *builder) addAgent() process.Role {
	caller := b.caller(settings.RoleAgent)
	caller.Target = b.options.Agent.Target
	var role *agent.Agent
	follower := b.follower(caller, func() *rpc.ReplicaReport { return role.Report() })
	role = agent.New(agent.Config{
		Settings: b.options.Agent,
		Caller:   caller,
		Source:   follower,
		Control:  b.control(follower),
		Bodies:   b.bodies,
		Log:      b.log.Named(settings.RoleAgent),
		Registry: b.registry,
		Now:      time.Now,
	})
	b.roles = append(b.roles, role)
	return &following{name: "agent view", follower: follower}
}

func (b *builder) caller(role string) *rpc.Caller {
	return &rpc.Caller{
		Host:          b.options.Common.Host,
		Incarnation:   b.incarnation,
		Role:          role,
		Address:       b.options.Common.Advertised(),
		FailureDomain: b.options.Common.FailureDomain,
	}
}

// follower returns the view of one role. Each role follows for itself, since
// control keeps a lease and a report for each.
func (b *builder) follower(caller *rpc.Caller, report func() *rpc.ReplicaReport) *view.Follower {
	return view.NewFollower(view.FollowerOptions{
		Caller:    caller,
		Addresses: b.controlAddresses(),
		Client:    b.client,
		Report:    report,
		Log:       b.log.Named("view"),
	})
}

func (b *builder) control(follower *view.Follower) rpc.Control {
	return failover.NewControl(follower, func(address string) rpc.Control {
		return rpc.NewControlProtobufClient("http://"+address, b.client)
	})
}

// controlAddresses puts this process's own control role in front, if it has one.
func (b *builder) controlAddresses() []string {
	addresses := slices.Clone(b.options.Common.ControlAddresses)
	own := b.options.Common.Advertised()
	if b.options.Has(settings.RoleControl) && !slices.Contains(addresses, own) {
		addresses = append([]string{own}, addresses...)
	}
	return addresses
}
