// Package state is the replicated state machine of the control group. Apply is
// deterministic: the same commands in the same order produce the same state on
// every member.
//
// Each aggregate has its own file: configuration, keys, hosts, replica decisions,
// claims, strikes, leases, the audit trail and recorded results. Rows are
// immutable: a change replaces the row, so views and results returned earlier
// stay valid and can be read without a lock.
//
// Every table is bounded. limits.go lists the limits and the behaviour at each.
//
// State is not safe for concurrent use. Its driver (server/control) calls Apply,
// Snapshot and Restore from one goroutine and guards readers with its own lock.
package state
