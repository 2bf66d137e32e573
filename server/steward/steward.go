package steward

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"cowsliptiller/coord/deployment"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/ratelimit"
	"cowsliptiller/coord/residency"
	"cowsliptiller/coord/targetstatus"
	"cowsliptiller/coord/warmup"
	"cowsliptiller/platform"
	"cowsliptiller/server/events"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/view"
)

// Source is the view, with a signal at each renewal of its lease.
type Source interface {
	view.Source
	// Renewed returns a channel that is closed at the next extension of the freshness lease.
	Renewed() <-chan struct{}
}

// Config holds a steward's dependencies.
type Config struct {
	Caller   *rpc.Caller
	Source   Source
	Board    func() rpc.Board // of the control leader; nil while the leader is unknown
	Target   *platform.Target
	Service  string
	Events   *events.Log
	Log      hclog.Logger
	Now      func() time.Time
	Internal string // IP:port of this process's internal listener
}

// Intervals and limits of the steward.
const (
	// reportIdle is the interval between reads of the target's report while nothing waits. The
	// read is free on the target's own host, and a crash must be detected before many requests
	// are sent to the target.
	reportIdle = 150 * time.Millisecond
	// reportBusy is the interval during a load or while a request waits.
	reportBusy = 25 * time.Millisecond
	// reportTimeout is far above the millisecond that a target on the same host takes.
	reportTimeout = 500 * time.Millisecond
	// tellInterval is the interval between reports to control.
	tellInterval = 250 * time.Millisecond
	tellTimeout  = time.Second
	// orderTimeout is the time after which an order without a response is resent.
	orderTimeout = 500 * time.Millisecond
	// permitPause is the minimum interval between two requests for a permit.
	permitPause = 150 * time.Millisecond
	// permitLife is how long an unused permit is valid: it covers the unload that makes room
	// for the load.
	permitLife = 4 * time.Second
	// plannedPermitLife is permitLife for a planned copy. An unload waits up to 5 s for the longest streams.
	plannedPermitLife = 8 * time.Second
	// loadWaitStep is the resolution of the load wait in reports to control.
	loadWaitStep = 100 * time.Millisecond
	// deadAfter is the number of consecutive failed reports after which the target counts as
	// unreachable.
	deadAfter = 2
)

// Steward implements process.Role and rpc.Loader.
type Steward struct {
	config  Config
	stop    context.CancelFunc
	stopped sync.WaitGroup
	wake    chan struct{}
	seen    chan struct{} // signals the first report of the target after it was unreachable

	mu           sync.Mutex // guards everything below
	keeper       *residency.Scheduler
	demand       *targetstatus.DemandCache
	version      uint64 // of the deployment that the keeper is configured with
	waiting      map[string]chan residency.WaitResult
	nextWant     uint64
	report       *platform.Report // latest; nil while the target is unreachable
	instance     string           // id of the target; empty: it must be identified again
	lastID       string           // id of the target when it was last identified
	born         int64            // start time of the target with that id
	slots        int              // requests that the target runs at once
	healthPath   string           // of the target; empty before the first deployment
	warmUp       warmup.Limit     // of the service's targets
	warmUntil    time.Time        // when the target has warmed up; zero: it is warm
	sendTimes    *ratelimit.Owner // of the target
	prompts      promptMeter
	evacuated    bool   // the target's failure domain is; it gets no orders
	orders       uint64 // number of orders that the target had accepted at the latest report
	starts       int    // number of detected starts of the target
	failures     int
	backoffUntil time.Time // of the target
	permit       permit
}

// New returns a steward that has not started.
func New(c Config) *Steward {
	return &Steward{
		config: c, keeper: residency.NewScheduler(), demand: targetstatus.NewDemandCache(), waiting: map[string]chan residency.WaitResult{},
		sendTimes: ratelimit.NewOwner(c.Now()),
		wake:      make(chan struct{}, 1), seen: make(chan struct{}, 1),
	}
}

// Name implements process.Role.
func (s *Steward) Name() string { return "steward" }

// Mount implements process.Role.
func (s *Steward) Mount(internal *http.ServeMux) {
	internal.Handle(rpc.LoaderPathPrefix, rpc.NewLoaderServer(s))
}

