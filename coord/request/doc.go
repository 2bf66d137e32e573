// Package request is the aggregate of one call: its class and deadline, the states
// of its attempts, admission at an entry host, the retry budget, and quarantine.
package request
