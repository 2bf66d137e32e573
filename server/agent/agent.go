package agent

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/target"
	"cowsliptiller/server/inflight"
	"cowsliptiller/server/intake"
	"cowsliptiller/server/metrics"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/settings"
	"cowsliptiller/server/view"
	"cowsliptiller/server/wire"
)

// Bounds that a Config may leave out.
const (
	// defaultMaxBody is above what entry hosts let in by default.
	defaultMaxBody = 16 << 20
	// defaultMaxAnswer bounds an answer; 4 bytes a token make it 16 million tokens.
	defaultMaxAnswer = 64 << 20
	// defaultSilence is the longest pause between two parts of an answer. Engines
	// that batch continuously give a token in a small part of a second; a pause
	// of five seconds means that nothing comes any more.
	defaultSilence = 5 * time.Second
	// defaultReconcile is how often the agent compares decisions with the target
	// when the view does not change, so that a target's restart is noticed.
	defaultReconcile = time.Second
)

// Config is what an agent needs.
type Config struct {
	Settings settings.Agent
	Caller   *rpc.Caller // who we are, for control
	Source   view.Source
	Control  rpc.Control
	Target   Target // nil: the HTTP target at Settings.TargetURL
	Log      hclog.Logger
	Bodies   *intake.Reader
	Registry prometheus.Registerer
	Now      func() time.Time // monotonic

	MaxBody   int64         // largest request body, in bytes
	MaxAnswer int64         // largest answer, in bytes
	Silence   time.Duration // longest pause inside an answer
	Reconcile time.Duration // longest time between two looks at the target
}

// Agent is the agent role.
type Agent struct {
	cfg      Config
	target   Target // the engine or service itself
	log      hclog.Logger
	metrics  *metrics.Agent
	work     *inflight.Group
	attempts *attempts
	life     context.Context // ends with Close
	stop     context.CancelFunc
	stopped  sync.WaitGroup
	wake     chan struct{}
	started  time.Time

	mu    sync.Mutex
	mem   *memory // nil until the configuration tells the target's size
	turns *queue
}

// New returns an agent that does nothing before Start.
func New(cfg Config) *Agent {
	if cfg.Target == nil {
		cfg.Target = NewHTTPTarget(cfg.Settings.TargetURL)
	}
	setDefault(&cfg.MaxBody, defaultMaxBody)
	setDefault(&cfg.MaxAnswer, defaultMaxAnswer)
	setDefault(&cfg.Silence, defaultSilence)
	setDefault(&cfg.Reconcile, defaultReconcile)
	// Requests can come before Start: the internal listener is opened first.
	life, stop := context.WithCancel(context.Background())
	return &Agent{
		life:     life,
		stop:     stop,
		cfg:      cfg,
		target:   cfg.Target,
		log:      cfg.Log,
		metrics:  metrics.NewAgent(cfg.Registry),
		work:     inflight.NewGroup(0),
		attempts: newAttempts(),
		wake:     make(chan struct{}, 1),
		started:  cfg.Now(),
	}
}

func setDefault[T comparable](value *T, otherwise T) {
	var zero T
	if *value == zero {
		*value = otherwise
	}
}

// Name implements process.Role.
func (a *Agent) Name() string { return "agent" }

// Mount implements process.Role.
func (a *Agent) Mount(internal *http.ServeMux) {
	internal.HandleFunc("POST "+wire.RunPath, a.run)
	internal.HandleFunc("GET "+wire.ProbePath, a.probe)
}

// Start implements process.Role. Orders begin only after the target has told
// what it holds.
func (a *Agent) Start(context.Context) error {
	a.stopped.Go(func() { a.follow(a.life) })
	return nil
}

// Ready implements process.Role.
func (a *Agent) Ready() error {
	if a.work.Draining() {
		return fault.New(fault.Leaving, "the agent is leaving")
	}
	if !a.cfg.Source.Fresh(a.cfg.Now()) {
		return fault.New(fault.Stale, "the agent's view is not fresh")
	}
	m := a.memory()
	if m == nil {
		return fault.New(fault.Unavailable, "the target is not in the configuration")
	}
	if !m.alive() {
		return fault.New(fault.Unavailable, "the target does not answer")
	}
	return nil
}

// Drain implements process.Role: new requests and those that wait are refused
// as not run, so that they go elsewhere while there is time; those that run are
// finished.
func (a *Agent) Drain(ctx context.Context) error {
	if q := a.queue(); q != nil {
		q.drain()
	}
	var told sync.WaitGroup
	told.Go(func() { a.sayLeaving(ctx) })
	defer told.Wait()
	return a.work.Drain(ctx)
}

// goodbyeTime bounds the last report. Control finds out without it when the lease
// has lapsed.
const goodbyeTime = time.Second

// sayLeaving reports at once that the agent shuts down, so that what it held is
// loaded elsewhere for the next request, and not only when its lease has lapsed.
func (a *Agent) sayLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, goodbyeTime)
	defer cancel()
	report := a.Report()
	report.Leaving = true
	var since uint64
	if snapshot := a.cfg.Source.Current(); snapshot != nil {
		since = snapshot.Revision
	}
	if _, err := a.cfg.Control.Sync(ctx, &rpc.SyncRequest{Caller: a.cfg.Caller, Since: since, Report: report}); err != nil {
		a.log.Warn("control was not told that this agent leaves", "error", err)
	}
}

// Close implements process.Role.
func (a *Agent) Close() error {
	a.stop()
	a.stopped.Wait()
	return nil
}

// probe answers at once: whoever asks knows that the connection is alive.
func (a *Agent) probe(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNoContent)
}

// spec returns the configuration of this agent's target.
func (a *Agent) spec() (*view.Snapshot, config.TargetSpec, bool) {
	snapshot := a.cfg.Source.Current()
	if snapshot == nil || snapshot.Configuration == nil {
		return nil, config.TargetSpec{}, false
	}
	spec, ok := snapshot.Configuration.Targets[a.cfg.Settings.Target]
	return snapshot, spec, ok
}

// memory returns the target's memory, nil while the configuration does not know
// the target.
func (a *Agent) memory() *memory {
	a.equip()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.mem
}

// queue returns the target's run queue, nil while the configuration does not
// know the target.
func (a *Agent) queue() *queue {
	a.equip()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.turns
}

// equip makes the memory and the queue once the configuration tells the
// target's size. A target that changes its size is another target: its agent
// is started anew.
func (a *Agent) equip() {
	snapshot, spec, ok := a.spec()
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.mem != nil {
		return
	}
	share := target.AdapterLoadShare(snapshot.Configuration.Store.AdapterLoads, engines(snapshot.Configuration))
	a.mem = newMemory(a.cfg.Now, a.started, spec, share)
	a.turns = newQueue(a.cfg.Now, spec.Concurrency)
	turns := a.turns
	a.stopped.Go(func() { turns.run(a.life) })
	a.stopped.Go(func() { a.followKeys(a.life, turns) })
}

// engines counts the model engines of a configuration.
func engines(c *config.Configuration) int {
	n := 0
	for _, t := range c.Targets {
		if t.Kind == config.KindEngine {
			n++
		}
	}
	return n
}
