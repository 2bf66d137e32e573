// Package target is the aggregate of one target as its agent sees it: the memory
// ledger, the replicas and their fencing numbers, adapters, the run queue, and drain.
//
// All types are plain data without locks. The agent guards a target's ledger,
// replicas and adapters with one mutex and its queue with another; it takes the first
// before the second.
package target
