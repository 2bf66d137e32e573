package workspace

import "time"

// HostKey names one run of an entry host's process.
type HostKey struct {
	Host        string
	Incarnation string
}

// Draw is one message of a Holder. It states everything that the holder has, so
// that a lost, late or repeated message leaves nothing to reconcile: the newest
// statement replaces the earlier ones.
type Draw struct {
	From     HostKey
	Sequence uint64        // grows by one with each message of this incarnation
	Applied  uint64        // sequence of the newest reply that was applied; later ones never will be
	Epoch    uint64        // owner epoch of the newest reply that was applied; 0 for none
	Uptime   time.Duration // how long this incarnation has run
	Items    []DrawItem    // in order of name; a workspace that is not listed has zero everywhere
}

// DrawItem is a holder's statement about one workspace, in tokens.
type DrawItem struct {
	Workspace     string
	Need          int64    // wanted for the first waiting request; granted whole or not at all
	Want          int64    // wanted for all waiting requests, at least Need
	Holding       int64    // unspent tokens that it keeps
	Return        int64    // unspent tokens that it gives back
	SpentInWindow int64    // charged less refunded in the last Limit.Window, for a new owner
	UsePerSecond  int64    // recent use; sizes what is granted ahead
	Refunds       []Refund // unused parts of earlier charges
}

// Refund gives back the unused part of charges. Charged is the sequence of the
// message that first reported them as spent.
type Refund struct {
	Tokens  int64
	Charged uint64
}

// Reply answers a Draw. It has one grant for each item.
type Reply struct {
	Epoch    uint64
	Sequence uint64 // of the Draw
	Grants   []Grant
}

// Grant is the owner's answer about one workspace.
type Grant struct {
	Workspace  string
	Keep       int64         // of Holding, what stays valid; the rest is void
	Tokens     int64         // newly granted
	Valid      time.Duration // Keep and Tokens are void this long after the Draw was sent
	RetryAfter time.Duration // when Need was not met: when it can be
	LineFull   bool          // Need was not met, and too many wait before it: refuse what waits
	Backlog    time.Duration // what the waiting calls of all hosts take at the rate
	Room       time.Duration // how much longer that may get before calls are refused
	Share      int64         // most tokens that the host may hold ahead of need
	Unsettled  bool          // the owner still collects statements: ask again after RetryAfter
}
