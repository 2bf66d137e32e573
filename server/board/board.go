package board

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/copies"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/ratelimit"
	"cowsliptiller/coord/residency"
	"cowsliptiller/coord/streams"
	"cowsliptiller/coord/targetspeed"
	"cowsliptiller/coord/targetstatus"
	"cowsliptiller/server/rpc"
)

// Intervals and limits of the board.
const (
	// listInterval is the interval between reads of the platform's list. The list lags by up
	// to a second; at two reads a second the interval adds less than that.
	listInterval = 500 * time.Millisecond
	// listTimeout limits one read of the whole list: 200 pages at ten a second.
	listTimeout = 20 * time.Second
	// longestWatch limits how long a poll is held, so that a dead connection is detected.
	longestWatch = time.Second
	// domainInterval is the interval between reads of the evacuations. Entry hosts and agents
	// follow them by their own views; here they only decide which copies count.
	domainInterval = 250 * time.Millisecond
	// useInterval is the interval at which the demand is summed for the agents.
	useInterval = 500 * time.Millisecond
	// blankVersion is the version of an empty table.
	blankVersion = 1
	// watcherLife is how long an entry host is counted after its last poll.
	watcherLife = 3 * time.Second
)

// Config holds a board's dependencies.
type Config struct {
	// Leading returns the current term and whether this process leads and holds the leader's
	// lease.
	Leading func() (term uint64, leading bool)
	// List reads the platform's list of targets.
	List func(ctx context.Context) (list []targetstatus.Status, skipped int, err error)
	// Deployment returns the current deployment, nil before the first.
	Deployment func() *coordpb.Deployment
	// Evacuations returns the failure domains that are evacuated or were.
	Evacuations func() []*coordpb.Evacuation
	// StoreWindow is the window in which loads from the weight store are counted.
	StoreWindow time.Duration
	// Contended reports that callers compete for the room of the targets.
	Contended bool
	Now       func() time.Time
	Log       hclog.Logger
}

// Board implements rpc.Board. While its lock is held, Config.Deployment may take the lock of the
// replicated state, and no other lock is taken.
type Board struct {
	config Config

	mu          sync.Mutex
	term        uint64
	table       *targetstatus.Table
	use         *targetstatus.RateMeter
	gate        *residency.LoadLimiter
	changed     chan struct{} // closed at the next change of the table
	demand      *targetstatus.DemandFeed
	demandKnown bool
	summedAt    time.Time // when the demand was last summed
	watchers    map[string]time.Time
	listReads   listReads
	opened      chan struct{}    // signals that a new table lacks the list
	sendTimes   *ratelimit.Owner // of targets without an agent
	domains     domains
	speeds      *targetspeed.Table     // that targets announce to entry hosts
	speedLog    map[string]loggedSpeed // by instance
	versions    streams.Evidence       // of the targets that the table has had in this term

	copyPlan      *copies.Plan
	severalWanted []plannedCopies   // as of the last sum of the demand; replaced, not changed
	fleet         fleetView         // as of the last update of the plan
	agents        map[string]string // instance of the target, by host of its agent
}

// New returns a board. Run must be called to read the list.
func New(c Config) *Board {
	return &Board{config: c, changed: make(chan struct{}), opened: make(chan struct{}, 1)}
}

// Run reads the platform's list periodically while this process leads, and immediately when it
// becomes the leader.
func (b *Board) Run(ctx context.Context) {
	var workers sync.WaitGroup
	defer workers.Wait()
	workers.Go(func() { b.followDomains(ctx) })
	workers.Go(func() { b.followVersions(ctx) })
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		if _, err := b.lead(); err == nil {
			b.readList(ctx)
			b.expireSpeeds()
		}
		select {
		case <-ctx.Done():
			return
		case <-b.opened:
		case <-ticker.C:
		}
	}
}

// lead creates the tables of a new term and returns the term. Errors: fault.NotLeader.
func (b *Board) lead() (uint64, error) {
	term, leading := b.config.Leading()
	if !leading {
		return 0, fault.New(fault.NotLeader, "this process does not lead")
	}
	now := b.config.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.table == nil || b.term != term {
		b.term, b.table, b.use = term, targetstatus.NewTable(blankVersion), targetstatus.NewRateMeter(now)
		b.gate = residency.NewLoadLimiter(b.loadsPerSecond(), b.config.StoreWindow, now)
		b.watchers, b.demand, b.summedAt = map[string]time.Time{}, targetstatus.NewDemandFeed(), time.Time{}
		b.demandKnown, b.sendTimes = false, ratelimit.NewOwner(now)
		b.speeds, b.speedLog = targetspeed.NewTable(), map[string]loggedSpeed{}
		b.config.Log.Info("board opened", "term", term)
		b.domains = domains{}
		b.versions = streams.NewEvidence(now)
		b.copyPlan, b.severalWanted, b.agents = copies.NewPlan(now), nil, map[string]string{}
		b.wantList()
	}
	return term, nil
}

