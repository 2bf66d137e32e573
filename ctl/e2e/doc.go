// Package e2e runs the built binaries as separate processes on loopback, with
// faults from outside, and judges what callers got against the stand-in
// targets' own record. It holds tests only.
package e2e
