// Package request holds the rules for one call: its class and deadline, the states of
// its attempts, admission control at an entry host, retry budgets, and quarantine of
// requests that crash their targets.
//
// The types do no locking. The entry role guards each of them with its own mutex and
// never holds two of these mutexes at once.
package request
