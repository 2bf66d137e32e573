package gateway

import (
	"context"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/ratelimit"
	"cowsliptiller/coord/reachability"
	"cowsliptiller/coord/request"
	"cowsliptiller/coord/routing"
	"cowsliptiller/coord/streams"
	"cowsliptiller/coord/targetspeed"
	"cowsliptiller/coord/targetstatus"
	"cowsliptiller/coord/warmup"
	"cowsliptiller/platform"
	"cowsliptiller/server/board"
	"cowsliptiller/server/events"
	"cowsliptiller/server/rpc"
)

// Timing of the polls of the board.
const (
	boardPollWait    = time.Second
	boardPollTimeout = 2 * time.Second
	// boardRetryDelay is the wait after a failed poll, while a new leader is found.
	boardRetryDelay = 100 * time.Millisecond
	// incompletePollFactor is how many times as often an incomplete board is polled: callers wait.
	incompletePollFactor = 4
)

// targets is this host's table of all targets, with the router over it.
type targets struct {
	config Config
	events *events.Log

	mu          *sync.Mutex // guards everything below; a pointer because preview copies the struct
	router      *routing.Router
	table       *targetstatus.TableCache
	epoch       uint64
	version     uint64
	hosts       int
	updatedAt   time.Time          // of the board's newest answer
	startedAt   time.Time          // when polling began
	changed     chan struct{}      // closed at the board's next answer
	modelDemand map[string]float64 // value requested since the last poll, by model
	boardLostAt time.Time          // since when the board has not answered; zero if it answers
	backlog     *request.Backlog   // estimates queue waits at targets
	work        *offeredWork       // of callers, by model
	prompts     promptState
	evacuated   map[string]bool      // failure domains whose targets get no calls
	rateLimits  *ratelimit.Table     // that targets announce
	versions    streams.Evidence     // of software
	single      map[string]bool      // services with one version: see singleVersions; replaced, not changed
	speeds      *targetspeed.Factors // lasting speeds that the leader publishes
	outputTimes *request.OutputTimes
	samples     *targetspeed.Samples // of speeds that targets announced to this host
	warmUps     map[string]time.Time // end of the warm-up of targets, by instance, where it is known before the table has it
	waiting     waiting              // estimates queue waits at targets by rank

	reachability *reachability.Detector
	watchers     map[string]map[watcher]bool // of attempts, by instance
}

func newTargets(c Config) *targets {
	return &targets{
		config: c, events: c.Events, mu: &sync.Mutex{},
		router: routing.New(c.Caller.GetFailureDomain(), routing.DefaultSettings(), rand.NewPCG(rand.Uint64(), rand.Uint64())),
		table:  targetstatus.NewTableCache(), modelDemand: map[string]float64{}, hosts: 1, startedAt: c.Now(), changed: make(chan struct{}),
		versions: streams.NewEvidence(c.Now()),
		speeds:   targetspeed.NewFactors(), outputTimes: request.NewOutputTimes(), samples: targetspeed.NewSamples(),
		backlog: request.NewBacklog(), work: newOfferedWork(), prompts: newPromptState(), rateLimits: ratelimit.NewTable(),
		warmUps: map[string]time.Time{}, waiting: newWaiting(),
		reachability: reachability.NewDetector(), watchers: map[string]map[watcher]bool{},
	}
}

// watch polls the board.
func (t *targets) watch(ctx context.Context) {
	for ctx.Err() == nil {
		wait := targetstatus.PollInterval(t.entryHosts())
		var renewed <-chan struct{}
		if err := t.poll(ctx); err != nil {
			t.recordBoardLost(err)
			wait, renewed = boardRetryDelay, t.config.Source.Renewed()
		} else if _, changed := t.incomplete(); changed != nil {
			wait /= incompletePollFactor
		}
		select {
		case <-ctx.Done():
		case <-renewed: // control answered, so the leader may be known
		case <-time.After(wait):
		}
	}
}

