// Package explain finds, in the log lines of many processes, what decided one request:
// its own lines, and those on what they name (the target, the model, the board of the
// host that took it) in the seconds before its end.
package explain
