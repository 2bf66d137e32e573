// Package entry wires the entry role: it takes callers' requests, and answers
// each exactly once.
//
// The way of a request: server.go takes it from the listener and gives it an id;
// call.go finds whose it is and what it asks for; server/charging charges its workspace;
// claim.go reserves the one run of a call that may not be repeated; gate.go holds
// it until it is its turn; routes.go picks a target; run.go ties these together
// and tries targets until one answers or the deadline passes; attempt.go speaks
// with one agent; answer.go passes the answer on; refusal.go tells the caller why
// there is none. The decisions themselves are in coord/workspace, coord/request
// and coord/routing; the files here give them a lock, a clock and messages.
//
// Lock order: Entry.mu, gate.mu, routes.mu and demand.mu are leaves: no
// lock is taken under any of them, and none is held while another process is
// waited for.
package entry
