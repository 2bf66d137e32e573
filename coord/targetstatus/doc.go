// Package targetstatus is the control leader's table of the status of all targets. It merges
// the platform's target list, which lags by seconds, with the reports of the agents next to
// the targets, which are current but can be missing. It also records the demand of the
// fleet's callers for each model.
//
// Load pattern: targets crash, restart at the same address, leave, and change the models
// that they hold within seconds, while many entry hosts route requests to them.
// Without it: each entry host polls the platform's list itself, whose calls are rate-limited
// and billed, and sends requests for seconds to targets that an agent has reported dead.
// Rule: the leader keeps one merged table, and entry hosts poll that.
//
// Callers pass the current time as an argument. Callers serialize access; the package
// holds no lock.
package targetstatus
