package request

import "time"

// Load pattern: for some seconds, after a burst or a shift of demand to a model that few
// targets hold, more requests arrive than these targets can run.
// Without it: the queue grows to the callers' timeouts, and all answers are late or missing.
// Rule: a request is queued only if its estimated wait leaves it within the target latency,
// which keeps throughput as it is; the others are refused with a time to retry after.

// Backlog estimates the queueing delay at a target from the number of requests that run
// and are queued there and from the mean run time. It is not safe for concurrent use.
type Backlog struct {
	mean map[string]float64 // moving mean of the run time in seconds, by service
	sent map[string]int     // requests sent, less those that have ended, since the latest report, by target
}

// runMeanWeight is the weight of the latest run in the moving mean, which covers about 30
// runs.
const runMeanWeight = 1.0 / 32

// NewBacklog returns a Backlog that estimates no wait until a run is recorded.
func NewBacklog() *Backlog { return &Backlog{mean: map[string]float64{}, sent: map[string]int{}} }

// RecordRun records how long a request ran. Where targets announce their speed, the caller divides the
// time by the target's speed factor, and multiplies the times that a Backlog returns by it.
func (b *Backlog) RecordRun(service string, took time.Duration) {
	mean, known := b.mean[service]
	if !known {
		mean = took.Seconds()
	}
	b.mean[service] = mean + runMeanWeight*(took.Seconds()-mean)
}

// MeanRun returns the mean run time of a service, or zero if no run is recorded.
func (b *Backlog) MeanRun(service string) time.Duration {
	return time.Duration(b.mean[service] * float64(time.Second))
}

// LongestMeanRun returns the largest mean run time of any service, or zero if no run is
// recorded.
func (b *Backlog) LongestMeanRun() time.Duration {
	longest := 0.0
	for _, mean := range b.mean {
		longest = max(longest, mean)
	}
	return time.Duration(longest * float64(time.Second))
}

// RecordStart records a request that was sent to a target and is not in its latest report yet.
func (b *Backlog) RecordStart(target string) { b.sent[target]++ }

// RecordEnd records the end of a request that was sent to a target, in its latest report or not.
func (b *Backlog) RecordEnd(target string) { b.sent[target]-- }

// ResetStarts records that new reports of all targets have arrived.
func (b *Backlog) ResetStarts() { clear(b.sent) }

// Wait returns how long a request that is sent to a target now is expected to be queued:
// the time in which the requests queued before it start, at the rate at which running
// requests end.
func (b *Backlog) Wait(target, service string, running, queued, slots int) time.Duration {
	length := b.QueueLength(target, running, queued, slots)
	return time.Duration(float64(length) * b.mean[service] / float64(max(1, running)) * float64(time.Second))
}

// QueueLength returns how many requests are queued before one that is sent to a target now: those of
// its latest report and those that were sent since, less the ones that have ended.
func (b *Backlog) QueueLength(target string, running, queued, slots int) int {
	if queued == 0 {
		return max(0, running+b.sent[target]-slots)
	}
	return max(0, queued+b.sent[target])
}

// Ranked returns the queue of a target as Wait sees it, without what is known of its ranks. The mean run time
// is multiplied by speed, the target's processing time relative to the usual one.
func (b *Backlog) Ranked(target, service string, running, queued, slots int, speed float64) RankedQueue {
	q := RankedQueue{
		Full:    queued > 0 || running+b.sent[target] >= slots,
		Length:  b.QueueLength(target, running, queued, slots),
		Running: running,
		MeanRun: time.Duration(b.mean[service] * speed * float64(time.Second)),
	}
	if queued == 0 {
		q.Running = slots // which requests that are not in the report have filled
	}
	return q
}

const (
	// queueLatencyShare is the share of the target latency that a request may be queued. The
	// rest is for prefill and for estimates that are too low.
	queueLatencyShare = 0.8
	// lateWaitShare is the share of the caller's timeout that a request may be queued if it
	// has missed the target latency anyway, because it waited for its model to load.
	lateWaitShare = 0.4
	// minQueueRetryAfter and maxQueueRetryAfter bound the time after which a refused caller
	// may retry. Sooner than one report interval nothing is known to have changed, and after
	// two seconds more replicas of the model can be loaded.
	minQueueRetryAfter = 250 * time.Millisecond
	maxQueueRetryAfter = 2 * time.Second
)

// ShouldQueue reports whether a request should join a queue with the estimated wait. The
// other arguments are those of MaxQueueWait.
func ShouldQueue(wait, spent, latency, timeout time.Duration) bool {
	return wait <= 0 || wait <= MaxQueueWait(spent, latency, timeout)
}

// MaxQueueWait returns the longest time that a request should be queued. Spent is the time
// since its arrival, latency the target latency of its route, and timeout the time after which
// its caller gives up.
func MaxQueueWait(spent, latency, timeout time.Duration) time.Duration {
	if limit := time.Duration(queueLatencyShare * float64(latency)); spent < limit {
		return limit - spent
	}
	return time.Duration(lateWaitShare * float64(timeout))
}

// QueueRetryAfter returns the time after which a caller that was refused because of a queue may
// retry: the estimated wait, within bounds.
func QueueRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minQueueRetryAfter), maxQueueRetryAfter)
}
