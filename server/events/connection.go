package events

import "time"

// ConnectionCut holds the fields of the event connection_cut.
type ConnectionCut struct {
	Reason  string        // why the connection was closed: idle, drain, stop, header
	Held    string        // where the request was: unread, read, answering
	Idle    time.Duration // since the connection's last answer, or since it was opened
	Limit   time.Duration // idle limit that applied; 0: none
	Version uint64        // version of the deployment in force; 0: none is known
}

// ConnectionCut logs that this process closed a caller's connection with a request that has
// no complete answer.
func (l *Log) ConnectionCut(c ConnectionCut) {
	l.emit("connection_cut", "reason", c.Reason, "held", c.Held, "idle_ms", c.Idle.Milliseconds(),
		"limit_ms", c.Limit.Milliseconds(), "deployment", c.Version)
}
