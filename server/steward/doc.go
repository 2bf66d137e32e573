// Package steward is the agent role on the platform: it runs beside one target, reads the
// target's report, is the only sender of orders to it, and reports its status to control.
//
// Requests do not pass through it: entry hosts send them straight to the target, which refuses
// what it does not hold. A steward that stops or is killed therefore breaks no answer; meanwhile
// its target serves what it holds.
//
// Steward.mu guards the keeper. No other lock is taken while it is held.
package steward