func (t *targets) recordBoardLost(err error) {
	t.mu.Lock()
	first := t.boardLostAt.IsZero()
	if first {
		t.boardLostAt = t.config.Now()
	}
	t.mu.Unlock()
	if first {
		t.events.DependencyLost("board", err)
	}
}

func (t *targets) poll(ctx context.Context) error {
	b := t.config.Board()
	if b == nil {
		t.speedsLost(nil)
		return errNoBoard
	}
	ctx, cancel := context.WithTimeout(ctx, boardPollTimeout)
	defer cancel()
	r, askedAt := t.request(), t.config.Now()
	resp, err := b.Watch(ctx, r)
	if err != nil {
		t.speedsLost(r.Speeds)
		return rpc.FromTwirp(err)
	}
	t.apply(resp, askedAt)
	t.leaveUnreachable()
	return nil
}

func (t *targets) request() *rpc.WatchRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &rpc.WatchRequest{Caller: t.config.Caller, Since: t.version, Epoch: t.epoch, WaitMs: uint32(boardPollWait.Milliseconds())}
	for _, model := range slices.Sorted(maps.Keys(t.modelDemand)) {
		w := t.work.take(model)
		r.Use = append(r.Use, &rpc.ModelUse{Model: model, ValuePerS: t.modelDemand[model], SlotS: w.SlotSeconds, PromptS: w.PromptSeconds})
	}
	clear(t.modelDemand)
	r.Speeds = board.SpeedsToRPC(t.samples.Take())
	t.addFailedProbes(r)
	return r
}

// recordDemand adds a request to the demand for a model.
func (t *targets) recordDemand(model string, value float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.modelDemand[model] += value
}

// apply takes over the response to a poll that began at askedAt.
func (t *targets) apply(r *rpc.WatchResponse, askedAt time.Time) {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.boardLostAt.IsZero() {
		t.events.DependencyRegained("board", now.Sub(t.boardLostAt))
		t.boardLostAt = time.Time{}
	}
	age := time.Duration(r.ListAgeMs) * time.Millisecond
	u := toUpdate(r, now)
	for _, s := range u.Changed {
		if !s.RateLimit.At.IsZero() {
			t.recordRateLimit(s.Instance, s.RateLimit)
		}
	}
	for _, c := range t.table.Apply(u) {
		s := c.Status
		t.events.TargetChanged(s, c.Removed, age)
	}
	t.followSpeeds(r.Epoch, u, now)
	close(t.changed)
	t.changed = make(chan struct{})
	t.epoch, t.version, t.hosts, t.updatedAt = r.Epoch, r.Version, max(1, int(r.EntryHosts)), now
	if t.table.NeedsFullSync(u) {
		t.version = 0
	}
	t.rateLimits.Retain(func(instance string) bool { return t.table.Get(instance) != nil })
	t.config.Metrics.targetsLimited(t.rateLimits.Limited())
	t.observeVersions(!u.Incomplete, askedAt, now)
	t.updateRouter(now)
	t.showPromptShares()
	t.followReachability(now)
}

func toUpdate(r *rpc.WatchResponse, now time.Time) targetstatus.Update {
	u := targetstatus.Update{Removed: r.Gone, Whole: r.Whole, Incomplete: r.Filling}
	for _, m := range r.Standings {
		u.Changed = append(u.Changed, board.FromRPC(m, now))
	}
	for _, l := range r.Loads {
		u.Loads = append(u.Loads, board.LoadFromRPC(l))
	}
	return u
}

