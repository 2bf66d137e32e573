// Package events defines the structured log events of a process: those of requests,
// and those of the process's view of the cluster. Each event has one function, so
// that its fields are the same everywhere.
//
// Lines go to standard output as JSON. Their volume is bounded. Served requests are
// sampled by a hash of the request id, which is the same in every process, so that
// either all lines of a request are logged or none. Failures and rejections are
// rate-limited; skipped and dropped lines are counted and reported. Writing a line
// never blocks on the reader of the output.
package events
