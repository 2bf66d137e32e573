// Package entry wires the entry role: it takes callers' requests, and answers each
// exactly once.
package entry