// updateRouter passes the table to the router. The caller holds mu.
func (t *targets) updateRouter(now time.Time) {
	v := routing.View{Targets: map[string]routing.TargetView{}, Serving: map[string][]routing.Replica{}}
	for id, s := range t.table.All() {
		v.Targets[id] = routing.TargetView{
			FailureDomain: s.FailureDomain, Concurrency: s.Slots, Incarnation: id, Leaving: s.Draining || t.evacuated[s.FailureDomain],
			StartedUnixMs: s.StartedUnixMs, SoftwareVersion: t.softwareVersion(s, now),
		}
		service := routing.ServiceName(s.Service)
		v.Serving[service] = append(v.Serving[service], routing.Replica{Target: id, Version: s.Version})
		for _, m := range s.Models {
			t.addReplica(v, s, m.Name)
			for _, a := range m.Adapters {
				t.addReplica(v, s, m.Name+"/"+a)
			}
		}
	}
	t.router.SetView(v, now)
	t.setRouterSpeeds(now)
	t.backlog.ResetStarts()
	t.waiting.serving = v.Serving
	t.waiting.history.RecordReports()
	for id, s := range t.table.All() {
		if s.Reported {
			t.router.Reported(id, routing.LoadReport{Running: s.Running, Queued: s.Queued, Limit: s.Slots}, now)
		}
	}
}

func (t *targets) addReplica(v routing.View, s *targetstatus.Status, name string) {
	key := s.Service + ":" + name
	v.Serving[key] = append(v.Serving[key], routing.Replica{Target: s.Instance, Version: s.Version})
}

// destination is a target to send a call to.
type destination struct {
	targetstatus.Status
	query  routing.Request
	window warmup.Window // when the call may be sent; zero: at any time
	prompt *sentPrompt   // nil: the call is not placed by its prompt, or not placed yet
	rank   int           // of the call
	demand string        // see call.demandName
	// reservation is the id of a reservation at the target; empty: none.
	reservation string

	estimated     bool // estimatedWait is set
	estimatedWait time.Duration
}

// pick chooses among the targets that hold what a call needs, first among those without a rate
// limit that are not suspected to be unreachable. Where none holds the adapter, one that holds its
// model is returned with held false.
func (t *targets) pick(c *call, exclude []string) (p destination, held, ok bool) {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if avoid := append(t.rateLimits.Avoid(now), t.reachability.Suspected(now)...); len(avoid) > 0 {
		if p, held, ok := t.pickFrom(c, append(avoid, exclude...), now); ok {
			return p, held, true
		}
	}
	return t.pickFrom(c, exclude, now)
}

// pickFrom is pick without a preference among the targets that accept requests. The caller holds
// mu.
func (t *targets) pickFrom(c *call, exclude []string, now time.Time) (p destination, held, ok bool) {
	q, ok := t.routingRequest(c, now)
	if !ok {
		return destination{}, false, false
	}
	q.Exclude = exclude
	names := []string{c.routingName()}
	if c.needsModel() && c.Adapter != "" {
		names = append(names, c.service.Name+":"+c.Model)
	}
	for i, name := range names {
		q.Name = name
		q.Adapter = ""
		if c.needsModel() && i == 1 {
			q.Adapter, q.PrefixHash = c.Adapter, 0
		}
		if id, found := t.router.Pick(q, now); found && t.table.Get(id) != nil {
			return destination{Status: *t.table.Get(id), query: q, rank: c.rank(), demand: c.demandName()}, i == 0, true
		}
	}
	return destination{}, false, false
}

// leastLoaded returns the target with the shortest wait that can take p's call.
func (t *targets) leastLoaded(p destination) destination {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.config.Now()
	pick := t.router.PickLeastLoaded
	if t.contended(p.Service) {
		pick = func(routing.Request, time.Time) (string, bool) { return t.shortestWait(p, now) }
	}
	id, found := pick(p.query, now)
	if !found || t.table.Get(id) == nil {
		return p
	}
	p.Status = *t.table.Get(id)
	return p
}

// prefixHash hashes the prompt prefix that a session's requests share: targets cache
// it.
func prefixHash(c *call) uint64 {
	if len(c.Prefix) == 0 {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.Prefix[len(c.Prefix)-1].ID))
	return h.Sum64()
}

