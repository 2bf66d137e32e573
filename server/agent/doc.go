// Package agent wires the agent role: the only sender of orders and calls to the
// target beside it.
//
// Many entry hosts with views of different ages send to one target. Each alone
// would overcommit it, so what must be counted in one place is counted here:
// what runs, what is loaded, which order is the newest, which attempt has been
// seen.
//
// Lock order: Agent.mu and attempts.mu are leaves; neither is held while a
// target, a control process or another lock is waited for.
package agent
