// Package consensus is a replicated log as a deterministic state machine. It
// holds no goroutine, clock or I/O: Tick, Step, Propose and ReadIndex go in with
// the time as an argument, and messages to send, writes to sync and entries to
// apply come out. The driver is server/node. A Raft is used by one goroutine.
//
// The protocol is Raft. "paper" is Ongaro and Ousterhout, "In Search of an
// Understandable Consensus Algorithm (extended version)", 2014; "thesis" is
// Ongaro, "Consensus: Bridging Theory and Practice", 2014.
//
// What must be synced before what may be sent: messages from Messages may be
// sent at once. Messages in a Write may be sent only after everything else in
// that Write is synced; these are the ones that promise something (a vote, an
// appended entry, a term). One Write is out at a time, and Written ends it.
// Entries come out of Committed only once they are synced here as well.
package consensus
