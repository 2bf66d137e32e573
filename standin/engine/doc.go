// Package engine is the stand-in target: a model engine or a plain service over HTTP,
// with faults to switch on. It serves development, tests and experiments.
package engine