// wantList requests a read of the list, unless one is already requested.
func (b *Board) wantList() {
	select {
	case b.opened <- struct{}{}:
	default:
	}
}

// change runs f and completes pending polls if the table changed. The caller holds mu.
func (b *Board) change(f func()) {
	before := b.table.Version()
	f()
	if b.table.Version() != before {
		close(b.changed)
		b.changed = make(chan struct{})
	}
	for _, c := range b.table.TakeReachabilityChanges() {
		if c.Unreachable {
			b.config.Log.Info("target reported unreachable", "target", c.Instance)
		} else {
			b.config.Log.Info("target reported reachable", "target", c.Instance)
		}
	}
}

// Report implements rpc.Board.
func (b *Board) Report(_ context.Context, r *rpc.StandingReport) (*rpc.StandingReportResponse, error) {
	if _, err := b.lead(); err != nil {
		return nil, rpc.ToTwirp(err)
	}
	if r.GetStanding() == nil {
		return nil, rpc.ToTwirp(fault.New(fault.InvalidRequest, "a report without a standing"))
	}
	now := b.config.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	s := FromRPC(r.Standing, now)
	b.agents[r.GetCaller().GetHost()] = s.Instance
	if !b.planned() {
		s.PromptTokensPerSecond = 0 // no host uses it; each change would be sent to all
	}
	b.change(func() { b.table.Report(s, s.Instance != "", now) })
	b.observeTarget(s.Instance, now)
	return b.demandFor(r, now), nil
}

// Watch implements rpc.Board.
func (b *Board) Watch(ctx context.Context, r *rpc.WatchRequest) (*rpc.WatchResponse, error) {
	if _, err := b.lead(); err != nil {
		return nil, rpc.ToTwirp(err)
	}
	b.takeReports(r)
	timeout := time.After(min(longestWatch, time.Duration(r.WaitMs)*time.Millisecond))
	for {
		resp, changed := b.answer(r)
		if resp != nil {
			return resp, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return b.whatever(r), nil
		case <-ctx.Done():
			return nil, rpc.ToTwirp(ctx.Err())
		}
	}
}

// takeReports records what an entry host reports with its poll.
func (b *Board) takeReports(r *rpc.WatchRequest) {
	now := b.config.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.watchers[r.GetCaller().GetHost()] = now
	for _, u := range r.Use {
		b.use.Add(u.Model, u.ValuePerS, now)
	}
	b.recordWork(r.Use, now)
	b.change(func() { b.table.ReportFailedProbes(r.GetCaller().GetHost(), r.Unreachable, now) })
	b.takeSpeeds(r.Speeds)
}

// answer returns the response to a poll, or nil and a channel that is closed at the next change
// if nothing has changed since the caller's version.
func (b *Board) answer(r *rpc.WatchRequest) (*rpc.WatchResponse, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.Epoch == b.term && r.Since == b.table.Version() || b.blank() {
		return nil, b.changed
	}
	return b.response(r), nil
}

// blank reports whether the table is empty and incomplete. A poll that is answered with an empty
// table would be repeated only after the poll interval. The caller holds mu.
func (b *Board) blank() bool {
	return b.table.Version() == blankVersion && b.filling(b.config.Now())
}

// filling reports whether the table is incomplete. The caller holds mu.
func (b *Board) filling(now time.Time) bool {
	return targetstatus.Incomplete(b.table, b.use, b.runsModels, now)
}

func (b *Board) runsModels(service string) bool {
	return b.service(service).GetEngine() != nil
}

func (b *Board) whatever(r *rpc.WatchRequest) *rpc.WatchResponse {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.change(func() { b.table.Expire(b.config.Now()) })
	return b.response(r)
}

