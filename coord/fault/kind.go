package fault

import "time"

// Kind names one sort of failure. The list is closed: see Kinds.
type Kind string

// The kinds, in the order in which a request can meet them.
const (
	InvalidRequest  Kind = "invalid_request" // malformed or contradictory input
	TooLarge        Kind = "too_large"       // header, body or answer over its limit
	Unauthenticated Kind = "unauthenticated" // key missing, unknown or withdrawn
	NotFound        Kind = "not_found"       // no such model, service or resource
	Stale           Kind = "stale"           // freshness lease lapsed: the view may be old
	RateLimited     Kind = "rate_limited"    // over the workspace's rate and burst
	Overloaded      Kind = "overloaded"      // the wait would pass the deadline, or a queue is full
	NoCapacity      Kind = "no_capacity"     // no target can hold the model in time
	Quarantined     Kind = "quarantined"     // the request crashed its targets before
	NotHere         Kind = "not_here"        // the agent does not hold the replica
	Leaving         Kind = "leaving"         // the host takes no new work
	Fenced          Kind = "fenced"          // an order with an old fencing number
	Expired         Kind = "expired"         // deadline passed before hand-over
	Timeout         Kind = "timeout"         // deadline passed after hand-over
	TargetFailed    Kind = "target_failed"   // the target broke off; whether it ran is unknown
	StreamBroken    Kind = "stream_broken"   // the answer began and did not reach its end
	AlreadyClaimed  Kind = "already_claimed" // the idempotency key is claimed, outcome not known
	KeyReused       Kind = "key_reused"      // the idempotency key came with another request
	Conflict        Kind = "conflict"        // the named revision is not the current one
	NoQuorum        Kind = "no_quorum"       // control cannot commit at present
	NotLeader       Kind = "not_leader"      // ask another control host
	Canceled        Kind = "canceled"        // the caller went away
	Unavailable     Kind = "unavailable"     // the next process cannot be reached; not handed over
	Internal        Kind = "internal"        // a fault of our own
)

// Ran says whether the request reached a target and ran there.
type Ran string

// The three answers a caller can get about a request that failed.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

// Answer is one row of the table kind -> answer.
type Answer struct {
	Status     int           // HTTP status
	TwirpCode  string        // twirp error code
	Ran        Ran           // what is true of every error of this kind
	Repeatable bool          // the same request can succeed later
	RetryAfter time.Duration // least wait to suggest; 0: no hint unless the error carries one
}
