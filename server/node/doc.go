// Package node drives coord/consensus: a loop with a clock, the store, the transport
// between control processes, and the state machine to apply to.
package node
