package gateway

import (
	"math/rand/v2"
	"time"

	"cowsliptiller/coord/request"
	"cowsliptiller/coord/routing"
	"cowsliptiller/coord/targetstatus"
)

// waiting is what this host knows for estimates of the wait at targets by rank; see request.RankedQueue.
// targets.mu guards it.
type waiting struct {
	history *request.RankHistory
	serving map[string][]routing.Replica // copies by demandName; not changed
	random  *rand.Rand
	source  *rand.PCG // of random; see preview
}

func newWaiting() waiting {
	source := rand.NewPCG(rand.Uint64(), rand.Uint64())
	return waiting{history: request.NewRankHistory(), random: rand.New(source), source: source}
}

// demandName is the name under which requests for a model of a service, or for a service without models, are
// counted. It is that of the model's copies in the router's view.
func demandName(service, model string) string {
	if model == "" {
		return routing.ServiceName(service)
	}
	return service + ":" + model
}

// demandName is the name under which the call is counted.
func (c *call) demandName() string {
	if c.needsModel() {
		return demandName(c.service.Name, c.Model)
	}
	return demandName(c.service.Name, "")
}

// rankedWait is how long a request of a rank that goes to a target now is expected to be queued there. The
// caller holds mu.
func (t *targets) rankedWait(s *targetstatus.Status, rank int, now time.Time) time.Duration {
	q := t.backlog.Ranked(s.Instance, s.Service, s.Running, s.Queued, s.Slots, t.speedFactor(s.Instance))
	if !q.Full {
		return 0
	}
	t.addArrivals(&q, s, now)
	t.waiting.history.SetWaiting(&q, s.Instance)
	return q.Wait(rank)
}

// addArrivals adds the requests for all that a target holds. The caller holds mu.
func (t *targets) addArrivals(q *request.RankedQueue, s *targetstatus.Status, now time.Time) {
	if len(s.Models) == 0 {
		t.addArrivalsOf(q, demandName(s.Service, ""), now)
	}
	for _, m := range s.Models {
		t.addArrivalsOf(q, demandName(s.Service, m.Name), now)
	}
}

func (t *targets) addArrivalsOf(q *request.RankedQueue, name string, now time.Time) {
	c := request.Copies{Model: name, Number: len(t.waiting.serving[name]), Hosts: t.hosts}
	t.waiting.history.AddArrivals(q, c, now)
}

// shortestWait returns the target that can take p's call with the shortest wait at its rank. The caller holds mu.
func (t *targets) shortestWait(p destination, now time.Time) (string, bool) {
	return t.router.PickShortest(p.query, now, func(instance string) time.Duration {
		s := t.table.Get(instance)
		if s == nil {
			return request.UnboundedWait
		}
		return t.rankedWait(s, p.rank, now)
	})
}

// recordOffered counts a caller's request, if waits at its service are estimated by rank.
func (t *targets) recordOffered(c *call) {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.contended(c.service.Name) {
		return
	}
	t.waiting.history.RecordOffered(c.demandName(), c.rank(), now)
}

// recordResponded records that an attempt no longer waits at its target.
func (t *targets) recordResponded(r request.SentRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting.history.RecordResponded(r)
}

// ranksWaits reports whether the waits at a service's targets are estimated by rank.
func (t *targets) ranksWaits(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.contended(service)
}

// furtherCopy returns the first further copy of a call's model that is loading at a target that may run the call.
func (t *targets) furtherCopy(c *call) (first request.CopyLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.table.All() {
		if s.Service != c.service.Name || s.Loading != c.Model || s.Draining || !c.allows(s.FailureDomain) {
			continue
		}
		if !first.Loading || s.LoadWait < first.Ready {
			first = request.CopyLoad{Loading: true, Ready: s.LoadWait}
		}
	}
	return first
}

// spreadRetry returns the time after which a call that was refused because of a queue by rank may return.
func (t *targets) spreadRetry(wait, most time.Duration, further request.CopyLoad) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return request.RankRetryAfter(wait, most, further, t.waiting.random)
}

// retryDeadlineShare of a call's time is the longest time after which it may return: callers that are told a longer
// one give up, or have no time left then.
const retryDeadlineShare = 1.0 / 3

// queueRetryAfter returns the time after which the call may return if it is refused because of a queue.
func (t *retryState) queueRetryAfter(wait time.Duration) time.Duration {
	g, c := t.gateway, t.call
	if !g.targets.ranksWaits(c.service.Name) {
		return request.QueueRetryAfter(wait)
	}
	most := request.MaxQueueWait(0, time.Duration(c.route.LatencyMs)*time.Millisecond, c.waitLimit())
	after := g.targets.spreadRetry(wait, most, g.targets.furtherCopy(c))
	return min(after, time.Duration(retryDeadlineShare*float64(c.deadline.Sub(c.start))))
}

// noteEstimate returns the call's target with the estimated wait there, if waits are estimated by rank.
func (t *retryState) noteEstimate(p destination, wait time.Duration) destination {
	if t.gateway.targets.ranksWaits(t.call.service.Name) {
		t.call.record.EstimatedWait = wait
		p.estimated, p.estimatedWait = true, wait
	}
	return p
}

// endWait records that an attempt no longer waits at its target.
func (t *retryState) endWait(a *attempt) {
	if a.waitEnded {
		return
	}
	a.waitEnded = true
	t.gateway.targets.recordResponded(a.sent)
}

// observeWait records that an attempt's answer has begun to arrive, and counts its wait.
func (t *retryState) observeWait(a *attempt) {
	if a.waitEnded {
		return
	}
	t.endWait(a)
	if a.target.estimated {
		t.gateway.config.Metrics.waited(a.target.rank, a.target.estimatedWait, t.gateway.config.Now().Sub(a.began))
	}
}
