// Package entry wires the entry role: it takes callers' requests, and answers
// each exactly once.
//
// The way of a request: server.go takes it from the listener and gives it an id;
// call.go finds whose it is and what it asks for; claim.go reserves the one run
// of a call that may not be repeated; run.go tries targets until one answers or
// the deadline passes; attempt.go speaks with one agent; answer.go passes the
// answer on; refusal.go tells the caller why there is none.
//
// Lock order: demand.mu is a leaf; no lock is held while another process is
// waited for.
package entry