// loadCandidates returns the targets that may load a call's model, those without a rate limit
// first, and of these the one that could hold it earliest.
func (t *targets) loadCandidates(c *call, exclude []string) []targetstatus.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.config.Now()
	version, ok := t.requiredVersion(c, now)
	if !ok {
		return nil
	}
	limited := t.rateLimits.Avoid(now)
	var list, last []targetstatus.Status
	for _, s := range t.table.All() {
		switch {
		case !t.mayLoad(c, s) || version != "" && version != t.softwareVersion(s, now) || slices.Contains(exclude, s.Instance):
		case slices.Contains(limited, s.Instance):
			last = append(last, t.withSpeed(*s, now))
		default:
			list = append(list, t.withSpeed(*s, now))
		}
	}
	times := loadTimes(c)
	times.MeanRun = t.backlog.MeanRun(c.service.Name)
	return append(targetstatus.RankForLoad(list, times), targetstatus.RankForLoad(last, times)...)
}

// mayLoad reports whether a target may load a call's model. The caller holds mu.
func (t *targets) mayLoad(c *call, s *targetstatus.Status) bool {
	if s.Service != c.service.Name || !s.Reported || s.Agent == "" {
		return false
	}
	return t.router.AcceptsRequests(s.Instance, t.config.Now()) && c.allows(s.FailureDomain)
}

func (t *targets) recordStart(p destination) request.SentRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.router.Started(p.Instance, p.query, t.config.Now())
	t.reachability.Started(p.Instance, t.config.Now())
	t.backlog.RecordStart(p.Instance)
	if !t.contended(p.Service) {
		return request.SentRequest{}
	}
	return t.waiting.history.RecordSent(p.demand, p.Instance, p.rank, t.config.Now())
}

func (t *targets) recordFinish(p destination, o routing.Outcome, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.router.Finished(p.Instance, p.query, o, took, t.config.Now())
	t.reachability.Finished(p.Instance)
	t.backlog.RecordEnd(p.Instance)
	t.endPromptLocked(p.prompt)
}

func (t *targets) reportLoad(p destination, l platform.Load) {
	if !l.Known {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.router.Reported(p.Instance, routing.LoadReport{Running: l.Running, Queued: l.Queued, Limit: l.Slots}, t.config.Now())
}

func (t *targets) entryHosts() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hosts
}

// boardAge is the age of the target table.
func (t *targets) boardAge() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.config.Now().Sub(t.updatedAt)
}

// boardAnswered reports whether the board has ever answered.
func (t *targets) boardAnswered() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.updatedAt.IsZero()
}

// loadedAt returns the destination of a call whose target has just loaded its model.
func (t *targets) loadedAt(c *call, s targetstatus.Status) destination {
	t.mu.Lock()
	defer t.mu.Unlock()
	q, _ := t.routingRequest(c, t.config.Now()) // the target was chosen by the version
	return destination{Status: s, query: q, rank: c.rank(), demand: c.demandName()}
}

// checkAvailable returns an error if a target no longer accepts requests: it may have
// begun to drain while a call waited for its model.
func (t *targets) checkAvailable(instance string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.table.Get(instance) == nil {
		return fault.NewRetryAfter(fault.NoCapacity, loadRetryAfter, "target %s is gone", instance)
	}
	return t.noticeError(instance, t.config.Now())
}

// queueWait is how long a request that goes to a target now is expected to be queued there.
func (t *targets) queueWait(p destination) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.contended(p.Service) {
		return t.rankedWait(&p.Status, p.rank, t.config.Now())
	}
	return t.atSpeed(p.Instance, t.backlog.Wait(p.Instance, p.Service, p.Running, p.Queued, p.Slots))
}

// longestMeanRun is the mean run time of the slowest service at the slowest target.
func (t *targets) longestMeanRun() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(float64(t.backlog.LongestMeanRun()) * t.speeds.Slowest(t.config.Now()))
}

// meanRun is the mean run time of a service at the slowest target; 0: not known.
func (t *targets) meanRun(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(float64(t.backlog.MeanRun(service)) * t.speeds.Slowest(t.config.Now()))
}

// recordRun records how long a call's stream ran at a target, from its first event to its end.
func (t *targets) recordRun(p destination, c *call, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	took = t.atUsualSpeed(p.Instance, took)
	t.backlog.RecordRun(c.service.Name, took)
	t.outputTimes.RecordRun(c.service.Name, c.expectedOutput(), took)
}
