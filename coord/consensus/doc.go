// Package consensus is a replicated log as a deterministic state machine. Step and
// Tick go in; messages to send, entries to persist and entries to apply come out.
// It holds no goroutine, clock or I/O: the driver in server/node supplies them.
package consensus
