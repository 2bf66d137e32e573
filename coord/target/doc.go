// Package target holds an agent's state for one target: the memory ledger, the
// replicas and their fencing tokens, the adapters, and the run queue with its drain.
//
// The types are not safe for concurrent use. The agent guards a target's ledger,
// replicas and adapters with one mutex and its queue with another, and acquires the
// first before the second.
package target
