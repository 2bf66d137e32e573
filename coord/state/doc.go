// Package state is the replicated control state. Apply is deterministic: the same
// commands in the same order give the same state on every member.
package state
