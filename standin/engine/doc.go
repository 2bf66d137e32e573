// Package engine implements the stand-in target: a simulated model engine and plain
// service over HTTP with injectable faults, for development, tests and experiments.
package engine
