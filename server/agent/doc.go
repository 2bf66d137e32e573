// Package agent wires the agent role: the only sender of orders and calls to the
// target beside it.
package agent
