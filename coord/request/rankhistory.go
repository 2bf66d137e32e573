package request

import (
	"maps"
	"math"
	"time"
)

// Ranks is the number of ranks; rank 0 is served first. Larger ranks count as the last one.
const Ranks = 10

// RankCounts holds numbers of requests by rank.
type RankCounts [Ranks]float64

// Total returns the number of requests of all ranks.
func (c RankCounts) Total() float64 { return c.upTo(Ranks - 1) }

// upTo returns the number of requests of a rank and of more urgent ones.
func (c RankCounts) upTo(rank int) float64 {
	sum := 0.0
	for r := 0; r <= min(rank, Ranks-1); r++ {
		sum += c[r]
	}
	return sum
}

// AddScaled returns the counts with those of other, times factor, added.
func (c RankCounts) AddScaled(other RankCounts, factor float64) RankCounts {
	for r := range c {
		c[r] += factor * other[r]
	}
	return c
}

// Time constants with which earlier requests are forgotten.
const (
	// sentTime is for requests that were sent. A host that sends 0.6 to 1.5 of them a second for a model
	// remembers 12 to 30.
	sentTime = 20 * time.Second
	// offeredTime is for requests that callers make. It is short, so that a burst of one rank shows before its
	// queue has grown long.
	offeredTime = 3 * time.Second
	// maxRankedModels bounds the models of which requests are counted: callers may name any.
	maxRankedModels = 4096
	// forgottenAfter is the number of time constants after which a model without requests is dropped.
	forgottenAfter = 5
)

// RankHistory counts the requests of one entry host by rank: those for each model that callers have made and
// that were sent, and those that wait at each target. It is not safe for concurrent use.
type RankHistory struct {
	offered rankRates
	sent    rankRates
	waiting map[string]waitingRanks // by target
	reports uint64                  // number of times that reports have arrived
}

// waitingRanks are the requests that were sent to a target and of whose answer nothing has arrived yet.
type waitingRanks struct {
	queued RankCounts // sent before the latest report
	fresh  RankCounts // sent since
}

// SentRequest identifies a request of a RankHistory that was sent to a target. The zero value is none.
type SentRequest struct {
	target string
	rank   int
	report uint64 // the latest one when the request was sent
}

// NewRankHistory returns an empty history.
func NewRankHistory() *RankHistory {
	return &RankHistory{offered: newRankRates(offeredTime), sent: newRankRates(sentTime), waiting: map[string]waitingRanks{}}
}

// RecordOffered records a caller's request for a model, sent or not.
func (h *RankHistory) RecordOffered(model string, rank int, now time.Time) {
	h.offered.add(model, boundRank(rank), now)
}

// RecordSent records a request for a model that is sent to a target. RecordResponded must follow once.
func (h *RankHistory) RecordSent(model, target string, rank int, now time.Time) SentRequest {
	rank = boundRank(rank)
	h.sent.add(model, rank, now)
	w := h.waiting[target]
	w.fresh[rank]++
	h.waiting[target] = w
	return SentRequest{target, rank, h.reports}
}

// RecordResponded records that a request no longer waits: its answer has begun, or it has ended. The zero value is
// a request that was not recorded.
func (h *RankHistory) RecordResponded(r SentRequest) {
	if r.target == "" {
		return
	}
	w := h.waiting[r.target]
	if r.report == h.reports {
		w.fresh[r.rank]--
	} else {
		w.queued[r.rank]--
	}
	h.waiting[r.target] = w
	if w == (waitingRanks{}) {
		delete(h.waiting, r.target)
	}
}

// RecordReports records that new reports of all targets have arrived.
func (h *RankHistory) RecordReports() {
	h.reports++
	for target, w := range h.waiting {
		h.waiting[target] = waitingRanks{queued: w.queued.AddScaled(w.fresh, 1)}
	}
}

// Copies are the copies of a model among the targets that a fleet of entry hosts uses.
type Copies struct {
	Model  string
	Number int
	Hosts  int // entry hosts, of which each is assumed to have as many requests as this one
}

// AddArrivals completes a target's queue by the requests for a model that it holds.
func (h *RankHistory) AddArrivals(q *RankedQueue, c Copies, now time.Time) {
	factor := float64(max(1, c.Hosts)) / float64(max(1, c.Number))
	sent := h.sent.counts(c.Model, now)
	q.Samples += sent.Total()
	q.Arrivals = q.Arrivals.AddScaled(sent, factor/sentTime.Seconds())
	q.Offered = q.Offered.AddScaled(h.offered.counts(c.Model, now), factor/offeredTime.Seconds())
}

// SetWaiting completes a target's queue by this host's own requests that wait there.
func (h *RankHistory) SetWaiting(q *RankedQueue, target string) {
	w := h.waiting[target]
	q.Own, q.OwnQueued = w.queued.AddScaled(w.fresh, 1), w.queued
}

// rankRates counts requests by model; earlier ones are forgotten with a time constant.
type rankRates struct {
	over  time.Duration // the time constant
	rows  map[string]decayingRanks
	prune time.Time // when models without requests are dropped next
}

// decayingRanks holds counts that decay.
type decayingRanks struct {
	counts RankCounts
	at     time.Time // for which the counts hold
}

func newRankRates(over time.Duration) rankRates {
	return rankRates{over: over, rows: map[string]decayingRanks{}}
}

// add counts a request, unless too many models are counted.
func (r *rankRates) add(model string, rank int, now time.Time) {
	r.dropForgotten(now)
	if _, known := r.rows[model]; !known && len(r.rows) >= maxRankedModels {
		return
	}
	counts := r.counts(model, now)
	counts[rank]++
	r.rows[model] = decayingRanks{counts, now}
}

// counts returns the counts of a model.
func (r *rankRates) counts(model string, now time.Time) RankCounts {
	row := r.rows[model]
	age := max(0, now.Sub(row.at))
	return RankCounts{}.AddScaled(row.counts, math.Exp(-age.Seconds()/r.over.Seconds()))
}

func (r *rankRates) dropForgotten(now time.Time) {
	if now.Before(r.prune) {
		return
	}
	r.prune = now.Add(r.over)
	maps.DeleteFunc(r.rows, func(_ string, row decayingRanks) bool {
		return now.Sub(row.at) > forgottenAfter*r.over
	})
}

func boundRank(rank int) int { return min(max(0, rank), Ranks-1) }
