// Package bodybudget decides which request bodies a process keeps in memory while they arrive and while
// their requests are served.
package bodybudget
