package node

import "time"

var processStart = time.Now()

// sinceStart is the monotonic clock where the host offers no better one.
func sinceStart() time.Duration { return time.Since(processStart) }
