// Package target is the aggregate of one target as its agent sees it: the memory
// ledger, the replicas and their fencing numbers, the run queue, and draining.
package target