// response returns the changes since a poll's version. The caller holds mu.
func (b *Board) response(r *rpc.WatchRequest) *rpc.WatchResponse {
	since := r.Since
	if r.Epoch != b.term {
		since = 0
	}
	now := b.config.Now()
	changed, gone, whole := b.table.Since(since)
	resp := &rpc.WatchResponse{
		Version: b.table.Version(), Gone: gone, Whole: whole, Epoch: b.term,
		ListAgeMs:  uint32(min(now.Sub(b.table.ListedAt()), time.Hour).Milliseconds()),
		EntryHosts: b.entryHosts(now), Filling: b.filling(now),
	}
	for _, s := range changed {
		if !whole && s.DescribedBy(since) {
			resp.Loads = append(resp.Loads, loadToRPC(s))
			continue
		}
		resp.Standings = append(resp.Standings, ToRPC(s, now))
	}
	return resp
}

func (b *Board) entryHosts(now time.Time) uint32 {
	n := uint32(0)
	for host, at := range b.watchers {
		if now.Sub(at) > watcherLife {
			delete(b.watchers, host)
			continue
		}
		n++
	}
	return n
}

// demandFor returns the reply to an agent's report: the demand that has changed since its last
// report. The caller holds mu.
func (b *Board) demandFor(r *rpc.StandingReport, now time.Time) *rpc.StandingReportResponse {
	if !b.sumDemand(now) {
		return &rpc.StandingReportResponse{}
	}
	since := r.UseVersion
	if r.UseEpoch != b.term {
		since = 0
	}
	changed, whole := b.demand.Since(since, now)
	resp := &rpc.StandingReportResponse{UseKnown: true, UseWhole: whole, UseVersion: b.demand.Version(), UseEpoch: b.term}
	for _, d := range changed {
		resp.Use = append(resp.Use, demandToRPC(d))
	}
	return resp
}

// sumDemand publishes the demand once in useInterval and reports whether it is known. The caller
// holds mu.
func (b *Board) sumDemand(now time.Time) bool {
	if now.Sub(b.summedAt) < useInterval {
		return b.demandKnown
	}
	var sum []targetstatus.Demand
	sum, b.demandKnown = targetstatus.SumDemand(b.table, b.use, now)
	if b.demandKnown {
		b.planCopies(sum, now)
		b.demand.Publish(sum, now)
	}
	b.summedAt = now
	return b.demandKnown
}

// Permit implements rpc.Board.
func (b *Board) Permit(_ context.Context, r *rpc.PermitRequest) (*rpc.PermitResponse, error) {
	if _, err := b.lead(); err != nil {
		return nil, rpc.ToTwirp(err)
	}
	now := b.config.Now()
	host := r.GetCaller().GetHost()
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.Done {
		b.gate.Release(host, r.Model, now)
		return &rpc.PermitResponse{}, nil
	}
	b.gate.Configure(b.loadsPerSecond(), b.config.StoreWindow)
	load := residency.LoadRequest{Model: r.Model, FromStore: r.Store, AddsCopy: r.Grow, Copies: b.copies(r.Model), LocalCopies: b.table.IdleWithCopy(r.Model), UncontendedTime: b.usual(r.Model)}
	load = b.withPlan(load, host)
	granted, again := b.gate.TryAcquire(host, load, now)
	if granted {
		b.config.Log.Info("load_permitted", "host", host, "model", r.Model, "store", r.Store, "grow", r.Grow, "copies", load.Copies, "wanted", load.Wanted)
	}
	return &rpc.PermitResponse{Granted: granted, RetryAfterMs: uint32(again.Milliseconds())}, nil
}

// service returns a service of the deployment in force, nil if it has none of that name.
func (b *Board) service(name string) *coordpb.DeploymentService {
	for _, s := range b.config.Deployment().GetServices() {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// loadsPerSecond returns the lowest limit of all services, which share one store.
func (b *Board) loadsPerSecond() float64 {
	least := 0.0
	for _, s := range b.config.Deployment().GetServices() {
		if n := s.GetEngine().GetLoadsPerSecond(); n > 0 && (least == 0 || n < least) {
			least = n
		}
	}
	return least
}

// copies returns the number of targets that hold a model, are reachable and not draining. The
// caller holds mu.
func (b *Board) copies(model string) int {
	n := 0
	for _, s := range b.table.All() {
		for _, m := range s.Models {
			if m.Name == model && !s.Draining && !s.Unreachable {
				n++
			}
		}
	}
	return n
}

// usual returns how long the load of a model from the weight store takes without other loads.
func (b *Board) usual(model string) time.Duration {
	for _, s := range b.config.Deployment().GetServices() {
		for _, m := range s.GetEngine().GetModels() {
			if m.Name == model {
				return time.Duration(m.LoadS * float64(time.Second))
			}
		}
	}
	return 0
}
