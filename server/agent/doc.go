// Package agent wires the agent role: the only sender of orders and calls to the
// target beside it.
//
// Many entry hosts with views of different ages send to one target. Each alone
// would overcommit it, so what must be counted in one place is counted here:
// what runs, what is loaded, which order is the newest, which attempt has been
// seen.
//
// The way of a request: run.go takes it in and relays the answer; queue.go holds
// it until it is its turn, keys.go refuses it there once its key is withdrawn,
// and prefix.go names what it shares with others; memory.go and
// memory_adapters.go keep its model and adapter loaded meanwhile; httptarget.go
// calls the target. orders.go carries out replica decisions; crash.go finds out
// whether a target died under a request.
// What is decided here is decided in coord/target.
//
// Lock order: Agent.mu, memory.mu, queue.mu and attempts.mu are leaves: no lock
// is taken under any of them, and none is held while a target or a control
// process is waited for.
package agent
