// Package experiment measures the decisions under load: it plays seeded arrivals
// against the real decision code of coord/ and against a plain baseline (first
// come first served, random target, rate divided by hosts, load on demand, unload
// after a fixed time), and prints a table of what callers got.
//
// It is a small driver: arrivals, a virtual clock, targets that take time and
// memory, and a store that shares its speed. It models no network and no
// processes; messages take a fixed time and are never lost.
package experiment
