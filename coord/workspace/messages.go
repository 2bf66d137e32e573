package workspace

import "time"

// HostKey identifies one incarnation (process run) of an entry host.
type HostKey struct {
	Host        string
	Incarnation string
}

// Draw is a request from a Holder to the Owner. It carries the full state of the holder
// rather than a delta, so that each message supersedes all earlier ones and nothing has to
// be reconciled after a lost, delayed or duplicated one.
type Draw struct {
	From     HostKey
	Sequence uint64        // increases by one with each message of this incarnation
	Applied  uint64        // sequence of the newest applied reply; later replies to earlier Draws are never applied
	Epoch    uint64        // owner epoch of the newest applied reply; 0 for none
	Uptime   time.Duration // of this incarnation
	Items    []DrawItem    // sorted by workspace; all values of an omitted workspace are zero
}

// DrawItem is a holder's state of one workspace, in tokens.
type DrawItem struct {
	Workspace     string
	Need          int64    // missing for the first queued request; granted in full or not at all
	Want          int64    // missing for all queued requests, at least Need
	Holding       int64    // unspent tokens that the holder keeps
	Return        int64    // unspent tokens that the holder returns
	SpentInWindow int64    // charges less refunds in the last Limit.Window; a new owner recovers from it
	UsePerSecond  int64    // recent use; determines how much is granted ahead of need
	Refunds       []Refund // unused parts of earlier charges
}

// Refund returns the unused part of charges, in tokens, together with the sequence of the
// Draw that first reported them as spent.
type Refund struct {
	Tokens         int64
	ChargeSequence uint64
}

// Reply is the owner's response to a Draw, with one grant for each item.
type Reply struct {
	Epoch    uint64
	Sequence uint64 // of the Draw
	Grants   []Grant
}

// Grant is the part of a Reply for one workspace, in tokens.
type Grant struct {
	Workspace     string
	Keep          int64         // part of Holding that stays valid; the rest is void
	Tokens        int64         // newly granted
	Valid         time.Duration // Keep and Tokens expire this long after the Draw was sent
	RetryAfter    time.Duration // expected time until Need can be met, if it was not
	QueueFull     bool          // Need was not met and the queue is too long: refuse the queued requests
	Backlog       time.Duration // time in which the rate yields the tokens that all hosts wait for
	QueueRoom     time.Duration // by how much the backlog may grow before calls are refused
	PrefetchLimit int64         // most tokens that the host may keep ahead of need
	Recovering    bool          // the owner is still recovering its buckets: ask again after RetryAfter
}
