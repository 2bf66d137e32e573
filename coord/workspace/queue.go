package workspace

import (
	"slices"
	"time"
)

// Load pattern: a workspace sends several times its rate through many hosts, in calls of different sizes.
// Without it: large calls starve, as smaller ones take the tokens before enough have accrued,
// and every call waits for the maximum time before it is served or refused.
// Rule: the owner queues hosts in the order of their unmet requests and reports the queue's delay
// at the rate; a holder refuses further calls once that is too long. Small calls bypass the queue.

const (
	// MaxQueueDelay is the longest queue that a further call may join, as the time in which
	// the rate yields its tokens: a small part of a stream's latency objective.
	MaxQueueDelay = 100 * time.Millisecond
	// minQueuedCalls is the number of average calls that may queue in any case: at a low rate
	// a single one takes longer than MaxQueueDelay.
	minQueuedCalls = 3
	// queueWindowDivisor limits the queue to window/queueWindowDivisor of the bucket. Tokens
	// that other hosts hold are returned within that time.
	queueWindowDivisor = 16
	// queueEntryTTL is how long an unreachable host stays in the queue. A reachable host
	// with queued calls sends its next Draw sooner.
	queueEntryTTL = MaxWait
)

// hostQueue is the FIFO queue of hosts whose calls wait for tokens of one workspace.
type hostQueue struct {
	entries []queueEntry
}

// queueEntry is one host's queued calls, in tokens.
type queueEntry struct {
	host     HostKey
	need     int64 // of its first queued call
	want     int64 // of all its queued calls
	reserved int64 // of the calls queued when the host joined; kept free for it
	seen     time.Time
}

func (q *hostQueue) find(host HostKey) int {
	return slices.IndexFunc(q.entries, func(e queueEntry) bool { return e.host == host })
}

func (q *hostQueue) has(host HostKey) bool {
	return q.find(host) >= 0
}

// enqueue appends a host or updates its entry. An update does not raise the reservation:
// calls that were queued later must not overtake those of the hosts behind this one.
func (q *hostQueue) enqueue(e queueEntry) {
	if i := q.find(e.host); i >= 0 {
		e.reserved = q.entries[i].reserved
		q.entries[i] = e
		return
	}
	e.reserved = e.want
	q.entries = append(q.entries, e)
}

// reservedFor returns the tokens that a host may take before the hosts behind it.
func (q *hostQueue) reservedFor(e queueEntry) int64 {
	if i := q.find(e.host); i >= 0 {
		return q.entries[i].reserved
	}
	return e.want
}

// noteGrant subtracts a grant from a host's entry. While part of the reservation is left,
// the entry keeps its position; otherwise the remaining calls move to the end of the queue.
func (q *hostQueue) noteGrant(e queueEntry, tokens, reserved int64) {
	e.want -= tokens
	e.need = 0 // the need of the next call comes with the host's next Draw
	if e.want <= 0 {
		q.remove(e.host)
		return
	}
	if reserved <= tokens {
		q.remove(e.host)
		q.enqueue(e)
		return
	}
	q.enqueue(e)
	q.entries[q.find(e.host)].reserved = reserved - tokens
}

// noteBypass subtracts a small call that bypassed the queue from its host's entry.
func (q *hostQueue) noteBypass(e queueEntry) {
	i := q.find(e.host)
	if i < 0 {
		return
	}
	if e.want <= e.need {
		q.remove(e.host)
		return
	}
	q.entries[i].want = e.want - e.need
	q.entries[i].need = 0 // the need of the next call comes with the host's next Draw
	q.entries[i].seen = e.seen
}

func (q *hostQueue) remove(host HostKey) {
	if i := q.find(host); i >= 0 {
		q.entries = slices.Delete(q.entries, i, i+1)
	}
}

// removeStale removes the entries of unreachable hosts.
func (q *hostQueue) removeStale(now time.Time) {
	kept := q.entries[:0]
	for _, e := range q.entries {
		if now.Sub(e.seen) < queueEntryTTL {
			kept = append(kept, e)
		}
	}
	q.entries = kept
}

// reservedBefore returns the tokens that are kept free for the hosts before the given one.
func (q *hostQueue) reservedBefore(host HostKey) int64 {
	sum := int64(0)
	for _, e := range q.entries {
		if e.host == host {
			break
		}
		sum += max(e.need, e.reserved)
	}
	return sum
}

// roomPerHost returns by how much each host may extend the queue before its next Draw. The
// total is divided, since all queued hosts may do so at once.
func (q *hostQueue) roomPerHost(total time.Duration) time.Duration {
	return min(total, total/time.Duration(1+len(q.entries)))
}

// wanted returns the tokens that all hosts wait for.
func (q *hostQueue) wanted() int64 {
	sum := int64(0)
	for _, e := range q.entries {
		sum += e.want
	}
	return sum
}

// maxQueueDelay returns the longest queue, as a delay, that one more call may join.
func (b *bucket) maxQueueDelay() time.Duration {
	average := b.limit.FillTime(minQueuedCalls * b.meanCall)
	return min(max(MaxQueueDelay, average), b.limit.Window()/queueWindowDivisor)
}

// meanCallSamples is the number of calls in the moving average of the call size.
const meanCallSamples = 16

// noteCall adds the size of a queued call to the moving average, except for small calls.
func (b *bucket) noteCall(tokens int64) {
	if tokens > 0 && !b.limit.isSmall(tokens) {
		b.meanCall += (tokens - b.meanCall) / meanCallSamples
	}
}
