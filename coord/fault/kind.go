package fault

import "time"

// Kind classifies a failure. The set is closed: see Kinds.
type Kind string

// The kinds, roughly in the order in which a request can encounter them.
const (
	InvalidRequest  Kind = "invalid_request" // malformed or contradictory input
	TooLarge        Kind = "too_large"       // header, body or response over its size limit
	Unauthenticated Kind = "unauthenticated" // key missing, unknown or withdrawn
	NotFound        Kind = "not_found"       // no such model, service or resource
	Stale           Kind = "stale"           // freshness lease expired: the view may be out of date
	RateLimited     Kind = "rate_limited"    // over the workspace's rate and burst
	Overloaded      Kind = "overloaded"      // the expected wait exceeds the deadline, or a queue is full
	NoCapacity      Kind = "no_capacity"     // no target can hold the model in time
	Quarantined     Kind = "quarantined"     // the request crashed targets in earlier attempts
	NotHere         Kind = "not_here"        // the agent does not hold the replica
	Leaving         Kind = "leaving"         // the host or target is draining and accepts no new requests
	Fenced          Kind = "fenced"          // a control order with a stale fencing token
	Expired         Kind = "expired"         // deadline passed before the request was handed to a target
	Timeout         Kind = "timeout"         // deadline passed after the request was handed to a target
	TargetFailed    Kind = "target_failed"   // the target ended the call early; whether the request ran is unknown
	StreamBroken    Kind = "stream_broken"   // the response stream ended before it was complete
	AlreadyClaimed  Kind = "already_claimed" // the idempotency key is in use; the outcome is not known
	KeyReused       Kind = "key_reused"      // the idempotency key was used for a different request
	Conflict        Kind = "conflict"        // the given revision is not the current one
	NoQuorum        Kind = "no_quorum"       // control has no quorum and cannot commit
	NotLeader       Kind = "not_leader"      // this control host is not the leader
	Canceled        Kind = "canceled"        // the client canceled the request or disconnected
	Unavailable     Kind = "unavailable"     // the next process cannot be reached; the request was not sent to it
	Internal        Kind = "internal"        // internal error
)

// Ran states whether the request ran at a target.
type Ran string

// The values of Ran for a failed request.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

// Answer is what a client receives for a kind of error.
type Answer struct {
	Status     int           // HTTP status
	TwirpCode  string        // twirp error code
	Ran        Ran           // default; holds for each error of the kind unless WithRan overrides it
	Repeatable bool          // a retry of the same request is safe and can succeed
	RetryAfter time.Duration // default retry delay; 0: none unless the error sets one
}
