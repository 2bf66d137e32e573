// Package node drives coord/consensus: a loop with a clock, the store, the
// transport between control processes, and the state machine to apply to.
//
// Goroutines: loop owns the consensus state; disk owns the store, one sync at a
// time, so that what arrives during a sync shares the next one; apply owns the
// state machine; the transport has one for each peer, so that a silent peer
// delays nobody else. They pass values over channels.
//
// Locks, each taken alone: Node.mu guards the published status, guard.mu the
// identity, Transport.mu the table of peers, peer.mu one peer's queue. None is
// held during a sync but guard.mu, which the loop takes only while the group forms
// and the disk goroutine never.
package node
