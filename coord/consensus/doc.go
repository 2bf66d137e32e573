// Package consensus implements the Raft protocol as a deterministic state
// machine. It has no goroutine, clock or I/O: Tick, Step, Propose and ReadIndex
// take the time as an argument, and the caller collects messages to send, writes
// to sync and entries to apply. The driver is server/node. A Raft must not be
// used by more than one goroutine at a time.
//
// In comments, "paper" is Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm (extended version)", 2014; "thesis" is Ongaro, "Consensus:
// Bridging Theory and Practice", 2014.
//
// Order of syncs and messages: messages returned by Messages may be sent at once.
// Messages in a Write may be sent only after everything else in that Write is
// synced; the receiver relies on the synced state (a vote, an appended entry, a
// term). At most one Write is outstanding, and WriteSynced completes it. Committed
// returns only entries that are also synced on this member.
package consensus
