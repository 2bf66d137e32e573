package request

import (
	"math"
	"math/rand/v2"
	"time"
)

// Load pattern: requests of several ranks share the targets of a model at or above their capacity. Targets
// start queued requests of lower rank number first. One rank comes in bursts beside steady others.
// Without it: an estimate that counts the whole queue refuses requests of rank 0 that would start at once, and
// lets requests of rank 1 wait 500 to 2,200 ms where it says 200 to 450 ms, because later arrivals of rank 0
// overtake them.
// Rule: a request waits for the queued requests of its rank and of more urgent ones, at the rate that more
// urgent arrivals leave over.
//
// Targets do not report ranks, so the ranks of a queue are estimated from two samples of the fleet's requests.
// What callers have offered to this host lately gives the mean queue of each rank: with priority, the queue up
// to a rank is that of a target which gets no other requests. This host's own requests that wait at the target
// are a sample of the queue itself, but a small one.

const (
	// queueTime is the time over which a queue is assumed to have grown under the offered load. It is a few
	// times the usual length of a burst.
	queueTime = 3 * time.Second
	// offeredWeight is the weight of the mean queue in the estimated ranks of a queue, in own requests.
	offeredWeight = 1.0
	// deviations is by how many standard deviations the share of more urgent arrivals is taken larger than
	// the host's own requests say. All hosts estimate it, and those with the lowest estimate fill the queue.
	// With one deviation, of the rate only, 47 % of the queued requests of the least urgent of three ranks
	// were late at 45 requests a second; with two 4 %.
	deviations = 2.0
	// minFreeShare is the least share of the capacity that more urgent arrivals may leave over. Below it the
	// wait is unbounded.
	minFreeShare = 0.02
	// UnboundedWait is the estimated wait where more urgent arrivals take all of a target's capacity.
	UnboundedWait = time.Hour
)

// RankedQueue is the queue of a target as an entry host knows it.
type RankedQueue struct {
	Full    bool          // no slot is free
	Length  int           // requests that are queued, of all ranks
	Running int           // requests that the target runs at once
	MeanRun time.Duration // of a request, at the target's speed; 0: not known
	// Arrivals and Offered are requests per second of the whole fleet at the target, as this host's own
	// requests for what the target holds suggest: those that are sent there, and those that callers make,
	// refused ones included.
	Arrivals RankCounts
	Offered  RankCounts
	Samples  float64 // own requests that Arrivals is derived from
	// Own are this host's requests that wait there. OwnQueued are those of them that were sent before the
	// latest report; the others may not have been queued at all.
	Own       RankCounts
	OwnQueued RankCounts
}

// Wait returns how long a request of a rank that is sent to the target now is expected to be queued, at most
// UnboundedWait. Like Backlog.Wait it leaves out the time until the next run ends, but not the more urgent
// arrivals that get this slot first. Where no requests of this host are known, all of the queue counts.
func (q RankedQueue) Wait(rank int) time.Duration {
	if !q.Full || q.MeanRun <= 0 {
		return 0
	}
	urgent := q.urgentShare(rank)
	if 1-urgent < minFreeShare {
		return UnboundedWait
	}
	seconds := q.perRequest() * (q.ahead(rank) + urgent) / (1 - urgent)
	return min(time.Duration(seconds*float64(time.Second)), UnboundedWait)
}

// perRequest is the mean time between two runs that end, in seconds.
func (q RankedQueue) perRequest() float64 {
	return q.MeanRun.Seconds() / float64(max(1, q.Running))
}

// urgentShare estimates the share of the capacity that arrivals of more urgent ranks take: what their number
// needs, but no more than their share of all arrivals, which take about the capacity of a full target.
func (q RankedQueue) urgentShare(rank int) float64 {
	urgent := q.Arrivals.upTo(rank - 1)
	if urgent == 0 {
		return 0
	}
	// The request itself is one sample, so that a rank which has not been seen for a while is not shut out
	// by a few others.
	samples := q.Samples + 1
	share := urgent / q.Arrivals.Total() * q.Samples / samples
	load := urgent * q.perRequest()
	return min(share+deviations*math.Sqrt(share*(1-share)/samples), load*(1+deviations/math.Sqrt(share*samples)))
}

// ahead estimates how many queued requests start before one of a rank.
func (q RankedQueue) ahead(rank int) float64 {
	length := float64(q.Length)
	sample := q.OwnQueued.upTo(rank) + offeredWeight*q.offeredShare(rank)
	share := sample / (q.OwnQueued.Total() + offeredWeight)
	others := max(0, length-q.Own.Total())
	return min(length, q.Own.upTo(rank)+others*share)
}

// offeredShare returns the share of the mean queue that is of a rank or a more urgent one.
func (q RankedQueue) offeredShare(rank int) float64 {
	all := q.meanQueue(Ranks - 1)
	if all == 0 {
		return 1
	}
	return q.meanQueue(rank) / all
}

// meanQueue returns how many requests of a rank or a more urgent one are queued in the mean after the offered
// load has lasted for queueTime. It is the time-dependent queue of Kimber and Hollis, "Traffic queues and
// delays at road junctions" (1979): below the capacity it tends to load/(1-load), above it to the surplus.
func (q RankedQueue) meanQueue(rank int) float64 {
	capacity := queueTime.Seconds() / q.perRequest()
	load := q.Offered.upTo(rank) * q.perRequest()
	growth := (load - 1) * capacity
	root := math.Sqrt(growth*growth + 4*load*capacity)
	if growth < 0 {
		return 2 * load * capacity / (root - growth) // the same, without a difference of nearly equal numbers
	}
	return (growth + root) / 2
}

const (
	// minRankRetryAfter and maxRankRetryAfter bound the time after which a refused caller may retry, before
	// it is spread. Reports are up to 0.75 s old, so that sooner than 250 ms hardly anything new is known;
	// after 4 s a copy can be loaded from a target's memory or disk, and the queue is another one.
	minRankRetryAfter = 250 * time.Millisecond
	maxRankRetryAfter = 4 * time.Second
	// retrySpread is the share by which a retry time is varied in both directions, so that callers that
	// were refused together do not return together.
	retrySpread = 0.25
)

// CopyLoad is a further copy of a model that is loading.
type CopyLoad struct {
	Loading bool
	Ready   time.Duration // time until it is ready
}

// RankRetryAfter returns the time after which a caller that was refused because of a queue may retry: until
// the estimated wait is no more than its route may wait (most), or until a further copy of its model is ready,
// whichever is sooner; within bounds, and varied at random.
func RankRetryAfter(wait, most time.Duration, further CopyLoad, random *rand.Rand) time.Duration {
	after := wait - most
	if further.Loading {
		after = min(after, further.Ready)
	}
	after = min(max(after, minRankRetryAfter), maxRankRetryAfter)
	factor := 1 + retrySpread*(2*random.Float64()-1)
	return time.Duration(factor * float64(after))
}
