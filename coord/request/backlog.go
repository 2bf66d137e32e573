package request

import "time"

// Load pattern: demand moves to a model that few targets hold, or comes in a burst;
// for some seconds more requests come than these targets can run.
//
// Without this file every request joins the queue. It grows until each waits for as
// long as its caller's patience, so that all are served late or not at all, although
// the targets run as many requests as ever. A queue that is kept shorter than the
// target latency serves as many, and each in time; the others come back when told.

// Backlog forecasts how long a request is queued at a target, from how many run and
// wait there and how long one runs. It is not safe for concurrent use.
type Backlog struct {
	run  map[string]float64 // mean run in seconds, by service
	sent map[string]int     // by target, since the newest report
}

// runShare is the weight of the newest run in the mean: the mean of some thirty.
const runShare = 1.0 / 32

// NewBacklog returns a forecast that expects no wait until runs are known.
func NewBacklog() *Backlog { return &Backlog{run: map[string]float64{}, sent: map[string]int{}} }

// Ran notes how long a request ran.
func (b *Backlog) Ran(service string, took time.Duration) {
	mean, known := b.run[service]
	if !known {
		mean = took.Seconds()
	}
	b.run[service] = mean + runShare*(took.Seconds()-mean)
}

// LongestRun returns the mean run of the service whose requests run longest; zero before
// any has run.
func (b *Backlog) LongestRun() time.Duration {
	longest := 0.0
	for _, mean := range b.run { // any order: the largest is looked for
		longest = max(longest, mean)
	}
	return time.Duration(longest * float64(time.Second))
}

// Started notes a request that went to a target: the newest report lacks it.
func (b *Backlog) Started(target string) { b.sent[target]++ }

// Reported notes that the reports are new.
func (b *Backlog) Reported() { clear(b.sent) }

// Wait returns how long a request that goes to a target now is queued there: those
// before it, at the pace at which runs end.
func (b *Backlog) Wait(target, service string, running, queued, slots int) time.Duration {
	if queued == 0 && running+b.sent[target] < slots {
		return 0
	}
	if queued == 0 {
		queued = running + b.sent[target] - slots
	} else {
		queued += b.sent[target]
	}
	return time.Duration(float64(queued) * b.run[service] / float64(max(1, running)) * float64(time.Second))
}

const (
	// inTimeShare of the target latency may be spent in the queue: the rest is for
	// reading the prompt, and for a forecast that is too short.
	inTimeShare = 0.8
	// lateShare of its caller's patience is what a request may wait that is late in
	// any case, because it waited for its model.
	lateShare = 0.4
	// comeBackLeast and comeBackMost bound when a refused caller is told to return:
	// within one interval of reports nothing is known to have changed, and after two
	// seconds further copies of the model can be there.
	comeBackLeast = 250 * time.Millisecond
	comeBackMost  = 2 * time.Second
)

// WorthWaiting reports whether a request should join a queue of that length, after
// it has spent a time already.
func WorthWaiting(wait, spent, latency, patience time.Duration) bool {
	if wait <= 0 {
		return true
	}
	if limit := time.Duration(inTimeShare * float64(latency)); spent < limit {
		return wait <= limit-spent
	}
	return wait <= time.Duration(lateShare*float64(patience))
}

// ComeBack is when a caller that was refused for a queue may return: when that queue
// has been worked off.
func ComeBack(wait time.Duration) time.Duration {
	return min(max(wait, comeBackLeast), comeBackMost)
}