// Start implements process.Role.
func (s *Steward) Start(ctx context.Context) error {
	ctx, s.stop = context.WithCancel(context.WithoutCancel(ctx))
	s.stopped.Go(func() { s.keep(ctx) })
	s.stopped.Go(func() { s.tell(ctx) })
	return nil
}

// Ready implements process.Role.
func (s *Steward) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.report == nil {
		return fault.New(fault.Unavailable, "the target does not answer")
	}
	return nil
}

// Drain implements process.Role. Requests that wait for a model fail immediately, because
// another target can load it.
func (s *Steward) Drain(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.keeper.FailAll("the agent shuts down"))
	return nil
}

// Close implements process.Role.
func (s *Steward) Close() error {
	s.stop()
	s.stopped.Wait()
	return nil
}

func (s *Steward) nudge() { nudge(s.wake) }

func nudge(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// keep reads the target's report and gives orders until the context ends.
func (s *Steward) keep(ctx context.Context) {
	for ctx.Err() == nil {
		s.configure()
		s.look(ctx)
		for s.order(ctx) {
		}
		timer := time.NewTimer(s.pace())
		select {
		case <-ctx.Done():
		case <-s.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (s *Steward) pace() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keeper.Waiting() > 0 || s.keeper.Loading() != "" {
		return reportBusy
	}
	return reportIdle
}

// configure passes the models of a newer deployment to the keeper, and follows evacuations.
func (s *Steward) configure() {
	snapshot := s.config.Source.Current()
	if snapshot == nil || snapshot.Routes == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.followEvacuation(snapshot)
	if s.version == snapshot.Routes.Version {
		return
	}
	s.version = snapshot.Routes.Version
	if service := snapshot.Routes.Service(s.config.Service); service != nil {
		s.keeper.Configure(engineOf(service))
		s.slots = int(service.GetEngine().GetSlots())
		s.healthPath, s.warmUp = service.HealthPath, service.WarmUp()
	}
}

func engineOf(service *deployment.Service) residency.TargetConfig {
	e := residency.TargetConfig{
		CapacityMb: service.GetEngine().GetWeightsMb(), AdapterSlots: int(service.GetEngine().GetAdapterPlaces()),
		Models: map[string]residency.Model{},
	}
	for name, m := range service.Models {
		e.Models[name] = residency.Model{
			WeightsMb: m.WeightsMb, AdapterMb: m.AdapterMb,
			StoreLoadTime: seconds(m.LoadS), DiskLoadTime: seconds(m.DiskS), MemoryLoadTime: seconds(m.WarmS),
		}
	}
	return e
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// look reads the target's report.
func (s *Steward) look(ctx context.Context) {
	if !s.canIdentify() {
		return // the target cannot be identified yet
	}
	if s.refuseDuringBackoff() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := s.config.Target.Report(ctx)
	if err == nil {
		err = s.identify(ctx, r)
	}
	if s.recordBackoff(err) {
		return
	}
	now := s.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.missed(err)
		return
	}
	if s.failures >= deadAfter {
		s.config.Events.DependencyRegained("target", 0)
	}
	if s.report == nil {
		nudge(s.seen)
	}
	s.failures, s.report = 0, r
	s.prompts.observe(s.start(), r.Runs, now)
	loading := s.keeper.Loading()
	s.deliver(s.keeper.Observe(s.observed(r), now))
	s.deliver(s.keeper.Tick(now))
	if r.Draining {
		s.deliver(s.keeper.FailAll("the target is leaving"))
	}
	if s.evacuated {
		s.deliver(s.keeper.FailAll("the target's failure domain is evacuated"))
	}
	if loading != "" && s.keeper.Loading() == "" && s.permit.used {
		ended := s.permit.model
		s.permit = permit{}
		go s.permitDone(ended)
	}
}

// canIdentify reports whether the path of the target's health check is known.
func (s *Steward) canIdentify() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.healthPath != ""
}

// known reports whether the target is known to be reachable or not. An agent that has just
// started must not report its target as unreachable, because control would take it out of
// service.
func (s *Steward) known() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report != nil || s.failures >= deadAfter
}

// identify reads the target's id and warm-up once after each of its starts, because a health
// check uses a slot and is billed.
func (s *Steward) identify(ctx context.Context, r *platform.Report) error {
	s.mu.Lock()
	known := s.instance != "" && s.born == r.StartedUnixMs && r.Sequence >= s.orders
	s.orders = r.Sequence
	s.mu.Unlock()
	if known {
		return nil
	}
	s.mu.Lock()
	path := s.healthPath
	s.mu.Unlock()
	asked := s.config.Now()
	target, err := s.config.Target.Identify(ctx, path)
	if err != nil {
		return err
	}
	id := target.Instance
	s.mu.Lock()
	defer s.mu.Unlock()
	s.warmUntil = time.Time{}
	if target.WarmupRemaining > 0 {
		s.warmUntil = asked.Add(target.WarmupRemaining)
	}
	if id != s.lastID || s.born != r.StartedUnixMs || r.Sequence == 0 {
		s.starts++
	}
	s.instance, s.lastID, s.born = id, id, r.StartedUnixMs
	s.sendTimes.Retain(func(instance string) bool { return instance == id })
	return nil
}

// start returns an id of the target's current start. Some targets keep their instance id over a
// restart.
func (s *Steward) start() string { return s.lastID + "#" + strconv.Itoa(s.starts) }

// missed records a failed report. The caller holds mu.
func (s *Steward) missed(err error) {
	s.failures++
	s.instance = "" // it may restart under another id
	if s.failures != deadAfter {
		return
	}
	s.report = nil
	s.config.Events.DependencyLost("target", err)
	s.deliver(s.keeper.FailAll("the target does not answer"))
	s.nudge()
}

func (s *Steward) observed(r *platform.Report) residency.Report {
	out := residency.Report{
		Instance: s.instance, StartID: s.start(), StartedUnixMs: r.StartedUnixMs,
		Busy: r.Busy, Sequence: r.Sequence, Models: map[string][]string{},
		LoadingAdapters: map[string][]string{}, InMemory: r.InMemory, OnDisk: r.OnDisk,
		Saturated: targetstatus.Saturated(r.Running, r.Queued, s.slots),
	}
	for _, m := range r.Models {
		out.Models[m.Name] = m.Adapters
	}
	for _, c := range r.LoadingAdapters {
		out.LoadingAdapters[c.Model] = append(out.LoadingAdapters[c.Model], c.Adapter)
	}
	return out
}

// deliver passes results to the requests that wait for them. The caller holds mu.
func (s *Steward) deliver(list []residency.WaitResult) {
	for _, v := range list {
		if waiting, ok := s.waiting[v.ID]; ok {
			delete(s.waiting, v.ID)
			waiting <- v
		}
	}
}

// standing returns the target's status for control.
func (s *Steward) standing() *rpc.Standing {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &rpc.Standing{
		Service: s.config.Service, Address: s.config.Target.Address, Agent: s.config.Internal,
		FailureDomain: s.config.Caller.GetFailureDomain(),
	}
	if s.report == nil {
		return out
	}
	r := s.report
	out.Instance, out.BornUnixMs, out.Draining = s.instance, r.StartedUnixMs, r.Draining
	out.Running, out.Queued = uint32(r.Running), uint32(r.Queued)
	out.Loading, out.Awaited = s.keeper.Loading(), s.keeper.Awaited()
	out.LoadWaitMs = uint32(s.keeper.LoadWait(s.config.Now()).Round(loadWaitStep).Milliseconds())
	out.AtHand = append(append([]string{}, r.InMemory...), r.OnDisk...)
	for _, m := range r.Models {
		out.Models = append(out.Models, &rpc.HeldModel{Name: m.Name, Adapters: m.Adapters})
	}
	out.Slots = uint32(s.slots)
	out.WarmUpMs = uint32(s.warmUpRemaining(s.config.Now()).Milliseconds())
	out.RateLimit = s.recentRateLimit(s.config.Now())
	out.PromptTokensPerS = s.prompts.perSecond(s.config.Now())
	return out
}
