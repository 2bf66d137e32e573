// Package state is the replicated control state. Apply is deterministic: the same
// commands in the same order give the same state on every member.
//
// Each aggregate has its own file and rules: configuration, keys, hosts, replica
// decisions, claims, strikes, leases, the audit trail and the recorded results.
// Rows are never changed in place: a change replaces the row, so that a view or a
// result handed out earlier stays as it was and may be read without a lock.
//
// Every table is bounded; the limits stand in limits.go with what happens at them.
//
// State has no lock of its own. Its driver (server/control) calls Apply, Snapshot
// and Restore from one goroutine and guards readers with its own lock.
package state
