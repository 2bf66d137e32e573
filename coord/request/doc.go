// Package request is the aggregate of one call: its class and deadline, the states
// of its attempts, admission at an entry host, the retry budget, and quarantine.
//
// All types are plain data without locks: the entry role guards each with its own
// mutex and never holds two of them at once.
package request
