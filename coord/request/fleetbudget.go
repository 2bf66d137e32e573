package request

import "time"

// Load pattern: targets fail or refuse many requests at once, at every entry host, and each
// host's own retries look few. Hosts restart and lose their counts, or cannot reach each other.
// Without it: the retries of all hosts together multiply the load on a service.
// Rule: in any window, the fleet's retries are at most a share of its requests plus a
// reserve. Each host applies the share to its own requests and takes its part of the reserve.

// The platform sets the bound. Splitting it like this needs no coordination between hosts: the
// number of hosts comes from the replicated state, which a host may use only while its lease on it
// is valid, so that no host assumes fewer than there are. The counts of a process end with it, and
// it may have used its whole share within the window: until the window has passed, its successor
// grants only what settledShare leaves over.
const (
	// requestSlots and retrySlots are the slots in which requests and retries count. A request
	// counts for at most a window, a retry for at least one.
	requestSlots = 20
	retrySlots   = requestSlots + 1
	// settledShare and startingShare of the bound add up to 1: a process and its successor
	// may both use theirs within one window.
	settledShare  = 0.7
	startingShare = 1 - settledShare
)

// Fleet is a host's view of its fleet.
type Fleet struct {
	Hosts int // no fewer than the hosts that may retry; 0: not known
	// Settled is set once no retry of an earlier process of this host can be in the window, and
	// all other hosts have this one in their view.
	Settled bool
}

// RetryDecision is a decision about a retry and the figures that it was made with.
type RetryDecision struct {
	Granted bool
	Fleet   Fleet
	Used    int     // retries that have not arrived yet or arrived in the window, without this one
	Allowed float64 // retries allowed in the window
}

// FleetBudget limits the retries of one host to one service. It is not safe for concurrent
// use.
type FleetBudget struct {
	Ratio   float64 // retries as a share of requests
	Reserve float64 // additional retries per window, for the whole fleet
	Window  time.Duration

	slots   [retrySlots]budgetSlot
	slot    int64
	base    time.Time // start of slot 0; carries the monotonic clock
	pending int       // retries that were granted and may not have arrived
}

// budgetSlot holds the counts of a part of the window.
type budgetSlot struct {
	requests int
	retries  int // that arrived
	hosts    int // largest number of hosts that was known
}

// RecordRequest records the first attempt of a request.
func (b *FleetBudget) RecordRequest(now time.Time) {
	b.current(now).requests++
}

// TryRetry takes one retry from the budget if one is left. A granted retry counts until one window
// after RecordArrival, or until ReturnRetry.
func (b *FleetBudget) TryRetry(f Fleet, now time.Time) RetryDecision {
	s := b.current(now)
	s.hosts = max(s.hosts, f.Hosts)
	requests, retries, hosts := b.sums()
	f.Hosts = hosts
	d := RetryDecision{Fleet: f, Used: b.pending + retries, Allowed: b.allowed(f, requests)}
	d.Granted = float64(d.Used+1) <= d.Allowed
	if d.Granted {
		b.pending++
	}
	return d
}

// allowed returns how many retries the host may have in a window with these requests.
func (b *FleetBudget) allowed(f Fleet, requests int) float64 {
	byRequests := b.Ratio * float64(requests)
	if !f.Settled || f.Hosts == 0 {
		return startingShare * byRequests
	}
	return settledShare * (byRequests + b.Reserve/float64(f.Hosts))
}

// RecordArrival records that a granted retry cannot arrive at a target any later: it was answered,
// or its connection was reset.
func (b *FleetBudget) RecordArrival(now time.Time) {
	b.current(now).retries++
	b.pending--
}

// ReturnRetry returns a granted retry that was not sent.
func (b *FleetBudget) ReturnRetry() { b.pending-- }

// sums returns the counts of the window, and the largest number of hosts in it: a host that
// was removed meanwhile may have used its share before.
func (b *FleetBudget) sums() (requests, retries, hosts int) {
	oldest := (b.slot + 1) % retrySlots
	for i, s := range b.slots {
		if int64(i) != oldest {
			requests += s.requests
		}
		retries += s.retries
		hosts = max(hosts, s.hosts)
	}
	return requests, retries, hosts
}

// current returns the slot of a time and clears the slots that were entered since the last call.
func (b *FleetBudget) current(now time.Time) *budgetSlot {
	if b.base.IsZero() {
		b.base = now
	}
	slot := int64(now.Sub(b.base) / (b.Window / requestSlots))
	for n := max(b.slot+1, slot-retrySlots+1); n <= slot; n++ {
		b.slots[n%retrySlots] = budgetSlot{}
	}
	b.slot = max(b.slot, slot)
	return &b.slots[b.slot%retrySlots]
}
